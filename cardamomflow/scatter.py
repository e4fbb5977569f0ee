"""One query in an entry process; sans-I/O.

Owns the attempts at aggregators, the answers so far, and the choice of the next
aggregator. An answer is accepted only when it has the attempt id, the request
id and the snapshot of a message that was sent.
"""

import json
from collections.abc import Container, Iterable
from typing import Any, NamedTuple

from cardamomflow import coverage, errors, queries, rules, snapshots
from cardamomflow.generated import wire_pb2

# Failure reasons after which another aggregator may still answer.
_RETRYABLE_REASONS = frozenset(
    (
        errors.NotOwner.code,
        errors.Stopping.code,
        errors.PeerLost.code,
        errors.ConnectFailed.code,
    )
)
ATTEMPT_ID_BITS = 64
NO_AGGREGATOR = 'no_aggregator'


class AggregatorAttempt(NamedTuple):
    """A request for the shards of some services, to one aggregator."""

    attempt_id: int
    aggregator_id: str
    services: tuple[str, ...]


class Scatter:
    """State of a query that is spread over aggregators."""

    def __init__(
        self,
        request_id: str,
        pinned: snapshots.PinnedSnapshot,
        candidates_by_service: dict[str, list[str]],
        limit: int,
    ) -> None:
        """Start without attempts.

        Parameters
        ----------
        request_id : str
        pinned : snapshots.PinnedSnapshot
        candidates_by_service : dict of str to list of str
            Aggregator ids of each service, in order of preference.
        limit : int
            Rows kept after the merge.
        """
        self.request_id = request_id
        self.pinned = pinned
        self.backend_attempts = 0
        self.shard_count = len(pinned.shards)
        self._shards_by_service: dict[str, list[snapshots.ShardKey]] = {}
        for shard in pinned.shards:
            self._shards_by_service.setdefault(shard.service, []).append(shard)
        self.spans: list[wire_pb2.Span] = []
        self._limit = limit
        self._candidates_by_service = candidates_by_service
        self._tried_by_service: dict[str, set[str]] = {
            service: set() for service in candidates_by_service
        }
        self._open_by_attempt: dict[int, AggregatorAttempt] = {}
        self._answers: list[wire_pb2.QueryAnswer] = []
        self._covered_shards: set[snapshots.ShardKey] = set()
        self._reasons_by_shard: dict[snapshots.ShardKey, str] = {}

    @property
    def is_finished(self) -> bool:
        """Whether every shard is covered or no attempt is open."""
        return not self._open_by_attempt or self.is_complete

    @property
    def is_complete(self) -> bool:
        """Whether every shard of the pinned map is covered."""
        return len(self._covered_shards) == self.shard_count

    @property
    def has_answered_shard(self) -> bool:
        """Whether any shard is covered."""
        return bool(self._covered_shards)

    @property
    def open_attempts(self) -> list[AggregatorAttempt]:
        """Attempts without an answer or a failure so far."""
        return list(self._open_by_attempt.values())

    def assign(
        self, services: Iterable[str], usable: Container[str], random: Any
    ) -> list[AggregatorAttempt]:
        """Choose aggregators for services, with one attempt per aggregator.

        Parameters
        ----------
        services : iterable of str
        usable : container of str
            Aggregators that can be reached now.
        random : random.Random
            Generates the attempt ids.

        Returns
        -------
        list of AggregatorAttempt
            Attempts to send. Services without an untried aggregator get none;
            their shards are recorded as missing.
        """
        services_by_aggregator: dict[str, list[str]] = {}
        for service in services:
            chosen = self._next_candidate(service, usable)
            if chosen is None:
                self._record_missing(service, NO_AGGREGATOR)
            else:
                services_by_aggregator.setdefault(chosen, []).append(service)
        return [
            self._open_attempt(
                aggregator_id, tuple(names), random.getrandbits(ATTEMPT_ID_BITS)
            )
            for aggregator_id, names in services_by_aggregator.items()
        ]

    def record_answer(self, answer: wire_pb2.QueryAnswer) -> list[str] | None:
        """Record an answer.

        Returns
        -------
        list of str or None
            Services to request from another aggregator; None when the answer
            does not belong to this query and was ignored.
        """
        attempt = self._open_by_attempt.get(answer.attempt_id)
        if attempt is None or answer.request_id != self.request_id:
            return None
        if not self._is_valid(answer, attempt):
            return None
        del self._open_by_attempt[answer.attempt_id]
        self._answers.append(answer)
        self._covered_shards.update(queries.ungroup_shards(answer.answered))
        self.backend_attempts += answer.attempts
        self.spans.extend(answer.spans)
        return self._record_failures(answer)

    def record_failure(self, attempt_id: int, reason: str) -> list[str]:
        """Record an attempt that will get no answer.

        Returns
        -------
        list of str
            Services to request from another aggregator.
        """
        attempt = self._open_by_attempt.pop(attempt_id, None)
        if attempt is None:
            return []
        for service in attempt.services:
            self._record_missing(service, reason)
        return [
            service
            for service in attempt.services
            if not self._has_open_attempt(service)
        ]

    def uncovered_services(self) -> list[str]:
        """Return the services that have an uncovered shard."""
        return sorted(
            {
                shard.service
                for shard in self.pinned.shards
                if shard not in self._covered_shards
            }
        )

    def is_snapshot_lost(self) -> bool:
        """Whether a shard is missing because the snapshot is gone."""
        return any(
            reason == errors.SnapshotGone.code
            and shard not in self._covered_shards
            for shard, reason in self._reasons_by_shard.items()
        )

    def result(self) -> coverage.Coverage:
        """Return the merged answer with its coverage.

        Of two answers that overlap, only one is merged: the one that covers
        more shards.
        """
        merged = coverage.Coverage(
            self.pinned.snapshot, self.pinned.shards, self._limit
        )
        for answer in sorted(self._answers, key=_covered_count, reverse=True):
            merged.accept(
                self.pinned.snapshot,
                queries.ungroup_shards(answer.answered),
                json.loads(answer.rows or b'[]'),
            )
        for shard, reason in self._reasons_by_shard.items():
            merged.fail(shard, reason)
        return merged

    def _next_candidate(
        self, service: str, usable: Container[str]
    ) -> str | None:
        tried = self._tried_by_service[service]
        for aggregator_id in self._candidates_by_service[service]:
            if aggregator_id in usable and aggregator_id not in tried:
                return aggregator_id
        return None

    def _open_attempt(
        self, aggregator_id: str, services: tuple[str, ...], attempt_id: int
    ) -> AggregatorAttempt:
        for service in services:
            self._tried_by_service[service].add(aggregator_id)
        attempt = AggregatorAttempt(attempt_id, aggregator_id, services)
        self._open_by_attempt[attempt_id] = attempt
        return attempt

    def _is_valid(
        self, answer: wire_pb2.QueryAnswer, attempt: AggregatorAttempt
    ) -> bool:
        snapshot = snapshots.Snapshot(
            answer.snapshot.index,
            answer.snapshot.version,
            answer.snapshot.map_revision,
        )
        if snapshot != self.pinned.snapshot:
            return False
        requested_shards = set(self.shards_of(attempt.services))
        return set(queries.ungroup_shards(answer.answered)) <= requested_shards

    def _record_failures(self, answer: wire_pb2.QueryAnswer) -> list[str]:
        retried_services: set[str] = set()
        for failure in answer.failures:
            shard = snapshots.ShardKey(failure.service, failure.shard)
            self._reasons_by_shard[shard] = failure.reason
            if failure.reason in _RETRYABLE_REASONS:
                retried_services.add(failure.service)
        return sorted(
            service
            for service in retried_services
            if not self._has_open_attempt(service)
        )

    def _has_open_attempt(self, service: str) -> bool:
        return any(
            service in attempt.services
            for attempt in self._open_by_attempt.values()
        )

    def _record_missing(self, service: str, reason: str) -> None:
        for shard in self.shards_of((service,)):
            if shard not in self._covered_shards:
                self._reasons_by_shard.setdefault(shard, reason)

    def shards_of(self, services: Iterable[str]) -> list[snapshots.ShardKey]:
        """Return the shards of the pinned map that services hold."""
        return [
            shard
            for service in services
            for shard in self._shards_by_service.get(service, ())
        ]


def _covered_count(answer: wire_pb2.QueryAnswer) -> int:
    return sum(len(task.shards) for task in answer.answered)


def make_request(
    attempt: AggregatorAttempt,
    scatter: Scatter,
    template: wire_pb2.QueryRequest,
    budget_ms: int,
) -> wire_pb2.QueryRequest:
    """Return the message of an attempt.

    Parameters
    ----------
    attempt : AggregatorAttempt
    scatter : Scatter
    template : wire_pb2.QueryRequest
        Fields that all messages of the query have in common.
    budget_ms : int
        Time budget of the aggregator.
    """
    request = wire_pb2.QueryRequest()
    request.CopyFrom(template)
    request.attempt_id = attempt.attempt_id
    request.budget_ms = budget_ms
    request.tasks.extend(
        queries.group_shards(scatter.shards_of(attempt.services))
    )
    return request


def rank_number(rank: rules.Rank) -> wire_pb2.Rank:
    """Return a rank as the value of the wire enum."""
    return wire_pb2.Rank.ValueType(rank.value)
