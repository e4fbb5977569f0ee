"""Platform calls while a backlog of accepted work and an outage meet.

The processes of 8 hosts in 4 zones own 54 services, each process half of
those of its zone. Statements whose owners went away lie in the store,
callers claim operations, and the store is down for some seconds.
"""

import collections
import statistics

from bench import claims as claims_bench
from bench import result
from cardamomflow import claims, ledger, ledgereffects, operations, writes

STATEMENTS = 4000
STATEMENT_SERVICES = claims_bench.SERVICES[:8]
MINUTES = 5
PAYLOAD = b'{"statement": "2026-11", "account": "000000000000"}'
CLAIMS_PER_S = 40
OUTAGE_FROM_S = 10
OUTAGE_TO_S = 25
# The backlog must end in one run.
LIMIT_S = 900
# Claims, scans and closing of minutes go on after the backlog.
REST_S = 60
RETURN_S = 3
HOSTS = 8
MAX_READS_PER_S = 2000
# Target of urgent work, which the wait for the claim alone must not exceed.
MAX_WAIT_MS = 360
_MS = 1000
_PERCENTILES = 100


class Simulation(claims_bench.Simulation):
    """Owners that find a backlog, lose the store and regain it."""

    owner_count = HOSTS
    operations_per_s = CLAIMS_PER_S

    def __init__(self, options: ledger.Options) -> None:
        super().__init__(1, options)
        self.in_dispatch_by_owner = collections.Counter()
        self.asked_at_by_ticket = {}
        self.waits_ms = []
        self.refused = 0
        self.sent_by_key = collections.Counter()
        self.run_by_bucket = {}
        self.done_at = None
        self.written_at = []
        self.read_at = []
        self._accept_all()

    def services_of(self, owner) -> tuple[str, ...]:
        return claims_bench.SERVICES[self.owners.index(owner) % 2 :: 2]

    def ask(self, owner, method, *arguments) -> None:
        if method == owner.claim:
            self.asked_at_by_ticket[arguments[0].ticket] = self.now
        super().ask(owner, method, *arguments)

    def perform(self, owner, action) -> None:
        if isinstance(action, ledgereffects.Refuse | ledgereffects.Resolved):
            self._refused(owner, action.operation)
            return
        if isinstance(action, ledger.Dispatch):
            self._sent(action.operation)
        elif isinstance(action, writes.Load):
            self.read_at.append(self.now)
        else:
            self.written_at.append(self.now)
        super().perform(owner, action)

    def tick(self, owner) -> None:
        super().tick(owner)
        while self.in_dispatch_by_owner[
            owner
        ] < operations.DEFERRED_IN_DISPATCH and owner.may_claim_accepted(
            self.now
        ):
            self.in_dispatch_by_owner[owner] += 1
            self.ask(owner, owner.claim_accepted, next(self.tickets))

    def finish(self, owner, operation) -> None:
        self.in_dispatch_by_owner[owner] -= operation.deferred
        super().finish(owner, operation)

    def load(self, owner, action) -> None:
        if self._is_down():
            self.ask(owner, owner.on_load_failed, action.key)
            return
        super().load(owner, action)

    def store(self, owner, action) -> None:
        if self._is_down():
            outcome = writes.StoreOutcome.UNAVAILABLE
            self.ask(owner, owner.on_stored, action, outcome, (None, 0))
            return
        super().store(owner, action)
        if action.key in self.run_by_bucket:
            stored = self.entries_by_key[action.key][0]
            self.run_by_bucket[action.key] = stored.count(b'"state":"run"')
            run = sum(self.run_by_bucket.values())
            if run == STATEMENTS and self.done_at is None:
                self.done_at = self.now

    def peak_of_return(self) -> int:
        """Return the most writes in any second just after the outage."""
        return _peak(
            [
                written_at
                for written_at in self.written_at
                if OUTAGE_TO_S <= written_at <= OUTAGE_TO_S + RETURN_S
            ]
        )

    def _is_down(self) -> bool:
        return OUTAGE_FROM_S <= self.now < OUTAGE_TO_S

    def _sent(self, operation) -> None:
        self.sent_by_key[operation.operation_key] += 1
        if not operation.deferred:
            asked_at = self.asked_at_by_ticket.pop(operation.ticket)
            if asked_at >= OUTAGE_TO_S + 1:
                self.waits_ms.append((self.now - asked_at) * _MS)

    def _refused(self, owner, operation) -> None:
        self.in_dispatch_by_owner[owner] -= operation.deferred
        asked_at = self.asked_at_by_ticket.pop(operation.ticket, 0)
        if asked_at >= OUTAGE_TO_S + 1:
            self.refused += 1

    def _accept_all(self) -> None:
        """Store the statements as owners accepted them minutes ago."""
        documents_by_key = collections.defaultdict(dict)
        last_minute = claims.minute_of(claims_bench.UNIX_OFFSET) - 2
        for number in range(STATEMENTS):
            service = STATEMENT_SERVICES[number % len(STATEMENT_SERVICES)]
            minute = last_minute - number % MINUTES
            bucket = claims.bucket_key(service, minute)
            issued_at = minute * claims.MINUTE_S
            documents_by_key[claims.index_key(service)][str(minute)] = 'gone'
            documents_by_key[bucket][claims.LISTED] = True
            documents_by_key[bucket][f'{issued_at}/statement-{number}'] = (
                claims.Record(
                    claims.State.ACCEPTED,
                    token=f'gone.{number}',
                    claimant='gone',
                    digest=claims.digest(PAYLOAD),
                    changed_at=issued_at,
                    origin=f'gone.{number}',
                    payload=PAYLOAD,
                ).encode()
            )
            self.run_by_bucket[bucket] = 0
        for key, document in documents_by_key.items():
            self.revision += 1
            self.entries_by_key[key] = (claims.encode(document), self.revision)


def _peak(times: list[float]) -> int:
    """Return the most calls in any second."""
    most = 0
    window = collections.deque()
    for called_at in times:
        window.append(called_at)
        while window[0] <= called_at - 1:
            window.popleft()
        most = max(most, len(window))
    return most


def run() -> list[result.Result]:
    """Measure the calls until the backlog is done."""
    world = Simulation(ledger.Options())
    world.start()
    while world.done_at is None and world.now < LIMIT_S:
        world.run_until(world.now + 1)
    world.run_until(world.now + REST_S)
    load = (
        f'{STATEMENTS} statements, {CLAIMS_PER_S} claims/s, {HOSTS} hosts, '
        f'down for {OUTAGE_TO_S - OUTAGE_FROM_S} s, seed {claims_bench.SEED}'
    )
    waits_ms = statistics.quantiles(world.waits_ms, n=_PERCENTILES)
    limit = claims_bench.MAX_WRITES_PER_S
    figures = (
        ('writes_peak', _peak(world.written_at), '1/s', limit),
        ('writes_peak_of_return', world.peak_of_return(), '1/s', limit),
        ('reads_peak', _peak(world.read_at), '1/s', MAX_READS_PER_S),
        ('backlog_done', world.done_at or float('inf'), 's', LIMIT_S),
        ('sent_twice', max(world.sent_by_key.values()) - 1, '', 0),
        ('claim_wait_p50', waits_ms[_PERCENTILES // 2 - 1], 'ms', None),
        ('claim_wait_p99', waits_ms[-1], 'ms', MAX_WAIT_MS),
        ('claims_refused', world.refused, '', 0),
        ('conflicts', world.conflicts, '', None),
        ('writes', len(world.written_at), '', None),
    )
    return [
        result.Result(f'backlog.{name}', value, unit, bound, 'at_most', load)
        for name, value, unit, bound in figures
    ]
