"""Attempts to claim or accept an operation, as ledger intents; sans-I/O.

Owns the rules that decide whether an attempt may be dispatched, is fenced or
is refused. The outcome of a dispatch is handled elsewhere.
"""

import abc

from cardamomflow import claims, errors, intents, ledgereffects

# Longest time from before the compare-and-swap of a claim to the send.
DISPATCH_WINDOW_S = 2.0
# Time for the dispatch of a deferred operation.
DEFERRED_BUDGET_S = 30.0


class Attempt(intents.Intent):
    """Claims an operation for one dispatch."""

    def __init__(
        self, operation: claims.Operation, token: str, claimant: str
    ) -> None:
        """Create an attempt under a token that no other attempt has."""
        super().__init__(operation.bucket)
        self.operation = operation
        self.token = token
        # Set once the call is answered; then nothing may be sent.
        self.abandoned = False
        self.sent_at: float | None = None
        self._claimant = claimant

    def is_urgent(self) -> bool:
        """Whether the call is unanswered, or a lost write may take effect."""
        return self.may_write()

    def may_write(self) -> bool:
        """Whether the attempt is still needed, or has to be fenced."""
        return not self.abandoned or self.lost_write_revision is not None

    def on_send(self, now: float) -> None:
        """Start the dispatch window; a repeat of a lost write keeps it."""
        if self.lost_write_revision is None or self.sent_at is None:
            self.sent_at = now

    def in_window(self, now: float) -> bool:
        """Whether the operation may still be sent."""
        return (
            self.sent_at is not None
            and now - self.sent_at <= DISPATCH_WINDOW_S
            and now < self.operation.deadline
            and not self.abandoned
        )

    def decide(self, view: intents.View) -> intents.Decision:
        """Claim, confirm, fence or report, depending on the view."""
        record = claims.find(view.document, self.operation.member)
        if record is not None and self.token in {record.token, record.origin}:
            return self._decide_own(view, record)
        if (
            self.lost_write_revision is not None
            and view.revision > self.lost_write_revision
        ):
            self.lost_write_revision = None
        if self.lost_write_revision is not None and not self.in_window(
            view.now
        ):
            return self._fence(view, record)
        if self.abandoned:
            return self._decide_abandoned()
        return self._decide_other(view, record)

    def build_record(self, state: claims.State, result: bytes) -> claims.Record:
        """Return the claim record of this attempt."""
        return claims.Record(
            state,
            self.token,
            self._claimant,
            claims.digest(self.operation.payload),
            rank=self.operation.rank,
            origin=self.token if self.operation.deferred else '',
            result=result,
        )

    def refuse(
        self, error: errors.FlowError
    ) -> tuple[ledgereffects.Effect, ...]:
        """Return the effects that end the call with a failure."""
        return (ledgereffects.Refuse(self.operation, error),)

    def _decide_own(
        self, view: intents.View, record: claims.Record
    ) -> intents.Decision:
        """Decide on this attempt's own claim, whose response was lost."""
        if record.state is claims.State.DISPATCHING and self.in_window(
            view.now
        ):
            return intents.Decision(
                intents.Verdict.DONE, (ledgereffects.Confirmed(self),)
            )
        released = record.with_outcome(
            claims.State.NOT_RUN, b'', view.unix_time
        )
        effects = self.refuse(ledgereffects.window_passed())
        if released == record:
            return intents.Decision(intents.Verdict.DONE, effects)
        view.put(self.operation.member, released)
        return intents.Decision(intents.Verdict.WRITE, effects)

    def _fence(
        self, view: intents.View, record: claims.Record | None
    ) -> intents.Decision:
        """Write a new revision, so that the lost write can't take effect."""
        if record is None:
            view.put(
                self.operation.member,
                self._build_timed_record(view, claims.State.NOT_RUN),
            )
        return intents.Decision(
            intents.Verdict.WRITE, self.refuse(ledgereffects.window_passed())
        )

    def _decide_abandoned(self) -> intents.Decision:
        """Return the end of an answered attempt that has no lost write."""
        return intents.DONE

    @abc.abstractmethod
    def _decide_other(
        self, view: intents.View, record: claims.Record | None
    ) -> intents.Decision:
        """Decide when the claim is absent or belongs to another attempt."""

    def _build_timed_record(
        self, view: intents.View, state: claims.State
    ) -> claims.Record:
        remaining_s = self.operation.deadline - view.now
        return self.build_record(state, b'')._replace(
            origin='',
            changed_at=view.unix_time,
            deadline=view.unix_time + remaining_s,
        )


class Claim(Attempt):
    """Claims an operation that a caller waits for."""

    def on_unavailable(self) -> tuple[ledgereffects.Effect, ...] | None:
        """Refuse, unless an earlier write may have taken effect."""
        if self.lost_write_revision is not None:
            return None
        return self.refuse(ledgereffects.claims_unavailable())

    def _decide_other(
        self, view: intents.View, record: claims.Record | None
    ) -> intents.Decision:
        if record and not record.has_payload(self.operation.payload):
            error = ledgereffects.key_reused(self.operation)
            return intents.Decision(intents.Verdict.DONE, self.refuse(error))
        if record is None or record.state is claims.State.NOT_RUN:
            return self._write(view)
        return report(self, self.operation, view, record)

    def _write(self, view: intents.View) -> intents.Decision:
        if is_bucket_full(view, self.operation):
            return intents.Decision(
                intents.Verdict.DONE,
                self.refuse(ledgereffects.bucket_full(self.operation)),
            )
        view.put(
            self.operation.member,
            self._build_timed_record(view, claims.State.DISPATCHING),
        )
        return intents.Decision(
            intents.Verdict.WRITE, (ledgereffects.Confirmed(self),)
        )


class AcceptDeferred(Claim):
    """Accepts a deferred operation: stores it to run later."""

    def on_send(self, now: float) -> None:
        """Record the time only, since nothing is dispatched."""
        self.sent_at = now

    def in_window(self, now: float) -> bool:
        """Whether the acceptance is still needed."""
        return now < self.operation.deadline and not self.abandoned

    def _decide_own(
        self, view: intents.View, record: claims.Record
    ) -> intents.Decision:
        if record.state is claims.State.NOT_RUN:
            return intents.Decision(
                intents.Verdict.DONE, self.refuse(ledgereffects.window_passed())
            )
        return intents.Decision(
            intents.Verdict.DONE, self._effects(view, record)
        )

    def _write(self, view: intents.View) -> intents.Decision:
        if is_bucket_full(view, self.operation):
            return intents.Decision(
                intents.Verdict.DONE,
                self.refuse(ledgereffects.bucket_full(self.operation)),
            )
        if not (view.document.get(claims.LISTED) or view.listable):
            need_listing = ledgereffects.NeedListing(
                self.operation.service,
                self.key,
                claims.minute_of(self.operation.issued_at),
            )
            return intents.Decision(intents.Verdict.WAIT, (need_listing,))
        view.document[claims.LISTED] = True
        record = self._build_timed_record(view, claims.State.ACCEPTED)._replace(
            origin=self.token, payload=self.operation.payload
        )
        view.put(self.operation.member, record)
        return intents.Decision(
            intents.Verdict.WRITE, self._effects(view, record)
        )

    def _effects(
        self, view: intents.View, record: claims.Record
    ) -> tuple[ledgereffects.Effect, ...]:
        accepted = ledgereffects.Accepted(
            self.operation.service, self.key, self.operation.member, view.now
        )
        return accepted, ledgereffects.Resolved(self.operation, record)


class ClaimDeferred(Attempt):
    """Claims an accepted deferred operation for dispatch."""

    def is_urgent(self) -> bool:
        """Return False, since no caller waits for a deferred operation."""
        return False

    def on_unavailable(self) -> tuple[ledgereffects.Effect, ...] | None:
        """Postpone the operation, unless an earlier write may take effect."""
        if self.lost_write_revision is not None:
            return None
        return (
            *self.refuse(ledgereffects.claims_unavailable()),
            self._postpone(),
        )

    def _postpone(self) -> ledgereffects.Accepted:
        """Return the effect that allows a claim after the deadline."""
        return ledgereffects.Accepted(
            self.operation.service,
            self.key,
            self.operation.member,
            self.operation.deadline,
        )

    def _decide_abandoned(self) -> intents.Decision:
        """Postpone an operation whose claim was delayed for too long."""
        return intents.Decision(intents.Verdict.DONE, (self._postpone(),))

    def _decide_other(
        self, view: intents.View, record: claims.Record | None
    ) -> intents.Decision:
        if record is None or record.state is not claims.State.ACCEPTED:
            if not self.is_fresh(view):
                return intents.READ
            return intents.Decision(
                intents.Verdict.DONE,
                self.refuse(ledgereffects.in_progress(self.operation)),
            )
        self.operation = self.operation._replace(
            payload=record.payload, rank=record.rank
        )
        view.put(
            self.operation.member,
            self._build_timed_record(view, claims.State.DISPATCHING)._replace(
                origin=record.origin, payload=record.payload
            ),
        )
        return intents.Decision(
            intents.Verdict.WRITE, (ledgereffects.Confirmed(self),)
        )


def report(
    intent: intents.Intent,
    operation: claims.Operation,
    view: intents.View,
    record: claims.Record,
) -> intents.Decision:
    """Report a claim that another attempt stored or settled."""
    if record.is_expired(view.unix_time):
        record = record.with_outcome(claims.State.UNKNOWN, b'', view.unix_time)
        view.put(operation.member, record)
        return intents.Decision(
            intents.Verdict.WRITE, (ledgereffects.Resolved(operation, record),)
        )
    if record.state is claims.State.RUN:
        return intents.Decision(
            intents.Verdict.DONE, (ledgereffects.Resolved(operation, record),)
        )
    if not intent.is_fresh(view):
        return intents.READ
    if record.state is claims.State.DISPATCHING and not record.deferred:
        error = ledgereffects.in_progress(operation)
        return intents.Decision(
            intents.Verdict.DONE, (ledgereffects.Refuse(operation, error),)
        )
    return intents.Decision(
        intents.Verdict.DONE, (ledgereffects.Resolved(operation, record),)
    )


def is_bucket_full(view: intents.View, operation: claims.Operation) -> bool:
    """Whether the bucket has no room for one more claim."""
    payload_size = len(operation.payload) * 4 // 3
    if not operation.deferred:
        payload_size = 0
    return view.size + payload_size > claims.MAX_BUCKET_BYTES
