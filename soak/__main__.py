"""Command line of the soak test: `python -m soak --first 1 --seeds 50`.

Each seed runs in its own process. `--first SEED` repeats the run of one seed.
"""

import argparse
import concurrent.futures
import functools
import subprocess
import sys

from soak import runner

SEED_LIMIT_S = 240.0
JOBS = 3


def main() -> int:
    """Run the command line; return 1 if a run had a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--length-s', type=float, default=runner.LENGTH_S)
    parser.add_argument('--jobs', type=int, default=JOBS)
    options = parser.parse_args()
    if options.seeds == 1:
        return _run_one(options.first, options.length_s)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        run_seed = functools.partial(
            _run_in_subprocess, length_s=options.length_s
        )
        seeds = range(options.first, options.first + options.seeds)
        failed = [
            seed for seed, is_clean in pool.map(run_seed, seeds) if not is_clean
        ]
    sys.stdout.write(
        f'{options.seeds - len(failed)} seeds clean, failed: {failed}\n'
    )
    return int(bool(failed))


def _run_one(seed: int, length_s: float) -> int:
    result = runner.run(seed, length_s)
    counts = ', '.join(
        f'{name}: {count}' for name, count in sorted(result.counts.items())
    )
    sys.stdout.write(f'seed {seed}: {counts}\n')
    for violation in result.violations:
        sys.stdout.write(f'VIOLATION {violation}\n')
    return int(bool(result.violations))


def _run_in_subprocess(seed: int, length_s: float) -> tuple[int, bool]:
    """Run a seed in a subprocess; return the seed and whether it passed."""
    command = [sys.executable, '-m', 'soak', '--first', str(seed)]
    completed = subprocess.run(
        [*command, '--length-s', str(length_s)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=SEED_LIMIT_S,
        check=False,
    )
    sys.stdout.write(completed.stdout)
    sys.stdout.flush()
    return seed, completed.returncode == 0


if __name__ == '__main__':
    sys.exit(main())
