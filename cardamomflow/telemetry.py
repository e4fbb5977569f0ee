"""Counters, gauges and duration histograms of one process; owns their values.

They are served as text on the metrics address of the settings.
`metricdefinitions` lists their names, labels and help texts.
"""

import collections
from collections.abc import Callable, Iterable

import prometheus_client
from prometheus_client import exposition, metrics_core, registry

from cardamomflow import metricdefinitions

PREFIX = 'cardamomflow_'
# Label values and the total of one row of a counter.
Row = tuple[tuple[str, ...], float]
_UNLISTED = metricdefinitions.MetricDefinition(
    '', 'unlisted_events', 'name', 'Not in the table.'
)

_COUNTERS_BY_NAME = {
    definition.name: definition for definition in metricdefinitions.COUNTERS
}
_GAUGES_BY_NAME = {
    definition.name: definition for definition in metricdefinitions.GAUGES
}


class Metrics(registry.Collector):
    """Values of the metrics of one process."""

    def __init__(self) -> None:
        """Create the metrics with all counters at zero."""
        self.totals_by_name: collections.Counter[str] = collections.Counter()
        self._readers_by_name: dict[str, Callable[[], float]] = {}
        self._row_readers_by_name: dict[str, Callable[[], Iterable[Row]]] = {}
        self._registry = registry.CollectorRegistry()
        self._durations_by_name = {
            definition.name: prometheus_client.Histogram(
                f'{PREFIX}{definition.exposed_name}',
                definition.help_text,
                (definition.label,),
                buckets=metricdefinitions.DURATION_BOUNDS_S,
                registry=self._registry,
            )
            for definition in metricdefinitions.DURATIONS
        }
        self._registry.register(self)

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter; the label value follows the name and a dot."""
        self.totals_by_name[name] += count

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._readers_by_name[name] = lambda: value

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Read a gauge from a function each time the metrics are rendered."""
        self._readers_by_name[name] = read

    def register_rows(
        self, name: str, read: Callable[[], Iterable[Row]]
    ) -> None:
        """Read the rows of a counter each time the metrics are rendered.

        For counters whose label values are not known in advance. The function
        bounds their number.
        """
        self._row_readers_by_name[name] = read

    def observe(self, name: str, label: str, duration_s: float) -> None:
        """Add a duration in seconds to a histogram."""
        self._durations_by_name[name].labels(label).observe(duration_s)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return exposition.generate_latest(self._registry)

    def collect(self) -> Iterable[metrics_core.Metric]:
        """Yield the counters and gauges as metrics of the library."""
        families: dict[str, metrics_core.Metric] = {}
        for name, total in self.totals_by_name.items():
            definition, labels = _find_counter(name)
            family = families.setdefault(
                definition.exposed_name,
                metrics_core.CounterMetricFamily(
                    f'{PREFIX}{definition.exposed_name}',
                    definition.help_text,
                    labels=[definition.label] if definition.label else [],
                ),
            )
            family.add_metric(labels, total)
        yield from families.values()
        yield from self._collect_rows()
        for name, read in self._readers_by_name.items():
            definition = _GAUGES_BY_NAME[name]
            yield metrics_core.GaugeMetricFamily(
                f'{PREFIX}{definition.exposed_name}',
                definition.help_text,
                read(),
            )

    def _collect_rows(self) -> Iterable[metrics_core.Metric]:
        for name, read_rows in self._row_readers_by_name.items():
            definition = _COUNTERS_BY_NAME[name]
            counter = metrics_core.CounterMetricFamily(
                f'{PREFIX}{definition.exposed_name}',
                definition.help_text,
                labels=definition.label.split(','),
            )
            for labels, total in read_rows():
                counter.add_metric(labels, total)
            yield counter


def _find_counter(
    name: str,
) -> tuple[metricdefinitions.MetricDefinition, list[str]]:
    """Return the definition of a counter and the values of its labels."""
    if name in _COUNTERS_BY_NAME:
        return _COUNTERS_BY_NAME[name], []
    head, _, label = name.rpartition('.')
    if head in _COUNTERS_BY_NAME:
        return _COUNTERS_BY_NAME[head], [label]
    return _UNLISTED, [name]
