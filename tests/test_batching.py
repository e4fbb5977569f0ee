"""Number of items that share a call."""

import random
import unittest

from cardamomflow import batching

CALL_S = 0.06


class BatchSizeTest(unittest.TestCase):
    def setUp(self):
        self.size = batching.BatchSize()
        self.random = random.Random(1)

    def work(self, calls, call_s, item_s, waiting=16):
        """Carry out calls as large as allowed; return their sizes.

        Their times vary by a fifth, as on a shared machine.
        """
        sizes = []
        for _ in range(calls):
            count = min(self.size.limit(), self.random.randint(1, waiting))
            sizes.append(count)
            spread = self.random.uniform(0.8, 1.2)
            self.size.learn(count, spread * (call_s + item_s * count))
        return sizes

    def test_cost_of_a_call_is_not_taken_for_that_of_its_items(self):
        """Guards against calls that shrink to one item on a busy machine.

        Pattern: a busy machine, where each call takes long whatever it
        carries; a backlog that only calls of many items can work off.
        """
        self.work(200, 0.003, 0.0002)
        sizes = self.work(400, CALL_S, 0.0002)
        self.assertGreater(sum(sizes[-200:]) / 200, 6)

    def test_calls_of_one_item_grow_again(self):
        """Guards against a size that nothing corrects."""
        self.work(200, 0, 0.05)
        self.assertEqual(self.size.limit(), 1)
        sizes = self.work(1000, CALL_S, 0.0002)
        self.assertGreater(sum(sizes[-200:]) / 200, 6)

    def test_long_items_share_no_call(self):
        """Guards against urgent work behind a call of many long items."""
        sizes = self.work(400, 0.003, 0.025)
        self.assertLess(sum(sizes[-200:]) / 200, 1.1)

    def test_items_at_most_double_a_call_that_costs_much(self):
        """Guards against calls that are long only because of their items."""
        self.work(400, CALL_S, 0.015)
        self.assertLessEqual(self.size.limit(), 6)
        self.assertGreaterEqual(self.size.limit(), 3)

    def test_first_calls_are_large(self):
        """Guards against a start with one call for each item."""
        self.assertEqual(self.size.limit(), batching.MAXIMUM_ITEMS)
