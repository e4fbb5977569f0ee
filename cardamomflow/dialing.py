"""Delays between dials of an aggregator, and when to link other zones.

Sans-I/O: counts the failed dials of each peer and opens no connection.
"""

import random as random_module
from collections.abc import Sequence

RETRY_S = 0.2
# Each query that probes an unreachable peer spends a share of its deadline on
# it, and a peer that has ended stays listed for a minute.
MAX_RETRY_S = 5.0
# A crashed process is usually restarted within this time; linking to another
# zone would cost more than waiting.
SUBSTITUTE_AFTER_S = 2.0
_GROWTH_FACTOR = 2
# The delay reaches its maximum before this many failures.
_MAX_EXPONENT = 8


class Backoff:
    """Delays between failed dials of one peer."""

    def __init__(self, random: random_module.Random) -> None:
        """Create the backoff of a peer without failed dials."""
        self.failing_since: float | None = None
        self._random = random
        self._failures = 0
        self._retry_at = float('-inf')

    @property
    def failing(self) -> bool:
        """Whether the last dial failed or the last link was lost."""
        return self.failing_since is not None

    def allows_dial(self, now: float) -> bool:
        """Return whether the peer may be dialed at a monotonic time."""
        return now >= self._retry_at

    def record_failure(self, now: float) -> None:
        """Record a failed dial or a lost link."""
        if self.failing_since is None:
            self.failing_since = now
        exponent = min(self._failures, _MAX_EXPONENT)
        delay_s = min(MAX_RETRY_S, RETRY_S * _GROWTH_FACTOR**exponent)
        # The jitter spreads the dials of all entry processes after a failure
        # that they have in common.
        self._retry_at = now + delay_s * self._random.uniform(1 / 2, 1)
        self._failures += 1

    def record_success(self) -> None:
        """Record a first frame from the peer and reset the delay."""
        self.failing_since = None
        self._failures = 0
        self._retry_at = float('-inf')


def has_enough_links(backoffs: Sequence[Backoff], now: float) -> bool:
    """Return whether the links to one zone suffice.

    Every service has an owner in each zone, so the holdings of all services
    are reported only if all aggregators of a zone are linked. A failing one
    counts as linked for `SUBSTITUTE_AFTER_S`, unless all of them are failing.

    Parameters
    ----------
    backoffs : sequence of Backoff
        One for each eligible aggregator of the zone.
    now : float
        Monotonic time in seconds.
    """
    failure_times = [
        backoff.failing_since
        for backoff in backoffs
        if backoff.failing_since is not None
    ]
    if len(failure_times) == len(backoffs):
        return False
    return now - min(failure_times, default=now) < SUBSTITUTE_AFTER_S
