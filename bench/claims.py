"""Platform calls, processor time and stored bytes of claims.

Ledgers of four zones share 54 services over a modelled store in virtual
time. Operations arrive in bursts of one service at one owner; the burst is
the batch that a write can carry.
"""

import heapq
import itertools
import random
import statistics
import time

from bench import result
from cardamomflow import claims, errors, ledger, ledgereffects, writes

SEED = 7
OWNERS = 4
SERVICES = tuple(f'service-{number}' for number in range(54))
OPERATIONS_PER_S = 100
DURATION_S = 180
STORE_LATENCY_S = 0.003
DISPATCH_S = 0.05
TICK_S = 0.02
UNIX_OFFSET = 1_790_000_000
RESULT = b'{"paid": true}'
# The platform takes several hundred writes and 2,000 reads a second.
MAX_WRITES_PER_S = 300
MAX_READS_PER_S = 500
OPTIONS = ledger.Options(
    reads_per_s=MAX_READS_PER_S / OWNERS, writes_per_s=MAX_WRITES_PER_S / OWNERS
)
BATCHES = (1, 4, 16)


class Simulation:
    """Owners over one store, driven by a heap of events."""

    owner_count = OWNERS
    operations_per_s = OPERATIONS_PER_S

    def __init__(self, batch: int, options: ledger.Options) -> None:
        self.random = random.Random(SEED)
        self.batch = batch
        self.now = 0
        self.events = []
        self.sequence = itertools.count()
        self.tickets = itertools.count(1)
        self.entries_by_key = {}
        self.revision = 0
        self.writes = 0
        self.conflicts = 0
        self.reads = 0
        self.run = 0
        self.largest = 0
        self.ledger_s = 0
        self.owners = [
            ledger.Ledger(
                f'owner-{number}', options, random.Random(SEED + number)
            )
            for number in range(self.owner_count)
        ]

    def start(self) -> None:
        for owner in self.owners:
            owner.synchronize(0, UNIX_OFFSET)
            owner.set_owned_services(self.services_of(owner))
            self.at(self.random.random() * TICK_S, self.tick, owner)
        self.at(0, self.arrive)

    def run_until(self, limit_s: float) -> None:
        while self.events and self.events[0][0] <= limit_s:
            due_at, _, step, arguments = heapq.heappop(self.events)
            self.now = due_at
            step(*arguments)

    def services_of(self, owner) -> tuple[str, ...]:
        return SERVICES

    def at(self, delay_s, step, *arguments) -> None:
        heapq.heappush(
            self.events,
            (self.now + delay_s, next(self.sequence), step, arguments),
        )

    def ask(self, owner, method, *arguments) -> None:
        """Call a ledger, measure it and perform its actions."""
        started = time.process_time()
        actions = method(*arguments, self.now)
        self.ledger_s += time.process_time() - started
        for action in actions:
            self.perform(owner, action)

    def perform(self, owner, action) -> None:
        if isinstance(action, ledger.Dispatch):
            self.at(DISPATCH_S, self.finish, owner, action.operation)
        elif isinstance(action, writes.Load):
            self.reads += 1
            self.at(STORE_LATENCY_S, self.load, owner, action)
        elif isinstance(action, writes.Store):
            self.writes += 1
            self.at(STORE_LATENCY_S, self.store, owner, action)
        elif isinstance(action, ledgereffects.Refuse):
            raise action.error

    def tick(self, owner) -> None:
        self.ask(owner, owner.run_due)
        self.at(TICK_S, self.tick, owner)

    def arrive(self) -> None:
        owner = self.random.choice(self.owners)
        service = self.random.choice(self.services_of(owner))
        for _ in range(self.batch):
            ticket = next(self.tickets)
            operation = claims.Operation(
                service,
                f'caller-{ticket:012d}',
                UNIX_OFFSET + int(self.now),
                b'{"lot": 1}',
                self.now + 2,
                ticket=ticket,
            )
            self.ask(owner, owner.claim, operation)
        self.at(
            self.random.expovariate(self.operations_per_s / self.batch),
            self.arrive,
        )

    def finish(self, owner, operation) -> None:
        self.run += 1
        outcome = errors.Outcome.RUN
        self.ask(owner, owner.finish, operation, outcome, RESULT)

    def load(self, owner, action) -> None:
        entry = self.entries_by_key.get(action.key, (None, 0))
        self.ask(owner, owner.on_loaded, action.key, *entry)

    def store(self, owner, action) -> None:
        present = self.entries_by_key.get(action.key, (None, 0))
        outcome = writes.StoreOutcome.CONFLICT
        if present[1] == action.expected_revision:
            outcome = writes.StoreOutcome.APPLIED
            self.revision += 1
            present = (action.value, self.revision)
            self.entries_by_key[action.key] = present
            self.largest = max(self.largest, len(action.value))
        else:
            self.conflicts += 1
        self.ask(owner, owner.on_stored, action, outcome, present)


def _figures(batch: int) -> list[result.Result]:
    world = Simulation(batch, OPTIONS)
    world.start()
    world.run_until(DURATION_S)
    name = f'claims.batch_{batch}'
    load = f'{OPERATIONS_PER_S} operations/s, {OWNERS} owners'
    sizes = [
        len(stored)
        for stored, _ in world.entries_by_key.values()
        if len(stored) > 2
    ]
    return [
        result.Result(
            f'{name}.writes',
            world.writes / DURATION_S,
            '1/s',
            MAX_WRITES_PER_S,
            'at_most',
            load,
        ),
        result.Result(
            f'{name}.reads',
            world.reads / DURATION_S,
            '1/s',
            MAX_READS_PER_S,
            'at_most',
            f'{load}, with scans and deletion',
        ),
        _plain(f'{name}.writes_per_operation', world.writes / world.run, ''),
        _plain(f'{name}.reads_per_operation', world.reads / world.run, ''),
        _plain(
            f'{name}.conflicts_per_operation', world.conflicts / world.run, ''
        ),
        _plain(
            f'{name}.ledger_time',
            world.ledger_s / world.run * 1_000_000,
            'us/operation',
        ),
        _plain(f'{name}.bucket_mean', statistics.fmean(sizes), 'bytes'),
        result.Result(
            f'{name}.bucket_largest',
            world.largest,
            'bytes',
            1_000_000,
            'at_most',
            'the platform holds values up to 1 MB',
        ),
    ]


def _plain(name: str, value: float, unit: str) -> result.Result:
    return result.Result(name, value, unit, None, 'at_most', f'seed {SEED}')


def run() -> list[result.Result]:
    """Measure the calls for each batch size."""
    figures = []
    for batch in BATCHES:
        figures.extend(_figures(batch))
    return figures
