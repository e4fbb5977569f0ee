"""Which host of a zone asks the backend servers of a service; sans-I/O.

Owns the list of hosts. A host that got a query over many services hands most
of them to their owners, so that few hosts keep connections to a backend
server, and no host makes all calls of a query one after the other. Hosts that
see different lists choose differently, which costs connections but no answer.
"""

import hashlib
import math
from collections.abc import Container, Iterable, Sequence
from typing import Any, NamedTuple

from cardamomflow import authorities, routing

# Hosts of a zone that share the services of a query. More would get a few
# services each, and one hand-over costs about as much as two calls.
MAX_CELL_HOSTS = 24
# Owners that are tried for a service before this host asks itself.
TRIED_OWNERS = 3
_SCORES = 1 << 64  # noqa: WPS432  # scores have 64 bits


class Member(NamedTuple):
    """A host that takes parts of queries.

    Attributes
    ----------
    host_id : str
    availability_zone : str
    address : str
    port : int
    capacity : float
        Processor cores.
    """

    host_id: str
    availability_zone: str
    address: str
    port: int
    capacity: float


class Ownership:
    """The owners of services for one host.

    Attributes
    ----------
    own : Member
    owners : int
        Hosts of the fleet that ask for one service, if all see the same.
    cells : list of tuple of Member
        Groups of hosts that share the services; the first one whose hosts can
        be reached is asked.
    """

    def __init__(self, own: Member) -> None:
        """Start without other hosts."""
        self.owners = 1
        self.cells: list[tuple[Member, ...]] = [(own,)]
        self.own = own
        self._ranked_by_key: dict[tuple[int, str], tuple[str, ...]] = {}

    def apply(self, members: Iterable[Member], homes: Container[str]) -> None:
        """Take the hosts that are listed, with or without this one.

        Parameters
        ----------
        members : iterable of Member
        homes : container of str
            Zones with backend servers of the services. Hosts of other zones
            hand all parts to one of these, since one merged answer is less
            than many parts, and traffic between zones costs money.
        """
        by_id = {member.host_id: member for member in members}
        by_id[self.own.host_id] = self.own
        by_zone: dict[str, list[Member]] = {}
        for member in by_id.values():
            by_zone.setdefault(member.availability_zone, []).append(member)
        used = [zone for zone in by_zone if zone in homes] or list(by_zone)
        used.sort(key=self._remoteness)
        self.cells = [self._cell(by_zone[zone]) for zone in used]
        self.owners = sum(_cell_count(by_zone[zone]) for zone in used)
        self._ranked_by_key.clear()

    @property
    def peers(self) -> list[list[Member]]:
        """The other hosts of the cells."""
        return [
            [member for member in cell if member != self.own]
            for cell in self.cells
        ]

    def owns(self, service: str) -> bool:
        """Whether this host is the first owner of a service."""
        return self._ranked(0, service)[0] == self.own.host_id

    def divide(
        self, services: Sequence[str], usable: Container[str]
    ) -> dict[str, list[str]]:
        """Return services by the host that asks for their parts.

        Parameters
        ----------
        services : sequence of str
        usable : container of str
            Ids of other hosts that can be asked now.
        """
        place = self._first_usable(usable)
        services_by_host: dict[str, list[str]] = {}
        for service in services:
            owner = self._owner(place, service, usable)
            services_by_host.setdefault(owner, []).append(service)
        return services_by_host

    def _first_usable(self, usable: Container[str]) -> int:
        """Return the first cell of which half can be reached."""
        for place, cell in enumerate(self.cells):
            reached = sum(
                member == self.own or member.host_id in usable
                for member in cell
            )
            if 2 * reached >= len(cell):
                return place
        return 0

    def _owner(self, place: int, service: str, usable: Container[str]) -> str:
        own_id = self.own.host_id
        for host_id in self._ranked(place, service):
            if host_id == own_id or host_id in usable:
                return host_id
        return own_id

    def _ranked(self, place: int, service: str) -> tuple[str, ...]:
        """Return the first owners of a service, the best one first."""
        ranked = self._ranked_by_key.get((place, service))
        if ranked is None:
            best = sorted(
                self.cells[place],
                key=lambda member: _distance(service, member),
            )[:TRIED_OWNERS]
            ranked = tuple(member.host_id for member in best)
            self._ranked_by_key[(place, service)] = ranked
        return ranked

    def _remoteness(self, zone: str) -> tuple[bool, int]:
        """Order zones: the own one, then differently for each host."""
        return (
            zone != self.own.availability_zone,
            routing.score(zone, self.own.host_id),
        )

    def _cell(self, zone: list[Member]) -> tuple[Member, ...]:
        """Return the hosts of a zone that share services with this one."""
        ordered = sorted(zone, key=_place)
        size = math.ceil(len(ordered) / _cell_count(ordered))
        if self.own in ordered:
            first = ordered.index(self.own) // size * size
        else:
            drawn = routing.score('cell', self.own.host_id)
            first = drawn % _cell_count(ordered) * size
        return tuple(ordered[first : first + size])


def own_member(settings: Any) -> Member:
    """Return this host as others see it."""
    host = settings['host']
    address, port = authorities.split(settings.get('peers', '0.0.0.0:0'))
    processor = settings.get('processor', {'share': 1, 'cores': 1})
    return Member(
        host['id'],
        host['availability_zone'],
        address,
        port,
        processor['share'] * processor['cores'],
    )


def _cell_count(hosts: Sequence[Member]) -> int:
    return math.ceil(len(hosts) / MAX_CELL_HOSTS)


def _place(member: Member) -> bytes:
    """Return what orders hosts; names in sequence do not get one cell."""
    return hashlib.blake2b(member.host_id.encode(), digest_size=8).digest()


def _distance(service: str, member: Member) -> float:
    """Return the weighted rendezvous distance, least for the owner."""
    drawn = (routing.score(service, member.host_id) + 1) / _SCORES
    return -math.log(drawn) / member.capacity
