"""Calls of one service: sending, hedging, checking answers, retrying.

Owns the calls in progress. The service group decides what is sent next; a call
reports to it through `ServiceQueue`.
"""

import abc
from typing import Any, NamedTuple

import curio

from cardamomflow import (
    backends,
    calls,
    context,
    errors,
    hedging,
    limits,
    queries,
    replicaset,
    retries,
    timertask,
)

MAX_ATTEMPTS = 3
# Mean wait before an item is sent again to a replica that failed it.
REPEAT_BACKOFF_MS = 10
# Outcomes whose latency counts for the hedge delay. Without timeouts, it would
# be computed from fast calls only.
_HEDGE_DELAY_OUTCOMES = (limits.CallOutcome.SUCCESS, limits.CallOutcome.TIMEOUT)


class Policy(NamedTuple):
    """Hedging and retry budgets that all services of a process share."""

    hedges: hedging.HedgePolicy
    retry_budget: retries.RetryBudget


class ServiceQueue(abc.ABC):
    """The queue of a service, as its calls use it."""

    @abc.abstractmethod
    def queued_count(self) -> int:
        """Return the number of queued items."""

    @abc.abstractmethod
    def on_snapshot_lost(self) -> None:
        """Handle a backend server that no longer holds a snapshot."""

    @abc.abstractmethod
    def untried_backends(self, item: Any) -> list[str]:
        """Return the candidate backend servers that were not tried yet."""

    @abc.abstractmethod
    def can_share_call(
        self, item: Any, backend_id: str, first: queries.QueryItem
    ) -> bool:
        """Return whether an item can share the call of another one."""

    @abc.abstractmethod
    async def requeue_item(self, item: queries.QueryItem) -> None:
        """Queue an item whose attempt failed."""

    @abc.abstractmethod
    async def send_queued(self) -> None:
        """Send queued work while replicas have free slots."""

    @abc.abstractmethod
    async def fail_item(self, item: queries.QueryItem, reason: str) -> None:
        """Settle an item as missing."""

    @abc.abstractmethod
    async def complete_item(
        self, item: queries.QueryItem, rows: list[Any]
    ) -> None:
        """Settle an item with its rows."""

    @abc.abstractmethod
    async def on_call_ended(
        self, call: calls.Call, latency_s: float | None
    ) -> None:
        """Handle the end of a call; the latency is None when it failed."""


class CallRunner:
    """Sends the calls of one service."""

    def __init__(
        self,
        service: str,
        replicas: replicaset.ReplicaSet,
        process_context: context.Context,
        process_timers: timertask.TimerTask,
        policy: Policy,
        service_queue: ServiceQueue,
    ) -> None:
        self._service = service
        self._replicas = replicas
        self._context = process_context
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._timers = process_timers
        self._policy = policy
        self._service_queue = service_queue

    def apply(self, policy: Policy) -> None:
        """Apply the limits of changed rules."""
        self._policy = policy

    async def start(
        self,
        backend_id: str,
        items: list[queries.QueryItem],
        *,
        hedged: bool,
    ) -> None:
        """Send a call; its slot of the limit is already taken."""
        now = self._clock()
        self._replicas.chooser.record_start(backend_id, now)
        random_source = self._context.random
        call = calls.Call(
            backend_id,
            {calls.new_attempt_id(random_source): item for item in items},
            now,
            hedged,
        )
        for attempt, item in call.items_by_attempt.items():
            item.start_attempt(attempt, backend_id)
        self._metrics.increment('backend.attempts', len(items))
        self._metrics.increment('backend.calls')
        if not hedged:
            self._policy.hedges.record_first_attempts(len(items))
            self._policy.retry_budget.record_first_attempts(len(items))
            await self._schedule_hedge(call)
        await curio.spawn(self._run_call, call, daemon=True)

    async def _schedule_hedge(self, call: calls.Call) -> None:
        if not self._has_other_replica():
            return

        async def hedge(now: float) -> None:
            await self._hedge(call, now)

        delay_s = self._policy.hedges.delay_s(self._service)
        await self._timers.schedule(call.hedge_at(delay_s), hedge)

    def _has_other_replica(self) -> bool:
        return len(self._replicas.pools_by_backend) > 1

    async def _hedge(self, call: calls.Call, now: float) -> None:
        open_items = call.open_items()
        if not open_items:
            return
        other_backends = self._replicas.select_available(
            self._service_queue.untried_backends(open_items[0])
        )
        backend_id = self._replicas.chooser.choose(other_backends, now)
        if backend_id is None:
            return
        hedged_items = [
            item
            for item in open_items
            if self._service_queue.can_share_call(
                item, backend_id, open_items[0]
            )
            and self._policy.hedges.withdraw_token(
                self._service_queue.queued_count()
            )
        ]
        limit = self._replicas.limits_by_backend[backend_id]
        if hedged_items and limit.try_acquire(now):
            self._metrics.increment('backend.hedges', len(hedged_items))
            await self.start(backend_id, hedged_items, hedged=True)

    async def _run_call(self, call: calls.Call) -> None:
        span = self._start_span(call)
        try:
            answers = await self._send(call)
        except errors.FlowError as error:
            self._settle(call, calls.outcome_of(error), span)
            await self._on_call_failed(call, error)
            await self._service_queue.on_call_ended(call, None)
        else:
            await self._process_answers(call, answers, span)

    async def _send(self, call: calls.Call) -> calls.CheckedAnswers:
        pool = self._replicas.pools_by_backend.get(call.backend_id)
        if pool is None:
            raise errors.NoReplica('the backend server was removed')
        now = self._clock()
        timeout_s = call.timeout_s(
            now, has_other_replica=self._has_other_replica()
        )
        reply = await pool.call(
            '/v1/query',
            call.document(now, timeout_s),
            timeout_s,
            fresh=call.repeated,
        )
        answers = backends.check_reply(reply).get('items')
        return calls.check_answers(call, answers)

    async def _process_answers(
        self, call: calls.Call, checked: calls.CheckedAnswers, span: Any
    ) -> None:
        outcome = limits.CallOutcome.SUCCESS
        if checked.has_violation:
            self._metrics.increment('backend.answers_rejected')
            outcome = limits.CallOutcome.FAILED
        latency_s = self._settle(call, outcome, span)
        for answered_item, rows in checked.answered:
            await self._on_item_answered(answered_item, rows)
        for refused_item, reason in checked.refused:
            await self._on_item_refused(refused_item, reason)
        for rejected_item in checked.rejected:
            await self._retry(rejected_item, errors.ProtocolViolation.code)
        await self._service_queue.on_call_ended(
            call, None if checked.has_violation else latency_s
        )

    async def _on_item_answered(
        self, item: queries.QueryItem, rows: list[Any]
    ) -> None:
        if item.settled:
            self._metrics.increment('backend.answers_late')
            return
        other_attempts = list(item.backends_by_attempt.items())
        await self._service_queue.complete_item(item, rows)
        for other_attempt, backend_id in other_attempts:
            await self.cancel(backend_id, [other_attempt])

    async def _on_item_refused(
        self, item: queries.QueryItem, reason: str
    ) -> None:
        if reason == errors.SnapshotGone.code:
            self._service_queue.on_snapshot_lost()
            await self._requeue_if_untried(item, reason)
        else:
            await self._retry(item, reason)

    def _settle(
        self, call: calls.Call, outcome: limits.CallOutcome, span: Any
    ) -> float:
        """End the attempts of a call and return its latency in seconds.

        Must be called before its items are queued again: an item with an
        attempt in flight is not sent again.
        """
        latency_s = self._replicas.record_call_end(
            call.backend_id, outcome, call.started_at
        )
        if outcome in _HEDGE_DELAY_OUTCOMES:
            self._policy.hedges.observe(self._service, latency_s)
        for attempt, item in call.items_by_attempt.items():
            item.end_attempt(attempt)
        _finish_span(span, call, outcome)
        return latency_s

    def _start_span(self, call: calls.Call) -> Any:
        root = call.first_item.job.root_span
        if root is None:
            return None
        return self._context.tracer.start_span('backend.call', root.context)

    async def _on_call_failed(
        self, call: calls.Call, error: errors.FlowError
    ) -> None:
        if isinstance(error, errors.DeadlineExceeded):
            await self.cancel(call.backend_id, list(call.items_by_attempt))
        reason = error.code
        if isinstance(error, errors.BackendRefused):
            reason = error.message
            self._replicas.record_refusal(call.backend_id, reason)
        for item in call.items_by_attempt.values():
            await self._retry(item, reason)

    async def _retry(self, item: queries.QueryItem, reason: str) -> None:
        """Queue an item again if attempts and the retry budget allow it.

        After a failure of every replica, the item is sent to any of them after
        a backoff. Without this, one failure of each of two replicas would lose
        the shard.
        """
        if not _record_failure(item, reason):
            return
        if item.attempts_sent >= MAX_ATTEMPTS:
            await self._service_queue.fail_item(item, reason)
        elif self._policy.retry_budget.withdraw():
            self._metrics.increment('backend.retries')
            await self._requeue_for_retry(item)
        else:
            self._metrics.increment('backend.retries_refused')
            await self._service_queue.fail_item(item, reason)

    async def _requeue_for_retry(self, item: queries.QueryItem) -> None:
        if self._service_queue.untried_backends(item):
            await self._service_queue.requeue_item(item)
        else:
            await self._requeue_after_backoff(item)

    async def _requeue_after_backoff(self, item: queries.QueryItem) -> None:
        """Queue an item again, for any replica, after a backoff."""
        item.tried.clear()

        async def requeue_unsettled(now: float) -> None:
            if not item.settled:
                await self._service_queue.requeue_item(item)
                await self._service_queue.send_queued()

        delay_s = retries.backoff_s(1, REPEAT_BACKOFF_MS, self._context.random)
        await self._timers.schedule(self._clock() + delay_s, requeue_unsettled)

    async def _requeue_if_untried(
        self, item: queries.QueryItem, reason: str
    ) -> None:
        """Queue an item again if an untried replica is left, else fail it."""
        if not _record_failure(item, reason):
            return
        if self._service_queue.untried_backends(item):
            await self._service_queue.requeue_item(item)
        else:
            await self._service_queue.fail_item(item, reason)

    async def cancel(self, backend_id: str, attempts: list[str]) -> None:
        """Cancel attempts that are no longer needed at a backend server."""
        pool = self._replicas.pools_by_backend.get(backend_id)
        if pool is not None and attempts:
            self._metrics.increment('backend.cancels', len(attempts))
            await curio.spawn(pool.cancel, attempts, daemon=True)


def _record_failure(item: queries.QueryItem, reason: str) -> bool:
    """Record why an attempt failed; return whether another one is needed."""
    if item.settled:
        return False
    item.job.record_failure(item, reason)
    return not item.in_flight


def _finish_span(
    span: Any, call: calls.Call, outcome: limits.CallOutcome
) -> None:
    if span is not None:
        call.first_item.job.spans.append(
            span.finish(
                backend_id=call.backend_id,
                outcome=outcome.name.lower(),
                items=len(call.items_by_attempt),
                hedged=call.hedged,
            )
        )
