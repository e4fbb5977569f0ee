"""How long work takes at one backend server now, by its reports; sans-I/O.

Backend servers share their machines, so the time that their work takes changes
many times a second. Owns the newest report and the average of the reports.
"""

import math

# A report says little about the time after this.
REPORT_DECAY_S = 0.25
AVERAGE_WEIGHT = 0.1
# Larger and smaller reports are limited, so that one false report neither
# excludes a backend server nor gives it all work.
MINIMUM = 0.25
MAXIMUM = 8.0


class Slowness:
    """Slowness of one backend server, relative to its usual speed.

    Latencies are divided by the slowness at their time and multiplied by the
    present one. So a backend server whose reports are always wrong by the same
    factor is rated by its real latency.
    """

    def __init__(self) -> None:
        self._average: float | None = None
        self._reported: float = 1
        self._reported_at = float('-inf')

    def record(self, reported: float, now: float) -> None:
        """Record a report; 1 is the usual speed, 2 is half of it."""
        reported = min(MAXIMUM, max(MINIMUM, reported))
        if self._average is None:
            self._average = reported
        self._average += (reported - self._average) * AVERAGE_WEIGHT
        self._reported = reported
        self._reported_at = now

    def estimate(self, now: float) -> float:
        """Return the present slowness; old reports count as the average."""
        if self._average is None:
            return 1
        decay = math.exp((self._reported_at - now) / REPORT_DECAY_S)
        return self._average + (self._reported - self._average) * decay
