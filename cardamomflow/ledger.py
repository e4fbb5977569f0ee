"""Claims and outcomes of operations that must not run twice; sans-I/O.

Owns the open calls and the operations in dispatch. Takes events and a clock
value and returns actions; the caller performs them and reports back.
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
    """Bounds and intervals of a ledger.

    Attributes
    ----------
    maximum_batch : int
        Changes in one write.
    write_back_delay_s : float
        An outcome waits this long for others of its bucket.
    retry_interval_s : float
        Between calls for one document while the platform is down.
    maximum_unwritten : int
        Operations in dispatch and outcomes not yet written; above it new
        operations are refused.
    maximum_unwritten_bytes : int
        Results not yet written, in bytes.
    scan_interval_s : float
        Between looks for accepted operations of owners that went away.
    sweep_interval_s : float
        Between looks for one minute of a service to delete.
    reads_per_s : float
        Calls at the platform; further ones wait, urgent ones first.
    writes_per_s : float
        The same for writes and deletions.
    """

    maximum_batch: int = 64
    write_back_delay_s: float = 0.05
    retry_interval_s: float = 0.25
    maximum_unwritten: int = 10_000
    maximum_unwritten_bytes: int = 33_554_432
    scan_interval_s: float = 30
    # A minute ends every 60 s, so a backlog shrinks by one minute each minute.
    # One look a second for each service would cost 6,400 reads/s when a fleet
    # of 1,600 services and 4 zones starts at once.
    sweep_interval_s: float = 30
    # With the burst, 8 processes make at most 1,500 reads and 300 writes in
    # any second, of the 2,000 and the several hundred that the store takes.
    reads_per_s: float = 150
    writes_per_s: float = 30


class Dispatch(NamedTuple):
    """Send the operation if `Ledger.may_send`; report with `finish`."""

    operation: claims.Operation


Action = writes.Call | Dispatch | ledgereffects.Refuse | ledgereffects.Resolved
_Question = attempts.Attempt | outcomes.Lookup


class _Calls:
    """Calls that have no answer yet, by ticket."""

    def __init__(self) -> None:
        self._intents_by_ticket: dict[int, _Question] = {}
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._intents_by_ticket)

    def open(self, intent: _Question) -> None:
        operation = intent.operation
        self._intents_by_ticket[operation.ticket] = intent
        heapq.heappush(self._deadlines, (operation.deadline, operation.ticket))

    def close(self, operation: claims.Operation) -> _Question | None:
        return self._intents_by_ticket.pop(operation.ticket, None)

    def late(self, now: float) -> list[claims.Operation]:
        """Return the calls whose deadline has passed."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            intent = self._intents_by_ticket.get(ticket)
            if intent is not None:
                found.append(intent.operation)
        return found


class _Held(NamedTuple):
    attempt: attempts.Attempt
    state: claims.State
    result: bytes


class _InDispatch:
    """Operations in dispatch and outcomes that are not written yet."""

    def __init__(self) -> None:
        self.held_by_key: dict[str, _Held] = {}
        self.size = 0

    def __len__(self) -> int:
        return len(self.held_by_key)

    def find(self, operation_key: str) -> _Held | None:
        return self.held_by_key.get(operation_key)

    def hold(
        self, attempt: attempts.Attempt, state: claims.State, result: bytes
    ) -> None:
        self.held_by_key[attempt.operation.operation_key] = _Held(
            attempt, state, result
        )
        self.size += len(result)

    def release(self, settle: outcomes.Settle) -> None:
        self.size -= len(settle.result)
        key = settle.operation.operation_key
        held = self.held_by_key.get(key)
        if held is not None and held.attempt is settle.attempt:
            del self.held_by_key[key]

    def answer(
        self, operation: claims.Operation, *, is_claim: bool
    ) -> ledgereffects.Refuse | ledgereffects.Resolved | None:
        """Answer a repeat from memory, None if it may be claimed."""
        held = self.held_by_key.get(operation.operation_key)
        if held is None or held.state is claims.State.NOT_RUN:
            return None
        record = held.attempt.build_record(held.state, held.result)
        if is_claim and not record.has_payload(operation.payload):
            return ledgereffects.Refuse(
                operation, ledgereffects.key_reused(operation)
            )
        if held.state is claims.State.DISPATCHING and not record.deferred:
            return ledgereffects.Refuse(
                operation, ledgereffects.in_progress(operation)
            )
        return ledgereffects.Resolved(operation, record)


# One method for each event and question of the interface.
class Ledger:  # noqa: WPS214
    """Decides when an operation may be sent, and records what came of it."""

    def __init__(
        self,
        claimant: str,
        options: Options,
        random: random_module.Random,
    ) -> None:
        """Start without claims.

        Parameters
        ----------
        claimant : str
            Identity of this process; another one after each start.
        options : Options
        random : random.Random
        """
        self.claimant = claimant
        self._options = options
        self._random = random
        self._calls = _Calls()
        self._in_dispatch = _InDispatch()
        self._upkeep = claimmaintenance.Upkeep(
            claimant, options.scan_interval_s, options.sweep_interval_s
        )
        self._budget = budget.StoreBudget(
            options.reads_per_s, options.writes_per_s, random
        )
        self._writes = writes.SharedWrites(
            self._follow,
            options.maximum_batch,
            options.retry_interval_s,
            self._budget,
        )
        self._out: list[Action] = []

    def synchronize(self, now: float, unix_time: float) -> None:
        """Tie the monotonic clock to the wall clock."""
        self._writes.unix_offset = unix_time - now

    def own(self, services: Collection[str]) -> None:
        """Set the services whose buckets this process cares for."""
        self._upkeep.own(services)

    def collect_delayed(self) -> dict[budget.Urgency, int]:
        """Return the store calls that had to wait since the last time."""
        return self._budget.collect_delayed()

    @property
    def unwritten(self) -> int:
        """Operations in dispatch and outcomes not yet written."""
        return len(self._in_dispatch)

    @property
    def settled(self) -> bool:
        """Whether no call is open and no outcome is unwritten."""
        return not (self._in_dispatch or self._calls)

    @property
    def idle(self) -> bool:
        """Whether no call is open and no document is in use."""
        return self.settled and self._writes.idle

    def claim(self, operation: claims.Operation, now: float) -> list[Action]:
        """Claim an operation, or accept it if it is deferred.

        Ends in `Dispatch`, `Resolved` or `Refuse` with its ticket.
        """
        try:
            answer = self._admit(operation, now)
        except errors.FlowError as error:
            answer = ledgereffects.Refuse(operation, error)
        if answer is not None:
            return [answer]
        kind = attempts.AcceptDeferred if operation.deferred else attempts.Claim
        return self._ask(kind(operation, self._token(), self.claimant), now)

    def lookup(self, operation: claims.Operation, now: float) -> list[Action]:
        """Ask for the recorded outcome; runs nothing.

        Ends in `Resolved` or `Refuse` with its ticket.
        """
        answer = self._in_dispatch.answer(operation, is_claim=False)
        if answer is not None:
            return [answer]
        return self._ask(outcomes.Lookup(operation), now)

    def set_takes_work(self, takes_work: Callable[[str], bool]) -> None:
        """Set what tells whether a service takes work at this moment.

        Accepted operations of the others wait without a claim.
        """
        self._upkeep.set_takes_work(takes_work)

    def may_take(self, now: float) -> bool:
        """Whether an accepted operation waits to be run."""
        return now >= self._writes.down_until and self._upkeep.ready(now)

    def take(self, ticket: int, now: float) -> list[Action]:
        """Claim the next accepted operation.

        Ends in `Dispatch` or `Refuse` with the ticket.
        """
        operation = self._upkeep.next_operation(ticket, now)
        if not self._upkeep.owns(operation.service):
            error = errors.NotOwner(f'{operation.service} has another owner')
            return [ledgereffects.Refuse(operation, error)]
        return self._ask(
            attempts.ClaimDeferred(operation, self._token(), self.claimant), now
        )

    def may_send(self, operation_key: str, now: float) -> bool:
        """Whether an operation in dispatch may be sent at this moment."""
        held = self._in_dispatch.find(operation_key)
        return (
            held is not None
            and held.state is claims.State.DISPATCHING
            and held.attempt.in_window(now)
        )

    def finish(
        self,
        operation: claims.Operation,
        outcome: errors.Outcome,
        result: bytes,
        now: float,
    ) -> list[Action]:
        """Record the outcome of an operation that was in dispatch."""
        held = self._in_dispatch.find(operation.operation_key)
        if held and held.attempt.operation.ticket == operation.ticket:
            state = claims.State(outcome.value)
            if isinstance(held.attempt, attempts.ClaimDeferred):
                was_run = state is not claims.State.NOT_RUN
                self._upkeep.ended(operation.service, was_run=was_run, now=now)
            self._settle(held.attempt, state, result, now)
        return self._actions()

    def abandon(self, operation: claims.Operation) -> list[Action]:
        """End a call that was not dispatched yet.

        It is refused as not run, and is never dispatched afterwards. Of a
        deferred one that may be stored already the outcome is unknown.
        """
        intent = self._calls.close(operation)
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

    def loaded(
        self, key: str, value: bytes | None, revision: int, now: float
    ) -> list[Action]:
        """Take the answer to `Load`; an absent key has revision 0."""
        self._writes.loaded(key, value, revision, now)
        return self._actions()

    def load_failed(self, key: str, now: float) -> list[Action]:
        """Take the failure of `Load`."""
        self._writes.load_failed(key, now)
        return self._actions()

    def stored(
        self,
        call: writes.Store | writes.Delete,
        outcome: writes.StoreOutcome,
        present: tuple[bytes | None, int],
        now: float,
    ) -> list[Action]:
        """Take the answer to `Store` or `Delete`.

        Parameters
        ----------
        call : writes.Store or writes.Delete
        outcome : writes.StoreOutcome
        present : tuple of value and revision
            The entry after the call, as the platform told it for `APPLIED`
            and `CONFLICT`; None and 0 for an absent key.
        now : float
        """
        self._writes.stored(call.key, outcome, present, now)
        return self._actions()

    def due(self, now: float) -> list[Action]:
        """Do what has become due; to be called every few milliseconds."""
        for operation in self._calls.late(now):
            self._out.extend(self.abandon(operation))
        self._writes.due(now)
        for planned in self._upkeep.due(now, now + self._writes.unix_offset):
            self._writes.add(planned, now)
        return self._actions()

    def _actions(self) -> list[Action]:
        actions = [*self._out, *self._writes.calls]
        self._out = []
        self._writes.calls = []
        return actions

    def _token(self) -> str:
        return f'{self.claimant}.{self._random.getrandbits(_TOKEN_BITS):x}'

    def _ask(self, intent: _Question, now: float) -> list[Action]:
        self._calls.open(intent)
        self._writes.add(intent, now)
        return self._actions()

    def _admit(
        self, operation: claims.Operation, now: float
    ) -> ledgereffects.Refuse | ledgereffects.Resolved | None:
        claims.check_issued_at(
            operation.issued_at, now + self._writes.unix_offset
        )
        answer = self._in_dispatch.answer(operation, is_claim=True)
        if answer is not None:
            return answer
        if now >= operation.deadline:
            raise ledgereffects.not_confirmed()
        if now < self._writes.down_until:
            raise ledgereffects.claims_unavailable()
        if (
            len(self._in_dispatch) >= self._options.maximum_unwritten
            or self._in_dispatch.size >= self._options.maximum_unwritten_bytes
        ):
            raise ledgereffects.backlog()
        return None

    def _follow(
        self, found: Iterable[ledgereffects.Effect], now: float
    ) -> None:
        for effect in found:
            if isinstance(
                effect, ledgereffects.Refuse | ledgereffects.Resolved
            ):
                if self._calls.close(effect.operation):
                    self._out.append(effect)
            elif isinstance(effect, ledgereffects.Confirmed):
                self._confirm(effect.attempt, now)
            elif isinstance(effect, ledgereffects.Settled):
                self._release(effect.settle, now)
            else:
                self._follow_index(effect, now)

    def _confirm(self, attempt: attempts.Attempt, now: float) -> None:
        """Dispatch a stored claim, unless its call has an answer."""
        if self._calls.close(attempt.operation) is None:
            self._settle(attempt, claims.State.NOT_RUN, b'', now)
            return
        self._in_dispatch.hold(attempt, claims.State.DISPATCHING, b'')
        self._out.append(Dispatch(attempt.operation))

    def _settle(
        self,
        attempt: attempts.Attempt,
        state: claims.State,
        result: bytes,
        now: float,
    ) -> None:
        self._in_dispatch.hold(attempt, state, result)
        ready_at = now + self._options.write_back_delay_s
        self._writes.add(outcomes.Settle(attempt, state, result, ready_at), now)

    def _release(self, settle: outcomes.Settle, now: float) -> None:
        self._in_dispatch.release(settle)
        if settle.accepts_again:
            self._upkeep.accept(
                ledgereffects.Accepted(
                    settle.operation.service,
                    settle.key,
                    settle.operation.member,
                    now,
                )
            )

    def _follow_index(self, effect: ledgereffects.Effect, now: float) -> None:
        if isinstance(effect, ledgereffects.NeedListing):
            if self._writes.begin_listing(effect.bucket):
                self._writes.add(buckets.Enter(effect, self._token()), now)
        elif isinstance(effect, ledgereffects.Entered):
            self._writes.end_listing(effect, now)
        elif isinstance(effect, ledgereffects.Accepted):
            self._upkeep.accept(effect)
        else:
            unix_time = now + self._writes.unix_offset
            for planned in self._upkeep.follow(effect, unix_time):
                self._writes.add(planned, now)
