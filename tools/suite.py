"""Run the test suite, or only the tests that `docs/PROMISES.md` names.

The suite is divided into units. Each unit runs in its own process, and several
units run in parallel. Tests listed in `KNOWN-RED.txt` run too and may fail.
The run fails on any other failure, and if that list names a test that does not
exist.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Iterator
from typing import IO, NamedTuple

from standins import fleet
from tools import knownred, testunit

ROOT = pathlib.Path(__file__).resolve().parent.parent
# These modules test fleets of real processes. Each class starts its own fleet,
# so the classes can run in parallel.
MODULES_SPLIT_BY_CLASS = ('tests.test_faults', 'tests.test_cuts')
# Started first, in order of decreasing duration, because they determine how
# long the suite takes.
LONG_MODULES = (
    'tests.test_fault_pairs',
    *MODULES_SPLIT_BY_CLASS,
    'tests.test_turned_away',
    'tests.test_zonetraces',
    'tests.test_path',
)
# These tests check the memory of processes beside many connections. They run
# after all others, one at a time, so that no other load delays them.
MODULES_RUN_ALONE = (
    'tests.test_uncontrolled_clients',
    'tests.test_large_crowds',
)
# On 8 cores, six parallel units take 169 s, and 182 s if 6 other processes are
# busy.
JOBS = max(2, (os.cpu_count() or 2) * 3 // 4)
# `testunit` limits the time of each test; this limit ends a unit that hangs
# outside of its tests. The longest unit takes 114 s.
UNIT_TIMEOUT_S = 420.0
# Lines printed of the end of each log. A fleet process logs one line for each
# change of state.
LOG_TAIL_LINES = 30
_PROMISE_TEST_ID = re.compile(r'`(tests\.[A-Za-z0-9_.]+)`')
_WORKER_MODULE = 'tools.testunit'


class Unit(NamedTuple):
    """Tests that run in one process.

    Attributes
    ----------
    name : str
    tests : tuple of str
        Dotted ids of all tests of the unit.
    """

    name: str
    tests: tuple[str, ...]


class UnitResult(NamedTuple):
    """Result of a unit.

    Attributes
    ----------
    unit : Unit
    report : testunit.Report
    output : str
        Output of the process, with the ends of the logs if a test failed.
    duration_s : float
    """

    unit: Unit
    report: testunit.Report
    output: str
    duration_s: float


def list_promised_tests() -> list[str]:
    """Return the test ids that `docs/PROMISES.md` names."""
    text = (ROOT / 'docs' / 'PROMISES.md').read_text()
    return sorted(set(_PROMISE_TEST_ID.findall(text)))


def list_tests() -> list[str]:
    """Return the ids of all tests of the project."""
    loader = unittest.TestLoader()
    discovered = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    return [test.id() for test in _flatten(discovered)]


def group_into_units(tests: list[str]) -> list[Unit]:
    """Group tests into units, in the order in which the units start."""
    tests_by_unit: dict[str, list[str]] = {}
    for test in dict.fromkeys(tests):
        tests_by_unit.setdefault(_unit_name(test), []).append(test)
    units = [Unit(name, tuple(ids)) for name, ids in tests_by_unit.items()]
    return sorted(units, key=_start_order)


def _select(all_tests: list[str], *, promises_only: bool) -> list[str]:
    if not promises_only:
        return all_tests
    promised_names = list_promised_tests()
    selected = [
        test
        for test in all_tests
        if any(_matches(name, test) for name in promised_names)
    ]
    # A name that matches no test fails when its unit tries to load it.
    unmatched = [
        name
        for name in promised_names
        if not any(_matches(name, test) for test in all_tests)
    ]
    return [*selected, *unmatched]


def _matches(name: str, test: str) -> bool:
    return test == name or test.startswith(f'{name}.')


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            yield from _flatten(part)
        else:
            yield part


def _unit_name(test: str) -> str:
    module = '.'.join(test.split('.')[:2])
    if module in MODULES_SPLIT_BY_CLASS:
        return '.'.join(test.split('.')[:3])
    return module


def _start_order(unit: Unit) -> tuple[int, str]:
    for position, module in enumerate(LONG_MODULES):
        if unit.name.startswith(module):
            return position, unit.name
    return len(LONG_MODULES), unit.name


def run_unit(unit: Unit) -> UnitResult:
    """Run a unit; if it writes no report, all of its tests count as failed."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='cardamomflow-unit-') as folder:
        report_file = pathlib.Path(folder) / 'result.json'
        logs = pathlib.Path(folder) / 'logs'
        output_file = pathlib.Path(folder) / 'output.txt'
        output = _run_worker(unit, output_file, report_file, logs)
        if report_file.exists():
            report: testunit.Report = json.loads(report_file.read_text())
        else:
            output = f'{output}\n{unit.name} ended without a result\n'
            report = testunit.Report(
                seconds_by_test=dict.fromkeys(unit.tests, 0),
                failed=list(unit.tests),
                skipped=[],
            )
        if report['failed']:
            output = f'{output}\n{read_log_tails(logs)}'
    return UnitResult(unit, report, output, time.monotonic() - started_at)


def read_log_tails(logs: pathlib.Path) -> str:
    """Return the last lines of each log of the fleets of a unit."""
    return '\n'.join(
        f'{log.relative_to(logs)}: {line}'
        for log in sorted(logs.glob('*/*.log'))
        for line in log.read_text().splitlines()[-LOG_TAIL_LINES:]
    )


def _run_worker(
    unit: Unit,
    output_file: pathlib.Path,
    report_file: pathlib.Path,
    logs: pathlib.Path,
) -> str:
    """Run a unit in its own process group and return its output.

    The output goes to a file, because a pipe would stay open, and delay the
    suite, until the last process that the unit left behind has ended.
    """
    with output_file.open('w') as output:
        in_time = _spawn_and_wait(unit, output, report_file, logs)
    text = output_file.read_text()
    if in_time:
        return text
    return f'{text}\n{unit.name} took longer than {UNIT_TIMEOUT_S:g} s\n'


def _spawn_and_wait(
    unit: Unit, output: IO[str], report_file: pathlib.Path, logs: pathlib.Path
) -> bool:
    """Run the process of a unit; return whether it ended in time.

    Kills all processes of its group at the end.
    """
    process = subprocess.Popen(
        [sys.executable, '-m', _WORKER_MODULE, str(report_file), *unit.tests],
        cwd=ROOT,
        env={**os.environ, fleet.KEPT_LOGS: str(logs)},
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=output,
        start_new_session=True,
    )
    try:
        process.wait(UNIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return False
    finally:
        _kill_process_group(process.pid)
        process.wait()
    return True


def _kill_process_group(group: int) -> None:
    """Kill all processes of a unit, including those its tests left behind."""
    try:
        os.killpg(group, signal.SIGKILL)
    except ProcessLookupError:
        return


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _print_unit_result(result: UnitResult) -> None:
    report = result.report
    state = 'FAILED' if report['failed'] else 'ok'
    _print_line(
        f'{state} {result.unit.name}: {len(report["seconds_by_test"])} tests'
        f' in {result.duration_s:.1f} s'
    )
    if report['failed']:
        _print_line(result.output)


def _run_all(units: list[Unit], jobs: int) -> list[UnitResult]:
    """Run the units in parallel, then those of `MODULES_RUN_ALONE`."""
    alone = [unit for unit in units if unit.name in MODULES_RUN_ALONE]
    beside_others = [unit for unit in units if unit not in alone]
    return [*_run_phase(beside_others, jobs), *_run_phase(alone, 1)]


def _run_phase(units: list[Unit], jobs: int) -> list[UnitResult]:
    unit_results = []
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        pending = [pool.submit(run_unit, unit) for unit in units]
        for future in concurrent.futures.as_completed(pending):
            unit_results.append(future.result())
            _print_unit_result(unit_results[-1])
    return unit_results


def report_verdict(
    unit_results: list[UnitResult], entries_by_test: dict[str, knownred.Entry]
) -> int:
    """Print the known-red tests, the failures and the closing line.

    A failure is ignored only if `entries_by_test` has exactly its test id.

    Returns
    -------
    int
        Exit status: 1 if a test failed unexpectedly or no test ran, else 0.
    """
    started: set[str] = set()
    failed: set[str] = set()
    skipped: set[str] = set()
    for result in unit_results:
        started.update(result.report['seconds_by_test'])
        failed.update(result.report['failed'])
        skipped.update(result.report['skipped'])
    for test in sorted(entries_by_test.keys() & started):
        entry = entries_by_test[test]
        verdict = 'failed' if test in failed else 'passed; the entry may go'
        _print_line(f'known red: {test}: {verdict} (issue {entry.issue})')
    unexpected = failed - entries_by_test.keys()
    for test in sorted(unexpected):
        _print_line(f'failed: {test}')
    _print_line(
        f'{len(started - failed - skipped)} passed, {len(unexpected)} failed'
    )
    return int(bool(unexpected) or not started)


def main() -> int:
    """Run the tests and print the number of passed and failed tests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--promises', action='store_true')
    parser.add_argument('--jobs', type=int, default=JOBS)
    options = parser.parse_args()
    all_tests = list_tests()
    try:
        entries_by_test = knownred.read(ROOT / 'KNOWN-RED.txt')
    except knownred.FormatError as error:
        _print_line(f'error: {error}')
        return 1
    for test in knownred.find_missing_tests(entries_by_test, all_tests):
        _print_line(f'error: KNOWN-RED.txt lists {test}, which does not exist')
        return 1
    units = group_into_units(_select(all_tests, promises_only=options.promises))
    return report_verdict(_run_all(units, options.jobs), entries_by_test)


if __name__ == '__main__':
    sys.exit(main())
