"""Checks of the retry budget, backoff and attempt timeout."""

import random
import unittest

from cardamomflow import retries, rules


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_within_the_share(self):
        """Guards against a retry storm when every attempt fails."""
        budget = retries.RetryBudget(rules.Retries(budget_share=0.1))
        self.assertFalse(budget.withdraw())
        granted = 0
        for _ in range(5000):
            budget.record_first_attempts(1)
            granted += budget.withdraw()
        self.assertLessEqual(granted, 500)
        self.assertGreaterEqual(granted, 490)

    def test_tokens_are_bounded_after_a_time_without_failures(self):
        """Guards against a burst of retries after hours without failures."""
        budget = retries.RetryBudget(rules.Retries(budget_share=0.1))
        budget.record_first_attempts(10**9)
        granted = sum(budget.withdraw() for _ in range(1000))
        self.assertEqual(granted, retries.MAXIMUM_TOKENS)


class BackoffTest(unittest.TestCase):
    def test_mean_doubles_and_is_jittered(self):
        """Guards against retries that arrive all at once."""
        source = random.Random(1)
        for attempt, mean_s in ((1, 0.005), (2, 0.01)):
            delays = [
                retries.backoff_s(attempt, 5, source) for _ in range(2000)
            ]
            self.assertAlmostEqual(
                sum(delays) / 2000, mean_s, delta=mean_s / 10
            )
            self.assertGreater(max(delays) - min(delays), mean_s)

    def test_delay_is_capped(self):
        """Guards against a retry that waits longer than any deadline."""
        delay_s = retries.backoff_s(60, 5, random.Random(1))
        self.assertLessEqual(delay_s, retries.BACKOFF_CAP_S)


class AttemptTimeoutTest(unittest.TestCase):
    def test_leaves_time_for_a_second_attempt(self):
        """Guards against a first attempt that uses up the deadline."""
        self.assertEqual(retries.attempt_timeout_s(0.36, 0.04), 0.18)

    def test_long_deadline_does_not_keep_a_hung_connection(self):
        """Guards against bulk work that occupies its slot for 15 s."""
        self.assertEqual(retries.attempt_timeout_s(30, 0.04), 0.4)
