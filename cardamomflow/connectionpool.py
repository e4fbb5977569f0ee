"""Idle connections to one HTTP endpoint, on curio.

Owns the idle connections and opens a new one when there is none. It neither
counts nor limits the connections in use, and sends nothing.
"""

import math
import time

from cardamomflow import webclient


class ConnectionPool:
    """Idle connections; the one released last is used first."""

    def __init__(
        self,
        address: str,
        port: int,
        maximum_idle: float = math.inf,
        idle_limit_s: float = math.inf,
    ) -> None:
        """Create an empty pool.

        Parameters
        ----------
        address : str
        port : int
        maximum_idle : float
            Maximum number of idle connections; further ones are closed.
        idle_limit_s : float
            Connections that were idle for this long are closed, not reused.
        """
        self._address = address
        self._port = port
        self._maximum_idle = maximum_idle
        self._idle_limit_s = idle_limit_s
        self._idle: list[tuple[float, webclient.WebConnection]] = []

    async def acquire(self) -> webclient.WebConnection:
        """Return an idle connection, or a new one.

        Raises
        ------
        errors.ConnectFailed
            No connection was opened within the timeout of the web client.
        """
        while self._idle:
            idle_since, connection = self._idle.pop()
            fresh = time.monotonic() - idle_since < self._idle_limit_s
            if fresh and connection.reusable:
                return connection
            await connection.close()
        return await webclient.connect(self._address, self._port)

    async def release(self, connection: webclient.WebConnection) -> None:
        """Return a connection to the pool, or close it if not reusable.

        It is also closed when the pool is full.
        """
        if connection.reusable and len(self._idle) < self._maximum_idle:
            self._idle.append((time.monotonic(), connection))
            return
        await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            _, connection = self._idle.pop()
            await connection.close()
