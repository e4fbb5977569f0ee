"""Evacuated zones: nothing more is sent to their backend servers."""

import functools
import unittest
from unittest import mock

import curio

from cardamomflow import (
    context,
    directory,
    links,
    platformsource,
    platformview,
    reachability,
    zonewatch,
)
from cardamomflow.platform import wire
from standins import users
from tests import (
    hostworld,
    loops,
    test_dispatching,
    test_following,
    test_ownership,
    test_peering,
    test_turned_away,
)

EVACUATE_S = 5.0
KEY = f'{wire.EVACUATION_PREFIX}z2'


class EvacuationWorld(hostworld.HostWorld):
    """One host and two zones; each service has a replica in each."""

    def __init__(self, **settings):
        super().__init__(('a', 'b'), zones=('z1', 'z2'), **settings)

    def backends(self, number):
        """Return the backend servers of the first or second zone."""
        return [self.backends_by_id[f'{name}{number}'] for name in ('a', 'b')]

    async def evacuate(self):
        self.store.put(KEY, '')
        await self.until_evacuated(self.host, {'z2'})

    async def take_back(self):
        self.store.remove(KEY)
        await self.until_evacuated(self.host, set())

    async def until_evacuated(self, host, zones):
        await loops.until(
            lambda: host.directory.evacuated_zones == zones, EVACUATE_S
        )


def play(scenario, **settings):
    return hostworld.run_scenario(scenario, EvacuationWorld, **settings)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()
        for backend_id, zone in (('a0', 'z1'), ('a1', 'z2')):
            self.directory.update_entry(
                test_dispatching.make_backend(
                    backend_id, 'a', availability_zone=zone
                )
            )

    def test_servers_of_an_evacuated_zone_are_not_usable(self):
        """Guards against work for a zone that the operator empties."""
        changes = self.directory.apply_evacuations({'z2'})
        self.assertEqual(changes, [directory.Change('a1', 'a', usable=False)])
        self.assertEqual(self.directory.usable('a'), ('a0',))
        changes = self.directory.apply_evacuations(())
        self.assertEqual(changes, [directory.Change('a1', 'a', usable=True)])
        self.assertEqual(self.directory.usable('a'), ('a0', 'a1'))

    def test_entry_that_changes_meanwhile_stays_withheld(self):
        """Guards against a server that a new entry makes usable again."""
        self.directory.apply_evacuations({'z2'})
        entry = test_dispatching.make_backend(
            'a1', 'a', availability_zone='z2', incarnation=2
        )
        self.assertFalse(self.directory.update_entry(entry).usable)
        self.assertTrue(self.directory.has_withheld('a'))
        self.directory.remove_entry('a1', 0)
        self.assertFalse(self.directory.has_withheld('a'))

    def test_server_that_announced_its_stop_stays_unusable(self):
        """Guards against work for a leaving server after an evacuation."""
        self.directory.record_leaving(directory.LeavingNotice('a1', 0))
        self.directory.apply_evacuations({'z2'})
        self.assertEqual(self.directory.apply_evacuations(()), [])
        self.assertEqual(self.directory.usable('a'), ('a0',))


class DispatcherTest(unittest.TestCase):
    """Work that waits or is repeated when an evacuation begins."""

    def setUp(self):
        self.world = test_dispatching.World(('a',), replicas=0, connections=1)
        for backend_id, zone in (('a0', 'z1'), ('a1', 'z2')):
            self.world.directory.update_entry(
                test_dispatching.make_backend(
                    backend_id, 'a', availability_zone=zone
                )
            )

    def evacuate(self, *zones):
        changes = self.world.directory.apply_evacuations(zones)
        self.world.dispatcher.on_directory_changes(changes, 0.1)

    def test_queued_work_goes_to_other_zones(self):
        """Guards against queued work for a zone that was usable before."""
        for _ in range(3):
            self.world.start(test_dispatching.make_payment())
        first, second = self.world.send_attempts()
        self.evacuate('z2')
        for attempt in (first, second):
            self.world.dispatcher.on_reply(
                attempt, test_dispatching.reply(), 0.2
            )
        (third,) = self.world.send_attempts()
        self.assertEqual(third.backend_id, 'a0')

    def test_failed_work_is_not_repeated_there(self):
        """Guards against retries and hedges at an evacuated zone."""
        self.evacuate('z2')
        work = self.world.start(test_dispatching.make_route(('a',)))
        (attempt,) = self.world.send_attempts()
        self.world.dispatcher.tick(work, 0.09)
        self.world.dispatcher.on_reply(
            attempt, test_dispatching.reply(503, not_run=True), 0.2
        )
        self.assertEqual(self.world.send_attempts(), [])

    def test_part_with_replicas_there_alone_is_missing_at_once(self):
        """Guards against a wait for replicas that get nothing."""
        self.evacuate('z1', 'z2')
        work = self.world.start(test_dispatching.make_route(('a',)))
        self.assertEqual(
            work.subrequests[0].failure_reason, 'backend_servers_evacuated'
        )

    def test_queued_work_with_replicas_there_alone_is_refused(self):
        """Guards against queued work that waits until its deadline."""
        works = [
            self.world.start(test_dispatching.make_payment()) for _ in range(3)
        ]
        self.evacuate('z1', 'z2')
        self.assertEqual(
            works[2].subrequests[0].failure_reason, 'backend_servers_evacuated'
        )


class OwnersListener(test_following.Listener):
    """Records the hosts, and the zones that are evacuated meanwhile."""

    def __init__(self, backend_directory):
        super().__init__()
        self.listed = []
        self._directory = backend_directory

    async def on_members_listed(self, members):
        host_ids = [member.host_id for member in members]
        self.listed.append((host_ids, set(self._directory.evacuated_zones)))


class OwnersTest(unittest.TestCase):
    def test_owners_are_computed_again_with_the_key(self):
        """Guards against owners in a zone without backend servers.

        The key is the only change; no entry of a host changes.
        """
        process_context = context.create(
            users.host_settings('h1', 'z1', 1, log={'level': 'error'})
        )
        backend_directory = directory.Directory()
        listener = OwnersListener(backend_directory)
        view = platformview.PlatformView(
            'h1', backend_directory, listener, process_context
        )
        view.members_by_id['h2'] = test_ownership.member('h2')
        changes = platformsource.Changes(
            None,
            [],
            [],
            revision=2,
            evacuations=[platformsource.Evacuation('z2', is_requested=True)],
        )
        loops.run(lambda: view.apply(changes))
        self.assertEqual(listener.listed, [(['h2'], {'z2'})])


class UnreachableTransport:
    """A transport whose connections fail; records them."""

    def __init__(self):
        self.probed_ids = []

    async def can_connect(self, backend, timeout_s):
        self.probed_ids.append(backend.backend_id)
        return False


class DividedWorld(test_peering.FleetWorld):
    """Hosts that hand over; each service has one replica in z2."""

    def list_backend(self, backend_id, service, **fields):
        fields['zone'] = 'z2' if backend_id.endswith('1') else 'z1'
        super().list_backend(backend_id, service, **fields)


class ProbeTest(unittest.TestCase):
    def test_silent_zone_gets_no_probes(self):
        """Guards against connections to a zone while it is evacuated."""
        world = test_dispatching.World(('a',))
        transport = UnreachableTransport()

        async def scenario():
            watch = zonewatch.ZoneWatch(
                hostworld.context.create(
                    hostworld.users.host_settings('h1', 'z1', 1)
                ),
                world.directory,
                world.dispatcher,
                transport,
            )
            world.dispatcher.reachability.mark_silent('z1', 0.0)
            world.directory.apply_evacuations({'z1'})
            async with curio.ignore_after(3 * zonewatch.ZONE_CHECK_S):
                await watch.run()
            return list(world.dispatcher.reachability.silent_zones)

        self.assertEqual(loops.run(scenario), [])
        self.assertEqual(transport.probed_ids, [])

    def test_requests_in_flight_cause_no_suspicion_later(self):
        """Guards against a zone that counts as silent after an evacuation."""
        detector = reachability.Reachability()
        detector.check(0.0)
        for number in range(5):
            detector.record_request('z2', f'i{number}', 0.0)
        detector.forget('z2')
        for step in range(1, 10):
            self.assertEqual(detector.check(step / 10), [])


class HostTest(unittest.TestCase):
    """One host over real sockets."""

    def test_evacuated_zone_gets_nothing_until_it_is_taken_back(self):
        """Guards against requests to a zone that the operator empties."""

        async def scenario(world):
            await world.evacuate()
            near, far = world.backends(0), world.backends(1)
            before = [len(backend.ran) for backend in far]
            for _ in range(10):
                answer = await world.send_request('/lookup/x')
                self.assertEqual(answer.headers[wire.MISSING_PARTS], '0')
            during = [len(backend.ran) for backend in far]
            await world.take_back()
            for backend in near:
                backend.refuses = True
            answer = await world.send_request('/lookup/x')
            after = [len(backend.ran) for backend in far]
            return before == during, answer.status, during != after

        self.assertEqual(play(scenario), (True, 200, True))

    def test_request_in_flight_is_answered(self):
        """Guards against an evacuation that cuts requests off."""

        async def scenario(world):
            for backend in world.backends(0):
                backend.refuses = True
            slow = world.backends_by_id['a1']
            slow.pause_s = 0.8
            task = await curio.spawn(
                world.send_request, '/payment/x', 'POST', b'pay'
            )
            await loops.until(lambda: slow.ran)
            await world.evacuate()
            return (await task.join()).status

        self.assertEqual(play(scenario), 200)

    def test_shard_without_other_replicas_is_missing(self):
        """Guards against queries that wait for an evacuated shard."""

        async def scenario(world):
            world.store.remove('servers/b0')
            await world.evacuate()
            await loops.until(lambda: not world.host.directory.usable('b'))
            answer = await world.send_request('/lookup/x')
            refused = await world.send_request('/report/x')
            return answer.headers[wire.MISSING_PARTS], refused.status

        self.assertEqual(play(scenario), ('1', 503))

    def test_host_of_the_evacuated_zone_serves_callers(self):
        """Guards against a zone whose hosts refuse because it is emptied."""

        async def scenario(world):
            world.store.put(f'{wire.EVACUATION_PREFIX}z1', '')
            await world.until_evacuated(world.host, {'z1'})
            await curio.sleep(2 * zonewatch.ZONE_CHECK_S)
            ready = await world.send_request(
                '/api/ready', port=world.ready_port
            )
            answer = await world.send_request('/lookup/x')
            ran = [len(backend.ran) for backend in world.backends(1)]
            return ready.status, answer.status, ran

        self.assertEqual(play(scenario), (200, 200, [1, 1]))

    def test_evacuation_opens_no_connections(self):
        """Guards against a storm of connections to the other zones."""

        async def scenario(world):
            opened = []
            open_socket = links.open_socket

            async def record(address, port, timeout_s):
                opened.append(port)
                return await open_socket(address, port, timeout_s)

            with mock.patch.object(links, 'open_socket', record):
                await world.evacuate()
                await curio.sleep(0.5)
            return set(opened) - {world.store_port}

        self.assertEqual(play(scenario), set())

    def test_evacuation_survives_a_lost_history(self):
        """Guards against an evacuation forgotten or kept after a new read."""

        async def scenario(world):
            await world.evacuate()
            world.store.forget_history()
            world.publish(2, '/search/')
            await loops.until(lambda: world.host._table.revision == 2)
            kept = world.host.directory.evacuated_zones
            world.store.remove(KEY)
            world.store.forget_history()
            await world.until_evacuated(world.host, set())
            return kept

        self.assertEqual(play(scenario), {'z2'})

    def test_host_that_starts_in_an_evacuation_sends_nothing_there(self):
        """Guards against the first requests of a host that starts."""

        async def scenario(world, forget_history):
            world.store.freeze_stale_reads()
            world.store.put(KEY, '')
            if forget_history:
                world.store.forget_history()
            parts = await world.add_host('host-2')
            await loops.until(lambda: parts.host.ready)
            backends = parts.host.directory
            return backends.evacuated_zones, backends.usable('a')

        for forget_history in (False, True):
            started = functools.partial(scenario, forget_history=forget_history)
            with self.subTest(forget_history=forget_history):
                self.assertEqual(play(started), ({'z2'}, ('a0',)))


class FleetTest(unittest.TestCase):
    def test_handed_over_parts_avoid_the_zone(self):
        """Guards against owners that use an evacuated zone for others."""

        async def scenario(world):
            world.store.put(KEY, '')
            await loops.until(
                lambda: all(
                    parts.host.directory.evacuated_zones
                    for parts in world.hosts()
                ),
                EVACUATE_S,
            )
            for number in range(5):
                await world.send_request(
                    test_peering.TARGET, request_id=f'r{number}'
                )
            return [
                backend_id
                for backend_id, backend in world.backends_by_id.items()
                if backend_id.endswith('1') and backend.ran
            ]

        self.assertEqual(test_peering.play(scenario, DividedWorld), [])

    def test_turned_away_hosts_learn_of_it(self):
        """Guards against requests of hosts that the store refuses."""

        async def scenario(world):
            world.turn_away(world.ranked_ids[:-1], status=503)
            world.store.put(KEY, '')
            await loops.until(
                lambda: all(
                    parts.host.directory.evacuated_zones
                    for parts in world.hosts_by_id.values()
                ),
                EVACUATE_S - test_turned_away.MARGIN_S,
            )
            return True

        self.assertTrue(test_turned_away.play(scenario))


if __name__ == '__main__':
    unittest.main()
