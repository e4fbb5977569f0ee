"""Metrics of a process: names, units, labels and the metrics page."""

import pathlib
import re
import unittest

from prometheus_client import parser

from cardamomflow import metricdefinitions, metricspage, telemetry, webserver
from tests import hostworld, loops

ROOT = pathlib.Path(__file__).resolve().parent.parent
_RECORDED = re.compile(
    r"\.(increment|set_gauge|register_gauge|observe)\(\s*f?'([a-z_.]+)"
)
_TABLES_BY_CALL = {
    'increment': metricdefinitions.COUNTERS,
    'set_gauge': metricdefinitions.GAUGES,
    'register_gauge': metricdefinitions.GAUGES,
    'observe': metricdefinitions.DURATIONS,
}


def samples(text):
    """Return the values of an exposition by name and label value."""
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


class TableTest(unittest.TestCase):
    def test_every_recorded_metric_is_defined(self):
        """Guards against a metric without a unit or a help text."""
        undefined = set()
        for path in (ROOT / 'cardamomflow').rglob('*.py'):
            for call, name in _RECORDED.findall(path.read_text()):
                names = {row.name for row in _TABLES_BY_CALL[call]}
                if name.rstrip('.') not in {*names, 'host'}:
                    undefined.add(name)
        self.assertEqual(undefined, set())

    def test_names_are_unique(self):
        """Guards against two metrics with the same name."""
        rows = (
            *metricdefinitions.COUNTERS,
            *metricdefinitions.GAUGES,
            *metricdefinitions.DURATIONS,
        )
        for names in (
            [row.name for row in rows],
            [row.exposed_name for row in rows],
        ):
            self.assertEqual(len(names), len(set(names)))

    def test_page_of_the_docs_is_complete(self):
        """Guards against documentation that lags behind the definitions."""
        page = (ROOT / 'docs' / 'metrics.md').read_text()
        for row in (
            *metricdefinitions.COUNTERS,
            *metricdefinitions.GAUGES,
            *metricdefinitions.DURATIONS,
        ):
            self.assertIn(f'`{telemetry.PREFIX}{row.exposed_name}', page)
            self.assertIn(row.help_text, page)


class ExpositionTest(unittest.TestCase):
    def test_counters_gauges_and_durations(self):
        """Guards against metrics that a Prometheus client can't parse."""
        metrics = telemetry.Metrics()
        metrics.increment('host.ended.answered', 2)
        metrics.increment('process.paused')
        metrics.set_gauge('configuration.revision', 7)
        metrics.register_gauge('host.platform_age', lambda: 0.5)
        metrics.observe('host.latency', 'urgent', 0.04)
        values = samples(metrics.render().decode())
        prefix = telemetry.PREFIX
        self.assertEqual(values[f'{prefix}host_requests_total', 'answered'], 2)
        self.assertEqual(values[(f'{prefix}process_pauses_total',)], 1)
        self.assertEqual(values[(f'{prefix}configuration_revision',)], 7)
        self.assertEqual(values[(f'{prefix}host_platform_age_seconds',)], 0.5)
        bucket = f'{prefix}host_request_duration_seconds_bucket'
        self.assertEqual(values[bucket, '0.025', 'urgent'], 0)
        self.assertEqual(values[bucket, '0.05', 'urgent'], 1)

    def test_undefined_counter_is_rendered(self):
        """Guards against counts that are missing from the metrics page."""
        metrics = telemetry.Metrics()
        metrics.increment('nowhere.listed')
        values = samples(metrics.render().decode())
        name = f'{telemetry.PREFIX}unlisted_events_total'
        self.assertEqual(values[name, 'nowhere.listed'], 1)


class PageTest(unittest.TestCase):
    def test_page_of_a_host(self):
        """Guards against a host whose requests are not counted."""

        async def scenario(world):
            page = metricspage.MetricsPage(world.host._metrics)
            async with loops.serving(
                webserver.WebServer('127.0.0.1', 0, page)
            ) as port:
                await world.send_request('/lookup/x')
                await world.send_request('/nowhere/x')
                answer = await world.send_request('/metrics', port=port)
                other = await world.send_request('/other', port=port)
            return answer.body.decode(), other.status

        text, status = hostworld.run_scenario(scenario)
        values = samples(text)
        prefix = f'{telemetry.PREFIX}host_'
        self.assertEqual(values[f'{prefix}requests_total', 'answered'], 1)
        self.assertEqual(values[f'{prefix}sent_attempts_total', 'first'], 2)
        self.assertEqual(
            values[f'{prefix}failed_requests_total', 'not_found'], 1
        )
        self.assertEqual(values[(f'{prefix}listed_backend_servers',)], 4)
        self.assertEqual(status, 404)


if __name__ == '__main__':
    unittest.main()
