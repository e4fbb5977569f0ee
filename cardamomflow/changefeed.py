"""The feed of platform changes that hosts relay to each other; sans-I/O.

Owns the choice of the relay of a host, the age of the feed, and the updates
that a host can relay. A subscriber does not watch the platform while its relay
sends all changes. When the relay stops responding, or does not follow the
platform itself, the subscriber watches the platform. A host that the platform
turns away looks for any host whose knowledge is newer than its own.

Ages count from the platform's confirmation, and each message adds its time on
the way. So hosts that only receive updates from each other grow old together.
"""

import collections
import zlib
from collections.abc import Container, Hashable, Iterable, Sequence
from typing import NamedTuple

from cardamomflow import avoidedmembers, errors, ownership, routing

# Age of the feed after which a host watches the platform itself. The knowledge
# of a healthy relay is at most 1.8 s old (`discovery.RELAY_AGE_S`), and a
# subscriber requests a heartbeat every `HEARTBEAT_INTERVAL_S`. The tightest
# bound for a change to be in force is 3 s.
MAX_AGE_S = 2.6
# Time-out for the first update of a relay, which is sent without a wait.
FIRST_UPDATE_TIMEOUT_S = 0.5
# Time for which a host is not chosen as relay after its feed was too old.
AVOIDED_S = 10.0
# Interval at which a subscriber requests a heartbeat, which confirms that there
# is no change.
HEARTBEAT_INTERVAL_S = 0.5
# Time without a request after which a subscription expires. A subscriber that
# changes its relay may be unable to cancel its subscription.
SUBSCRIPTION_TTL_S = 3.0
# Time of failed calls after which a relay reports that it is turned away. A
# single failed call is usually followed by a successful one within 0.4 s.
TURNED_AWAY_AFTER_S = 0.6
# A host that is turned away asks this many hosts for their newest update at
# once, and the next ones after an interval. So it asks a group of 24 hosts
# within 1 s. After `FAST_SEARCH_S` without an answer that helps, it asks less
# often: then the platform is probably down for all hosts.
PROBES_PER_ROUND = 6
PROBE_INTERVAL_S = 0.25
FAST_SEARCH_S = 5.0
SLOW_PROBE_INTERVAL_S = 0.75
# Time within which only hosts with a working platform are accepted as sources.
# A host that follows one of them needs no calls of its own.
PREFER_SERVED_S = 0.4
# Age after which a new confirmation is sent to subscribers at once. A host that
# begins to watch the platform in place of a relay has old knowledge, and its
# subscribers would leave it before their next request.
OLD_CONFIRMATION_S = 1.5
# Knowledge that is newer by less than this is not worth another source.
MINIMUM_GAIN_S = 0.1
# Oldest knowledge with which a host is accepted as source. It leaves time for a
# heartbeat before `MAX_AGE_S`.
MAX_SOURCE_AGE_S = 1.8
# Updates that are kept for new subscribers, which have read the platform a
# moment before.
MAX_KEPT_UPDATES = 64
# The fastest level compresses entries of backend servers to about 10 %. Higher
# levels take several times as long and save a few percent more.
_COMPRESSION_LEVEL = 1
MAX_CONTENT_BYTES = 16_777_216


class Position(NamedTuple):
    """What a host has read: a revision, which counts only within its era."""

    era: int
    revision: int


class Update(NamedTuple):
    """Changes at the platform, or a heartbeat, which has none.

    Attributes
    ----------
    before, revision : int
        The update holds the changes after `before`, up to `revision`.
    content : bytes
        Changes in the platform's format, compressed by `pack`; empty in a
        heartbeat.
    confirmed_at : float
        When the platform confirmed that there are no further changes.
    outage_until : float
        Until when entries may be missing only because their leases expired
        in an outage.
    is_turned_away : bool
        Whether the platform turns away the host that relays the update.
    era : int
        Era of the platform that the revisions belong to.
    is_complete : bool
        Whether the content holds all entries, so that the update replaces what
        a host knows.
    """

    before: int
    revision: int
    content: bytes
    confirmed_at: float
    outage_until: float
    is_turned_away: bool = False
    era: int = 0
    is_complete: bool = False

    def joins(self, position: 'Position') -> bool:
        """Whether a host at a position can apply this update without a gap."""
        if self.is_complete:
            return (self.era, self.revision) > (position.era, position.revision)
        is_next = self.before <= position.revision <= self.revision
        return is_next and self.era == position.era


def pack(content: bytes) -> bytes:
    """Compress changes for the relay.

    A relay sends each change to up to 23 hosts over one network link.
    Uncompressed, the start of a few hundred backend servers fills that link
    for seconds.
    """
    return zlib.compress(content, _COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return the changes in the platform's format.

    Raises
    ------
    errors.ProtocolViolation
        The content is damaged or larger than `MAX_CONTENT_BYTES`.
    """
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise errors.ProtocolViolation(
            f'cannot decompress the changes from a relay: {error}'
        ) from error
    if not unpacker.eof:
        raise errors.ProtocolViolation(
            f'changes from a relay are truncated or too large: {len(packed)} B'
        )
    return content


class UpdateHistory:
    """The newest updates of one host, kept for its subscribers."""

    def __init__(self) -> None:
        self._updates: collections.deque[Update] = collections.deque(
            maxlen=MAX_KEPT_UPDATES
        )
        self._latest: Update | None = None

    def append(self, update: Update) -> None:
        """Add an update that is in force at this host."""
        if update.is_complete:
            self._updates.clear()
        if update.content:
            self._updates.append(update)
        self._latest = update

    def set_outage_until(self, outage_until: float) -> None:
        """Set the end of the outage that the next heartbeats report."""
        if self._latest is not None:
            self._latest = self._latest._replace(outage_until=outage_until)

    def heartbeat(self) -> Update | None:
        """Return the newest update without its changes, None without any."""
        if self._latest is None:
            return None
        return self._latest._replace(
            before=self._latest.revision, content=b'', is_complete=False
        )

    def since(
        self, position: Position, *, wants_lists: bool = False
    ) -> list[Update]:
        """Return the updates after a position, then a heartbeat.

        The heartbeat lets the subscriber detect that changes are missing. All
        entries are sent only after a change of the era, or if `wants_lists`:
        a call to the platform is usually smaller.
        """
        heartbeat = self.heartbeat()
        if heartbeat is None:
            return []
        if heartbeat.era < position.era:
            return [heartbeat]
        is_new_era = heartbeat.era > position.era
        missed = [
            update
            for update in self._updates
            if is_new_era or update.revision > position.revision
        ]
        if missed and missed[0].is_complete:
            if not is_new_era and not wants_lists:
                missed.pop(0)
        return [*missed, heartbeat]


class Subscribers:
    """The hosts that one host relays the feed to, by link.

    Attributes
    ----------
    requested_ms_by_link : dict
        Time of the newest request, on the clock of the subscriber.
    """

    def __init__(self) -> None:
        self.requested_ms_by_link: dict[Hashable, int] = {}
        self._expires_at_by_link: dict[Hashable, float] = {}

    def __len__(self) -> int:
        """Return the number of subscribers."""
        return len(self.requested_ms_by_link)

    def renew(self, link: Hashable, sent_ms: int, now: float) -> bool:
        """Add or renew a subscription; return whether it existed before."""
        exists = link in self.requested_ms_by_link
        self.requested_ms_by_link[link] = sent_ms
        self._expires_at_by_link[link] = now + SUBSCRIPTION_TTL_S
        return exists

    def remove(self, link: Hashable) -> None:
        """Remove a subscription, if it exists."""
        self.requested_ms_by_link.pop(link, None)
        self._expires_at_by_link.pop(link, None)

    def expire(self, now: float) -> None:
        """Remove the subscriptions that were not renewed in time."""
        expired_links = [
            link
            for link, expires_at in self._expires_at_by_link.items()
            if expires_at <= now
        ]
        for link in expired_links:
            self.remove(link)


class Subscription:
    """The feed that one host receives from its relay."""

    def __init__(self, own_id: str) -> None:
        self.relay: str | None = None
        self._own_id = own_id
        self._received: collections.deque[Update] = collections.deque()
        self._fresh_until = float('-inf')
        self._avoided = avoidedmembers.AvoidedMembers()
        # Hosts that lack changes which this host can't read.
        self._incomplete = avoidedmembers.AvoidedMembers()

    def outranks(self, host_id: str) -> bool:
        """Whether a host is preferred to this one as relay."""
        return _relay_rank(host_id) < _relay_rank(self._own_id)

    def choose_relay(
        self,
        group: Sequence[ownership.Member],
        usable: Container[str],
        now: float,
    ) -> str | None:
        """Return the relay to use.

        None means that this host has to watch the platform itself.
        """
        for host_id in rank_relays(group):
            if host_id == self._own_id:
                return None
            is_avoided = self._avoided.is_avoided(host_id, now)
            if host_id in usable and not is_avoided:
                return host_id
        return None

    def switch_relay(self, relay: str | None, now: float) -> None:
        """Switch to another relay, or to none, and drop pending updates."""
        self.relay = relay
        self._received.clear()
        self._fresh_until = now + FIRST_UPDATE_TIMEOUT_S

    def receive(self, relay: str, update: Update) -> None:
        """Enqueue an update of the relay; others are ignored."""
        if relay != self.relay:
            return
        self._received.append(update)
        self._fresh_until = max(
            self._fresh_until, update.confirmed_at + MAX_AGE_S
        )

    def next_update(self, position: Position, now: float) -> Update | None:
        """Return the next update, None without one.

        A relay whose feed is too old, or that the platform turns away, is
        avoided for `AVOIDED_S`. After a gap the same relay is used again, once
        this host has read the missing changes from the platform.
        """
        if now >= self._fresh_until:
            self.avoid_relay(now)
        while self._received:
            update = self._received.popleft()
            if not update.is_turned_away and update.joins(position):
                return update
            self._refuse(update, position, now)
        return None

    def next_substitute(self, position: Position, now: float) -> Update | None:
        """Return the next update for a turned-away host, None without one.

        A source whose feed is too old may be the first to recover, so it is
        not avoided. After a gap it is: this host can't read the missing
        changes.
        """
        if now >= self._fresh_until:
            self.switch_relay(None, now)
        while self._received:
            update = self._received.popleft()
            if update.joins(position):
                return update
            if (update.era, update.before) > position:
                self._avoid_incomplete(now)
        return None

    def _refuse(self, update: Update, position: Position, now: float) -> None:
        """Leave the relay, unless this host only knows the update already."""
        if update.is_turned_away:
            self.avoid_relay(now)
        elif (update.era, update.before) > position:
            self.switch_relay(None, now)
        elif update.era < position.era or not update.content:
            # The relay is behind this host.
            self.avoid_relay(now)

    def _avoid_incomplete(self, now: float) -> None:
        if self.relay is not None:
            self._incomplete.avoid(self.relay, now + AVOIDED_S, now)
        self.switch_relay(None, now)

    def is_incomplete(self, host_id: str, now: float) -> bool:
        """Whether a host recently lacked changes which this host misses."""
        return self._incomplete.is_avoided(host_id, now)

    def avoid_relay(self, now: float) -> None:
        """Use no relay, and avoid the present one for `AVOIDED_S`."""
        if self.relay is not None:
            self._avoided.avoid(self.relay, now + AVOIDED_S, now)
        self.switch_relay(None, now)

    def wait_s(self, now: float) -> float:
        """Return how long to wait for an update before the feed is too old."""
        return max(0, self._fresh_until - now)


class SourceSearch:
    """Search of a turned-away host for a host with newer knowledge."""

    def __init__(self) -> None:
        self._started_at: float | None = None
        self._probe_at = float('-inf')
        self._asked_ids: set[str] = set()

    def stop(self) -> None:
        """End the search."""
        self._started_at = None

    def accepts(
        self,
        heartbeat: Update,
        position: Position,
        known_at: float,
        now: float,
    ) -> bool:
        """Whether to follow the host that sent a heartbeat.

        The arguments are those of `is_useful_source`.
        """
        if self._started_at is None:
            return False
        is_early = now - self._started_at < PREFER_SERVED_S
        if heartbeat.is_turned_away and is_early:
            return False
        return is_useful_source(heartbeat, position, known_at, now)

    def next_probes(
        self, candidates: Iterable[str], now: float
    ) -> Sequence[str]:
        """Return the hosts to ask now, in the order of the candidates.

        All candidates are asked once before any of them is asked again.
        """
        if self._started_at is None:
            self._started_at = now
        if now < self._probe_at:
            return ()
        is_fast = now - self._started_at < FAST_SEARCH_S
        interval_s = PROBE_INTERVAL_S if is_fast else SLOW_PROBE_INTERVAL_S
        self._probe_at = now + interval_s
        candidate_ids = list(candidates)
        unasked_ids = [
            host_id
            for host_id in candidate_ids
            if host_id not in self._asked_ids
        ]
        if not unasked_ids:
            self._asked_ids.clear()
            unasked_ids = candidate_ids
        chosen_ids = unasked_ids[:PROBES_PER_ROUND]
        self._asked_ids.update(chosen_ids)
        return chosen_ids

    def wait_s(self, now: float) -> float:
        """Return how long to wait before the next probes."""
        return max(0, self._probe_at - now)


def is_useful_source(
    update: Update, position: Position, known_at: float, now: float
) -> bool:
    """Whether the sender of a heartbeat can serve a turned-away host.

    Parameters
    ----------
    update : Update
        Answer to a probe.
    position : Position
        What this host has read.
    known_at : float
        When the platform confirmed what this host knows.
    now : float
    """
    reached = (update.era, update.revision)
    if reached > position:
        # It has changes that this host lacks, however old its confirmation is.
        return True
    is_newer = update.confirmed_at > known_at + MINIMUM_GAIN_S
    is_recent = now - update.confirmed_at < MAX_SOURCE_AGE_S
    return is_newer and is_recent and reached == position


def rank_relays(group: Iterable[ownership.Member]) -> list[str]:
    """Return the ids of a group, the preferred relay first."""
    return [member.host_id for member in sorted(group, key=relay_order)]


def relay_order(member: ownership.Member) -> int:
    """Return the sort key of hosts as relays, the preferred one first."""
    return _relay_rank(member.host_id)


def _relay_rank(host_id: str) -> int:
    """Return the sort key of hosts as relays, the preferred one first.

    All hosts of a running fleet use this hash key, so it must not change.
    """
    return routing.score('news', host_id)
