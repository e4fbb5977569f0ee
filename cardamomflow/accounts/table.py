"""Client accounts of one configuration, found by API key; immutable, no I/O.

A key is a secret: no object here includes one in its representation.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cardamomflow import rules


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


class AccountTable:
    """The client accounts of one configuration."""

    def __init__(
        self,
        accounts: Iterable[Account] = (),
        accounts_by_key: Mapping[str, Account] | None = None,
    ) -> None:
        """Index the accounts.

        Parameters
        ----------
        accounts : iterable of Account
        accounts_by_key : mapping of str to Account, optional
            API keys, each with its only holder.
        """
        self.accounts_by_name = {account.name: account for account in accounts}
        self._accounts_by_key = dict(accounts_by_key or {})

    def __bool__(self) -> bool:
        """Return whether requests need an API key."""
        return bool(self.accounts_by_name)

    def find(self, key: str) -> Account | None:
        """Return the account that holds a key."""
        return self._accounts_by_key.get(key)


NO_ACCOUNTS = AccountTable()
