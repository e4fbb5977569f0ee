"""HTTP/1.1 server on curio; owns the listening socket and the connections.

Accepts connections up to a limit and closes them at shutdown.
`serverconnection` reads the requests and writes the responses.
"""

import errno
import select
import socket

import curio
from curio import io as curio_io

from cardamomflow import links, serverconnection, webhandler
from cardamomflow.heldbytes import budget, guard, sizing

MAX_CONNECTIONS = 8192
# Connections beyond the limit for checks of the readiness and for metrics.
OPERATORS_CONNECTIONS = 32
_BACKLOG = 4096
_ACCEPT_RETRY_S = 0.05
_DRAIN_POLL_S = 0.01
# Accepting a connection takes 100 us.
ACCEPTS_IN_A_TURN = 32
_WATCH_INTERVAL_S = 0.05
# Buffers of the operating system for each connection, which doubles them. They
# carry 100 Mbit/s over a path of 10 ms; without a bound, the system takes up to
# several MB for a caller that does not read.
_SOCKET_BUFFER_BYTES = 65_536


class WebServer(serverconnection.Server):
    """Listens on one endpoint and serves connections until it is stopped.

    Stopping takes two steps. After `announce_stop` the server still accepts
    connections, but every response closes its connection, so that callers
    move to other servers. `drain` then stops listening and waits for the
    requests in progress.
    """

    def __init__(
        self,
        address: str,
        port: int,
        handler: webhandler.RequestHandler,
        max_connections: int = MAX_CONNECTIONS,
        client_guard: guard.Guard | None = None,
        reserved_connections: int = 0,
    ) -> None:
        """Bind the listening socket, so that port 0 is resolved.

        Parameters
        ----------
        address : str
        port : int
        handler : webhandler.RequestHandler
        max_connections : int
            Limit of this server; further connections are refused.
        client_guard : guard.Guard, optional
            Limits that the servers of a process share.
        reserved_connections : int
            Connections that this server may have beyond the shared limit.
        """
        self._reserved_connections = reserved_connections
        self._guard = client_guard or guard.Guard(sizing.Limits())
        self._handler = handler
        self._max_connections = max_connections
        self._listener = listen(address, port)
        limit_buffers(self._listener)
        self.port: int = self._listener.getsockname()[1]
        self._stopping = False
        self._close_enabled = False
        self._closed = False
        self._connections: set[serverconnection.Connection] = set()

    async def serve(self) -> None:
        """Accept connections until `drain` closes the listening socket."""
        watcher = await curio.spawn(self._watch_callers, daemon=True)
        try:  # noqa: WPS501  # every failure passes through
            await self._accept()
        finally:
            self._closed = True
            await watcher.cancel()

    async def _accept(self) -> None:
        accepted_count = 0
        async with self._listener:
            while not self._closed:
                try:
                    client, _ = await self._listener.accept()
                except OSError as error:
                    await self._recover(error)
                    continue
                await self._add_connection(client)
                accepted_count += 1
                if not accepted_count % ACCEPTS_IN_A_TURN:
                    # An accept does not wait while others are pending.
                    await curio.sleep(0)

    async def _recover(self, error: OSError) -> None:
        """Make room after a failed accept.

        The peer has disconnected, or no descriptor is free.
        """
        if error.errno in {errno.EMFILE, errno.ENFILE}:
            await self._guard.shrink(budget.Cause.DESCRIPTORS)
        await curio.sleep(_ACCEPT_RETRY_S)

    @property
    def client_guard(self) -> guard.Guard:
        """Limits that the connections of the process share."""
        return self._guard

    @property
    def closes_after_response(self) -> bool:
        """Whether each response closes its connection."""
        return self._stopping or self._close_enabled

    def set_close_after_response(self, enabled: bool) -> None:
        """Set whether each response closes its connection."""
        self._close_enabled = enabled

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def announce_stop(self) -> None:
        """Send `Connection: close` with every further response."""
        self._stopping = True

    @property
    def busy_connection_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.busy for connection in self._connections)

    async def drain(self, timeout_s: float) -> bool:
        """Stop listening, finish the requests and close all connections.

        Connections in the backlog and requests that have arrived on idle
        connections are served as well.

        Returns
        -------
        bool
            False if requests were still in progress after `timeout_s`.
        """
        self._stopping = True
        await self._stop_listening()
        async with curio.ignore_after(timeout_s):
            while self._has_open_requests():
                await curio.sleep(_DRAIN_POLL_S)
        idle = not self._has_open_requests()
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

    def record_refused_connection(self) -> None:
        """Record a connection that can't be served."""

    def discard(self, connection: serverconnection.Connection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def _has_open_requests(self) -> bool:
        return any(
            connection.busy or connection.has_unread_input()
            for connection in self._connections
        )

    async def _add_connection(self, client: curio_io.Socket) -> None:
        if len(self._connections) >= self._max_connections:
            self.record_refused_connection()
            await client.close()
            return
        allowed_s = 0 if self._closed else guard.MAX_ROOM_WAIT_S
        admitted = None
        if await self._guard.make_room(self._reserved_connections, allowed_s):
            admitted = await self._guard.admit(client)
        else:
            await client.close()
        if admitted is None:
            self.record_refused_connection()
            return
        links.set_no_delay(admitted)
        connection = self.create_connection(admitted)
        self._connections.add(connection)
        # Not by its task, which may start after many further connections.
        self._guard.budget.open(connection)
        connection.task = await curio.spawn(connection.run, daemon=True)

    async def _watch_callers(self) -> None:
        """Cancel the requests whose callers have disconnected.

        One poll covers all connections, because a task for each request would
        cost more than the request itself. Input that arrives during a request
        stays in the socket buffer, which is bounded.
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
                await handling[descriptor].cancel_request()

    async def _stop_listening(self) -> None:
        """Accept the backlog, then stop listening.

        A close of the listening socket would reset connections in the backlog.
        """
        if self._closed:
            return
        self._closed = True
        try:
            await self._accept_backlog()
        except (OSError, curio.ReadResourceBusy):
            # No free descriptors, or a connection ended before its turn and
            # `serve` already waits for the next one.
            self.record_refused_connection()
        # Wakes the task that waits in `accept`.
        await self._listener.shutdown(socket.SHUT_RDWR)

    async def _accept_backlog(self) -> None:
        poller = select.poll()
        poller.register(self._listener.fileno(), select.POLLIN)
        while poller.poll(0):
            client, _ = await self._listener.accept()
            await self._add_connection(client)


def limit_buffers(listener: curio_io.Socket) -> None:
    """Limit the system's buffers of the sockets that a listener accepts."""
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)


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
