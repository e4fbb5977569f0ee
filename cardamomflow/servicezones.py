"""Choice of the zones whose hosts request parts that the own zone lacks.

Pure functions. The choice is the same for all hosts of a zone with the same
list of backend servers, and a few changed entries rarely change it.
"""

from collections.abc import Collection, Mapping

from cardamomflow import routing

# A zone that adds fewer services is not used: each handover costs about as much
# as two calls.
MINIMUM_ADDED_SERVICES = 8
# Zones whose numbers of services differ by less than a share of all services
# count as equal, so that one changed entry does not change their order.
COUNT_STEP_SHARE = 0.125


def home_zones(
    services_by_zone: Mapping[str, Collection[str]],
) -> frozenset[str]:
    """Return the zones with more than half as many services as the best one."""
    largest = max(map(len, services_by_zone.values()), default=0)
    return frozenset(
        zone
        for zone, services in services_by_zone.items()
        if 2 * len(services) > largest
    )


def remote_services(
    services_by_zone: Mapping[str, Collection[str]],
    services: Collection[str],
    own_zone: str,
) -> dict[str, frozenset[str]]:
    """Return the services that the own zone lacks, by the zone to ask.

    The zone with the most of them comes first, and takes those that no further
    zone is used for. A zone that is no home lacks nothing: its hosts use the
    owners of another zone for all services.

    Parameters
    ----------
    services_by_zone : mapping of str to collection of str
        Services that have backend servers, by home zone.
    services : collection of str
        All services of large queries.
    own_zone : str
    """
    if own_zone not in services_by_zone:
        return {}
    missing = set(services) - set(services_by_zone[own_zone])
    chosen: dict[str, frozenset[str]] = {}
    step = max(1, COUNT_STEP_SHARE * len(services))
    while missing:
        added_by_zone = {
            zone: missing.intersection(present)
            for zone, present in services_by_zone.items()
            if zone != own_zone and zone not in chosen
        }
        best = _best_zone(added_by_zone, step, own_zone)
        if best is None or len(added_by_zone[best]) < MINIMUM_ADDED_SERVICES:
            break
        chosen[best] = frozenset(added_by_zone[best])
        missing -= added_by_zone[best]
    if missing and chosen:
        first = next(iter(chosen))
        chosen[first] |= missing
    return chosen


def _best_zone(
    added_by_zone: Mapping[str, Collection[str]], step: float, own_zone: str
) -> str | None:
    """Return the zone with the most services, None without zones."""

    def rank(zone: str) -> tuple[int, int]:
        count = round(len(added_by_zone[zone]) / step)
        return count, routing.score(zone, own_zone)

    return max(added_by_zone, key=rank, default=None)
