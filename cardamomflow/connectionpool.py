"""Idle connections to one HTTP endpoint, on curio.

Owns the connections between their exchanges and opens one when none is
left. It neither counts nor bounds those in use, and sends nothing.
"""

import math
import time

from cardamomflow import webclient


class ConnectionPool:
    """Connections that wait for their next exchange; newest first."""

    def __init__(
        self,
        address: str,
        port: int,
        maximum_idle: float = math.inf,
        idle_limit_s: float = math.inf,
    ) -> None:
        """Start without connections.

        Parameters
        ----------
        address : str
        port : int
        maximum_idle : float
            Connections that are kept; further ones are closed.
        idle_limit_s : float
            Connections without use for this long are not used again.
        """
        self._address = address
        self._port = port
        self._maximum_idle = maximum_idle
        self._idle_limit_s = idle_limit_s
        self._idle: list[tuple[float, webclient.WebConnection]] = []

    async def take(self) -> webclient.WebConnection:
        """Return an idle connection, or a new one.

        Raises
        ------
        errors.ConnectFailed
            No connection within the timeout of the web client.
        """
        while self._idle:
            idle_since, connection = self._idle.pop()
            fresh = time.monotonic() - idle_since < self._idle_limit_s
            if fresh and connection.reusable:
                return connection
            await connection.close()
        return await webclient.connect(self._address, self._port)

    async def give_back(self, connection: webclient.WebConnection) -> None:
        """Keep a connection if it may be used again, else close it."""
        if connection.reusable and len(self._idle) < self._maximum_idle:
            self._idle.append((time.monotonic(), connection))
            return
        await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            _, connection = self._idle.pop()
            await connection.close()
