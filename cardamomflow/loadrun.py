"""Sends the requests of a load run to the entries; uses curio.

Owns the connections and the requests in flight. `loadplan` schedules the
requests, and `loadreport` stores the measurements.
"""

import time
from typing import Any

import curio

from cardamomflow import (
    connectionpool,
    errors,
    loadplan,
    loadreport,
    violations,
)

_MS = 1000.0
_MAXIMUM_SHOWN_VIOLATIONS = 20
_SEND_LAG_PERCENTILE = 99
# Wait for a late response after the deadline of its request.
_LATE_RESPONSE_GRACE_S = 1.0
_END_POLL_INTERVAL_S = 0.01


async def run(settings: loadplan.LoadSettings) -> loadreport.Report:
    """Send the load and return the report."""
    return await _LoadRun(settings).execute()


class _LoadRun:
    """State of one load run."""

    def __init__(self, settings: loadplan.LoadSettings) -> None:
        self._settings = settings
        self._pools = [
            connectionpool.ConnectionPool(*entry) for entry in settings.entries
        ]
        self._tallies_by_rank: dict[str, loadreport.Tally] = {}
        self._tallies_by_work: dict[str, loadreport.Tally] = {}
        self._send_lag = loadreport.Latency()
        self._violations: list[str] = []
        self._violation_count = 0
        self._open_requests = 0
        self._started_at = time.monotonic()
        self._started_unix_s = int(time.time())

    async def execute(self) -> loadreport.Report:
        for arrival in loadplan.generate_arrivals(self._settings):
            await self._sleep_until(arrival.due_s)
            if self._open_requests >= self._settings.maximum_open:
                self._record_result(arrival, 'not_sent', errors.Outcome.NOT_RUN)
            else:
                self._open_requests += 1
                # A task group would keep every finished task.
                await curio.spawn(
                    self._send_and_release_slot, arrival, daemon=True
                )
        while self._open_requests:
            await curio.sleep(_END_POLL_INTERVAL_S)
        for pool in self._pools:
            await pool.close()
        return loadreport.Report(
            self._settings.seed,
            self._settings.duration_s,
            self._tallies_by_rank,
            self._tallies_by_work,
            self._send_lag.percentile_ms(_SEND_LAG_PERCENTILE),
            self._violations,
            self._violation_count,
        )

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_at

    async def _sleep_until(self, due_s: float) -> None:
        remaining_s = due_s - self._elapsed_s()
        # Also yields when the request is late, so that other tasks can read
        # responses.
        await curio.sleep(max(0, remaining_s))
        self._send_lag.record(self._elapsed_s() - due_s)

    async def _send_and_release_slot(self, arrival: loadplan.Arrival) -> None:
        try:  # noqa: WPS501  # every failure passes through
            await self._send(arrival)
        finally:
            self._open_requests -= 1

    async def _send(self, arrival: loadplan.Arrival) -> None:
        deadline_s = arrival.due_s + arrival.flow.deadline_ms / _MS
        if self._elapsed_s() >= deadline_s:
            # The load tool is late; this is not a failure of the query tier.
            self._record_result(arrival, 'not_sent', errors.Outcome.NOT_RUN)
            return
        timeout_s = deadline_s + _LATE_RESPONSE_GRACE_S - self._elapsed_s()
        request = self._build_request(arrival)
        try:
            response = await curio.timeout_after(
                timeout_s, self._exchange, arrival, request
            )
        except errors.FlowError as error:
            self._record_result(arrival, error.code, error.outcome)
        except curio.TaskTimeout:
            self._record_result(arrival, 'no_response', errors.Outcome.UNKNOWN)
        else:
            self._record_response(arrival, request, response)

    async def _exchange(
        self, arrival: loadplan.Arrival, request: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        pool = self._pools[arrival.number % len(self._pools)]
        target = '/v1/operations' if arrival.flow.operation else '/v1/query'
        connection = await pool.acquire()
        try:  # noqa: WPS501  # every failure passes through
            response = await connection.exchange('POST', target, request)
        finally:
            await pool.release(connection)
        return response.status, response.json()

    def _build_request(self, arrival: loadplan.Arrival) -> dict[str, Any]:
        flow = arrival.flow
        request = {
            'request_id': f'load-{self._settings.seed}-{arrival.number}',
            'service': flow.target,
            'work': flow.work,
            'customer': flow.customer,
            'deadline_ms': flow.deadline_ms,
        }
        if not flow.operation:
            text = f'query {arrival.number}'
            query = {'text': text, 'limit': self._settings.limit}
            return {**request, 'query': query}
        return {
            **request,
            'key': f'{request["request_id"]}-{self._started_unix_s}',
            'issued_at': int(time.time()),
            'deferred': False,
            'payload': {'number': arrival.number},
        }

    def _record_response(
        self,
        arrival: loadplan.Arrival,
        request: dict[str, Any],
        response: tuple[int, dict[str, Any]],
    ) -> None:
        status, document = response
        latency_s = self._elapsed_s() - arrival.due_s
        for violation in self._find_violations(status, request, document):
            self._violation_count += 1
            if len(self._violations) < _MAXIMUM_SHOWN_VIOLATIONS:
                self._violations.append(f'{request["request_id"]}: {violation}')
        error = document.get('error')
        if isinstance(error, dict):
            self._record_result(
                arrival,
                str(error.get('code')),
                str(error.get('outcome')),
                latency_s,
            )
            return
        coverage = document.get('coverage', {})
        missing = bool(coverage.get('missing'))
        self._record_result(
            arrival,
            'partial' if missing else 'whole',
            document.get('outcome', errors.Outcome.RUN),
            latency_s,
            coverage,
        )

    def _find_violations(
        self, status: int, request: dict[str, Any], document: dict[str, Any]
    ) -> list[str]:
        response_violations = violations.check_response(
            status, request, document
        )
        if (
            not response_violations
            and self._settings.verify
            and 'rows' in document
        ):
            response_violations = self._settings.verify(request, document)
        return response_violations

    def _record_result(
        self,
        arrival: loadplan.Arrival,
        result: str,
        outcome: str,
        latency_s: float | None = None,
        coverage: dict[str, Any] | None = None,
    ) -> None:
        if arrival.due_s < self._settings.warm_up_s:
            return
        flow = arrival.flow
        in_time = latency_s is not None and latency_s <= flow.deadline_ms / _MS
        for tally in (
            self._tallies_by_rank.setdefault(
                flow.rank.label, loadreport.Tally()
            ),
            self._tallies_by_work.setdefault(flow.work, loadreport.Tally()),
        ):
            tally.sent += 1
            tally.count_by_result[result] += 1
            tally.count_by_outcome[str(outcome)] += 1
            tally.good += in_time and result == 'whole'
            if latency_s is not None and coverage is not None:
                tally.latency.record(latency_s)
                tally.answered_shards += coverage.get('answered', 0)
                tally.total_shards += coverage.get('total', 0)
