"""Entries of the platform that another writer has left."""

import json
import unittest
import zlib

from cardamomflow import claims, configuration, errors
from cardamomflow.platform import documents
from standins import users
from tests import hostworld, loops

NESTED = b'[' * 100_000 + b']' * 100_000
GOOD = users.backend_document('a', 8000)


def changed(**fields):
    return json.dumps({**GOOD, **fields}).encode()


ODD_VALUES_BY_NAME = {
    'very deeply nested': NESTED,
    'a field that is very deeply nested': b'{"service": %s}' % NESTED,
    'a number of many digits': b'{"slots": %s}' % (b'9' * 5000),
    'a number out of range': json.dumps(GOOD)
    .replace('"slots": 2', '"slots": 1e999')
    .encode(),
    'a port out of range': changed(address='127.0.0.1:65536'),
    'port zero': changed(address='127.0.0.1:0'),
    'a port of other digits': changed(address='127.0.0.1:८०'),
    'a port with a sign': changed(address='127.0.0.1:+80'),
    'an address of other digits': changed(address='127.0.0.١:80'),
    'an address out of range': changed(address='127.0.0.256:80'),
    'a host name': changed(address='localhost:80'),
    'no address': changed(address=None),
    'half of a character': changed(zone='\ud800'),
    'no text': b'\xff\xfe',
    'nothing': b'',
}


class OddWorld(hostworld.HostWorld):
    """A host that starts after the odd entries were written."""

    async def start_host(self, store_port):
        for number, value in enumerate(ODD_VALUES_BY_NAME.values()):
            self.store.put_bytes(f'servers/odd-{number}', value)
        await super().start_host(store_port)


class OddBackendTest(unittest.TestCase):
    def test_odd_entries_name_no_backend_server(self):
        """Guards against a host that ends again and again over one entry."""
        for name, value in ODD_VALUES_BY_NAME.items():
            with self.subTest(name):
                self.assertIsNone(documents.parse_backend('i-1', value))
        self.assertIsNotNone(documents.parse_backend('i-1', changed()))

    def test_ids_that_no_header_can_carry_name_no_backend_server(self):
        """Guards against requests that fail over the id of an entry."""
        for backend_id in ('', 'i 1', 'i\r\nx: y', 'i\0', 'é', '\ud800'):
            with self.subTest(backend_id):
                self.assertIsNone(
                    documents.parse_backend(backend_id, changed())
                )

    def test_host_goes_on_beside_odd_entries(self):
        """Guards against a host that no longer follows the list."""

        async def scenario(world):
            for number, value in enumerate(ODD_VALUES_BY_NAME.values()):
                world.store.put_bytes(f'servers/odd-{number}', value)
                world.store.put_bytes(f'hosts/odd-{number}', value)
            world.store.put('servers/i 1\r\nx: y', GOOD)
            await world.add_backend('a9', 'a')
            await loops.until(
                lambda: 'a9' in world.host.directory.backends_by_id
            )
            answers = [
                await world.send_request('/statement/x') for _ in range(6)
            ]
            return {answer.status for answer in answers}

        self.assertEqual(hostworld.run_scenario(scenario), {200})

    def test_host_starts_beside_odd_entries(self):
        """Guards against a host that can't read the list at its start."""

        async def scenario(world):
            return (await world.send_request('/statement/x')).status

        self.assertEqual(hostworld.run_scenario(scenario, OddWorld), 200)


class OddHostTest(unittest.TestCase):
    def test_odd_entries_name_no_host(self):
        """Guards against a host that ends over the entry of another one."""
        good = {
            'availability_zone': 'z1',
            'peers': '127.0.0.1:80',
            'capacity': 1,
        }
        changes_by_name = {
            'port out of range': {'peers': '127.0.0.1:99999'},
            'host name': {'peers': 'localhost:80'},
            'infinite capacity': {'capacity': float('inf')},
            'no number': {'capacity': float('nan')},
            'capacity out of range': {'capacity': 10**400},
            'no capacity': {'capacity': 0},
            'half of a character': {'availability_zone': '\ud800'},
        }
        for name, change in changes_by_name.items():
            with self.subTest(name):
                value = json.dumps({**good, **change}).encode()
                self.assertIsNone(documents.parse_member('h', value))
        self.assertIsNone(documents.parse_member('h', NESTED))
        self.assertIsNotNone(
            documents.parse_member('h', json.dumps(good).encode())
        )


class OddConfigurationTest(unittest.TestCase):
    def test_unreadable_configuration_has_a_typed_error(self):
        """Guards against a process that ends over a configuration."""
        for value in (NESTED, b'{"version": 1e999}', b'', b'\xff'):
            with self.assertRaises(errors.ProtocolViolation):
                documents.parse_routes(value)

    def test_nested_values_of_own_keys_have_typed_errors(self):
        """Guards against the same fault in the keys of own deployments."""
        with self.assertRaises(errors.ProtocolViolation):
            claims.decode(NESTED)
        with self.assertRaises(errors.InvalidDocument):
            configuration.decompress(zlib.compress(NESTED))


if __name__ == '__main__':
    unittest.main()
