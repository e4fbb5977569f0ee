"""Rate of the calls that a process makes at the platform's store; sans-I/O.

Owns the tokens of reads and of writes, and the order of the documents that
wait for one. Starts no call.
"""

import collections
import enum
import random as random_module
from collections.abc import Iterator
from typing import NamedTuple

# In any second the calls exceed the rate by this share, since what a pause
# saved may be spent at once.
BURST_S = 0.25


class Urgency(enum.StrEnum):
    """Who waits for a call, the first to be served first."""

    CALLER = 'caller'
    BACKGROUND = 'background'


class Request(NamedTuple):
    """One call that a document needs.

    Attributes
    ----------
    key : str
        Of the document.
    urgency : Urgency
    in_turn : bool
        The documents that wait are asked in their order, and it is the turn
        of this one. Any other request goes behind them.
    """

    key: str
    urgency: Urgency
    in_turn: bool


class CallBudget:
    """Tokens of one kind of call, and the documents that wait for one.

    Calls that a caller waits for go first, each urgency in the order of
    arrival. Background calls leave half of the burst to callers, so that a
    claim is not delayed behind a backlog.
    """

    def __init__(
        self, calls_per_s: float, random: random_module.Random
    ) -> None:
        """Start with a full burst, which is at least one call."""
        self.delayed_by_urgency: collections.Counter[Urgency] = (
            collections.Counter()
        )
        self._calls_per_s = calls_per_s
        self._random = random
        self._burst = max(1.0, calls_per_s * BURST_S)
        self._tokens = self._burst
        self._filled_at: float | None = None
        # Keys in the order of arrival.
        self._waiting_by_urgency: dict[Urgency, dict[str, None]] = {
            urgency: {} for urgency in Urgency
        }

    def withdraw(self, request: Request, now: float) -> bool:
        """Take a token; if there is none, False, and the document waits."""
        self._fill(now)
        least = self._least(request.urgency)
        if self._tokens >= least and not self._is_behind(request):
            self._tokens -= 1
            self.leave(request.key)
            return True
        self._wait(request)
        return False

    def give_back(self) -> None:
        """Return the token of a call that was not needed."""
        self._tokens = min(self._burst, self._tokens + 1)

    def waiting(self, urgency: Urgency) -> list[str]:
        """Return the documents that wait, in the order of arrival."""
        return list(self._waiting_by_urgency[urgency])

    def leave(self, key: str) -> None:
        """Let a document wait no more."""
        for waiting in self._waiting_by_urgency.values():
            waiting.pop(key, None)

    def failed(self, now: float) -> None:
        """Note that the store is down.

        Then nothing is saved for the time after the outage, and the
        processes of a fleet continue at different times.
        """
        self._fill(now)
        left = self._random.uniform(-self._burst, 0)
        self._tokens = min(self._tokens, left)

    def _fill(self, now: float) -> None:
        if self._filled_at is None:
            self._filled_at = now
        passed_s = max(0, now - self._filled_at)
        self._filled_at += passed_s
        self._tokens = min(
            self._burst, self._tokens + passed_s * self._calls_per_s
        )

    def _least(self, urgency: Urgency) -> float:
        if urgency is Urgency.CALLER:
            return 1
        return (1 + self._burst) / 2

    def _is_behind(self, request: Request) -> bool:
        if request.in_turn:
            return False
        callers = self._waiting_by_urgency[Urgency.CALLER]
        if request.urgency is Urgency.BACKGROUND and callers:
            return True
        waiting = self._waiting_by_urgency[request.urgency]
        return next(iter(waiting), request.key) != request.key

    def _wait(self, request: Request) -> None:
        waiting = self._waiting_by_urgency[request.urgency]
        if request.key in waiting:
            return
        self.leave(request.key)
        waiting[request.key] = None
        self.delayed_by_urgency[request.urgency] += 1


class StoreBudget:
    """The reads and the writes of one process."""

    def __init__(
        self,
        reads_per_s: float,
        writes_per_s: float,
        random: random_module.Random,
    ) -> None:
        """Take the sustained rates."""
        self.reads = CallBudget(reads_per_s, random)
        self.writes = CallBudget(writes_per_s, random)
        self._both = (self.writes, self.reads)

    def waiting(self) -> Iterator[str]:
        """Iterate over the documents that wait, the urgent ones first."""
        for urgency in Urgency:
            for calls in self._both:
                yield from calls.waiting(urgency)

    def leave(self, key: str) -> None:
        """Let a document wait no more."""
        for calls in self._both:
            calls.leave(key)

    def failed(self, now: float) -> None:
        """Note that the store is down."""
        for calls in self._both:
            calls.failed(now)

    def collect_delayed(self) -> dict[Urgency, int]:
        """Return the calls that had to wait since this was last asked."""
        delayed: collections.Counter[Urgency] = collections.Counter()
        for calls in self._both:
            delayed += calls.delayed_by_urgency
            calls.delayed_by_urgency.clear()
        return dict(delayed)
