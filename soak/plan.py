"""Random fault plans of soak runs; sans-I/O.

The seed determines the plan. Faults occur in series, overlap, and can repeat
on the same target.
"""

import enum
import random
from typing import NamedTuple

SERIES_GAP_S = 2.5
# All faults of a series start within this time.
SERIES_SPAN_S = 0.8
MAX_SERIES_FAULTS = 4
MIN_DURATION_S = 0.2
MAX_DURATION_S = 3.0
# Every tenth seed has more hosts, callers and faults.
LARGE_RUN_INTERVAL = 10


class FaultKind(enum.StrEnum):
    """A fault or a planned operation."""

    HOST_STOP = 'host stop'
    HOST_KILL = 'host kill'
    HOST_FREEZE = 'host freeze'
    HOST_HANGUP = 'host hangup'
    STORE_DOWN = 'store down'
    STORE_SILENT = 'store silent'
    STORE_OVER_RATE = 'store over rate'
    STORE_SLOW = 'store slow'
    STORE_LOSES_ANSWERS = 'store loses answers'
    STORE_FORGETS = 'store forgets'
    STORE_LAPSE = 'store lapse'
    BACKEND_PAUSE = 'backend pause'
    BACKEND_REFUSES = 'backend refuses'
    BACKEND_MIXES = 'backend mixes answers'
    BACKEND_LEAVES = 'backend leaves'
    BACKEND_VANISHES = 'backend vanishes'
    ODD_ENTRY = 'odd entry'
    CONFIGURATION = 'configuration'


class Fault(NamedTuple):
    """One fault.

    Attributes
    ----------
    start_s, duration_s : float
        Time from the start of the run to the fault, and its duration.
    kind : FaultKind
    target : int
        Index of the host, backend server or invalid entry, modulo their number.
    """

    start_s: float
    duration_s: float
    kind: FaultKind
    target: int


class Plan(NamedTuple):
    """Size and faults of one run.

    Attributes
    ----------
    seed : int
    length_s : float
        Time in which faults start.
    hosts_by_zone, callers : int
    faults : tuple of Fault
        Sorted by start.
    """

    seed: int
    length_s: float
    hosts_by_zone: int
    callers: int
    faults: tuple[Fault, ...]


def draw(seed: int, length_s: float) -> Plan:
    """Return the plan for a seed."""
    generator = random.Random(seed)  # noqa: S311  # not used for secrets
    is_large = seed % LARGE_RUN_INTERVAL == 0
    kinds = list(FaultKind)
    faults: list[Fault] = []
    start_s = generator.uniform(0, SERIES_GAP_S)
    while start_s < length_s:
        series_kind = generator.choice(kinds)
        target = generator.randrange(1000)
        for _ in range(generator.randint(1, MAX_SERIES_FAULTS)):
            is_repeat = generator.random() < 1 / 3
            faults.append(
                Fault(
                    start_s + generator.uniform(0, SERIES_SPAN_S),
                    generator.uniform(MIN_DURATION_S, MAX_DURATION_S),
                    series_kind if is_repeat else generator.choice(kinds),
                    target if is_repeat else generator.randrange(1000),
                )
            )
        gap_s = generator.uniform(0, 2 * SERIES_GAP_S)
        start_s += gap_s / 2 if is_large else gap_s
    return Plan(
        seed,
        length_s,
        6 if is_large else 2,
        40 if is_large else 10,
        tuple(sorted(faults)),
    )
