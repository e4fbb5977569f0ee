"""Checks of the budget of store calls, alone and used by a ledger."""

import random
import unittest
from unittest import mock

from cardamomflow import budget, claims, core, errors
from tests import ledgerworld

RATE = 8
BURST = RATE * budget.BURST_S
SLOW = ledgerworld.OPTIONS._replace(
    reads_per_s=RATE, writes_per_s=RATE, scan_interval_s=1000
)


def request(key, urgency=budget.Urgency.CALLER, in_turn=False):
    return budget.Request(key, urgency, in_turn)


class CallBudgetTest(unittest.TestCase):
    def setUp(self):
        self.calls = budget.CallBudget(RATE, random.Random(1))

    def spend(self, urgency, now):
        """Start calls until one has to wait; return their number."""
        count = 0
        while self.calls.withdraw(request('spent', urgency), now):
            count += 1
        self.calls.stop_waiting('spent')
        return count

    def test_any_second_stays_below_rate_and_burst(self):
        """Guards against more store calls than the rate allows."""
        generator = random.Random(7)
        started_at = []
        now = 0
        for number in range(2000):
            now += generator.choice((0, 0, 0.01, 0.1, 0.9))
            urgency = generator.choice(list(budget.Urgency))
            if self.calls.withdraw(request(str(number), urgency, True), now):
                started_at.append(now)
            if not generator.randrange(10):
                self.calls.record_outage(now)
            recent = [at for at in started_at if at > now - 1]
            self.assertLessEqual(len(recent), RATE + BURST)

    def test_background_calls_leave_tokens_to_callers(self):
        """Guards against a claim that waits behind a backlog."""
        self.assertEqual(self.spend(budget.Urgency.BACKGROUND, 0), 1)
        self.assertEqual(self.spend(budget.Urgency.CALLER, 0), 1)

    def test_waiting_documents_go_before_new_ones(self):
        """Guards against a claim that is overtaken for ever."""
        self.spend(budget.Urgency.CALLER, 0)
        background = budget.Urgency.BACKGROUND
        self.calls.withdraw(request('scan', background), 0)
        self.calls.withdraw(request('first'), 0)
        self.calls.withdraw(request('second'), 0)
        self.assertFalse(self.calls.withdraw(request('third'), 1))
        self.assertFalse(self.calls.withdraw(request('scan', background), 1))
        self.assertEqual(
            self.calls.waiting_keys(budget.Urgency.CALLER),
            ['first', 'second', 'third'],
        )
        self.assertTrue(self.calls.withdraw(request('first'), 1))

    def test_callers_go_before_background_work(self):
        """Guards against scans that use the tokens of claims."""
        both = budget.StoreBudget(0, 0, random.Random(1))
        for calls in (both.reads, both.writes):
            for urgency in reversed(budget.Urgency):
                calls.withdraw(request('spent'), 0)
                calls.stop_waiting('spent')
                calls.withdraw(request(urgency, urgency), 0)
        self.assertEqual(
            list(both.waiting_keys()),
            ['caller', 'caller', 'background', 'background'],
        )

    def test_processes_resume_at_different_times_after_an_outage(self):
        """Guards against a fleet whose calls all resume at once."""
        resumed_at = set()
        for seed in range(8):
            self.calls = budget.CallBudget(RATE, random.Random(seed))
            self.calls.record_outage(0)
            now = 0
            while not self.spend(budget.Urgency.CALLER, now):
                now += 0.01
            resumed_at.add(round(now, 2))
        self.assertGreaterEqual(len(resumed_at), 5)
        self.assertGreaterEqual(min(resumed_at), 1 / RATE)


class SettingsTest(unittest.TestCase):
    def test_rates_of_the_settings_apply(self):
        """Guards against settings that are ignored, as the fleet grows.

        The default rates are meant for 8 hosts.
        """
        document = {
            'process_id': 'a',
            'platform': {'address': '127.0.0.1', 'port': 1},
            'store_calls': {'writes_per_s': 3},
        }
        with mock.patch.object(core.curio, 'run') as run:
            core._start_aggregator(mock.Mock(load=lambda: document))
        program = run.call_args.args[-1]
        self.assertEqual(program._options.writes_per_s, 3)
        self.assertEqual(program._options.reads_per_s, 150)


class LedgerBudgetTest(unittest.TestCase):
    def setUp(self):
        self.world = ledgerworld.World(('a',), SLOW)
        self.peer = self.world.peers[0]
        self.written_at = []

    def step(self, mode='ok'):
        """Advance time by 20 ms and answer every call."""
        self.world.advance(0.02)
        self._send()
        while self.peer.calls:
            call = self.peer.reply_next(mode)
            if hasattr(call, 'value'):
                self.written_at.append(self.world.now)
            self._send()

    def _send(self):
        for operation in list(self.peer.sends):
            self.world.send(self.peer, operation)
        while self.peer.sent:
            self.world.finish(
                self.peer, self.peer.sent.pop(), errors.Outcome.RUN
            )
        for _ in range(4):
            self.world.claim_accepted(self.peer)

    def submit(self, count, deferred, budget_s):
        """Submit `count` operations, each of another minute."""
        return [
            self.world.submit(
                self.peer,
                'lot-1',
                b'x',
                deferred,
                budget_s,
                ledgerworld.ISSUED_AT - 60 * number,
            )
            for number in range(count)
        ]

    def states(self):
        return [record.state for record in self.world.store.records().values()]

    def test_all_accepted_work_is_run_within_the_rate(self):
        """Guards against accepted work that is lost while it waits."""
        self.submit(60, deferred=True, budget_s=60)
        for step in range(6000):
            # The store is unavailable for 4 s amid the backlog.
            self.step('unavailable' if 1000 <= step < 1200 else 'ok')
        self.assertEqual(len(self.states()), 60)
        self.assertEqual(set(self.states()), {claims.State.RUN})
        for start in self.written_at:
            within_1_s = [at for at in self.written_at if 0 <= at - start < 1]
            self.assertLessEqual(len(within_1_s), RATE + BURST)

    def test_claim_is_not_delayed_behind_a_backlog(self):
        """Guards against a caller that waits for deferred work."""
        self.submit(60, deferred=True, budget_s=60)
        for _ in range(1000):
            self.step()
        self.assertIn(claims.State.ACCEPTED, self.states())
        for number in range(5):
            operation = self.world.submit(
                self.peer, f'urgent-{number}', b'x', budget_s=2
            )
            for _ in range(25):
                self.step()
            self.assertIn(operation.operation_key, self.world.executed_by_key)

    def test_claim_without_a_token_in_time_is_refused(self):
        """Guards against a late send after the caller received `not_run`."""
        operations = self.submit(60, deferred=False, budget_s=1)
        for _ in range(1000):
            self.step()
        outcomes = [
            ledgerworld.outcome_of(
                self.world.answers_by_ticket.get(operation.ticket)
            )
            for operation in operations
        ]
        refused = outcomes.count(errors.Outcome.NOT_RUN)
        self.assertGreater(refused, 0)
        self.assertEqual(refused + len(self.world.executed_by_key), 60)
        self.assertTrue(self.peer.ledger.settled)

    def test_operation_that_waited_too_long_is_claimed_again(self):
        """Guards against accepted work that only a scan claims again."""
        self.submit(1, deferred=True, budget_s=1)
        while not self.states():
            self.step()
        # As if callers had used the tokens of 40 s.
        self.peer.ledger._budget.writes._tokens = -RATE * 40
        self.assertEqual(self.states(), [claims.State.ACCEPTED])
        for _ in range(4500):
            self.step()
        self.assertEqual(self.states(), [claims.State.RUN])

    def test_waiting_scans_do_not_accumulate(self):
        """Guards against memory that grows while callers use all tokens."""
        for _ in range(20):
            self.world.advance(1001)
        states_by_key = self.peer.ledger._writes._states_by_key
        index = states_by_key[claims.index_key(ledgerworld.SERVICE)]
        self.assertEqual(len(index.pending), 1)
