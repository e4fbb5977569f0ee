"""Runs operations in the aggregator and performs the actions of the ledger.

Owns the curio tasks of platform calls and dispatches. The ledger makes every
decision.
"""

import abc
import itertools
import time
from collections.abc import Collection
from typing import Any

import curio

from cardamomflow import claims, errors, events, ledger, ledgereffects, writes
from cardamomflow.generated import wire_pb2

TICK_S = 0.02
# Without open work, only scans, deletions and work accepted by other owners
# become due.
IDLE_TICK_S = 0.25
DEFERRED_IN_DISPATCH = 4
# A dispatcher ends at the deadline. One that does not is cancelled this long
# after it.
DISPATCH_GRACE_S = 1.0
_WIRE_OUTCOMES = {
    errors.Outcome.NOT_RUN: wire_pb2.OUTCOME_NOT_RUN,
    errors.Outcome.RUN: wire_pb2.OUTCOME_RUN,
    errors.Outcome.UNKNOWN: wire_pb2.OUTCOME_UNKNOWN,
    errors.Outcome.ACCEPTED: wire_pb2.OUTCOME_ACCEPTED,
}

_OUTCOMES_BY_STATE = {
    claims.State.RUN: errors.Outcome.RUN,
    claims.State.NOT_RUN: errors.Outcome.NOT_RUN,
    claims.State.ACCEPTED: errors.Outcome.ACCEPTED,
    claims.State.DISPATCHING: errors.Outcome.ACCEPTED,
}


class _Call:
    """A call of `OperationRunner.execute` and its result."""

    def __init__(self, operation: claims.Operation, is_lookup: bool) -> None:
        self.operation = operation
        self.is_lookup = is_lookup
        self.done = curio.Event()
        self.outcome = errors.Outcome.UNKNOWN
        self.error: errors.FlowError | None = None
        self.result = b''

    async def fail(self, error: errors.FlowError) -> None:
        self.error = error
        self.outcome = error.outcome
        await self.done.set()

    async def succeed(
        self, outcome: errors.Outcome, result: bytes = b''
    ) -> None:
        self.outcome = outcome
        self.result = result
        await self.done.set()

    async def resolve(self, record: claims.Record) -> None:
        if record.state is claims.State.UNKNOWN:
            await self.fail(
                errors.OperationUnresolved(
                    f'the attempt for {self.operation.operation_key} ended '
                    f'without an outcome; the operation is not run again'
                )
            )
        elif record.result_omitted:
            await self.fail(
                errors.ResultNotKept(
                    f'{self.operation.operation_key} was run; its result '
                    f'was too large to be stored'
                )
            )
        else:
            await self.succeed(_OUTCOMES_BY_STATE[record.state], record.result)


class Dispatcher(abc.ABC):
    """Sends operations to backend servers."""

    @abc.abstractmethod
    def accepts_work(self, service: str) -> bool:
        """Whether a backend server of a service accepts new work."""

    @abc.abstractmethod
    async def dispatch(
        self,
        service: str,
        operation_key: str,
        payload: bytes,
        budget_s: float,
        rank: int,
    ) -> bytes:
        """Run an operation once and return its result as JSON.

        An implementation calls `OperationRunner.may_send` immediately before
        the send, after any wait of its own. If the result is false, it raises
        an error with the outcome `not_run`. It makes a second attempt only
        after the backend server proved that the first did not start.

        Raises
        ------
        errors.FlowError
            Its `outcome` is exact.
        """


class OperationRunner:
    """Executes operations under claims, and maintains the stored claims."""

    def __init__(
        self,
        operation_ledger: ledger.Ledger,
        platform: Any,
        dispatcher: Dispatcher,
        context: Any,
    ) -> None:
        """Create a runner that calls the platform and the dispatcher.

        Parameters
        ----------
        operation_ledger : ledger.Ledger
        platform : platform.Platform
        dispatcher : Dispatcher
        context : context.Context
            Of the process.
        """
        self._ledger = operation_ledger
        self._platform = platform
        self._dispatcher = dispatcher
        self._context = context
        self._tickets = itertools.count(1)
        self._calls_by_ticket: dict[int, _Call] = {}
        self._deferred_tickets: set[int] = set()
        self._stopping = False
        self._work_arrived = curio.Event()
        self._ledger.synchronize(context.clock(), time.time())
        self._ledger.set_accepts_work(dispatcher.accepts_work)

    def set_owned_services(self, services: Collection[str]) -> None:
        """Set the services that this process owns."""
        self._ledger.set_owned_services(services)

    def may_send(self, operation_key: str) -> bool:
        """Whether the operation may be sent now."""
        return self._ledger.may_send(operation_key, self._now())

    async def execute(
        self, request: wire_pb2.OperationRequest, deadline: float
    ) -> wire_pb2.OperationAnswer:
        """Run, accept or look up an operation.

        Parameters
        ----------
        request : wire_pb2.OperationRequest
        deadline : float
            Monotonic seconds.

        Returns
        -------
        wire_pb2.OperationAnswer
            Contains any error. If the caller disconnects, an operation in
            dispatch continues and its outcome is recorded.
        """
        call = _Call(self._make_operation(request, deadline), request.lookup)
        self._calls_by_ticket[call.operation.ticket] = call
        await self._work_arrived.set()
        try:  # noqa: WPS501  # cancellation passes through
            await self._wait(call)
        finally:
            # Without a caller, an operation that is not in dispatch is not
            # sent. One in dispatch continues and its outcome is recorded.
            # Nothing here awaits, so it also runs when the task is cancelled.
            self._ledger.abandon(call.operation)
            del self._calls_by_ticket[call.operation.ticket]
        self._context.metrics.increment(f'operations.{call.outcome}')
        return wire_pb2.OperationAnswer(
            attempt_id=request.attempt_id,
            request_id=request.request_id,
            outcome=_WIRE_OUTCOMES[call.outcome],
            error_code=call.error.code if call.error else '',
            error_message=call.error.message if call.error else '',
            result=call.result,
        )

    async def run_background(self) -> None:
        """Write outcomes back, run deferred work and delete old claims."""
        while True:
            await self._wait_for_tick()
            await self.tick()

    async def _wait_for_tick(self) -> None:
        if not self._ledger.idle:
            await curio.sleep(TICK_S)
            return
        self._work_arrived.clear()
        async with curio.ignore_after(IDLE_TICK_S):
            await self._work_arrived.wait()

    async def tick(self) -> None:
        """Run the work that is due."""
        now = self._now()
        await self._perform(self._ledger.run_due(now))
        for urgency, count in self._ledger.collect_delayed().items():
            self._context.metrics.increment(
                f'operations.platform_delayed.{urgency}', count
            )
        while (
            not self._stopping
            and len(self._deferred_tickets) < DEFERRED_IN_DISPATCH
            and self._ledger.may_claim_accepted(now)
        ):
            ticket = next(self._tickets)
            self._deferred_tickets.add(ticket)
            await self._perform(self._ledger.claim_accepted(ticket, now))

    async def drain(self, timeout_s: float) -> bool:
        """Claim no more deferred work and wait for operations in dispatch.

        Returns
        -------
        bool
            False if an outcome is still unwritten after `timeout_s`.
        """
        self._stopping = True
        async with curio.ignore_after(timeout_s):
            while not self._ledger.settled:
                await curio.sleep(TICK_S)
        return self._ledger.settled

    def _now(self) -> float:
        now = self._context.clock()
        self._ledger.synchronize(now, time.time())
        return now

    def _make_operation(
        self, request: wire_pb2.OperationRequest, deadline: float
    ) -> claims.Operation:
        return claims.Operation(
            request.service,
            request.key,
            request.issued_at,
            request.payload,
            deadline,
            request.deferred,
            request.rank,
            next(self._tickets),
        )

    async def _wait(self, call: _Call) -> None:
        now = self._now()
        begin = self._ledger.lookup if call.is_lookup else self._ledger.claim
        await self._perform(begin(call.operation, now))
        async with curio.ignore_after(max(0, call.operation.deadline - now)):
            await call.done.wait()
        if not call.done.is_set():
            await self._perform(self._ledger.abandon(call.operation))
        if not call.done.is_set():
            await call.fail(
                errors.DeadlineExceeded(
                    f'{call.operation.operation_key} was sent and did not '
                    f'end before the deadline; look up its outcome later'
                )
            )

    async def _perform(self, actions: list[ledger.Action]) -> None:
        for action in actions:
            if isinstance(action, ledger.Dispatch):
                await curio.spawn(
                    self._run_operation, action.operation, daemon=True
                )
            elif isinstance(
                action, ledgereffects.Refuse | ledgereffects.Resolved
            ):
                await self._complete_call(action)
            else:
                await curio.spawn(self._call_platform, action, daemon=True)

    async def _complete_call(
        self, answer: ledgereffects.Refuse | ledgereffects.Resolved
    ) -> None:
        ticket = answer.operation.ticket
        self._deferred_tickets.discard(ticket)
        call = self._calls_by_ticket.get(ticket)
        if call is None:
            return
        if isinstance(answer, ledgereffects.Refuse):
            await call.fail(answer.error)
        else:
            await call.resolve(answer.record)

    async def _call_platform(
        self, action: writes.Load | writes.Store | writes.Delete
    ) -> None:
        self._context.metrics.increment(
            f'operations.store_calls.{type(action).__name__.lower()}'
        )
        if isinstance(action, writes.Load):
            await self._load(action)
            return
        outcome, present = await self._write(action)
        if outcome is not writes.StoreOutcome.APPLIED:
            self._context.metrics.increment(
                f'operations.store_calls.{outcome.value}'
            )
        await self._perform(
            self._ledger.on_stored(action, outcome, present, self._now())
        )

    async def _load(self, action: writes.Load) -> None:
        try:
            entry = await self._platform.read(action.key)
        except errors.FlowError:
            await self._perform(
                self._ledger.on_load_failed(action.key, self._now())
            )
            return
        await self._perform(
            self._ledger.on_loaded(
                action.key, *_value_and_revision(entry), self._now()
            )
        )

    async def _write(
        self, action: writes.Store | writes.Delete
    ) -> tuple[writes.StoreOutcome, tuple[bytes | None, int]]:
        try:
            entry = await self._send_write(action)
        except errors.Conflict as conflict:
            present = getattr(conflict, 'present', None)
            return writes.StoreOutcome.CONFLICT, _value_and_revision(present)
        except errors.FlowError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                return writes.StoreOutcome.UNAVAILABLE, _value_and_revision(
                    None
                )
            return writes.StoreOutcome.LOST, _value_and_revision(None)
        return writes.StoreOutcome.APPLIED, _value_and_revision(entry)

    async def _send_write(self, action: writes.Store | writes.Delete) -> Any:
        if isinstance(action, writes.Delete):
            return await self._platform.delete(
                action.key, action.expected_revision
            )
        return await self._platform.compare_and_swap(
            action.key, action.value, action.expected_revision
        )

    async def _run_operation(self, operation: claims.Operation) -> None:
        """Send an operation whose claim is confirmed."""
        outcome, result, error = await self._dispatch(operation)
        self._deferred_tickets.discard(operation.ticket)
        actions = self._ledger.finish(operation, outcome, result, self._now())
        call = self._calls_by_ticket.get(operation.ticket)
        if call is not None and error is None:
            await call.succeed(outcome, result)
        elif call is not None:
            await call.fail(error)
        await self._perform(actions)

    async def _dispatch(
        self, operation: claims.Operation
    ) -> tuple[errors.Outcome, bytes, errors.FlowError | None]:
        now = self._now()
        if not self._ledger.may_send(operation.operation_key, now):
            return errors.Outcome.NOT_RUN, b'', ledgereffects.window_passed()
        budget_s = operation.deadline - now
        try:
            result = await curio.timeout_after(
                budget_s + DISPATCH_GRACE_S,
                self._dispatcher.dispatch,
                operation.service,
                operation.operation_key,
                operation.payload,
                budget_s,
                operation.rank,
            )
        except errors.FlowError as error:
            return error.outcome, b'', error
        except curio.TaskTimeout:
            error = errors.DeadlineExceeded('the dispatch did not end')
            return error.outcome, b'', error
        except Exception as exception:
            # An exception must not leave the claim without an outcome.
            self._context.journal.error(
                events.Event.DISPATCH_FAILED, failure=repr(exception)
            )
            error = errors.FlowError('the dispatch failed')
            return error.outcome, b'', error
        return errors.Outcome.RUN, result, None


def _value_and_revision(entry: Any) -> tuple[bytes | None, int]:
    if entry is None:
        return None, 0
    return entry.value, entry.revision
