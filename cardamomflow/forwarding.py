"""Sends an operation from an entry process to an aggregator.

Once an aggregator may have received the operation, it is sent to no other.
"""

from typing import Any

import curio

from cardamomflow import (
    aggregatorlinks,
    backends,
    callers,
    context,
    errors,
    fanout,
    scatter,
)
from cardamomflow.generated import wire_pb2


class OperationForwarder(aggregatorlinks.AnswerHandler):
    """Sends one operation to an owner of its service."""

    def __init__(
        self,
        process_context: context.Context,
        aggregators: aggregatorlinks.AggregatorLinks,
        caller: callers.Caller,
        request: wire_pb2.OperationRequest,
        candidates: list[str],
    ) -> None:
        """Prepare the request; `run` sends it.

        `candidates` are aggregator ids in the order in which to try them.
        """
        self._context = process_context
        self._aggregators = aggregators
        self._caller = caller
        self._request = request
        self._candidates = candidates
        self._clock = process_context.clock
        self._link: Any = None
        self._send_position = 0
        self._answer: wire_pb2.OperationAnswer | None = None
        self._refusal_code: str | None = None
        self._done = curio.Event()

    async def run(self) -> wire_pb2.OperationAnswer:
        """Return the answer of the first aggregator that accepts the operation.

        Raises
        ------
        errors.FlowError
            Its outcome states whether the operation may have run.
        """
        for aggregator_id in self._candidates:
            if aggregator_id not in self._aggregators.usable():
                continue
            if not await self._dial(aggregator_id):
                continue
            answer = await self._send(aggregator_id)
            if answer is not None:
                return answer
        raise errors.NoReplica(
            f'no aggregator of service {self._caller.service!r} can be reached'
        )

    async def on_answer(self, answer: wire_pb2.OperationAnswer) -> None:
        """Record the answer; one with another request id is ignored."""
        if answer.request_id == self._request.request_id:
            self._answer = answer
            await self._done.set()

    async def on_refusal(self, refusal: wire_pb2.Refusal) -> None:
        """Record that the aggregator did not accept the operation."""
        self._refusal_code = refusal.error_code
        await self._done.set()

    async def on_link_lost(self, attempt_id: int) -> None:
        """Record whether the aggregator may have received the operation."""
        if self._link.was_written(self._send_position):
            self._refusal_code = errors.PeerLost.code
        else:
            self._refusal_code = errors.ConnectFailed.code
        await self._done.set()

    async def _dial(self, aggregator_id: str) -> bool:
        """Return whether a link is open; sends no operation."""
        timeout_s = fanout.dial_limit_s(self._caller, self._clock())
        try:
            await self._aggregators.dial(aggregator_id, timeout_s)
        except errors.ConnectFailed:
            return False
        return True

    async def _send(
        self, aggregator_id: str
    ) -> wire_pb2.OperationAnswer | None:
        """Return an answer, or None if the aggregator did not accept."""
        self._done.clear()
        self._refusal_code = None
        attempt_id = self._context.random.getrandbits(scatter.ATTEMPT_ID_BITS)
        self._request.attempt_id = attempt_id
        remaining_s = fanout.time_to_answer_s(self._caller, self._clock())
        if remaining_s <= 0:
            raise errors.DeadlineUnreachable('the deadline is too close')
        self._request.budget_ms = backends.to_ms(remaining_s)
        try:
            self._link, self._send_position = await self._aggregators.send(
                aggregator_id,
                wire_pb2.Envelope(operation=self._request),
                self,
            )
        except errors.FlowError:
            return None
        try:
            await curio.timeout_after(
                remaining_s + fanout.RESERVE_S / 2, self._done.wait
            )
        except curio.TaskTimeout:
            raise errors.DeadlineExceeded(
                'the outcome is not known yet; get it from /v1/operations'
            ) from None
        finally:
            self._aggregators.remove_handler(self._link, attempt_id)
        if self._refusal_code == errors.PeerLost.code:
            raise errors.PeerLost(
                'lost the aggregator; get the outcome from /v1/operations'
            )
        return self._answer
