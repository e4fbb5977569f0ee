"""Connections to backend servers in the platform's protocol.

Owns the connections, each with at most one request at a time. A connection is
closed and not reused after an incomplete answer, an unexpected one, or one to
another request.
"""

import abc
import http
import select
import socket
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import curio
import h11
from curio import io as curio_io

from cardamomflow import (
    bodybudget,
    directory,
    duplex,
    errors,
    limits,
    links,
    register,
    requeststate,
    routes,
    webclient,
)
from cardamomflow.heldbytes import budget
from cardamomflow.platform import replyheaders, wire

# A connection that was idle for longer may have become unresponsive without an
# error.
IDLE_LIMIT_S = 20.0
# The backend server closes an idle connection after its keep-alive timeout. A
# request sent just before that may arrive after the close.
IDLE_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 0.3
# Time after the deadline at which a connection without an answer is closed.
OVERDUE_GRACE_S = 0.2
# Time after the end of its request at which an attempt is cancelled. Most
# stragglers are answered before, which keeps their connections open.
STRAGGLER_GRACE_S = 0.35
SWEEP_INTERVAL_S = 0.1
MAX_BODY_BYTES = 16_777_216
# Limit for the body of a failure, which is only passed on.
MAX_FAILURE_BODY_BYTES = 262_144
_RECEIVE_BYTES = 65_536
# A larger body is sent in a call of its own instead of being copied.
_JOINED_BODY_BYTES = 16_384
# Blocks of a request before its body.
_HEAD_BLOCKS = 3
_MS = 1000
_LINE_END = b'\r\n'
_END_OF_MESSAGE = h11.EndOfMessage()


class Message(NamedTuple):
    """A caller's request in the form that is sent to backend servers.

    Attributes
    ----------
    method, target : bytes
    headers : list of (bytes, bytes)
        Without the headers that this host sets.
    body : bytes
    request_id : bytes
    part_counter : budget.PartCounter or None
        Counts the parts of the answer that wait for others.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    request_id: bytes
    part_counter: budget.PartCounter | None = None


def create_request_event(message: Message) -> h11.Request:
    """Return the start of the requests of a message.

    Raises
    ------
    errors.ProtocolViolation
        The message can't be sent as a request.
    """
    try:
        return h11.Request(
            method=message.method,
            target=message.target,
            headers=message.headers,
        )
    except h11.LocalProtocolError as error:
        reason = errors.describe_malformed(error)
        raise errors.ProtocolViolation(
            f'no request can have this head: {reason}'
        ) from None


class AttemptListener(abc.ABC):
    """Receives the results of attempts."""

    @abc.abstractmethod
    async def on_attempt_answered(
        self, attempt: requeststate.Attempt, reply: requeststate.Reply
    ) -> None:
        """Handle a complete answer."""

    @abc.abstractmethod
    async def on_attempt_failed(
        self, attempt: requeststate.Attempt, outcome: limits.CallOutcome
    ) -> None:
        """Handle an attempt that ended without a complete answer."""


class Transport:
    """Sends attempts to backend servers.

    Parameters
    ----------
    backends_by_id : mapping of str to register.Backend
        Current addresses of the backend servers.
    listener : AttemptListener
    clock : callable
        Returns monotonic time in seconds.
    may_keep : callable
        Takes a service and returns whether to keep an idle connection to its
        backend servers.
    body_budget : bodybudget.BodyBudget
        Limits the incomplete bodies of all connections.
    """

    def __init__(
        self,
        backends_by_id: Mapping[str, register.Backend],
        listener: AttemptListener,
        clock: Callable[[], float],
        may_keep: Callable[[str], bool],
        body_budget: bodybudget.BodyBudget[Any],
    ) -> None:
        self.body_budget = body_budget
        self._may_keep = may_keep
        self._backends_by_id = backends_by_id
        self._listener = listener
        self._clock = clock
        self._idle_by_id: dict[str, list[_Connection]] = {}
        self._busy: set[_Connection] = set()
        # The newest message, and the event that starts its requests.
        self._message: Message | None = None
        self._request_event: h11.Request

    def request_event(self, message: Message) -> h11.Request:
        """Return the start of the requests of a message.

        It is the same for all backend servers except for the headers that
        `_serialize` appends, and its validation takes most of the time.
        """
        if message is not self._message:
            self._request_event = create_request_event(message)
            self._message = message
        return self._request_event

    async def send(self, attempt: requeststate.Attempt) -> None:
        """Send an attempt on an idle or a new connection."""
        now = self._clock()
        idle = self._idle_by_id.get(attempt.backend_id, [])
        while idle:
            connection = idle.pop()
            if (
                connection.usable_until > now
                and not connection.has_unread_bytes()
            ):
                await self._send_on(connection, attempt)
                return
            await connection.close()
        await curio.spawn(self._connect_and_send, attempt, daemon=True)

    async def cancel(self, attempt: requeststate.Attempt) -> None:
        """Cancel an attempt by closing its connection."""
        if attempt.connection is not None:
            await attempt.connection.close()

    def cancel_after_grace(self, attempt: requeststate.Attempt) -> None:
        """Cancel an attempt of an ended request unless it is answered soon."""
        if attempt.connection is not None:
            attempt.connection.cancel_at(self._clock() + STRAGGLER_GRACE_S)

    async def can_connect(
        self, backend: register.Backend, timeout_s: float
    ) -> bool:
        """Return whether a backend server accepts a connection."""
        try:
            sock = await links.open_socket(
                backend.address, backend.port, timeout_s
            )
        except errors.ConnectFailed:
            return False
        await sock.close()
        return True

    async def close_idle(self, backend_id: str) -> None:
        """Close the idle connections to a backend server."""
        for connection in self._idle_by_id.pop(backend_id, ()):
            await connection.close()

    async def sweep(self) -> None:
        """Close connections with overdue or unneeded answers, in a loop."""
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            now = self._clock()
            overdue = [
                connection
                for connection in self._busy
                if connection.overdue_at <= now
            ]
            for connection in overdue:
                await connection.close(connection.overdue_outcome)

    async def close(self) -> None:
        """Close all connections; attempts end as cancelled."""
        for backend_id in list(self._idle_by_id):
            await self.close_idle(backend_id)
        for connection in list(self._busy):
            await connection.close()

    async def finish_attempt(
        self, connection: '_Connection', reply: requeststate.Reply
    ) -> None:
        """Report an answer and keep its connection if it is reusable."""
        attempt = connection.attempt
        connection.attempt = None
        self._busy.discard(connection)
        subrequest = attempt.subrequest
        may_keep = subrequest.work.is_delegated or self._may_keep(
            subrequest.service
        )
        if not may_keep:
            await connection.close()
        elif connection.usable_until > self._clock():
            idle = self._idle_by_id.setdefault(attempt.backend_id, [])
            idle.append(connection)
        counter = subrequest.work.message.part_counter
        if counter is not None and not subrequest.work.ended:
            counter.uncounted_bytes += len(reply.body)
            if counter.uncounted_bytes >= budget.PART_STEP_BYTES:
                await counter.count_parts()
        await self._listener.on_attempt_answered(attempt, reply)

    async def remove_connection(
        self, connection: '_Connection', outcome: limits.CallOutcome
    ) -> None:
        """Remove a closed connection and report its open attempt."""
        self._busy.discard(connection)
        idle = self._idle_by_id.get(connection.backend_id, [])
        if connection in idle:
            idle.remove(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            await self._listener.on_attempt_failed(attempt, outcome)

    async def _connect_and_send(self, attempt: requeststate.Attempt) -> None:
        backend = self._backends_by_id.get(attempt.backend_id)
        refused = limits.CallOutcome.REFUSED_CONNECTION
        if backend is None:
            await self._listener.on_attempt_failed(attempt, refused)
            return
        try:
            sock = await links.open_socket(
                backend.address, backend.port, CONNECT_TIMEOUT_S
            )
        except errors.ConnectFailed:
            await self._listener.on_attempt_failed(attempt, refused)
            return
        connection = _Connection(sock, backend, self, self._clock)
        if attempt.subrequest.is_settled:
            # The subrequest was settled while the connection was opened. The
            # connection is kept for a later attempt.
            self._idle_by_id.setdefault(backend.backend_id, []).append(
                connection
            )
            await self._listener.on_attempt_failed(
                attempt, limits.CallOutcome.CANCELLED
            )
        else:
            await self._send_on(connection, attempt)
        await connection.run()

    async def _send_on(
        self, connection: '_Connection', attempt: requeststate.Attempt
    ) -> None:
        if attempt.subrequest.work.ended:
            # The body of the request may have been released.
            self._idle_by_id.setdefault(connection.backend_id, []).append(
                connection
            )
            await self._listener.on_attempt_failed(
                attempt, limits.CallOutcome.CANCELLED
            )
            return
        counter = attempt.subrequest.work.message.part_counter
        if counter is not None:
            counter.was_sent = True
        self._busy.add(connection)
        await connection.send(attempt)


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
        self._leaving_notice = directory.LeavingNotice(
            backend.backend_id, backend.incarnation
        )
        self.attempt: requeststate.Attempt | None = None
        self.usable_until = clock() + IDLE_LIMIT_S
        self.overdue_at = float('inf')
        self.overdue_outcome = limits.CallOutcome.TIMEOUT
        self._sock = duplex.DuplexSocket(sock)
        self._poller = select.poll()
        self._poller.register(sock.fileno(), select.POLLIN)
        self._transport = transport
        self._clock = clock
        self._protocol = h11.Connection(h11.CLIENT)
        self._status = 0
        self._headers: Sequence[tuple[bytes, bytes]] = ()
        self._headers_by_name: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._request_id = b''
        # Whether answers on this connection name their request.
        self._echoes_ids = False
        self._interim_count = 0
        self._outcome = limits.CallOutcome.FAILED
        self._closed = False

    def has_unread_bytes(self) -> bool:
        """Return whether unexpected bytes or the end of the stream wait."""
        return bool(self._poller.poll(0))

    async def send(self, attempt: requeststate.Attempt) -> None:
        """Send the request of an attempt, without waiting for the peer."""
        self.attempt = attempt
        attempt.connection = self
        work = attempt.subrequest.work
        self.overdue_at = work.deadline + OVERDUE_GRACE_S
        self.overdue_outcome = limits.CallOutcome.TIMEOUT
        self._request_id = work.message.request_id
        self._interim_count = 0
        head, body = self._serialize(work.message, work.deadline)
        attempt.sent = True
        await self._sock.post(head)
        if body:
            await self._post_body(body)

    def cancel_at(self, due_at: float) -> None:
        """Cancel the attempt at a monotonic time, unless it is answered."""
        if due_at < self.overdue_at:
            self.overdue_at = due_at
            self.overdue_outcome = limits.CallOutcome.CANCELLED

    async def run(self) -> None:
        """Read answers until the connection is closed."""
        try:
            is_open = True
            while is_open:
                is_open = await self._receive()
                if self.attempt is not None:
                    # Lets other tasks run if the socket always has data.
                    await curio.sleep(0)
        except (OSError, h11.RemoteProtocolError, h11.LocalProtocolError):
            self._closed = True
        finally:
            await self._clean_up()

    async def close(
        self, outcome: limits.CallOutcome = limits.CallOutcome.CANCELLED
    ) -> None:
        """Shut the socket down, which ends `run`."""
        if self._closed:
            return
        self._closed = True
        self.usable_until = float('-inf')
        self._outcome = outcome
        await self._sock.shut_down(socket.SHUT_RDWR)

    async def _post_body(self, body: bytes) -> None:
        """Send a large body; what the peer does not take yet is counted."""
        await self._sock.post(body)
        if self._sock.has_unsent_bytes:
            await self._count(self._sock.unsent_bytes)

    async def _count(self, size: int) -> None:
        """Count bytes that are held for this backend server."""
        evicted = self._transport.body_budget.add(self.backend_id, self, size)
        for connection in evicted:
            await connection.close(limits.CallOutcome.FAILED)

    def _serialize(
        self, message: Message, deadline: float
    ) -> tuple[bytes, bytes]:
        """Return the request, and separately a large body.

        The attempts of a request share a large body.
        """
        remaining_ms = max(1, int((deadline - self._clock()) * _MS))
        head = self._protocol.send(self._transport.request_event(message))
        blocks = [
            head.removesuffix(_LINE_END),
            b'%s: %d\r\n' % (wire.DEADLINE, remaining_ms),
            b'%s: %s\r\n\r\n' % (wire.BACKEND_ID, self.backend_id.encode()),
        ]
        if message.body:
            blocks.append(self._protocol.send(h11.Data(data=message.body)))
        blocks.append(self._protocol.send(_END_OF_MESSAGE))
        if len(message.body) <= _JOINED_BODY_BYTES:
            return b''.join(blocks), b''
        return b''.join(blocks[:_HEAD_BLOCKS]), message.body

    async def _receive(self) -> bool:
        received = await self._sock.recv(_RECEIVE_BYTES)
        if self.attempt is None:
            # The peer closed an idle connection or sent unexpected data.
            return False
        self._protocol.receive_data(received)
        event = self._protocol.next_event()
        while event is not h11.NEED_DATA:
            if not await self._handle_event(event):
                return False
            if self.attempt is None:
                return True
            event = self._protocol.next_event()
        return bool(received)

    async def _handle_event(self, event: Any) -> bool:
        """Handle an event; return whether the connection stays open."""
        match event:
            case h11.InformationalResponse():
                self._interim_count += 1
                return self._interim_count <= webclient.MAX_INTERIM_RESPONSES
            case h11.Response():
                return self._handle_response(event)
            case h11.Data():
                return await self._append_body(event.data)
            case h11.EndOfMessage():
                return await self._finish_response()
            case _:
                return False

    def _handle_response(self, response: h11.Response) -> bool:
        """Return whether a response is valid for the current request.

        A successful response must have exactly one signature of a backend
        server. One without a signature does not come from a backend server,
        and several signatures would name parts that the body lacks.
        """
        if not webclient.is_valid_response(response):
            return False
        self._status = response.status_code
        self._headers = [
            (name.lower(), content)
            for name, content in response.headers.raw_items()
        ]
        self._headers_by_name = dict(self._headers)
        if wire.LENGTH_HEADERS <= self._headers_by_name.keys():
            # The end of the body would depend on the reader.
            return False
        echoed_id = self._headers_by_name.get(wire.REQUEST_ID)
        if echoed_id is None:
            # A late copy of an earlier answer may lack the id.
            if self._echoes_ids:
                return False
        elif echoed_id == self._request_id:
            self._echoes_ids = True
        else:
            return False
        return not _is_success(self._status) or replyheaders.is_signature(
            self._headers_by_name.get(wire.STAMP, b'')
        )

    async def _append_body(self, block: bytes) -> bool:
        """Append a block of the body; return whether it is within limits."""
        if self._closed:
            return False
        self._body += block
        limit_bytes = (
            MAX_BODY_BYTES
            if _is_success(self._status)
            else MAX_FAILURE_BODY_BYTES
        )
        if len(self._body) > limit_bytes:
            return False
        await self._count(len(block))
        return not self._closed

    def _pop_body(self) -> bytes:
        body, self._body = bytes(self._body), bytearray()
        self._transport.body_budget.release(self.backend_id, self)
        return body

    async def _finish_response(self) -> bool:
        if self._closed:
            # An answer without a length may end by the shutdown of this side.
            return False
        body = self._pop_body()
        # A peer that answers early takes what is sent next for the rest of the
        # request.
        is_reusable = (
            not self._sock.has_unsent_bytes
            and webclient.prepare_for_reuse(self._protocol)
        )
        now = self._clock()
        idle_s = replyheaders.keep_alive_s(self._headers_by_name)
        if is_reusable:
            self.usable_until = now + min(IDLE_LIMIT_S, idle_s - IDLE_MARGIN_S)
        else:
            self.usable_until = now
        self.overdue_at = float('inf')
        await self._transport.finish_attempt(self, self._build_reply(body))
        return is_reusable

    def _build_reply(self, body: bytes) -> requeststate.Reply:
        headers_by_name = self._headers_by_name
        stamp = headers_by_name.get(wire.STAMP)
        misdirected = self._status == http.HTTPStatus.MISDIRECTED_REQUEST
        notices = replyheaders.parse_notices(self._headers, headers_by_name)
        is_busy = self._status == http.HTTPStatus.SERVICE_UNAVAILABLE
        not_run = misdirected or wire.NOT_RUN in headers_by_name
        return requeststate.Reply(
            status=self._status,
            headers=self._headers_to_forward(
                self.attempt.subrequest.work.route
            ),
            body=body,
            stamp=None if stamp is None else stamp.decode('latin-1'),
            not_run=not_run,
            misdirected=misdirected,
            load=replyheaders.parse_load(headers_by_name.get(wire.LOAD, b'')),
            leaving=self._leaving_notice if notices.is_leaving else None,
            pause_s=notices.pause_s if is_busy else 0,
            invalid_headers=notices.invalid,
            may_be_passed_on=not_run
            or self._status not in wire.NOT_RUN_STATUSES,
            cold_s=replyheaders.parse_cold_s(headers_by_name),
        )

    def _headers_to_forward(
        self, route: routes.Route
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers for the caller; a part has none of its own."""
        if route.merges_answers:
            return []
        return [
            (name, content)
            for name, content in self._headers
            if name not in wire.CONNECTION_HEADERS
        ]

    async def _clean_up(self) -> None:
        self._closed = True
        self.usable_until = float('-inf')
        self._transport.body_budget.release(self.backend_id, self)
        self._body.clear()
        await self._transport.remove_connection(self, self._outcome)
        await self._sock.close()


def _is_success(status: int) -> bool:
    return http.HTTPStatus.OK <= status < http.HTTPStatus.MULTIPLE_CHOICES
