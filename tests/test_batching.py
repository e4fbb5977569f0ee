"""Tests of the number of items that share a call."""

import random
import unittest

from cardamomflow import batching

CALL_S = 0.06


class BatchSizeTest(unittest.TestCase):
    def setUp(self):
        self.estimate = batching.BatchSize()
        self.random = random.Random(1)

    def run_calls(self, calls, call_s, item_s, waiting=16):
        """Record calls of up to the allowed size; return their sizes.

        Their durations vary by 20 %, as on a shared machine.
        """
        sizes = []
        for _ in range(calls):
            count = min(self.estimate.limit(), self.random.randint(1, waiting))
            sizes.append(count)
            noise = self.random.uniform(0.8, 1.2)
            self.estimate.record_call(count, noise * (call_s + item_s * count))
        return sizes

    def test_call_overhead_is_not_attributed_to_items(self):
        """Guards against calls that shrink to one item on a busy machine.

        Each call takes long on a busy machine, whatever its size, and only
        calls with many items can reduce the backlog.
        """
        self.run_calls(200, 0.003, 0.0002)
        sizes = self.run_calls(400, CALL_S, 0.0002)
        self.assertGreater(sum(sizes[-200:]) / 200, 6)

    def test_calls_of_one_item_grow_again(self):
        """Guards against a size that stays at one item."""
        self.run_calls(200, 0, 0.05)
        self.assertEqual(self.estimate.limit(), 1)
        sizes = self.run_calls(1000, CALL_S, 0.0002)
        self.assertGreater(sum(sizes[-200:]) / 200, 6)

    def test_long_items_share_no_call(self):
        """Guards against urgent work delayed by a call of many long items."""
        sizes = self.run_calls(400, 0.003, 0.025)
        self.assertLess(sum(sizes[-200:]) / 200, 1.1)

    def test_items_at_most_double_the_duration_of_a_slow_call(self):
        """Guards against calls that take long only because of their items."""
        self.run_calls(400, CALL_S, 0.015)
        self.assertLessEqual(self.estimate.limit(), 6)
        self.assertGreaterEqual(self.estimate.limit(), 3)

    def test_first_calls_are_large(self):
        """Guards against one call for each item after a start."""
        self.assertEqual(self.estimate.limit(), batching.MAXIMUM_ITEMS)
