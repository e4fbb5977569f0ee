"""One run of the load tool on curio.

Owns the connections to the entries and the requests in flight. What is sent
when is decided in `loadplan`; the figures are kept by `loadreport`.
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
_SHOWN_VIOLATIONS = 20
_LAG_PERCENTILE = 99
# Time after the deadline in which a late response is still waited for.
_GRACE_S = 1.0
_END_POLL_S = 0.01


async def run(settings: loadplan.LoadSettings) -> loadreport.Report:
    """Send the load and return the report."""
    return await _Run(settings).execute()


class _Run:
    """State of one run."""

    def __init__(self, settings: loadplan.LoadSettings) -> None:
        self._settings = settings
        self._pools = [
            connectionpool.ConnectionPool(*entry) for entry in settings.entries
        ]
        self._by_rank: dict[str, loadreport.Tally] = {}
        self._by_work: dict[str, loadreport.Tally] = {}
        self._lag = loadreport.Latency()
        self._violations: list[str] = []
        self._violation_count = 0
        self._open = 0
        self._started_at = time.monotonic()
        self._started_unix_s = int(time.time())

    async def execute(self) -> loadreport.Report:
        for arrival in loadplan.arrivals(self._settings):
            await self._sleep_until(arrival.due_s)
            if self._open >= self._settings.maximum_open:
                self._count(arrival, 'not_sent', errors.Outcome.NOT_RUN)
            else:
                self._open += 1
                # A task group would keep every finished task.
                await curio.spawn(self._send_counted, arrival, daemon=True)
        while self._open:
            await curio.sleep(_END_POLL_S)
        for pool in self._pools:
            await pool.close()
        return loadreport.Report(
            self._settings.seed,
            self._settings.duration_s,
            self._by_rank,
            self._by_work,
            self._lag.percentile_ms(_LAG_PERCENTILE),
            self._violations,
            self._violation_count,
        )

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_at

    async def _sleep_until(self, due_s: float) -> None:
        remaining_s = due_s - self._elapsed_s()
        # Yields also when late, so that answers are read meanwhile.
        await curio.sleep(max(0, remaining_s))
        self._lag.record(self._elapsed_s() - due_s)

    async def _send_counted(self, arrival: loadplan.Arrival) -> None:
        try:  # noqa: WPS501  # every failure passes through
            await self._send(arrival)
        finally:
            self._open -= 1

    async def _send(self, arrival: loadplan.Arrival) -> None:
        deadline_s = arrival.due_s + arrival.flow.deadline_ms / _MS
        if self._elapsed_s() >= deadline_s:
            # This tool is too slow; the tier is not to blame.
            self._count(arrival, 'not_sent', errors.Outcome.NOT_RUN)
            return
        limit_s = deadline_s + _GRACE_S - self._elapsed_s()
        request = self._request(arrival)
        try:
            reply = await curio.timeout_after(
                limit_s, self._exchange, arrival, request
            )
        except errors.FlowError as error:
            self._count(arrival, error.code, error.outcome)
        except curio.TaskTimeout:
            self._count(arrival, 'no_response', errors.Outcome.UNKNOWN)
        else:
            self._take_reply(arrival, request, reply)

    async def _exchange(
        self, arrival: loadplan.Arrival, request: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        pool = self._pools[arrival.number % len(self._pools)]
        target = '/v1/operations' if arrival.flow.operation else '/v1/query'
        connection = await pool.acquire()
        try:  # noqa: WPS501  # every failure passes through
            reply = await connection.exchange('POST', target, request)
        finally:
            await pool.release(connection)
        return reply.status, reply.json()

    def _request(self, arrival: loadplan.Arrival) -> dict[str, Any]:
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

    def _take_reply(
        self,
        arrival: loadplan.Arrival,
        request: dict[str, Any],
        reply: tuple[int, dict[str, Any]],
    ) -> None:
        status, response = reply
        latency_s = self._elapsed_s() - arrival.due_s
        for violation in self._check(status, request, response):
            self._violation_count += 1
            if len(self._violations) < _SHOWN_VIOLATIONS:
                self._violations.append(f'{request["request_id"]}: {violation}')
        error = response.get('error')
        if isinstance(error, dict):
            self._count(
                arrival,
                str(error.get('code')),
                str(error.get('outcome')),
                latency_s,
            )
            return
        coverage = response.get('coverage', {})
        missing = bool(coverage.get('missing'))
        self._count(
            arrival,
            'partial' if missing else 'whole',
            response.get('outcome', errors.Outcome.RUN),
            latency_s,
            coverage,
        )

    def _check(
        self, status: int, request: dict[str, Any], response: dict[str, Any]
    ) -> list[str]:
        found = violations.check_response(status, request, response)
        if not found and self._settings.verify and 'rows' in response:
            found = self._settings.verify(request, response)
        return found

    def _count(
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
            self._by_rank.setdefault(flow.rank.label, loadreport.Tally()),
            self._by_work.setdefault(flow.work, loadreport.Tally()),
        ):
            tally.sent += 1
            tally.count_by_result[result] += 1
            tally.count_by_outcome[str(outcome)] += 1
            tally.good += in_time and result == 'whole'
            if latency_s is not None and coverage is not None:
                tally.latency.record(latency_s)
                tally.answered_shards += coverage.get('answered', 0)
                tally.total_shards += coverage.get('total', 0)
