"""Assignment of services to the hosts that own them; sans-I/O.

The owners of a service send the requests to its backend servers. A host that
receives a query over many services hands most of them over to their owners.
Few hosts then keep connections to a backend server, and no host makes all calls
of a query. Hosts with different host lists choose different owners, which costs
connections but loses no answer.
"""

import hashlib
import math
import statistics
from collections.abc import Collection, Container, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from cardamomflow import authorities, routing

# Hosts of a zone that share the services of a query. With more hosts each would
# get only a few services, and one handover costs about as much as two calls.
MAX_GROUP_HOSTS = 24
# Owners that are tried for a service before this host sends the request itself.
MAX_TRIED_OWNERS = 3
# Hosts of another zone that own the services without backend servers in the own
# zone. With more hosts, their merged answers are as large as the parts; with
# fewer, these hosts are overloaded.
REMOTE_OWNERS = 8
# Services for each owner, from which the number of owners of a zone follows.
# With more services, a query without the parts of one owner misses more of them
# than most routes allow.
SERVICES_PER_OWNER = 4
SERVICES_PER_REMOTE_OWNER = 3
_SCORES = 1 << 64  # noqa: WPS432  # scores have 64 bits


class Member(NamedTuple):
    """A host that serves parts of queries for other hosts.

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


class Placement(NamedTuple):
    """Where the services of large queries have backend servers.

    Attributes
    ----------
    local_count : int
        Number of services that the group of a host owns.
    remote_services_by_zone : mapping of str to frozenset of str
        The other services, by the zone whose hosts own them.
    """

    local_count: int
    remote_services_by_zone: Mapping[str, frozenset[str]]


class _RemoteGroup(NamedTuple):
    """Services that the own zone lacks, and their owners in another zone."""

    services: Container[str]
    owners: tuple[Member, ...]


class Ownership:
    """The owners of services as one host sees them.

    Attributes
    ----------
    own : Member
        This host.
    owners_per_service : int
        Owners of one service among all hosts, if these have the same list.
    remote_owners : tuple of Member
        Hosts of other zones that own the services without backend servers in
        the own zone.
    own_group : tuple of Member
        Group of the own zone with this host, whether it shares services or not.
    groups : list of tuple of Member
        Groups of hosts that share the services, in order of preference. The
        first group of which half can be reached is used.
    """

    def __init__(self, own: Member) -> None:
        """Start with this host as the only one."""
        self.owners_per_service = 1
        self.groups: list[tuple[Member, ...]] = [(own,)]
        self.own_group: tuple[Member, ...] = (own,)
        self.own = own
        self.remote_owners: tuple[Member, ...] = ()
        self._zone = own.availability_zone
        self._remote_groups: list[_RemoteGroup] = []
        # The hosts of each group that own services, in the order of groups.
        self._owners_by_group: list[tuple[Member, ...]] = [(own,)]
        self._ranked_by_key: dict[tuple[int, str], tuple[str, ...]] = {}

    def apply(
        self,
        members: Iterable[Member],
        serving_zones: Container[str],
        placement: Placement,
    ) -> None:
        """Update the owners from a list of hosts.

        Owners are chosen near the backend servers: traffic between zones costs
        money, and one merged answer is smaller than many parts.

        Parameters
        ----------
        members : iterable of Member
            The listed hosts, with or without this one.
        serving_zones : container of str
            Zones with backend servers of the services. Hosts of other zones
            hand all parts over to one of these.
        placement : Placement
            Where the services have backend servers.
        """
        by_id = {member.host_id: member for member in members}
        by_id[self.own.host_id] = self.own
        by_zone: dict[str, list[Member]] = {}
        for member in by_id.values():
            by_zone.setdefault(member.availability_zone, []).append(member)
        used_zones = [
            zone for zone in by_zone if zone in serving_zones
        ] or list(by_zone)
        used_zones.sort(key=self._zone_order)
        self.own_group = self._group_in(by_zone[self._zone])
        self.groups = [self._group_in(by_zone[zone]) for zone in used_zones]
        self.owners_per_service = sum(
            _group_count(by_zone[zone]) for zone in used_zones
        )
        other_zones = {
            zone: by_zone[zone] for zone in used_zones if zone != self._zone
        }
        count = _owner_count(placement.local_count, SERVICES_PER_OWNER)
        self._owners_by_group = [
            _choose_owners(group, count) for group in self.groups
        ]
        self._remote_groups = [
            self._create_remote_group(other_zones[zone], services)
            for zone, services in placement.remote_services_by_zone.items()
            if zone in other_zones
        ]
        self.remote_owners = tuple(
            dict.fromkeys(
                owner for group in self._remote_groups for owner in group.owners
            )
        )
        self._ranked_by_key.clear()

    @property
    def peers(self) -> list[list[Member]]:
        """The other hosts of each group, the preferred group first.

        The own group and the remote owners are added to the preferred one.
        """
        preferred, *others = self.groups
        linked = dict.fromkeys(
            (*preferred, *self.remote_owners, *self.own_group)
        )
        return [self._without_own(group) for group in (linked, *others)]

    def _without_own(self, members: Iterable[Member]) -> list[Member]:
        return [member for member in members if member != self.own]

    def owns(self, service: str) -> bool:
        """Whether this host is the first owner of a service."""
        own_id = self.own.host_id
        return self._rank_owners(self._owners_by_group[0], service)[0] == own_id

    def assign(
        self, services: Sequence[str], usable: Container[str]
    ) -> dict[str, list[str]]:
        """Return the services that each host is to request parts from.

        Parameters
        ----------
        services : sequence of str
        usable : container of str
            Ids of other hosts to which parts can be handed over now.
        """
        default_owners = self._first_usable(usable)
        remote_groups = [
            group
            for group in self._remote_groups
            if self._is_usable(group.owners, usable)
        ]
        services_by_host: dict[str, list[str]] = {}
        for service in services:
            owners = next(
                (
                    group.owners
                    for group in remote_groups
                    if service in group.services
                ),
                default_owners,
            )
            owner = self._choose_owner(owners, service, usable)
            services_by_host.setdefault(owner, []).append(service)
        return services_by_host

    def _first_usable(self, usable: Container[str]) -> tuple[Member, ...]:
        """Return the owners of the first group of which half is usable."""
        for group, owners in zip(
            self.groups, self._owners_by_group, strict=True
        ):
            if self._is_usable(group, usable):
                return owners
        return self._owners_by_group[0]

    def _is_usable(
        self, group: tuple[Member, ...], usable: Container[str]
    ) -> bool:
        usable_count = sum(
            member == self.own or member.host_id in usable for member in group
        )
        return usable_count > 0 and 2 * usable_count >= len(group)

    def _choose_owner(
        self,
        group: tuple[Member, ...],
        service: str,
        usable: Container[str],
    ) -> str:
        own_id = self.own.host_id
        for host_id in self._rank_owners(group, service):
            if host_id == own_id or host_id in usable:
                return host_id
        return own_id

    def _rank_owners(
        self, group: tuple[Member, ...], service: str
    ) -> tuple[str, ...]:
        """Return the best owners of a service, the best one first."""
        # The groups are kept until `apply`, which clears this cache.
        key = (id(group), service)
        ranked = self._ranked_by_key.get(key)
        if ranked is None:
            best = sorted(
                group,
                key=lambda member: _distance(service, member),
            )[:MAX_TRIED_OWNERS]
            ranked = tuple(member.host_id for member in best)
            self._ranked_by_key[key] = ranked
        return ranked

    def _create_remote_group(
        self, hosts: Sequence[Member], services: Collection[str]
    ) -> _RemoteGroup:
        """Return the owners of remote services, the same for all of a zone."""
        count = _owner_count(len(services), SERVICES_PER_REMOTE_OWNER)
        ranked = sorted(hosts, key=lambda member: _distance(self._zone, member))
        return _RemoteGroup(
            services, tuple(ranked[: min(REMOTE_OWNERS, count)])
        )

    def _zone_order(self, zone: str) -> tuple[bool, int]:
        """Return a sort key: own zone first, others by a hash for this host."""
        return (
            zone != self._zone,
            routing.score(zone, self.own.host_id),
        )

    def _group_in(self, zone: list[Member]) -> tuple[Member, ...]:
        """Return the group of a zone that this host belongs to or uses."""
        ordered = sorted(zone, key=_order_key)
        size = math.ceil(len(ordered) / _group_count(ordered))
        if self.own in ordered:
            first = ordered.index(self.own) // size * size
        else:
            # This hash key decides which group of another zone a host uses.
            # All hosts of a running fleet use it, so it must not change.
            score = routing.score('cell', self.own.host_id)
            first = score % _group_count(ordered) * size
        return tuple(ordered[first : first + size])


def own_member(settings: Any) -> Member:
    """Return this host as it is listed for others."""
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


def usual_capacity(members: Iterable[Member]) -> float:
    """Return the median capacity of hosts in processor cores."""
    return statistics.median(member.capacity for member in members)


def _choose_owners(group: tuple[Member, ...], count: int) -> tuple[Member, ...]:
    """Return the hosts of a group that own services."""
    if count >= len(group):
        return group
    # All hosts of a running fleet use this hash key, so it must not change.
    ranked = sorted(group, key=lambda member: _distance('owners', member))
    return tuple(ranked[:count])


def _owner_count(services: int, services_per_owner: int) -> int:
    return max(1, math.ceil(services / services_per_owner))


def _group_count(hosts: Sequence[Member]) -> int:
    return math.ceil(len(hosts) / MAX_GROUP_HOSTS)


def _order_key(member: Member) -> bytes:
    """Return a sort key by hash, which spreads consecutive host ids."""
    return hashlib.blake2b(member.host_id.encode(), digest_size=8).digest()


def _distance(service: str, member: Member) -> float:
    """Return the weighted rendezvous distance; the owner has the least."""
    score = (routing.score(service, member.host_id) + 1) / _SCORES
    return -math.log(score) / member.capacity
