"""Load patterns that overload backend servers, without a network."""

import unittest
from unittest import mock

from cardamomflow import occupancy, requeststate, rules
from lab import deployments, scenarios, worlds
from tests import test_dispatching

SEEDS = (1, 2, 3)
# Disables the limit by slots, so that only the share of connections limits.
UNLIMITED = 1000
IDLE = requeststate.Load(0, 0, 2)
BUSY = requeststate.Load(2, 3, 2)


def share_of_checks_in_target(deployment, scenario):
    """Return the share of urgent checks that met their target."""
    offered = 0
    in_target = 0
    for seed in SEEDS:
        world = worlds.World(deployment(), seed, 'product')
        scenario(world)
        world.run(scenarios.LENGTH_S)
        figures = world.figures_by_kind['check']
        offered += figures.offered
        in_target += figures.in_target
    return in_target / offered


class QueueOfBackendServersTest(unittest.TestCase):
    """Searches that fill the queues of backend servers, which ignore ranks.

    This occurs when the backend servers of many shards are slow.
    """

    def assert_limit_helps_checks(self, scenario):
        limited = share_of_checks_in_target(deployments.fjordlyd, scenario)
        with mock.patch.object(occupancy, 'REQUESTS_PER_SLOT', UNLIMITED):
            unlimited = share_of_checks_in_target(
                deployments.fjordlyd, scenario
            )
        self.assertGreater(limited, unlimited)
        self.assertGreater(limited, 0.9)

    def test_slow_backend_servers_of_many_shards(self):
        """Guards against checks queued behind searches that wait for hedges."""
        self.assert_limit_helps_checks(scenarios.slow_across)

    def test_flood_of_checks(self):
        """Guards against a flood of urgent requests that fills the queues."""
        self.assert_limit_helps_checks(scenarios.urgent_flood)

    def test_zone_that_returns_cold(self):
        """Guards against half of the backend servers getting all requests."""
        self.assert_limit_helps_checks(scenarios.cold_zone)


class ShareOfSlotsTest(unittest.TestCase):
    def setUp(self):
        # With 8 hosts and 2 slots the share is one request.
        self.world = test_dispatching.World(
            ('a',), replicas=1, connections=26, hosts=8
        )
        self.report(IDLE)

    def report(self, load):
        """Let the backend server report its load with an answer."""
        self.world.start(test_dispatching.make_route('a'))
        (attempt,) = self.world.send_attempts()
        self.world.dispatcher.on_reply(
            attempt, test_dispatching.reply(load=load), 0.0
        )

    def start(self, rank):
        """Start a request; return whether it was sent."""
        self.world.start(test_dispatching.make_route('a', rank=rank))
        return bool(self.world.send_attempts())

    def test_searches_wait_at_the_host(self):
        """Guards against a queue that serves searches before checks."""
        sent = [self.start(rules.Rank.STANDARD) for _ in range(3)]
        self.assertEqual(sent, [True, False, False])

    def test_check_overtakes_a_search_of_its_host(self):
        """Guards against an urgent request behind a less urgent one."""
        self.start(rules.Rank.STANDARD)
        self.assertTrue(self.start(rules.Rank.URGENT))
        self.assertFalse(self.start(rules.Rank.URGENT))

    def test_unknown_slots_do_not_limit(self):
        """Guards against only one request for services that report no load."""
        world = test_dispatching.World(
            ('a',), replicas=1, connections=26, hosts=8
        )
        for _ in range(3):
            world.start(test_dispatching.make_route('a'))
        self.assertEqual(len(world.send_attempts()), 3)

    def test_few_hosts_use_all_slots(self):
        """Guards against unused slots in a small fleet."""
        world = test_dispatching.World(('a',), replicas=1, connections=26)
        world.dispatcher.occupancy.record_load('a0', IDLE)
        for _ in range(9):
            world.start(test_dispatching.make_route('a', rank=rules.Rank.BULK))
        self.assertEqual(
            len(world.send_attempts()), IDLE.slots * occupancy.REQUESTS_PER_SLOT
        )


class HedgeTest(unittest.TestCase):
    """Hedges in overload, when they lengthen the queues."""

    def hedges(self, load):
        """Return how many hedges two requests at different servers start."""
        world = test_dispatching.World(('a',), connections=26, hosts=8)
        for backend_id in ('a0', 'a1'):
            world.dispatcher.occupancy.record_load(backend_id, load)
        route = test_dispatching.make_route('a', rank=rules.Rank.STANDARD)
        works = [world.start(route) for _ in range(2)]
        self.assertEqual(len(world.send_attempts()), 2)
        for work in works:
            world.dispatcher.tick(work, work.answer_at)
        return len(world.send_attempts())

    def test_hedge_goes_to_a_short_queue_only(self):
        """Guards against hedges behind the requests they should overtake."""
        self.assertEqual(self.hedges(IDLE), 2)
        self.assertEqual(self.hedges(BUSY), 0)

    def test_hedges_stop_in_overload(self):
        """Guards against hedges that delay the requests of other callers.

        This occurs when callers leave early and try again.
        """
        limit = occupancy.MAX_WAITING_BEFORE_HEDGE
        world = test_dispatching.World(('a',), connections=26, hosts=8)
        route = test_dispatching.make_route('a', rank=rules.Rank.STANDARD)
        work = world.start(route)
        world.send_attempts()
        for waiting, expected in ((limit + 1, 0), (limit, 1)):
            for backend_id in ('a0', 'a1'):
                world.dispatcher.occupancy.record_load(
                    backend_id, requeststate.Load(2, waiting, 2)
                )
            world.dispatcher.tick(work, work.answer_at)
            self.assertEqual(len(world.send_attempts()), expected)


if __name__ == '__main__':
    unittest.main()
