"""Interface of the platform's key-value service and host list.

Owns the types that callers see. It opens no connection; the client of the
HTTP protocol is `httpclient`, the only one of the project. Nothing outside
of this folder knows the platform's paths and documents.
"""

import abc
from typing import NamedTuple

from cardamomflow import errors

MAX_VALUE_BYTES = 1_000_000
ABSENT = 0  # the expected revision of a key that must not exist


class Entry(NamedTuple):
    """A stored value.

    Attributes
    ----------
    value : bytes
    revision : int
        The platform's modification number; rises with every change and is
        never used twice for one key.
    """

    value: bytes
    revision: int


class HostState(NamedTuple):
    """A host as the platform lists it; the list lags.

    Attributes
    ----------
    host_id : str
    address : str
    availability_zone : str
    state : str
        `live` or `leaving`.
    """

    host_id: str
    address: str
    availability_zone: str
    state: str

    @property
    def leaving(self) -> bool:
        """Whether the host is about to go."""
        return self.state == 'leaving'


class Conflict(errors.Conflict):
    """The key does not have the expected revision; nothing was changed.

    Attributes
    ----------
    present : Entry or None
        The entry that the platform holds, None when the key is absent.
    """

    def __init__(self, key: str, present: Entry | None) -> None:
        """Keep the entry that won."""
        found = 'is absent' if present is None else f'is at {present.revision}'
        super().__init__(f'{key} was changed by another writer: it {found}')
        self.present = present


class Platform(abc.ABC):
    """The platform's store and host list.

    Reads raise `errors.PlatformUnavailable` for every failure of the
    platform. Changes raise it only when they certainly had no effect, and
    `errors.OutcomeUnknown` when they may have had one, now or later.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Entry | None:
        """Return the entry of a key, or None when it is absent.

        Raises
        ------
        errors.PlatformUnavailable
            No usable response.
        """

    async def read_changed(self, key: str, known_revision: int) -> Entry | None:
        """Return the entry of a key unless it has the revision known.

        An adapter that can ask the platform for this saves the transfer of
        a large value.

        Raises
        ------
        errors.PlatformUnavailable
            No usable response.
        """
        entry = await self.read(key)
        if entry is None or entry.revision == known_revision:
            return None
        return entry

    @abc.abstractmethod
    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> Entry:
        """Store a value if the key has the expected revision.

        Parameters
        ----------
        key : str
            May contain slashes.
        value : bytes
            At most `MAX_VALUE_BYTES`.
        expected_revision : int
            `ABSENT` when the key must not exist.
        lease_id : str, optional
            The key is removed when this lease ends.

        Raises
        ------
        Conflict
            The key has another revision; carries the present entry.
        errors.PlatformUnavailable
            The request never reached the store.
        errors.OutcomeUnknown
            No whole response; the value may be stored, now or later.
        errors.BadRequest
            The value is too large, or the platform refused the request.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected_revision: int) -> None:
        """Remove a key if it has the expected revision.

        Raises
        ------
        Conflict, errors.PlatformUnavailable, errors.OutcomeUnknown
            As for `compare_and_swap`.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> str:
        """Return the id of a new lease that ends after `ttl_s`.

        Raises
        ------
        errors.PlatformUnavailable, errors.OutcomeUnknown
            As for `compare_and_swap`.
        """

    @abc.abstractmethod
    async def keep_alive(self, lease_id: str) -> None:
        """Restart the time to live of a lease.

        Raises
        ------
        errors.NotFound
            The lease has ended.
        errors.PlatformUnavailable, errors.OutcomeUnknown
            As for `compare_and_swap`.
        """

    @abc.abstractmethod
    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> Entry | None:
        """Wait until a key has a revision above `after_revision`.

        A watch may deliver nothing although the key changed, so callers
        also read the key from time to time.

        Returns
        -------
        Entry or None
            None when nothing was delivered within `wait_s`.

        Raises
        ------
        errors.PlatformUnavailable
            No usable response.
        """

    @abc.abstractmethod
    async def hosts(self) -> list[HostState]:
        """Return the platform's list of live and leaving hosts.

        Raises
        ------
        errors.PlatformUnavailable
            No usable response.
        """
