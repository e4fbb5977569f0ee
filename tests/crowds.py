"""A crowd of clients that misbehave, as a process of its own.

Run as `python -m tests.crowds PORT KIND CLIENTS SENDERS`: opens the connections
from as many loopback addresses, sends what the kind says and then stays open
until it is ended. If the kind ends with a plus, connections that the server
closes are opened again.
"""

import heapq
import itertools
import select
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
_POLL_S = 0.05


class Kind(NamedTuple):
    """What a client sends.

    Attributes
    ----------
    first : bytes
    further : bytes
        Sent after it, again and again.
    reads : bool
    pause_s : float
        Between the further blocks.
    """

    first: bytes
    further: bytes = b''
    reads: bool = False
    pause_s: float = 0


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
_EXPECTING = _head(
    b'POST /payment/x',
    b'content-length: %d' % BODY_BYTES,
    b'expect: 100-continue',
)
# A query with two million spans in two bytes each, in a frame of 4 MB.
_EMPTY_FIELDS = b''.join(
    (
        (4_000_005).to_bytes(4, 'big'),
        b'\x12\x80\x92\xf4\x01',
        b'\x4a\x00' * 2_000_000,
    )
)
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
    'late': Kind(_LATE_GET),
    # A request that is answered late, with 6 KB of further ones behind it.
    'behind': Kind(_LATE_GET + _GET * 64),
    'trailers': Kind(b'%s0\r\n%s' % (_CHUNKED, b'a: b\r\n' * 2400)),
    'extensions': Kind(_CHUNKED, b'1;%s\r\nx\r\n' % (b'e' * 4000)),
    'expecting': Kind(_EXPECTING, b'x' * 1000, pause_s=0.2),
    'slow_heads': Kind(_GET[:-2], b'a: b\r\n', pause_s=0.1),
    'slow_bodies': Kind(_POST + _BODY[:60_000], b'x', pause_s=0.1),
    'metrics': Kind(b'GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n' * 40),
    'ready': Kind(b'GET /ready HTTP/1.1\r\nhost: x\r\n\r\n' * 40),
    'frames': Kind(_FRAME),
    'empty_frames': Kind(b'', bytes(40_000)),
    'empty_fields': Kind(_EMPTY_FIELDS),
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
        self._further = kind.further
        self.fd = self.sock.fileno()
        self.kind = kind
        self.sender = sender
        self._unsent = memoryview(kind.first)

    def send(self) -> bool:
        """Send a block or a part; return whether there is more to send now."""
        if not self._unsent:
            self._unsent = memoryview(self._further)
        if not self._unsent:
            return False
        sent = self.sock.send(self._unsent)
        self._unsent = self._unsent[sent:]
        return bool(self._unsent) or not self.kind.pause_s


class _Crowd:
    """The open connections."""

    def __init__(self, port: int, *, reopens: bool) -> None:
        self._port = port
        self._reopens = reopens
        self._poller = select.epoll()
        # Connections stay open while they are referenced.
        self._clients_by_fd: dict[int, _Client] = {}
        self._paused: list[tuple[float, int, _Client]] = []
        self._sequence = itertools.count()

    def open(self, kind: Kind, sender: str) -> None:
        client = _Client(self._port, kind, sender)
        self._clients_by_fd[client.fd] = client
        self._poller.register(client.fd, self._interests(client))

    def advance(self) -> None:
        now = time.monotonic()
        while self._paused and self._paused[0][0] <= now:
            client = heapq.heappop(self._paused)[-1]
            if self._clients_by_fd.get(client.fd) is client:
                self._poller.modify(client.fd, self._interests(client))
        for descriptor, events in self._poller.poll(_POLL_S):
            client = self._clients_by_fd[descriptor]
            try:
                self._advance(client, events, now)
            except OSError:
                self._close(client)

    def _interests(self, client: _Client, *, sends: bool = True) -> int:
        interests = 0
        if sends:
            interests |= select.EPOLLOUT
        if client.kind.reads:
            interests |= select.EPOLLIN
        if self._reopens:
            interests |= select.EPOLLRDHUP
        return interests

    def _advance(self, client: _Client, events: int, now: float) -> None:
        if events & (select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR):
            self._close(client)
            return
        if events & select.EPOLLIN and not client.sock.recv(_RECEIVE_BYTES):
            self._close(client)
        elif events & select.EPOLLOUT and not client.send():
            self._poller.modify(client.fd, self._interests(client, sends=False))
            if client.kind.pause_s:
                due_at = now + client.kind.pause_s
                entry = (due_at, next(self._sequence), client)
                heapq.heappush(self._paused, entry)

    def _close(self, client: _Client) -> None:
        del self._clients_by_fd[client.fd]
        client.sock.close()
        if self._reopens:
            self.open(client.kind, client.sender)


def run(
    port: int, kinds: list[Kind], count: int, senders: int, *, reopens: bool
) -> None:
    """Run a crowd until its lifetime is over."""
    crowd = _Crowd(port, reopens=reopens)
    numbers = iter(range(count))
    ends_at = time.monotonic() + LIFETIME_S
    while time.monotonic() < ends_at:
        for number in itertools.islice(numbers, _OPENED_IN_A_TURN):
            sender = number % senders
            address = '127.0.0.1'
            if senders > 1:
                address = f'127.1.{sender // 250}.{sender % 250 + 1}'
            kind = kinds[number % len(kinds)]
            crowd.open(kind, address)
        crowd.advance()


def main(arguments: list[str]) -> None:
    """Run the crowd that the command line describes."""
    port, kind, count, senders = arguments
    name = kind.removesuffix('+')
    names = MIXED if name == 'mixed' else [name]
    run(
        int(port),
        [KINDS[each] for each in names],
        int(count),
        int(senders),
        reopens=kind.endswith('+'),
    )


if __name__ == '__main__':
    main(sys.argv[1:])
