"""Discovery through the platform: routes, backend servers, number of hosts.

Owns the loops that read and watch the platform, and their retries. A listener
receives the results. The adapter of the platform implements the protocol.
"""

import abc
import functools

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
    platformview,
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
# Age of the knowledge at the end of a watch. An answer with changes confirms
# what was known when the call was made, so the next watch is shortened where
# both waits and the pause between would add up to more. A subscriber requests
# the age every 0.5 s and leaves its relay at 2.6 s.
RELAY_AGE_S = 1.8
WATCH_AGE_S = 2.5
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
# The same for a host that is outranked as relay by a reachable one. It asks the
# others how new their knowledge is meanwhile, so a store that is down costs a
# few calls of each group.
GROUP_RETRY_MINIMUM_S = 0.8
GROUP_RETRY_MAXIMUM_S = 1.6
# The same while another host sends the changes, for the first failed call; the
# next ones are up to `MAX_FED_FACTOR` times as far apart.
FED_RETRY_MINIMUM_S = 0.7
FED_RETRY_MAXIMUM_S = 1.5
MAX_FED_FACTOR = 3
# Waits before lists are read again after the platform lost its history, for the
# host that relays to its group, and for the others, which usually receive the
# lists from it before their wait ends.
RELAY_LISTS_MAXIMUM_S = 0.3
LISTS_MINIMUM_S = 1.0
LISTS_MAXIMUM_S = 2.5
# A watch without an answer for this long after its wait counts as unanswered,
# and the host looks for another one that knows more. Calls take milliseconds.
LATE_ANSWER_S = 0.3
# Age of a host's knowledge below which it asks no other host after a failed
# call: the next call often succeeds. Its subscribers leave it at 2.6 s.
SEARCH_AGE_S = 1.5
HOST_TTL_S = 10.0
ANNOUNCE_INTERVAL_S = 3.0
_MS = 1000
_START = changefeed.Position(0, 0)


Listener = platformview.Listener


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
    async def next_update(
        self, position: changefeed.Position
    ) -> changefeed.Update | None:
        """Wait for an update from the relay.

        Returns None when this host has to watch the platform itself.
        """

    @abc.abstractmethod
    async def next_substitute(
        self, position: changefeed.Position, search_at: float
    ) -> changefeed.Update | None:
        """Wait for an update of any host while the platform does not answer.

        Other hosts are asked from `search_at` on. Returns None after
        `interrupt`.
        """

    @abc.abstractmethod
    async def hasten(self) -> None:
        """Make `next_substitute` ask other hosts at once, for a moment."""

    @abc.abstractmethod
    async def interrupt(self) -> None:
        """Make `next_substitute` return None."""

    @abc.abstractmethod
    def clear_interruption(self) -> None:
        """Ignore an `interrupt` that `next_substitute` has not seen yet."""

    @property
    @abc.abstractmethod
    def is_preferred_relay(self) -> bool:
        """Whether no other reachable host of the group outranks this one."""

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
        self._logged_era = 0
        # Whether the platform lost the changes since this host's position.
        self._needs_lists = False
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
        # Failed calls in a row while another host sent the changes.
        self._fed_failures = 0
        # Whether calls failed since the last changes, and no host sent any.
        self._was_out = False
        # Whether the newest changes came from another host.
        self._has_relayed = False
        self._started_at = process_context.clock()
        # Set to end the pause that collects further changes.
        self._hastened = curio.Event()
        process_context.metrics.register_gauge(
            'host.store_era', lambda: source.newest_era
        )
        self.own_entry = HostEntry(source, self._calls, process_context)
        self.view = platformview.PlatformView(
            self.own_entry.member.host_id,
            backend_directory,
            listener,
            process_context,
        )

    async def follow(self) -> None:
        """Keep routes and backend servers up to date until cancelled."""
        try:
            await self._follow()
        finally:
            await self._cancel_attempt()

    async def ask_hosts(self) -> None:
        """Ask other hosts for changes, without a wait for their answers."""
        await self._peers.hasten()
        await self._hastened.set()

    async def _follow(self) -> None:
        position: changefeed.Position | None = None
        while True:
            try:
                position = await self._apply_next(position)
            except errors.HistoryLost as history_error:
                self._calls.record_failure('store', history_error)
                self._plan_lists()
            except errors.FlowError as error:
                self._calls.record_failure('store', error)
                self._record_failed_call()
            self._log_era()

    def _plan_lists(self) -> None:
        """Read lists again soon, or receive them from another host before.

        The calls of a fleet are spread, and most hosts need none.
        """
        self._needs_lists = True
        self._is_turned_away = False
        pause_s = (
            self._random.uniform(0, RELAY_LISTS_MAXIMUM_S)
            if self._peers.is_preferred_relay
            else self._random.uniform(LISTS_MINIMUM_S, LISTS_MAXIMUM_S)
        )
        self._retry_at = self._clock() + pause_s

    def _log_era(self) -> None:
        """Log an era of the platform that this host sees for the first time."""
        era = self._source.newest_era
        if era > self._logged_era:
            self._journal.warning(
                events.Event.ERA_SEEN, era=era, before=self._logged_era
            )
            self._logged_era = era

    def _record_failed_call(self) -> None:
        """Record a failed call, which is repeated after a pause."""
        self._is_behind = True
        self._is_turned_away = True
        now = self._clock()
        # While another host sends the changes, entries that vanish have not
        # vanished in an outage.
        is_fed = (
            self._peers.relay is not None
            and now - self._known_at < changefeed.MAX_AGE_S
        )
        self._fed_failures = self._fed_failures + 1 if is_fed else 0
        if not is_fed:
            self._was_out = True
            self._directory.record_outage(now)
        self._peers.on_platform_lost(self._directory.outage_until)
        self._retry_at = now + self._retry_pause_s()

    def _retry_pause_s(self) -> float:
        """Return how long to wait after a failed call.

        An immediate retry may hit the same fault: after a reset, a server may
        not accept a new connection for 1 s.
        """
        if self._fed_failures:
            factor = min(self._fed_failures, MAX_FED_FACTOR)
            return factor * self._random.uniform(
                FED_RETRY_MINIMUM_S, FED_RETRY_MAXIMUM_S
            )
        if self._peers.is_preferred_relay:
            return self._random.uniform(RETRY_MINIMUM_S, RETRY_MAXIMUM_S)
        return self._random.uniform(
            GROUP_RETRY_MINIMUM_S, GROUP_RETRY_MAXIMUM_S
        )

    def _hold_after_outage(self) -> None:
        """Keep entries that may have expired in an outage until now."""
        if self._was_out:
            self._was_out = False
            self._directory.record_outage(self._clock())

    async def _apply_next(
        self, position: changefeed.Position | None
    ) -> changefeed.Position:
        """Apply the next changes; return the position reached."""
        if position is None:
            await curio.sleep(max(0, self._retry_at - self._clock()))
            sent_at = self._clock()
            changes = await self._source.read()
            return await self._apply_lists_of_store(changes, _START, sent_at)
        update = None
        watches_itself = self._is_turned_away or self._needs_lists
        if self._attempt is None and not watches_itself:
            update = await self._peers.next_update(position)
        if update is None:
            return await self._apply_first(position)
        return await self._apply_update(update, position)

    async def _apply_first(
        self, position: changefeed.Position
    ) -> changefeed.Position:
        """Apply what comes first, from the store or from another host.

        Other hosts are asked only while the store does not answer.
        """
        if self._attempt is None:
            self._attempt = await self._start_attempt(position)
        attempt = self._attempt
        update = await self._peers.next_substitute(
            position, attempt.plan.late_at
        )
        if update is None:
            if attempt.outcome is None:
                return position
            self._attempt = None
            if attempt.plan.reads_lists:
                return await self._apply_lists_of_store(
                    attempt.changes(), position, attempt.sent_at
                )
            return await self._apply_watched(attempt, position)
        await self._revise_attempt(attempt, update)
        self._is_turned_away = not self._peers.has_usual_relay
        if not self._is_turned_away:
            self._peers.on_platform_regained()
        return await self._apply_update(update, position)

    async def _revise_attempt(
        self, attempt: storewatch.Attempt, update: changefeed.Update
    ) -> None:
        """Cancel a call that an update makes useless.

        A watch that was sent goes on: its answer shows that the store has
        recovered. Frequent updates must not put off the next call for ever.
        """
        if self._peers.has_usual_relay:
            await self._cancel_attempt()
            self._retry_at = self._clock() + FED_RETRY_MINIMUM_S
        elif update.content and not attempt.is_sent:
            # It starts again from the new position, at the same time.
            await self._cancel_attempt()
        elif update.content and attempt.plan.reads_lists:
            await self._cancel_attempt()
            self._retry_at = self._clock() + FED_RETRY_MINIMUM_S

    async def _start_attempt(
        self, position: changefeed.Position
    ) -> storewatch.Attempt:
        """Start to call the store, after a pause if the last call failed."""
        now = self._clock()
        pause_s = max(0, self._retry_at - now)
        wait_s = self._watch_wait_s()
        call: storewatch.Call = functools.partial(
            self._source.watch, position.revision, wait_s
        )
        if self._needs_lists:
            call = self._source.read
        late_at = max(now, self._known_at + SEARCH_AGE_S)
        expects_answer = not self._is_turned_away
        if self._needs_lists and not self._peers.is_preferred_relay:
            # Usually another host has read the lists before.
            expects_answer = False
        if expects_answer:
            late_at = now + pause_s + wait_s + LATE_ANSWER_S
        attempt = storewatch.Attempt(
            storewatch.Plan(position, late_at, wait_s, self._needs_lists),
            call,
            self._peers.interrupt,
            self._clock,
        )
        await attempt.start(pause_s)
        return attempt

    async def _cancel_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            await attempt.cancel()
            # The call may have ended while it was cancelled.
            self._peers.clear_interruption()

    async def _apply_lists_of_store(
        self,
        changes: platformsource.Changes,
        position: changefeed.Position,
        sent_at: float,
    ) -> changefeed.Position:
        """Apply and relay lists of the store; return the position reached."""
        reached = _reached(changes, position)
        self._hold_after_outage()
        await self.view.apply_lists(changes, position)
        self._needs_lists = False
        self._is_behind = False
        await self._apply_from_store(changes, sent_at)
        await self._publish_from_store(reached, reached, changes.content)
        return reached

    async def _apply_watched(
        self, attempt: storewatch.Attempt, position: changefeed.Position
    ) -> changefeed.Position:
        """Apply and relay changes of the store; return the position reached."""
        changes = attempt.changes()
        if attempt.plan.position != position:
            # Other hosts sent changes meanwhile, which this answer may lack.
            self._record_answer()
            return position
        reached = _reached(changes, position)
        if position.era < reached.era:
            # The first era that is seen counts too: what came before may
            # already be lost.
            raise errors.HistoryLost(
                f'the store lost changes before its era {reached.era}'
            )
        self._hold_after_outage()
        if _count_changes(changes) < LARGE_BATCH:
            self._is_behind = False
        changed = reached.revision != position.revision
        await self._apply_from_store(
            changes, attempt.confirmed_at(has_changes=changed)
        )
        await self._publish_from_store(
            position._replace(era=reached.era),
            reached,
            changes.content if changed else b'',
        )
        should_pause = changes.table is None and not self._is_behind
        if should_pause and changed:
            self._hastened.clear()
            async with curio.ignore_after(self._batching_s()):
                await self._hastened.wait()
        return reached

    async def _apply_from_store(
        self, changes: platformsource.Changes, confirmed_at: float
    ) -> None:
        """Apply an answer of the store, with all changes up to a time."""
        await self.view.apply(changes)
        self._log_applied(changes, None)
        self._has_relayed = False
        self._record_answer()
        if not self._is_behind:
            self._confirmed_at = confirmed_at

    def _record_answer(self) -> None:
        """Record that the store answers the calls of this host."""
        self._calls.record_success('store')
        self._is_turned_away = False
        self._fed_failures = 0
        self._peers.on_platform_regained()

    async def _publish_from_store(
        self,
        before: changefeed.Position,
        reached: changefeed.Position,
        content: bytes,
    ) -> None:
        """Relay an answer of the store; lists have no position before."""
        await self._publish(
            changefeed.Update(
                before.revision,
                reached.revision,
                changefeed.pack(content) if content else b'',
                self._confirmed_at,
                self._directory.outage_until,
                era=reached.era,
                is_complete=bool(content) and before == reached,
            )
        )

    async def _apply_update(
        self, update: changefeed.Update, position: changefeed.Position
    ) -> changefeed.Position:
        """Apply an update from the relay; return the position reached."""
        self._directory.hold_until(update.outage_until)
        self._has_relayed = True
        self._was_out = False
        reached = changefeed.Position(update.era, update.revision)
        if update.content and reached > position:
            changes = self._source.parse(changefeed.unpack(update.content))
            changes = changes._replace(era=update.era)
            if update.is_complete:
                await self.view.apply_lists(changes, position)
            await self.view.apply(changes)
            self._log_applied(changes, update)
        if update.era >= self._source.newest_era:
            # The update continues from what this host knows, or replaces it.
            self._needs_lists = False
        await self._publish(update)
        return max(reached, position)

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
        await self._listener.on_platform_confirmed(self._known_at)
        await self._peers.publish(update)

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
        age_s = self._clock() - self._confirmed_at
        if self._peers.has_subscribers:
            usual_s, remaining_s = RELAY_WAIT_S, RELAY_AGE_S - age_s
        else:
            usual_s, remaining_s = WATCH_WAIT_S, WATCH_AGE_S - age_s
        return min(usual_s, max(PROBE_WAIT_S, remaining_s))


def _reached(
    changes: platformsource.Changes, position: changefeed.Position
) -> changefeed.Position:
    """Return the position after an answer of the store.

    Raises
    ------
    errors.PlatformUnavailable
        The answer belongs to an earlier era.
    """
    era = changes.era or position.era
    if era < position.era:
        raise errors.PlatformUnavailable(
            f'an answer belongs to era {era}, before era {position.era}'
        )
    return changefeed.Position(era, changes.revision)


def _count_changes(changes: platformsource.Changes) -> int:
    return len(changes.entries) + len(changes.hosts)
