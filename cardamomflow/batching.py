"""Number of items that share one call to a backend server; sans-I/O.

Owns the estimates of the fixed duration of a call and of the time that each
item adds. A call occupies a slot until all its items are done, so a long call
delays urgent work; calls with too few items repeat the fixed cost too often.
"""

MAXIMUM_ITEMS = 16
# Seconds that the items of a call may add to its duration, unless the fixed
# duration of the call is longer and becomes the limit. Urgent work that
# arrives during the call waits this much longer.
ADDED_TIME_S = 0.02
# Weight of the last call; the estimate adapts to a change in about 20 calls.
SMOOTHING_FACTOR = 0.05
# Below this variance of the number of items per call, the calls are too similar
# in size to estimate the time that an item adds.
MINIMUM_VARIANCE = 0.02
# While calls carry one item each, one in this many carries two: calls of a
# single size can't separate the fixed duration from the time per item.
PROBE_CALLS = 16
_PROBE_ITEMS = 2


class BatchSize:
    """Estimates how many items a call may carry.

    The duration of a call is modelled as a fixed part plus a part for each
    item, fitted by least squares over the last calls. Dividing the duration
    by the number of items instead would count the fixed part as time of the
    items: on a busy machine calls would shrink to one item, which needs more
    calls and makes the machine busier.
    """

    def __init__(self) -> None:
        """Create an estimate without recorded calls."""
        self._mean_items: float = 0
        self._mean_s: float = 0
        self._variance: float = 0
        self._covariance_s: float = 0
        self._item_s: float = 0
        self._calls_since_probe = 0

    def record_call(self, count: int, latency_s: float) -> None:
        """Record the number of items and the duration of a call."""
        self._calls_since_probe += 1
        if count > 1:
            self._calls_since_probe = 0
        if not self._mean_items:
            self._mean_items = count
            self._mean_s = latency_s
        self._update_moments(count, latency_s)
        if self._variance >= MINIMUM_VARIANCE:
            self._item_s = max(0, self._covariance_s / self._variance)
        elif not self._item_s:
            self._item_s = self._mean_s / self._mean_items
        self._item_s = min(self._item_s, self._mean_s / self._mean_items)

    def limit(self) -> int:
        """Return the maximum number of items of the next call."""
        if not self._item_s:
            return MAXIMUM_ITEMS
        added_s = max(ADDED_TIME_S, self._call_overhead_s())
        item_limit = 1 + int(added_s / self._item_s)
        if item_limit == 1 and self._calls_since_probe >= PROBE_CALLS:
            return _PROBE_ITEMS
        return min(MAXIMUM_ITEMS, item_limit)

    def _call_overhead_s(self) -> float:
        """Return the estimated fixed duration of a call, in seconds."""
        return self._mean_s - self._item_s * self._mean_items

    def _update_moments(self, count: int, latency_s: float) -> None:
        """Update means, variance and covariance with exponential weights."""
        items_deviation = count - self._mean_items
        duration_deviation_s = latency_s - self._mean_s
        self._mean_items += SMOOTHING_FACTOR * items_deviation
        self._mean_s += SMOOTHING_FACTOR * duration_deviation_s
        decay = 1 - SMOOTHING_FACTOR
        self._variance = decay * (
            self._variance
            + SMOOTHING_FACTOR * items_deviation * items_deviation
        )
        self._covariance_s = decay * (
            self._covariance_s
            + SMOOTHING_FACTOR * items_deviation * duration_deviation_s
        )
