"""Run the test suite, or the proofs of `docs/PROMISES.md` alone.

The suite is divided into units, each of which runs in a process of its own;
several run at once. Tests listed in `KNOWN-RED.txt` run too and may fail.
Every other failure decides the verdict, and so does an entry of that list
which names no test.
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
# Fleets of real processes; each class starts its own fleet, so that the
# classes can run at once.
SPLIT_MODULES = ('tests.test_faults', 'tests.test_cuts')
# Started first, the longest ahead, because they decide when the suite ends.
LONG_MODULES = ('tests.test_fault_pairs', *SPLIT_MODULES, 'tests.test_path')
# Six units at once on 8 cores took 169 s, and 182 s beside 6 busy processes.
JOBS = max(2, (os.cpu_count() or 2) * 3 // 4)
# Every test is bounded by `testunit`; this ends a unit that hangs outside of
# its tests. The longest took 114 s.
UNIT_LIMIT_S = 420.0
# A process of a fleet writes a line for each change of state.
LOG_LINES = 30
_PROOF = re.compile(r'`(tests\.[A-Za-z0-9_.]+)`')
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


class Finished(NamedTuple):
    """What a unit came to.

    Attributes
    ----------
    unit : Unit
    report : testunit.Report
    output : str
    seconds : float
    """

    unit: Unit
    report: testunit.Report
    output: str
    seconds: float


def promised_tests() -> list[str]:
    """Return the ids of the proofs named in `docs/PROMISES.md`."""
    text = (ROOT / 'docs' / 'PROMISES.md').read_text()
    return sorted(set(_PROOF.findall(text)))


def list_tests() -> list[str]:
    """Return the ids of all tests of the project."""
    loader = unittest.TestLoader()
    found = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    return [test.id() for test in _flatten(found)]


def divide(tests: list[str]) -> list[Unit]:
    """Return the units of some tests, in the order in which to start them."""
    tests_by_unit: dict[str, list[str]] = {}
    for test in dict.fromkeys(tests):
        tests_by_unit.setdefault(_unit_of(test), []).append(test)
    units = [Unit(name, tuple(ids)) for name, ids in tests_by_unit.items()]
    return sorted(units, key=_start_order)


def _select(all_tests: list[str], *, promises_only: bool) -> list[str]:
    if not promises_only:
        return all_tests
    chosen = promised_tests()
    found = [
        test
        for test in all_tests
        if any(_covers(name, test) for name in chosen)
    ]
    # A name that matches nothing fails in its unit, where it can't be loaded.
    unmatched = [
        name
        for name in chosen
        if not any(_covers(name, test) for test in all_tests)
    ]
    return [*found, *unmatched]


def _covers(name: str, test: str) -> bool:
    return test == name or test.startswith(f'{name}.')


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            yield from _flatten(part)
        else:
            yield part


def _unit_of(test: str) -> str:
    module = '.'.join(test.split('.')[:2])
    if module in SPLIT_MODULES:
        return '.'.join(test.split('.')[:3])
    return module


def _start_order(unit: Unit) -> tuple[int, str]:
    for place, module in enumerate(LONG_MODULES):
        if unit.name.startswith(module):
            return place, unit.name
    return len(LONG_MODULES), unit.name


def run(unit: Unit) -> Finished:
    """Run a unit; without a result, all of its tests have failed."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='cardamomflow-unit-') as folder:
        result_file = pathlib.Path(folder) / 'result.json'
        logs = pathlib.Path(folder) / 'logs'
        output_file = pathlib.Path(folder) / 'output.txt'
        output = _run_worker(unit, output_file, result_file, logs)
        if result_file.exists():
            report: testunit.Report = json.loads(result_file.read_text())
        else:
            output = f'{output}\n{unit.name} ended without a result\n'
            report = testunit.Report(
                seconds_by_test=dict.fromkeys(unit.tests, 0),
                failed=list(unit.tests),
                skipped=[],
            )
        if report['failed']:
            output = f'{output}\n{last_lines(logs)}'
    return Finished(unit, report, output, time.monotonic() - started_at)


def last_lines(logs: pathlib.Path) -> str:
    """Return the end of each log that the fleets of a unit left."""
    return '\n'.join(
        f'{log.relative_to(logs)}: {line}'
        for log in sorted(logs.glob('*/*.log'))
        for line in log.read_text().splitlines()[-LOG_LINES:]
    )


def _run_worker(
    unit: Unit,
    output_file: pathlib.Path,
    result_file: pathlib.Path,
    logs: pathlib.Path,
) -> str:
    """Run a unit in a process group of its own, and end what is left of it.

    The output goes to a file: a pipe would stay open, and be waited for, as
    long as a process lives that the unit left behind.
    """
    with output_file.open('w') as output:
        in_time = _wait_for_worker(unit, output, result_file, logs)
    text = output_file.read_text()
    if in_time:
        return text
    return f'{text}\n{unit.name} took longer than {UNIT_LIMIT_S:g} s\n'


def _wait_for_worker(
    unit: Unit, output: IO[str], result_file: pathlib.Path, logs: pathlib.Path
) -> bool:
    """Return whether the process of a unit ended in time."""
    worker = subprocess.Popen(
        [sys.executable, '-m', _WORKER_MODULE, str(result_file), *unit.tests],
        cwd=ROOT,
        env={**os.environ, fleet.KEPT_LOGS: str(logs)},
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=output,
        start_new_session=True,
    )
    try:
        worker.wait(UNIT_LIMIT_S)
    except subprocess.TimeoutExpired:
        return False
    finally:
        _end_group(worker.pid)
        worker.wait()
    return True


def _end_group(group: int) -> None:
    """End processes of a unit that its tests left behind."""
    try:
        os.killpg(group, signal.SIGKILL)
    except ProcessLookupError:
        return


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _print_unit(finished: Finished) -> None:
    report = finished.report
    state = 'FAILED' if report['failed'] else 'ok'
    _say(
        f'{state} {finished.unit.name}: {len(report["seconds_by_test"])} tests'
        f' in {finished.seconds:.1f} s'
    )
    if report['failed']:
        _say(finished.output)


def _run_all(units: list[Unit], jobs: int) -> list[Finished]:
    ended = []
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        waiting = [pool.submit(run, unit) for unit in units]
        for future in concurrent.futures.as_completed(waiting):
            ended.append(future.result())
            _print_unit(ended[-1])
    return ended


def judge(
    ended: list[Finished], entries_by_test: dict[str, knownred.Entry]
) -> int:
    """Print the listed tests and the closing line; return the exit status.

    Only a failure of exactly a listed test is passed over.
    """
    started: set[str] = set()
    failed: set[str] = set()
    skipped: set[str] = set()
    for finished in ended:
        started.update(finished.report['seconds_by_test'])
        failed.update(finished.report['failed'])
        skipped.update(finished.report['skipped'])
    for test in sorted(entries_by_test.keys() & started):
        entry = entries_by_test[test]
        verdict = 'failed' if test in failed else 'passed; the entry may go'
        _say(f'known red: {test}: {verdict} (issue {entry.issue})')
    surprising = failed - entries_by_test.keys()
    for test in sorted(surprising):
        _say(f'failed: {test}')
    _say(f'{len(started - failed - skipped)} passed, {len(surprising)} failed')
    return int(bool(surprising) or not started)


def main() -> int:
    """Run the tests and print a closing line that counts them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--promises', action='store_true')
    parser.add_argument('--jobs', type=int, default=JOBS)
    options = parser.parse_args()
    all_tests = list_tests()
    try:
        entries_by_test = knownred.read(ROOT / 'KNOWN-RED.txt')
    except knownred.FormatError as error:
        _say(f'error: {error}')
        return 1
    for test in knownred.missing(entries_by_test, all_tests):
        _say(f'error: KNOWN-RED.txt lists {test}, which does not exist')
        return 1
    units = divide(_select(all_tests, promises_only=options.promises))
    return judge(_run_all(units, options.jobs), entries_by_test)


if __name__ == '__main__':
    sys.exit(main())
