"""Cost of the hops: framing, HTTP exchanges, backend calls, merging.

All figures are processor time of this process, both ends included where a
socket is used, as the smallest of several rounds.
"""

import json
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11
from curio import io as curio_io
from h2 import config, connection, events

from bench import result
from cardamomflow import (
    coverage,
    frames,
    links,
    snapshots,
    webclient,
    webhandler,
    webserver,
)
from cardamomflow.generated import wire_pb2
from standins import backend

ROUNDS = 5
_US = 1_000_000
_PAYLOAD_BYTES = 200
_GRPC_PREFIX = struct.Struct('>BI')
# Section 1.5: 65,000 queries/s on 420 nodes; one core must suffice to merge.
MERGE_BOUND_US = 1_000_000 / (65_000 / 420)
_SHARDS = 280


def _processor_us(function: Callable[[], Any], repetitions: int) -> float:
    """Return microseconds for one call."""
    best = float('inf')
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(repetitions):
            function()
        best = min(best, time.process_time() - started)
    return best / repetitions * _US


async def _processor_us_async(
    repetitions: int, function: Callable[..., Awaitable[Any]], *arguments: Any
) -> float:
    best = float('inf')
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(repetitions):
            await function(*arguments)
        best = min(best, time.process_time() - started)
    return best / repetitions * _US


def _message() -> wire_pb2.Envelope:
    """Return a query of about 200 bytes."""
    query = wire_pb2.QueryRequest(
        attempt_id=7,
        request_id='request-0123456789',
        customer='serra',
        rank=wire_pb2.RANK_URGENT,
        budget_ms=300,
        query=b'{"text": "lot 4711", "limit": 10}',
        limit=10,
    )
    envelope = wire_pb2.Envelope(query=query)
    missing = _PAYLOAD_BYTES - envelope.ByteSize()
    envelope.query.query += b' ' * missing
    return envelope


class FrameExchange:
    """A unary exchange as length-prefixed frames, without sockets."""

    def __init__(self) -> None:
        self._message = _message()
        self._server = frames.FrameReader(wire_pb2.Envelope)
        self._client = frames.FrameReader(wire_pb2.Envelope)

    def __call__(self) -> None:
        (request,) = self._server.feed(frames.encode(self._message))
        list(self._client.feed(frames.encode(request)))


class GrpcExchange:
    """The same exchange as gRPC framing over h2, without sockets."""

    _request_headers = (
        (':method', 'POST'),
        (':scheme', 'http'),
        (':path', '/cardamomflow.wire.Hop/Query'),
        (':authority', '10.0.0.1:7000'),
        ('content-type', 'application/grpc'),
        ('te', 'trailers'),
    )
    _response_headers = (
        (':status', '200'),
        ('content-type', 'application/grpc'),
    )
    _trailers = (('grpc-status', '0'),)

    def __init__(self) -> None:
        self._message = _message()
        self._client = connection.H2Connection(
            config.H2Configuration(client_side=True)
        )
        self._server = connection.H2Connection(
            config.H2Configuration(client_side=False)
        )
        self._client.initiate_connection()
        self._server.initiate_connection()
        self._transfer()

    def __call__(self) -> None:
        stream = self._client.get_next_available_stream_id()
        self._client.send_headers(stream, self._request_headers)
        self._send(self._client, stream, end_stream=True)
        received = self._server.receive_data(self._client.data_to_send())
        self._read(self._server, received)
        self._server.send_headers(stream, self._response_headers)
        self._send(self._server, stream, end_stream=False)
        self._server.send_headers(stream, self._trailers, end_stream=True)
        received = self._client.receive_data(self._server.data_to_send())
        self._read(self._client, received)
        self._transfer()

    def _transfer(self) -> None:
        """Carry what is left, such as window updates."""
        self._client.receive_data(self._server.data_to_send())
        self._server.receive_data(self._client.data_to_send())
        self._client.receive_data(self._server.data_to_send())

    def _send(
        self, end: connection.H2Connection, stream: int, *, end_stream: bool
    ) -> None:
        body = self._message.SerializeToString()
        block = _GRPC_PREFIX.pack(0, len(body)) + body
        end.send_data(stream, block, end_stream=end_stream)

    def _read(
        self, end: connection.H2Connection, received: list[events.Event]
    ) -> None:
        for event in received:
            if isinstance(event, events.DataReceived):
                wire_pb2.Envelope.FromString(event.data[_GRPC_PREFIX.size :])
                end.acknowledge_received_data(
                    event.flow_controlled_length, event.stream_id
                )


class H11Exchange:
    """An HTTP/1.1 exchange of the same size, without sockets."""

    def __init__(self) -> None:
        self._body = b'a' * _PAYLOAD_BYTES
        self._client = h11.Connection(h11.CLIENT)
        self._server = h11.Connection(h11.SERVER)
        self._headers = [
            ('host', '10.0.0.1:7000'),
            ('content-type', 'application/json'),
            ('content-length', str(_PAYLOAD_BYTES)),
        ]

    def __call__(self) -> None:
        request = h11.Request(
            method='POST', target='/v1/query', headers=self._headers
        )
        response = h11.Response(status_code=200, headers=self._headers)
        self._carry(self._client, self._server, request)
        self._carry(self._server, self._client, response)
        self._client.start_next_cycle()
        self._server.start_next_cycle()

    def _carry(
        self, sender: h11.Connection, receiver: h11.Connection, head: Any
    ) -> None:
        blocks = (
            sender.send(head),
            sender.send(h11.Data(data=self._body)),
            sender.send(h11.EndOfMessage()),
        )
        receiver.receive_data(b''.join(block for block in blocks if block))
        event = receiver.next_event()
        while not isinstance(event, h11.EndOfMessage):
            event = receiver.next_event()


class _PongHandler(links.LinkHandler[wire_pb2.Envelope]):
    async def on_message(
        self, link: links.Link[wire_pb2.Envelope], message: wire_pb2.Envelope
    ) -> None:
        await link.post(message)

    async def on_closed(self, link: links.Link[wire_pb2.Envelope]) -> None:
        del link


class _WaitingHandler(_PongHandler):
    def __init__(self) -> None:
        self.arrived = curio.Event()

    async def on_message(
        self, link: links.Link[wire_pb2.Envelope], message: wire_pb2.Envelope
    ) -> None:
        del link, message
        await self.arrived.set()


async def _answer_bytes(listener: Any, answer: bytes) -> None:
    """Answer whatever comes with fixed bytes."""
    sock, _ = await listener.accept()
    async with sock:
        while await sock.recv(65_536):
            await sock.sendall(answer)


async def _exchange_bytes(sock: curio_io.Socket, request: bytes) -> None:
    await sock.sendall(request)
    await sock.recv(65_536)


async def _socket_round_trip_us() -> float:
    """Return the cost of 200 bytes there and back on curio sockets."""
    block = bytes(_PAYLOAD_BYTES)
    listener = webserver.listen('127.0.0.1', 0)
    async with listener:
        await curio.spawn(_answer_bytes, listener, block, daemon=True)
        port = listener.getsockname()[1]
        sock = await links.open_socket('127.0.0.1', port, 1.0)
        async with sock:
            return await _processor_us_async(2000, _exchange_bytes, sock, block)


async def _webclient_us() -> float:
    """Return the cost of an exchange with a peer that costs little."""
    answer = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'
    body = json.dumps({'text': 'a' * _PAYLOAD_BYTES}).encode()
    listener = webserver.listen('127.0.0.1', 0)
    async with listener:
        await curio.spawn(
            _answer_bytes, listener, answer % (len(body), body), daemon=True
        )
        port = listener.getsockname()[1]
        client = await webclient.connect('127.0.0.1', port)
        cost_us = await _processor_us_async(
            500, client.exchange, 'POST', '/', {'text': 'a' * _PAYLOAD_BYTES}
        )
        await client.close()
        return cost_us


class _FixedHandler(webhandler.RequestHandler):
    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        return webhandler.Response(200, request.json())


async def _webserver_us() -> float:
    """Return the cost of an exchange with a caller that costs little."""
    request = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n%s'
    body = json.dumps({'text': 'a' * _PAYLOAD_BYTES}).encode()
    server = webserver.WebServer('127.0.0.1', 0, _FixedHandler())
    await curio.spawn(server.serve, daemon=True)
    sock = await links.open_socket('127.0.0.1', server.port, 1.0)
    async with sock:
        return await _processor_us_async(
            500, _exchange_bytes, sock, request % (len(body), body)
        )


async def _exchange_message(
    link: links.Link[wire_pb2.Envelope],
    handler: _WaitingHandler,
    message: wire_pb2.Envelope,
) -> None:
    handler.arrived.clear()
    await link.post(message)
    await handler.arrived.wait()


async def _serve_link(listener: Any) -> None:
    sock, _ = await listener.accept()
    links.set_no_delay(sock)
    await links.Link(sock, wire_pb2.Envelope, _PongHandler()).run()


async def _link_round_trip_us() -> float:
    """Return the cost of a message there and back on links."""
    listener = webserver.listen('127.0.0.1', 0)
    async with listener:
        await curio.spawn(_serve_link, listener, daemon=True)
        port = listener.getsockname()[1]
        handler = _WaitingHandler()
        link = await links.connect(
            '127.0.0.1', port, wire_pb2.Envelope, handler
        )
        await curio.spawn(link.run, daemon=True)
        return await _processor_us_async(
            2000, _exchange_message, link, handler, _message()
        )


async def _call_backend(
    client: webclient.WebConnection, document: dict[str, Any]
) -> None:
    reply = await client.exchange('POST', '/v1/query', document)
    reply.json()


async def _backend_call_us(items: int) -> float:
    """Return the cost of a call of so many items, both ends included."""
    options = backend.BackendOptions(
        'a', 'desk', shards=tuple(range(items)), service_time_ms=0
    )
    server = backend.Backend(options._replace(item_time_ms=0)).server
    await curio.spawn(server.serve, daemon=True)
    client = await webclient.connect('127.0.0.1', server.port)
    query = {'text': 'lot 4711', 'limit': 10}
    document = {
        'index': 'desk',
        'version': 1,
        'map_revision': 1,
        'budget_ms': 10_000,
        'items': [
            {'attempt': f'a{shard}', 'shard': shard, 'query': query}
            for shard in range(items)
        ],
    }

    cost_us = await _processor_us_async(200, _call_backend, client, document)
    await client.close()
    return cost_us


class MergeOfAnswers:
    """Merge of the answers of 280 shards, ten rows each, at one hop."""

    def __init__(self) -> None:
        self._snapshot = snapshots.Snapshot('desk', 1, 1)
        self._shards = [
            snapshots.ShardKey('desk', number) for number in range(_SHARDS)
        ]
        self._rows = [
            backend.expected_rows('desk', 1, 'desk', number, 'lot 4711', 10)
            for number in range(_SHARDS)
        ]

    def __call__(self) -> None:
        account = coverage.Coverage(self._snapshot, self._shards, 10)
        for shard, rows in zip(self._shards, self._rows, strict=True):
            account.accept(self._snapshot, [shard], rows)
        account.rows()
        account.summary()


def _row_parsing_us() -> float:
    rows = backend.expected_rows('desk', 1, 'desk', 0, 'lot 4711', 10)
    body = json.dumps(rows)
    return _processor_us(lambda: json.loads(body), 2000)


def _figure(
    name: str, value: float, baseline: str, bound: float | None = None
) -> result.Result:
    return result.Result(name, value, 'us', bound, 'at_most', baseline)


def run() -> list[result.Result]:
    """Return the cost of each hop in microseconds of processor time."""
    grpc_us = _processor_us(GrpcExchange(), 500)
    frame_us = _processor_us(FrameExchange(), 5000)
    figures = [
        _figure('hops.grpc_exchange', grpc_us, 'gRPC framing over h2'),
        _figure(
            'hops.frame_exchange',
            frame_us,
            f'{grpc_us / frame_us:.0f} times less than gRPC framing',
            # Frames were chosen to cost less than gRPC framing.
            grpc_us,
        ),
        _figure(
            'hops.h11_exchange',
            _processor_us(H11Exchange(), 500),
            'h11 alone, both ends, no sockets',
        ),
        _figure(
            'hops.socket_round_trip',
            curio.run(_socket_round_trip_us),
            '200 bytes on curio sockets, both ends',
        ),
        _figure(
            'hops.link_round_trip',
            curio.run(_link_round_trip_us),
            'a 200-byte message on links, both ends',
        ),
        _figure(
            'hops.webclient_exchange',
            curio.run(_webclient_us),
            '200 bytes, against a peer that only answers bytes',
        ),
        _figure(
            'hops.webserver_exchange',
            curio.run(_webserver_us),
            '200 bytes, against a caller that only sends bytes',
        ),
        _figure('hops.parse_rows', _row_parsing_us(), 'JSON of ten rows'),
        _figure(
            'hops.merge_280_shards',
            _processor_us(MergeOfAnswers(), 50),
            'one core at 155 queries/s on a node',
            MERGE_BOUND_US,
        ),
    ]
    figures.extend(
        _figure(
            f'hops.backend_call_{items}_items',
            curio.run(_backend_call_us, items),
            'webclient and stand-in, both ends',
        )
        for items in (1, 4, 16)
    )
    return figures
