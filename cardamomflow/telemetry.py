"""Counters, gauges and timings, sent to statsd; owns their sums.

Values are summed in the process and leave in one pipeline for each flush
interval, so that the cost does not grow with traffic.
"""

import collections

import curio
import statsd

DEFAULT_FLUSH_INTERVAL_S = 1.0
MAX_TIMINGS_PER_FLUSH = 1000
_MS = 1000


class Metrics:
    """Sums of one process."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        """Take the statsd client, or None to keep the sums only."""
        self.totals_by_name: collections.Counter[str] = collections.Counter()
        self._client = client
        self._unsent: collections.Counter[str] = collections.Counter()
        self._gauges_by_name: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.totals_by_name[name] += count
        self._unsent[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; the name carries the unit."""
        self._gauges_by_name[name] = value

    def timing(self, name: str, duration_ms: float) -> None:
        """Add a duration in milliseconds; the name ends in `_ms`.

        Timings over `MAX_TIMINGS_PER_FLUSH` are dropped and counted.
        """
        if len(self._timings) < MAX_TIMINGS_PER_FLUSH:
            self._timings.append((name, duration_ms))
        else:
            self.increment('metrics.timings_dropped')

    def flush(self) -> None:
        """Send what was summed since the last flush."""
        counts, self._unsent = self._unsent, collections.Counter()
        timings, self._timings = self._timings, []
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, count in counts.items():
                pipeline.incr(name, count)
            for gauge, value in self._gauges_by_name.items():
                pipeline.gauge(gauge, value)
            for timing, duration_ms in timings:
                pipeline.timing(timing, duration_ms)

    async def run(self, flush_interval_s: float) -> None:
        """Flush at intervals until cancelled."""
        while True:
            await curio.sleep(flush_interval_s)
            self.flush()


def create(settings: dict | None) -> Metrics:
    """Return the metrics of a process from its settings."""
    if settings is None:
        return Metrics()
    return Metrics(
        statsd.StatsClient(
            settings['address'],
            settings['port'],
            prefix=settings.get('prefix', 'cardamomflow'),
        )
    )


def flush_interval_s(settings: dict | None) -> float:
    """Return the flush interval of the settings in seconds."""
    interval_ms = (settings or {}).get('flush_interval_ms')
    if interval_ms is None:
        return DEFAULT_FLUSH_INTERVAL_S
    return interval_ms / _MS
