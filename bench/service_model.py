"""Model in virtual time of replicated services and of fanned-out queries.

One service group and one sender. It models service times, slots, connection
cost, load shedding, cold starts and faults of backend servers, and open-loop
arrivals; it models neither several senders nor batches of items.
"""

import abc
import collections
import random
from collections.abc import Callable
from typing import NamedTuple

from hdrh import histogram

from cardamomflow import limits, rules
from lab import timeline

ROUND_TRIP_S = 0.001
SERVICE_MEDIAN_S = 0.006
SERVICE_SIGMA = 0.8
STRAGGLER_FACTOR = 10
GRAY_SHARE = 0.9
GRAY_S = 0.002
SHED_QUEUE = 8
COLD_S = 5.0
COLD_FACTOR = 2
US_PER_S = 1e6
_LONGEST_US = 120 * 10**6
_DIGITS = 3


class Size(NamedTuple):
    """Size of the modelled service group.

    Attributes
    ----------
    name : str
    services : int
        Services that each query touches.
    replicas : int
    slots : int
    connections : int
        Connections of the allowance that carry work.
    connection_cost_s : float
    rates_by_rank : dict
        Queries per second.
    """

    name: str
    services: int
    replicas: int
    slots: int
    connections: int
    connection_cost_s: float
    rates_by_rank: dict[rules.Rank, float]


class Query:
    """One query with its open items."""

    __slots__ = ('rank', 'customer', 'due', 'deadline', 'items', 'open_count')

    def __init__(
        self, rank: rules.Rank, customer: str, due: float, deadline: float
    ) -> None:
        self.rank = rank
        self.customer = customer
        self.due = due
        self.deadline = deadline
        self.items: list[Item] = []
        self.open_count = 0


class Item:
    """The part of a query for one service."""

    __slots__ = ('query', 'service', 'answered', 'closed', 'attempts', 'tried')

    def __init__(self, query: Query, service: int) -> None:
        self.query = query
        self.service = service
        self.answered = False
        self.closed = False
        self.attempts: list[Attempt] = []
        self.tried: list[str] = []


class Attempt:
    """One call to a backend server."""

    __slots__ = ('item', 'server', 'started_at', 'ended', 'respond', 'running')

    def __init__(
        self, item: Item, server: 'BackendServer', started_at: float
    ) -> None:
        self.item = item
        self.server = server
        self.started_at = started_at
        self.ended = False
        self.running = False
        self.respond: Callable[['Attempt', limits.CallOutcome], None]


class BackendServer:
    """A backend server with slots, a first-in-first-out queue and faults."""

    def __init__(
        self,
        backend_id: str,
        slots: int,
        clock: timeline.Timeline,
        service_random: random.Random,
    ) -> None:
        self.backend_id = backend_id
        self.slots = slots
        self.in_use = 0
        self.factor = 1.0
        self.gray = False
        self.cut = False
        self.cold_from = -COLD_S
        self._waiting: collections.deque[Attempt] = collections.deque()
        self._clock = clock
        self._random = service_random

    @property
    def queued(self) -> int:
        return len(self._waiting)

    def submit(self, attempt: Attempt, connection_cost_s: float) -> None:
        """Send a call; nothing ever comes back from a cut server."""
        delay_s = ROUND_TRIP_S / 2 + connection_cost_s
        self._clock.after(delay_s, self._arrive, attempt)

    def cancel(self, attempt: Attempt) -> None:
        self._clock.after(ROUND_TRIP_S / 2, self._cancel, attempt)

    def cut_off(self) -> None:
        self.cut = True

    def restart(self) -> None:
        """Come back empty and cold."""
        self.cut = False
        self._waiting.clear()
        self.cold_from = self._clock.now

    def _arrive(self, attempt: Attempt) -> None:
        if attempt.ended or self.cut:
            return
        if self.gray and self._random.random() < GRAY_SHARE:
            self._clock.after(
                GRAY_S, self._answer, attempt, limits.CallOutcome.FAILED
            )
        elif self.in_use < self.slots:
            self._start(attempt)
        elif len(self._waiting) >= SHED_QUEUE:
            self._answer(attempt, limits.CallOutcome.SHED)
        else:
            self._waiting.append(attempt)

    def _start(self, attempt: Attempt) -> None:
        self.in_use += 1
        attempt.running = True
        duration_s = (
            SERVICE_MEDIAN_S
            * self._random.lognormvariate(0, SERVICE_SIGMA)
            * self.factor
            * self._cold_factor()
        )
        self._clock.after(duration_s, self._finish, attempt)

    def _cold_factor(self) -> float:
        warm = min(1.0, (self._clock.now - self.cold_from) / COLD_S)
        return 1 + COLD_FACTOR * (1 - warm)

    def _finish(self, attempt: Attempt) -> None:
        if attempt.running:
            self._free(attempt)
            self._answer(attempt, limits.CallOutcome.SUCCESS)

    def _cancel(self, attempt: Attempt) -> None:
        if attempt.running and not self.cut:
            self._free(attempt)

    def _free(self, attempt: Attempt) -> None:
        attempt.running = False
        self.in_use -= 1
        while self._waiting and self.in_use < self.slots:
            following = self._waiting.popleft()
            if not following.ended:
                self._start(following)

    def _answer(self, attempt: Attempt, outcome: limits.CallOutcome) -> None:
        if not self.cut:
            self._clock.after(
                ROUND_TRIP_S / 2, attempt.respond, attempt, outcome
            )


class Figures:
    """Figures of one rank in one run."""

    def __init__(self) -> None:
        self.offered = 0
        self.answered = 0
        self.whole_in_time = 0
        self.whole_in_window = 0
        self.refusals_by_code: collections.Counter[str] = collections.Counter()
        self.missing_by_code: collections.Counter[str] = collections.Counter()
        self.coverage_total: float = 0
        self._latency = histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)

    def record(
        self, query: Query, target_s: float, now: float, in_window: bool
    ) -> None:
        """Record an answered query."""
        latency_s = now - query.due
        covered = sum(item.answered for item in query.items)
        self.answered += 1
        self.coverage_total += covered / len(query.items)
        self._latency.record_value(max(1, int(latency_s * US_PER_S)))
        whole = covered == len(query.items) and latency_s <= target_s
        self.whole_in_time += whole
        self.whole_in_window += whole and in_window

    def quantile_ms(self, percent: float) -> float:
        return self._latency.get_value_at_percentile(percent) / 1000

    def coverage(self) -> float:
        return self.coverage_total / self.answered if self.answered else 0

    def goodput(self) -> float:
        """Return the share of offered queries answered whole and in time."""
        return self.whole_in_time / self.offered if self.offered else 1.0


class Sender(abc.ABC):
    """Base of the senders: accounts attempts and closes queries."""

    def __init__(
        self,
        clock: timeline.Timeline,
        size: Size,
        servers: list[list[BackendServer]],
        targets_s: dict[rules.Rank, float],
    ) -> None:
        self.clock = clock
        self.size = size
        self.servers = servers
        self.targets_s = targets_s
        self.figures_by_rank = {rank: Figures() for rank in rules.Rank}
        self.attempts = 0
        self.needed = 0
        # Time in which the service of a flood is counted.
        self.window_from: float = 0
        self.window_until: float = 0
        self._idle: dict[str, int] = collections.defaultdict(int)

    @abc.abstractmethod
    def send(self, query: Query) -> None:
        """Take a query that is due now."""

    def responded(self, attempt: Attempt, outcome: limits.CallOutcome) -> None:
        """Take the response to an attempt, unless it was given up."""
        if not attempt.ended:
            self.settle(attempt, outcome)

    @abc.abstractmethod
    def settle(self, attempt: Attempt, outcome: limits.CallOutcome) -> None:
        """End an attempt and decide what becomes of its item."""

    @abc.abstractmethod
    def give_up(self, item: Item, code: str) -> None:
        """Stop the work on an item at its deadline."""

    def open(self, query: Query) -> None:
        """Create the items of a query."""
        query.items = [
            Item(query, service) for service in range(self.size.services)
        ]
        query.open_count = len(query.items)
        self.clock.after(query.deadline - self.clock.now, self._deadline, query)

    def refuse(self, query: Query, code: str) -> None:
        figures = self.figures_by_rank[query.rank]
        figures.refusals_by_code[code] += 1
        query.open_count = 0
        for item in query.items:
            item.closed = True

    def submit(self, item: Item, server: BackendServer) -> Attempt:
        attempt = Attempt(item, server, self.clock.now)
        attempt.respond = self.responded
        if not item.tried:
            self.needed += 1
        self.attempts += 1
        item.attempts.append(attempt)
        item.tried.append(server.backend_id)
        cost_s = self.size.connection_cost_s
        if self._idle[server.backend_id]:
            self._idle[server.backend_id] -= 1
            cost_s = 0
        server.submit(attempt, cost_s)
        return attempt

    def end(self, attempt: Attempt, reusable: bool) -> None:
        """Mark an attempt as ended and keep its connection if reusable."""
        attempt.ended = True
        attempt.item.attempts.remove(attempt)
        if reusable:
            self._idle[attempt.server.backend_id] += 1

    def close(self, item: Item, answered: bool, code: str = '') -> None:
        """Close an item, and its query after the last one."""
        if item.closed:
            return
        item.closed = True
        item.answered = answered
        query = item.query
        figures = self.figures_by_rank[query.rank]
        if not answered:
            figures.missing_by_code[code] += 1
        query.open_count -= 1
        if not query.open_count:
            figures.record(
                query,
                self.targets_s[query.rank],
                self.clock.now,
                self.window_from <= self.clock.now < self.window_until,
            )

    def _deadline(self, query: Query) -> None:
        for item in query.items:
            if not item.closed:
                self.give_up(item, 'deadline_exceeded')


class Arrivals:
    """Open-loop Poisson arrivals of one rank between two times."""

    def __init__(
        self,
        sender: Sender,
        rank: rules.Rank,
        customer: str,
        rate: float,
        arrival_random: random.Random,
    ) -> None:
        self._sender = sender
        self._rank = rank
        self._customer = customer
        self._rate = rate
        self._random = arrival_random
        self._until: float = 0

    def start(self, begin: float, until: float) -> None:
        self._until = until
        self._schedule(begin - self._sender.clock.now)

    def _schedule(self, base_s: float = 0) -> None:
        delay_s = base_s + self._random.expovariate(self._rate)
        if self._sender.clock.now + delay_s < self._until:
            self._sender.clock.after(delay_s, self._due)

    def _due(self) -> None:
        now = self._sender.clock.now
        self._schedule()
        self._sender.figures_by_rank[self._rank].offered += 1
        deadline = now + self._sender.targets_s[self._rank]
        self._sender.send(Query(self._rank, self._customer, now, deadline))
