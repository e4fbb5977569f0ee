"""Tests of `OperationRunner` with a faulty platform and a fake dispatcher."""

import os
import pathlib
import random
import subprocess
import sys
import time
import types
import unittest
from unittest import mock

import curio

from cardamomflow import errors, ledger, operations, telemetry
from cardamomflow.generated import wire_pb2


class Entry:
    def __init__(self, value, revision):
        self.value = value
        self.revision = revision


class Conflict(errors.Conflict):
    def __init__(self, present):
        super().__init__('changed by another writer')
        self.present = present


class FakePlatform:
    """In-memory store; `faults` holds the faults of the next writes."""

    def __init__(self):
        self.entries_by_key = {}
        self.revision = 0
        self.down = False
        self.faults = []
        self.written = []

    async def read(self, key):
        await curio.sleep(0)
        self._check()
        return self.entries_by_key.get(key)

    async def compare_and_swap(self, key, value, expected_revision):
        await curio.sleep(0)
        self._check()
        fault = self.faults.pop(0) if self.faults else None
        if fault == 'lost':
            raise errors.OutcomeUnknown('no response')
        present = self.entries_by_key.get(key)
        revision = present.revision if present else 0
        if revision != expected_revision:
            raise Conflict(present)
        self.revision += 1
        entry = Entry(value, self.revision)
        self.entries_by_key[key] = entry
        self.written.append(value)
        if fault == 'lost_answer':
            raise errors.OutcomeUnknown('no response')
        return entry

    async def delete(self, key, expected_revision):
        raise errors.PlatformUnavailable('deletion is not implemented')

    def _check(self):
        if self.down:
            raise errors.PlatformUnavailable('outage')


class FakeDispatcher(operations.Dispatcher):
    def __init__(self):
        self.keys = []
        self.failure = None
        self.duration_s = 0
        self.draining = False

    def accepts_work(self, service):
        return not self.draining

    async def dispatch(self, service, operation_key, payload, budget_s, rank):
        self.keys.append(operation_key)
        await curio.sleep(self.duration_s)
        if self.failure:
            raise self.failure
        return b'{"paid":1}'


class OperationRunnerTest(unittest.TestCase):
    def setUp(self):
        self.platform = FakePlatform()
        self.dispatcher = FakeDispatcher()
        self.issued_at = int(time.time())
        self.clock_jump_s = 0

    def runner(self, claimant='a', **options):
        context = types.SimpleNamespace(
            metrics=telemetry.Metrics(),
            journal=mock.Mock(),
            random=random.Random(claimant),
            clock=lambda: time.monotonic() + self.clock_jump_s,
        )
        runner = operations.OperationRunner(
            ledger.Ledger(claimant, ledger.Options(**options), context.random),
            self.platform,
            self.dispatcher,
            context,
        )
        runner.set_owned_services(['lots-1'])
        return runner

    async def execute(self, runner, key='k', budget_s=2, **fields):
        request = wire_pb2.OperationRequest(
            request_id='r',
            service='lots-1',
            key=key,
            issued_at=self.issued_at,
            payload=b'{}',
            **fields,
        )
        now = time.monotonic() + self.clock_jump_s
        return await runner.execute(request, now + budget_s)

    async def background(self, runner):
        return await curio.spawn(runner.run_background, daemon=True)

    def test_repeat_at_another_owner_gets_the_recorded_result(self):
        """Guards against a second payment when a caller repeats."""

        async def scenario():
            first = self.runner('a')
            await self.background(first)
            answers = [await self.execute(first)]
            self.assertTrue(await first.drain(2))
            second = self.runner('b')
            answers.append(await self.execute(second))
            answers.append(await self.execute(second, lookup=True))
            return answers

        for answer in curio.run(scenario):
            self.assertEqual(answer.outcome, wire_pb2.OUTCOME_RUN)
            self.assertEqual(answer.result, b'{"paid":1}')
        self.assertEqual(len(self.dispatcher.keys), 1)

    def test_idle_runner_ticks_rarely_and_wakes_for_work(self):
        """Guards against idle processor use, and against late outcomes."""
        ticks = []

        async def scenario():
            runner = self.runner()
            await self.background(runner)
            await curio.sleep(2 * operations.IDLE_TICK_S)
            tick = runner.tick
            with mock.patch.object(runner, 'tick', side_effect=tick) as called:
                await curio.sleep(4 * operations.IDLE_TICK_S)
                ticks.append(called.call_count)
                await self.execute(runner)
                while runner._ledger.unwritten_count:
                    await curio.sleep(operations.TICK_S)
                ticks.append(called.call_count)

        curio.run(scenario)
        self.assertLessEqual(ticks[0], 5)
        self.assertGreater(ticks[1], ticks[0] + 1)
        self.assertEqual(len(self.dispatcher.keys), 1)

    def test_race_for_one_key_is_dispatched_once(self):
        """Guards against two owners that send the same operation."""
        self.dispatcher.duration_s = 0.05

        async def scenario():
            tasks = [
                await curio.spawn(self.execute, self.runner(name))
                for name in ('a', 'b', 'c')
            ]
            return [await task.join() for task in tasks]

        codes = sorted(answer.error_code for answer in curio.run(scenario))
        self.assertEqual(codes, ['', 'already_claimed', 'already_claimed'])
        self.assertEqual(len(self.dispatcher.keys), 1)

    def test_lost_answers_do_not_stop_or_double_the_dispatch(self):
        """Guards against a claim that is repeated after a lost answer."""
        for fault in ('lost', 'lost_answer'):
            self.platform.faults = [fault]
            answer = curio.run(self.execute, self.runner(fault), fault)
            self.assertEqual(answer.outcome, wire_pb2.OUTCOME_RUN)
        self.assertEqual(len(self.dispatcher.keys), 2)

    def test_outage_refuses_as_not_run_and_keeps_outcomes(self):
        """Guards against dispatch without a claim and lost outcomes."""

        async def scenario():
            runner = self.runner()
            await self.background(runner)
            self.dispatcher.duration_s = 0.05
            running = await curio.spawn(self.execute, runner)
            await curio.sleep(0.03)
            self.platform.down = True
            answers = [await running.join()]
            answers.append(await self.execute(runner, 'other'))
            self.assertFalse(await runner.drain(0.2))
            self.platform.down = False
            self.assertTrue(await runner.drain(2))
            answers.append(await self.execute(self.runner('b'), lookup=True))
            return answers

        answers = curio.run(scenario)
        self.assertEqual(answers[0].outcome, wire_pb2.OUTCOME_RUN)
        self.assertEqual(answers[1].error_code, 'claims_unavailable')
        self.assertEqual(answers[1].outcome, wire_pb2.OUTCOME_NOT_RUN)
        self.assertEqual(answers[2].outcome, wire_pb2.OUTCOME_RUN)
        self.assertEqual(len(self.dispatcher.keys), 1)

    def test_no_claim_while_all_backend_servers_drain(self):
        """Guards against unsent deferred work that ends as unknown.

        The owner is killed while the operation waits. With a claim, the
        operation would end as unknown although it was not sent.
        """
        self.dispatcher.draining = True

        async def scenario():
            killed = self.runner('a')
            task = await self.background(killed)
            answer = await self.execute(killed, deferred=True)
            await curio.sleep(0.2)
            await task.cancel()
            return answer.outcome, await self.execute(killed, lookup=True)

        accepted, looked_up = curio.run(scenario)
        self.assertEqual(accepted, wire_pb2.OUTCOME_ACCEPTED)
        self.assertEqual(looked_up.outcome, wire_pb2.OUTCOME_ACCEPTED)
        stored = ' '.join(map(str, self.platform.written))
        self.assertNotIn('dispatching', stored)

    def test_not_run_may_be_repeated_and_unknown_may_not(self):
        """Guards against lost work and against a second payment."""

        async def scenario():
            runner = self.runner()
            await self.background(runner)
            codes = []
            for failure in (
                errors.BackendRefused('shed'),
                errors.PeerLost('gone'),
                None,
            ):
                self.dispatcher.failure = failure
                codes.append((await self.execute(runner)).error_code)
                await runner.drain(1)
            return codes

        self.assertEqual(
            curio.run(scenario),
            ['backend_refused', 'peer_lost', 'operation_unresolved'],
        )
        self.assertEqual(len(self.dispatcher.keys), 2)

    def test_calls_over_the_budget_are_counted(self):
        """Guards against a budget that is too small without any metric."""

        async def scenario():
            runner = self.runner(writes_per_s=4)
            await self.background(runner)
            answers = [
                await self.execute(runner, key=key, budget_s=5)
                for key in ('k', 'l')
            ]
            await runner.drain(5)
            return answers, runner._context.metrics.totals_by_name

        answers, counts = curio.run(scenario)
        for answer in answers:
            self.assertEqual(answer.outcome, wire_pb2.OUTCOME_RUN)
        self.assertGreaterEqual(counts['operations.platform_delayed.caller'], 1)

    def test_exception_of_the_dispatcher_ends_as_unknown(self):
        """Guards against a claim that stays in dispatch forever."""
        self.dispatcher.failure = ZeroDivisionError()

        async def scenario():
            runner = self.runner()
            await self.background(runner)
            answer = await self.execute(runner)
            return answer, await runner.drain(1)

        answer, drained = curio.run(scenario)
        self.assertEqual(answer.outcome, wire_pb2.OUTCOME_UNKNOWN)
        self.assertTrue(drained)

    def test_dispatch_continues_when_the_caller_disconnects(self):
        """Guards against an outcome that is lost with the connection."""
        self.dispatcher.duration_s = 0.1

        async def scenario():
            runner = self.runner()
            await self.background(runner)
            caller = await curio.spawn(self.execute, runner)
            await curio.sleep(0.05)
            await caller.cancel()
            await runner.drain(2)
            return await self.execute(runner, lookup=True)

        answer = curio.run(scenario)
        self.assertEqual(answer.outcome, wire_pb2.OUTCOME_RUN)

    def test_paused_claimant_does_not_send(self):
        """Guards against a send long after the claim was stored."""

        async def scenario():
            runner = self.runner()
            swap = self.platform.compare_and_swap

            async def paused_swap(*arguments):
                entry = await swap(*arguments)
                self.clock_jump_s = 3
                return entry

            self.platform.compare_and_swap = paused_swap
            return await self.execute(runner, budget_s=20)

        answer = curio.run(scenario)
        self.assertEqual(answer.error_code, 'dispatch_window_passed')
        self.assertEqual(self.dispatcher.keys, [])

    def test_accepted_operation_is_run_by_the_next_owner(self):
        """Guards against accepted work that is lost with its owner."""
        unix_time = time.time

        async def scenario():
            first = self.runner('a')
            accepted = await self.execute(first, deferred=True)
            second = self.runner('b')
            await self.background(second)
            await curio.sleep(0.1)
            self.assertEqual(self.dispatcher.keys, [])
            self.clock_jump_s = 40
            with mock.patch.object(
                operations.time, 'time', lambda: unix_time() + 40
            ):
                await curio.sleep(0.3)
            return accepted, await self.execute(second, lookup=True)

        accepted, looked_up = curio.run(scenario)
        self.assertEqual(accepted.outcome, wire_pb2.OUTCOME_ACCEPTED)
        self.assertEqual(looked_up.outcome, wire_pb2.OUTCOME_RUN)
        self.assertEqual(len(self.dispatcher.keys), 1)


class ExampleTest(unittest.TestCase):
    def test_example_embeds_the_ledger_without_a_program(self):
        """Guards against a ledger that can't be used without the programs."""
        root = pathlib.Path(__file__).resolve().parent.parent
        completed = subprocess.run(
            [sys.executable, str(root / 'examples' / 'embed_ledger.py')],
            capture_output=True,
            text=True,
            check=True,
            timeout=30,
            env={**os.environ, 'PYTHONPATH': str(root)},
        )
        self.assertEqual(
            completed.stdout.splitlines(),
            ['first call: run', 'repeat: run', 'payments made: 1'],
        )


if __name__ == '__main__':
    unittest.main()
