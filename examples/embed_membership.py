"""Use membership and propagation without any program of cardamomflow.

Three members in one process pass each other datagrams by hand. An embedding
program sends them over UDP instead, and makes the exchanges over TCP.

Run it with `python -m examples.embed_membership`.
"""

import random
import sys
from collections.abc import Iterable

from cardamomflow import fullsync, membership, propagation
from cardamomflow.generated import control_pb2

TICK_S = 0.1
PORT = 7400
SETTLE_S = 15.0


class Member:
    """Membership and propagation of one process."""

    def __init__(self, number: int, seed: membership.Address) -> None:
        """Describe the member; addresses are never resolved."""
        self.address = membership.Address(f'10.0.0.{number}', PORT)
        record = control_pb2.MemberRecord(
            member_id=f'member-{number}',
            host_id=f'host-{number}',
            region='south',
            availability_zone='zone-1',
            address=self.address.address,
            port=self.address.port,
            incarnation=1,
        )
        self.members = membership.Membership(
            record, membership.Options(), random.Random(number), [seed]
        )
        self.spread = propagation.Propagation(propagation.Options())


class Network:
    """Carries out the actions of all members."""

    def __init__(self, members: Iterable[Member]) -> None:
        """Take members that reach each other."""
        self.now: float = 0
        self._members_by_address = {one.address: one for one in members}

    def run(self, duration_s: float) -> None:
        """Let time pass for all members."""
        until = self.now + duration_s
        while self.now < until:
            self.now += TICK_S
            for member in tuple(self._members_by_address.values()):
                self.perform(member, member.members.tick(self.now))
                self.perform(member, member.spread.tick(self.now))

    def remove(self, member: Member) -> None:
        """Let a member fail."""
        del self._members_by_address[member.address]

    def perform(
        self,
        member: Member,
        actions: Iterable[membership.Action | propagation.Action],
    ) -> None:
        """Carry out what a member's modules ask for."""
        for action in actions:
            match action:
                case membership.SendDatagram():
                    self._deliver(member, action)
                case membership.StartSync():
                    self._exchange(member, action.address)
                case membership.RevisionSeen():
                    found = member.spread.record_revision(
                        action.revision, action.address, self.now
                    )
                    self.perform(member, found)
                case propagation.Pull():
                    self._pull(member, action)
                case propagation.Announce():
                    notices = member.members.announce(action.count)
                    self.perform(member, notices)
                case propagation.Activate():
                    revision = action.document.revision
                    member.members.configuration_revision = revision

    def _deliver(self, sender: Member, action: membership.SendDatagram) -> None:
        receiver = self._members_by_address.get(action.address)
        if receiver is None:
            return
        # The bytes are what would be sent over UDP.
        payload = action.message.SerializeToString()
        message = control_pb2.Datagram.FromString(payload)
        found = receiver.members.receive(message, sender.address, self.now)
        self.perform(receiver, found)

    def _exchange(self, member: Member, address: membership.Address) -> None:
        other = self._members_by_address.get(address)
        if other is None:
            return
        known = member.members.view(self.now).members_by_id
        asked = fullsync.build_request(member.members.own_id, known)
        answered = fullsync.build_answer(
            other.members.view(self.now).members_by_id, asked
        )
        wanted = fullsync.requested_records(known, answered)
        self.perform(other, other.members.merge([*asked, *wanted], self.now))
        self.perform(member, member.members.merge(answered, self.now))

    def _pull(self, member: Member, action: propagation.Pull) -> None:
        source = self._members_by_address.get(action.source)
        if source is not None and source.spread.current is not None:
            found = member.spread.receive(source.spread.current)
            self.perform(member, found)
        ended = member.spread.end_pull(action.source, self.now)
        self.perform(member, ended)


def main() -> dict[str, int]:
    """Form a fleet, spread a document, and lose a member.

    Returns
    -------
    dict
        State of each member at the first one.
    """
    seed = membership.Address('10.0.0.1', PORT)
    members = [Member(number, seed) for number in (1, 2, 3)]
    network = Network(members)
    network.run(SETTLE_S)
    document = propagation.Document(1, b'any bytes')
    network.perform(members[0], members[0].spread.receive(document))
    network.run(2)
    for member in members:
        sys.stdout.write(
            f'{member.members.own_id}: revision {member.spread.revision}\n'
        )
    network.remove(members[2])
    network.run(10)
    states = {
        member_id: record.state
        for member_id, record in members[0]
        .members.view(network.now)
        .members_by_id.items()
    }
    for member_id, state in states.items():
        sys.stdout.write(
            f'{member_id}: {control_pb2.MemberState.Name(state)}\n'
        )
    return states


if __name__ == '__main__':
    main()
