"""Run the tests of one unit of the suite in this process.

Owns the upper bound on the time of each test. Writes what ran to a file, so
that the suite can tell a test that failed from a process that ended early.
Command: `python -m tools.testunit RESULT_FILE TEST_NAME...`.
"""

import faulthandler
import json
import pathlib
import sys
import time
import unittest
from typing import Any, TypedDict

# The longest test waits for the outcomes of deferred operations for 80 s
# after its faults, and took up to 113 s.
TEST_LIMIT_S = 180.0
_DIGITS = 2


class Report(TypedDict):
    """What a unit reports to the suite.

    Attributes
    ----------
    seconds_by_test : dict of str to float
        Every test that was started.
    failed, skipped : list of str
        Ids of tests, and of fixtures that failed.
    """

    seconds_by_test: dict[str, float]
    failed: list[str]
    skipped: list[str]


class _BoundedResult(unittest.TextTestResult):
    """Ends the process when a test takes longer than its limit."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.seconds_by_test: dict[str, float] = {}
        self._started_at: float = 0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Start the time of a test."""
        super().startTest(test)
        self._started_at = time.monotonic()
        faulthandler.dump_traceback_later(TEST_LIMIT_S, exit=True)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """End the time of a test."""
        faulthandler.cancel_dump_traceback_later()
        taken_s = time.monotonic() - self._started_at
        self.seconds_by_test[test.id()] = round(taken_s, _DIGITS)
        super().stopTest(test)


def _base_id(test: unittest.TestCase) -> str:
    """Return the id of a test, without the part of a subtest.

    That of a failed fixture is kept whole, since it ends with its class.
    """
    is_test = isinstance(test, unittest.TestCase)
    return test.id().split(' ')[0] if is_test else test.id()


def _report(result: _BoundedResult) -> Report:
    problems = [*result.failures, *result.errors]
    failed = {_base_id(test) for test, _ in problems}
    failed.update(_base_id(test) for test in result.unexpectedSuccesses)
    return Report(
        seconds_by_test=result.seconds_by_test,
        failed=sorted(failed),
        skipped=[test.id() for test, _ in result.skipped],
    )


def main(arguments: list[str]) -> int:
    """Run the named tests and write their report."""
    result_file, *names = arguments
    suite = unittest.defaultTestLoader.loadTestsFromNames(names)
    runner = unittest.TextTestRunner(
        verbosity=2, resultclass=_BoundedResult, stream=sys.stdout
    )
    report = _report(runner.run(suite))
    pathlib.Path(result_file).write_text(json.dumps(report))
    return int(bool(report['failed']))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
