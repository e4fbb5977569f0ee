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
REPEAT_S = 15.0
LIFE_S = 45.0
_SENDERS = 8


class HostSigns:
    """Leaving hosts, as this agent or a watcher of the zone read them."""

    def __init__(self) -> None:
        """Start without signs."""
        self.signs: list[control_pb2.HostSign] = []
        self.version = 0
        self.told_at = float('-inf')
        self._taken_at = float('-inf')

    def is_due(self, signs: list[control_pb2.HostSign], now: float) -> bool:
        """Tell whether the zone is to be told these signs now."""
        if signs != self.signs:
            return True
        return bool(signs) and now - self.told_at >= REPEAT_S

    def take(self, signs: Iterable[control_pb2.HostSign]) -> None:
        """Replace the signs."""
        self._taken_at = time.monotonic()
        found = list(signs)
        if found != self.signs:
            self.signs = found
            self.version += 1

    def expire(self, now: float) -> None:
        """Forget signs that nobody repeats."""
        if self.signs and now - self._taken_at > LIFE_S:
            self.take([])


class _Telling:
    """Sends the same signs to several members, a few at a time."""

    def __init__(
        self,
        signs: Sequence[control_pb2.HostSign],
        targets: Sequence[membership.Address],
    ) -> None:
        """Take what to tell, and whom."""
        self.failed_count = 0
        self._waiting = list(targets)
        view = control_pb2.LocalView(host_signs=signs)
        self._message = control_pb2.Message(local_view=view)

    async def run(self) -> None:
        """Tell the targets that are still waiting."""
        while self._waiting:
            target = self._waiting.pop()
            try:
                await exchange.tell(*target, self._message)
            except errors.FlowError:
                self.failed_count += 1


async def share(
    signs: Sequence[control_pb2.HostSign],
    targets: Sequence[membership.Address],
) -> int:
    """Tell members the signs; return how many could not be reached."""
    telling = _Telling(signs, targets)
    async with curio.TaskGroup() as group:
        for _ in range(min(_SENDERS, len(targets))):
            await group.spawn(telling.run)
    return telling.failed_count
