"""Availability zones that this host can reach; sans-I/O.

Owns the requests sent to each zone since its last answer. A zone that is cut
off answers nothing, so work for it would wait until its deadline. A single
backend server that pauses or has crashed does not make its zone unreachable.
"""

from collections.abc import Iterable

# Longer than pauses and the usual processing time of backend servers.
SILENCE_S = 0.5
# A zone is suspected once this many of its backend servers are silent.
MINIMUM_SILENT_BACKENDS = 3
# A process that was not scheduled for this long may have unread answers.
STALL_S = 0.3


class Reachability:
    """Detects zones that do not answer."""

    def __init__(self) -> None:
        """Start with every zone reachable."""
        self._request_times_by_zone: dict[str, dict[str, float]] = {}
        self._silent_since_by_zone: dict[str, float] = {}
        self._checked_at = float('-inf')

    @property
    def silent_zones(self) -> Iterable[str]:
        """Zones that are marked as silent."""
        return self._silent_since_by_zone.keys()

    def is_silent(self, zone: str) -> bool:
        """Return whether a zone is marked as silent."""
        return zone in self._silent_since_by_zone

    def silent_since(self) -> float | None:
        """Return since when a zone has been silent, None if none is."""
        return min(self._silent_since_by_zone.values(), default=None)

    def record_request(self, zone: str, backend_id: str, now: float) -> None:
        """Record a request to a backend server of a zone."""
        sent_at_by_id = self._request_times_by_zone.setdefault(zone, {})
        sent_at_by_id.setdefault(backend_id, now)

    def record_answer(self, zone: str) -> bool:
        """Record an answer from a zone; return whether it was silent."""
        sent_at_by_id = self._request_times_by_zone.get(zone)
        if sent_at_by_id:
            sent_at_by_id.clear()
        return self._silent_since_by_zone.pop(zone, None) is not None

    def forget(self, zone: str) -> None:
        """Drop what is known about a zone that gets no more requests."""
        self._request_times_by_zone.pop(zone, None)
        self._silent_since_by_zone.pop(zone, None)

    def check(self, now: float) -> list[str]:
        """Return the zones that are suspected to be silent.

        Probe them before `mark_silent`, since a zone may only be slow. Call
        this more often than every `STALL_S`.
        """
        stalled = now - self._checked_at > STALL_S
        self._checked_at = now
        if stalled:
            self._request_times_by_zone.clear()
            return []
        return [
            zone
            for zone, sent_at_by_id in self._request_times_by_zone.items()
            if zone not in self._silent_since_by_zone
            and _count_before(sent_at_by_id.values(), now - SILENCE_S)
            >= MINIMUM_SILENT_BACKENDS
        ]

    def mark_silent(self, zone: str, now: float) -> bool:
        """Mark a zone that answers no probe; return whether that is new."""
        was_silent = zone in self._silent_since_by_zone
        self._silent_since_by_zone.setdefault(zone, now)
        return not was_silent


def _count_before(times: Iterable[float], bound: float) -> int:
    return sum(sent_at <= bound for sent_at in times)
