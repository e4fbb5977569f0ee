"""Run the test suite, or the proofs of `docs/PROMISES.md` alone.

Tests listed in `KNOWN-RED.txt` may fail; they are printed with their state
and do not change the verdict. Every other failure does.
"""

import argparse
import pathlib
import re
import sys
import unittest
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
_RED_LINE = re.compile(r'^test:\s*(\S+)', re.MULTILINE)
_PROOF = re.compile(r'`(tests\.[A-Za-z0-9_.]+)`')


def known_red() -> set[str]:
    """Return the ids of the tests that may fail."""
    path = ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return set()
    return set(_RED_LINE.findall(path.read_text()))


def promised_tests() -> list[str]:
    """Return the ids of the proofs named in `docs/PROMISES.md`."""
    text = (ROOT / 'docs' / 'PROMISES.md').read_text()
    return sorted(set(_PROOF.findall(text)))


def _load(promises_only: bool) -> unittest.TestSuite:
    loader = unittest.TestLoader()
    if promises_only:
        return _without_repeats(loader.loadTestsFromNames(promised_tests()))
    return loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))


def _without_repeats(suite: unittest.TestSuite) -> unittest.TestSuite:
    """Return each test once; a page may name a class and one of its tests."""
    tests_by_id = {test.id(): test for test in _flatten(suite)}
    return unittest.TestSuite(
        tests_by_id[test_id] for test_id in sorted(tests_by_id)
    )


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            yield from _flatten(part)
        else:
            yield part


def _failed_ids(result: unittest.TestResult) -> set[str]:
    problems = [*result.failures, *result.errors]
    failed = {_base_id(test) for test, _ in problems}
    failed.update(_base_id(test) for test in result.unexpectedSuccesses)
    return failed


def _base_id(test: unittest.TestCase) -> str:
    """Return the id of a test, without the part of a subtest."""
    return test.id().split(' ')[0]


def main() -> int:
    """Run the tests and print a closing line that counts them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--promises', action='store_true')
    suite = _load(parser.parse_args().promises)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = _failed_ids(result)
    expected = failed & known_red()
    for test_id in sorted(expected):
        sys.stdout.write(f'known red: {test_id}\n')
    surprising = failed - expected
    passed = result.testsRun - len(failed) - len(result.skipped)
    sys.stdout.write(f'{passed} passed, {len(surprising)} failed\n')
    return int(bool(surprising) or not result.testsRun)


if __name__ == '__main__':
    sys.exit(main())
