"""Probes that one member sends, and their datagrams; sans-I/O.

Tracks the probe in progress and the probes relayed for other members. The
`roster` stores the results.
"""

import itertools
import random
from typing import NamedTuple

from cardamomflow import roster
from cardamomflow.generated import control_pb2

# Of four probes, two go to the successor in the own zone, one to another member
# of that zone and one to a member of another zone.
_SUCCESSOR_PROBE_PERIODS = 2
_OTHER_ZONE_PROBE_PERIODS = 4
_MAXIMUM_RELAYS = 256
# Field header and length of one record in a datagram.
_RECORD_OVERHEAD_BYTES = 3


class Address(NamedTuple):
    """Control endpoint of a member."""

    address: str
    port: int


class SendDatagram(NamedTuple):
    """Action: send one datagram."""

    address: Address
    message: control_pb2.Datagram


def address_of(record: control_pb2.MemberRecord) -> Address:
    """Return the control endpoint of a member."""
    return Address(record.address, record.port)


class DatagramBuilder:
    """Adds the sender, the configuration revision and updates to datagrams."""

    def __init__(self, member_roster: roster.Roster) -> None:
        self._roster = member_roster
        self._options = member_roster.options

    def prepare_send(
        self, member_id: str, message: control_pb2.Datagram
    ) -> SendDatagram:
        """Return the action that sends a datagram to a member."""
        record = self._roster.records_by_id[member_id]
        return SendDatagram(address_of(record), self.fill(message, member_id))

    def fill(
        self, message: control_pb2.Datagram, receiver_id: str
    ) -> control_pb2.Datagram:
        """Add the sender, the revision and as many updates as fit."""
        own = self._roster.own
        message.sender_id = own.member_id
        message.configuration_revision = own.configuration_revision
        free_bytes = self._options.datagram_bytes - message.ByteSize()
        member_count = len(self._roster.live_ids) + 1
        for member_id in self._next_updates(receiver_id):
            record = self._roster.records_by_id[member_id]
            record_bytes = record.ByteSize() + _RECORD_OVERHEAD_BYTES
            if record_bytes <= free_bytes:
                free_bytes -= record_bytes
                message.updates.append(record)
            # A record that does not fit is counted too, so that a large
            # record does not block the others; full exchanges transfer it.
            self._roster.updates.record_sent(member_id, member_count)
        return message

    def _next_updates(self, receiver_id: str) -> list[str]:
        ids = self._roster.updates.next_ids(self._options.maximum_updates)
        receiver = self._roster.records_by_id.get(receiver_id)
        if receiver is None:
            return ids
        # A suspect must receive its own record to refute the suspicion.
        if receiver.state not in {roster.SUSPECT, roster.DEAD}:
            return ids
        other_ids = [member_id for member_id in ids if member_id != receiver_id]
        return [receiver_id, *other_ids][: self._options.maximum_updates]


class _Probe(NamedTuple):
    sequence: int
    member_id: str
    sent_at: float
    indirect_requested: bool


class _Relay(NamedTuple):
    address: Address
    sequence: int
    expires_at: float


class Prober:
    """Probes one member in each protocol period."""

    def __init__(
        self,
        member_roster: roster.Roster,
        datagram_builder: DatagramBuilder,
        generator: random.Random,
    ) -> None:
        self._roster = member_roster
        self._datagram_builder = datagram_builder
        self._options = member_roster.options
        self._random = generator
        self._sequences = itertools.count(1)
        self._period = 0
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}

    def discard_probe(self) -> None:
        """Discard the probe in progress, as its ack may be unread.

        To be called after a pause of this process.
        """
        self._probe = None

    def start_period(self, now: float) -> list[SendDatagram]:
        """Probe the next member, and a dead one if there is any."""
        sequence = next(self._sequences)
        self._period += 1
        datagrams = self._probe_dead_member()
        target_id = self._next_target()
        if target_id is None:
            return datagrams
        self._probe = _Probe(sequence, target_id, now, indirect_requested=False)
        datagrams.append(self._prepare_probe(target_id, sequence))
        return datagrams

    def request_indirect_probes(self, now: float) -> list[SendDatagram]:
        """Request indirect probes once when the ack is overdue."""
        probe = self._probe
        if probe is None or probe.indirect_requested:
            return []
        if now < probe.sent_at + self._options.ack_timeout_s:
            return []
        self._probe = probe._replace(indirect_requested=True)
        target = self._roster.records_by_id[probe.member_id]
        relay_ids = self._roster.sample(
            self._options.indirect_probes, [probe.member_id]
        )
        return [
            self._datagram_builder.prepare_send(
                relay_id,
                control_pb2.Datagram(
                    indirect_probe=control_pb2.IndirectProbe(
                        sequence=probe.sequence,
                        target_id=target.member_id,
                        target_address=target.address,
                        target_port=target.port,
                    )
                ),
            )
            for relay_id in relay_ids
        ]

    def end_period(self, now: float) -> str | None:
        """End the period; return the id of a member that changed state."""
        probe = self._probe
        self._probe = None
        if probe is None or not self._roster.mark_suspect(probe.member_id, now):
            return None
        return probe.member_id

    def acknowledge(
        self, message: control_pb2.Datagram, source: Address
    ) -> SendDatagram:
        """Acknowledge a probe."""
        acknowledgement = control_pb2.Datagram(
            ack=control_pb2.Ack(
                sequence=message.probe.sequence,
                member_id=self._roster.own.member_id,
            )
        )
        return SendDatagram(
            source,
            self._datagram_builder.fill(acknowledgement, message.sender_id),
        )

    def handle_ack(
        self, ack: control_pb2.Ack, now: float
    ) -> list[SendDatagram]:
        """Complete the own probe, or forward the ack of a relayed probe."""
        if self._probe is not None and self._probe.sequence == ack.sequence:
            self._probe = None
            return []
        relay = self._relays.pop(ack.sequence, None)
        if relay is None or now > relay.expires_at:
            return []
        relayed_ack = control_pb2.Datagram(
            ack=control_pb2.Ack(
                sequence=relay.sequence, member_id=ack.member_id
            )
        )
        return [
            SendDatagram(
                relay.address, self._datagram_builder.fill(relayed_ack, '')
            )
        ]

    def relay_probe(
        self, message: control_pb2.Datagram, source: Address, now: float
    ) -> list[SendDatagram]:
        """Probe a member on behalf of another one."""
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if relay.expires_at >= now
        }
        if len(self._relays) >= _MAXIMUM_RELAYS:
            return []
        request = message.indirect_probe
        if not roster.is_valid_endpoint(
            request.target_address, request.target_port
        ):
            return []
        sequence = next(self._sequences)
        self._relays[sequence] = _Relay(
            source, request.sequence, now + self._options.probe_interval_s
        )
        probe = control_pb2.Datagram(
            probe=control_pb2.Probe(
                sequence=sequence,
                on_behalf_of=message.sender_id,
                target_id=request.target_id,
            )
        )
        target = Address(request.target_address, request.target_port)
        return [
            SendDatagram(
                target, self._datagram_builder.fill(probe, request.target_id)
            )
        ]

    def _next_target(self) -> str | None:
        if self._period % _SUCCESSOR_PROBE_PERIODS:
            target_id = self._roster.successor()
            if target_id is not None:
                return target_id
        return self._roster.next_target(
            own_zone=self._period % _OTHER_ZONE_PROBE_PERIODS > 0
        )

    def _probe_dead_member(self) -> list[SendDatagram]:
        """Probe a random dead member.

        Members on both sides of a network partition declare each other dead.
        Without these probes neither side would contact the other again.
        """
        dead_ids = self._roster.dead_ids
        if not dead_ids:
            return []
        return [self._prepare_probe(self._random.choice(dead_ids), 0)]

    def _prepare_probe(self, target_id: str, sequence: int) -> SendDatagram:
        probe = control_pb2.Probe(sequence=sequence, target_id=target_id)
        return self._datagram_builder.prepare_send(
            target_id, control_pb2.Datagram(probe=probe)
        )
