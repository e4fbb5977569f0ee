"""Exchanges messages of one agent with other agents, on curio.

Owns the membership and the propagation of one agent and carries out their
actions. `agent` owns the sockets.
"""

import time
from collections.abc import Iterable
from typing import Any

import curio
from curio import io as curio_io

from cardamomflow import (
    configuration,
    errors,
    events,
    exchange,
    fullsync,
    leavinghosts,
    localserver,
    membership,
    propagation,
)
from cardamomflow.generated import control_pb2


class Peers:
    """Exchanges members and configurations with the other agents.

    Attributes
    ----------
    members : membership.Membership
    propagator : propagation.Propagation
    udp : curio.io.Socket or None
        Datagrams are dropped while there is none.
    """

    def __init__(
        self,
        members: membership.Membership,
        propagator: propagation.Propagation,
        context: Any,
    ) -> None:
        self.members = members
        self.propagator = propagator
        self.udp: curio_io.Socket | None = None
        self._context = context

    async def tick(self, now: float) -> None:
        """Carry out the actions that are due."""
        await self.perform(self.members.tick(now))
        await self.perform(self.propagator.tick(now))

    async def perform(
        self, actions: Iterable[membership.Action | propagation.Action]
    ) -> None:
        """Carry out actions."""
        for action in actions:
            match action:
                case membership.SendDatagram():
                    await self._send(action)
                case membership.StartSync():
                    await curio.spawn(self._sync, action.address, daemon=True)
                case membership.RevisionSeen():
                    await self.offer(action.revision, action.address)
                case propagation.Pull():
                    await curio.spawn(self._pull, action.source, daemon=True)
                case propagation.Announce():
                    await self.perform(self.members.announce(action.count))
                case propagation.Activate():
                    await self._put_in_force(action.document)

    async def send_leaving_hosts(
        self, leaving_hosts: list[control_pb2.HostSign]
    ) -> None:
        """Send the leaving hosts to the other members of the zone."""
        others = self.members.zone_members()[1:]
        failed_count = await leavinghosts.broadcast(
            leaving_hosts,
            [
                membership.Address(member.address, member.port)
                for member in others
            ],
        )
        if failed_count:
            self._context.metrics.increment('agent.signs_unsent', failed_count)

    async def _send(self, action: membership.SendDatagram) -> None:
        if self.udp is None:
            return
        payload = action.message.SerializeToString()
        try:
            await self.udp.sendto(payload, tuple(action.address))
        except (OSError, curio.WriteResourceBusy):
            # The buffer may be full while another task waits for room.
            self._context.metrics.increment('agent.datagrams_unsent')

    async def offer(self, revision: int, source: membership.Address) -> None:
        """Handle a revision that a peer has announced."""
        await self.perform(
            self.propagator.record_revision(revision, source, time.monotonic())
        )

    async def _put_in_force(self, document: propagation.Document) -> None:
        self.members.configuration_revision = document.revision
        self._context.metrics.set_gauge(
            'agent.configuration_revision', document.revision
        )
        self._context.journal.info(
            events.Event.CONFIGURATION_IN_FORCE, revision=document.revision
        )

    async def _sync(self, address: membership.Address) -> None:
        known_members = self.members.view(time.monotonic()).members_by_id
        digests = fullsync.build_request(self.members.own_id, known_members)
        try:
            received = await self._exchange_records(address, digests)
            wanted = fullsync.requested_records(known_members, received)
            if wanted:
                await self._exchange_records(address, wanted)
        except errors.FlowError:
            self._context.metrics.increment('agent.syncs_failed')

    async def _exchange_records(
        self, address: membership.Address, records: fullsync.Records
    ) -> fullsync.Records:
        request = control_pb2.SyncRequest(
            sender_id=self.members.own_id,
            members=records,
            configuration_revision=self.propagator.revision,
        )
        answer = await exchange.send_request(
            *address, control_pb2.Message(sync_request=request)
        )
        sync_answer = answer.sync_answer
        now = time.monotonic()
        await self.perform(self.members.merge(sync_answer.members, now))
        await self.offer(sync_answer.configuration_revision, address)
        return sync_answer.members

    async def _pull(self, source: membership.Address) -> None:
        request = control_pb2.PullConfiguration(
            newer_than=self.propagator.revision
        )
        try:
            answer = await exchange.send_request(
                source.address,
                source.port,
                control_pb2.Message(pull_configuration=request),
            )
        except errors.FlowError:
            self._context.metrics.increment('agent.pulls_failed')
        else:
            if answer.configuration.compressed:
                await self.receive_document(answer.configuration.compressed)
        now = time.monotonic()
        await self.perform(self.propagator.end_pull(source, now))

    async def receive_document(self, stored: bytes) -> None:
        """Handle a configuration from a peer or the platform."""
        try:
            decoded = configuration.Configuration.decode(stored)
        except errors.InvalidDocument:
            self._context.metrics.increment('agent.configurations_invalid')
            return
        ignored_before = self.propagator.ignored_count
        await self.perform(
            self.propagator.receive(
                propagation.Document(decoded.revision, stored)
            )
        )
        if self.propagator.ignored_count > ignored_before:
            self._context.metrics.increment('agent.configurations_ignored')

    async def answer_sync(
        self,
        link: localserver.ControlLink,
        request: control_pb2.SyncRequest,
    ) -> None:
        """Answer a full synchronization."""
        known_members = self.members.view(time.monotonic()).members_by_id
        answer = control_pb2.SyncAnswer(
            members=fullsync.build_answer(known_members, request.members),
            configuration_revision=self.propagator.revision,
        )
        await localserver.post(link, control_pb2.Message(sync_answer=answer))
        now = time.monotonic()
        await self.perform(self.members.merge(request.members, now))
        for record in request.members:
            is_sender = record.member_id == request.sender_id
            if is_sender and not fullsync.is_digest(record):
                await self.offer(
                    request.configuration_revision,
                    membership.Address(record.address, record.port),
                )

    async def answer_pull(self, link: localserver.ControlLink) -> None:
        """Answer with the configuration in force."""
        document = control_pb2.ConfigurationDocument(
            revision=self.propagator.revision
        )
        if self.propagator.current is not None:
            document.compressed = self.propagator.current.compressed
        await localserver.post(
            link, control_pb2.Message(configuration=document)
        )
