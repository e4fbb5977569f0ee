"""HTTP/1.1 server on curio; owns the listening socket and the connections.

Decides which connections are accepted and when they end. What is read and
written on one is left to `serverconnection`.
"""

import select
import socket

import curio
from curio import io as curio_io

from cardamomflow import links, serverconnection, webhandler

MAX_CONNECTIONS = 8192
_BACKLOG = 1024
_ACCEPT_RETRY_S = 0.05
_IDLE_POLL_S = 0.01
_WATCH_INTERVAL_S = 0.05


class WebServer(serverconnection.Owner):
    """Listens on one endpoint and serves connections until it is stopped.

    Stopping takes two steps. After `announce_stop` connections are still
    accepted, but every response ends its connection, so that callers move
    away. `wait_idle` then ends the listening and waits for the rest.
    """

    def __init__(
        self,
        address: str,
        port: int,
        handler: webhandler.RequestHandler,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Bind the listening socket at once, so that port 0 is resolved."""
        self._handler = handler
        self._max_connections = max_connections
        self._listener = listen(address, port)
        self.port: int = self._listener.getsockname()[1]
        self._stopping = False
        self._turns_away = False
        self._closed = False
        self._connections: set[serverconnection.Connection] = set()

    async def serve(self) -> None:
        """Accept connections until `wait_idle` ends the listening."""
        watcher = await curio.spawn(self._watch_callers, daemon=True)
        try:  # noqa: WPS501  # every failure passes through
            await self._accept()
        finally:
            self._closed = True
            await watcher.cancel()

    async def _accept(self) -> None:
        async with self._listener:
            while not self._closed:
                try:
                    client, _ = await self._listener.accept()
                except OSError:
                    # No free descriptors, or the peer is already gone.
                    await curio.sleep(_ACCEPT_RETRY_S)
                    continue
                await self._admit(client)

    @property
    def stopping(self) -> bool:
        """Whether responses announce the end of their connection."""
        return self._stopping or self._turns_away

    def turn_away(self, turns_away: bool) -> None:
        """Let responses end their connections, or no longer."""
        self._turns_away = turns_away

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def announce_stop(self) -> None:
        """Let every further response carry `Connection: close`."""
        self._stopping = True

    @property
    def busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.busy for connection in self._connections)

    async def wait_idle(self, timeout_s: float) -> bool:
        """End the listening, finish the requests, close all connections.

        Connections that wait in the backlog and requests that arrived on
        idle connections are served as well.

        Returns
        -------
        bool
            False when requests were still in progress after `timeout_s`.
        """
        self._stopping = True
        await self._end_listening()
        async with curio.ignore_after(timeout_s):
            while self._in_progress():
                await curio.sleep(_IDLE_POLL_S)
        idle = not self._in_progress()
        for connection in list(self._connections):
            await connection.close()
        return idle

    def create_connection(
        self, sock: curio_io.Socket
    ) -> serverconnection.Connection:
        """Return the object that serves an accepted socket."""
        return serverconnection.Connection(sock, self._handler, self)

    def open_connections(self) -> list[serverconnection.Connection]:
        """Return the open connections."""
        return list(self._connections)

    def refused(self) -> None:
        """Note a connection over the limit, which is closed at once."""

    def discard(self, connection: serverconnection.Connection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    def _in_progress(self) -> bool:
        return any(
            connection.busy or connection.has_unread_input()
            for connection in self._connections
        )

    async def _admit(self, client: curio_io.Socket) -> None:
        if len(self._connections) >= self._max_connections:
            self.refused()
            await client.close()
            return
        links.set_no_delay(client)
        connection = self.create_connection(client)
        self._connections.add(connection)
        connection.task = await curio.spawn(connection.run, daemon=True)

    async def _watch_callers(self) -> None:
        """Cancel the requests whose callers went away.

        One poll for all connections: a task for each request would cost
        more than the request itself. Input that comes during a request
        stays in the socket, where it is bounded.
        """
        while True:
            await curio.sleep(_WATCH_INTERVAL_S)
            handling = {
                connection.fileno(): connection
                for connection in self._connections
                if connection.handling
            }
            poller = select.poll()
            for descriptor in handling:
                poller.register(descriptor, select.POLLRDHUP)
            for descriptor, _ in poller.poll(0):
                await handling[descriptor].abandon()

    async def _end_listening(self) -> None:
        """Take what is in the backlog, which a close would reset."""
        if self._closed:
            return
        self._closed = True
        poller = select.poll()
        poller.register(self._listener.fileno(), select.POLLIN)
        while poller.poll(0):
            client, _ = await self._listener.accept()
            await self._admit(client)
        # Wakes the task that waits in `serve`.
        await self._listener.shutdown(socket.SHUT_RDWR)


def listen(address: str, port: int) -> curio_io.Socket:
    """Return a bound and listening socket."""
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.bind((address, port))
        raw.listen(_BACKLOG)
    except OSError:
        raw.close()
        raise
    return curio_io.Socket(raw)
