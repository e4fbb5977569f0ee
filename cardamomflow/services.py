"""Work of one service in an aggregator.

Owns the queue of the service and carries out what the sans-I/O modules
decide: whom to ask, when to hedge, whether to retry.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from cardamomflow import (
    admission,
    batching,
    callrunner,
    calls,
    context,
    errors,
    queries,
    register,
    replicaset,
    rules,
    tickets,
    timertask,
    workqueue,
)

# Leaves 3 s of the 5 s in which a leaving backend server gets its last work.
STATUS_INTERVAL_S = 2.0
# After a lost snapshot the holdings are read again within this time.
STATUS_STEP_S = 0.1


class ServiceContext(NamedTuple):
    """What a service group uses of its process."""

    context: context.Context
    timers: timertask.TimerTask
    policy: callrunner.Policy
    rules: rules.Rules
    capacity: int
    finished: Any


class ServiceGroup(callrunner.Requeue):
    """Queue and replicas of one service."""

    def __init__(
        self,
        service: register.Service,
        source: register.Register,
        service_context: ServiceContext,
    ) -> None:
        """Take the service and its backend servers from the register."""
        self.active = False
        self.poll_due = False
        self.replicas = replicaset.ReplicaSet(
            service, source, service_context.context
        )
        self._name = service.name
        self._batch_size = batching.BatchSize()
        self._service_context = service_context
        self._clock = service_context.context.clock
        self._metrics = service_context.context.metrics
        self._queue = workqueue.WorkQueue(
            service_context.rules, service_context.capacity, self._clock
        )
        self._calls = callrunner.CallRunner(
            service.name,
            self.replicas,
            service_context.context,
            service_context.timers,
            service_context.policy,
            self,
        )
        self._operations = tickets.OperationSender(
            self.replicas, service_context.context
        )

    async def apply(
        self, source: register.Register, service_context: ServiceContext
    ) -> None:
        """Take a changed configuration; queued work is kept."""
        if service_context.rules != self._service_context.rules:
            await self._refuse_all(
                self._queue.apply_rules(service_context.rules)
            )
        self._service_context = service_context
        self._calls.apply(service_context.policy)
        for pool in self.replicas.apply(source):
            await pool.retire()
        await self.pump()

    async def submit(self, items: list[queries.QueryItem]) -> None:
        """Queue the items of a query and send what can be sent."""
        self.active = True
        for item in items:
            await self._offer(item, self._queue.offer)
        await self.pump()

    async def pump(self) -> None:
        """Send queued work while replicas have room."""
        now = self._clock()
        await self._refuse_all(self._queue.expire(now))
        while len(self._queue) and self.replicas.has_capacity():
            queued = self._queue.take(now, self._can_start)
            if queued is None:
                break
            await self._start(queued, now)
        await self._refuse_all(self._queue.expire(now))

    async def discard(self, job: queries.QueryJob) -> None:
        """Drop the queued items of a query and cancel its attempts."""
        attempts_by_backend: dict[str, list[str]] = {}
        for item in job.items_of(self._name):
            self._queue.remove(item)
            for attempt, backend_id in item.backends_by_attempt.items():
                attempts_by_backend.setdefault(backend_id, []).append(attempt)
        for backend_id, attempts in attempts_by_backend.items():
            await self._calls.cancel(backend_id, attempts)

    async def poll_status(self) -> bool:
        """Read all status reports; tell whether holdings changed."""
        self.poll_due = False
        changed = await self.replicas.poll()
        await self.pump()
        return changed

    async def retire(self) -> None:
        """Close all connections as their calls end."""
        self.active = False
        await self.replicas.retire()

    async def run_operation(
        self,
        operation_key: str,
        payload: bytes,
        budget_s: float,
        rank: rules.Rank,
        may_send: Callable[[], bool],
    ) -> bytes:
        """Send an operation once and return its result as JSON.

        Another replica is asked only when it is proved that the operation
        was not started. `may_send` is asked immediately before each send.

        Raises
        ------
        errors.FlowError
            Its outcome tells whether the operation ran.
        """
        self.active = True
        deadline = self._clock() + budget_s
        tried: set[str] = set()
        while True:
            backend_id = await self._reserve(tried, rank, deadline)
            tried.add(backend_id)
            try:
                return await self._operations.send(
                    backend_id, operation_key, payload, deadline, may_send
                )
            except errors.FlowError as error:
                if error.outcome is not errors.Outcome.NOT_RUN:
                    raise
                self._metrics.increment('operations.refused_by_backend')
            finally:
                await curio.spawn(self.pump, daemon=True)

    def snapshot_lost(self) -> None:
        """Read the holdings again soon."""
        self.poll_due = True

    def waiting(self) -> int:
        """Return the number of queued items."""
        return len(self._queue)

    def _can_start(self, queued: admission.QueuedItem) -> bool:
        """Tell whether queued work can be started or given up now."""
        untried = self.untried(queued.item)
        return not untried or bool(self.replicas.select_available(untried))

    def untried(self, item: Any) -> list[str]:
        """Return the backend servers that work may still be sent to."""
        if isinstance(item, tickets.OperationTicket):
            candidates = self.replicas.accepting_backends()
        else:
            candidates = self.replicas.candidates(item.shard, item.job.snapshot)
        return [found for found in candidates if found not in item.tried]

    async def _start(self, queued: admission.QueuedItem, now: float) -> None:
        item = queued.item
        if item.settled:
            return
        backend_id = self._acquire(self.untried(item), now)
        if backend_id is None:
            error = _unservable(item, self.replicas)
            self.poll_due |= isinstance(error, errors.SnapshotGone)
            await self._refuse(item, error)
        elif isinstance(item, tickets.OperationTicket):
            await item.grant(backend_id)
        else:
            batch = self._fill_batch(backend_id, item, queued.rank, now)
            await self._calls.start(backend_id, batch, hedged=False)

    def _acquire(self, backend_ids: list[str], now: float) -> str | None:
        """Choose a backend server and take a place of its limit."""
        chosen = self.replicas.chooser.choose(
            self.replicas.select_available(backend_ids), now
        )
        if chosen is None:
            return None
        if not self.replicas.limits_by_backend[chosen].try_acquire(now):
            return None
        return chosen

    def _fill_batch(
        self,
        backend_id: str,
        first: queries.QueryItem,
        rank: rules.Rank,
        now: float,
    ) -> list[queries.QueryItem]:
        """Add queued items of one rank and snapshot to the same call."""

        def suits(queued: admission.QueuedItem) -> bool:
            item = queued.item
            return queued.rank == rank and self.shares_call(
                item, backend_id, first
            )

        batch = [first]
        limit = self._batch_size.limit()
        while len(batch) < limit and len(self._queue):
            queued = self._queue.take(now, suits)
            if queued is None:
                break
            if not queued.item.settled:
                batch.append(queued.item)
        return batch

    def shares_call(
        self, item: Any, backend_id: str, first: queries.QueryItem
    ) -> bool:
        """Tell whether an item can share the call of another one."""
        if isinstance(item, tickets.OperationTicket):
            return False
        if item.job.snapshot != first.job.snapshot:
            return False
        return backend_id not in item.tried and self.replicas.may_hold(
            backend_id, item.shard, item.job.snapshot
        )

    async def _reserve(
        self, tried: set[str], rank: rules.Rank, deadline: float
    ) -> str:
        """Wait for a slot of a backend server that was not tried."""
        ticket = tickets.OperationTicket(tried)
        if not self.untried(ticket):
            raise errors.NoReplica(
                f'no backend server of {self._name} takes the operation'
            )
        self._queue.offer_ticket(ticket, rank, deadline)
        await self.pump()
        try:
            return await ticket.wait(deadline - self._clock())
        except errors.FlowError:
            self._queue.remove(ticket)
            raise

    async def offer_again(self, item: queries.QueryItem) -> None:
        """Queue an item whose attempt failed, ahead of those that wait."""
        await self._offer(item, self._queue.requeue)

    async def _offer(
        self,
        item: queries.QueryItem,
        queue: Callable[[queries.QueryItem], None],
    ) -> None:
        try:
            queue(item)
        except errors.FlowError as error:
            self._metrics.increment(f'queue.refused.{item.job.rank.label}')
            await self.give_up(item, error.code)

    async def give_up(self, item: queries.QueryItem, reason: str) -> None:
        """Settle an item as missing."""
        if not item.settled and item.job.fail(item, reason):
            await self._service_context.finished(item.job)

    async def completed(self, item: queries.QueryItem, rows: list[Any]) -> None:
        """Settle an item with its rows."""
        if item.job.complete(item, rows):
            await self._service_context.finished(item.job)

    async def ended(self, call: calls.Call, latency_s: float | None) -> None:
        """Feed the wait estimate and send what waited for the call."""
        if latency_s is not None:
            count = len(call.items_by_attempt)
            self._batch_size.record_call(count, latency_s)
            self._queue.record_duration(latency_s / count)
        await self.pump()

    async def _refuse(self, item: Any, error: errors.FlowError) -> None:
        if isinstance(item, tickets.OperationTicket):
            await item.refuse(error)
        else:
            await self.give_up(item, error.code)

    async def _refuse_all(self, refused: list[workqueue.RefusedItem]) -> None:
        for item, error in refused:
            self._metrics.increment(f'queue.expired.{error.code}')
            await self._refuse(item, error)


def _unservable(item: Any, replicas: replicaset.ReplicaSet) -> errors.FlowError:
    """Return why no backend server can be asked for work."""
    is_query = isinstance(item, queries.QueryItem)
    if is_query and not replicas.is_held(item.shard, item.job.snapshot):
        return errors.SnapshotGone('no backend server holds the snapshot')
    return errors.NoReplica('no replica is left')
