"""Assignment of the services of large queries to hosts."""

import collections
import unittest

from cardamomflow import ownership

SERVICES = [f's{number}' for number in range(400)]
ALL_LOCAL = ownership.Placement(len(SERVICES), {})


def member(host_id, zone='z1', capacity=1.0):
    return ownership.Member(host_id, zone, '10.0.0.1', 1, capacity)


def owners_of(own, members, homes=('z1',)):
    owners = ownership.Ownership(own)
    owners.apply(members, homes, ALL_LOCAL)
    return owners


def host_ids(members):
    return {one.host_id for one in members}


class DivisionTest(unittest.TestCase):
    def setUp(self):
        self.hosts = [member(f'h{number}') for number in range(8)]

    def assign(self, owners, usable=None):
        assigned = owners.assign(
            SERVICES, host_ids(self.hosts) if usable is None else usable
        )
        return {
            service: host_id
            for host_id, services in assigned.items()
            for service in services
        }

    def test_hosts_of_a_zone_agree(self):
        """Guards against connections of each host to every server."""
        assigned = [
            self.assign(owners_of(own, self.hosts)) for own in self.hosts
        ]
        self.assertEqual(
            len({tuple(sorted(one.items())) for one in assigned}), 1
        )

    def test_lost_host_moves_only_its_services(self):
        """Guards against new connections to all servers when one host stops."""
        before = self.assign(owners_of(self.hosts[0], self.hosts))
        after = self.assign(owners_of(self.hosts[0], self.hosts[:-1]))
        moved = {
            service for service in SERVICES if before[service] != after[service]
        }
        of_lost = {service for service in SERVICES if before[service] == 'h7'}
        self.assertEqual(moved, of_lost)

    def test_unreachable_host_is_replaced(self):
        """Guards against parts that wait for a stopped host."""
        usable = host_ids(self.hosts) - {'h3'}
        assigned = self.assign(owners_of(self.hosts[0], self.hosts), usable)
        self.assertNotIn('h3', assigned.values())

    def test_larger_hosts_own_more(self):
        """Guards against queries that are slow because of the smallest host."""
        hosts = [member('small', capacity=0.5), member('large', capacity=2.0)]
        owners = owners_of(hosts[0], hosts)
        counts = {
            host_id: len(services)
            for host_id, services in owners.assign(
                SERVICES, host_ids(hosts)
            ).items()
        }
        self.assertAlmostEqual(counts['large'] / len(SERVICES), 0.8, delta=0.06)

    def test_large_zone_is_divided_into_groups(self):
        """Guards against handovers of a single service each."""
        hosts = [member(f'h{number}') for number in range(100)]
        groups = collections.Counter(
            owners_of(own, hosts).groups[0] for own in hosts
        )
        self.assertEqual(len(groups), 5)
        self.assertEqual(set(groups.values()), {20})
        self.assertEqual(owners_of(hosts[0], hosts).owners_per_service, 5)


class ZoneTest(unittest.TestCase):
    def setUp(self):
        self.hosts = [
            member(f'{zone}-{number}', zone)
            for zone in ('z1', 'z2', 'z3')
            for number in range(4)
        ]

    def test_host_without_near_servers_uses_another_zone(self):
        """Guards against many parts that cross zones one by one."""
        owners = owners_of(self.hosts[-1], self.hosts, ('z1', 'z2'))
        assigned = owners.assign(SERVICES, host_ids(self.hosts))
        zones = {host_id.partition('-')[0] for host_id in assigned}
        self.assertEqual(len(zones), 1)
        self.assertNotIn('z3', zones)
        self.assertEqual(owners.owners_per_service, 2)

    def test_next_zone_replaces_a_silent_one(self):
        """Guards against a zone whose queries fail when another zone fails."""
        owners = owners_of(self.hosts[-1], self.hosts, ('z1', 'z2'))
        first = owners.groups[0][0].availability_zone
        usable = {
            one.host_id for one in self.hosts if one.availability_zone != first
        }
        assigned = owners.assign(SERVICES, usable)
        zones = {host_id.partition('-')[0] for host_id in assigned}
        self.assertEqual(zones, {'z1', 'z2'} - {first})

    def test_remote_services_go_to_few_hosts_of_one_zone(self):
        """Guards against parts that cross zones one by one."""
        hosts = [
            member(f'{zone}-{number}', zone)
            for zone in ('z1', 'z2')
            for number in range(16)
        ]
        owners = ownership.Ownership(hosts[0])
        remote = frozenset(SERVICES[:100])
        owners.apply(
            hosts,
            {'z1', 'z2'},
            ownership.Placement(len(SERVICES) - len(remote), {'z2': remote}),
        )
        assigned = owners.assign(SERVICES, host_ids(hosts))
        elsewhere = {
            host_id: services
            for host_id, services in assigned.items()
            if host_id.startswith('z2')
        }
        self.assertEqual(len(elsewhere), ownership.REMOTE_OWNERS)
        self.assertEqual(
            {one for services in elsewhere.values() for one in services},
            remote,
        )
        near = {one.host_id for one in hosts if one.host_id[:2] == 'z1'}
        self.assertEqual(
            set(owners.assign(SERVICES, near)) & set(elsewhere), set()
        )

    def test_single_host_hands_nothing_over(self):
        """Guards against a fleet that cannot start with one host."""
        owners = owners_of(self.hosts[0], [])
        assigned = owners.assign(SERVICES, host_ids(self.hosts))
        self.assertEqual(list(assigned), ['z1-0'])


class OwnGroupTest(unittest.TestCase):
    def test_hosts_without_near_servers_are_linked_too(self):
        """Guards against zones in which every host watches the platform."""
        hosts = [
            member(f'{zone}-{number}', zone)
            for zone in ('z1', 'z2')
            for number in range(4)
        ]
        owners = owners_of(hosts[-1], hosts, ('z1',))
        near = {one for one in hosts if one.availability_zone == 'z2'}
        self.assertEqual(set(owners.own_group), near)
        self.assertLess(near - {hosts[-1]}, set(owners.peers[0]))
        self.assertEqual(owners.groups[0][0].availability_zone, 'z1')
