"""Order of probes and of piggybacked updates; sans-I/O."""

import heapq
import math
import random
from collections.abc import Callable, Container


class UpdateQueue:
    """Queue of members whose records are still to be disseminated.

    Each record is sent a limited number of times, the least sent first. An
    update thus reaches all members with high probability, and then uses no
    more bandwidth.
    """

    def __init__(self, transmission_factor: int) -> None:
        """Send a record at most `transmission_factor` x log2(members) times."""
        self._transmission_factor = transmission_factor
        self._send_counts_by_id: dict[str, int] = {}

    def add(self, member_id: str) -> None:
        """Enqueue the record of a member, or restart its transmissions."""
        self._send_counts_by_id[member_id] = 0

    def discard(self, member_id: str) -> None:
        """Remove a record from the queue."""
        self._send_counts_by_id.pop(member_id, None)

    def next_ids(self, count: int) -> list[str]:
        """Return the ids of the records to send next, least sent first."""
        if len(self._send_counts_by_id) <= count:
            return list(self._send_counts_by_id)
        return heapq.nsmallest(
            count,
            self._send_counts_by_id,
            key=self._send_counts_by_id.__getitem__,
        )

    def record_sent(self, member_id: str, member_count: int) -> None:
        """Count a transmission; remove the record after the last one."""
        count = self._send_counts_by_id.get(member_id)
        if count is None:
            return
        limit = math.ceil(
            self._transmission_factor * math.log2(member_count + 1)
        )
        if count + 1 >= limit:
            del self._send_counts_by_id[member_id]
        else:
            self._send_counts_by_id[member_id] = count + 1

    def __len__(self) -> int:
        """Return the number of queued records."""
        return len(self._send_counts_by_id)


class ProbeOrder:
    """Shuffled round-robin order over a changing set of members.

    Every member is probed once before any member is probed again, which
    limits the time between two probes of the same member.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._ids: list[str] = []

    def insert(self, member_id: str) -> None:
        """Add a member at a random position in the current round."""
        position = self._random.randint(0, len(self._ids))
        self._ids.insert(position, member_id)

    def next_id(
        self,
        eligible_ids: Container[str],
        refill: Callable[[], list[str]],
    ) -> str | None:
        """Return the next member to probe, or None.

        Parameters
        ----------
        eligible_ids : container of str
            Members that may be probed now; others are skipped.
        refill : callable
            Returns all members for the next round.
        """
        while self._ids:
            member_id = self._ids.pop()
            if member_id in eligible_ids:
                return member_id
        self._ids = refill()
        self._random.shuffle(self._ids)
        return self._ids.pop() if self._ids else None
