"""Delay and budget of hedged attempts; sans-I/O.

Owns the recent latencies of each service and the tokens of the hedge budget.
"""

import collections

from cardamomflow import rules, tokens

QUANTILE = 0.95
WINDOW_SAMPLES = 200
# The quantile of fewer samples is decided by one or two of them.
MINIMUM_SAMPLES = 20
REFRESH_SAMPLES = 20
DEFAULT_DELAY_S = 0.05
# A larger capacity would let a burst of hedges exceed the share many times
# over.
MAXIMUM_TOKENS = 50.0
_MS_PER_S = 1000


class _LatencyWindow:
    """Recent latencies of one service and their quantile.

    The quantile is computed again after every `REFRESH_SAMPLES` samples.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._samples_since_refresh = 0
        self.quantile_s = DEFAULT_DELAY_S

    def add(self, latency_s: float) -> None:
        self._samples.append(latency_s)
        self._samples_since_refresh += 1
        has_enough = len(self._samples) >= MINIMUM_SAMPLES
        if has_enough and self._samples_since_refresh >= REFRESH_SAMPLES:
            self._samples_since_refresh = 0
            ordered = sorted(self._samples)
            self.quantile_s = ordered[int(len(ordered) * QUANTILE)]


class HedgePolicy:
    """Decides when an attempt is also sent to another replica.

    The number of hedged attempts stays within a share of the first attempts.
    """

    def __init__(self, rule: rules.Hedging) -> None:
        """Start with an empty budget and without latencies."""
        self._share = rule.extra_load_share
        self._minimum_delay_s = rule.minimum_delay_ms / _MS_PER_S
        self._bucket = tokens.TokenBucket(MAXIMUM_TOKENS)
        self._latencies_by_service: dict[str, _LatencyWindow] = {}

    def delay_s(self, service: str) -> float:
        """Return the seconds to wait before an attempt is hedged."""
        latencies = self._latencies_by_service.get(service)
        measured_s = latencies.quantile_s if latencies else DEFAULT_DELAY_S
        return max(self._minimum_delay_s, measured_s)

    def observe(self, service: str, latency_s: float) -> None:
        """Record the latency of an answered attempt."""
        latencies = self._latencies_by_service.get(service)
        if latencies is None:
            latencies = _LatencyWindow()
            self._latencies_by_service[service] = latencies
        latencies.add(latency_s)

    def record_first_attempts(self, count: int) -> None:
        """Earn tokens for first attempts that were sent."""
        self._bucket.earn(count * self._share)

    def withdraw_token(self, queue_length: int) -> bool:
        """Withdraw the token of one hedged attempt; False if none is allowed.

        Parameters
        ----------
        queue_length : int
            Items queued for the service. While there are any, no hedge is
            allowed, since it would delay them.
        """
        return queue_length <= 0 and self._bucket.withdraw()
