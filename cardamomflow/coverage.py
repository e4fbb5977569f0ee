"""Merging of shard answers and their coverage; sans-I/O.

Owns the coverage of one query: which shards of the pinned map were answered,
and which are missing for what reason. Each shard is counted at most once.
Used by the aggregator and again by the entry.
"""

import heapq
import itertools
from collections.abc import Iterable
from typing import Any, NamedTuple, TypedDict

from cardamomflow import snapshots


class Row(TypedDict):
    """A row of an answer; rows may have more keys."""

    id: str
    score: float


class MissingShard(TypedDict):
    """A shard that the answer does not cover."""

    service: str
    shard: int
    reason: str


class CoverageSummary(NamedTuple):
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
    """Merged rows and answered shards of one query."""

    def __init__(
        self,
        snapshot: snapshots.Snapshot,
        shards: Iterable[snapshots.ShardKey],
        limit: int,
    ) -> None:
        """Create a coverage with every shard missing.

        Parameters
        ----------
        snapshot : snapshots.Snapshot
            The pinned snapshot; answers of another one are not merged.
        shards : iterable of snapshots.ShardKey
            The shards that a complete answer covers.
        limit : int
            Maximum number of rows after the merge.
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

        An answer is merged entirely or rejected: rows of a shard that was
        merged before would be duplicated, and rows merged on an earlier hop
        can't be separated by shard.

        Returns
        -------
        bool
            False when the answer is of another snapshot, covers no shard, a
            shard that was not requested, or a shard that was merged before.
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
        """Record why a shard is missing; an answered shard stays answered."""
        if shard in self._reasons_by_shard:
            self._reasons_by_shard[shard] = reason

    def missing_shards(self) -> list[tuple[snapshots.ShardKey, str]]:
        """Return each shard that is not answered, with the reason."""
        return [
            (shard, reason)
            for shard, reason in self._reasons_by_shard.items()
            if shard not in self._answered
        ]

    def rows(self) -> list[Any]:
        """Return the merged rows, best score first, within the limit."""
        merged = itertools.chain.from_iterable(self._rows)
        return heapq.nsmallest(self._limit, merged, key=_row_order)

    def summary(self) -> CoverageSummary:
        """Return the coverage reported to the caller."""
        return CoverageSummary(
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
