"""Checks of the decision modules together, in the model of `bench/`."""

import functools
import unittest

from bench import policy
from cardamomflow import rules

URGENT, STANDARD, BULK = rules.Rank
SMALL = policy.SIZES[0]._replace(services=4)
DURATION_S = 4.0
EXTRA_LOAD = 1.15


@functools.cache
def simulate(scenario, sender='policy', seed=5):
    return policy.simulate(scenario, SMALL, sender, seed, DURATION_S)


class PolicyScenariosTest(unittest.TestCase):
    def check_ranks(self, one, ranks):
        for rank in ranks:
            self.assertGreaterEqual(one.goodput[rank], 0.99, rank)
            self.assertGreaterEqual(one.coverage[rank], 0.99, rank)

    def test_faults_cost_no_rank_its_target(self):
        """Guards against a fault of one replica that reaches callers."""
        for scenario in ('steady', 'straggler', 'replica_lost', 'gray_replica'):
            with self.subTest(scenario):
                self.check_ranks(simulate(scenario), rules.Rank)

    def test_extra_load_stays_within_both_budgets(self):
        """Guards against hedges and retries that add to an overload."""
        for scenario in policy.SCENARIOS:
            with self.subTest(scenario):
                self.assertLessEqual(simulate(scenario).extra_load, EXTRA_LOAD)

    def test_urgent_work_keeps_its_target_in_a_bulk_flood(self):
        """Guards against a flood of bulk work before urgent work."""
        for scenario in ('bulk_flood', 'straggler_and_bulk_flood'):
            with self.subTest(scenario):
                self.check_ranks(simulate(scenario), (URGENT, STANDARD))
                plain = simulate(scenario, 'baseline')
                self.assertLess(plain.goodput[URGENT], 0.9)

    def test_other_ranks_keep_their_share_in_an_urgent_flood(self):
        """Guards against starvation by the most urgent rank."""
        one = simulate('urgent_flood')
        self.check_ranks(one, (STANDARD, BULK))
        refused = one.refusals[URGENT]
        self.assertGreater(sum(refused.values()), 0)
        self.assertLessEqual(
            set(refused), {'overloaded', 'deadline_unreachable'}
        )

    def test_zone_cut_keeps_urgent_work(self):
        """Guards against attempts that hang on the cut half."""
        self.check_ranks(simulate('zone_cut'), (URGENT,))

    def test_platform_outage_has_no_effect_on_queries(self):
        """Guards against a frozen host list that stops a service."""
        down = simulate('platform_down')
        steady = simulate('steady')
        self.assertEqual(down.quantiles_ms, steady.quantiles_ms)
        self.assertEqual(down.goodput, steady.goodput)

    def test_same_seed_gives_the_same_figures(self):
        """Guards against figures that can't be repeated."""
        again = policy.simulate('straggler', SMALL, 'policy', 5, DURATION_S)
        first = simulate('straggler')
        self.assertEqual(
            again._replace(elapsed_s=0), first._replace(elapsed_s=0)
        )
