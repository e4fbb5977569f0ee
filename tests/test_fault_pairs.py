"""Pairs of faults at real processes, drawn from a seed."""

import unittest

from standins import faultplan

SEED = 2
ROUNDS = 4


class FaultPairTest(unittest.TestCase):
    def test_nothing_is_lost_run_twice_or_told_untruly(self):
        """Guards against untrue answers when two faults meet."""
        report = []
        violations = faultplan.run(SEED, ROUNDS, report.append)
        self.assertEqual(violations, [], report)
