"""Counters, gauges and durations of one process; owns their sums.

They are served as text on the metrics address of the settings. Names, labels
and meanings stand in `metricdefinitions`.
"""

import collections
from collections.abc import Callable, Iterable

import prometheus_client
from prometheus_client import exposition, metrics_core, registry

from cardamomflow import metricdefinitions

PREFIX = 'cardamomflow_'
_UNLISTED = metricdefinitions.Measure(
    '', 'unlisted_events', 'name', 'Not in the table.'
)

_COUNTERS_BY_NAME = {
    measure.name: measure for measure in metricdefinitions.COUNTERS
}
_GAUGES_BY_NAME = {
    measure.name: measure for measure in metricdefinitions.GAUGES
}


class Metrics(registry.Collector):
    """Sums of one process."""

    def __init__(self) -> None:
        """Start with all counters at zero."""
        self.totals_by_name: collections.Counter[str] = collections.Counter()
        self._readers_by_name: dict[str, Callable[[], float]] = {}
        self._registry = registry.CollectorRegistry()
        self._durations_by_name = {
            measure.name: prometheus_client.Histogram(
                f'{PREFIX}{measure.exposed}',
                measure.meaning,
                (measure.label,),
                buckets=metricdefinitions.DURATION_BOUNDS_S,
                registry=self._registry,
            )
            for measure in metricdefinitions.DURATIONS
        }
        self._registry.register(self)

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter; the value of its label follows a dot."""
        self.totals_by_name[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._readers_by_name[name] = lambda: value

    def gauge_from(self, name: str, read: Callable[[], float]) -> None:
        """Let a function tell a gauge when it is asked for."""
        self._readers_by_name[name] = read

    def observe(self, name: str, label: str, duration_s: float) -> None:
        """Add a duration in seconds."""
        self._durations_by_name[name].labels(label).observe(duration_s)

    def render(self) -> bytes:
        """Return all figures as text."""
        return exposition.generate_latest(self._registry)

    def collect(self) -> Iterable[metrics_core.Metric]:
        """Return counters and gauges as the library takes them."""
        families: dict[str, metrics_core.Metric] = {}
        for name, total in self.totals_by_name.items():
            measure, labels = _find_counter(name)
            family = families.setdefault(
                measure.exposed,
                metrics_core.CounterMetricFamily(
                    f'{PREFIX}{measure.exposed}',
                    measure.meaning,
                    labels=[measure.label] if measure.label else [],
                ),
            )
            family.add_metric(labels, total)
        yield from families.values()
        for name, read in self._readers_by_name.items():
            measure = _GAUGES_BY_NAME[name]
            yield metrics_core.GaugeMetricFamily(
                f'{PREFIX}{measure.exposed}', measure.meaning, read()
            )


def _find_counter(name: str) -> tuple[metricdefinitions.Measure, list[str]]:
    """Return the measure of a counter and the values of its labels."""
    if name in _COUNTERS_BY_NAME:
        return _COUNTERS_BY_NAME[name], []
    head, _, label = name.rpartition('.')
    if head in _COUNTERS_BY_NAME:
        return _COUNTERS_BY_NAME[head], [label]
    return _UNLISTED, [name]
