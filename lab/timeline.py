"""Virtual time and its events."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Timeline:
    """Runs actions in the order of their times."""

    def __init__(self) -> None:
        """Start at time 0."""
        self.now: float = 0
        self._events: list[Any] = []
        self._sequence = itertools.count()

    def after(
        self, delay_s: float, action: Callable[..., None], *args: Any
    ) -> None:
        """Run an action after a delay."""
        heapq.heappush(
            self._events,
            (self.now + delay_s, next(self._sequence), action, args),
        )

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2](*event[3])
