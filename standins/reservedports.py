"""Ports of loopback that are reserved for the processes of a fleet.

The settings of a program name the ports of others, so they are chosen before
any process listens. A socket that is bound but does not listen keeps each
port: the system gives it to no other socket that asks for a free port and to
no outgoing connection, while a server that sets `SO_REUSEADDR` can listen.
"""

import contextlib
import errno
import socket

ADDRESS = '127.0.0.1'
_ATTEMPTS = 50


class ReservedPorts:
    """Reserved ports; free for both TCP and UDP when they were chosen."""

    def __init__(self, count: int) -> None:
        """Reserve ports.

        Raises
        ------
        OSError
            The system has no free port left.
        """
        with contextlib.ExitStack() as stack:
            self.ports = [_reserve(stack) for _ in range(count)]
            self._sockets = stack.pop_all()

    def close(self) -> None:
        """Give the ports back."""
        self._sockets.close()


def _reserve(stack: contextlib.ExitStack) -> int:
    for _ in range(_ATTEMPTS):
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((ADDRESS, 0))
        port: int = holder.getsockname()[1]
        if _is_free_for_datagrams(port):
            stack.enter_context(holder)
            return port
        holder.close()
    raise OSError(errno.EADDRINUSE, 'no port is free for both TCP and UDP')


def _is_free_for_datagrams(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True
