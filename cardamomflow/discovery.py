"""Discovery through the platform: routes, backend servers, number of hosts.

Owns the loops that read and watch, and when they try again. What is learned
goes to a listener; the protocol is left to the adapter of the platform.
"""

import abc
from collections.abc import Iterable

import curio

from cardamomflow import (
    changefeed,
    context,
    directory,
    errors,
    events,
    ownership,
    platformsource,
    routes,
)

# A connection may fall silent for good, also in an outage. A change has to be
# in force 4 s after that at the latest, so a silent watch ends within 3 s, with
# a second for its answer. A watch of 5 s broke the bound in an outage of 2 s.
WATCH_WAIT_S = 2.0
# With subscribers: the age of their feed is the wait and what it takes to relay
# the answer.
RELAY_WAIT_S = 1.0
# Backend servers and hosts come and go in groups; each answer of a watch is a
# call that is paid for, and a leaving backend server takes work for 3 s.
# Without the pause each host that starts is a call of every other one.
GATHER_CHANGES_S = 0.3
# Changes in one answer that mean that more may wait: after an outage a host
# asks for the rest at once. With pauses some hosts used routes of before the
# outage 5 s after its end.
LARGE_BATCH = 20
PROBE_WAIT_S = 0.05
# Waits between calls that fail: enough for a store that answers in
# milliseconds, and few calls of a whole fleet against one that is down.
RETRY_MINIMUM_S = 0.1
RETRY_MAXIMUM_S = 0.4
EXPIRY_INTERVAL_S = 0.25
HOST_TTL_S = 10.0
ANNOUNCE_INTERVAL_S = 3.0
_MS = 1000


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
    def platform_confirmed(self, confirmed_at: float) -> None:
        """Note when the platform confirmed what this host knows."""

    @abc.abstractmethod
    async def hosts_counted(self, hosts: int) -> None:
        """Take the number of hosts."""

    @abc.abstractmethod
    async def members_listed(self, members: Iterable[ownership.Member]) -> None:
        """Take the hosts that can be reached by others."""


class FeedPeers(abc.ABC):
    """The change feed from and to other hosts."""

    @property
    @abc.abstractmethod
    def relay(self) -> str | None:
        """The host that relays the feed to this one, None without one."""

    @property
    @abc.abstractmethod
    def has_subscribers(self) -> bool:
        """Whether other hosts rely on this one."""

    @abc.abstractmethod
    async def next_update(self, revision: int) -> changefeed.Update | None:
        """Return an update of the relay, None to ask the platform."""

    @abc.abstractmethod
    async def publish(self, update: changefeed.Update) -> None:
        """Relay what is in force at this host."""

    @abc.abstractmethod
    def platform_lost(self, outage_until: float) -> None:
        """Note that the platform does not answer this host."""


class Follower:
    """Reads and watches the platform for one host."""

    def __init__(
        self,
        source: platformsource.Source,
        listed: directory.Directory,
        listener: Listener,
        peers: FeedPeers,
        process_context: context.Context,
    ) -> None:
        """Take where to read and whom to tell."""
        self._peers = peers
        self._source = source
        self._directory = listed
        self._listener = listener
        self._journal = process_context.journal
        self._clock = process_context.clock
        self._random = process_context.random
        self._routes_revision = -1
        self._revisions_by_id: dict[str, int] = {}
        self._lost: set[str] = set()
        # Whether many changes may wait at the platform.
        self._is_behind = False
        self._confirmed_at = process_context.clock()
        self._leaving = curio.Event()
        self._own = ownership.own_member(process_context.settings)
        self._members_by_id: dict[str, ownership.Member | None] = {}

    async def follow(self) -> None:
        """Keep routes and backend servers up to date until cancelled."""
        revision: int | None = None
        while True:
            try:
                revision = await self._take_next(revision)
            except errors.HistoryLost as lost:
                revision = None
                self._note_lost('store', lost)
            except errors.FlowError as error:
                self._note_lost('store', error)
                self._is_behind = True
                self._directory.outage(self._clock())
                self._peers.platform_lost(self._directory.outage_until)
                # A call at once may fall into the same disturbance: after a
                # reset, a new connection was not accepted for a second.
                await curio.sleep(
                    self._random.uniform(RETRY_MINIMUM_S, RETRY_MAXIMUM_S)
                )
            else:
                self._note_regained('store')

    async def expire_backends(self) -> None:
        """Drop lapsed entries when their time is over, until cancelled."""
        while True:
            await curio.sleep(EXPIRY_INTERVAL_S)
            await self._tell(self._directory.expire(self._clock()))

    async def announce(self) -> None:
        """List this host and renew its entry until `leave` is called."""
        # A whole fleet that starts at once would write at once.
        await self._wait(self._random.uniform(0, ANNOUNCE_INTERVAL_S))
        while not self._leaving.is_set():
            try:
                await self._source.announce_host(self._own, HOST_TTL_S)
            except errors.FlowError as error:
                self._note_lost('hosts', error)
            else:
                self._note_regained('hosts')
            await self._wait(ANNOUNCE_INTERVAL_S)
        try:
            await self._source.withdraw_host()
        except errors.FlowError as error:
            # The entry ends with its lease.
            self._note_lost('hosts', error)

    async def leave(self) -> None:
        """Let `announce` end the entry of this host."""
        await self._leaving.set()

    async def _wait(self, span_s: float) -> None:
        """Wait, at most until this host leaves."""
        async with curio.ignore_after(span_s):
            await self._leaving.wait()

    async def _take_next(self, revision: int | None) -> int:
        """Take the next changes; return the revision that is known then."""
        if revision is None:
            changes = await self._source.read()
            await self._take_list(changes.entries)
            self._members_by_id.clear()
        else:
            update = None
            if 'store' not in self._lost:
                update = await self._peers.next_update(revision)
            if update is not None:
                return await self._take_update(update, revision)
            changes = await self._source.watch(revision, self._watch_wait_s())
        await self._take(changes)
        self._note_taken(changes, None)
        if revision is None or _count(changes) < LARGE_BATCH:
            self._is_behind = False
        if not self._is_behind:
            self._confirmed_at = self._clock()
        before = changes.revision if revision is None else revision
        changed = changes.revision != before
        await self._publish(
            changefeed.Update(
                before,
                changes.revision,
                changefeed.pack(changes.content) if changed else b'',
                self._confirmed_at,
                self._directory.outage_until,
            )
        )
        pauses = changes.table is None and not self._is_behind
        if pauses and changes.revision != revision:
            await curio.sleep(GATHER_CHANGES_S)
        return changes.revision

    async def _take_update(
        self, update: changefeed.Update, revision: int
    ) -> int:
        """Take what the relay has passed on."""
        self._directory.hold_until(update.outage_until)
        if update.content and update.revision > revision:
            changes = self._source.parse(changefeed.unpack(update.content))
            await self._take(changes)
            self._note_taken(changes, update)
        await self._publish(update)
        return max(update.revision, revision)

    def _note_taken(
        self, changes: platformsource.Changes, update: changefeed.Update | None
    ) -> None:
        """Log changes that are in force now, from the relay or the store."""
        if not _count(changes) and changes.table is None:
            return
        age_s = 0 if update is None else self._clock() - update.confirmed_at
        self._journal.info(
            events.Event.CHANGES_TAKEN,
            revision=changes.revision,
            changes=_count(changes),
            content_bytes=len(changes.content),
            peer=None if update is None else self._peers.relay,
            age_ms=round(age_s * _MS),
            is_behind=self._is_behind,
        )

    async def _publish(self, update: changefeed.Update) -> None:
        self._listener.platform_confirmed(update.confirmed_at)
        await self._peers.publish(update)

    async def _take(self, changes: platformsource.Changes) -> None:
        await self._take_routes(changes.table)
        taken = [self._take_entry(entry) for entry in changes.entries]
        await self._tell([change for change in taken if change is not None])
        await self._take_hosts(changes.hosts)

    def _watch_wait_s(self) -> float:
        """Return how long a watch waits without changes."""
        if 'store' in self._lost:
            # A store that failed has to show soon whether it is back.
            return PROBE_WAIT_S
        if self._peers.has_subscribers:
            return RELAY_WAIT_S
        return WATCH_WAIT_S

    async def _take_hosts(self, hosts: list[platformsource.ListedHost]) -> None:
        """Count the hosts, this one among them."""
        for host in hosts:
            if host.present:
                self._members_by_id[host.host_id] = host.member
            else:
                self._members_by_id.pop(host.host_id, None)
        listed = self._members_by_id
        await self._listener.hosts_counted(
            len(listed.keys() | {self._own.host_id})
        )
        await self._listener.members_listed(
            member for member in listed.values() if member is not None
        )

    async def _take_routes(self, table: routes.RouteTable | None) -> None:
        if table is None or table.revision <= self._routes_revision:
            return
        self._routes_revision = table.revision
        self._journal.info(
            events.Event.ROUTES_IN_FORCE,
            revision=table.revision,
            routes=len(table),
        )
        await self._listener.routes_changed(table)

    async def _take_list(self, entries: list[platformsource.Listed]) -> None:
        present = {
            entry.backend_id for entry in entries if entry.backend is not None
        }
        await self._tell(self._directory.replaced(present, self._clock()))
        self._revisions_by_id.clear()

    def _take_entry(
        self, entry: platformsource.Listed
    ) -> directory.Change | None:
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
                events.Event.BACKEND_CHANGED,
                backend_id=change.backend_id,
                service=change.service,
                usable=change.usable,
            )
        await self._listener.backends_changed(changes)

    def _note_lost(self, name: str, error: errors.FlowError) -> None:
        if name not in self._lost:
            self._lost.add(name)
            self._journal.warning(
                events.Event.PLATFORM_LOST, watching=name, error=error.message
            )

    def _note_regained(self, name: str) -> None:
        if name in self._lost:
            self._lost.discard(name)
            self._journal.info(events.Event.PLATFORM_REGAINED, watching=name)


def _count(changes: platformsource.Changes) -> int:
    return len(changes.entries) + len(changes.hosts)
