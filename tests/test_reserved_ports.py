"""Reserved ports of the fleets that tests start."""

import socket
import unittest

from standins import reservedports

MANY = 400


class ReservedPortsTest(unittest.TestCase):
    def setUp(self):
        self.reservation = reservedports.ReservedPorts(20)
        self.addCleanup(self.reservation.close)

    def test_server_can_listen_on_a_reserved_port(self):
        """Guards against a reservation that keeps its own user away."""
        for port in self.reservation.ports:
            with socket.create_server((reservedports.ADDRESS, port)) as server:
                address = server.getsockname()
                with socket.create_connection(address, 1):
                    server.accept()[0].close()

    def test_no_other_reservation_gets_the_port(self):
        """Guards against two fleets that listen on the same port."""
        other = reservedports.ReservedPorts(MANY)
        self.addCleanup(other.close)
        self.assertFalse(set(other.ports) & set(self.reservation.ports))

    def test_outgoing_connection_does_not_take_the_port(self):
        """Guards against a server whose port a connection holds."""
        with socket.create_server(
            (reservedports.ADDRESS, 0), backlog=MANY
        ) as server:
            clients = [
                socket.create_connection(server.getsockname(), 1)
                for _ in range(MANY)
            ]
            used = {client.getsockname()[1] for client in clients}
            for client in clients:
                client.close()
        self.assertFalse(used & set(self.reservation.ports))
