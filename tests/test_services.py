"""Queueing and batches of one service in an aggregator."""

import copy
import itertools
import json
import random
import time
import types
import unittest

import curio

from cardamomflow import (
    batching,
    bodybudget,
    callrunner,
    errors,
    hedging,
    queries,
    register,
    replicaset,
    retries,
    rules,
    services,
    snapshots,
    telemetry,
    timertask,
    webclient,
)
from cardamomflow.generated import wire_pb2
from standins import fleet

DOCUMENT = {
    'availability_zones': {'zone-a': {'region': 'r'}},
    'services': {'s': {'slots': 2, 'connections': 25, 'connection_cost_ms': 6}},
    'indexes': {'s': {'maps': {'1': {'shards_per_service': 32}}}},
    'backend_servers': {
        's-a': {
            'service': 's',
            'availability_zone': 'zone-a',
            'address': '127.0.0.1',
            'port': 1,
        }
    },
}
REGISTER = register.Register.from_document(DOCUMENT)
HELD = snapshots.Holding(1, 1, frozenset((0,)))


def make_group(source=REGISTER, finished=None):
    """Return the group of the service `s` and its context."""
    generator = random.Random(1)
    process_context = types.SimpleNamespace(
        clock=time.monotonic,
        random=generator,
        metrics=telemetry.Metrics(),
        body_budget=bodybudget.BodyBudget(),
    )
    parsed_rules = rules.Rules.from_document(fleet.RULES)
    service_context = services.ServiceContext(
        process_context,
        timertask.TimerTask(time.monotonic),
        callrunner.Policy(
            hedging.HedgePolicy(parsed_rules.hedging),
            retries.RetryBudget(parsed_rules.retries),
        ),
        parsed_rules,
        1000,
        finished,
    )
    group = services.ServiceGroup(
        source.services_by_name['s'], source, service_context
    )
    return group, service_context


def make_job(shards, deadline_s=30):
    """Return a query for the first shards of the service `s`."""
    request = wire_pb2.QueryRequest(
        request_id='r',
        rank=3,
        snapshot=wire_pb2.Snapshot(index='s', version=1, map_revision=1),
        tasks=[wire_pb2.ServiceTask(service='s', shards=range(shards))],
    )
    return queries.QueryJob(request, time.monotonic() + deadline_s, None)


class BatchTest(unittest.TestCase):
    def batch_sizes(self, item_s):
        """Return the number of items in each call for 32 queued items."""
        sizes = []

        async def main():
            group, _ = make_group()
            for _ in range(60):
                items = dict.fromkeys('ab')
                await group.on_call_ended(
                    types.SimpleNamespace(items_by_attempt=items), 2 * item_s
                )

            async def start(backend_id, items, *, hedged):
                sizes.append(len(items))

            group._calls.start = start
            job = make_job(32)
            await group.submit(job.items_of('s'))

        curio.run(main)
        return sizes

    def test_short_items_share_a_call(self):
        """Guards against a separate call for each item of a busy service."""
        self.assertEqual(self.batch_sizes(0.0005)[0], batching.MAXIMUM_ITEMS)

    def test_long_items_do_not_hold_a_slot_together(self):
        """Guards against urgent work that waits for a call of 16 long items."""
        self.assertEqual(self.batch_sizes(0.025)[0], 1)


class RetryTest(unittest.TestCase):
    def query_shard(self, failures, held=None):
        """Query one shard of two replicas, whose calls fail in turn.

        Parameters
        ----------
        failures : iterable
            Failures of the first calls, in order; later calls succeed.
        held : snapshots.Holding, optional
            Holding that both replicas reported.

        Returns
        -------
        list of bool
            Whether each call used a fresh connection.
        list of str
            Why shards are missing.
        """
        document = copy.deepcopy(DOCUMENT)
        servers = document['backend_servers']
        servers['s-b'] = {**servers['s-a'], 'port': 2}
        source = register.Register.from_document(document)
        fresh_by_call = []
        failing = iter(failures)

        async def call(target, document, timeout_s, *, fresh=False):
            fresh_by_call.append(fresh)
            failure = next(failing, {})
            if isinstance(failure, errors.FlowError):
                raise failure
            (item,) = document['items']
            answer = {'version': 1, 'map_revision': 1, 'rows': [], **item}
            body = json.dumps({'items': [{**answer, **failure}]}).encode()
            return webclient.Reply(200, body)

        async def main():
            done = curio.Event()

            async def finished(job):
                await done.set()

            group, service_context = make_group(source, finished)
            await curio.spawn(service_context.timers.run, daemon=True)
            service_context.policy.retry_budget.record_first_attempts(1000)
            for name, pool in group.replicas.pools_by_backend.items():
                pool.call = call
                if held is not None:
                    group.replicas._reports_by_backend[name] = (
                        replicaset.Report((held,), time.monotonic())
                    )
            job = make_job(1)
            await group.submit(job.items_of('s'))
            async with curio.timeout_after(5):
                await done.wait()
            return job

        job = curio.run(main)
        return fresh_by_call, [
            reason for _, reason in job.coverage.missing_shards()
        ]

    def test_replica_is_asked_again_when_all_were_asked(self):
        """Guards against a shard lost after one failure of each replica."""
        fresh_by_call, missing = self.query_shard(
            [errors.PeerLost(''), errors.PeerLost('')]
        )
        self.assertEqual(missing, [])
        self.assertEqual(fresh_by_call, [False, True, True])

    def test_attempts_are_bounded(self):
        """Guards against endless attempts when all servers fail."""
        fresh_by_call, missing = self.query_shard(
            itertools.repeat(errors.PeerLost(''))
        )
        self.assertEqual(len(fresh_by_call), callrunner.MAX_ATTEMPTS)
        self.assertEqual(missing, ['peer_lost'])

    def test_server_without_the_snapshot_is_not_asked_again(self):
        """Guards against retries at servers that lack the snapshot."""
        gone = errors.SnapshotGone.code
        fresh_by_call, missing = self.query_shard(
            itertools.repeat({'error': gone})
        )
        self.assertEqual(len(fresh_by_call), 2)
        self.assertEqual(missing, [gone])

    def test_snapshot_newer_than_the_reports_is_asked_for(self):
        """Guards against a lost query when an entry has newer reports."""
        fresh_by_call, missing = self.query_shard([], HELD._replace(version=0))
        self.assertEqual((fresh_by_call, missing), ([False], []))

    def test_retired_snapshot_is_reported_as_gone(self):
        """Guards against a query that is not retried on another snapshot."""
        fresh_by_call, missing = self.query_shard([], HELD._replace(version=2))
        self.assertEqual(
            (fresh_by_call, missing), ([], [errors.SnapshotGone.code])
        )
