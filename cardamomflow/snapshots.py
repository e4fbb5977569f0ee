"""Choice of the snapshot that a query is pinned to; sans-I/O.

Owns the catalogue of index versions that backend servers hold. The reports
of backend servers arrive with a delay, so a pinned snapshot may be gone when
the query arrives; the snapshot is then chosen again with the lost one excluded.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from cardamomflow import errors, register


class Holding(NamedTuple):
    """Shards of one index version that a backend server can serve."""

    version: int
    map_revision: int
    shards: frozenset[int]


class Snapshot(NamedTuple):
    """An index version together with its shard map."""

    index: str
    version: int
    map_revision: int


class ShardKey(NamedTuple):
    """A shard of a service under the pinned map."""

    service: str
    shard: int


class PinnedSnapshot(NamedTuple):
    """A snapshot with all shards that a complete answer covers."""

    snapshot: Snapshot
    shards: tuple[ShardKey, ...]


class SnapshotCatalog:
    """Index versions by backend server, as last reported."""

    def __init__(self) -> None:
        """Create an empty catalogue."""
        self._holdings_by_service: dict[
            str, dict[str, tuple[Holding, ...]]
        ] = {}
        self._rankings_by_targets: dict[tuple[str, ...], list[Snapshot]] = {}

    def update(
        self, service: str, backend_id: str, holdings: Iterable[Holding]
    ) -> None:
        """Replace the holdings of one backend server."""
        holdings_by_backend = self._holdings_by_service.setdefault(service, {})
        holdings_by_backend[backend_id] = tuple(holdings)
        self._rankings_by_targets.clear()

    def remove(self, service: str, backend_id: str) -> None:
        """Remove a backend server that is gone."""
        self._holdings_by_service.get(service, {}).pop(backend_id, None)
        self._rankings_by_targets.clear()

    def invalidate(self) -> None:
        """Drop cached rankings after a change of the register."""
        self._rankings_by_targets.clear()

    def choose(
        self,
        index: register.Index,
        services: tuple[str, ...],
        excluded: Collection[Snapshot] = (),
    ) -> PinnedSnapshot:
        """Pin the snapshot for a query.

        Chooses the newest version of which all shards are held. If there is
        none, chooses the version with the largest share of its shards held,
        and the newest of these.

        Parameters
        ----------
        index : register.Index
            The queried index.
        services : tuple of str
            Queried services of the index.
        excluded : collection of Snapshot
            Snapshots that are no longer available.

        Raises
        ------
        errors.SnapshotGone
            No backend server reports a snapshot of the index.
        """
        for snapshot in self._cached_ranking(index, services):
            if snapshot not in excluded:
                return _pin(snapshot, index, services)
        raise errors.SnapshotGone(
            'no reachable backend server holds a snapshot of index'
            f' {index.name!r}'
        )

    def holders(self, shard: ShardKey, snapshot: Snapshot) -> list[str]:
        """Return the backend servers that hold a shard of a snapshot."""
        holdings_by_backend = self._holdings_by_service.get(shard.service, {})
        return [
            backend_id
            for backend_id, holdings in holdings_by_backend.items()
            if holds(holdings, shard.shard, snapshot)
        ]

    def _cached_ranking(
        self, index: register.Index, services: tuple[str, ...]
    ) -> list[Snapshot]:
        key = (index.name, *services)
        ranking = self._rankings_by_targets.get(key)
        if ranking is None:
            ranking = self._rank(index, services)
            self._rankings_by_targets[key] = ranking
        return ranking

    def _rank(
        self, index: register.Index, services: tuple[str, ...]
    ) -> list[Snapshot]:
        held_shards_by_version: dict[tuple[int, int], set[ShardKey]] = {}
        for service in services:
            for holdings in self._holdings_by_service.get(service, {}).values():
                _add_held(held_shards_by_version, service, holdings)
        shard_counts_by_version = {
            version: len(held_shards)
            for version, held_shards in held_shards_by_version.items()
            if version[1] in index.shards_by_map
        }
        ranked = sorted(
            shard_counts_by_version,
            key=lambda version: _preference(
                version, shard_counts_by_version[version], index, len(services)
            ),
            reverse=True,
        )
        return [Snapshot(index.name, *version) for version in ranked]


def _preference(
    version: tuple[int, int],
    held_count: int,
    index: register.Index,
    service_count: int,
) -> tuple[float, int, int]:
    total = index.shards_by_map[version[1]] * service_count
    return held_count / total, *version


def _add_held(
    held_shards_by_version: dict[tuple[int, int], set[ShardKey]],
    service: str,
    holdings: tuple[Holding, ...],
) -> None:
    for holding in holdings:
        held_shards = held_shards_by_version.setdefault(
            (holding.version, holding.map_revision), set()
        )
        held_shards.update(ShardKey(service, shard) for shard in holding.shards)


def holds(
    holdings: tuple[Holding, ...], shard: int, snapshot: Snapshot
) -> bool:
    """Return whether holdings include a shard of a snapshot."""
    return any(
        holding.version == snapshot.version
        and holding.map_revision == snapshot.map_revision
        and shard in holding.shards
        for holding in holdings
    )


def _pin(
    snapshot: Snapshot, index: register.Index, services: tuple[str, ...]
) -> PinnedSnapshot:
    count = index.shards_by_map[snapshot.map_revision]
    return PinnedSnapshot(
        snapshot,
        tuple(
            ShardKey(service, shard)
            for service in services
            for shard in range(count)
        ),
    )
