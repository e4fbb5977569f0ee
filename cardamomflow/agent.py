"""Agent of a host: the main loop around membership and propagation.

Owns the control sockets. `membership` and `propagation` define the rules,
`localserver` registers the local processes, and `platformreader` reads the
platform.
"""

import socket
import time
from typing import TYPE_CHECKING, Any

import curio
from curio import io as curio_io
from curio import socket as curio_socket
from google.protobuf import message as protobuf_message

from cardamomflow import (
    events,
    exitstatus,
    leavinghosts,
    links,
    localserver,
    membership,
    metricspage,
    peers,
    platformreader,
    propagation,
    shutdown,
)
from cardamomflow.generated import control_pb2

if TYPE_CHECKING:
    from cardamomflow import platform

TICK_S = 0.1
# Combines changes within this time into one view for the local processes.
PUSH_DELAY_S = 0.2
# Time between the leave message of this agent and its end.
LEAVE_GRACE_S = 1.0
MAX_LINKS = 512
_REGISTRATION_TIMEOUT_S = 10.0
_MAX_DATAGRAM_BYTES = 65_536
_BACKLOG = 128
_MS_PER_S = 1000
# Largest value of the field `other_zones_silent_ms`.
_MAX_SILENT_MS = 0xFFFFFFFF


async def run(
    settings: Any,
    context: Any,
    platform: 'platform.Platform | None' = None,
    options: membership.Options | None = None,
) -> exitstatus.ExitStatus:
    """Run an agent until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : dict
        Checked `AgentSettings`.
    context : context.Context
        `metrics`, `journal` and `random` are used.
    platform : platform.Platform, optional
        Without it the configuration comes from peers alone.
    options : membership.Options, optional
        Must be the same for all members.
    """
    agent = Agent(settings, context, platform, options)
    supervisor = shutdown.Supervisor(context.journal)
    await supervisor.start(
        agent.serve, *metricspage.create_tasks(context, settings.get('metrics'))
    )
    healthy = await supervisor.wait()
    await agent.leave()
    return exitstatus.ExitStatus.OK if healthy else exitstatus.ExitStatus.FAILED


class Agent(
    links.LinkHandler[control_pb2.Message], platformreader.PlatformListener
):
    """Agent of one host; can be embedded without `run`."""

    def __init__(
        self,
        settings: Any,
        context: Any,
        platform: 'platform.Platform | None' = None,
        options: membership.Options | None = None,
    ) -> None:
        """Prepare the agent; `serve` opens its sockets."""
        self._settings = settings
        self._context = context
        self._platform = platform
        now = time.monotonic()
        members = membership.Membership(
            _own_record(settings),
            options or membership.Options(),
            context.random,
            [
                membership.Address(seed['address'], seed['port'])
                for seed in settings['seeds']
            ],
        )
        propagator = propagation.Propagation(propagation.Options())
        self._peers = peers.Peers(members, propagator, context)
        self._processes = localserver.LocalProcesses()
        self._leaving_hosts = leavinghosts.LeavingHosts()
        self._push_schedule = _PushSchedule()
        self._opened_at_by_link: dict[localserver.ControlLink, float] = {}
        self._ticked_at = now
        self._is_watcher = False
        self._other_zone_received_at: float | None = None

    @property
    def members(self) -> membership.Membership:
        """Membership as seen by this agent."""
        return self._peers.members

    @property
    def revision(self) -> int:
        """Revision of the configuration in force, 0 without one."""
        return self._peers.propagator.revision

    async def serve(self) -> None:
        """Serve until cancelled.

        Raises
        ------
        OSError
            The control endpoint can't be bound.
        """
        control = self._settings['control']
        listener = _listen(control, socket.SOCK_STREAM)
        self._peers.udp = _listen(control, socket.SOCK_DGRAM)
        self._context.journal.info(events.Event.STARTED, port=control['port'])
        try:  # noqa: WPS501  # no exception is handled here
            await self._serve(listener, self._peers.udp)
        finally:
            for link in tuple(self._opened_at_by_link):
                await curio.spawn(link.close, daemon=True)

    async def leave(self) -> None:
        """Announce the stop, and serve for `LEAVE_GRACE_S` longer."""
        self._context.journal.info(events.Event.STOPPING)
        now = time.monotonic()
        await self._peers.perform(self._peers.members.leave(now))
        await self._push_if_due(now)
        await curio.sleep(LEAVE_GRACE_S)

    async def on_message(
        self,
        link: localserver.ControlLink,
        message: control_pb2.Message,
    ) -> None:
        """Handle a message of a local process or another agent."""
        match message.WhichOneof('body'):
            case 'local_hello':
                await self._on_hello(link, message.local_hello)
            case 'local_leaving':
                process_id = message.local_leaving.process_id
                if self._processes.record_leaving(process_id):
                    await self._update_local_endpoints()
            case 'sync_request':
                await self._peers.answer_sync(link, message.sync_request)
            case 'pull_configuration':
                await self._peers.answer_pull(link)
            case 'local_view':
                self._leaving_hosts.update(message.local_view.host_signs)

    async def on_closed(self, link: localserver.ControlLink) -> None:
        """Remove a closed link and the process registered on it."""
        self._opened_at_by_link.pop(link, None)
        if self._processes.remove_link(link):
            await self._update_local_endpoints()

    def is_watcher(self) -> bool:
        """Return whether this agent reads the platform for its zone."""
        return self._is_watcher

    async def on_configuration_read(self, stored: bytes) -> None:
        """Handle a configuration read from the platform."""
        current = self._peers.propagator.current
        if current is not None and current.compressed == stored:
            return
        await self._peers.receive_document(stored)

    async def on_hosts_read(self, leaving_by_host: dict[str, str]) -> None:
        """Update the leaving hosts, and send them to the zone if due."""
        entries = [
            control_pb2.HostSign(host_id=host_id, address=address, leaving=True)
            for host_id, address in sorted(leaving_by_host.items())
        ]
        if self._leaving_hosts.is_due(entries, time.monotonic()):
            await curio.spawn(
                self._peers.send_leaving_hosts, entries, daemon=True
            )
        self._leaving_hosts.update(entries)

    async def _serve(
        self, listener: curio_io.Socket, udp: curio_io.Socket
    ) -> None:
        async with listener, udp, curio.TaskGroup() as group:
            await group.spawn(self._receive_datagrams, udp)
            await group.spawn(self._accept, listener)
            await group.spawn(self._run_ticks)
            if self._platform is not None:
                watcher = platformreader.PlatformWatcher(
                    self._platform, self._context, self
                )
                await group.spawn(watcher.run)

    async def _receive_datagrams(self, udp: curio_io.Socket) -> None:
        while True:
            try:
                datagram, source = await udp.recvfrom(_MAX_DATAGRAM_BYTES)
                message = control_pb2.Datagram.FromString(datagram)
            except (OSError, protobuf_message.DecodeError):
                self._context.metrics.increment('agent.datagrams_invalid')
                continue
            await self._peers.perform(
                self._peers.members.receive(
                    message,
                    membership.Address(source[0], source[1]),
                    time.monotonic(),
                )
            )
            self._record_sender(message.sender_id)

    def _record_sender(self, member_id: str) -> None:
        zone = self._peers.members.zone_of(member_id)
        own_zone = self._settings['host']['availability_zone']
        if zone is not None and zone != own_zone:
            self._other_zone_received_at = time.monotonic()

    async def _accept(self, listener: curio_io.Socket) -> None:
        while True:
            sock, _ = await listener.accept()
            if len(self._opened_at_by_link) >= MAX_LINKS:
                self._context.metrics.increment('agent.links_refused')
                await sock.close()
                continue
            links.set_no_delay(sock)
            link = links.Link(sock, control_pb2.Message, self)
            self._opened_at_by_link[link] = time.monotonic()
            await curio.spawn(link.run, daemon=True)

    async def _run_ticks(self) -> None:
        while True:
            now = time.monotonic()
            if now - self._ticked_at > localserver.SILENCE_LIMIT_S / 2:
                self._processes.reset_silence(now)
            self._ticked_at = now
            await self._peers.tick(now)
            await self._close_unused_links(now)
            self._leaving_hosts.expire(now)
            await self._push_if_due(now)
            await curio.sleep(TICK_S)

    async def _on_hello(
        self, link: localserver.ControlLink, hello: control_pb2.LocalHello
    ) -> None:
        now = time.monotonic()
        if not self._processes.record_hello(link, hello, now):
            heartbeat = control_pb2.Message(
                local_view=self._make_heartbeat(now)
            )
            await localserver.post(link, heartbeat)
            return
        self._context.journal.info(
            events.Event.PROCESS_REGISTERED, process_id=hello.process_id
        )
        await self._update_local_endpoints()
        await self._processes.push(
            self._local_view(now),
            self._peers.propagator.current,
            only_link=link,
        )

    async def _update_local_endpoints(self) -> None:
        await self._peers.perform(
            self._peers.members.set_local_endpoints(
                self._processes.endpoints(localserver.AGGREGATOR),
                self._processes.endpoints(localserver.ENTRY),
                time.monotonic(),
            )
        )

    async def _push_if_due(self, now: float) -> None:
        version = (
            self._peers.members.view(now).version,
            self._peers.propagator.revision,
            self._leaving_hosts.version,
        )
        if not self._push_schedule.is_due(version, now):
            return
        self._is_watcher = self._is_selected_as_watcher()
        await self._processes.push(
            self._local_view(now), self._peers.propagator.current
        )

    def _local_view(self, now: float) -> control_pb2.LocalView:
        view = self._make_heartbeat(now)
        view.members.extend(self._peers.members.records())
        view.host_signs.extend(self._leaving_hosts.entries)
        for zone, aggregators in self._peers.members.ranking(now).items():
            ranked = view.zones.add(availability_zone=zone)
            for aggregator in aggregators:
                ranked.aggregators.add(
                    id=aggregator.aggregator_id,
                    address=aggregator.address,
                    port=aggregator.port,
                )
        return view

    def _make_heartbeat(self, now: float) -> control_pb2.LocalView:
        received_at = self._other_zone_received_at
        if received_at is None:
            return control_pb2.LocalView()
        # A datagram may have arrived after `now` was read.
        silent_ms = int(max(0, now - received_at) * _MS_PER_S)
        return control_pb2.LocalView(
            other_zones_silent_ms=min(silent_ms, _MAX_SILENT_MS)
        )

    async def _close_unused_links(self, now: float) -> None:
        registered = self._processes.links()
        unused = [
            link
            for link, opened_at in self._opened_at_by_link.items()
            if link not in registered
            and now - opened_at > _REGISTRATION_TIMEOUT_S
        ]
        for link in (*unused, *self._processes.silent_links(now)):
            await curio.spawn(link.close, daemon=True)

    def _is_selected_as_watcher(self) -> bool:
        ids = [
            record.member_id for record in self._peers.members.zone_members()
        ]
        return self._settings['process_id'] in propagation.watchers(ids)


class _PushSchedule:
    """Limits how often the local processes get a view."""

    def __init__(self) -> None:
        self._version: tuple[int, ...] = ()
        self._pushed_at = float('-inf')

    def is_due(self, version: tuple[int, ...], now: float) -> bool:
        """Return whether to push now; records the push if so."""
        if version == self._version or now - self._pushed_at < PUSH_DELAY_S:
            return False
        self._version = version
        self._pushed_at = now
        return True


def _own_record(settings: Any) -> control_pb2.MemberRecord:
    host = settings['host']
    endpoint = settings.get('advertise', settings['control'])
    return control_pb2.MemberRecord(
        member_id=settings['process_id'],
        host_id=host['id'],
        region=host['region'],
        availability_zone=host['availability_zone'],
        address=endpoint['address'],
        port=endpoint['port'],
        # Higher than the incarnations of earlier runs, which are not stored.
        incarnation=int(time.time() * _MS_PER_S),
    )


def _listen(control: Any, kind: int) -> curio_io.Socket:
    family = socket.AF_INET6 if ':' in control['address'] else socket.AF_INET
    sock = curio_socket.socket(family, kind)
    try:
        if kind == socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((control['address'], control['port']))
        if kind == socket.SOCK_STREAM:
            sock.listen(_BACKLOG)
    except OSError:
        sock._socket.close()  # noqa: SLF001
        raise
    return sock
