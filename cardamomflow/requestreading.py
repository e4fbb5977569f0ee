"""Reads the requests of one connection of an HTTP server, on curio and h11.

Owns what was received of the request in progress: it counts towards the bytes
that the process holds, and the connection hands over the event loop after a
bounded number of events. `serverconnection` serves the requests.
"""

import http
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11
from curio import io as curio_io

from cardamomflow import errors, requesthead
from cardamomflow.heldbytes import budget, framing, guard, turns

_RECEIVE_BYTES = 65_536


class RequestReader:
    """Reads the requests of one connection, one after another.

    Parameters
    ----------
    sock : curio.io.Socket
    protocol : h11.Connection
    holder : budget.Holder
        Connection that the received bytes belong to.
    client_guard : guard.Guard
    read_bounds : callable
        Returns the limits on requests, see `serverconnection.Bounds`.

    Attributes
    ----------
    is_output_cut : bool
        Whether an interim response may have been sent in part.
    """

    def __init__(
        self,
        sock: curio_io.Socket,
        protocol: h11.Connection,
        holder: budget.Holder,
        client_guard: guard.Guard,
        read_bounds: Callable[[], Any],
    ) -> None:
        self.is_output_cut = False
        self._sock = sock
        self._protocol = protocol
        self._holder = holder
        self._guard = client_guard
        self._read_bounds = read_bounds
        self._input_ended = False
        self._refusal: errors.FlowError | None = None
        self._body = bytearray()
        self._head_pieces = 0
        self._meter: framing.ChunkMeter | None = None
        self._turns = turns.Turns(client_guard.lane)

    @property
    def is_refused(self) -> bool:
        """Whether the request that is being read will be refused."""
        return self._refusal is not None

    def refuse(self, refusal: errors.FlowError) -> None:
        """Release what was received; the task that reads raises `refusal`."""
        self._refusal = refusal
        self._body = bytearray()

    def check_refused(self) -> None:
        """Raise the error with which the request is refused, if it is."""
        if self._refusal is not None:
            raise self._refusal

    async def wait_for_input(self) -> bool:
        """Wait for the first bytes of a request; return whether they came."""
        if self._protocol.trailing_data[0]:
            return True
        if self._input_ended:
            return False
        try:
            received = await curio.timeout_after(
                self._read_bounds().idle_timeout_s, self._receive
            )
        except curio.TaskTimeout:
            return False
        return bool(received)

    async def read_head(self) -> h11.Request | None:
        """Return the head of a request, or None at the end of the input.

        Raises
        ------
        errors.RequestTimeout, errors.BadRequest, errors.MemoryShort
        """
        bounds = self._read_bounds()
        self._head_pieces = 0
        event = await _read_within(
            bounds.head_timeout_s, 'head', self._next_head
        )
        if not isinstance(event, h11.Request):
            return None
        requesthead.check(event, bounds.head_bytes, bounds.body_bytes)
        return event

    async def read_body(self) -> bytes:
        """Return the body of the request whose head was read.

        Raises
        ------
        errors.RequestTimeout, errors.BadRequest, errors.MemoryShort
        """
        return await _read_within(
            self._read_bounds().body_timeout_s, 'body', self._collect_body
        )

    async def _collect_body(self) -> bytes:
        if self._append_body(await self._next_event()):
            return b''
        try:
            # No variable has the last event: it would keep a received block
            # for as long as the connection waits for the next one.
            while not self._append_body(await self._next_event()):
                await self._turns.record_event()
        finally:
            await self._turns.end_block()
            body, self._body = self._body, bytearray()
            self._meter = None
            self._guard.end_fragmented(self._holder)
        return bytes(body)

    def _append_body(self, event: Any) -> bool:
        """Append a block of the body; return whether the body is complete."""
        if isinstance(event, h11.EndOfMessage):
            return True
        if not isinstance(event, h11.Data):
            raise errors.BadRequest(
                'the connection ended before the body was complete'
            )
        self._body += event.data
        requesthead.check_body_size(
            len(self._body), self._read_bounds().body_bytes
        )
        if self._meter is None:
            self._meter = framing.ChunkMeter(
                self._guard.limits.framing_allowance_bytes
            )
        try:
            self._meter.record(len(event.data))
        except errors.RequestFragmented:
            if not self._guard.admit_fragmented(self._holder):
                self._guard.record(self._holder, budget.Cause.FRAMING)
                raise
            self._meter.is_tolerated = True
        return False

    async def _next_head(self) -> Any:
        return await self._next_event(in_head=True)

    async def _next_event(self, *, in_head: bool = False) -> Any:
        while True:
            if in_head:
                requesthead.check_lines(self._protocol.trailing_data[0])
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            await self._prepare_to_wait(in_head=in_head)
            if self._input_ended or not await self._receive():
                raise self._refusal or errors.BadRequest(
                    'the connection ended before the request was complete'
                )

    async def _prepare_to_wait(self, *, in_head: bool) -> None:
        """Count what was received of a request that is not complete."""
        if self._protocol.they_are_waiting_for_100_continue:
            await self._send_continue()
        await self._turns.end_block()
        if in_head:
            self._count_piece()
            size = len(self._protocol.trailing_data[0])
            await self._guard.hold(self._holder, budget.Kind.HEAD, size)
        else:
            size = len(self._body)
            await self._guard.hold(self._holder, budget.Kind.BODY, size)
        await self._guard.settle()

    def _count_piece(self) -> None:
        """Count a piece of a head, all of which is checked again each time."""
        self._head_pieces += 1
        limit = self._guard.limits.head_pieces
        if self._head_pieces > limit:
            self._guard.record(self._holder, budget.Cause.FRAMING)
            raise errors.RequestFragmented(
                f'the head came in more than {limit} pieces'
            )

    async def _send_continue(self) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        self.is_output_cut = True
        await self._sock.sendall(self._protocol.send(interim))
        self.is_output_cut = False

    def _parse(self) -> Any:
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            large = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if error.error_status_hint == large:
                raise errors.HeadTooLarge(
                    f'the head exceeds {self._read_bounds().head_bytes} bytes'
                ) from error
            # The text after the colon quotes the input, which may be a key.
            reason = str(error).partition(':')[0]
            raise errors.BadRequest(f'malformed HTTP: {reason}') from error

    async def _receive(self) -> bytes:
        received = await self._sock.recv(_RECEIVE_BYTES)
        self.check_refused()
        self._holder.progressed_at = self._guard.clock()
        if self._meter is not None:
            self._meter.received_bytes += len(received)
        self._input_ended = not received
        self._protocol.receive_data(received)
        return received


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
