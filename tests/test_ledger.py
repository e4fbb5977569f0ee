"""Tests of the ledger with a faulty store, in virtual time."""

import unittest

import hypothesis
from hypothesis import stateful, strategies

from cardamomflow import claims, errors
from tests import ledgerworld

KEYS = ('lot-1', 'lot-2')
MODES = ('ok', 'ok', 'ok', 'lost', 'lost_answer', 'delayed', 'unavailable')
OUTCOMES = (errors.Outcome.RUN, errors.Outcome.NOT_RUN, errors.Outcome.UNKNOWN)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Three owners of one service, with faults in any order."""

    ledger_options = ledgerworld.OPTIONS

    def __init__(self):
        super().__init__()
        self.world = ledgerworld.World(('a', 'b', 'c'), self.ledger_options)
        self.may_end_unknown = self.world.may_end_unknown

    peers = strategies.integers(0, 2)
    picks = strategies.integers(0, 7)

    @stateful.rule(
        peer=peers,
        key=strategies.sampled_from(KEYS),
        payload=strategies.sampled_from((b'x', b'x', b'x', b'y')),
        deferred=strategies.booleans(),
    )
    def submit(self, peer, key, payload, deferred):
        self.world.submit(self.world.peers[peer], key, payload, deferred)

    @stateful.precondition(lambda machine: machine.open_calls())
    @stateful.rule(pick=picks, mode=strategies.sampled_from(MODES))
    def reply(self, pick, mode):
        calls = self.open_calls()
        owner, call = calls[pick % len(calls)]
        owner.calls.remove(call)
        owner.reply(call, mode)

    @stateful.precondition(lambda machine: machine.open_calls())
    @stateful.rule(pick=picks, mode=strategies.sampled_from(MODES))
    def reply_to_first_write(self, pick, mode):
        calls = [
            (owner, call)
            for owner, call in self.open_calls()
            if hasattr(call, 'value')
        ]
        if calls:
            owner, call = calls[pick % len(calls)]
            owner.calls.remove(call)
            owner.reply(call, mode)

    @stateful.precondition(lambda machine: machine.open_calls())
    @stateful.rule()
    def reply_to_all_reads(self):
        for owner, call in self.open_calls():
            if not hasattr(call, 'value'):
                owner.calls.remove(call)
                owner.reply(call, 'ok')

    @stateful.precondition(lambda machine: machine.open_calls())
    @stateful.rule(peer=peers)
    def reply_to_all(self, peer):
        owner = self.world.peers[peer]
        for _ in range(20):
            if owner.calls:
                owner.reply(owner.calls.pop(0), 'ok')

    @stateful.precondition(lambda machine: machine.open_sends())
    @stateful.rule(pick=picks)
    def send(self, pick):
        sends = self.open_sends()
        self.world.send(*sends[pick % len(sends)])

    @stateful.precondition(lambda machine: machine.open_ends())
    @stateful.rule(pick=picks, outcome=strategies.sampled_from(OUTCOMES))
    def finish(self, pick, outcome):
        ends = self.open_ends()
        owner, operation = ends[pick % len(ends)]
        owner.sent.remove(operation)
        if outcome is errors.Outcome.NOT_RUN:
            # The backend server proved that it did not start.
            del self.world.executed_by_key[operation.operation_key]
            self.world.sent_tickets.discard(operation.ticket)
        if outcome is errors.Outcome.UNKNOWN:
            self.may_end_unknown.add(operation.operation_key)
        self.world.finish(owner, operation, outcome)

    @stateful.precondition(lambda machine: machine.may_claim_accepted())
    @stateful.rule()
    def take(self):
        for owner in self.may_claim_accepted():
            self.world.claim_accepted(owner)

    @stateful.rule(
        duration_s=strategies.sampled_from((0.06, 0.06, 0.5, 3, 35)),
        paused=strategies.sets(peers, max_size=2),
    )
    def advance(self, duration_s, paused):
        active = [
            peer
            for number, peer in enumerate(self.world.peers)
            if number not in paused
        ]
        self.world.advance(duration_s, active)

    @stateful.rule()
    def advance_beyond_expiry(self):
        self.may_end_unknown.update(self._dispatching())
        self.world.advance(400)

    @stateful.precondition(lambda machine: machine.world.delayed)
    @stateful.rule(pick=picks)
    def apply_delayed_write(self, pick):
        write = self.world.delayed.pop(pick % len(self.world.delayed))
        self._apply_delayed(write)

    @stateful.rule(peer=peers, effect=strategies.booleans())
    def crash(self, peer, effect):
        owner = self.world.peers[peer]
        for call in owner.calls:
            if effect and hasattr(call, 'value'):
                self.world.delayed.append(
                    (call.key, call.value, call.expected_revision)
                )
        self.may_end_unknown.update(self._dispatching())
        owner.restart()

    @stateful.invariant()
    def open_deferred_claims_are_listed(self):
        self.world.check_listing()
        self.world.record_expired_claims()

    def teardown(self):
        """Let all work end; check that it ended and accepted work ran."""
        self.may_end_unknown.update(self._dispatching())
        for write in self.world.delayed:
            self._apply_delayed(write)
        self.world.settle()
        records = self.world.store.records()
        for key, record in records.items():
            self._check_end(key, record)
        for answer in self.world.answers_by_ticket.values():
            if ledgerworld.outcome_of(answer) == errors.Outcome.ACCEPTED:
                key = answer.operation.operation_key
                state = records[key].state
                assert state in {claims.State.RUN, claims.State.UNKNOWN}, key

    def _apply_delayed(self, write):
        """Apply a delayed write; claims in it may be expired by now."""
        self.world.store.change(*write)
        self.world.record_expired_claims()

    def open_calls(self):
        return self._pairs('calls')

    def open_sends(self):
        return self._pairs('sends')

    def open_ends(self):
        return self._pairs('sent')

    def may_claim_accepted(self):
        return [
            peer
            for peer in self.world.peers
            if peer.ledger.may_claim_accepted(self.world.now)
        ]

    def _pairs(self, name):
        return [
            (peer, item)
            for peer in self.world.peers
            for item in getattr(peer, name)
        ]

    def _check_end(self, key, record):
        """Check that an open or unknown claim has a reason to end so.

        Its claimant crashed, its outcome was unknown, or it expired.
        """
        if record.state is claims.State.RUN:
            assert key in self.world.executed_by_key, key
            return
        if record.state is claims.State.NOT_RUN:
            assert key not in self.world.executed_by_key, key
            return
        living = {peer.ledger.claimant for peer in self.world.peers}
        is_expected = (
            key in self.may_end_unknown or record.claimant not in living
        )
        assert is_expected, (key, record)
        if record.deferred:
            assert record.state is claims.State.UNKNOWN, (key, record)

    def _dispatching(self):
        return [
            key
            for key, record in self.world.store.records().items()
            if record.state is claims.State.DISPATCHING
        ]


SETTINGS = hypothesis.settings(
    max_examples=300,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    phases=(hypothesis.Phase.generate,),
    report_multiple_bugs=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class LedgerMachineTest(LedgerMachine.TestCase):
    """Guards against double sends, false `not_run` and lost outcomes."""

    settings = SETTINGS


class SlowLedgerMachine(LedgerMachine):
    """The same with a budget so small that most calls wait for a token."""

    ledger_options = ledgerworld.OPTIONS._replace(reads_per_s=3, writes_per_s=3)


class SlowLedgerMachineTest(SlowLedgerMachine.TestCase):
    """Guards against the same faults while work waits for the budget."""

    settings = SETTINGS


class LostWriteTest(unittest.TestCase):
    def setUp(self):
        self.world = ledgerworld.World(('a', 'b'))
        self.first = self.world.peers[0]
        self.second = self.world.peers[1]
        for peer in self.world.peers:
            self.world.advance(0, [peer])
            peer.reply_all()

    def state(self, key='lot-1'):
        records = self.world.store.records()
        return records[f'lots-1/{ledgerworld.ISSUED_AT}/{key}'].state

    def answer(self, operation):
        return self.world.answers_by_ticket.get(operation.ticket)

    def test_not_run_is_reported_only_after_the_fence(self):
        """Guards against a lost write that takes effect after `not_run`."""
        operation = self.world.submit(self.first, 'lot-1', b'x', budget_s=9)
        self.first.reply_next()
        self.first.reply_next('delayed')
        self.world.advance(2.5, [self.first])
        self.first.reply_next()
        self.assertIsNone(self.answer(operation))
        self.first.reply_next()
        self.assertEqual(
            self.answer(operation).error.code, 'dispatch_window_passed'
        )
        self.assertFalse(self.world.store.change(*self.world.delayed[0]))
        self.assertEqual(self.state(), claims.State.NOT_RUN)

    def test_claim_is_confirmed_by_a_read_that_shows_its_token(self):
        """Guards against a claim that stays unused after a lost answer."""
        self.world.submit(self.first, 'lot-1', b'x')
        self.first.reply_next()
        self.first.reply_next('lost_answer')
        self.assertEqual(self.first.sends, [])
        self.first.reply_next()
        self.assertEqual(len(self.first.sends), 1)

    def test_outcome_of_an_old_attempt_does_not_touch_the_next_claim(self):
        """Guards against a second send after a late `not_run`."""
        self.world.submit(self.first, 'lot-1', b'x')
        self.first.reply_all()
        operation = self.first.sends.pop()
        self.world.finish(self.first, operation, errors.Outcome.NOT_RUN)
        self.world.advance(0.1, [self.first])
        self.first.reply_next('lost_answer')
        self.world.submit(self.second, 'lot-1', b'x')
        self.second.reply_all()
        self.first.reply_all()
        self.assertEqual(self.state(), claims.State.DISPATCHING)

    def test_answer_on_top_of_an_unconfirmed_write_waits_for_it(self):
        """Guards against status 202 for work that was not stored."""
        operations = [
            self.world.submit(self.first, 'lot-1', b'x', deferred=True)
            for _ in range(2)
        ]
        # The second peer causes a conflict, after which the first peer has a
        # view that is newer than both calls.
        self.first.reply_next()
        self.world.submit(self.second, 'lot-2', b'x')
        self.second.reply_all()
        modes = ['ok']
        while self.first.calls:
            call = self.first.calls[0]
            writes_bucket = call.key == operations[0].bucket and hasattr(
                call, 'value'
            )
            mode = 'ok'
            if writes_bucket:
                mode = modes.pop() if modes else 'unavailable'
            self.first.reply_next(mode)
        for operation in operations:
            self.assertEqual(
                self.answer(operation).error.code, 'claims_unavailable'
            )

    def test_late_outcome_replaces_unknown(self):
        """Guards against an operation that ran but stays unknown."""
        self.world.submit(self.first, 'lot-1', b'x')
        self.first.reply_all()
        self.world.send(self.first, self.first.sends[0])
        self.world.advance(400, [])
        repeat = self.world.submit(self.second, 'lot-1', b'x')
        self.second.reply_all()
        self.assertEqual(self.answer(repeat).record.state, claims.State.UNKNOWN)
        self.world.finish(self.first, self.first.sent.pop(), errors.Outcome.RUN)
        self.world.advance(1, [self.first])
        self.first.reply_all()
        self.assertEqual(self.state(), claims.State.RUN)

    def test_outcome_is_written_after_a_slow_write_and_a_failed_read(self):
        """Guards against an outcome that is not recorded after an outage."""
        self.world.submit(self.first, 'lot-1', b'x')
        self.first.reply_all()
        self.world.send(self.first, self.first.sends[0])
        self.world.finish(self.first, self.first.sent.pop(), errors.Outcome.RUN)
        for _ in range(3):
            self.world.advance(0.1, [self.first])
        self.first.reply_next('lost')
        self.first.reply_next('unavailable')
        self.world.advance(1, [self.first])
        self.first.reply_all()
        self.assertEqual(self.state(), claims.State.RUN)
        self.assertTrue(self.first.ledger.settled)

    def test_key_with_another_payload_is_refused(self):
        """Guards against returning the result of other work."""
        self.world.submit(self.first, 'lot-1', b'x')
        self.world.settle(3)
        for peer in self.world.peers:
            other = self.world.submit(peer, 'lot-1', b'y')
            self.world.settle(3)
            self.assertEqual(self.answer(other).error.code, 'key_reused')
        repeat = self.world.submit(self.second, 'lot-1', b'x')
        self.world.settle(1)
        self.assertEqual(self.answer(repeat).record.result, b'done')

    def test_issued_at_out_of_range_is_refused(self):
        """Guards against a second run after the first claim was deleted."""
        for issued_at in (-86_401, 61):
            operation = claims.Operation(
                'lots-1', 'lot-1', ledgerworld.UNIX_OFFSET + issued_at, b'x', 9
            )
            (refusal,) = self.first.ledger.claim(operation, 0)
            self.assertEqual(refusal.error.code, 'claim_expired')


class ListingTest(unittest.TestCase):
    def setUp(self):
        """Run one deferred operation and wait until its bucket may close."""
        self.world = ledgerworld.World(('a', 'b'))
        self.first = self.world.peers[0]
        self.second = self.world.peers[1]
        self.world.submit(self.first, 'lot-1', b'x', deferred=True)
        for _ in range(3):
            self.world.settle_peer(self.first)
            self.world.advance(20, [self.first])
        self.world.settle_peer(self.first)
        self.world.advance(400, [self.first])

    def reply_until_store(self, peer, key):
        for _ in range(20):
            call = peer.calls[0]
            if call.key == key and hasattr(call, 'value'):
                return
            peer.reply_next()
        self.fail(f'no write to {key}')

    def test_entry_of_another_owner_survives_the_removal(self):
        """Guards against accepted work that no scan finds."""
        index = claims.index_key('lots-1')
        self.reply_until_store(self.first, index)
        self.world.submit(self.second, 'lot-2', b'x', deferred=True)
        self.second.reply_all()
        self.first.reply_all()
        self.assertEqual(len(self.world.store.records()), 2)
        self.world.check_listing()

    def test_own_removal_invalidates_the_entry_of_an_abandoned_call(self):
        """Guards against acceptance with an entry that this peer removed."""
        world = ledgerworld.World(('a',))
        peer = world.peers[0]
        world.submit(peer, 'lot-1', b'x', deferred=True)
        while peer.calls[0].key != claims.index_key('lots-1'):
            peer.reply_next()
        world.advance(400)
        peer.reply_all()
        world.submit(peer, 'lot-1', b'x', deferred=True)
        peer.reply_all()
        self.assertEqual(len(world.store.records()), 1)
        world.check_listing()

    def test_removal_between_entry_and_acceptance_is_detected(self):
        """Guards against acceptance with an entry that another peer removed."""
        self.first.reply_all()
        operation = self.world.submit(self.second, 'lot-2', b'x', deferred=True)
        self.reply_until_store(self.second, operation.bucket)
        self.world.advance(20, [self.first])
        self.first.reply_all()
        self.second.reply_all()
        self.assertEqual(len(self.world.store.records()), 2)
        self.world.check_listing()


class BoundsTest(unittest.TestCase):
    def test_outcomes_are_kept_in_an_outage_up_to_the_bound(self):
        """Guards against lost outcomes and against unbounded memory."""
        world = ledgerworld.World(
            ('a',), ledgerworld.OPTIONS._replace(maximum_unwritten=2)
        )
        peer = world.peers[0]
        for key in ('lot-1', 'lot-2'):
            world.submit(peer, key, b'x', budget_s=60)
        peer.reply_all()
        for operation in list(peer.sends):
            world.send(peer, operation)
            world.finish(peer, peer.sent.pop(), errors.Outcome.RUN)
        for _ in range(5):
            world.advance(1)
            peer.reply_all('unavailable')
        world.advance(0.2)
        refused = world.submit(peer, 'lot-3', b'x')
        answer = world.answers_by_ticket[refused.ticket]
        self.assertEqual(answer.error.outcome, errors.Outcome.NOT_RUN)
        world.advance(1)
        refused = world.submit(peer, 'lot-3', b'x')
        answer = world.answers_by_ticket[refused.ticket]
        self.assertEqual(answer.error.code, 'outcomes_backlog')
        world.settle(3)
        states = {record.state for record in world.store.records().values()}
        self.assertEqual(states, {claims.State.RUN})
        self.assertEqual(peer.ledger.unwritten_count, 0)

    def test_refused_deferred_work_is_retried_with_growing_delays(self):
        """Guards against a store overloaded by retries of refused work."""
        world = ledgerworld.World(('a',))
        peer = world.peers[0]
        for key in ('lot-1', 'lot-2', 'lot-3'):
            world.submit(peer, key, b'x', deferred=True)
        attempts = 0
        for _ in range(600):
            world.advance(0.1)
            peer.reply_all()
            world.claim_accepted(peer)
            peer.reply_all()
            while peer.sends:
                attempts += 1
                operation = peer.sends.pop()
                world.finish(peer, operation, errors.Outcome.NOT_RUN)
        self.assertLessEqual(attempts, 8)
        self.assertGreaterEqual(attempts, 4)
        states = {record.state for record in world.store.records().values()}
        self.assertEqual(states, {claims.State.ACCEPTED})

    def test_unreadable_bucket_refuses_and_recovers(self):
        """Guards against a claim in a document that can't be decoded."""
        world = ledgerworld.World(('a',))
        peer = world.peers[0]
        bucket = claims.bucket_key('lots-1', ledgerworld.ISSUED_AT // 60)
        world.store.entries_by_key[bucket] = (b'[]', 1)
        operation = world.submit(peer, 'lot-1', b'x')
        peer.reply_all()
        answer = world.answers_by_ticket[operation.ticket]
        self.assertEqual(answer.error.code, 'claims_unavailable')
        world.store.entries_by_key[bucket] = (b'{}', 2)
        world.store.revision = 2
        world.advance(1)
        world.submit(peer, 'lot-1', b'x')
        peer.reply_all()
        self.assertEqual(len(peer.sends), 1)

    def test_bucket_is_deleted_after_the_retention_unless_open(self):
        """Guards against growing storage and deletion of accepted work."""
        options = ledgerworld.OPTIONS._replace(sweep_interval_s=1)
        for deferred in (False, True):
            world = ledgerworld.World(('a',), options)
            peer = world.peers[0]
            world.submit(peer, 'lot-1', b'x', deferred)
            peer.reply_all()
            peer.sends.clear()
            world.advance(86_400 + 600 + 120)
            for _ in range(70):
                peer.reply_all()
                world.advance(1)
            self.assertEqual(len(world.store.records()), int(deferred))


if __name__ == '__main__':
    unittest.main()
