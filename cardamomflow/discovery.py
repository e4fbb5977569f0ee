"""Discovery through the platform: routes, backend servers, number of hosts.

Owns the loops that read and watch the platform, and their retries. A listener
receives the results. The adapter of the platform implements the protocol.
"""

import abc
import functools
from collections.abc import Iterable

import curio
import logbook

from cardamomflow import (
    changefeed,
    context,
    directory,
    errors,
    events,
    ownership,
    platformsource,
    routes,
    storewatch,
)

# A connection may stop responding for good, even in an outage. Changes must be
# in force at most 4 s after the outage, so a watch without a response ends
# within 3 s, which includes 1 s for its answer. With a watch of 5 s, an outage
# of 2 s breaks this bound.
WATCH_WAIT_S = 2.0
# Shorter with subscribers: the age of their feed is this wait plus the time to
# relay the answer.
RELAY_WAIT_S = 1.0
# Pause after changes, which collects further ones. Backend servers and hosts
# start and stop in groups, and each watch is a billed call. Without the pause,
# each host that starts causes a call by every other host. The pause is short
# compared with the 3 s for which a leaving backend server still accepts work.
CHANGE_BATCHING_S = 0.3
# While a fleet starts, the entry of each host is a change for all others, and
# no host relays changes yet.
STARTING_S = 5.0
STARTING_BATCHING_S = 1.0
# An answer with this many changes may be followed by more, so the host watches
# again without a pause. With pauses, some hosts still used the routes from
# before an outage 5 s after its end.
LARGE_BATCH = 20
PROBE_WAIT_S = 0.05
# Waits between failed calls: long for a store that answers within milliseconds,
# and long enough that a fleet makes few calls to a store that is down.
RETRY_MINIMUM_S = 0.1
RETRY_MAXIMUM_S = 0.4
# Waits between calls that fail while another host sends the changes.
FED_RETRY_MINIMUM_S = 0.7
FED_RETRY_MAXIMUM_S = 1.5
# A watch without an answer for this long after its wait counts as unanswered,
# and the host looks for another one that knows more. Calls take milliseconds.
LATE_ANSWER_S = 0.3
EXPIRY_INTERVAL_S = 0.25
HOST_TTL_S = 10.0
ANNOUNCE_INTERVAL_S = 3.0
_MS = 1000


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
    def on_platform_confirmed(self, confirmed_at: float) -> None:
        """Handle the time when the platform confirmed the host's data."""

    @abc.abstractmethod
    async def on_hosts_counted(self, hosts: int) -> None:
        """Handle the number of hosts."""

    @abc.abstractmethod
    async def on_members_listed(
        self, members: Iterable[ownership.Member]
    ) -> None:
        """Handle the list of hosts that other hosts can connect to."""


class FeedPeers(abc.ABC):
    """The change feed from and to other hosts."""

    @property
    @abc.abstractmethod
    def relay(self) -> str | None:
        """The host that relays the feed to this one, None without one."""

    @property
    @abc.abstractmethod
    def has_subscribers(self) -> bool:
        """Whether other hosts receive the feed from this one."""

    @abc.abstractmethod
    async def next_update(self, revision: int) -> changefeed.Update | None:
        """Wait for an update from the relay.

        Returns None when this host has to watch the platform itself.
        """

    @abc.abstractmethod
    async def next_substitute(
        self, revision: int, search_at: float
    ) -> changefeed.Update | None:
        """Wait for an update of any host while the platform does not answer.

        Other hosts are asked from `search_at` on. Returns None after
        `interrupt`.
        """

    @abc.abstractmethod
    async def interrupt(self) -> None:
        """Make `next_substitute` return None."""

    @property
    @abc.abstractmethod
    def has_usual_relay(self) -> bool:
        """Whether a host with the platform that outranks this one relays."""

    @abc.abstractmethod
    async def publish(self, update: changefeed.Update) -> None:
        """Relay an update that is in force at this host."""

    @abc.abstractmethod
    def on_platform_lost(self, outage_until: float) -> None:
        """Handle a failed call to the platform."""

    @abc.abstractmethod
    def on_platform_regained(self) -> None:
        """Handle a successful call, or a usual relay after failed calls."""


class CallLog:
    """Logs when calls to the platform begin to fail, and when they succeed."""

    def __init__(self, process_journal: logbook.Logger) -> None:
        self._journal = process_journal
        # Which of 'store' and 'hosts' failed at the last call.
        self._failing: set[str] = set()

    def record_failure(self, name: str, error: errors.FlowError) -> None:
        """Log the first failed call of a kind."""
        if name not in self._failing:
            self._failing.add(name)
            self._journal.warning(
                events.Event.PLATFORM_LOST, watching=name, error=error.message
            )

    def record_success(self, name: str) -> None:
        """Log the first successful call of a kind after failed ones."""
        if name in self._failing:
            self._failing.discard(name)
            self._journal.info(events.Event.PLATFORM_REGAINED, watching=name)


class HostEntry:
    """The entry of this host in the platform's list of hosts."""

    def __init__(
        self,
        source: platformsource.Source,
        calls: CallLog,
        process_context: context.Context,
    ) -> None:
        self.member = ownership.own_member(process_context.settings)
        self._source = source
        self._calls = calls
        self._random = process_context.random
        self._leaving = curio.Event()

    async def announce(self) -> None:
        """List this host and renew its entry until `leave` is called."""
        # Without the random wait, a fleet that starts at one time writes at one
        # time.
        await self._wait_or_leave(self._random.uniform(0, ANNOUNCE_INTERVAL_S))
        while not self._leaving.is_set():
            try:
                await self._source.announce_host(self.member, HOST_TTL_S)
            except errors.FlowError as error:
                self._calls.record_failure('hosts', error)
            else:
                self._calls.record_success('hosts')
            await self._wait_or_leave(ANNOUNCE_INTERVAL_S)
        try:
            await self._source.withdraw_host()
        except errors.FlowError as error:
            # The entry expires with its lease.
            self._calls.record_failure('hosts', error)

    async def leave(self) -> None:
        """Make `announce` withdraw the entry of this host."""
        await self._leaving.set()

    async def _wait_or_leave(self, span_s: float) -> None:
        """Wait for a time, or until this host leaves."""
        async with curio.ignore_after(span_s):
            await self._leaving.wait()


class Follower:
    """Reads and watches the platform for one host."""

    def __init__(
        self,
        source: platformsource.Source,
        backend_directory: directory.Directory,
        listener: Listener,
        peers: FeedPeers,
        process_context: context.Context,
    ) -> None:
        self._peers = peers
        self._source = source
        self._directory = backend_directory
        self._listener = listener
        self._journal = process_context.journal
        self._clock = process_context.clock
        self._random = process_context.random
        self._routes_revision = -1
        self._backend_revisions_by_id: dict[str, int] = {}
        self._calls = CallLog(process_context.journal)
        # Whether the platform may have many more changes for this host.
        self._is_behind = False
        self._confirmed_at = process_context.clock()
        # When the platform confirmed what this or another host read last.
        self._known_at = float('-inf')
        # The call in progress, beside which other hosts may send changes.
        self._attempt: storewatch.Attempt | None = None
        self._is_turned_away = False
        self._retry_at = float('-inf')
        # Whether the newest changes came from another host.
        self._has_relayed = False
        self._started_at = process_context.clock()
        self.own_entry = HostEntry(source, self._calls, process_context)
        self._members_by_id: dict[str, ownership.Member | None] = {}

    async def follow(self) -> None:
        """Keep routes and backend servers up to date until cancelled."""
        try:
            await self._follow()
        finally:
            await self._cancel_attempt()

    async def _follow(self) -> None:
        revision: int | None = None
        while True:
            try:
                revision = await self._apply_next(revision)
            except errors.HistoryLost as history_error:
                revision = None
                self._calls.record_failure('store', history_error)
            except errors.FlowError as error:
                self._calls.record_failure('store', error)
                await self._record_failed_call(revision)

    async def _record_failed_call(self, revision: int | None) -> None:
        """Record a failed call, and wait if other hosts can't send changes."""
        self._is_behind = True
        self._is_turned_away = True
        now = self._clock()
        # While another host sends the changes, entries that vanish have not
        # vanished in an outage.
        is_fed = (
            self._has_relayed and now - self._known_at < changefeed.MAX_AGE_S
        )
        if not is_fed:
            self._directory.record_outage(now)
        self._peers.on_platform_lost(self._directory.outage_until)
        # An immediate retry may hit the same fault: after a reset, a server may
        # not accept a new connection for 1 s.
        pause_s = (
            self._random.uniform(FED_RETRY_MINIMUM_S, FED_RETRY_MAXIMUM_S)
            if is_fed
            else self._random.uniform(RETRY_MINIMUM_S, RETRY_MAXIMUM_S)
        )
        if revision is None:
            await curio.sleep(pause_s)
        self._retry_at = now + pause_s

    async def expire_backends(self) -> None:
        """Drop lapsed entries after their retention, until cancelled."""
        while True:
            await curio.sleep(EXPIRY_INTERVAL_S)
            await self._report_backends(self._directory.expire(self._clock()))

    async def _apply_next(self, revision: int | None) -> int:
        """Apply the next changes; return the revision reached."""
        if revision is None:
            changes = await self._source.read()
            await self._set_evacuated_zones(
                self._directory.evacuated_zones.intersection(
                    evacuation.zone
                    for evacuation in changes.evacuations
                    if evacuation.is_requested
                )
            )
            await self._apply_backend_list(changes.entries)
            self._members_by_id.clear()
            return await self._apply_from_store(changes, None)
        update = None
        if not self._is_turned_away:
            update = await self._peers.next_update(revision)
        if update is None:
            return await self._apply_first(revision)
        return await self._apply_update(update, revision)

    async def _apply_first(self, revision: int) -> int:
        """Apply what comes first, from the store or from another host.

        Other hosts are asked only while the store does not answer.
        """
        if self._attempt is None:
            self._attempt = await self._start_attempt(revision)
        attempt = self._attempt
        update = await self._peers.next_substitute(revision, attempt.late_at)
        if update is None:
            if attempt.outcome is None:
                return revision
            self._attempt = None
            return await self._apply_from_store(attempt.changes(), revision)
        if update.content or self._peers.has_usual_relay:
            # The call has an outdated revision, or is needed no more.
            await self._cancel_attempt()
            self._retry_at = self._clock() + FED_RETRY_MINIMUM_S
        self._is_turned_away = not self._peers.has_usual_relay
        if not self._is_turned_away:
            self._peers.on_platform_regained()
        return await self._apply_update(update, revision)

    async def _start_attempt(self, revision: int) -> storewatch.Attempt:
        """Start to watch the store, after a pause if the last call failed."""
        now = self._clock()
        pause_s = max(0, self._retry_at - now)
        wait_s = self._watch_wait_s()
        late_at = now
        if not self._is_turned_away:
            late_at += pause_s + wait_s + LATE_ANSWER_S
        attempt = storewatch.Attempt(
            late_at,
            functools.partial(self._source.watch, revision, wait_s),
            self._peers.interrupt,
        )
        await attempt.start(pause_s)
        return attempt

    async def _cancel_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            await attempt.cancel()

    async def _apply_from_store(
        self, changes: platformsource.Changes, revision: int | None
    ) -> int:
        """Apply and relay changes of the store; return the revision reached."""
        await self._apply(changes)
        self._log_applied(changes, None)
        self._calls.record_success('store')
        self._is_turned_away = False
        self._has_relayed = False
        self._peers.on_platform_regained()
        if revision is None or _count_changes(changes) < LARGE_BATCH:
            self._is_behind = False
        if not self._is_behind:
            self._confirmed_at = self._clock()
        base_revision = changes.revision if revision is None else revision
        changed = changes.revision != base_revision
        await self._publish(
            changefeed.Update(
                base_revision,
                changes.revision,
                changefeed.pack(changes.content) if changed else b'',
                self._confirmed_at,
                self._directory.outage_until,
            )
        )
        should_pause = changes.table is None and not self._is_behind
        if should_pause and changes.revision != revision:
            await curio.sleep(self._batching_s())
        return changes.revision

    async def _apply_update(
        self, update: changefeed.Update, revision: int
    ) -> int:
        """Apply an update from the relay; return the revision reached."""
        self._directory.hold_until(update.outage_until)
        self._has_relayed = True
        if update.content and update.revision > revision:
            changes = self._source.parse(changefeed.unpack(update.content))
            await self._apply(changes)
            self._log_applied(changes, update)
        await self._publish(update)
        return max(update.revision, revision)

    def _log_applied(
        self, changes: platformsource.Changes, update: changefeed.Update | None
    ) -> None:
        """Log applied changes; `update` is None for changes of the store."""
        if not _count_changes(changes) and changes.table is None:
            return
        age_s = 0 if update is None else self._clock() - update.confirmed_at
        self._journal.info(
            events.Event.CHANGES_TAKEN,
            revision=changes.revision,
            changes=_count_changes(changes),
            content_bytes=len(changes.content),
            peer=None if update is None else self._peers.relay,
            age_ms=round(age_s * _MS),
            is_behind=self._is_behind,
        )

    async def _publish(self, update: changefeed.Update) -> None:
        self._known_at = max(self._known_at, update.confirmed_at)
        self._listener.on_platform_confirmed(self._known_at)
        await self._peers.publish(update)

    async def _apply(self, changes: platformsource.Changes) -> None:
        # Before the backend servers, so that those of an evacuated zone get no
        # work when this host starts.
        await self._apply_evacuations(changes.evacuations)
        await self._apply_routes(changes.table)
        applied = [self._apply_backend(entry) for entry in changes.entries]
        await self._report_backends(
            [change for change in applied if change is not None]
        )
        await self._apply_hosts(changes.hosts)

    def _batching_s(self) -> float:
        """Return how long to collect further changes."""
        is_starting = self._clock() - self._started_at < STARTING_S
        if is_starting and not self._peers.has_subscribers:
            return STARTING_BATCHING_S
        return CHANGE_BATCHING_S

    def _watch_wait_s(self) -> float:
        """Return how long the next watch waits for changes."""
        if self._is_turned_away or self._has_relayed:
            # A short watch shows soon whether a failed store has recovered, and
            # confirms what came from a relay that failed.
            return PROBE_WAIT_S
        if self._peers.has_subscribers:
            return RELAY_WAIT_S
        return WATCH_WAIT_S

    async def _apply_evacuations(
        self, evacuations: Iterable[platformsource.Evacuation]
    ) -> None:
        zones = set(self._directory.evacuated_zones)
        for evacuation in evacuations:
            if evacuation.is_requested:
                zones.add(evacuation.zone)
            else:
                zones.discard(evacuation.zone)
        await self._set_evacuated_zones(zones)

    async def _set_evacuated_zones(self, zones: set[str]) -> None:
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
                self._members_by_id[host.host_id] = host.member
            else:
                self._members_by_id.pop(host.host_id, None)
        members_by_id = self._members_by_id
        await self._listener.on_hosts_counted(
            len(members_by_id.keys() | {self.own_entry.member.host_id})
        )
        await self._listener.on_members_listed(
            member for member in members_by_id.values() if member is not None
        )

    async def _apply_routes(self, table: routes.RouteTable | None) -> None:
        if table is None or table.revision <= self._routes_revision:
            return
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


def _count_changes(changes: platformsource.Changes) -> int:
    return len(changes.entries) + len(changes.hosts)
