"""Rate limit of a process's calls to the platform's store; sans-I/O.

Owns the tokens for reads and for writes, and the queue of the documents that
wait for one. Starts no call.
"""

import collections
import enum
import random as random_module
from collections.abc import Iterator
from typing import NamedTuple

# Unused tokens are kept for at most this time. As they may be used at once, the
# calls in any second can exceed the rate by this share.
BURST_S = 0.25


class Urgency(enum.StrEnum):
    """Who waits for a call, in order of priority."""

    CALLER = 'caller'
    BACKGROUND = 'background'


class Request(NamedTuple):
    """One call that a document needs.

    Attributes
    ----------
    key : str
        Key of the document.
    urgency : Urgency
    in_turn : bool
        Whether the document has reached its turn in the queue. Any other
        request goes behind the documents that wait.
    """

    key: str
    urgency: Urgency
    in_turn: bool


class CallBudget:
    """Token bucket of one kind of call, and the documents that wait for it.

    Calls that a caller waits for go first; calls of equal urgency go in the
    order of arrival. Background calls leave half of the burst to callers, so
    that many background calls do not delay a caller.
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
        self._refilled_at: float | None = None
        # Keys in the order of arrival.
        self._waiting_by_urgency: dict[Urgency, dict[str, None]] = {
            urgency: {} for urgency in Urgency
        }

    def withdraw(self, request: Request, now: float) -> bool:
        """Withdraw a token; if that fails, enqueue the document."""
        self._refill(now)
        required = self._required_tokens(request.urgency)
        if self._tokens >= required and not self._is_queued_behind(request):
            self._tokens -= 1
            self.stop_waiting(request.key)
            return True
        self._enqueue(request)
        return False

    def refund(self) -> None:
        """Put back the token of a call that was not needed."""
        self._tokens = min(self._burst, self._tokens + 1)

    def waiting_keys(self, urgency: Urgency) -> list[str]:
        """Return the keys of waiting documents in the order of arrival."""
        return list(self._waiting_by_urgency[urgency])

    def stop_waiting(self, key: str) -> None:
        """Remove a document from the queue."""
        for waiting in self._waiting_by_urgency.values():
            waiting.pop(key, None)

    def record_outage(self, now: float) -> None:
        """Record that the store is unavailable, which removes all tokens.

        Tokens that became available during the outage can't be used after
        it. The random debt makes the processes of a fleet resume at different
        times.
        """
        self._refill(now)
        debt = self._random.uniform(-self._burst, 0)
        self._tokens = min(self._tokens, debt)

    def _refill(self, now: float) -> None:
        if self._refilled_at is None:
            self._refilled_at = now
        elapsed_s = max(0, now - self._refilled_at)
        self._refilled_at += elapsed_s
        self._tokens = min(
            self._burst, self._tokens + elapsed_s * self._calls_per_s
        )

    def _required_tokens(self, urgency: Urgency) -> float:
        if urgency is Urgency.CALLER:
            return 1
        return (1 + self._burst) / 2

    def _is_queued_behind(self, request: Request) -> bool:
        if request.in_turn:
            return False
        callers = self._waiting_by_urgency[Urgency.CALLER]
        if request.urgency is Urgency.BACKGROUND and callers:
            return True
        waiting = self._waiting_by_urgency[request.urgency]
        return next(iter(waiting), request.key) != request.key

    def _enqueue(self, request: Request) -> None:
        waiting = self._waiting_by_urgency[request.urgency]
        if request.key in waiting:
            return
        self.stop_waiting(request.key)
        waiting[request.key] = None
        self.delayed_by_urgency[request.urgency] += 1


class StoreBudget:
    """Budgets of the reads and the writes of one process."""

    def __init__(
        self,
        reads_per_s: float,
        writes_per_s: float,
        random: random_module.Random,
    ) -> None:
        self.reads = CallBudget(reads_per_s, random)
        self.writes = CallBudget(writes_per_s, random)
        self._budgets = (self.writes, self.reads)

    def waiting_keys(self) -> Iterator[str]:
        """Iterate over the keys of waiting documents, urgent ones first."""
        for urgency in Urgency:
            for call_budget in self._budgets:
                yield from call_budget.waiting_keys(urgency)

    def stop_waiting(self, key: str) -> None:
        """Remove a document from both queues."""
        for call_budget in self._budgets:
            call_budget.stop_waiting(key)

    def record_outage(self, now: float) -> None:
        """Record that the store is unavailable."""
        for call_budget in self._budgets:
            call_budget.record_outage(now)

    def collect_delayed(self) -> dict[Urgency, int]:
        """Return and reset the counts of calls that had to wait."""
        delayed: collections.Counter[Urgency] = collections.Counter()
        for call_budget in self._budgets:
            delayed += call_budget.delayed_by_urgency
            call_budget.delayed_by_urgency.clear()
        return dict(delayed)
