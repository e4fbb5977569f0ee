"""Aggregators that are ranked in each zone; sans-I/O.

Owns the times at which an aggregator enters and leaves the ranking of its
zone. An aggregator may connect to backend servers only while its own host
ranks it. At most two aggregators of a zone are connected to a service as long
as every host ranks each aggregator that may be connected. To ensure this,
peers rank a new aggregator before it ranks itself, and keep a lost one ranked
for some time.
"""

from collections.abc import Iterable

from cardamomflow import routing
from cardamomflow.generated import control_pb2


class _Entry:
    __slots__ = ('aggregator', 'eligible_at', 'lost_at', 'member_id', 'zone')

    def __init__(
        self,
        aggregator: routing.Aggregator,
        zone: str,
        member_id: str,
        eligible_at: float,
    ) -> None:
        self.aggregator = aggregator
        self.zone = zone
        self.member_id = member_id
        self.eligible_at = eligible_at
        self.lost_at: float | None = None


class AggregatorRanking:
    """Aggregators of all zones, with the times of their entry and loss."""

    def __init__(self, hold_s: float) -> None:
        """Create an empty ranking.

        Parameters
        ----------
        hold_s : float
            Seconds for which a lost aggregator stays ranked.
        """
        self._hold_s = hold_s
        self._entries_by_id: dict[str, _Entry] = {}
        self._ids_by_member: dict[str, set[str]] = {}
        # Entries that change at a certain time; `tick` checks only these.
        self._timed_ids: set[str] = set()

    def record_present(
        self,
        record: control_pb2.MemberRecord,
        eligible_at: float,
        now: float,
    ) -> None:
        """Record the aggregators that a live member's record lists.

        Parameters
        ----------
        record : control_pb2.MemberRecord
        eligible_at : float
            Monotonic time at which a new aggregator enters the ranking.
        now : float
            Monotonic seconds.
        """
        present = {endpoint.id: endpoint for endpoint in record.aggregators}
        known_ids = self._ids_by_member.get(record.member_id, set())
        self._mark_lost(known_ids - present.keys(), now)
        for endpoint in present.values():
            self._mark_present(record, endpoint, eligible_at)

    def record_lost(self, member_id: str, now: float) -> None:
        """Record that a member is lost; its aggregators stay ranked."""
        self._mark_lost(self._ids_by_member.get(member_id, ()), now)

    def lost_since(self, aggregator_id: str) -> float | None:
        """Return when an aggregator was lost, or None."""
        entry = self._entries_by_id.get(aggregator_id)
        return None if entry is None else entry.lost_at

    def is_pending(self, aggregator_id: str, now: float) -> bool:
        """Return whether an aggregator has yet to enter the ranking."""
        entry = self._entries_by_id.get(aggregator_id)
        return entry is not None and entry.eligible_at > now

    def defer(self, aggregator_ids: Iterable[str], eligible_at: float) -> None:
        """Exclude aggregators from the ranking until a time."""
        for aggregator_id in aggregator_ids:
            self._entries_by_id[aggregator_id].eligible_at = eligible_at
            self._timed_ids.add(aggregator_id)

    def tick(self, now: float) -> bool:
        """Add and remove aggregators whose time has come.

        Returns whether the ranking changed.
        """
        changed = False
        for aggregator_id in tuple(self._timed_ids):
            entry = self._entries_by_id[aggregator_id]
            if entry.lost_at is not None:
                if now - entry.lost_at >= self._hold_s:
                    self._drop(aggregator_id)
                    changed = True
            elif entry.eligible_at <= now:
                self._timed_ids.discard(aggregator_id)
                changed = True
        return changed

    def ranked_by_zone(self, now: float) -> dict[str, list[routing.Aggregator]]:
        """Return the ranked aggregators of each zone."""
        aggregators_by_zone: dict[str, list[routing.Aggregator]] = {}
        for entry in self._entries_by_id.values():
            if self._is_ranked(entry, now):
                aggregators_by_zone.setdefault(entry.zone, []).append(
                    entry.aggregator
                )
        return aggregators_by_zone

    def _is_ranked(self, entry: _Entry, now: float) -> bool:
        if entry.eligible_at > now:
            return False
        return entry.lost_at is None or now - entry.lost_at < self._hold_s

    def _mark_present(
        self,
        record: control_pb2.MemberRecord,
        endpoint: control_pb2.Endpoint,
        eligible_at: float,
    ) -> None:
        aggregator = routing.Aggregator(
            endpoint.id, endpoint.address, endpoint.port
        )
        entry = self._entries_by_id.get(endpoint.id)
        if entry is None:
            entry = _Entry(
                aggregator,
                record.availability_zone,
                record.member_id,
                eligible_at,
            )
            self._entries_by_id[endpoint.id] = entry
            self._timed_ids.add(endpoint.id)
        self._ids_by_member.get(entry.member_id, set()).discard(endpoint.id)
        entry.aggregator = aggregator
        entry.zone = record.availability_zone
        entry.member_id = record.member_id
        entry.lost_at = None
        ids = self._ids_by_member.setdefault(record.member_id, set())
        ids.add(endpoint.id)

    def _mark_lost(self, aggregator_ids: Iterable[str], now: float) -> None:
        for aggregator_id in aggregator_ids:
            entry = self._entries_by_id[aggregator_id]
            if entry.lost_at is None:
                entry.lost_at = now
                self._timed_ids.add(aggregator_id)

    def _drop(self, aggregator_id: str) -> None:
        entry = self._entries_by_id.pop(aggregator_id)
        self._timed_ids.discard(aggregator_id)
        self._ids_by_member[entry.member_id].discard(aggregator_id)
