"""Members and propagations joined by an in-memory network in virtual time.

Used by the benchmark and the tests of `membership` and `propagation`. Each
message is serialized, so members share no state and sizes are counted.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

from cardamomflow import (
    exchange,
    frames,
    fullsync,
    membership,
    propagation,
    routing,
)
from cardamomflow.generated import control_pb2

TICK_S = 0.1
LATENCY_S = (0.0005, 0.003)
DATAGRAM_OVERHEAD_BYTES = 28
# Segments that open, acknowledge and end one connection.
CONNECTION_OVERHEAD_BYTES = 400
_QUEUED_WHILE_PAUSED = 200


class Node:
    """One member with its counters."""

    def __init__(
        self,
        number: int,
        zone: str,
        options: membership.Options,
        seeds: Iterable[membership.Address],
        incarnation: int,
    ) -> None:
        self.member_id = f'agent-{number:03}'
        self.address = membership.Address(
            f'10.{number // 62500}.{number // 250}.{number % 250 + 1}', 7400
        )
        self.zone = zone
        self.random = random.Random(f'{number}/{incarnation}')
        self.members = membership.Membership(
            control_pb2.MemberRecord(
                member_id=self.member_id,
                host_id=f'host-{number:03}',
                region='south',
                availability_zone=zone,
                address=self.address.address,
                port=self.address.port,
                incarnation=incarnation,
            ),
            options,
            self.random,
            seeds,
        )
        self.spread = propagation.Propagation(propagation.Options())
        self.runs = True
        self.paused = False
        self.queued: list[tuple[bytes, membership.Address]] = []
        self.aggregators: list[control_pb2.Endpoint] = []
        self.sent_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.largest_bytes = 0
        self.in_force_at: dict[int, float] = {}

    def states(self, now: float) -> dict[str, int]:
        """Return the state of every known member."""
        return {
            member_id: record.state
            for member_id, record in self.members.view(
                now
            ).members_by_id.items()
        }


class Fleet:
    """Members, network and virtual time."""

    def __init__(
        self,
        seed: int,
        options: membership.Options | None = None,
    ) -> None:
        self.now = 100.0
        self.loss: float = 0
        self.nodes: dict[str, Node] = {}
        # Ids of nodes that can't be reached from nodes outside of it.
        self.cut_off: set[str] = set()
        self.changes: list[tuple[float, str, str, int]] = []
        self.records_changes = False
        self._options = options or membership.Options()
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self._nodes_by_address: dict[membership.Address, Node] = {}

    def start(
        self,
        number: int,
        zone: str,
        aggregators: int = 1,
        seeds: Iterable[int] = (0, 1),
    ) -> Node:
        """Start a member, or start it again."""
        known = [
            membership.Address(f'10.0.{one // 250}.{one % 250 + 1}', 7400)
            for one in seeds
        ]
        incarnation = int(self.now * 1000)
        node = Node(number, zone, self._options, known, incarnation)
        self.nodes[node.member_id] = node
        self._nodes_by_address[node.address] = node
        self.at(self._random.uniform(0, TICK_S), self._tick, node)
        if aggregators:
            self.register(node, aggregators)
        return node

    def register(self, node: Node, count: int) -> None:
        """Let aggregators of a host say hello to its agent."""
        node.aggregators = [
            control_pb2.Endpoint(
                id=f'{node.member_id}/{number}',
                address=node.address.address,
                port=7500 + number,
            )
            for number in range(count)
        ]
        self.perform(
            node,
            node.members.set_local_endpoints(node.aggregators, [], self.now),
        )

    def stop(self, node: Node) -> None:
        """End a member without notice."""
        node.runs = False

    def leave(self, node: Node) -> None:
        """End a member as a planned stop does."""
        self.perform(node, node.members.leave(self.now))
        self.at(1.0, self.stop, node)

    def pause(self, node: Node) -> None:
        """Let a member stand still; datagrams wait in its socket."""
        node.paused = True

    def resume(self, node: Node) -> None:
        """Let a member continue."""
        node.paused = False
        queued = node.queued
        node.queued = []
        for payload, source in queued:
            self._deliver((node, payload, source))
        self.at(0, self._tick, node)

    def publish(self, node: Node, revision: int, size: int = 100) -> None:
        """Let a member read a document from the platform."""
        # Incompressible, as the stored form is.
        content = random.Random(revision).randbytes(size)
        self.perform(
            node,
            node.spread.receive(propagation.Document(revision, content)),
        )

    def run(self, duration_s: float) -> None:
        """Let virtual time pass."""
        until = self.now + duration_s
        while self._events and self._events[0][0] <= until:
            due_at, _, function, argument = heapq.heappop(self._events)
            self.now = due_at
            function(argument)
        self.now = until

    def at(
        self, delay_s: float, function: Callable[[Any], None], argument: Any
    ) -> None:
        """Call a function later."""
        heapq.heappush(
            self._events,
            (self.now + delay_s, next(self._order), function, argument),
        )

    def running(self) -> list[Node]:
        """Return the members that run and are not paused."""
        return [
            node
            for node in self.nodes.values()
            if node.runs and not node.paused
        ]

    def holders(
        self, zone: str, rank: Callable[[Iterable[str]], list[str]]
    ) -> set[str]:
        """Return the aggregators of a zone that may hold connections.

        Parameters
        ----------
        zone : str
        rank : callable
            Returns aggregator ids by falling weight for a service.
        """
        found = set()
        for node in self.running():
            if node.zone != zone:
                continue
            ranked = rank(
                aggregator.aggregator_id
                for aggregator in node.members.aggregators(zone, self.now)
            )
            own = {endpoint.id for endpoint in node.aggregators}
            found |= own.intersection(ranked[: routing.OWNERS_PER_ZONE])
        return found

    def perform(  # noqa: WPS231  # one case for each action
        self, node: Node, actions: Iterable[Any]
    ) -> None:
        """Carry out actions as an agent does."""
        for action in actions:
            match action:
                case membership.SendDatagram():
                    self._send(node, action)
                case membership.StartSync():
                    self._connect(node, action.address, self._sync)
                case membership.RevisionSeen():
                    self._offer(node, action.revision, action.address)
                case membership.MemberChanged():
                    self._record(node, action.record)
                case propagation.Pull():
                    self._connect(node, action.source, self._pull)
                case propagation.Announce():
                    self.perform(node, node.members.announce(action.count))
                case propagation.Activate():
                    self._put_in_force(node, action.document.revision)

    def _offer(self, node: Node, revision: int, source: Any) -> None:
        self.perform(
            node, node.spread.record_revision(revision, source, self.now)
        )

    def _put_in_force(self, node: Node, revision: int) -> None:
        node.members.configuration_revision = revision
        node.in_force_at[revision] = self.now

    def _record(self, node: Node, record: control_pb2.MemberRecord) -> None:
        if self.records_changes:
            self.changes.append(
                (self.now, node.member_id, record.member_id, record.state)
            )

    def _reaches(self, node: Node, other: Node | None) -> bool:
        if other is None or not other.runs:
            return False
        return (node.member_id in self.cut_off) == (
            other.member_id in self.cut_off
        )

    def _latency_s(self) -> float:
        return self._random.uniform(*LATENCY_S)

    def _tick(self, node: Node) -> None:
        if not node.runs or node.paused:
            return
        self.perform(node, node.members.tick(self.now))
        self.perform(node, node.spread.tick(self.now))
        self.at(TICK_S, self._tick, node)

    def _send(self, node: Node, action: membership.SendDatagram) -> None:
        payload = action.message.SerializeToString()
        node.sent_count += 1
        node.sent_bytes += len(payload) + DATAGRAM_OVERHEAD_BYTES
        node.largest_bytes = max(node.largest_bytes, len(payload))
        target = self._nodes_by_address.get(action.address)
        if not self._reaches(node, target):
            return
        if self.loss and self._random.random() < self.loss:
            return
        self.at(
            self._latency_s(), self._deliver, (target, payload, node.address)
        )

    def _deliver(self, event: tuple[Node, bytes, membership.Address]) -> None:
        node, payload, source = event
        if not node.runs:
            return
        if node.paused:
            if len(node.queued) < _QUEUED_WHILE_PAUSED:
                node.queued.append((payload, source))
            return
        node.received_bytes += len(payload) + DATAGRAM_OVERHEAD_BYTES
        message = control_pb2.Datagram.FromString(payload)
        self.perform(node, node.members.receive(message, source, self.now))

    def _connect(
        self,
        node: Node,
        address: Any,
        exchanged: Callable[[tuple[Node, Node]], None],
    ) -> None:
        other = self._nodes_by_address.get(address)
        if other is None or other.paused or not self._reaches(node, other):
            self.at(exchange.TIMEOUT_S, self._exchange_failed, (node, address))
            return
        # Connection, request and answer.
        self.at(3 * self._latency_s(), exchanged, (node, other))

    def _exchange_failed(self, event: tuple[Node, Any]) -> None:
        node, address = event
        self.perform(node, node.spread.end_pull(address, self.now))

    def _count_exchange(
        self, node: Node, other: Node, frame_bytes: int, answer_bytes: int
    ) -> None:
        node.sent_count += 1
        other.sent_count += 1
        half = CONNECTION_OVERHEAD_BYTES // 2
        node.sent_bytes += frame_bytes + half
        node.received_bytes += answer_bytes + half
        other.sent_bytes += answer_bytes + half
        other.received_bytes += frame_bytes + half

    def _sync(self, event: tuple[Node, Node]) -> None:
        node, other = event
        if not node.runs or node.paused or not other.runs or other.paused:
            return
        known = node.members.view(self.now).members_by_id
        asked = fullsync.build_request(node.member_id, known)
        answered = self._exchange_records(node, other, asked)
        wanted = fullsync.requested_records(known, answered)
        if wanted:
            self._exchange_records(node, other, wanted)

    def _exchange_records(
        self, node: Node, other: Node, records: fullsync.Records
    ) -> fullsync.Records:
        request = control_pb2.SyncRequest(
            sender_id=node.member_id,
            members=records,
            configuration_revision=node.spread.revision,
        )
        request_frame = frames.encode(control_pb2.Message(sync_request=request))
        known = other.members.view(self.now).members_by_id
        answer = control_pb2.SyncAnswer(
            members=fullsync.build_answer(known, request.members),
            configuration_revision=other.spread.revision,
        )
        answer_frame = frames.encode(control_pb2.Message(sync_answer=answer))
        self._count_exchange(node, other, len(request_frame), len(answer_frame))
        self.perform(other, other.members.merge(request.members, self.now))
        self.perform(node, node.members.merge(answer.members, self.now))
        self._offer(other, node.spread.revision, node.address)
        self._offer(node, answer.configuration_revision, other.address)
        return answer.members

    def _pull(self, event: tuple[Node, Node]) -> None:
        node, other = event
        if not node.runs or node.paused:
            return
        current = other.spread.current
        size = 0 if current is None else len(current.compressed)
        self._count_exchange(node, other, 12, size + 12)
        if current is not None and other.runs and not other.paused:
            self.perform(node, node.spread.receive(current))
        self.perform(node, node.spread.end_pull(other.address, self.now))
