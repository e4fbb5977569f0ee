"""Ownership of services by rendezvous hashing; pure functions, no state.

An aggregator owns a service when it ranks first for the service among the
eligible aggregators of its availability zone. Owner and standby are the only
processes of the zone that may connect to the service's backend servers, see
`docs/design.md`, 2.1.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# The owner of a service and its standby.
OWNERS_PER_ZONE = 2


class Aggregator(NamedTuple):
    """Id and address of an aggregator process."""

    aggregator_id: str
    address: str
    port: int


def score(key: str, member_id: str) -> int:
    """Return the rendezvous hashing weight of a member for a key."""
    return xxhash.xxh64_intdigest(f'{key}\0{member_id}'.encode())


def rank_members(key: str, member_ids: Iterable[str]) -> list[str]:
    """Return member ids in descending order of weight for a key."""
    return sorted(
        member_ids,
        key=lambda member_id: (score(key, member_id), member_id),
        reverse=True,
    )


def owners(service: str, member_ids: Iterable[str]) -> tuple[str, ...]:
    """Return owner and standby of a service, the owner first.

    Parameters
    ----------
    service : str
        Name of the service.
    member_ids : iterable of str
        Ids of the eligible aggregators of one availability zone.

    Returns
    -------
    tuple of str
        At most `OWNERS_PER_ZONE` ids.
    """
    return tuple(rank_members(service, member_ids)[:OWNERS_PER_ZONE])


class ZoneRouting:
    """Owners of every service in one availability zone.

    Ranks each service once and caches the result, since ranking is the most
    expensive part of sending a query.
    """

    def __init__(self, aggregators: Iterable[Aggregator]) -> None:
        """Index the eligible aggregators of the zone by id."""
        self.aggregators_by_id = {
            aggregator.aggregator_id: aggregator for aggregator in aggregators
        }
        self._owners_by_service: dict[str, tuple[str, ...]] = {}

    def owners(self, service: str) -> tuple[str, ...]:
        """Return owner and standby of a service, the owner first."""
        service_owners = self._owners_by_service.get(service)
        if service_owners is None:
            service_owners = owners(service, self.aggregators_by_id)
            self._owners_by_service[service] = service_owners
        return service_owners

    def may_connect(self, aggregator_id: str, service: str) -> bool:
        """Return whether an aggregator may connect to a service's servers."""
        return aggregator_id in self.owners(service)
