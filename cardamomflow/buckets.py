"""Intents on whole buckets and on the index of a service; sans-I/O.

Owns the rules for finding open claims, for closing and deleting buckets, and
for adding minutes to the index and removing them. A closed bucket has no open
claim and is marked as not in the index.
"""

from collections.abc import Sequence

from cardamomflow import claims, intents, ledgereffects

# An accepted operation of another owner may be claimed after this time. The
# owner that accepted it normally runs it at once.
TAKEOVER_S = 30.0
# A minute stays in the index at least this long, because each removal costs
# two writes.
UNLIST_AFTER_S = 300.0


class MaintenanceIntent(intents.Intent):
    """Background work that is planned at intervals."""

    def is_urgent(self) -> bool:
        """Return False, since no caller waits for the work."""
        return False

    def is_repeated_in(self, pending: Sequence[intents.Intent]) -> bool:
        """Whether the work of an earlier interval is still pending."""
        return any(isinstance(other, type(self)) for other in pending)

    def on_unavailable(self) -> tuple[ledgereffects.Effect, ...] | None:
        """Return no effect; the next interval or owner does the work."""
        return ()


class InspectBucket(MaintenanceIntent):
    """Finds the open claims of a bucket; closes a bucket without any."""

    def __init__(
        self, service: str, minute: int, claimant: str, index_revision: int
    ) -> None:
        """Inspect a bucket of an index that was read at a revision."""
        super().__init__(claims.bucket_key(service, minute))
        self._service = service
        self._minute = minute
        self._claimant = claimant
        self._index_revision = index_revision

    def decide(self, view: intents.View) -> intents.Decision:
        """Set expired claims to unknown and report accepted operations.

        A bucket without open claims is closed.
        """
        if not self.is_fresh(view):
            return intents.READ
        expired_count = 0
        accepted: list[ledgereffects.Effect] = []
        open_count = 0
        for member, record in list(claims.open_claims(view.document)):
            if record.is_expired(view.unix_time):
                expired_count += 1
                view.put(
                    member,
                    record.with_outcome(
                        claims.State.UNKNOWN, b'', view.unix_time
                    ),
                )
                continue
            open_count += 1
            if record.state is claims.State.ACCEPTED:
                accepted.append(self._accepted(view, member, record))
        if open_count or not self._may_close(view):
            verdict = (
                intents.Verdict.WRITE if expired_count else intents.Verdict.DONE
            )
            return intents.Decision(verdict, tuple(accepted))
        # Written even if the minute is not in the index: the new revision
        # causes a conflict for a writer that read the bucket before the index
        # was read.
        view.document[claims.LISTED] = False
        closed = ledgereffects.BucketClosed(
            self._service, self._minute, self._index_revision
        )
        return intents.Decision(intents.Verdict.WRITE, (closed,))

    def _may_close(self, view: intents.View) -> bool:
        age_s = view.unix_time - self._minute * claims.MINUTE_S
        return age_s > UNLIST_AFTER_S

    def _accepted(
        self, view: intents.View, member: str, record: claims.Record
    ) -> ledgereffects.Effect:
        wait_s: float = 0
        if record.claimant != self._claimant:
            wait_s = record.changed_at + TAKEOVER_S - view.unix_time
        return ledgereffects.Accepted(
            self._service, self.key, member, view.now + max(0, wait_s)
        )


class DeleteBucket(MaintenanceIntent):
    """Deletes a bucket after the retention."""

    def __init__(self, service: str, minute: int) -> None:
        """Delete the bucket of a minute that requests can't use any more."""
        super().__init__(claims.bucket_key(service, minute))

    def decide(self, view: intents.View) -> intents.Decision:
        """Delete the bucket unless it is absent or a claim is open."""
        if not self.is_fresh(view):
            return intents.READ
        if view.revision == 0:
            return intents.DONE
        for _, record in claims.open_claims(view.document):
            if not record.is_expired(view.unix_time):
                return intents.DONE
        return intents.Decision(intents.Verdict.DELETE)


class ListMinute(intents.Intent):
    """Adds a minute to the index of its service."""

    def __init__(self, needed: ledgereffects.NeedListing, token: str) -> None:
        """Add the minute with a token, so that each write changes the index."""
        super().__init__(claims.index_key(needed.service))
        self._bucket = needed.bucket
        self._minute = str(needed.minute)
        self._token = token

    def decide(self, view: intents.View) -> intents.Decision:
        """Write even if the minute is present: its removal may be pending."""
        effects = (ledgereffects.ListingResult(self._bucket, succeeded=True),)
        if view.document.get(self._minute) == self._token:
            return intents.Decision(intents.Verdict.DONE, effects)
        view.document[self._minute] = self._token
        return intents.Decision(intents.Verdict.WRITE, effects)

    def on_unavailable(self) -> tuple[ledgereffects.Effect, ...] | None:
        """Refuse the waiting claims; a scan removes an unused minute later."""
        return (ledgereffects.ListingResult(self._bucket, succeeded=False),)


class ReadIndex(MaintenanceIntent):
    """Reads the minutes in the index of a service."""

    def __init__(self, service: str) -> None:
        super().__init__(claims.index_key(service))
        self._service = service

    def may_write(self) -> bool:
        """Return False, since the index is only read."""
        return False

    def decide(self, view: intents.View) -> intents.Decision:
        """Report the minutes of an index read after the intent was added."""
        if not self.is_fresh(view):
            return intents.READ
        minutes = tuple(int(minute) for minute in view.document)
        effect = ledgereffects.IndexRead(self._service, minutes, view.revision)
        return intents.Decision(intents.Verdict.DONE, (effect,))


class UnlistMinute(MaintenanceIntent):
    """Removes the minute of a closed bucket from the index."""

    def __init__(self, closed: ledgereffects.BucketClosed) -> None:
        """Remove only from the index revision read before the closing."""
        super().__init__(claims.index_key(closed.service))
        self._minute = str(closed.minute)
        self._revision = closed.index_revision

    def decide(self, view: intents.View) -> intents.Decision:
        """Write only an unchanged index: the minute may be in use again."""
        if view.revision != self._revision:
            return intents.DONE
        if self._minute not in view.document:
            return intents.DONE
        del view.document[self._minute]
        return intents.WRITE

    def is_repeated_in(self, pending: Sequence[intents.Intent]) -> bool:
        """Return False, since each removal has another minute or revision."""
        return False
