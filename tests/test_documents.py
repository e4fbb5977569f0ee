"""Checks of settings, register and rules documents."""

import copy
import unittest
from unittest import mock

from cardamomflow import configuration, errors, register, rules, settings

REGISTER = {
    'availability_zones': {
        'zone-a': {'region': 'serra'},
        'zone-b': {'region': 'serra'},
    },
    'services': {
        'lots-1': {
            'index': 'lots',
            'slots': 2,
            'connections': 25,
            'connection_cost_ms': 6,
        },
        'lots-2': {
            'index': 'lots',
            'slots': 2,
            'connections': 25,
            'connection_cost_ms': 6,
        },
    },
    'indexes': {'lots': {'maps': {'1': {'shards_per_service': 4}}}},
    'backend_servers': {
        'lots-1-a': {
            'service': 'lots-1',
            'availability_zone': 'zone-a',
            'address': '127.0.0.1',
            'port': 9001,
        },
    },
}

RULES = {
    'ranks': {
        'urgent': {'target_ms': 360, 'minimum_share': 0.5},
        'standard': {'target_ms': 1500, 'minimum_share': 0.2},
        'bulk': {'target_ms': 30000, 'minimum_share': 0.1},
    },
    'work': {
        'lot-history': {'rank': 'urgent'},
        'record-lot': {'rank': 'urgent', 'repeatable': False},
    },
}


class SettingsTest(unittest.TestCase):
    def test_every_problem_of_a_document_is_listed_at_once(self):
        """Guards against a check that stops at the first problem."""
        problems = settings.check(
            {
                'process_id': '',
                'host': {'id': 'h1', 'region': 'r'},
                'listen': {'address': 'localhost', 'port': 70000},
                'agent': {'address': '127.0.0.1', 'port': 1},
                'surprise': 1,
            },
            'entry',
            'entry.yaml',
        )
        paths = {problem.path for problem in problems}
        self.assertEqual(
            paths,
            {
                'process_id',
                'host',
                'listen.address',
                'listen.port',
                '(document)',
            },
        )


class RegisterTest(unittest.TestCase):
    def test_allowance_is_divided_over_owner_and_standby_of_each_zone(self):
        """Guards against more connections in total than a server accepts."""
        assets = register.Register.from_document(REGISTER)
        self.assertEqual(assets.connection_allowance('lots-1-a'), 6)

    def test_request_for_an_index_needs_all_its_services(self):
        """Guards against a query that skips services of its index."""
        assets = register.Register.from_document(REGISTER)
        self.assertEqual(assets.services_of('lots'), ('lots-1', 'lots-2'))
        self.assertEqual(assets.services_of('lots-2'), ('lots-2',))

    def test_unknown_service_and_shared_endpoint_are_both_reported(self):
        """Guards against a register that points at the wrong server."""
        document = copy.deepcopy(REGISTER)
        other = copy.deepcopy(document['backend_servers']['lots-1-a'])
        other['service'] = 'lots-9'
        document['backend_servers']['lots-9-a'] = other
        with self.assertRaises(errors.InvalidDocument) as caught:
            register.Register.from_document(document)
        paths = [problem.path for problem in caught.exception.problems]
        self.assertEqual(
            paths,
            [
                'backend_servers.lots-9-a.service',
                'backend_servers.lots-9-a.port',
            ],
        )


class RulesTest(unittest.TestCase):
    def test_rank_of_named_work_comes_from_the_rules(self):
        """Guards against a caller that raises the rank of its own work."""
        rule_set = rules.Rules.from_document(RULES)
        self.assertEqual(
            rule_set.rank_of('lot-history', 'bulk'), rules.Rank.URGENT
        )

    def test_minimum_shares_above_1_in_total_are_refused(self):
        """Guards against minimum shares that exceed the capacity."""
        document = copy.deepcopy(RULES)
        document['ranks']['bulk']['minimum_share'] = 0.9
        with self.assertRaises(errors.InvalidDocument):
            rules.Rules.from_document(document)


class StoredConfigurationTest(unittest.TestCase):
    def test_stored_document_of_invalid_structure_is_refused(self):
        """Guards against a process that crashes on an invalid document."""
        for document in (
            {},
            {'revision': 1, 'publish_id': 'p', 'register': []},
        ):
            with self.subTest(document=document):
                stored = configuration.compress(document)
                with self.assertRaises(errors.InvalidDocument):
                    configuration.Configuration.decode(stored)

    def test_stored_document_is_built_without_the_schema_check(self):
        """Guards against a schema check that blocks the event loop.

        The check of a large register takes long.
        """
        document = configuration.make_document(3, 'p', REGISTER, RULES)
        with mock.patch.object(settings, 'check') as check:
            decoded = configuration.Configuration.decode(
                configuration.compress(document)
            )
        self.assertEqual(decoded.revision, 3)
        check.assert_not_called()
