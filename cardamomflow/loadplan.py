"""What a load run sends, and when; sans-I/O.

Owns the kinds of work, the parameters and the seeded arrivals of a run. It
sends nothing and counts nothing.
"""

import heapq
import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from cardamomflow import rules

DURATION_S = 10.0
MAXIMUM_OPEN = 4000

_Document = dict[str, Any]
Verifier = Callable[[_Document, _Document], list[str]]


class Flow(NamedTuple):
    """Requests of one kind of work.

    Attributes
    ----------
    work : str
    rank : rules.Rank
        Rank that the rules give to the work; used for the report.
    rate_per_s : float
        Mean rate of Poisson arrivals.
    target : str
        Service or index.
    deadline_ms : int
    operation : bool
        Whether the requests are operations that may not be repeated.
    customer : str
    """

    work: str
    rank: rules.Rank
    rate_per_s: float
    target: str
    deadline_ms: int
    operation: bool = False
    customer: str = 'load'


class LoadSettings(NamedTuple):
    """Parameters of a run.

    Attributes
    ----------
    flows : tuple of Flow
    entries : tuple of (str, int)
        Endpoints, taken in turn.
    duration_s : float
        Length of the measured part.
    warm_up_s : float
        Time before it, whose requests are sent but not counted.
    seed : int
    limit : int
        Rows asked for.
    maximum_open : int
        Requests without an answer at one time; more are counted as
        `not_sent`, as are those whose deadline passed before the send.
    verify : callable or None
        Takes the request and the response documents, returns violations.
    """

    flows: tuple[Flow, ...]
    entries: tuple[tuple[str, int], ...]
    duration_s: float = DURATION_S
    warm_up_s: float = 1.0
    seed: int = 1
    limit: int = 10
    maximum_open: int = MAXIMUM_OPEN
    verify: Verifier | None = None


class Arrival(NamedTuple):
    """One request to send."""

    due_s: float
    number: int
    flow: Flow


def arrivals(settings: LoadSettings) -> Iterator[Arrival]:
    """Return the requests of a run in the order of their due times.

    The same settings give the same arrivals. Each flow has a generator of
    its own, so that a changed rate leaves the other flows as they are.
    """
    end_s = settings.warm_up_s + settings.duration_s
    streams = [
        _flow_arrivals(flow, f'{settings.seed}/{position}', end_s)
        for position, flow in enumerate(settings.flows)
    ]
    merged = heapq.merge(*streams, key=lambda arrival: arrival.due_s)
    for number, arrival in enumerate(merged):
        yield arrival._replace(number=number)


def _flow_arrivals(flow: Flow, seed: str, end_s: float) -> Iterator[Arrival]:
    generator = random.Random(seed)  # noqa: S311  # a load, not a secret
    due_s = generator.expovariate(flow.rate_per_s)
    while due_s < end_s:
        yield Arrival(due_s, 0, flow)
        due_s += generator.expovariate(flow.rate_per_s)
