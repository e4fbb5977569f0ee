"""What a host learns from the platform: interface, owns no state.

The adapter of a platform implements it; `following` calls it.
"""

import abc
from typing import NamedTuple

from cardamomflow import register, routes


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


class BackendList(NamedTuple):
    """Entries and the revision from which to watch."""

    entries: list[Listed]
    revision: int


class RoutesRead(NamedTuple):
    """Routes in force and the revision from which to watch."""

    table: routes.RouteTable | None
    revision: int


class Source(abc.ABC):
    """The platform as a host needs it.

    Every call raises `errors.PlatformUnavailable` without a usable answer.
    """

    @abc.abstractmethod
    async def read_routes(self) -> RoutesRead:
        """Return the routes in force, None before there are any."""

    @abc.abstractmethod
    async def watch_routes(self, revision: int, wait_s: float) -> RoutesRead:
        """Wait for a change of the routes.

        The table is None when nothing changed.

        Raises
        ------
        errors.HistoryLost
            The routes have to be read again.
        """

    @abc.abstractmethod
    async def list_backends(self) -> BackendList:
        """Return all entries of backend servers."""

    @abc.abstractmethod
    async def watch_backends(self, revision: int, wait_s: float) -> BackendList:
        """Wait for changes of the list of backend servers.

        Raises
        ------
        errors.HistoryLost
            The list has to be read again.
        """

    @abc.abstractmethod
    async def announce_host(self, host_id: str, ttl_s: float) -> None:
        """List this host, or renew its entry, for a time."""

    @abc.abstractmethod
    async def count_hosts(self) -> int:
        """Return the number of listed hosts; may be seconds old."""
