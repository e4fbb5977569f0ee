"""One connection of an HTTP server, on curio and h11.

Owns the connection and its request in progress, and defines the limits on the
size of head and body and on time. A malformed request gets a typed error and
does not affect other connections. `webserver` accepts the connections.
"""

import abc
import http
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio
import h11
from curio import io as curio_io

from cardamomflow import errors, links, requesthead, webhandler
from cardamomflow.heldbytes import budget, framing, guard, turns

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 262_144
HEAD_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
# Time within which a caller must read some of a response.
SEND_TIMEOUT_S = 10.0
# Rate at which a caller must read a response after that time. The slowest links
# of callers carry 80 times as much.
MIN_SEND_BYTES_PER_S = 16_384
# A response of this size fits in the send buffer of a socket, so that sending
# it rarely waits. Larger ones count as held until they are sent.
SMALL_RESPONSE_BYTES = 16_384
# Time after which a caller may repeat a request that was refused for the bytes
# it holds.
MEMORY_RETRY_AFTER_S = 1.0
# Smaller bodies are part of the memory that `sizing` assumes for a connection.
SMALL_BODY_BYTES = 2048
_RECEIVE_BYTES = 65_536
# Time for an evicted caller to read its refusal before the close.
_EVICTED_LINGER_S = 0.1
_BODILESS = (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)


class Bounds(NamedTuple):
    """Limits on the size of requests and on the time to receive them.

    Attributes
    ----------
    head_bytes, body_bytes : int
    head_timeout_s, body_timeout_s : float
        Maximum time to receive the complete head, and the complete body.
    idle_timeout_s : float
        A connection without a request for this long is closed.
    """

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES
    head_timeout_s: float = HEAD_TIMEOUT_S
    body_timeout_s: float = BODY_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


class Server(abc.ABC):
    """Server that a connection belongs to.

    Attributes
    ----------
    bounds : Bounds
        Limits for the next request; may change at run time.
    """

    bounds: Bounds = Bounds()

    @property
    @abc.abstractmethod
    def client_guard(self) -> guard.Guard:
        """Limits that the connections of the process share."""

    @property
    @abc.abstractmethod
    def closes_after_response(self) -> bool:
        """Whether each response closes its connection."""

    @abc.abstractmethod
    def discard(self, connection: 'Connection') -> None:
        """Remove a connection that has ended."""


class Connection(budget.Holder):
    """One caller's connection; serves its requests one after another.

    Attributes
    ----------
    busy : bool
        Whether a request is in progress, from its first byte to its response.
    handling : bool
        Whether the handler is running.
    task : curio.Task or None
        Task that runs `run`.
    """

    def __init__(
        self,
        sock: curio_io.Socket,
        handler: webhandler.RequestHandler,
        server: Server,
    ) -> None:
        """Create the connection of an accepted socket, which it closes."""
        self._guard = server.client_guard
        super().__init__(links.peer_address(sock), self._guard.clock())
        self.busy = False
        self.handling = False
        self.task: curio.Task | None = None
        self._sock = sock
        self._handler = handler
        self._server = server
        self._input_ended = False
        self._is_first = True
        # Whether an interim response may have been sent in part.
        self._is_output_cut = False
        # Why the request that is being read is refused.
        self._refusal: errors.FlowError | None = None
        self._body = bytearray()
        self._meter: framing.ChunkMeter | None = None
        self._turns = turns.Turns(self._guard.lane)
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.bounds.head_bytes
        )

    async def run(self) -> None:
        """Serve the connection until it ends."""
        self._guard.budget.open(self)
        try:
            async with self._sock:
                await self._serve()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            return
        finally:
            self.busy = False
            self._guard.budget.close(self)
            self._server.discard(self)

    async def close(self) -> None:
        """Shut the connection down, even during a request."""
        await self._shut_down(socket.SHUT_RDWR)

    async def evict(self, cause: budget.Cause) -> None:
        """Refuse the request that is being read, or close the connection.

        A request in progress is cancelled as if its caller had disconnected,
        without a response that would promise anything.
        """
        del cause
        if self.handling:
            await self.cancel_request()
            return
        is_reading = self.kind in {budget.Kind.HEAD, budget.Kind.BODY}
        if not is_reading or self._refusal is not None:
            await self.close()
            return
        self._refusal = errors.MemoryShort(
            'the process holds too many unfinished requests',
            retry_after_s=MEMORY_RETRY_AFTER_S,
        )
        self._body = bytearray()
        # Wakes the task that reads the request.
        await self._shut_down(socket.SHUT_RD)

    async def cancel_request(self) -> None:
        """Cancel the request in progress because its caller disconnected.

        A caller that closes only its sending side counts as disconnected.
        """
        if self.handling and self.task is not None:
            await self.task.cancel(blocking=False)

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._sock.fileno()

    def has_unread_input(self) -> bool:
        """Return whether bytes of a request have not been read yet."""
        return bool(self._protocol.trailing_data[0]) or links.has_unread_bytes(
            self._sock
        )

    async def process(self, request: webhandler.Request) -> webhandler.Response:
        """Return the response of the handler, or an error response."""
        try:
            return await self._handler.handle(request)
        except errors.FlowError as error:
            failure = error
        except Exception as error:  # fails only this request
            failure = errors.FlowError(f'internal error: {error!r}')
        self._handler.record_failure(failure)
        return webhandler.error_response(failure)

    async def transmit(
        self, payload: bytes, response: webhandler.Response
    ) -> None:
        """Send a serialized response."""
        del response
        if len(payload) > SMALL_RESPONSE_BYTES:
            await self._transmit_large(payload)
            return
        await curio.timeout_after(SEND_TIMEOUT_S, self._sock.sendall, payload)

    async def _serve(self) -> None:
        while await self._serve_request():
            self._protocol.start_next_cycle()
            self._is_first = False
            # Without this, a caller that pipelines requests would keep all
            # other tasks from running.
            await curio.sleep(0)

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            request = await self._read_request()
        except errors.FlowError as error:
            if isinstance(error, errors.RequestTimeout):
                self._guard.record(self, budget.Cause.SLOW_BODY)
            self._handler.record_failure(error)
            self._set_state(budget.Kind.IDLE)
            if self._is_output_cut:
                return False
            await self._send(webhandler.error_response(error), last=True)
            await self._discard_input()
            return False
        if request is None:
            return False
        await self._answer(request)
        self._set_state(budget.Kind.IDLE)
        self.busy = False
        if self._protocol.our_state is h11.DONE:
            return True
        await self._discard_input()
        return False

    async def _answer(self, request: webhandler.Request) -> None:
        self._set_state(budget.Kind.REQUEST)
        if len(request.body) > SMALL_BODY_BYTES:
            await self._hold(budget.Kind.REQUEST, len(request.body))
        self.handling = True
        response = await self.process(request)
        self.handling = False
        has_body = request.method != 'HEAD'
        # The request and its body are not needed while the response is sent.
        del request
        await self._send(
            response,
            last=self._server.closes_after_response,
            has_body=has_body,
        )

    async def _read_request(self) -> webhandler.Request | None:
        head = await self._read_head()
        if head is None:
            return None
        body = await _read_within(
            self._server.bounds.body_timeout_s, 'body', self._read_body
        )
        target = requesthead.parse_target(head.target.decode('latin-1'))
        raw_headers = head.headers
        if target.host is not None:
            raw_headers = requesthead.replace_host(raw_headers, target.host)
        headers = {
            name.decode('latin-1'): content.decode('latin-1')
            for name, content in raw_headers
        }
        return webhandler.Request(
            head.method.decode('latin-1'),
            target.path,
            headers,
            body,
            raw_headers,
            self._is_first,
            self,
        )

    async def _read_head(self) -> h11.Request | None:
        try:
            has_input = await curio.timeout_after(
                self._server.bounds.idle_timeout_s, self._wait_for_input
            )
        except curio.TaskTimeout:
            return None
        if not has_input:
            return None
        self.busy = True
        self.kind = budget.Kind.HEAD
        bounds = self._server.bounds
        event = await _read_within(
            bounds.head_timeout_s, 'head', self._next_head
        )
        if not isinstance(event, h11.Request):
            return None
        requesthead.check(event, bounds.head_bytes, bounds.body_bytes)
        return event

    async def _wait_for_input(self) -> bool:
        """Wait for the first bytes of a request; return whether they came.

        The head timeout does not apply yet.
        """
        if self._protocol.trailing_data[0]:
            return True
        return not self._input_ended and bool(await self._receive())

    async def _read_body(self) -> bytes:
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            return b''
        self._meter = framing.ChunkMeter()
        try:
            while not isinstance(event, h11.EndOfMessage):
                self._append_body(event)
                await self._turns.record_event()
                event = await self._next_event()
        finally:
            await self._turns.end_block()
            body, self._body = self._body, bytearray()
            self._meter = None
        return bytes(body)

    def _append_body(self, event: Any) -> None:
        if not isinstance(event, h11.Data):
            raise errors.BadRequest(
                'the connection ended before the body was complete'
            )
        self._body += event.data
        requesthead.check_body_size(
            len(self._body), self._server.bounds.body_bytes
        )
        try:
            self._meter.record(len(event.data))
        except errors.BodyFragmented:
            self._guard.record(self, budget.Cause.FRAMING)
            raise

    async def _next_head(self) -> Any:
        return await self._next_event(in_head=True)

    async def _next_event(self, *, in_head: bool = False) -> Any:
        while True:
            if in_head:
                requesthead.check_lines(self._protocol.trailing_data[0])
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                await self._send_continue()
            await self._turns.end_block()
            await self._hold_unfinished(in_head=in_head)
            if self._input_ended or not await self._receive():
                raise self._refusal or errors.BadRequest(
                    'the connection ended before the request was complete'
                )

    async def _hold_unfinished(self, *, in_head: bool) -> None:
        """Count what was received of a request that is not complete."""
        if in_head:
            size = len(self._protocol.trailing_data[0])
            await self._hold(budget.Kind.HEAD, size)
        else:
            await self._hold(budget.Kind.BODY, len(self._body))

    async def _hold(self, kind: budget.Kind, size: int) -> None:
        await self._guard.hold(self, kind, size)

    def _set_state(self, kind: budget.Kind) -> None:
        """Record that the connection has progressed to another state."""
        self.progressed_at = self._guard.clock()
        if self.held_bytes or self.uncounted_bytes:
            self.uncounted_bytes = 0
            self._guard.budget.hold(self, kind, 0)
        self.kind = kind

    async def _send_continue(self) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        self._is_output_cut = True
        await self._sock.sendall(self._protocol.send(interim))
        self._is_output_cut = False

    def _parse(self) -> Any:
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            large = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if error.error_status_hint == large:
                raise errors.HeadTooLarge(
                    f'the head exceeds {self._server.bounds.head_bytes} bytes'
                ) from error
            raise errors.BadRequest(f'malformed HTTP: {error}') from error

    async def _receive(self) -> bytes:
        received = await self._sock.recv(_RECEIVE_BYTES)
        if self._refusal is not None:
            raise self._refusal
        self.progressed_at = self._guard.clock()
        if self._meter is not None:
            self._meter.received_bytes += len(received)
        self._input_ended = not received
        self._protocol.receive_data(received)
        return received

    async def _send(
        self,
        response: webhandler.Response,
        *,
        last: bool,
        has_body: bool = True,
    ) -> None:
        status, body, headers = self._serialize(response)
        if last:
            headers.append(('connection', 'close'))
        blocks = [
            self._protocol.send(
                h11.Response(status_code=int(status), headers=headers)
            )
        ]
        if has_body and body:
            blocks.append(self._protocol.send(h11.Data(data=body)))
        blocks.append(self._protocol.send(h11.EndOfMessage()))
        payload = b''.join(block for block in blocks if block)
        if len(payload) > SMALL_RESPONSE_BYTES and response.body is not None:
            # The payload has a copy of the body.
            response = response._replace(body=b'')
        del body, blocks
        await self.transmit(payload, response)

    async def _transmit_large(self, payload: bytes) -> None:
        """Send a response that may wait for its reader."""
        self._set_state(budget.Kind.ANSWER)
        await self._hold(budget.Kind.ANSWER, len(payload))
        started_at = self._guard.clock()
        sent_bytes = 0
        while sent_bytes < len(payload):
            allowed_s = SEND_TIMEOUT_S + sent_bytes / MIN_SEND_BYTES_PER_S
            try:
                sent_bytes += await curio.timeout_after(
                    min(
                        SEND_TIMEOUT_S,
                        started_at + allowed_s - self.progressed_at,
                    ),
                    self._sock.send,
                    memoryview(payload)[sent_bytes:],
                )
            except curio.TaskTimeout:
                self._guard.record(self, budget.Cause.SLOW_READER)
                raise
            self.progressed_at = self._guard.clock()

    async def _shut_down(self, direction: int) -> None:
        try:
            await self._sock.shutdown(direction)
        except OSError:
            return

    def _serialize(
        self, response: webhandler.Response
    ) -> tuple[int, bytes, list[tuple[str, str]]]:
        if response.status in _BODILESS:
            return response.status, b'', list(response.headers)
        if response.body is not None:
            return (
                response.status,
                response.body,
                [
                    *response.headers,
                    ('content-length', str(len(response.body))),
                ],
            )
        try:
            body = json.dumps(response.document).encode()
        except (TypeError, ValueError) as error:
            failure = errors.FlowError(f'response not serializable: {error}')
            self._handler.record_failure(failure)
            return self._serialize(webhandler.error_response(failure))
        return (
            response.status,
            body,
            [
                ('content-type', 'application/json'),
                ('content-length', str(len(body))),
                *response.headers,
            ],
        )

    async def _discard_input(self) -> None:
        """Read and discard input before the close.

        Closing a socket with unread input resets the connection, and the
        caller may then lose the response.
        """
        linger_s = 0.5
        await self._sock.shutdown(socket.SHUT_WR)
        if self._refusal is not None:
            # `evict` has shut down the input, whose end can't be seen.
            await curio.sleep(_EVICTED_LINGER_S)
            linger_s = 0
        async with curio.ignore_after(linger_s):
            received = b'unread'
            while received:
                received = await self._sock.recv(_RECEIVE_BYTES)


async def _read_within(
    limit_s: float, part: str, read: Callable[[], Awaitable[Any]]
) -> Any:
    """Return a part of a request; raise `RequestTimeout` after the limit."""
    try:
        return await curio.timeout_after(limit_s, read)
    except curio.TaskTimeout:
        raise errors.RequestTimeout(
            f'the {part} did not arrive within {limit_s:g} s'
        ) from None
