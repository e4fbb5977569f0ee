"""Client accounts of one configuration, found by API key; immutable, no I/O.

A key is a secret: no object here includes one in its representation.
"""

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
        accounts_by_key: Mapping[str, Account] | None = None,
        problems: Iterable[str] = (),
    ) -> None:
        """Index the accounts.

        Parameters
        ----------
        accounts : iterable of Account
        accounts_by_key : mapping of str to Account, optional
            API keys, each with its only holder.
        problems : iterable of str, optional
        """
        self.accounts_by_name = {account.name: account for account in accounts}
        self.problems = tuple(problems)
        self._accounts_by_key = dict(accounts_by_key or {})

    def __bool__(self) -> bool:
        """Return whether requests need an API key.

        They also need one if every account is malformed: a typing error in
        the configuration must not open the routes to everyone.
        """
        return bool(self.accounts_by_name or self.problems)

    def find(self, key: str) -> Account | None:
        """Return the account that holds a key."""
        return self._accounts_by_key.get(key)


NO_ACCOUNTS = AccountTable()


def create_table(
    keys_by_account: Iterable[tuple[Account, Iterable[str]]],
    problems: Iterable[str] = (),
) -> AccountTable:
    """Return the table of accounts and their keys.

    Of several accounts with one name, the first is kept. A key that several
    accounts hold belongs to none of them.

    Parameters
    ----------
    keys_by_account : iterable of (Account, iterable of str)
    problems : iterable of str, optional
        Problems that were found before.
    """
    found_problems = list(problems)
    accounts_by_name: dict[str, Account] = {}
    accounts_by_key: dict[str, Account] = {}
    holders_by_key: dict[str, list[str]] = {}
    for account, keys in keys_by_account:
        if account.name in accounts_by_name:
            found_problems.append(f'second account {account.name!r}: skipped')
            continue
        accounts_by_name[account.name] = account
        for key in frozenset(keys):
            first_holder = accounts_by_key.setdefault(key, account)
            if first_holder is not account:
                holders_by_key.setdefault(key, [first_holder.name]).append(
                    account.name
                )
    for key in holders_by_key:
        del accounts_by_key[key]
    shared_by = sorted(set(map(tuple, holders_by_key.values())))
    found_problems.extend(
        f'key of several accounts, ignored: {", ".join(map(repr, names))}'
        for names in shared_by
    )
    return AccountTable(
        accounts_by_name.values(), accounts_by_key, found_problems
    )
