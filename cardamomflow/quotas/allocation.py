"""Tokens of one account at one host, and whom to ask for more; sans-I/O.

Owns the bucket of the account while this host is its holder, beside the tokens
that the host has borrowed, and the memory of refusals.
"""

import collections
import math
from collections.abc import Hashable, Iterable, Iterator
from typing import NamedTuple

from cardamomflow.accounts import table
from cardamomflow.quotas import borrowing, bucket

# Borrowed tokens with less than this share of the time of a loan left are not
# lent on: most would expire before a request needs them.
MIN_LENT_SHARE = 0.25
# Time between two requests for tokens that a holder has to refuse. Each costs
# about 50 bytes at both ends; a host may use 15 KB/s for control.
REFUSAL_SPACING_S = 0.01
# A bucket above this share of its capacity loses its refill soon, so hosts get
# this many tokens at once, which saves messages.
PLENTY_SHARE = 0.75
PLENTY_TOKENS = 4
# Time after which an asker no longer counts for the spacing.
_ASKER_S = 1.0
# Moved demand has to find its tokens within 2 s.
MAX_REFUSAL_S = 1.5
MIN_REFUSAL_S = 0.02
# Longest spread of the times at which callers are told to come again.
MAX_SPREAD_S = 5.0
# Memory of holders that can't be reached, after which they are asked again.
UNKNOWN_S = 0.1
UNKNOWN_RETRY_S = 0.25


class Grant(NamedTuple):
    """Answer to a request for tokens.

    Attributes
    ----------
    tokens : int
    valid_s : float
        Time in seconds after the request was sent at which they expire.
    wait_s : float
        Time in seconds until a token is expected, without any granted.
    is_holder : bool
        Whether the host issues tokens of the account.
    """

    tokens: int
    valid_s: float
    wait_s: float
    is_holder: bool


NOT_HOLDER = Grant(0, 0, 0, is_holder=False)


class Refusal(NamedTuple):
    """Why no token is available.

    Attributes
    ----------
    until : float
        Until when no token is asked for.
    wait_s : float
        Time in seconds until a token is expected.
    is_known : bool
        Whether a holder answered.
    """

    until: float
    wait_s: float
    is_known: bool


NO_ANSWER = Refusal(0, UNKNOWN_RETRY_S, is_known=False)


class Askers:
    """The hosts that one holder had to refuse lately."""

    def __init__(self) -> None:
        self._refused_at_by_key: collections.OrderedDict[Hashable, float] = (
            collections.OrderedDict()
        )

    def refuse(self, key: Hashable, now: float) -> float:
        """Record a refusal; return when to ask again, in seconds."""
        self._refused_at_by_key[key] = now
        self._refused_at_by_key.move_to_end(key)
        while True:
            oldest = next(iter(self._refused_at_by_key))
            if now - self._refused_at_by_key[oldest] <= _ASKER_S:
                break
            del self._refused_at_by_key[oldest]
        return len(self._refused_at_by_key) * REFUSAL_SPACING_S


class Allocation:
    """Tokens of one account at one host.

    Attributes
    ----------
    account : table.Account
    limit : bucket.Limit
    loans : borrowing.Borrowing
    refusal : Refusal or None
        The last refusal of a holder.
    """

    def __init__(
        self,
        account: table.Account,
        limit: bucket.Limit,
        askers: Askers,
        *,
        is_alone: bool = False,
    ) -> None:
        """Start without tokens.

        Parameters
        ----------
        account : table.Account
        limit : bucket.Limit
        askers : Askers
        is_alone : bool, optional
            Whether the host is the only one. It does not need the reserve for
            other hosts, so its bucket starts with a part of it.
        """
        self._is_alone = is_alone
        self.account = account
        self.limit = limit
        self.loans = borrowing.Borrowing()
        self.refusal: Refusal | None = None
        self._askers = askers
        self._bucket: bucket.EscrowBucket | None = None
        # Tokens for the time in which this host may become the holder.
        self._reserve: bucket.EscrowBucket | None = None
        self._acting_since: float | None = None
        # Tokens that the hosts of the own zone want.
        self._zone_demand = borrowing.Demand()
        self._refused = borrowing.Demand()
        self._admitted = borrowing.Demand()

    @property
    def is_holder(self) -> bool:
        """Whether this host issues tokens of the account."""
        return self._bucket is not None

    def configure(
        self, account: table.Account, limit: bucket.Limit, now: float
    ) -> None:
        """Apply another limit."""
        self.account = account
        if limit == self.limit:
            return
        self.limit = limit
        self.refusal = None
        if self._bucket is not None:
            self._bucket.configure(limit, now)
        if self._reserve is not None:
            self._reserve.configure(bucket.reserve_limit(limit), now)

    def set_role(
        self,
        acting_since: float | None,
        now: float,
        *,
        is_unsettled: bool = False,
    ) -> None:
        """Start with an empty bucket at each begin of a role.

        Only a host without others starts with a few tokens.

        Parameters
        ----------
        acting_since : float or None
            Since when this host is the holder; None if it is not.
        now : float
        is_unsettled : bool, optional
            Whether this host is the first of its zone, but not the holder yet.
        """
        if not is_unsettled:
            self._reserve = None
        elif self._reserve is None:
            self._reserve = bucket.EscrowBucket(
                bucket.reserve_limit(self.limit), now
            )
        if acting_since == self._acting_since:
            return
        self._acting_since = acting_since
        self._bucket = None
        if acting_since is not None:
            self._bucket = bucket.EscrowBucket(self.limit, now)
            self.refusal = None
            if self._is_alone:
                self._bucket.add(self.limit.unsettled.start_tokens, now)

    # Requests of callers.

    def record_demand(self, now: float) -> None:
        """Record a request of a caller."""
        self.loans.demand.record(now)
        if self._bucket is not None:
            self._zone_demand.record(now)

    def take(self, now: float) -> borrowing.Permit | None:
        """Take a token for a request, if there is one."""
        permit = self.loans.take(now)
        if permit is None and self._bucket is not None:
            if self._bucket.take(now):
                permit = borrowing.OWN_PERMIT
        if permit is None and self._reserve is not None:
            if self._reserve.take(now):
                permit = borrowing.RESERVE_PERMIT
        if permit is not None:
            self._admitted.record(now)
        return permit

    def put_back(self, permit: borrowing.Permit, now: float) -> None:
        """Return the token of a request that was not sent."""
        if permit.expires_at is not None:
            self.loans.put_back(permit, now)
        elif permit.is_reserve:
            if self._reserve is not None:
                self._reserve.put_back(now)
        elif self._bucket is not None:
            self._bucket.put_back(now)

    def current_refusal(self, now: float) -> Refusal | None:
        """Return the refusal that is still in force."""
        if self.refusal is not None and self.refusal.until <= now:
            self.refusal = None
        return self.refusal

    def retry_spread_s(self, now: float) -> float:
        """Record a refused request; return the time that all of them need."""
        self._refused.record(now)
        served_per_s = max(self._admitted.per_s(now), self.limit.rate_per_s)
        return min(MAX_SPREAD_S, self._refused.per_s(now) / served_per_s)

    # Requests of other hosts.

    def record_asked(self, wanted: int, now: float) -> None:
        """Record the tokens that a host of the own zone wants."""
        self._zone_demand.record(now, wanted)

    def lend(
        self, asker: Hashable, wanted: int, now: float, *, is_foreign: bool
    ) -> Grant:
        """Lend tokens to another host.

        Parameters
        ----------
        asker : hashable
        wanted : int
        now : float
        is_foreign : bool
            Whether the host belongs to another zone. It gets what the own
            zone does not need soon, and nothing that was borrowed, so that
            holders do not lend the same tokens back and forth.
        """
        if self._bucket is None:
            return self._lend_reserve(now, is_foreign=is_foreign)
        if self._has_plenty(self._bucket, now):
            wanted = max(wanted, PLENTY_TOKENS)
        loan_s = self._bucket.loan_s(wanted)
        if is_foreign:
            reserved = self._zone_demand.per_s(now) * self._ahead_s
            spare = math.floor(self._bucket.level(now) - reserved)
            tokens, valid_s = 0, loan_s
            wanted = min(wanted, max(0, spare))
        else:
            tokens, valid_s = self.loans.take_up_to(
                wanted, now, self._min_lent_s
            )
        own_tokens = self._bucket.lend(wanted - tokens, loan_s, now)
        if own_tokens:
            valid_s = min(valid_s, loan_s)
            tokens += own_tokens
        if tokens:
            return Grant(tokens, valid_s, 0, is_holder=True)
        spacing_s = self._askers.refuse((self.account.name, asker), now)
        wait_s = max(self._bucket.wait_s(now), spacing_s)
        return Grant(0, 0, min(wait_s, MAX_REFUSAL_S), is_holder=True)

    # Requests to other hosts.

    def wanted(self, now: float) -> int:
        """Return how many tokens to ask other hosts for, at least one."""
        if self._bucket is None:
            return self.loans.wanted(self.limit.loan_s, now)
        return max(1, self._missing(now, self._bucket))

    def should_ask_ahead(self, now: float) -> bool:
        """Return whether to ask before a request needs a token."""
        if self._bucket is None:
            return self.loans.is_low(self.limit.loan_s, now)
        return self._missing(now, self._bucket) > 0

    def on_refused(self, wait_s: float | None, now: float) -> None:
        """Record that no host has granted tokens.

        Parameters
        ----------
        wait_s : float or None
            Time in seconds until a token is expected; None if no holder has
            answered.
        now : float
        """
        if self._bucket is not None:
            # The own bucket goes on filling.
            own_wait_s = self._bucket.wait_s(now)
            wait_s = own_wait_s if wait_s is None else min(wait_s, own_wait_s)
        if wait_s is None:
            self.refusal = Refusal(
                now + UNKNOWN_S, UNKNOWN_RETRY_S, is_known=False
            )
            return
        pause_s = min(max(wait_s, MIN_REFUSAL_S), MAX_REFUSAL_S)
        self.refusal = Refusal(now + pause_s, wait_s, is_known=True)

    def is_unused(self, now: float) -> bool:
        """Return whether nothing here has to be kept."""
        return (
            self._bucket is None
            and self._reserve is None
            and self.loans.is_unused(now)
        )

    @property
    def _ahead_s(self) -> float:
        return borrowing.ahead_s(self.limit.loan_s)

    @property
    def _min_lent_s(self) -> float:
        return self.limit.loan_s * MIN_LENT_SHARE

    def _lend_reserve(self, now: float, *, is_foreign: bool) -> Grant:
        """Lend one token of the reserve to a host of the own zone.

        Without one, the asker goes on to the holders of other zones.
        """
        if self._reserve is None or is_foreign:
            return NOT_HOLDER
        tokens = self._reserve.lend(1, bucket.SINGLE_LOAN_S, now)
        if not tokens:
            return NOT_HOLDER
        return Grant(tokens, bucket.SINGLE_LOAN_S, 0, is_holder=True)

    def _has_plenty(self, own: bucket.EscrowBucket, now: float) -> bool:
        return own.level(now) > self.limit.capacity * PLENTY_SHARE

    def _missing(self, now: float, own: bucket.EscrowBucket) -> int:
        """Return the tokens that the holder lacks for the demand ahead.

        The own bucket refills meanwhile. Demand above the limit of the account
        can't be served by other zones either.
        """
        demand_per_s = min(
            self._zone_demand.per_s(now), self.account.rate_per_s
        )
        needed = (demand_per_s - self.limit.rate_per_s) * self._ahead_s
        present = own.level(now) + self.loans.tokens(now, self._min_lent_s)
        return math.ceil(needed - present)


class Inquiry:
    """One round of questions to holders, one after the other.

    Attributes
    ----------
    wanted : int
        Tokens that are still wanted.
    granted : int
    """

    def __init__(self, host_ids: Iterable[str], wanted: int) -> None:
        """Start a round.

        Parameters
        ----------
        host_ids : iterable of str
            Holders in the order in which they are asked. For a host that is
            not a holder itself the first one is the holder of its zone.
        wanted : int
        """
        self.wanted = wanted
        self.granted = 0
        self._left = collections.deque(host_ids)
        self._waits_s: list[float] = []

    def __iter__(self) -> Iterator[str]:
        """Yield the hosts to ask until enough tokens were granted."""
        while self.wanted > 0 and self._left:
            yield self._left.popleft()

    def on_grant(self, grant: Grant, *, is_decisive: bool) -> None:
        """Handle an answer.

        Parameters
        ----------
        grant : Grant
        is_decisive : bool
            Whether the host lends what other zones have, too, so that none of
            them needs to be asked.
        """
        self.granted += grant.tokens
        self.wanted -= grant.tokens
        if grant.is_holder:
            if not grant.tokens:
                self._waits_s.append(grant.wait_s)
            if is_decisive:
                self._left.clear()

    @property
    def wait_s(self) -> float | None:
        """Time until a token is expected; None if no holder has answered."""
        return min(self._waits_s, default=None)
