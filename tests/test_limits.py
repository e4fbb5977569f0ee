"""Checks of the adaptive concurrency limit."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from cardamomflow import limits

SUCCESS = limits.CallOutcome.SUCCESS


class ConcurrencyLimitTest(unittest.TestCase):
    def run_calls(self, limit, latency_s, calls, now=0):
        """Keep the limit full and release calls with one latency each."""
        for _ in range(calls):
            for _ in range(limit.limit - limit.in_flight):
                limit.try_acquire(now)
            now += 0.01
            limit.release(SUCCESS, latency_s(limit), now)
        return now

    def test_no_call_above_the_limit(self):
        """Guards against more calls than connections."""
        limit = limits.ConcurrencyLimit(2)
        acquired = [limit.try_acquire(0) for _ in range(3)]
        self.assertEqual(acquired, [True, True, False])

    def test_grows_while_latency_stays(self):
        """Guards against a limit that leaves slots unused."""
        limit = limits.ConcurrencyLimit(8)
        self.run_calls(limit, lambda _: 0.01, 400)
        self.assertEqual(limit.limit, 8)

    def test_settles_near_the_slots(self):
        """Guards against queues inside the backend server."""
        limit = limits.ConcurrencyLimit(13)
        slots = 3
        self.run_calls(
            limit,
            lambda full_limit: 0.01 * max(1, full_limit.in_flight / slots),
            4000,
        )
        self.assertLessEqual(limit.limit, 3 * slots)

    def test_usual_spread_of_latency_does_not_shrink_the_limit(self):
        """Guards against a limit of 1 when latencies only vary."""
        source = random.Random(7)
        limit = limits.ConcurrencyLimit(2)

        def latency_s(_):
            return 0.006 * source.lognormvariate(0, 0.8)

        low_windows = 0
        for window in range(300):
            self.run_calls(limit, latency_s, 32, window)
            low_windows += limit.limit < 2
        self.assertLess(low_windows, 15)

    def test_shed_and_timeout_shrink_and_recover(self):
        """Guards against more load on a server that sheds load."""
        for outcome in (limits.CallOutcome.SHED, limits.CallOutcome.TIMEOUT):
            limit = limits.ConcurrencyLimit(8)
            now = self.run_calls(limit, lambda _: 0.01, 400)
            for _ in range(20):
                limit.release(outcome, 0.01, now)
                limit.try_acquire(now)
                now += 1
            self.assertEqual(limit.limit, 1)
            self.run_calls(limit, lambda _: 0.01, 400, now)
            self.assertEqual(limit.limit, 8)

    def test_refused_connection_halves_the_allowance_for_30_s(self):
        """Guards against two owners that together exceed the connections."""
        limit = limits.ConcurrencyLimit(8)
        now = self.run_calls(limit, lambda _: 0.01, 400)
        limit.release(limits.CallOutcome.REFUSED_CONNECTION, 0, now)
        self.assertEqual(limit.limit, 4)
        self.run_calls(limit, lambda _: 0.01, 2000, now)
        self.assertEqual(limit.limit, 4)
        self.run_calls(limit, lambda _: 0.01, 400, now + 30)
        self.assertEqual(limit.limit, 8)

    def test_cancelled_call_does_not_change_the_limit(self):
        """Guards against cancelled hedges that shrink the limit."""
        limit = limits.ConcurrencyLimit(2)
        for now in range(100):
            limit.try_acquire(now)
            limit.release(limits.CallOutcome.CANCELLED, 9, now)
        self.assertEqual((limit.limit, limit.in_flight), (2, 0))

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 13),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(list(limits.CallOutcome)),
                strategies.floats(0, 2),
            ),
            max_size=200,
        ),
    )
    def test_limit_stays_within_its_bounds(self, maximum, calls):
        """Guards against a limit of 0, which never recovers."""
        limit = limits.ConcurrencyLimit(maximum)
        for now, (outcome, latency_s) in enumerate(calls):
            self.assertTrue(limit.try_acquire(now))
            limit.release(outcome, latency_s, now)
            self.assertTrue(1 <= limit.limit <= maximum)
            self.assertEqual(limit.in_flight, 0)
