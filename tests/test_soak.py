"""Tests of the soak test: a seeded run, and a failure of each check."""

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
    def test_seeded_run_has_no_violations(self):
        """Guards against failures when faults overlap in real processes."""
        result = runner.run(SEED, LENGTH_S)
        self.assertEqual(result.violations, [], result.counts)
        self.assertGreater(result.counts['lookup 200'], 0)


class PlanTest(unittest.TestCase):
    def test_seed_fixes_the_plan(self):
        """Guards against a failed seed that cannot be repeated."""
        self.assertEqual(plan.draw(7, 20.0), plan.draw(7, 20.0))
        self.assertNotEqual(plan.draw(7, 20.0), plan.draw(8, 20.0))

    def test_all_kinds_occur_and_faults_overlap(self):
        """Guards against a soak test that never injects some kind of fault."""
        plans = [plan.draw(seed, 20.0) for seed in range(50)]
        kinds = {fault.kind for run_plan in plans for fault in run_plan.faults}
        self.assertEqual(kinds, set(plan.FaultKind))
        overlaps = [
            later.start_s < earlier.start_s + earlier.duration_s
            for run_plan in plans
            for earlier, later in zip(
                run_plan.faults, run_plan.faults[1:], strict=False
            )
        ]
        self.assertGreater(sum(overlaps), len(overlaps) / 3)


class CheckTest(unittest.TestCase):
    """Each check detects its violation."""

    def setUp(self):
        self.checks = checks.Checks()
        for backend_id in RECORDS_BY_BACKEND:
            self.record_execution('r1', backend_id)

    def record_execution(self, request_id, backend_id, *, repeatable=True):
        execution = checks.Execution(backend_id, 0.0)
        self.checks.record_execution(
            request_id, execution, repeatable=repeatable
        )

    def check_merged_answer(self, *stamps, missing=0, body=BODY):
        self.checks.check_merged_answer(
            'r1',
            checks.MergedAnswer(stamps, missing, body),
            SHARDS,
            RECORDS_BY_BACKEND,
            5,
        )
        return self.checks.finish()

    def test_correct_answers_pass(self):
        """Guards against checks that report false violations."""
        self.assertEqual(self.check_merged_answer('a0.1', 'b0.1'), [])
        self.checks.check_single_answer('r1', 'r1', 'a0.1', records_match=True)
        self.checks.check_probe('h.1', 2, 404, checks.PROPAGATION_LIMIT_S - 1)
        self.checks.check_probe('h.1', 2, 200, 0)
        self.checks.check_draining_backend('r1', 'a0', checks.DRAIN_LIMIT_S - 1)
        self.checks.check_closed_connection('never-run', 'h.1', is_planned=True)
        self.checks.record_refusal('never-run', 503)
        self.assertEqual(self.checks.finish(), [])

    def test_wrong_coverage_is_detected(self):
        """Guards against missing shards that the answer does not report."""
        self.assertTrue(self.check_merged_answer('a0.1', body=BODY[:16]))

    def test_two_parts_of_a_service_are_detected(self):
        """Guards against a shard that is counted twice."""
        self.assertTrue(
            self.check_merged_answer('b0.1', 'b1.1', body=BODY[16:] * 2)
        )

    def test_wrong_records_are_detected(self):
        """Guards against an answer whose records do not match its parts."""
        self.assertTrue(
            self.check_merged_answer('a0.1', 'b0.1', body=BODY[:16])
        )

    def test_parts_of_another_request_are_detected(self):
        """Guards against parts that were not run for the request."""
        self.checks.check_merged_answer(
            'r2',
            checks.MergedAnswer(('a0.1', 'b0.1'), 0, BODY),
            SHARDS,
            RECORDS_BY_BACKEND,
            5,
        )
        self.assertTrue(self.checks.finish())

    def test_answer_of_another_request_is_detected(self):
        """Guards against crossed answers."""
        self.checks.check_single_answer('r1', 'r2', 'a0.1', records_match=True)
        self.checks.check_single_answer('r1', 'r1', 'a0.1', records_match=False)
        self.assertEqual(len(self.checks.finish()), 2)

    def test_second_execution_is_detected(self):
        """Guards against a payment that runs twice."""
        self.record_execution('p1', 'a0', repeatable=False)
        self.record_execution('p1', 'b0', repeatable=False)
        self.assertTrue(self.checks.finish())

    def test_refused_request_that_runs_later_is_detected(self):
        """Guards against a refused request that runs later."""
        self.checks.record_refusal('p1', 503)
        self.record_execution('p1', 'a0', repeatable=False)
        self.assertTrue(self.checks.finish())

    def test_late_change_is_detected(self):
        """Guards against a change that is not in force in time."""
        self.checks.check_probe('h.1', 2, 404, checks.PROPAGATION_LIMIT_S + 1)
        self.assertTrue(self.checks.finish())

    def test_return_to_older_version_is_detected(self):
        """Guards against a host that returns to older routes."""
        self.checks.check_probe('h.1', 3, 200, 0)
        self.checks.check_probe('h.1', 2, 404, 0)
        self.assertTrue(self.checks.finish())

    def test_late_request_on_draining_backend_server_is_detected(self):
        """Guards against late requests to a draining backend server."""
        self.checks.check_draining_backend('r1', 'a0', checks.DRAIN_LIMIT_S + 1)
        self.assertTrue(self.checks.finish())

    def test_closed_connection_is_detected(self):
        """Guards against a planned stop that ends accepted requests."""
        self.checks.check_closed_connection('r1', 'h.1', is_planned=True)
        self.assertTrue(self.checks.finish())

    def test_unanswered_request_is_detected(self):
        """Guards against a host that never answers."""
        self.checks.record_unanswered('r1', 'h.1')
        self.assertTrue(self.checks.finish())

    def test_exited_process_and_missing_recovery_are_detected(self):
        """Guards against hosts that exit or do not recover."""
        self.checks.record_process_failure('h.1', 'status 1')
        self.checks.record_no_recovery('h.2', 20)
        self.assertEqual(len(self.checks.finish()), 2)


class DisturbanceTest(unittest.TestCase):
    def test_undisturbed_since_end_of_last_disturbance(self):
        """Guards against limits that run while a host is disturbed."""
        disturbances = checks.Disturbances()
        self.assertEqual(
            disturbances.undisturbed_since('h', 5.0), float('-inf')
        )
        disturbances.begin('h', 1.0)
        self.assertEqual(disturbances.undisturbed_since('h', 2.0), float('inf'))
        disturbances.begin('h', 2.0)
        disturbances.end('h', 3.0)
        disturbances.end('h', 4.0)
        self.assertEqual(disturbances.undisturbed_since('h', 5.0), 4.0)
        self.assertFalse(disturbances.was_undisturbed_before('h', 5.0))


if __name__ == '__main__':
    unittest.main()
