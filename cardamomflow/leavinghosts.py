"""Hosts that the platform's host list marks as leaving, sent within a zone.

Two agents of each zone read the list and send its changes to the other agents
of the zone, so the number of reads does not grow with the number of hosts.
"""

import time
from collections.abc import Iterable, Sequence

import curio

from cardamomflow import errors, exchange, membership
from cardamomflow.generated import control_pb2

# Messages are repeated, because one can be lost. Entries expire after three
# intervals without a message.
REPEAT_INTERVAL_S = 15.0
EXPIRY_S = 45.0
_MAX_CONCURRENT_SENDS = 8


class LeavingHosts:
    """Leaving hosts, read by this agent or received from one that reads them.

    Attributes
    ----------
    entries : list of control_pb2.HostSign
    version : int
        Incremented with each change of the entries.
    sent_at : float
        Monotonic time of the last broadcast; the sender has to set it.
    """

    def __init__(self) -> None:
        self.entries: list[control_pb2.HostSign] = []
        self.version = 0
        self.sent_at = float('-inf')
        self._updated_at = float('-inf')

    def is_due(self, entries: list[control_pb2.HostSign], now: float) -> bool:
        """Return whether to send these entries to the zone now."""
        if entries != self.entries:
            return True
        return bool(entries) and now - self.sent_at >= REPEAT_INTERVAL_S

    def update(self, entries: Iterable[control_pb2.HostSign]) -> None:
        """Replace the entries."""
        self._updated_at = time.monotonic()
        new_entries = list(entries)
        if new_entries != self.entries:
            self.entries = new_entries
            self.version += 1

    def expire(self, now: float) -> None:
        """Remove the entries when no message has repeated them in time."""
        if self.entries and now - self._updated_at > EXPIRY_S:
            self.update([])


class _Broadcast:
    """Sends the same entries to several members, a few at a time."""

    def __init__(
        self,
        entries: Sequence[control_pb2.HostSign],
        targets: Sequence[membership.Address],
    ) -> None:
        self.failed_count = 0
        self._remaining = list(targets)
        view = control_pb2.LocalView(host_signs=entries)
        self._message = control_pb2.Message(local_view=view)

    async def run(self) -> None:
        """Send the message to the remaining targets."""
        while self._remaining:
            target = self._remaining.pop()
            try:
                await exchange.send_message(*target, self._message)
            except errors.FlowError:
                self.failed_count += 1


async def broadcast(
    entries: Sequence[control_pb2.HostSign],
    targets: Sequence[membership.Address],
) -> int:
    """Send the entries to members; return how many sends failed."""
    sender = _Broadcast(entries, targets)
    async with curio.TaskGroup() as group:
        for _ in range(min(_MAX_CONCURRENT_SENDS, len(targets))):
            await group.spawn(sender.run)
    return sender.failed_count
