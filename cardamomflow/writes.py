"""Shared compare-and-swap writes of stored documents; sans-I/O.

Owns the changes that wait for the platform. Of each document at most one
call is under way, so changes that arrive meanwhile share the next write.
"""

import enum
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cardamomflow import budget, claims, errors, intents, ledgereffects

# A document without changes is forgotten after this time.
CACHE_S = 120.0
FORGET_INTERVAL_S = 5.0
# A view this young is not read again before a write.
FRESH_S = 0.02
_NO_REVISION = -1
_WITH_WRITE = frozenset((intents.Verdict.DONE, intents.Verdict.WRITE))


class StoreOutcome(enum.Enum):
    """What became of a write."""

    APPLIED = 'applied'
    CONFLICT = 'conflict'
    LOST = 'lost'
    UNAVAILABLE = 'unavailable'


class Load(NamedTuple):
    """Read a key; report with `on_loaded` or `on_load_failed`."""

    key: str


class Store(NamedTuple):
    """Write a key; report with `on_stored`."""

    key: str
    value: bytes
    expected_revision: int
    token: int


class Delete(NamedTuple):
    """Delete a key; report with `on_stored`."""

    key: str
    expected_revision: int
    token: int


Call = Load | Store | Delete
Batch = list[tuple[intents.Intent, intents.Decision]]


class _Stored(NamedTuple):
    document: claims.Document = {}
    size: int = 0
    revision: int = 0
    # Number of the call that returned it, 0 for none.
    started: int = 0
    seen_at: float = 0


class _Plan:
    """What the intents of one document decide on one view."""

    def __init__(self, view: intents.View) -> None:
        self.view = view
        self.batch: Batch = []
        self.rest: list[intents.Intent] = []
        self.effects: list[ledgereffects.Effect] = []
        self.reads = False
        self.deletes = False

    def decide(self, pending: list[intents.Intent], maximum_batch: int) -> None:
        for intent in pending:
            if self.deletes or len(self.batch) >= maximum_batch:
                self.rest.append(intent)
            else:
                self._sort(intent, intent.decide(self.view))

    def _sort(self, intent: intents.Intent, decision: intents.Decision) -> None:
        verdict = decision.verdict
        if verdict is intents.Verdict.DONE and not self.batch:
            self.effects.extend(decision.effects)
        elif verdict in _WITH_WRITE:
            # A decision on top of a change holds only if that is stored.
            self.batch.append((intent, decision))
        elif verdict is intents.Verdict.DELETE and not self.batch:
            self.batch.append((intent, decision))
            self.deletes = True
        else:
            self.effects.extend(decision.effects)
            self.reads = self.reads or verdict is intents.Verdict.READ
            self.rest.append(intent)


class _KeyState:
    """A stored document and the changes that wait for it."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.pending: list[intents.Intent] = []
        self.batch: Batch = []
        # Number of the call under way, 0 when there is none.
        self.call = 0
        self.stored = _Stored()
        self.retry_at: float = 0
        self.used_at: float = 0
        # Another writer changed the document last, so a read before the
        # write is cheaper than a conflict.
        self.contended = False
        # Revision that was read before the minute entered the index.
        self.listable_at: int | None = None
        # The same while the entry is under way.
        self.entering_at: int | None = None
        self.written = _Stored()
        # The token of the next write is taken.
        self.has_token = False
        # The documents that wait for a token are served, and it is its turn.
        self.in_turn = False

    def ready(self, now: float) -> bool:
        """Whether a change need not wait for others any more."""
        return now >= self.retry_at and any(
            intent.ready_at <= now for intent in self.pending
        )

    def request(self, found: Iterable[intents.Intent]) -> budget.Request:
        """Return the request of a call that these intents need."""
        urgency = budget.Urgency.BACKGROUND
        if any(intent.is_urgent() for intent in found):
            urgency = budget.Urgency.CALLER
        return budget.Request(self.key, urgency, self.in_turn)

    def writing(self) -> list[intents.Intent]:
        """Return the changes that may need a write."""
        return [intent for intent in self.pending if intent.may_write()]

    def forgettable(self, now: float) -> bool:
        """Whether nothing is under way and the document is out of use."""
        if self.call or self.pending or self.entering_at is not None:
            return False
        return self.stored.size == 0 or now - self.used_at > CACHE_S

    def view(self, now: float, unix_time: float) -> intents.View:
        view = intents.View(
            dict(self.stored.document),
            self.stored.size,
            self.stored.revision,
            self.stored.started,
        )
        view.now = now
        view.unix_time = unix_time
        view.listable = self.listable_at == self.stored.revision
        return view

    def found(self, value: bytes | None, revision: int, now: float) -> None:
        """Take a stored value; an older one than at hand is stale."""
        if value is None:
            self.stored = _Stored(started=self.call, seen_at=now)
        elif revision > self.stored.revision:
            self.stored = _Stored(
                claims.decode(value), len(value), revision, self.call, now
            )
        else:
            self.stored = self.stored._replace(started=self.call, seen_at=now)

    def needs_read(self, now: float) -> bool:
        if self.stored.started == 0:
            return True
        return self.contended and now - self.stored.seen_at > FRESH_S

    def carry_listing(self, revision: int) -> None:
        """Keep the listing over a write of this process.

        Nobody else wrote between the two revisions.
        """
        if self.listable_at == self.stored.revision:
            self.listable_at = revision
        if self.entering_at == self.stored.revision:
            self.entering_at = revision

    def end_listing(self) -> None:
        """Let the minute be entered anew: the index may lose it now."""
        self.listable_at = None
        if self.entering_at is not None:
            self.entering_at = _NO_REVISION

    def forget(self) -> None:
        """Read before the next decision; the revision stays a floor."""
        self.stored = self.stored._replace(started=0)

    def restore(self) -> None:
        """Decide again about a batch that was not applied."""
        self.has_token = False
        self.pending = [intent for intent, _ in self.batch] + self.pending
        self.batch = []


def _closes(decision: intents.Decision) -> bool:
    return any(
        isinstance(effect, ledgereffects.BucketClosed)
        for effect in decision.effects
    )


class SharedWrites:
    """The documents in use, and the calls that their changes need."""

    def __init__(
        self,
        follow: Callable[[Iterable[ledgereffects.Effect], float], None],
        maximum_batch: int,
        retry_interval_s: float,
        calls_budget: budget.StoreBudget,
    ) -> None:
        """Take who follows the effects of decisions.

        Parameters
        ----------
        follow : callable
            Gets the effects and the time; may add intents.
        maximum_batch : int
            Changes in one write.
        retry_interval_s : float
            Between calls for one document while the platform is down.
        calls_budget : budget.StoreBudget
            Bounds the calls of all documents.
        """
        self.calls: list[Call] = []
        self.unix_offset: float = 0
        self.down_until: float = 0
        self._follow = follow
        self._maximum_batch = maximum_batch
        self._retry_interval_s = retry_interval_s
        self._budget = calls_budget
        self._states_by_key: dict[str, _KeyState] = {}
        # Keys of documents with changes, in the order of arrival.
        self._waiting: dict[str, None] = {}
        self._forget_at: float = 0
        self._sequence = itertools.count(1)
        self._last_call = 0

    @property
    def idle(self) -> bool:
        """Whether no change waits and no call is under way."""
        return not self._waiting

    def add(self, intent: intents.Intent, now: float) -> None:
        """Queue a change and start a call if its document is idle."""
        state = self._states_by_key.get(intent.key)
        if state is None:
            state = _KeyState(intent.key)
            self._states_by_key[intent.key] = state
        if intent.is_repeated_in(state.pending):
            return
        intent.added_after_call = self._last_call
        state.pending.append(intent)
        self._waiting[state.key] = None
        self._advance(state, now)

    def may_be_stored(self, intent: intents.Intent) -> bool:
        """Whether a write of the intent is under way or was lost."""
        state = self._states_by_key[intent.key]
        in_call = any(intent is sent for sent, _ in state.batch)
        return in_call or intent.lost_write_revision is not None

    def begin_listing(self, bucket: str) -> bool:
        """Note the revision before the index is written; False if noted."""
        state = self._states_by_key[bucket]
        if state.entering_at is not None:
            return False
        state.entering_at = state.stored.revision
        return True

    def end_listing(
        self, entered: ledgereffects.ListingResult, now: float
    ) -> None:
        """Let accepted claims be written, or refuse them."""
        state = self._states_by_key[entered.bucket]
        if entered.succeeded:
            state.listable_at = state.entering_at
            state.entering_at = None
            self._advance(state, now)
            return
        state.entering_at = None
        if not state.call:
            self._unavailable(state, now)

    def loaded(
        self, key: str, value: bytes | None, revision: int, now: float
    ) -> None:
        """Take the answer to `Load`."""
        state = self._states_by_key[key]
        known = state.stored.revision
        state.contended = known not in {0, revision}
        self._found(state, value, revision, now)

    def load_failed(self, key: str, now: float) -> None:
        """Take the failure of `Load`."""
        self._budget.record_outage(now)
        self._unavailable(self._states_by_key[key], now)

    def stored(
        self,
        key: str,
        outcome: StoreOutcome,
        present: tuple[bytes | None, int],
        now: float,
    ) -> None:
        """Take the answer to `Store` or `Delete`."""
        state = self._states_by_key[key]
        if outcome is StoreOutcome.APPLIED:
            self._applied(state, present[1], now)
        elif outcome is StoreOutcome.CONFLICT:
            self._conflict(state, present, now)
        elif outcome is StoreOutcome.LOST:
            self._lost(state, now)
        else:
            self._budget.record_outage(now)
            self._unavailable(state, now)

    def due(self, now: float) -> None:
        """Start the calls that are due and forget idle documents."""
        in_order = dict.fromkeys(self._budget.waiting_keys()) | self._waiting
        for key in in_order:
            state = self._states_by_key[key]
            if state.pending:
                state.in_turn = True
                self._advance(state, now)
                state.in_turn = False
            elif not state.call:
                # The changes of a call under way come back if it fails.
                self._waiting.pop(key, None)
                self._budget.stop_waiting(key)
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL_S
            self._forget(now)

    def _forget(self, now: float) -> None:
        for state in list(self._states_by_key.values()):
            if state.forgettable(now):
                self._waiting.pop(state.key, None)
                self._budget.stop_waiting(state.key)
                del self._states_by_key[state.key]

    def _advance(self, state: _KeyState, now: float) -> None:
        """Start the next call for a document, if one is needed."""
        state.used_at = now
        if state.call:
            return
        if state.ready(now):
            self._advance_ready(state, now)
        else:
            self._budget.stop_waiting(state.key)

    def _advance_ready(self, state: _KeyState, now: float) -> None:
        writing = state.writing()
        if writing and self._take_token(state, writing, now):
            writing = []
        elif len(writing) == len(state.pending) and state.stored.started:
            return
        # Read after the token of the write was taken: the wait for it may
        # have made the view old.
        if state.needs_read(now):
            self._load(state, now)
        else:
            self._decide(state, writing, now)

    def _take_token(
        self, state: _KeyState, writing: list[intents.Intent], now: float
    ) -> bool:
        """Take the token of a write of a document that was read."""
        if not state.has_token and state.stored.started:
            state.has_token = self._budget.writes.withdraw(
                state.request(writing), now
            )
        return state.has_token

    def _decide(
        self, state: _KeyState, others: list[intents.Intent], now: float
    ) -> None:
        """Let intents decide but the others, and start the call they need.

        The others wait for the token of a write.
        """
        plan = _Plan(state.view(now, now + self.unix_offset))
        found = [
            intent
            for intent in state.pending
            if not (others and intent.may_write())
        ]
        plan.decide(found, self._maximum_batch)
        if plan.batch and not state.has_token:
            if not self._budget.writes.withdraw(state.request(found), now):
                return
        state.pending = [*others, *plan.rest]
        if plan.batch:
            self._store(state, plan, now)
        else:
            self._end_without_write(state, plan, now)
        self._follow(plan.effects, now)

    def _end_without_write(
        self, state: _KeyState, plan: _Plan, now: float
    ) -> None:
        if state.has_token:
            state.has_token = False
            self._budget.writes.refund()
        if plan.reads and not self._load(state, now):
            state.forget()

    def _begin(self, state: _KeyState) -> int:
        self._last_call = next(self._sequence)
        state.call = self._last_call
        return self._last_call

    def _load(self, state: _KeyState, now: float) -> bool:
        """Read a document, if there is a token for it."""
        request = state.request(state.pending)
        if not self._budget.reads.withdraw(request, now):
            return False
        self._begin(state)
        self.calls.append(Load(state.key))
        return True

    def _store(self, state: _KeyState, plan: _Plan, now: float) -> None:
        token = self._begin(state)
        state.has_token = False
        state.batch = plan.batch
        revision = state.stored.revision
        if plan.deletes:
            state.written = _Stored()
            self.calls.append(Delete(state.key, revision, token))
            return
        for intent, decision in plan.batch:
            if decision.verdict is intents.Verdict.WRITE:
                intent.on_send(now)
        value = claims.encode(plan.view.document)
        state.written = _Stored(plan.view.document, len(value))
        self.calls.append(Store(state.key, value, revision, token))

    def _applied(self, state: _KeyState, revision: int, now: float) -> None:
        batch = state.batch
        state.batch = []
        if any(_closes(decision) for _, decision in batch):
            state.end_listing()
        state.carry_listing(revision)
        state.stored = state.written._replace(
            revision=revision, started=state.call, seen_at=now
        )
        state.call = 0
        for _, decision in batch:
            self._follow(decision.effects, now)
        self._advance(state, now)

    def _conflict(
        self, state: _KeyState, present: tuple[bytes | None, int], now: float
    ) -> None:
        state.contended = True
        state.restore()
        self._found(state, *present, now)

    def _found(
        self, state: _KeyState, value: bytes | None, revision: int, now: float
    ) -> None:
        try:
            state.found(value, revision, now)
        except errors.ProtocolViolation:
            # Nothing may be claimed on a document that can't be read.
            self._unavailable(state, now)
            return
        state.call = 0
        self._advance(state, now)

    def _lost(self, state: _KeyState, now: float) -> None:
        for intent, decision in state.batch:
            if decision.verdict is intents.Verdict.WRITE:
                intent.lost_write_revision = max(
                    state.stored.revision, intent.lost_write_revision or 0
                )
        state.restore()
        state.forget()
        state.call = 0
        self._advance(state, now)

    def _unavailable(self, state: _KeyState, now: float) -> None:
        state.restore()
        state.call = 0
        state.retry_at = now + self._retry_interval_s
        self.down_until = state.retry_at
        pending = state.pending
        state.pending = []
        for intent in pending:
            follow = intent.on_unavailable()
            if follow is None:
                state.pending.append(intent)
            else:
                self._follow(follow, now)
