"""Use the ledger of operations in a program of your own.

The ledger does no I/O. This program performs its actions on a dictionary
that stands for a store with compare-and-swap. A call and its repeat at
another process end with the same result, and one payment is made.

Run it with `python examples/embed_ledger.py`.
"""

import collections
import itertools
import random
import sys
import time

from cardamomflow import claims, errors, ledger, ledgereffects, writes


class Process:
    """A process that pays at most once for each key."""

    def __init__(self, name, entries_by_key, payments):
        """Share the store and the list of payments with other processes."""
        self._entries_by_key = entries_by_key
        self._payments = payments
        # The claimant must differ after each start of a process.
        generator = random.Random()
        claimant = f'{name}-{generator.getrandbits(32):x}'
        self._ledger = ledger.Ledger(claimant, ledger.Options(), generator)
        self._ledger.synchronize(time.monotonic(), time.time())
        self._tickets = itertools.count(1)

    def pay(self, key, issued_at, payload):
        """Pay, or return the outcome of the payment made before."""
        operation = claims.Operation(
            'payments',
            key,
            issued_at,
            payload,
            deadline=time.monotonic() + 1,
            ticket=next(self._tickets),
        )
        answer = self._perform(self._ledger.claim(operation, time.monotonic()))
        self._write_back()
        return answer

    def _perform(self, actions):
        """Perform actions and their consequences; return the outcome."""
        answer = None
        queue = collections.deque(actions)
        while queue:
            action = queue.popleft()
            if isinstance(action, ledgereffects.Refuse):
                answer = f'{action.error.outcome} ({action.error.code})'
            elif isinstance(action, ledgereffects.Resolved):
                answer = str(action.record.state)
            elif isinstance(action, ledger.Dispatch):
                answer = self._send(action.operation, queue)
            elif isinstance(action, writes.Load):
                entry = self._entries_by_key.get(action.key, (None, 0))
                queue.extend(
                    self._ledger.on_loaded(action.key, *entry, time.monotonic())
                )
            else:
                queue.extend(self._store(action))
        return answer

    def _send(self, operation, queue):
        now = time.monotonic()
        outcome = errors.Outcome.NOT_RUN
        if self._ledger.may_send(operation.operation_key, now):
            self._payments.append(operation.payload)
            outcome = errors.Outcome.RUN
        queue.extend(
            self._ledger.finish(operation, outcome, b'{"paid": true}', now)
        )
        return str(outcome)

    def _store(self, action):
        present = self._entries_by_key.get(action.key, (None, 0))
        outcome = writes.StoreOutcome.CONFLICT
        if present[1] == action.expected_revision:
            outcome = writes.StoreOutcome.APPLIED
            present = (action.value, present[1] + 1)
            self._entries_by_key[action.key] = present
        return self._ledger.on_stored(
            action, outcome, present, time.monotonic()
        )

    def _write_back(self):
        while not self._ledger.settled:
            time.sleep(0.01)
            self._perform(self._ledger.run_due(time.monotonic()))


def main():
    """Pay once in one process and repeat the call in another."""
    entries_by_key = {}
    payments = []
    issued_at = int(time.time())
    first = Process('first', entries_by_key, payments)
    second = Process('second', entries_by_key, payments)
    found = first.pay('lot-17', issued_at, b'12 BRL')
    sys.stdout.write(f'first call: {found}\n')
    found = second.pay('lot-17', issued_at, b'12 BRL')
    sys.stdout.write(f'repeat: {found}\n')
    sys.stdout.write(f'payments made: {len(payments)}\n')


if __name__ == '__main__':
    main()
