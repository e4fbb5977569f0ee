"""Framed connections between processes on curio; owns sockets and buffers.

A link carries frames both ways. Frames posted in the same turn of the loop
leave in one send. Silence is found by ping and pong, see `liveness`; one task
checks all links that share a `LivenessChecks`.
"""

import abc
import select
import socket
import time
from typing import Any, Generic, TypeVar

import curio
from curio import io as curio_io
from google.protobuf import message as protobuf_message

from cardamomflow import errors, frames, liveness

_RECEIVE_BYTES = 262_144
# A peer that reads this slowly is treated as lost, to bound memory.
MAX_UNSENT_BYTES = 16_777_216
CONNECT_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0
_CHECK_INTERVAL_S = liveness.CHECK_INTERVAL_S
_FLUSH_POLL_S = 0.005

MessageT = TypeVar('MessageT', bound=protobuf_message.Message)


class LinkHandler(abc.ABC, Generic[MessageT]):
    """Receives what happens on a link.

    Attributes
    ----------
    checks : LivenessChecks or None
        Checks the links of this handler; None gives each link its own.
    """

    checks: 'LivenessChecks | None' = None

    @abc.abstractmethod
    async def received(self, link: 'Link[MessageT]', message: MessageT) -> None:
        """Handle one message; must not wait for other traffic."""

    @abc.abstractmethod
    async def closed(self, link: 'Link[MessageT]') -> None:
        """Handle the end of the link; called once."""

    def ping(self) -> MessageT | None:
        """Return the message that asks the peer for a sign of life."""
        return None

    def is_awaited(self, link: 'Link[MessageT]') -> bool:
        """Tell whether work waits for the peer of a link."""
        return False


class Link(Generic[MessageT]):
    """One framed connection."""

    def __init__(
        self,
        sock: curio_io.Socket,
        message_type: type[MessageT],
        handler: LinkHandler[MessageT],
    ) -> None:
        """Take over a connected socket."""
        self.is_open = True
        self._sock = sock
        self._reader = frames.FrameReader(message_type)
        self._handler = handler
        self._unsent = bytearray()
        self._wake = curio.Event()
        self._posted_bytes = 0
        self._flushed_bytes = 0
        self._timer = liveness.LivenessTimer(time.monotonic())
        self._checks = handler.checks or LivenessChecks()
        self._sent_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were posted and not yet taken by the system."""
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
            raise errors.ConnectFailed('the peer does not read')
        start = self._posted_bytes
        self._unsent += frame
        self._posted_bytes += len(frame)
        await self._wake.set()
        return start

    async def post_if_open(self, message: MessageT) -> None:
        """Queue a message; the end of a link is noticed by its own task.

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
        """Tell whether any byte of a posted message may have left."""
        return self._flushed_bytes > position

    def responsive(self, now: float) -> bool:
        """Tell whether the peer is not known to be silent.

        A peer that was not heard for long and was not asked meanwhile counts
        as responsive; `watch` asks it.
        """
        return self.is_open and self._timer.is_responsive(now)

    def take_peer_interval(self, interval_s: float) -> None:
        """Take the time after which the peer pings an idle link."""
        self._timer.peer_interval_s = interval_s

    async def watch(self) -> None:
        """Look after the peer from now on, since work waits for it.

        A peer that was not heard recently is pinged at once. The handler's
        `is_awaited` tells when the work has ended.
        """
        now = time.monotonic()
        self._timer.on_work_started()
        if self._timer.needs_ping(now):
            await self._ping(now)

    async def run(self) -> None:
        """Serve the link until it ends; never raises on peer failures."""
        self._timer = liveness.LivenessTimer(time.monotonic())
        writer = await curio.spawn(self._write, daemon=True)
        if self._handler.ping() is not None:
            await self._checks.add(self)
        try:
            await self._read()
        except (OSError, errors.FlowError):
            self.is_open = False
        finally:
            self.is_open = False
            self._checks.remove(self)
            # A task of its own: `run` may end because it is cancelled.
            await curio.spawn(self._release, writer, daemon=True)
            await self._handler.closed(self)

    async def close(self) -> None:
        """End the link after what was posted has been sent.

        A peer that does not read delays this by `CLOSE_TIMEOUT_S` at most.
        """
        async with curio.ignore_after(CLOSE_TIMEOUT_S):
            while self.is_open and self.unsent_bytes:
                await curio.sleep(_FLUSH_POLL_S)
        self.is_open = False
        # The peer answers the end of the stream with its own, which ends
        # `run`. Closing at once could discard what the peer has not read.
        await self._shut_down(socket.SHUT_WR)
        await curio.spawn(self._enforce_close, daemon=True)

    async def _enforce_close(self) -> None:
        await curio.sleep(CLOSE_TIMEOUT_S)
        await self._shut_down(socket.SHUT_RDWR)

    async def _abort(self) -> None:
        """End the link at once; wakes the reader and the writer."""
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
            received = await self._sock.recv(_RECEIVE_BYTES)
            if not received:
                return
            self._timer.record_received(time.monotonic())
            if self.is_open:
                await self._dispatch(received)
            # A socket that always has bytes would never suspend this task.
            await curio.sleep(0)

    async def _dispatch(self, received: bytes) -> None:
        for message in self._reader.feed(received):
            await self._handler.received(self, message)

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._flush()

    async def _flush(self) -> None:
        while self._unsent:
            block = bytes(self._unsent)
            self._unsent.clear()
            # Counted before the send: a partial send may already be read.
            self._flushed_bytes += len(block)
            try:
                await self._sock.sendall(block)
            except OSError:
                await self._abort()
                return
            self._sent_bytes += len(block)

    async def _apply(self, check: liveness.Action, now: float) -> None:
        if not self.is_open:
            return
        if has_unread_bytes(self._sock):
            self._timer.record_received(now)
        elif check is liveness.Action.CLOSE:
            await self._abort()
        else:
            await self._ping(now)

    async def _ping(self, now: float) -> None:
        ping = self._handler.ping()
        if ping is None:
            return
        self._timer.record_ping(now)
        try:
            await self.post(ping)
        except errors.ConnectFailed:
            return


class LivenessChecks:
    """Checks links in one task, which runs while there are any."""

    def __init__(self) -> None:
        """Start without links."""
        self._schedule = liveness.PingSchedule(time.monotonic())
        self._links_by_timer: dict[liveness.LivenessTimer, Link[Any]] = {}
        self._is_running = False

    @property
    def interval_s(self) -> float:
        """Time after which an idle link is pinged, in seconds."""
        return self._schedule.interval_s

    async def add(self, link: Link[Any]) -> None:
        """Check a link from now on."""
        self._schedule.add(link._timer, time.monotonic())
        self._links_by_timer[link._timer] = link
        if not self._is_running:
            self._is_running = True
            await curio.spawn(self._run, daemon=True)

    def remove(self, link: Link[Any]) -> None:
        """Check a link no more."""
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
        for timer, check in self._schedule.check(now, self._is_awaited):
            link = self._links_by_timer.get(timer)
            if link is not None:
                await link._apply(check, now)

    def _is_awaited(self, timer: liveness.LivenessTimer) -> bool:
        link = self._links_by_timer.get(timer)
        return link is not None and link._handler.is_awaited(link)


async def open_socket(
    address: str, port: int, timeout_s: float
) -> curio_io.Socket:
    """Connect to an IP address; resolves no names, which needs a thread.

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
    """Tell whether bytes of a peer that is still there wait to be read."""
    events = pending_events(sock, select.POLLIN | select.POLLRDHUP)
    return bool(events & select.POLLIN) and not events & select.POLLRDHUP


def pending_events(sock: Any, interests: int) -> int:
    """Return the events of `poll(2)` that a socket has now, 0 for none."""
    poller = select.poll()  # select() fails on descriptors over 1,023
    poller.register(sock.fileno(), interests)
    return dict(poller.poll(0)).get(sock.fileno(), 0)


def set_no_delay(sock: curio_io.Socket) -> None:
    """Send small frames at once instead of waiting for acknowledgements."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
