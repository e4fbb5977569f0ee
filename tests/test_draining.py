"""Checks of the signs that a backend server is leaving."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from cardamomflow import draining

SIGNS = draining.SignSource


class DrainTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = draining.DrainTracker()

    def accepting(self):
        return self.tracker.accepting(['a', 'b'], 10)

    def test_one_explicit_sign_wins_at_once(self):
        """Guards against new work for a server that said it is leaving."""
        for source in (SIGNS.REGISTER, SIGNS.STATUS, SIGNS.REFUSAL):
            with self.subTest(source=source):
                tracker = draining.DrainTracker()
                tracker.sign('a', source, True, 1)
                self.assertEqual(tracker.accepting(['a', 'b'], 1), ['b'])

    def test_host_list_alone_leaves_no_shard_without_replica(self):
        """Guards against an outage caused by a wrong host list."""
        self.tracker.sign('a', SIGNS.HOST_LIST, True, 1)
        self.assertEqual(self.accepting(), ['b'])
        self.tracker.sign('b', SIGNS.HOST_LIST, True, 2)
        self.assertEqual(self.accepting(), ['a', 'b'])

    def test_explicit_signs_may_leave_a_shard_without_replica(self):
        """Guards against work for a server that refuses it anyway."""
        self.tracker.sign('a', SIGNS.HOST_LIST, True, 1)
        self.tracker.sign('a', SIGNS.STATUS, True, 1)
        self.tracker.sign('b', SIGNS.REFUSAL, True, 2)
        self.assertEqual(self.accepting(), [])

    def test_host_list_is_ignored_when_the_rest_is_leaving(self):
        """Guards against counting a leaving server as a replica."""
        self.tracker.sign('a', SIGNS.HOST_LIST, True, 1)
        self.tracker.sign('b', SIGNS.REGISTER, True, 2)
        self.assertEqual(self.accepting(), ['a'])

    def test_later_status_withdraws_status_and_refusal(self):
        """Guards against a restarted server that never gets work again."""
        self.tracker.sign('a', SIGNS.STATUS, True, 1)
        self.tracker.sign('a', SIGNS.REFUSAL, True, 2)
        self.tracker.sign('a', SIGNS.STATUS, False, 3)
        self.assertEqual(self.accepting(), ['a', 'b'])

    def test_stale_status_does_not_withdraw_a_newer_refusal(self):
        """Guards against an aged report that hides a refusal."""
        self.tracker.sign('a', SIGNS.REFUSAL, True, 5)
        self.tracker.sign('a', SIGNS.STATUS, False, 4)
        self.assertEqual(self.accepting(), ['b'])

    def test_status_does_not_withdraw_the_register(self):
        """Guards against a server that overrides the operator."""
        self.tracker.sign('a', SIGNS.REGISTER, True, 1)
        self.tracker.sign('a', SIGNS.STATUS, False, 2)
        self.assertEqual(self.accepting(), ['b'])

    def test_signs_that_arrive_out_of_order(self):
        """Guards against an old sign that replaces a newer one."""
        self.tracker.sign('a', SIGNS.HOST_LIST, False, 5)
        self.tracker.sign('a', SIGNS.HOST_LIST, True, 3)
        self.assertEqual(self.accepting(), ['a', 'b'])

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['a', 'b', 'c']),
                strategies.sampled_from(list(SIGNS)),
                strategies.booleans(),
            ),
            max_size=20,
        )
    )
    def test_only_explicit_signs_empty_a_shard(self, signs):
        """Guards against a sequence in which the host list empties one."""
        tracker = draining.DrainTracker()
        explicit = dict.fromkeys(
            itertools.product('abc', (SIGNS.REGISTER, SIGNS.STATUS)), False
        )
        for at, (backend_id, source, leaving) in enumerate(signs):
            tracker.sign(backend_id, source, leaving, at)
            if source is SIGNS.REFUSAL and leaving:
                explicit[backend_id, source] = True
            elif source in {SIGNS.STATUS, SIGNS.REFUSAL} and not leaving:
                explicit.pop((backend_id, SIGNS.REFUSAL), None)
            if source in {SIGNS.REGISTER, SIGNS.STATUS}:
                explicit[backend_id, source] = leaving
        gone = {backend_id for (backend_id, _), on in explicit.items() if on}
        accepting = set(tracker.accepting(['a', 'b', 'c'], len(signs)))
        self.assertFalse(accepting & gone)
        self.assertEqual(bool(accepting), len(gone) < 3)
