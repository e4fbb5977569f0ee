"""Token bucket of one account in one zone, with loans to hosts; sans-I/O.

Owns the tokens that the holder of an account has, and the number that it has
lent. The tokens of a bucket and its loans together never exceed its capacity.
So the requests in any window are at most the capacity plus the rate times the
window, whatever happens to the messages that carry the loans.
"""

import heapq
import math
from typing import NamedTuple

from cardamomflow.accounts import table

# Longest time for which a host may use the tokens that it has borrowed.
LOAN_S = 1.0
# Loans of a shorter time would expire on their way between two zones.
MIN_LOAN_S = 0.05
# Share of the allowed overage that becomes capacity when the burst is small.
# The rest is for rounding and for the time between admission and sending.
USED_RESERVE_SHARE = 0.8
# Share of the capacity that loans take up at the full rate. With 0.9, a zone
# that borrowed the burst of the others at once was refused 17 % of its demand
# for a second, as full loans stop the refill; with 0.6, nothing.
LOAN_CAPACITY_SHARE = 0.6
# Time of a loan of one token: it is asked for a request that waits for it, and
# its capacity is soon free again.
SINGLE_LOAN_S = 0.1
# Starts of the only host in one window for which the slack is enough.
STARTS_IN_WINDOW = 4
_ROUNDING = 1e-9


class Reserve(NamedTuple):
    """Requests beyond the limit of an account that the rules allow.

    Attributes
    ----------
    window_s : float
        Time in seconds over which requests are counted.
    overage : float
        Share of the limit.
    slack : float
        Requests in one window.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


class Unsettled(NamedTuple):
    """Tokens of one zone beside those of its settled holder.

    Attributes
    ----------
    rate_per_s : float
    capacity : float
    start_tokens : float
        First tokens of a host that is the only one.
    """

    rate_per_s: float
    capacity: float
    start_tokens: float


_NO_RESERVE = Unsettled(0, 0, 0)


class Limit(NamedTuple):
    """Limit of an account in one zone.

    Attributes
    ----------
    rate_per_s : float
    capacity : float
        Tokens and loans that may exist at one time.
    loan_s : float
        Time in seconds for which a loan is valid.
    unsettled : Unsettled
        What is left of the allowed requests.
    """

    rate_per_s: float
    capacity: float
    loan_s: float
    unsettled: 'Unsettled' = _NO_RESERVE


def zone_limit(account: table.Account, zones: int, reserve: Reserve) -> Limit:
    """Return the share of one zone in the limit of an account.

    Loans take up capacity until they expire, so a capacity below the tokens
    lent in `loan_s` would hold the account below its rate. An account with a
    small burst therefore gets part of the reserve as capacity and shorter
    loans. The capacities of all zones stay within burst and reserve.
    """
    total = max(
        account.burst,
        USED_RESERVE_SHARE
        * reserve.overage
        * reserve.window_s
        * account.rate_per_s,
    )
    # A zone needs one token at least, or no request would ever be admitted.
    capacity = max(total / zones, reserve.slack / (2 * zones), 1.0)
    rate_per_s = account.rate_per_s / zones
    return Limit(
        rate_per_s,
        capacity,
        min(
            LOAN_S, max(MIN_LOAN_S, LOAN_CAPACITY_SHARE * capacity / rate_per_s)
        ),
        _unsettled(account, capacity * zones, zones, reserve),
    )


def reserve_limit(limit: Limit) -> Limit:
    """Return the limit of a host that is not a settled holder yet."""
    unsettled = limit.unsettled
    return Limit(unsettled.rate_per_s, unsettled.capacity, SINGLE_LOAN_S)


def window_limit(account: table.Account, reserve: Reserve) -> float:
    """Return the requests of all hosts that the rules allow in a window."""
    usual = account.rate_per_s * reserve.window_s + account.burst
    return usual * (1 + reserve.overage) + reserve.slack


def _unsettled(
    account: table.Account, capacity: float, zones: int, reserve: Reserve
) -> Unsettled:
    """Return what settled holders leave of the slack, for one zone.

    A capacity above the burst has taken part of the reserve already.
    """
    settled = account.rate_per_s * reserve.window_s + capacity
    left = min(reserve.slack, window_limit(account, reserve) - settled)
    in_window = max(0.0, left / zones)
    capacity = min(in_window, max(1.0, in_window / 2))
    # Loans of the former host may be valid when the next one begins.
    refill_s = reserve.window_s + SINGLE_LOAN_S
    return Unsettled(
        (in_window - capacity) / refill_s,
        capacity,
        in_window / STARTS_IN_WINDOW,
    )


class _Loan(NamedTuple):
    """Tokens that were lent and expire at one time."""

    expires_at: float
    tokens: int


class EscrowBucket:
    """Tokens of the holder of one account; starts empty.

    Attributes
    ----------
    limit : Limit
    lent : int
        Tokens of loans that have not expired.
    """

    def __init__(self, limit: Limit, now: float) -> None:
        self.limit = limit
        self.lent = 0
        self._level = 0.0
        self._updated_at = now
        # A heap by expiry.
        self._loans: list[_Loan] = []

    def configure(self, limit: Limit, now: float) -> None:
        """Apply another limit; tokens above the new capacity are lost."""
        self._advance(now)
        self.limit = limit
        self._refill(now)

    def add(self, tokens: float, now: float) -> None:
        """Add tokens, up to the capacity."""
        self._advance(now)
        self._level += tokens
        self._refill(now)

    def level(self, now: float) -> int:
        """Return the number of whole tokens."""
        self._advance(now)
        return math.floor(self._level + _ROUNDING)

    def take(self, now: float) -> bool:
        """Take one token for a request of this host, if there is one."""
        if self.level(now) < 1:
            return False
        self._level -= 1
        return True

    def put_back(self, now: float) -> None:
        """Return the token of a request that was not sent."""
        self.add(1, now)

    def loan_s(self, wanted: int) -> float:
        """Return for how long tokens are lent, in seconds."""
        if wanted == 1:
            return min(self.limit.loan_s, SINGLE_LOAN_S)
        return self.limit.loan_s

    def lend(self, wanted: int, loan_s: float, now: float) -> int:
        """Lend tokens for some time in seconds; return their number."""
        granted = min(wanted, self.level(now))
        if granted < 1:
            return 0
        self._level -= granted
        self.lent += granted
        heapq.heappush(self._loans, _Loan(now + loan_s, granted))
        return granted

    def wait_s(self, now: float) -> float:
        """Return the time in seconds until a token is expected."""
        missing = 1 - self._level if self.level(now) < 1 else 0
        refill_s = missing / self.limit.rate_per_s
        room = self.limit.capacity - self.lent
        for loan in sorted(self._loans):
            if room >= 1:
                break
            room += loan.tokens
            refill_s = max(refill_s, loan.expires_at - now)
        return refill_s

    def _advance(self, now: float) -> None:
        """Refill the bucket, and end the loans that have expired."""
        while self._loans and self._loans[0].expires_at <= now:
            loan = heapq.heappop(self._loans)
            self._refill(loan.expires_at)
            self.lent -= loan.tokens
        self._refill(now)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._level = min(
            self._level + elapsed_s * self.limit.rate_per_s,
            max(0.0, self.limit.capacity - self.lent),
        )
