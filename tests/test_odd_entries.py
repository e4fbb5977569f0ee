"""Malformed entries that another writer stored in the platform."""

import json
import unittest
import zlib

from cardamomflow import claims, configuration, errors
from cardamomflow.platform import documents
from standins import users
from tests import hostworld, loops

NESTED = b'[' * 100_000 + b']' * 100_000
VALID_BACKEND = users.backend_document('a', 8000)


def encode_backend(**fields):
    return json.dumps({**VALID_BACKEND, **fields}).encode()


MALFORMED_VALUES_BY_NAME = {
    'very deeply nested': NESTED,
    'a field that is very deeply nested': b'{"service": %s}' % NESTED,
    'a number of many digits': b'{"slots": %s}' % (b'9' * 5000),
    'a number out of range': json.dumps(VALID_BACKEND)
    .replace('"slots": 2', '"slots": 1e999')
    .encode(),
    'a port out of range': encode_backend(address='127.0.0.1:65536'),
    'port zero': encode_backend(address='127.0.0.1:0'),
    'a port with non-ASCII digits': encode_backend(address='127.0.0.1:८०'),
    'a port with a sign': encode_backend(address='127.0.0.1:+80'),
    'an address with non-ASCII digits': encode_backend(address='127.0.0.١:80'),
    'an address out of range': encode_backend(address='127.0.0.256:80'),
    'a host name': encode_backend(address='localhost:80'),
    'no address': encode_backend(address=None),
    'a lone surrogate': encode_backend(zone='\ud800'),
    'invalid UTF-8': b'\xff\xfe',
    'an empty value': b'',
}


class MalformedEntriesWorld(hostworld.HostWorld):
    """A host that starts when the malformed entries already exist."""

    async def start_host(self, store_port):
        for number, value in enumerate(MALFORMED_VALUES_BY_NAME.values()):
            self.store.put_bytes(f'servers/odd-{number}', value)
        await super().start_host(store_port)


class MalformedBackendTest(unittest.TestCase):
    def test_malformed_entries_are_no_backend_servers(self):
        """Guards against a host that crashes at every start over one entry."""
        for name, value in MALFORMED_VALUES_BY_NAME.items():
            with self.subTest(name):
                self.assertIsNone(documents.parse_backend('i-1', value))
        self.assertIsNotNone(documents.parse_backend('i-1', encode_backend()))

    def test_ids_that_are_invalid_in_a_header_are_no_backend_servers(self):
        """Guards against requests that fail because of the id of an entry."""
        for backend_id in ('', 'i 1', 'i\r\nx: y', 'i\0', 'é', '\ud800'):
            with self.subTest(backend_id):
                self.assertIsNone(
                    documents.parse_backend(backend_id, encode_backend())
                )

    def test_running_host_ignores_malformed_entries(self):
        """Guards against a host that stops processing changes of the list."""

        async def scenario(world):
            for number, value in enumerate(MALFORMED_VALUES_BY_NAME.values()):
                world.store.put_bytes(f'servers/odd-{number}', value)
                world.store.put_bytes(f'hosts/odd-{number}', value)
            world.store.put('servers/i 1\r\nx: y', VALID_BACKEND)
            await world.add_backend('a9', 'a')
            await loops.until(
                lambda: 'a9' in world.host.directory.backends_by_id
            )
            answers = [
                await world.send_request('/statement/x') for _ in range(6)
            ]
            return {answer.status for answer in answers}

        self.assertEqual(hostworld.run_scenario(scenario), {200})

    def test_starting_host_ignores_malformed_entries(self):
        """Guards against a host that cannot read the list when it starts."""

        async def scenario(world):
            return (await world.send_request('/statement/x')).status

        self.assertEqual(
            hostworld.run_scenario(scenario, MalformedEntriesWorld), 200
        )


class MalformedHostTest(unittest.TestCase):
    def test_malformed_entries_are_no_hosts(self):
        """Guards against a host that crashes over the entry of another host."""
        valid_host = {
            'availability_zone': 'z1',
            'peers': '127.0.0.1:80',
            'capacity': 1,
        }
        changes_by_name = {
            'port out of range': {'peers': '127.0.0.1:99999'},
            'host name': {'peers': 'localhost:80'},
            'infinite capacity': {'capacity': float('inf')},
            'capacity that is not a number': {'capacity': float('nan')},
            'capacity out of range': {'capacity': 10**400},
            'zero capacity': {'capacity': 0},
            'a lone surrogate': {'availability_zone': '\ud800'},
        }
        for name, change in changes_by_name.items():
            with self.subTest(name):
                value = json.dumps({**valid_host, **change}).encode()
                self.assertIsNone(documents.parse_member('h', value))
        self.assertIsNone(documents.parse_member('h', NESTED))
        self.assertIsNotNone(
            documents.parse_member('h', json.dumps(valid_host).encode())
        )


class MalformedConfigurationTest(unittest.TestCase):
    def test_malformed_configuration_raises_a_typed_error(self):
        """Guards against a process that crashes over a configuration."""
        for value in (NESTED, b'{"version": 1e999}', b'', b'\xff'):
            with self.assertRaises(errors.ProtocolViolation):
                documents.parse_routes(value)

    def test_nested_values_of_own_keys_raise_typed_errors(self):
        """Guards against the same crash over keys that this product writes."""
        with self.assertRaises(errors.ProtocolViolation):
            claims.decode(NESTED)
        with self.assertRaises(errors.InvalidDocument):
            configuration.decompress(zlib.compress(NESTED))


if __name__ == '__main__':
    unittest.main()
