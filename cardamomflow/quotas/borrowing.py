"""Tokens of one account that a host has borrowed; sans-I/O.

Owns the loans of a host, its open requests for tokens, and its estimate of the
demand. A loan expires by the time at which its request was sent, so it expires
here before it does at the holder.
"""

import bisect
import math
from typing import NamedTuple

from cardamomflow.quotas import bucket

# Time over which the demand is averaged; moved demand is followed within 2 s.
DEMAND_S = 0.5
# Longest time for which a host borrows ahead.
AHEAD_S = 0.5
# Share of the time of a loan for which a host borrows. The rest is for demand
# below the estimate: tokens that expire are lost to the account.
AHEAD_LOAN_SHARE = 0.5
# Share of the tokens for that time at which a host borrows the next ones.
LOW_SHARE = 0.3
# Requests expected in that time from which a host borrows more than the token
# that it needs. With 2, 3 in 100 requests of an account at 90 % of its limit
# were refused since tokens expired at 60 hosts; with 4, it was 1 in 100.
MIN_AHEAD_TOKENS = 4.0
_MAX_TOKENS = 1_000_000


class Demand:
    """Rate of events, averaged over `DEMAND_S`."""

    __slots__ = ('_amount', '_updated_at')

    def __init__(self) -> None:
        self._amount = 0.0
        self._updated_at = 0.0

    def record(self, now: float, count: float = 1) -> None:
        """Record events."""
        self._decay(now)
        self._amount += count

    def per_s(self, now: float) -> float:
        """Return the rate in events per second."""
        self._decay(now)
        return self._amount / DEMAND_S

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s > 0:
            self._amount *= math.exp(-elapsed_s / DEMAND_S)
            self._updated_at = now


class Permit(NamedTuple):
    """A token that was taken for one request.

    Attributes
    ----------
    expires_at : float or None
        When a borrowed token expires; None for a token of an own bucket.
    is_reserve : bool
        Whether it is from the reserve of a host that is no holder yet.
    """

    expires_at: float | None
    is_reserve: bool = False


OWN_PERMIT = Permit(None)
RESERVE_PERMIT = Permit(None, is_reserve=True)


class Borrowing:
    """What one host has borrowed for one account.

    Attributes
    ----------
    demand : Demand
        Requests of this host, admitted or not.
    """

    def __init__(self) -> None:
        self.demand = Demand()
        # Expiry time and number of tokens, the earliest expiry first.
        self._loans: list[list[float]] = []
        self._sent_at_by_request: dict[int, float] = {}

    def tokens(self, now: float, min_valid_s: float = 0) -> int:
        """Return the number of tokens that are valid for some time."""
        self._expire(now)
        usable_after = now + min_valid_s
        return sum(
            int(count)
            for expires_at, count in self._loans
            if expires_at > usable_after
        )

    def take(self, now: float) -> Permit | None:
        """Take the token that expires first, if there is one."""
        self._expire(now)
        if not self._loans:
            return None
        loan = self._loans[0]
        loan[1] -= 1
        if loan[1] < 1:
            self._loans.pop(0)
        return Permit(loan[0])

    def put_back(self, permit: Permit, now: float) -> None:
        """Return the token of a request that was not sent."""
        if permit.expires_at is not None and permit.expires_at > now:
            bisect.insort(self._loans, [permit.expires_at, 1])

    def take_up_to(
        self, wanted: int, now: float, min_valid_s: float
    ) -> tuple[int, float]:
        """Take tokens to lend them to another host.

        Returns
        -------
        tuple of int and float
            Number of tokens, and the time in seconds for which all of them
            are valid.
        """
        self._expire(now)
        taken, valid_s, kept = 0, math.inf, []
        for expires_at, count in self._loans:
            used = 0
            if expires_at - now >= min_valid_s:
                used = min(wanted - taken, int(count))
            if used:
                taken += used
                valid_s = min(valid_s, expires_at - now)
            if count > used:
                kept.append([expires_at, count - used])
        self._loans = kept
        return taken, valid_s

    def wanted(self, loan_s: float, now: float) -> int:
        """Return how many tokens to borrow now, at least one."""
        ahead = self._ahead(loan_s, now)
        if ahead < MIN_AHEAD_TOKENS:
            return 1
        missing = ahead - self.tokens(now)
        return max(1, min(_MAX_TOKENS, math.floor(missing)))

    def is_low(self, loan_s: float, now: float) -> bool:
        """Return whether to borrow before the tokens are used up."""
        ahead = self._ahead(loan_s, now)
        if ahead < MIN_AHEAD_TOKENS:
            return False
        return self.tokens(now) < ahead * LOW_SHARE

    def on_request_sent(self, request_id: int, now: float) -> None:
        """Record a request before it is sent."""
        self._sent_at_by_request[request_id] = now

    def on_grant(
        self, request_id: int, tokens: int, valid_s: float, now: float
    ) -> bool:
        """Add the tokens of a grant; return whether it answers a request."""
        sent_at = self._sent_at_by_request.pop(request_id, None)
        if sent_at is None:
            return False
        expires_at = sent_at + min(valid_s, bucket.LOAN_S)
        if tokens > 0 and expires_at > now:
            bisect.insort(self._loans, [expires_at, tokens])
        return True

    def forget_requests(self, sent_before: float) -> None:
        """Forget requests whose grant would have expired."""
        for request_id, sent_at in list(self._sent_at_by_request.items()):
            if sent_at < sent_before:
                del self._sent_at_by_request[request_id]

    def is_unused(self, now: float) -> bool:
        """Return whether nothing here is needed any more."""
        self._expire(now)
        return not self._loans and not self._sent_at_by_request

    def _ahead(self, loan_s: float, now: float) -> float:
        """Return the expected requests in the time to borrow for."""
        return self.demand.per_s(now) * ahead_s(loan_s)

    def _expire(self, now: float) -> None:
        while self._loans and self._loans[0][0] <= now:
            self._loans.pop(0)


def ahead_s(loan_s: float) -> float:
    """Return for how long to borrow ahead, in seconds."""
    return min(AHEAD_S, loan_s * AHEAD_LOAN_SHARE)
