"""Pairs of faults on a running fleet, and checks of what must always hold.

Queries and operations go on while seeded pairs of faults begin and end.
Afterwards every operation must have an outcome that agrees with what the
backend servers ran. Command: `python -m standins.faultplan --seed 1`.
"""

import argparse
import random
import sys
import time
from collections.abc import Callable
from typing import Any

from standins import faults, fleet, workload


def run(seed: int, rounds: int, report: Callable[[str], Any]) -> list[str]:
    """Run rounds of two faults each; return what should not have happened.

    Parameters
    ----------
    seed : int
        Draws the faults, their times and where requests are sent.
    rounds : int
    report : callable
        Gets a line for each round and for each count.
    """
    generator = random.Random(seed)
    with fleet.running(zones=faults.ZONES, network=True) as running:
        requests = workload.Workload(running, random.Random(seed))
        requests.start()
        source = faults.FaultSource(running, generator)
        for _ in range(rounds):
            _run_round(source.pair(), generator, report)
        running.network.heal()
        requests.stop()
        for port in running.entry_ports.values():
            running.wait_whole(port)
        requests.settle()
        requests.check_runs()
    for name, count in sorted(requests.counts.items()):
        report(f'{name}: {count}')
    return requests.violations


def _run_round(
    pair: list[faults.Fault],
    generator: random.Random,
    report: Callable[[str], Any],
) -> None:
    report(' + '.join(fault.name for fault in pair))
    for fault in pair:
        fault.begin()
        time.sleep(generator.uniform(0, 1))
    time.sleep(generator.uniform(0.5, 3))
    for fault in reversed(pair):
        fault.end()
        time.sleep(generator.uniform(0, 1))


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=8)
    options = parser.parse_args()

    def say(line: str) -> None:
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()

    violations = run(options.seed, options.rounds, say)
    for violation in violations:
        say(f'VIOLATION {violation}')
    return int(bool(violations))


if __name__ == '__main__':
    sys.exit(main())
