"""Relay between the processes of a fleet, which can cut places apart.

Runs in a thread of the test's process. Every process is known to the others
under a port of the relay. While two places are cut from each other, their
connections go silent and their datagrams vanish; nothing is refused.
"""

import os
import select
import selectors
import socket
import struct
import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cardamomflow import links

ADDRESS = '127.0.0.1'
# Place of the callers and operators: every process outside the fleet.
OUTSIDE = 'outside'
_BACKLOG = 128
_CONNECT_TIMEOUT_S = 1.0
# A sender blocks when this much waits, as on a full socket buffer.
_MAX_UNSENT_BYTES = 262_144
_RECEIVE_BYTES = 65_536
_STEP_S = 0.02
_PORT_ATTEMPTS = 20
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_ALL_STATES = 0xFFFFFFFF
_NO_COOKIE = b'\xff' * 8
# `nlmsghdr` and `inet_diag_req_v2`; the ports are in network order.
_DIAG_REQUEST = struct.Struct('=IHHIIBBHI2s2s4s12x4s12xI8s')
_NETLINK_HEAD = struct.Struct('=IH')
_INODE = struct.Struct('=I')
_INODE_OFFSET = 84


class Route(NamedTuple):
    """A port of the relay and the process behind it."""

    place: str
    port: int
    listener: socket.socket
    datagrams: socket.socket | None

    @property
    def relay_port(self) -> int:
        """Port under which others reach the process."""
        return self.listener.getsockname()[1]


class Network:
    """Relays TCP and UDP between places.

    `places_by_pid` returns the places of the processes of the fleet.
    """

    def __init__(self, places_by_pid: Callable[[], dict[int, str]]) -> None:
        """Start without routes; `start` starts the thread."""
        self.dropped_datagrams = 0
        self._places_by_pid = places_by_pid
        self._routes_by_port: dict[int, Route] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._connections: set[_Connection] = set()
        self._table = _SocketTable()
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._changed = False
        self._stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def add(self, place: str, port: int, *, datagrams: bool = False) -> None:
        """Add a route to a process; the routes are fixed after `start`."""
        listener, udp = _bind(datagrams)
        route = Route(place, port, listener, udp)
        self._routes_by_port[port] = route
        self._selector.register(listener, selectors.EVENT_READ, route)
        if udp is not None:
            self._selector.register(udp, selectors.EVENT_READ, route)

    def relay_port(self, port: int) -> int:
        """Return the port under which others reach a process."""
        return self._routes_by_port[port].relay_port

    def start(self) -> None:
        """Start to relay."""
        self._thread.start()

    def close(self) -> None:
        """Stop to relay and close everything."""
        self._stopping = True
        if self._thread.ident is not None:
            self._thread.join()
        for connection in self._connections:
            connection.close()
        for route in self._routes_by_port.values():
            route.listener.close()
            if route.datagrams is not None:
                route.datagrams.close()
        self._selector.close()
        self._table.close()

    def cut(
        self, place: str, others: Iterable[str], *, one_way: bool = False
    ) -> None:
        """Cut a place from others, or only what it sends to them."""
        with self._lock:
            for other in others:
                self._cuts.add((place, other))
                if not one_way:
                    self._cuts.add((other, place))
            self._changed = True

    def heal(self) -> None:
        """End all cuts."""
        with self._lock:
            self._cuts.clear()
            self._changed = True

    def _run(self) -> None:
        while not self._stopping:
            ready = self._selector.select(_STEP_S)
            with self._lock:
                self._step(ready)

    def _step(self, ready: list[tuple[selectors.SelectorKey, int]]) -> None:
        touched = {
            key.data for key, _ in ready if isinstance(key.data, _Connection)
        }
        for key, _ in ready:
            if isinstance(key.data, Route):
                self._receive(key.data, key.fileobj)
        if self._changed:
            self._changed = False
            touched = set(self._connections)
        waiting = {one for one in self._connections if one.server is None}
        for connection in touched | waiting:
            self._serve(connection)

    def _receive(self, route: Route, sock: object) -> None:
        if sock is route.listener:
            self._accept(route)
        elif route.datagrams is not None:
            self._pass_datagram(route, route.datagrams)

    def _accept(self, route: Route) -> None:
        try:
            client, source = route.listener.accept()
        except OSError:
            return
        place = self._place_of(source[1], route.relay_port)
        if place is None:
            client.close()
            return
        client.setblocking(False)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(client, place, route)
        self._connections.add(connection)

    def _place_of(self, port: int, relay_port: int) -> str | None:
        """Return the place of a connecting process, None when it hung up."""
        inode = self._table.inode(port, relay_port)
        for pid, place in self._places_by_pid().items():
            if inode and _holds(pid, inode):
                return place
        # A process of the fleet that closed meanwhile is not an outsider.
        return OUTSIDE if self._table.inode(port, relay_port) else None

    def _pass_datagram(self, route: Route, udp: socket.socket) -> None:
        try:
            payload, source = udp.recvfrom(_RECEIVE_BYTES)
        except OSError:
            return
        sender = self._routes_by_port.get(source[1])
        if sender is None or sender.datagrams is None:
            return
        if (sender.place, route.place) in self._cuts:
            self.dropped_datagrams += 1
            return
        # The receiver sees the address by which the sender is known.
        try:
            sender.datagrams.sendto(payload, (ADDRESS, route.port))
        except OSError:
            self.dropped_datagrams += 1

    def _serve(self, connection: '_Connection') -> None:
        try:
            connection.advance(self._cuts)
        except OSError:
            connection.ended = True
        for sock, events in connection.interests(self._cuts):
            self._watch(sock, events, connection)
        if connection.ended:
            self._connections.discard(connection)
            connection.close()

    def _watch(
        self, sock: socket.socket, events: int, connection: '_Connection'
    ) -> None:
        known = sock in self._selector.get_map()
        if known and not events:
            self._selector.unregister(sock)
        elif known:
            self._selector.modify(sock, events, connection)
        elif events:
            self._selector.register(sock, events, connection)


class _Flow:
    """One direction of a connection."""

    def __init__(
        self,
        way: tuple[str, str],
        source: socket.socket,
        target: socket.socket,
    ) -> None:
        self.way = way
        self.source = source
        self.target = target
        self.unsent = bytearray()
        self.ended = False
        self.finished = False

    @property
    def takes_more(self) -> bool:
        return not self.ended and len(self.unsent) < _MAX_UNSENT_BYTES

    def move(self) -> None:
        """Pass on what can be passed on without waiting."""
        if self.takes_more:
            self._fill()
        if self.unsent:
            try:
                sent = self.target.send(self.unsent)
            except BlockingIOError:
                return
            del self.unsent[:sent]
        if self.ended and not self.unsent and not self.finished:
            self.finished = True
            self.target.shutdown(socket.SHUT_WR)

    def _fill(self) -> None:
        try:
            received = self.source.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        self.unsent += received
        self.ended = not received


class _Connection:
    """A connection between two places, kept while they are cut apart."""

    def __init__(self, client: socket.socket, place: str, route: Route) -> None:
        self.server: socket.socket | None = None
        self.ended = False
        self._client = client
        self._route = route
        self._way = (place, route.place)
        self._way_back = (route.place, place)
        self._flows: list[_Flow] = []

    def advance(self, cuts: set[tuple[str, str]]) -> None:
        if self.server is None:
            self._open(cuts)
        for flow in self._flows:
            if flow.way not in cuts:
                flow.move()
        if self._flows and all(flow.finished for flow in self._flows):
            self.ended = True

    def interests(
        self, cuts: set[tuple[str, str]]
    ) -> list[tuple[socket.socket, int]]:
        """Return the events to wait for on each socket."""
        events_by_socket = {self._client: 0}
        if self.server is not None:
            events_by_socket[self.server] = 0
        for flow in self._flows:
            if flow.way in cuts or self.ended:
                continue
            if flow.takes_more:
                events_by_socket[flow.source] |= selectors.EVENT_READ
            if flow.unsent:
                events_by_socket[flow.target] |= selectors.EVENT_WRITE
        return list(events_by_socket.items())

    def close(self) -> None:
        self._client.close()
        if self.server is not None:
            self.server.close()

    def _open(self, cuts: set[tuple[str, str]]) -> None:
        """Reach the server once both ways are open.

        A client that gave up before would not have been connected by a real
        network, so what it sent is discarded.
        """
        if links.pending_events(self._client, select.POLLRDHUP):
            self.ended = True
            return
        if self._way in cuts or self._way_back in cuts:
            return
        self.server = socket.create_connection(
            (ADDRESS, self._route.port), _CONNECT_TIMEOUT_S
        )
        self.server.setblocking(False)
        self.server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._flows = [
            _Flow(self._way, self._client, self.server),
            _Flow(self._way_back, self.server, self._client),
        ]


def _bind(datagrams: bool) -> tuple[socket.socket, socket.socket | None]:
    """Return a listening socket, and a UDP socket on the same port."""
    for _ in range(_PORT_ATTEMPTS):
        listener = socket.create_server((ADDRESS, 0), backlog=_BACKLOG)
        listener.setblocking(False)
        if not datagrams:
            return listener, None
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.setblocking(False)
        try:
            udp.bind(listener.getsockname())
        except OSError:
            listener.close()
            udp.close()
        else:
            return listener, udp
    raise OSError('no port is free for both TCP and UDP')


class _SocketTable:
    """Finds the inode of a TCP socket by its ports.

    Asks the kernel for one socket (`sock_diag(7)`). Reading `/proc/net/tcp`
    took 11 ms with 3,000 closed connections, which slowed the relay until
    calls timed out.
    """

    def __init__(self) -> None:
        self._netlink = socket.socket(
            socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
        )

    def inode(self, port: int, peer_port: int) -> int:
        """Return the inode of an open socket, 0 when there is none."""
        packed = socket.inet_aton(ADDRESS)
        request = _DIAG_REQUEST.pack(
            _DIAG_REQUEST.size,
            _SOCK_DIAG_BY_FAMILY,
            _NLM_F_REQUEST,
            0,
            0,
            socket.AF_INET,
            socket.IPPROTO_TCP,
            0,
            _ALL_STATES,
            port.to_bytes(2, 'big'),
            peer_port.to_bytes(2, 'big'),
            packed,
            packed,
            0,
            _NO_COOKIE,
        )
        self._netlink.send(request)
        answer = self._netlink.recv(_RECEIVE_BYTES)
        _, kind = _NETLINK_HEAD.unpack_from(answer)
        if kind != _SOCK_DIAG_BY_FAMILY:
            return 0
        return int(_INODE.unpack_from(answer, _INODE_OFFSET)[0])

    def close(self) -> None:
        self._netlink.close()


def _holds(pid: int, inode: int) -> bool:
    """Tell whether a process has a socket open."""
    folder = f'/proc/{pid}/fd'
    try:
        names = os.listdir(folder)
    except OSError:
        return False
    return any(
        _link(f'{folder}/{name}') == f'socket:[{inode}]' for name in names
    )


def _link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ''
