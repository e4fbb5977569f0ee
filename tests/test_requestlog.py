"""Log lines of requests, and the explanations derived from them."""

import json
import os
import subprocess
import sys
import unittest
from unittest import mock

from click import testing

from cardamomflow import (
    commands,
    errors,
    events,
    limits,
    logoutput,
    requestcauses,
    requestlog,
)
from tests import test_dispatching

FLOOD = """
import json, sys, time
from cardamomflow import journal, logoutput
output = logoutput.LogOutput(sys.stdout.fileno())
log = journal.create('host-1', 'info', output)
started_at = time.monotonic()
for number in range(20_000):
    log.info('flood', number=number)
took_s = time.monotonic() - started_at
print(json.dumps([took_s, output.take_dropped()]), file=sys.stderr)
"""


class RequestLogTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.journal = mock.Mock()
        self.log = requestlog.RequestLog(self.journal, lambda: self.now)
        self.world = test_dispatching.World()

    def lines(self):
        return [call.kwargs for call in self.journal.info.call_args_list]

    def end(self, work, request_id='r1'):
        self.log.log_end(
            work,
            work.end(),
            request_id,
            routes_revision=7,
            platform_age_ms=120,
            silent_zones=[],
        )

    def fail(self, route):
        """End a request whose backend servers all fail."""
        work = self.world.start(route)
        sent = self.world.send_attempts()
        while sent:
            for attempt in sent:
                self.world.dispatcher.on_failure(
                    attempt, limits.CallOutcome.FAILED, 0.0
                )
            sent = self.world.send_attempts()
        return work

    def test_whole_answer_in_time_is_only_counted(self):
        """Guards against lines that cost more than the requests."""
        work = self.world.start(test_dispatching.make_route())
        for attempt in self.world.send_attempts():
            self.world.dispatcher.on_reply(
                attempt, test_dispatching.reply(), 0.0
            )
        self.end(work)
        self.assertEqual(self.lines(), [])
        self.log.log_summary()
        self.assertEqual(self.lines()[0]['ended'], {'answered': 1})

    def test_every_payment_is_logged(self):
        """Guards against payments of unknown outcome without a log line."""
        for number in range(500):
            self.end(self.fail(test_dispatching.make_payment()), f'p{number}')
        logged_ids = {line['request_id'] for line in self.lines()}
        self.assertEqual(len(logged_ids), 500)

    def test_flood_of_failures_is_bounded_and_counted(self):
        """Guards against logging that uses up the processor in a flood."""
        for _ in range(500):
            self.end(self.fail(test_dispatching.make_route()))
        self.assertEqual(len(self.lines()), requestlog.BURST_LINES)
        self.log.log_summary()
        summary = self.lines()[-1]
        self.assertEqual(sum(summary['ended'].values()), 500)
        self.assertEqual(sum(summary['left_out'].values()), 400)

    def test_refusal_is_logged(self):
        """Guards against a 503 response without a log line."""
        self.log.log_refusal(
            'r1', errors.NotReady('no routes'), silent_zones=[]
        )
        (line,) = self.lines()
        self.assertEqual(
            (line['request_id'], line['code']), ('r1', 'not_ready')
        )

    def test_line_names_what_was_missing(self):
        """Guards against a partial answer without a reason."""
        work = self.world.start(test_dispatching.make_route())
        first, second = self.world.send_attempts()
        self.world.dispatcher.on_reply(first, test_dispatching.reply(), 0.0)
        self.now = work.answer_at
        self.end(work)
        (line,) = self.lines()
        self.assertEqual(line['ending'], 'partial')
        missing, answered = line['services']
        self.assertEqual(missing['service'], second.subrequest.service)
        self.assertEqual(missing['result'], 'no_answer')
        (attempt,) = missing['attempts']
        self.assertEqual(attempt['backend_id'], second.backend_id)
        self.assertEqual(attempt['outcome'], 'open')
        self.assertEqual(answered['result'], requestlog.ANSWERED)

    def test_line_has_times_of_every_attempt(self):
        """Guards against a hedge or retry that is missing from the line."""
        work = self.world.start(test_dispatching.make_route())
        first, second = self.world.send_attempts()
        self.world.dispatcher.on_reply(second, test_dispatching.reply(), 0.01)
        self.world.dispatcher.on_failure(first, limits.CallOutcome.FAILED, 0.02)
        (retry,) = self.world.send_attempts()
        self.world.dispatcher.on_reply(retry, test_dispatching.reply(), 0.05)
        self.now = work.answer_at + 0.001
        work.route = work.route._replace(target_s=0.0)
        self.end(work)
        (line,) = self.lines()
        self.assertEqual(line['ending'], 'answered_late')
        slowest = line['services'][0]
        self.assertEqual(slowest['service'], first.subrequest.service)
        self.assertEqual(
            [
                (attempt['outcome'], attempt['at_ms'], attempt['took_ms'])
                for attempt in slowest['attempts']
            ],
            [('failed', 0, 20.0), ('success', 20.0, 30.0)],
        )

    def test_line_of_many_services_is_bounded(self):
        """Guards against lines that grow with the fleet."""
        services = [f's{number}' for number in range(300)]
        work = self.world.start(test_dispatching.make_route(services))
        self.end(work)
        (line,) = self.lines()
        self.assertEqual(len(line['services']), requestlog.MAX_LISTED_SERVICES)
        self.assertEqual(
            line['services_left_out'], 300 - requestlog.MAX_LISTED_SERVICES
        )


def make_attempt(backend_id, outcome, took_ms):
    """Return an attempt as it appears in a log line."""
    return {
        'backend_id': backend_id,
        'zone': 'z1',
        'at_ms': 1.5,
        'took_ms': took_ms,
        'sent': True,
        'outcome': outcome,
    }


class CauseTest(unittest.TestCase):
    def explain(self, request_id, *documents, prefix=''):
        lines = [f'{prefix}{json.dumps(document)}' for document in documents]
        return requestcauses.explain(request_id, lines)

    def document(self, **changes):
        return {
            'event': events.Event.REQUEST_ENDED,
            'request_id': 'r1',
            'ending': 'partial',
            'asked': 3,
            'parts': 2,
            'services': [
                {
                    'service': 'lots',
                    'result': 'no_answer',
                    'attempts': [
                        make_attempt('i8', 'refused_connection', 0.2),
                        make_attempt('i9', 'open', 91.5),
                    ],
                }
            ],
            'services_left_out': 2,
            **changes,
        }

    def test_cause_is_the_last_line(self):
        """Guards against an explanation without a clear cause."""
        explanation = self.explain(
            'r1', self.document(), prefix='  3.1 host-1 '
        )
        self.assertEqual(
            explanation[-1],
            'cause: no part within the target: lots no_answer (i8: accepted no'
            ' connection, i9: no answer for 91.5 ms)',
        )
        self.assertIn('    +1.5 ms i9: no answer for 91.5 ms (z1)', explanation)

    def test_all_failed_requests_are_listed(self):
        """Guards against failures that need a known request id to be listed."""
        lines = [
            json.dumps(document)
            for document in (
                self.document(),
                self.document(request_id='r2', ending='answered'),
                self.document(request_id='r3', ending='late'),
                {
                    'event': events.Event.REQUESTS_SUMMARISED,
                    'left_out': {'partial': 3},
                },
            )
        ]
        explanation = requestcauses.explain_failures(lines)
        self.assertEqual(
            [line[:3] for line in explanation], ['r1 ', 'r3 ', '2 r']
        )
        self.assertTrue(explanation[-1].endswith('3 lines were left out'))

    def test_cut_zone_is_part_of_the_cause(self):
        """Guards against a cut that looks like failing backend servers."""
        explanation = self.explain(
            'r1', self.document(ending='not_run', silent_zones=['z2'])
        )
        self.assertTrue(explanation[-1].endswith('zones without answers: z2'))

    def test_refusal_before_any_service_has_its_cause(self):
        """Guards against an unexplained 503 response of a starting host."""
        explanation = self.explain(
            'r1',
            {
                'event': events.Event.REQUEST_REFUSED,
                'request_id': 'r1',
                'ending': 'refused',
                'code': 'not_ready',
                'message': 'no routes are known yet',
            },
        )
        self.assertEqual(
            explanation[-1], 'cause: not_ready: no routes are known yet'
        )

    def test_missing_line_gives_an_unknown_cause(self):
        """Guards against an invented cause when lines are missing."""
        explanation = self.explain(
            'r2',
            self.document(),
            {
                'event': events.Event.REQUESTS_SUMMARISED,
                'left_out': {'partial': 3},
            },
        )
        self.assertEqual(len(explanation), 1)
        self.assertIn('not known', explanation[0])
        self.assertIn('3 lines that were left out', explanation[0])

    def test_incomplete_lines_are_skipped(self):
        """Guards against a parser that fails on a truncated line.

        A process that is killed may leave such a line.
        """
        lines = ['{"request_id": "r1"', 'text', '[]', '{}']
        self.assertEqual(requestcauses.parse(lines), [{}])

    def test_command_reads_standard_input(self):
        """Guards against a command that needs a running fleet."""
        finished = testing.CliRunner().invoke(
            commands.operator,
            ['explain', 'r1'],
            input=json.dumps(self.document()),
        )
        self.assertEqual(finished.exit_code, 0, finished.output)
        self.assertIn('cause: no part', finished.output)

    def test_command_lists_failed_requests(self):
        """Guards against a list of failures that needs a request id."""
        finished = testing.CliRunner().invoke(
            commands.operator,
            ['explain', '--failed'],
            input=json.dumps(self.document()),
        )
        self.assertEqual(finished.exit_code, 0, finished.output)
        self.assertIn('r1 - partial: no part', finished.output)
        self.assertIn('1 requests; 0 lines', finished.output)


class BlockedReaderTest(unittest.TestCase):
    def test_blocked_reader_drops_lines_without_delay(self):
        """Guards against a host that blocks when its log collector stops."""
        reader, writer = os.pipe()
        with (
            os.fdopen(reader, 'rb'),
            os.fdopen(writer, 'wb') as output,
            subprocess.Popen(
                [sys.executable, '-c', FLOOD],
                stdout=output,
                stderr=subprocess.PIPE,
            ) as flooding,
        ):
            _, stderr_text = flooding.communicate(timeout=60)
        took_s, dropped = json.loads(stderr_text)
        self.assertGreater(dropped, 10_000)
        self.assertLess(took_s, 30)

    def test_lines_continue_when_the_reader_resumes(self):
        """Guards against a log without lines after the reader resumes."""
        reader, writer = os.pipe()
        with os.fdopen(reader, 'rb'), os.fdopen(writer, 'wb'):
            output = logoutput.LogOutput(writer)
            for _ in range(2000):
                output.write(f'{"x" * 99}\n')
            received = os.read(reader, 1_000_000)
            output.flush()
            received += os.read(reader, 1_000_000)
        self.assertEqual(set(received.split(b'\n')[:-2]), {b'x' * 99})
        self.assertEqual(output.dropped, 0)
        self.assertGreater(len(received), 65_536)
