"""Membership protocol with probes and gossip; sans-I/O.

Runs the protocol of one member: its probes, those relayed for others, and the
schedule of full exchanges. `roster` stores the records of the members. Each
method gets the monotonic time of an event, and returns actions for the caller
to perform.
"""

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cardamomflow import fullsync, probing, roster, routing
from cardamomflow.generated import control_pb2

Options = roster.Options
Address = probing.Address
SendDatagram = probing.SendDatagram
_NO_PEERS_SYNC_INTERVAL_S = 1.0
# Several at once, because some seeds may have stopped.
_NO_PEERS_SEED_COUNT = 3
_MAX_RELAYED_CHANGES = 16


class StartSync(NamedTuple):
    """Action: exchange all records with a member over TCP, see `merge`."""

    address: Address


class MemberChanged(NamedTuple):
    """Event: the record of a member changed."""

    record: control_pb2.MemberRecord


class RevisionSeen(NamedTuple):
    """Event: a peer has a newer configuration than this member."""

    address: Address
    revision: int


Action = SendDatagram | StartSync | MemberChanged | RevisionSeen


class View(NamedTuple):
    """Records of all members as one member has them.

    Attributes
    ----------
    members_by_id : dict
        All records, including the own one and those of dead members.
    version : int
        Increases with every change.
    """

    members_by_id: dict[str, control_pb2.MemberRecord]
    version: int


class Membership:
    """One member of the fleet.

    Attributes
    ----------
    own_id : str
    configuration_revision : int
        Newest revision that this member has; part of every datagram.
    """

    def __init__(
        self,
        self_record: control_pb2.MemberRecord,
        options: Options,
        generator: random.Random,
        seeds: Iterable[Address] = (),
    ) -> None:
        """Start as a joining member.

        Parameters
        ----------
        self_record : control_pb2.MemberRecord
            The incarnation must be higher than in earlier runs of the same
            member; the wall clock in milliseconds meets this.
        options : Options
        generator : random.Random
        seeds : iterable of Address
            Members to contact until they are known as live members.
        """
        self_record.state = roster.JOINING
        self._roster = roster.Roster(self_record, options, generator)
        self.own_id = self_record.member_id
        self._options = options
        self._random = generator
        self._sync_scheduler = _SyncScheduler(self._roster, generator, seeds)
        self._datagram_builder = probing.DatagramBuilder(self._roster)
        self._prober = probing.Prober(
            self._roster, self._datagram_builder, generator
        )
        self._started_at: float | None = None
        self._last_event_at: float = 0
        self._next_probe_at: float = 0
        self._next_announcement_at: float = 0

    @property
    def configuration_revision(self) -> int:
        """Newest revision of the configuration that this member has."""
        return self._roster.own.configuration_revision

    @configuration_revision.setter
    def configuration_revision(self, revision: int) -> None:
        self._roster.own.configuration_revision = revision

    def tick(self, now: float) -> list[Action]:
        """Run the timers; to be called about every 100 ms."""
        pause_s = self._start_or_resume(now)
        actions: list[Action] = []
        if pause_s:
            actions += self._sync_scheduler.sync_with_random_member()
        actions += [
            MemberChanged(record) for record in self._roster.expire(now)
        ]
        actions += self._prober.request_indirect_probes(now)
        if now >= self._next_probe_at:
            actions += self._start_probe_period(now)
        actions += self._sync_scheduler.tick(now)
        if self._join_delay_is_over(now):
            self._roster.update_own(now, roster.ALIVE)
        return actions + self._announce_changes(now)

    def receive(
        self,
        message: control_pb2.Datagram,
        source: Address,
        now: float,
    ) -> list[Action]:
        """Process a received datagram.

        Parameters
        ----------
        message : control_pb2.Datagram
        source : Address
            Sender address; members send from their control endpoint.
        now : float
            Monotonic seconds.
        """
        if message.sender_id == self.own_id:
            return []
        self._start_or_resume(now)
        sender = self._roster.records_by_id.get(message.sender_id)
        is_new_contact = sender is None or sender.state == roster.DEAD
        actions = self._apply(message.updates, now)
        if message.configuration_revision > self.configuration_revision:
            actions.append(RevisionSeen(source, message.configuration_revision))
        if is_new_contact:
            actions += self._sync_scheduler.sync_with_new_member(source, now)
        match message.WhichOneof('body'):
            case 'probe':
                actions.append(self._prober.acknowledge(message, source))
            case 'ack':
                actions += self._prober.handle_ack(message.ack, now)
            case 'indirect_probe':
                actions += self._prober.relay_probe(message, source, now)
        return actions

    def merge(
        self, records: Iterable[control_pb2.MemberRecord], now: float
    ) -> list[Action]:
        """Apply the records of a full exchange.

        Many changes at once occur after a start or a healed network
        partition. The members concerned then announce their own records, so
        this member does not relay the changes.
        """
        self._start_or_resume(now)
        full_records = [
            record for record in records if not fullsync.is_digest(record)
        ]
        actions = self._apply(full_records, now)
        changed_ids = [
            action.record.member_id
            for action in actions
            if isinstance(action, MemberChanged)
        ]
        if len(changed_ids) > _MAX_RELAYED_CHANGES:
            for member_id in changed_ids:
                self._roster.updates.discard(member_id)
        return actions

    def records(self) -> list[control_pb2.MemberRecord]:
        """Return the records for a full exchange, the own record first."""
        return list(self._roster.records_by_id.values())

    def zone_members(self) -> list[control_pb2.MemberRecord]:
        """Return the records of the own zone's members, except dead ones."""
        return [
            self._roster.own,
            *(
                self._roster.records_by_id[member_id]
                for member_id in sorted(self._roster.own_zone_ids)
            ),
        ]

    def zone_of(self, member_id: str) -> str | None:
        """Return the availability zone of a member, None if unknown."""
        record = self._roster.records_by_id.get(member_id)
        return None if record is None else record.availability_zone

    def set_local_endpoints(
        self,
        aggregators: Sequence[control_pb2.Endpoint],
        entries: Sequence[control_pb2.Endpoint],
        now: float,
    ) -> list[Action]:
        """Set and announce the endpoints of this host's processes."""
        self._start_or_resume(now)
        self._roster.set_local_endpoints(aggregators, entries, now)
        return self.announce(self._options.announcement_fanout)

    def leave(self, now: float) -> list[Action]:
        """Announce that this member is about to stop.

        The member still answers until the caller stops it.
        """
        self._roster.update_own(now, roster.LEAVING)
        return self.announce(self._options.announcement_fanout)

    def announce(self, count: int) -> list[Action]:
        """Send updates and the revision to `count` random members at once."""
        return [
            self._datagram_builder.prepare_send(
                member_id, control_pb2.Datagram()
            )
            for member_id in self._roster.sample(count)
        ]

    def view(self, now: float) -> View:
        """Return the current records of all members."""
        self._roster.expire(now)
        return View(self._roster.records_by_id, self._roster.version)

    def aggregators(self, zone: str, now: float) -> list[routing.Aggregator]:
        """Return the aggregators in the ranking of a zone."""
        return self.ranking(now).get(zone, [])

    def ranking(self, now: float) -> dict[str, list[routing.Aggregator]]:
        """Return the aggregators in the ranking of each zone."""
        return self._roster.ranking.ranked_by_zone(now)

    def _start_or_resume(self, now: float) -> float:
        """Return the length in seconds of a pause that ends now, else 0."""
        gap_s = now - self._last_event_at
        self._last_event_at = now
        if self._started_at is None:
            self._started_at = now
            self._roster.start(now)
            interval_s = self._options.probe_interval_s
            self._next_probe_at = now + self._random.uniform(0, interval_s)
            return 0
        if gap_s <= self._options.pause_threshold_s:
            return 0
        self._prober.discard_probe()
        self._roster.resume(gap_s, now)
        return gap_s

    def _join_delay_is_over(self, now: float) -> bool:
        if self._started_at is None:
            return False
        if self._roster.own.state != roster.JOINING:
            return False
        return now - self._started_at >= self._options.join_delay_s

    def _apply(
        self, records: Iterable[control_pb2.MemberRecord], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        needs_refutation = False
        for record in records:
            match self._roster.apply(record, now):
                case roster.ApplyResult.CHANGED:
                    changed_record = self._roster.records_by_id[
                        record.member_id
                    ]
                    actions.append(MemberChanged(changed_record))
                case roster.ApplyResult.NEEDS_REFUTATION:
                    needs_refutation = True
        if needs_refutation:
            self._roster.update_own(now)
        return actions

    def _start_probe_period(self, now: float) -> list[Action]:
        interval_s = self._options.probe_interval_s
        self._next_probe_at += interval_s
        # After a pause the first probe gets a full period for its ack.
        if self._next_probe_at <= now:
            self._next_probe_at = now + interval_s
        actions: list[Action] = []
        suspect_id = self._prober.end_period(now)
        if suspect_id is not None:
            record = self._roster.records_by_id[suspect_id]
            actions.append(MemberChanged(record))
        return actions + self._prober.start_period(now)

    def _announce_changes(self, now: float) -> list[Action]:
        """Announce changed records at once, at a limited rate.

        With probes and acks alone, an update takes several seconds to reach
        a large fleet.
        """
        if (
            not self._roster.has_unannounced_changes
            or now < self._next_announcement_at
        ):
            return []
        self._roster.has_unannounced_changes = False
        self._next_announcement_at = now + self._options.announcement_interval_s
        return self.announce(self._options.update_fanout)


class _SyncScheduler:
    """Decides when and with which members to start full exchanges."""

    def __init__(
        self,
        member_roster: roster.Roster,
        generator: random.Random,
        seeds: Iterable[Address],
    ) -> None:
        own_address = probing.address_of(member_roster.own)
        self._roster = member_roster
        self._options = member_roster.options
        self._random = generator
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._next_at = float('-inf')
        self._next_new_member_sync_at = float('-inf')

    def tick(self, now: float) -> list[Action]:
        """Sync with a random member, and with a seed that is not live.

        Members that joined through different seeds would otherwise never
        discover each other.
        """
        if now < self._next_at:
            return []
        interval_s = self._options.sync_interval_s
        delay_s = self._random.uniform(interval_s / 2, interval_s * 3 / 2)
        if not self._roster.live_ids:
            delay_s = _NO_PEERS_SYNC_INTERVAL_S
        self._next_at = now + delay_s
        return [*self.sync_with_random_member(), *self._sync_with_seeds()]

    def sync_with_random_member(self) -> list[Action]:
        """Sync with a random member."""
        return [
            StartSync(probing.address_of(self._roster.records_by_id[member_id]))
            for member_id in self._roster.sample(1)
        ]

    def sync_with_new_member(self, source: Address, now: float) -> list[Action]:
        """Sync with a new or returned member, at a limited rate."""
        if now < self._next_new_member_sync_at:
            return []
        self._next_new_member_sync_at = (
            now + self._options.new_member_sync_interval_s
        )
        return [StartSync(source)]

    def _sync_with_seeds(self) -> list[Action]:
        live_addresses = {
            probing.address_of(self._roster.records_by_id[member_id])
            for member_id in self._roster.live_ids
        }
        unconnected_seeds = [
            seed for seed in self._seeds if seed not in live_addresses
        ]
        count = 1 if live_addresses else _NO_PEERS_SEED_COUNT
        return [
            StartSync(seed)
            for seed in self._random.sample(
                unconnected_seeds, min(count, len(unconnected_seeds))
            )
        ]
