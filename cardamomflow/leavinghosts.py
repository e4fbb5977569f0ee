"""Leaving hosts of the platform's host list, shared within a zone.

Two agents of each zone read the list and tell the others of their zone what
changed, so the reads do not grow with the number of hosts.
"""

import time
from collections.abc import Iterable, Sequence

import curio

from cardamomflow import errors, exchange, membership
from cardamomflow.generated import control_pb2

# Signs are told again, because one telling can be lost; a member that hears
# none for three tellings forgets them.
REPEAT_INTERVAL_S = 15.0
EXPIRY_S = 45.0
_MAX_CONCURRENT_SENDS = 8


class LeavingHosts:
    """Leaving hosts, as this agent or a watcher of the zone read them."""

    def __init__(self) -> None:
        """Start without signs."""
        self.entries: list[control_pb2.HostSign] = []
        self.version = 0
        self.sent_at = float('-inf')
        self._updated_at = float('-inf')

    def is_due(self, entries: list[control_pb2.HostSign], now: float) -> bool:
        """Tell whether the zone is to be told these signs now."""
        if entries != self.entries:
            return True
        return bool(entries) and now - self.sent_at >= REPEAT_INTERVAL_S

    def update(self, entries: Iterable[control_pb2.HostSign]) -> None:
        """Replace the signs."""
        self._updated_at = time.monotonic()
        new_entries = list(entries)
        if new_entries != self.entries:
            self.entries = new_entries
            self.version += 1

    def expire(self, now: float) -> None:
        """Forget signs that nobody repeats."""
        if self.entries and now - self._updated_at > EXPIRY_S:
            self.update([])


class _Broadcast:
    """Sends the same signs to several members, a few at a time."""

    def __init__(
        self,
        entries: Sequence[control_pb2.HostSign],
        targets: Sequence[membership.Address],
    ) -> None:
        """Take what to tell, and whom."""
        self.failed_count = 0
        self._remaining = list(targets)
        view = control_pb2.LocalView(host_signs=entries)
        self._message = control_pb2.Message(local_view=view)

    async def run(self) -> None:
        """Tell the targets that are still waiting."""
        while self._remaining:
            target = self._remaining.pop()
            try:
                await exchange.tell(*target, self._message)
            except errors.FlowError:
                self.failed_count += 1


async def broadcast(
    entries: Sequence[control_pb2.HostSign],
    targets: Sequence[membership.Address],
) -> int:
    """Tell members the signs; return how many could not be reached."""
    sender = _Broadcast(entries, targets)
    async with curio.TaskGroup() as group:
        for _ in range(min(_MAX_CONCURRENT_SENDS, len(targets))):
            await group.spawn(sender.run)
    return sender.failed_count
