"""Parsing of the result tables of the users' bench."""

import os
import pathlib
import tempfile
import unittest

import click

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


class FolderTest(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.root = pathlib.Path(folder)

    def create(self, *names):
        for name in names:
            path = self.root / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text('')

    def test_newest_bench_is_used(self):
        """Guards against days of an outdated bench."""
        self.assertIsNone(playdays.find_bench(self.root))
        self.create('bin/fleetbench')
        first = self.root / 'bin/fleetbench'
        self.assertEqual(playdays.find_bench(self.root), first)
        self.create(
            'more/bench-a/bin/fleetbench', 'more/bench-b/bin/fleetbench'
        )
        newest = self.root / 'more/bench-a/bin/fleetbench'
        os.utime(self.root / 'more/bench-b/bin/fleetbench', (1, 1))
        self.assertEqual(playdays.find_bench(self.root), newest)

    def test_site_is_found_in_any_open_folder(self):
        """Guards against a site that can't be run by its name."""
        self.create('sites/a.toml', 'large/b.toml', 'closed/c.toml')
        site = self.root / 'large/b.toml'
        self.assertEqual(playdays.find_site(self.root, 'b'), site)
        with self.assertRaisesRegex(click.ClickException, 'a, b'):
            playdays.find_site(self.root, 'c')
        self.assertEqual(
            playdays.default_sites(self.root), [self.root / 'sites/a.toml']
        )
