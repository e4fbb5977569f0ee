"""Invalid input to a real entry process while valid queries run."""

import concurrent.futures
import contextlib
import json
import pathlib
import socket
import threading
import time
import unittest

from standins import fleet, verify

VALID_QUERY = {
    'request_id': 'bad-input',
    'service': fleet.INDEX,
    'work': 'lot-history',
    'deadline_ms': 1000,
    'query': fleet.QUERY,
}
OPERATION = {
    'request_id': 'bad-input',
    'service': 'weighbridge-2',
    'work': 'record-lot',
    'key': 'bad-input',
    'issued_at': 0,
    'payload': {},
}
BAD_REQUEST = (400, 'bad_request')
TOO_LARGE = (413, 'body_too_large')
HEAD_TOO_LARGE = (431, 'head_too_large')
FLOOD_BYTES = 50_000_000
MAX_GROWTH_KB = 20_000
_BLOCK = b'x' * 65_536


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(fleet.running())
        cls.zone = cls.fleet.zones[0]
        cls.port = cls.fleet.entry_ports[cls.zone]

    def setUp(self):
        """Send valid queries until the test ends and check each answer."""
        self.stopped = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(4)
        self.background_queries = self.pool.submit(self.query_until_stopped)
        self.addCleanup(self.check_background_queries)

    def query_until_stopped(self):
        count = 0
        while count < 5 or not self.stopped.is_set():
            count += 1
            request_id = f'{self.id()}-{count}'
            status, answer = self.fleet.query(self.port, request_id=request_id)
            self.assertEqual(status, 200, answer)
            problems = verify.problems(self.fleet, request_id, answer)
            self.assertEqual(problems, [])
            self.assertEqual(answer['coverage']['missing'], [])
            time.sleep(0.02)

    def check_background_queries(self):
        self.stopped.set()
        self.background_queries.result()
        self.pool.shutdown()

    def send_invalid(self, path, document):
        status, answer = fleet.call(self.port, 'POST', path, document)
        return status, answer['error']['code'], answer['error']['outcome']

    def send_bytes(self, block):
        """Send bytes and return the status and the code of the response."""
        address = (fleet.ADDRESS, self.port)
        with socket.create_connection(address, 10) as caller:
            caller.sendall(block)
            received = b''.join(iter(lambda: caller.recv(65_536), b''))
        head, _, body = received.partition(b'\r\n\r\n')
        return int(head.split()[1]), json.loads(body)['error']['code']

    def test_fields_are_checked(self):
        """Guards against work started for an invalid request."""
        changes = {
            'missing id': {'request_id': None},
            'id of another type': {'request_id': 7},
            'deadline of no length': {'deadline_ms': 0},
            'query of another type': {'query': [1]},
            'limit out of bounds': {'query': {'limit': 10**9}},
        }
        for name, change in changes.items():
            with self.subTest(name):
                refusal = self.send_invalid(
                    '/v1/query', {**VALID_QUERY, **change}
                )
                self.assertEqual(refusal, (400, 'bad_request', 'not_run'))

    def test_unknown_names_are_refused(self):
        """Guards against an unknown name answered with an empty result."""
        for path, document in (
            ('/v1/query', VALID_QUERY),
            ('/v1/operations', {**OPERATION, 'issued_at': int(time.time())}),
        ):
            for field in ('service', 'work'):
                with self.subTest(path=path, field=field):
                    unknown = {**document, field: 'no-such-name'}
                    refusal = self.send_invalid(path, unknown)
                    self.assertEqual(refusal, (404, 'not_found', 'not_run'))

    def test_operation_without_key_is_refused(self):
        """Guards against operations that look the same as their retries."""
        for key in ('key', 'issued_at'):
            with self.subTest(key):
                document = {**OPERATION, 'issued_at': int(time.time())}
                del document[key]
                status, _, outcome = self.send_invalid(
                    '/v1/operations', document
                )
                self.assertEqual((status, outcome), (400, 'not_run'))

    def test_invalid_http_or_json_is_refused(self):
        """Guards against a connection reset instead of an error code."""
        head = 'POST /v1/query HTTP/1.1\r\nhost: t\r\nconnection: close\r\n'
        for block, expected in (
            ('\x16\x03\x01 no http\r\n\r\n', BAD_REQUEST),
            (f'{head}content-length: 1\r\n\r\n{{', BAD_REQUEST),
            (f'{head}content-length: 2\r\n\r\n[]', BAD_REQUEST),
            (f'{head}content-length: 99999999\r\n\r\n', TOO_LARGE),
            (f'{head}x: {"x" * 20_000}\r\n\r\n', HEAD_TOO_LARGE),
        ):
            with self.subTest(block[:80]):
                self.assertEqual(self.send_bytes(block.encode()), expected)

    def test_flood_of_bytes_takes_bounded_memory(self):
        """Guards against unbounded buffering of a request head."""
        before_kb = self.resident_kb()
        address = (fleet.ADDRESS, self.port)
        with socket.create_connection(address, 10) as caller:
            caller.sendall(b'POST /v1/query HTTP/1.1\r\nx: ')
            # After its refusal the entry reads for 0.5 s more, then closes.
            with contextlib.suppress(ConnectionError):
                for _ in range(FLOOD_BYTES // len(_BLOCK)):
                    caller.sendall(_BLOCK)
            self.assertLess(self.resident_kb() - before_kb, MAX_GROWTH_KB)

    def resident_kb(self):
        process = self.fleet.processes_by_name[f'entry-{self.zone}']
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        (line,) = [row for row in status.splitlines() if 'VmRSS' in row]
        return int(line.split()[1])

    def test_slow_and_disconnected_callers_do_not_delay_others(self):
        """Guards against resources held for callers that stop mid-request."""
        address = (fleet.ADDRESS, self.port)
        body = json.dumps(VALID_QUERY).encode()
        head = f'POST /v1/query HTTP/1.1\r\ncontent-length: {len(body)}\r\n'
        request = b''.join((f'{head}host: t\r\n\r\n'.encode(), body))
        for length in (len(head), len(request) - 1, len(request)):
            for _ in range(20):
                with socket.create_connection(address, 10) as caller:
                    caller.sendall(request[:length])
        open_callers = [
            socket.create_connection(address, 10) for _ in range(50)
        ]
        for caller in open_callers:
            self.addCleanup(caller.close)
            caller.sendall(request[:40])
        time.sleep(1)
        status, answer = self.fleet.query(self.port, request_id='after')
        self.assertEqual(status, 200, answer)
