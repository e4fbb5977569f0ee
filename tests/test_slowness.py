"""Reports of how long work takes at backend servers that share machines."""

import collections
import random
import unittest

from hypothesis import given, strategies

from cardamomflow import limits, replicas, requeststate, slowness
from cardamomflow.platform import replyheaders

USUAL_S = 0.04
CALL_INTERVAL_S = 0.02


class ReportTest(unittest.TestCase):
    def test_fourth_figure(self):
        """Guards against a report that is dropped for one more figure."""
        self.assertEqual(
            replyheaders.parse_load(b'3, 1,2,250'),
            requeststate.Load(3, 1, 2, 2.5),
        )
        self.assertEqual(
            replyheaders.parse_load(b'3,1,2'), requeststate.Load(3, 1, 2)
        )

    def test_malformed_reports(self):
        """Guards against a report of another form that is half read."""
        for report in (b'3,1', b'3,1,2,', b'3,1,2,x', b'3,1,2,100,1', b''):
            with self.subTest(report):
                self.assertIsNone(replyheaders.parse_load(report))


class SlownessTest(unittest.TestCase):
    @given(strategies.lists(strategies.floats(0, 1e9), max_size=30))
    def test_estimate_is_limited(self, reports):
        """Guards against one false report that decides all choices."""
        estimate = slowness.Slowness()
        for step, reported in enumerate(reports):
            estimate.record(reported, step / 10)
            self.assertGreaterEqual(
                estimate.estimate(step / 10), slowness.MINIMUM
            )
            self.assertLessEqual(estimate.estimate(step / 10), slowness.MAXIMUM)

    def test_old_report_counts_as_the_average(self):
        """Guards against a choice by a state that has long changed."""
        estimate = slowness.Slowness()
        for step in range(100):
            estimate.record(1, step)
        estimate.record(4, 100)
        self.assertAlmostEqual(estimate.estimate(100), 4)
        self.assertLess(estimate.estimate(102), 1.4)


class ChoiceTest(unittest.TestCase):
    """Load: two backend servers whose machines are slow by turns."""

    def setUp(self):
        self.chooser = replicas.ReplicaChooser(random.Random(5))
        self.now = 0.0

    def call(self, backend_id, factor, reported):
        """Complete a call that takes `factor` times the usual time."""
        self.chooser.choose(['a', 'b'], self.now)
        self.chooser.record_start(backend_id, self.now)
        latency_s = USUAL_S * factor
        self.now += CALL_INTERVAL_S
        if reported is not None:
            self.chooser.record_slowness(backend_id, reported, self.now)
        self.chooser.record_end(
            backend_id, limits.CallOutcome.SUCCESS, latency_s, self.now
        )

    def warm_up(self, reported=None):
        """Call both at their usual speed; `reported` by backend server."""
        reported = reported or {}
        for _ in range(600):
            for backend_id in 'ab':
                self.call(backend_id, 1, reported.get(backend_id))

    def counts(self):
        return collections.Counter(
            self.chooser.choose(['a', 'b'], self.now) for _ in range(200)
        )

    def test_newest_reports_decide(self):
        """Guards against work for a machine that is slow at the moment."""
        self.warm_up({'a': 1, 'b': 1})
        self.call('b', 1, 1)
        self.call('a', 2.5, 2.5)
        self.assertEqual(self.counts(), {'b': 200})
        self.call('b', 2.5, 2.5)
        self.call('a', 1, 1)
        self.assertEqual(self.counts(), {'a': 200})

    def test_constant_false_report_has_no_effect(self):
        """Guards against a backend server that claims to be fast or slow."""
        self.warm_up({'a': 0.3, 'b': 7})
        counts = self.counts()
        self.assertGreater(min(counts.values()), 50)

    def test_sudden_false_report_ends_with_its_answers(self):
        """Guards against a false report that draws all work for long."""
        self.warm_up({'a': 1, 'b': 1})
        for _ in range(30):
            self.call('a', 1, 0.3)
            self.call('b', 1, 1)
        self.assertGreater(min(self.counts().values()), 50)


class ManyHostsTest(unittest.TestCase):
    def test_hosts_do_not_choose_the_same_server(self):
        """Guards against all hosts that leave for one fast server at once.

        Load: 60 hosts with three replicas, one of which has just become fast;
        each host has heard of it with its last answer.
        """
        chosen = collections.Counter()
        for seed in range(60):
            chooser = replicas.ReplicaChooser(random.Random(seed))
            for step in range(300):
                now = step / 20
                for backend_id in 'abc':
                    chooser.choose('abc', now)
                    chooser.record_start(backend_id, now)
                    factor = 0.5 if step > 290 and backend_id == 'c' else 1
                    chooser.record_slowness(backend_id, factor, now)
                    chooser.record_end(
                        backend_id,
                        limits.CallOutcome.SUCCESS,
                        USUAL_S * factor,
                        now,
                    )
            chosen[chooser.choose('abc', now)] += 1
        self.assertGreater(chosen['c'], 20)
        self.assertLess(chosen['c'], 50)
