"""The emulator and its experiments."""

import json
import unittest

from click import testing

from lab import (
    bounds,
    deployments,
    experiments,
    scenarios,
    servers,
    timeline,
    worlds,
)
from lab import main as lab_main


def run(scenario, deployment=deployments.serra, decisions='product', seed=1):
    world = worlds.World(deployment(), seed, decisions)
    scenario(world)
    world.run(4.0)
    return world


def totals(world):
    return {
        name: (figures.offered, figures.in_target, dict(figures.ended))
        for name, figures in world.figures_by_kind.items()
    }


class WorldTest(unittest.TestCase):
    def test_seed_fixes_the_run(self):
        """Guards against figures that no one can repeat."""
        first, second = (run(scenarios.steady) for _ in range(2))
        self.assertEqual(totals(first), totals(second))
        self.assertNotEqual(
            totals(first), totals(run(scenarios.steady, seed=2))
        )

    def test_every_request_has_one_end(self):
        """Guards against requests that are lost or counted twice."""
        for decisions in (experiments.PRODUCT, experiments.PLAIN):
            for scenario in scenarios.SCENARIOS_BY_NAME.values():
                world = worlds.World(deployments.serra(), 3, decisions)
                scenario(world)
                world.run(scenarios.LENGTH_S / 2)
                for offered, _, ended in totals(world).values():
                    self.assertEqual(sum(ended.values()), offered)

    def test_work_is_never_run_for_what_is_not_repeatable_twice(self):
        """Guards against a model that hides a second run."""
        world = run(scenarios.return_of_all)
        statements = [
            server.runs
            for server in world.servers_by_id.values()
            if server.service.name == 'statements'
        ]
        offered = world.figures_by_kind['statement'].offered
        self.assertLessEqual(sum(statements), offered)


class BackendServerTest(unittest.TestCase):
    def setUp(self):
        self.clock = timeline.Timeline()
        deployment = deployments.serra()
        self.kind = deployment.kinds[0]
        self.server = servers.BackendServer(
            'b', deployment.services[0], 0, self.clock, '1'
        )
        self.replies = []

    def call(self):
        call = servers.Call(self.kind, self.replies.append)
        self.server.arrive(call, 0)
        return call

    def test_full_queue_refuses_without_running(self):
        """Guards against a model without load shedding."""
        service = self.server.service
        for _ in range(service.slots + service.queue + 1):
            self.call()
        (refused,) = self.replies
        self.assertTrue(refused.not_run)
        self.assertEqual(self.server.runs, service.slots)

    def test_cancelled_work_frees_its_slot(self):
        """Guards against slots that callers who left keep."""
        first, _, waiting = [self.call() for _ in range(3)]
        self.assertFalse(waiting.is_running)
        self.server.cancel(first)
        self.assertTrue(waiting.is_running)

    def test_slow_server_has_fewer_working_slots(self):
        """Guards against a bound that counts capacity which is not there."""
        usual = self.server.working_slots
        self.server.faults = servers.Faults(factor=4.0)
        self.assertEqual(self.server.working_slots, usual / 4)
        self.server.faults = servers.Faults(is_dark=True)
        self.assertEqual(self.server.working_slots, 0)


class BoundTest(unittest.TestCase):
    def test_no_decisions_are_above_the_bound(self):
        """Guards against a bound that is none."""
        for case in experiments.cases(
            ('lost_shard', 'return_of_all'),
            deployments.DEPLOYMENTS_BY_NAME,
            1,
            (experiments.PRODUCT, experiments.PLAIN),
        ):
            outcome = experiments.run_case(case)
            self.assertLessEqual(outcome.goodput, outcome.best_goodput)

    def test_capacity_that_is_away_serves_nothing(self):
        """Guards against worth without backend servers."""
        deployment = deployments.serra()
        capacity = bounds.Capacity(deployment)
        for kind in deployment.kinds:
            capacity.arrived(kind, 0.5)
        capacity.sampled({one.name: 0 for one in deployment.services})
        self.assertEqual(capacity.best_goodput(), 0)


class CommandTest(unittest.TestCase):
    def invoke(self, *arguments):
        finished = testing.CliRunner().invoke(lab_main.main, arguments)
        self.assertEqual(finished.exit_code, 0, finished.output)
        return finished.output

    def test_scenarios_are_listed(self):
        """Guards against scenarios that nobody finds."""
        listed = self.invoke('list')
        for name in scenarios.SCENARIOS_BY_NAME:
            self.assertIn(name, listed)

    def test_report_compares_with_the_baseline(self):
        """Guards against a report without a baseline."""
        report = self.invoke(
            'run',
            'straggler',
            '--deployment=serra',
            '--seeds=1',
            f'--against={experiments.PLAIN}',
        )
        for decisions in (experiments.PRODUCT, experiments.PLAIN):
            self.assertIn(f'| serra, straggler | {decisions} |', report)

    def test_figures_are_written_as_json(self):
        """Guards against a baseline of a revision that can't be read."""
        written = self.invoke(
            'run', 'steady', '--deployment=serra', '--seeds=1', '--json'
        )
        (document,) = json.loads(written[written.index('[{') :])
        self.assertEqual(document['case']['scenario'], 'steady')
        self.assertGreater(document['goodput'], 0.9)


if __name__ == '__main__':
    unittest.main()
