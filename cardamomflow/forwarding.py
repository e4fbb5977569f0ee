"""One operation of an entry process on its way to an aggregator.

An aggregator that may have received the operation is never followed by
another one.
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


class Forwarding(aggregatorlinks.Waiter):
    """Sends one operation to an owner of its service."""

    def __init__(
        self,
        process_context: context.Context,
        aggregators: aggregatorlinks.AggregatorLinks,
        caller: callers.Caller,
        request: wire_pb2.OperationRequest,
        candidates: list[str],
    ) -> None:
        """Take the request and whom to ask; `run` sends it."""
        self._context = process_context
        self._aggregators = aggregators
        self._caller = caller
        self._request = request
        self._candidates = candidates
        self._clock = process_context.clock
        self._link: Any = None
        self._position = 0
        self._answer: wire_pb2.OperationAnswer | None = None
        self._refusal: str | None = None
        self._done = curio.Event()

    async def run(self) -> wire_pb2.OperationAnswer:
        """Return the answer of the aggregator that took the operation.

        Raises
        ------
        errors.FlowError
            Its outcome tells whether the operation may have run.
        """
        for aggregator_id in self._candidates:
            if aggregator_id not in self._aggregators.usable():
                continue
            if not await self._dial(aggregator_id):
                continue
            answer = await self._try(aggregator_id)
            if answer is not None:
                return answer
        raise errors.NoReplica(
            f'no aggregator of service {self._caller.service!r} can be reached'
        )

    async def answered(self, answer: wire_pb2.OperationAnswer) -> None:
        """Take the outcome."""
        if answer.request_id == self._request.request_id:
            self._answer = answer
            await self._done.set()

    async def refused(self, refusal: wire_pb2.Refusal) -> None:
        """Note that the aggregator did not take the operation."""
        self._refusal = refusal.error_code
        await self._done.set()

    async def lost(self, attempt_id: int) -> None:
        """Note whether the aggregator may have received it."""
        if self._link.was_written(self._position):
            self._refusal = errors.PeerLost.code
        else:
            self._refusal = errors.ConnectFailed.code
        await self._done.set()

    async def _dial(self, aggregator_id: str) -> bool:
        """Tell whether there is a link; nothing is sent without one."""
        limit_s = fanout.dial_limit_s(self._caller, self._clock())
        try:
            await self._aggregators.dial(aggregator_id, limit_s)
        except errors.ConnectFailed:
            return False
        return True

    async def _try(self, aggregator_id: str) -> wire_pb2.OperationAnswer | None:
        """Return an answer, or None when the aggregator did not take it."""
        self._done.clear()
        self._refusal = None
        attempt_id = self._context.random.getrandbits(scatter.ATTEMPT_ID_BITS)
        self._request.attempt_id = attempt_id
        remaining_s = fanout.time_to_answer_s(self._caller, self._clock())
        if remaining_s <= 0:
            raise errors.DeadlineUnreachable('the deadline is too close')
        self._request.budget_ms = backends.to_ms(remaining_s)
        try:
            self._link, self._position = await self._aggregators.send(
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
                'the outcome is not known yet; ask /v1/operations for it'
            ) from None
        finally:
            self._aggregators.forget(self._link, attempt_id)
        if self._refusal == errors.PeerLost.code:
            raise errors.PeerLost(
                'the aggregator was lost; ask /v1/operations for the outcome'
            )
        return self._answer
