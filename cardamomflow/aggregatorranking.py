"""Places of aggregators in the ranking of their zone; sans-I/O.

Owns the times at which an aggregator enters and leaves the ranking. An
aggregator may hold connections only while it is in its own host's ranking,
so at most two of a zone hold a service's connections as long as every host
ranks each aggregator that may hold some. Each rule here keeps that relation:
peers rank a new aggregator before it ranks itself, and keep a lost one.
"""

from collections.abc import Iterable

from cardamomflow import routing
from cardamomflow.generated import control_pb2


class _Place:
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


class Places:
    """Aggregators of all zones with their times of entry and loss."""

    def __init__(self, hold_s: float) -> None:
        """Take the time that a lost aggregator keeps its place."""
        self._hold_s = hold_s
        self._places_by_id: dict[str, _Place] = {}
        self._ids_by_member: dict[str, set[str]] = {}
        # Places that a passing time changes; the others need no check.
        self._timed_ids: set[str] = set()

    def keep(
        self,
        record: control_pb2.MemberRecord,
        eligible_at: float,
        now: float,
    ) -> None:
        """Note the aggregators that a live member's record names.

        Parameters
        ----------
        record : control_pb2.MemberRecord
        eligible_at : float
            When an aggregator without a place enters the ranking.
        now : float
            Monotonic seconds.
        """
        present = {endpoint.id: endpoint for endpoint in record.aggregators}
        known = self._ids_by_member.get(record.member_id, set())
        self._lose(known - present.keys(), now)
        for endpoint in present.values():
            self._keep_one(record, endpoint, eligible_at)

    def lose(self, member_id: str, now: float) -> None:
        """Note that a member is gone; its aggregators keep their places."""
        self._lose(self._ids_by_member.get(member_id, ()), now)

    def lost_since(self, aggregator_id: str) -> float | None:
        """Return when an aggregator was lost, None when it is present."""
        place = self._places_by_id.get(aggregator_id)
        return None if place is None else place.lost_at

    def joins_after(self, aggregator_id: str, now: float) -> bool:
        """Tell whether an aggregator is still to enter the ranking."""
        place = self._places_by_id.get(aggregator_id)
        return place is not None and place.eligible_at > now

    def defer(self, aggregator_ids: Iterable[str], eligible_at: float) -> None:
        """Take aggregators out of the ranking until a time."""
        for aggregator_id in aggregator_ids:
            self._places_by_id[aggregator_id].eligible_at = eligible_at
            self._timed_ids.add(aggregator_id)

    def tick(self, now: float) -> bool:
        """Let places take effect or end; tell whether any did."""
        changed = False
        for aggregator_id in tuple(self._timed_ids):
            place = self._places_by_id[aggregator_id]
            if place.lost_at is not None:
                if now - place.lost_at >= self._hold_s:
                    self._drop(aggregator_id)
                    changed = True
            elif place.eligible_at <= now:
                self._timed_ids.discard(aggregator_id)
                changed = True
        return changed

    def ranked(self, now: float) -> dict[str, list[routing.Aggregator]]:
        """Return the aggregators in the ranking of each zone."""
        aggregators_by_zone: dict[str, list[routing.Aggregator]] = {}
        for place in self._places_by_id.values():
            if self._is_ranked(place, now):
                aggregators_by_zone.setdefault(place.zone, []).append(
                    place.aggregator
                )
        return aggregators_by_zone

    def _is_ranked(self, place: _Place, now: float) -> bool:
        if place.eligible_at > now:
            return False
        return place.lost_at is None or now - place.lost_at < self._hold_s

    def _keep_one(
        self,
        record: control_pb2.MemberRecord,
        endpoint: control_pb2.Endpoint,
        eligible_at: float,
    ) -> None:
        aggregator = routing.Aggregator(
            endpoint.id, endpoint.address, endpoint.port
        )
        place = self._places_by_id.get(endpoint.id)
        if place is None:
            place = _Place(
                aggregator,
                record.availability_zone,
                record.member_id,
                eligible_at,
            )
            self._places_by_id[endpoint.id] = place
            self._timed_ids.add(endpoint.id)
        self._ids_by_member.get(place.member_id, set()).discard(endpoint.id)
        place.aggregator = aggregator
        place.zone = record.availability_zone
        place.member_id = record.member_id
        place.lost_at = None
        ids = self._ids_by_member.setdefault(record.member_id, set())
        ids.add(endpoint.id)

    def _lose(self, aggregator_ids: Iterable[str], now: float) -> None:
        for aggregator_id in aggregator_ids:
            place = self._places_by_id[aggregator_id]
            if place.lost_at is None:
                place.lost_at = now
                self._timed_ids.add(aggregator_id)

    def _drop(self, aggregator_id: str) -> None:
        place = self._places_by_id.pop(aggregator_id)
        self._timed_ids.discard(aggregator_id)
        self._ids_by_member[place.member_id].discard(aggregator_id)
