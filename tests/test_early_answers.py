"""Backend servers that answer before they have read a long body."""

import contextlib
import socket
import threading
import time
import unittest

import curio

from tests import hostworld, loops, rawbackend

# More than the buffers of a connection take up.
LONG_BYTES = 6_000_000
HEAD_END = b'\r\n\r\n'
SEGMENT_BYTES = 1_400
READ_BYTES = 65_536
RECORD = hostworld.record(7)
RECEIVE_BUFFER_BYTES = 4_096
ANSWER_DELAY_S = 0.1
# A caller that leaves; its request is sent and rejected by then.
IMPATIENCE_S = 0.5
# The time-out of the routes.
ROUTE_TIMEOUT_S = 2.0
LATER_REQUESTS = 8
REJECTION = (
    b'HTTP/1.1 503 Full\r\n'
    b'x-not-executed: 1\r\n'
    b'content-length: 0\r\n'
    b'x-request-id: %s\r\n\r\n'
)
CLOSING_REJECTION = REJECTION.replace(
    HEAD_END, b'\r\nconnection: close\r\n\r\n'
)
DONE = (
    b'HTTP/1.1 200 OK\r\n'
    b'content-length: 16\r\n'
    b'x-response-seal: a0.1\r\n'
    b'x-request-id: %s\r\n\r\n%s'
)


class EarlyBackend(rawbackend.RawBackend):
    """Answers long requests early, and reads on when it is told to.

    Attributes
    ----------
    is_early : bool
        Whether long requests are answered before their body is in.
    early_answer : bytes
        Sent to a long request; none if empty.
    rejected : threading.Event
        Set once a long request is answered.
    reads_on : threading.Event
        The rest of the long bodies is read once this is set.
    long_bodies : list of bytes
        What came in place of the bodies of the long requests.
    """

    def __init__(self):
        self.is_early = True
        self.early_answer = REJECTION
        self.rejected = threading.Event()
        self.reads_on = threading.Event()
        self.long_bodies = []
        super().__init__()

    def close(self):
        self.reads_on.set()
        super().close()

    def _listen(self):
        listener = socket.socket()
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        return listener

    def _serve(self, client):
        is_open = True
        while is_open:
            is_open = self._serve_request(client)

    def _serve_request(self, client):
        """Serve one request; return whether the connection stays open."""
        received = b''
        while HEAD_END not in received:
            block = client.recv(SEGMENT_BYTES)
            if not block:
                return False
            received += block
        head, _, received = received.partition(HEAD_END)
        lines = head.split(b'\r\n')[1:]
        headers = dict(line.split(b': ', 1) for line in lines)
        size = int(headers[b'content-length'])
        if self.is_early and size == LONG_BYTES:
            self._answer_early(client, headers, received)
            return False
        missing_bytes = size - len(received)
        while missing_bytes > 0:
            block = client.recv(READ_BYTES)
            if not block:
                return False
            missing_bytes -= len(block)
        client.sendall(DONE % (headers[b'x-request-id'], RECORD))
        return True

    def _answer_early(self, client, headers, received):
        # By then, the buffers are full and the sender waits.
        time.sleep(ANSWER_DELAY_S)
        if self.early_answer:
            client.sendall(self.early_answer % headers[b'x-request-id'])
        self.rejected.set()
        self.reads_on.wait(rawbackend.LONGEST_ANSWER_S)
        with contextlib.suppress(OSError):
            while block := client.recv(READ_BYTES):
                received += block
        self.long_bodies.append(received)


class EarlyBackendWorld(rawbackend.RawBackendWorld):
    """A host with an `EarlyBackend`."""

    backend_class = EarlyBackend
    max_body_bytes = LONG_BYTES


async def pay(world, request_id, body):
    return await world.send_request(
        '/payment/x', 'POST', body, request_id=request_id
    )


class UnsentBodyTest(unittest.TestCase):
    def test_no_request_follows_an_unfinished_body(self):
        """Guards against a request sent where the rest of a body is due."""
        body = b'long;' * (LONG_BYTES // 5)

        async def scenario(world):
            # Leaves a connection, which the next request uses.
            await pay(world, 'p1', b'pay')
            async with curio.ignore_after(IMPATIENCE_S):
                await pay(world, 'p2', body)
            await loops.until(world.backend.rejected.is_set)
            served = await pay(world, 'p3', b'pay')
            world.backend.reads_on.set()
            await loops.until(lambda: world.backend.long_bodies)
            return served.status, world.backend.long_bodies

        served_status, (received,) = hostworld.run_scenario(
            scenario, EarlyBackendWorld
        )
        self.assertEqual(received, body[: len(received)])
        self.assertLess(len(received), LONG_BYTES)
        self.assertEqual(served_status, 200)

    def test_early_answer_is_passed_on_at_once(self):
        """Guards against an answer that is not read while the body is sent."""

        async def scenario(world):
            started_at = time.monotonic()
            answer = await pay(world, 'p1', b'x' * LONG_BYTES)
            return answer.status, time.monotonic() - started_at

        status, duration_s = hostworld.run_scenario(scenario, EarlyBackendWorld)
        self.assertEqual(status, 503)
        self.assertLess(duration_s, ROUTE_TIMEOUT_S / 2)

    def test_unread_body_holds_up_no_other_part(self):
        """Guards against a query whose other parts wait for a blocked send."""

        async def scenario(world):
            world.backend.early_answer = b''
            sound_backend = EarlyBackend()
            sound_backend.is_early = False
            await world.add_raw_backend('b0', 'b', sound_backend)
            # Leaves connections to both, which the next query uses.
            await world.send_request('/lookup/x', 'POST', b'short')
            return await world.send_request(
                '/lookup/x', 'POST', b'x' * LONG_BYTES
            )

        answer = hostworld.run_scenario(
            scenario, EarlyBackendWorld, services=('a', 'b')
        )
        self.assertEqual((answer.status, answer.body), (200, RECORD))
        self.assertEqual(answer.headers['x-missing-parts'], '1')


class ClosedConnectionTest(unittest.TestCase):
    def test_rejection_that_closes_ends_no_other_request(self):
        """Guards against a process that ends when a socket is closed early."""

        async def scenario(world):
            world.backend.early_answer = CLOSING_REJECTION
            # Leaves a connection, which the next request uses.
            await pay(world, 'p1', b'pay')
            async with curio.ignore_after(IMPATIENCE_S):
                await pay(world, 'p2', b'x' * LONG_BYTES)
            await loops.until(world.backend.rejected.is_set)
            # Their sockets get the number of the closed one.
            later = [
                await curio.spawn(pay, world, f'later-{number}', b'pay')
                for number in range(LATER_REQUESTS)
            ]
            return [await task.join() for task in later]

        with self.assertNoLogs('curio.kernel'):
            answers = hostworld.run_scenario(scenario, EarlyBackendWorld)
        self.assertEqual({answer.status for answer in answers}, {200})
