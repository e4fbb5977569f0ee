"""Choice of the snapshot that a query is pinned to; sans-I/O.

Owns the catalogue of index versions that backend servers hold. It learns
them from reports, which lag, so a pinned snapshot may be gone when the query
arrives; the caller then chooses again with the lost snapshot excluded.
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


class Pinned(NamedTuple):
    """A snapshot with all shards that a whole answer has to cover."""

    snapshot: Snapshot
    shards: tuple[ShardKey, ...]


class SnapshotCatalog:
    """Index versions by backend server, as last reported."""

    def __init__(self) -> None:
        """Start without any report."""
        self._holdings_by_service: dict[
            str, dict[str, tuple[Holding, ...]]
        ] = {}
        self._choices_by_targets: dict[tuple[str, ...], list[Snapshot]] = {}

    def report(
        self, service: str, backend_id: str, holdings: Iterable[Holding]
    ) -> None:
        """Replace what is known of one backend server."""
        by_backend = self._holdings_by_service.setdefault(service, {})
        by_backend[backend_id] = tuple(holdings)
        self._choices_by_targets.clear()

    def forget(self, service: str, backend_id: str) -> None:
        """Drop a backend server that is gone."""
        self._holdings_by_service.get(service, {}).pop(backend_id, None)
        self._choices_by_targets.clear()

    def invalidate(self) -> None:
        """Forget cached choices, after the register changed."""
        self._choices_by_targets.clear()

    def choose(
        self,
        index: register.Index,
        services: tuple[str, ...],
        excluded: Collection[Snapshot] = (),
    ) -> Pinned:
        """Pin the snapshot for a query.

        The newest version that every shard holds wins; when no version is
        whole, the one that covers most shards, and the newest of these.

        Parameters
        ----------
        index : register.Index
            The index that the query reads.
        services : tuple of str
            Services of the index that the query touches.
        excluded : collection of Snapshot
            Snapshots that proved to be gone.

        Raises
        ------
        errors.SnapshotGone
            No backend server reports a snapshot of the index.
        """
        for snapshot in self._ranked(index, services):
            if snapshot not in excluded:
                return _pin(snapshot, index, services)
        raise errors.SnapshotGone(
            f'no snapshot of index {index.name!r} is held by any backend'
            ' server that can be reached'
        )

    def holders(self, shard: ShardKey, snapshot: Snapshot) -> list[str]:
        """Return the backend servers that report a shard of a snapshot."""
        by_backend = self._holdings_by_service.get(shard.service, {})
        return [
            backend_id
            for backend_id, holdings in by_backend.items()
            if holds(holdings, shard.shard, snapshot)
        ]

    def _ranked(
        self, index: register.Index, services: tuple[str, ...]
    ) -> list[Snapshot]:
        key = (index.name, *services)
        found = self._choices_by_targets.get(key)
        if found is None:
            found = self._rank(index, services)
            self._choices_by_targets[key] = found
        return found

    def _rank(
        self, index: register.Index, services: tuple[str, ...]
    ) -> list[Snapshot]:
        held_by_version: dict[tuple[int, int], set[ShardKey]] = {}
        for service in services:
            for holdings in self._holdings_by_service.get(service, {}).values():
                _add_held(held_by_version, service, holdings)
        known = {
            version: len(held)
            for version, held in held_by_version.items()
            if version[1] in index.shards_by_map
        }
        ranked = sorted(
            known,
            key=lambda version: _preference(
                version, known[version], index, len(services)
            ),
            reverse=True,
        )
        return [Snapshot(index.name, *version) for version in ranked]


def _preference(
    version: tuple[int, int],
    held: int,
    index: register.Index,
    services: int,
) -> tuple[float, int, int]:
    total = index.shards_by_map[version[1]] * services
    return held / total, *version


def _add_held(
    held_by_version: dict[tuple[int, int], set[ShardKey]],
    service: str,
    holdings: tuple[Holding, ...],
) -> None:
    for holding in holdings:
        held = held_by_version.setdefault(
            (holding.version, holding.map_revision), set()
        )
        held.update(ShardKey(service, shard) for shard in holding.shards)


def holds(
    holdings: tuple[Holding, ...], shard: int, snapshot: Snapshot
) -> bool:
    """Tell whether holdings have a shard of a snapshot."""
    return any(
        holding.version == snapshot.version
        and holding.map_revision == snapshot.map_revision
        and shard in holding.shards
        for holding in holdings
    )


def _pin(
    snapshot: Snapshot, index: register.Index, services: tuple[str, ...]
) -> Pinned:
    count = index.shards_by_map[snapshot.map_revision]
    return Pinned(
        snapshot,
        tuple(
            ShardKey(service, shard)
            for service in services
            for shard in range(count)
        ),
    )
