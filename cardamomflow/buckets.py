"""Intents on whole buckets and on the index of a service; sans-I/O.

Owns the rules by which claims are found again, buckets are closed and
deleted, and minutes enter and leave the index.
"""

from collections.abc import Sequence

from cardamomflow import claims, intents, ledgereffects

# An accepted claim of another owner is taken over after this time; the
# owner that accepted it normally runs it at once.
TAKEOVER_S = 30.0
# Minutes with new claims stay in the index this long, since each removal
# costs two writes.
UNLIST_AFTER_S = 300.0


class Upkeep(intents.Intent):
    """Work that is asked for at intervals and that no caller waits for."""

    def is_urgent(self) -> bool:
        """Nobody waits for it."""
        return False

    def is_repeated_in(self, pending: Sequence[intents.Intent]) -> bool:
        """Whether the work of an earlier interval still waits."""
        return any(isinstance(other, type(self)) for other in pending)

    def unavailable(self) -> tuple[ledgereffects.Effect, ...] | None:
        """Leave the work to the next interval, or to another owner."""
        return ()


class Inspect(Upkeep):
    """Finds the open claims of a bucket and closes a bucket without any."""

    def __init__(
        self, service: str, minute: int, claimant: str, index_revision: int
    ) -> None:
        """Take the revision of the index that was read before."""
        super().__init__(claims.bucket_key(service, minute))
        self._service = service
        self._minute = minute
        self._claimant = claimant
        self._index_revision = index_revision

    def decide(self, view: intents.View) -> intents.Decision:
        """Give up expired claims, report accepted ones, close the rest."""
        if not self.seen_after_arrival(view):
            return intents.READ
        expired = 0
        found: list[ledgereffects.Effect] = []
        still_open = 0
        for member, record in list(claims.open_claims(view.document)):
            if record.expired(view.unix_time):
                expired += 1
                view.put(
                    member,
                    record.settled(claims.State.UNKNOWN, b'', view.unix_time),
                )
                continue
            still_open += 1
            if record.state is claims.State.ACCEPTED:
                found.append(self._accepted(view, member, record))
        if still_open or not self._may_close(view):
            verdict = intents.Verdict.WRITE if expired else intents.Verdict.DONE
            return intents.Decision(verdict, tuple(found))
        # Written even if it is not listed: the new revision stops a writer
        # that read the bucket before the index was read.
        view.document[claims.LISTED] = False
        closed = ledgereffects.Closed(
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


class Expire(Upkeep):
    """Deletes a bucket after the retention."""

    def __init__(self, service: str, minute: int) -> None:
        """Take a minute that no request may name any more."""
        super().__init__(claims.bucket_key(service, minute))

    def decide(self, view: intents.View) -> intents.Decision:
        """Delete unless the key is gone or a claim is open."""
        if not self.seen_after_arrival(view):
            return intents.READ
        if view.revision == 0:
            return intents.DONE
        for _, record in claims.open_claims(view.document):
            if not record.expired(view.unix_time):
                return intents.DONE
        return intents.Decision(intents.Verdict.DELETE)


class Enter(intents.Intent):
    """Enters a minute into the index of its service."""

    def __init__(self, needed: ledgereffects.NeedListing, token: str) -> None:
        """Enter under a token, so that every entry is a new revision."""
        super().__init__(claims.index_key(needed.service))
        self._bucket = needed.bucket
        self._minute = str(needed.minute)
        self._token = token

    def decide(self, view: intents.View) -> intents.Decision:
        """Write even if the minute is there: it may be about to go."""
        follow = (ledgereffects.Entered(self._bucket, succeeded=True),)
        if view.document.get(self._minute) == self._token:
            return intents.Decision(intents.Verdict.DONE, follow)
        view.document[self._minute] = self._token
        return intents.Decision(intents.Verdict.WRITE, follow)

    def unavailable(self) -> tuple[ledgereffects.Effect, ...] | None:
        """Refuse what waits; a minute without claims is removed later."""
        return (ledgereffects.Entered(self._bucket, succeeded=False),)


class ReadIndex(Upkeep):
    """Reads the index of a service."""

    def __init__(self, service: str) -> None:
        """Read the minutes with open claims."""
        super().__init__(claims.index_key(service))
        self._service = service

    def may_write(self) -> bool:
        """The index is only read."""
        return False

    def decide(self, view: intents.View) -> intents.Decision:
        """Report the minutes as a read after the question shows them."""
        if not self.seen_after_arrival(view):
            return intents.READ
        minutes = tuple(int(minute) for minute in view.document)
        found = ledgereffects.IndexRead(self._service, minutes, view.revision)
        return intents.Decision(intents.Verdict.DONE, (found,))


class Remove(Upkeep):
    """Removes closed minutes from the index."""

    def __init__(self, closed: ledgereffects.Closed) -> None:
        """Remove only from the revision that was read before closing."""
        super().__init__(claims.index_key(closed.service))
        self._minute = str(closed.minute)
        self._revision = closed.index_revision

    def decide(self, view: intents.View) -> intents.Decision:
        """Leave a changed index alone: the minute may be in use again."""
        if view.revision != self._revision:
            return intents.DONE
        if self._minute not in view.document:
            return intents.DONE
        del view.document[self._minute]
        return intents.WRITE

    def is_repeated_in(self, pending: Sequence[intents.Intent]) -> bool:
        """Each removal is of another minute or revision."""
        return False
