"""Client accounts of one configuration, found by API key; immutable, no I/O.

A key is a secret: tables are made of digests, and no representation of an
object here includes a key.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cardamomflow import rules

# Weight of accounts without a limit, and of requests without an account.
DEFAULT_WEIGHT = 1.0


class Account(NamedTuple):
    """A client account and its limits.

    Attributes
    ----------
    name : str
    rank : rules.Rank or None
        Replaces the rank of the route; None leaves it.
    rate_per_s : float
        Requests per second over all hosts; 0 means no limit.
    burst : float
        Requests above the rate that may come at once.
    """

    name: str
    rank: rules.Rank | None = None
    rate_per_s: float = 0
    burst: float = 0

    @property
    def is_limited(self) -> bool:
        """Whether the account has a limit."""
        return self.rate_per_s > 0

    @property
    def weight(self) -> float:
        """Share of the account among queued requests, relative to others."""
        return self.rate_per_s if self.is_limited else DEFAULT_WEIGHT


class AccountTable:
    """The client accounts of one configuration.

    Attributes
    ----------
    accounts_by_name : dict of str to Account
    problems : tuple of str
        Parts of the configuration that are ignored, without any key.
    """

    def __init__(
        self,
        accounts: Iterable[Account] = (),
        problems: Iterable[str] = (),
        accounts_by_digest: Mapping[bytes, Account] | None = None,
    ) -> None:
        """Index the accounts.

        Parameters
        ----------
        accounts : iterable of Account
        problems : iterable of str, optional
        accounts_by_digest : mapping of bytes to Account, optional
            Digests of API keys, each with its only holder.
        """
        self.accounts_by_name = {account.name: account for account in accounts}
        self.problems = tuple(problems)
        self._accounts_by_digest = dict(accounts_by_digest or {})
        # Keys that were found before, which saves the time of their digest.
        self._accounts_by_used_key: dict[str, Account] = {}

    def __bool__(self) -> bool:
        """Return whether requests need an API key.

        They also need one if every account is malformed: a typing error in
        the configuration must not open the routes to everyone.
        """
        return bool(self.accounts_by_name or self.problems)

    def find(self, key: str) -> Account | None:
        """Return the account that holds a key."""
        account = self._accounts_by_used_key.get(key)
        if account is None:
            account = self._accounts_by_digest.get(digest(key))
            if account is not None:
                self._accounts_by_used_key[key] = account
        return account


NO_ACCOUNTS = AccountTable()


def digest(key: str) -> bytes:
    """Return the digest of a key."""
    return hashlib.blake2s(key.encode('utf-8', 'surrogatepass')).digest()


def create_table(
    digests_by_account: Iterable[tuple[Account, Iterable[bytes]]],
    problems: Iterable[str] = (),
) -> AccountTable:
    """Return the table of accounts and the digests of their keys.

    Of several accounts with one name, the first is kept. A key that several
    accounts hold belongs to none of them.

    Parameters
    ----------
    digests_by_account : iterable of (Account, iterable of bytes)
    problems : iterable of str, optional
        Problems that were found before.
    """
    found_problems = list(problems)
    accounts_by_name: dict[str, Account] = {}
    holders_by_digest: dict[bytes, list[Account]] = {}
    for account, digests in digests_by_account:
        if account.name in accounts_by_name:
            found_problems.append(f'second account {account.name!r}: skipped')
            continue
        accounts_by_name[account.name] = account
        for key_digest in frozenset(digests):
            holders_by_digest.setdefault(key_digest, []).append(account)
    shared_by = {
        tuple(account.name for account in holders)
        for holders in holders_by_digest.values()
        if len(holders) > 1
    }
    found_problems.extend(
        f'key of several accounts, ignored: {", ".join(map(repr, names))}'
        for names in sorted(shared_by)
    )
    return AccountTable(
        accounts_by_name.values(),
        problems=found_problems,
        accounts_by_digest={
            key_digest: holders[0]
            for key_digest, holders in holders_by_digest.items()
            if len(holders) == 1
        },
    )
