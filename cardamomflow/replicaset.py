"""Backend servers of one service as an aggregator sees them.

Owns their connection pools, concurrency limits, status reports and leaving
signs. Decides who may be asked; sends nothing but status polls.
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

# A report older than this says nothing about the snapshots held.
REPORT_LIMIT_S = 10.0
DRAINING = 'draining'
# Failures of a status poll in which the backend server did not answer.
_UNHEARD = (errors.ConnectFailed, errors.DeadlineExceeded, errors.PeerLost)
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
        source: register.Register,
        process_context: context.Context,
    ) -> None:
        """Take the backend servers of the service from the register."""
        self.service = service
        self.pools_by_backend: dict[str, backends.BackendPool] = {}
        self.limits_by_backend: dict[str, limits.ConcurrencyLimit] = {}
        self.chooser = replicas.ReplicaChooser(process_context.random)
        self._reports_by_backend: dict[str, Report] = {}
        self._drains = draining.DrainTracker()
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self.apply(source)

    def apply(self, source: register.Register) -> list[backends.BackendPool]:
        """Take a changed register; return the pools no longer in use."""
        self.service = source.services_by_name[self.service.name]
        wanted_by_id = {
            backend.backend_id: backend
            for backend in source.backends_by_service[self.service.name]
        }
        removed = [
            self._remove(backend_id)
            for backend_id, pool in list(self.pools_by_backend.items())
            if not _is_same_server(wanted_by_id.get(backend_id), pool.backend)
        ]
        for backend_id, backend in wanted_by_id.items():
            self.sign(
                backend_id,
                draining.SignSource.REGISTER,
                leaving=backend.leaving,
            )
            if backend_id not in self.pools_by_backend:
                self._add(backend, source)
        return removed

    def sign(
        self,
        backend_id: str,
        source: draining.SignSource,
        *,
        leaving: bool,
        age_s: float = 0,
    ) -> None:
        """Take a sign that a backend server leaves or stays.

        Parameters
        ----------
        backend_id : str
        source : draining.SignSource
        leaving : bool
        age_s : float
            Age of the sign; an old report does not clear a newer refusal.
        """
        signed_at = self._clock() - age_s
        self._drains.sign(backend_id, source, leaving, signed_at)

    def refused(self, backend_id: str, reason: str) -> None:
        """Note why a backend server refused a call."""
        if reason == DRAINING:
            self.sign(backend_id, draining.SignSource.REFUSAL, leaving=True)

    def host_signs(self, leaving_by_host: dict[str, bool]) -> None:
        """Take what the platform's host list says."""
        for backend_id, pool in self.pools_by_backend.items():
            self.sign(
                backend_id,
                draining.SignSource.HOST_LIST,
                leaving=leaving_by_host.get(pool.backend.host_id, False),
            )

    def accepting(self) -> list[str]:
        """Return the backend servers that take new work."""
        return self._drains.accepting(
            list(self.pools_by_backend), self._clock()
        )

    def candidates(
        self, shard: snapshots.ShardKey, snapshot: snapshots.Snapshot
    ) -> list[str]:
        """Return the backend servers that may be asked for a shard."""
        holding = [
            backend_id
            for backend_id in self.pools_by_backend
            if self.may_hold(backend_id, shard, snapshot)
        ]
        return self._drains.accepting(holding, self._clock())

    def may_hold(
        self,
        backend_id: str,
        shard: snapshots.ShardKey,
        snapshot: snapshots.Snapshot,
    ) -> bool:
        """Tell whether a backend server may hold a shard of a snapshot.

        One without a recent report may, and one whose report knows older
        snapshots alone: an entry may have heard of a new one before, from
        an aggregator of another zone. It refuses with `snapshot_gone` if it
        does not.
        """
        report = self._reports_by_backend.get(backend_id)
        if report is None or self._is_old(report):
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
        """Tell whether any backend server may hold a shard of a snapshot."""
        return any(
            self.may_hold(backend_id, shard, snapshot)
            for backend_id in self.pools_by_backend
        )

    def holdings(
        self,
    ) -> dict[str, tuple[bool, tuple[snapshots.Holding, ...]]]:
        """Return by backend server whether it takes work and what it holds."""
        accepting = set(self.accepting())
        return {
            backend_id: (backend_id in accepting, report.holdings)
            for backend_id, report in self._reports_by_backend.items()
            if not self._is_old(report)
        }

    def has_room(self) -> bool:
        """Tell whether any backend server may take another call."""
        return any(map(self._has_room, self.limits_by_backend))

    def with_room(self, backend_ids: Collection[str]) -> list[str]:
        """Return those that should take another call now.

        Ejected ones are left out before busy ones, so that an ejected one is
        not used because the others are busy. One that is much slower is left
        out while waiting for another is faster.
        """
        now = self._clock()
        healthy = [
            backend_id
            for backend_id in backend_ids
            if not self.chooser.ejected(backend_id, now)
        ]
        considered = healthy or list(backend_ids)
        return [
            backend_id
            for backend_id in considered
            if self._has_room(backend_id)
            and self.chooser.worth_using(backend_id, considered, now)
        ]

    def released(
        self, backend_id: str, outcome: limits.CallOutcome, started_at: float
    ) -> float:
        """Note the end of a call and return its latency in seconds."""
        now = self._clock()
        latency_s = now - started_at
        limit = self.limits_by_backend.get(backend_id)
        if limit is not None:
            limit.release(outcome, latency_s, now)
        self.chooser.observe(backend_id, outcome, latency_s, now)
        self._metrics.increment(f'backend.outcome.{outcome.name.lower()}')
        return latency_s

    async def poll(self) -> bool:
        """Read all status reports; tell whether holdings changed."""
        before = self.holdings()
        async with curio.TaskGroup() as group:
            for pool in list(self.pools_by_backend.values()):
                await group.spawn(self._poll, pool)
        return self.holdings() != before

    async def retire(self) -> None:
        """Close all connections as their calls end."""
        for pool in self.pools_by_backend.values():
            await pool.retire()

    def _has_room(self, backend_id: str) -> bool:
        limit = self.limits_by_backend.get(backend_id)
        return limit is not None and limit.in_flight < limit.limit

    def _is_old(self, report: Report) -> bool:
        return self._clock() - report.reported_at > REPORT_LIMIT_S

    def _add(
        self, backend: register.Backend, source: register.Register
    ) -> None:
        pool = backends.BackendPool(
            backend,
            source.connection_allowance(backend.backend_id),
            self._clock,
        )
        self.pools_by_backend[backend.backend_id] = pool
        self.limits_by_backend[backend.backend_id] = limits.ConcurrencyLimit(
            pool.data_allowance
        )

    def _remove(self, backend_id: str) -> backends.BackendPool:
        self.limits_by_backend.pop(backend_id)
        self.chooser.forget(backend_id)
        self._drains.forget(backend_id)
        self._reports_by_backend.pop(backend_id, None)
        return self.pools_by_backend.pop(backend_id)

    async def _poll(self, pool: backends.BackendPool) -> None:
        backend_id = pool.backend.backend_id
        asked_at = self._clock()
        try:
            document = await pool.status()
            report = _parse_report(document, self._clock())
        except errors.FlowError as error:
            self._metrics.increment('backend.status_failed')
            if isinstance(error, _UNHEARD):
                self.chooser.report_missed(backend_id, asked_at, self._clock())
            return
        if document.get('backend_id') != backend_id:
            self._metrics.increment('backend.status_rejected')
            return
        self._reports_by_backend[backend_id] = report
        age_s = _number(document, 'age_ms') / _MS
        self.sign(
            backend_id,
            draining.SignSource.STATUS,
            leaving=bool(document.get('draining')),
            age_s=age_s,
        )
        self.chooser.report(
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
    found = document.get(key, 0)
    return found if isinstance(found, int | float) else 0


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
