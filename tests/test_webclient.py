"""Tests of the HTTP client with faulty servers."""

# Bytes on the wire are joined from parts, and peers nest in their servers.
# flake8: noqa: WPS336, WPS220, WPS435, WPS501

import contextlib
import unittest
from unittest import mock

import curio

from cardamomflow import bodybudget, errors, links, webclient, webserver
from tests import loops, rawbackend

# More than the buffers of a connection take up.
UNREAD_DOCUMENT = {'value': 'x' * 10_000_000}
EARLY_RESPONSE_LIMIT_S = 5.0
LONG_BODY_BYTES = 400_000
_OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'


async def _serve_blocks(listener, blocks_by_request, *, close_at_end=True):
    """Answer each request of one connection with fixed bytes."""
    sock, _ = await listener.accept()
    async with sock:
        for block in blocks_by_request:
            await sock.recv(65_536)
            await sock.sendall(block)
        if not close_at_end:
            await curio.sleep(1000)


class _StallingServer(rawbackend.RawBackend):
    """Sends a long body without its end."""

    def _serve(self, client):
        client.sendall(b'HTTP/1.1 200 OK\r\n\r\n' + bytes(LONG_BODY_BYTES))
        # Until the client closes.
        while client.recv(65_536):
            continue


class WebClientTest(unittest.TestCase):
    """Exchanges with a scripted server."""

    def exchange(self, blocks, scenario, *, close_at_end=True):
        """Run a scenario on a connection to a scripted server."""

        async def run():
            listener = webserver.listen('127.0.0.1', 0)
            port = listener.getsockname()[1]
            async with listener:
                task = await curio.spawn(_serve_scripted, listener)
                connection = await webclient.connect('127.0.0.1', port)
                try:
                    return await scenario(connection)
                finally:
                    await connection.close()
                    await task.cancel()

        async def _serve_scripted(listener):
            await _serve_blocks(listener, blocks, close_at_end=close_at_end)

        return loops.run(run)

    def assert_fails(self, blocks, error_type, *, close_at_end=True):
        async def scenario(connection):
            with self.assertRaises(error_type) as caught:
                await connection.exchange('GET', '/')
            self.assertFalse(connection.reusable)
            return caught.exception

        return self.exchange(blocks, scenario, close_at_end=close_at_end)

    def test_reuse(self):
        """Guards against a connection that serves only one exchange."""

        async def scenario(connection):
            for _ in range(3):
                self.assertTrue(connection.reusable)
                reply = await connection.exchange('POST', '/', {'a': 1})
                self.assertEqual(reply.json(), {})

        self.exchange([_OK] * 3, scenario, close_at_end=False)

    def test_truncated_body_is_a_lost_peer(self):
        """Guards against reporting a lost connection as malformed HTTP."""
        self.assert_fails([_OK[:-1]], errors.PeerLost)

    def test_no_response_is_a_lost_peer(self):
        """Guards against reporting a lost connection as malformed HTTP."""
        self.assert_fails([b''], errors.PeerLost)

    def test_truncated_head_is_a_lost_peer(self):
        """Guards against reporting a lost connection as malformed HTTP."""
        self.assert_fails([_OK[:20]], errors.PeerLost)

    def test_malformed_response(self):
        """Guards against an unhandled exception of the parser."""
        self.assert_fails(
            [b'nonsense\r\n\r\n'], errors.ProtocolViolation, close_at_end=False
        )

    def test_error_does_not_quote_a_malformed_response(self):
        """Guards against keys of a configuration in the log."""
        for block in (
            b'{"api_keys": ["secret-1"]}\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nsecret-1\r\n\r\n',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            b'1\r\naxsecret-1\r\n',
        ):
            error = self.assert_fails(
                [block], errors.ProtocolViolation, close_at_end=False
            )
            self.assertNotIn('secret', error.message)

    def test_oversized_head(self):
        """Guards against unbounded memory for a head."""
        block = b'HTTP/1.1 200 OK\r\nx: ' + b'a' * 100_000
        self.assert_fails([block], errors.ProtocolViolation, close_at_end=False)

    def test_oversized_body(self):
        """Guards against unbounded memory for a body."""
        size = webclient.MAX_BODY_BYTES + 1
        head = f'HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n'.encode()
        self.assert_fails(
            [head + bytes(size)], errors.ProtocolViolation, close_at_end=False
        )

    def test_endless_bodies_of_all_connections_are_bounded(self):
        """Guards against many long bodies that together use all memory."""
        limit_bytes = LONG_BODY_BYTES * 2
        budget = bodybudget.BodyBudget(limit_bytes)

        async def fail(port):
            connection = await webclient.connect(
                '127.0.0.1', port, body_budget=budget
            )
            try:
                with contextlib.suppress(errors.PeerLost):
                    await connection.exchange('GET', '/')
            finally:
                await connection.close()

        async def scenario():
            server = _StallingServer()
            tasks = [await curio.spawn(fail, server.port) for _ in range(4)]
            await loops.until(
                lambda: sum(task.terminated for task in tasks) == 2
            )
            held_bytes = budget.held_bytes
            for task in tasks:
                await task.cancel()
            server.close()
            return held_bytes

        self.assertLessEqual(loops.run(scenario), limit_bytes)
        self.assertEqual(budget.held_bytes, 0)

    def test_duplicate_response_ends_reuse(self):
        """Guards against taking the second copy as the next response."""

        async def scenario(connection):
            await connection.exchange('GET', '/')
            await loops.until(lambda: not connection.reusable)

        self.exchange([_OK + _OK], scenario, close_at_end=False)

    def test_late_duplicate_ends_reuse(self):
        """Guards against unread bytes that arrive between exchanges."""

        async def scenario(connection):
            await connection.exchange('GET', '/')
            self.assertTrue(connection.reusable)
            await connection._sock.post(b'x')
            await loops.until(lambda: not connection.reusable)

        self.exchange([_OK, _OK], scenario, close_at_end=False)

    def test_server_that_closes_ends_reuse(self):
        """Guards against sending a request into a closed connection."""

        async def scenario(connection):
            await connection.exchange('GET', '/')
            await loops.until(lambda: not connection.reusable)

        self.exchange([_OK], scenario)

    def test_announced_close_ends_reuse(self):
        """Guards against ignoring `Connection: close`."""
        block = _OK.replace(b'OK\r\n', b'OK\r\nconnection: close\r\n')

        async def scenario(connection):
            await connection.exchange('GET', '/')
            self.assertFalse(connection.reusable)

        self.exchange([block], scenario, close_at_end=False)

    def test_cancelled_exchange_ends_reuse(self):
        """Guards against taking a late response as the next one."""

        async def scenario(connection):
            exchange = await curio.spawn(connection.exchange, 'GET', '/')
            await curio.sleep(0.02)
            await exchange.cancel()
            self.assertFalse(connection.reusable)
            with self.assertRaises(errors.ConnectFailed):
                await connection.exchange('GET', '/')

        self.exchange([b''], scenario, close_at_end=False)

    def test_concurrent_exchange_is_refused(self):
        """Guards against two requests at the same time on a connection."""

        async def scenario(connection):
            exchange = await curio.spawn(connection.exchange, 'GET', '/')
            await curio.sleep(0.02)
            with self.assertRaises(errors.ConnectFailed):
                await connection.exchange('GET', '/')
            await exchange.cancel()

        self.exchange([b''], scenario, close_at_end=False)

    def test_close_during_an_exchange_fails_only_it(self):
        """Guards against an event loop that fails at the next connection."""

        async def exchange(connection):
            with self.assertRaises(errors.PeerLost):
                await connection.exchange('GET', '/')

        async def scenario(connection):
            exchange_task = await curio.spawn(exchange, connection)
            await curio.sleep(0.02)
            await connection.close()
            # Its descriptor may have the number of the closed one.
            await self.check_new_connection()
            await exchange_task.join()

        self.exchange([b''], scenario, close_at_end=False)

    def test_close_beside_the_response_ends_reuse(self):
        """Guards against a request on a socket that is already closed."""

        async def scenario(connection):
            async def close_and_receive(limit):
                await connection.close()
                return _OK

            with mock.patch.object(
                connection._sock, 'recv', side_effect=close_and_receive
            ):
                reply = await connection.exchange('GET', '/')
            self.assertEqual(reply.json(), {})
            self.assertFalse(connection.reusable)

        self.exchange([b''], scenario, close_at_end=False)

    async def check_new_connection(self):
        """Check that one more connection waits for its input."""
        async with webserver.listen('127.0.0.1', 0) as listener:
            server = await curio.spawn(_serve_blocks, listener, [_OK])
            port = listener.getsockname()[1]
            reply = await webclient.fetch('127.0.0.1', port, 'GET', '/')
            await server.join()
        self.assertEqual(reply.json(), {})

    def test_response_before_the_request_is_sent(self):
        """Guards against a rejection that is not read until the timeout."""
        block = b'HTTP/1.1 413 \r\ncontent-length: 2\r\n\r\n{}'

        async def scenario(connection):
            async with curio.timeout_after(EARLY_RESPONSE_LIMIT_S):
                reply = await connection.exchange('PUT', '/', UNREAD_DOCUMENT)
            self.assertFalse(connection.reusable)
            return reply

        reply = self.exchange([block], scenario, close_at_end=False)
        self.assertEqual(reply.status, 413)

    def test_informational_responses_are_skipped(self):
        """Guards against taking 100 Continue as the final response."""

        async def scenario(connection):
            return await connection.exchange('GET', '/')

        reply = self.exchange([b'HTTP/1.1 100 \r\n\r\n' + _OK], scenario)
        self.assertEqual(reply.status, 200)


class ConnectTest(unittest.TestCase):
    """Opening connections."""

    def test_refused(self):
        """Guards against reporting the outcome unknown if nothing was sent."""

        async def scenario():
            listener = webserver.listen('127.0.0.1', 0)
            port = listener.getsockname()[1]
            await listener.close()
            with self.assertRaises(errors.ConnectFailed) as caught:
                await webclient.connect('127.0.0.1', port)
            return caught.exception.outcome

        self.assertEqual(loops.run(scenario), errors.Outcome.NOT_RUN)

    def test_timeout_includes_the_exchange(self):
        """Guards against a fetch that never ends."""

        async def scenario():
            listener = webserver.listen('127.0.0.1', 0)
            port = listener.getsockname()[1]
            async with listener:
                with self.assertRaises(errors.DeadlineExceeded):
                    await webclient.fetch(
                        '127.0.0.1', port, 'GET', '/', timeout_s=0.05
                    )

        loops.run(scenario)

    def test_full_backlog_times_out(self):
        """Guards against a connection attempt without a time limit."""

        async def scenario():
            listener = webserver.listen('127.0.0.1', 0)
            listener.listen(0)
            port = listener.getsockname()[1]
            async with listener:
                first = await links.open_socket('127.0.0.1', port, 1.0)
                with self.assertRaises(errors.ConnectFailed):
                    for _ in range(3):
                        await webclient.connect('127.0.0.1', port, 0.1)
                await first.close()

        loops.run(scenario)
