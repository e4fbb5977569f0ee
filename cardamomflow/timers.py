"""Timers of a process in one heap; sans-I/O.

A task for each request and each hedge would cost more than the work that
they guard; see `timertask` for the one task that serves all of them.
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
    """Callbacks by due time; a callback ignores what is already settled."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: list[_Entry] = []
        self._sequence = itertools.count()

    def at(
        self, due_at: float, callback: Callable[[float], Awaitable[None]]
    ) -> None:
        """Await `callback(now)` at a monotonic time."""
        heapq.heappush(
            self._entries, _Entry(due_at, next(self._sequence), callback)
        )

    def due(self, now: float) -> list[Callable[[float], Awaitable[None]]]:
        """Remove and return the callbacks that are due."""
        callbacks = []
        while self._entries and self._entries[0].due_at <= now:
            callbacks.append(heapq.heappop(self._entries).callback)
        return callbacks

    @property
    def next_at(self) -> float | None:
        """When the next callback is due, None without any."""
        return self._entries[0].due_at if self._entries else None
