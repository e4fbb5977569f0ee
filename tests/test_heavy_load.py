"""Heaviest loads in modules without network, each with its pattern."""

import unittest
from unittest import mock

from cardamomflow import occupancy, requeststate, rules
from lab import deployments, scenarios, worlds
from tests import test_dispatching

SEEDS = (1, 2, 3)
# Takes the bound of the slots away: each host holds its share of connections.
UNBOUNDED = 1000
IDLE = requeststate.Load(0, 0, 2)
BUSY = requeststate.Load(2, 3, 2)


def urgent_in_target(deployment, scenario):
    """Return the share of urgent checks that kept their target."""
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
    """Searches that fill the queues of backend servers, which know no ranks.

    The pattern of the days on which backend servers of many shards are slow.
    """

    def assert_checks_gain(self, scenario):
        bounded = urgent_in_target(deployments.fjordlyd, scenario)
        with mock.patch.object(occupancy, 'REQUESTS_PER_SLOT', UNBOUNDED):
            unbounded = urgent_in_target(deployments.fjordlyd, scenario)
        self.assertGreater(bounded, unbounded)
        self.assertGreater(bounded, 0.9)

    def test_slow_backend_servers_of_many_shards(self):
        """Guards against checks behind the searches that wait for hedges."""
        self.assert_checks_gain(scenarios.slow_across)

    def test_flood_of_checks(self):
        """Guards against a flood of the urgent rank that fills the queues."""
        self.assert_checks_gain(scenarios.urgent_flood)

    def test_zone_that_returns_cold(self):
        """Guards against half of the backend servers taking all the work."""
        self.assert_checks_gain(scenarios.cold_zone)


class ShareOfSlotsTest(unittest.TestCase):
    def setUp(self):
        # With 8 hosts and 2 slots the share is one request.
        self.world = test_dispatching.World(
            ('a',), replicas=1, connections=26, hosts=8
        )
        self.report(IDLE)

    def report(self, load):
        """Let the backend server tell its load with an answer."""
        self.world.start(test_dispatching.make_route('a'))
        (attempt,) = self.world.sends()
        self.world.dispatcher.answered(
            attempt, test_dispatching.reply(load=load), 0.0
        )

    def start(self, rank):
        """Start a request; tell whether it was sent."""
        self.world.start(test_dispatching.make_route('a', rank=rank))
        return bool(self.world.sends())

    def test_searches_wait_at_the_host(self):
        """Guards against a queue that serves searches before checks."""
        sent = [self.start(rules.Rank.STANDARD) for _ in range(3)]
        self.assertEqual(sent, [True, False, False])

    def test_check_passes_a_search_of_its_host(self):
        """Guards against an urgent request behind a less urgent one."""
        self.start(rules.Rank.STANDARD)
        self.assertTrue(self.start(rules.Rank.URGENT))
        self.assertFalse(self.start(rules.Rank.URGENT))

    def test_unknown_slots_are_no_bound(self):
        """Guards against services that tell no load and get one request."""
        world = test_dispatching.World(
            ('a',), replicas=1, connections=26, hosts=8
        )
        for _ in range(3):
            world.start(test_dispatching.make_route('a'))
        self.assertEqual(len(world.sends()), 3)

    def test_few_hosts_use_all_slots(self):
        """Guards against slots that stay free in a small fleet."""
        world = test_dispatching.World(('a',), replicas=1, connections=26)
        world.dispatcher.occupancy.reported('a0', IDLE)
        for _ in range(9):
            world.start(test_dispatching.make_route('a', rank=rules.Rank.BULK))
        self.assertEqual(
            len(world.sends()), IDLE.slots * occupancy.REQUESTS_PER_SLOT
        )


class HedgeTest(unittest.TestCase):
    """Hedges in overload: they fill the queues that they are to avoid."""

    def hedges(self, load):
        """Return the hedges at a backend server that has one request."""
        world = test_dispatching.World(('a',), connections=26, hosts=8)
        for backend_id in ('a0', 'a1'):
            world.dispatcher.occupancy.reported(backend_id, load)
        route = test_dispatching.make_route('a', rank=rules.Rank.STANDARD)
        works = [world.start(route) for _ in range(2)]
        self.assertEqual(len(world.sends()), 2)
        for work in works:
            world.dispatcher.tick(work, work.answer_at)
        return len(world.sends())

    def test_hedge_goes_to_a_short_queue_only(self):
        """Guards against hedges that wait behind what they are to pass."""
        self.assertEqual(self.hedges(IDLE), 2)
        self.assertEqual(self.hedges(BUSY), 0)

    def test_hedges_stop_in_overload(self):
        """Guards against hedges that delay the requests of other callers.

        The pattern of callers who leave early and come back.
        """
        limit = occupancy.MAX_WAITING_BEFORE_HEDGE
        world = test_dispatching.World(('a',), connections=26, hosts=8)
        route = test_dispatching.make_route('a', rank=rules.Rank.STANDARD)
        work = world.start(route)
        world.sends()
        for waiting, expected in ((limit + 1, 0), (limit, 1)):
            for backend_id in ('a0', 'a1'):
                world.dispatcher.occupancy.reported(
                    backend_id, requeststate.Load(2, waiting, 2)
                )
            world.dispatcher.tick(work, work.answer_at)
            self.assertEqual(len(world.sends()), expected)


if __name__ == '__main__':
    unittest.main()
