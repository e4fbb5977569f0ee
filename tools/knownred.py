"""Tests that may fail because of a listed fault that is not fixed yet.

Owns the format of `KNOWN-RED.txt`: one entry per line, its fields separated by
`|`: test id, command with seed, observed failure, issue. Lines that start
with `#` are comments.
"""

import pathlib
from collections.abc import Collection
from typing import NamedTuple

_SEPARATOR = '|'
_COMMENT = '#'


class Entry(NamedTuple):
    """Test that may fail.

    Attributes
    ----------
    test : str
        Dotted `unittest` id.
    command : str
        Command that runs the test, with its seed if it has one.
    seen : str
        Observed failure.
    issue : str
    """

    test: str
    command: str
    seen: str
    issue: str


class FormatError(Exception):
    """A line of the list is malformed or repeated."""


def read(path: pathlib.Path) -> dict[str, Entry]:
    """Return the entries by test id; none if the file does not exist.

    Raises
    ------
    FormatError
        A line does not have the four fields, or a test is listed twice.
    """
    if not path.exists():
        return {}
    entries_by_test: dict[str, Entry] = {}
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        if not line.strip() or line.startswith(_COMMENT):
            continue
        entry = _parse(line, f'{path.name}:{number}')
        if entry.test in entries_by_test:
            raise FormatError(
                f'{path.name}:{number}: {entry.test} is listed twice'
            )
        entries_by_test[entry.test] = entry
    return entries_by_test


def find_missing_tests(
    entries_by_test: dict[str, Entry], known_tests: Collection[str]
) -> list[str]:
    """Return the listed tests that do not exist."""
    return sorted(entries_by_test.keys() - set(known_tests))


def _parse(line: str, location: str) -> Entry:
    fields = [field.strip() for field in line.split(_SEPARATOR)]
    if len(fields) != len(Entry._fields) or not all(fields):
        raise FormatError(
            f'{location}: expected "{" | ".join(Entry._fields)}",'
            f' found {line!r}'
        )
    return Entry(*fields)
