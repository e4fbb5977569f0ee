"""Number of items that share one call to a backend server; sans-I/O.

Owns what a call costs by itself and what each of its items adds. A call holds
a slot until all its items are done, so a long one makes urgent work wait; too
few items pay the cost of a call again and again.
"""

MAXIMUM_ITEMS = 16
# What the items of a call may add to it when a call by itself costs less.
# Urgent work that arrives meanwhile waits as long.
ADDED_TIME_S = 0.02
# Weight of the last call; the estimate follows a change in about 20 calls.
LEARNING_WEIGHT = 0.05
# Below this variance of the number of items, calls of nearly one size say
# nothing about what an item adds.
MINIMUM_VARIANCE = 0.02
# While calls carry one item each, one of so many carries two: calls of a
# single size can't show that the time is spent on the call, not on the item.
PROBE_CALLS = 16
_PROBE_ITEMS = 2


class BatchSize:
    """Learns how many items a call may carry.

    The time of a call is taken as a fixed part and a part for each item,
    fitted by least squares over the last calls. Dividing the time by the
    items instead takes the cost of a call for that of an item: on a busy
    machine calls then shrink to one item, which needs more calls, which
    makes the machine busier.
    """

    def __init__(self) -> None:
        """Start without a measured call."""
        self._mean_items: float = 0
        self._mean_s: float = 0
        self._variance: float = 0
        self._covariance_s: float = 0
        self._item_s: float = 0
        self._calls_since_probe = 0

    def learn(self, count: int, latency_s: float) -> None:
        """Take the items of a call and the seconds that it took."""
        self._calls_since_probe += 1
        if count > 1:
            self._calls_since_probe = 0
        if not self._mean_items:
            self._mean_items = count
            self._mean_s = latency_s
        self._fit(count, latency_s)
        if self._variance >= MINIMUM_VARIANCE:
            self._item_s = max(0, self._covariance_s / self._variance)
        elif not self._item_s:
            self._item_s = self._mean_s / self._mean_items
        self._item_s = min(self._item_s, self._mean_s / self._mean_items)

    def limit(self) -> int:
        """Return the items that the next call may carry."""
        if not self._item_s:
            return MAXIMUM_ITEMS
        added_s = max(ADDED_TIME_S, self._call_s())
        fitting = 1 + int(added_s / self._item_s)
        if fitting == 1 and self._calls_since_probe >= PROBE_CALLS:
            return _PROBE_ITEMS
        return min(MAXIMUM_ITEMS, fitting)

    def _call_s(self) -> float:
        """Return what a call costs by itself, in seconds."""
        return self._mean_s - self._item_s * self._mean_items

    def _fit(self, count: int, latency_s: float) -> None:
        """Update means, variance and covariance with exponential weights."""
        off_items = count - self._mean_items
        off_s = latency_s - self._mean_s
        self._mean_items += LEARNING_WEIGHT * off_items
        self._mean_s += LEARNING_WEIGHT * off_s
        kept = 1 - LEARNING_WEIGHT
        self._variance = kept * (
            self._variance + LEARNING_WEIGHT * off_items * off_items
        )
        self._covariance_s = kept * (
            self._covariance_s + LEARNING_WEIGHT * off_items * off_s
        )
