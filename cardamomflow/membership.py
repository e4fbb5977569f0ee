"""Membership by probes and gossip; sans-I/O.

Owns the protocol state of one member: the probe in progress, probes made for
others, and the times of full exchanges. What is known of the members stands
in `roster`. Takes events with the monotonic time and returns actions.
"""

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cardamomflow import fullsync, probing, roster, routing
from cardamomflow.generated import control_pb2

Options = roster.Options
Address = probing.Address
SendDatagram = probing.SendDatagram
_ALONE_SYNC_S = 1.0
# Several at once, since some seeds may be gone.
_ALONE_SEEDS = 3
_BULK_CHANGES = 16


class StartSync(NamedTuple):
    """Exchange all records with a member over TCP, see `merge`."""

    address: Address


class MemberChanged(NamedTuple):
    """The record of a member changed."""

    record: control_pb2.MemberRecord


class RevisionSeen(NamedTuple):
    """A peer has a newer configuration than this member."""

    address: Address
    revision: int


Action = SendDatagram | StartSync | MemberChanged | RevisionSeen


class View(NamedTuple):
    """What a member knows at one time.

    Attributes
    ----------
    members_by_id : dict
        Records of all members, with the own one and the dead ones.
    version : int
        Rises with every change.
    """

    members_by_id: dict[str, control_pb2.MemberRecord]
    version: int


class Membership:
    """One member of the fleet.

    Attributes
    ----------
    own_id : str
    configuration_revision : int
        Newest revision this member has; told in every datagram.
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
            The incarnation must be higher than in an earlier run of the
            same member; the wall clock in milliseconds is such a number.
        options : Options
        generator : random.Random
        seeds : iterable of Address
            Members to contact while no other one is known.
        """
        self_record.state = roster.JOINING
        self._roster = roster.Roster(self_record, options, generator)
        self.own_id = self_record.member_id
        self._options = options
        self._random = generator
        self._syncs = _Syncs(self._roster, generator, seeds)
        self._composer = probing.Composer(self._roster)
        self._prober = probing.Prober(self._roster, self._composer, generator)
        self._joined_at: float | None = None
        self._ticked_at: float = 0
        self._next_probe_at: float = 0
        self._next_notice_at: float = 0

    @property
    def configuration_revision(self) -> int:
        """Newest revision of the configuration that this member has."""
        return self._roster.own.configuration_revision

    @configuration_revision.setter
    def configuration_revision(self, revision: int) -> None:
        self._roster.own.configuration_revision = revision

    def tick(self, now: float) -> list[Action]:
        """Let time pass; to be called about every 100 ms."""
        pause_s = self._start_or_resume(now)
        actions: list[Action] = []
        if pause_s:
            actions += self._syncs.with_random()
        actions += [
            MemberChanged(record) for record in self._roster.expire(now)
        ]
        actions += self._prober.ask_others(now)
        if now >= self._next_probe_at:
            actions += self._next_period(now)
        actions += self._syncs.tick(now)
        if self._is_settled(now):
            self._roster.change_own(now, roster.ALIVE)
        return actions + self._pass_on_news(now)

    def receive(
        self,
        message: control_pb2.Datagram,
        source: Address,
        now: float,
    ) -> list[Action]:
        """Take a datagram.

        Parameters
        ----------
        message : control_pb2.Datagram
        source : Address
            Where it came from; members send from their control endpoint.
        now : float
            Monotonic seconds.
        """
        if message.sender_id == self.own_id:
            return []
        self._start_or_resume(now)
        known = self._roster.records_by_id.get(message.sender_id)
        unheard = known is None or known.state == roster.DEAD
        actions = self._apply(message.updates, now)
        if message.configuration_revision > self.configuration_revision:
            actions.append(RevisionSeen(source, message.configuration_revision))
        if unheard:
            actions += self._syncs.met(source, now)
        match message.WhichOneof('body'):
            case 'probe':
                actions.append(self._prober.answer(message, source))
            case 'ack':
                actions += self._prober.accept_ack(message.ack, now)
            case 'indirect_probe':
                actions += self._prober.relay(message, source, now)
        return actions

    def merge(
        self, records: Iterable[control_pb2.MemberRecord], now: float
    ) -> list[Action]:
        """Take the records of a full exchange.

        Many changes at once are those of a start or a healed cut. Each of
        the members concerned spreads its own record then, so they are not
        passed on.
        """
        self._start_or_resume(now)
        whole = [record for record in records if not fullsync.is_digest(record)]
        actions = self._apply(whole, now)
        changed = [
            action.record.member_id
            for action in actions
            if isinstance(action, MemberChanged)
        ]
        if len(changed) > _BULK_CHANGES:
            for member_id in changed:
                self._roster.updates.discard(member_id)
        return actions

    def records(self) -> list[control_pb2.MemberRecord]:
        """Return what a full exchange carries, the own record first."""
        return list(self._roster.records_by_id.values())

    def zone_members(self) -> list[control_pb2.MemberRecord]:
        """Return the records of the own zone's members that are not dead."""
        return [
            self._roster.own,
            *(
                self._roster.records_by_id[member_id]
                for member_id in sorted(self._roster.home_ids)
            ),
        ]

    def zone_of(self, member_id: str) -> str | None:
        """Return the availability zone of a member, None if not known."""
        record = self._roster.records_by_id.get(member_id)
        return None if record is None else record.availability_zone

    def set_local(
        self,
        aggregators: Sequence[control_pb2.Endpoint],
        entries: Sequence[control_pb2.Endpoint],
        now: float,
    ) -> list[Action]:
        """Take the endpoints of this host's processes."""
        self._start_or_resume(now)
        self._roster.set_local(aggregators, entries, now)
        return self.announce(self._options.notices)

    def leave(self, now: float) -> list[Action]:
        """Tell others that this member is about to go.

        The member goes on to answer; the caller ends it a moment later.
        """
        self._roster.change_own(now, roster.LEAVING)
        return self.announce(self._options.notices)

    def announce(self, count: int) -> list[Action]:
        """Tell random members the newest updates and revision at once."""
        return [
            self._composer.send_to(member_id, control_pb2.Datagram())
            for member_id in self._roster.sample(count)
        ]

    def view(self, now: float) -> View:
        """Return what is known."""
        self._roster.expire(now)
        return View(self._roster.records_by_id, self._roster.version)

    def aggregators(self, zone: str, now: float) -> list[routing.Aggregator]:
        """Return the aggregators in the ranking of a zone."""
        return self.ranking(now).get(zone, [])

    def ranking(self, now: float) -> dict[str, list[routing.Aggregator]]:
        """Return the aggregators in the ranking of each zone."""
        return self._roster.places.ranked(now)

    def _start_or_resume(self, now: float) -> float:
        """Return the length of the pause that ends now, 0 without one."""
        gap_s = now - self._ticked_at
        self._ticked_at = now
        if self._joined_at is None:
            self._joined_at = now
            self._roster.start(now)
            interval_s = self._options.probe_interval_s
            self._next_probe_at = now + self._random.uniform(0, interval_s)
            return 0
        if gap_s <= self._options.pause_threshold_s:
            return 0
        self._prober.reset()
        self._roster.resume(gap_s, now)
        return gap_s

    def _is_settled(self, now: float) -> bool:
        if self._joined_at is None:
            return False
        if self._roster.own.state != roster.JOINING:
            return False
        return now - self._joined_at >= self._options.join_delay_s

    def _apply(
        self, records: Iterable[control_pb2.MemberRecord], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        refuted = False
        for record in records:
            match self._roster.apply(record, now):
                case roster.Verdict.CHANGED:
                    changed = self._roster.records_by_id[record.member_id]
                    actions.append(MemberChanged(changed))
                case roster.Verdict.ABOUT_SELF:
                    refuted = True
        if refuted:
            self._roster.change_own(now)
        return actions

    def _next_period(self, now: float) -> list[Action]:
        interval_s = self._options.probe_interval_s
        self._next_probe_at += interval_s
        # After a pause the first probe gets a whole period for its answer.
        if self._next_probe_at <= now:
            self._next_probe_at = now + interval_s
        actions: list[Action] = []
        suspect = self._prober.end(now)
        if suspect is not None:
            record = self._roster.records_by_id[suspect]
            actions.append(MemberChanged(record))
        return actions + self._prober.start(now)

    def _pass_on_news(self, now: float) -> list[Action]:
        """Tell others at once what is new, within a bounded rate.

        On probes and answers alone, news takes several seconds to reach a
        large fleet.
        """
        if not self._roster.has_news or now < self._next_notice_at:
            return []
        self._roster.has_news = False
        self._next_notice_at = now + self._options.notice_interval_s
        return self.announce(self._options.relayed_notices)


class _Syncs:
    """When a full exchange is made, and with whom."""

    def __init__(
        self,
        known: roster.Roster,
        generator: random.Random,
        seeds: Iterable[Address],
    ) -> None:
        """Let the first exchange be due at once."""
        own_address = probing.address_of(known.own)
        self._roster = known
        self._options = known.options
        self._random = generator
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._next_at = float('-inf')
        self._next_met_at = float('-inf')

    def tick(self, now: float) -> list[Action]:
        """Exchange with a member, and with a seed that is not known to live.

        Members that joined through different seeds would otherwise never
        hear of each other.
        """
        if now < self._next_at:
            return []
        interval_s = self._options.sync_interval_s
        delay_s = self._random.uniform(interval_s / 2, interval_s * 3 / 2)
        if not self._roster.live_ids:
            delay_s = _ALONE_SYNC_S
        self._next_at = now + delay_s
        return [*self.with_random(), *self._with_seed()]

    def with_random(self) -> list[Action]:
        """Exchange with a random member."""
        return [
            StartSync(probing.address_of(self._roster.records_by_id[member_id]))
            for member_id in self._roster.sample(1)
        ]

    def met(self, source: Address, now: float) -> list[Action]:
        """Exchange with a member that was not known to live, if it is due."""
        if now < self._next_met_at:
            return []
        self._next_met_at = now + self._options.resync_s
        return [StartSync(source)]

    def _with_seed(self) -> list[Action]:
        live = {
            probing.address_of(self._roster.records_by_id[member_id])
            for member_id in self._roster.live_ids
        }
        unknown = [seed for seed in self._seeds if seed not in live]
        count = 1 if live else _ALONE_SEEDS
        return [
            StartSync(seed)
            for seed in self._random.sample(unknown, min(count, len(unknown)))
        ]
