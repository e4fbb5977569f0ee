"""Estimates of the wait in a queue; sans-I/O.

Owns the rate at which items are taken and the duration of their work. Knows
nothing of the items themselves.
"""

import math

# A flood is over in seconds; a longer memory admits too much at its start.
DRAIN_MEMORY_S = 0.3
# A rate measured over a shorter time is decided by a few items.
DRAIN_MINIMUM_S = 0.05
# Takes less than this apart fill one call.
DRAIN_ROUND_S = 0.001
# A longer interval is counted up to this many usual ones, so that one pause
# of all calls is not taken for the pace of the work after it; a lasting
# slow-down is learned in a few intervals.
DRAIN_STRETCH = 4
DURATION_STEP = 0.05
# Without served items the estimated duration halves in this time, so that
# one slow period does not refuse work for ever.
DURATION_HALF_LIFE_S = 1.0
_HALF = 0.5


class DrainRate:
    """Items per second that a rank gets while it has a backlog.

    The rate is that of the time up to the last item taken, without pauses:
    while all calls hang, or the process itself is held up, the pace says
    nothing about the pace afterwards.
    """

    def __init__(self) -> None:
        """Start without a known rate."""
        self._count: float = 0
        self._rounds: float = 0
        self._time_s: float = 0
        self._taken_at: float = 0

    def resume(self, now: float) -> None:
        """Start to count time; the rank has a backlog from now on."""
        self._taken_at = now

    def taken(self, now: float) -> None:
        """Count an item and the time since the one before."""
        interval_s = self.pause_s(now)
        starts_round = interval_s >= DRAIN_ROUND_S
        interval_s = min(interval_s, self._longest_interval_s())
        self._taken_at = now
        memory = math.exp(-interval_s / DRAIN_MEMORY_S)
        self._count = self._count * memory + 1
        self._rounds = self._rounds * memory + starts_round
        self._time_s = self._time_s * memory + interval_s

    def pause_s(self, now: float) -> float:
        """Return the seconds since an item was taken."""
        return max(0, now - self._taken_at)

    def wait_s(self, ahead: int) -> float:
        """Return the seconds until `ahead` items are taken, 0 if unknown."""
        if self._time_s < DRAIN_MINIMUM_S:
            return 0
        return ahead * self._time_s / self._count

    def _longest_interval_s(self) -> float:
        if not self._rounds:
            return DRAIN_MINIMUM_S
        usual_s = self._time_s / self._rounds
        return max(DRAIN_MINIMUM_S, DRAIN_STRETCH * usual_s)


class Duration:
    """Running median of the time from `take` to the end of the work."""

    def __init__(self) -> None:
        """Start without a known duration."""
        self._median_s: float = 0
        self._learned_at: float = 0

    def learn(self, duration_s: float, now: float) -> None:
        """Take the seconds that one item took."""
        lapsed_s = self.estimate_s(now)
        self._learned_at = now
        if self._median_s:
            self._median_s = self._stepped_s(duration_s, lapsed_s)
        else:
            self._median_s = duration_s

    def estimate_s(self, now: float) -> float:
        """Return the seconds that the next item is expected to take."""
        idle_s = max(0, now - self._learned_at)
        return self._median_s * _HALF ** (idle_s / DURATION_HALF_LIFE_S)

    def _stepped_s(self, duration_s: float, lapsed_s: float) -> float:
        """Return the median after one more item.

        What lapsed while nothing was served comes back only as far as this
        item shows. Otherwise one fast item after a slow period restores the
        whole estimate, and work is refused again.
        """
        if duration_s > self._median_s:
            return self._median_s * (1 + DURATION_STEP)
        shown_s = max(duration_s, lapsed_s * (1 - DURATION_STEP))
        return min(self._median_s * (1 - DURATION_STEP), shown_s)
