"""Queries and operations on a running fleet, and what contradicts its rules.

Owns what callers were told, and compares it with what backend servers ran.
"""

import collections
import concurrent.futures
import http.client
import random
import threading
import time
from typing import Any

from cardamomflow import attempts, claims
from standins import fleet, verify

DEADLINE_MS = 1000
QUERY_INTERVAL_S = 0.05
OPERATION_INTERVAL_S = 0.2
# An answer later than this after its deadline did not keep to it; the
# machine itself may be held up for a part of a second.
LATE_S = 1.0
# Deferred work whose owner died in its attempt is given up by the first one
# who reads the claim after its deadline and the grace, or by the next scan.
SCAN_INTERVAL_S = 30.0
SETTLE_S = attempts.DEFERRED_BUDGET_S + claims.EXPIRY_GRACE_S + SCAN_INTERVAL_S
_WORKERS = 48
_UNKNOWN = 'operation_unresolved'
_NOT_FOUND = 'operation_not_found'
_OPERATIONS = '/v1/operations'
_HTTP_OK = 200
_MS = 1000


class Operation:
    """An operation with what its callers were told."""

    def __init__(self, number: int, running: fleet.Fleet) -> None:
        """Choose the kind by the number."""
        self.key = f'lot-{number}'
        self.deferred = number % 3 == 0
        # Without a repeat, `not_run` must mean that nothing ever ran.
        self.repeated = number % 2 == 0
        self.told: list[str] = []
        self.document = {
            'request_id': f'request-{self.key}',
            'service': running.services[number % len(running.services)],
            'work': 'supplier-statement' if self.deferred else 'record-lot',
            'key': self.key,
            'issued_at': int(time.time()),
            'deadline_ms': DEADLINE_MS,
            'deferred': self.deferred,
            'payload': {'lot': self.key},
        }

    @property
    def operation_key(self) -> str:
        """The key under which a backend server runs it."""
        document = self.document
        return f'{document["service"]}/{document["issued_at"]}/{self.key}'

    @property
    def path(self) -> str:
        """Where to look the outcome up."""
        return f'{_OPERATIONS}/{self.operation_key}'

    @property
    def last(self) -> str:
        """What was told last."""
        return self.told[-1] if self.told else 'nothing'

    @property
    def settled(self) -> bool:
        """Whether the last answer is final."""
        if self.last in {'not_run', _NOT_FOUND}:
            return not self.repeated
        return self.last in {'run', _UNKNOWN}

    def note(self, answer: dict[str, Any]) -> None:
        """Note an answer: an outcome, or that none can ever be told."""
        error = answer.get('error')
        told = answer['outcome'] if error is None else error['outcome']
        if error and error['code'] in {_UNKNOWN, _NOT_FOUND}:
            told = error['code']
        if told != self.last:
            self.told.append(told)


class Workload:
    """Queries and operations on a fleet, with what contradicts the rules."""

    def __init__(self, running: fleet.Fleet, generator: random.Random) -> None:
        """Start with nothing sent."""
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.operations_by_key: dict[str, Operation] = {}
        self._running = running
        self._random = generator
        self._stopped = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(_WORKERS)
        self._senders = [
            threading.Thread(target=self._send_queries),
            threading.Thread(target=self._send_operations),
        ]

    def start(self) -> None:
        """Send until stopped."""
        for sender in self._senders:
            sender.start()

    def stop(self) -> None:
        """Send nothing more and wait for the answers."""
        self._stopped.set()
        for sender in self._senders:
            sender.join()
        self._pool.shutdown()

    def settle(self) -> None:
        """Ask for every outcome until it is final."""
        give_up_at = time.monotonic() + SETTLE_S
        waiting = list(self.operations_by_key.values())
        while waiting and time.monotonic() < give_up_at:
            for operation in waiting:
                self._follow(operation)
            waiting = [found for found in waiting if not found.settled]
            time.sleep(0.2)
        for operation in waiting:
            self._violate(f'{operation.key} has no outcome: {operation.told}')

    def check_runs(self) -> None:
        """Compare what was told with what the backend servers ran."""
        runs_by_key: collections.Counter[str] = collections.Counter()
        for backend_id in self._running.backend_ports:
            runs_by_key.update(self._running.executions(backend_id))
        for key, operation in self.operations_by_key.items():
            runs = runs_by_key[operation.operation_key]
            self.counts[f'operations {operation.last}'] += 1
            if runs > 1 or ('run' in operation.told and runs != 1):
                self._violate(f'{key} ran {runs} times: {operation.told}')
            if runs and set(operation.told) == {'not_run'}:
                self._violate(f'{key} ran although it was told not_run')

    def _violate(self, what: str) -> None:
        self.violations.append(what)

    def _port(self) -> int:
        return self._random.choice(list(self._running.entry_ports.values()))

    def _send_queries(self) -> None:
        number = 0
        while not self._stopped.wait(QUERY_INTERVAL_S):
            number += 1
            self._pool.submit(self._query, f'query-{number}', self._port())

    def _send_operations(self) -> None:
        number = 0
        while not self._stopped.wait(OPERATION_INTERVAL_S):
            number += 1
            operation = Operation(number, self._running)
            self.operations_by_key[operation.key] = operation
            self._pool.submit(self._send, operation, self._port())

    def _query(self, request_id: str, port: int) -> None:
        started_at = time.monotonic()
        try:
            status, answer = self._running.query(
                port, request_id=request_id, deadline_ms=DEADLINE_MS
            )
        except (OSError, http.client.HTTPException) as error:
            self._violate(f'{request_id} got no answer: {error!r}')
            return
        late_s = time.monotonic() - started_at - DEADLINE_MS / _MS
        if late_s > LATE_S:
            self._violate(f'{request_id} was answered {late_s:.1f} s late')
        if status != _HTTP_OK:
            self.counts[f'queries {answer["error"]["message"]}'] += 1
            return
        kind = 'partial' if answer['coverage']['missing'] else 'whole'
        self.counts[f'queries {kind}'] += 1
        for problem in verify.problems(self._running, request_id, answer):
            self._violate(f'{request_id}: {problem}')

    def _send(self, operation: Operation, port: int) -> None:
        self._call(operation, port, 'POST', _OPERATIONS)

    def _follow(self, operation: Operation) -> None:
        """Ask for an outcome that is not final, or send the work again."""
        if operation.settled:
            return
        accepted = operation.last in {'accepted', 'unknown'}
        if accepted or not operation.repeated:
            self._call(operation, self._port(), 'GET', operation.path)
        else:
            self._send(operation, self._port())

    def _call(
        self, operation: Operation, port: int, method: str, path: str
    ) -> None:
        document = operation.document if method == 'POST' else None
        try:
            _, answer = fleet.call(port, method, path, document)
        except (OSError, http.client.HTTPException) as error:
            self._violate(f'{operation.key} got no answer: {error!r}')
            return
        operation.note(answer)
