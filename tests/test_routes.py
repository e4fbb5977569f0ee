"""Checks of routes, their decoding and the budgets shared by all hosts."""

import collections
import json
import random
import unittest

from cardamomflow import errors, extraload, occupancy, routes, rules
from cardamomflow.platform import documents
from standins import users
from tests import test_dispatching


def make_table(*table_routes):
    return routes.RouteTable(1, table_routes, {}, routes.Limits(1, 1, 1, 1))


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        """Guards against a request that matches a shorter prefix first."""
        short = test_dispatching.make_route(prefix='/a/')
        long = test_dispatching.make_route(prefix='/a/b/')
        table = make_table(short, long)
        self.assertIs(table.find('h', '/a/b/c'), long)
        self.assertIs(table.find('h', '/a/bc'), short)
        self.assertIsNone(table.find('h', '/a'))
        self.assertIsNone(table.find('other', '/a/b/c'))

    def test_services_are_chosen_by_weight(self):
        """Guards against a service that gets more than its share."""
        route = test_dispatching.make_payment(name='split')
        route = route._replace(
            shares=(routes.ServiceShare('a', 9), routes.ServiceShare('b', 1))
        )
        generator = random.Random(1)
        counts = collections.Counter(
            route.services(generator) for _ in range(10_000)
        )
        self.assertAlmostEqual(counts[('b',)] / 10_000, 0.1, delta=0.01)

    def test_needed_parts_are_rounded_up(self):
        """Guards against answers below the minimum share that succeed."""
        for shards, share, needed in (
            (20, 0.89, 18),
            (20, 0.75, 15),
            (20, 0.9, 18),
            (30, 0.89, 27),
            (10, 0.3, 3),
            (5, 0, 1),
        ):
            route = test_dispatching.make_route(
                map(str, range(shards)), minimum_share=share
            )
            self.assertEqual(route.needed_parts, needed)


class ConfigurationTest(unittest.TestCase):
    def parse(self, *route_documents):
        document = users.configuration_document(
            7, list(route_documents), ['a', 'b']
        )
        return documents.parse_routes(json.dumps(document).encode())

    def find(self, **fields):
        document = users.route_document('r', '/r/', **fields)
        return self.parse(document).find('shop.example', '/r/x')

    def test_route_over_shards(self):
        """Guards against a wire field that is decoded into the wrong one."""
        route = self.find(gather=['a', 'b'], top_k=5, min_shard_ratio=0.75)
        self.assertEqual(route.shards, ('a', 'b'))
        self.assertEqual((route.limit, route.minimum_share), (5, 0.75))
        self.assertEqual((route.timeout_s, route.target_s), (2.0, 0.5))
        self.assertIs(route.rank, rules.Rank.URGENT)
        self.assertTrue(route.repeatable)

    def test_route_with_a_traffic_split(self):
        """Guards against a traffic split that is decoded as one service."""
        split = [
            {'service': 'a', 'weight': 3},
            {'service': 'b', 'weight': 1},
        ]
        route = self.find(traffic_split=split, route_type='unsafe', priority=9)
        self.assertEqual(route.all_services(), ('a', 'b'))
        self.assertIs(route.rank, rules.Rank.BULK)
        self.assertFalse(route.repeatable)

    def test_unknown_route_type_is_not_repeatable(self):
        """Guards against a request that runs twice for a new route type."""
        route = self.find(service='a', route_type='sometimes')
        self.assertFalse(route.repeatable)

    def test_invalid_configuration_is_a_protocol_violation(self):
        """Guards against a host that crashes on an invalid document."""
        for content in (b'', b'[]', b'{}', b'{"version": 1}', b'\xff'):
            with self.assertRaises(errors.ProtocolViolation):
                documents.parse_routes(content)


class HostShareTest(unittest.TestCase):
    def test_all_hosts_stay_within_the_bound(self):
        """Guards against hosts that together exceed the extra attempts."""
        hosts, share, burst, requests = 12, 0.2, 56, 400
        sent = 0
        for _ in range(hosts):
            budget = extraload.ExtraAttemptBudget(share, burst / hosts)
            for _ in range(requests // hosts):
                budget.record_first_attempt()
                while budget.withdraw():
                    sent += 1
        self.assertLessEqual(sent, share * requests + burst)
        self.assertGreater(sent, 0.5 * share * requests)

    def test_connections_of_all_hosts_fit(self):
        """Guards against connections beyond those a backend server accepts."""
        host_occupancy = occupancy.Occupancy()
        host_occupancy.apply({'a': 26})
        for hosts in range(1, 27):
            host_occupancy.set_host_counts(hosts)
            self.assertLessEqual(
                hosts * host_occupancy.connection_limit('a'), 26
            )

    def test_refusing_backend_server_is_used_when_all_refuse(self):
        """Guards against a service left without any backend server."""
        host_occupancy = occupancy.Occupancy()
        host_occupancy.record_refused_connection('a0', 0.0)
        self.assertEqual(
            host_occupancy.prefer_accepting(['a0', 'a1'], 0.1), ['a1']
        )
        self.assertEqual(host_occupancy.prefer_accepting(['a0'], 0.1), ['a0'])
        self.assertEqual(
            host_occupancy.prefer_accepting(['a0', 'a1'], 0.6), ['a0', 'a1']
        )
