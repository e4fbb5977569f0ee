"""Adaptive concurrency limit of one backend server; sans-I/O.

Owns the calls in flight and the limit, which lies between a minimum and the
connection allowance. It falls when calls are shed, fail or become slower
than the best average seen, because calls beyond the backend server's slots
wait there without regard to rank.
"""

import enum

REFUSED_CONNECTION_HOLD_S = 30.0
INITIAL_LIMIT = 2
# The average of 32 calls varies by about a sixth at the usual spread of
# service times; smaller windows mistake this for waiting.
WINDOW_CALLS = 32
SHED_FACTOR = 0.7
TIMEOUT_FACTOR = 0.7
# Further failures within this time belong to the same episode.
DECREASE_INTERVAL_S = 0.1
# Average latency over the baseline: below the first the limit grows, above
# the second it shrinks. The baseline is the lowest of many averages and lies
# below the mean.
GROWTH_RATIO = 2.0
SHRINK_RATIO = 3.0
# The baseline rises by this factor in each window, so that a lasting change
# of the service time is learned; only while the limit is not reached or at
# its minimum, since it would learn the wait of an overload otherwise.
BASELINE_GROWTH = 1.1
_HALF = 2


class CallOutcome(enum.Enum):
    """How a call to a backend server ended."""

    SUCCESS = enum.auto()
    SHED = enum.auto()
    TIMEOUT = enum.auto()
    FAILED = enum.auto()
    REFUSED_CONNECTION = enum.auto()
    # Cancelled by this side, as the loser of a hedge or by the caller; it
    # says nothing about the backend server's health.
    CANCELLED = enum.auto()


class ConcurrencyLimit:
    """Calls that may be in flight to one backend server."""

    def __init__(self, maximum: int, minimum: int = 1) -> None:
        """Take the bounds of the limit.

        Parameters
        ----------
        maximum : int
            The connection allowance.
        minimum : int
        """
        self._maximum = max(maximum, minimum)
        self._minimum = minimum
        self._estimate = float(max(minimum, min(INITIAL_LIMIT, self._maximum)))
        self._refused_until = float('-inf')
        self._decreased_at = float('-inf')
        self._baseline_s: float | None = None
        self._window_total_s: float = 0
        self._window_calls = 0
        self._reached_limit = False
        self.in_flight = 0

    @property
    def limit(self) -> int:
        """Calls that may be in flight now."""
        return int(self._estimate)

    def try_acquire(self, now: float) -> bool:
        """Take a place for one call; False when the limit is reached."""
        if self.in_flight >= self.limit:
            return False
        self.in_flight += 1
        if self.in_flight >= self.limit:
            self._reached_limit = True
        return True

    def release(
        self, outcome: CallOutcome, latency_s: float, now: float
    ) -> None:
        """Give the place back and learn from the outcome.

        Parameters
        ----------
        outcome : CallOutcome
        latency_s : float
            Seconds from the send to the outcome.
        now : float
        """
        self.in_flight -= 1
        match outcome:
            case CallOutcome.SUCCESS:
                self._add(latency_s, now)
            case CallOutcome.SHED:
                self._decrease(SHED_FACTOR, now)
            case CallOutcome.TIMEOUT:
                self._decrease(TIMEOUT_FACTOR, now)
            case CallOutcome.REFUSED_CONNECTION:
                self._refused_until = now + REFUSED_CONNECTION_HOLD_S
                self._estimate = min(self._estimate, self._ceiling(now))

    def _ceiling(self, now: float) -> int:
        if now < self._refused_until:
            return max(self._minimum, self._maximum // _HALF)
        return self._maximum

    def _decrease(self, factor: float, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._estimate = max(self._minimum, self._estimate * factor)

    def _add(self, latency_s: float, now: float) -> None:
        self._window_total_s += latency_s
        self._window_calls += 1
        if self._window_calls < WINDOW_CALLS:
            return
        average_s = self._window_total_s / self._window_calls
        self._window_total_s = 0
        self._window_calls = 0
        self._adapt(average_s, now)
        self._reached_limit = self.in_flight >= self.limit

    def _adapt(self, average_s: float, now: float) -> None:
        if self._baseline_s is None:
            self._baseline_s = average_s
        if not self._reached_limit or self.limit <= self._minimum:
            self._baseline_s *= BASELINE_GROWTH
        self._baseline_s = min(average_s, self._baseline_s)
        if average_s > SHRINK_RATIO * self._baseline_s:
            self._estimate = max(self._minimum, self._estimate - 1)
        elif average_s < GROWTH_RATIO * self._baseline_s and (
            self._reached_limit
        ):
            self._estimate = min(self._ceiling(now), self._estimate + 1)
