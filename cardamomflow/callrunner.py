"""Calls of one service: sending, hedging, checking answers, retrying.

Owns the calls in progress. What is to be sent next is decided by the service
group, which is told through `Requeue`.
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
# Mean wait before a replica that failed an item is asked for it again.
REPEAT_BACKOFF_MS = 10
# Without the calls that timed out, the hedge delay would only be learned
# from fast ones.
_OBSERVED = (limits.CallOutcome.SUCCESS, limits.CallOutcome.TIMEOUT)


class Policy(NamedTuple):
    """Decisions shared by all services of a process."""

    hedges: hedging.HedgePolicy
    retry_budget: retries.RetryBudget


class Requeue(abc.ABC):
    """What a call asks of the queue of its service."""

    @abc.abstractmethod
    def waiting(self) -> int:
        """Return the number of queued items."""

    @abc.abstractmethod
    def snapshot_lost(self) -> None:
        """Note that a backend server no longer holds a snapshot."""

    @abc.abstractmethod
    def untried(self, item: Any) -> list[str]:
        """Return the backend servers that an item may still be sent to."""

    @abc.abstractmethod
    def shares_call(
        self, item: Any, backend_id: str, first: queries.QueryItem
    ) -> bool:
        """Tell whether an item can share the call of another one."""

    @abc.abstractmethod
    async def offer_again(self, item: queries.QueryItem) -> None:
        """Queue an item whose attempt failed."""

    @abc.abstractmethod
    async def pump(self) -> None:
        """Send queued work while replicas have room."""

    @abc.abstractmethod
    async def give_up(self, item: queries.QueryItem, reason: str) -> None:
        """Settle an item as missing."""

    @abc.abstractmethod
    async def completed(self, item: queries.QueryItem, rows: list[Any]) -> None:
        """Settle an item with its rows."""

    @abc.abstractmethod
    async def ended(self, call: calls.Call, latency_s: float | None) -> None:
        """Note the end of a call; the latency is None when it failed."""


class CallRunner:
    """Sends the calls of one service."""

    def __init__(
        self,
        service: str,
        replicas: replicaset.ReplicaSet,
        process_context: context.Context,
        process_timers: timertask.TimerTask,
        policy: Policy,
        requeue: Requeue,
    ) -> None:
        """Take what decides and who is told."""
        self._service = service
        self._replicas = replicas
        self._context = process_context
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._timers = process_timers
        self._policy = policy
        self._requeue = requeue

    def apply(self, policy: Policy) -> None:
        """Take the bounds of changed rules."""
        self._policy = policy

    async def start(
        self,
        backend_id: str,
        items: list[queries.QueryItem],
        *,
        hedged: bool,
    ) -> None:
        """Send a call whose place in the limit is already taken."""
        now = self._clock()
        self._replicas.chooser.record_start(backend_id, now)
        generator = self._context.random
        call = calls.Call(
            backend_id,
            {calls.new_attempt_id(generator): item for item in items},
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
        await self._timers.at(call.hedge_at(delay_s), hedge)

    def _has_other_replica(self) -> bool:
        return len(self._replicas.pools_by_backend) > 1

    async def _hedge(self, call: calls.Call, now: float) -> None:
        open_items = call.open_items()
        if not open_items:
            return
        others = self._replicas.select_available(
            self._requeue.untried(open_items[0])
        )
        backend_id = self._replicas.chooser.choose(others, now)
        if backend_id is None:
            return
        paid = [
            item
            for item in open_items
            if self._requeue.shares_call(item, backend_id, open_items[0])
            and self._policy.hedges.withdraw_token(self._requeue.waiting())
        ]
        limit = self._replicas.limits_by_backend[backend_id]
        if paid and limit.try_acquire(now):
            self._metrics.increment('backend.hedges', len(paid))
            await self.start(backend_id, paid, hedged=True)

    async def _run_call(self, call: calls.Call) -> None:
        span = self._start_span(call)
        try:
            answers = await self._send(call)
        except errors.FlowError as error:
            self._settle(call, calls.outcome_of(error), span)
            await self._call_failed(call, error)
            await self._requeue.ended(call, None)
        else:
            await self._take_answers(call, answers, span)

    async def _send(self, call: calls.Call) -> calls.Checked:
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

    async def _take_answers(
        self, call: calls.Call, checked: calls.Checked, span: Any
    ) -> None:
        outcome = limits.CallOutcome.SUCCESS
        if checked.violated:
            self._metrics.increment('backend.answers_rejected')
            outcome = limits.CallOutcome.FAILED
        latency_s = self._settle(call, outcome, span)
        for answered, rows in checked.answered:
            await self._answered(answered, rows)
        for refused, reason in checked.refused:
            await self._item_refused(refused, reason)
        for rejected in checked.rejected:
            await self._retry(rejected, errors.ProtocolViolation.code)
        await self._requeue.ended(call, None if checked.violated else latency_s)

    async def _answered(self, item: queries.QueryItem, rows: list[Any]) -> None:
        if item.settled:
            self._metrics.increment('backend.answers_late')
            return
        losers = list(item.backends_by_attempt.items())
        await self._requeue.completed(item, rows)
        for loser, backend_id in losers:
            await self.cancel(backend_id, [loser])

    async def _item_refused(self, item: queries.QueryItem, reason: str) -> None:
        if reason == errors.SnapshotGone.code:
            self._requeue.snapshot_lost()
            await self._resend(item, reason)
        else:
            await self._retry(item, reason)

    def _settle(
        self, call: calls.Call, outcome: limits.CallOutcome, span: Any
    ) -> float:
        """End the attempts of a call and return its latency in seconds.

        Comes before its items are queued again: an item whose attempt is in
        flight waits for that attempt.
        """
        latency_s = self._replicas.record_call_end(
            call.backend_id, outcome, call.started_at
        )
        if outcome in _OBSERVED:
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

    async def _call_failed(
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
        """Ask another replica when budget and time allow it.

        When all were asked, they are asked again after a wait: with two
        replicas, one failure of each would lose the shard otherwise.
        """
        if not _needs_attempt(item, reason):
            return
        if item.attempts_sent >= MAX_ATTEMPTS:
            await self._requeue.give_up(item, reason)
        elif self._policy.retry_budget.withdraw():
            self._metrics.increment('backend.retries')
            await self._send_again(item)
        else:
            self._metrics.increment('backend.retries_refused')
            await self._requeue.give_up(item, reason)

    async def _send_again(self, item: queries.QueryItem) -> None:
        if self._requeue.untried(item):
            await self._requeue.offer_again(item)
        else:
            await self._repeat(item)

    async def _repeat(self, item: queries.QueryItem) -> None:
        """Queue an item again, for any replica, after a backoff."""
        item.tried.clear()

        async def offer(now: float) -> None:
            if not item.settled:
                await self._requeue.offer_again(item)
                await self._requeue.pump()

        delay_s = retries.backoff_s(1, REPEAT_BACKOFF_MS, self._context.random)
        await self._timers.at(self._clock() + delay_s, offer)

    async def _resend(self, item: queries.QueryItem, reason: str) -> None:
        """Queue an item again when an untried replica is left."""
        if not _needs_attempt(item, reason):
            return
        if self._requeue.untried(item):
            await self._requeue.offer_again(item)
        else:
            await self._requeue.give_up(item, reason)

    async def cancel(self, backend_id: str, attempts: list[str]) -> None:
        """Tell a backend server that attempts are no longer needed."""
        pool = self._replicas.pools_by_backend.get(backend_id)
        if pool is not None and attempts:
            self._metrics.increment('backend.cancels', len(attempts))
            await curio.spawn(pool.cancel, attempts, daemon=True)


def _needs_attempt(item: queries.QueryItem, reason: str) -> bool:
    """Note why an attempt failed; tell whether another one is of use."""
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
