"""Datagrams that an agent sends to other agents."""

import socket
import types
import unittest

import curio
from curio import io as curio_io

from cardamomflow import membership, peers, telemetry
from cardamomflow.generated import control_pb2
from tests import loops

ADDRESS = membership.Address('127.0.0.1', 7000)
SENDERS = 2


class StalledSocket:
    """A datagram socket whose buffer is full."""

    def __init__(self):
        own, self._peer = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
        self._own = curio_io.Socket(own)

    async def sendto(self, payload, address):
        del address
        await self._own.send(payload)

    async def fill(self):
        """Send datagrams until one has to wait."""
        async with curio.ignore_after(0.05):
            while True:
                await self._own.send(b'x')

    async def close(self):
        await self._own.close()
        self._peer.close()


class DatagramTest(unittest.TestCase):
    def test_datagrams_of_two_tasks_end_no_agent(self):
        """Guards against an agent that ends when its socket buffer is full."""

        async def scenario():
            context = types.SimpleNamespace(metrics=telemetry.Metrics())
            sender = peers.Peers(None, None, context)
            sender.udp = StalledSocket()
            await sender.udp.fill()
            action = membership.SendDatagram(ADDRESS, control_pb2.Datagram())
            tasks = [
                await curio.spawn(sender.perform, [action])
                for _ in range(SENDERS)
            ]
            await loops.until(lambda: any(task.terminated for task in tasks))
            outcomes = [task.exception for task in tasks if task.terminated]
            for task in tasks:
                await task.cancel()
            await sender.udp.close()
            return outcomes

        self.assertEqual(loops.run(scenario), [None])
