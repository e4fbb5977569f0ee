"""Signals as bytes on a socket, which the loop can wait for.

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
async def received(*numbers: signal.Signals) -> AsyncIterator[curio_io.Socket]:
    """Take signals for the length of the block; yields where they arrive."""
    reader, writer = socket.socketpair()
    with writer:
        writer.setblocking(False)
        for number in numbers:
            signal.signal(number, functools.partial(_wake, writer))
        async with curio_io.Socket(reader) as woken:
            yield woken


def _wake(writer: socket.socket, number: int, frame: object) -> None:
    try:
        writer.send(b'.')
    except BlockingIOError:
        # Earlier signals are not read yet; one reading covers this one too.
        return
