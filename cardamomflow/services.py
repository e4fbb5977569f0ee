"""Work of one service in an aggregator.

Owns the queue of the service and executes the decisions of the sans-I/O
modules: which backend server gets a call, when to hedge, whether to retry.
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

# A leaving backend server must get no new work after 5 s; this interval leaves
# 3 s of them.
STATUS_INTERVAL_S = 2.0
# Interval of the check for groups whose poll is due: after a lost snapshot, the
# holdings are read again within this time.
STATUS_CHECK_INTERVAL_S = 0.1


class ServiceContext(NamedTuple):
    """What a service group needs from its process."""

    context: context.Context
    timers: timertask.TimerTask
    policy: callrunner.Policy
    rules: rules.Rules
    capacity: int
    on_query_finished: Any


class ServiceGroup(callrunner.ServiceQueue):
    """Queue and replicas of one service."""

    def __init__(
        self,
        service: register.Service,
        source: register.Register,
        service_context: ServiceContext,
    ) -> None:
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
        """Apply a changed configuration; queued work is kept."""
        if service_context.rules != self._service_context.rules:
            await self._refuse_all(
                self._queue.apply_rules(service_context.rules)
            )
        self._service_context = service_context
        self._calls.apply(service_context.policy)
        for pool in self.replicas.apply(source):
            await pool.retire()
        await self.send_queued()

    async def submit(self, items: list[queries.QueryItem]) -> None:
        """Queue the items of a query and send as many as replicas accept."""
        self.active = True
        for item in items:
            await self._offer(item, self._queue.offer)
        await self.send_queued()

    async def send_queued(self) -> None:
        """Send queued work while replicas have free slots."""
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
        """Read all status reports; return whether holdings changed."""
        self.poll_due = False
        changed = await self.replicas.poll()
        await self.send_queued()
        return changed

    async def retire(self) -> None:
        """Close idle connections now and the others as their calls end."""
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

        The operation is sent to another replica only when it is proved that
        the last one did not start it. `may_send` is called immediately before
        each send.

        Raises
        ------
        errors.FlowError
            The outcome of the error shows whether the operation ran.
        """
        self.active = True
        deadline = self._clock() + budget_s
        tried: set[str] = set()
        while True:
            backend_id = await self._reserve_backend(tried, rank, deadline)
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
                await curio.spawn(self.send_queued, daemon=True)

    def on_snapshot_lost(self) -> None:
        """Make the next poll due, which reads the holdings again."""
        self.poll_due = True

    def queued_count(self) -> int:
        """Return the number of queued items."""
        return len(self._queue)

    def _can_start(self, queued: admission.QueuedItem) -> bool:
        """Return whether queued work can be sent or refused now."""
        untried_backends = self.untried_backends(queued.item)
        return not untried_backends or bool(
            self.replicas.select_available(untried_backends)
        )

    def untried_backends(self, item: Any) -> list[str]:
        """Return the candidate backend servers that were not tried yet."""
        if isinstance(item, tickets.OperationTicket):
            candidates = self.replicas.accepting_backends()
        else:
            candidates = self.replicas.candidates(item.shard, item.job.snapshot)
        return [
            backend_id
            for backend_id in candidates
            if backend_id not in item.tried
        ]

    async def _start(self, queued: admission.QueuedItem, now: float) -> None:
        item = queued.item
        if item.settled:
            return
        backend_id = self._acquire_backend(self.untried_backends(item), now)
        if backend_id is None:
            error = _unavailable_error(item, self.replicas)
            self.poll_due |= isinstance(error, errors.SnapshotGone)
            await self._refuse(item, error)
        elif isinstance(item, tickets.OperationTicket):
            await item.grant(backend_id)
        else:
            batch = self._fill_batch(backend_id, item, queued.rank, now)
            await self._calls.start(backend_id, batch, hedged=False)

    def _acquire_backend(
        self, backend_ids: list[str], now: float
    ) -> str | None:
        """Choose a backend server and take a slot of its limit."""
        backend_id = self.replicas.chooser.choose(
            self.replicas.select_available(backend_ids), now
        )
        if backend_id is None:
            return None
        if not self.replicas.limits_by_backend[backend_id].try_acquire(now):
            return None
        return backend_id

    def _fill_batch(
        self,
        backend_id: str,
        first: queries.QueryItem,
        rank: rules.Rank,
        now: float,
    ) -> list[queries.QueryItem]:
        """Return a first item and queued items that can share its call."""

        def can_join(queued: admission.QueuedItem) -> bool:
            item = queued.item
            return queued.rank == rank and self.can_share_call(
                item, backend_id, first
            )

        batch = [first]
        limit = self._batch_size.limit()
        while len(batch) < limit and len(self._queue):
            queued = self._queue.take(now, can_join)
            if queued is None:
                break
            if not queued.item.settled:
                batch.append(queued.item)
        return batch

    def can_share_call(
        self, item: Any, backend_id: str, first: queries.QueryItem
    ) -> bool:
        """Return whether an item can share the call of another one."""
        if isinstance(item, tickets.OperationTicket):
            return False
        if item.job.snapshot != first.job.snapshot:
            return False
        return backend_id not in item.tried and self.replicas.may_hold(
            backend_id, item.shard, item.job.snapshot
        )

    async def _reserve_backend(
        self, tried: set[str], rank: rules.Rank, deadline: float
    ) -> str:
        """Wait for a slot of a backend server that was not tried."""
        ticket = tickets.OperationTicket(tried)
        if not self.untried_backends(ticket):
            raise errors.NoReplica(
                f'no backend server of {self._name} accepts the operation'
            )
        self._queue.offer_ticket(ticket, rank, deadline)
        await self.send_queued()
        try:
            return await ticket.wait(deadline - self._clock())
        except errors.FlowError:
            self._queue.remove(ticket)
            raise

    async def requeue_item(self, item: queries.QueryItem) -> None:
        """Queue an item whose attempt failed, ahead of the waiting items."""
        await self._offer(item, self._queue.requeue)

    async def _offer(
        self,
        item: queries.QueryItem,
        enqueue: Callable[[queries.QueryItem], None],
    ) -> None:
        try:
            enqueue(item)
        except errors.FlowError as error:
            self._metrics.increment(f'queue.refused.{item.job.rank.label}')
            await self.fail_item(item, error.code)

    async def fail_item(self, item: queries.QueryItem, reason: str) -> None:
        """Settle an item as missing."""
        if not item.settled and item.job.fail(item, reason):
            await self._service_context.on_query_finished(item.job)

    async def complete_item(
        self, item: queries.QueryItem, rows: list[Any]
    ) -> None:
        """Settle an item with its rows."""
        if item.job.complete(item, rows):
            await self._service_context.on_query_finished(item.job)

    async def on_call_ended(
        self, call: calls.Call, latency_s: float | None
    ) -> None:
        """Update the estimates and send queued work to the freed slot."""
        if latency_s is not None:
            count = len(call.items_by_attempt)
            self._batch_size.record_call(count, latency_s)
            self._queue.record_duration(latency_s / count)
        await self.send_queued()

    async def _refuse(self, item: Any, error: errors.FlowError) -> None:
        if isinstance(item, tickets.OperationTicket):
            await item.refuse(error)
        else:
            await self.fail_item(item, error.code)

    async def _refuse_all(self, refused: list[workqueue.RefusedItem]) -> None:
        for item, error in refused:
            self._metrics.increment(f'queue.expired.{error.code}')
            await self._refuse(item, error)


def _unavailable_error(
    item: Any, replicas: replicaset.ReplicaSet
) -> errors.FlowError:
    """Return the error of an item that no backend server is left for."""
    is_query = isinstance(item, queries.QueryItem)
    if is_query and not replicas.is_held(item.shard, item.job.snapshot):
        return errors.SnapshotGone('no backend server holds the snapshot')
    return errors.NoReplica('no replica is left')
