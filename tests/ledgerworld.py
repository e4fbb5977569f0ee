"""Faulty store and ledgers in virtual time, for tests of claims."""

import json
import random

from cardamomflow import claims, errors, ledger, ledgereffects, writes

SERVICE = 'lots-1'
UNIX_OFFSET = 1_790_000_000
ISSUED_AT = UNIX_OFFSET
OPTIONS = ledger.Options(scan_interval_s=15, sweep_interval_s=1e9)
STATE = claims.State

# Next states that a stored claim may have.
TRANSITIONS = {
    STATE.ACCEPTED: {STATE.DISPATCHING},
    STATE.DISPATCHING: {
        STATE.RUN,
        STATE.NOT_RUN,
        STATE.UNKNOWN,
        STATE.ACCEPTED,
    },
    STATE.UNKNOWN: {STATE.RUN, STATE.NOT_RUN},
    STATE.NOT_RUN: {STATE.DISPATCHING, STATE.ACCEPTED},
    STATE.RUN: set(),
}


class Store:
    """In-memory store that checks every change of a claim."""

    def __init__(self):
        self.entries_by_key = {}
        self.previous_by_key = {}
        self.revision = 0

    def read(self, key):
        return self.entries_by_key.get(key, (None, 0))

    def change(self, key, value, expected):
        """Apply a change; return whether the revision was as expected."""
        if self.read(key)[1] != expected:
            return False
        self._check(key, value)
        self.revision += 1
        self.previous_by_key[key] = self.read(key)
        if value is None:
            del self.entries_by_key[key]
        else:
            self.entries_by_key[key] = (value, self.revision)
        return True

    def records(self):
        """Return all claims by operation key."""
        records = {}
        for key, (value, _) in self.entries_by_key.items():
            if key.startswith('claims/open/'):
                continue
            for member, stored in json.loads(value).items():
                if member != claims.LISTED:
                    service = key.split('/')[2]
                    record = claims.Record.decode(stored)
                    records[f'{service}/{member}'] = record
        return records

    def _check(self, key, value):
        if key.startswith('claims/open/') or value is None:
            return
        before = json.loads(self.read(key)[0] or '{}')
        after = json.loads(value)
        for member, stored in before.items():
            if member == claims.LISTED:
                continue
            assert member in after, f'{member} was lost'
            _check_claim(
                claims.Record.decode(stored),
                claims.Record.decode(after[member]),
            )


def _check_claim(old, new):
    if old.state is new.state:
        # A claimant may release its attempt and claim again in one write;
        # `World.send` checks that the released one was not sent.
        released = old.state is STATE.NOT_RUN or old.claimant == new.claimant
        assert old.token == new.token or released, 'taken over'
        assert old.result == new.result, 'a result was changed'
        return
    allowed = set(TRANSITIONS[old.state])
    if STATE.NOT_RUN in allowed and old.claimant == new.claimant:
        # Released and claimed again in one write, as above.
        allowed |= TRANSITIONS[STATE.NOT_RUN]
    assert new.state in allowed, f'{old.state} to {new.state}'


class Peer:
    """A ledger with the open calls and sends of its process."""

    def __init__(self, name, store, world, options):
        self.name = name
        self.store = store
        self.world = world
        self.options = options
        self.generation = 0
        self.restart()

    def restart(self):
        """Replace the ledger with a new one, as after a crash."""
        self.generation += 1
        claimant = f'{self.name}-{self.generation}'
        self.ledger = ledger.Ledger(
            claimant, self.options, random.Random(claimant)
        )
        self.ledger.synchronize(0, UNIX_OFFSET)
        self.ledger.set_owned_services([SERVICE])
        self.calls = []
        self.sends = []
        self.sent = []

    def perform(self, actions):
        for action in actions:
            if isinstance(action, ledger.Dispatch):
                self.sends.append(action.operation)
            elif isinstance(
                action, ledgereffects.Refuse | ledgereffects.Resolved
            ):
                self.world.record_answer(action)
            else:
                self.calls.append(action)

    def reply_next(self, mode='ok'):
        """Answer the oldest call and return it."""
        call = self.calls.pop(0)
        self.reply(call, mode)
        return call

    def reply_all(self, mode='ok'):
        while self.calls:
            self.reply_next(mode)

    def reply(self, call, mode):
        """Answer a platform call; `mode` is `ok` or the fault."""
        now = self.world.now
        if isinstance(call, writes.Load):
            self.perform(self._read(call, mode, now))
            return
        value = getattr(call, 'value', None)
        if mode == 'unavailable':
            outcome = writes.StoreOutcome.UNAVAILABLE
        elif mode == 'lost':
            outcome = writes.StoreOutcome.LOST
        elif mode == 'delayed':
            self.world.delayed.append((call.key, value, call.expected_revision))
            outcome = writes.StoreOutcome.LOST
        elif self.store.change(call.key, value, call.expected_revision):
            outcome = writes.StoreOutcome.APPLIED
        else:
            outcome = writes.StoreOutcome.CONFLICT
        if mode == 'lost_answer':
            outcome = writes.StoreOutcome.LOST
        self.world.record_expired_claims()
        present = self.store.read(call.key)
        self.perform(self.ledger.on_stored(call, outcome, present, now))

    def _read(self, call, mode, now):
        if mode == 'unavailable':
            return self.ledger.on_load_failed(call.key, now)
        entry = self.store.read(call.key)
        if mode == 'delayed':
            entry = self.store.previous_by_key.get(call.key, (None, 0))
        return self.ledger.on_loaded(call.key, *entry, now)


class World:
    """Ledgers that share a store, with executions and answers."""

    def __init__(self, names, options=OPTIONS):
        self.now = 0
        self.store = Store()
        self.delayed = []
        self.peers = [Peer(name, self.store, self, options) for name in names]
        self.ticket = 0
        self.operations_by_ticket = {}
        self.answers_by_ticket = {}
        self.executed_by_key = {}
        self.sent_tickets = set()
        # Keys of claims that may end as unknown.
        self.may_end_unknown = set()

    def submit(
        self,
        peer,
        key,
        payload,
        deferred=False,
        budget_s=4,
        issued_at=ISSUED_AT,
    ):
        self.ticket += 1
        operation = claims.Operation(
            SERVICE,
            key,
            issued_at,
            payload,
            self.now + budget_s,
            deferred,
            ticket=self.ticket,
        )
        self.operations_by_ticket[self.ticket] = operation
        peer.perform(peer.ledger.claim(operation, self.now))
        return operation

    def claim_accepted(self, peer):
        if peer.ledger.may_claim_accepted(self.now):
            self.ticket += 1
            peer.perform(peer.ledger.claim_accepted(self.ticket, self.now))

    def record_answer(self, answer):
        ticket = answer.operation.ticket
        assert ticket not in self.answers_by_ticket, 'answered twice'
        self.answers_by_ticket[ticket] = answer
        if outcome_of(answer) == errors.Outcome.NOT_RUN:
            assert ticket not in self.sent_tickets, 'not_run although sent'
        if outcome_of(answer) == errors.Outcome.RUN:
            assert answer.operation.operation_key in self.executed_by_key

    def send(self, peer, operation):
        """Send the operation if the ledger allows it now."""
        peer.sends.remove(operation)
        if not peer.ledger.may_send(operation.operation_key, self.now):
            self.finish(peer, operation, errors.Outcome.NOT_RUN)
            return
        key = operation.operation_key
        assert key not in self.executed_by_key, f'{key} was sent twice'
        self._check_requested(operation)
        self._check_window(key)
        self.executed_by_key[key] = operation.payload
        self.sent_tickets.add(operation.ticket)
        peer.sent.append(operation)

    def finish(self, peer, operation, outcome):
        result = b'done' if outcome is errors.Outcome.RUN else b''
        peer.perform(peer.ledger.finish(operation, outcome, result, self.now))

    def advance(self, duration_s, peers=None):
        self.now += duration_s
        for peer in self.peers if peers is None else peers:
            peer.perform(peer.ledger.run_due(self.now))

    def record_expired_claims(self):
        """Record the claims that are expired now: they may end as unknown."""
        unix_time = self.now + UNIX_OFFSET
        for key, record in self.store.records().items():
            if record.is_expired(unix_time):
                self.may_end_unknown.add(key)

    def check_listing(self):
        """Check that the index lists every open deferred claim."""
        index = self.store.read(claims.index_key(SERVICE))[0]
        minutes = json.loads(index or '{}')
        for key, record in self.store.records().items():
            if record.deferred and record.state in claims.OPEN_STATES:
                minute = int(key.split('/')[1]) // 60
                assert str(minute) in minutes, f'{key} is not listed'

    def settle(self, rounds=30):
        """Let all work end without further faults."""
        for _ in range(rounds):
            # With a small budget, each step allows only one call.
            for _ in range(4):
                for peer in self.peers:
                    self.settle_peer(peer)
                self.advance(5)

    def settle_peer(self, peer):
        while peer.calls or peer.sends or peer.sent:
            if peer.calls:
                peer.reply(peer.calls.pop(0), 'ok')
            elif peer.sends:
                self.send(peer, peer.sends[0])
            else:
                self.finish(peer, peer.sent.pop(0), errors.Outcome.RUN)
            self.claim_accepted(peer)

    def _check_window(self, key):
        """Check that the send is within the dispatch window of the claim."""
        record = self.store.records()[key]
        claimed_at = record.changed_at - UNIX_OFFSET
        assert self.now - claimed_at <= ledger.DISPATCH_WINDOW_S + 0.001

    def _check_requested(self, operation):
        """Check that a call with this payload was not answered `not_run`."""
        requests = [
            ticket
            for ticket, request in self.operations_by_ticket.items()
            if request.operation_key == operation.operation_key
            and request.payload == operation.payload
            and outcome_of(self.answers_by_ticket.get(ticket))
            != errors.Outcome.NOT_RUN
        ]
        assert requests, 'sent although every call was answered not_run'
        outcome = outcome_of(self.answers_by_ticket.get(operation.ticket))
        assert outcome is None, f'sent although the call was answered {outcome}'


def outcome_of(answer):
    if answer is None:
        return None
    if isinstance(answer, ledgereffects.Refuse):
        return answer.error.outcome
    if answer.record.state is STATE.DISPATCHING:
        return errors.Outcome.ACCEPTED
    return errors.Outcome(answer.record.state.value)
