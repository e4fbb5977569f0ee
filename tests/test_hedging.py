"""Checks of the hedge delay and budget."""

import unittest

from cardamomflow import hedging, rules


class HedgePolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = hedging.HedgePolicy(
            rules.Hedging(extra_load_share=0.05, minimum_delay_ms=5)
        )

    def test_delay_is_the_p95_of_the_service(self):
        """Guards against a delay measured on another service."""
        for step in range(1, 201):
            self.policy.observe('lots', step / 1000)
            self.policy.observe('quick', 0.001)
        self.assertAlmostEqual(self.policy.delay_s('lots'), 0.191)
        self.assertEqual(self.policy.delay_s('quick'), 0.005)

    def test_old_latencies_are_forgotten(self):
        """Guards against a delay that stays long after a slow period."""
        for step in range(400):
            self.policy.observe('lots', 1 if step < 200 else 0.01)
        self.assertEqual(self.policy.delay_s('lots'), 0.01)

    def test_unknown_service_has_the_default_delay(self):
        """Guards against a delay computed from a few calls."""
        self.policy.observe('lots', 0.001)
        self.assertEqual(self.policy.delay_s('lots'), hedging.DEFAULT_DELAY_S)

    def test_hedges_stay_within_the_share(self):
        """Guards against too much extra load when every attempt is slow."""
        self.assertFalse(self.policy.withdraw_token(0))
        granted = 0
        for _ in range(10000):
            self.policy.record_first_attempts(1)
            granted += self.policy.withdraw_token(0)
        self.assertLessEqual(granted, 500)
        self.assertGreaterEqual(granted, 490)

    def test_no_hedge_while_items_wait(self):
        """Guards against hedges that delay queued work.

        A refused hedge must not use up a token.
        """
        self.policy.record_first_attempts(20)
        self.assertFalse(self.policy.withdraw_token(1))
        self.assertTrue(self.policy.withdraw_token(0))
        self.assertFalse(self.policy.withdraw_token(0))
