"""Order in which connections get turns of the event loop; sans-I/O.

Start-time fair queueing with one waiting turn for each connection: a turn
takes one unit of its connection's virtual time, and the turn that starts first
is served. A connection that has taken few turns starts earlier, so that an
ordinary request passes connections that always have more input. Some turns go
to the connection that has waited longest, so that new ones without end do not
keep out the others.
"""

import heapq
import itertools
from typing import Generic, TypeVar

# Turns that a connection may take before those that never pause: those of an
# ordinary request with a body.
CREDIT_TURNS = 8
# Of so many turns, one goes to the connection that has waited longest.
_OLDEST_INTERVAL = 8

WaiterT = TypeVar('WaiterT')


class Flow:
    """Turns that one connection has taken.

    Attributes
    ----------
    start : float
        Virtual time at which its next turn starts.
    """

    __slots__ = ('start',)

    def __init__(self) -> None:
        self.start = float('-inf')


class _Entry(Generic[WaiterT]):
    """A waiting turn; without a waiter once it has been removed."""

    __slots__ = ('flow', 'key', 'waiter')

    def __init__(
        self, key: tuple[float, int], flow: Flow, waiter: WaiterT
    ) -> None:
        self.key = key
        self.flow = flow
        self.waiter: WaiterT | None = waiter

    def __lt__(self, other: '_Entry[WaiterT]') -> bool:
        return self.key < other.key


class TurnQueue(Generic[WaiterT]):
    """Turns of a bounded number in each round of the event loop.

    Parameters
    ----------
    turns_in_a_round : int
    max_waiting : int, optional
        Further connections are dropped, those with the most turns first.
    """

    def __init__(
        self, turns_in_a_round: int, max_waiting: int | None = None
    ) -> None:
        self._turns_in_a_round = turns_in_a_round
        self._max_waiting = max_waiting
        self._free_turns = turns_in_a_round
        self._served_count = 0
        self._virtual_time: float = 0
        self._heap: list[_Entry[WaiterT]] = []
        self._entries_by_waiter: dict[WaiterT, _Entry[WaiterT]] = {}
        self._sequence = itertools.count()

    @property
    def waiting_count(self) -> int:
        """Number of connections that wait for a turn."""
        return len(self._entries_by_waiter)

    def take(self, flow: Flow) -> bool:
        """Take a free turn of this round; return whether there was one."""
        if not self._free_turns or self._entries_by_waiter:
            return False
        self._serve(flow, self._next_start(flow))
        return True

    def add(self, flow: Flow, waiter: WaiterT) -> WaiterT | None:
        """Wait for a turn.

        Returns
        -------
        WaiterT or None
            The waiter that is dropped because too many wait; may be `waiter`.
        """
        entry = _Entry(
            (self._next_start(flow), next(self._sequence)), flow, waiter
        )
        self._entries_by_waiter[waiter] = entry
        heapq.heappush(self._heap, entry)
        if self._max_waiting is None or self.waiting_count <= self._max_waiting:
            return None
        dropped = max(self._entries_by_waiter.values()).waiter
        if dropped is not None:
            self.remove(dropped)
        return dropped

    def remove(self, waiter: WaiterT) -> None:
        """Remove a waiter, if it still waits."""
        entry = self._entries_by_waiter.pop(waiter, None)
        if entry is not None:
            entry.waiter = None

    def start_round(self) -> list[WaiterT]:
        """Start a round of the loop; return the waiters that have a turn."""
        self._free_turns = self._turns_in_a_round
        served = []
        while self._entries_by_waiter and self._free_turns:
            waiter = self._next_waiter()
            entry = self._entries_by_waiter[waiter]
            self.remove(waiter)
            self._serve(entry.flow, entry.key[0])
            served.append(waiter)
        if not self._entries_by_waiter:
            self._heap.clear()
        return served

    def _next_waiter(self) -> WaiterT:
        self._served_count += 1
        if not self._served_count % _OLDEST_INTERVAL:
            return next(iter(self._entries_by_waiter))
        while self._heap[0].waiter is None:
            heapq.heappop(self._heap)
        return self._heap[0].waiter

    def _next_start(self, flow: Flow) -> float:
        return max(flow.start, self._virtual_time - CREDIT_TURNS)

    def _serve(self, flow: Flow, start: float) -> None:
        self._free_turns -= 1
        self._virtual_time = max(self._virtual_time, start)
        flow.start = start + 1
