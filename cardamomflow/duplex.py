"""Sockets that one task reads while another one writes, on curio.

The event loop keeps the registration of a task that waits for a descriptor.
When the descriptor is closed meanwhile, the next socket with the same number
meets that registration, and the loop fails with the whole process. A
`DuplexSocket` is therefore shut down first, and closed by its last user.

Messages are written by a task of the socket, not by the one that posts them. A
caller that is cancelled can't cut a message, and a peer that does not read
can't block its caller.
"""

import collections
import errno
import socket

import curio
from curio import io as curio_io


class DuplexSocket:
    """A connected socket that takes messages without waiting for the peer.

    Any task may close it.

    Parameters
    ----------
    sock : curio.io.Socket
        Closed by this object.
    """

    def __init__(self, sock: curio_io.Socket) -> None:
        self._sock = sock
        # The `send` of curio waits while the buffer of the socket is full.
        self._send_now = sock._socket.send  # noqa: SLF001
        # Blocks in the order of their sending; they are not copied.
        self._unsent: collections.deque[memoryview] = collections.deque()
        # Whether posted bytes were dropped after a failure to send.
        self._is_cut = False
        # Whether the peer has reset the connection before the end of its
        # stream. The system reports it once, here to a task that sends.
        self._was_reset = False
        # Number of tasks that may wait for the descriptor.
        self._users = 0
        self._is_closing = False

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self._sock.fileno()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether the operating system has not accepted all posted bytes.

        Stays true after a failure to send.
        """
        return self._is_cut or bool(self._unsent)

    @property
    def unsent_bytes(self) -> int:
        """Number of posted bytes that were not accepted yet."""
        return sum(map(len, self._unsent))

    async def post(self, payload: bytes) -> None:
        """Send bytes, in the background if the peer does not read.

        A failure to send ends the stream for `recv`, with an error if the peer
        has reset the connection.
        """
        if self._unsent:
            self._unsent.append(memoryview(payload))
            return
        try:
            sent_bytes = self._send_now(payload)
        except BlockingIOError:
            sent_bytes = 0
        except OSError as error:
            self._record_failure(error)
            await self.shut_down(socket.SHUT_RDWR)
            return
        if sent_bytes < len(payload):
            self._unsent.append(memoryview(payload)[sent_bytes:])
            self._users += 1
            await curio.spawn(self._write, daemon=True)

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
            received = await self._sock.recv(limit)
        finally:
            await self._end_use()
        if not received and self._was_reset:
            raise ConnectionResetError('the peer has reset the connection')
        return received

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

    async def _write(self) -> None:
        """Send the unsent bytes; the caller counted this task as a user."""
        try:
            await self._send_unsent()
        except OSError as error:
            self._record_failure(error)
            # The blocks may be large and shared with other sockets.
            self._is_cut = True
            self._unsent.clear()
            # An answer that came before the failure can still be received.
            await self.shut_down(socket.SHUT_WR)
        finally:
            await self._end_use()

    def _record_failure(self, error: OSError) -> None:
        """Record a failure to send.

        After the end of the peer's stream, a reset is reported as EPIPE.
        """
        self._was_reset = error.errno == errno.ECONNRESET

    async def _send_unsent(self) -> None:
        while self._unsent:
            await self._sock.sendall(self._unsent[0])
            self._unsent.popleft()

    async def _end_use(self) -> None:
        self._users -= 1
        if self._is_closing and not self._users:
            await self._sock.close()
