"""Connections to backend servers in the platform's protocol.

Owns the connections, with at most one request on each. A connection whose
answer did not end cleanly, came unasked or belongs to another request is
closed and never used again.
"""

import abc
import http
import socket
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import curio
import h11
from curio import io as curio_io

from cardamomflow import (
    errors,
    limits,
    links,
    register,
    requeststate,
    webclient,
)
from cardamomflow.platform import wire

# A connection that was without use for longer may have fallen silent.
IDLE_LIMIT_S = 20.0
# The backend server closes an idle connection after the time that it tells;
# a request sent just before may cross the close.
IDLE_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 0.3
# An answer later than its deadline is not waited for this much longer.
OVERDUE_S = 0.2
SWEEP_INTERVAL_S = 0.1
MAX_BODY_BYTES = 16_777_216
# Bodies in progress of all connections. A host may have 200 MB, of which it
# uses about 60 MB without load.
MAX_BUFFERED_BYTES = 33_554_432
_RECEIVE_BYTES = 65_536
_MS = 1000
_LOAD_FIELDS = 3
# More digits are no time or load, and beyond 4,300 `int` raises an error.
_MAX_DIGITS = 9


class Message(NamedTuple):
    """A caller's request as backend servers get it.

    Attributes
    ----------
    method, target : bytes
    headers : list of (bytes, bytes)
        Without those that this host sets.
    body : bytes
    request_id : bytes
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    request_id: bytes


class Events(abc.ABC):
    """Takes how attempts end."""

    @abc.abstractmethod
    async def answered(
        self, attempt: requeststate.Attempt, reply: requeststate.Reply
    ) -> None:
        """Take a whole answer."""

    @abc.abstractmethod
    async def failed_attempt(
        self, attempt: requeststate.Attempt, outcome: limits.CallOutcome
    ) -> None:
        """Take the end of an attempt without a whole answer."""


class Transport:
    """Sends attempts to backend servers.

    Attributes
    ----------
    buffered_bytes : int
        Size of the bodies that are not complete yet.
    """

    def __init__(
        self,
        backends_by_id: Mapping[str, register.Backend],
        events: Events,
        clock: Callable[[], float],
    ) -> None:
        """Take where backend servers are and whom to tell."""
        self.buffered_bytes = 0
        self._backends_by_id = backends_by_id
        self._events = events
        self._clock = clock
        self._idle_by_id: dict[str, list[_Connection]] = {}
        self._busy: set[_Connection] = set()

    async def send(self, attempt: requeststate.Attempt) -> None:
        """Send an attempt on an idle or a new connection."""
        now = self._clock()
        idle = self._idle_by_id.get(attempt.backend_id, [])
        while idle:
            connection = idle.pop()
            if connection.usable_until > now:
                await self._start(connection, attempt)
                return
            await connection.close()
        await curio.spawn(self._connect_and_send, attempt, daemon=True)

    async def cancel(self, attempt: requeststate.Attempt) -> None:
        """Stop an attempt by closing its connection."""
        if attempt.connection is not None:
            await attempt.connection.close()

    async def accepts(
        self, backend: register.Backend, timeout_s: float
    ) -> bool:
        """Tell whether a backend server accepts a connection."""
        try:
            sock = await links.open_socket(
                backend.address, backend.port, timeout_s
            )
        except errors.ConnectFailed:
            return False
        await sock.close()
        return True

    async def close_idle(self, backend_id: str) -> None:
        """Close the idle connections to a backend server that left."""
        for connection in self._idle_by_id.pop(backend_id, ()):
            await connection.close()

    async def sweep(self) -> None:
        """Close connections with overdue answers, until cancelled."""
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            now = self._clock()
            overdue = [
                connection
                for connection in self._busy
                if connection.answer_until <= now
            ]
            for connection in overdue:
                await connection.close(limits.CallOutcome.TIMEOUT)

    async def close(self) -> None:
        """Close all connections; attempts end as cancelled."""
        for backend_id in list(self._idle_by_id):
            await self.close_idle(backend_id)
        for connection in list(self._busy):
            await connection.close()

    async def ended(
        self, connection: '_Connection', reply: requeststate.Reply
    ) -> None:
        """Take the answer of a connection and keep it if that is possible."""
        attempt = connection.attempt
        connection.attempt = None
        self._busy.discard(connection)
        if connection.usable_until > self._clock():
            kept = self._idle_by_id.setdefault(attempt.backend_id, [])
            kept.append(connection)
        await self._events.answered(attempt, reply)

    async def lost(
        self, connection: '_Connection', outcome: limits.CallOutcome
    ) -> None:
        """Forget a connection that ended."""
        self._busy.discard(connection)
        idle = self._idle_by_id.get(connection.backend_id, [])
        if connection in idle:
            idle.remove(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            await self._events.failed_attempt(attempt, outcome)

    async def _connect_and_send(self, attempt: requeststate.Attempt) -> None:
        backend = self._backends_by_id.get(attempt.backend_id)
        refused = limits.CallOutcome.REFUSED_CONNECTION
        if backend is None:
            await self._events.failed_attempt(attempt, refused)
            return
        try:
            sock = await links.open_socket(
                backend.address, backend.port, CONNECT_TIMEOUT_S
            )
        except errors.ConnectFailed:
            await self._events.failed_attempt(attempt, refused)
            return
        connection = _Connection(sock, backend, self, self._clock)
        if attempt.subrequest.is_settled:
            # Another attempt was faster; the connection serves the next one.
            self._idle_by_id.setdefault(backend.backend_id, []).append(
                connection
            )
            await self._events.failed_attempt(
                attempt, limits.CallOutcome.CANCELLED
            )
        else:
            await self._start(connection, attempt)
        await connection.run()

    async def _start(
        self, connection: '_Connection', attempt: requeststate.Attempt
    ) -> None:
        self._busy.add(connection)
        await connection.start(attempt)


class _Connection:
    """One connection to a backend server."""

    def __init__(
        self,
        sock: curio_io.Socket,
        backend: register.Backend,
        transport: Transport,
        clock: Callable[[], float],
    ) -> None:
        self.backend_id = backend.backend_id
        self.attempt: requeststate.Attempt | None = None
        self.usable_until = clock() + IDLE_LIMIT_S
        self.answer_until = float('inf')
        self._sock = sock
        self._transport = transport
        self._clock = clock
        self._protocol = h11.Connection(h11.CLIENT)
        self._status = 0
        self._headers: Sequence[tuple[bytes, bytes]] = ()
        self._headers_by_name: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._request_id = b''
        self._interim_answers = 0
        self._ended_as = limits.CallOutcome.FAILED
        self._closed = False

    async def start(self, attempt: requeststate.Attempt) -> None:
        """Send the request of an attempt."""
        self.attempt = attempt
        attempt.connection = self
        work = attempt.subrequest.work
        self.answer_until = work.deadline + OVERDUE_S
        self._request_id = work.message.request_id
        self._interim_answers = 0
        payload = self._serialize(work.message, work.deadline)
        attempt.sent = True
        try:
            await self._sock.sendall(payload)
        except OSError:
            await self.close(limits.CallOutcome.FAILED)

    async def run(self) -> None:
        """Read answers until the connection ends."""
        try:
            goes_on = True
            while goes_on:
                goes_on = await self._receive()
                if self.attempt is not None:
                    # A socket that always has bytes would never suspend this
                    # task.
                    await curio.sleep(0)
        except (OSError, h11.RemoteProtocolError, h11.LocalProtocolError):
            self._closed = True
        finally:
            await self._end()

    async def close(
        self, outcome: limits.CallOutcome = limits.CallOutcome.CANCELLED
    ) -> None:
        """End the connection; its reader then notices."""
        if self._closed:
            return
        self._closed = True
        self.usable_until = float('-inf')
        self._ended_as = outcome
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _serialize(self, message: Message, deadline: float) -> bytes:
        left_ms = max(1, int((deadline - self._clock()) * _MS))
        headers = [
            *message.headers,
            (wire.DEADLINE, b'%d' % left_ms),
            (wire.BACKEND_ID, self.backend_id.encode()),
        ]
        request = h11.Request(
            method=message.method, target=message.target, headers=headers
        )
        blocks = [self._protocol.send(request)]
        if message.body:
            blocks.append(self._protocol.send(h11.Data(data=message.body)))
        blocks.append(self._protocol.send(h11.EndOfMessage()))
        return b''.join(blocks)

    async def _receive(self) -> bool:
        received = await self._sock.recv(_RECEIVE_BYTES)
        if self.attempt is None:
            # The end of an idle connection, or bytes of no request.
            return False
        self._protocol.receive_data(received)
        event = self._protocol.next_event()
        while event is not h11.NEED_DATA:
            if not await self._take(event):
                return False
            if self.attempt is None:
                return True
            event = self._protocol.next_event()
        return bool(received)

    async def _take(self, event: Any) -> bool:
        """Take an event; tell whether the connection may be used on."""
        match event:
            case h11.InformationalResponse():
                self._interim_answers += 1
                return self._interim_answers <= webclient.MAX_INTERIM_RESPONSES
            case h11.Response():
                return self._take_head(event)
            case h11.Data():
                return self._keep(event.data)
            case h11.EndOfMessage():
                return await self._finish()
            case _:
                return False

    def _take_head(self, response: h11.Response) -> bool:
        """Tell whether a response is one to the request that waits.

        A success without the signature of a backend server is none of its
        answers, and one that holds several would name parts that are not
        there.
        """
        self._status = response.status_code
        self._headers = response.headers
        self._headers_by_name = dict(response.headers)
        named = self._headers_by_name.get(wire.REQUEST_ID)
        if named not in {None, self._request_id}:
            return False
        return not _is_success(self._status) or _is_signature(
            self._headers_by_name.get(wire.STAMP, b'')
        )

    def _keep(self, body: bytes) -> bool:
        """Keep a piece of the body; tell whether it may go on."""
        self._body += body
        self._transport.buffered_bytes += len(body)
        return (
            len(self._body) <= MAX_BODY_BYTES
            and self._transport.buffered_bytes <= MAX_BUFFERED_BYTES
        )

    def _take_body(self) -> bytes:
        body, self._body = bytes(self._body), bytearray()
        self._transport.buffered_bytes -= len(body)
        return body

    async def _finish(self) -> bool:
        body = self._take_body()
        keeps = webclient.prepare_for_reuse(self._protocol)
        now = self._clock()
        kept_s = _keep_alive_s(self._headers_by_name) if keeps else 0
        self.usable_until = now + kept_s
        self.answer_until = float('inf')
        await self._transport.ended(self, self._reply(body))
        return keeps

    def _reply(self, body: bytes) -> requeststate.Reply:
        found = self._headers_by_name
        stamp = found.get(wire.STAMP)
        misdirected = self._status == http.HTTPStatus.MISDIRECTED_REQUEST
        return requeststate.Reply(
            status=self._status,
            headers=[
                (name, content)
                for name, content in self._headers
                if name not in wire.CONNECTION_HEADERS
            ],
            body=body,
            stamp=None if stamp is None else stamp.decode('latin-1'),
            not_run=misdirected or wire.NOT_RUN in found,
            misdirected=misdirected,
            load=_load_of(found.get(wire.LOAD, b'')),
        )

    async def _end(self) -> None:
        self._closed = True
        self.usable_until = float('-inf')
        self._transport.buffered_bytes -= len(self._body)
        self._body.clear()
        await self._transport.lost(self, self._ended_as)
        await self._sock.close()


def _keep_alive_s(headers_by_name: Mapping[bytes, bytes]) -> float:
    """Return how long an idle connection may be used, in seconds."""
    for option in headers_by_name.get(b'keep-alive', b'').split(b','):
        name, _, limit = option.strip().partition(b'=')
        if name == b'timeout' and _is_number(limit):
            return min(IDLE_LIMIT_S, int(limit) - IDLE_MARGIN_S)
    return IDLE_LIMIT_S


def _load_of(report: bytes) -> requeststate.Load | None:
    numbers = report.split(b',')
    if len(numbers) != _LOAD_FIELDS:
        return None
    if not all(_is_number(number.strip()) for number in numbers):
        return None
    return requeststate.Load(*map(int, numbers))


def _is_number(text: bytes) -> bool:
    return text.isdigit() and len(text) <= _MAX_DIGITS


def _is_success(status: int) -> bool:
    return http.HTTPStatus.OK <= status < http.HTTPStatus.MULTIPLE_CHOICES


def _is_signature(text: bytes) -> bool:
    return text.isascii() and text.split() == [text] and b',' not in text
