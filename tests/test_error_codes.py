"""Checks that the tables of `docs/errors.md` match the code."""

import inspect
import pathlib
import unittest

from cardamomflow import errors, exitstatus

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'errors.md'


def table(heading):
    """Return the rows of the table below a heading, without its header."""
    section = PAGE.read_text().split(f'## {heading}\n')[1].split('\n## ')[0]
    lines = [line for line in section.splitlines() if line.startswith('|')]
    return [
        [cell.strip().strip('`') for cell in line.strip('|').split('|')]
        for line in lines[2:]
    ]


def failure_types():
    return [
        member
        for _, member in inspect.getmembers(errors, inspect.isclass)
        if issubclass(member, errors.FlowError)
    ]


class ErrorPageTest(unittest.TestCase):
    def test_every_code_is_documented(self):
        """Guards against codes that are not documented, or wrongly."""
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
        """Guards against two failures with the same code."""
        codes = [failure.code for failure in failure_types()]
        self.assertCountEqual(codes, set(codes))

    def test_every_code_has_advice(self):
        """Guards against rows without a meaning or a next step."""
        for row in table('Codes'):
            self.assertEqual(len(row), 6, row)
            self.assertTrue(all(row), row)

    def test_every_exit_status_is_listed(self):
        """Guards against exit statuses that are not documented."""
        listed = [tuple(row[:2]) for row in table('Exit statuses')]
        expected = [
            (str(int(status)), status.name) for status in exitstatus.ExitStatus
        ]
        self.assertEqual(listed, expected)
