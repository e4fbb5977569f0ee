"""Tests of the stand-in backend server, which other proofs rely on."""

import contextlib
import time
import unittest

import curio

from cardamomflow import errors, webclient
from standins import backend
from tests import loops

# Faults are switched with documents of `/control` inside nested servers.
# flake8: noqa: WPS220, WPS435


class BackendTest(unittest.TestCase):
    """One backend server over its HTTP interface."""

    def setUp(self):
        self.options = backend.BackendOptions(
            'desk-a', 'desk', shards=(0, 1, 2, 3), connections=8, queue=3
        )

    def run_scenario(self, scenario):
        """Run a scenario while the backend server serves."""
        self.backend = backend.Backend(self.options)

        async def run():
            async with loops.serving(self.backend.server) as port:
                self.port = port
                return await scenario()

        return loops.run(run)

    async def fetch(self, method, path, document=None, timeout_s=2.0):
        return await webclient.fetch(
            '127.0.0.1', self.port, method, path, document, timeout_s
        )

    async def query(self, *shards, attempt='x', **changes):
        document = {
            'index': 'desk',
            'version': 1,
            'map_revision': 1,
            'budget_ms': 1000,
            'items': [
                {
                    'attempt': f'{attempt}{shard}',
                    'shard': shard,
                    'query': {'text': 'truck 7', 'limit': 3},
                }
                for shard in shards
            ],
            **changes,
        }
        return await self.fetch('POST', '/v1/query', document)

    async def operate(self, key, **changes):
        document = {'attempt': 'x', 'key': key, 'budget_ms': 1000, 'payload': 5}
        return await self.fetch(
            'POST', '/v1/operation', {**document, **changes}
        )

    async def control(self, **changes):
        reply = await self.fetch('POST', '/control', changes)
        self.assertEqual(reply.status, 200, reply.body)
        return reply.json()

    async def items(self, *shards, **changes):
        reply = await self.query(*shards, **changes)
        return reply.json()['items']

    def test_rows_are_those_expected(self):
        """Guards against answers that can't be verified."""
        items = self.run_scenario(lambda: self.items(0, 3))
        for item, shard in zip(items, (0, 3), strict=True):
            self.assertEqual(item['attempt'], f'x{shard}')
            self.assertEqual(
                (item['shard'], item['version'], item['map_revision']),
                (shard, 1, 1),
            )
            expected = backend.expected_rows(
                'desk', 1, 'desk', shard, 'truck 7', 3
            )
            self.assertEqual(item['rows'], expected)

    def test_rows_depend_on_everything(self):
        """Guards against mixed snapshots that look the same."""
        arguments = [
            ('a', 1, 's', 0, 't'),
            ('b', 1, 's', 0, 't'),
            ('a', 2, 's', 0, 't'),
            ('a', 1, 'r', 0, 't'),
            ('a', 1, 's', 1, 't'),
            ('a', 1, 's', 0, 'u'),
        ]
        ids = {
            row['id']
            for each in arguments
            for row in backend.expected_rows(*each, 10)
        }
        self.assertEqual(len(ids), 60)

    def test_verifier(self):
        """Guards against a verifier that accepts anything."""
        shards = [('desk', 0), ('desk', 1)]
        verify = backend.AnswerVerifier('desk', shards)
        request = {'query': {'text': 't', 'limit': 10}}
        rows = backend.expected_rows('desk', 2, 'desk', 1, 't', 10)
        hole = {'service': 'desk', 'shard': 0, 'reason': 'expired'}
        response = {
            'snapshot': {'version': 2},
            'coverage': {'missing': [hole]},
            'rows': rows,
        }
        self.assertEqual(verify(request, response), [])
        for change in (
            {'coverage': {'missing': []}},
            {'snapshot': {'version': 3}},
            {'rows': rows[1:]},
        ):
            self.assertTrue(verify(request, {**response, **change}))

    def test_snapshots(self):
        """Guards against answers from a snapshot that is not held."""

        async def scenario():
            holding = {'version': 2, 'map_revision': 1, 'shards': [0, 1]}
            await self.control(publish=holding)
            await self.control(retire={'version': 1})
            await self.control(
                repartition={'map_revision': 2, 'shards': [0, 1, 2]}
            )
            status = (await self.fetch('GET', '/v1/status')).json()
            held = await self.items(1, 2, version=2)
            gone = await self.items(0)
            moved = await self.items(2, version=2, map_revision=2)
            return status['holdings'], held, gone, moved

        holdings, held, gone, moved = self.run_scenario(scenario)
        self.assertEqual(
            holdings,
            [
                {'version': 2, 'map_revision': 1, 'shards': [0, 1]},
                {'version': 2, 'map_revision': 2, 'shards': [0, 1, 2]},
            ],
        )
        self.assertIn('rows', held[0])
        self.assertEqual(held[1]['error'], 'snapshot_gone')
        self.assertEqual(gone[0]['error'], 'snapshot_gone')
        self.assertIn('rows', moved[0])

    def test_refusals_before_the_start(self):
        """Guards against `not_run` for work that was executed."""

        async def scenario():
            replies = []
            await self.control(shed_share=1)
            replies.append(await self.operate('shed'))
            await self.control(shed_share=0, draining=True)
            replies.append(await self.operate('draining'))
            replies.append(await self.query(0))
            await self.control(draining=False)
            replies.append(await self.operate('expired', budget_ms=0))
            return replies, await self.control()

        replies, report = self.run_scenario(scenario)
        self.assertEqual([each.status for each in replies], [503] * 4)
        self.assertEqual(
            [each.json()['error'] for each in replies],
            ['shed', 'draining', 'draining', 'expired'],
        )
        outcomes = {each.json()['outcome'] for each in replies}
        self.assertEqual(outcomes, {'not_run'})
        self.assertEqual(report['executions'], {})
        self.assertNotIn('items', report['counts'])

    def test_executions_are_counted_by_key(self):
        """Guards against proofs of at-most-once that prove nothing."""

        async def scenario():
            await self.operate('a')
            await self.operate('b')
            reply = await self.operate('a')
            return reply.json(), await self.control()

        reply, report = self.run_scenario(scenario)
        self.assertEqual(reply['outcome'], 'run')
        self.assertEqual(report['executions'], {'a': 2, 'b': 1})

    def test_execution_counts_when_the_caller_goes_away(self):
        """Guards against an execution that leaves no trace."""

        async def scenario():
            await self.control(service_time_ms=300)
            with self.assertRaises(errors.DeadlineExceeded):
                await webclient.fetch(
                    '127.0.0.1',
                    self.port,
                    'POST',
                    '/v1/operation',
                    {'attempt': 1, 'key': 'a', 'budget_ms': 900},
                    0.05,
                )
            return (await self.control())['executions']

        self.assertEqual(self.run_scenario(scenario), {'a': 1})

    def test_slots_and_queue(self):
        """Guards against more work at once than slots, or a queue without end."""

        async def scenario():
            await self.control(service_time_ms=300)
            counts = self.backend.executions.counts
            async with curio.TaskGroup() as group:
                for number in range(7):
                    await group.spawn(self.operate, f'k{number}')
                await loops.until(lambda: counts['refused_shed'] == 2)
                status = self.backend.report()['status']
            return status, [each.status for each in group.results]

        status, statuses = self.run_scenario(scenario)
        self.assertEqual((status['in_use'], status['queued']), (2, 3))
        self.assertEqual(sorted(statuses), [200] * 5 + [503] * 2)

    def test_queued_work_expires(self):
        """Guards against work started after its deadline."""

        async def scenario():
            await self.control(service_time_ms=80)
            async with curio.TaskGroup() as group:
                for number in range(4):
                    await group.spawn(
                        lambda key: self.operate(key, budget_ms=50),
                        f'k{number}',
                    )
            refused = [each for each in group.results if each.status == 503]
            return refused, await self.control()

        refused, report = self.run_scenario(scenario)
        self.assertEqual(
            [each.json()['error'] for each in refused], ['expired'] * 2
        )
        self.assertEqual(len(report['executions']), 2)

    def test_cancellation(self):
        """Guards against cancelled work that keeps its slot."""

        async def scenario():
            await self.control(service_time_ms=5000)
            call = await curio.spawn(self.items, 0, 1)
            slots = self.backend.slots
            await loops.until(lambda: slots.in_use)
            await self.fetch('POST', '/v1/cancel', {'attempts': ['x0']})
            in_use = slots.in_use
            await self.fetch('POST', '/v1/cancel', {'attempts': ['x1']})
            items = await call.join()
            return in_use, self.backend.slots.in_use, items

        before, after, items = self.run_scenario(scenario)
        self.assertEqual((before, after), (1, 0))
        self.assertEqual([each['error'] for each in items], ['cancelled'] * 2)

    def test_slot_is_free_after_the_caller_went_away(self):
        """Guards against slots lost with their callers."""

        async def scenario():
            await self.control(service_time_ms=5000)
            calls = [await curio.spawn(self.query, 0) for _ in range(4)]
            slots = self.backend.slots
            await loops.until(lambda: slots.in_use + slots.queued == 4)
            for call in calls:
                await call.cancel()
            await loops.until(lambda: not slots.in_use + slots.queued, 1.0)

        self.run_scenario(scenario)

    def test_connection_limit(self):
        """Guards against a stand-in that hides too many connections."""

        async def scenario():
            callers = [loops.Caller(self.port) for _ in range(8)]
            for caller in callers:
                await caller.__aenter__()
            counts = self.backend.executions.counts
            await loops.until(lambda: counts['connections'] == 8)
            with self.assertRaises(errors.PeerLost):
                await self.fetch('GET', '/v1/status')
            for caller in callers:
                await caller.sock.close()

        self.run_scenario(scenario)
        counts = self.backend.executions.counts
        self.assertEqual(counts['refused_connections'], 1)

    def test_connection_cost(self):
        """Guards against connections that are free."""
        self.options = self.options._replace(connection_cost_ms=50)
        started_at = time.monotonic()
        self.run_scenario(lambda: self.fetch('GET', '/v1/status'))
        self.assertGreaterEqual(time.monotonic() - started_at, 0.05)

    def test_spoiled_answers(self):
        """Guards against faults that do not happen when asked for."""

        async def scenario():
            await self.items(0, attempt='first')
            await self.control(crossed_share=1)
            crossed = await self.items(1, attempt='second')
            await self.control(crossed_share=0, mislabelled_share=1)
            mislabelled = await self.items(1)
            await self.control(mislabelled_share=0, truncated_share=1)
            with self.assertRaises(errors.PeerLost):
                await self.items(1)
            await self.control(truncated_share=0, duplicate_share=1)
            connection = await webclient.connect('127.0.0.1', self.port)
            await connection.exchange(
                'POST', '/v1/operation', {'key': 'd', 'budget_ms': 900}
            )
            await loops.until(lambda: not connection.reusable)
            await connection.close()
            await self.control(duplicate_share=0, late_share=1, late_ms=100)
            started_at = time.monotonic()
            await self.items(1)
            late_s = time.monotonic() - started_at
            return crossed, mislabelled, late_s

        crossed, mislabelled, late_s = self.run_scenario(scenario)
        self.assertEqual(crossed[0]['attempt'], 'first0')
        self.assertEqual(mislabelled[0]['version'], 2)
        self.assertGreaterEqual(late_s, 0.1)

    def test_silent_connections(self):
        """Guards against new connections that go silent too."""

        async def scenario():
            old = await webclient.connect('127.0.0.1', self.port)
            await old.exchange('GET', '/v1/status')
            await self.control(silence_connections=True)
            answered = await curio.ignore_after(
                0.1, old.exchange, 'GET', '/v1/status'
            )
            new = await self.fetch('GET', '/v1/status')
            await old.close()
            return answered, new.status

        self.assertEqual(self.run_scenario(scenario), (None, 200))

    def test_gray_failure(self):
        """Guards against a gray failure that the status shows."""

        async def scenario():
            await self.control(gray='error')
            failed = await self.query(0)
            status = await self.fetch('GET', '/v1/status')
            await self.control(gray='hang')
            with contextlib.suppress(curio.TaskTimeout):
                await curio.timeout_after(0.1, self.query, 0)
                self.fail('a hanging backend server answered')
            return failed.status, status.status

        self.assertEqual(self.run_scenario(scenario), (502, 200))

    def test_stale_status(self):
        """Guards against a frozen report that changes."""

        async def scenario():
            await self.control(stale_status='aged', draining=True)
            await curio.sleep(0.05)
            aged = (await self.fetch('GET', '/v1/status')).json()
            await self.control(stale_status='misleading')
            misleading = (await self.fetch('GET', '/v1/status')).json()
            await self.control(stale_status='none')
            fresh = (await self.fetch('GET', '/v1/status')).json()
            return aged, misleading, fresh

        aged, misleading, fresh = self.run_scenario(scenario)
        self.assertFalse(aged['draining'])
        self.assertGreaterEqual(aged['age_ms'], 50)
        self.assertEqual(misleading['age_ms'], 0)
        self.assertFalse(misleading['draining'])
        self.assertTrue(fresh['draining'])

    def test_service_times(self):
        """Guards against distributions whose mean is not the one set."""
        server = backend.Backend(self.options)
        self.addCleanup(server.server._listener._socket.close)
        for distribution in backend.Distribution:
            server.faults = server.faults._replace(
                distribution=distribution, service_time_ms=4
            )
            times = [server._service_time_s(1) for _ in range(20_000)]
            with self.subTest(distribution):
                mean_ms = 1000 * sum(times) / len(times)
                self.assertAlmostEqual(mean_ms, 4, delta=0.3)
        server.faults = backend.Faults(
            straggle_share=0.1, straggle_ms=100, cold_start_s=1000
        )
        times = [server._service_time_s(1) for _ in range(2000)]
        slow = sum(duration_s > 0.4 for duration_s in times)
        self.assertAlmostEqual(slow, 200, delta=50)
        self.assertGreater(min(times), 0.0149)

    def test_bad_control(self):
        """Guards against a misspelt fault that silently does nothing."""

        async def scenario():
            return [
                (await self.fetch('POST', '/control', changes)).status
                for changes in ({'shedding': 1}, {'gray': 'x'})
            ]

        self.assertEqual(self.run_scenario(scenario), [400, 400])


class HostTest(unittest.TestCase):
    """Many backend servers in one process."""

    def test_replicas_and_shared_control(self):
        """Guards against control that reaches the wrong replica."""
        options = backend.create_many(backend.BackendOptions('d', 'desk'), 40)
        backends = [backend.Backend(each) for each in options]
        handler = backend.ControlHandler(backends)
        server = backend.webserver.WebServer('127.0.0.1', 0, handler)

        async def scenario():
            async with contextlib.AsyncExitStack() as stack:
                port = await stack.enter_async_context(loops.serving(server))
                for each in backends:
                    await stack.enter_async_context(loops.serving(each.server))
                await webclient.fetch(
                    '127.0.0.1',
                    port,
                    'POST',
                    '/control/d-7',
                    {'draining': True},
                )
                replies = [
                    await webclient.fetch(
                        '127.0.0.1', each.server.port, 'GET', '/v1/status'
                    )
                    for each in backends
                ]
            return [each.json()['draining'] for each in replies]

        draining = loops.run(scenario)
        self.assertEqual(draining.index(True), 7)
        self.assertEqual(sum(draining), 1)

    def test_shards(self):
        """Guards against ranges that lose their end."""
        self.assertEqual(backend.parse_shards('0-3,7'), (0, 1, 2, 3, 7))
