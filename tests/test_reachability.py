"""Zones that fall silent, in virtual time."""

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

    def ask(self, count, now):
        for number in range(count):
            self.reachability.asked('z2', f'i{number}', now)

    def check_until(self, end):
        """Check as often as a host does; returns the zones that fell.

        No probe of a zone is answered.
        """
        fallen = []
        for step in range(1, round(end / 0.1) + 1):
            for zone in self.reachability.check(step / 10):
                if self.reachability.lost(zone, step / 10):
                    fallen.append(zone)
        return fallen

    def test_zone_without_any_answer_is_silent(self):
        """Guards against requests that wait for a zone that is cut off."""
        self.ask(5, 0.0)
        self.assertEqual(self.check_until(1.0), ['z2'])
        self.assertTrue(self.reachability.is_silent('z2'))
        self.assertTrue(self.reachability.answered('z2'))
        self.assertFalse(self.reachability.is_silent('z2'))

    def test_one_answer_shows_that_a_zone_is_reached(self):
        """Guards against a zone given up for its stragglers."""
        self.ask(5, 0.0)
        self.check_until(0.4)
        self.reachability.answered('z2')
        self.assertEqual(self.check_until(1.0), [])

    def test_two_silent_backend_servers_are_no_cut(self):
        """Guards against a zone given up for a crashed service."""
        self.ask(2, 0.0)
        self.assertEqual(self.check_until(3.0), [])

    def test_stalled_process_draws_no_conclusion(self):
        """Guards against a host that woke up and trusts nobody.

        It has the answers, but has not read them yet.
        """
        self.ask(5, 0.0)
        self.assertEqual(self.reachability.check(4.0), [])
        self.assertEqual(self.reachability.check(4.1), [])


class _Transport:
    """Accepts connections to the zones that are reached."""

    def __init__(self):
        self.reached = {'z1', 'z2'}

    async def can_connect(self, backend, timeout_s):
        return backend.availability_zone in self.reached


class ZoneWatchTest(unittest.TestCase):
    def test_host_leaves_the_rotation_and_comes_back(self):
        """Guards against callers that stay at a host that is cut off."""
        world = test_dispatching.World()
        for service in 'cde':
            world.directory.listed(
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
        told = []
        watch.turn_away = told.append
        route = test_dispatching.make_route('acde', minimum_share=1)
        watch.apply(routes.RouteTable(1, [route], {}, None))

        async def scenario():
            watching = await curio.spawn(watch.run)
            # The first look takes the process for one that was stopped.
            reached = world.dispatcher.reachability
            await loops.until(lambda: reached._checked_at > 0)
            transport.reached.remove('z2')
            world.start(route, now=time.monotonic())
            await loops.until(lambda: watch.is_cut_off)
            transport.reached.add('z2')
            await loops.until(lambda: not watch.is_cut_off)
            await watching.cancel()

        loops.run(scenario)
        self.assertEqual(told, [True, False])


class CutZoneTest(unittest.TestCase):
    def cut_world(self):
        """Return a world in which zone z2 has not answered for a second."""
        world = test_dispatching.World()
        for number in range(2):
            world.directory.listed(
                test_dispatching.make_backend(
                    f'b{number}', 'b', availability_zone='z2'
                )
            )
        for service in 'cd':
            world.directory.listed(
                test_dispatching.make_backend(
                    f'{service}0', service, availability_zone='z2'
                )
            )
        reached = world.dispatcher.reachability
        reached.check(0.0)
        for backend_id in ('b0', 'c0', 'd0'):
            reached.asked('z2', backend_id, 0.0)
        for step in range(1, 11):
            reached.check(step / 10)
        reached.lost('z2', 1.0)
        return world

    def test_request_that_needs_a_cut_zone_is_refused_at_once(self):
        """Guards against callers that wait out their deadline in a cut."""
        world = self.cut_world()
        work = world.start(
            test_dispatching.make_route(minimum_share=1), now=1.0
        )
        self.assertEqual(world.sends(), [])
        self.assertTrue(work.is_finished(1.0))
        self.assertIs(work.end(), requeststate.Ending.NOT_RUN)

    def test_request_that_can_do_without_is_served(self):
        """Guards against a cut that takes more than the zone."""
        world = self.cut_world()
        work = world.start(test_dispatching.make_route(), now=1.0)
        (attempt,) = world.sends()
        self.assertEqual(attempt.subrequest.service, 'a')
        world.dispatcher.answered(attempt, test_dispatching.reply(), 1.01)
        self.assertTrue(work.is_finished(1.01))

    def test_host_knows_what_it_can_not_serve(self):
        """Guards against a host that keeps callers it can not serve."""
        dispatcher = self.cut_world().dispatcher
        self.assertTrue(dispatcher.can_serve(('a', 'b'), 1))
        self.assertFalse(dispatcher.can_serve(('a', 'b'), 2))
