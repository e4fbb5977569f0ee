"""Owners of services whose backend servers stand in a few of many zones."""

import unittest

from cardamomflow import ownership, servicezones
from tests import test_ownership

ZONES = tuple(f'z{number}' for number in range(6))
SERVICES = tuple(f's{number:02}' for number in range(87))


def place(services=SERVICES, zones=ZONES, replicas=2):
    """Return the services of each zone, replicas in neighbouring zones."""
    services_by_zone = {zone: set() for zone in zones}
    for number, service in enumerate(services):
        for replica in range(replicas):
            zone = zones[(number + replica) % len(zones)]
            services_by_zone[zone].add(service)
    return services_by_zone


def plan(services_by_zone, own_zone='z0'):
    return servicezones.remote_services(services_by_zone, SERVICES, own_zone)


class HomeZoneTest(unittest.TestCase):
    def test_spread_services_make_every_zone_a_home(self):
        """Guards against hosts that call all shards alone.

        Load pattern: each shard has its replicas in two of six zones, so no
        zone has half of them.
        """
        self.assertEqual(servicezones.home_zones(place()), set(ZONES))

    def test_zone_with_few_services_is_no_home(self):
        """Guards against owners that are far from most backend servers."""
        services_by_zone = place(zones=ZONES[:2])
        services_by_zone['z2'] = set(SERVICES[:40])
        self.assertEqual(
            servicezones.home_zones(services_by_zone), set(ZONES[:2])
        )

    def test_fleet_without_backend_servers_has_no_home(self):
        """Guards against an error at the start of a fleet."""
        self.assertEqual(servicezones.home_zones({}), set())


class RemoteServiceTest(unittest.TestCase):
    def test_missing_services_go_to_zones_that_have_them(self):
        """Guards against parts that cross zones one by one."""
        services_by_zone = place()
        chosen = plan(services_by_zone)
        owned = [service for part in chosen.values() for service in part]
        self.assertEqual(
            sorted(owned), sorted(set(SERVICES) - services_by_zone['z0'])
        )
        misplaced = {
            service
            for zone, services in chosen.items()
            for service in services - services_by_zone[zone]
        }
        self.assertEqual(misplaced, set())
        self.assertLessEqual(len(chosen), 3)

    def test_few_missing_services_go_to_one_zone(self):
        """Guards against handovers of one service each."""
        services_by_zone = {
            'z0': set(SERVICES[20:]),
            'z1': set(SERVICES[:16]),
            'z2': set(SERVICES[16:20]),
        }
        self.assertEqual(plan(services_by_zone), {'z1': set(SERVICES[:20])})

    def test_one_changed_entry_moves_few_services(self):
        """Guards against new connections to all when one server stops.

        Load pattern: backend servers crash one after the other.
        """
        before = zones_by_service(plan(place()))
        for lost in SERVICES[::5]:
            for zone in ZONES:
                services_by_zone = place()
                services_by_zone[zone].discard(lost)
                after = zones_by_service(plan(services_by_zone))
                moved = {
                    service
                    for service in before.keys() & after.keys()
                    if before[service] != after[service]
                }
                self.assertLessEqual(moved, {lost})

    def test_own_zone_that_has_all_asks_nobody(self):
        """Guards against traffic between zones without a need."""
        self.assertEqual(plan({'z0': set(SERVICES), 'z1': set(SERVICES)}), {})

    def test_zone_without_backend_servers_uses_whole_groups(self):
        """Guards against a few hosts that serve all queries of a zone."""
        home = {'z1': set(SERVICES), 'z2': set(SERVICES)}
        self.assertEqual(plan(home), {})


def zones_by_service(chosen):
    return {
        service: zone
        for zone, services in chosen.items()
        for service in services
    }


class OwnerTest(unittest.TestCase):
    """A fleet of six zones of 30 hosts, two zones for each shard."""

    def setUp(self):
        self.hosts = [
            test_ownership.member(f'{zone}-{number}', zone)
            for zone in ZONES
            for number in range(30)
        ]
        self.services_by_zone = place()

    def owners(self, own):
        owners = ownership.Ownership(own)
        owners.apply(
            self.hosts,
            servicezones.home_zones(self.services_by_zone),
            ownership.Placement(
                len(self.services_by_zone[own.availability_zone]),
                plan(self.services_by_zone, own.availability_zone),
            ),
        )
        return owners

    def assign(self, own):
        return self.owners(own).assign(
            SERVICES, test_ownership.host_ids(self.hosts)
        )

    def test_owners_stand_beside_the_backend_servers(self):
        """Guards against parts that cross zones on their way to an owner."""
        for host_id, services in self.assign(self.hosts[0]).items():
            zone = host_id.partition('-')[0]
            self.assertLessEqual(set(services), self.services_by_zone[zone])

    def test_query_is_shared_by_owners_of_some_services_each(self):
        """Guards against handovers that cost more than the calls they save."""
        assigned = self.assign(self.hosts[0])
        self.assertLessEqual(len(assigned), len(SERVICES) // 3)

    def test_lost_owner_leaves_most_parts(self):
        """Guards against a query that fails with one of its owners."""
        largest = max(map(len, self.assign(self.hosts[0]).values()))
        self.assertLessEqual(largest, 2 * ownership.SERVICES_PER_OWNER + 2)

    def test_hosts_of_a_group_agree(self):
        """Guards against connections of each host to every server."""
        group = self.owners(self.hosts[0]).groups[0]
        assigned = {
            tuple(
                sorted(
                    (host_id, tuple(services))
                    for host_id, services in self.assign(member).items()
                )
            )
            for member in group
        }
        self.assertEqual(len(assigned), 1)

    def test_lost_zone_is_replaced(self):
        """Guards against parts that wait for a zone that is cut off."""
        owners = self.owners(self.hosts[0])
        lost = owners.remote_owners[0].availability_zone
        usable = {
            member.host_id
            for member in self.hosts
            if member.availability_zone != lost
        }
        assigned = owners.assign(SERVICES, usable)
        self.assertFalse(
            any(host_id.startswith(f'{lost}-') for host_id in assigned)
        )
        self.assertEqual(sum(map(len, assigned.values())), len(SERVICES))
