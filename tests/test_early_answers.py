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
RECEIVE_BUFFER_BYTES = 4_096
ANSWER_DELAY_S = 0.1
# A caller that leaves; its request is sent and rejected by then.
IMPATIENCE_S = 0.5
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
    b'content-length: 4\r\n'
    b'x-response-seal: a0.1\r\n'
    b'x-request-id: %s\r\n\r\ndone'
)


class EarlyBackend(rawbackend.RawBackend):
    """Answers long requests before their body is in.

    Attributes
    ----------
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
        if size == LONG_BYTES:
            self._answer_early(client, headers, received)
            return False
        while len(received) < size:
            received += client.recv(SEGMENT_BYTES)
        client.sendall(DONE % headers[b'x-request-id'])
        return True

    def _answer_early(self, client, headers, received):
        # By then, the buffers are full and the sender waits.
        time.sleep(ANSWER_DELAY_S)
        if self.early_answer:
            client.sendall(self.early_answer % headers[b'x-request-id'])
        self.rejected.set()
        self.reads_on.wait(rawbackend.LONGEST_ANSWER_S)
        with contextlib.suppress(OSError):
            while block := client.recv(65_536):
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
