"""Checks of the list of backend servers during platform outages."""

import unittest

from cardamomflow import directory, register
from cardamomflow.platform import documents
from standins import users

BACKEND = register.Backend('i1', 'a', 'z1', '10.0.0.1', 80, '', leaving=False)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()
        self.directory.update_entry(BACKEND)

    def test_removed_entry_gets_no_new_work(self):
        """Guards against work for a backend server that has stopped."""
        change = self.directory.remove_entry('i1', 10)
        self.assertEqual(change, directory.Change('i1', 'a', usable=False))
        self.assertEqual(self.directory.usable('a'), ())

    def test_entry_that_expires_in_an_outage_is_held_for_some_time(self):
        """Guards against an outage that removes all backend servers."""
        self.directory.record_outage(10)
        self.assertIsNone(self.directory.remove_entry('i1', 11))
        self.assertEqual(self.directory.expire(12), [])
        self.assertEqual(self.directory.usable('a'), ('i1',))
        (change,) = self.directory.expire(12.3)
        self.assertFalse(change.usable)

    def test_entry_that_is_listed_again_stays(self):
        """Guards against dropping a backend server that is alive."""
        self.directory.record_outage(10)
        self.directory.remove_entry('i1', 10)
        self.directory.update_entry(BACKEND)
        self.assertEqual(self.directory.expire(20), [])

    def test_held_entry_expires_some_time_after_the_outage(self):
        """Guards against a hold time that ends during a long outage."""
        self.directory.record_outage(10)
        self.directory.remove_entry('i1', 10)
        self.directory.record_outage(15)
        self.assertEqual(self.directory.expire(16), [])

    def test_entry_that_changes_its_service_is_moved(self):
        """Guards against work of the previous service at the backend server."""
        self.directory.update_entry(BACKEND._replace(service='b'))
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
        """Guards against a wire field that is decoded into the wrong one."""
        self.assertEqual(self.parse(), BACKEND)
        self.assertTrue(self.parse(state='draining').leaving)

    def test_invalid_entry_is_ignored(self):
        """Guards against work sent by an entry that can't be decoded."""
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
