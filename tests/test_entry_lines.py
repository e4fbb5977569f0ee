"""Log lines of entries and aggregators about requests that failed."""

import json
import random
import time
import types
import unittest
from unittest import mock

import curio

from cardamomflow import (
    aggregator,
    entry,
    errors,
    events,
    requestcauses,
    requestlog,
    telemetry,
    tracing,
    webhandler,
)
from cardamomflow.generated import wire_pb2


def make_process_context():
    generator = random.Random(1)
    return types.SimpleNamespace(
        clock=time.monotonic,
        random=generator,
        metrics=telemetry.Metrics(),
        journal=mock.Mock(),
        tracer=tracing.Tracer('p', generator, 0),
        settings={
            'process_id': 'p',
            'host': {'id': 'h', 'region': 'r', 'availability_zone': 'z'},
        },
    )


def post(path, **document):
    return webhandler.Request('POST', path, {}, json.dumps(document).encode())


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.process_context = make_process_context()
        self.entry = entry.Entry(self.process_context)

    def lines(self):
        return [
            {'event': call.args[0], **call.kwargs}
            for call in self.process_context.journal.info.call_args_list
        ]

    def send(self, path, **document):
        return curio.run(self.entry.handle, post(path, **document))

    def test_refused_query_is_logged(self):
        """Guards against a refusal at an entry without a log line."""
        response = self.send('/v1/query', request_id='r1')
        (line,) = self.lines()
        self.assertEqual(response.status, errors.NotReady.status)
        self.assertEqual(line['event'], events.Event.REQUEST_REFUSED)
        self.assertEqual(
            (line['request_id'], line['code'], line['configuration_revision']),
            ('r1', 'not_ready', None),
        )
        explanation = requestcauses.explain('r1', [json.dumps(line)])
        self.assertTrue(explanation[-1].startswith('cause: not_ready: '))

    def test_every_refused_operation_is_logged(self):
        """Guards against a refused operation without a log line."""
        count = int(2 * requestlog.BURST_LINES)
        for number in range(count):
            self.send('/v1/operations', request_id=f'o{number}')
        self.assertEqual(len(self.lines()), count)

    def test_flood_of_refused_queries_is_bounded(self):
        """Guards against logging that uses up the processor in a flood."""
        count = int(3 * requestlog.BURST_LINES)
        for number in range(count):
            self.send('/v1/query', request_id=f'q{number}')
        self.assertLess(len(self.lines()), 2 * requestlog.BURST_LINES)
        self.entry.request_log.log_summary()
        summary = self.lines()[-1]
        self.assertEqual(summary['ended'], {'not_ready': count})

    def test_shards_that_are_missing_are_the_cause(self):
        """Guards against a partial answer without logged missing shards."""
        self.entry.request_log.log_response(
            'r1',
            'partial',
            repeatable=True,
            parts=1,
            asked=2,
            missing=[{'service': 'lots', 'shard': 3, 'reason': 'no_replica'}],
        )
        (line,) = self.lines()
        explanation = requestcauses.explain('r1', [json.dumps(line)])
        self.assertEqual(
            explanation[-1],
            'cause: no part within the target: lots/3 no_replica',
        )


class AggregatorTest(unittest.TestCase):
    def test_refused_operation_is_logged(self):
        """Guards against a refusal that only the entry logs."""
        process_context = make_process_context()
        program = aggregator.Aggregator(process_context, mock.Mock())
        link = mock.AsyncMock()
        request = wire_pb2.OperationRequest(request_id='o1', service='lots')
        curio.run(program._run_operation, link, request)
        (call,) = process_context.journal.info.call_args_list
        self.assertEqual(call.kwargs['request_id'], 'o1')
        self.assertEqual(call.kwargs['code'], errors.NotOwner.code)


if __name__ == '__main__':
    unittest.main()
