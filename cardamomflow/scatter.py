"""One query in an entry process; sans-I/O.

Owns which aggregator was asked for which services, the answers so far, and
the decision whom to ask next. An answer counts only when it carries the
attempt id, the request id and the snapshot of a message that was sent.
"""

import json
from collections.abc import Container, Iterable
from typing import Any, NamedTuple

from cardamomflow import coverage, errors, queries, rules, snapshots
from cardamomflow.generated import wire_pb2

# Failures after which another aggregator may still answer.
_ELSEWHERE = frozenset(
    (
        errors.NotOwner.code,
        errors.Stopping.code,
        errors.PeerLost.code,
        errors.ConnectFailed.code,
    )
)
ATTEMPT_ID_BITS = 64
NO_AGGREGATOR = 'no_aggregator'


class Ask(NamedTuple):
    """A message to send to an aggregator."""

    attempt_id: int
    aggregator_id: str
    services: tuple[str, ...]


class Scatter:
    """Account of a query over the aggregators that serve it."""

    def __init__(
        self,
        request_id: str,
        pinned: snapshots.PinnedSnapshot,
        candidates_by_service: dict[str, list[str]],
        limit: int,
    ) -> None:
        """Take the pinned snapshot and whom to ask for each service.

        Parameters
        ----------
        request_id : str
        pinned : snapshots.PinnedSnapshot
        candidates_by_service : dict of str to list of str
            Aggregator ids in the order in which they are asked.
        limit : int
            Rows kept after the merge.
        """
        self.request_id = request_id
        self.pinned = pinned
        self.attempts = 0
        self.needed = len(pinned.shards)
        self._shards_by_service: dict[str, list[snapshots.ShardKey]] = {}
        for shard in pinned.shards:
            self._shards_by_service.setdefault(shard.service, []).append(shard)
        self.spans: list[wire_pb2.Span] = []
        self._limit = limit
        self._candidates_by_service = candidates_by_service
        self._tried_by_service: dict[str, set[str]] = {
            service: set() for service in candidates_by_service
        }
        self._open_by_attempt: dict[int, Ask] = {}
        self._answers: list[wire_pb2.QueryAnswer] = []
        self._covered: set[snapshots.ShardKey] = set()
        self._reasons_by_shard: dict[snapshots.ShardKey, str] = {}

    @property
    def finished(self) -> bool:
        """Whether every shard is covered or nobody is left to answer."""
        return not self._open_by_attempt or self.whole

    @property
    def whole(self) -> bool:
        """Whether every shard of the pinned map is covered."""
        return len(self._covered) == self.needed

    @property
    def answered_any(self) -> bool:
        """Whether any shard is covered."""
        return bool(self._covered)

    @property
    def open_asks(self) -> list[Ask]:
        """Messages whose answer is still awaited."""
        return list(self._open_by_attempt.values())

    def ask(
        self, services: Iterable[str], usable: Container[str], random: Any
    ) -> list[Ask]:
        """Decide whom to ask for services, one message an aggregator.

        Parameters
        ----------
        services : iterable of str
        usable : container of str
            Aggregators that can be reached now.
        random : random.Random
            Draws the attempt ids.

        Returns
        -------
        list of Ask
            Services without any aggregator left are noted as missing.
        """
        services_by_aggregator: dict[str, list[str]] = {}
        for service in services:
            chosen = self._next_candidate(service, usable)
            if chosen is None:
                self._note_missing(service, NO_AGGREGATOR)
            else:
                services_by_aggregator.setdefault(chosen, []).append(service)
        return [
            self._open(
                aggregator_id, tuple(names), random.getrandbits(ATTEMPT_ID_BITS)
            )
            for aggregator_id, names in services_by_aggregator.items()
        ]

    def answered(self, answer: wire_pb2.QueryAnswer) -> list[str] | None:
        """Take an answer.

        Returns
        -------
        list of str or None
            Services to ask another aggregator for; None when the answer
            does not belong to this query and was ignored.
        """
        ask = self._open_by_attempt.get(answer.attempt_id)
        if ask is None or answer.request_id != self.request_id:
            return None
        if not self._is_valid(answer, ask):
            return None
        del self._open_by_attempt[answer.attempt_id]
        self._answers.append(answer)
        self._covered.update(queries.ungroup_shards(answer.answered))
        self.attempts += answer.attempts
        self.spans.extend(answer.spans)
        return self._take_failures(answer)

    def failed(self, attempt_id: int, reason: str) -> list[str]:
        """Note that an aggregator will not answer a message.

        Returns
        -------
        list of str
            Services to ask another aggregator for.
        """
        ask = self._open_by_attempt.pop(attempt_id, None)
        if ask is None:
            return []
        for service in ask.services:
            self._note_missing(service, reason)
        return [
            service
            for service in ask.services
            if not self._is_asked_elsewhere(service)
        ]

    def uncovered_services(self) -> list[str]:
        """Return the services with a shard that is not covered."""
        return sorted(
            {
                shard.service
                for shard in self.pinned.shards
                if shard not in self._covered
            }
        )

    def lost_snapshot(self) -> bool:
        """Whether a shard is missing because the snapshot is gone."""
        return any(
            reason == errors.SnapshotGone.code and shard not in self._covered
            for shard, reason in self._reasons_by_shard.items()
        )

    def result(self) -> coverage.Coverage:
        """Return the merged answer with its coverage.

        Answers that overlap can't both be merged; the one that covers more
        shards goes first.
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

    def _open(
        self, aggregator_id: str, services: tuple[str, ...], attempt_id: int
    ) -> Ask:
        for service in services:
            self._tried_by_service[service].add(aggregator_id)
        ask = Ask(attempt_id, aggregator_id, services)
        self._open_by_attempt[attempt_id] = ask
        return ask

    def _is_valid(self, answer: wire_pb2.QueryAnswer, ask: Ask) -> bool:
        snapshot = snapshots.Snapshot(
            answer.snapshot.index,
            answer.snapshot.version,
            answer.snapshot.map_revision,
        )
        if snapshot != self.pinned.snapshot:
            return False
        asked = set(self.shards_of(ask.services))
        return set(queries.ungroup_shards(answer.answered)) <= asked

    def _take_failures(self, answer: wire_pb2.QueryAnswer) -> list[str]:
        elsewhere: set[str] = set()
        for failure in answer.failures:
            shard = snapshots.ShardKey(failure.service, failure.shard)
            self._reasons_by_shard[shard] = failure.reason
            if failure.reason in _ELSEWHERE:
                elsewhere.add(failure.service)
        return sorted(
            service
            for service in elsewhere
            if not self._is_asked_elsewhere(service)
        )

    def _is_asked_elsewhere(self, service: str) -> bool:
        return any(
            service in ask.services for ask in self._open_by_attempt.values()
        )

    def _note_missing(self, service: str, reason: str) -> None:
        for shard in self.shards_of((service,)):
            if shard not in self._covered:
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
    ask: Ask,
    scatter: Scatter,
    template: wire_pb2.QueryRequest,
    budget_ms: int,
) -> wire_pb2.QueryRequest:
    """Return the message of an ask.

    Parameters
    ----------
    ask : Ask
    scatter : Scatter
    template : wire_pb2.QueryRequest
        Holds what all messages of the query share.
    budget_ms : int
        Time left for the aggregator.
    """
    request = wire_pb2.QueryRequest()
    request.CopyFrom(template)
    request.attempt_id = ask.attempt_id
    request.budget_ms = budget_ms
    request.tasks.extend(queries.group_shards(scatter.shards_of(ask.services)))
    return request


def rank_number(rank: rules.Rank) -> wire_pb2.Rank:
    """Return the wire form of a rank."""
    return wire_pb2.Rank.ValueType(rank.value)
