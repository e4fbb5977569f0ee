"""The tables of `docs/errors.md` against the code."""

import inspect
import pathlib
import unittest

from cardamomflow import errors, exitstatus

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'errors.md'


def table(heading):
    """Return the rows below a heading, without the heads of the table."""
    section = PAGE.read_text().split(f'## {heading}\n')[1].split('\n## ')[0]
    lines = [line for line in section.splitlines() if line.startswith('|')]
    return [
        [cell.strip().strip('`') for cell in line.strip('|').split('|')]
        for line in lines[2:]
    ]


def failure_types():
    return [
        found
        for _, found in inspect.getmembers(errors, inspect.isclass)
        if issubclass(found, errors.FlowError)
    ]


class ErrorPageTest(unittest.TestCase):
    def test_every_code_is_listed_as_it_is(self):
        """Guards against codes that callers can't look up, or find wrong."""
        listed = [tuple(row[:4]) for row in table('Codes')]
        expected = [
            (
                failure.code,
                str(int(failure.status)),
                failure.outcome,
                str(int(failure.exit_status)),
            )
            for failure in failure_types()
        ]
        self.assertCountEqual(listed, expected)

    def test_codes_are_unique(self):
        """Guards against one code for two failures."""
        codes = [failure.code for failure in failure_types()]
        self.assertCountEqual(codes, set(codes))

    def test_every_code_has_advice(self):
        """Guards against rows without a meaning or a next step."""
        for row in table('Codes'):
            self.assertEqual(len(row), 6, row)
            self.assertTrue(all(row), row)

    def test_every_exit_status_is_listed(self):
        """Guards against exit statuses that scripts can't look up."""
        listed = [tuple(row[:2]) for row in table('Exit statuses')]
        expected = [
            (str(int(found)), found.name) for found in exitstatus.ExitStatus
        ]
        self.assertEqual(listed, expected)
