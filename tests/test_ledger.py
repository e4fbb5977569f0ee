"""Claims of operations over a faulty store, in virtual time."""

import unittest

import hypothesis
from hypothesis import stateful, strategies

from cardamomflow import claims, errors
from tests import ledgerworld

KEYS = ('lot-1', 'lot-2')
MODES = ('ok', 'ok', 'ok', 'lost', 'lost_answer', 'delayed', 'unavailable')
OUTCOMES = (errors.Outcome.RUN, errors.Outcome.NOT_RUN, errors.Outcome.UNKNOWN)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Three owners of one service, with any order of faults."""

    ledger_options = ledgerworld.OPTIONS

    def __init__(self):
        super().__init__()
        self.world = ledgerworld.World(('a', 'b', 'c'), self.ledger_options)
        self.given_up = self.world.given_up

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
            self.given_up.add(operation.operation_key)
        self.world.finish(owner, operation, outcome)

    @stateful.precondition(lambda machine: machine.may_take())
    @stateful.rule()
    def take(self):
        for owner in self.may_take():
            self.world.take(owner)

    @stateful.rule(
        duration_s=strategies.sampled_from((0.06, 0.06, 0.5, 3, 35)),
        paused=strategies.sets(peers, max_size=2),
    )
    def advance(self, duration_s, paused):
        awake = [
            peer
            for number, peer in enumerate(self.world.peers)
            if number not in paused
        ]
        self.world.advance(duration_s, awake)

    @stateful.rule()
    def advance_beyond_expiry(self):
        self.given_up.update(self._dispatching())
        self.world.advance(400)

    @stateful.precondition(lambda machine: machine.world.delayed)
    @stateful.rule(pick=picks)
    def apply_delayed_write(self, pick):
        late = self.world.delayed.pop(pick % len(self.world.delayed))
        self._apply(late)

    @stateful.rule(peer=peers, effect=strategies.booleans())
    def crash(self, peer, effect):
        owner = self.world.peers[peer]
        for call in owner.calls:
            if effect and hasattr(call, 'value'):
                self.world.delayed.append(
                    (call.key, call.value, call.expected_revision)
                )
        self.given_up.update(self._dispatching())
        owner.restart()

    @stateful.invariant()
    def open_deferred_claims_are_listed(self):
        self.world.check_listing()
        self.world.note_expired()

    def teardown(self):
        """Everything ends: nothing stays open, accepted work is run."""
        self.given_up.update(self._dispatching())
        for late in self.world.delayed:
            self._apply(late)
        self.world.settle()
        records = self.world.store.records()
        for key, record in records.items():
            self._check_end(key, record)
        for answer in self.world.answers_by_ticket.values():
            if ledgerworld.outcome_of(answer) == errors.Outcome.ACCEPTED:
                key = answer.operation.operation_key
                state = records[key].state
                assert state in {claims.State.RUN, claims.State.UNKNOWN}, key

    def _apply(self, late):
        """Apply a write so late that a claim in it may be expired."""
        self.world.store.change(*late)
        self.world.note_expired()

    def open_calls(self):
        return self._pairs('calls')

    def open_sends(self):
        return self._pairs('sends')

    def open_ends(self):
        return self._pairs('sent')

    def may_take(self):
        return [
            peer
            for peer in self.world.peers
            if peer.ledger.may_take(self.world.now)
        ]

    def _pairs(self, name):
        return [
            (peer, found)
            for peer in self.world.peers
            for found in getattr(peer, name)
        ]

    def _check_end(self, key, record):
        """An open or unknown end needs a claimant that crashed or told so."""
        if record.state is claims.State.RUN:
            assert key in self.world.executed_by_key, key
            return
        if record.state is claims.State.NOT_RUN:
            assert key not in self.world.executed_by_key, key
            return
        living = {peer.ledger.claimant for peer in self.world.peers}
        excused = key in self.given_up or record.claimant not in living
        assert excused, (key, record)
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
    """Guards against two sends, untrue `not_run` and lost outcomes."""

    settings = SETTINGS


class SlowLedgerMachine(LedgerMachine):
    """The same while most calls wait for a token of the budget."""

    ledger_options = ledgerworld.OPTIONS._replace(reads_per_s=3, writes_per_s=3)


class SlowLedgerMachineTest(SlowLedgerMachine.TestCase):
    """Guards against the same faults of work that had to wait."""

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
        found = self.world.store.records()
        return found[f'lots-1/{ledgerworld.ISSUED_AT}/{key}'].state

    def answer(self, operation):
        return self.world.answers_by_ticket.get(operation.ticket)

    def test_not_run_is_told_after_the_fence_only(self):
        """Guards against a lost claim that appears after `not_run`."""
        asked = self.world.submit(self.first, 'lot-1', b'x', budget_s=9)
        self.first.reply_next()
        self.first.reply_next('delayed')
        self.world.advance(2.5, [self.first])
        self.first.reply_next()
        self.assertIsNone(self.answer(asked))
        self.first.reply_next()
        self.assertEqual(
            self.answer(asked).error.code, 'dispatch_window_passed'
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
        """Guards against 202 for work whose acceptance was not stored."""
        asked = [
            self.world.submit(self.first, 'lot-1', b'x', deferred=True)
            for _ in range(2)
        ]
        # The conflict shows both calls a view that is newer than they are.
        self.first.reply_next()
        self.world.submit(self.second, 'lot-2', b'x')
        self.second.reply_all()
        modes = ['ok']
        while self.first.calls:
            call = self.first.calls[0]
            writes_bucket = call.key == asked[0].bucket and hasattr(
                call, 'value'
            )
            mode = 'ok'
            if writes_bucket:
                mode = modes.pop() if modes else 'unavailable'
            self.first.reply_next(mode)
        for operation in asked:
            self.assertEqual(
                self.answer(operation).error.code, 'claims_unavailable'
            )

    def test_late_outcome_replaces_unknown(self):
        """Guards against a paid operation that stays without its record."""
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
        """Guards against a run that stays unrecorded after an outage."""
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
        """Guards against a result that answers other work."""
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
        """Guards against a claim whose predecessor is deleted already."""
        for issued_at in (-86_401, 61):
            operation = claims.Operation(
                'lots-1', 'lot-1', ledgerworld.UNIX_OFFSET + issued_at, b'x', 9
            )
            (refusal,) = self.first.ledger.claim(operation, 0)
            self.assertEqual(refusal.error.code, 'claim_expired')


class ListingTest(unittest.TestCase):
    def setUp(self):
        """Run one deferred operation, so that its bucket may be closed."""
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

    def test_own_removal_ends_the_entry_of_a_call_that_gave_up(self):
        """Guards against acceptance under an entry this process removed."""
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

    def test_removal_between_entry_and_acceptance_is_noticed(self):
        """Guards against acceptance under an entry that is gone."""
        self.first.reply_all()
        asked = self.world.submit(self.second, 'lot-2', b'x', deferred=True)
        self.reply_until_store(self.second, asked.bucket)
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
        states = {found.state for found in world.store.records().values()}
        self.assertEqual(states, {claims.State.RUN})
        self.assertEqual(peer.ledger.unwritten, 0)

    def test_refused_deferred_work_is_retried_ever_more_slowly(self):
        """Guards against a store overrun by work that nobody can take."""
        world = ledgerworld.World(('a',))
        peer = world.peers[0]
        for key in ('lot-1', 'lot-2', 'lot-3'):
            world.submit(peer, key, b'x', deferred=True)
        attempts = 0
        for _ in range(600):
            world.advance(0.1)
            peer.reply_all()
            world.take(peer)
            peer.reply_all()
            while peer.sends:
                attempts += 1
                operation = peer.sends.pop()
                world.finish(peer, operation, errors.Outcome.NOT_RUN)
        self.assertLessEqual(attempts, 8)
        self.assertGreaterEqual(attempts, 4)
        states = {found.state for found in world.store.records().values()}
        self.assertEqual(states, {claims.State.ACCEPTED})

    def test_unreadable_bucket_refuses_and_recovers(self):
        """Guards against a claim on a document that is not understood."""
        world = ledgerworld.World(('a',))
        peer = world.peers[0]
        bucket = claims.bucket_key('lots-1', ledgerworld.ISSUED_AT // 60)
        world.store.entries_by_key[bucket] = (b'[]', 1)
        asked = world.submit(peer, 'lot-1', b'x')
        peer.reply_all()
        answer = world.answers_by_ticket[asked.ticket]
        self.assertEqual(answer.error.code, 'claims_unavailable')
        world.store.entries_by_key[bucket] = (b'{}', 2)
        world.store.revision = 2
        world.advance(1)
        world.submit(peer, 'lot-1', b'x')
        peer.reply_all()
        self.assertEqual(len(peer.sends), 1)

    def test_bucket_is_deleted_after_the_retention_unless_open(self):
        """Guards against growth, and against deletion of accepted work."""
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
