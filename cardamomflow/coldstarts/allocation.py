"""Division of a cold backend server's requests among the hosts; pure.

Owns the slots of each host. A slot is the right to send one request in any
`bound.SLOT_INTERVAL_S`. Hosts with equal lists divide exactly the given number.
"""

import math
from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple

from cardamomflow import ownership, routing

# Part of the slots for the hosts that send only as replacements: those of other
# zones, or those that do not own a handed-over service.
RESERVED_SHARE = 0.2
_NO_SERVICES: Set[str] = frozenset()


class FleetView(NamedTuple):
    """What one host knows of the fleet.

    Attributes
    ----------
    own_id : str
    host_ids_by_zone : mapping of str to tuple of str
        The hosts that the platform lists, sorted.
    handed_over_services : set of str
        Services to which only their owners send requests.
    owned_services : set of str
        Those of them that this host owns.
    """

    own_id: str
    host_ids_by_zone: Mapping[str, tuple[str, ...]]
    handed_over_services: Set[str] = _NO_SERVICES
    owned_services: Set[str] = _NO_SERVICES


class Server(NamedTuple):
    """A cold backend server."""

    backend_id: str
    service: str
    availability_zone: str


def create_view(
    own_id: str,
    members: Sequence[ownership.Member],
    handed_over_services: Set[str] = _NO_SERVICES,
    owned_services: Set[str] = _NO_SERVICES,
) -> FleetView:
    """Return the view with the given hosts.

    A host that the platform does not list is left out also if it is this one,
    since the other hosts don't count it.
    """
    ids_by_zone: dict[str, list[str]] = {}
    for member in members:
        ids = ids_by_zone.setdefault(member.availability_zone, [])
        ids.append(member.host_id)
    return FleetView(
        own_id,
        {zone: tuple(sorted(ids)) for zone, ids in ids_by_zone.items()},
        handed_over_services,
        owned_services,
    )


def own_slots(view: FleetView, server: Server, slots: int) -> int:
    """Return the slots of this host at a cold backend server.

    Hosts in the zone of the backend server get most of them, because the others
    prefer backend servers of their own zone. Parts that are handed over reach a
    backend server through the owners of its service, which get most of them.

    Parameters
    ----------
    view : FleetView
    server : Server
    slots : int
        Slots of all hosts together.
    """
    near_ids = view.host_ids_by_zone.get(server.availability_zone, ())
    all_ids = [
        host_id for ids in view.host_ids_by_zone.values() for host_id in ids
    ]
    if not near_ids:
        return _part(view.own_id, all_ids, server, slots)
    reserved = math.floor(slots * RESERVED_SHARE)
    if server.service in view.handed_over_services:
        group_count = math.ceil(len(near_ids) / ownership.MAX_GROUP_HOSTS)
        owner_part = (slots - reserved) // group_count
        reserved = slots - owner_part * group_count
        own_part = _part(view.own_id, near_ids, server, reserved)
        is_owner = (
            view.own_id in near_ids and server.service in view.owned_services
        )
        return own_part + owner_part if is_owner else own_part
    far_ids = set(all_ids).difference(near_ids)
    if not far_ids:
        reserved = 0
    if view.own_id in near_ids:
        return _part(view.own_id, near_ids, server, slots - reserved)
    return _part(view.own_id, far_ids, server, reserved)


def _part(
    own_id: str, host_ids: Sequence[str] | Set[str], server: Server, slots: int
) -> int:
    """Return the slots of one host when the hosts divide them evenly.

    The hash order decides which hosts get one more, or any at all.
    """
    if own_id not in host_ids:
        return 0
    # All hosts of a running fleet use this hash key, so it must not change. It
    # has no incarnation: hosts learn of a restart at different times, and would
    # choose different hosts until all know it.
    key = f'cold:{server.backend_id}'
    own_order = (routing.score(key, own_id), own_id)
    position = sum(
        (routing.score(key, host_id), host_id) > own_order
        for host_id in host_ids
    )
    return max(0, math.ceil((slots - position) / len(host_ids)))
