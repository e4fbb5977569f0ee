"""State of the backend servers of one service in an aggregator.

Owns their connection pools, concurrency limits, status reports and drain
notices. Selects the servers that may get calls; sends only status polls.
"""

from collections.abc import Collection
from typing import Any, NamedTuple

import curio

from cardamomflow import (
    backends,
    context,
    draining,
    errors,
    limits,
    register,
    replicas,
    snapshots,
)

# The holdings of a report older than this are ignored.
REPORT_EXPIRY_S = 10.0
DRAINING = 'draining'
# Failures of a status poll in which the backend server did not answer.
_NO_ANSWER_ERRORS = (
    errors.ConnectFailed,
    errors.DeadlineExceeded,
    errors.PeerLost,
)
_MS = 1000


class Report(NamedTuple):
    """Last status report of a backend server."""

    holdings: tuple[snapshots.Holding, ...]
    reported_at: float


class ReplicaSet:
    """Backend servers of one service."""

    def __init__(
        self,
        service: register.Service,
        new_register: register.Register,
        process_context: context.Context,
    ) -> None:
        """Create the backend servers that the register lists."""
        self.service = service
        self.pools_by_backend: dict[str, backends.BackendPool] = {}
        self.limits_by_backend: dict[str, limits.ConcurrencyLimit] = {}
        self.chooser = replicas.ReplicaChooser(process_context.random)
        self._reports_by_backend: dict[str, Report] = {}
        self._drains = draining.DrainTracker()
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._body_budget = process_context.body_budget
        self.apply(new_register)

    def apply(
        self, new_register: register.Register
    ) -> list[backends.BackendPool]:
        """Apply a changed register; return the pools no longer in use."""
        self.service = new_register.services_by_name[self.service.name]
        wanted_by_id = {
            backend.backend_id: backend
            for backend in new_register.backends_by_service[self.service.name]
        }
        removed = [
            self._remove(backend_id)
            for backend_id, pool in list(self.pools_by_backend.items())
            if not _is_same_server(wanted_by_id.get(backend_id), pool.backend)
        ]
        for backend_id, backend in wanted_by_id.items():
            self.record_drain_notice(
                backend_id,
                draining.DrainSource.REGISTER,
                leaving=backend.leaving,
            )
            if backend_id not in self.pools_by_backend:
                self._add(backend, new_register)
        return removed

    def record_drain_notice(
        self,
        backend_id: str,
        source: draining.DrainSource,
        *,
        leaving: bool,
        age_s: float = 0,
    ) -> None:
        """Record a notice that a backend server is leaving or staying.

        Parameters
        ----------
        backend_id : str
        source : draining.DrainSource
        leaving : bool
        age_s : float
            Age of the notice; an old report does not clear a newer refusal.
        """
        issued_at = self._clock() - age_s
        self._drains.record_notice(backend_id, source, leaving, issued_at)

    def record_refusal(self, backend_id: str, reason: str) -> None:
        """Record the reason for which a backend server refused a call."""
        if reason == DRAINING:
            self.record_drain_notice(
                backend_id, draining.DrainSource.REFUSAL, leaving=True
            )

    def update_leaving_hosts(self, leaving_by_host: dict[str, bool]) -> None:
        """Record the drain notices of the platform's host list."""
        for backend_id, pool in self.pools_by_backend.items():
            self.record_drain_notice(
                backend_id,
                draining.DrainSource.HOST_LIST,
                leaving=leaving_by_host.get(pool.backend.host_id, False),
            )

    def accepting_backends(self) -> list[str]:
        """Return the backend servers that accept new work."""
        return self._drains.select_accepting(
            list(self.pools_by_backend), self._clock()
        )

    def candidates(
        self, shard: snapshots.ShardKey, snapshot: snapshots.Snapshot
    ) -> list[str]:
        """Return the backend servers that may serve a shard."""
        holder_ids = [
            backend_id
            for backend_id in self.pools_by_backend
            if self.may_hold(backend_id, shard, snapshot)
        ]
        return self._drains.select_accepting(holder_ids, self._clock())

    def may_hold(
        self,
        backend_id: str,
        shard: snapshots.ShardKey,
        snapshot: snapshots.Snapshot,
    ) -> bool:
        """Return whether a backend server may hold a shard of a snapshot.

        True also if there is no recent report or the report lists only older
        snapshots: an entry may receive a new snapshot earlier from an
        aggregator of another zone. A backend server that does not hold the
        shard refuses with `snapshot_gone`.
        """
        report = self._reports_by_backend.get(backend_id)
        if report is None or self._is_expired(report):
            return True
        if snapshots.holds(report.holdings, shard.shard, snapshot):
            return True
        newest = max(
            (
                (holding.version, holding.map_revision)
                for holding in report.holdings
            ),
            default=(0, 0),
        )
        return (snapshot.version, snapshot.map_revision) > newest

    def is_held(
        self, shard: snapshots.ShardKey, snapshot: snapshots.Snapshot
    ) -> bool:
        """Return whether any backend server may hold a shard of a snapshot."""
        return any(
            self.may_hold(backend_id, shard, snapshot)
            for backend_id in self.pools_by_backend
        )

    def holdings(
        self,
    ) -> dict[str, tuple[bool, tuple[snapshots.Holding, ...]]]:
        """Return the holdings of each server and whether it accepts work."""
        accepting = set(self.accepting_backends())
        return {
            backend_id: (backend_id in accepting, report.holdings)
            for backend_id, report in self._reports_by_backend.items()
            if not self._is_expired(report)
        }

    def has_capacity(self) -> bool:
        """Return whether any backend server has capacity for a call."""
        return any(map(self._has_capacity, self.limits_by_backend))

    def select_available(self, backend_ids: Collection[str]) -> list[str]:
        """Return the backend servers that should get another call now.

        Removes ejected servers before busy ones, so that an ejected server is
        not used while the others are busy. Removes a much slower server if
        waiting for another one is faster.
        """
        now = self._clock()
        healthy = [
            backend_id
            for backend_id in backend_ids
            if not self.chooser.is_ejected(backend_id, now)
        ]
        considered = healthy or list(backend_ids)
        return [
            backend_id
            for backend_id in considered
            if self._has_capacity(backend_id)
            and self.chooser.is_worth_using(backend_id, considered, now)
        ]

    def record_call_end(
        self, backend_id: str, outcome: limits.CallOutcome, started_at: float
    ) -> float:
        """Record the end of a call and return its latency in seconds."""
        now = self._clock()
        latency_s = now - started_at
        limit = self.limits_by_backend.get(backend_id)
        if limit is not None:
            limit.release(outcome, latency_s, now)
        self.chooser.record_end(backend_id, outcome, latency_s, now)
        self._metrics.increment(f'backend.outcome.{outcome.name.lower()}')
        return latency_s

    async def poll(self) -> bool:
        """Read all status reports; return whether holdings changed."""
        before = self.holdings()
        async with curio.TaskGroup() as group:
            for pool in list(self.pools_by_backend.values()):
                await group.spawn(self._poll, pool)
        return self.holdings() != before

    async def retire(self) -> None:
        """Close all connections as their calls end."""
        for pool in self.pools_by_backend.values():
            await pool.retire()

    def _has_capacity(self, backend_id: str) -> bool:
        limit = self.limits_by_backend.get(backend_id)
        return limit is not None and limit.in_flight < limit.limit

    def _is_expired(self, report: Report) -> bool:
        return self._clock() - report.reported_at > REPORT_EXPIRY_S

    def _add(
        self, backend: register.Backend, new_register: register.Register
    ) -> None:
        pool = backends.BackendPool(
            backend,
            new_register.connection_allowance(backend.backend_id),
            self._clock,
            self._body_budget,
        )
        self.pools_by_backend[backend.backend_id] = pool
        self.limits_by_backend[backend.backend_id] = limits.ConcurrencyLimit(
            pool.data_allowance
        )

    def _remove(self, backend_id: str) -> backends.BackendPool:
        self.limits_by_backend.pop(backend_id)
        self.chooser.remove(backend_id)
        self._drains.remove(backend_id)
        self._reports_by_backend.pop(backend_id, None)
        return self.pools_by_backend.pop(backend_id)

    async def _poll(self, pool: backends.BackendPool) -> None:
        backend_id = pool.backend.backend_id
        requested_at = self._clock()
        try:
            document = await pool.status()
            report = _parse_report(document, self._clock())
        except errors.FlowError as error:
            self._metrics.increment('backend.status_failed')
            if isinstance(error, _NO_ANSWER_ERRORS):
                self.chooser.record_missed_report(
                    backend_id, requested_at, self._clock()
                )
            return
        if document.get('backend_id') != backend_id:
            self._metrics.increment('backend.status_rejected')
            return
        self._reports_by_backend[backend_id] = report
        age_s = _number(document, 'age_ms') / _MS
        self.record_drain_notice(
            backend_id,
            draining.DrainSource.STATUS,
            leaving=bool(document.get('draining')),
            age_s=age_s,
        )
        self.chooser.record_report(
            backend_id,
            _number(document, 'in_use'),
            _number(document, 'queued'),
            self.service.slots,
            age_s,
            self._clock(),
        )


def _is_same_server(
    wanted: register.Backend | None, present: register.Backend
) -> bool:
    if wanted is None:
        return False
    return wanted._replace(leaving=False) == present._replace(leaving=False)


def _number(document: dict[str, Any], key: str) -> float:
    value = document.get(key, 0)
    return value if isinstance(value, int | float) else 0


def _parse_report(document: dict[str, Any], now: float) -> Report:
    try:
        holdings = tuple(
            snapshots.Holding(
                int(holding['version']),
                int(holding['map_revision']),
                frozenset(map(int, holding['shards'])),
            )
            for holding in document['holdings']
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.ProtocolViolation('malformed status report') from error
    return Report(holdings, now)
