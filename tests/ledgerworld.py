"""Faulty store and ledgers in virtual time for the tests of claims."""

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
    """Store that checks every change of a claim."""

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
        """Return all claims by the operation key."""
        found = {}
        for key, (value, _) in self.entries_by_key.items():
            if key.startswith('claims/open/'):
                continue
            for member, stored in json.loads(value).items():
                if member != claims.LISTED:
                    service = key.split('/')[2]
                    record = claims.Record.decode(stored)
                    found[f'{service}/{member}'] = record
        return found

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
        # A claimant may release its attempt and claim anew in one write;
        # `World.send` checks that the released one was not sent.
        released = old.state is STATE.NOT_RUN or old.claimant == new.claimant
        assert old.token == new.token or released, 'taken over'
        assert old.result == new.result, 'a result was changed'
        return
    allowed = set(TRANSITIONS[old.state])
    if STATE.NOT_RUN in allowed and old.claimant == new.claimant:
        # Released and claimed anew in one write, as above.
        allowed |= TRANSITIONS[STATE.NOT_RUN]
    assert new.state in allowed, f'{old.state} to {new.state}'


class Peer:
    """A ledger with the calls and sends that its process has open."""

    def __init__(self, name, store, world, options):
        self.name = name
        self.store = store
        self.world = world
        self.options = options
        self.generation = 0
        self.restart()

    def restart(self):
        """Lose everything, as a crashed process does."""
        self.generation += 1
        claimant = f'{self.name}-{self.generation}'
        self.ledger = ledger.Ledger(
            claimant, self.options, random.Random(claimant)
        )
        self.ledger.synchronize(0, UNIX_OFFSET)
        self.ledger.own([SERVICE])
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
                self.world.answered(action)
            else:
                self.calls.append(action)

    def reply_next(self, mode='ok'):
        """Answer the call that waits longest and return it."""
        call = self.calls.pop(0)
        self.reply(call, mode)
        return call

    def reply_all(self, mode='ok'):
        while self.calls:
            self.reply_next(mode)

    def reply(self, call, mode):
        """Answer a platform call with a fault or without."""
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
        self.world.note_expired()
        present = self.store.read(call.key)
        self.perform(self.ledger.stored(call, outcome, present, now))

    def _read(self, call, mode, now):
        if mode == 'unavailable':
            return self.ledger.load_failed(call.key, now)
        entry = self.store.read(call.key)
        if mode == 'delayed':
            entry = self.store.previous_by_key.get(call.key, (None, 0))
        return self.ledger.loaded(call.key, *entry, now)


class World:
    """Ledgers over one store, with what was executed and answered."""

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
        self.given_up = set()

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

    def take(self, peer):
        if peer.ledger.may_take(self.now):
            self.ticket += 1
            peer.perform(peer.ledger.take(self.ticket, self.now))

    def answered(self, answer):
        ticket = answer.operation.ticket
        assert ticket not in self.answers_by_ticket, 'answered twice'
        self.answers_by_ticket[ticket] = answer
        if outcome_of(answer) == errors.Outcome.NOT_RUN:
            assert ticket not in self.sent_tickets, 'not_run although sent'
        if outcome_of(answer) == errors.Outcome.RUN:
            assert answer.operation.operation_key in self.executed_by_key

    def send(self, peer, operation):
        """Send if the ledger allows it at this moment."""
        peer.sends.remove(operation)
        if not peer.ledger.may_send(operation.operation_key, self.now):
            self.finish(peer, operation, errors.Outcome.NOT_RUN)
            return
        key = operation.operation_key
        assert key not in self.executed_by_key, f'{key} was sent twice'
        self._check_wanted(operation)
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
            peer.perform(peer.ledger.due(self.now))

    def note_expired(self):
        """A claimant that was kept waiting this long may be given up."""
        unix_time = self.now + UNIX_OFFSET
        for key, record in self.store.records().items():
            if record.expired(unix_time):
                self.given_up.add(key)

    def check_listing(self):
        """Every open deferred claim must be found by a scan."""
        index = self.store.read(claims.index_key(SERVICE))[0]
        minutes = json.loads(index or '{}')
        for key, record in self.store.records().items():
            if record.deferred and record.state in claims.OPEN_STATES:
                minute = int(key.split('/')[1]) // 60
                assert str(minute) in minutes, f'{key} is not listed'

    def settle(self, rounds=30):
        """Let everything end without further faults."""
        for _ in range(rounds):
            # A small budget gives one call in each step.
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
            self.take(peer)

    def _check_window(self, key):
        """The stored claim is this fresh when its operation is sent."""
        record = self.store.records()[key]
        claimed_at = record.changed_at - UNIX_OFFSET
        assert self.now - claimed_at <= ledger.DISPATCH_WINDOW_S + 0.001

    def _check_wanted(self, operation):
        """Some call for this payload was not told `not_run`."""
        wanted = [
            ticket
            for ticket, asked in self.operations_by_ticket.items()
            if asked.operation_key == operation.operation_key
            and asked.payload == operation.payload
            and outcome_of(self.answers_by_ticket.get(ticket))
            != errors.Outcome.NOT_RUN
        ]
        assert wanted, 'sent although every call was told not_run'
        said = outcome_of(self.answers_by_ticket.get(operation.ticket))
        assert said is None, f'sent although the call was told {said}'


def outcome_of(answer):
    if answer is None:
        return None
    if isinstance(answer, ledgereffects.Refuse):
        return answer.error.outcome
    if answer.record.state is STATE.DISPATCHING:
        return errors.Outcome.ACCEPTED
    return errors.Outcome(answer.record.state.value)
