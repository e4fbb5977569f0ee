"""Sockets that one task reads while another one writes."""

import socket
import unittest

import curio
from curio import io as curio_io

from cardamomflow import duplex
from tests import loops

# More than the buffers of a socket pair take up.
LARGE = b'x' * 10_000_000


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
            with peer:
                successor, successor_peer = socket.socketpair()
                self.assertEqual(successor.fileno(), number)
                return await use_both_ways(successor, successor_peer)

        self.assertEqual(loops.run(scenario), b'answer')

    def test_close_while_a_task_sends(self):
        """Guards against a loop that fails at the next socket."""

        async def start_waiting(sock):
            return [await wait_in(sock.sendall(LARGE))]

        self.check_close_while(start_waiting)

    def test_close_while_a_task_receives(self):
        """Guards against a loop that fails at the next socket."""

        async def start_waiting(sock):
            return [await wait_in(sock.recv(100))]

        self.check_close_while(start_waiting)

    def test_close_while_two_tasks_wait(self):
        """Guards against a close by the first of two tasks that end."""

        async def start_waiting(sock):
            return [
                await wait_in(sock.sendall(LARGE)),
                await wait_in(sock.recv(100)),
            ]

        self.check_close_while(start_waiting)
