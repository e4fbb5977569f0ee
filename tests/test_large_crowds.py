"""A host on the smallest machine of the users beside crowds of thousands.

Each test starts one real host process, and a crowd as another process. While
the crowd comes, ordinary callers of another service send requests; each must
get an answer or a refusal. The memory and the descriptors of the host stay
within its machine, and an ordinary request is answered at the end.
"""

import os
import subprocess
import sys
import unittest

import curio
import h11

from cardamomflow import errors
from cardamomflow.heldbytes import sizing
from standins import users
from tests import test_uncontrolled_clients as small_crowds

MEMORY_MB = 152
SMALLER_MEMORY_MB = 96
MAX_DESCRIPTORS = 2870
LARGE = 2700
FEW = 8
MANY_SENDERS = 250
BESIDE_SENDERS = 1000
# Few enough that none is refused.
COUNTED = 800
COUNTED_HEADS = 25
ORDINARY_REQUESTS = 8
ORDINARY_BODY = b'x' * 100_000
ORDINARY_LIMIT_S = 15.0
ORDINARY_LIMIT_MS = 15_000
FIRST_WAIT_S = 0.5
PAUSE_S = 0.2
TIME_LIMIT_S = 150.0
# Counted bytes may need half as much again, see `sizing`.
MARGIN = 1.5
_KB = 1024
_MB = 1_048_576
_REFUSED = frozenset((408, 429, 503, 504))
_LOST = (OSError, h11.RemoteProtocolError, errors.ConnectFailed)


async def _status_or_loss(send, *arguments):
    """Return the status of a request, or what happened instead."""
    try:
        return await curio.timeout_after(ORDINARY_LIMIT_S, send, *arguments)
    except curio.TaskTimeout:
        return 'no answer'
    except _LOST as error:
        return f'lost: {error!r}'


class Host(small_crowds.HostProcess):
    """A host process with services for the crowd and one for others."""

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS
    service_names = ('a', 'b', 'c')

    def publish(self, version, prefix='/lookup/'):
        routes = [
            users.route_document(
                name,
                target,
                service=service,
                timeout_ms=ORDINARY_LIMIT_MS,
                route_type=route_type,
            )
            for name, target, service, route_type in (
                ('statement', '/statement/', 'a', 'safe'),
                ('payment', '/payment/', 'a', 'unsafe'),
                ('late', '/late/', 'c', 'safe'),
                ('report', '/report/', 'b', 'safe'),
                ('order', '/order/', 'b', 'unsafe'),
            )
        ]
        document = users.configuration_document(
            version, routes, ['a', 'b', 'c'], max_body_bytes=self.max_body_bytes
        )
        self.store.put('op/config', document)
        for backend_id, backend in self.backends_by_id.items():
            if backend_id.startswith('a'):
                backend.records = small_crowds._RECORDS
            if backend_id.startswith('c'):
                backend.pause_s = ORDINARY_LIMIT_S

    async def ask_as(self, number):
        """Return the status of a GET, or of a POST for each second number."""
        target, method, body = '/report/x', 'GET', b''
        if number % 2:
            target, method, body = '/order/x', 'POST', ORDINARY_BODY
        return await _status_or_loss(
            self._send_ordinary, target, method, body, f'ordinary-{number}'
        )

    async def read_gauges(self):
        """Return the bytes that connections hold, and their number."""
        answer = await self.send_request('/metrics', port=self.metrics_port)
        values_by_name = dict(
            line.rsplit(' ', 1)
            for line in answer.body.decode().splitlines()
            if not line.startswith('#')
        )
        held = [
            float(number)
            for name, number in values_by_name.items()
            if name.startswith('cardamomflow_client_held_')
        ]
        return sum(held), float(
            values_by_name['cardamomflow_client_connections']
        )

    async def _send_ordinary(self, target, method, body, request_id):
        answer = await self.send_request(
            target,
            method,
            body,
            deadline_ms=ORDINARY_LIMIT_MS,
            request_id=request_id,
            connect_s=ORDINARY_LIMIT_S,
        )
        return answer.status


class SmallerHost(Host):
    """A host process with still less memory."""

    memory_mb = SMALLER_MEMORY_MB


class Entry(small_crowds.EntryProcess):
    """An entry process on the same machine."""

    memory_mb = MEMORY_MB
    limits = {'memory_mb': MEMORY_MB, 'max_descriptors': MAX_DESCRIPTORS}

    async def ask_as(self, number):
        """Return the status of a GET."""
        del number
        return await _status_or_loss(self.ask)


class _LargeCrowdTest(unittest.TestCase):
    world_type = Host

    def check(self, kind, clients=LARGE, senders=1, port='callers_port'):
        """Check a host beside a crowd.

        Parameters
        ----------
        kind : str
            Key of `crowds.KINDS`, or 'mixed'.
        clients, senders : int
        port : str
            Attribute of the world with the port of the crowd.
        """

        async def scenario():
            async with self.world_type() as world:
                self.assertEqual(await world.ask_as(0), 200)
                self.assertEqual(await world.ask_as(1), 200)
                arguments = (getattr(world, port), kind, clients, senders)
                crowd = subprocess.Popen(  # noqa: ASYNC220
                    (
                        sys.executable,
                        '-m',
                        'tests.crowds',
                        *map(str, arguments),
                    ),
                    cwd=small_crowds.ROOT,
                )
                try:
                    await self.check_host(world, clients)
                finally:
                    crowd.kill()
                    crowd.wait()

        curio.run(curio.timeout_after, TIME_LIMIT_S, scenario)

    async def check_host(self, world, clients):
        del clients
        await curio.sleep(FIRST_WAIT_S)
        statuses = []
        for number in range(ORDINARY_REQUESTS):
            statuses.append(await world.ask_as(number))
            await curio.sleep(PAUSE_S)
        self.assertIsNone(world.process.poll(), 'the process ended')
        peak_mb = world.status_kb('VmHWM') / _KB
        descriptors = world.descriptors()
        if small_crowds.SHOW_FIGURES in os.environ:
            sys.stdout.write(f'{peak_mb:.0f} MB, {descriptors}, {statuses}; ')
        with self.subTest('ordinary requests'):
            self.assertEqual(set(statuses) - _REFUSED, {200}, statuses)
        with self.subTest('memory'):
            self.assertLess(peak_mb, world.memory_mb)
        with self.subTest('descriptors'):
            self.assertLess(descriptors, MAX_DESCRIPTORS)
        with self.subTest('afterwards'):
            self.assertEqual(await world.ask_as(0), 200)


class CallersPortTest(_LargeCrowdTest):
    """Crowds at the port for callers."""

    def test_chunks_of_16_bytes(self):
        """Guards against unparsed input that nothing counts."""
        self.check('chunks_16')

    def test_chunks_of_one_byte(self):
        """Guards against small pieces that take all time of the loop."""
        self.check('chunks_1')

    def test_pipelined_requests(self):
        """Guards against pipelined requests that keep out all others."""
        self.check('pipelined')

    def test_all_kinds(self):
        """Guards against a sum of all kinds that exceeds the memory."""
        self.check('mixed')

    def test_callers_without_a_pause(self):
        """Guards against requests in progress that nothing counts."""
        self.check('callers')

    def test_all_kinds_that_come_again(self):
        """Guards against refusals that are cut before their callers read."""
        self.check('mixed+')

    def test_readers_of_many_senders(self):
        """Guards against an ordinary caller that counts as the largest."""
        self.check('readers', BESIDE_SENDERS, MANY_SENDERS)

    def test_all_kinds_of_many_senders(self):
        """Guards against an ordinary caller that counts as the largest."""
        self.check('mixed', BESIDE_SENDERS, MANY_SENDERS)


class SmallerMachineTest(_LargeCrowdTest):
    """A crowd at a smaller machine."""

    world_type = SmallerHost

    def test_chunks_of_16_bytes(self):
        """Guards against unparsed input that nothing counts."""
        self.check('chunks_16', clients=800)


class EntryTest(_LargeCrowdTest):
    """A crowd at an entry process."""

    world_type = Entry

    def test_all_kinds(self):
        """Guards against an entry process without the machine's limits."""
        self.check('mixed')


class OtherPortsTest(_LargeCrowdTest):
    """Crowds at ports that are not for callers."""

    def test_frames_at_the_port_for_hosts(self):
        """Guards against frames without bound of clients that are no hosts."""
        self.check('frames', port='peers_port')

    def test_frames_of_empty_fields(self):
        """Guards against messages that are far larger once they are parsed."""
        self.check('empty_fields', clients=FEW, port='peers_port')

    def test_frames_of_empty_messages(self):
        """Guards against small messages that take all time of the loop."""
        self.check('empty_frames', clients=COUNTED, port='peers_port')

    def test_chunks_at_the_metrics_port(self):
        """Guards against a port whose input counts for nobody."""
        self.check('chunks_16', port='metrics_port')


class CountedBytesTest(_LargeCrowdTest):
    """The counted bytes beside the memory of the process."""

    async def check_host(self, world, clients):
        before_kb = world.status_kb('VmRSS')
        async with curio.timeout_after(ORDINARY_LIMIT_S):
            connections, held_bytes, earlier = 0, 0, -1
            while connections < clients or held_bytes != earlier:
                earlier = held_bytes
                await curio.sleep(PAUSE_S)
                held_bytes, connections = await world.read_gauges()
        grown_bytes = (world.status_kb('VmRSS') - before_kb) * _KB
        counted = held_bytes + connections * sizing.CONNECTION_BYTES
        if small_crowds.SHOW_FIGURES in os.environ:
            sys.stdout.write(
                f'{grown_bytes / _MB:.1f} MB, counted {counted / _MB:.1f},'
                f' held {held_bytes / _MB:.1f}; '
            )
        self.assertGreaterEqual(connections, clients)
        self.assertLess(grown_bytes, MARGIN * counted)

    def test_small_chunks(self):
        """Guards against pieces that hold more than is counted."""
        self.check('few_chunks', clients=COUNTED)

    def test_pieces_of_bodies(self):
        """Guards against bodies that hold more than is counted."""
        self.check('small_bodies', clients=COUNTED)

    def test_pipelined_requests_behind_a_body(self):
        """Guards against input that waits for its turn and is not counted."""
        self.check('behind', clients=COUNTED)

    def test_frames(self):
        """Guards against parts of frames that are not counted."""
        self.check('part_frames', clients=COUNTED, port='peers_port')

    def test_heads(self):
        """Guards against heads that hold more than is counted."""
        self.check('heads', clients=COUNTED)

    def test_heads_with_many_headers(self):
        """Guards against parsed heads that hold more than is counted."""
        self.check('many_headers', clients=COUNTED_HEADS)

    def test_idle_connections(self):
        """Guards against connections that hold more than is assumed."""
        self.check('idle', clients=COUNTED)

    def test_links(self):
        """Guards against links that hold more than is assumed."""
        self.check('idle', clients=COUNTED, port='peers_port')
