"""Sends one query of an entry process to aggregators and collects the answers.

Executes the decisions of `scatter`: sends messages, waits, sends to the next
aggregator, and starts again when the pinned snapshot is gone.
"""

import abc
import json
from collections.abc import Callable

import curio

from cardamomflow import (
    aggregatorlinks,
    backends,
    callers,
    context,
    errors,
    scatter,
    snapshots,
)
from cardamomflow.generated import wire_pb2

MAX_REPLANS = 2
# Share of the remaining time in which another snapshot has to be reported.
REPLAN_SHARE = 0.5
REPLAN_POLL_S = 0.02
# Subtracted from the aggregators' budget, for the transfer of their answers.
RESERVE_S = 0.01
# An aggregator sends a partial answer when its budget ends. With a reserve of
# 10 ms alone, an event loop that is busy for 5 ms loses the whole answer.
RESERVE_SHARE = 0.05
MAX_RESERVE_S = 0.05
# Share of the time budget after which the next aggregator gets a message too.
NEXT_AGGREGATOR_SHARE = 0.5
# While no shard is covered, an outstanding answer is accepted this long after
# the deadline, as a share of the request's time. On a busy machine, a partial
# answer is sent up to 35 ms after its budget ends, and the reserve is at most
# 50 ms. Without this wait, a later answer would cost the query all shards.
LATE_SHARE = 0.25
MAX_LATE_S = 0.25


class Planner(abc.ABC):
    """Pins snapshots for queries."""

    @abc.abstractmethod
    def plan(
        self,
        caller: callers.Caller,
        limit: int,
        excluded: set[snapshots.Snapshot],
    ) -> scatter.Scatter:
        """Pin a snapshot and list the candidate aggregators of each service.

        Raises
        ------
        errors.NotFound, errors.SnapshotGone
            The service is unknown, or no snapshot of it is held.
        """


class Fanout(aggregatorlinks.AnswerHandler):
    """Sends one query and waits for its answers."""

    def __init__(
        self,
        process_context: context.Context,
        planner: Planner,
        aggregators: aggregatorlinks.AggregatorLinks,
        caller: callers.Caller,
        spec: callers.QuerySpec,
    ) -> None:
        self._context = process_context
        self._planner = planner
        self._aggregators = aggregators
        self._caller = caller
        self._spec = spec
        self._clock = process_context.clock
        self._links_by_attempt: dict[int, aggregatorlinks.WireLink] = {}
        self._dialing: set[int] = set()
        self._changed = curio.Event()
        self._scatter: scatter.Scatter | None = None
        trace = process_context.tracer.sample(forced=spec.traced)
        self._span = process_context.tracer.start_span('entry.query', trace)
        self._template = wire_pb2.QueryRequest(
            request_id=caller.request_id,
            customer=caller.customer,
            rank=scatter.rank_number(caller.rank),
            query=json.dumps(spec.query).encode(),
            limit=spec.limit,
        )
        if self._span is not None:
            self._template.trace.CopyFrom(self._span.context)

    async def run(self) -> scatter.Scatter:
        """Run the query; return it with a complete or partial answer."""
        try:
            await self._plan_and_send(set())
            await self._wait_and_replan()
        finally:
            if self._scatter is not None:
                await self._cancel_open_attempts()
                self._record_trace()
        return self._scatter

    async def _wait_and_replan(self) -> None:
        """Wait for the answers; start again when the snapshot is gone."""
        excluded: set[snapshots.Snapshot] = set()
        for _ in range(MAX_REPLANS):
            if not await self._wait_and_check_snapshot():
                return
            excluded.add(self._scatter.pinned.snapshot)
            if not await self._replan(excluded):
                return
        await self._wait_for_answers()

    async def on_answer(self, answer: wire_pb2.QueryAnswer) -> None:
        """Record an answer; retry its failures at another aggregator."""
        retried_services = self._scatter.record_answer(answer)
        if retried_services is None:
            self._context.metrics.increment('link.answers_ignored')
            return
        await self._send_requests(retried_services)

    async def on_refusal(self, refusal: wire_pb2.Refusal) -> None:
        """Retry at another aggregator; no work was started."""
        await self._send_requests(
            self._scatter.record_failure(refusal.attempt_id, refusal.error_code)
        )

    async def on_link_lost(self, attempt_id: int) -> None:
        """Retry at another aggregator; queries are idempotent."""
        await self._send_requests(
            self._scatter.record_failure(attempt_id, errors.PeerLost.code)
        )

    async def _plan_and_send(self, excluded: set[snapshots.Snapshot]) -> None:
        self._scatter = self._planner.plan(
            self._caller, self._spec.limit, excluded
        )
        snapshot = self._scatter.pinned.snapshot
        self._template.snapshot.index = snapshot.index
        self._template.snapshot.version = snapshot.version
        self._template.snapshot.map_revision = snapshot.map_revision
        await self._send_requests(self._scatter.uncovered_services())

    async def _wait_and_check_snapshot(self) -> bool:
        """Wait for the answers; return whether to replan.

        A query is replanned when its snapshot was lost and enough time is left.
        """
        await self._wait_for_answers()
        remaining_s = self._caller.deadline - self._clock()
        return self._scatter.is_snapshot_lost() and remaining_s > 2 * RESERVE_S

    async def _replan(self, excluded: set[snapshots.Snapshot]) -> bool:
        """Start again on another snapshot.

        Waits until one is reported, since reports lag behind the backend
        servers.

        Returns
        -------
        bool
            False when none was reported; the query keeps its answers.
        """
        self._context.metrics.increment('entry.replanned')
        previous_scatter = self._scatter
        await self._cancel_open_attempts()
        now = self._clock()
        replan_until = now + (self._caller.deadline - now) * REPLAN_SHARE
        while self._clock() < replan_until:
            try:
                await self._plan_and_send(excluded)
            except errors.SnapshotGone:
                await curio.sleep(REPLAN_POLL_S)
            else:
                return True
        self._scatter = previous_scatter
        return False

    async def _wait_for_answers(self) -> None:
        deadline = self._caller.deadline - RESERVE_S / 2
        total_s = deadline - self._clock()
        next_at = self._clock() + total_s * NEXT_AGGREGATOR_SHARE
        await self._wait_until(next_at, self._is_finished)
        if not self._scatter.is_finished:
            self._context.metrics.increment('entry.second_aggregator')
            await self._send_requests(self._scatter.uncovered_services())
        await self._wait_until(deadline, self._is_finished)
        if self._is_first_answer_pending():
            self._context.metrics.increment('entry.waited_late')
            late_s = min(MAX_LATE_S, total_s * LATE_SHARE)
            await self._wait_until(deadline + late_s, self._has_any_answer)

    def _is_finished(self) -> bool:
        return self._scatter.is_finished

    def _has_any_answer(self) -> bool:
        return self._scatter.is_finished or self._scatter.has_answered_shard

    def _is_first_answer_pending(self) -> bool:
        """Return whether no shard is covered but an answer is outstanding."""
        if self._scatter.has_answered_shard:
            return False
        return any(
            attempt.attempt_id in self._links_by_attempt
            for attempt in self._scatter.open_attempts
        )

    async def _wait_until(
        self, until: float, is_done: Callable[[], bool]
    ) -> None:
        remaining_s = until - self._clock()
        while not is_done() and remaining_s > 0:
            async with curio.ignore_after(remaining_s):
                await self._changed.wait()
                self._changed.clear()
            remaining_s = until - self._clock()

    async def _send_requests(self, services: list[str]) -> None:
        """Request services from aggregators until all messages are sent."""
        # After the deadline, only outstanding answers are awaited.
        unsent_services = (
            services if self._clock() < self._caller.deadline else []
        )
        while unsent_services:
            attempts = self._scatter.assign(
                unsent_services,
                self._aggregators.usable(),
                self._context.random,
            )
            unsent_services = []
            for attempt in attempts:
                unsent_services.extend(await self._send_or_dial(attempt))
        await self._changed.set()

    async def _send_or_dial(
        self, attempt: scatter.AggregatorAttempt
    ) -> list[str]:
        """Send over an open link; otherwise, dial in a separate task."""
        if self._aggregators.link_to(attempt.aggregator_id) is not None:
            return await self._send(attempt)
        self._dialing.add(attempt.attempt_id)
        await curio.spawn(self._dial_and_send, attempt, daemon=True)
        return []

    async def _dial_and_send(self, attempt: scatter.AggregatorAttempt) -> None:
        limit_s = dial_limit_s(self._caller, self._clock())
        reason = None
        try:
            await self._aggregators.dial(attempt.aggregator_id, limit_s)
        except errors.ConnectFailed as error:
            reason = error.code
        if attempt.attempt_id not in self._dialing:
            # The query has ended or started again in the meantime.
            return
        self._dialing.discard(attempt.attempt_id)
        if reason is None:
            await self._send_requests(await self._send(attempt))
        else:
            await self._send_requests(
                self._scatter.record_failure(attempt.attempt_id, reason)
            )

    async def _send(self, attempt: scatter.AggregatorAttempt) -> list[str]:
        remaining_s = self._caller.deadline - self._clock()
        request = scatter.make_request(
            attempt,
            self._scatter,
            self._template,
            backends.to_ms(remaining_s - _reserve_s(remaining_s)),
        )
        try:
            link, _ = await self._aggregators.send(
                attempt.aggregator_id, wire_pb2.Envelope(query=request), self
            )
        except errors.FlowError as error:
            return self._scatter.record_failure(attempt.attempt_id, error.code)
        self._links_by_attempt[attempt.attempt_id] = link
        return []

    async def _cancel_open_attempts(self) -> None:
        """Cancel the open attempts and ignore later answers to them."""
        self._dialing.clear()
        for attempt_id, used_link in self._links_by_attempt.items():
            self._aggregators.remove_handler(used_link, attempt_id)
        for attempt in self._scatter.open_attempts:
            link = self._links_by_attempt.get(attempt.attempt_id)
            if link is not None and link.is_open:
                await link.post(
                    wire_pb2.Envelope(
                        cancel=wire_pb2.Cancel(attempt_id=attempt.attempt_id)
                    )
                )
        self._links_by_attempt.clear()

    def _record_trace(self) -> None:
        if self._span is None:
            return
        summary = self._scatter.result().summary()
        finished = self._span.finish(
            service=self._caller.service,
            rank=self._caller.rank.label,
            answered=summary.answered,
            total=summary.total,
        )
        self._context.tracer.store_spans(
            self._caller.request_id, [finished, *self._scatter.spans]
        )


def time_to_answer_s(caller: callers.Caller, now: float) -> float:
    """Return the time until an answer must have arrived, in seconds."""
    return caller.deadline - RESERVE_S - now


def dial_limit_s(caller: callers.Caller, now: float) -> float:
    """Return how long a request may wait for a dial, in seconds."""
    return time_to_answer_s(caller, now) * aggregatorlinks.DIAL_SHARE


def _reserve_s(remaining_s: float) -> float:
    return min(MAX_RESERVE_S, max(RESERVE_S, remaining_s * RESERVE_SHARE))
