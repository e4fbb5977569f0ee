"""Tests of the notices that a backend server is leaving."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from cardamomflow import draining

SOURCES = draining.DrainSource


class DrainTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = draining.DrainTracker()

    def accepting(self):
        return self.tracker.select_accepting(['a', 'b'], 10)

    def test_one_explicit_notice_takes_effect_at_once(self):
        """Guards against new work for a server that reported it is leaving."""
        for source in (SOURCES.REGISTER, SOURCES.STATUS, SOURCES.REFUSAL):
            with self.subTest(source=source):
                tracker = draining.DrainTracker()
                tracker.record_notice('a', source, True, 1)
                self.assertEqual(tracker.select_accepting(['a', 'b'], 1), ['b'])

    def test_host_list_alone_leaves_no_shard_without_replica(self):
        """Guards against an outage caused by a wrong host list."""
        self.tracker.record_notice('a', SOURCES.HOST_LIST, True, 1)
        self.assertEqual(self.accepting(), ['b'])
        self.tracker.record_notice('b', SOURCES.HOST_LIST, True, 2)
        self.assertEqual(self.accepting(), ['a', 'b'])

    def test_explicit_notices_may_leave_a_shard_without_replica(self):
        """Guards against work for a server that refuses it anyway."""
        self.tracker.record_notice('a', SOURCES.HOST_LIST, True, 1)
        self.tracker.record_notice('a', SOURCES.STATUS, True, 1)
        self.tracker.record_notice('b', SOURCES.REFUSAL, True, 2)
        self.assertEqual(self.accepting(), [])

    def test_host_list_is_ignored_if_all_others_are_leaving(self):
        """Guards against counting a leaving server as a replica."""
        self.tracker.record_notice('a', SOURCES.HOST_LIST, True, 1)
        self.tracker.record_notice('b', SOURCES.REGISTER, True, 2)
        self.assertEqual(self.accepting(), ['a'])

    def test_later_status_withdraws_status_and_refusal(self):
        """Guards against a restarted server that never gets work again."""
        self.tracker.record_notice('a', SOURCES.STATUS, True, 1)
        self.tracker.record_notice('a', SOURCES.REFUSAL, True, 2)
        self.tracker.record_notice('a', SOURCES.STATUS, False, 3)
        self.assertEqual(self.accepting(), ['a', 'b'])

    def test_stale_status_does_not_withdraw_a_newer_refusal(self):
        """Guards against an aged report that hides a refusal."""
        self.tracker.record_notice('a', SOURCES.REFUSAL, True, 5)
        self.tracker.record_notice('a', SOURCES.STATUS, False, 4)
        self.assertEqual(self.accepting(), ['b'])

    def test_status_does_not_withdraw_the_register(self):
        """Guards against a server that overrides the operator."""
        self.tracker.record_notice('a', SOURCES.REGISTER, True, 1)
        self.tracker.record_notice('a', SOURCES.STATUS, False, 2)
        self.assertEqual(self.accepting(), ['b'])

    def test_notices_that_arrive_out_of_order(self):
        """Guards against an old notice that replaces a newer one."""
        self.tracker.record_notice('a', SOURCES.HOST_LIST, False, 5)
        self.tracker.record_notice('a', SOURCES.HOST_LIST, True, 3)
        self.assertEqual(self.accepting(), ['a', 'b'])

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['a', 'b', 'c']),
                strategies.sampled_from(list(SOURCES)),
                strategies.booleans(),
            ),
            max_size=20,
        )
    )
    def test_only_explicit_notices_empty_a_shard(self, notices):
        """Guards against a shard without replicas due to the host list."""
        tracker = draining.DrainTracker()
        explicit = dict.fromkeys(
            itertools.product('abc', (SOURCES.REGISTER, SOURCES.STATUS)), False
        )
        for now, (backend_id, source, leaving) in enumerate(notices):
            tracker.record_notice(backend_id, source, leaving, now)
            if source is SOURCES.REFUSAL and leaving:
                explicit[backend_id, source] = True
            elif source in {SOURCES.STATUS, SOURCES.REFUSAL} and not leaving:
                explicit.pop((backend_id, SOURCES.REFUSAL), None)
            if source in {SOURCES.REGISTER, SOURCES.STATUS}:
                explicit[backend_id, source] = leaving
        leaving_ids = {
            backend_id
            for (backend_id, _), is_leaving in explicit.items()
            if is_leaving
        }
        accepting = set(tracker.select_accepting(['a', 'b', 'c'], len(notices)))
        self.assertFalse(accepting & leaving_ids)
        self.assertEqual(bool(accepting), len(leaving_ids) < 3)
