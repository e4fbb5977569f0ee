"""Merge of shard answers and the coverage they give; sans-I/O.

Owns the account of one query: which shards of the pinned map were answered,
by whom nothing counts twice, and which are missing for what reason. Used at
the aggregator and again at the entry.
"""

import heapq
import itertools
from collections.abc import Iterable
from typing import Any, NamedTuple, TypedDict

from cardamomflow import snapshots


class Row(TypedDict):
    """A row of an answer; rows may carry more keys."""

    id: str
    score: float


class MissingShard(TypedDict):
    """A shard that the answer does not cover."""

    service: str
    shard: int
    reason: str


class Summary(NamedTuple):
    """Coverage of an answer by shards of the pinned map.

    Attributes
    ----------
    answered : int
    total : int
    missing : list of MissingShard
    """

    answered: int
    total: int
    missing: list[MissingShard]


class Coverage:
    """Account of one query over the shards of its pinned map."""

    def __init__(
        self,
        snapshot: snapshots.Snapshot,
        shards: Iterable[snapshots.ShardKey],
        limit: int,
    ) -> None:
        """Start with every shard missing.

        Parameters
        ----------
        snapshot : snapshots.Snapshot
            The pinned snapshot; answers of another one are not merged.
        shards : iterable of snapshots.ShardKey
            The shards that a whole answer covers.
        limit : int
            Rows kept after the merge.
        """
        self.snapshot = snapshot
        self._reasons_by_shard: dict[snapshots.ShardKey, str] = dict.fromkeys(
            shards, 'not_answered'
        )
        self._answered: set[snapshots.ShardKey] = set()
        self._limit = limit
        self._rows: list[list[Any]] = []

    @property
    def complete(self) -> bool:
        """Whether every shard is answered."""
        return len(self._answered) == len(self._reasons_by_shard)

    @property
    def answered(self) -> list[snapshots.ShardKey]:
        """The answered shards, sorted."""
        return sorted(self._answered)

    def accept(
        self,
        snapshot: snapshots.Snapshot,
        shards: Iterable[snapshots.ShardKey],
        rows: list[Any],
    ) -> bool:
        """Merge an answer that covers one or more shards.

        An answer is taken whole or not at all: rows of a shard that was
        merged before would stand twice, and rows can't be told apart by
        shard after a merge on an earlier hop.

        Returns
        -------
        bool
            False when the answer is of another snapshot, covers a shard
            that was not asked for, or a shard that was merged before.
        """
        covered = set(shards)
        if snapshot != self.snapshot or not covered:
            return False
        if not covered <= self._reasons_by_shard.keys():
            return False
        if covered & self._answered:
            return False
        self._answered |= covered
        self._rows.append(rows)
        return True

    def fail(self, shard: snapshots.ShardKey, reason: str) -> None:
        """Note why a shard is missing; an answered shard stays answered."""
        if shard in self._reasons_by_shard:
            self._reasons_by_shard[shard] = reason

    def missing_shards(self) -> list[tuple[snapshots.ShardKey, str]]:
        """Return the shards not answered, with the reason of each."""
        return [
            (shard, reason)
            for shard, reason in self._reasons_by_shard.items()
            if shard not in self._answered
        ]

    def rows(self) -> list[Any]:
        """Return the merged rows, best score first, within the limit."""
        merged = itertools.chain.from_iterable(self._rows)
        return heapq.nsmallest(self._limit, merged, key=_row_order)

    def summary(self) -> Summary:
        """Return the coverage reported to the caller."""
        return Summary(
            len(self._answered),
            len(self._reasons_by_shard),
            [
                MissingShard(
                    service=shard.service, shard=shard.shard, reason=reason
                )
                for shard, reason in self.missing_shards()
            ],
        )


def _row_order(row: Row) -> tuple[float, str]:
    return -row['score'], row['id']
