"""Tests of the HTTP server with faulty callers."""

# Bytes on the wire are joined from parts, and peers nest in their servers.
# flake8: noqa: WPS336, WPS220, WPS435, WPS358

import contextlib
import errno
import socket
import unittest
from unittest import mock

import curio
from curio import io as curio_io

from cardamomflow import (
    errors,
    serverconnection,
    webclient,
    webhandler,
    webserver,
)
from cardamomflow.heldbytes import guard, sizing
from tests import loops

_SENDALL = curio_io.Socket.sendall
_GET = b'GET /echo HTTP/1.1\r\nhost: x\r\n\r\n'


class _Handler(webhandler.RequestHandler):
    def __init__(self):
        self.failures = []
        self.handled = 0
        self.cancelled = 0

    async def handle(self, request):
        self.handled += 1
        match request.path:
            case '/slow':
                try:
                    await curio.sleep(0.3)
                except curio.CancelledError:
                    self.cancelled += 1
                    raise
            case '/fault':
                raise ValueError('a fault')
            case '/none':
                return webhandler.Response(204, None)
            case '/unserializable':
                return webhandler.Response(200, {'value': object()})
            case '/json':
                return webhandler.Response(200, request.json())
        return webhandler.Response(200, {'length': len(request.body)})

    def record_failure(self, error):
        self.failures.append(error.code)


class WebServerTest(unittest.TestCase):
    """Responses to raw bytes sent to the server."""

    def setUp(self):
        self.handler = _Handler()
        self.server = webserver.WebServer('127.0.0.1', 0, self.handler)
        self.addCleanup(self.server._listener._socket.close)

    def answer_to(self, *blocks, pause_s=0.0):
        """Send blocks of bytes in turn and return all bytes received."""

        async def scenario():
            async with loops.serving(self.server) as port:
                async with loops.Caller(port) as caller:
                    for block in blocks:
                        await caller.send(block)
                        await curio.sleep(pause_s)
                    return await caller.read_all()

        return loops.run(scenario)

    def assert_refused(self, answer, status, code):
        self.assertTrue(answer.startswith(f'HTTP/1.1 {status} '.encode()))
        self.assertIn(f'"code": "{code}"'.encode(), answer)
        self.assertIn(b'"outcome": "not_run"', answer)
        self.assertIn(b'connection: close', answer.lower())
        self.assertEqual(self.handler.handled, 0)
        self.assertEqual(self.handler.failures, [code])

    def test_malformed_http(self):
        """Guards against a reset instead of a typed 400."""
        answer = self.answer_to(b'NOT HTTP AT ALL\r\n\r\n')
        self.assert_refused(answer, 400, 'bad_request')

    def test_tunnel(self):
        """Guards against a CONNECT that ends without a response."""
        answer = self.answer_to(b'CONNECT a:1 HTTP/1.1\r\nhost: x\r\n\r\n')
        self.assert_refused(answer, 405, 'method_not_allowed')

    def test_drain_without_free_descriptors_finishes_requests(self):
        """Guards against a stop that fails at a connection in the backlog."""
        no_descriptor = OSError(errno.EMFILE, 'no free descriptor')

        async def scenario():
            async with loops.serving(self.server) as port:
                async with loops.Caller(port) as caller:
                    await caller.send(_GET.replace(b'/echo', b'/slow'))
                    await loops.until(lambda: self.handler.handled)
                    with mock.patch.object(
                        socket.socket, 'accept', side_effect=no_descriptor
                    ):
                        async with loops.Caller(port):
                            drained = await self.server.drain(1.0)
                    return drained, await caller.read_all()

        drained, answer = loops.run(scenario)
        self.assertTrue(drained)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))

    def test_no_response_follows_a_cut_one(self):
        """Guards against a refusal in the middle of `100 Continue`."""

        async def send_half(sock, payload):
            if not payload.startswith(b'HTTP/1.1 100'):
                return await _SENDALL(sock, payload)
            await _SENDALL(sock, payload[:10])
            await curio.sleep(60)

        self.server.bounds = serverconnection.Bounds(body_timeout_s=0.2)
        with mock.patch.object(curio_io.Socket, 'sendall', send_half):
            answer = self.answer_to(
                b'POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n'
                b'expect: 100-continue\r\n\r\n'
            )
        self.assertEqual(answer, b'HTTP/1.1 1')
        self.assertEqual(self.handler.failures, ['request_timeout'])

    def test_oversized_head_in_pieces(self):
        """Guards against unbounded memory for a head that never ends."""
        answer = self.answer_to(b'GET / HTTP/1.1\r\nx: ' + b'a' * 20_000)
        self.assert_refused(answer, 431, 'head_too_large')

    def test_oversized_head_in_one_piece(self):
        """Guards against the bound applying to incomplete heads only."""
        head = b'GET / HTTP/1.1\r\nhost: x\r\nx: ' + b'a' * 20_000
        answer = self.answer_to(head + b'\r\n\r\n')
        self.assert_refused(answer, 431, 'head_too_large')

    def test_oversized_body(self):
        """Guards against reading a body of any length."""
        size = serverconnection.MAX_BODY_BYTES + 1
        head = f'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n'
        answer = self.answer_to(head.encode() + b'a' * size)
        self.assert_refused(answer, 413, 'body_too_large')

    def test_announced_oversized_body(self):
        """Guards against reading a body that will be refused."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n'
        answer = self.answer_to(head + b'\r\n')
        self.assert_refused(answer, 413, 'body_too_large')

    def test_oversized_chunked_body(self):
        """Guards against a limit that checks only content-length."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n'
        chunk = b'10000\r\n' + b'a' * 0x10000 + b'\r\n'
        answer = self.answer_to(head + b'\r\n' + chunk * 5)
        self.assert_refused(answer, 413, 'body_too_large')

    def bounded(self, **changes):
        """Return a context manager that changes the server's bounds."""
        return mock.patch.object(
            self.server, 'bounds', serverconnection.Bounds(**changes)
        )

    def test_slow_head(self):
        """Guards against a caller that never completes the head."""
        with self.bounded(head_timeout_s=0.1):
            answer = self.answer_to(b'GET /ec')
        self.assert_refused(answer, 408, 'request_timeout')

    def test_slow_body(self):
        """Guards against a caller that sends a body byte by byte."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n'
        with self.bounded(body_timeout_s=0.1):
            answer = self.answer_to(head, b'a', b'b', pause_s=0.04)
        self.assert_refused(answer, 408, 'request_timeout')

    def test_idle_connection_ends(self):
        """Guards against idle connections that are never closed."""
        with self.bounded(idle_timeout_s=0.05):
            self.assertEqual(self.answer_to(), b'')
        self.assertEqual(self.handler.failures, [])

    def test_bad_json(self):
        """Guards against a 500 for bodies that are not a JSON object."""
        for body in (b'{', b'[]', b'\xff', b'[' * 100_000, b'1' * 9000):
            with self.subTest(body=body[:5]):
                self.setUp()
                head = (
                    'POST /json HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
                    f'content-length: {len(body)}\r\n\r\n'
                )
                answer = self.answer_to(head.encode() + body)
                self.assertIn(b'HTTP/1.1 400 ', answer)
                self.assertIn(b'"bad_request"', answer)

    def test_fault_of_the_handler(self):
        """Guards against a lost response when a handler has a bug."""
        answer = self.answer_to(
            _GET.replace(b'/echo', b'/fault')
            + _GET.replace(b'host', b'connection: close\r\nhost')
        )
        self.assertIn(b'HTTP/1.1 500 ', answer)
        self.assertIn(b'"code": "internal"', answer)
        self.assertIn(b'HTTP/1.1 200 ', answer)

    def test_unserializable_response(self):
        """Guards against a dropped connection for a bad document."""
        answer = self.answer_to(
            _GET.replace(b'/echo', b'/unserializable').replace(
                b'host', b'connection: close\r\nhost'
            )
        )
        self.assertIn(b'HTTP/1.1 500 ', answer)

    def test_responses_without_body(self):
        """Guards against closing the connection on 204 and HEAD."""
        answer = self.answer_to(
            _GET.replace(b'/echo', b'/none')
            + _GET.replace(b'GET', b'HEAD')
            + _GET.replace(b'host', b'connection: close\r\nhost')
        )
        self.assertEqual(answer.count(b'HTTP/1.1 204 '), 1)
        self.assertEqual(answer.count(b'HTTP/1.1 200 '), 2)
        self.assertEqual(answer.count(b'{"length": 0}'), 1)

    def test_pipelined_requests(self):
        """Guards against lost or reordered pipelined requests."""
        post = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n%s'
        requests = [post % (size, b'a' * size) for size in range(1, 8)]
        last = _GET.replace(b'host', b'connection: close\r\nhost')
        answer = self.answer_to(b''.join([*requests, last]))
        self.assertEqual(
            [f'{{"length": {size}}}'.encode() in answer for size in range(8)],
            [True] * 8,
        )
        self.assertLess(answer.index(b' 1}'), answer.index(b' 7}'))

    def test_request_cut_off(self):
        """Guards against a task that waits for a caller that is gone."""

        async def scenario():
            async with loops.serving(self.server) as port:
                async with loops.Caller(port) as caller:
                    await caller.send(b'POST / HTTP/1.1\r\nhost: x\r\ncont')
                    await caller.sock.shutdown(socket.SHUT_WR)
                    answer = await caller.read_all()
                await loops.until(lambda: not self.server.connection_count)
            return answer

        self.assert_refused(loops.run(scenario), 400, 'bad_request')

    def test_caller_goes_away(self):
        """Guards against work for a caller that has disconnected."""

        async def scenario():
            async with loops.serving(self.server) as port:
                async with loops.Caller(port) as caller:
                    await caller.send(_GET.replace(b'/echo', b'/slow'))
                    await loops.until(lambda: self.server.busy_connection_count)
                    await loops.until(lambda: self.handler.handled)
                await loops.until(lambda: not self.server.connection_count, 0.2)

        loops.run(scenario)
        self.assertEqual(self.handler.cancelled, 1)

    def test_input_during_a_request_is_bounded(self):
        """Guards against unbounded buffering of input during a request.

        Unread input stays in the kernel's buffers, which are bounded.
        """

        async def scenario():
            async with loops.serving(self.server) as port:
                async with loops.Caller(port) as caller:
                    await caller.send(_GET.replace(b'/echo', b'/slow'))
                    flood = b'a' * 33_554_432
                    async with curio.ignore_after(0.2):
                        await caller.send(flood)
                    (connection,) = self.server.open_connections()
                    return len(connection._reader.protocol.trailing_data[0])

        self.assertLessEqual(
            loops.run(scenario), serverconnection.MAX_HEAD_BYTES + 65_536
        )

    def test_pipelining_caller_does_not_starve_others(self):
        """Guards against a loop that serves only one caller."""

        async def scenario():
            async with loops.serving(self.server) as port:
                async with loops.Caller(port) as caller:
                    # Fits in the socket buffers, so that no send blocks.
                    caller.sock._socket.send(_GET * 1500)
                    await loops.until(lambda: self.handler.handled)
                    return self.handler.handled

        self.assertLess(loops.run(scenario), 100)

    def test_slow_reader(self):
        """Guards against a response that waits without limit to be read."""

        async def scenario():
            async with loops.serving(self.server) as port:
                async with loops.Caller(port) as caller:
                    body = b'{"text": "%s"}' % (b'a' * 200_000)
                    head = (
                        'POST /json HTTP/1.1\r\nhost: x\r\n'
                        f'content-length: {len(body)}\r\n\r\n'
                    )
                    with contextlib.suppress(ConnectionResetError):
                        for _ in range(200):
                            await caller.send(head.encode() + body)
                    await loops.until(
                        lambda: not self.server.connection_count, 3
                    )

        with mock.patch.object(serverconnection, 'SEND_TIMEOUT_S', 0.2):
            loops.run(scenario)

    def test_time_between_requests_is_no_lack_of_progress(self):
        """Guards against kept connections that are evicted first."""
        now = [100.0]
        server = webserver.WebServer(
            '127.0.0.1',
            0,
            self.handler,
            client_guard=guard.Guard(sizing.Limits(), clock=lambda: now[0]),
        )
        self.addCleanup(server._listener._socket.close)

        async def scenario():
            async with (
                loops.serving(server) as port,
                loops.Caller(port) as caller,
            ):
                await caller.send(_GET)
                await caller.read_until(b'}')
                now[0] += 30
                await caller.send(_GET[:-2])
                budget = server.client_guard.budget
                await loops.until(lambda: budget.held_bytes)
                (connection,) = server.open_connections()
                return connection.waited_s(now[0])

        self.assertEqual(loops.run(scenario), 0)

    def test_request_that_crosses_the_close_is_not_run(self):
        """Guards against a request that runs and whose answer is lost."""

        async def scenario():
            async with (
                loops.serving(self.server) as port,
                loops.Caller(port) as caller,
            ):
                await loops.until(lambda: self.server.connection_count)
                (connection,) = self.server.open_connections()
                # Arrives before the task of the connection runs again.
                caller.sock._socket.send(_GET)
                await connection.close()
                return await caller.read_all()

        self.assertEqual(loops.run(scenario), b'')
        self.assertEqual(self.handler.handled, 0)

    def test_caller_over_the_limit_takes_the_place_of_an_idle_one(self):
        """Guards against idle connections that keep out all later callers."""
        limits = sizing.Limits(connections=3)
        server = webserver.WebServer(
            '127.0.0.1', 0, self.handler, client_guard=guard.Guard(limits)
        )
        self.addCleanup(server._listener._socket.close)

        async def scenario():
            async with (
                loops.serving(server) as port,
                loops.Caller(port) as oldest,
                loops.Caller(port) as second,
                loops.Caller(port) as third,
            ):
                await loops.until(lambda: server.connection_count == 3)
                await second.send(_GET)
                await second.read_until(b'}')
                async with loops.Caller(port) as latest:
                    await latest.send(_GET)
                    answers = [await latest.read_until(b'}')]
                    self.assertEqual(await oldest.read_all(), b'')
                    self.assertEqual(server.connection_count, 3)
                await second.send(_GET)
                answers.append(await second.read_until(b'}'))
                await third.send(_GET)
                answers.append(await third.read_until(b'}'))
            return answers

        for answer in loops.run(scenario):
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)

    def test_evicted_body_is_refused_as_not_run(self):
        """Guards against an evicted caller without a promise, or run."""
        limits = sizing.Limits(held_bytes=100_000)
        server = webserver.WebServer(
            '127.0.0.1', 0, self.handler, client_guard=guard.Guard(limits)
        )
        self.addCleanup(server._listener._socket.close)
        head = (
            b'POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 80000\r\n\r\n'
        )

        async def scenario():
            async with (
                loops.serving(server) as port,
                loops.Caller(port) as stalled,
                loops.Caller(port) as other,
            ):
                await stalled.send(head + b'x' * 60_000)
                await loops.until(lambda: server.client_guard.budget.held_bytes)
                await other.send(head + b'x' * 80_000)
                return await stalled.read_all(), await other.read_until(b'}')

        refusal, answer = loops.run(scenario)
        self.assertTrue(refusal.startswith(b'HTTP/1.1 503'), refusal)
        self.assertIn(b'retry-after: 1\r\n', refusal)
        self.assertIn(b'"code": "memory_short"', refusal)
        self.assertIn(b'"outcome": "not_run"', refusal)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertEqual(self.handler.handled, 1)

    def test_head_in_thousands_of_pieces_is_refused(self):
        """Guards against a head whose pieces cost far more than they carry."""
        limits = sizing.Limits(head_pieces=5)
        with mock.patch.object(self.server, '_guard', guard.Guard(limits)):
            answer = self.answer_to(*[b'x'] * 9, pause_s=0.01)
        self.assert_refused(answer, 503, 'request_fragmented')

    def test_connections_over_the_limit(self):
        """Guards against unbounded connections."""
        server = webserver.WebServer('127.0.0.1', 0, self.handler, 3)
        self.addCleanup(server._listener._socket.close)

        async def scenario():
            async with loops.serving(server) as port:
                callers = [loops.Caller(port) for _ in range(3)]
                for caller in callers:
                    await caller.__aenter__()
                await loops.until(lambda: server.connection_count == 3)
                async with loops.Caller(port) as refused:
                    self.assertEqual(await refused.read_all(), b'')
                await callers[0].send(_GET)
                answer = await callers[0].read_until(b'}')
                for caller in callers:
                    await caller.sock.close()
            return answer

        self.assertIn(b'200', loops.run(scenario))

    def test_thousands_of_connections(self):
        """Guards against the limit of select() and leaked descriptors."""

        async def scenario():
            async with loops.serving(self.server) as port:
                callers = [loops.Caller(port) for _ in range(3000)]
                for caller in callers:
                    await caller.__aenter__()
                for caller in callers:
                    await caller.send(_GET)
                for caller in callers:
                    self.assertIn(b'200', await caller.read_until(b'}'))
                    await caller.sock.close()
                await loops.until(lambda: not self.server.connection_count)

        loops.run(scenario)
        self.assertEqual(self.handler.handled, 3000)

    def test_accept_failure(self):
        """Guards against a server that stops when descriptors run out."""

        async def scenario():
            accept = self.server._listener.accept
            calls = []

            async def failing_accept():
                calls.append(None)
                if len(calls) == 1:
                    raise OSError(24, 'Too many open files')
                return await accept()

            listener = self.server._listener
            with mock.patch.object(listener, 'accept', failing_accept):
                async with loops.serving(self.server) as port:
                    reply = await webclient.fetch('127.0.0.1', port, 'GET', '/')
            return reply.status

        self.assertEqual(loops.run(scenario), 200)


class GracefulStopTest(unittest.TestCase):
    """Stopping aborts no request."""

    def setUp(self):
        self.handler = _Handler()
        self.server = webserver.WebServer('127.0.0.1', 0, self.handler)
        self.addCleanup(self.server._listener._socket.close)

    def test_request_in_flight_is_answered(self):
        """Guards against a stop that aborts a request in progress."""

        async def scenario():
            serving = await curio.spawn(self.server.serve)
            async with loops.Caller(self.server.port) as caller:
                await caller.send(_GET.replace(b'/echo', b'/slow'))
                await loops.until(lambda: self.handler.handled)
                idle = await self.server.drain(2.0)
                answer = await caller.read_all()
            await serving.join()
            return idle, answer

        idle, answer = loops.run(scenario)
        self.assertTrue(idle)
        self.assertIn(b'HTTP/1.1 200 ', answer)
        self.assertIn(b'connection: close', answer.lower())

    def test_backlog_and_unread_requests_are_answered(self):
        """Guards against a reset of connections opened before the stop."""

        async def scenario():
            serving = await curio.spawn(self.server.serve)
            async with loops.Caller(self.server.port) as kept:
                await kept.send(_GET)
                await kept.read_until(b'}')
                # Blocking calls, so that the server does not run before the
                # stop.
                kept.sock._socket.send(_GET)
                late = loops.Caller(self.server.port)
                late.sock = curio_io.Socket(
                    socket.create_connection(('127.0.0.1', self.server.port))
                )
                late.sock._socket.send(_GET)
                idle = await self.server.drain(2.0)
                answers = [await kept.read_all(), await late.read_all()]
                await late.sock.close()
            await serving.join()
            return idle, answers

        idle, answers = loops.run(scenario)
        self.assertTrue(idle)
        for answer in answers:
            self.assertIn(b'HTTP/1.1 200 ', answer)

    def test_steady_callers_lose_no_request(self):
        """Guards against a stop that never ends, or loses requests.

        Callers keep their connections and send without a pause; each must
        get an answer to every request that it sent before the response
        that announced the end of the connection.
        """

        async def call_until_closed(port):
            async with loops.Caller(port) as caller:
                while True:
                    await caller.send(_GET)
                    answer = await caller.read_until(b'}')
                    if b'200' not in answer:
                        return 'lost'
                    if b'connection: close' in answer.lower():
                        return 'closed'

        async def scenario():
            serving = await curio.spawn(self.server.serve)
            async with curio.TaskGroup() as group:
                for _ in range(20):
                    await group.spawn(call_until_closed, self.server.port)
                await loops.until(lambda: self.handler.handled > 200)
                self.server.announce_stop()
                await curio.sleep(0.05)
                idle = await self.server.drain(2.0)
            await serving.join()
            return idle, set(group.results)

        self.assertEqual(loops.run(scenario), (True, {'closed'}))

    def test_stop_after_the_server_task_was_cancelled(self):
        """Guards against a stop that uses the closed listening socket."""

        async def scenario():
            async with loops.serving(self.server) as port:
                async with loops.Caller(port) as caller:
                    await caller.send(_GET)
                    await caller.read_until(b'}')
            return await self.server.drain(1.0)

        self.assertTrue(loops.run(scenario))

    def test_wait_is_bounded(self):
        """Guards against a stop that waits for a hanging request."""

        async def scenario():
            serving = await curio.spawn(self.server.serve)
            async with loops.Caller(self.server.port) as caller:
                await caller.send(_GET.replace(b'/echo', b'/slow'))
                await loops.until(lambda: self.handler.handled)
                idle = await self.server.drain(0.05)
                await loops.until(lambda: not self.server.connection_count)
            await serving.join()
            return idle

        self.assertFalse(loops.run(scenario))


class ErrorResponseTest(unittest.TestCase):
    """The documented format of error responses."""

    def test_format(self):
        """Guards against an error response without code or outcome."""
        response = webhandler.error_response(errors.Overloaded('full'), 'r1')
        self.assertEqual(response.status, 429)
        self.assertEqual(
            response.document,
            {
                'request_id': 'r1',
                'error': {
                    'code': 'overloaded',
                    'message': 'full',
                    'outcome': 'not_run',
                },
            },
        )
