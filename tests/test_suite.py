"""Units, known-red list and verdict of the test suite."""

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from tests import leftover_process
from tools import knownred, suite, testunit

LISTED_TEST = 'tests.test_a.ATest.test_listed'
OTHER_TEST = 'tests.test_a.ATest.test_other'
LOG_TAIL = [f'line {number}' for number in range(suite.LOG_TAIL_LINES)]
LISTED_LINE = f'{LISTED_TEST} | make test | a refusal | 4'


def unit_result(seconds_by_test, failed):
    report = testunit.Report(
        seconds_by_test=seconds_by_test, failed=failed, skipped=[]
    )
    unit = suite.Unit('tests.test_a', tuple(seconds_by_test))
    return suite.UnitResult(unit, report, '', 0)


class KnownRedTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'KNOWN-RED.txt'
            path.write_text(text)
            return knownred.read(path)

    def test_fields_are_read(self):
        """Guards against an entry whose fields are not parsed."""
        entries = self.read(f'# comment\n\n{LISTED_LINE}\n')
        self.assertEqual(entries[LISTED_TEST].issue, '4')
        self.assertEqual(entries[LISTED_TEST].command, 'make test')

    def test_incomplete_and_repeated_lines_are_rejected(self):
        """Guards against ignoring a failure whose evidence is not listed."""
        for text in (
            f'{LISTED_TEST} | make test',
            f'{LISTED_LINE}\n{LISTED_LINE}',
            f'{LISTED_LINE} |',
        ):
            with self.subTest(text), self.assertRaises(knownred.FormatError):
                self.read(text)

    def test_entry_of_a_missing_test_is_reported(self):
        """Guards against an entry that stays after its test is removed."""
        entries = self.read(LISTED_LINE)
        self.assertEqual(
            knownred.find_missing_tests(entries, [OTHER_TEST]), [LISTED_TEST]
        )
        self.assertEqual(
            knownred.find_missing_tests(entries, [LISTED_TEST, OTHER_TEST]), []
        )

    def test_missing_list_lists_nothing(self):
        """Guards against an error when there is no list."""
        self.assertEqual(knownred.read(pathlib.Path('/does/not/exist')), {})


class VerdictTest(unittest.TestCase):
    def report_verdict(self, seconds_by_test, failed):
        entry = knownred.Entry(LISTED_TEST, 'make test', 'a refusal', '4')
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            status = suite.report_verdict(
                [unit_result(seconds_by_test, failed)], {LISTED_TEST: entry}
            )
        return status, printed.getvalue()

    def test_listed_failure_is_ignored_and_printed(self):
        """Guards against a listed failure that fails the suite."""
        status, printed = self.report_verdict(
            {LISTED_TEST: 1, OTHER_TEST: 1}, [LISTED_TEST]
        )
        self.assertEqual(status, 0)
        self.assertIn(f'known red: {LISTED_TEST}: failed', printed)
        self.assertIn('1 passed, 0 failed', printed)

    def test_other_failure_is_not_ignored(self):
        """Guards against a list that hides a new failure."""
        for failed in (
            [OTHER_TEST],
            [LISTED_TEST, OTHER_TEST],
            ['setUpClass (tests.a)'],
        ):
            with self.subTest(failed):
                status, printed = self.report_verdict(
                    {LISTED_TEST: 1, OTHER_TEST: 1}, failed
                )
                self.assertEqual(status, 1)
                self.assertIn(' 1 failed', printed)

    def test_listed_test_that_passes_is_reported(self):
        """Guards against entries that stay after their fault is fixed."""
        status, printed = self.report_verdict({LISTED_TEST: 1}, [])
        self.assertEqual(status, 0)
        self.assertIn('passed; the entry may go', printed)

    def test_empty_run_fails(self):
        """Guards against a passing verdict when no test ran."""
        self.assertEqual(self.report_verdict({}, [])[0], 1)


class UnitTest(unittest.TestCase):
    def test_every_test_is_in_one_unit(self):
        """Guards against tests that run in no unit or in two."""
        tests = [
            'tests.test_faults.A.test_1',
            'tests.test_faults.B.test_1',
            'tests.test_a.A.test_1',
            'tests.test_a.B.test_1',
        ]
        units = suite.group_into_units(tests)
        self.assertEqual(
            sorted(test for unit in units for test in unit.tests),
            sorted(tests),
        )
        self.assertEqual(len(units), 3)
        self.assertEqual(units[-1].name, 'tests.test_a')

    def test_tests_of_memory_run_after_all_others(self):
        """Guards against other load beside tests that need the machine."""
        first, second = suite.MODULES_RUN_ALONE
        units = [
            suite.Unit(name, (f'{name}.ATest.test',))
            for name in ('tests.test_a', first, 'tests.test_b', second)
        ]
        ended = []

        def run_unit(unit):
            ended.append(unit.name)
            return unit_result(dict.fromkeys(unit.tests, 0), [])

        with (
            mock.patch.object(suite, 'run_unit', run_unit),
            contextlib.redirect_stdout(io.StringIO()),
        ):
            results = suite._run_all(units, 3)
        self.assertEqual(len(results), 4)
        self.assertEqual(set(ended[-2:]), {first, second})

    def test_unit_without_a_result_has_failed(self):
        """Guards against counting a process that ends early as passed."""
        missing_test = 'tests.test_does_not_exist.A.test_1'
        unit = suite.Unit('missing', (missing_test,))
        result = suite.run_unit(unit)
        self.assertTrue(result.report['failed'])

    def test_leftover_process_does_not_delay_the_unit(self):
        """Guards against a unit that waits for processes of its tests."""
        test = 'tests.leftover_process.LeftoverTest.test_leaves_a_process'
        result = suite.run_unit(suite.Unit('leftover', (test,)))
        self.assertEqual(result.report['failed'], [])
        self.assertLess(result.duration_s, leftover_process.LIFETIME_S / 2)

    def test_end_of_each_log_is_reported(self):
        """Guards against losing the logs of a failed test with its fleet."""
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / 'fleet-1' / 'entry-zone-a.log'
            log.parent.mkdir()
            log.write_text('\n'.join(['first', *LOG_TAIL, 'last']))
            tails = suite.read_log_tails(pathlib.Path(folder))
        self.assertIn('fleet-1/entry-zone-a.log: last', tails)
        self.assertNotIn('first', tails)
