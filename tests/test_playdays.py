"""Parsing of the result tables of the users' bench."""

import unittest

from tests import playdays

TABLE = """
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 8/13   0.84  0.737  0.996   0.000  0.000  prices 0.255
trouble-3 --seed 641 8/13 0.00  0.611  0.9  0.000  BROKEN: CONFIG 5, BUDGET 1
quiet-9                66/14   0.00  -0.360  0.280   0.000  0.000  class 0.07
"""


class TableTest(unittest.TestCase):
    def test_rows_are_read(self):
        """Guards against a broken rule that is missing from the records."""
        rows = playdays.parse_rows(TABLE, {'quiet-1': 7})
        self.assertEqual(
            [(row['day'], row['worth'], row['breaks']) for row in rows],
            [
                ('quiet-1', 0.737, []),
                ('trouble-3 --seed 641', 0.611, ['CONFIG', 'BUDGET']),
                ('quiet-9', -0.36, []),
            ],
        )
        self.assertEqual(rows[0]['seed'], 7)
