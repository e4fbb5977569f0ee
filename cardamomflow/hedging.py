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
# A larger store lets hedges of one moment exceed the share many times over.
MAXIMUM_TOKENS = 50.0
_MS_PER_S = 1000


class _Latencies:
    """Recent latencies of one service with a lazily computed quantile."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._unseen = 0
        self.quantile_s = DEFAULT_DELAY_S

    def add(self, latency_s: float) -> None:
        self._samples.append(latency_s)
        self._unseen += 1
        enough = len(self._samples) >= MINIMUM_SAMPLES
        if enough and self._unseen >= REFRESH_SAMPLES:
            self._unseen = 0
            ordered = sorted(self._samples)
            self.quantile_s = ordered[int(len(ordered) * QUANTILE)]


class HedgePolicy:
    """Decides when an attempt is repeated on another replica.

    The number of hedged attempts stays within a share of the first attempts.
    """

    def __init__(self, rule: rules.Hedging) -> None:
        """Start with an empty budget and without latencies."""
        self._share = rule.extra_load_share
        self._minimum_delay_s = rule.minimum_delay_ms / _MS_PER_S
        self._bucket = tokens.TokenBucket(MAXIMUM_TOKENS)
        self._latencies_by_service: dict[str, _Latencies] = {}

    def delay_s(self, service: str) -> float:
        """Return the seconds to wait before an attempt is hedged."""
        latencies = self._latencies_by_service.get(service)
        measured_s = latencies.quantile_s if latencies else DEFAULT_DELAY_S
        return max(self._minimum_delay_s, measured_s)

    def observe(self, service: str, latency_s: float) -> None:
        """Note the latency of an answered attempt."""
        latencies = self._latencies_by_service.get(service)
        if latencies is None:
            latencies = _Latencies()
            self._latencies_by_service[service] = latencies
        latencies.add(latency_s)

    def sent(self, count: int) -> None:
        """Deposit for first attempts that were sent."""
        self._bucket.earn(count * self._share)

    def may_hedge(self, queue_length: int) -> bool:
        """Take the token of one hedged attempt, if allowed.

        Parameters
        ----------
        queue_length : int
            Items that wait for the service; hedges would delay them.
        """
        return queue_length <= 0 and self._bucket.withdraw()
