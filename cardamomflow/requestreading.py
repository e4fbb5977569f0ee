"""Reads the requests of one connection of an HTTP server, on curio and h11.

Owns the HTTP parser and what was received of the request in progress. All of it
counts towards the bytes that the process holds whenever the connection waits,
also while it waits for a turn of the event loop. `serverconnection` serves
the requests.
"""

import functools
import http
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11
from curio import io as curio_io

from cardamomflow import errors, requesthead
from cardamomflow.heldbytes import budget, framing, guard, sizing, turns

# Blocks to receive. Small ones where the parser may have to keep them: heads,
# behind which other requests may follow, and bodies in small chunks. What is
# not received yet stays in the buffers of the operating system.
_HEAD_RECEIVE_BYTES = 4096
_CHUNKS_RECEIVE_BYTES = 16_384
_BODY_RECEIVE_BYTES = 65_536


class RequestReader:
    """Reads the requests of one connection, one after another.

    Parameters
    ----------
    sock : curio.io.Socket
    holder : budget.Holder
        Connection that the received bytes belong to.
    client_guard : guard.Guard
    read_bounds : callable
        Returns the limits on requests, see `serverconnection.Bounds`.

    Attributes
    ----------
    protocol : h11.Connection
    is_output_cut : bool
        Whether an interim response may have been sent in part.
    """

    def __init__(
        self,
        sock: curio_io.Socket,
        holder: budget.Holder,
        client_guard: guard.Guard,
        read_bounds: Callable[[], Any],
    ) -> None:
        self.is_output_cut = False
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=read_bounds().head_bytes
        )
        self._sock = sock
        self._holder = holder
        self._guard = client_guard
        self._read_bounds = read_bounds
        self._input_ended = False
        self._refusal: errors.FlowError | None = None
        self._body = bytearray()
        self._head_pieces = 0
        self._meter: framing.ChunkMeter | None = None
        # Length that the head announces; None for chunks.
        self._body_length: int | None = 0
        self._head_bytes = 0
        self._turns = turns.Turns(client_guard.scheduler)

    @property
    def is_refused(self) -> bool:
        """Whether the request that is being read will be refused."""
        return self._refusal is not None

    @property
    def held_bytes(self) -> int:
        """Memory of what was received and not passed on yet."""
        unparsed_bytes = len(self.protocol.trailing_data[0])
        return sizing.buffer_bytes(unparsed_bytes) + sizing.buffer_bytes(
            len(self._body)
        )

    @property
    def head_bytes(self) -> int:
        """Memory of the head of the present request."""
        return self._head_bytes

    async def refuse(self, refusal: errors.FlowError) -> None:
        """Release what was received; the task that reads raises `refusal`."""
        self._refusal = refusal
        self._body = bytearray()
        # Only the refusal is sent with it, which closes the connection.
        self.protocol = h11.Connection(h11.SERVER)
        await self._turns.interrupt()

    def check_refused(self) -> None:
        """Raise the error with which the request is refused, if it is."""
        if self._refusal is not None:
            raise self._refusal

    async def wait_for_input(self) -> bool:
        """Wait for the first bytes of a request; return whether they came.

        Raises
        ------
        errors.MemoryShort
        """
        self._body_length = 0
        self._head_bytes = 0
        if not self.protocol.trailing_data[0]:
            if self._input_ended or not await self._receive_first():
                return False
        # The time between two requests is no lack of progress.
        self._holder.progressed_at = self._guard.clock()
        await self._wait_for_turn(budget.Kind.HEAD)
        return True

    async def _receive_first(self) -> bool:
        try:
            return await curio.timeout_after(
                self._read_bounds().idle_timeout_s,
                self._receive,
                _HEAD_RECEIVE_BYTES,
            )
        except curio.TaskTimeout:
            return False

    async def read_head(self) -> h11.Request | None:
        """Return the head of a request, or None at the end of the input.

        Raises
        ------
        errors.RequestTimeout, errors.BadRequest, errors.MemoryShort
        """
        bounds = self._read_bounds()
        self._head_pieces = 0
        event = await _read_within(
            bounds.head_timeout_s,
            'head',
            functools.partial(self._next_event, in_head=True),
        )
        if not isinstance(event, h11.Request):
            return None
        self._body_length = requesthead.check(
            event, bounds.head_bytes, bounds.body_bytes
        )
        self._head_bytes = sizing.head_bytes(event.headers)
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

    async def discard_input(self) -> None:
        """Receive and drop input up to the limit on bodies, or to its end."""
        for _ in range(
            0, self._read_bounds().body_bytes, _CHUNKS_RECEIVE_BYTES
        ):
            if not await self._sock.recv(_CHUNKS_RECEIVE_BYTES):
                return
            if not self._turns.start_block():
                await self._turns.wait_for_block()

    async def _collect_body(self) -> bytes:
        if self._append_body(await self._next_event()):
            return b''
        try:
            # No variable has the last event: it would keep a received block
            # for as long as the connection waits for the next one.
            while not self._append_body(await self._next_event()):
                if self._turns.record_event():
                    await self._wait_for_fragment()
        finally:
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

    async def _next_event(self, *, in_head: bool = False) -> Any:
        kind = budget.Kind.HEAD if in_head else budget.Kind.BODY
        while True:
            if in_head:
                requesthead.check_lines(self.protocol.trailing_data[0])
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            await self._prepare_to_wait(kind)
            size = self._receive_bytes(kind)
            if self._input_ended or not await self._receive(size):
                raise self._refusal or errors.BadRequest(
                    'the connection ended before the request was complete'
                )
            await self._wait_for_turn(kind)

    def _receive_bytes(self, kind: budget.Kind) -> int:
        """Return how much to receive next.

        A body of known length is received up to its end, and never a request
        behind it.
        """
        if kind is budget.Kind.HEAD:
            return _HEAD_RECEIVE_BYTES
        if self._body_length is not None:
            missing_bytes = self._body_length - len(self._body)
            return min(_BODY_RECEIVE_BYTES, max(1, missing_bytes))
        if self._turns.events_of_block > turns.EVENTS_IN_A_TURN:
            return _HEAD_RECEIVE_BYTES
        return _CHUNKS_RECEIVE_BYTES

    async def _prepare_to_wait(self, kind: budget.Kind) -> None:
        """Count what was received of a request that is not complete."""
        if self.protocol.they_are_waiting_for_100_continue:
            await self._send_continue()
        if kind is budget.Kind.HEAD:
            self._count_piece()
        await self._count(kind)
        await self._guard.settle()

    async def _count(self, kind: budget.Kind) -> None:
        await self._guard.hold(
            self._holder, kind, self.held_bytes + self._head_bytes
        )
        self.check_refused()

    async def _wait_for_turn(self, kind: budget.Kind) -> None:
        """Wait for a turn for a received block, which counts meanwhile."""
        self._holder.kind = kind
        if self._turns.start_block():
            return
        await self._wait_counted(kind, self._turns.wait_for_block)

    async def _wait_for_fragment(self) -> None:
        try:
            await self._wait_counted(
                budget.Kind.BODY, self._turns.wait_for_fragment
            )
        except errors.RequestFragmented:
            self._guard.record(self._holder, budget.Cause.FRAMING)
            raise

    async def _wait_counted(
        self, kind: budget.Kind, wait: Callable[[], Awaitable[None]]
    ) -> None:
        await self._count(kind)
        self._holder.waits_for_turn = True
        try:
            await wait()
        finally:
            self._holder.waits_for_turn = False
        self.check_refused()

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
        await self._sock.sendall(self.protocol.send(interim))
        self.is_output_cut = False

    def _parse(self) -> Any:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            large = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if error.error_status_hint == large:
                raise errors.HeadTooLarge(
                    f'the head exceeds {self._read_bounds().head_bytes} bytes'
                ) from error
            reason = errors.describe_malformed(error)
            raise errors.BadRequest(f'malformed HTTP: {reason}') from None

    async def _receive(self, limit: int) -> bool:
        """Receive a block; return whether there was any input.

        The block is in no variable of a caller: it would keep it for as long
        as the connection waits.
        """
        received = await self._sock.recv(limit)
        self.check_refused()
        self._holder.record_progress(self._guard.clock(), len(received))
        if self._meter is not None:
            self._meter.received_bytes += len(received)
        self._input_ended = not received
        self.protocol.receive_data(received)
        return not self._input_ended


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
