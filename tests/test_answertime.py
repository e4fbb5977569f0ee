"""Time to write an answer, by which partial answers are sent earlier."""

import time
import unittest
from unittest import mock

from cardamomflow import answertime, requeststate
from tests import hostworld

ROUTE = 'lookup'


class AnswerTimeTest(unittest.TestCase):
    def setUp(self):
        self.times = answertime.AnswerTime()

    def test_unknown_routes_cost_nothing(self):
        """Guards against answers sent early without a measurement."""
        self.assertEqual(self.times.estimate_s(ROUTE), 0)

    def test_lasting_cost_is_learned(self):
        """Guards against partial answers that are late on a slow processor."""
        for _ in range(20):
            self.times.record(ROUTE, 0.004)
        self.assertAlmostEqual(self.times.estimate_s(ROUTE), 0.004)

    def test_pause_counts_little(self):
        """Guards against shards that are left out because of one pause."""
        for _ in range(20):
            self.times.record(ROUTE, 0.001)
        self.times.record(ROUTE, 3.0)
        self.assertLess(self.times.estimate_s(ROUTE), 0.004)

    def test_other_routes_are_learned_anew(self):
        """Guards against memory use that grows with each change of routes."""
        self.times.record(ROUTE, 0.004)
        self.times.clear()
        self.assertEqual(self.times.estimate_s(ROUTE), 0)


class PartialAnswerTest(unittest.TestCase):
    def test_slow_merges_make_partial_answers_leave_earlier(self):
        """Guards against partial answers that miss their target.

        Load: queries with one paused shard, on a host that takes 8 ms to write
        an answer.
        """
        merge = requeststate.merge

        def merge_slowly(parts, limit):
            time.sleep(0.008)
            return merge(parts, limit)

        async def scenario(world):
            works = []
            run = world.host.active_requests.run

            async def run_and_record(work):
                works.append(work)
                return await run(work)

            world.host.active_requests.run = run_and_record
            for _ in range(4):
                await world.send_request('/lookup/x')
            return [work.answer_at - work.started_at for work in works]

        with mock.patch.object(requeststate, 'merge', merge_slowly):
            answer_delays_s = hostworld.run_scenario(scenario)
        self.assertLess(answer_delays_s[-1], answer_delays_s[0] - 0.005)


if __name__ == '__main__':
    unittest.main()
