"""Adaptive concurrency limit of one backend server; sans-I/O.

Owns the number of calls in flight and the limit, which lies between a minimum
and the connection allowance. The limit falls when calls are shed, time out or
become much slower than the best average seen, because the backend server
queues calls beyond its slots without regard to rank.
"""

import enum

# Time after a refused connection for which the maximum is divided by
# `_REDUCED_MAXIMUM_DIVISOR`.
REDUCED_MAXIMUM_S = 30.0
INITIAL_LIMIT = 2
# The average of 32 calls varies by about a sixth at the usual spread of
# service times; smaller windows would mistake this for queueing.
WINDOW_CALLS = 32
SHED_FACTOR = 0.7
TIMEOUT_FACTOR = 0.7
# Failures within this time of a decrease have the same cause, so they cause
# no further decrease.
DECREASE_INTERVAL_S = 0.1
# Ratios of the average latency to the baseline: below the first the limit
# grows, above the second it shrinks. The baseline is the lowest of many
# averages, so the ratio is above 1 even without queueing.
GROWTH_RATIO = 2.0
SHRINK_RATIO = 3.0
# The baseline rises by this factor in each window, so that it follows a lasting
# change of the service time. It rises only while the limit is not reached or is
# at its minimum; otherwise it would include the queueing of an overload.
BASELINE_GROWTH = 1.1
_REDUCED_MAXIMUM_DIVISOR = 2


class CallOutcome(enum.Enum):
    """How a call to a backend server ended."""

    SUCCESS = enum.auto()
    SHED = enum.auto()
    TIMEOUT = enum.auto()
    FAILED = enum.auto()
    REFUSED_CONNECTION = enum.auto()
    # Cancelled by this process, because another attempt was answered first or
    # the caller cancelled; not a sign of the backend server's health.
    CANCELLED = enum.auto()


class ConcurrencyLimit:
    """Limits the calls in flight to one backend server."""

    def __init__(self, maximum: int, minimum: int = 1) -> None:
        """Set the bounds of the limit.

        Parameters
        ----------
        maximum : int
            The connection allowance.
        minimum : int
        """
        self._maximum = max(maximum, minimum)
        self._minimum = minimum
        self._exact_limit = float(
            max(minimum, min(INITIAL_LIMIT, self._maximum))
        )
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
        return int(self._exact_limit)

    def try_acquire(self, now: float) -> bool:
        """Reserve a slot for one call; False when the limit is reached."""
        if self.in_flight >= self.limit:
            return False
        self.in_flight += 1
        if self.in_flight >= self.limit:
            self._reached_limit = True
        return True

    def release(
        self, outcome: CallOutcome, latency_s: float, now: float
    ) -> None:
        """Free the slot of a call and adjust the limit by its outcome.

        Parameters
        ----------
        outcome : CallOutcome
        latency_s : float
            Seconds from the send to the outcome.
        now : float
            Monotonic seconds.
        """
        self.in_flight -= 1
        match outcome:
            case CallOutcome.SUCCESS:
                self._record_latency(latency_s, now)
            case CallOutcome.SHED:
                self._decrease(SHED_FACTOR, now)
            case CallOutcome.TIMEOUT:
                self._decrease(TIMEOUT_FACTOR, now)
            case CallOutcome.REFUSED_CONNECTION:
                self._refused_until = now + REDUCED_MAXIMUM_S
                self._exact_limit = min(
                    self._exact_limit, self._current_maximum(now)
                )

    def _current_maximum(self, now: float) -> int:
        if now < self._refused_until:
            return max(self._minimum, self._maximum // _REDUCED_MAXIMUM_DIVISOR)
        return self._maximum

    def _decrease(self, factor: float, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._exact_limit = max(self._minimum, self._exact_limit * factor)

    def _record_latency(self, latency_s: float, now: float) -> None:
        self._window_total_s += latency_s
        self._window_calls += 1
        if self._window_calls < WINDOW_CALLS:
            return
        average_s = self._window_total_s / self._window_calls
        self._window_total_s = 0
        self._window_calls = 0
        self._adapt_to_latency(average_s, now)
        self._reached_limit = self.in_flight >= self.limit

    def _adapt_to_latency(self, average_s: float, now: float) -> None:
        if self._baseline_s is None:
            self._baseline_s = average_s
        if not self._reached_limit or self.limit <= self._minimum:
            self._baseline_s *= BASELINE_GROWTH
        self._baseline_s = min(average_s, self._baseline_s)
        if average_s > SHRINK_RATIO * self._baseline_s:
            self._exact_limit = max(self._minimum, self._exact_limit - 1)
        elif average_s < GROWTH_RATIO * self._baseline_s and (
            self._reached_limit
        ):
            self._exact_limit = min(
                self._current_maximum(now), self._exact_limit + 1
            )
