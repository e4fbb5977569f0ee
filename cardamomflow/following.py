"""Following of the platform: routes, backend servers, number of hosts.

Owns the loops that read and watch, and when they try again. What is learned
goes to a listener; the protocol is left to the adapter of the platform.
"""

import abc
from collections.abc import Awaitable, Callable, Iterable

import curio

from cardamomflow import context, directory, errors, routes, sources

# A connection may fall silent for good. A change has to be in force within 3 s
# from 4 s after that, so a silent watch has to end within 7 s, with a second
# for its answer.
WATCH_WAIT_S = 5.0
# Backend servers come and go in groups; each answer of a watch is a call that
# is paid for, and a leaving one takes work for 3 s.
GATHER_CHANGES_S = 0.3
# Waits between calls that fail: enough for a store that answers in
# milliseconds, and few calls of a whole fleet against one that is down.
RETRY_MINIMUM_S = 0.1
RETRY_MAXIMUM_S = 0.5
EXPIRY_INTERVAL_S = 0.25
HOST_TTL_S = 10.0
ANNOUNCE_INTERVAL_S = 3.0


class Listener(abc.ABC):
    """Takes what the platform says."""

    @abc.abstractmethod
    async def routes_changed(self, table: routes.RouteTable) -> None:
        """Take the routes of a newer revision."""

    @abc.abstractmethod
    async def backends_changed(
        self, changes: Iterable[directory.Change]
    ) -> None:
        """Take changes of the list of backend servers."""

    @abc.abstractmethod
    async def hosts_counted(self, hosts: int) -> None:
        """Take the number of hosts."""


class Follower:
    """Reads and watches the platform for one host."""

    def __init__(
        self,
        source: sources.Source,
        listed: directory.Directory,
        listener: Listener,
        around: context.Context,
    ) -> None:
        """Take where to read and whom to tell."""
        self._source = source
        self._directory = listed
        self._listener = listener
        self._journal = around.journal
        self._clock = around.clock
        self._random = around.random
        self._routes_revision = -1
        self._revisions_by_id: dict[str, int] = {}
        self._lost: set[str] = set()

    async def follow_routes(self) -> None:
        """Keep the routes up to date until cancelled."""
        await self._follow('routes', self._read_routes, self._watch_routes)

    async def follow_backends(self) -> None:
        """Keep the list of backend servers up to date until cancelled."""
        await self._follow(
            'backend_servers', self._list_backends, self._watch_backends
        )

    async def expire_backends(self) -> None:
        """Drop lapsed entries when their time is over, until cancelled."""
        while True:
            await curio.sleep(EXPIRY_INTERVAL_S)
            await self._tell(self._directory.expire(self._clock()))

    async def announce(self, host_id: str) -> None:
        """List this host and count the others until cancelled."""
        while True:
            try:
                await self._source.announce_host(host_id, HOST_TTL_S)
                hosts = await self._source.count_hosts()
            except errors.FlowError as error:
                self._note_lost('hosts', error)
            else:
                self._note_regained('hosts')
                await self._listener.hosts_counted(hosts)
            await curio.sleep(ANNOUNCE_INTERVAL_S)

    async def _follow(
        self,
        name: str,
        read: Callable[[], Awaitable[int]],
        watch: Callable[[int], Awaitable[int]],
    ) -> None:
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    revision = await read()
                else:
                    revision = await watch(revision)
            except errors.HistoryLost as lost:
                revision = None
                self._note_lost(name, lost)
            except errors.FlowError as error:
                self._note_lost(name, error)
                self._directory.outage(self._clock())
                await curio.sleep(
                    self._random.uniform(RETRY_MINIMUM_S, RETRY_MAXIMUM_S)
                )
            else:
                self._note_regained(name)

    async def _read_routes(self) -> int:
        return await self._take_routes(await self._source.read_routes())

    async def _watch_routes(self, revision: int) -> int:
        return await self._take_routes(
            await self._source.watch_routes(revision, WATCH_WAIT_S)
        )

    async def _take_routes(self, found: sources.RoutesRead) -> int:
        table = found.table
        if table is not None and table.revision > self._routes_revision:
            self._routes_revision = table.revision
            self._journal.info(
                'routes in force', revision=table.revision, routes=len(table)
            )
            await self._listener.routes_changed(table)
        return found.revision

    async def _list_backends(self) -> int:
        found = await self._source.list_backends()
        present = {
            entry.backend_id
            for entry in found.entries
            if entry.backend is not None
        }
        await self._tell(self._directory.replaced(present, self._clock()))
        self._revisions_by_id.clear()
        return await self._take_backends(found)

    async def _watch_backends(self, revision: int) -> int:
        found = await self._source.watch_backends(revision, WATCH_WAIT_S)
        following = await self._take_backends(found)
        if found.entries:
            await curio.sleep(GATHER_CHANGES_S)
        return following

    async def _take_backends(self, found: sources.BackendList) -> int:
        changes = [self._take_entry(entry) for entry in found.entries]
        await self._tell([change for change in changes if change is not None])
        return found.revision

    def _take_entry(self, entry: sources.Listed) -> directory.Change | None:
        known = self._revisions_by_id.get(entry.backend_id, -1)
        if entry.revision <= known:
            return None
        self._revisions_by_id[entry.backend_id] = entry.revision
        if entry.backend is None:
            return self._directory.vanished(entry.backend_id, self._clock())
        return self._directory.listed(entry.backend)

    async def _tell(self, changes: list[directory.Change]) -> None:
        if not changes:
            return
        for change in changes:
            self._journal.info(
                'backend server changed',
                backend_id=change.backend_id,
                service=change.service,
                usable=change.usable,
            )
        await self._listener.backends_changed(changes)

    def _note_lost(self, name: str, error: errors.FlowError) -> None:
        if name not in self._lost:
            self._lost.add(name)
            self._journal.warning(
                'platform lost', watching=name, error=error.message
            )

    def _note_regained(self, name: str) -> None:
        if name in self._lost:
            self._lost.discard(name)
            self._journal.info('platform regained', watching=name)
