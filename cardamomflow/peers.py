"""Exchange of an agent with other agents on curio.

Owns the membership and the propagation of one agent and carries out their
actions. The sockets belong to `agent`.
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
    """The other agents, as seen by one.

    Attributes
    ----------
    members : membership.Membership
    spread : propagation.Propagation
    udp : curio.io.Socket or None
        Datagrams are dropped while there is none.
    """

    def __init__(
        self,
        members: membership.Membership,
        spread: propagation.Propagation,
        context: Any,
    ) -> None:
        """Take the decision modules."""
        self.members = members
        self.spread = spread
        self.udp: curio_io.Socket | None = None
        self._context = context

    async def tick(self, now: float) -> None:
        """Let time pass."""
        await self.perform(self.members.tick(now))
        await self.perform(self.spread.tick(now))

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
                case propagation.InForce():
                    await self._put_in_force(action.document)

    async def share_signs(self, signs: list[control_pb2.HostSign]) -> None:
        """Tell the other members of the zone the signs of the host list."""
        others = self.members.zone_members()[1:]
        failed_count = await leavinghosts.share(
            signs, [membership.Address(one.address, one.port) for one in others]
        )
        if failed_count:
            self._context.metrics.increment('agent.signs_unsent', failed_count)

    async def _send(self, action: membership.SendDatagram) -> None:
        if self.udp is None:
            return
        payload = action.message.SerializeToString()
        try:
            await self.udp.sendto(payload, tuple(action.address))
        except OSError:
            self._context.metrics.increment('agent.datagrams_unsent')

    async def offer(self, revision: int, source: membership.Address) -> None:
        """Note that a peer has a revision."""
        await self.perform(
            self.spread.offer(revision, source, time.monotonic())
        )

    async def _put_in_force(self, document: propagation.Document) -> None:
        self.members.configuration_revision = document.revision
        self._context.metrics.gauge(
            'agent.configuration_revision', document.revision
        )
        self._context.journal.info(
            events.Event.CONFIGURATION_IN_FORCE, revision=document.revision
        )

    async def _sync(self, address: membership.Address) -> None:
        known = self.members.view(time.monotonic()).members_by_id
        asked = fullsync.request(self.members.own_id, known)
        try:
            answered = await self._exchange_records(address, asked)
            wanted = fullsync.wanted(known, answered)
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
            configuration_revision=self.spread.revision,
        )
        answer = await exchange.ask(
            *address, control_pb2.Message(sync_request=request)
        )
        found = answer.sync_answer
        now = time.monotonic()
        await self.perform(self.members.merge(found.members, now))
        await self.offer(found.configuration_revision, address)
        return found.members

    async def _pull(self, source: membership.Address) -> None:
        request = control_pb2.PullConfiguration(newer_than=self.spread.revision)
        try:
            answer = await exchange.ask(
                source.address,
                source.port,
                control_pb2.Message(pull_configuration=request),
            )
        except errors.FlowError:
            self._context.metrics.increment('agent.pulls_failed')
        else:
            if answer.configuration.compressed:
                await self.take_document(answer.configuration.compressed)
        now = time.monotonic()
        await self.perform(self.spread.pull_ended(source, now))

    async def take_document(self, stored: bytes) -> None:
        """Take a configuration from a peer or the platform."""
        try:
            found = configuration.Configuration.decode(stored)
        except errors.InvalidDocument:
            self._context.metrics.increment('agent.configurations_invalid')
            return
        before = self.spread.ignored_count
        await self.perform(
            self.spread.receive(propagation.Document(found.revision, stored))
        )
        if self.spread.ignored_count > before:
            self._context.metrics.increment('agent.configurations_ignored')

    async def answer_sync(
        self,
        link: localserver.ControlLink,
        request: control_pb2.SyncRequest,
    ) -> None:
        """Answer a full exchange."""
        known = self.members.view(time.monotonic()).members_by_id
        answer = control_pb2.SyncAnswer(
            members=fullsync.answer(known, request.members),
            configuration_revision=self.spread.revision,
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
            revision=self.spread.revision
        )
        if self.spread.current is not None:
            document.compressed = self.spread.current.compressed
        await localserver.post(
            link, control_pb2.Message(configuration=document)
        )
