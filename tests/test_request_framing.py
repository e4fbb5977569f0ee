"""Requests and answers whose end or target is open to more than one reading."""

import functools
import unittest

from tests import hostworld, loops, test_odd_answers

HEAD = b'POST /payment/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r1\r\n'
SECOND = (
    b'GET /statement/hidden HTTP/1.1\r\n'
    b'host: shop.example\r\n'
    b'x-request-id: hidden\r\n\r\n'
)
CHUNKED_BODY = b'3\r\npay\r\n0\r\n\r\n'


def send(payload):
    """Return the answers to some bytes, and the requests that ran."""

    async def scenario(world):
        async with loops.Caller(world.callers_port) as caller:
            await caller.send(payload)
            await caller.send(b'')
            answer = await caller.read_until(b'\r\n\r\n')
        return answer, [
            request
            for backend in world.backends_by_id.values()
            for request in backend.ran
        ]

    return hostworld.run_scenario(scenario, services=('a',), replicas=1)


class RequestTest(unittest.TestCase):
    def check_refused(self, payload):
        answer, ran = send(payload)
        self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), answer)
        self.assertIn(b'connection: close', answer)
        self.assertEqual(ran, [])

    def test_two_lengths_are_refused(self):
        """Guards against a request that is smuggled in the body of another.

        A proxy that goes by the length takes the second one for a body.
        """
        for headers in (
            b'content-length: %d\r\ntransfer-encoding: chunked\r\n',
            b'transfer-encoding: chunked\r\ncontent-length: %d\r\n',
            b'Transfer-Encoding: chunked\r\nCONTENT-LENGTH: %d\r\n',
        ):
            body = b'%s%s' % (CHUNKED_BODY, SECOND)
            with self.subTest(headers):
                self.check_refused(
                    b''.join((HEAD, headers % len(body), b'\r\n', body))
                )

    def test_folded_lines_are_refused(self):
        """Guards against a header that another server reads as two."""
        for fold in (b' folded', b'\tfolded', b' content-length: 3'):
            with self.subTest(fold):
                self.check_refused(b'%sx-note: a\r\n%s\r\n\r\n' % (HEAD, fold))

    def test_bare_line_feeds_are_refused(self):
        """Guards against a head that another server sees end elsewhere."""
        for head in (
            b'%s\n' % HEAD.replace(b'\r\n', b'\n'),
            b'%sx-note: a\nx-more: b\r\n\r\n' % HEAD,
            b'%sx-note: a\r\n\n' % HEAD,
        ):
            with self.subTest(head[-20:]):
                self.check_refused(head)

    def test_head_in_pieces_is_served(self):
        """Guards against a line end that is refused as it arrives in parts."""
        request = SECOND

        async def scenario(world):
            async with loops.Caller(world.callers_port) as caller:
                for byte in request:
                    await caller.send(bytes((byte,)))
                return await caller.read_until(b'\r\n\r\n')

        answer = hostworld.run_scenario(scenario)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)

    def test_line_feed_in_a_body_is_served(self):
        """Guards against a body that is taken for a part of the head."""
        body = b'a\nb\r\n c\n\n'
        payload = b'%scontent-length: %d\r\n\r\n%s' % (HEAD, len(body), body)
        answer, (request,) = send(payload)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)
        self.assertEqual(request.body, body)

    def test_absolute_target_is_served(self):
        """Guards against a path that is not found behind a proxy."""
        for target, path in (
            (b'http://shop.example/statement/x?y=1', '/statement/x?y=1'),
            (b'HTTP://shop.example:80/statement/x', '/statement/x'),
            (b'https://Shop.example/statement/x', '/statement/x'),
        ):
            payload = (
                b'GET %s HTTP/1.1\r\nhost: other.example\r\n'
                b'x-request-id: r1\r\n\r\n' % target
            )
            with self.subTest(target):
                answer, (request,) = send(payload)
                self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)
                self.assertEqual(request.path, path)
                self.assertIn('shop.example', request.headers['host'].lower())

    def test_absolute_target_without_a_host_is_refused(self):
        """Guards against an error of the program for a malformed target."""
        for target in (b'http:///statement/x', b'http://'):
            with self.subTest(target):
                self.check_refused(
                    b'GET %s HTTP/1.1\r\nhost: shop.example\r\n'
                    b'x-request-id: r1\r\n\r\n' % target
                )


class AnswerTest(unittest.TestCase):
    def test_answer_with_two_lengths_is_no_answer(self):
        """Guards against a body that depends on who reads it."""

        async def scenario(world, answer):
            world.backend.answer = answer
            return await world.send_request('/statement/x')

        answer = (
            test_odd_answers.HEAD.replace(
                b'content-length: 16',
                b'content-length: 16\r\ntransfer-encoding: chunked',
            )
            + b'10\r\n'
            + test_odd_answers.RECORD
            + b'\r\n0\r\n\r\n'
        )
        received = hostworld.run_scenario(
            functools.partial(scenario, answer=answer),
            test_odd_answers.FixedBackendWorld,
        )
        self.assertEqual(received.status, 502)
