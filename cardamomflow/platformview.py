"""What the platform lists, as it is in force at one host.

Owns the version of the routes in force, the revisions of the entries of backend
servers, the list of hosts and the evacuated zones. A listener receives the
changes. `discovery` decides when the platform is read.
"""

import abc
from collections.abc import Iterable

import curio

from cardamomflow import (
    changefeed,
    context,
    directory,
    events,
    ownership,
    platformsource,
    routes,
)

# Time for which an evacuation stays in force that is missing after the platform
# lost changes. The operator writes it again.
EVACUATION_HOLD_S = 10.0
EXPIRY_INTERVAL_S = 0.25


class Listener(abc.ABC):
    """Receives the state that the platform reports."""

    @abc.abstractmethod
    async def on_routes_changed(self, table: routes.RouteTable) -> None:
        """Handle the routes of a newer revision."""

    @abc.abstractmethod
    async def on_backends_changed(
        self, changes: Iterable[directory.Change]
    ) -> None:
        """Handle changes of the list of backend servers."""

    @abc.abstractmethod
    async def on_platform_confirmed(self, confirmed_at: float) -> None:
        """Handle the time when the platform confirmed the host's data."""

    @abc.abstractmethod
    async def on_hosts_counted(self, hosts: int) -> None:
        """Handle the number of hosts."""

    @abc.abstractmethod
    async def on_members_listed(
        self, members: Iterable[ownership.Member]
    ) -> None:
        """Handle the list of hosts that other hosts can connect to."""


class PlatformView:
    """Applies changes and lists of the platform at one host.

    Attributes
    ----------
    members_by_id : dict
        The listed hosts; None for a host without an address.
    """

    def __init__(
        self,
        own_id: str,
        backend_directory: directory.Directory,
        listener: Listener,
        process_context: context.Context,
    ) -> None:
        self.members_by_id: dict[str, ownership.Member | None] = {}
        self._own_id = own_id
        self._directory = backend_directory
        self._listener = listener
        self._journal = process_context.journal
        self._clock = process_context.clock
        self._routes_revision = -1
        # Newer routes may be found by several tasks.
        self._routes_lock = curio.Lock()
        # Era in which the version of the routes in force was first seen.
        self._routes_era = 0
        self._backend_revisions_by_id: dict[str, int] = {}
        # Evacuated zones that are missing since the platform lost changes.
        self._held_zones: set[str] = set()
        self._zones_held_until = float('-inf')

    async def expire(self) -> None:
        """Drop lapsed entries after their retention, until cancelled."""
        while True:
            await curio.sleep(EXPIRY_INTERVAL_S)
            now = self._clock()
            await self._report_backends(self._directory.expire(now))
            if self._held_zones and now >= self._zones_held_until:
                zones = self._directory.evacuated_zones - self._held_zones
                self._held_zones.clear()
                await self._set_evacuated_zones(zones)

    async def apply_lists(
        self, changes: platformsource.Changes, position: changefeed.Position
    ) -> None:
        """Remove what is missing in lists; `apply` adds the rest.

        After the platform lost changes, missing entries are kept for some time:
        their owners write them again.
        """
        missing_zones = self._directory.evacuated_zones.difference(
            evacuation.zone
            for evacuation in changes.evacuations
            if evacuation.is_requested
        )
        if position.revision and position.era < changes.era:
            now = self._clock()
            self._directory.record_outage(now)
            self._held_zones.update(missing_zones)
            self._zones_held_until = now + EVACUATION_HOLD_S
        else:
            await self._set_evacuated_zones(
                self._directory.evacuated_zones - missing_zones
            )
        await self._apply_backend_list(changes.entries)
        self.members_by_id.clear()

    async def apply(self, changes: platformsource.Changes) -> None:
        """Put changes in force, or the content of lists."""
        # Before the backend servers, so that those of an evacuated zone get no
        # work when this host starts.
        await self._apply_evacuations(changes.evacuations)
        await self.apply_routes(changes.table, changes.era)
        applied = [self._apply_backend(entry) for entry in changes.entries]
        await self._report_backends(
            [change for change in applied if change is not None]
        )
        await self._apply_hosts(changes.hosts)

    async def _apply_evacuations(
        self, evacuations: Iterable[platformsource.Evacuation]
    ) -> None:
        zones = set(self._directory.evacuated_zones)
        for evacuation in evacuations:
            self._held_zones.discard(evacuation.zone)
            if evacuation.is_requested:
                zones.add(evacuation.zone)
            else:
                zones.discard(evacuation.zone)
        await self._set_evacuated_zones(frozenset(zones))

    async def _set_evacuated_zones(self, zones: frozenset[str]) -> None:
        before = self._directory.evacuated_zones
        if zones == before:
            return
        changes = self._directory.apply_evacuations(zones)
        for zone in sorted(before ^ zones):
            event = events.Event.EVACUATION_ENDED
            if zone in zones:
                event = events.Event.EVACUATION_BEGUN
            self._journal.warning(
                event,
                zone=zone,
                backend_servers=self._directory.count_in_zone(zone),
            )
        await self._listener.on_backends_changed(changes)

    async def _apply_hosts(
        self, hosts: list[platformsource.ListedHost]
    ) -> None:
        """Update the list of hosts; the count includes this host."""
        for host in hosts:
            if host.present:
                self.members_by_id[host.host_id] = host.member
            else:
                self.members_by_id.pop(host.host_id, None)
        members_by_id = self.members_by_id
        await self._listener.on_hosts_counted(
            len(members_by_id.keys() | {self._own_id})
        )
        await self._listener.on_members_listed(
            member for member in members_by_id.values() if member is not None
        )

    async def apply_routes(
        self, table: routes.RouteTable | None, era: int
    ) -> None:
        """Put newer routes in force.

        After the platform lost changes, the operator may write the version in
        force again.
        """
        async with self._routes_lock:
            await self._apply_routes(table, era)

    async def _apply_routes(
        self, table: routes.RouteTable | None, era: int
    ) -> None:
        if table is None or table.revision < self._routes_revision:
            return
        if table.revision == self._routes_revision:
            if era <= self._routes_era:
                return
        else:
            self._routes_era = era
        self._routes_revision = table.revision
        self._journal.info(
            events.Event.ROUTES_IN_FORCE,
            revision=table.revision,
            routes=len(table),
        )
        await self._listener.on_routes_changed(table)

    async def _apply_backend_list(
        self, entries: list[platformsource.ListedBackend]
    ) -> None:
        present_ids = {
            entry.backend_id for entry in entries if entry.backend is not None
        }
        await self._report_backends(
            self._directory.remove_unlisted(present_ids, self._clock())
        )
        self._backend_revisions_by_id.clear()

    def _apply_backend(
        self, entry: platformsource.ListedBackend
    ) -> directory.Change | None:
        known_revision = self._backend_revisions_by_id.get(entry.backend_id, -1)
        if entry.revision <= known_revision:
            return None
        self._backend_revisions_by_id[entry.backend_id] = entry.revision
        if entry.backend is None:
            return self._directory.remove_entry(entry.backend_id, self._clock())
        return self._directory.update_entry(entry.backend)

    async def _report_backends(self, changes: list[directory.Change]) -> None:
        if not changes:
            return
        for change in changes:
            self._journal.info(
                events.Event.BACKEND_CHANGED,
                backend_id=change.backend_id,
                service=change.service,
                usable=change.usable,
            )
        await self._listener.on_backends_changed(changes)
