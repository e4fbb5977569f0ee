"""When to dial aggregators, and which zones need links; sans-I/O.

Owns the failures of one peer's dials. It opens no connection itself.
"""

import random as random_module
from collections.abc import Sequence

RETRY_S = 0.2
# A peer behind a cut costs each query that probes it a share of its deadline,
# and a dead one stays listed for a minute.
MAX_RETRY_S = 5.0
# A crashed process is usually started again within this time; linking to
# another zone for it would cost more than waiting.
SUBSTITUTE_AFTER_S = 2.0
_GROWTH = 2
# The delay stops to grow before this many failures.
_MAX_EXPONENT = 8


class Backoff:
    """Delays between failed dials of one peer."""

    def __init__(self, random: random_module.Random) -> None:
        """Start as if no dial had failed."""
        self.failing_since: float | None = None
        self._random = random
        self._failures = 0
        self._retry_at = float('-inf')

    @property
    def failing(self) -> bool:
        """Whether the last dial failed or the last link was lost."""
        return self.failing_since is not None

    def allows(self, now: float) -> bool:
        """Tell whether the peer may be dialed at a monotonic time."""
        return now >= self._retry_at

    def failed(self, now: float) -> None:
        """Note a failed dial or a lost link."""
        if self.failing_since is None:
            self.failing_since = now
        exponent = min(self._failures, _MAX_EXPONENT)
        delay_s = min(MAX_RETRY_S, RETRY_S * _GROWTH**exponent)
        # Spreads the dials of all entry processes after a common failure.
        self._retry_at = now + delay_s * self._random.uniform(1 / 2, 1)
        self._failures += 1

    def succeeded(self) -> None:
        """Note a sign of life of the peer."""
        self.failing_since = None
        self._failures = 0
        self._retry_at = float('-inf')


def is_whole(zone: Sequence[Backoff], now: float) -> bool:
    """Tell whether a zone can do without another one.

    Every service has its owner in each zone, so only a zone whose aggregators
    are all linked reports the holdings of all services. One that was lost a
    moment ago is waited for, unless it was the last one.

    Parameters
    ----------
    zone : sequence of Backoff
        One for each eligible aggregator of the zone.
    now : float
        Monotonic time in seconds.
    """
    lost_at = [
        peer.failing_since for peer in zone if peer.failing_since is not None
    ]
    if len(lost_at) == len(zone):
        return False
    return now - min(lost_at, default=now) < SUBSTITUTE_AFTER_S
