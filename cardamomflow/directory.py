"""Backend servers that the platform lists; sans-I/O.

Owns which backend servers of a service may get new work; those of evacuated
zones may not. Entries expire at the
platform during its outages. An entry that is removed then is kept for a short
time, within which the platform lists its backend server again if it is alive.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cardamomflow import register

# Entries that expired in an outage are listed again about 2 s after its end.
OUTAGE_GRACE_S = 2.2
# Notices beyond this number replace the oldest ones.
MAX_LEAVING_NOTICES = 10_000


class Change(NamedTuple):
    """Change of a backend server's entry.

    Attributes
    ----------
    backend_id : str
    service : str
    usable : bool
        Whether the backend server may get new work now.
    restarted : bool
        Whether the backend server has started again under its id.
    """

    backend_id: str
    service: str
    usable: bool
    restarted: bool = False


class LeavingNotice(NamedTuple):
    """Notice of a backend server, in an answer, that it is about to stop."""

    backend_id: str
    incarnation: int


class Directory:
    """Backend servers by service."""

    def __init__(self) -> None:
        """Start without backend servers."""
        self.backends_by_id: dict[str, register.Backend] = {}
        self._ids_by_service: dict[str, tuple[str, ...]] = {}
        self._held_until_by_id: dict[str, float] = {}
        self._outage_until = float('-inf')
        # Zones whose backend servers get nothing until this is taken back.
        self._evacuated_zones: frozenset[str] = frozenset()
        # Backend servers that would take work outside of an evacuated zone.
        self._withheld_ids_by_service: dict[str, set[str]] = {}
        self._listed_count_by_service: collections.Counter[str] = (
            collections.Counter()
        )
        # Newest incarnation of each backend server that said it was leaving.
        self._left_incarnations_by_id: dict[str, int] = {}

    def usable(self, service: str) -> tuple[str, ...]:
        """Return the ids of a service's backend servers that take new work."""
        return self._ids_by_service.get(service, ())

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Zones whose backend servers get nothing more."""
        return self._evacuated_zones

    def count_in_zone(self, zone: str) -> int:
        """Return the number of listed backend servers of a zone."""
        return sum(
            backend.availability_zone == zone
            for backend in self.backends_by_id.values()
        )

    def apply_evacuations(self, zones: Iterable[str]) -> list[Change]:
        """Set the evacuated zones; return the changed backend servers."""
        changed_zones = self._evacuated_zones.symmetric_difference(zones)
        self._evacuated_zones = frozenset(zones)
        affected = [
            backend
            for backend in self.backends_by_id.values()
            if backend.availability_zone in changed_zones
            and not self._is_leaving(backend)
        ]
        return [self._update_usable(backend) for backend in affected]

    def has_withheld(self, service: str) -> bool:
        """Return whether an evacuation withholds backend servers."""
        return bool(self._withheld_ids_by_service.get(service))

    def in_zone(self, backend_ids: Iterable[str], zone: str) -> set[str]:
        """Return the given backend servers that are in a zone."""
        return {
            backend_id
            for backend_id in backend_ids
            if self.backends_by_id[backend_id].availability_zone == zone
        }

    def by_zone(self, backend_ids: Iterable[str]) -> dict[str, list[str]]:
        """Return the given backend servers by their zone."""
        ids_by_zone: dict[str, list[str]] = {}
        for backend_id in backend_ids:
            zone = self.backends_by_id[backend_id].availability_zone
            ids_by_zone.setdefault(zone, []).append(backend_id)
        return ids_by_zone

    def services_by_zone(self, services: Iterable[str]) -> dict[str, set[str]]:
        """Return the given services that have backend servers, by zone."""
        services_by_zone: dict[str, set[str]] = {}
        for service in services:
            for backend_id in self.usable(service):
                zone = self.backends_by_id[backend_id].availability_zone
                services_by_zone.setdefault(zone, set()).add(service)
        return services_by_zone

    def record_outage(self, now: float) -> None:
        """Record that the platform is unavailable, or was until now."""
        self.hold_until(now + OUTAGE_GRACE_S)

    @property
    def outage_until(self) -> float:
        """Until when a removed entry may have expired in an outage."""
        return self._outage_until

    def hold_until(self, until: float) -> None:
        """Keep entries that are removed in an outage until a time."""
        if until <= self._outage_until:
            return
        self._outage_until = until
        for backend_id in self._held_until_by_id:
            self._held_until_by_id[backend_id] = until

    def update_entry(self, backend: register.Backend) -> Change | None:
        """Add or update an entry; return None when nothing changed."""
        backend_id = backend.backend_id
        self._held_until_by_id.pop(backend_id, None)
        before = self.backends_by_id.get(backend_id)
        if before == backend:
            return None
        self.backends_by_id[backend_id] = backend
        self._listed_count_by_service[backend.service] += 1
        if before is not None:
            self._listed_count_by_service[before.service] -= 1
            if before.service != backend.service:
                self._set_usable(before, usable=False)
        restarted = (
            before is not None and before.incarnation != backend.incarnation
        )
        return self._update_usable(backend)._replace(restarted=restarted)

    def record_leaving(self, notice: LeavingNotice) -> Change | None:
        """Record that a backend server said in an answer that it is leaving.

        The notice holds for this incarnation, whatever its entry says. Returns
        None when nothing changed.
        """
        backend_id, incarnation = notice
        left_incarnations_by_id = self._left_incarnations_by_id
        if incarnation <= left_incarnations_by_id.get(backend_id, -1):
            return None
        left_incarnations_by_id[backend_id] = incarnation
        if len(left_incarnations_by_id) > MAX_LEAVING_NOTICES:
            left_incarnations_by_id.pop(next(iter(left_incarnations_by_id)))
        backend = self.backends_by_id.get(backend_id)
        if backend is None or backend_id not in self.usable(backend.service):
            return None
        if not self._is_leaving(backend):
            return None
        self._set_usable(backend, usable=False)
        return Change(backend_id, backend.service, usable=False)

    def has_listed(self, service: str) -> bool:
        """Return whether any backend server of a service is listed."""
        return self._listed_count_by_service[service] > 0

    def remove_entry(self, backend_id: str, now: float) -> Change | None:
        """Remove an entry; during an outage it is held for some time."""
        if backend_id not in self.backends_by_id:
            return None
        if now < self._outage_until:
            self._held_until_by_id.setdefault(backend_id, self._outage_until)
            return None
        return self._drop(backend_id)

    def remove_unlisted(self, listed_ids: set[str], now: float) -> list[Change]:
        """Remove the entries that a complete list does not contain."""
        changes = [
            self.remove_entry(backend_id, now)
            for backend_id in self.backends_by_id.keys() - listed_ids
        ]
        return [change for change in changes if change is not None]

    def expire(self, now: float) -> list[Change]:
        """Drop held entries that were not listed again in time."""
        overdue = [
            backend_id
            for backend_id, until in self._held_until_by_id.items()
            if until <= now
        ]
        return [self._drop(backend_id) for backend_id in overdue]

    def remove_misdirected(self, backend_id: str) -> Change | None:
        """Remove a backend server whose address now belongs to another one."""
        if backend_id not in self.backends_by_id:
            return None
        return self._drop(backend_id)

    def _is_leaving(self, backend: register.Backend) -> bool:
        left_incarnation = self._left_incarnations_by_id.get(
            backend.backend_id, -1
        )
        return backend.leaving or backend.incarnation <= left_incarnation

    def _update_usable(self, backend: register.Backend) -> Change:
        """Update whether a listed backend server may get new work."""
        backend_id, service = backend.backend_id, backend.service
        is_evacuated = backend.availability_zone in self._evacuated_zones
        takes_work = not self._is_leaving(backend)
        self._set_usable(backend, usable=takes_work and not is_evacuated)
        if takes_work and is_evacuated:
            withheld_ids = self._withheld_ids_by_service.setdefault(
                service, set()
            )
            withheld_ids.add(backend_id)
        return Change(backend_id, service, takes_work and not is_evacuated)

    def _drop(self, backend_id: str) -> Change:
        self._held_until_by_id.pop(backend_id, None)
        backend = self.backends_by_id.pop(backend_id)
        self._listed_count_by_service[backend.service] -= 1
        if not backend.incarnation:
            # Another backend server under this id could not be told apart.
            self._left_incarnations_by_id.pop(backend_id, None)
        self._set_usable(backend, usable=False)
        return Change(backend_id, backend.service, usable=False)

    def _set_usable(self, backend: register.Backend, *, usable: bool) -> None:
        withheld_ids = self._withheld_ids_by_service.get(backend.service)
        if withheld_ids is not None:
            withheld_ids.discard(backend.backend_id)
        ids = set(self.usable(backend.service)) - {backend.backend_id}
        if usable:
            ids.add(backend.backend_id)
        if ids:
            self._ids_by_service[backend.service] = tuple(sorted(ids))
        else:
            self._ids_by_service.pop(backend.service, None)
