"""One query of an entry process on its way to the aggregators and back.

Carries out what `scatter` decides: sends messages, waits, asks the next
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
# Share of the remaining time in which another snapshot has to show up.
REPLAN_SHARE = 0.5
REPLAN_POLL_S = 0.02
# Kept back from the aggregators' budget for their answers to come back.
RESERVE_S = 0.01
# A partial answer leaves the aggregator when its budget ends. With a reserve
# of 10 ms alone, a loop that was busy for 5 ms lost it as a whole.
RESERVE_SHARE = 0.05
MAX_RESERVE_S = 0.05
# Share of the deadline after which the next aggregator is asked as well.
NEXT_AGGREGATOR_SHARE = 0.5
# When no shard was answered, an answer that an aggregator owes may come this
# late, as a share of the request's time. Beside nine fleets the latest of 198
# partial answers left 35 ms behind its budget, of the 50 ms kept back; one that
# is later costs the query all shards.
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
        """Pin a snapshot and list whom to ask for each service.

        Raises
        ------
        errors.NotFound, errors.SnapshotGone
            The service is not known, or no snapshot of it is held.
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
        """Take the request; `run` sends it."""
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
        """Return the finished query, whole or partial."""
        try:
            await self._start(set())
            await self._finish()
        finally:
            if self._scatter is not None:
                await self._abandon()
                self._keep_trace()
        return self._scatter

    async def _finish(self) -> None:
        """Wait for the answers; start again when the snapshot is gone."""
        excluded: set[snapshots.Snapshot] = set()
        for _ in range(MAX_REPLANS):
            if not await self._must_replan():
                return
            excluded.add(self._scatter.pinned.snapshot)
            if not await self._replan(excluded):
                return
        await self._wait()

    async def on_answer(self, answer: wire_pb2.QueryAnswer) -> None:
        """Take an answer and ask elsewhere for what it lacks."""
        elsewhere = self._scatter.answered(answer)
        if elsewhere is None:
            self._context.metrics.increment('link.answers_ignored')
            return
        await self._ask(elsewhere)

    async def on_refusal(self, refusal: wire_pb2.Refusal) -> None:
        """Ask elsewhere; no work was started."""
        await self._ask(
            self._scatter.failed(refusal.attempt_id, refusal.error_code)
        )

    async def on_link_lost(self, attempt_id: int) -> None:
        """Ask elsewhere; queries are idempotent."""
        await self._ask(self._scatter.failed(attempt_id, errors.PeerLost.code))

    async def _start(self, excluded: set[snapshots.Snapshot]) -> None:
        self._scatter = self._planner.plan(
            self._caller, self._spec.limit, excluded
        )
        snapshot = self._scatter.pinned.snapshot
        self._template.snapshot.index = snapshot.index
        self._template.snapshot.version = snapshot.version
        self._template.snapshot.map_revision = snapshot.map_revision
        await self._ask(self._scatter.uncovered_services())

    async def _must_replan(self) -> bool:
        """Wait for the query's end; tell whether its snapshot was lost."""
        await self._wait()
        remaining_s = self._caller.deadline - self._clock()
        return self._scatter.lost_snapshot() and remaining_s > 2 * RESERVE_S

    async def _replan(self, excluded: set[snapshots.Snapshot]) -> bool:
        """Start again on another snapshot.

        Waits for news of one when none is known, since reports lag behind
        the backend servers.

        Returns
        -------
        bool
            False when none became known; the query keeps what it has.
        """
        self._context.metrics.increment('entry.replanned')
        before = self._scatter
        await self._abandon()
        now = self._clock()
        give_up_at = now + (self._caller.deadline - now) * REPLAN_SHARE
        while self._clock() < give_up_at:
            try:
                await self._start(excluded)
            except errors.SnapshotGone:
                await curio.sleep(REPLAN_POLL_S)
            else:
                return True
        self._scatter = before
        return False

    async def _wait(self) -> None:
        deadline = self._caller.deadline - RESERVE_S / 2
        total_s = deadline - self._clock()
        next_at = self._clock() + total_s * NEXT_AGGREGATOR_SHARE
        await self._wait_until(next_at, self._is_finished)
        if not self._scatter.finished:
            self._context.metrics.increment('entry.second_aggregator')
            await self._ask(self._scatter.uncovered_services())
        await self._wait_until(deadline, self._is_finished)
        if self._is_owed_all():
            self._context.metrics.increment('entry.waited_late')
            late_s = min(MAX_LATE_S, total_s * LATE_SHARE)
            await self._wait_until(deadline + late_s, self._is_answered)

    def _is_finished(self) -> bool:
        return self._scatter.finished

    def _is_answered(self) -> bool:
        return self._scatter.finished or self._scatter.answered_any

    def _is_owed_all(self) -> bool:
        """Tell whether no shard was answered, but an answer is due."""
        if self._scatter.answered_any:
            return False
        return any(
            ask.attempt_id in self._links_by_attempt
            for ask in self._scatter.open_asks
        )

    async def _wait_until(
        self, until: float, ended: Callable[[], bool]
    ) -> None:
        remaining_s = until - self._clock()
        while not ended() and remaining_s > 0:
            async with curio.ignore_after(remaining_s):
                await self._changed.wait()
                self._changed.clear()
            remaining_s = until - self._clock()

    async def _ask(self, services: list[str]) -> None:
        """Ask aggregators for services until all messages are sent."""
        # After the deadline only what is owed already is waited for.
        waiting = services if self._clock() < self._caller.deadline else []
        while waiting:
            asks = self._scatter.ask(
                waiting,
                self._aggregators.usable(),
                self._context.random,
            )
            waiting = []
            for ask in asks:
                waiting.extend(await self._start_sending(ask))
        await self._changed.set()

    async def _start_sending(self, ask: scatter.Ask) -> list[str]:
        """Send at once over a link; dial in a task, so that none waits."""
        if self._aggregators.link_to(ask.aggregator_id) is not None:
            return await self._send(ask)
        self._dialing.add(ask.attempt_id)
        await curio.spawn(self._dial_and_send, ask, daemon=True)
        return []

    async def _dial_and_send(self, ask: scatter.Ask) -> None:
        limit_s = dial_limit_s(self._caller, self._clock())
        reason = None
        try:
            await self._aggregators.dial(ask.aggregator_id, limit_s)
        except errors.ConnectFailed as error:
            reason = error.code
        if ask.attempt_id not in self._dialing:
            # The query ended or started again meanwhile.
            return
        self._dialing.discard(ask.attempt_id)
        if reason is None:
            await self._ask(await self._send(ask))
        else:
            await self._ask(self._scatter.failed(ask.attempt_id, reason))

    async def _send(self, ask: scatter.Ask) -> list[str]:
        remaining_s = self._caller.deadline - self._clock()
        request = scatter.make_request(
            ask,
            self._scatter,
            self._template,
            backends.to_ms(remaining_s - _reserve_s(remaining_s)),
        )
        try:
            link, _ = await self._aggregators.send(
                ask.aggregator_id, wire_pb2.Envelope(query=request), self
            )
        except errors.FlowError as error:
            return self._scatter.failed(ask.attempt_id, error.code)
        self._links_by_attempt[ask.attempt_id] = link
        return []

    async def _abandon(self) -> None:
        """Cancel what is still open and forget all attempts."""
        self._dialing.clear()
        for attempt_id, used in self._links_by_attempt.items():
            self._aggregators.remove_handler(used, attempt_id)
        for ask in self._scatter.open_asks:
            link = self._links_by_attempt.get(ask.attempt_id)
            if link is not None and link.is_open:
                await link.post(
                    wire_pb2.Envelope(
                        cancel=wire_pb2.Cancel(attempt_id=ask.attempt_id)
                    )
                )
        self._links_by_attempt.clear()

    def _keep_trace(self) -> None:
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
    """Return the time that is left before an answer has to be here."""
    return caller.deadline - RESERVE_S - now


def dial_limit_s(caller: callers.Caller, now: float) -> float:
    """Return how long a request may wait for a dial."""
    return time_to_answer_s(caller, now) * aggregatorlinks.DIAL_SHARE


def _reserve_s(remaining_s: float) -> float:
    return min(MAX_RESERVE_S, max(RESERVE_S, remaining_s * RESERVE_SHARE))
