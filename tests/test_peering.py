"""Hosts that hand parts of queries to each other, over real sockets."""

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
    """Yield an address that takes no connection and refuses none."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield f'127.0.0.1:{listener.getsockname()[1]}'


def counted(host, name):
    return host._metrics.totals_by_name[name]


class FleetWorld(hostworld.HostWorld):
    """Three hosts of one zone and 30 services."""

    def __init__(self):
        super().__init__(
            SERVICES, replicas=2, zones=('z1',), peers=reserve_address()
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
        """Write routes of which no host can hold its connections."""
        super().publish(version, prefix)
        document = json.loads(self.store.items_by_key['op/config'].value)
        for service in document['services']:
            service['max_connections'] = 5
        self.store.put('op/config', document)

    def hosts(self):
        return [self.parts, *self.others]

    def parts_by_id(self):
        return {
            parts.program.settings['host']['id']: parts
            for parts in self.hosts()
        }

    def first(self):
        """Return the id of the host that the others should follow."""
        return min(
            self.parts_by_id(),
            key=lambda host_id: routing.score('news', host_id),
        )

    def relays(self):
        return {parts.feed._subscription.relay for parts in self.hosts()}

    def _is_linked(self):
        programs = [self.host, *(parts.program for parts in self.others)]
        return all(
            len(program.asker.links.connected) == 2
            and len(program.directory.backends_by_id) == 2 * len(SERVICES)
            for program in programs
        )


async def until_in_force(hosts, limit_s):
    """Wait until hosts have the second routes."""
    await loops.until(
        lambda: all(parts.program._table.revision == 2 for parts in hosts),
        limit_s=limit_s,
    )


def play(scenario):
    with mock.patch.object(discovery, 'ANNOUNCE_INTERVAL_S', 0.1):
        return hostworld.play(scenario, FleetWorld)


def stamps(answer):
    return answer.headers[wire.PART_STAMPS].split(',')


class PeeringTest(unittest.TestCase):
    def test_query_is_shared(self):
        """Guards against a host that makes all calls of a query itself."""

        async def scenario(world):
            answer = await world.ask(TARGET)
            return (
                answer,
                counted(world.host, 'host.sent.first'),
                [
                    counted(parts.program, 'host.sent.first')
                    for parts in world.others
                ],
            )

        answer, own, others = play(scenario)
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(set(stamps(answer))), len(SERVICES))
        self.assertEqual(answer.headers[wire.MISSING_PARTS], '0')
        self.assertEqual(own + sum(others), len(SERVICES))
        self.assertTrue(all(others))

    def test_answer_leaves_before_the_work_of_others_is_ended(self):
        """Guards against answers that are late for messages to other hosts.

        Load: many hosts work for one query, of which a part is missing at its
        target.
        """

        async def scenario(world):
            ended = curio.Event()
            world.host.asker.end = lambda work: ended.wait()
            for name in (SERVICES[0], SERVICES[1]):
                for replica in range(2):
                    world.backends_by_id[f'{name}{replica}'].pause_s = 5
            answer = await world.ask(TARGET)
            await ended.set()
            return answer.status, answer.headers[wire.MISSING_PARTS]

        self.assertEqual(play(scenario), (200, '2'))

    def test_lost_host_costs_no_answer(self):
        """Guards against queries that fail until a lost host is delisted."""

        async def scenario(world):
            lost = world.others[0]
            for link in list(lost.answerer._tasks_by_link):
                await link._abort()
            answer = await world.ask(TARGET)
            return len(set(stamps(answer)))

        self.assertEqual(play(scenario), len(SERVICES))

    def test_stopped_host_costs_one_query_some_parts(self):
        """Guards against targets that are missed for a frozen host."""

        async def scenario(world):
            frozen = world.others[0].answerer

            async def ignore(*_):
                return None

            frozen.received = ignore
            started_at = world.host._clock()
            answer = await world.ask(TARGET)
            took_s = world.host._clock() - started_at
            silent = counted(world.host, 'host.silent_owners')
            again = await world.ask(TARGET, request_id='r2')
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
            await leaving.answerer.announce_stop()
            links = world.host.asker.links
            await loops.until(lambda: 'host-2' not in links.usable())
            before = counted(leaving.program, 'host.taken_over')
            answer = await world.ask(TARGET)
            taken = counted(leaving.program, 'host.taken_over') - before
            return len(set(stamps(answer))), taken

        self.assertEqual(play(scenario), (len(SERVICES), 0))

    def test_caller_that_leaves_ends_the_work_of_owners(self):
        """Guards against backend servers that work for nobody."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.pause_s = 5.0
            asking = await curio.spawn(world.ask, TARGET)
            await loops.until(
                lambda: all(
                    not parts.answerer.is_idle for parts in world.others
                )
            )
            await asking.cancel()
            await loops.until(
                lambda: all(parts.answerer.is_idle for parts in world.others)
            )
            await loops.until(
                lambda: (
                    not any(
                        parts.program.transport._busy for parts in world.others
                    )
                )
            )
            return True

        self.assertTrue(play(scenario))

    def test_late_owner_leaves_no_third_attempt(self):
        """Guards against three attempts where a route allows two."""

        async def scenario(world):
            owner = world.others[0].answerer
            take, held = owner.received, []

            async def hold(*frame):
                held.append(frame)

            owner.received = hold
            await world.ask(TARGET)
            for frame in held:
                await take(*frame)
            await loops.until(lambda: owner.is_idle)
            asked = collections.Counter(
                backend_id[:-1]
                for backend_id, backend in world.backends_by_id.items()
                for _ in backend.ran
            )
            return max(asked.values())

        self.assertLessEqual(play(scenario), 2)

    def test_avoided_host_is_used_again(self):
        """Guards against a pause that costs an owner for good."""

        async def scenario(world):
            answerer = world.others[0].answerer
            take = answerer.received

            async def ignore(*_):
                return None

            answerer.received = ignore
            await world.ask(TARGET)
            answerer.received = take
            await curio.sleep(delegation.AVOIDED_S)
            before = counted(world.others[0].program, 'host.taken_over')
            await world.ask(TARGET, request_id='r2')
            return counted(world.others[0].program, 'host.taken_over') - before

        self.assertEqual(play(scenario), 1)


class StopTest(unittest.TestCase):
    def test_stopping_process_ends_its_links(self):
        """Guards against a planned stop that ends with a failure."""

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
                linked = world.host.asker.links
                await loops.until(lambda: 'host-4' in linked.connected, 15)
                # Links to these are tried again and again, also at the end.
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

        status, told = play(scenario)
        self.assertNotIn('Traceback', told)
        self.assertEqual(status, 0)


class FeedTest(unittest.TestCase):
    """Hosts that follow the platform through a relay."""

    def test_one_host_of_a_zone_asks_the_platform(self):
        """Guards against calls that grow with the number of hosts."""

        async def scenario(world):
            hosts = world.hosts()
            await loops.until(lambda: world.relays() == {None, world.first()})
            before = world.store.calls_by_kind['kv-watch']
            await curio.sleep(1.0)
            calls = world.store.calls_by_kind['kv-watch'] - before
            world.publish(2, '/search/')
            await until_in_force(hosts, 1)
            return calls

        self.assertLessEqual(play(scenario), 2)

    def test_silent_relay_is_replaced(self):
        """Guards against changes that a frozen host keeps from others."""

        async def scenario(world):
            await loops.until(lambda: world.relays() == {None, world.first()})
            first = world.parts_by_id()[world.first()]

            async def ignore(*_):
                return None

            first.feed._send = ignore
            world.publish(2, '/search/')
            others = [parts for parts in world.hosts() if parts is not first]
            await until_in_force(others, changefeed.MAX_AGE_S + 0.5)
            return True

        self.assertTrue(play(scenario))

    def test_relay_without_platform_is_replaced(self):
        """Guards against a zone that trusts the one host that is cut off."""

        async def scenario(world):
            await loops.until(lambda: world.relays() == {None, world.first()})
            first = world.parts_by_id()[world.first()]

            failed = curio.Event()

            async def fail(*_):
                await failed.set()
                raise errors.PlatformUnavailable('cut off')

            first.follower._source.watch = fail
            # The call in progress still ends well.
            await failed.wait()
            others = [parts for parts in world.hosts() if parts is not first]
            await loops.until(
                lambda: world.first() not in world.relays(),
                limit_s=changefeed.MAX_AGE_S + 0.5,
            )
            world.publish(2, '/search/')
            await until_in_force(others, 1)
            return True

        self.assertTrue(play(scenario))
