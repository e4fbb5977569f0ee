"""One connection of an HTTP server, on curio and h11.

Owns the connection and the request in progress on it. Every bound on head,
body and time stands here. A malformed request gets a typed error and never
disturbs another connection; the listening is left to `webserver`.
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

from cardamomflow import errors, links, webhandler

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 262_144
HEAD_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
SEND_TIMEOUT_S = 10.0
_RECEIVE_BYTES = 65_536
_BODILESS = (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)


class Bounds(NamedTuple):
    """What a caller may send, and how slowly.

    Attributes
    ----------
    head_bytes, body_bytes : int
    head_timeout_s, body_timeout_s : float
        Time for the whole head, and for the whole body.
    idle_timeout_s : float
        Time without a request after which a connection is closed.
    """

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES
    head_timeout_s: float = HEAD_TIMEOUT_S
    body_timeout_s: float = BODY_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


class Owner(abc.ABC):
    """Server that a connection belongs to.

    Attributes
    ----------
    bounds : Bounds
        In force for the next request; may change.
    """

    bounds: Bounds = Bounds()

    @property
    @abc.abstractmethod
    def stopping(self) -> bool:
        """Whether responses announce the end of their connection."""

    @abc.abstractmethod
    def discard(self, connection: 'Connection') -> None:
        """Forget a connection."""


class Connection:
    """One caller's connection; serves its requests one after another."""

    def __init__(
        self,
        sock: curio_io.Socket,
        handler: webhandler.RequestHandler,
        server: Owner,
    ) -> None:
        """Take over an accepted socket."""
        self.busy = False
        self.handling = False
        self.task: curio.Task | None = None
        self._sock = sock
        self._handler = handler
        self._server = server
        self._input_ended = False
        self._is_first = True
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
        """End the connection, also in the middle of a request."""
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def abandon(self) -> None:
        """Cancel the request in progress, whose caller is gone.

        A caller that closes only its sending side counts as gone.
        """
        if self.handling and self.task is not None:
            await self.task.cancel(blocking=False)

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self._sock.fileno()

    def has_unread_input(self) -> bool:
        """Tell whether bytes of a request wait to be read."""
        return bool(self._protocol.trailing_data[0]) or links.has_unread_bytes(
            self._sock
        )

    async def process(self, request: webhandler.Request) -> webhandler.Response:
        """Return the response of the handler, whatever happens in it."""
        try:
            return await self._handler.handle(request)
        except errors.FlowError as error:
            failure = error
        except Exception as error:  # a fault of one request ends only it
            failure = errors.FlowError(f'internal error: {error!r}')
        self._handler.failed(failure)
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
            # Pipelined requests of one caller would never suspend this task.
            await curio.sleep(0)

    async def _serve_request(self) -> bool:
        """Serve one request; tell whether the connection may go on."""
        try:
            request = await self._read_request()
        except errors.FlowError as error:
            self._handler.failed(error)
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
            last=self._server.stopping,
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
        headers = {
            name.decode('latin-1'): content.decode('latin-1')
            for name, content in head.headers
        }
        return webhandler.Request(
            head.method.decode('latin-1'),
            head.target.decode('latin-1'),
            headers,
            body,
            head.headers,
            self._is_first,
        )

    async def _read_head(self) -> h11.Request | None:
        try:
            first = await curio.timeout_after(
                self._server.bounds.idle_timeout_s, self._next_byte
            )
        except curio.TaskTimeout:
            return None
        if not first:
            return None
        self.busy = True
        bounds = self._server.bounds
        event = await _read_within(
            bounds.head_timeout_s, 'head', self._next_event
        )
        if not isinstance(event, h11.Request):
            return None
        _check_head(event, bounds)
        return event

    async def _next_byte(self) -> bool:
        """Wait for the start of a request without a head timeout."""
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
                raise errors.BadRequest('the body ended early')
            body += event.data
            _check_body_size(len(body), self._server.bounds.body_bytes)

    async def _next_event(self) -> Any:
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                await self._sock.sendall(
                    self._protocol.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                )
            if self._input_ended or not await self._receive():
                raise errors.BadRequest('the request ended early')

    def _parse(self) -> Any:
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            large = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if error.error_status_hint == large:
                raise errors.HeadTooLarge(
                    f'the head is over {self._server.bounds.head_bytes} bytes'
                ) from error
            raise errors.BadRequest(f'malformed HTTP: {error}') from error

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
            self._handler.failed(failure)
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
        """Read what the caller still sends, so that it sees the response.

        Closing a socket with unread input resets the connection, which may
        discard the response on the caller's side.
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
    """Return a part of a request that has to be whole within a time."""
    try:
        return await curio.timeout_after(limit_s, read)
    except curio.TaskTimeout:
        raise errors.RequestTimeout(
            f'the {part} did not arrive within {limit_s:g} s'
        ) from None


def _check_head(head: h11.Request, bounds: Bounds) -> None:
    """Check what h11 does not: a head in one piece, and tunnels."""
    if head.method == b'CONNECT':
        raise errors.MethodNotAllowed('CONNECT is not supported')
    size = len(head.target) + sum(
        len(name) + len(content) for name, content in head.headers
    )
    if size > bounds.head_bytes:
        raise errors.HeadTooLarge(f'the head is over {bounds.head_bytes} bytes')
    # h11 has checked that the length is a number.
    _check_body_size(
        int(dict(head.headers).get(b'content-length', b'0')), bounds.body_bytes
    )


def _check_body_size(size: int, limit: int) -> None:
    if size > limit:
        raise errors.BodyTooLarge(f'the body is over {limit} bytes')
