"""Pings that keep links between entries and aggregators alive.

Owns the liveness checker of one process's links. Each end sends its ping
interval to the other, because the longer of both applies to the link.
"""

from cardamomflow import links
from cardamomflow.generated import wire_pb2

_MS_PER_S = 1000

WireLink = links.Link[wire_pb2.Envelope]


class KeepaliveHandler(links.LinkHandler[wire_pb2.Envelope]):
    """Sends and answers pings; one checker serves all links of a handler."""

    def __init__(self) -> None:
        self.liveness_checker = links.LivenessChecker()

    def make_ping(self) -> wire_pb2.Envelope:
        """Return a ping with this process's interval."""
        return wire_pb2.Envelope(
            ping=wire_pb2.Ping(interval_ms=self._interval_ms())
        )

    async def on_ping(self, link: WireLink, ping: wire_pb2.Ping) -> None:
        """Answer a ping, and set the interval of the peer."""
        link.set_peer_interval(ping.interval_ms / _MS_PER_S)
        pong = wire_pb2.Pong(nonce=ping.nonce, interval_ms=self._interval_ms())
        await link.post(wire_pb2.Envelope(pong=pong))

    def on_pong(self, link: WireLink, pong: wire_pb2.Pong) -> None:
        """Set the interval of the peer from its answer to a ping."""
        link.set_peer_interval(pong.interval_ms / _MS_PER_S)

    def _interval_ms(self) -> int:
        return int(self.liveness_checker.interval_s * _MS_PER_S)
