"""Checks of the detection of silent zones and of cut-off hosts."""

import random
import time
import unittest
from unittest import mock

import curio

from cardamomflow import reachability, requeststate, routes, zonewatch
from tests import loops, test_dispatching


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.reachability = reachability.Reachability()
        self.reachability.check(0.0)

    def send_requests(self, count, now):
        for number in range(count):
            self.reachability.record_request('z2', f'i{number}', now)

    def check_until(self, end):
        """Check every 100 ms; return the zones that became silent.

        No probe of a zone is answered.
        """
        silent = []
        for step in range(1, round(end / 0.1) + 1):
            for zone in self.reachability.check(step / 10):
                if self.reachability.mark_silent(zone, step / 10):
                    silent.append(zone)
        return silent

    def test_zone_without_any_answer_is_silent(self):
        """Guards against requests that wait for a zone that is cut off."""
        self.send_requests(5, 0.0)
        self.assertEqual(self.check_until(1.0), ['z2'])
        self.assertTrue(self.reachability.is_silent('z2'))
        self.assertTrue(self.reachability.record_answer('z2'))
        self.assertFalse(self.reachability.is_silent('z2'))

    def test_zone_with_one_answer_is_reachable(self):
        """Guards against a zone treated as silent for its stragglers."""
        self.send_requests(5, 0.0)
        self.check_until(0.4)
        self.reachability.record_answer('z2')
        self.assertEqual(self.check_until(1.0), [])

    def test_two_silent_backend_servers_are_no_silent_zone(self):
        """Guards against a zone treated as silent for a crashed service."""
        self.send_requests(2, 0.0)
        self.assertEqual(self.check_until(3.0), [])

    def test_stalled_process_suspects_no_zone(self):
        """Guards against a resumed host that treats all zones as silent.

        The answers have arrived, but it has not read them yet.
        """
        self.send_requests(5, 0.0)
        self.assertEqual(self.reachability.check(4.0), [])
        self.assertEqual(self.reachability.check(4.1), [])


class _Transport:
    """Accepts connections to the reachable zones."""

    def __init__(self):
        self.reachable_zones = {'z1', 'z2'}

    async def can_connect(self, backend, timeout_s):
        return backend.availability_zone in self.reachable_zones


class ZoneWatchTest(unittest.TestCase):
    def test_host_reports_that_it_is_cut_off_and_connected_again(self):
        """Guards against callers that are kept by a host that is cut off."""
        world = test_dispatching.World()
        for service in 'cde':
            world.directory.update_entry(
                test_dispatching.make_backend(
                    f'{service}0', service, availability_zone='z2'
                )
            )
        process_context = mock.Mock(
            clock=time.monotonic, random=random.Random(1)
        )
        transport = _Transport()
        watch = zonewatch.ZoneWatch(
            process_context, world.directory, world.dispatcher, transport
        )
        reports = []
        watch.on_cut_off_change = reports.append
        route = test_dispatching.make_route('acde', minimum_share=1)
        watch.apply(routes.RouteTable(1, [route], {}, None))

        async def scenario():
            watch_task = await curio.spawn(watch.run)
            # The first check treats the process as stalled.
            zone_states = world.dispatcher.reachability
            await loops.until(lambda: zone_states._checked_at > 0)
            transport.reachable_zones.remove('z2')
            world.start(route, now=time.monotonic())
            await loops.until(lambda: watch.is_cut_off)
            transport.reachable_zones.add('z2')
            await loops.until(lambda: not watch.is_cut_off)
            await watch_task.cancel()

        loops.run(scenario)
        self.assertEqual(reports, [True, False])


class SilentZoneTest(unittest.TestCase):
    def make_world_with_silent_zone(self):
        """Return a world in which zone z2 has not answered for a second."""
        world = test_dispatching.World()
        for number in range(2):
            world.directory.update_entry(
                test_dispatching.make_backend(
                    f'b{number}', 'b', availability_zone='z2'
                )
            )
        for service in 'cd':
            world.directory.update_entry(
                test_dispatching.make_backend(
                    f'{service}0', service, availability_zone='z2'
                )
            )
        zone_states = world.dispatcher.reachability
        zone_states.check(0.0)
        for backend_id in ('b0', 'c0', 'd0'):
            zone_states.record_request('z2', backend_id, 0.0)
        for step in range(1, 11):
            zone_states.check(step / 10)
        zone_states.mark_silent('z2', 1.0)
        return world

    def test_request_that_needs_a_silent_zone_is_refused_at_once(self):
        """Guards against callers that wait for a silent zone until timeout."""
        world = self.make_world_with_silent_zone()
        work = world.start(
            test_dispatching.make_route(minimum_share=1), now=1.0
        )
        self.assertEqual(world.send_attempts(), [])
        self.assertTrue(work.is_finished(1.0))
        self.assertIs(work.end(), requeststate.Ending.NOT_RUN)

    def test_request_that_needs_no_silent_zone_is_served(self):
        """Guards against refusals of requests that could be served."""
        world = self.make_world_with_silent_zone()
        work = world.start(test_dispatching.make_route(), now=1.0)
        (attempt,) = world.send_attempts()
        self.assertEqual(attempt.subrequest.service, 'a')
        world.dispatcher.on_reply(attempt, test_dispatching.reply(), 1.01)
        self.assertTrue(work.is_finished(1.01))

    def test_host_reports_which_services_it_can_serve(self):
        """Guards against a host that keeps callers it can't serve."""
        dispatcher = self.make_world_with_silent_zone().dispatcher
        self.assertTrue(dispatcher.can_serve(('a', 'b'), 1))
        self.assertFalse(dispatcher.can_serve(('a', 'b'), 2))
