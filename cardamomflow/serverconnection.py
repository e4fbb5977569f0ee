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

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 262_144
HEAD_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
SEND_TIMEOUT_S = 10.0
_RECEIVE_BYTES = 65_536
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
    def closes_after_response(self) -> bool:
        """Whether each response closes its connection."""

    @abc.abstractmethod
    def discard(self, connection: 'Connection') -> None:
        """Remove a connection that has ended."""


class Connection:
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
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.bounds.head_bytes
        )

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            async with self._sock:
                await self._serve()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            return
        finally:
            self.busy = False
            self._server.discard(self)

    async def close(self) -> None:
        """Shut the connection down, even during a request."""
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

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
            self._handler.record_failure(error)
            if self._is_output_cut:
                return False
            await self._send(webhandler.error_response(error), last=True)
            await self._discard_input()
            return False
        if request is None:
            return False
        self.handling = True
        response = await self.process(request)
        self.handling = False
        await self._send(
            response,
            last=self._server.closes_after_response,
            has_body=request.method != 'HEAD',
        )
        self.busy = False
        if self._protocol.our_state is h11.DONE:
            return True
        await self._discard_input()
        return False

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
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise errors.BadRequest(
                    'the connection ended before the body was complete'
                )
            body += event.data
            requesthead.check_body_size(
                len(body), self._server.bounds.body_bytes
            )

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
            if self._input_ended or not await self._receive():
                raise errors.BadRequest(
                    'the connection ended before the request was complete'
                )

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
            # The text after the colon quotes the input, which may be a key.
            reason = str(error).partition(':')[0]
            raise errors.BadRequest(f'malformed HTTP: {reason}') from error

    async def _receive(self) -> bytes:
        received = await self._sock.recv(_RECEIVE_BYTES)
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
        await self.transmit(payload, response)

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
