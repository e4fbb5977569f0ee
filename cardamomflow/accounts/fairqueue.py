"""Queue of one service: strict ranks, fair between accounts; sans-I/O.

Owns the order of queued items and the estimate of when an item's turn comes.
Within a rank it is start-time fair queueing: each account is a flow with a
weight, an item takes 1 / weight of its flow's virtual time, and the flow whose
next item starts first is served. With a single flow the order is that of
arrival. Each operation takes time logarithmic in the number of flows.
"""

import collections
import heapq
import itertools
from collections.abc import Callable
from typing import Any

from cardamomflow import estimates, rules

# Bounds of a weight. Beyond them, the rounding of virtual times would stop the
# progress of a flow or let it starve the others.
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1_000_000.0
# Items that a flow which asked for less than its share may have served before
# the others. With 1, small accounts with random arrivals waited up to 1.5 s in
# `tests.test_fairqueue`, since two of their requests seldom come evenly.
MAX_CREDIT_ITEMS = 4


class _Flow:
    """Queued items of one account, and when the next one starts.

    Attributes
    ----------
    span : float
        Virtual time that an item takes.
    start : float
        Virtual time at which the next item starts.
    is_listed : bool
        Whether the queue of the rank lists the flow.
    drain : estimates.DrainRate
        Rate at which its items are served while it has a backlog.
    """

    __slots__ = ('items', 'span', 'start', 'is_listed', 'drain')

    def __init__(self) -> None:
        self.items: collections.deque[Any] = collections.deque()
        self.span: float = 1
        self.start = float('-inf')
        self.is_listed = False
        self.drain = estimates.DrainRate()

    def next_start(self, virtual_time: float) -> float:
        """Return when an item starts that is added now.

        The others start at the present virtual time or later. A flow that
        was idle starts earlier, by up to the credit that it has not used.
        """
        return max(self.start, virtual_time - MAX_CREDIT_ITEMS * self.span)


class _RankQueue:
    """Queued items of one rank."""

    def __init__(self, discard_settled: Callable[[Any], bool]) -> None:
        self.length = 0
        self._busy_since: float = 0
        self._discard_settled = discard_settled
        self._virtual_time: float = 0
        # Flows that were served since the queue was last empty.
        self._flows_by_name: dict[str | None, _Flow] = {}
        # The flows with items; the sequence number breaks ties.
        self._heap: list[tuple[float, int, _Flow]] = []
        self._sequence = itertools.count()

    def push(
        self, item: Any, name: str | None, weight: float, now: float
    ) -> None:
        # Removes settled items, which would count as a backlog since they came.
        self.first()
        if not self.length:
            self._reset(now)
        flow = self._flows_by_name.setdefault(name, _Flow())
        self._drop_settled(flow)
        flow.span = _span(weight)
        if not flow.items:
            flow.drain.resume(now)
        if not flow.is_listed:
            flow.start = flow.next_start(self._virtual_time)
            self._list(flow)
        flow.items.append(item)
        self.length += 1

    def first(self) -> Any | None:
        """Return the next item that is not settled; drop those before it."""
        while self._heap:
            flow = self._heap[0][-1]
            self._drop_settled(flow)
            if flow.items:
                return flow.items[0]
            self._unlist_first()
        return None

    def pop(self, now: float, *, is_served: bool) -> None:
        """Remove the item that `first` returned.

        One that is not served does not count towards its flow's share.
        """
        flow = self._unlist_first()
        flow.items.popleft()
        self.length -= 1
        if is_served:
            flow.drain.record_dequeued(now)
            self._virtual_time = max(self._virtual_time, flow.start)
            flow.start += flow.span
        if flow.items:
            self._list(flow)

    def wait_s(self, name: str | None) -> float:
        """Return the seconds until an item that is added now is served.

        Returns 0 if it is not known.
        """
        flow = self._flows_by_name.get(name)
        if flow is None:
            return 0
        self._drop_settled(flow)
        return flow.drain.wait_s(len(flow.items))

    def busy_s(self, now: float) -> float:
        """Return for how many seconds the queue has not been empty."""
        return 0 if self.first() is None else now - self._busy_since

    def _list(self, flow: _Flow) -> None:
        flow.is_listed = True
        heapq.heappush(self._heap, (flow.start, next(self._sequence), flow))

    def _unlist_first(self) -> _Flow:
        flow = heapq.heappop(self._heap)[-1]
        flow.is_listed = False
        return flow

    def _reset(self, now: float) -> None:
        """Forget the flows: without a queue nobody is owed anything."""
        self._virtual_time = 0
        self._flows_by_name.clear()
        self._heap.clear()
        self._busy_since = now

    def _drop_settled(self, flow: _Flow) -> None:
        while flow.items and self._discard_settled(flow.items[0]):
            flow.items.popleft()
            self.length -= 1


class FairQueue:
    """Queued items of one service."""

    def __init__(self, discard_settled: Callable[[Any], bool]) -> None:
        """Create an empty queue.

        Parameters
        ----------
        discard_settled : callable
            Takes an item and returns whether it no longer needs its turn; the
            queue then removes it, and does not call it again for the item.
        """
        # The most urgent rank comes first.
        self._queues_by_rank = {
            rank: _RankQueue(discard_settled) for rank in sorted(rules.Rank)
        }
        self._drain = estimates.DrainRate()

    def __len__(self) -> int:
        """Return the number of items, with some of the settled ones."""
        return sum(queue.length for queue in self._queues_by_rank.values())

    def push(
        self,
        item: Any,
        rank: rules.Rank,
        name: str | None,
        weight: float,
        now: float,
    ) -> None:
        """Add an item.

        Parameters
        ----------
        item : Any
        rank : rules.Rank
        name : str or None
            Account of the item; items without an account form one flow.
        weight : float
            Share of the account relative to the others.
        now : float
            Monotonic time in seconds.
        """
        if not len(self):
            self._drain.resume(now)
        self._queues_by_rank[rank].push(item, name, weight, now)

    def first(self) -> Any | None:
        """Return the item whose turn it is, None without one."""
        queue = self._first_queue()
        return None if queue is None else queue.first()

    def pop(self, now: float, *, is_served: bool) -> None:
        """Remove the item that `first` returned, before it is settled."""
        queue = self._first_queue()
        if queue is None:
            return
        if is_served:
            self._drain.record_dequeued(now)
        queue.pop(now, is_served=is_served)

    def wait_s(self, rank: rules.Rank, name: str | None, now: float) -> float:
        """Return the estimated seconds until the turn of a new item.

        It is 0 if no rate is known. The items of the account are expected to
        be served at the rate of the last fractions of a second. The more
        urgent items that are queued now come first in any case. A rank that
        had to wait for more urgent ones for some time is expected to wait for
        as long again.
        """
        urgent_queues = [
            queue
            for other, queue in self._queues_by_rank.items()
            if other < rank
        ]
        return max(
            self._queues_by_rank[rank].wait_s(name),
            *(queue.busy_s(now) for queue in urgent_queues),
            self._drain.wait_s(sum(queue.length for queue in urgent_queues)),
        )

    def _first_queue(self) -> _RankQueue | None:
        return next(
            (
                queue
                for queue in self._queues_by_rank.values()
                if queue.first() is not None
            ),
            None,
        )


def _span(weight: float) -> float:
    return 1 / min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
