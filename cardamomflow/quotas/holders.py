"""Who holds the tokens of an account in each zone; sans-I/O.

Owns the views that this host has of the hosts of its zone, and decides for
which accounts it may issue tokens. Two hosts that issue tokens of the same
share would exceed the limit, so a host takes a role over only when every host
that may have had it has stopped:

- A holder stops when its view was confirmed more than `VIEW_AGE_S` ago. A host
  that was first in its own views for `QUARANTINE_S` has therefore outlasted
  every holder with an older view, even without contact to it.
- A host need not wait that long when all hosts of its zone confirm that they
  use the same list, and a witness has seen no other host for `QUARANTINE_S`.

docs/design/quotas.md has the proof.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from cardamomflow import routing
from cardamomflow.quotas import bucket

# Age of its view at which a holder stops. It is longer than most outages of
# the platform, in which no holder could be replaced anyway.
VIEW_AGE_S = 8.0
# A watch may take this long, and its answer may be as old as the call.
CONFIRMATION_ERROR_S = 3.0
# A longer time without a call to `tick` is a pause of the process or machine.
# What arrived during a pause looks as if it were new.
PAUSE_S = 2.0
# Gap between two confirmations in which another host may have been listed and
# removed unseen: the lease of an entry is 10 s, and both confirmations may be
# late by `CONFIRMATION_ERROR_S` and `PAUSE_S`.
MAX_GAP_S = 5.0
# No other host uses a role, or its tokens, that it had this long ago.
QUARANTINE_S = VIEW_AGE_S + CONFIRMATION_ERROR_S + PAUSE_S + bucket.LOAN_S
# All hosts of a running fleet use this hash key, so it must not change.
_KEY_PREFIX = 'tokens/'
_HASH_BYTES = 8


class ViewReply(NamedTuple):
    """What another host says of its view.

    Attributes
    ----------
    view_hash : int
        Hash of the hosts of the zone that it uses.
    is_witness : bool
        Whether it has followed the list for `QUARANTINE_S`, and no host that
        it has seen in this time is missing from the list.
    """

    view_hash: int
    is_witness: bool


class _First(NamedTuple):
    """The host with the highest score for an account; compared by score."""

    score: int
    host_id: str


_NOBODY = _First(-1, '')


class Holders:
    """The roles of one host, and the holders that it asks.

    Attributes
    ----------
    view_hash : int
        Hash of the listed hosts of the own zone.
    """

    def __init__(
        self, own_id: str, own_zone: str, now: float, *, is_alone: bool = False
    ) -> None:
        """Start as a host that was not a holder.

        Parameters
        ----------
        own_id : str
        own_zone : str
        now : float
        is_alone : bool, optional
            Whether there are no other hosts. The host then has all roles.
        """
        self.view_hash = 0
        self._is_alone = is_alone
        self._started_at = now
        self._own_id = own_id
        self._own_zone = own_zone
        self._ids_by_zone: dict[str, frozenset[str]] = {}
        self._firsts_by_zone: dict[str, dict[str, _First]] = {}
        self._ticked_at = now
        self._confirmed_at = float('-inf')
        # Since when this process has followed the list without a long gap.
        self._following_since = now
        # Since when the list of the own zone is unchanged and up to date.
        self._view_since = now
        # Since when this host is first for an account.
        self._first_since_by_account: dict[str, float] = {}
        # Accounts whose role this host has taken over, and since when.
        self._acting_since_by_account: dict[str, float] = {}
        self._vanished_at_by_id: dict[str, float] = {}
        # Hosts that use the list of this host, and when they said so.
        self._agreed_at_by_id: dict[str, float] = {}
        self._has_witness = False

    # Events.

    def tick(self, now: float) -> None:
        """Note that the process runs; call this before every decision."""
        if now - self._ticked_at > PAUSE_S:
            self._following_since = now
            self._vanished_at_by_id.clear()
            self._restart(now)
        elif not self.is_fresh(now) and self._first_since_by_account:
            self._restart(now)
        self._ticked_at = max(self._ticked_at, now)

    def on_confirmed(self, confirmed_at: float, now: float) -> None:
        """Record when the platform confirmed the list of hosts."""
        self.tick(now)
        if confirmed_at - self._confirmed_at > VIEW_AGE_S:
            # Another host may have had the roles of this one in between.
            self._restart(now)
        if confirmed_at - self._confirmed_at > MAX_GAP_S:
            # Hosts may have come and gone unseen.
            self._following_since = now
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def on_members(
        self, ids_by_zone: Mapping[str, Collection[str]], now: float
    ) -> None:
        """Apply the list of hosts that have an address."""
        self.tick(now)
        listed = {zone: frozenset(ids) for zone, ids in ids_by_zone.items()}
        if listed == self._ids_by_zone:
            return
        before = self._own_ids
        self._update_firsts(listed)
        self._ids_by_zone = listed
        if self._own_ids == before:
            return
        for vanished_id in before - self._own_ids:
            self._vanished_at_by_id[vanished_id] = now
        for listed_id in self._own_ids:
            self._vanished_at_by_id.pop(listed_id, None)
        self.view_hash = _hash_ids(self._own_ids)
        self._view_since = now
        self._agreed_at_by_id.clear()
        self._has_witness = False
        for account in list(self._first_since_by_account):
            if not self._is_first(account):
                self._drop(account)

    def on_view_reply(
        self, host_id: str, reply: ViewReply, asked_at: float, now: float
    ) -> None:
        """Record the reply of another host of the zone."""
        self.tick(now)
        if asked_at < self._view_since or reply.view_hash != self.view_hash:
            return
        # A vanished host that sees itself missing has stopped, too.
        self._vanished_at_by_id.pop(host_id, None)
        self._agreed_at_by_id[host_id] = now
        self._has_witness |= reply.is_witness

    # Questions.

    def holder_of(self, account: str, zone: str) -> str | None:
        """Return the host to ask for tokens of an account."""
        firsts = self._firsts_by_zone.setdefault(zone, {})
        first = firsts.get(account)
        if first is None:
            ids = self._ids_by_zone.get(zone, frozenset())
            first = _first_of(account, ids)
            firsts[account] = first
        return first.host_id or None

    def acting_since(self, account: str, now: float) -> float | None:
        """Return since when this host may issue tokens of an account.

        None means that it may not. A role that ends and begins again has
        another time, so that its bucket starts empty.
        """
        self.tick(now)
        if self._is_alone:
            # The same role for the life of the process.
            self._acting_since_by_account[account] = self._started_at
        acting_since = self._acting_since_by_account.get(account)
        if acting_since is not None:
            return acting_since
        if not self._is_first(account) or not self.is_fresh(now):
            return None
        first_since = self._first_since_by_account.setdefault(
            account, self._view_since
        )
        if now - first_since < QUARANTINE_S and not self._is_agreed(now):
            return None
        self._acting_since_by_account[account] = now
        return now

    def is_unsettled(self, account: str, now: float) -> bool:
        """Return whether this host is first, but may not act as holder."""
        return self.acting_since(account, now) is None and self._is_first(
            account
        )

    @property
    def role_count(self) -> int:
        """Number of accounts whose tokens this host issues."""
        return len(self._acting_since_by_account)

    def retain(self, accounts: Collection[str]) -> None:
        """Forget the roles of accounts that are no longer limited."""
        known = (
            self._first_since_by_account.keys()
            | self._acting_since_by_account.keys()
        )
        for account in known - set(accounts):
            self._drop(account)
        for firsts in self._firsts_by_zone.values():
            for account in firsts.keys() - set(accounts):
                del firsts[account]

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is new enough for a holder."""
        return now - self._confirmed_at <= VIEW_AGE_S

    def is_witness(self, now: float) -> bool:
        """Return whether no host has been missing for `QUARANTINE_S`."""
        self.tick(now)
        for host_id, vanished_at in list(self._vanished_at_by_id.items()):
            if now - vanished_at >= QUARANTINE_S:
                del self._vanished_at_by_id[host_id]
        return (
            not self._vanished_at_by_id
            and self.is_fresh(now)
            and now - self._following_since >= QUARANTINE_S
        )

    def hosts_to_ask(self, accounts: Iterable[str], now: float) -> list[str]:
        """Return the hosts whose view would end the quarantine early."""
        self.tick(now)
        if not self.is_fresh(now) or not any(
            account not in self._acting_since_by_account
            and self._is_first(account)
            for account in accounts
        ):
            return []
        others = (self._own_ids | self._vanished_at_by_id.keys()) - {
            self._own_id
        }
        missing = others - self._agreed_at_by_id.keys()
        if not missing and not self._has_witness and not self.is_witness(now):
            # The hosts that have agreed may be witnesses later.
            return sorted(others)
        return sorted(missing)

    def is_near(self, host_id: str) -> bool:
        """Return whether a host is listed in the own zone."""
        return host_id in self._own_ids

    def zones(self) -> list[str]:
        """Return the zones with listed hosts, the own one left out."""
        return sorted(self._ids_by_zone.keys() - {self._own_zone})

    @property
    def _own_ids(self) -> frozenset[str]:
        return self._ids_by_zone.get(self._own_zone, frozenset())

    def _is_first(self, account: str) -> bool:
        return self.holder_of(account, self._own_zone) == self._own_id

    def _is_agreed(self, now: float) -> bool:
        """Return whether no other host can have a role of this one."""
        others = self._own_ids - {self._own_id}
        if not others <= self._agreed_at_by_id.keys():
            return False
        if self._vanished_at_by_id and not self.is_witness(now):
            return False
        if not self._has_witness and not self.is_witness(now):
            return False
        # Tokens that were lent before the replies have to expire.
        agreed_at = max(
            self._agreed_at_by_id.values(), default=self._view_since
        )
        return now - agreed_at > bucket.LOAN_S

    def _update_firsts(self, listed: Mapping[str, frozenset[str]]) -> None:
        """Update the holders; an account is ranked again only if it lost its.

        Ranking all accounts takes tens of milliseconds in a large fleet.
        """
        for zone, firsts in self._firsts_by_zone.items():
            ids = listed.get(zone, frozenset())
            joined_ids = ids - self._ids_by_zone.get(zone, frozenset())
            for account, first in list(firsts.items()):
                if first.host_id and first.host_id not in ids:
                    del firsts[account]
                elif joined_ids:
                    joined = _first_of(account, joined_ids)
                    firsts[account] = max(first, joined)

    def _drop(self, account: str) -> None:
        self._first_since_by_account.pop(account, None)
        self._acting_since_by_account.pop(account, None)

    def _restart(self, now: float) -> None:
        """End all roles; what was known of other views counts no more."""
        self._view_since = now
        self._first_since_by_account.clear()
        self._acting_since_by_account.clear()
        self._agreed_at_by_id.clear()
        self._has_witness = False


def _first_of(account: str, ids: Iterable[str]) -> _First:
    """Return the first of some hosts for an account."""
    key = f'{_KEY_PREFIX}{account}'
    return max(
        (_First(routing.score(key, host_id), host_id) for host_id in ids),
        default=_NOBODY,
    )


def _hash_ids(ids: Iterable[str]) -> int:
    """Return a hash of host ids that is the same on all hosts."""
    joined = '\n'.join(sorted(ids)).encode()
    digest = hashlib.blake2b(joined, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')
