"""Queue by rank with deadlines and shares; sans-I/O.

Owns the items that wait for one resource, such as the slots of a service.
More urgent ranks go first, but each rank keeps its minimum share of the
service and of the queue's capacity while others flood. Customers of a rank
take turns. Items are matched by identity, and one item waits at most once.
"""

import collections
import enum
import heapq
import itertools
import math
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from cardamomflow import errors, estimates, rules

# Bounds the cost of one `take` when many waiting items do not suit.
SCAN_LIMIT = 256
# Items ahead are served at a varying pace, and a query needs all its items,
# so the expected wait may take up only this part of the remaining time.
WAIT_FACTOR = 3
# Services that a rank may be owed; a larger debt is paid in a burst.
CREDIT_CAP = 2.0
_COMPACT_MINIMUM = 1024
_MS_PER_S = 1000


class Queued(NamedTuple):
    """An item with the facts that order it.

    Attributes
    ----------
    item : Any
    rank : rules.Rank
    customer : str
    deadline : float
        Monotonic time in seconds.
    enqueued_at : float
        Monotonic time in seconds.
    """

    item: Any
    rank: rules.Rank
    customer: str
    deadline: float
    enqueued_at: float


class Departure(enum.Enum):
    """Why an item left the queue without being taken."""

    # Its deadline passed, or it can't finish before it any more.
    LATE = enum.auto()
    # It made room for more urgent work, or for a customer with less.
    DISPLACED = enum.auto()


class Dropped(NamedTuple):
    """An item that left the queue without being taken."""

    item: Any
    customer: str
    departure: Departure


class _Entry:
    """A queued item; stays in its lane as a gap after its removal."""

    __slots__ = ('queued', 'lane', 'waits')

    def __init__(self, queued: Queued, lane: '_Lane') -> None:
        self.queued = queued
        self.lane = lane
        self.waits = True


class _Lane:
    """Items of one customer in one rank, in order of arrival."""

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.entries: collections.deque[_Entry] = collections.deque()
        self.length = 0

    def add(self, entry: _Entry, *, first: bool = False) -> None:
        if first:
            self.entries.appendleft(entry)
        else:
            self.entries.append(entry)
        self.length += 1

    def leave(self, entry: _Entry) -> None:
        """Turn an entry into a gap."""
        entry.waits = False
        self.length -= 1
        gaps = len(self.entries) - self.length
        if gaps > _COMPACT_MINIMUM and gaps > self.length:
            self.entries = collections.deque(
                kept for kept in self.entries if kept.waits
            )

    def first(self) -> _Entry:
        while not self.entries[0].waits:
            self.entries.popleft()
        return self.entries[0]

    def last(self) -> _Entry:
        while not self.entries[-1].waits:
            self.entries.pop()
        return self.entries[-1]

    def scan(self, limit: int) -> Iterator[_Entry]:
        waiting = (entry for entry in self.entries if entry.waits)
        return itertools.islice(waiting, limit)


class _RankLine:
    """The lanes of one rank; the first lane in the order is next."""

    def __init__(self, rank: rules.Rank, share: float, capacity: int) -> None:
        self.rank = rank
        self.share = share
        self.reserved = math.ceil(share * capacity) if share else 0
        self.length = 0
        self.credit: float = 0
        self.drain = estimates.DrainRate()
        self._lanes_by_customer: collections.OrderedDict[str, _Lane] = (
            collections.OrderedDict()
        )
        self._longest: _Lane | None = None

    def add(self, queued: Queued, *, first: bool = False) -> _Entry:
        """Add an item; with `first`, it is the next one of the rank."""
        if not self.length:
            self.drain.resume(queued.enqueued_at)
        lane = self._lanes_by_customer.get(queued.customer)
        if lane is None:
            lane = _Lane(queued.customer)
            self._lanes_by_customer[queued.customer] = lane
        entry = _Entry(queued, lane)
        lane.add(entry, first=first)
        if first:
            self._lanes_by_customer.move_to_end(queued.customer, last=False)
        self.length += 1
        if self._longest is None or lane.length > self._longest.length:
            self._longest = lane
        return entry

    def leave(self, entry: _Entry) -> None:
        lane = entry.lane
        lane.leave(entry)
        self.length -= 1
        if not lane.length:
            self._lanes_by_customer.pop(lane.customer)
            if self._longest is lane:
                self._longest = None

    def longest(self) -> _Lane:
        """Return the longest lane, as known from the last arrivals."""
        if self._longest is None:
            self._longest = max(
                self._lanes_by_customer.values(),
                key=lambda lane: lane.length,
            )
        return self._longest

    def lane_length(self, customer: str) -> int:
        lane = self._lanes_by_customer.get(customer)
        return lane.length if lane else 0

    def ahead(self, customer: str) -> int:
        """Return the items that leave before a new one of a customer."""
        turns = (self.lane_length(customer) + 1) * len(self._lanes_by_customer)
        return min(self.length, turns)

    def find(self, suits: Callable[[Queued], bool] | None) -> _Entry | None:
        """Return the next entry that suits; its customer goes last then."""
        for lane in tuple(self._lanes_by_customer.values()):
            entry = self._find_in(lane, suits)
            if entry is not None:
                self._lanes_by_customer.move_to_end(lane.customer)
                return entry
        return None

    def _find_in(
        self, lane: _Lane, suits: Callable[[Queued], bool] | None
    ) -> _Entry | None:
        if suits is None:
            return lane.first()
        lane.first()  # drops the gaps at the front
        for entry in lane.scan(SCAN_LIMIT):
            if suits(entry.queued):
                return entry
        return None


class RankQueue:
    """Bounded queue by rank."""

    def __init__(
        self,
        shares_by_rank: dict[rules.Rank, float],
        customer_maximum_share: float,
        capacity: int,
    ) -> None:
        """Take the rules.

        Parameters
        ----------
        shares_by_rank : dict of rules.Rank to float
            Minimum share of each rank while others flood.
        customer_maximum_share : float
            Share of a rank's items that one customer may hold in a full
            queue while others arrive.
        capacity : int
            Items that may wait.
        """
        self._capacity = capacity
        self._customer_maximum_share = customer_maximum_share
        self._lines = [
            _RankLine(rank, shares_by_rank.get(rank, 0), capacity)
            for rank in sorted(rules.Rank)
        ]
        self._lines_by_rank = {line.rank: line for line in self._lines}
        self._entries_by_item: dict[int, _Entry] = {}
        self._deadlines: list[tuple[float, int, _Entry]] = []
        self._sequence = itertools.count()
        self._dropped: list[Dropped] = []
        self._duration = estimates.DurationEstimate()

    def __len__(self) -> int:
        """Return the number of items that wait."""
        return len(self._entries_by_item)

    def offer(
        self,
        item: Any,
        rank: rules.Rank,
        customer: str,
        deadline: float,
        now: float,
    ) -> None:
        """Queue an item.

        In a full queue it may displace another, which `expire` returns.

        Raises
        ------
        errors.DeadlineUnreachable
            The item can't be taken and finished before its deadline.
        errors.Overloaded
            The queue is full of items that may not be displaced.
        """
        queued = Queued(item, rank, customer, deadline, now)
        self._refuse_late(queued, self._wait_s(queued))
        self._add(queued)

    def offer_again(self, queued: Queued) -> None:
        """Queue an item that was taken before, ahead of those that wait.

        It has waited its turn and has less time left than later arrivals;
        behind them it would miss its deadline whenever one call of a busy
        service fails.

        Raises
        ------
        errors.DeadlineUnreachable, errors.Overloaded
            As for `offer`.
        """
        self._refuse_late(queued, 0)
        self._add(queued, first=True)

    def take(
        self, now: float, suits: Callable[[Queued], bool] | None = None
    ) -> Queued | None:
        """Remove and return the next item.

        Items that can't finish any more are left out; `expire` returns
        them.

        Parameters
        ----------
        now : float
        suits : callable, optional
            Tells whether an item can be worked on now. At most `SCAN_LIMIT`
            items of each customer and rank are asked.
        """
        self._drop_late(now)
        waiting = [line for line in self._lines if line.length]
        for line in _by_turn(waiting):
            entry = line.find(suits)
            if entry is not None:
                line.drain.record_dequeued(now)
                self._leave(entry)
                _settle(waiting, line)
                return entry.queued
        return None

    def expire(self, now: float) -> list[Dropped]:
        """Remove and return items that were displaced or are too late."""
        self._drop_late(now)
        dropped = self._dropped
        self._dropped = []
        return dropped

    def remove(self, item: Any) -> bool:
        """Remove an item that its caller cancelled; False if not queued."""
        entry = self._entries_by_item.get(id(item))
        if entry is None:
            return False
        self._leave(entry)
        return True

    def served(self, duration_s: float, now: float) -> None:
        """Learn the seconds from the take of an item to its end."""
        self._duration.record(duration_s, now)

    def _add(self, queued: Queued, *, first: bool = False) -> None:
        line = self._lines_by_rank[queued.rank]
        if len(self) >= self._capacity:
            self._drop_late(queued.enqueued_at)
        if len(self) >= self._capacity:
            self._displace(line, queued.customer)
        entry = line.add(queued, first=first)
        self._entries_by_item[id(queued.item)] = entry
        heapq.heappush(
            self._deadlines, (queued.deadline, next(self._sequence), entry)
        )

    def _leave(self, entry: _Entry) -> None:
        self._entries_by_item.pop(id(entry.queued.item))
        self._lines_by_rank[entry.queued.rank].leave(entry)
        gaps = len(self._deadlines) - len(self)
        if gaps > _COMPACT_MINIMUM and gaps > len(self):
            self._deadlines = [
                timed for timed in self._deadlines if timed[-1].waits
            ]
            heapq.heapify(self._deadlines)

    def _drop(self, entry: _Entry, departure: Departure) -> None:
        self._leave(entry)
        queued = entry.queued
        self._dropped.append(Dropped(queued.item, queued.customer, departure))

    def _drop_late(self, now: float) -> None:
        horizon = now + self._duration.estimate_s(now)
        while self._deadlines and self._deadlines[0][0] <= horizon:
            entry = heapq.heappop(self._deadlines)[-1]
            if entry.waits:
                self._drop(entry, Departure.LATE)

    def _wait_s(self, queued: Queued) -> float:
        """Return the seconds that a new item may wait."""
        line = self._lines_by_rank[queued.rank]
        if not line.length:
            return 0
        # A pause is expected to last as long again as it has lasted.
        turns_s = line.drain.wait_s(line.ahead(queued.customer))
        return WAIT_FACTOR * turns_s + line.drain.pause_s(queued.enqueued_at)

    def _refuse_late(self, queued: Queued, wait_s: float) -> None:
        now = queued.enqueued_at
        finish = now + wait_s + self._duration.estimate_s(now)
        if finish >= queued.deadline:
            raise errors.DeadlineUnreachable(
                f'{queued.rank.label} work may wait'
                f' {wait_s * _MS_PER_S:.0f} ms, which is past its deadline;'
                ' send it later or with a longer deadline'
            )

    def _displace(self, line: _RankLine, customer: str) -> None:
        """Make room for an item of a rank, or refuse it."""
        victim = self._victim_lane(line, customer)
        if victim is None:
            raise errors.Overloaded(
                f'the queue is full ({self._capacity} items) and no less'
                f' urgent work can make room for {line.rank.label} work;'
                ' send it later'
            )
        self._drop(victim.last(), Departure.DISPLACED)

    def _victim_lane(self, line: _RankLine, customer: str) -> _Lane | None:
        entitled = line.length < line.reserved
        for other in reversed(self._lines):
            less_urgent = other.rank > line.rank
            if other is line or not (less_urgent or entitled):
                continue
            if other.length > other.reserved:
                return other.longest()
        return self._greedy_lane(line, customer)

    def _greedy_lane(self, line: _RankLine, customer: str) -> _Lane | None:
        if not line.length:
            return None
        fair = self._customer_maximum_share * line.length
        longest = line.longest()
        modest = line.lane_length(customer) + 1 < fair
        return longest if modest and longest.length > fair else None


def _by_turn(waiting: list[_RankLine]) -> list[_RankLine]:
    """Return lines in the order in which they may be served now."""
    owed = [line for line in waiting if line.credit >= 1]
    if not owed:
        return waiting
    owed.sort(key=lambda line: line.credit, reverse=True)
    return owed + [line for line in waiting if line.credit < 1]


def _settle(waiting: list[_RankLine], served: _RankLine) -> None:
    """Charge one service; ranks that waited earn their minimum share."""
    for line in waiting:
        line.credit = min(CREDIT_CAP, line.credit + line.share)
    served.credit = max(0, served.credit - 1)
    for line in waiting:
        if not line.length:
            line.credit = 0
