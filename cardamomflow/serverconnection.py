"""One connection of an HTTP server, on curio and h11.

Owns the connection and its request in progress, and defines the limits on the
size of head and body and on time. A malformed request gets a typed error and
does not affect other connections. `webserver` accepts the connections.
"""

import abc
import http
import json
import socket
from typing import NamedTuple

import curio
import h11
from curio import io as curio_io

from cardamomflow import (
    errors,
    links,
    requesthead,
    requestreading,
    webhandler,
)
from cardamomflow.heldbytes import budget, guard, sizing

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 262_144
HEAD_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
# Time within which a caller must read some of a response.
SEND_TIMEOUT_S = 10.0
# Larger responses count as held until they are sent. Smaller ones are part of
# the memory that `sizing` assumes for a connection.
SMALL_RESPONSE_BYTES = 2048
# Time after which a caller may repeat a request that was refused for the bytes
# it holds.
MEMORY_RETRY_AFTER_S = 1.0
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


class Connection(budget.Holder, budget.PartCounter):
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
        self._is_first = True
        self._is_evicted = False
        self._is_closed = False
        self._reader = requestreading.RequestReader(
            sock, self, self._guard, lambda: server.bounds
        )

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            async with self._sock:
                await self._serve()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            return
        except curio.CancelledError as cancelled:
            # The task keeps the exception; its frames would keep the request.
            raise cancelled.with_traceback(None) from None
        finally:
            self.busy = False
            self._guard.close(self)
            self._server.discard(self)

    async def close(self) -> None:
        """Shut the connection down, even during a request.

        A request that has arrived meanwhile is not run: its answer could not
        be sent.
        """
        self._is_closed = True
        await self._shut_down(socket.SHUT_RDWR)

    async def evict(self, cause: budget.Cause) -> None:
        """Refuse the request that is being read, or close the connection.

        A request in progress ends as at its deadline: its response says
        whether it may have run.
        """
        del cause
        if self._is_evicted:
            await self.close()
            return
        self._is_evicted = True
        if self.handling:
            await self._end_request(guard.RequestEvicted)
            return
        if self.kind in {budget.Kind.IDLE, budget.Kind.ANSWER}:
            self.is_refusal_sent = True
            await self.close()
            return
        await self._reader.refuse(
            errors.MemoryShort(
                'the process holds too many unfinished requests',
                retry_after_s=MEMORY_RETRY_AFTER_S,
            )
        )
        # Wakes the task that reads the request.
        await self._shut_down(socket.SHUT_RD)

    async def count_parts(self) -> None:
        """Count the uncounted parts of the answer in progress."""
        await self._guard.count_parts(self)

    async def cancel_request(self) -> None:
        """Cancel the request in progress because its caller disconnected.

        A caller that closes only its sending side counts as disconnected.
        """
        await self._end_request(curio.TaskCancelled)

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._sock.fileno()

    def has_unread_input(self) -> bool:
        """Return whether bytes of a request have not been read yet."""
        return bool(
            self._reader.protocol.trailing_data[0]
        ) or links.has_unread_bytes(self._sock)

    async def process(self, request: webhandler.Request) -> webhandler.Response:
        """Return the response of the handler, or an error response."""
        try:
            return await self._handler.handle(request)
        except errors.FlowError as error:
            # With its traceback, the error and this frame would keep each
            # other, and the request, until the next garbage collection.
            failure = error.with_traceback(None)
        except guard.RequestEvicted:
            failure = errors.OutcomeUnknown('ended because memory is short')
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
            self._reader.protocol.start_next_cycle()
            self._is_first = False
            # Without this, a caller that pipelines requests would keep all
            # other tasks from running.
            await curio.sleep(0)

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        request = await self._read_or_refuse()
        if request is None:
            return False
        self.handling = True
        response = await self.process(request)
        self.handling = False
        payload = self._build_payload(
            response,
            last=self._is_evicted or self._server.closes_after_response,
            has_body=request.method != 'HEAD',
        )
        # The payload has a copy of the body. The bodies of the request and of
        # the response would stay until the caller has read everything.
        request = None
        if response.body and len(response.body) > SMALL_RESPONSE_BYTES:
            response = response._replace(body=b'')
        await self.transmit(payload, response)
        self._set_state(budget.Kind.IDLE)
        self.busy = False
        if self._reader.protocol.our_state is h11.DONE:
            return True
        await self._discard_input()
        return False

    async def _read_or_refuse(self) -> webhandler.Request | None:
        """Return the next request, or None if the connection ends."""
        try:
            return await self._read_request()
        except errors.FlowError as error:
            # The frames of the traceback have the body, which would stay
            # until the refusal is sent.
            failure = error.with_traceback(None)
        await self._refuse(failure)
        return None

    async def _refuse(self, failure: errors.FlowError) -> None:
        """Refuse a request that can't be read, and end the connection."""
        if isinstance(failure, errors.RequestTimeout):
            self._guard.record(self, budget.Cause.SLOW_REQUEST)
        self._handler.record_failure(failure)
        self._set_state(budget.Kind.IDLE)
        if not self._reader.is_output_cut:
            response = webhandler.error_response(failure)
            await self.transmit(
                self._build_payload(response, last=True), response
            )
            await self._discard_input()

    async def _read_request(self) -> webhandler.Request | None:
        if not await self._reader.wait_for_input():
            return None
        self.busy = True
        head = await self._reader.read_head()
        if head is None:
            return None
        body = await self._reader.read_body()
        self.progressed_at = self._guard.clock()
        await self._guard.hold(
            self,
            budget.Kind.REQUEST,
            sizing.REQUEST_BYTES
            + self._reader.head_bytes
            + self._reader.held_bytes
            + len(body),
        )
        self._reader.check_refused()
        if self._is_closed:
            return None
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

    def _set_state(self, kind: budget.Kind) -> None:
        """Record that the connection has progressed to another state."""
        self.progressed_at = self._guard.clock()
        self.was_sent = None
        if self.held_bytes or self.uncounted_bytes:
            self.uncounted_bytes = 0
            self._guard.budget.hold(self, kind, 0)
        self.kind = kind

    def _build_payload(
        self,
        response: webhandler.Response,
        *,
        last: bool,
        has_body: bool = True,
    ) -> bytes:
        status, body, headers = self._serialize(response)
        if last:
            headers.append(('connection', 'close'))
        blocks = [
            self._reader.protocol.send(
                h11.Response(status_code=int(status), headers=headers)
            )
        ]
        if has_body and body:
            blocks.append(self._reader.protocol.send(h11.Data(data=body)))
        blocks.append(self._reader.protocol.send(h11.EndOfMessage()))
        return b''.join(block for block in blocks if block)

    async def _transmit_large(self, payload: bytes) -> None:
        """Send a response that may wait for its reader."""
        self._set_state(budget.Kind.ANSWER)
        await self._guard.hold(
            self, budget.Kind.ANSWER, len(payload) + self._reader.held_bytes
        )
        started_at = self._guard.clock()
        sent_at = started_at
        sent_bytes = 0
        while sent_bytes < len(payload):
            rate = self._guard.limits.min_read_bytes_per_s
            allowed_s = SEND_TIMEOUT_S + sent_bytes / rate
            try:
                taken_bytes = await curio.timeout_after(
                    min(SEND_TIMEOUT_S, started_at + allowed_s - sent_at),
                    self._sock.send,
                    memoryview(payload)[sent_bytes:],
                )
            except curio.TaskTimeout:
                self._guard.record(self, budget.Cause.SLOW_READER)
                raise
            sent_bytes += taken_bytes
            sent_at = self._guard.clock()
            self.record_progress(sent_at, taken_bytes)

    async def _end_request(self, error: type[curio.TaskCancelled]) -> None:
        if self.handling and self.task is not None:
            await self.task.cancel(exc=error, blocking=False)

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
        self.is_refusal_sent = True
        linger_s = 0.5
        await self._sock.shutdown(socket.SHUT_WR)
        if self._reader.is_refused:
            # `evict` has shut down the input, whose end can't be seen.
            await curio.sleep(_EVICTED_LINGER_S)
            linger_s = 0
        async with curio.ignore_after(linger_s):
            await self._reader.discard_input()
