"""Programs on a small machine beside crowds of clients that misbehave.

Each test starts one real process with the limits of a small machine and lets a
crowd of clients fill it. It checks that the process lives, that its memory and
its open descriptors stay within the machine, and that one ordinary request is
answered beside the crowd. The checks do not depend on the speed of the machine.
"""

# Bytes on the wire are joined from parts.
# flake8: noqa: WPS336

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

import curio
import h11
import psutil
import yaml
from curio import io as curio_io

from cardamomflow import webhandler, webserver
from standins import users
from tests import hostworld, loops

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The machine of the tests. An idle host process has 45 MB.
MEMORY_MB = 96
MAX_DESCRIPTORS = 1024
MAX_BODY_BYTES = 262_144
# Bodies of the crowd have 105 MB together.
CROWD = 400
PIECE_BYTES = 32_768
TINY_CHUNK_CROWD = 30
TINY_CHUNKS = 24_000
ANSWER_BYTES = 300_000
HEAD_BYTES = 15_000
PIPELINED = 200
PIPELINE_CROWD = 60
PEER_CROWD = 30
PEER_FRAME_BYTES = 4_194_304
IDLE_CROWD = 400
IDLE_MAX_DESCRIPTORS = 256
# An entry process has fixed limits: its bound is that of the smallest machine
# of the users.
ENTRY_MEMORY_MB = 128
START_LIMIT_S = 20.0
TIME_LIMIT_S = 60.0
# Time for the crowd to send what the process takes.
CROWD_LIMIT_S = 20.0
# Requests that a busy test machine may answer late, but not never.
REQUEST_LIMIT_MS = 15_000
# Variable of the environment with which the tests print what they measure.
SHOW_FIGURES = 'SHOW_FIGURES'
# More than the server may take from one connection in a turn of the loop.
MAX_EVENTS_IN_A_TURN = 100
_SMALL_BUFFER = 4096
_KB = 1024
_BODY = b'x' * MAX_BODY_BYTES
_RECORDS = b'r' * ANSWER_BYTES


def _head(target, *lines, request_id=b'crowd'):
    return b'\r\n'.join(
        (
            b'%s HTTP/1.1' % target,
            b'host: shop.example',
            b'x-request-id: %s' % request_id,
            b'x-request-deadline: %d' % REQUEST_LIMIT_MS,
            *lines,
            b'',
            b'',
        )
    )


_LENGTH_HEAD = _head(b'POST /payment/x', b'content-length: %d' % MAX_BODY_BYTES)
_CHUNKED_HEAD = _head(b'POST /payment/x', b'transfer-encoding: chunked')
_GET = _head(b'GET /statement/x')


def _chunk(size):
    return b'%x\r\n%s\r\n' % (size, b'x' * size)


class Crowd:
    """Connections that send and then stay open without reading."""

    def __init__(self, port):
        self._port = port
        self.sockets = []
        self._tasks = []

    async def add(self, count, *blocks):
        """Open connections; each sends the blocks, with others in between."""
        for _ in range(count):
            self._tasks.append(await curio.spawn(self._send, blocks))

    async def wait(self):
        """Wait until all have sent what the process takes."""
        async with curio.ignore_after(CROWD_LIMIT_S):
            for task in self._tasks:
                await task.join()

    async def close(self):
        for task in self._tasks:
            await task.cancel()
        for sock in self.sockets:
            await sock.close()

    async def _send(self, blocks):
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
        sock = curio_io.Socket(raw)
        self.sockets.append(sock)
        try:
            await sock.connect(('127.0.0.1', self._port))
            for block in blocks:
                await sock.sendall(block)
                await curio.sleep(0)
        except OSError:
            return


class _ProcessWorld:
    """Reads the figures of one process; its subclasses start it."""

    process = None

    def status_kb(self, name):
        """Return a figure of the memory of the process in KB."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        (line,) = [
            line for line in status.splitlines() if line.startswith(name)
        ]
        return int(line.split()[1])

    def descriptors(self):
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def listening_ports(self):
        process = psutil.Process(self.process.pid)
        return {
            connection.laddr.port
            for connection in process.net_connections('tcp')
            if connection.status == psutil.CONN_LISTEN
        }

    def start_program(self, program, settings):
        self._folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self._folder.name) / 'settings.yaml'
        path.write_text(yaml.safe_dump(settings))
        self.log = path.with_suffix('.log')
        with self.log.open('wb') as log:
            self.process = subprocess.Popen(
                (
                    sys.executable,
                    '-m',
                    'cardamomflow',
                    program,
                    '--settings',
                    path,
                ),
                cwd=ROOT,
                stdout=log,
            )

    def end_program(self):
        if self.process is not None:
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()
            self._folder.cleanup()

    def port_of(self, event, field='port'):
        """Return the port that a log line of the start names, or None."""
        for line in self.log.read_text().splitlines():
            if line.endswith('}') and f'"event": "{event}"' in line:
                return yaml.safe_load(line)[field]
        return None


class HostProcess(_ProcessWorld, hostworld.HostWorld):
    """A host process on a small machine, and its stand-ins in this process."""

    max_body_bytes = MAX_BODY_BYTES
    max_descriptors = MAX_DESCRIPTORS
    memory_mb = MEMORY_MB
    service_names = ('a',)

    def __init__(self):
        super().__init__(services=self.service_names, replicas=4)

    async def start_host(self, store_port):
        self.start_program(
            'host',
            users.host_settings(
                'host-1',
                'z1',
                store_port,
                memory_mb=self.memory_mb,
                max_descriptors=self.max_descriptors,
                metrics='127.0.0.1:0',
                peers='127.0.0.1:0',
            ),
        )
        await loops.until(lambda: self.port_of('started'), START_LIMIT_S)
        self.callers_port = self.port_of('started')
        self.ready_port = self.port_of('started', 'readiness_port')
        self.metrics_port = self.port_of('metrics served')
        (self.peers_port,) = self.listening_ports() - {
            self.callers_port,
            self.ready_port,
            self.metrics_port,
        }
        await loops.until(
            lambda: self.port_of('backend server changed', 'backend_id'),
            START_LIMIT_S,
        )

    async def stop_host(self):
        self.end_program()

    def publish(self, version, prefix='/lookup/'):
        routes = [
            users.route_document(
                name, target, service='a', timeout_ms=REQUEST_LIMIT_MS, **kind
            )
            for name, target, kind in (
                ('statement', '/statement/', {}),
                ('payment', '/payment/', {'route_type': 'unsafe'}),
            )
        ]
        self.store.put(
            'op/config',
            users.configuration_document(
                version, routes, ['a'], max_body_bytes=self.max_body_bytes
            ),
        )

    async def ask(self):
        """Return the status of one ordinary request."""
        answer = await self.send_request(
            '/statement/x', deadline_ms=REQUEST_LIMIT_MS, request_id='ordinary'
        )
        return answer.status


class FewDescriptorsHost(HostProcess):
    """A host process that may open few descriptors."""

    max_descriptors = IDLE_MAX_DESCRIPTORS


class EntryProcess(_ProcessWorld):
    """An entry process without agent, which answers for its status only."""

    # Further settings.
    limits = {}

    async def __aenter__(self):
        settings = {
            'process_id': 'entry-1',
            'host': {'id': 'h1', 'region': 'r', 'availability_zone': 'z1'},
            'listen': {'address': '127.0.0.1', 'port': 0},
            # Nothing listens there.
            'agent': {'address': '127.0.0.1', 'port': 1},
            **self.limits,
        }
        self.start_program('entry', settings)
        await loops.until(lambda: self.port_of('started'), START_LIMIT_S)
        self.callers_port = self.port_of('started')
        return self

    async def __aexit__(self, *_):
        self.end_program()

    async def ask(self):
        """Return the status of one ordinary request."""
        async with loops.Caller(self.callers_port) as caller:
            await caller.send(b'GET /v1/status HTTP/1.1\r\nhost: x\r\n\r\n')
            answer = await caller.read_until(b'}')
        return int(answer.split()[1])


class _CrowdTest(unittest.TestCase):
    """Checks a process beside a crowd."""

    world_type = HostProcess
    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def check(self, fill, choose_port=None):
        """Fill a process and check what it holds and answers.

        Parameters
        ----------
        fill : callable
            Takes the world and a crowd; opens the connections.
        choose_port : callable, optional
            Takes the world and returns the port of the crowd; the port of
            callers by default.
        """

        async def scenario():
            async with self.world_type() as world:
                self.assertEqual(await world.ask(), 200)
                port = choose_port(world) if choose_port else world.callers_port
                crowd = Crowd(port)
                try:
                    await fill(world, crowd)
                    await crowd.wait()
                    self.check_process(world, await world.ask())
                finally:
                    await crowd.close()

        curio.run(curio.timeout_after, TIME_LIMIT_S, scenario)

    def check_process(self, world, status):
        self.assertIsNone(world.process.poll(), 'the process ended')
        peak_mb = world.status_kb('VmHWM') / _KB
        descriptors = world.descriptors()
        if SHOW_FIGURES in os.environ:
            sys.stdout.write(f'{peak_mb:.0f} MB, {descriptors} open; ')
        self.assertLess(peak_mb, self.memory_mb)
        self.assertLess(descriptors, self.max_descriptors)
        self.assertEqual(status, 200)


class BodiesTest(_CrowdTest):
    """Many large bodies at once."""

    def test_whole_bodies_without_their_last_byte(self):
        """Guards against memory without bound for bodies sent whole."""

        async def fill(_, crowd):
            await crowd.add(CROWD, _LENGTH_HEAD + _BODY[:-1])

        self.check(fill)

    def test_bodies_in_pieces_without_their_last_byte(self):
        """Guards against memory without bound for bodies sent in pieces."""
        pieces = [_BODY[:PIECE_BYTES]] * (MAX_BODY_BYTES // PIECE_BYTES)

        async def fill(_, crowd):
            await crowd.add(CROWD, _LENGTH_HEAD, *pieces[:-1], pieces[-1][:-1])

        self.check(fill)

    def test_whole_requests_behind_slow_backend_servers(self):
        """Guards against memory without bound for queued requests."""

        async def fill(world, crowd):
            for backend in world.backends_by_id.values():
                backend.pause_s = 0.2
            await crowd.add(CROWD, _LENGTH_HEAD + _BODY)
            await crowd.wait()
            for backend in world.backends_by_id.values():
                backend.pause_s = 0

        self.check(fill)

    def test_large_chunks_without_an_end(self):
        """Guards against memory without bound for chunked bodies."""
        chunks = [_chunk(PIECE_BYTES)] * (MAX_BODY_BYTES // PIECE_BYTES - 1)

        async def fill(_, crowd):
            await crowd.add(CROWD, _CHUNKED_HEAD, *chunks)

        self.check(fill)

    def test_tiny_chunks_without_an_end(self):
        """Guards against an event loop that only parses tiny chunks."""
        chunks = _chunk(1) * TINY_CHUNKS

        async def fill(_, crowd):
            await crowd.add(TINY_CHUNK_CROWD, _CHUNKED_HEAD + chunks)

        self.check(fill)


class AnswersTest(_CrowdTest):
    """Long answers that nobody reads."""

    def test_long_answers_read_by_nobody(self):
        """Guards against memory without bound for unread answers."""

        async def fill(world, crowd):
            for backend in world.backends_by_id.values():
                backend.records = _RECORDS
            await crowd.add(CROWD, _GET)
            await crowd.wait()

        self.check(fill)


class ConnectionsTest(_CrowdTest):
    """Connections in other states."""

    def test_heads_without_an_end(self):
        """Guards against memory without bound for incomplete heads."""
        head = _GET[:-2] + b'x-filler: ' + b'f' * HEAD_BYTES

        async def fill(_, crowd):
            await crowd.add(CROWD, head)

        self.check(fill)

    def test_pipelined_requests_before_a_body_that_stops(self):
        """Guards against a caller whose requests keep out all others."""
        blocks = (_GET * PIPELINED, _LENGTH_HEAD + _BODY[:-1])

        async def fill(_, crowd):
            await crowd.add(PIPELINE_CROWD, *blocks)

        self.check(fill)

    def test_clients_that_close_in_each_state(self):
        """Guards against state that outlives its connection."""

        async def fill(_, crowd):
            for blocks in (
                (b'GET /st',),
                (_GET,),
                (_LENGTH_HEAD,),
                (_LENGTH_HEAD + _BODY[:-1],),
                (_CHUNKED_HEAD + _chunk(PIECE_BYTES),),
                (_GET * PIPELINED,),
                (),
            ):
                await crowd.add(CROWD // 4, *blocks)
                await crowd.wait()
                await crowd.close()

        self.check(fill)

    def test_metrics_port(self):
        """Guards against memory without bound on the metrics port."""
        head = (
            b'POST /metrics HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n'
            % MAX_BODY_BYTES
        )

        async def fill(_, crowd):
            await crowd.add(CROWD, head + _BODY[:-1])

        self.check(fill, lambda world: world.metrics_port)

    def test_peer_port(self):
        """Guards against memory without bound for frames of no other host."""
        frame = PEER_FRAME_BYTES.to_bytes(4, 'big') + bytes(
            PEER_FRAME_BYTES - 1
        )

        async def fill(_, crowd):
            await crowd.add(PEER_CROWD, frame)

        self.check(fill, lambda world: world.peers_port)


class DescriptorsTest(_CrowdTest):
    """More connections than descriptors."""

    world_type = FewDescriptorsHost
    max_descriptors = IDLE_MAX_DESCRIPTORS

    def test_idle_connections(self):
        """Guards against idle connections that take all descriptors."""

        async def fill(_, crowd):
            await crowd.add(IDLE_CROWD)

        self.check(fill)

    def test_idle_connections_of_the_peer_port(self):
        """Guards against idle links that take all descriptors."""

        async def fill(_, crowd):
            await crowd.add(IDLE_CROWD)

        self.check(fill, lambda world: world.peers_port)


class EntryTest(_CrowdTest):
    """An entry process, which has the same server."""

    world_type = EntryProcess
    memory_mb = ENTRY_MEMORY_MB

    def test_whole_bodies_without_their_last_byte(self):
        """Guards against memory without bound for bodies sent whole."""
        head = (
            b'POST /v1/query HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n'
            % MAX_BODY_BYTES
        )

        async def fill(_, crowd):
            await crowd.add(CROWD, head + _BODY[:-1])

        self.check(fill)

    def test_tiny_chunks_without_an_end(self):
        """Guards against an event loop that only parses tiny chunks."""
        head = (
            b'POST /v1/query HTTP/1.1\r\nhost: x\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
        )

        async def fill(_, crowd):
            await crowd.add(TINY_CHUNK_CROWD, head + _chunk(1) * TINY_CHUNKS)

        self.check(fill)


class _EventCounter:
    """Counts the events that a server parses between turns of the loop."""

    def __init__(self):
        self.largest = 0
        self._count = 0
        self._next_event = h11.Connection.next_event

    def parse(self, connection):
        self._count += 1
        return self._next_event(connection)

    async def watch(self):
        """Start to count anew in each turn of the loop, until cancelled."""
        while True:
            self.largest = max(self.largest, self._count)
            self._count = 0
            await curio.sleep(0)


class _NoHandler(webhandler.RequestHandler):
    async def handle(self, request):
        return webhandler.Response(200, {'length': len(request.body)})


class TurnTest(unittest.TestCase):
    """Work for one connection in one turn of the event loop."""

    def count_events(self, payload):
        """Return the largest number of events, and the whole response."""
        counter = _EventCounter()
        server = webserver.WebServer('127.0.0.1', 0, _NoHandler())
        self.addCleanup(server._listener._socket.close)

        async def scenario():
            watcher = await curio.spawn(counter.watch)
            async with loops.serving(server) as port:
                async with loops.Caller(port) as caller:
                    await caller.send(payload)
                    answer = await caller.read_until(b'}')
            await watcher.cancel()
            return answer

        with mock.patch.object(
            h11.Connection, 'next_event', lambda each: counter.parse(each)
        ):
            answer = loops.run(scenario)
        return counter.largest, answer

    def test_tiny_chunks(self):
        """Guards against a loop that parses one body for seconds."""
        largest, answer = self.count_events(
            _CHUNKED_HEAD + _chunk(1) * TINY_CHUNKS + b'0\r\n\r\n'
        )
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertIn(b'%d' % TINY_CHUNKS, answer)
        self.assertLess(largest, MAX_EVENTS_IN_A_TURN)

    def test_small_chunks(self):
        """Guards against a loop that parses one legal body for seconds."""
        largest, answer = self.count_events(
            _CHUNKED_HEAD + _chunk(10) * TINY_CHUNKS + b'0\r\n\r\n'
        )
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertLess(largest, MAX_EVENTS_IN_A_TURN)
