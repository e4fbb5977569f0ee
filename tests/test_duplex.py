"""Sockets that one task reads while another one writes."""

import socket
import unittest

import curio
from curio import io as curio_io

from cardamomflow import duplex
from tests import loops

# More than the buffers of a socket pair take up.
LARGE = b'x' * 10_000_000
LAST = b'end'


def connected_pair():
    """Return a duplex socket and its peer, which does not read."""
    own, peer = socket.socketpair()
    return duplex.DuplexSocket(curio_io.Socket(own)), peer


async def wait_in(call):
    """Start a call that waits, and return its task."""

    async def end_quietly():
        try:
            await call
        except OSError:
            return

    task = await curio.spawn(end_quietly)
    await curio.sleep(0.01)
    return task


async def use_both_ways(sock, peer):
    """Wait for both directions of a socket; return what it received."""
    with peer:
        peer.send(b'answer')
        async with curio_io.Socket(sock) as reader:
            writer = await wait_in(reader.sendall(LARGE))
            received = await reader.recv(100)
            await writer.cancel()
    return received


def tcp_pair():
    """Return both ends of a TCP connection, with small buffers."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        own = socket.create_connection(listener.getsockname())
        peer, _ = listener.accept()
    return duplex.DuplexSocket(curio_io.Socket(own)), peer


class ResetTest(unittest.TestCase):
    """Peers that answer before they have read the whole request."""

    def receive_until_the_end(self, end_peer):
        """Return what is received when the peer ends beside a long send."""

        async def scenario():
            sock, peer = tcp_pair()
            await sock.post(LARGE)
            peer.send(b'answer')
            end_peer(peer)
            # The task that sends learns of the end first.
            await loops.until(lambda: sock._is_cut)
            received = b''
            try:
                while block := await sock.recv(100):
                    received += block
            finally:
                await sock.close()
            return received

        return loops.run(scenario)

    def test_reset_is_no_end_of_the_stream(self):
        """Guards against a cut answer that is passed on as a whole."""
        with self.assertRaises(ConnectionResetError):
            self.receive_until_the_end(lambda peer: peer.close())

    def test_answer_that_ended_before_the_reset_is_whole(self):
        """Guards against a whole answer that counts as cut."""

        def end_peer(peer):
            peer.shutdown(socket.SHUT_WR)
            peer.close()

        self.assertEqual(self.receive_until_the_end(end_peer), b'answer')


class CloseTest(unittest.TestCase):
    def check_close_while(self, start_waiting):
        """Check that a closed descriptor is free for the next sockets."""

        async def scenario():
            sock, peer = connected_pair()
            tasks = await start_waiting(sock)
            number = sock.fileno()
            await sock.close()
            for task in tasks:
                await task.join()
            # Lets the writer end, which holds the descriptor until then.
            await loops.until(lambda: sock.fileno() < 0)
            with peer:
                successor, successor_peer = socket.socketpair()
                self.assertEqual(successor.fileno(), number)
                return await use_both_ways(successor, successor_peer)

        self.assertEqual(loops.run(scenario), b'answer')

    def test_close_while_bytes_are_unsent(self):
        """Guards against a loop that fails at the next socket."""

        async def start_waiting(sock):
            await sock.post(LARGE)
            await curio.sleep(0.01)
            return []

        self.check_close_while(start_waiting)

    def test_close_while_a_task_receives(self):
        """Guards against a loop that fails at the next socket."""

        async def start_waiting(sock):
            return [await wait_in(sock.recv(100))]

        self.check_close_while(start_waiting)

    def test_close_while_two_tasks_wait(self):
        """Guards against a close by the first of two tasks that end."""

        async def start_waiting(sock):
            await sock.post(LARGE)
            return [await wait_in(sock.recv(100))]

        self.check_close_while(start_waiting)


class PostTest(unittest.TestCase):
    def test_cancelled_caller_cuts_no_message(self):
        """Guards against a message whose rest is never sent."""

        async def post_twice(sock):
            for block in (LARGE, LAST):
                await sock.post(block)
            await curio.sleep(60)

        async def scenario():
            sock, peer = connected_pair()
            caller = await curio.spawn(post_twice, sock)
            await curio.sleep(0.01)
            await caller.cancel()
            received = bytearray()
            async with curio_io.Socket(peer) as reader:
                while not received.endswith(LAST):
                    received += await reader.recv(1_000_000)
                await sock.close()
                rest = await reader.recv(100)
            return bytes(received), rest

        received, rest = loops.run(scenario)
        self.assertEqual(received.removesuffix(LAST), LARGE)
        self.assertEqual(rest, b'')

    def test_answer_before_a_failed_send_is_received(self):
        """Guards against an early rejection that is lost with its peer."""

        async def scenario():
            sock, peer = connected_pair()
            await sock.post(LARGE)
            peer.send(b'rejected')
            peer.close()
            received = await sock.recv(100)
            await loops.until(lambda: sock.has_unsent_bytes)
            await sock.close()
            return received

        self.assertEqual(loops.run(scenario), b'rejected')
