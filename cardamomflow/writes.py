"""Batched compare-and-swap writes of stored documents; sans-I/O.

Owns the pending changes of documents in the platform's store. At most one
call per document is in progress; changes that arrive during a call share the
next write.
"""

import enum
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cardamomflow import budget, claims, errors, intents, ledgereffects

# A cached document without changes is evicted after this time.
CACHE_TTL_S = 120.0
EVICTION_INTERVAL_S = 5.0
# A document that was read less than this ago is not read again before a write.
FRESH_S = 0.02
_NO_REVISION = -1
_WRITE_OR_DONE = frozenset((intents.Verdict.DONE, intents.Verdict.WRITE))


class StoreOutcome(enum.Enum):
    """Result of a write; after `LOST` it may or may not be applied."""

    APPLIED = 'applied'
    CONFLICT = 'conflict'
    LOST = 'lost'
    UNAVAILABLE = 'unavailable'


class Load(NamedTuple):
    """Read a key; the result goes to `on_loaded` or `on_load_failed`."""

    key: str


class Store(NamedTuple):
    """Write a key; the result goes to `on_store_result`."""

    key: str
    value: bytes
    expected_revision: int
    token: int


class Delete(NamedTuple):
    """Delete a key; the result goes to `on_store_result`."""

    key: str
    expected_revision: int
    token: int


Call = Load | Store | Delete
Batch = list[tuple[intents.Intent, intents.Decision]]


class _StoredDocument(NamedTuple):
    """A document as last read or written."""

    document: claims.Document = {}
    size: int = 0
    revision: int = 0
    # Number of the call that returned it, 0 for none.
    call_number: int = 0
    confirmed_at: float = 0


class _WritePlan:
    """Decisions of the intents of one document on one view of it."""

    def __init__(self, view: intents.View) -> None:
        self.view = view
        self.batch: Batch = []
        self.deferred: list[intents.Intent] = []
        self.effects: list[ledgereffects.Effect] = []
        self.needs_read = False
        self.is_delete = False

    def decide(self, pending: list[intents.Intent], maximum_batch: int) -> None:
        for intent in pending:
            if self.is_delete or len(self.batch) >= maximum_batch:
                self.deferred.append(intent)
            else:
                self._add_decision(intent, intent.decide(self.view))

    def _add_decision(
        self, intent: intents.Intent, decision: intents.Decision
    ) -> None:
        verdict = decision.verdict
        if verdict is intents.Verdict.DONE and not self.batch:
            self.effects.extend(decision.effects)
        elif verdict in _WRITE_OR_DONE:
            # A decision after a change in the batch is valid only if that
            # change is stored.
            self.batch.append((intent, decision))
        elif verdict is intents.Verdict.DELETE and not self.batch:
            self.batch.append((intent, decision))
            self.is_delete = True
        else:
            self.effects.extend(decision.effects)
            self.needs_read = self.needs_read or verdict is intents.Verdict.READ
            self.deferred.append(intent)


class _KeyState:
    """A cached document and its pending changes."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.pending: list[intents.Intent] = []
        self.batch: Batch = []
        # Number of the call in progress, 0 when there is none.
        self.current_call = 0
        self.stored = _StoredDocument()
        self.retry_at: float = 0
        self.used_at: float = 0
        # Another process changed the document last, so reading before the
        # write is cheaper than a conflict.
        self.is_contended = False
        # Revision of the document that was read before its bucket was added
        # to the index of buckets with open claims.
        self.listed_revision: int | None = None
        # The same while the write to the index is in progress.
        self.pending_listing_revision: int | None = None
        self.sent_document = _StoredDocument()
        # Whether the token for the next write is taken.
        self.has_token = False
        # Whether it is this document's turn among those waiting for a token.
        self.in_turn = False

    def is_ready(self, now: float) -> bool:
        """Return whether a change is ready and no retry delay applies."""
        return now >= self.retry_at and any(
            intent.ready_at <= now for intent in self.pending
        )

    def budget_request(
        self, changes: Iterable[intents.Intent]
    ) -> budget.Request:
        """Return the budget request for a call that serves these changes."""
        urgency = budget.Urgency.BACKGROUND
        if any(intent.is_urgent() for intent in changes):
            urgency = budget.Urgency.CALLER
        return budget.Request(self.key, urgency, self.in_turn)

    def changes_to_write(self) -> list[intents.Intent]:
        """Return the changes that may need a write."""
        return [intent for intent in self.pending if intent.may_write()]

    def is_evictable(self, now: float) -> bool:
        """Return whether no work is pending and the document is not in use."""
        if (
            self.current_call
            or self.pending
            or self.pending_listing_revision is not None
        ):
            return False
        return self.stored.size == 0 or now - self.used_at > CACHE_TTL_S

    def view(self, now: float, unix_time: float) -> intents.View:
        view = intents.View(
            dict(self.stored.document),
            self.stored.size,
            self.stored.revision,
            self.stored.call_number,
        )
        view.now = now
        view.unix_time = unix_time
        view.listable = self.listed_revision == self.stored.revision
        return view

    def update_stored(
        self, value: bytes | None, revision: int, now: float
    ) -> None:
        """Update the cached document; ignores a value older than it."""
        if value is None:
            self.stored = _StoredDocument(
                call_number=self.current_call, confirmed_at=now
            )
        elif revision > self.stored.revision:
            self.stored = _StoredDocument(
                claims.decode(value),
                len(value),
                revision,
                self.current_call,
                now,
            )
        else:
            self.stored = self.stored._replace(
                call_number=self.current_call, confirmed_at=now
            )

    def needs_read(self, now: float) -> bool:
        if self.stored.call_number == 0:
            return True
        return self.is_contended and now - self.stored.confirmed_at > FRESH_S

    def carry_listing(self, revision: int) -> None:
        """Keep the index entry valid after a write of this process.

        No other process wrote between the two revisions.
        """
        if self.listed_revision == self.stored.revision:
            self.listed_revision = revision
        if self.pending_listing_revision == self.stored.revision:
            self.pending_listing_revision = revision

    def invalidate_listing(self) -> None:
        """Require a new index entry, as the present one may be removed now."""
        self.listed_revision = None
        if self.pending_listing_revision is not None:
            self.pending_listing_revision = _NO_REVISION

    def invalidate(self) -> None:
        """Require a read before the next decision.

        The revision is kept, so that older values are still ignored.
        """
        self.stored = self.stored._replace(call_number=0)

    def restore_batch(self) -> None:
        """Move the intents of a batch that was not applied to `pending`."""
        self.has_token = False
        self.pending = [intent for intent, _ in self.batch] + self.pending
        self.batch = []


def _closes_bucket(decision: intents.Decision) -> bool:
    return any(
        isinstance(effect, ledgereffects.BucketClosed)
        for effect in decision.effects
    )


class SharedWrites:
    """Cached documents with pending changes, and the calls to send."""

    def __init__(
        self,
        apply_effects: Callable[[Iterable[ledgereffects.Effect], float], None],
        maximum_batch: int,
        retry_interval_s: float,
        calls_budget: budget.StoreBudget,
    ) -> None:
        """Create an empty cache.

        Parameters
        ----------
        apply_effects : callable
            Called with the effects of decisions and the time; may add
            intents.
        maximum_batch : int
            Maximum number of changes in one write.
        retry_interval_s : float
            Interval between calls for one document while the platform is
            unavailable.
        calls_budget : budget.StoreBudget
            Limits the rate of calls for all documents.
        """
        self.calls: list[Call] = []
        self.unix_offset: float = 0
        self.down_until: float = 0
        self._apply_effects = apply_effects
        self._maximum_batch = maximum_batch
        self._retry_interval_s = retry_interval_s
        self._budget = calls_budget
        self._states_by_key: dict[str, _KeyState] = {}
        # Keys of documents with changes, in the order of arrival.
        self._waiting: dict[str, None] = {}
        self._evict_at: float = 0
        self._sequence = itertools.count(1)
        self._last_call = 0

    @property
    def idle(self) -> bool:
        """Whether no change is pending and no call is in progress."""
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
        self._start_next_call(state, now)

    def may_be_stored(self, intent: intents.Intent) -> bool:
        """Return whether a write of the intent is in progress or was lost."""
        state = self._states_by_key[intent.key]
        in_call = any(intent is batched for batched, _ in state.batch)
        return in_call or intent.lost_write_revision is not None

    def begin_listing(self, bucket: str) -> bool:
        """Record the revision before the bucket is added to the index.

        Returns
        -------
        bool
            False when a write to the index is in progress already.
        """
        state = self._states_by_key[bucket]
        if state.pending_listing_revision is not None:
            return False
        state.pending_listing_revision = state.stored.revision
        return True

    def on_listing_ended(
        self, entered: ledgereffects.ListingResult, now: float
    ) -> None:
        """Continue with claims after the write to the index, or refuse them."""
        state = self._states_by_key[entered.bucket]
        if entered.succeeded:
            state.listed_revision = state.pending_listing_revision
            state.pending_listing_revision = None
            self._start_next_call(state, now)
            return
        state.pending_listing_revision = None
        if not state.current_call:
            self._on_unavailable(state, now)

    def on_loaded(
        self, key: str, value: bytes | None, revision: int, now: float
    ) -> None:
        """Handle the value that `Load` returned."""
        state = self._states_by_key[key]
        previous_revision = state.stored.revision
        state.is_contended = previous_revision not in {0, revision}
        self._on_value(state, value, revision, now)

    def on_load_failed(self, key: str, now: float) -> None:
        """Handle a failed `Load`."""
        self._budget.record_outage(now)
        self._on_unavailable(self._states_by_key[key], now)

    def on_store_result(
        self,
        key: str,
        outcome: StoreOutcome,
        present: tuple[bytes | None, int],
        now: float,
    ) -> None:
        """Handle the result of `Store` or `Delete`.

        Parameters
        ----------
        key : str
        outcome : StoreOutcome
        present : tuple of value and revision
            The entry after the call; None and 0 for an absent key.
        now : float
        """
        state = self._states_by_key[key]
        if outcome is StoreOutcome.APPLIED:
            self._on_applied(state, present[1], now)
        elif outcome is StoreOutcome.CONFLICT:
            self._on_conflict(state, present, now)
        elif outcome is StoreOutcome.LOST:
            self._on_lost(state, now)
        else:
            self._budget.record_outage(now)
            self._on_unavailable(state, now)

    def start_due_calls(self, now: float) -> None:
        """Start the calls that are due and evict idle documents."""
        keys_in_order = (
            dict.fromkeys(self._budget.waiting_keys()) | self._waiting
        )
        for key in keys_in_order:
            state = self._states_by_key[key]
            if state.pending:
                state.in_turn = True
                self._start_next_call(state, now)
                state.in_turn = False
            elif not state.current_call:
                # While a call is in progress the key stays, as the changes of
                # a failed call become pending again.
                self._waiting.pop(key, None)
                self._budget.stop_waiting(key)
        if now >= self._evict_at:
            self._evict_at = now + EVICTION_INTERVAL_S
            self._evict_idle(now)

    def _evict_idle(self, now: float) -> None:
        for state in list(self._states_by_key.values()):
            if state.is_evictable(now):
                self._waiting.pop(state.key, None)
                self._budget.stop_waiting(state.key)
                del self._states_by_key[state.key]

    def _start_next_call(self, state: _KeyState, now: float) -> None:
        """Start the next call for a document, if one is needed."""
        state.used_at = now
        if state.current_call:
            return
        if state.is_ready(now):
            self._start_ready_call(state, now)
        else:
            self._budget.stop_waiting(state.key)

    def _start_ready_call(self, state: _KeyState, now: float) -> None:
        changes_to_write = state.changes_to_write()
        if changes_to_write and self._take_write_token(
            state, changes_to_write, now
        ):
            changes_to_write = []
        elif (
            len(changes_to_write) == len(state.pending)
            and state.stored.call_number
        ):
            return
        # The read follows the token of the write, as the document may have
        # become stale during the wait for the token.
        if state.needs_read(now):
            self._load(state, now)
        else:
            self._decide_changes(state, changes_to_write, now)

    def _take_write_token(
        self,
        state: _KeyState,
        changes_to_write: list[intents.Intent],
        now: float,
    ) -> bool:
        """Take a write token if the document was read; return whether taken."""
        if not state.has_token and state.stored.call_number:
            state.has_token = self._budget.writes.withdraw(
                state.budget_request(changes_to_write), now
            )
        return state.has_token

    def _decide_changes(
        self, state: _KeyState, delayed: list[intents.Intent], now: float
    ) -> None:
        """Let intents decide and start the call that they need.

        The `delayed` intents wait for a write token.
        """
        plan = _WritePlan(state.view(now, now + self.unix_offset))
        changes = [
            intent
            for intent in state.pending
            if not (delayed and intent.may_write())
        ]
        plan.decide(changes, self._maximum_batch)
        if plan.batch and not state.has_token:
            if not self._budget.writes.withdraw(
                state.budget_request(changes), now
            ):
                return
        state.pending = [*delayed, *plan.deferred]
        if plan.batch:
            self._store(state, plan, now)
        else:
            self._end_without_write(state, plan, now)
        self._apply_effects(plan.effects, now)

    def _end_without_write(
        self, state: _KeyState, plan: _WritePlan, now: float
    ) -> None:
        if state.has_token:
            state.has_token = False
            self._budget.writes.refund()
        if plan.needs_read and not self._load(state, now):
            state.invalidate()

    def _begin_call(self, state: _KeyState) -> int:
        self._last_call = next(self._sequence)
        state.current_call = self._last_call
        return self._last_call

    def _load(self, state: _KeyState, now: float) -> bool:
        """Read a document if a read token is available."""
        request = state.budget_request(state.pending)
        if not self._budget.reads.withdraw(request, now):
            return False
        self._begin_call(state)
        self.calls.append(Load(state.key))
        return True

    def _store(self, state: _KeyState, plan: _WritePlan, now: float) -> None:
        call_number = self._begin_call(state)
        state.has_token = False
        state.batch = plan.batch
        revision = state.stored.revision
        if plan.is_delete:
            state.sent_document = _StoredDocument()
            self.calls.append(Delete(state.key, revision, call_number))
            return
        for intent, decision in plan.batch:
            if decision.verdict is intents.Verdict.WRITE:
                intent.on_send(now)
        value = claims.encode(plan.view.document)
        state.sent_document = _StoredDocument(plan.view.document, len(value))
        self.calls.append(Store(state.key, value, revision, call_number))

    def _on_applied(self, state: _KeyState, revision: int, now: float) -> None:
        batch = state.batch
        state.batch = []
        if any(_closes_bucket(decision) for _, decision in batch):
            state.invalidate_listing()
        state.carry_listing(revision)
        state.stored = state.sent_document._replace(
            revision=revision, call_number=state.current_call, confirmed_at=now
        )
        state.current_call = 0
        for _, decision in batch:
            self._apply_effects(decision.effects, now)
        self._start_next_call(state, now)

    def _on_conflict(
        self, state: _KeyState, present: tuple[bytes | None, int], now: float
    ) -> None:
        state.is_contended = True
        state.restore_batch()
        self._on_value(state, *present, now)

    def _on_value(
        self, state: _KeyState, value: bytes | None, revision: int, now: float
    ) -> None:
        try:
            state.update_stored(value, revision, now)
        except errors.ProtocolViolation:
            # Nothing may be claimed in a document that can't be decoded.
            self._on_unavailable(state, now)
            return
        state.current_call = 0
        self._start_next_call(state, now)

    def _on_lost(self, state: _KeyState, now: float) -> None:
        for intent, decision in state.batch:
            if decision.verdict is intents.Verdict.WRITE:
                intent.lost_write_revision = max(
                    state.stored.revision, intent.lost_write_revision or 0
                )
        state.restore_batch()
        state.invalidate()
        state.current_call = 0
        self._start_next_call(state, now)

    def _on_unavailable(self, state: _KeyState, now: float) -> None:
        state.restore_batch()
        state.current_call = 0
        state.retry_at = now + self._retry_interval_s
        self.down_until = state.retry_at
        pending = state.pending
        state.pending = []
        for intent in pending:
            effects = intent.on_unavailable()
            if effects is None:
                state.pending.append(intent)
            else:
                self._apply_effects(effects, now)
