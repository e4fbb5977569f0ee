"""Checks of answers from backend servers."""

import unittest

from cardamomflow import calls, errors, queries
from cardamomflow.generated import wire_pb2


def make_call(shards=(0, 1), version=7):
    """Return a call with one item for each shard; attempts `a0`, `a1`…"""
    request = wire_pb2.QueryRequest(
        attempt_id=1,
        request_id='r',
        rank=1,
        snapshot=wire_pb2.Snapshot(index='i', version=version, map_revision=1),
        tasks=[wire_pb2.ServiceTask(service='s', shards=shards)],
        limit=10,
    )
    job = queries.QueryJob(request, deadline=10.0, link=None)
    items = {f'a{item.shard.shard}': item for item in job.items_of('s')}
    for attempt, item in items.items():
        item.start_attempt(attempt, 'b')
    return calls.Call('b', items, 0.0, hedged=False)


def make_answer(attempt, shard, **changes):
    return {
        'attempt': attempt,
        'shard': shard,
        'version': 7,
        'map_revision': 1,
        'rows': [{'id': 'x', 'score': 0.5}],
        **changes,
    }


class CheckAnswersTest(unittest.TestCase):
    def check(self, *answers):
        return calls.check_answers(make_call(), list(answers))

    def test_answers_are_matched_by_attempt_in_any_order(self):
        """Guards against answers that are matched by their position."""
        checked = self.check(make_answer('a1', 1), make_answer('a0', 0))
        self.assertEqual(
            [item.shard.shard for item, _ in checked.answered], [1, 0]
        )
        self.assertFalse(checked.has_violation)

    def test_crossed_shards_are_rejected(self):
        """Guards against rows of one shard counted for another."""
        checked = self.check(make_answer('a0', 1), make_answer('a1', 0))
        self.assertEqual(checked.answered, [])
        self.assertEqual(len(checked.rejected), 2)

    def test_answer_of_another_version_or_map_is_rejected(self):
        """Guards against rows of different snapshots in one answer."""
        checked = self.check(
            make_answer('a0', 0, version=8),
            make_answer('a1', 1, map_revision=2),
        )
        self.assertEqual(checked.answered, [])

    def test_duplicate_answer_counts_once(self):
        """Guards against coverage that counts answers instead of shards."""
        checked = self.check(
            make_answer('a0', 0), make_answer('a0', 0), make_answer('a1', 1)
        )
        self.assertEqual(len(checked.answered), 2)
        self.assertTrue(checked.has_violation)

    def test_answer_of_another_request_is_ignored(self):
        """Guards against rows of another request."""
        checked = self.check(make_answer('zz', 0), make_answer('a1', 1))
        self.assertEqual(len(checked.answered), 1)
        self.assertEqual([item.shard.shard for item in checked.rejected], [0])

    def test_truncated_list_leaves_its_shards_open(self):
        """Guards against missing shards that are counted as answered."""
        checked = self.check(make_answer('a0', 0))
        self.assertEqual([item.shard.shard for item in checked.rejected], [1])

    def test_malformed_rows_are_rejected(self):
        """Guards against a merge that fails on rows without id or score."""
        for rows in (None, [1], [{'id': 1, 'score': 1}], [{'id': 'x'}]):
            with self.subTest(rows=rows):
                checked = self.check(make_answer('a0', 0, rows=rows))
                self.assertEqual(checked.answered, [])

    def test_answer_without_items_is_a_violation(self):
        """Guards against a crash on an answer in another format."""
        with self.assertRaises(errors.ProtocolViolation):
            calls.check_answers(make_call(), {'a0': 1})


class TimeoutTest(unittest.TestCase):
    def test_hedge_is_sent_while_there_is_time(self):
        """Guards against hedges that are sent too late after a stall."""
        call = make_call()
        self.assertEqual(call.hedge_at(0.04), 0.04)
        self.assertLessEqual(call.hedge_at(9.0), 2.5)

    def test_first_attempt_leaves_time_for_another_replica(self):
        """Guards against a query that waits too long for one replica."""
        call = make_call()
        timeout_s = call.timeout_s(0.0, has_other_replica=True)
        self.assertLessEqual(timeout_s, 6.0)

    def test_timeout_does_not_shrink_with_the_usual_latency(self):
        """Guards against thousands of aborted calls when all get slower."""
        call = make_call()
        timeout_s = call.timeout_s(0.0, has_other_replica=True)
        self.assertGreater(timeout_s, 5.0)

    def test_last_replica_gets_the_remaining_time(self):
        """Guards against a shard that fails while there is time left."""
        call = make_call()
        timeout_s = call.timeout_s(0.0, has_other_replica=False)
        self.assertGreater(timeout_s, 9.9)
