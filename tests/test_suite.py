"""Verdict of the test suite."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from tests import leftover_process
from tools import knownred, suite, testunit

LISTED = 'tests.test_a.ATest.test_listed'
OTHER = 'tests.test_a.ATest.test_other'
LOGGED = [f'line {number}' for number in range(suite.LOG_LINES)]
LINE = f'{LISTED} | make test | a refusal | 4'


def finished(seconds_by_test, failed):
    report = testunit.Report(
        seconds_by_test=seconds_by_test, failed=failed, skipped=[]
    )
    unit = suite.Unit('tests.test_a', tuple(seconds_by_test))
    return suite.Finished(unit, report, '', 0)


class KnownRedTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'KNOWN-RED.txt'
            path.write_text(text)
            return knownred.read(path)

    def test_fields_are_read(self):
        """Guards against an entry that lists nothing."""
        entries = self.read(f'# comment\n\n{LINE}\n')
        self.assertEqual(entries[LISTED].issue, '4')
        self.assertEqual(entries[LISTED].command, 'make test')

    def test_incomplete_and_repeated_lines_are_refused(self):
        """Guards against a failure passed over without its evidence."""
        for text in (f'{LISTED} | make test', f'{LINE}\n{LINE}', f'{LINE} |'):
            with self.subTest(text), self.assertRaises(knownred.FormatError):
                self.read(text)

    def test_entry_without_a_test_is_found(self):
        """Guards against an entry that outlives its test."""
        entries = self.read(LINE)
        self.assertEqual(knownred.missing(entries, [OTHER]), [LISTED])
        self.assertEqual(knownred.missing(entries, [LISTED, OTHER]), [])

    def test_missing_list_lists_nothing(self):
        """Guards against a list that has to exist."""
        self.assertEqual(knownred.read(pathlib.Path('/does/not/exist')), {})


class VerdictTest(unittest.TestCase):
    def judge(self, seconds_by_test, failed):
        entry = knownred.Entry(LISTED, 'make test', 'a refusal', '4')
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            status = suite.judge(
                [finished(seconds_by_test, failed)], {LISTED: entry}
            )
        return status, printed.getvalue()

    def test_listed_failure_is_passed_over_and_printed(self):
        """Guards against a listed failure that blocks a landing."""
        status, printed = self.judge({LISTED: 1, OTHER: 1}, [LISTED])
        self.assertEqual(status, 0)
        self.assertIn(f'known red: {LISTED}: failed', printed)
        self.assertIn('1 passed, 0 failed', printed)

    def test_other_failure_is_not_passed_over(self):
        """Guards against a list that hides a new failure."""
        for failed in ([OTHER], [LISTED, OTHER], ['setUpClass (tests.a)']):
            with self.subTest(failed):
                status, printed = self.judge({LISTED: 1, OTHER: 1}, failed)
                self.assertEqual(status, 1)
                self.assertIn(' 1 failed', printed)

    def test_listed_test_that_passes_is_said(self):
        """Guards against entries that stay for ever."""
        status, printed = self.judge({LISTED: 1}, [])
        self.assertEqual(status, 0)
        self.assertIn('passed; the entry may go', printed)

    def test_nothing_run_is_no_success(self):
        """Guards against a green verdict of an empty suite."""
        self.assertEqual(self.judge({}, [])[0], 1)


class UnitTest(unittest.TestCase):
    def test_every_test_is_in_one_unit(self):
        """Guards against tests that no unit runs, or that run twice."""
        tests = [
            'tests.test_faults.A.test_1',
            'tests.test_faults.B.test_1',
            'tests.test_a.A.test_1',
            'tests.test_a.B.test_1',
        ]
        units = suite.divide(tests)
        self.assertEqual(
            sorted(test for unit in units for test in unit.tests),
            sorted(tests),
        )
        self.assertEqual(len(units), 3)
        self.assertEqual(units[-1].name, 'tests.test_a')

    def test_unit_without_a_result_has_failed(self):
        """Guards against a process that ends early and counts as passed."""
        missing = 'tests.test_does_not_exist.A.test_1'
        unit = suite.Unit('missing', (missing,))
        ended = suite.run(unit)
        self.assertTrue(ended.report['failed'])

    def test_process_left_behind_holds_up_nothing(self):
        """Guards against a unit that waits for what its tests left."""
        test = 'tests.leftover_process.LeftoverTest.test_leaves_a_process'
        ended = suite.run(suite.Unit('leftover', (test,)))
        self.assertEqual(ended.report['failed'], [])
        self.assertLess(ended.seconds, leftover_process.LIFETIME_S / 2)

    def test_end_of_each_log_is_told(self):
        """Guards against a failure whose logs are gone with its fleet."""
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / 'fleet-1' / 'entry-zone-a.log'
            log.parent.mkdir()
            log.write_text('\n'.join(['first', *LOGGED, 'last']))
            told = suite.last_lines(pathlib.Path(folder))
        self.assertIn('fleet-1/entry-zone-a.log: last', told)
        self.assertNotIn('first', told)
