"""Framed connections between processes on curio; owns sockets and buffers.

A link carries frames both ways. Frames posted in the same turn of the loop
are sent in one call. Pings detect silent peers, see `liveness`; one task
checks all links that share a `LivenessChecker`.
"""

import abc
import select
import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Generic, TypeVar

import curio
from curio import io as curio_io
from google.protobuf import message as protobuf_message

from cardamomflow import errors, frames, liveness
from cardamomflow.heldbytes import budget, guard, sizing, turns

_RECEIVE_BYTES = 262_144
# Blocks of accepted links, which are many if the peers are no hosts.
_ACCEPTED_RECEIVE_BYTES = 65_536
# A link with more unsent bytes is closed, to bound memory when the peer reads
# too slowly.
MAX_UNSENT_BYTES = 16_777_216
CONNECT_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0
_CHECK_INTERVAL_S = liveness.CHECK_INTERVAL_S
_FLUSH_POLL_S = 0.005
# Messages of one received block that are handled in one turn of the loop.
_MESSAGES_IN_A_TURN = 64
# Smaller frames are part of the memory that `sizing` assumes for a connection.
_SMALL_BYTES = 1024

MessageT = TypeVar('MessageT', bound=protobuf_message.Message)


class LinkHandler(abc.ABC, Generic[MessageT]):
    """Receives the messages and the end of a link.

    Attributes
    ----------
    liveness_checker : LivenessChecker or None
        Checks the links of this handler; None gives each link its own.
    """

    liveness_checker: 'LivenessChecker | None' = None

    @abc.abstractmethod
    async def on_message(
        self, link: 'Link[MessageT]', message: MessageT
    ) -> None:
        """Handle one message; must not wait for further messages."""

    @abc.abstractmethod
    async def on_closed(self, link: 'Link[MessageT]') -> None:
        """Handle the end of the link; called once."""

    def make_ping(self) -> MessageT | None:
        """Return a new ping, or None if the links send no pings."""
        return None

    def has_outstanding_work(self, link: 'Link[MessageT]') -> bool:
        """Return whether requests to or from the peer are outstanding."""
        return False


class Link(budget.Holder, Generic[MessageT]):
    """One framed connection."""

    def __init__(
        self,
        sock: curio_io.Socket,
        message_type: type[MessageT],
        handler: LinkHandler[MessageT],
        client_guard: guard.Guard | None = None,
    ) -> None:
        """Create a link on a connected socket, which the link closes.

        Parameters
        ----------
        sock : curio.io.Socket
        message_type : type
        handler : LinkHandler
        client_guard : guard.Guard, optional
            Limits what the peer makes this process hold; for accepted links.
        """
        super().__init__(peer_address(sock), time.monotonic())
        self._guard = client_guard
        scheduler = turns.Scheduler()
        self._receive_bytes = _RECEIVE_BYTES
        if client_guard is not None:
            scheduler = client_guard.scheduler
            self._receive_bytes = _ACCEPTED_RECEIVE_BYTES
        self._turns = turns.Turns(scheduler)
        self.is_open = True
        self._sock = sock
        self._reader = frames.FrameReader(
            message_type, checks_fields=client_guard is not None
        )
        self._handler = handler
        self._unsent = bytearray()
        self._wake = curio.Event()
        self._posted_bytes = 0
        self._flushed_bytes = 0
        self._timer = liveness.LivenessTimer(time.monotonic())
        self._liveness_checker = handler.liveness_checker or LivenessChecker()
        self._sent_bytes = 0
        self._work_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Posted bytes that the operating system has not accepted yet."""
        return self._posted_bytes - self._sent_bytes

    async def post(self, message: MessageT) -> int:
        """Queue a message for sending.

        Returns
        -------
        int
            Position to pass to `was_written`.

        Raises
        ------
        errors.ConnectFailed
            The link is closed; nothing was sent.
        errors.FrameTooLarge
            The message is over the limit of a frame; nothing was sent.
        """
        if not self.is_open:
            raise errors.ConnectFailed('the link is closed')
        frame = frames.encode(message)
        if self.unsent_bytes + len(frame) > MAX_UNSENT_BYTES:
            await self._abort()
            raise errors.ConnectFailed('the peer reads too slowly')
        start = self._posted_bytes
        self._unsent += frame
        self._posted_bytes += len(frame)
        await self._wake.set()
        await self._count_held()
        return start

    async def post_if_open(self, message: MessageT) -> None:
        """Queue a message, or drop it if the link is closed.

        Raises
        ------
        errors.FrameTooLarge
            As for `post`.
        """
        try:
            await self.post(message)
        except errors.ConnectFailed:
            return

    def was_written(self, position: int) -> bool:
        """Return whether any byte of a posted message may have been sent.

        Parameters
        ----------
        position : int
            Result of `post`.
        """
        return self._flushed_bytes > position

    def is_responsive(self, now: float) -> bool:
        """Return whether the link is open and no ping is overdue.

        A silent peer counts as responsive until a ping to it is overdue;
        `monitor_peer` sends the ping.
        """
        return self.is_open and self._timer.is_responsive(now)

    def set_peer_interval(self, interval_s: float) -> None:
        """Set the time after which the peer pings an idle link."""
        self._timer.peer_interval_s = interval_s

    async def monitor_peer(self) -> None:
        """Check the peer at the short ping interval while work is outstanding.

        Pings at once if the last traffic is older than that interval. Ends
        when the handler's `has_outstanding_work` returns False.
        """
        now = time.monotonic()
        self._timer.on_work_started()
        if self._timer.needs_ping(now):
            await self._ping(now)

    async def run(self) -> None:
        """Read and write until the link ends; never raises on peer failures."""
        self._timer = liveness.LivenessTimer(time.monotonic())
        writer = await curio.spawn(self._write, daemon=True)
        if self._handler.make_ping() is not None:
            await self._liveness_checker.add(self)
        try:
            await self._read()
        except (OSError, errors.FlowError):
            self.is_open = False
        finally:
            self.is_open = False
            self._liveness_checker.remove(self)
            # In another task, since `run` may end by cancellation.
            await curio.spawn(self._release, writer, daemon=True)
            await self._handler.on_closed(self)

    async def evict(self, cause: budget.Cause) -> None:
        """Close the link at once."""
        del cause
        self.is_refusal_sent = True
        await self._abort()
        self._reader.clear()
        self._unsent.clear()

    async def close(self) -> None:
        """Close the link after all posted messages are sent.

        Waits for a peer that does not read for `CLOSE_TIMEOUT_S` at most.
        """
        async with curio.ignore_after(CLOSE_TIMEOUT_S):
            while self.is_open and self.unsent_bytes:
                await curio.sleep(_FLUSH_POLL_S)
        self.is_open = False
        # The peer then ends its stream too, which ends `run`. Closing the
        # socket at once could discard data that the peer has not read.
        await self._shut_down(socket.SHUT_WR)
        await curio.spawn(self._enforce_close, daemon=True)

    async def _enforce_close(self) -> None:
        await curio.sleep(CLOSE_TIMEOUT_S)
        await self._shut_down(socket.SHUT_RDWR)

    async def _abort(self) -> None:
        """Close the link at once; wakes the reader and the writer."""
        self.is_open = False
        await self._shut_down(socket.SHUT_RDWR)

    async def _release(self, writer: curio.Task) -> None:
        await writer.cancel()
        await self._sock.close()

    async def _shut_down(self, direction: int) -> None:
        try:
            await self._sock.shutdown(direction)
        except OSError:
            return

    async def _read(self) -> None:
        while True:
            received = await self._sock.recv(self._receive_bytes)
            if not received:
                return
            now = time.monotonic()
            self.record_progress(now, len(received))
            self._timer.record_received(now)
            if self.is_open:
                messages = self._reader.feed(received)
                # Without this, the block stays while the link waits for others.
                del received
                if not self._turns.start_block():
                    await self._wait_counted(self._turns.wait_for_block)
                await self._dispatch(messages)
            # Without this, a socket that always has bytes would never
            # suspend this task.
            await curio.sleep(0)

    async def _wait_counted(self, wait: Callable[[], Awaitable[None]]) -> None:
        """Wait for a turn for a received block, which counts meanwhile."""
        await self._count_held()
        self.waits_for_turn = True
        try:
            await wait()
        finally:
            self.waits_for_turn = False

    async def _dispatch(self, messages: Iterator[MessageT]) -> None:
        for number, message in enumerate(messages, 1):
            # Small messages with pauses in between are usual.
            self.progressed_at = time.monotonic()
            await self._handler.on_message(self, message)
            if not number % _MESSAGES_IN_A_TURN:
                await self._wait_counted(self._turns.wait_for_messages)
        await self._count_held()

    async def add_work(self, size: int) -> None:
        """Count bytes of requests of the peer; negative when they have ended.

        A peer that holds too much loses its link.
        """
        self._work_bytes += size
        await self._count_held()

    async def _count_held(self) -> None:
        """Count requests, and large frames that are incomplete or not sent."""
        if self._guard is None:
            return
        size = sizing.buffer_bytes(
            self._reader.buffered_bytes + self.unsent_bytes
        )
        size += self._work_bytes
        if self.held_bytes or size > _SMALL_BYTES:
            await self._guard.hold(self, budget.Kind.FRAME, size)

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._flush()

    async def _flush(self) -> None:
        while self._unsent:
            block = bytes(self._unsent)
            self._unsent.clear()
            # Count before the send: the peer may read a partial send.
            self._flushed_bytes += len(block)
            try:
                await self._sock.sendall(block)
            except OSError:
                await self._abort()
                return
            self._sent_bytes += len(block)
            await self._count_held()

    async def _apply_check(self, check: liveness.Action, now: float) -> None:
        if not self.is_open:
            return
        if has_unread_bytes(self._sock):
            self._timer.record_received(now)
        elif check is liveness.Action.CLOSE:
            await self._abort()
        else:
            await self._ping(now)

    async def _ping(self, now: float) -> None:
        ping = self._handler.make_ping()
        if ping is None:
            return
        self._timer.record_ping(now)
        try:
            await self.post(ping)
        except errors.ConnectFailed:
            return


class LivenessChecker:
    """Checks the liveness of links in one task, which runs while any exist."""

    def __init__(self) -> None:
        self._schedule = liveness.PingSchedule(time.monotonic())
        self._links_by_timer: dict[liveness.LivenessTimer, Link[Any]] = {}
        self._is_running = False

    @property
    def interval_s(self) -> float:
        """Time after which an idle link is pinged, in seconds."""
        return self._schedule.interval_s

    async def add(self, link: Link[Any]) -> None:
        """Start to check a link."""
        self._schedule.add(link._timer, time.monotonic())
        self._links_by_timer[link._timer] = link
        if not self._is_running:
            self._is_running = True
            await curio.spawn(self._run, daemon=True)

    def remove(self, link: Link[Any]) -> None:
        """Stop checking a link."""
        self._schedule.remove(link._timer)
        self._links_by_timer.pop(link._timer, None)

    async def _run(self) -> None:
        try:
            while self._links_by_timer:
                await curio.sleep(_CHECK_INTERVAL_S)
                await self._check(time.monotonic())
        finally:
            self._is_running = False

    async def _check(self, now: float) -> None:
        for timer, check in self._schedule.check(
            now, self._has_outstanding_work
        ):
            link = self._links_by_timer.get(timer)
            if link is not None:
                await link._apply_check(check, now)

    def _has_outstanding_work(self, timer: liveness.LivenessTimer) -> bool:
        link = self._links_by_timer.get(timer)
        return link is not None and link._handler.has_outstanding_work(link)


async def open_socket(
    address: str, port: int, timeout_s: float
) -> curio_io.Socket:
    """Connect to an IP address; host names would need a resolver thread.

    Raises
    ------
    errors.ConnectFailed
        No connection within `timeout_s`.
    """
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    sock = curio_io.Socket(socket.socket(family, socket.SOCK_STREAM))
    try:
        await curio.timeout_after(timeout_s, sock.connect, (address, port))
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise errors.ConnectFailed(
            f'no connection to {address}:{port}: {error}'
        ) from error
    except curio.CancelledError:
        await sock.close()
        raise
    set_no_delay(sock)
    return sock


async def connect(
    address: str,
    port: int,
    message_type: type[MessageT],
    handler: LinkHandler[MessageT],
) -> Link[MessageT]:
    """Open a link; the caller runs it.

    Raises
    ------
    errors.ConnectFailed
        No connection within `CONNECT_TIMEOUT_S`.
    """
    sock = await open_socket(address, port, CONNECT_TIMEOUT_S)
    return Link(sock, message_type, handler)


def has_unread_bytes(sock: curio_io.Socket) -> bool:
    """Return whether input is readable and the peer has not shut down."""
    events = pending_events(sock, select.POLLIN | select.POLLRDHUP)
    return bool(events & select.POLLIN) and not events & select.POLLRDHUP


def pending_events(sock: Any, interests: int) -> int:
    """Return the `poll(2)` events pending on a socket, 0 for none."""
    poller = select.poll()  # select() fails on descriptors over 1,023
    poller.register(sock.fileno(), interests)
    return dict(poller.poll(0)).get(sock.fileno(), 0)


def peer_address(sock: curio_io.Socket) -> str:
    """Return the address of the peer; empty once the socket has failed."""
    try:
        return str(sock.getpeername()[0])
    except (OSError, IndexError):
        return ''


def set_no_delay(sock: curio_io.Socket) -> None:
    """Send small frames at once instead of waiting for acknowledgements."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
