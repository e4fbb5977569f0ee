"""Estimates of the wait in a queue; sans-I/O.

Owns the rate at which items are dequeued and the estimated duration of their
work. Does not depend on the items themselves.
"""

import math

# A flood lasts for seconds; a longer memory would admit too much work at its
# start.
DRAIN_MEMORY_S = 0.3
# A rate measured over a shorter time is decided by a few items.
DRAIN_MINIMUM_S = 0.05
# Items that are dequeued less than this apart are sent in one call.
DRAIN_ROUND_S = 0.001
# An interval is counted up to this many usual intervals, so that one pause of
# all calls does not lower the rate for the work after it. The estimate still
# follows a lasting slow-down within a few intervals.
DRAIN_MAXIMUM_INTERVALS = 4
DURATION_STEP = 0.05
# The estimated duration halves in this time while no items are served, so that
# work is not refused for ever after one slow period.
DURATION_HALF_LIFE_S = 1.0
_HALF = 0.5


class DrainRate:
    """Rate at which a rank's items are dequeued while it has a backlog.

    The rate covers the time up to the last dequeued item and excludes pauses,
    since the rate while all calls hang or the process is stalled does not
    predict the rate afterwards.
    """

    def __init__(self) -> None:
        """Start without a known rate."""
        self._count: float = 0
        self._rounds: float = 0
        self._time_s: float = 0
        self._dequeued_at: float = 0

    def resume(self, now: float) -> None:
        """Start to measure time, as the rank has a backlog from now on."""
        self._dequeued_at = now

    def record_dequeued(self, now: float) -> None:
        """Count an item and the time since the previous one."""
        interval_s = self.pause_s(now)
        starts_round = interval_s >= DRAIN_ROUND_S
        interval_s = min(interval_s, self._longest_interval_s())
        self._dequeued_at = now
        memory = math.exp(-interval_s / DRAIN_MEMORY_S)
        self._count = self._count * memory + 1
        self._rounds = self._rounds * memory + starts_round
        self._time_s = self._time_s * memory + interval_s

    def pause_s(self, now: float) -> float:
        """Return the seconds since the last item was dequeued."""
        return max(0, now - self._dequeued_at)

    def wait_s(self, ahead: int) -> float:
        """Return the seconds until `ahead` items leave, 0 if unknown."""
        if self._time_s < DRAIN_MINIMUM_S:
            return 0
        return ahead * self._time_s / self._count

    def _longest_interval_s(self) -> float:
        if not self._rounds:
            return DRAIN_MINIMUM_S
        usual_s = self._time_s / self._rounds
        return max(DRAIN_MINIMUM_S, DRAIN_MAXIMUM_INTERVALS * usual_s)


class DurationEstimate:
    """Running median of the time from dequeueing to the end of the work."""

    def __init__(self) -> None:
        """Start without a known duration."""
        self._median_s: float = 0
        self._recorded_at: float = 0

    def record(self, duration_s: float, now: float) -> None:
        """Update the median with the duration of one item."""
        decayed_s = self.estimate_s(now)
        self._recorded_at = now
        if self._median_s:
            self._median_s = self._next_median_s(duration_s, decayed_s)
        else:
            self._median_s = duration_s

    def estimate_s(self, now: float) -> float:
        """Return the seconds that the next item is expected to take."""
        idle_s = max(0, now - self._recorded_at)
        return self._median_s * _HALF ** (idle_s / DURATION_HALF_LIFE_S)

    def _next_median_s(self, duration_s: float, decayed_s: float) -> float:
        """Return the median after one more item.

        The decay while nothing was served is undone only up to the duration
        of this item. Otherwise one fast item after a slow period would
        restore the full estimate, and work would be refused again.
        """
        if duration_s > self._median_s:
            return self._median_s * (1 + DURATION_STEP)
        bound_s = max(duration_s, decayed_s * (1 - DURATION_STEP))
        return min(self._median_s * (1 - DURATION_STEP), bound_s)
