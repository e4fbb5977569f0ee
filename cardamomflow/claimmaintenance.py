"""Work of an owner on its services' claims that no caller waits for.

Owns the queue of accepted operations and the times of scans for open claims
and of deletions. Sans-I/O.
"""

import heapq
from collections.abc import Callable, Collection
from typing import NamedTuple

from cardamomflow import attempts, buckets, claims, intents, ledgereffects

# Deletion waits longer than the retention, since clocks of hosts differ.
DELETE_MARGIN_S = 600
# An owner that starts looks this far behind the retention for minutes that
# nobody deleted.
SWEEP_BACKLOG_MINUTES = 60

MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 30.0


class Waiting(NamedTuple):
    """An accepted operation that may be taken from `ready_at` on."""

    ready_at: float
    service: str
    bucket: str
    member: str


class _Line:
    """Accepted operations of one service."""

    def __init__(self) -> None:
        self.waiting: list[Waiting] = []
        self.paused_until: float = 0
        self.pause_s = MIN_PAUSE_S

    def ready(self, now: float) -> bool:
        return (
            bool(self.waiting)
            and self.waiting[0].ready_at <= now
            and self.paused_until <= now
        )


class AcceptedQueue:
    """Accepted operations by service and time.

    A service whose backend servers refuse is paused, because each attempt
    costs the platform two writes. One that none of its backend servers would
    take work of is left alone: a claim whose owner dies before it is settled
    ends as unknown.
    """

    def __init__(self) -> None:
        """Start empty; every service takes work."""
        self.takes_work: Callable[[str], bool] = bool
        self._lines_by_service: dict[str, _Line] = {}
        self._known: set[tuple[str, str]] = set()

    def add(self, found: ledgereffects.Accepted) -> None:
        """Add an operation unless it waits already."""
        identity = (found.bucket, found.member)
        if identity in self._known:
            return
        self._known.add(identity)
        heapq.heappush(
            self._line(found.service).waiting,
            Waiting(found.ready_at, found.service, found.bucket, found.member),
        )

    def ready(self, now: float) -> bool:
        """Whether an operation may be taken."""
        return bool(self._ready_lines(now))

    def pop(self, now: float) -> Waiting:
        """Remove and return the ready operation that waits longest."""
        line = min(
            self._ready_lines(now), key=lambda line: line.waiting[0].ready_at
        )
        waiting = heapq.heappop(line.waiting)
        self._known.discard((waiting.bucket, waiting.member))
        return waiting

    def ended(self, service: str, *, was_run: bool, now: float) -> None:
        """Note how an attempt ended; a refusal pauses the service."""
        line = self._line(service)
        if was_run:
            line.pause_s = MIN_PAUSE_S
            line.paused_until = now
            return
        line.paused_until = now + line.pause_s
        line.pause_s = min(line.pause_s * 2, MAX_PAUSE_S)

    def _ready_lines(self, now: float) -> list[_Line]:
        return [
            line
            for service, line in self._lines_by_service.items()
            if line.ready(now) and self.takes_work(service)
        ]

    def _line(self, service: str) -> _Line:
        return self._lines_by_service.setdefault(service, _Line())


class Schedule:
    """Times of scans and deletions for each owned service."""

    def __init__(self, scan_interval_s: float, sweep_interval_s: float) -> None:
        """Take the intervals of one service."""
        self._scan_interval_s = scan_interval_s
        self._sweep_interval_s = sweep_interval_s
        self._scan_at_by_service: dict[str, float] = {}
        self._swept_by_service: dict[str, int] = {}
        self._sweep_at: float = 0

    @property
    def services(self) -> Collection[str]:
        """The owned services."""
        return self._scan_at_by_service.keys()

    def own(self, services: Collection[str]) -> None:
        """Set the owned services; a new one is scanned at once."""
        scan_at = self._scan_at_by_service
        self._scan_at_by_service = {
            service: scan_at.get(service, 0) for service in services
        }
        self._swept_by_service = {
            service: swept
            for service, swept in self._swept_by_service.items()
            if service in self._scan_at_by_service
        }

    def due(self, now: float, unix_time: float) -> list[intents.Intent]:
        """Return the scans and deletions that are due."""
        planned: list[intents.Intent] = []
        for service, scan_at in self._scan_at_by_service.items():
            if now >= scan_at:
                planned.append(buckets.ReadIndex(service))
                self._scan_at_by_service[service] = now + self._scan_interval_s
        if now >= self._sweep_at:
            self._sweep_at = now + self._sweep_interval_s
            planned.extend(self._sweep(unix_time))
        return planned

    def _sweep(self, unix_time: float) -> list[intents.Intent]:
        """Return one deletion for each service that has a minute left."""
        last = claims.minute_of(unix_time) - retained_minutes()
        planned: list[intents.Intent] = []
        for service in self._scan_at_by_service:
            minute = self._swept_by_service.get(
                service, last - SWEEP_BACKLOG_MINUTES
            )
            if minute < last:
                planned.append(buckets.Expire(service, minute + 1))
                self._swept_by_service[service] = minute + 1
        return planned


class Upkeep:
    """Finds, runs again and removes the claims of the owned services."""

    def __init__(
        self,
        claimant: str,
        scan_interval_s: float,
        sweep_interval_s: float,
    ) -> None:
        """Start without services."""
        self._claimant = claimant
        self._accepted = AcceptedQueue()
        self._schedule = Schedule(scan_interval_s, sweep_interval_s)
        self.own = self._schedule.own
        self.due = self._schedule.due
        self.ready = self._accepted.ready
        self.accept = self._accepted.add
        self.ended = self._accepted.ended

    def set_takes_work(self, takes_work: Callable[[str], bool]) -> None:
        """Set what tells whether a service takes work at this moment."""
        self._accepted.takes_work = takes_work

    def owns(self, service: str) -> bool:
        """Whether the process owns a service."""
        return service in self._schedule.services

    def next_operation(self, ticket: int, now: float) -> claims.Operation:
        """Remove the accepted operation that waits longest."""
        waiting = self._accepted.pop(now)
        issued_at, _, key = waiting.member.partition('/')
        return claims.Operation(
            waiting.service,
            key,
            int(issued_at),
            deadline=now + attempts.DEFERRED_BUDGET_S,
            deferred=True,
            ticket=ticket,
        )

    def follow(
        self,
        effect: ledgereffects.IndexRead | ledgereffects.Closed,
        unix_time: float,
    ) -> list[intents.Intent]:
        """Return what the state of the index calls for."""
        if isinstance(effect, ledgereffects.IndexRead):
            return [
                buckets.Inspect(
                    effect.service, minute, self._claimant, effect.revision
                )
                for minute in effect.minutes
            ]
        planned: list[intents.Intent] = [buckets.Remove(effect)]
        age = claims.minute_of(unix_time) - effect.minute
        if age >= retained_minutes():
            planned.append(buckets.Expire(effect.service, effect.minute))
        return planned


def retained_minutes() -> int:
    """Return the age in minutes from which buckets are deleted."""
    retained_s = claims.CLAIM_RETENTION_S + DELETE_MARGIN_S
    return retained_s // claims.MINUTE_S + 1
