"""Claims and outcomes of operations that must not run twice; sans-I/O.

Owns the open calls and the operations in dispatch. Each method takes an event
and the time, and returns actions. The caller performs the actions and reports
their results to the ledger.
"""

import heapq
import random as random_module
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from cardamomflow import (
    attempts,
    buckets,
    budget,
    claimmaintenance,
    claims,
    errors,
    ledgereffects,
    outcomes,
    writes,
)

DISPATCH_WINDOW_S = attempts.DISPATCH_WINDOW_S
_TOKEN_BITS = 64


class Options(NamedTuple):
    """Limits and intervals of a ledger.

    Attributes
    ----------
    maximum_batch : int
        Changes in one write.
    write_back_delay_s : float
        Wait before an outcome is written, so that outcomes of the same
        bucket share one write.
    retry_interval_s : float
        Time between calls for one document while the platform is down.
    maximum_unwritten : int
        Operations in dispatch and outcomes not yet written. At this number,
        new operations are refused.
    maximum_unwritten_bytes : int
        Results not yet written, in bytes. At this size, new operations are
        refused.
    scan_interval_s : float
        Time between two scans of a service for accepted operations whose
        owner is gone.
    sweep_interval_s : float
        Time between two deletions of an old bucket of a service.
    reads_per_s : float
        Rate of reads from the platform. Further reads wait, urgent ones
        first.
    writes_per_s : float
        Rate of writes and deletions, with the same rule.
    """

    maximum_batch: int = 64
    write_back_delay_s: float = 0.05
    retry_interval_s: float = 0.25
    maximum_unwritten: int = 10_000
    maximum_unwritten_bytes: int = 33_554_432
    scan_interval_s: float = 30
    # A new bucket starts every 60 s and two are deleted in that time, so a
    # backlog shrinks by one bucket each minute. An interval of 1 s would cost
    # 6,400 reads/s when a fleet of 1,600 services in 4 zones starts at once.
    sweep_interval_s: float = 30
    # With the burst, 8 processes make at most 1,500 reads and 300 writes in
    # any second. The store handles 2,000 reads and several hundred writes a
    # second.
    reads_per_s: float = 150
    writes_per_s: float = 30


class Dispatch(NamedTuple):
    """Send the operation if `Ledger.may_send` allows; report to `finish`."""

    operation: claims.Operation


Action = writes.Call | Dispatch | ledgereffects.Refuse | ledgereffects.Resolved
_CallIntent = attempts.Attempt | outcomes.Lookup


class _OpenCalls:
    """Calls without an answer, by ticket."""

    def __init__(self) -> None:
        self._intents_by_ticket: dict[int, _CallIntent] = {}
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._intents_by_ticket)

    def add(self, intent: _CallIntent) -> None:
        operation = intent.operation
        self._intents_by_ticket[operation.ticket] = intent
        heapq.heappush(self._deadlines, (operation.deadline, operation.ticket))

    def remove(self, operation: claims.Operation) -> _CallIntent | None:
        return self._intents_by_ticket.pop(operation.ticket, None)

    def pop_expired(self, now: float) -> list[claims.Operation]:
        """Return the open calls whose deadline has passed, each one once."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            intent = self._intents_by_ticket.get(ticket)
            if intent is not None:
                expired.append(intent.operation)
        return expired


class _PendingOperation(NamedTuple):
    attempt: attempts.Attempt
    state: claims.State
    result: bytes


class _PendingOperations:
    """Operations in dispatch, and outcomes that are not written yet."""

    def __init__(self) -> None:
        self.operations_by_key: dict[str, _PendingOperation] = {}
        self.result_bytes = 0

    def __len__(self) -> int:
        return len(self.operations_by_key)

    def get(self, operation_key: str) -> _PendingOperation | None:
        return self.operations_by_key.get(operation_key)

    def put(
        self, attempt: attempts.Attempt, state: claims.State, result: bytes
    ) -> None:
        self.operations_by_key[attempt.operation.operation_key] = (
            _PendingOperation(attempt, state, result)
        )
        self.result_bytes += len(result)

    def remove(self, settle: outcomes.Settle) -> None:
        self.result_bytes -= len(settle.result)
        key = settle.operation.operation_key
        pending = self.operations_by_key.get(key)
        if pending is not None and pending.attempt is settle.attempt:
            del self.operations_by_key[key]

    def answer_repeat(
        self, operation: claims.Operation, *, is_claim: bool
    ) -> ledgereffects.Refuse | ledgereffects.Resolved | None:
        """Answer a repeated call from memory; None if that is not possible."""
        pending = self.operations_by_key.get(operation.operation_key)
        if pending is None or pending.state is claims.State.NOT_RUN:
            return None
        record = pending.attempt.build_record(pending.state, pending.result)
        if is_claim and not record.has_payload(operation.payload):
            return ledgereffects.Refuse(
                operation, ledgereffects.key_reused(operation)
            )
        if pending.state is claims.State.DISPATCHING and not record.deferred:
            return ledgereffects.Refuse(
                operation, ledgereffects.in_progress(operation)
            )
        return ledgereffects.Resolved(operation, record)


# The interface has one method for each event and each query.
class Ledger:  # noqa: WPS214
    """Decides when an operation may be sent, and records its outcome."""

    def __init__(
        self,
        claimant: str,
        options: Options,
        random: random_module.Random,
    ) -> None:
        """Create a ledger without claims.

        Parameters
        ----------
        claimant : str
            Identity of this process. It must differ after each start.
        options : Options
        random : random.Random
        """
        self.claimant = claimant
        self._options = options
        self._random = random
        self._calls = _OpenCalls()
        self._pending = _PendingOperations()
        self._maintenance = claimmaintenance.ClaimMaintenance(
            claimant, options.scan_interval_s, options.sweep_interval_s
        )
        self._budget = budget.StoreBudget(
            options.reads_per_s, options.writes_per_s, random
        )
        self._writes = writes.SharedWrites(
            self._apply_effects,
            options.maximum_batch,
            options.retry_interval_s,
            self._budget,
        )
        self._answers: list[Action] = []

    def synchronize(self, now: float, unix_time: float) -> None:
        """Set the offset of the wall clock to the monotonic clock."""
        self._writes.unix_offset = unix_time - now

    def set_owned_services(self, services: Collection[str]) -> None:
        """Set the services whose claims this process maintains."""
        self._maintenance.set_owned_services(services)

    def collect_delayed(self) -> dict[budget.Urgency, int]:
        """Return the number of store calls delayed since the last call."""
        return self._budget.collect_delayed()

    @property
    def unwritten_count(self) -> int:
        """Number of operations in dispatch and of outcomes not yet written."""
        return len(self._pending)

    @property
    def settled(self) -> bool:
        """Whether no call is open and no outcome is unwritten."""
        return not (self._pending or self._calls)

    @property
    def idle(self) -> bool:
        """Whether no call is open and no document is in use."""
        return self.settled and self._writes.idle

    def claim(self, operation: claims.Operation, now: float) -> list[Action]:
        """Claim an operation, or accept it if it is deferred.

        The call ends with `Dispatch`, `Resolved` or `Refuse`, which has the
        ticket of the operation.
        """
        try:
            answer = self._admit(operation, now)
        except errors.FlowError as error:
            answer = ledgereffects.Refuse(operation, error)
        if answer is not None:
            return [answer]
        kind = attempts.AcceptDeferred if operation.deferred else attempts.Claim
        return self._open_call(
            kind(operation, self._new_token(), self.claimant), now
        )

    def lookup(self, operation: claims.Operation, now: float) -> list[Action]:
        """Look up the recorded outcome without running the operation.

        The call ends with `Resolved` or `Refuse`, which has the ticket of the
        operation.
        """
        answer = self._pending.answer_repeat(operation, is_claim=False)
        if answer is not None:
            return [answer]
        return self._open_call(outcomes.Lookup(operation), now)

    def set_accepts_work(self, accepts_work: Callable[[str], bool]) -> None:
        """Set the function that returns whether a service accepts work.

        Accepted operations of a service that does not accept work stay
        unclaimed.
        """
        self._maintenance.set_accepts_work(accepts_work)

    def may_claim_accepted(self, now: float) -> bool:
        """Whether an accepted operation can be claimed now."""
        return now >= self._writes.down_until and self._maintenance.is_ready(
            now
        )

    def claim_accepted(self, ticket: int, now: float) -> list[Action]:
        """Claim the next accepted operation.

        The call ends with `Dispatch` or `Refuse`, which has the ticket.
        """
        operation = self._maintenance.next_operation(ticket, now)
        if not self._maintenance.owns(operation.service):
            error = errors.NotOwner(f'{operation.service} has another owner')
            return [ledgereffects.Refuse(operation, error)]
        return self._open_call(
            attempts.ClaimDeferred(operation, self._new_token(), self.claimant),
            now,
        )

    def may_send(self, operation_key: str, now: float) -> bool:
        """Whether an operation in dispatch may be sent now."""
        pending = self._pending.get(operation_key)
        return (
            pending is not None
            and pending.state is claims.State.DISPATCHING
            and pending.attempt.in_window(now)
        )

    def finish(
        self,
        operation: claims.Operation,
        outcome: errors.Outcome,
        result: bytes,
        now: float,
    ) -> list[Action]:
        """Record the outcome of an operation that was in dispatch."""
        pending = self._pending.get(operation.operation_key)
        if pending and pending.attempt.operation.ticket == operation.ticket:
            state = claims.State(outcome.value)
            if isinstance(pending.attempt, attempts.ClaimDeferred):
                was_run = state is not claims.State.NOT_RUN
                self._maintenance.record_attempt(
                    operation.service, was_run=was_run, now=now
                )
            self._settle(pending.attempt, state, result, now)
        return self._actions()

    def abandon(self, operation: claims.Operation) -> list[Action]:
        """End a call that was not dispatched yet.

        The call is refused as not run and is never dispatched. If it is
        deferred and may be stored already, its outcome is unknown.
        """
        intent = self._calls.remove(operation)
        if intent is None:
            return []
        error = ledgereffects.not_confirmed()
        if isinstance(intent, outcomes.Lookup):
            error = ledgereffects.unreadable()
        else:
            intent.abandoned = True
            if operation.deferred and self._writes.may_be_stored(intent):
                error = ledgereffects.unreadable()
        return [ledgereffects.Refuse(operation, error)]

    def on_loaded(
        self, key: str, value: bytes | None, revision: int, now: float
    ) -> list[Action]:
        """Process the response to `Load`; an absent key has revision 0."""
        self._writes.on_loaded(key, value, revision, now)
        return self._actions()

    def on_load_failed(self, key: str, now: float) -> list[Action]:
        """Process the failure of `Load`."""
        self._writes.on_load_failed(key, now)
        return self._actions()

    def on_stored(
        self,
        call: writes.Store | writes.Delete,
        outcome: writes.StoreOutcome,
        present: tuple[bytes | None, int],
        now: float,
    ) -> list[Action]:
        """Process the response to `Store` or `Delete`.

        Parameters
        ----------
        call : writes.Store or writes.Delete
        outcome : writes.StoreOutcome
        present : tuple of value and revision
            Entry after the call, which the platform returns for `APPLIED`
            and `CONFLICT`. None and 0 for an absent key.
        now : float
        """
        self._writes.on_store_result(call.key, outcome, present, now)
        return self._actions()

    def run_due(self, now: float) -> list[Action]:
        """Run the work that is due; call it every few milliseconds."""
        for operation in self._calls.pop_expired(now):
            self._answers.extend(self.abandon(operation))
        self._writes.start_due_calls(now)
        for intent in self._maintenance.due(
            now, now + self._writes.unix_offset
        ):
            self._writes.add(intent, now)
        return self._actions()

    def _actions(self) -> list[Action]:
        actions = [*self._answers, *self._writes.calls]
        self._answers = []
        self._writes.calls = []
        return actions

    def _new_token(self) -> str:
        return f'{self.claimant}.{self._random.getrandbits(_TOKEN_BITS):x}'

    def _open_call(self, intent: _CallIntent, now: float) -> list[Action]:
        self._calls.add(intent)
        self._writes.add(intent, now)
        return self._actions()

    def _admit(
        self, operation: claims.Operation, now: float
    ) -> ledgereffects.Refuse | ledgereffects.Resolved | None:
        claims.check_issued_at(
            operation.issued_at, now + self._writes.unix_offset
        )
        answer = self._pending.answer_repeat(operation, is_claim=True)
        if answer is not None:
            return answer
        if now >= operation.deadline:
            raise ledgereffects.not_confirmed()
        if now < self._writes.down_until:
            raise ledgereffects.claims_unavailable()
        if (
            len(self._pending) >= self._options.maximum_unwritten
            or self._pending.result_bytes
            >= self._options.maximum_unwritten_bytes
        ):
            raise ledgereffects.backlog()
        return None

    def _apply_effects(
        self, effects: Iterable[ledgereffects.Effect], now: float
    ) -> None:
        for effect in effects:
            if isinstance(
                effect, ledgereffects.Refuse | ledgereffects.Resolved
            ):
                if self._calls.remove(effect.operation):
                    self._answers.append(effect)
            elif isinstance(effect, ledgereffects.Confirmed):
                self._confirm(effect.attempt, now)
            elif isinstance(effect, ledgereffects.Settled):
                self._release(effect.settle, now)
            else:
                self._apply_index_effect(effect, now)

    def _confirm(self, attempt: attempts.Attempt, now: float) -> None:
        """Dispatch a stored claim, unless its call was answered already."""
        if self._calls.remove(attempt.operation) is None:
            self._settle(attempt, claims.State.NOT_RUN, b'', now)
            return
        self._pending.put(attempt, claims.State.DISPATCHING, b'')
        self._answers.append(Dispatch(attempt.operation))

    def _settle(
        self,
        attempt: attempts.Attempt,
        state: claims.State,
        result: bytes,
        now: float,
    ) -> None:
        self._pending.put(attempt, state, result)
        ready_at = now + self._options.write_back_delay_s
        self._writes.add(outcomes.Settle(attempt, state, result, ready_at), now)

    def _release(self, settle: outcomes.Settle, now: float) -> None:
        self._pending.remove(settle)
        if settle.needs_requeue:
            self._maintenance.add_accepted(
                ledgereffects.Accepted(
                    settle.operation.service,
                    settle.key,
                    settle.operation.member,
                    now,
                )
            )

    def _apply_index_effect(
        self, effect: ledgereffects.Effect, now: float
    ) -> None:
        if isinstance(effect, ledgereffects.NeedListing):
            if self._writes.begin_listing(effect.bucket):
                self._writes.add(
                    buckets.ListMinute(effect, self._new_token()), now
                )
        elif isinstance(effect, ledgereffects.ListingResult):
            self._writes.on_listing_ended(effect, now)
        elif isinstance(effect, ledgereffects.Accepted):
            self._maintenance.add_accepted(effect)
        else:
            unix_time = now + self._writes.unix_offset
            for intent in self._maintenance.plan_for(effect, unix_time):
                self._writes.add(intent, now)
