"""Pings that keep links between entries and aggregators alive.

Owns the checks of one process's links. Each end tells the other after how
much silence it pings, since the longer interval of both counts.
"""

from cardamomflow import links
from cardamomflow.generated import wire_pb2

_MS = 1000

WireLink = links.Link[wire_pb2.Envelope]


class KeepaliveHandler(links.LinkHandler[wire_pb2.Envelope]):
    """Pings and answers pings; the links of a handler are checked together."""

    def __init__(self) -> None:
        """Start without links."""
        self.liveness_checker = links.LivenessChecker()

    def make_ping(self) -> wire_pb2.Envelope:
        """Return the sign of life asked of a peer."""
        return wire_pb2.Envelope(
            ping=wire_pb2.Ping(interval_ms=self._interval_ms())
        )

    async def take_ping(self, link: WireLink, ping: wire_pb2.Ping) -> None:
        """Answer a ping."""
        link.set_peer_interval(ping.interval_ms / _MS)
        pong = wire_pb2.Pong(nonce=ping.nonce, interval_ms=self._interval_ms())
        await link.post(wire_pb2.Envelope(pong=pong))

    def take_pong(self, link: WireLink, pong: wire_pb2.Pong) -> None:
        """Take the answer to a ping."""
        link.set_peer_interval(pong.interval_ms / _MS)

    def _interval_ms(self) -> int:
        return int(self.liveness_checker.interval_s * _MS)
