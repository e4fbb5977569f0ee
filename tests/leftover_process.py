"""A test that leaves a process behind; run by `test_suite` alone."""

import subprocess
import unittest

LIFETIME_S = 300


class LeftoverTest(unittest.TestCase):
    def test_leaves_a_process(self):
        """Leaves a process that holds the output of its unit open."""
        subprocess.Popen(['sleep', str(LIFETIME_S)])
