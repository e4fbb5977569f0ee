"""Backend servers as the platform lists them; sans-I/O.

Owns which backend servers of a service may get new work. The list lapses
while the platform is away: an entry that vanished then is kept for a short
time, in which its backend server is listed again if it lives.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cardamomflow import register

# Entries that lapsed in an outage are back about 2 s after its end.
LAPSE_HOLD_S = 2.2


class Change(NamedTuple):
    """What an update changed.

    Attributes
    ----------
    backend_id : str
    service : str
    usable : bool
        Whether the backend server may get new work now.
    """

    backend_id: str
    service: str
    usable: bool


class Directory:
    """Backend servers by service."""

    def __init__(self) -> None:
        """Start without backend servers."""
        self.backends_by_id: dict[str, register.Backend] = {}
        self._ids_by_service: dict[str, tuple[str, ...]] = {}
        self._lapsed_until: dict[str, float] = {}
        self._outage_until = float('-inf')

    def usable(self, service: str) -> tuple[str, ...]:
        """Return the backend servers of a service that take new work."""
        return self._ids_by_service.get(service, ())

    def in_zone(self, backend_ids: Iterable[str], zone: str) -> set[str]:
        """Return those of some backend servers that are in a zone."""
        return {
            backend_id
            for backend_id in backend_ids
            if self.backends_by_id[backend_id].availability_zone == zone
        }

    def services_by_zone(self, services: Iterable[str]) -> dict[str, set[str]]:
        """Return those of some services with backend servers, by zone."""
        found: dict[str, set[str]] = {}
        for service in services:
            for backend_id in self.usable(service):
                zone = self.backends_by_id[backend_id].availability_zone
                found.setdefault(zone, set()).add(service)
        return found

    def outage(self, now: float) -> None:
        """Note that the platform does not answer, or has just returned."""
        self.hold_until(now + LAPSE_HOLD_S)

    @property
    def outage_until(self) -> float:
        """Until when an entry that vanishes may have lapsed."""
        return self._outage_until

    def hold_until(self, until: float) -> None:
        """Keep entries that vanish until a time."""
        if until <= self._outage_until:
            return
        self._outage_until = until
        for backend_id in self._lapsed_until:
            self._lapsed_until[backend_id] = until

    def listed(self, backend: register.Backend) -> Change | None:
        """Take an entry; returns None when nothing changed."""
        backend_id = backend.backend_id
        self._lapsed_until.pop(backend_id, None)
        before = self.backends_by_id.get(backend_id)
        if before == backend:
            return None
        self.backends_by_id[backend_id] = backend
        if before is not None and before.service != backend.service:
            self._set_usable(before, usable=False)
        self._set_usable(backend, usable=not backend.leaving)
        return Change(backend_id, backend.service, not backend.leaving)

    def vanished(self, backend_id: str, now: float) -> Change | None:
        """Take the end of an entry; one that lapsed in an outage is kept."""
        if backend_id not in self.backends_by_id:
            return None
        if now < self._outage_until:
            self._lapsed_until.setdefault(backend_id, self._outage_until)
            return None
        return self._drop(backend_id)

    def replaced(self, listed_ids: set[str], now: float) -> list[Change]:
        """Take a complete list; what it lacks has vanished."""
        changes = [
            self.vanished(backend_id, now)
            for backend_id in self.backends_by_id.keys() - listed_ids
        ]
        return [change for change in changes if change is not None]

    def expire(self, now: float) -> list[Change]:
        """Drop lapsed entries that were not listed again in time."""
        overdue = [
            backend_id
            for backend_id, until in self._lapsed_until.items()
            if until <= now
        ]
        return [self._drop(backend_id) for backend_id in overdue]

    def misdirected(self, backend_id: str) -> Change | None:
        """Drop a backend server whose address belongs to another one."""
        if backend_id not in self.backends_by_id:
            return None
        return self._drop(backend_id)

    def _drop(self, backend_id: str) -> Change:
        self._lapsed_until.pop(backend_id, None)
        backend = self.backends_by_id.pop(backend_id)
        self._set_usable(backend, usable=False)
        return Change(backend_id, backend.service, usable=False)

    def _set_usable(self, backend: register.Backend, *, usable: bool) -> None:
        ids = set(self.usable(backend.service)) - {backend.backend_id}
        if usable:
            ids.add(backend.backend_id)
        if ids:
            self._ids_by_service[backend.service] = tuple(sorted(ids))
        else:
            self._ids_by_service.pop(backend.service, None)
