"""The list of backend servers while the platform comes and goes."""

import unittest

from cardamomflow import directory, register
from cardamomflow.platform import documents
from standins import users

BACKEND = register.Backend('i1', 'a', 'z1', '10.0.0.1', 80, '', leaving=False)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()
        self.directory.listed(BACKEND)

    def test_vanished_entry_ends_the_work_at_once(self):
        """Guards against work for a backend server that has gone."""
        change = self.directory.vanished('i1', 10)
        self.assertEqual(change, directory.Change('i1', 'a', usable=False))
        self.assertEqual(self.directory.usable('a'), ())

    def test_entry_that_lapsed_in_an_outage_is_kept_for_a_while(self):
        """Guards against an outage that takes all backend servers away."""
        self.directory.outage(10)
        self.assertIsNone(self.directory.vanished('i1', 11))
        self.assertEqual(self.directory.expire(12), [])
        self.assertEqual(self.directory.usable('a'), ('i1',))
        (change,) = self.directory.expire(12.3)
        self.assertFalse(change.usable)

    def test_entry_that_is_back_stays(self):
        """Guards against dropping a backend server that lives."""
        self.directory.outage(10)
        self.directory.vanished('i1', 10)
        self.directory.listed(BACKEND)
        self.assertEqual(self.directory.expire(20), [])

    def test_time_of_a_lapsed_entry_runs_from_the_end_of_the_outage(self):
        """Guards against a long outage that uses up the time to return."""
        self.directory.outage(10)
        self.directory.vanished('i1', 10)
        self.directory.outage(15)
        self.assertEqual(self.directory.expire(16), [])

    def test_address_of_another_service_is_left(self):
        """Guards against work for whoever got the address."""
        self.directory.listed(BACKEND._replace(service='b'))
        self.assertEqual(self.directory.usable('a'), ())
        self.assertEqual(self.directory.usable('b'), ('i1',))


class EntryTest(unittest.TestCase):
    def parse(self, **changes):
        document = users.backend_document('a', 80, address='10.0.0.1:80')
        document.update(changes)
        return documents.parse_backend(
            'i1', users.json.dumps(document).encode()
        )

    def test_entry_is_decoded(self):
        """Guards against a wire name that lands in another field."""
        self.assertEqual(self.parse(), BACKEND)
        self.assertTrue(self.parse(state='draining').leaving)

    def test_entry_of_another_writer_names_no_backend_server(self):
        """Guards against work sent to what can't be read."""
        for changes in (
            {'state': 'asleep'},
            {'state': None},
            {'state': ['ready']},
            {'service': 7},
            {'address': 'host:80'},
            {'address': '10.0.0.1'},
            {'address': '10.0.0.1:-1'},
            {'address': 7},
            {'slots': True},
            {'slots': '2'},
            {'sequence': None},
            {'zone': {}},
        ):
            with self.subTest(changes=changes):
                self.assertIsNone(self.parse(**changes))
        self.assertIsNone(documents.parse_backend('i1', b'\xff{'))
        self.assertIsNone(documents.parse_backend('i1', b'[]'))
