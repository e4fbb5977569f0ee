"""Bounded priority queue with deadlines and minimum shares; sans-I/O.

Owns the items that wait for one resource, such as the slots of a service.
More urgent ranks are dequeued first, but each rank keeps its minimum share of
the dequeued items and of the queue's capacity while others flood. Customers
of a rank are served round robin. Items are matched by identity, and one item
is queued at most once.
"""

import collections
import enum
import heapq
import itertools
import math
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from cardamomflow import errors, estimates, rules

# Bounds the cost of one `take` when many waiting items are not eligible.
SCAN_LIMIT = 256
# The expected wait is multiplied by this factor before it is compared with the
# deadline: the items ahead are served at a varying rate, and a query needs all
# its items.
WAIT_FACTOR = 3
# Largest credit of a rank, in items that it may dequeue before more urgent
# ranks. A rank spends its credit in one burst.
CREDIT_CAP = 2.0
# Gaps of removed entries are cleaned up above this number of gaps.
_MINIMUM_GAPS = 1024
_MS_PER_S = 1000


class QueuedItem(NamedTuple):
    """An item with the values that determine its place in the queue.

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


class DropReason(enum.Enum):
    """Why an item was dropped from the queue."""

    # Its deadline passed, or the item can no longer finish before it.
    LATE = enum.auto()
    # Removed from a full queue for a more urgent rank, a rank below its
    # minimum share, or a customer with fewer items.
    DISPLACED = enum.auto()


class DroppedItem(NamedTuple):
    """An item that was removed from the queue without being worked on."""

    item: Any
    customer: str
    reason: DropReason


class _Entry:
    """A queued item; stays in its queue as a gap after its removal."""

    __slots__ = ('queued', 'customer_queue', 'is_waiting')

    def __init__(
        self, queued: QueuedItem, customer_queue: '_CustomerQueue'
    ) -> None:
        self.queued = queued
        self.customer_queue = customer_queue
        self.is_waiting = True


class _CustomerQueue:
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

    def remove(self, entry: _Entry) -> None:
        """Turn an entry into a gap."""
        entry.is_waiting = False
        self.length -= 1
        gaps = len(self.entries) - self.length
        if gaps > _MINIMUM_GAPS and gaps > self.length:
            self.entries = collections.deque(
                other for other in self.entries if other.is_waiting
            )

    def first(self) -> _Entry:
        while not self.entries[0].is_waiting:
            self.entries.popleft()
        return self.entries[0]

    def last(self) -> _Entry:
        while not self.entries[-1].is_waiting:
            self.entries.pop()
        return self.entries[-1]

    def scan(self, limit: int) -> Iterator[_Entry]:
        waiting = (entry for entry in self.entries if entry.is_waiting)
        return itertools.islice(waiting, limit)


class _RankBacklog:
    """Queued items of one rank; its customers are served round robin."""

    def __init__(self, rank: rules.Rank, share: float, capacity: int) -> None:
        self.rank = rank
        self.share = share
        self.reserved = math.ceil(share * capacity) if share else 0
        self.length = 0
        self.credit: float = 0
        self.drain = estimates.DrainRate()
        self._queues_by_customer: collections.OrderedDict[
            str, _CustomerQueue
        ] = collections.OrderedDict()
        self._longest_queue: _CustomerQueue | None = None

    def add(self, queued: QueuedItem, *, first: bool = False) -> _Entry:
        """Add an item; with `first`, the rank dequeues it next."""
        if not self.length:
            self.drain.resume(queued.enqueued_at)
        customer_queue = self._queues_by_customer.get(queued.customer)
        if customer_queue is None:
            customer_queue = _CustomerQueue(queued.customer)
            self._queues_by_customer[queued.customer] = customer_queue
        entry = _Entry(queued, customer_queue)
        customer_queue.add(entry, first=first)
        if first:
            self._queues_by_customer.move_to_end(queued.customer, last=False)
        self.length += 1
        if (
            self._longest_queue is None
            or customer_queue.length > self._longest_queue.length
        ):
            self._longest_queue = customer_queue
        return entry

    def remove(self, entry: _Entry) -> None:
        customer_queue = entry.customer_queue
        customer_queue.remove(entry)
        self.length -= 1
        if not customer_queue.length:
            self._queues_by_customer.pop(customer_queue.customer)
            if self._longest_queue is customer_queue:
                self._longest_queue = None

    def longest_queue(self) -> _CustomerQueue:
        """Return the longest customer queue.

        The result may be out of date after removals: it is updated only when
        items are added or the longest queue becomes empty.
        """
        if self._longest_queue is None:
            self._longest_queue = max(
                self._queues_by_customer.values(),
                key=lambda customer_queue: customer_queue.length,
            )
        return self._longest_queue

    def customer_length(self, customer: str) -> int:
        customer_queue = self._queues_by_customer.get(customer)
        return customer_queue.length if customer_queue else 0

    def count_ahead(self, customer: str) -> int:
        """Return the number of items ahead of a customer's new one."""
        turns = (self.customer_length(customer) + 1) * len(
            self._queues_by_customer
        )
        return min(self.length, turns)

    def find_eligible(
        self, is_eligible: Callable[[QueuedItem], bool] | None
    ) -> _Entry | None:
        """Return the next eligible entry and move its customer to the end."""
        for customer_queue in tuple(self._queues_by_customer.values()):
            entry = self._find_eligible_in(customer_queue, is_eligible)
            if entry is not None:
                self._queues_by_customer.move_to_end(customer_queue.customer)
                return entry
        return None

    def _find_eligible_in(
        self,
        customer_queue: _CustomerQueue,
        is_eligible: Callable[[QueuedItem], bool] | None,
    ) -> _Entry | None:
        if is_eligible is None:
            return customer_queue.first()
        customer_queue.first()  # drops the gaps at the front
        for entry in customer_queue.scan(SCAN_LIMIT):
            if is_eligible(entry.queued):
                return entry
        return None


class RankQueue:
    """Bounded priority queue with a minimum share for each rank."""

    def __init__(
        self,
        shares_by_rank: dict[rules.Rank, float],
        customer_maximum_share: float,
        capacity: int,
    ) -> None:
        """Create an empty queue.

        Parameters
        ----------
        shares_by_rank : dict of rules.Rank to float
            Minimum share of each rank while others flood.
        customer_maximum_share : float
            Share of a rank's items that one customer may have in a full
            queue while items of other customers arrive.
        capacity : int
            Maximum number of queued items.
        """
        self._capacity = capacity
        self._customer_maximum_share = customer_maximum_share
        self._backlogs = [
            _RankBacklog(rank, shares_by_rank.get(rank, 0), capacity)
            for rank in sorted(rules.Rank)
        ]
        self._backlogs_by_rank = {
            backlog.rank: backlog for backlog in self._backlogs
        }
        self._entries_by_item: dict[int, _Entry] = {}
        self._deadlines: list[tuple[float, int, _Entry]] = []
        self._sequence = itertools.count()
        self._dropped: list[DroppedItem] = []
        self._duration = estimates.DurationEstimate()

    def __len__(self) -> int:
        """Return the number of queued items."""
        return len(self._entries_by_item)

    def offer(
        self,
        item: Any,
        rank: rules.Rank,
        customer: str,
        deadline: float,
        now: float,
    ) -> None:
        """Enqueue an item.

        In a full queue it may displace another item, which `expire` returns.

        Raises
        ------
        errors.DeadlineUnreachable
            The item can't be dequeued and finished before its deadline.
        errors.Overloaded
            The queue is full of items that may not be displaced.
        """
        queued = QueuedItem(item, rank, customer, deadline, now)
        self._check_deadline(queued, self._expected_wait_s(queued))
        self._add(queued)

    def requeue(self, queued: QueuedItem) -> None:
        """Enqueue an item that was dequeued before, at the front of its rank.

        The item has less time left than later arrivals. Behind them it would
        miss its deadline whenever a call of a busy service fails.

        Raises
        ------
        errors.DeadlineUnreachable, errors.Overloaded
            As for `offer`.
        """
        self._check_deadline(queued, 0)
        self._add(queued, first=True)

    def take(
        self,
        now: float,
        is_eligible: Callable[[QueuedItem], bool] | None = None,
    ) -> QueuedItem | None:
        """Dequeue the next eligible item; None if there is none.

        Items that can no longer finish in time are dropped; `expire` returns
        them.

        Parameters
        ----------
        now : float
        is_eligible : callable, optional
            Returns whether work on an item can start now. It is called for at
            most `SCAN_LIMIT` items of each customer and rank.
        """
        self._drop_late(now)
        waiting = [backlog for backlog in self._backlogs if backlog.length]
        for backlog in _in_service_order(waiting):
            entry = backlog.find_eligible(is_eligible)
            if entry is not None:
                backlog.drain.record_dequeued(now)
                self._remove_entry(entry)
                _update_credits(waiting, backlog)
                return entry.queued
        return None

    def expire(self, now: float) -> list[DroppedItem]:
        """Return the items dropped since the last call."""
        self._drop_late(now)
        dropped = self._dropped
        self._dropped = []
        return dropped

    def remove(self, item: Any) -> bool:
        """Remove an item that its caller cancelled; False if not queued."""
        entry = self._entries_by_item.get(id(item))
        if entry is None:
            return False
        self._remove_entry(entry)
        return True

    def record_duration(self, duration_s: float, now: float) -> None:
        """Record the seconds from dequeueing an item to the end of its work."""
        self._duration.record(duration_s, now)

    def _add(self, queued: QueuedItem, *, first: bool = False) -> None:
        backlog = self._backlogs_by_rank[queued.rank]
        if len(self) >= self._capacity:
            self._drop_late(queued.enqueued_at)
        if len(self) >= self._capacity:
            self._displace(backlog, queued.customer)
        entry = backlog.add(queued, first=first)
        self._entries_by_item[id(queued.item)] = entry
        heapq.heappush(
            self._deadlines, (queued.deadline, next(self._sequence), entry)
        )

    def _remove_entry(self, entry: _Entry) -> None:
        self._entries_by_item.pop(id(entry.queued.item))
        self._backlogs_by_rank[entry.queued.rank].remove(entry)
        gaps = len(self._deadlines) - len(self)
        if gaps > _MINIMUM_GAPS and gaps > len(self):
            self._deadlines = [
                timed_entry
                for timed_entry in self._deadlines
                if timed_entry[-1].is_waiting
            ]
            heapq.heapify(self._deadlines)

    def _drop(self, entry: _Entry, reason: DropReason) -> None:
        self._remove_entry(entry)
        queued = entry.queued
        self._dropped.append(DroppedItem(queued.item, queued.customer, reason))

    def _drop_late(self, now: float) -> None:
        earliest_end = now + self._duration.estimate_s(now)
        while self._deadlines and self._deadlines[0][0] <= earliest_end:
            entry = heapq.heappop(self._deadlines)[-1]
            if entry.is_waiting:
                self._drop(entry, DropReason.LATE)

    def _expected_wait_s(self, queued: QueuedItem) -> float:
        """Return a cautious estimate of the wait of a new item."""
        backlog = self._backlogs_by_rank[queued.rank]
        if not backlog.length:
            return 0
        # A pause without dequeued items is assumed to last as long again.
        turns_s = backlog.drain.wait_s(backlog.count_ahead(queued.customer))
        return WAIT_FACTOR * turns_s + backlog.drain.pause_s(queued.enqueued_at)

    def _check_deadline(self, queued: QueuedItem, wait_s: float) -> None:
        now = queued.enqueued_at
        finish = now + wait_s + self._duration.estimate_s(now)
        if finish >= queued.deadline:
            raise errors.DeadlineUnreachable(
                f'{queued.rank.label} work may wait'
                f' {wait_s * _MS_PER_S:.0f} ms, which is past its deadline;'
                ' send it later or with a longer deadline'
            )

    def _displace(self, backlog: _RankBacklog, customer: str) -> None:
        """Drop an item to make room in a full queue, or raise `Overloaded`."""
        victim = self._find_victim_queue(backlog, customer)
        if victim is None:
            raise errors.Overloaded(
                f'the queue is full ({self._capacity} items) and no less'
                f' urgent work can make room for {backlog.rank.label} work;'
                ' send it later'
            )
        self._drop(victim.last(), DropReason.DISPLACED)

    def _find_victim_queue(
        self, backlog: _RankBacklog, customer: str
    ) -> _CustomerQueue | None:
        is_below_reserve = backlog.length < backlog.reserved
        for other in reversed(self._backlogs):
            less_urgent = other.rank > backlog.rank
            if other is backlog or not (less_urgent or is_below_reserve):
                continue
            if other.length > other.reserved:
                return other.longest_queue()
        return self._find_queue_over_share(backlog, customer)

    def _find_queue_over_share(
        self, backlog: _RankBacklog, customer: str
    ) -> _CustomerQueue | None:
        if not backlog.length:
            return None
        fair_length = self._customer_maximum_share * backlog.length
        longest = backlog.longest_queue()
        is_below_share = backlog.customer_length(customer) + 1 < fair_length
        return (
            longest if is_below_share and longest.length > fair_length else None
        )


def _in_service_order(waiting: list[_RankBacklog]) -> list[_RankBacklog]:
    """Return ranks with credit first, then the others by urgency."""
    with_credit = [backlog for backlog in waiting if backlog.credit >= 1]
    if not with_credit:
        return waiting
    with_credit.sort(key=lambda backlog: backlog.credit, reverse=True)
    return with_credit + [backlog for backlog in waiting if backlog.credit < 1]


def _update_credits(waiting: list[_RankBacklog], served: _RankBacklog) -> None:
    """Charge the served rank one credit; waiting ranks earn their share."""
    for backlog in waiting:
        backlog.credit = min(CREDIT_CAP, backlog.credit + backlog.share)
    served.credit = max(0, served.credit - 1)
    for backlog in waiting:
        if not backlog.length:
            backlog.credit = 0
