"""Tests of the structured log of the processes."""

import json
import subprocess
import sys
import unittest

PROGRAM = """
from cardamomflow import journal
journal.create('entry-1').info('started', port=8080)
"""


class JournalTest(unittest.TestCase):
    def test_line_goes_to_standard_output(self):
        """Guards against log lines that don't go to standard output."""
        finished = subprocess.run(
            [sys.executable, '-c', PROGRAM],
            capture_output=True,
            text=True,
            check=True,
            timeout=30,
        )
        line = json.loads(finished.stdout)
        self.assertEqual(finished.stderr, '')
        self.assertEqual(line['event'], 'started')
        self.assertEqual(line['process'], 'entry-1')
        self.assertEqual(line['level'], 'info')
        self.assertEqual(line['port'], 8080)
