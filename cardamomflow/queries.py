"""Items and attempts of one query in an aggregator; sans-I/O.

Owns the items of a query, the attempts sent for them and the coverage of
their answers. An answer is accepted only with the ID of an attempt in progress.
"""

import json
from collections.abc import Iterable
from typing import Any

from cardamomflow import coverage, rules, snapshots
from cardamomflow.generated import wire_pb2


class QueryItem:
    """A shard of a query, with its attempts."""

    def __init__(self, job: 'QueryJob', shard: snapshots.ShardKey) -> None:
        """Create an item without attempts."""
        self.job = job
        self.shard = shard
        # Backend servers tried in this round; a new round begins when all
        # have been tried.
        self.tried: set[str] = set()
        self.attempts_sent = 0
        self.backends_by_attempt: dict[str, str] = {}

    @property
    def settled(self) -> bool:
        """Whether the query or this shard is finished."""
        return self.job.finished or self.shard not in self.job.open_shards

    @property
    def in_flight(self) -> bool:
        """Whether an attempt has no answer yet."""
        return bool(self.backends_by_attempt)

    def start_attempt(self, attempt: str, backend_id: str) -> None:
        """Record an attempt that is sent to a backend server."""
        self.tried.add(backend_id)
        self.attempts_sent += 1
        self.backends_by_attempt[attempt] = backend_id
        self.job.attempts += 1

    def end_attempt(self, attempt: str) -> None:
        """Record the end of an attempt."""
        self.backends_by_attempt.pop(attempt, None)


class QueryJob:
    """A query that an aggregator received, with its progress."""

    def __init__(
        self,
        request: wire_pb2.QueryRequest,
        deadline: float,
        link: Any,
    ) -> None:
        """Create a job with one item for each requested shard.

        Parameters
        ----------
        request : wire_pb2.QueryRequest
        deadline : float
            Monotonic seconds of this process.
        link : links.Link
            Link on which the answer is sent.
        """
        self.request = request
        self.deadline = deadline
        self.link = link
        self.finished = False
        self.attempts = 0
        self.spans: list[wire_pb2.Span] = []
        self.root_span: Any = None
        self.query = json.loads(request.query or b'{}')
        self.snapshot = snapshots.Snapshot(
            request.snapshot.index,
            request.snapshot.version,
            request.snapshot.map_revision,
        )
        shards = [
            snapshots.ShardKey(task.service, shard)
            for task in request.tasks
            for shard in task.shards
        ]
        self.items_by_shard = {
            shard: QueryItem(self, shard) for shard in shards
        }
        self._items_by_service: dict[str, list[QueryItem]] = {}
        for shard, item in self.items_by_shard.items():
            self._items_by_service.setdefault(shard.service, []).append(item)
        self.open_shards = set(self.items_by_shard)
        self.coverage = coverage.Coverage(self.snapshot, shards, request.limit)

    @property
    def rank(self) -> rules.Rank:
        """The rank of the query."""
        return rules.Rank(self.request.rank)

    def items_of(self, service: str) -> list[QueryItem]:
        """Return the items of one service."""
        return self._items_by_service.get(service, [])

    def complete(self, item: QueryItem, rows: list[Any]) -> bool:
        """Merge the answer of a shard.

        Returns
        -------
        bool
            Whether the query has no more open shards.
        """
        self.coverage.accept(self.snapshot, [item.shard], rows)
        self.open_shards.discard(item.shard)
        return not self.open_shards

    def fail(self, item: QueryItem, reason: str) -> bool:
        """Mark a shard as failed.

        Returns
        -------
        bool
            Whether the query has no more open shards.
        """
        self.coverage.fail(item.shard, reason)
        self.open_shards.discard(item.shard)
        return not self.open_shards

    def fail_open_shards(self, reason: str) -> None:
        """Mark every open shard as failed; keeps reasons recorded before."""
        for shard, recorded_reason in self.coverage.missing_shards():
            if shard in self.open_shards and recorded_reason == 'not_answered':
                self.coverage.fail(shard, reason)
        self.open_shards.clear()

    def record_failure(self, item: QueryItem, reason: str) -> None:
        """Record why an attempt failed while others may still succeed."""
        self.coverage.fail(item.shard, reason)


def group_shards(
    shards: Iterable[snapshots.ShardKey],
) -> list[wire_pb2.ServiceTask]:
    """Group shards into one task for each service."""
    numbers_by_service: dict[str, list[int]] = {}
    for shard in shards:
        numbers_by_service.setdefault(shard.service, []).append(shard.shard)
    return [
        wire_pb2.ServiceTask(service=service, shards=numbers)
        for service, numbers in numbers_by_service.items()
    ]


def ungroup_shards(
    tasks: Iterable[wire_pb2.ServiceTask],
) -> list[snapshots.ShardKey]:
    """Return the shards of tasks."""
    return [
        snapshots.ShardKey(task.service, shard)
        for task in tasks
        for shard in task.shards
    ]
