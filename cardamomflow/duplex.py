"""Sockets that one task reads while another one writes, on curio.

The event loop keeps the registration of a task that waits for a descriptor.
When the descriptor is closed meanwhile, the next socket with the same number
meets that registration, and the loop fails with the whole process. A
`DuplexSocket` is therefore shut down first, and closed by its last user.
"""

import socket

from curio import io as curio_io


class DuplexSocket:
    """A connected socket that any task may close.

    Parameters
    ----------
    sock : curio.io.Socket
        Closed by this object.
    """

    def __init__(self, sock: curio_io.Socket) -> None:
        self._sock = sock
        # Number of tasks that may wait for the descriptor.
        self._users = 0
        self._is_closing = False

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self._sock.fileno()

    async def sendall(self, payload: bytes) -> None:
        """Send bytes; only one task may wait.

        Raises
        ------
        OSError
            The connection failed or was shut down.
        """
        self._users += 1
        try:
            await self._sock.sendall(payload)
        finally:
            await self._end_use()

    async def recv(self, limit: int) -> bytes:
        """Receive up to `limit` bytes; only one task may wait.

        Returns
        -------
        bytes
            Empty at the end of the stream.

        Raises
        ------
        OSError
            The connection failed.
        """
        self._users += 1
        try:
            return await self._sock.recv(limit)
        finally:
            await self._end_use()

    async def shut_down(self, direction: int) -> None:
        """Shut down one or both directions, see `socket.shutdown`.

        Wakes the tasks that wait for them.
        """
        try:
            await self._sock.shutdown(direction)
        except OSError:
            return  # The peer has reset the connection.

    async def close(self) -> None:
        """End the tasks that wait for the socket, and close it after them."""
        self._is_closing = True
        if self._users:
            await self.shut_down(socket.SHUT_RDWR)
        else:
            await self._sock.close()

    async def _end_use(self) -> None:
        self._users -= 1
        if self._is_closing and not self._users:
            await self._sock.close()
