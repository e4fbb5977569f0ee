"""Runs coroutines of tests under a time limit."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import curio

from cardamomflow import links, webserver

TIME_LIMIT_S = 20.0


def run(scenario: Callable[[], Awaitable[Any]]) -> Any:
    """Run a scenario in a loop of its own; a hang fails it."""
    return curio.run(curio.timeout_after, TIME_LIMIT_S, scenario)


@contextlib.asynccontextmanager
async def serving(server: webserver.WebServer) -> AsyncIterator[int]:
    """Serve for the length of the block; yields the port."""
    task = await curio.spawn(server.serve)
    try:
        yield server.port
    finally:
        await task.cancel()


async def until(condition: Callable[[], object], limit_s: float = 5.0) -> None:
    """Wait until a condition holds; raises TaskTimeout when it never does."""
    async with curio.timeout_after(limit_s):
        while not condition():
            await curio.sleep(0.005)


class Caller:
    """A raw caller that sends any bytes."""

    def __init__(self, port: int) -> None:
        self._port = port

    async def __aenter__(self) -> 'Caller':
        self.sock = await links.open_socket('127.0.0.1', self._port, 1.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.sock.close()

    async def send(self, block: bytes) -> None:
        """Send bytes."""
        await self.sock.sendall(block)

    async def read_all(self) -> bytes:
        """Read up to the end of the stream."""
        blocks = []
        while block := await self.sock.recv(65_536):
            blocks.append(block)
        return b''.join(blocks)

    async def read_until(self, mark: bytes) -> bytes:
        """Read up to a mark, or the end of the stream."""
        received = b''
        while mark not in received:
            block = await self.sock.recv(65_536)
            if not block:
                break
            received += block
        return received
