"""Agents as separate processes and in one event loop, on loopback."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
import types
import unittest

import curio
import logbook

from cardamomflow import (
    agent,
    configuration,
    errors,
    exchange,
    exitstatus,
    localview,
    propagation,
    roster,
)
from cardamomflow.generated import control_pb2
from standins import reservedports
from tests import agent_process, test_documents

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = '127.0.0.1'


def reserved_ports(test, count):
    """Return ports that are reserved until the end of a test."""
    reserved = reservedports.ReservedPorts(count)
    test.addCleanup(reserved.close)
    return reserved.ports


def make_settings(number, ports):
    return {
        'process_id': f'agent-{number}',
        'host': {
            'id': f'host-{number}',
            'region': 'south',
            'availability_zone': 'zone-1',
        },
        'control': {'address': LOOPBACK, 'port': ports[number]},
        'seeds': [{'address': LOOPBACK, 'port': port} for port in ports[:2]],
        'platform': {'address': LOOPBACK, 'port': 1},
    }


def compress_document(revision, publish_id='p'):
    return configuration.compress(
        configuration.make_document(
            revision, publish_id, test_documents.REGISTER, test_documents.RULES
        )
    )


async def fetch_states(port):
    """Return the states of the members from an agent."""
    request = control_pb2.Message(sync_request=control_pb2.SyncRequest())
    answer = await exchange.send_request(LOOPBACK, port, request)
    return {
        record.member_id: record.state for record in answer.sync_answer.members
    }


async def wait_until(condition, timeout_s):
    """Wait for an async condition; return whether it came true."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if await condition():
                return True
        except errors.FlowError:
            pass
        await curio.sleep(0.05)
    return False


def states_are(ports, expected):
    async def check():
        return all([await fetch_states(port) == expected for port in ports])

    return check


class ProcessTest(unittest.TestCase):
    """Three agents as separate processes."""

    def setUp(self):
        self.ports = reserved_ports(self, 3)
        self.processes = [self._start(number) for number in range(3)]

    def tearDown(self):
        for process in self.processes:
            process.kill()
            process.wait()

    def _start(self, number):
        document = json.dumps(make_settings(number, self.ports))
        return subprocess.Popen(
            [sys.executable, '-m', 'tests.agent_process', document], cwd=ROOT
        )

    def test_kill_pause_and_planned_stop(self):
        """Guards against undetected failures, recoveries and stops of peers."""
        curio.run(self._kill_pause_and_planned_stop)

    async def _kill_pause_and_planned_stop(self):
        alive = {f'agent-{number}': roster.ALIVE for number in range(3)}
        all_alive = await wait_until(states_are(self.ports, alive), 10)
        self.assertTrue(all_alive)
        self.processes[2].send_signal(signal.SIGSTOP)
        dead = {**alive, 'agent-2': roster.DEAD}
        self.assertTrue(await wait_until(states_are(self.ports[:2], dead), 6))
        self.processes[2].send_signal(signal.SIGCONT)
        self.assertTrue(await wait_until(states_are(self.ports, alive), 6))
        self.processes[1].kill()
        dead = {**alive, 'agent-1': roster.DEAD}
        remaining_ports = [self.ports[0], self.ports[2]]
        self.assertTrue(await wait_until(states_are(remaining_ports, dead), 6))
        self.processes[2].send_signal(signal.SIGTERM)
        leaving = {**dead, 'agent-2': roster.LEAVING}
        self.assertTrue(
            await wait_until(states_are(self.ports[:1], leaving), 1)
        )
        self.assertEqual(
            self.processes[2].wait(timeout=3), exitstatus.ExitStatus.OK
        )


class AdvertiseTest(unittest.TestCase):
    def record_endpoint(self, **settings):
        document = {**make_settings(0, reserved_ports(self, 2)), **settings}
        process_context = agent_process.FakeContext('agent-0')
        record = agent.Agent(document, process_context).members.records()[0]
        return document['control']['port'], (record.address, record.port)

    def test_advertised_endpoint_is_in_the_own_record(self):
        """Guards against an unreachable agent behind a port mapping."""
        _, endpoint = self.record_endpoint(
            advertise={'address': '10.0.0.1', 'port': 7}
        )
        self.assertEqual(endpoint, ('10.0.0.1', 7))

    def test_control_endpoint_is_the_default(self):
        """Guards against requiring the `advertise` setting on every host."""
        port, endpoint = self.record_endpoint()
        self.assertEqual(endpoint, (LOOPBACK, port))


class Recorder(localview.ViewListener):
    """Records the updates to a local process."""

    def __init__(self):
        self.revisions = []
        self.zones = {}
        self.hosts = {}

    async def on_configuration_changed(self, new):
        self.revisions.append(new.revision)

    async def on_zones_changed(self, aggregators_by_zone):
        self.zones = aggregators_by_zone

    async def on_hosts_changed(self, leaving_by_host):
        self.hosts = leaving_by_host

    def ranked_ids(self):
        return {
            aggregator.aggregator_id
            for aggregators in self.zones.values()
            for aggregator in aggregators
        }


class SilentPlatform:
    """A platform whose watches report no change."""

    def __init__(self):
        self.entry = None
        self.is_down = False
        self.leaving = []
        self.reads = 0

    async def read(self, key):
        self.reads += 1
        self._check()
        return self.entry

    async def read_if_changed(self, key, known_revision):
        return await self.read(key)

    async def watch(self, key, after_revision, wait_s):
        self._check()
        await curio.sleep(wait_s)

    async def hosts(self):
        self._check()
        return [
            types.SimpleNamespace(
                host_id=host_id, address='10.0.0.9', state='leaving'
            )
            for host_id in self.leaving
        ]

    def put(self, value, revision):
        self.entry = types.SimpleNamespace(value=value, revision=revision)

    def _check(self):
        if self.is_down:
            raise errors.PlatformUnavailable('down')


class LoopTest(unittest.TestCase):
    """Agents, local processes and a platform in one event loop."""

    def setUp(self):
        self.ports = reserved_ports(self, 4)
        self.platform = SilentPlatform()
        self.agents = {}
        self.tasks = {}
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    async def _start(self, number):
        document = make_settings(number, self.ports)
        process_context = agent_process.FakeContext(document['process_id'])
        self.agents[number] = agent.Agent(
            document, process_context, self.platform, agent_process.OPTIONS
        )
        self.tasks[number] = await curio.spawn(
            self.agents[number].serve, daemon=True
        )

    async def _register(self, number, name):
        recorder = Recorder()
        client = localview.LocalViewClient(
            {
                'process_id': name,
                'agent': {'address': LOOPBACK, 'port': self.ports[number]},
            },
            'aggregator',
            (LOOPBACK, 9000 + number),
            recorder,
        )
        await curio.spawn(client.run, daemon=True)
        return client, recorder

    def _is_in_force(self, revision, numbers):
        async def check():
            return all(
                self.agents[number].revision == revision for number in numbers
            )

        return check

    def test_configuration_and_leaving_hosts(self):
        """Guards against watches without events, old revisions and outages."""
        curio.run(self._configuration_and_leaving_hosts)

    async def _configuration_and_leaving_hosts(self):
        for number in range(3):
            await self._start(number)
        # The agent that does not read the platform.
        ids = [f'agent-{number}' for number in range(3)]
        watcher_ids = propagation.watchers(ids)
        (other,) = [
            number for number in range(3) if ids[number] not in watcher_ids
        ]
        _, recorder = await self._register(other, 'aggregator-2')
        await curio.sleep(1)
        self.platform.put(compress_document(5), 11)
        self.platform.leaving = ['host-9']
        self.assertTrue(await wait_until(self._is_in_force(5, range(3)), 4))

        async def host_is_leaving():
            return recorder.hosts == {'host-9': True}

        self.assertTrue(await wait_until(host_is_leaving, 4))
        self.platform.put(compress_document(4), 12)
        self.platform.leaving = []

        async def old_revision_is_ignored():
            return any(
                each_agent._context.metrics.counts.get(
                    'agent.configurations_ignored'
                )
                for each_agent in self.agents.values()
            )

        self.assertTrue(await wait_until(old_revision_is_ignored, 4))

        async def host_is_not_leaving():
            return recorder.hosts == {'host-9': False}

        self.assertTrue(await wait_until(host_is_not_leaving, 4))
        self.assertTrue(await self._is_in_force(5, range(3))())
        self.assertEqual(recorder.revisions, [5])
        # A host that starts during an outage of the platform pulls from peers.
        self.platform.is_down = True
        await self._start(3)
        self.assertTrue(await wait_until(self._is_in_force(5, [3]), 3))

    def test_members_of_the_own_zone_are_not_another_zone(self):
        """Guards against an isolated zone that reports contact with others."""
        curio.run(self._members_of_the_own_zone)

    async def _members_of_the_own_zone(self):
        for number in (0, 1):
            await self._start(number)
        client, _ = await self._register(0, 'process')

        async def is_connected():
            return (
                client.age_s < 1 and self.agents[0].members.zone_members()[1:]
            )

        self.assertTrue(await wait_until(is_connected, 10))
        await curio.sleep(1)
        self.assertIsNone(client.other_zones_age_s)

    def test_local_process_survives_its_agent(self):
        """Guards against losing the ranking while the agent restarts."""
        curio.run(self._local_process_survives_its_agent)

    async def _local_process_survives_its_agent(self):
        await self._start(0)
        await self._start(1)
        client, recorder = await self._register(0, 'aggregator-0')
        other, other_recorder = await self._register(1, 'aggregator-1')
        both_ids = {'aggregator-0', 'aggregator-1'}

        async def both_are_ranked():
            return (
                recorder.ranked_ids() == both_ids
                and other_recorder.ranked_ids() == both_ids
            )

        self.assertTrue(await wait_until(both_are_ranked, 6))
        self.assertLess(client.age_s, 2)
        await self.tasks[0].cancel()
        await curio.sleep(1.5)
        self.assertGreater(client.age_s, 1.4)
        self.assertEqual(recorder.ranked_ids(), both_ids)
        await self._start(0)
        observed_ids = []

        async def is_reconnected():
            observed_ids.append(recorder.ranked_ids())
            return client.age_s < 1 and len(observed_ids) > 20

        self.assertTrue(await wait_until(is_reconnected, 6))
        self.assertTrue(all(ids == both_ids for ids in observed_ids))
        await other.leave()

        async def aggregators_are_removed():
            return not self.agents[1].members.zone_members()[0].aggregators

        self.assertTrue(await wait_until(aggregators_are_removed, 2))

    def test_malformed_input_does_not_end_an_agent(self):
        """Guards against an agent that malformed input crashes."""
        curio.run(self._malformed_input_does_not_end_an_agent)

    async def _malformed_input_does_not_end_an_agent(self):
        await self._start(0)
        await curio.sleep(0.2)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b'\xff' * 40, (LOOPBACK, self.ports[0]))
        with socket.create_connection((LOOPBACK, self.ports[0])) as sock:
            sock.sendall(b'\xff' * 400)
        await curio.sleep(0.3)
        self.assertIn('agent-0', await fetch_states(self.ports[0]))
