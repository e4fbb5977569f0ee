"""Processor time of a host process for the calls of a query.

One real host process asks 87 services for each query, one query after the
other, over loopback. The backend servers answer raw bytes from this process, so
that only the host's time counts. Command: `python -m bench.run hostcalls`.
"""

import pathlib
import sys
import tempfile
from typing import Any

import curio
import psutil
import yaml
from curio import io as curio_io

from bench import result
from cardamomflow import links, webserver
from standins import users

SERVICES = 87
WARM_UP_QUERIES = 10
QUERIES = 150
# Aim for one call on a kept connection, with all of its kernel time.
MAX_CALL_US = 190.0
START_LIMIT_S = 30.0
_ADDRESS = '127.0.0.1'
_POLL_S = 0.05
_RECEIVE_BYTES = 65_536
_US_PER_S = 1e6
_TIMEOUT_MS = 10_000
_HEAD_END = b'\r\n\r\n'
_REQUEST = (
    b'GET /query/x HTTP/1.1\r\n'
    b'host: shop.example\r\n'
    b'x-request-id: r1\r\n'
    b'x-request-deadline: 9000\r\n\r\n'
)


class _RawBackend:
    """A backend server that sends the same answer to each request."""

    def __init__(self, number: int) -> None:
        self._listener = webserver.listen(_ADDRESS, 0)
        self.port: int = self._listener.getsockname()[1]
        body = number.to_bytes(16, 'big') * 12
        self._answer = (
            b'HTTP/1.1 200 OK\r\n'
            b'x-request-id: r1\r\n'
            b'x-response-seal: s%d.1\r\n'
            b'x-server-load: 1,0,2\r\n'
            b'content-length: %d\r\n\r\n%s' % (number, len(body), body)
        )

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        async with self._listener:
            while True:
                sock, _ = await self._listener.accept()
                links.set_no_delay(sock)
                await curio.spawn(self._answer_all, sock, daemon=True)

    async def _answer_all(self, sock: curio_io.Socket) -> None:
        async with sock:
            while await sock.recv(_RECEIVE_BYTES):
                await sock.sendall(self._answer)


class _World:
    """The store, the backend servers and the host process."""

    def __init__(self, folder: str) -> None:
        self._path = pathlib.Path(folder) / 'host.yaml'
        self._log = self._path.with_suffix('.log')
        self._store = users.Store()
        self.process: Any = None

    async def start(self) -> None:
        """Start everything; returns when the host knows all."""
        names = [f's{number}' for number in range(SERVICES)]
        for number, name in enumerate(names):
            backend = _RawBackend(number)
            await curio.spawn(backend.serve, daemon=True)
            self._store.put(
                f'servers/b{number}',
                users.backend_document(name, backend.port, slots=8),
            )
        route = users.route_document(
            'query',
            '/query/',
            gather=names,
            top_k=10,
            min_shard_ratio=1,
            timeout_ms=_TIMEOUT_MS,
            target_latency_ms=_TIMEOUT_MS,
        )
        self._store.put(
            'op/config', users.configuration_document(1, [route], names)
        )
        self._store.page_items = 2 * SERVICES
        server = webserver.WebServer(_ADDRESS, 0, self._store)
        await curio.spawn(server.serve, daemon=True)
        settings = users.host_settings(
            'host-1', 'z1', server.port, log={'level': 'error'}
        )
        self._path.write_text(yaml.safe_dump(settings))
        with self._log.open('wb') as log:
            self.process = psutil.Popen(
                (
                    sys.executable,
                    '-m',
                    'cardamomflow',
                    'host',
                    '--settings',
                    str(self._path),
                ),
                stdout=log,
            )

    async def port(self) -> int:
        """Return the port for callers, once the host is ready."""
        async with curio.timeout_after(START_LIMIT_S):
            ports = []
            while not ports:
                await curio.sleep(_POLL_S)
                ports = [
                    port
                    for port in self._listening_ports()
                    if await _serves_queries(port)
                ]
        return ports[0]

    def _listening_ports(self) -> list[int]:
        return [
            connection.laddr.port
            for connection in self.process.net_connections('tcp')
            if connection.status == psutil.CONN_LISTEN
        ]

    def cpu_s(self) -> float:
        """Return the processor time of the host so far."""
        return sum(self.process.cpu_times()[:2])

    def stop(self) -> None:
        """End the host."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


async def _serves_queries(port: int) -> bool:
    """Return whether a host serves a query at a port."""
    sock = await links.open_socket(_ADDRESS, port, START_LIMIT_S)
    async with sock:
        return (await _exchange(sock)).startswith(b'HTTP/1.1 200')


async def _exchange(sock: curio_io.Socket) -> bytes:
    """Send one query; return the first bytes of its answer."""
    await sock.sendall(_REQUEST)
    received = b''
    while _HEAD_END not in received:
        block = await sock.recv(_RECEIVE_BYTES)
        if not block:
            return received
        received += block
    return received


async def _measure(folder: str) -> float:
    """Return the processor time of a query in seconds."""
    world = _World(folder)
    try:
        await world.start()
        return await _measure_world(world)
    finally:
        world.stop()


async def _measure_world(world: _World) -> float:
    port = await world.port()
    sock = await links.open_socket(_ADDRESS, port, START_LIMIT_S)
    async with sock:
        for _ in range(WARM_UP_QUERIES):
            await _exchange(sock)
        before_s = world.cpu_s()
        for _ in range(QUERIES):
            await _exchange(sock)
        return (world.cpu_s() - before_s) / QUERIES


def run() -> list[result.Result]:
    """Measure the calls of one host."""
    with tempfile.TemporaryDirectory() as folder:
        query_s = curio.run(_measure, folder)
    return [
        result.Result(
            'host.call_us',
            query_s * _US_PER_S / SERVICES,
            'us of processor time a call on a kept connection',
            MAX_CALL_US,
            'at_most',
            f'{QUERIES} queries of {SERVICES} calls at one host process',
        ),
    ]
