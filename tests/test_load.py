"""Tests of the load tool against a scripted entry."""

# Documents under test repeat rows, and shares are exact here.
# flake8: noqa: WPS347, WPS459, WPS435, WPS478

import json
import pathlib
import tempfile
import time
import unittest

import click
import curio
from click import testing

from cardamomflow import (
    load,
    loadplan,
    loadrun,
    rules,
    violations,
    webhandler,
    webserver,
)
from tests import loops

_FLOW = loadplan.Flow('lots', rules.Rank.URGENT, 100, 'desk', 200)


def _answer(request):
    """Return a complete and consistent response."""
    return {
        'request_id': request['request_id'],
        'snapshot': {'index': 'desk', 'version': 3, 'map_revision': 1},
        'coverage': {'answered': 4, 'total': 4, 'missing': []},
        'rows': [
            {'id': 'a', 'score': 2.0, 'version': 3, 'service': 's', 'shard': 0},
            {'id': 'b', 'score': 1.0, 'version': 3, 'service': 's', 'shard': 1},
        ],
    }


class _Entry(webhandler.RequestHandler):
    """Answers with the given function and records requests."""

    def __init__(self, answer):
        self.answer = answer
        self.requests = []

    async def handle(self, request):
        document = request.json()
        self.requests.append((request.path, document))
        return await self.answer(document, len(self.requests))


class LoadTest(unittest.TestCase):
    """Complete runs of the load tool."""

    def run_load(self, answer, *flows, **options):
        """Run against a scripted entry; return the report and the entry."""
        entry = _Entry(answer)
        server = webserver.WebServer('127.0.0.1', 0, entry)
        settings = loadplan.LoadSettings(
            flows or (_FLOW,),
            (('127.0.0.1', server.port),),
            **{'duration_s': 0.5, 'warm_up_s': 0.1, 'seed': 3, **options},
        )

        async def scenario():
            async with loops.serving(server):
                return await loadrun.run(settings)

        return loops.run(scenario), entry

    def test_complete_answers(self):
        """Guards against counts that do not add up."""

        async def answer(request, _):
            return webhandler.Response(200, _answer(request))

        report, entry = self.run_load(answer)
        figures = report.document()['by_rank']['urgent']
        measured = [
            each
            for each in loadplan.generate_arrivals(
                loadplan.LoadSettings((_FLOW,), (), 0.5, 0.1, 3)
            )
            if each.due_s >= 0.1
        ]
        self.assertEqual(figures['sent'], len(measured))
        self.assertEqual(figures['results'], {'whole': len(measured)})
        self.assertEqual(figures['good_share'], 1)
        self.assertEqual(figures['coverage'], 1)
        self.assertEqual(report.violation_count, 0)
        self.assertGreater(len(entry.requests), len(measured))
        self.assertIn('urgent', report.text())

    def test_latency_counts_from_the_due_time(self):
        """Guards against a stall that does not show in the latency.

        The event loop, shared by the entry and the tool, stops for 150 ms.
        The latency of requests due in this time must include the wait.
        """

        async def answer(request, number):
            if number == 20:
                time.sleep(0.15)  # noqa: ASYNC251  # the stall under test
            return webhandler.Response(200, _answer(request))

        report, _ = self.run_load(answer)
        latency_ms = report.document()['by_rank']['urgent']['latency_ms']
        self.assertGreater(latency_ms['p99'], 100)
        self.assertGreater(report.send_lag_ms, 100)

    def test_overloaded_tool_reports_requests_as_not_sent(self):
        """Guards against reporting delays of the tool as missing responses."""

        async def answer(request, number):
            if number == 20:
                time.sleep(0.15)  # noqa: ASYNC251  # the stall under test
            return webhandler.Response(200, _answer(request))

        flow = _FLOW._replace(deadline_ms=50)
        report, _ = self.run_load(answer, flow)
        figures = report.document()['by_rank']['urgent']
        self.assertGreater(figures['results']['not_sent'], 2)
        self.assertNotIn('no_response', figures['results'])

    def test_refusals_and_partial_answers(self):
        """Guards against goodput that counts refused or partial answers."""

        async def answer(request, number):
            document = _answer(request)
            if number % 2:
                error = {'code': 'overloaded', 'outcome': 'not_run'}
                return webhandler.Response(
                    429,
                    {'request_id': request['request_id'], 'error': error},
                )
            missing = [{'service': 's', 'shard': 9, 'reason': 'expired'}]
            document['coverage'] = {
                'answered': 3,
                'total': 4,
                'missing': missing,
            }
            return webhandler.Response(200, document)

        report, _ = self.run_load(answer)
        figures = report.document()['by_rank']['urgent']
        self.assertEqual(set(figures['results']), {'overloaded', 'partial'})
        self.assertEqual(set(figures['outcomes']), {'not_run', 'run'})
        self.assertEqual(figures['good_share'], 0)
        self.assertEqual(figures['coverage'], 0.75)
        self.assertEqual(report.violation_count, 0)

    def test_late_answers_are_not_good(self):
        """Guards against goodput that ignores the deadline."""

        async def answer(request, _):
            await curio.sleep(0.4)
            return webhandler.Response(200, _answer(request))

        # A request is not sent at all if this process stalls until after the
        # deadline.
        flow = _FLOW._replace(deadline_ms=300)
        report, _ = self.run_load(answer, flow)
        figures = report.document()['by_rank']['urgent']
        self.assertEqual(figures['good_share'], 0)
        self.assertEqual(set(figures['results']), {'whole'})

    def test_hanging_entry(self):
        """Guards against a run that never ends and unlimited open requests."""

        async def answer(_request, _number):
            await curio.Event().wait()

        flow = _FLOW._replace(deadline_ms=10)
        report, entry = self.run_load(answer, flow, maximum_open=5, warm_up_s=0)
        figures = report.document()['by_rank']['urgent']
        self.assertEqual(set(figures['results']), {'not_sent', 'no_response'})
        self.assertEqual(len(entry.requests), 5)

    def test_operations(self):
        """Guards against operations sent as queries or without unique keys."""

        async def answer(request, _):
            return webhandler.Response(
                200,
                {
                    'request_id': request['request_id'],
                    'key': request['key'],
                    'outcome': 'run',
                    'result': {},
                },
            )

        report, entry = self.run_load(answer, _FLOW._replace(operation=True))
        self.assertEqual(report.violation_count, 0)
        keys = [document['key'] for _, document in entry.requests]
        self.assertEqual(len(set(keys)), len(keys))
        self.assertEqual(
            {path for path, _ in entry.requests}, {'/v1/operations'}
        )
        self.assertEqual(
            set(report.by_rank['urgent'].count_by_outcome), {'run'}
        )

    def test_verifier(self):
        """Guards against a verifier that is not called."""

        async def answer(request, _):
            return webhandler.Response(200, _answer(request))

        report, _ = self.run_load(answer, verify=lambda *_: ['wrong rows'])
        self.assertGreater(report.violation_count, 20)
        self.assertEqual(len(report.violations), 20)


class CheckTest(unittest.TestCase):
    """Violations detected in one response."""

    def check(self, **changes):
        request = {'request_id': 'r1', 'query': {'limit': 2}}
        return violations.check_response(
            200, request, {**_answer(request), **changes}
        )

    def test_clean(self):
        """Guards against false alarms."""
        self.assertEqual(self.check(), [])

    def test_violations(self):
        """Guards against undetected violations."""
        rows = _answer({'request_id': 'r1'})['rows']
        missing = {'service': 's', 'shard': 0, 'reason': 'x'}
        cases = {
            'other request': {'request_id': 'r2'},
            'sum': {'coverage': {'answered': 3, 'total': 4, 'missing': []}},
            'twice missing': {
                'coverage': {
                    'answered': 2,
                    'total': 4,
                    'missing': [missing] * 2,
                }
            },
            'row of a missing shard': {
                'coverage': {'answered': 3, 'total': 4, 'missing': [missing]}
            },
            'unsorted': {'rows': rows[::-1]},
            'row twice': {'rows': [rows[0]] * 2},
            'too many': {'rows': [*rows, {'id': 'c', 'score': 0}]},
            'mixed snapshots': {'rows': [{**rows[0], 'version': 4}]},
            'no coverage': {'coverage': None},
            'no code': {'error': 'text'},
            'no outcome': {'error': {'code': 'x'}},
        }
        for name, changes in cases.items():
            with self.subTest(name):
                self.assertTrue(self.check(**changes))


class ArrivalsTest(unittest.TestCase):
    """Schedule of requests."""

    def settings(self, *flows, seed=5):
        return loadplan.LoadSettings(flows, (), 20, 0, seed)

    def test_seeded(self):
        """Guards against runs that can't be repeated."""
        first = list(loadplan.generate_arrivals(self.settings(_FLOW)))
        self.assertEqual(
            first, list(loadplan.generate_arrivals(self.settings(_FLOW)))
        )
        other = list(loadplan.generate_arrivals(self.settings(_FLOW, seed=6)))
        self.assertNotEqual(first, other)

    def test_rate_and_independence(self):
        """Guards against a wrong rate or flows that affect each other."""
        bulk = _FLOW._replace(work='statements', rate_per_s=300)
        both = list(loadplan.generate_arrivals(self.settings(_FLOW, bulk)))
        alone = list(loadplan.generate_arrivals(self.settings(_FLOW)))
        urgent = [each.due_s for each in both if each.flow == _FLOW]
        self.assertEqual(urgent, [each.due_s for each in alone])
        self.assertAlmostEqual(len(both), 20 * 400, delta=400)
        self.assertEqual(sorted(both, key=lambda each: each.due_s), both)


class CommandTest(unittest.TestCase):
    """Command line of the load tool."""

    def test_help_shows_an_example(self):
        """Guards against a help text without an example."""
        result = testing.CliRunner().invoke(load.load, ['--help'])
        self.assertIn('cardamomflow-load --entry 127.0.0.1:8080', result.output)

    def test_report_and_plot(self):
        """Guards against a report that can't be parsed.

        No entry listens, so every request must be refused as not run.
        """
        with tempfile.TemporaryDirectory() as directory:
            report_path = pathlib.Path(directory) / 'report.json'
            plot_path = pathlib.Path(directory) / 'plot.png'
            result = testing.CliRunner().invoke(
                load.load,
                [
                    *('--entry', '127.0.0.1:1', '--duration', '0.2'),
                    *('--warm-up', '0', '--flow', 'lots,urgent,50,desk'),
                    *('--report', report_path, '--plot', plot_path),
                ],
            )
            self.assertEqual(result.exit_code, 0, result.output)
            report = json.loads(report_path.read_text())
            self.assertTrue(plot_path.read_bytes().startswith(b'\x89PNG'))
        figures = report['by_work']['lots']
        self.assertEqual(
            figures['results'], {'connect_failed': figures['sent']}
        )
        self.assertEqual(figures['outcomes'], {'not_run': figures['sent']})

    def test_bad_flow(self):
        """Guards against malformed flows that are accepted."""
        for text in ('lots', 'lots,top,5,desk', 'lots,bulk,0,desk'):
            with self.subTest(text), self.assertRaises(click.BadParameter):
                load.parse_flow(text)
