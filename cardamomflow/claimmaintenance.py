"""Background maintenance of the claims of the owned services; sans-I/O.

Owns the queue of accepted operations and the schedule of the scans for open
claims and of the deletions.
"""

import heapq
from collections.abc import Callable, Collection
from typing import NamedTuple

from cardamomflow import attempts, buckets, claims, intents, ledgereffects

# Buckets are deleted this long after the retention, since the clocks of hosts
# differ.
DELETE_MARGIN_S = 600
# A new owner also deletes buckets up to this much older than the youngest
# deletable one, since a previous owner may not have deleted them.
SWEEP_BACKLOG_MINUTES = 60

MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 30.0


class AcceptedOperation(NamedTuple):
    """An accepted operation that may be claimed from `ready_at` on."""

    ready_at: float
    service: str
    bucket: str
    member: str


class _ServiceQueue:
    """Accepted operations of one service."""

    def __init__(self) -> None:
        self.operations: list[AcceptedOperation] = []
        self.paused_until: float = 0
        self.pause_s = MIN_PAUSE_S

    def is_ready(self, now: float) -> bool:
        return (
            bool(self.operations)
            and self.operations[0].ready_at <= now
            and self.paused_until <= now
        )


class AcceptedQueue:
    """Accepted operations by service and time.

    A service whose backend servers refuse work is paused, because each
    attempt costs the platform two writes. Operations of a service without a
    backend server that accepts work are not claimed: if the owner crashed
    before the claim has an outcome, the operation would end as unknown.
    """

    def __init__(self) -> None:
        """Create an empty queue for which every service accepts work."""
        self.accepts_work: Callable[[str], bool] = bool
        self._queues_by_service: dict[str, _ServiceQueue] = {}
        self._queued_ids: set[tuple[str, str]] = set()

    def add(self, accepted: ledgereffects.Accepted) -> None:
        """Add an operation unless it is in the queue already."""
        identity = (accepted.bucket, accepted.member)
        if identity in self._queued_ids:
            return
        self._queued_ids.add(identity)
        heapq.heappush(
            self._queue(accepted.service).operations,
            AcceptedOperation(
                accepted.ready_at,
                accepted.service,
                accepted.bucket,
                accepted.member,
            ),
        )

    def is_ready(self, now: float) -> bool:
        """Whether an operation may be claimed."""
        return bool(self._ready_queues(now))

    def pop(self, now: float) -> AcceptedOperation:
        """Remove and return the operation that has been ready longest."""
        queue = min(
            self._ready_queues(now),
            key=lambda queue: queue.operations[0].ready_at,
        )
        operation = heapq.heappop(queue.operations)
        self._queued_ids.discard((operation.bucket, operation.member))
        return operation

    def record_attempt(
        self, service: str, *, was_run: bool, now: float
    ) -> None:
        """Record the end of an attempt; pause the service if it did not run."""
        queue = self._queue(service)
        if was_run:
            queue.pause_s = MIN_PAUSE_S
            queue.paused_until = now
            return
        queue.paused_until = now + queue.pause_s
        queue.pause_s = min(queue.pause_s * 2, MAX_PAUSE_S)

    def _ready_queues(self, now: float) -> list[_ServiceQueue]:
        return [
            queue
            for service, queue in self._queues_by_service.items()
            if queue.is_ready(now) and self.accepts_work(service)
        ]

    def _queue(self, service: str) -> _ServiceQueue:
        return self._queues_by_service.setdefault(service, _ServiceQueue())


class Schedule:
    """Times of scans and deletions for each owned service."""

    def __init__(self, scan_interval_s: float, sweep_interval_s: float) -> None:
        """Set the intervals, which apply to each service."""
        self._scan_interval_s = scan_interval_s
        self._sweep_interval_s = sweep_interval_s
        self._scan_at_by_service: dict[str, float] = {}
        self._swept_minute_by_service: dict[str, int] = {}
        self._sweep_at: float = 0

    @property
    def services(self) -> Collection[str]:
        """The owned services."""
        return self._scan_at_by_service.keys()

    def set_owned_services(self, services: Collection[str]) -> None:
        """Set the owned services; new ones are scanned at once."""
        scan_at = self._scan_at_by_service
        self._scan_at_by_service = {
            service: scan_at.get(service, 0) for service in services
        }
        self._swept_minute_by_service = {
            service: minute
            for service, minute in self._swept_minute_by_service.items()
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
        """Return one deletion for each service with buckets to delete."""
        last = claims.minute_of(unix_time) - retained_minutes()
        planned: list[intents.Intent] = []
        for service in self._scan_at_by_service:
            minute = self._swept_minute_by_service.get(
                service, last - SWEEP_BACKLOG_MINUTES
            )
            if minute < last:
                planned.append(buckets.DeleteBucket(service, minute + 1))
                self._swept_minute_by_service[service] = minute + 1
        return planned


class ClaimMaintenance:
    """Finds accepted operations to claim, and deletes old claims."""

    def __init__(
        self,
        claimant: str,
        scan_interval_s: float,
        sweep_interval_s: float,
    ) -> None:
        """Create the maintenance of a process that owns no service yet."""
        self._claimant = claimant
        self._accepted = AcceptedQueue()
        self._schedule = Schedule(scan_interval_s, sweep_interval_s)
        self.set_owned_services = self._schedule.set_owned_services
        self.due = self._schedule.due
        self.is_ready = self._accepted.is_ready
        self.add_accepted = self._accepted.add
        self.record_attempt = self._accepted.record_attempt

    def set_accepts_work(self, accepts_work: Callable[[str], bool]) -> None:
        """Set the function that returns whether a service accepts work."""
        self._accepted.accepts_work = accepts_work

    def owns(self, service: str) -> bool:
        """Whether the process owns a service."""
        return service in self._schedule.services

    def next_operation(self, ticket: int, now: float) -> claims.Operation:
        """Remove and return the operation that has been ready longest."""
        accepted = self._accepted.pop(now)
        issued_at, _, key = accepted.member.partition('/')
        return claims.Operation(
            accepted.service,
            key,
            int(issued_at),
            deadline=now + attempts.DEFERRED_BUDGET_S,
            deferred=True,
            ticket=ticket,
        )

    def plan_for(
        self,
        effect: ledgereffects.IndexRead | ledgereffects.BucketClosed,
        unix_time: float,
    ) -> list[intents.Intent]:
        """Return the intents that follow from a read index or closed bucket."""
        if isinstance(effect, ledgereffects.IndexRead):
            return [
                buckets.InspectBucket(
                    effect.service, minute, self._claimant, effect.revision
                )
                for minute in effect.minutes
            ]
        planned: list[intents.Intent] = [buckets.UnlistMinute(effect)]
        age = claims.minute_of(unix_time) - effect.minute
        if age >= retained_minutes():
            planned.append(buckets.DeleteBucket(effect.service, effect.minute))
        return planned


def retained_minutes() -> int:
    """Return the age in minutes at which buckets are deleted."""
    retained_s = claims.CLAIM_RETENTION_S + DELETE_MARGIN_S
    return retained_s // claims.MINUTE_S + 1
