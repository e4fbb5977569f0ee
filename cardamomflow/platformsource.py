"""What a host learns from the platform: interface, owns no state.

The adapter of a platform implements it; `discovery` calls it.
"""

import abc
from typing import NamedTuple

from cardamomflow import ownership, register, routes


class Listed(NamedTuple):
    """The state of one entry of the list of backend servers.

    Attributes
    ----------
    backend_id : str
    revision : int
        The platform's revision of the change.
    backend : register.Backend or None
        None when the entry is gone or names no backend server.
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
        False when the entry is gone.
    member : ownership.Member or None
        None when the entry does not tell how to reach the host.
    """

    host_id: str
    present: bool
    member: ownership.Member | None


class Changes(NamedTuple):
    """What the platform holds, or what has changed there.

    Attributes
    ----------
    table : routes.RouteTable or None
        The newest routes, None when they are unknown or unchanged.
    entries : list of Listed
        Backend servers.
    hosts : list of ListedHost
    revision : int
        From which to watch.
    content : bytes
        The same in the form of the platform, for `Source.parse`.
    """

    table: routes.RouteTable | None
    entries: list[Listed]
    hosts: list[ListedHost]
    revision: int
    content: bytes = b''


class Source(abc.ABC):
    """The platform as a host needs it.

    Every call raises `errors.PlatformUnavailable` without a usable answer.
    """

    @abc.abstractmethod
    async def read(self) -> Changes:
        """Return the routes in force and all entries."""

    @abc.abstractmethod
    async def watch(self, revision: int, wait_s: float) -> Changes:
        """Wait for changes.

        Raises
        ------
        errors.HistoryLost
            All has to be read again.
        """

    @abc.abstractmethod
    def parse(self, content: bytes) -> Changes:
        """Return changes that another host has relayed.

        Raises
        ------
        errors.ProtocolViolation
            They can not be read.
        """

    @abc.abstractmethod
    async def announce_host(
        self, member: ownership.Member, ttl_s: float
    ) -> None:
        """List this host, or renew its entry, for a time."""

    @abc.abstractmethod
    async def withdraw_host(self) -> None:
        """End the entry of this host, if it has one."""
