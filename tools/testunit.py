"""Run the tests of one unit of the suite in this process.

Enforces the time limit of each test. Writes the results to a file, so that the
suite can distinguish a failed test from a process that ended early.
Command: `python -m tools.testunit RESULT_FILE TEST_NAME...`.
"""

import faulthandler
import json
import pathlib
import sys
import time
import unittest
from typing import Any, TypedDict

# The longest test waits 80 s for the outcomes of deferred operations after its
# faults, and takes up to 113 s.
TEST_TIMEOUT_S = 180.0
_DECIMALS = 2


class Report(TypedDict):
    """Results of a unit, as written for the suite.

    Attributes
    ----------
    seconds_by_test : dict of str to float
        Duration of each test that was started.
    failed, skipped : list of str
        Ids of tests; `failed` also has those of failed fixtures.
    """

    seconds_by_test: dict[str, float]
    failed: list[str]
    skipped: list[str]


class _TimeLimitedResult(unittest.TextTestResult):
    """Ends the process when a test takes longer than `TEST_TIMEOUT_S`."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.seconds_by_test: dict[str, float] = {}
        self._started_at: float = 0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Start the timer of a test."""
        super().startTest(test)
        self._started_at = time.monotonic()
        faulthandler.dump_traceback_later(TEST_TIMEOUT_S, exit=True)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Stop the timer of a test and record its duration."""
        faulthandler.cancel_dump_traceback_later()
        elapsed_s = time.monotonic() - self._started_at
        self.seconds_by_test[test.id()] = round(elapsed_s, _DECIMALS)
        super().stopTest(test)


def _id_without_subtest(test: unittest.TestCase) -> str:
    """Return the id of a test without the suffix of a subtest.

    The id of a failed fixture is unchanged, because it ends with its class.
    """
    is_test = isinstance(test, unittest.TestCase)
    return test.id().split(' ')[0] if is_test else test.id()


def _build_report(result: _TimeLimitedResult) -> Report:
    problems = [*result.failures, *result.errors]
    failed = {_id_without_subtest(test) for test, _ in problems}
    failed.update(
        _id_without_subtest(test) for test in result.unexpectedSuccesses
    )
    return Report(
        seconds_by_test=result.seconds_by_test,
        failed=sorted(failed),
        skipped=[test.id() for test, _ in result.skipped],
    )


def main(arguments: list[str]) -> int:
    """Run the named tests and write their results to a file."""
    result_file, *names = arguments
    suite = unittest.defaultTestLoader.loadTestsFromNames(names)
    runner = unittest.TextTestRunner(
        verbosity=2, resultclass=_TimeLimitedResult, stream=sys.stdout
    )
    report = _build_report(runner.run(suite))
    pathlib.Path(result_file).write_text(json.dumps(report))
    return int(bool(report['failed']))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
