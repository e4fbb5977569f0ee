"""Converts signals to bytes on a socket that the event loop can wait for.

curio 1.6 has no signal interface. A signal handler may only write to a socket:
taking a lock in it could block the loop that it interrupts.
"""

import contextlib
import functools
import signal
import socket
from collections.abc import AsyncIterator

from curio import io as curio_io


@contextlib.asynccontextmanager
async def signal_socket(
    *numbers: signal.Signals,
) -> AsyncIterator[curio_io.Socket]:
    """Handle signals within the block; yields a socket with a byte for each."""
    reader, writer = socket.socketpair()
    with writer:
        writer.setblocking(False)
        for number in numbers:
            signal.signal(number, functools.partial(_send_byte, writer))
        async with curio_io.Socket(reader) as receiver:
            yield receiver


def _send_byte(writer: socket.socket, number: int, frame: object) -> None:
    try:
        writer.send(b'.')
    except BlockingIOError:
        # The buffer is full of unread bytes; reading them covers this signal.
        return
