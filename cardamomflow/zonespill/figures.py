"""What one host sees of a service in each availability zone; sans-I/O.

Owns the latency by zone and rank, the attempts in flight, and the load that
backend servers report, each with its age. Nothing here comes from another host.
A figure may be late, false or missing: old ones count as unknown, and what is
measured here is believed before what is reported.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cardamomflow import requeststate, rules

LATENCY_WEIGHT = 0.1
# A latency without a new answer for this time in seconds is forgotten.
LATENCY_KEPT_S = 10.0
LATENCY_DECAY_S = 2.0
# A latency of this age in seconds counts in full.
RECENT_S = 0.1
# Time in seconds in which the lowest average follows a lasting slowdown.
LOWEST_RISE_S = 30.0
# Time in seconds for which a load report counts. Servers that are nearly full
# report with each of their answers, many times in this time.
REPORT_KEPT_S = 1.0
# Time in seconds for which a reported queue counts. It is about the time in
# which a backend server answers as many requests as it has slots.
QUEUE_KEPT_S = 0.1
# Part of the slots of another zone's backend server that may be in use when it
# gets work from this zone. The rest is left for the work of its own zone.
SLOT_SHARE = 0.8
# Mean load, in running and waiting requests for each slot, up to which a zone
# gets work of other zones. A less urgent rank leaves some to the more urgent.
LARGEST_LOAD_BY_RANK = {
    rules.Rank.URGENT: 1.0,
    rules.Rank.STANDARD: 0.95,
    rules.Rank.BULK: 0.9,
}
# Time in seconds over which the reports of a zone are averaged.
LOAD_DECAY_S = 0.5
# Largest weight of a single report, which may have come at a bad moment.
MAXIMUM_LOAD_WEIGHT = 0.3
# Time in seconds after which a zone with twice the largest load is asked again,
# and the longest such time. Zones that are all full send each other next to
# nothing that way.
PROBE_S = 4.0
MAXIMUM_PROBE_S = 8.0
# Room in requests that is assumed at a backend server without a recent report.
UNKNOWN_ROOM = 0.5
# Time in seconds without work for a backend server that refused some.
REFUSED_S = 0.5
_KB = 1024


class Report(NamedTuple):
    """Load of a backend server and when it was reported."""

    room: float
    waiting: int
    taken_at: float


class _Latency:
    """Average latency of answers, with the time of the last one.

    Attributes
    ----------
    lowest_s : float
        Lowest recent average in seconds, infinite without an answer.
    """

    __slots__ = ('lowest_s', '_average_s', '_updated_at')

    def __init__(self) -> None:
        self.lowest_s = math.inf
        self._average_s: float = 0
        self._updated_at = -math.inf

    def record(self, latency_s: float, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s > LATENCY_KEPT_S:
            self._average_s = latency_s
            self.lowest_s = latency_s
        else:
            weight = -math.expm1(-max(0.0, elapsed_s) / LATENCY_DECAY_S)
            weight = max(LATENCY_WEIGHT, weight)
            self._average_s += weight * (latency_s - self._average_s)
            rise = min(1.0, max(0.0, elapsed_s) / LOWEST_RISE_S)
            self.lowest_s += rise * (self._average_s - self.lowest_s)
            self.lowest_s = min(self.lowest_s, self._average_s)
        self._updated_at = now

    def read(self, now: float) -> float | None:
        """Return the average in seconds, None if it is too old.

        Without answers it falls to the lowest one, so that a zone which all
        work has left is tried again.
        """
        age_s = now - self._updated_at
        if age_s < RECENT_S:
            return self._average_s
        if age_s > LATENCY_KEPT_S:
            return None
        decay = math.exp((RECENT_S - age_s) / LATENCY_DECAY_S)
        return self.lowest_s + decay * (self._average_s - self.lowest_s)


class ZoneFigures:
    """Figures of the backend servers of a service in one zone.

    Attributes
    ----------
    in_flight : int
        Attempts of this host that have not ended.
    """

    def __init__(self) -> None:
        """Start without figures."""
        self.in_flight = 0
        self._latency = _Latency()
        self._latency_by_rank = {rank: _Latency() for rank in rules.Rank}
        self._reports_by_id: dict[str, Report] = {}
        self._in_flight_by_id: dict[str, int] = {}
        self._refused_until_by_id: dict[str, float] = {}
        # Mean of the reported loads, requests for each slot.
        self._load: float = 0
        self._loaded_at = -math.inf

    def record_start(self, backend_id: str) -> None:
        """Count an attempt that was sent."""
        self.in_flight += 1
        in_flight = self._in_flight_by_id.get(backend_id, 0)
        self._in_flight_by_id[backend_id] = in_flight + 1

    def record_end(self, backend_id: str) -> None:
        """Count the end of an attempt."""
        in_flight = self._in_flight_by_id.get(backend_id, 0)
        if not in_flight:
            return
        self.in_flight -= 1
        if in_flight == 1:
            self._in_flight_by_id.pop(backend_id)
        else:
            self._in_flight_by_id[backend_id] = in_flight - 1

    def record_latency(
        self, rank: rules.Rank, latency_s: float, now: float
    ) -> None:
        """Record the time from sending a request to its answer."""
        self._latency.record(latency_s, now)
        self._latency_by_rank[rank].record(latency_s, now)

    def record_load(
        self, backend_id: str, load: requeststate.Load, taken_at: float
    ) -> None:
        """Record a load report; an older one than the last is ignored."""
        last = self._reports_by_id.get(backend_id)
        if last is None or taken_at >= last.taken_at:
            self._record_zone_load(load, taken_at)
            room = SLOT_SHARE * load.slots - load.running - load.waiting
            self._reports_by_id[backend_id] = Report(
                room, load.waiting, taken_at
            )

    def _record_zone_load(
        self, load: requeststate.Load, taken_at: float
    ) -> None:
        elapsed_s = max(0.0, taken_at - self._loaded_at)
        weight = -math.expm1(-elapsed_s / LOAD_DECAY_S)
        weight = min(MAXIMUM_LOAD_WEIGHT, max(LATENCY_WEIGHT, weight))
        reported = (load.running + load.waiting) / max(1, load.slots)
        self._load += weight * (reported - self._load)
        self._loaded_at = max(taken_at, self._loaded_at)

    def is_full(self, rank: rules.Rank) -> bool:
        """Return whether the zone has no room for a rank by its mean load."""
        return self._load >= LARGEST_LOAD_BY_RANK[rank]

    def is_open(self, rank: rules.Rank, now: float) -> bool:
        """Return whether the zone may get work of a rank from another zone.

        A zone that reported to be full gets single requests, more seldom the
        fuller it is.
        """
        if not self.is_full(rank):
            return True
        excess = self._load / LARGEST_LOAD_BY_RANK[rank] - 1
        probe_after_s = min(MAXIMUM_PROBE_S, PROBE_S * excess)
        is_due = now - self._loaded_at >= probe_after_s
        return is_due and not self.in_flight

    def record_refusal(self, backend_id: str, now: float) -> None:
        """Record that a backend server refused work."""
        self._refused_until_by_id[backend_id] = now + REFUSED_S

    def forget(self, backend_id: str) -> None:
        """Drop what is known of a backend server that is not listed."""
        self._reports_by_id.pop(backend_id, None)
        self._refused_until_by_id.pop(backend_id, None)

    def latency_s(self, now: float) -> float | None:
        """Return the average latency of all ranks in seconds, if known."""
        return self._latency.read(now)

    def rank_latency_s(self, rank: rules.Rank, now: float) -> float | None:
        """Return the average latency of a rank in seconds, if known."""
        return self._latency_by_rank[rank].read(now)

    def lowest_latency_s(self, rank: rules.Rank) -> float:
        """Return the lowest recent latency of a rank, infinite if unknown."""
        return self._latency_by_rank[rank].lowest_s

    def room(self, backend_id: str, now: float) -> float:
        """Return how many requests of this zone a backend server may take.

        A backend server without a recent report may get one request, whose
        answer brings a report.
        """
        return self.with_room((backend_id,), now)[1]

    def without_queue(
        self, backend_ids: Sequence[str], now: float
    ) -> Sequence[str]:
        """Return the backend servers that reported no queue just now.

        Returns all if this host waits for no answer of the zone, since nothing
        would tell it later that a queue has ended.
        """
        if not self.in_flight:
            return backend_ids
        return [
            backend_id
            for backend_id in backend_ids
            if not self._has_queue(backend_id, now)
        ]

    def _has_queue(self, backend_id: str, now: float) -> bool:
        report = self._reports_by_id.get(backend_id)
        if report is None or not report.waiting:
            return False
        return now - report.taken_at <= QUEUE_KEPT_S

    def with_room(
        self, backend_ids: Iterable[str], now: float
    ) -> tuple[list[str], float]:
        """Return the backend servers that may take work, and their room."""
        found = []
        total: float = 0
        oldest = now - REPORT_KEPT_S
        for backend_id in backend_ids:
            if self._refused_until_by_id.get(backend_id, 0) > now:
                continue
            in_flight = self._in_flight_by_id.get(backend_id, 0)
            report = self._reports_by_id.get(backend_id)
            if report is None or report.taken_at < oldest:
                room = 0 if in_flight else UNKNOWN_ROOM
            else:
                room = report.room - in_flight
            if room > 0:
                found.append(backend_id)
                total += room
        return found, total


class AnswerSize:
    """Average size of the answers of a service."""

    def __init__(self) -> None:
        """Start with empty answers."""
        self.average_kb: float = 0

    def record(self, size_bytes: int) -> None:
        """Record the size of an answer in bytes."""
        difference_kb = size_bytes / _KB - self.average_kb
        self.average_kb += LATENCY_WEIGHT * difference_kb
