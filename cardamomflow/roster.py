"""What one member knows of the others; sans-I/O.

Owns the records, the suspicion timers, the updates still to pass on and the
places of aggregators. Sends nothing: `membership` runs the protocol.
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
    """Times in seconds, and bounds; the defaults are the product's.

    Attributes
    ----------
    probe_interval_s : float
        Protocol period; one member is probed in each.
    ack_timeout_s : float
        Time until other members are asked to probe the same member.
    indirect_probes : int
    suspicion_s : float
        Time that a suspect member has to refute the suspicion.
    sync_interval_s : float
        Time between two full exchanges.
    resync_s : float
        Least time between two exchanges caused by a returned member.
    join_delay_s : float
        Time until a new aggregator ranks itself.
    peer_join_delay_s : float
        Time until others rank a new aggregator. Together with
        `convergence_s` it must stay below `join_delay_s`.
    convergence_s : float
        Time within which a change reaches all members that can be reached.
    dead_hold_s : float
        Time that a lost aggregator keeps its place in the ranking.
    lost_retention_s : float
        Time that a dead member is remembered and tried again; must be
        longer than the partitions that the members should heal from.
    pause_threshold_s : float
        Gap between two calls that is taken for a pause of this process.
    maximum_updates : int
        Records in one datagram.
    transmission_factor : int
        A record is sent at most this many times log2 of the members.
    datagram_bytes : int
        Larger datagrams could be fragmented, and lost as a whole.
    notices : int
        Members told directly when this one joins or leaves.
    notice_interval_s : float
        Least time between two notices of what was newly learnt.
    relayed_notices : int
        Members told in such a notice.
    """

    probe_interval_s: float = 1.0
    ack_timeout_s: float = 0.3
    indirect_probes: int = 3
    suspicion_s: float = 4.0
    sync_interval_s: float = 30.0
    resync_s: float = 5.0
    join_delay_s: float = 10.0
    peer_join_delay_s: float = 4.0
    convergence_s: float = 5.0
    dead_hold_s: float = 60.0
    lost_retention_s: float = 3600.0
    pause_threshold_s: float = 1.5
    maximum_updates: int = 8
    transmission_factor: int = 3
    datagram_bytes: int = 1400
    notices: int = 8
    notice_interval_s: float = 0.5
    relayed_notices: int = 2


_MAX_PORT = 65_535
_KNOWN_ADDRESSES = 4096
_HASH_BITS = 64
_RING = 1 << _HASH_BITS


class Verdict(enum.Enum):
    """What became of a received record."""

    OLD = enum.auto()
    CHANGED = enum.auto()
    ABOUT_SELF = enum.auto()


class Roster:
    """Records of all known members.

    Attributes
    ----------
    own : control_pb2.MemberRecord
        Record of this member; only this member changes it.
    records_by_id : dict
        All records, with the own and the dead ones. A record in it is never
        changed but for `configuration_revision`; it is replaced.
    has_news : bool
        Whether something was learnt since this was last set to False.
    version : int
        Rises with every change of a record or of the ranking.
    """

    def __init__(
        self,
        own: control_pb2.MemberRecord,
        options: Options,
        generator: random.Random,
    ) -> None:
        """Start with the own record alone."""
        self.own = own
        self.options = options
        self.records_by_id = {own.member_id: own}
        self.updates = gossip.UpdateQueue(options.transmission_factor)
        self.places = aggregatorranking.Places(options.dead_hold_s)
        self.version = 0
        self.has_news = False
        self.live_ids: set[str] = set()
        self.home_ids: set[str] = set()
        self.lost_at_by_id: dict[str, float] = {}
        self._home_order = gossip.ProbeOrder(generator)
        self._away_order = gossip.ProbeOrder(generator)
        self._random = generator
        self._suspect_until_by_id: dict[str, float] = {}
        self._settles_until = float('-inf')

    def start(self, now: float) -> None:
        """Take the time of the first event."""
        self._settles_until = now + self.options.join_delay_s
        self.updates.add(self.own.member_id)

    @property
    def lost_ids(self) -> list[str]:
        """Members that are dead but remembered."""
        return list(self.lost_at_by_id)

    def successor(self) -> str | None:
        """Return the member of the own zone that follows in the hash ring.

        Each member has one predecessor, which probes it every other period.
        Round-robin order alone leaves a member unprobed for several periods
        too often.
        """
        start = _ring_position(self.own.member_id)
        candidates = [
            member_id
            for member_id in self.home_ids
            if member_id not in self._suspect_until_by_id
        ]
        return min(
            candidates,
            key=lambda member_id: (_ring_position(member_id) - start) % _RING,
            default=None,
        )

    def next_target(self, *, home: bool) -> str | None:
        """Return the member to probe, from the own zone if there is one."""
        away_ids = self.live_ids - self.home_ids
        if (home and self.home_ids) or not away_ids:
            return self._home_order.next_id(
                self.home_ids, lambda: sorted(self.home_ids)
            )
        return self._away_order.next_id(away_ids, lambda: sorted(away_ids))

    def sample(self, count: int, excluded: Iterable[str] = ()) -> list[str]:
        """Return up to `count` random live members."""
        candidates = sorted(self.live_ids.difference(excluded))
        if len(candidates) <= count:
            return candidates
        return self._random.sample(candidates, count)

    def apply(self, record: control_pb2.MemberRecord, now: float) -> Verdict:
        """Take a record that another member sent."""
        if not _is_valid(record):
            return Verdict.OLD
        if record.member_id == self.own.member_id:
            return self._apply_own(record)
        known = self.records_by_id.get(record.member_id)
        admitted = _admit(record, known)
        if admitted is None:
            if known is not None:
                _raise_revision(known, record.configuration_revision)
            return Verdict.OLD
        self._set(admitted, now)
        return Verdict.CHANGED

    def suspect(self, member_id: str, now: float) -> bool:
        """Suspect a member that did not answer; tell whether it changed."""
        known = self.records_by_id.get(member_id)
        if known is None or known.state in {SUSPECT, DEAD}:
            return False
        state = DEAD if known.state == LEAVING else SUSPECT
        self._set(_with_state(known, state), now)
        return True

    def change_own(self, now: float, state: int | None = None) -> None:
        """Give the own record a new incarnation and pass it on."""
        if state is not None:
            self.own.state = state
        self.own.incarnation += 1
        self.places.keep(self.own, now + self.options.join_delay_s, now)
        self._note(self.own.member_id)

    def set_local(
        self,
        aggregators: Iterable[control_pb2.Endpoint],
        entries: Iterable[control_pb2.Endpoint],
        now: float,
    ) -> None:
        """Take the endpoints of this host's processes."""
        present = list(aggregators)
        # Peers may give up the place soon; one that returns late waits as
        # a new one does.
        latest = now - self.options.dead_hold_s / 2
        late_ids = []
        for endpoint in present:
            lost_at = self.places.lost_since(endpoint.id)
            if lost_at is not None and lost_at < latest:
                late_ids.append(endpoint.id)
        self.places.defer(late_ids, now + self.options.join_delay_s)
        self.own.ClearField('aggregators')
        self.own.aggregators.extend(present)
        self.own.ClearField('entries')
        self.own.entries.extend(entries)
        self.change_own(now)

    def expire(self, now: float) -> list[control_pb2.MemberRecord]:
        """Declare suspects dead whose time is over; forget old dead ones."""
        due = [
            member_id
            for member_id, until in self._suspect_until_by_id.items()
            if until <= now
        ]
        for member_id in due:
            self._set(_with_state(self.records_by_id[member_id], DEAD), now)
        oldest = now - self.options.lost_retention_s
        for member_id, lost_at in tuple(self.lost_at_by_id.items()):
            if lost_at <= oldest:
                self._forget(member_id)
        if self.places.tick(now):
            self.version += 1
        return [self.records_by_id[member_id] for member_id in due]

    def resume(self, pause_s: float, now: float) -> None:
        """Continue after a pause of this process.

        Silence of others during the pause proves nothing, so each suspect
        gets its whole time again.
        """
        for member_id in self._suspect_until_by_id:
            self._suspect_until_by_id[member_id] = (
                now + self.options.suspicion_s
            )
        self._settles_until = now + self.options.join_delay_s
        delay_s = 0
        # Peers may have given up the place of this member's aggregators
        # after half of the hold; they wait as new ones do. After a shorter
        # pause they wait until this member knows who joined meanwhile.
        if pause_s > self.options.dead_hold_s / 2:
            delay_s = self.options.join_delay_s
        elif pause_s > self.options.convergence_s:
            delay_s = self.options.convergence_s
        if delay_s:
            self._defer_own(now + delay_s)
        self.change_own(now)

    def _defer_own(self, eligible_at: float) -> None:
        self.places.defer(
            [endpoint.id for endpoint in self.own.aggregators], eligible_at
        )

    def _apply_own(self, record: control_pb2.MemberRecord) -> Verdict:
        if record.incarnation < self.own.incarnation:
            return Verdict.OLD
        if record.incarnation == self.own.incarnation:
            if record.state in {JOINING, ALIVE, self.own.state}:
                return Verdict.OLD
        self.own.incarnation = record.incarnation
        return Verdict.ABOUT_SELF

    def _set(self, record: control_pb2.MemberRecord, now: float) -> None:
        member_id = record.member_id
        known = self.records_by_id.get(member_id)
        if known is not None:
            _raise_revision(record, known.configuration_revision)
        self.records_by_id[member_id] = record
        self._suspect_until_by_id.pop(member_id, None)
        if record.state == SUSPECT:
            self._suspect_until_by_id[member_id] = (
                now + self.options.suspicion_s
            )
        if record.state == DEAD:
            self._set_lost(member_id, now)
        else:
            self._set_live(record, now)
        self._note(member_id)

    def _set_lost(self, member_id: str, now: float) -> None:
        self.live_ids.discard(member_id)
        self.home_ids.discard(member_id)
        self.lost_at_by_id[member_id] = now
        self.places.lose(member_id, now)

    def _set_live(self, record: control_pb2.MemberRecord, now: float) -> None:
        member_id = record.member_id
        if not self.live_ids:
            self._restart_joining(now)
        # A returned member, and one that was there before this one started
        # or resumed, may hold connections already and is ranked at once.
        returned = self.lost_at_by_id.pop(member_id, None) is not None
        is_home = record.availability_zone == self.own.availability_zone
        if member_id not in self.live_ids:
            order = self._home_order if is_home else self._away_order
            order.insert(member_id)
        self.live_ids.add(member_id)
        if is_home:
            self.home_ids.add(member_id)
        else:
            self.home_ids.discard(member_id)
        eligible_at = now
        if not returned and now >= self._settles_until:
            eligible_at += self.options.peer_join_delay_s
        self.places.keep(record, eligible_at, now)

    def _restart_joining(self, now: float) -> None:
        """Let the join delay of own aggregators start at the first contact.

        Until then no peer could learn of them.
        """
        joining_ids = [
            endpoint.id
            for endpoint in self.own.aggregators
            if self.places.joins_after(endpoint.id, now)
        ]
        self.places.defer(joining_ids, now + self.options.join_delay_s)

    def _forget(self, member_id: str) -> None:
        del self.lost_at_by_id[member_id]
        del self.records_by_id[member_id]
        self.updates.discard(member_id)
        self.version += 1

    def _note(self, member_id: str) -> None:
        self.updates.add(member_id)
        self.has_news = True
        self.version += 1


@functools.lru_cache(maxsize=_KNOWN_ADDRESSES)
def is_endpoint(address: str, port: int) -> bool:
    """Tell whether an address is an IP number and a port can be used.

    A host name would be resolved by a call that blocks the loop.
    """
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return 0 < port <= _MAX_PORT


def _is_valid(record: control_pb2.MemberRecord) -> bool:
    if not record.member_id or not JOINING <= record.state <= DEAD:
        return False
    return is_endpoint(record.address, record.port)


def _ring_position(member_id: str) -> int:
    return xxhash.xxh64_intdigest(member_id.encode())


def _admit(
    record: control_pb2.MemberRecord,
    known: control_pb2.MemberRecord | None,
) -> control_pb2.MemberRecord | None:
    """Return what a received record changes the known one to, if it does."""
    if known is None:
        return None if record.state == DEAD else record
    # Only the own timer declares a member dead. Otherwise reports from
    # before a cut healed would make members drop each other.
    if record.state == DEAD and known.state not in {LEAVING, DEAD}:
        record = _with_state(record, SUSPECT)
    return record if _is_newer(record, known) else None


def _is_newer(
    record: control_pb2.MemberRecord, known: control_pb2.MemberRecord
) -> bool:
    # The states are numbered in the order in which they override each
    # other within one incarnation.
    return (record.incarnation, record.state) > (
        known.incarnation,
        known.state,
    )


def _with_state(
    record: control_pb2.MemberRecord, state: int
) -> control_pb2.MemberRecord:
    changed = control_pb2.MemberRecord()
    changed.CopyFrom(record)
    changed.state = state
    return changed


def _raise_revision(record: control_pb2.MemberRecord, revision: int) -> None:
    if revision > record.configuration_revision:
        record.configuration_revision = revision
