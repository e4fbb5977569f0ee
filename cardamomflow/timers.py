"""Heap of the timers of a process; sans-I/O.

A task for each timer of a request or hedge would cost more than the request
itself. The module `timertask` runs all timers in one task.
"""

import heapq
import itertools
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class _Entry(NamedTuple):
    due_at: float
    sequence: int
    callback: Callable[[float], Awaitable[None]]


class TimerHeap:
    """Callbacks ordered by due time.

    Timers are not cancelled: a callback has to ignore a request or hedge that
    has already ended.
    """

    def __init__(self) -> None:
        self._entries: list[_Entry] = []
        self._sequence = itertools.count()

    def schedule(
        self, due_at: float, callback: Callable[[float], Awaitable[None]]
    ) -> None:
        """Schedule a call of `callback(now)` at a monotonic time."""
        heapq.heappush(
            self._entries, _Entry(due_at, next(self._sequence), callback)
        )

    def pop_due(self, now: float) -> list[Callable[[float], Awaitable[None]]]:
        """Remove and return the callbacks that are due."""
        callbacks = []
        while self._entries and self._entries[0].due_at <= now:
            callbacks.append(heapq.heappop(self._entries).callback)
        return callbacks

    @property
    def next_due_at(self) -> float | None:
        """Time at which the next callback is due, None if the heap is empty."""
        return self._entries[0].due_at if self._entries else None
