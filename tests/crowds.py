"""A crowd of clients that misbehave, as a process of its own.

Run as `python -m tests.crowds PORT KIND CLIENTS SENDERS`: opens the connections
from as many loopback addresses, sends what the kind says and then stays open
until it is ended. A connection that the server closes is not opened again.
"""

import itertools
import selectors
import socket
import sys
import time
from typing import NamedTuple

BODY_BYTES = 262_144
# Ends a crowd whose test was killed.
LIFETIME_S = 120.0
_OPENED_IN_A_TURN = 64
_SMALL_BUFFER = 4096
_RECEIVE_BYTES = 65_536


class Kind(NamedTuple):
    """What a client sends.

    Attributes
    ----------
    first : bytes
    further : bytes
        Sent after it, again and again.
    reads : bool
    """

    first: bytes
    further: bytes = b''
    reads: bool = False


def _head(target: bytes, *lines: bytes) -> bytes:
    return b'\r\n'.join(
        (
            b'%s HTTP/1.1' % target,
            b'host: shop.example',
            b'x-request-id: crowd',
            b'x-request-deadline: 15000',
            *lines,
            b'',
            b'',
        )
    )


def _chunk(size: int) -> bytes:
    return b'%x\r\n%s\r\n' % (size, b'x' * size)


_GET = _head(b'GET /statement/x')
_LATE_GET = _head(b'GET /late/x')
_CHUNKED = _head(b'POST /payment/x', b'transfer-encoding: chunked')
_POST = _head(b'POST /payment/x', b'content-length: %d' % BODY_BYTES)
_BODY = b'x' * BODY_BYTES
_HEADERS = b''.join(b'x%d: y\r\n' % number for number in range(1200))
_FRAME = (4_194_304).to_bytes(4, 'big') + b'x' * 1_000_000

KINDS = {
    'idle': Kind(b''),
    'bodies': Kind(_POST + _BODY[:-1]),
    'requests': Kind(_POST + _BODY),
    'small_bodies': Kind(_POST + _BODY[:9000]),
    'large_chunks': Kind(_CHUNKED + _chunk(32_768) * 7),
    'chunks_16': Kind(_CHUNKED, _chunk(16) * 1500),
    'chunks_1': Kind(_CHUNKED, _chunk(1) * 1500),
    'few_chunks': Kind(_CHUNKED + _chunk(16) * 560),
    'heads': Kind(b'%sx-filler: %s' % (_GET[:-2], b'f' * 15_000)),
    'many_lines': Kind(_GET[:-2] + b'a: b\r\n' * 2400),
    'many_headers': Kind(b'%s%s\r\n%s' % (_POST[:-2], _HEADERS, _BODY[:9000])),
    'pipelined': Kind(_GET * 40),
    'readers': Kind(_GET),
    'callers': Kind(_GET, _GET, reads=True),
    # A request that is answered late, with 6 KB of further ones behind it.
    'behind': Kind(_LATE_GET + _GET * 64),
    'frames': Kind(_FRAME),
    'part_frames': Kind(_FRAME[:9000]),
}
MIXED = (
    'bodies',
    'requests',
    'large_chunks',
    'chunks_16',
    'chunks_1',
    'heads',
    'pipelined',
    'readers',
)


class _Client:
    """One connection of the crowd."""

    def __init__(self, port: int, kind: Kind, sender: str) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
        self.sock.setblocking(False)
        self.sock.bind((sender, 0))
        self.sock.connect_ex(('127.0.0.1', port))
        self.reads = kind.reads
        self._further = kind.further
        self._unsent = memoryview(kind.first)

    def send(self) -> bool:
        """Send a block or a part of one; return whether there may be more."""
        if not self._unsent:
            self._unsent = memoryview(self._further)
        if not self._unsent:
            return False
        sent = self.sock.send(self._unsent)
        self._unsent = self._unsent[sent:]
        return True


def run(port: int, kinds: list[Kind], count: int, senders: int) -> None:
    """Run a crowd until its lifetime is over."""
    selector = selectors.EpollSelector()
    numbers = iter(range(count))
    # Connections stay open while they are referenced.
    clients = []
    ends_at = time.monotonic() + LIFETIME_S
    while time.monotonic() < ends_at:
        for number in itertools.islice(numbers, _OPENED_IN_A_TURN):
            sender = number % senders
            address = f'127.1.{sender // 250}.{sender % 250 + 1}'
            kind = kinds[number % len(kinds)]
            client = _Client(
                port, kind, address if senders > 1 else '127.0.0.1'
            )
            clients.append(client)
            events = selectors.EVENT_WRITE
            if client.reads:
                events |= selectors.EVENT_READ
            selector.register(client.sock, events, client)
        for key, events in selector.select(0.05):
            _advance(selector, key.data, events)


def _advance(
    selector: selectors.EpollSelector, client: _Client, events: int
) -> None:
    try:
        if events & selectors.EVENT_READ:
            client.sock.recv(_RECEIVE_BYTES)
        if events & selectors.EVENT_WRITE and not client.send():
            selector.unregister(client.sock)
    except OSError:
        selector.unregister(client.sock)
        client.sock.close()


def main(arguments: list[str]) -> None:
    """Run the crowd that the command line describes."""
    port, kind, count, senders = arguments
    names = MIXED if kind == 'mixed' else [kind]
    run(int(port), [KINDS[name] for name in names], int(count), int(senders))


if __name__ == '__main__':
    main(sys.argv[1:])
