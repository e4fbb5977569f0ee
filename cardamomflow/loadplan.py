"""Parameters and request schedule of a load run; sans-I/O.

The schedule is random but seeded. `loadrun` sends the requests.
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
    """Stream of requests for one kind of work.

    Attributes
    ----------
    work : str
    rank : rules.Rank
        Rank of the work by the rules; used for the report.
    rate_per_s : float
        Mean rate of Poisson arrivals.
    target : str
        Name of the service or index.
    deadline_ms : int
        Deadline of each request, counted from its due time.
    operation : bool
        Whether the requests are operations that must not be repeated,
        instead of queries.
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
        Endpoints, used in round-robin order.
    duration_s : float
        Length of the measured period.
    warm_up_s : float
        Time before the measured period. Its requests are sent but not
        counted.
    seed : int
    limit : int
        Maximum number of rows of each query.
    maximum_open : int
        Maximum number of requests in flight. Further requests are counted
        as `not_sent`, as are those whose deadline passes before they are
        sent.
    verify : callable or None
        Receives the request and response documents; returns violations.
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
    """One request to send.

    Attributes
    ----------
    due_s : float
        Time of the send, in seconds after the start of the run.
    number : int
        Position in the run, from 0.
    flow : Flow
    """

    due_s: float
    number: int
    flow: Flow


def generate_arrivals(settings: LoadSettings) -> Iterator[Arrival]:
    """Yield the requests of a run in the order of their due times.

    The same settings give the same arrivals. Each flow has its own
    random generator, so a change to its rate does not change the due times of
    other flows.
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
