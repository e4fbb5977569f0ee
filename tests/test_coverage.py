"""Tests of merging and coverage at the aggregator and the entry."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomflow import coverage, errors, queries, scatter, snapshots
from cardamomflow.generated import wire_pb2

SNAPSHOT = snapshots.Snapshot('i', 3, 1)
SHARDS = tuple(
    snapshots.ShardKey(service, shard) for service in 'st' for shard in (0, 1)
)


def make_row(shard, score=1.0):
    return {'id': f'{shard.service}{shard.shard}', 'score': score}


class CoverageTest(unittest.TestCase):
    def setUp(self):
        self.coverage = coverage.Coverage(SNAPSHOT, SHARDS, limit=10)

    def test_answer_of_another_snapshot_is_not_merged(self):
        """Guards against rows of two versions in one answer."""
        other = SNAPSHOT._replace(version=4)
        self.assertFalse(self.coverage.accept(other, SHARDS, []))
        self.assertEqual(self.coverage.summary().answered, 0)

    def test_map_revision_is_part_of_the_snapshot(self):
        """Guards against shards of two maps in one answer."""
        other = SNAPSHOT._replace(map_revision=2)
        self.assertFalse(self.coverage.accept(other, SHARDS, []))

    def test_overlapping_answers_are_not_counted_twice(self):
        """Guards against duplicate rows after a hedge."""
        self.coverage.accept(SNAPSHOT, SHARDS[:2], [make_row(SHARDS[0])])
        self.assertFalse(
            self.coverage.accept(SNAPSHOT, SHARDS[1:], [make_row(SHARDS[1])])
        )
        self.assertEqual(self.coverage.summary().answered, 2)
        self.assertEqual(len(self.coverage.rows()), 1)

    def test_late_failure_does_not_uncover_a_shard(self):
        """Guards against a failed hedge that removes an answered shard."""
        self.coverage.accept(SNAPSHOT, SHARDS, [])
        self.coverage.fail(SHARDS[0], 'timeout')
        self.assertTrue(self.coverage.complete)
        self.assertEqual(self.coverage.summary().missing, [])

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.lists(st.sampled_from(SHARDS), unique=True),
                st.booleans(),
            )
        )
    )
    def test_rows_are_exactly_those_of_the_answered_shards(self, answers):
        """Guards against coverage that differs from the merged rows."""
        for shards, same in answers:
            snapshot = SNAPSHOT if same else SNAPSHOT._replace(version=9)
            rows = [make_row(shard) for shard in shards]
            self.coverage.accept(snapshot, shards, rows)
        answered = self.coverage.answered
        self.assertEqual(
            sorted(row['id'] for row in self.coverage.rows()),
            sorted(make_row(shard)['id'] for shard in answered),
        )
        missing = {shard for shard, _ in self.coverage.missing_shards()}
        self.assertEqual(missing | set(answered), set(SHARDS))
        self.coverage = coverage.Coverage(SNAPSHOT, SHARDS, limit=10)


def make_answer(ask, shards, request_id='r', failures=(), snapshot=SNAPSHOT):
    return wire_pb2.QueryAnswer(
        attempt_id=ask.attempt_id,
        request_id=request_id,
        snapshot=wire_pb2.Snapshot(**snapshot._asdict()),
        answered=queries.group_shards(shards),
        failures=[
            wire_pb2.ShardFailure(
                service=shard.service, shard=shard.shard, reason=reason
            )
            for shard, reason in failures
        ],
        rows=b'[]',
    )


class ScatterTest(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(1)
        self.scatter = scatter.Scatter(
            'r',
            snapshots.PinnedSnapshot(SNAPSHOT, SHARDS),
            {'s': ['owner', 'standby'], 't': ['owner', 'standby']},
            10,
        )

    def ask(self, services=('s', 't'), usable=('owner', 'standby')):
        return self.scatter.assign(services, usable, self.random)

    def test_services_of_one_aggregator_share_a_message(self):
        """Guards against a message for each shard."""
        asks = self.ask()
        self.assertEqual([ask.services for ask in asks], [('s', 't')])

    def test_answer_with_another_request_id_is_ignored(self):
        """Guards against rows of another request."""
        (ask,) = self.ask()
        answer = make_answer(ask, SHARDS, request_id='other')
        self.assertIsNone(self.scatter.record_answer(answer))
        self.assertFalse(self.scatter.is_finished)

    def test_answer_of_another_snapshot_is_ignored(self):
        """Guards against merging different snapshots at the second hop."""
        (ask,) = self.ask()
        answer = make_answer(ask, SHARDS, snapshot=SNAPSHOT._replace(version=1))
        self.assertIsNone(self.scatter.record_answer(answer))

    def test_duplicate_answer_is_ignored(self):
        """Guards against an answer that is counted twice."""
        (ask,) = self.ask()
        self.scatter.record_answer(make_answer(ask, SHARDS[:2]))
        self.assertIsNone(self.scatter.record_answer(make_answer(ask, SHARDS)))

    def test_answer_for_unrequested_shards_is_ignored(self):
        """Guards against coverage of shards that were not requested."""
        (ask,) = self.ask(services=('s',))
        self.assertIsNone(self.scatter.record_answer(make_answer(ask, SHARDS)))

    def test_standby_is_asked_after_the_owner_is_lost(self):
        """Guards against missing services after the loss of one process."""
        (ask,) = self.ask()
        again = self.scatter.record_failure(
            ask.attempt_id, errors.PeerLost.code
        )
        (second,) = self.ask(again)
        self.assertEqual(second.aggregator_id, 'standby')
        self.scatter.record_answer(make_answer(second, SHARDS))
        self.assertTrue(self.scatter.is_complete)
        self.assertEqual(self.scatter.result().summary().missing, [])

    def test_missing_aggregator_is_reported_as_the_reason(self):
        """Guards against a service that is absent from the coverage."""
        self.ask(usable=())
        missing = self.scatter.result().summary().missing
        self.assertEqual(
            {shard['reason'] for shard in missing}, {'no_aggregator'}
        )
        self.assertEqual(len(missing), len(SHARDS))

    def test_whole_answer_of_the_standby_replaces_a_partial_one(self):
        """Guards against missing shards when a partial answer comes first."""
        (first,) = self.ask()
        (second,) = self.ask()
        self.scatter.record_answer(make_answer(first, SHARDS[:1]))
        self.scatter.record_answer(make_answer(second, SHARDS))
        self.assertEqual(self.scatter.result().summary().answered, 4)

    def test_service_of_another_owner_is_asked_there(self):
        """Guards against missing shards when views of ownership differ."""
        (ask,) = self.ask()
        answer = make_answer(
            ask,
            SHARDS[:2],
            failures=[(shard, 'not_owner') for shard in SHARDS[2:]],
        )
        self.assertEqual(self.scatter.record_answer(answer), ['t'])
