"""Memory limit for incomplete bodies."""

import unittest

from cardamomflow import bodybudget


class BodyBudgetTest(unittest.TestCase):
    def test_longest_body_of_the_largest_sender_is_evicted(self):
        """Guards against sound answers lost to the endless ones of others."""
        budget = bodybudget.BodyBudget(limit_bytes=100)
        self.assertEqual(budget.add('faulty', 'f1', 50), [])
        self.assertEqual(budget.add('faulty', 'f2', 20), [])
        # The longest body of all, but of a sender with fewer bytes.
        self.assertEqual(budget.add('sound', 's1', 60), ['f1'])
        self.assertEqual(budget.held_bytes, 80)

    def test_stalled_bodies_give_way(self):
        """Guards against bodies that stall just below the limit for good."""
        budget = bodybudget.BodyBudget(limit_bytes=100)
        for number in range(10):
            budget.add('faulty', number, 10)
        self.assertEqual(len(budget.add('sound', 's1', 15)), 2)

    def test_body_over_the_limit_evicts_itself(self):
        """Guards against a loop without end for a single body."""
        budget = bodybudget.BodyBudget(limit_bytes=100)
        self.assertEqual(budget.add('faulty', 'f1', 101), ['f1'])
        self.assertEqual(budget.held_bytes, 0)

    def test_released_bodies_do_not_count(self):
        """Guards against a limit that complete answers use up."""
        budget = bodybudget.BodyBudget(limit_bytes=100)
        for number in range(20):
            self.assertEqual(budget.add('sound', number, 30), [])
            budget.release('sound', number)
            budget.release('sound', number)
        self.assertEqual(budget.held_bytes, 0)
