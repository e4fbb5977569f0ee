"""Interface of the platform's key-value service and host list.

Defines the types that callers use and opens no connection. `httpclient` is
the HTTP client of this interface. Only the modules of this package contain
the platform's paths and document formats.
"""

import abc
from typing import NamedTuple

from cardamomflow import errors

MAX_VALUE_BYTES = 1_000_000
ABSENT = 0  # expected revision of a key that must not exist


class Entry(NamedTuple):
    """A stored value.

    Attributes
    ----------
    value : bytes
    revision : int
        The platform's modification number. It increases with every change
        and is never reused for a key.
    """

    value: bytes
    revision: int


class HostState(NamedTuple):
    """A host in the platform's host list, which may be out of date.

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
        """Whether the host is about to stop."""
        return self.state == 'leaving'


class Conflict(errors.Conflict):
    """The key does not have the expected revision; nothing was changed.

    Attributes
    ----------
    present : Entry or None
        The entry in the store, None when the key is absent.
    """

    def __init__(self, key: str, present: Entry | None) -> None:
        state = 'absent' if present is None else f'revision {present.revision}'
        super().__init__(f'{key} was changed by another writer: now {state}')
        self.present = present


class Platform(abc.ABC):
    """The platform's store and host list.

    Reads raise `errors.PlatformUnavailable` for every failure of the
    platform. Changes raise it only when they definitely had no effect. They
    raise `errors.OutcomeUnknown` when they may have taken effect or may still
    do so.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Entry | None:
        """Return the entry of a key, or None when it is absent.

        Raises
        ------
        errors.PlatformUnavailable
            No usable response.
        """

    async def read_if_changed(
        self, key: str, known_revision: int
    ) -> Entry | None:
        """Return the entry of a key unless it still has a known revision.

        Returns None when the key is absent or unchanged. This implementation
        reads the whole entry; an adapter whose platform supports conditional
        reads avoids the transfer of a large value.

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
            The key is removed when this lease expires.

        Raises
        ------
        Conflict
            The key has another revision. The exception carries the current
            entry.
        errors.PlatformUnavailable
            The request did not reach the store.
        errors.OutcomeUnknown
            No complete response. The value may be stored already or later.
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
        """Return the id of a new lease that expires after `ttl_s`.

        Raises
        ------
        errors.PlatformUnavailable, errors.OutcomeUnknown
            As for `compare_and_swap`.
        """

    @abc.abstractmethod
    async def keep_alive(self, lease_id: str) -> None:
        """Renew a lease for its full time to live.

        Raises
        ------
        errors.NotFound
            The lease has expired.
        errors.PlatformUnavailable, errors.OutcomeUnknown
            As for `compare_and_swap`.
        """

    @abc.abstractmethod
    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> Entry | None:
        """Wait until a key has a revision above `after_revision`.

        A watch may miss a change without an error, so callers also poll the
        key.

        Returns
        -------
        Entry or None
            None when no change was delivered within `wait_s`.

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
