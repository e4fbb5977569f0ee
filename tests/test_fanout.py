"""Queries at an entry process: late answers and lost snapshots."""

import random
import time
import types
import unittest

import curio

from cardamomflow import (
    callers,
    errors,
    fanout,
    queries,
    rules,
    scatter,
    snapshots,
    telemetry,
    tracing,
)
from cardamomflow.generated import wire_pb2

SHARDS = (snapshots.ShardKey('s', 0), snapshots.ShardKey('s', 1))
DEADLINE_S = 0.6
# Delay of a timer in an event loop that serves many calls.
LATE_S = 0.015


def make_snapshot(version):
    return snapshots.Snapshot('s', version, 1)


class Planner(fanout.Planner):
    """Pins snapshots, each from a given time on."""

    def __init__(self, available_after_s):
        self.started_at = time.monotonic()
        self.available_after_s = available_after_s
        self.plans = 0

    def plan(self, caller, limit, excluded):
        self.plans += 1
        elapsed_s = time.monotonic() - self.started_at
        for version, after_s in self.available_after_s.items():
            if elapsed_s >= after_s and make_snapshot(version) not in excluded:
                pinned = snapshots.PinnedSnapshot(
                    make_snapshot(version), SHARDS
                )
                return scatter.Scatter('r', pinned, {'s': ['a']}, limit)
        raise errors.SnapshotGone('none known')


class Aggregators:
    """Answers at once; holds all shards of some versions, one of the others."""

    def __init__(self, held):
        self.held = held

    def usable(self):
        return {'a'}

    def link_to(self, aggregator_id):
        return True

    def remove_handler(self, link, attempt_id):
        """Do nothing; no attempts are stored."""

    async def send(self, aggregator_id, envelope, handler):
        request = envelope.query
        held = request.snapshot.version in self.held
        answer = wire_pb2.QueryAnswer(
            attempt_id=request.attempt_id,
            request_id=request.request_id,
            snapshot=request.snapshot,
            answered=queries.group_shards(SHARDS if held else SHARDS[:1]),
            rows=b'[]',
        )
        if not held:
            answer.failures.add(service='s', shard=1, reason='snapshot_gone')
        await curio.spawn(handler.on_answer, answer, daemon=True)
        return types.SimpleNamespace(is_open=False), 0


class LateAggregators(Aggregators):
    """Answers partially, shortly after the end of the budget."""

    late_s = LATE_S

    async def send(self, aggregator_id, envelope, handler):
        late_s = envelope.query.budget_ms / 1000 + self.late_s
        send_answer = super().send
        await curio.spawn(
            self._send_late, late_s, send_answer, envelope, handler, daemon=True
        )
        return types.SimpleNamespace(is_open=False), 0

    async def _send_late(self, late_s, send_answer, envelope, handler):
        await curio.sleep(late_s)
        await send_answer('a', envelope, handler)


class OverdueAggregators(LateAggregators):
    """Answers partially, after the deadline of the caller."""

    late_s = 0.1


class SilentAggregators(Aggregators):
    """Accepts messages and does not answer."""

    async def send(self, aggregator_id, envelope, handler):
        return types.SimpleNamespace(is_open=False), 0


class QueryCase(unittest.TestCase):
    def run_query(self, available_after_s, held, aggregators_type=Aggregators):
        self.planner = Planner(available_after_s)
        generator = random.Random(1)
        process_context = types.SimpleNamespace(
            clock=time.monotonic,
            random=generator,
            metrics=telemetry.Metrics(),
            tracer=tracing.Tracer('entry', generator, 0),
        )
        caller = callers.Caller(
            'r', 's', rules.Rank.URGENT, '', time.monotonic() + DEADLINE_S
        )
        query = fanout.Fanout(
            process_context,
            self.planner,
            aggregators_type(held),
            caller,
            callers.QuerySpec({}, 10, traced=False),
        )
        return curio.run(query.run)


class PartialAnswerTest(QueryCase):
    def test_partial_answer_at_the_end_of_the_budget_is_merged(self):
        """Guards against losing every shard because one is unreachable."""
        finished_query = self.run_query(
            {3: 0}, held=set(), aggregators_type=LateAggregators
        )
        self.assertEqual(finished_query.result().summary().answered, 1)

    def test_overdue_answer_is_delivered_when_there_is_no_other(self):
        """Guards against a query that loses all shards for lack of 50 ms.

        A zone is cut off, so every answer is partial and is sent at the end of
        its budget, on a machine whose event loops are delayed.
        """
        finished_query = self.run_query(
            {3: 0}, held=set(), aggregators_type=OverdueAggregators
        )
        self.assertEqual(finished_query.result().summary().answered, 1)

    def test_wait_for_an_overdue_answer_is_bounded(self):
        """Guards against a query that waits for a hanging process."""
        started_at = time.monotonic()
        finished_query = self.run_query(
            {3: 0}, held=set(), aggregators_type=SilentAggregators
        )
        self.assertEqual(finished_query.result().summary().answered, 0)
        elapsed_s = time.monotonic() - started_at
        self.assertLess(elapsed_s, 10 * (DEADLINE_S + fanout.MAX_LATE_S))


class LostSnapshotTest(QueryCase):
    def test_query_ends_in_another_whole_version(self):
        """Guards against a partial answer when another version is complete."""
        finished_query = self.run_query({3: 0, 2: 0}, held={2})
        self.assertEqual(finished_query.pinned.snapshot.version, 2)
        self.assertTrue(finished_query.is_complete)

    def test_query_waits_for_a_report_of_another_version(self):
        """Guards against a query that ends before lagging reports arrive."""
        finished_query = self.run_query({3: 0, 4: 0.15}, held={4})
        self.assertEqual(finished_query.pinned.snapshot.version, 4)
        self.assertTrue(finished_query.is_complete)

    def test_lost_snapshot_without_another_does_not_stop_the_loop(self):
        """Guards against repeated planning without a pause."""
        started_at = time.monotonic()
        finished_query = self.run_query({3: 0}, held=set())
        self.assertLess(time.monotonic() - started_at, DEADLINE_S)
        self.assertLess(self.planner.plans, 40)
        self.assertEqual(finished_query.result().summary().answered, 1)

    def test_each_lost_version_is_tried_once(self):
        """Guards against a query that starts over until its deadline."""
        finished_query = self.run_query({4: 0, 3: 0, 2: 0, 1: 0}, held=set())
        self.assertEqual(self.planner.plans, fanout.MAX_REPLANS + 1)
        self.assertFalse(finished_query.is_complete)
