"""Tests hosts that delegate parts of queries, over real sockets."""

import collections
import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

import curio
import yaml

from cardamomflow import changefeed, delegation, discovery, errors, routing
from cardamomflow.platform import wire
from standins import reservedports, users
from tests import hostworld, loops

SERVICES = tuple(f's{number:02}' for number in range(30))
TARGET = '/lookup/x'
PROGRAM = (sys.executable, '-m', 'cardamomflow', 'host')


def reserve_address():
    """Return an address that no other test gets before the module ends."""
    reserved = reservedports.ReservedPorts(1)
    unittest.addModuleCleanup(reserved.close)
    return f'127.0.0.1:{reserved.ports[0]}'


@contextlib.contextmanager
def silent_address():
    """Yield an address that neither accepts nor refuses connections."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield f'127.0.0.1:{listener.getsockname()[1]}'


def relay_rank(host_id):
    """Return the sort key of hosts as relays, the preferred one first."""
    return routing.score('news', host_id)


def counter_total(host, name):
    return host._metrics.totals_by_name[name]


class FleetWorld(hostworld.HostWorld):
    """Three hosts of one zone and 30 services."""

    # Too few for each host, so that parts are handed over.
    connections = 5
    replicas = 2

    def __init__(self):
        super().__init__(
            SERVICES,
            replicas=self.replicas,
            zones=('z1',),
            peers=reserve_address(),
        )

    async def __aenter__(self):
        await super().__aenter__()
        for number, backend in enumerate(self.backends_by_id.values()):
            backend.records = hostworld.record(number)
        self.others = [
            await self.add_host(f'host-{number}', peers=reserve_address())
            for number in (2, 3)
        ]
        await loops.until(self._is_linked, limit_s=10)
        return self

    def publish(self, version, prefix='/lookup/'):
        """Publish routes that limit the connections."""
        super().publish(version, prefix)
        document = json.loads(self.store.items_by_key['op/config'].value)
        for service in document['services']:
            service['max_connections'] = self.connections
        self.store.put('op/config', document)

    def hosts(self):
        return [self.parts, *self.others]

    def parts_by_id(self):
        return {
            parts.host.settings['host']['id']: parts for parts in self.hosts()
        }

    def relay_id(self):
        """Return the id of the host that the others should use as relay."""
        return min(self.parts_by_id(), key=relay_rank)

    def relays(self):
        return {parts.feed_links._subscription.relay for parts in self.hosts()}

    def _is_linked(self):
        programs = [self.host, *(parts.host for parts in self.others)]
        return all(
            len(program.peer_client.links.connected) == 2
            and len(program.directory.backends_by_id)
            == self.replicas * len(SERVICES)
            for program in programs
        )


async def until_in_force(hosts, limit_s):
    """Wait until revision 2 of the routes is in force at the hosts."""
    await loops.until(
        lambda: all(parts.host._table.revision == 2 for parts in hosts),
        limit_s=limit_s,
    )


class CrowdedWorld(FleetWorld):
    """A fleet with more hosts than connections of a backend server."""

    connections = 2


class UndividedWorld(FleetWorld):
    """A fleet whose hosts can connect to all backend servers."""

    connections = 300


def play(scenario, world=FleetWorld):
    with mock.patch.object(discovery, 'ANNOUNCE_INTERVAL_S', 0.1):
        return hostworld.run_scenario(scenario, world)


def stamps(answer):
    return answer.headers[wire.PART_STAMPS].split(',')


class PeeringTest(unittest.TestCase):
    def test_query_is_shared(self):
        """Guards against a host that makes all calls of a query itself."""

        async def scenario(world):
            answer = await world.send_request(TARGET)
            return (
                answer,
                counter_total(world.host, 'host.sent.first'),
                [
                    counter_total(parts.host, 'host.sent.first')
                    for parts in world.others
                ],
            )

        answer, own, others = play(scenario)
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(set(stamps(answer))), len(SERVICES))
        self.assertEqual(answer.headers[wire.MISSING_PARTS], '0')
        self.assertEqual(own + sum(others), len(SERVICES))
        self.assertTrue(all(others))

    def test_idle_connections_leave_room_for_other_hosts(self):
        """Guards against connections that backend servers reset.

        Load pattern: hosts outnumber the connections of a backend server, and
        each one sends it a request of its own at times.
        """

        async def scenario(world):
            document = json.loads(world.store.items_by_key['op/config'].value)
            document['version'] = 2
            for route in document['routes']:
                if 'gather' not in route:
                    route['service'] = SERVICES[0]
            world.store.put('op/config', document)
            await until_in_force(world.hosts(), 5)
            for parts in world.hosts():
                port = parts.caller_server.port
                await world.send_request('/statement/x', port=port)
            await world.send_request(TARGET)
            await curio.sleep(0.1)
            return {
                parts.host.settings['host']['id']: (
                    parts.host.peer_client.owners.owns(SERVICES[0]),
                    any(
                        parts.host.transport._idle_by_id.get(f's00{number}')
                        for number in range(2)
                    ),
                )
                for parts in world.hosts()
            }

        kept_by_id = play(scenario, CrowdedWorld)
        self.assertEqual(len(kept_by_id), 3)
        for is_owner, is_kept in kept_by_id.values():
            self.assertEqual(is_kept, is_owner)

    def test_connections_for_other_hosts_are_kept(self):
        """Guards against a new connection for each part of another host.

        An owner may serve hosts of another zone without being the first owner
        of its own.
        """

        async def scenario(world):
            for parts in world.hosts():
                parts.host._dispatcher.occupancy._is_owner = lambda _: False
            await world.send_request(TARGET)
            await curio.sleep(0.1)
            return [
                len(parts.host.transport._idle_by_id) for parts in world.hosts()
            ]

        own, *others = play(scenario, CrowdedWorld)
        self.assertEqual(own, 0)
        self.assertTrue(all(others))

    def test_answer_leaves_before_the_work_of_others_is_ended(self):
        """Guards against answers that wait for messages to other hosts.

        Many hosts serve one query, and two of its parts are missing at the
        target time.
        """

        async def scenario(world):
            ended = curio.Event()
            world.host.peer_client.end = lambda work, cancel: ended.wait()
            for name in (SERVICES[0], SERVICES[1]):
                for replica in range(2):
                    world.backends_by_id[f'{name}{replica}'].pause_s = 5
            answer = await world.send_request(TARGET)
            await ended.set()
            return answer.status, answer.headers[wire.MISSING_PARTS]

        self.assertEqual(play(scenario), (200, '2'))

    def test_lost_host_causes_no_missing_part(self):
        """Guards against queries that fail until a lost host is delisted."""

        async def scenario(world):
            lost = world.others[0]
            for link in list(lost.peer_server._requests_by_link):
                await link._abort()
            answer = await world.send_request(TARGET)
            return len(set(stamps(answer)))

        self.assertEqual(play(scenario), len(SERVICES))

    def test_frozen_host_causes_missing_parts_in_one_query_only(self):
        """Guards against missed time targets when a host is frozen."""

        async def scenario(world):
            frozen = world.others[0].peer_server

            async def ignore(*_):
                return None

            frozen.on_message = ignore
            started_at = world.host._clock()
            answer = await world.send_request(TARGET)
            took_s = world.host._clock() - started_at
            silent = counter_total(world.host, 'host.silent_owners')
            again = await world.send_request(TARGET, request_id='r2')
            return answer, took_s, silent, again

        answer, took_s, silent, again = play(scenario)
        missing = int(answer.headers[wire.MISSING_PARTS])
        self.assertEqual(len(set(stamps(answer))) + missing, len(SERVICES))
        self.assertEqual(silent, 1)
        self.assertLess(took_s, 0.6)
        self.assertEqual(len(set(stamps(again))), len(SERVICES))

    def test_leaving_host_gets_no_parts(self):
        """Guards against parts that are cut by a planned stop."""

        async def scenario(world):
            leaving = world.others[0]
            await leaving.peer_server.announce_stop()
            links = world.host.peer_client.links
            await loops.until(lambda: 'host-2' not in links.usable())
            before = counter_total(leaving.host, 'host.taken_over')
            answer = await world.send_request(TARGET)
            taken = counter_total(leaving.host, 'host.taken_over') - before
            return len(set(stamps(answer))), taken

        self.assertEqual(play(scenario), (len(SERVICES), 0))

    def test_disconnected_caller_ends_the_work_of_owners(self):
        """Guards against work that no caller waits for."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.pause_s = 5.0
            query_task = await curio.spawn(world.send_request, TARGET)
            await loops.until(
                lambda: all(
                    not parts.peer_server.is_idle for parts in world.others
                )
            )
            await query_task.cancel()
            await loops.until(
                lambda: all(parts.peer_server.is_idle for parts in world.others)
            )
            await loops.until(
                lambda: (
                    not any(
                        parts.host.transport._busy for parts in world.others
                    )
                )
            )
            return True

        self.assertTrue(play(scenario))

    def test_late_owner_makes_no_third_attempt(self):
        """Guards against three attempts where a route allows two."""

        async def scenario(world):
            owner = world.others[0].peer_server
            handle, delayed = owner.on_message, []

            async def delay(*frame):
                delayed.append(frame)

            owner.on_message = delay
            await world.send_request(TARGET)
            for frame in delayed:
                await handle(*frame)
            await loops.until(lambda: owner.is_idle)
            calls_by_service = collections.Counter(
                backend_id[:-1]
                for backend_id, backend in world.backends_by_id.items()
                for _ in backend.ran
            )
            return max(calls_by_service.values())

        self.assertLessEqual(play(scenario), 2)

    def test_avoided_host_is_used_again(self):
        """Guards against an owner that stays unused after a pause."""

        async def scenario(world):
            peer_server = world.others[0].peer_server
            handle = peer_server.on_message

            async def ignore(*_):
                return None

            peer_server.on_message = ignore
            await world.send_request(TARGET)
            peer_server.on_message = handle
            await curio.sleep(delegation.AVOIDED_S)
            before = counter_total(world.others[0].host, 'host.taken_over')
            await world.send_request(TARGET, request_id='r2')
            return (
                counter_total(world.others[0].host, 'host.taken_over') - before
            )

        self.assertEqual(play(scenario), 1)


class StopTest(unittest.TestCase):
    def test_stopping_process_ends_its_links(self):
        """Guards against a planned stop that exits with an error."""

        async def scenario(world):
            settings = users.host_settings(
                'host-4',
                'z1',
                world.store_port,
                peers=reserve_address(),
                stop_within_s=4,
            )
            with contextlib.ExitStack() as stack:
                folder = stack.enter_context(tempfile.TemporaryDirectory())
                path = pathlib.Path(folder) / 'host.yaml'
                path.write_text(yaml.safe_dump(settings))
                process = subprocess.Popen(  # noqa: ASYNC220  # starts at once
                    [*PROGRAM, '--settings', path],
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.PIPE,
                )
                linked = world.host.peer_client.links
                await loops.until(lambda: 'host-4' in linked.connected, 15)
                # The process keeps dialing these hosts, even while it stops.
                silent = stack.enter_context(silent_address())
                for number in range(20):
                    world.store.put(
                        f'hosts/lost-{number}',
                        {
                            'availability_zone': 'z1',
                            'peers': silent,
                            'capacity': 1.0,
                        },
                    )
                await curio.sleep(1.0)
                process.send_signal(signal.SIGTERM)
                await loops.until(lambda: process.poll() is not None, 8)
                return process.returncode, process.stderr.read().decode()

        status, stderr_text = play(scenario)
        self.assertNotIn('Traceback', stderr_text)
        self.assertEqual(status, 0)


class FeedTest(unittest.TestCase):
    """Tests hosts that follow the platform through a relay."""

    def test_one_host_of_a_zone_watches_the_platform(self):
        """Guards against calls that grow with the number of hosts."""

        async def scenario(world):
            hosts = world.hosts()
            await loops.until(
                lambda: world.relays() == {None, world.relay_id()}
            )
            before = world.store.calls_by_kind['kv-watch']
            await curio.sleep(1.0)
            calls = world.store.calls_by_kind['kv-watch'] - before
            world.publish(2, '/search/')
            await until_in_force(hosts, 1)
            return calls

        for world in (FleetWorld, UndividedWorld):
            with self.subTest(world.__name__):
                self.assertLessEqual(play(scenario, world), 2)

    def test_silent_relay_is_replaced(self):
        """Guards against changes that a frozen relay does not send."""

        async def scenario(world):
            await loops.until(
                lambda: world.relays() == {None, world.relay_id()}
            )
            relay = world.parts_by_id()[world.relay_id()]

            async def ignore(*_):
                return None

            relay.feed_links._send = ignore
            world.publish(2, '/search/')
            others = [parts for parts in world.hosts() if parts is not relay]
            await until_in_force(others, changefeed.MAX_AGE_S + 0.5)
            return True

        self.assertTrue(play(scenario))

    def test_relay_without_platform_is_replaced(self):
        """Guards against a zone that follows a host without the platform."""

        async def scenario(world):
            await loops.until(
                lambda: world.relays() == {None, world.relay_id()}
            )
            relay = world.parts_by_id()[world.relay_id()]

            failed = curio.Event()

            async def fail(*_):
                await failed.set()
                raise errors.PlatformUnavailable('cut off')

            relay.follower._source.watch = fail
            # The call in progress still succeeds.
            await failed.wait()
            others = [parts for parts in world.hosts() if parts is not relay]
            await loops.until(
                lambda: world.relay_id() not in world.relays(),
                limit_s=changefeed.MAX_AGE_S + 0.5,
            )
            world.publish(2, '/search/')
            await until_in_force(others, 1)
            return True

        self.assertTrue(play(scenario))
