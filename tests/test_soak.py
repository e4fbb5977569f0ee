"""The soak: a seeded run, and that each of its checks can fail."""

import unittest

from soak import checks, plan, runner
from tests import hostworld

SEED = 3
LENGTH_S = 8.0
SHARDS = ('a', 'b')
RECORDS_BY_BACKEND = {
    'a0': ('a', hostworld.record(9)),
    'b0': ('b', hostworld.record(7)),
    'b1': ('b', hostworld.record(7)),
}
BODY = hostworld.record(9) + hostworld.record(7)


class SeededRunTest(unittest.TestCase):
    def test_hosts_keep_their_promises(self):
        """Guards against what breaks when faults meet at real processes."""
        result = runner.run(SEED, LENGTH_S)
        self.assertEqual(result.violations, [], result.counts)
        self.assertGreater(result.counts['lookup 200'], 0)


class PlanTest(unittest.TestCase):
    def test_seed_fixes_the_plan(self):
        """Guards against a failed seed that can not be replayed."""
        self.assertEqual(plan.draw(7, 20.0), plan.draw(7, 20.0))
        self.assertNotEqual(plan.draw(7, 20.0), plan.draw(8, 20.0))

    def test_every_kind_comes_and_faults_overlap(self):
        """Guards against a soak that never tries a fault."""
        plans = [plan.draw(seed, 20.0) for seed in range(50)]
        kinds = {fault.kind for one in plans for fault in one.faults}
        self.assertEqual(kinds, set(plan.Kind))
        overlaps = [
            later.at_s < earlier.at_s + earlier.for_s
            for one in plans
            for earlier, later in zip(one.faults, one.faults[1:], strict=False)
        ]
        self.assertGreater(sum(overlaps), len(overlaps) / 3)


class CheckTest(unittest.TestCase):
    """Each check sees what it is for."""

    def setUp(self):
        self.checks = checks.Checks()
        for backend_id in RECORDS_BY_BACKEND:
            self.ran('r1', backend_id)

    def ran(self, request_id, backend_id, *, repeatable=True):
        run = checks.Run(backend_id, 0.0)
        self.checks.ran(request_id, run, repeatable=repeatable)

    def merged(self, *signatures, missing=0, body=BODY):
        self.checks.merged(
            'r1',
            checks.Merged(signatures, missing, body),
            SHARDS,
            RECORDS_BY_BACKEND,
            5,
        )
        return self.checks.finish()

    def test_true_answers_pass(self):
        """Guards against checks that see what is not there."""
        self.assertEqual(self.merged('a0.1', 'b0.1'), [])
        self.checks.single('r1', 'r1', 'a0.1', whole=True)
        self.checks.probed('h.1', 2, 404, checks.IN_FORCE_S - 1)
        self.checks.probed('h.1', 2, 200, 0)
        self.checks.leaving_got_work('r1', 'a0', checks.DRAIN_S - 1)
        self.checks.cut('never-run', 'h.1', planned=True)
        self.checks.refused('never-run', 503)
        self.assertEqual(self.checks.finish(), [])

    def test_untrue_coverage_is_seen(self):
        """Guards against shards that are missing and not told."""
        self.assertTrue(self.merged('a0.1', body=BODY[:16]))

    def test_two_parts_of_a_service_are_seen(self):
        """Guards against a shard that counts twice."""
        self.assertTrue(self.merged('b0.1', 'b1.1', body=BODY[16:] * 2))

    def test_other_records_are_seen(self):
        """Guards against an answer with the records of another one."""
        self.assertTrue(self.merged('a0.1', 'b0.1', body=BODY[:16]))

    def test_foreign_parts_are_seen(self):
        """Guards against a part of another request."""
        self.checks.merged(
            'r2',
            checks.Merged(('a0.1', 'b0.1'), 0, BODY),
            SHARDS,
            RECORDS_BY_BACKEND,
            5,
        )
        self.assertTrue(self.checks.finish())

    def test_answer_of_another_request_is_seen(self):
        """Guards against crossed answers."""
        self.checks.single('r1', 'r2', 'a0.1', whole=True)
        self.checks.single('r1', 'r1', 'a0.1', whole=False)
        self.assertEqual(len(self.checks.finish()), 2)

    def test_second_run_is_seen(self):
        """Guards against a payment that runs twice."""
        self.ran('p1', 'a0', repeatable=False)
        self.ran('p1', 'b0', repeatable=False)
        self.assertTrue(self.checks.finish())

    def test_refusal_of_what_runs_later_is_seen(self):
        """Guards against a promise of not run that is broken later."""
        self.checks.refused('p1', 503)
        self.ran('p1', 'a0', repeatable=False)
        self.assertTrue(self.checks.finish())

    def test_late_change_is_seen(self):
        """Guards against a change that is not in force."""
        self.checks.probed('h.1', 2, 404, checks.IN_FORCE_S + 1)
        self.assertTrue(self.checks.finish())

    def test_change_that_goes_back_is_seen(self):
        """Guards against older routes that come back."""
        self.checks.probed('h.1', 3, 200, 0)
        self.checks.probed('h.1', 2, 404, 0)
        self.assertTrue(self.checks.finish())

    def test_late_work_at_a_leaving_backend_server_is_seen(self):
        """Guards against work for a backend server that has left."""
        self.checks.leaving_got_work('r1', 'a0', checks.DRAIN_S + 1)
        self.assertTrue(self.checks.finish())

    def test_cut_request_is_seen(self):
        """Guards against a planned stop that cuts what it took."""
        self.checks.cut('r1', 'h.1', planned=True)
        self.assertTrue(self.checks.finish())

    def test_unanswered_request_is_seen(self):
        """Guards against a host that keeps callers waiting for ever."""
        self.checks.unanswered('r1', 'h.1')
        self.assertTrue(self.checks.finish())

    def test_ended_process_and_lost_service_are_seen(self):
        """Guards against hosts that end, or never serve again."""
        self.checks.ended('h.1', 'status 1')
        self.checks.not_served('h.2', 20)
        self.assertEqual(len(self.checks.finish()), 2)


class DisturbanceTest(unittest.TestCase):
    def test_calm_begins_with_the_last_end(self):
        """Guards against bounds that count while a host is disturbed."""
        found = checks.Disturbances()
        self.assertEqual(found.calm_since('h', 5.0), float('-inf'))
        found.begin('h', 1.0)
        self.assertEqual(found.calm_since('h', 2.0), float('inf'))
        found.begin('h', 2.0)
        found.end('h', 3.0)
        found.end('h', 4.0)
        self.assertEqual(found.calm_since('h', 5.0), 4.0)
        self.assertFalse(found.calm_before('h', 5.0))


if __name__ == '__main__':
    unittest.main()
