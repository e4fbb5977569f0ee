"""Answers of backend servers whose status is not one of HTTP."""

import unittest

from cardamomflow import errors, webclient
from tests import hostworld, loops, rawbackend
from tests.test_odd_answers import HEAD, RECORD, FixedBackendWorld

# h11 refuses statuses below 100 and passes on those from 600.
NO_STATUSES = (b'000', b'099', b'600', b'999', b'20', b'2000', b'-20')
PATHS = ('/statement/x', '/payment/x', '/lookup/x')


def with_status_line(line):
    """Return a complete answer with another status line."""
    _, _, rest = HEAD.partition(b'\r\n')
    return b'\r\n'.join((line, rest + RECORD))


class HostTest(unittest.TestCase):
    def check_fails(self, answers):
        """Check that callers get 502 or 504 in place of each answer."""

        async def scenario(world):
            statuses = []
            for answer in answers:
                for path in PATHS:
                    world.backend.answer = answer
                    reply = await world.send_request(path, deadline_ms=1000)
                    statuses.append((answer[:24], path, reply.status))
            return statuses

        for start, path, status in hostworld.run_scenario(
            scenario, FixedBackendWorld
        ):
            with self.subTest(start=start, path=path):
                self.assertIn(status, {502, 504})

    def test_status_outside_of_http(self):
        """Guards against a status that no caller can understand."""
        self.check_fails(
            with_status_line(b'HTTP/1.1 %s Trouble' % status)
            for status in NO_STATUSES
        )

    def test_informational_status_is_no_final_answer(self):
        """Guards against a 1xx status that ends a request."""
        self.check_fails(
            with_status_line(b'HTTP/1.1 %d Trouble' % status)
            for status in (101, 199)
        )

    def test_other_protocol_version(self):
        """Guards against bytes of another protocol taken for an answer."""
        self.check_fails([with_status_line(b'HTTP/2.0 200 OK')])

    def test_no_content_with_a_body(self):
        """Guards against an answer whose body depends on the reader."""
        self.check_fails([with_status_line(b'HTTP/1.1 204 No Content')])

    def test_statuses_of_http_are_passed_on(self):
        """Guards against a check that refuses valid failures."""

        async def scenario(world):
            statuses = []
            for status in (200, 299, 304, 404, 500, 599):
                world.backend.answer = with_status_line(
                    b'HTTP/1.1 %d Valid' % status
                )
                reply = await world.send_request(
                    '/payment/x', 'POST', b'pay', deadline_ms=1000
                )
                statuses.append(reply.status)
            return statuses

        self.assertEqual(
            hostworld.run_scenario(scenario, FixedBackendWorld),
            [200, 299, 304, 404, 500, 599],
        )


class FixedServer(rawbackend.RawBackend):
    """Sends the same bytes to each request."""

    def __init__(self, answer):
        self._answer = answer
        super().__init__()

    def _serve(self, client):
        if client.recv(65_536):
            client.sendall(self._answer)


class WebClientTest(unittest.TestCase):
    def fetch(self, answer):
        server = FixedServer(answer)
        try:
            return loops.run(
                lambda: webclient.fetch('127.0.0.1', server.port, 'GET', '/')
            )
        finally:
            server.close()

    def test_status_outside_of_http(self):
        """Guards against a store or backend server in trouble."""
        for status in NO_STATUSES:
            answer = with_status_line(b'HTTP/1.1 %s Trouble' % status)
            with self.subTest(status), self.assertRaises(errors.FlowError):
                self.fetch(answer)

    def test_valid_status(self):
        """Guards against a check that refuses valid failures."""
        answer = with_status_line(b'HTTP/1.1 599 Valid')
        self.assertEqual(self.fetch(answer).status, 599)
