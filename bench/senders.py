"""Senders of the service model: the tier's policy and its baseline."""

import collections
import functools
import random
from typing import Any

from bench import service_model
from cardamomflow import (
    admission,
    draining,
    errors,
    hedging,
    limits,
    replicas,
    retries,
    rules,
)

QUEUE_CAPACITY = 5000
STATUS_INTERVAL_S = 1.0
BASELINE_TIMEOUT_S = 0.15
BASELINE_ATTEMPTS = 3
_SUCCESS = limits.CallOutcome.SUCCESS
_CANCELLED = limits.CallOutcome.CANCELLED
_TIMEOUT = limits.CallOutcome.TIMEOUT


class Baseline(service_model.Sender):
    """First in, first out, with fixed timeouts and blind retry."""

    def __init__(self, *args: Any, seed: int) -> None:
        super().__init__(*args)
        self._random = random.Random(seed)
        self._waiting: list[collections.deque[service_model.Item]] = [
            collections.deque() for _ in self.servers
        ]
        self._in_flight: dict[str, int] = collections.defaultdict(int)

    def send(self, query: service_model.Query) -> None:
        self.open(query)
        for item in query.items:
            self._waiting[item.service].append(item)
            self._pump(item.service)

    def give_up(self, item: service_model.Item, code: str) -> None:
        self.close(item, False, code)

    def _pump(self, service: int) -> None:
        waiting = self._waiting[service]
        while waiting:
            free = [
                server
                for server in self.servers[service]
                if self._in_flight[server.backend_id] < self.size.connections
            ]
            if not free:
                return
            item = waiting.popleft()
            if not item.closed:
                self._start(item, self._random.choice(free))

    def _start(
        self, item: service_model.Item, server: service_model.BackendServer
    ) -> None:
        self._in_flight[server.backend_id] += 1
        attempt = self.submit(item, server)
        self.clock.after(BASELINE_TIMEOUT_S, self._timeout, attempt)

    def _timeout(self, attempt: service_model.Attempt) -> None:
        if not attempt.ended:
            self.settle(attempt, _TIMEOUT)

    def settle(
        self, attempt: service_model.Attempt, outcome: limits.CallOutcome
    ) -> None:
        item = attempt.item
        self._in_flight[attempt.server.backend_id] -= 1
        self.end(attempt, reusable=outcome is not _TIMEOUT)
        if outcome is _SUCCESS:
            self.close(item, True)
        elif len(item.tried) < BASELINE_ATTEMPTS:
            self._waiting[item.service].append(item)
        else:
            self.close(item, False, outcome.name.lower())
        self._pump(item.service)


class Policy(service_model.Sender):
    """The tier's decision modules, as an aggregator uses them."""

    def __init__(self, *args: Any, rule_set: rules.Rules, seed: int) -> None:
        super().__init__(*args)
        shares_by_rank = {
            rank: rule.minimum_share
            for rank, rule in rule_set.rules_by_rank.items()
        }
        self._random = random.Random(seed)
        self._queues = [
            admission.RankQueue(
                shares_by_rank,
                rule_set.customer_maximum_share,
                QUEUE_CAPACITY,
            )
            for _ in self.servers
        ]
        self._backoff_ms = rule_set.retries.backoff_ms
        self._chooser = replicas.ReplicaChooser(self._random)
        self._hedges = hedging.HedgePolicy(rule_set.hedging)
        self._retries = retries.RetryBudget(rule_set.retries)
        self.drains = draining.DrainTracker()
        self._servers_by_id = {
            server.backend_id: server
            for group in self.servers
            for server in group
        }
        self._limits_by_id = {
            backend_id: limits.ConcurrencyLimit(self.size.connections)
            for backend_id in self._servers_by_id
        }

    def poll(self, until: float) -> None:
        """Poll the status of all servers until a time."""
        now = self.clock.now
        for server in self._servers_by_id.values():
            if not server.cut:
                self._chooser.record_report(
                    server.backend_id,
                    server.in_use,
                    server.queued,
                    server.slots,
                    0,
                    now,
                )
                self.drains.record_notice(
                    server.backend_id, draining.DrainSource.STATUS, False, now
                )
        if now + STATUS_INTERVAL_S < until:
            self.clock.after(STATUS_INTERVAL_S, self.poll, until)

    def send(self, query: service_model.Query) -> None:
        self.open(query)
        queued = []
        for item in query.items:
            try:
                self._offer(item)
            except errors.FlowError as refusal:
                self._withdraw(queued)
                self.refuse(query, refusal.code)
                return
            queued.append(item)
        for item in queued:
            self._pump(item.service)

    def give_up(self, item: service_model.Item, code: str) -> None:
        self._queues[item.service].remove(item)
        self.close(item, False, code)
        for attempt in tuple(item.attempts):
            attempt.server.cancel(attempt)
            self._account(attempt, _CANCELLED)
        self._pump(item.service)

    def _offer(self, item: service_model.Item) -> None:
        self._queues[item.service].offer(*self._queued(item))

    def _queued(self, item: service_model.Item) -> admission.QueuedItem:
        query = item.query
        return admission.QueuedItem(
            item, query.rank, query.customer, query.deadline, self.clock.now
        )

    def _withdraw(self, items: list[service_model.Item]) -> None:
        for item in items:
            self._queues[item.service].remove(item)

    def _pump(self, service: int) -> None:
        queue = self._queues[service]
        while len(queue):
            free = self._free(service)
            if not free:
                break
            excludes = len(self._candidates(service)) > 1
            queued = queue.take(
                self.clock.now, functools.partial(_suits, excludes, free)
            )
            if queued is None:
                break
            self._start(queued.item, _usable(queued.item, free, excludes))
        for dropped in queue.expire(self.clock.now):
            self.close(dropped.item, False, 'not_run')

    def _candidates(self, service: int) -> list[str]:
        """Return the replicas that may get work, ejected ones last."""
        now = self.clock.now
        accepting = self.drains.select_accepting(
            [server.backend_id for server in self.servers[service]], now
        )
        healthy = [
            backend_id
            for backend_id in accepting
            if not self._chooser.is_ejected(backend_id, now)
        ]
        return healthy or accepting

    def _free(self, service: int) -> list[str]:
        now = self.clock.now
        candidates = self._candidates(service)
        return [
            backend_id
            for backend_id in candidates
            if self._limits_by_id[backend_id].in_flight
            < self._limits_by_id[backend_id].limit
            and self._chooser.is_worth_using(backend_id, candidates, now)
        ]

    def _start(self, item: service_model.Item, usable: list[str]) -> None:
        first = not item.tried
        self._launch(item, usable)
        if first:
            self._hedges.record_first_attempts(1)
            self._retries.record_first_attempts(1)
            delay_s = self._hedges.delay_s(str(item.service))
            self.clock.after(delay_s, self._hedge, item)

    def _launch(self, item: service_model.Item, usable: list[str]) -> None:
        now = self.clock.now
        backend_id = self._chooser.choose(usable, now)
        self._limits_by_id[backend_id].try_acquire(now)
        self._chooser.record_start(backend_id, now)
        attempt = self.submit(item, self._servers_by_id[backend_id])
        timeout_s = retries.attempt_timeout_s(
            item.query.deadline - now,
            self._hedges.delay_s(str(item.service)),
        )
        self.clock.after(timeout_s, self._timeout, attempt)

    def _hedge(self, item: service_model.Item) -> None:
        if item.closed or not item.attempts:
            return
        usable = [
            backend_id
            for backend_id in self._free(item.service)
            if backend_id not in item.tried
        ]
        waiting = len(self._queues[item.service])
        if usable and self._hedges.withdraw_token(waiting):
            self._launch(item, usable)

    def _timeout(self, attempt: service_model.Attempt) -> None:
        if not attempt.ended:
            attempt.server.cancel(attempt)
            self.settle(attempt, _TIMEOUT)

    def _account(
        self, attempt: service_model.Attempt, outcome: limits.CallOutcome
    ) -> None:
        now = self.clock.now
        latency_s = now - attempt.started_at
        backend_id = attempt.server.backend_id
        self._limits_by_id[backend_id].release(outcome, latency_s, now)
        self._chooser.record_end(backend_id, outcome, latency_s, now)
        self.end(attempt, reusable=outcome is not _TIMEOUT)

    def settle(
        self, attempt: service_model.Attempt, outcome: limits.CallOutcome
    ) -> None:
        item = attempt.item
        now = self.clock.now
        self._account(attempt, outcome)
        if outcome is _SUCCESS:
            latency_s = now - attempt.started_at
            self._hedges.observe(str(item.service), latency_s)
            self._queues[item.service].record_duration(latency_s, now)
            for loser in tuple(item.attempts):
                loser.server.cancel(loser)
                self._account(loser, _CANCELLED)
            self.close(item, True)
        elif not item.attempts and not item.closed:
            self._retry(item, outcome)
        self._pump(item.service)

    def _retry(
        self, item: service_model.Item, outcome: limits.CallOutcome
    ) -> None:
        if not self._retries.withdraw():
            self.close(item, False, outcome.name.lower())
            return
        delay_s = retries.backoff_s(
            len(item.tried), self._backoff_ms, self._random
        )
        self.clock.after(delay_s, self._requeue, item)

    def _requeue(self, item: service_model.Item) -> None:
        if item.closed:
            return
        try:
            self._queues[item.service].requeue(self._queued(item))
        except errors.FlowError as refusal:
            self.close(item, False, refusal.code)
            return
        self._pump(item.service)


def _suits(
    excludes: bool, free: list[str], queued: admission.QueuedItem
) -> bool:
    return bool(_usable(queued.item, free, excludes))


def _usable(
    item: service_model.Item, free: list[str], excludes: bool
) -> list[str]:
    """Leave out the replica that failed last when there is another."""
    if not item.tried or not excludes:
        return free
    return [backend_id for backend_id in free if backend_id != item.tried[-1]]
