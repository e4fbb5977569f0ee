"""Interface through which a host reads and watches the platform.

Adapters of platforms implement it; `discovery` calls it. Owns no state.
"""

import abc
from collections.abc import Sequence
from typing import NamedTuple

from cardamomflow import ownership, register, routes


class ListedBackend(NamedTuple):
    """The state of one entry of the list of backend servers.

    Attributes
    ----------
    backend_id : str
    revision : int
        The platform's revision of the change.
    backend : register.Backend or None
        None when the entry is deleted or describes no valid backend server.
    """

    backend_id: str
    revision: int
    backend: register.Backend | None


class ListedHost(NamedTuple):
    """The state of one entry of the list of hosts.

    Attributes
    ----------
    host_id : str
    present : bool
        False when the entry is deleted.
    member : ownership.Member or None
        None when the entry has no address of the host.
    """

    host_id: str
    present: bool
    member: ownership.Member | None


class Evacuation(NamedTuple):
    """Whether the backend servers of a zone must get nothing more.

    Attributes
    ----------
    zone : str
    is_requested : bool
        False when the request was taken back.
    """

    zone: str
    is_requested: bool


class Changes(NamedTuple):
    """All entries of the platform, or those that have changed.

    Attributes
    ----------
    table : routes.RouteTable or None
        The newest routes, None when they are unknown or unchanged.
    entries : list of Listed
        Backend servers.
    hosts : list of ListedHost
    revision : int
        Revision from which to watch next.
    content : bytes
        The same changes in the platform's format, for `Source.parse`.
    evacuations : sequence of Evacuation
        In the order of their revisions.
    era : int
        Era of the platform in which the revision was given out; 0 if it is
        unknown. The platform starts another era after it has lost changes, and
        gives revisions out again.
    """

    table: routes.RouteTable | None
    entries: list[ListedBackend]
    hosts: list[ListedHost]
    revision: int
    content: bytes = b''
    evacuations: Sequence[Evacuation] = ()
    era: int = 0


class Source(abc.ABC):
    """Reads, watches and updates the platform for one host.

    Every call raises `errors.PlatformUnavailable` without a usable answer.
    """

    @property
    @abc.abstractmethod
    def newest_era(self) -> int:
        """The highest era in any answer; 0 if it is unknown."""

    @abc.abstractmethod
    async def read(self) -> Changes:
        """Return the routes in force and all entries."""

    @abc.abstractmethod
    async def read_routes(self) -> Changes:
        """Return the routes in force alone; their era, and no revision."""

    @abc.abstractmethod
    async def watch(self, revision: int, wait_s: float) -> Changes:
        """Wait for changes.

        Raises
        ------
        errors.HistoryLost
            The revision is too old to watch from; call `read` again.
        """

    @abc.abstractmethod
    def parse(self, content: bytes) -> Changes:
        """Parse changes that another host has relayed.

        Raises
        ------
        errors.ProtocolViolation
            The content is malformed.
        """

    @abc.abstractmethod
    async def announce_host(
        self, member: ownership.Member, ttl_s: float
    ) -> None:
        """Create or renew the entry of this host, with a time to live."""

    @abc.abstractmethod
    async def withdraw_host(self) -> None:
        """Delete the entry of this host, if it exists."""
