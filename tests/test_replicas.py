"""Tests of the choice of a replica."""

import collections
import random
import unittest

from cardamomflow import limits, replicas

OUTCOMES = limits.CallOutcome


class ReplicaChooserTest(unittest.TestCase):
    def setUp(self):
        self.chooser = replicas.ReplicaChooser(random.Random(3))

    def call(self, backend_id, now, latency_s=0.01, outcome=OUTCOMES.SUCCESS):
        self.chooser.record_start(backend_id, now)
        self.chooser.record_end(backend_id, outcome, latency_s, now)

    def counts(self, candidates, now, calls=1000):
        return collections.Counter(
            self.chooser.choose(candidates, now) for _ in range(calls)
        )

    def warm_up(self, candidates):
        """Make all candidates warm and equally fast; return the time."""
        for step in range(200):
            for backend_id in candidates:
                self.chooser.choose(candidates, step / 10)
                self.call(backend_id, step / 10)
        return 20

    def fail_calls(self, backend_id, now, calls=50):
        for _ in range(calls):
            self.call(backend_id, now, 0.001, OUTCOMES.FAILED)

    def test_excluded_replicas_are_not_chosen(self):
        """Guards against a retry on the replica that just failed."""
        self.assertEqual(self.chooser.choose(['a', 'b'], 0, {'a'}), 'b')
        self.assertIsNone(self.chooser.choose(['a'], 0, {'a'}))
        self.assertIsNone(self.chooser.choose([], 0))

    def test_fewer_calls_in_flight_win(self):
        """Guards against too many calls to one replica."""
        now = self.warm_up('ab')
        self.chooser.record_start('a', now)
        self.assertEqual(self.counts('ab', now), {'b': 1000})

    def test_unreachable_replica_is_avoided_at_a_low_rate(self):
        """Guards against calls to an unreachable server at a low call rate."""
        now = self.warm_up('ab')
        self.chooser.record_missed_report('a', now + 2, now + 3)
        self.assertEqual(self.counts('ab', now + 3), {'b': 1000})
        self.assertEqual(self.counts('a', now + 3), {'a': 1000})
        self.chooser.record_report('a', 0, 0, 2, 0, now + 5)
        self.assertIn('a', self.counts('ab', now + 5))

    def test_missing_reports_of_a_server_that_works_are_ignored(self):
        """Guards against losing a replica because its reports fail."""
        now = self.warm_up('ab')
        self.call('a', now + 2.5)
        self.chooser.record_missed_report('a', now + 2, now + 3)
        self.assertFalse(self.chooser.is_ejected('a', now + 3))

    def test_straggler_is_avoided_and_tried_again(self):
        """Guards against a slow replica that keeps half of the work."""
        now = self.warm_up('ab')
        self.call('a', now, 1)
        self.assertEqual(self.counts('ab', now), {'b': 1000})
        self.assertFalse(self.chooser.is_worth_using('a', 'ab', now))
        for offset_s in range(1, 40):
            self.call('b', now + offset_s)
        self.assertTrue(self.chooser.is_worth_using('a', 'ab', now + 40))
        self.assertIn('a', self.counts('ab', now + 40))

    def test_hanging_replica_is_not_waited_for(self):
        """Guards against work that waits behind a call that never ends.

        The other replica seems slow because of an earlier time-out.
        """
        now = self.warm_up('ab')
        self.call('b', now, 0.6, OUTCOMES.TIMEOUT)
        self.assertFalse(self.chooser.is_worth_using('b', 'ab', now))
        self.chooser.record_start('a', now)
        self.chooser.record_start('a', now + 0.09)
        self.chooser.record_end('a', OUTCOMES.SUCCESS, 0.01, now + 0.1)
        self.assertTrue(self.chooser.is_worth_using('b', 'ab', now + 0.1))
        self.chooser.record_end('a', OUTCOMES.SUCCESS, 0.1, now + 0.1)
        self.assertFalse(self.chooser.is_worth_using('b', 'ab', now + 0.1))

    def test_fast_failures_do_not_look_fast(self):
        """Guards against a failing server that gets more work."""
        now = self.warm_up('ab')
        self.call('a', now, 0.001, OUTCOMES.FAILED)
        self.assertTrue(self.chooser.is_worth_using('b', 'ab', now))
        self.assertGreater(self.counts('ab', now)['b'], 400)

    def test_old_report_counts_less(self):
        """Guards against a stale report that keeps a server idle."""
        now = self.warm_up('ab')
        self.chooser.record_report('a', 2, 8, 2, 0, now)
        self.assertEqual(self.counts('ab', now), {'b': 1000})
        self.chooser.record_start('b', now)
        self.chooser.record_report('a', 2, 8, 2, 10, now)
        self.assertEqual(self.counts('ab', now), {'a': 1000})

    def test_cold_server_is_ramped_up(self):
        """Guards against full load on a server that just started."""
        now = self.warm_up('ab')
        for second in range(now, now + 20):
            self.chooser.choose('a', second)
            self.call('a', second)
        now += 20
        self.call('a', now)
        self.call('b', now)
        early = self.counts('ab', now)['b']
        self.assertLess(early, 150)
        self.assertGreater(early, 0)
        self.call('b', now + 10)
        self.call('a', now + 10)
        self.assertGreater(self.counts('ab', now + 10)['b'], 400)

    def test_gray_server_is_ejected_and_returns_on_probation(self):
        """Guards against work for a server that fails but reports no load."""
        now = self.warm_up('ab')
        self.fail_calls('a', now)
        self.chooser.record_report('a', 0, 0, 2, 0, now)
        self.assertTrue(self.chooser.is_ejected('a', now))
        self.assertEqual(self.counts('ab', now), {'b': 1000})
        returned_at = now + replicas.EJECTION_S
        self.call('b', returned_at)
        self.assertFalse(self.chooser.is_ejected('a', returned_at))
        self.assertLess(self.counts('ab', returned_at)['a'], 150)
        self.fail_calls('a', returned_at, 2)
        self.assertTrue(
            self.chooser.is_ejected('a', returned_at + replicas.EJECTION_S + 1)
        )

    def test_last_replica_is_never_ejected(self):
        """Guards against a shard without replicas because of its error rate."""
        now = self.warm_up('ab')
        self.fail_calls('a', now)
        self.fail_calls('b', now, 100)
        self.assertFalse(self.chooser.is_ejected('b', now))
        self.fail_calls('c', now)
        self.chooser.choose('c', now)
        self.assertFalse(self.chooser.is_ejected('c', now))
        self.assertEqual(self.chooser.choose('a', now), 'a')

    def test_shared_failures_eject_no_replica(self):
        """Guards against ejections if the cause is not the replica."""
        now = self.warm_up('ab')
        for _ in range(50):
            self.fail_calls('a', now, 1)
            self.fail_calls('b', now, 1)
        ejected = [
            self.chooser.is_ejected(backend_id, now) for backend_id in 'ab'
        ]
        self.assertEqual(ejected, [False, False])

    def test_shed_and_cancelled_calls_are_no_errors(self):
        """Guards against the ejection of a busy server."""
        now = self.warm_up('ab')
        for _ in range(50):
            self.call('a', now, 0.001, OUTCOMES.SHED)
            self.call('a', now, 0.001, OUTCOMES.CANCELLED)
        self.assertFalse(self.chooser.is_ejected('a', now))
