"""The whole path as separate processes on loopback."""

import functools
import itertools
import time
import unittest

from standins import backend, fleet


class WholePathTest(unittest.TestCase):
    """One deployment of two zones serves all cases."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(fleet.running())
        cls.port = cls.fleet.entry_ports['zone-a']

    def test_answer_is_whole_and_of_one_snapshot(self):
        """Guards against rows that are lost or changed on the way."""
        status, answer = self.fleet.query(self.port, request_id='r-whole')
        self.assertEqual(status, 200)
        self.assertEqual(answer['request_id'], 'r-whole')
        self.assertEqual(answer['coverage']['answered'], 12)
        expected = [
            row
            for service, shard in itertools.product(
                self.fleet.services, range(self.fleet.shards)
            )
            for row in backend.expected_rows(
                'weighbridge', 1, service, shard, 'lot 7', 10
            )
        ]
        expected.sort(key=lambda row: (-row['score'], row['id']))
        self.assertEqual(answer['rows'], expected[:10])

    def test_missing_service_is_named_in_the_coverage(self):
        """Guards against a partial answer that passes for a whole one."""
        lost = ['weighbridge-1-a', 'weighbridge-1-b']
        self.fleet.control(lost, gray='hang')
        self.addCleanup(self.fleet.control, lost, gray='none')
        started_at = time.monotonic()
        status, answer = self.fleet.query(self.port, deadline_ms=400)
        self.assertLess(time.monotonic() - started_at, 0.5)
        self.assertEqual(status, 200)
        missing = {
            (shard['service'], shard['shard'])
            for shard in answer['coverage']['missing']
        }
        self.assertEqual(
            missing, {('weighbridge-1', shard) for shard in range(4)}
        )
        self.assertEqual(answer['coverage']['answered'], 8)

    def test_operation_runs_once_although_it_is_repeated(self):
        """Guards against a lot that is recorded and paid twice."""
        document = {
            'request_id': 'r-lot',
            'service': 'weighbridge-2',
            'work': 'record-lot',
            'key': 'lot-77',
            'issued_at': int(time.time()),
            'deadline_ms': 2000,
            'payload': {'kg': 410},
        }
        answers = [
            fleet.wait_until(
                functools.partial(self._record, port, document),
                'outcome of the operation',
            )
            for port in self.fleet.entry_ports.values()
        ]
        self.assertEqual(answers[0]['outcome'], 'run')
        self.assertEqual(answers[0]['result'], answers[1]['result'])
        runs = [
            count
            for letter in 'ab'
            for count in self.fleet.executions(
                f'weighbridge-2-{letter}'
            ).values()
        ]
        self.assertEqual(runs, [1])

    def _record(self, port, document):
        """Return the outcome, or None while the first run is written back."""
        status, answer = fleet.call(port, 'POST', '/v1/operations', document)
        if status == 409:
            self.assertEqual(answer['error']['code'], 'already_claimed')
            return None
        self.assertEqual(status, 200, answer)
        return answer

    def test_trace_has_a_span_for_each_hop(self):
        """Guards against a hop that does not pass the trace on."""
        self.fleet.query(self.port, request_id='r-trace', trace=True)
        _, trace = fleet.call(self.port, 'GET', '/v1/traces/r-trace')
        names = {span['name'] for span in trace['spans']}
        self.assertEqual(
            names, {'entry.query', 'aggregator.query', 'backend.call'}
        )


class GracefulStopTest(unittest.TestCase):
    def test_every_program_ends_by_itself(self):
        """Guards against a planned stop that hangs or fails."""
        with fleet.running(services=1) as running:
            for name in ('entry-zone-a', 'aggregator-zone-a', 'agent-zone-a'):
                process = running.processes_by_name[name]
                self.assertEqual(process.stop(), 0, running.log(name))
            _, answer = running.query(running.entry_ports['zone-b'])
            self.assertEqual(answer['coverage']['missing'], [])
