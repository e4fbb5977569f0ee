"""Member records of the fleet as one member stores them; sans-I/O.

Contains the records, the suspicion timers, the queue of updates and the ranking
of the aggregators. Sends nothing: `membership` runs the protocol.
"""

import enum
import functools
import ipaddress
import random
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from cardamomflow import aggregatorranking, gossip
from cardamomflow.generated import control_pb2

State = control_pb2.MemberState
JOINING = State.MEMBER_STATE_JOINING
ALIVE = State.MEMBER_STATE_ALIVE
SUSPECT = State.MEMBER_STATE_SUSPECT
LEAVING = State.MEMBER_STATE_LEAVING
DEAD = State.MEMBER_STATE_DEAD


class Options(NamedTuple):
    """Times in seconds, and limits; production uses the defaults.

    Attributes
    ----------
    probe_interval_s : float
        Protocol period; one member is probed in each.
    ack_timeout_s : float
        Time without an ack after which other members are asked to probe the
        same member.
    indirect_probes : int
        Number of members that are asked to probe an overdue member.
    suspicion_s : float
        Time that a suspect member has to refute the suspicion.
    sync_interval_s : float
        Time between two full exchanges.
    new_member_sync_interval_s : float
        Minimum time between two full exchanges that this member starts
        because of datagrams from new or returned members.
    join_delay_s : float
        Time after which a new aggregator ranks itself.
    peer_join_delay_s : float
        Time after which others rank a new aggregator. The sum with
        `convergence_s` must be less than `join_delay_s`.
    convergence_s : float
        Time within which a change reaches all reachable members.
    ranking_retention_s : float
        Time for which a lost aggregator stays in the ranking.
    dead_retention_s : float
        Time for which the record of a dead member is kept and the member
        is probed; must exceed the duration of the network partitions from
        which the members should recover.
    pause_threshold_s : float
        A longer gap between two calls counts as a pause of this process.
    maximum_updates : int
        Maximum number of records in one datagram.
    transmission_factor : int
        A record is sent at most this factor times log2(members) times.
    datagram_bytes : int
        Maximum size in bytes. A larger datagram could be fragmented, and
        one lost fragment loses all of it.
    announcement_fanout : int
        Number of members that get a datagram at once when this one joins,
        leaves or changes its local endpoints.
    announcement_interval_s : float
        Minimum time between two announcements of new updates.
    update_fanout : int
        Number of members that get an announcement of new updates.
    """

    probe_interval_s: float = 1.0
    ack_timeout_s: float = 0.3
    indirect_probes: int = 3
    suspicion_s: float = 4.0
    sync_interval_s: float = 30.0
    new_member_sync_interval_s: float = 5.0
    join_delay_s: float = 10.0
    peer_join_delay_s: float = 4.0
    convergence_s: float = 5.0
    ranking_retention_s: float = 60.0
    dead_retention_s: float = 3600.0
    pause_threshold_s: float = 1.5
    maximum_updates: int = 8
    transmission_factor: int = 3
    datagram_bytes: int = 1400
    announcement_fanout: int = 8
    announcement_interval_s: float = 0.5
    update_fanout: int = 2


_MAX_PORT = 65_535
_ADDRESS_CACHE_SIZE = 4096
_HASH_BITS = 64
_RING_SIZE = 1 << _HASH_BITS


class ApplyResult(enum.Enum):
    """Result of applying a received record."""

    IGNORED = enum.auto()
    CHANGED = enum.auto()
    NEEDS_REFUTATION = enum.auto()


class Roster:
    """Records of all known members.

    Attributes
    ----------
    own : control_pb2.MemberRecord
        Record of this member, which only this member changes.
    records_by_id : dict
        All records, including the own one and those of dead members. A
        changed record is replaced; only the `configuration_revision` of a
        stored record changes in place.
    has_unannounced_changes : bool
        Whether a record changed since this was last set to False.
    version : int
        Increases with every change of a record or of the ranking.
    """

    def __init__(
        self,
        own: control_pb2.MemberRecord,
        options: Options,
        generator: random.Random,
    ) -> None:
        self.own = own
        self.options = options
        self.records_by_id = {own.member_id: own}
        self.updates = gossip.UpdateQueue(options.transmission_factor)
        self.ranking = aggregatorranking.AggregatorRanking(
            options.ranking_retention_s
        )
        self.version = 0
        self.has_unannounced_changes = False
        self.live_ids: set[str] = set()
        self.own_zone_ids: set[str] = set()
        self.dead_since_by_id: dict[str, float] = {}
        self._own_zone_order = gossip.ProbeOrder(generator)
        self._other_zones_order = gossip.ProbeOrder(generator)
        self._random = generator
        self._suspect_deadline_by_id: dict[str, float] = {}
        self._join_delay_ends_at = float('-inf')

    def start(self, now: float) -> None:
        """Start the join delay and enqueue the own record."""
        self._join_delay_ends_at = now + self.options.join_delay_s
        self.updates.add(self.own.member_id)

    @property
    def dead_ids(self) -> list[str]:
        """Dead members whose records are still kept."""
        return list(self.dead_since_by_id)

    def successor(self) -> str | None:
        """Return the next member of the own zone in the hash ring.

        Each member is probed by its predecessor every other period. With
        round-robin order alone, a member too often goes unprobed for several
        periods.
        """
        own_position = _ring_position(self.own.member_id)
        candidates = [
            member_id
            for member_id in self.own_zone_ids
            if member_id not in self._suspect_deadline_by_id
        ]
        return min(
            candidates,
            key=lambda member_id: (
                (_ring_position(member_id) - own_position) % _RING_SIZE
            ),
            default=None,
        )

    def next_target(self, *, own_zone: bool) -> str | None:
        """Return the next member to probe, or None.

        Parameters
        ----------
        own_zone : bool
            Prefer a member of the own zone to one of another zone.
        """
        other_zone_ids = self.live_ids - self.own_zone_ids
        if (own_zone and self.own_zone_ids) or not other_zone_ids:
            return self._own_zone_order.next_id(
                self.own_zone_ids, lambda: sorted(self.own_zone_ids)
            )
        return self._other_zones_order.next_id(
            other_zone_ids, lambda: sorted(other_zone_ids)
        )

    def sample(self, count: int, excluded: Iterable[str] = ()) -> list[str]:
        """Return up to `count` random live members."""
        candidates = sorted(self.live_ids.difference(excluded))
        if len(candidates) <= count:
            return candidates
        return self._random.sample(candidates, count)

    def apply(
        self, record: control_pb2.MemberRecord, now: float
    ) -> ApplyResult:
        """Apply a record that another member sent."""
        if not _is_valid(record):
            return ApplyResult.IGNORED
        if record.member_id == self.own.member_id:
            return self._apply_own(record)
        current = self.records_by_id.get(record.member_id)
        merged = _merge_record(record, current)
        if merged is None:
            if current is not None:
                _raise_revision(current, record.configuration_revision)
            return ApplyResult.IGNORED
        self._store(merged, now)
        return ApplyResult.CHANGED

    def mark_suspect(self, member_id: str, now: float) -> bool:
        """Mark an unresponsive member; return whether its record changed.

        It becomes suspect, or dead if it was leaving.
        """
        current = self.records_by_id.get(member_id)
        if current is None or current.state in {SUSPECT, DEAD}:
            return False
        state = DEAD if current.state == LEAVING else SUSPECT
        self._store(_with_state(current, state), now)
        return True

    def update_own(self, now: float, state: int | None = None) -> None:
        """Increment the own incarnation and enqueue the own record."""
        if state is not None:
            self.own.state = state
        self.own.incarnation += 1
        self.ranking.record_present(
            self.own, now + self.options.join_delay_s, now
        )
        self._record_change(self.own.member_id)

    def set_local_endpoints(
        self,
        aggregators: Iterable[control_pb2.Endpoint],
        entries: Iterable[control_pb2.Endpoint],
        now: float,
    ) -> None:
        """Set the endpoints of this host's processes."""
        endpoints = list(aggregators)
        # Peers may soon remove a lost aggregator from the ranking, so one
        # that returns after half of the retention time waits like a new one.
        lost_before = now - self.options.ranking_retention_s / 2
        returning_ids = []
        for endpoint in endpoints:
            lost_at = self.ranking.lost_since(endpoint.id)
            if lost_at is not None and lost_at < lost_before:
                returning_ids.append(endpoint.id)
        self.ranking.defer(returning_ids, now + self.options.join_delay_s)
        self.own.ClearField('aggregators')
        self.own.aggregators.extend(endpoints)
        self.own.ClearField('entries')
        self.own.entries.extend(entries)
        self.update_own(now)

    def expire(self, now: float) -> list[control_pb2.MemberRecord]:
        """Declare overdue suspects dead and remove old dead members.

        Returns
        -------
        list of control_pb2.MemberRecord
            Records of the members that were declared dead.
        """
        due_ids = [
            member_id
            for member_id, deadline in self._suspect_deadline_by_id.items()
            if deadline <= now
        ]
        for member_id in due_ids:
            self._store(_with_state(self.records_by_id[member_id], DEAD), now)
        remove_before = now - self.options.dead_retention_s
        for member_id, dead_since in tuple(self.dead_since_by_id.items()):
            if dead_since <= remove_before:
                self._remove(member_id)
        if self.ranking.tick(now):
            self.version += 1
        return [self.records_by_id[member_id] for member_id in due_ids]

    def resume(self, pause_s: float, now: float) -> None:
        """Continue after a pause of this process.

        Messages were not read during the pause, so each suspect gets the full
        suspicion time again.
        """
        for member_id in self._suspect_deadline_by_id:
            self._suspect_deadline_by_id[member_id] = (
                now + self.options.suspicion_s
            )
        self._join_delay_ends_at = now + self.options.join_delay_s
        delay_s = 0
        # After half of the retention time, peers may have removed this
        # member's aggregators from the ranking, so these wait like new ones.
        # After a shorter pause they wait until this member has received the
        # records of members that joined meanwhile.
        if pause_s > self.options.ranking_retention_s / 2:
            delay_s = self.options.join_delay_s
        elif pause_s > self.options.convergence_s:
            delay_s = self.options.convergence_s
        if delay_s:
            self._defer_own_aggregators(now + delay_s)
        self.update_own(now)

    def _defer_own_aggregators(self, eligible_at: float) -> None:
        self.ranking.defer(
            [endpoint.id for endpoint in self.own.aggregators], eligible_at
        )

    def _apply_own(self, record: control_pb2.MemberRecord) -> ApplyResult:
        if record.incarnation < self.own.incarnation:
            return ApplyResult.IGNORED
        if record.incarnation == self.own.incarnation:
            if record.state in {JOINING, ALIVE, self.own.state}:
                return ApplyResult.IGNORED
        self.own.incarnation = record.incarnation
        return ApplyResult.NEEDS_REFUTATION

    def _store(self, record: control_pb2.MemberRecord, now: float) -> None:
        member_id = record.member_id
        current = self.records_by_id.get(member_id)
        if current is not None:
            _raise_revision(record, current.configuration_revision)
        self.records_by_id[member_id] = record
        self._suspect_deadline_by_id.pop(member_id, None)
        if record.state == SUSPECT:
            self._suspect_deadline_by_id[member_id] = (
                now + self.options.suspicion_s
            )
        if record.state == DEAD:
            self._mark_dead(member_id, now)
        else:
            self._mark_live(record, now)
        self._record_change(member_id)

    def _mark_dead(self, member_id: str, now: float) -> None:
        self.live_ids.discard(member_id)
        self.own_zone_ids.discard(member_id)
        self.dead_since_by_id[member_id] = now
        self.ranking.record_lost(member_id, now)

    def _mark_live(self, record: control_pb2.MemberRecord, now: float) -> None:
        member_id = record.member_id
        if not self.live_ids:
            self._restart_own_join_delay(now)
        # A returned member, and one that joined before this one started or
        # resumed, may already have connections, so it is ranked at once.
        returned = self.dead_since_by_id.pop(member_id, None) is not None
        is_own_zone = record.availability_zone == self.own.availability_zone
        if member_id not in self.live_ids:
            order = (
                self._own_zone_order if is_own_zone else self._other_zones_order
            )
            order.insert(member_id)
        self.live_ids.add(member_id)
        if is_own_zone:
            self.own_zone_ids.add(member_id)
        else:
            self.own_zone_ids.discard(member_id)
        eligible_at = now
        if not returned and now >= self._join_delay_ends_at:
            eligible_at += self.options.peer_join_delay_s
        self.ranking.record_present(record, eligible_at, now)

    def _restart_own_join_delay(self, now: float) -> None:
        """Restart the join delay of own aggregators at the first contact.

        No peer could receive their record before that.
        """
        joining_ids = [
            endpoint.id
            for endpoint in self.own.aggregators
            if self.ranking.is_pending(endpoint.id, now)
        ]
        self.ranking.defer(joining_ids, now + self.options.join_delay_s)

    def _remove(self, member_id: str) -> None:
        del self.dead_since_by_id[member_id]
        del self.records_by_id[member_id]
        self.updates.discard(member_id)
        self.version += 1

    def _record_change(self, member_id: str) -> None:
        self.updates.add(member_id)
        self.has_unannounced_changes = True
        self.version += 1


@functools.lru_cache(maxsize=_ADDRESS_CACHE_SIZE)
def is_valid_endpoint(address: str, port: int) -> bool:
    """Return whether an address is an IP address and a port is in range.

    A host name is invalid, because resolving it would block the event loop.
    """
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return 0 < port <= _MAX_PORT


def _is_valid(record: control_pb2.MemberRecord) -> bool:
    if not record.member_id or not JOINING <= record.state <= DEAD:
        return False
    return is_valid_endpoint(record.address, record.port)


def _ring_position(member_id: str) -> int:
    return xxhash.xxh64_intdigest(member_id.encode())


def _merge_record(
    record: control_pb2.MemberRecord,
    current: control_pb2.MemberRecord | None,
) -> control_pb2.MemberRecord | None:
    """Return the record that replaces the current one, None if none does."""
    if current is None:
        return None if record.state == DEAD else record
    # Only this member's own suspicion timer declares a member dead. Otherwise
    # death reports that outlive a network partition would make members drop
    # each other after it heals.
    if record.state == DEAD and current.state not in {LEAVING, DEAD}:
        record = _with_state(record, SUSPECT)
    return record if _is_newer(record, current) else None


def _is_newer(
    record: control_pb2.MemberRecord, current: control_pb2.MemberRecord
) -> bool:
    # The states are numbered in the order in which they override each
    # other within one incarnation.
    return (record.incarnation, record.state) > (
        current.incarnation,
        current.state,
    )


def _with_state(
    record: control_pb2.MemberRecord, state: int
) -> control_pb2.MemberRecord:
    copy = control_pb2.MemberRecord()
    copy.CopyFrom(record)
    copy.state = state
    return copy


def _raise_revision(record: control_pb2.MemberRecord, revision: int) -> None:
    if revision > record.configuration_revision:
        record.configuration_revision = revision
