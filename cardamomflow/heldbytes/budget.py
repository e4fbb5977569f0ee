"""Bytes that the connections of clients hold; sans-I/O.

Chooses the connections that are closed when the bytes or the connections of a
process reach their limit: those of the sender that holds most, and among them
those that have held bytes for the longest time without progress.
"""

import abc
import enum
import heapq
from collections.abc import Callable
from typing import Any

from cardamomflow.heldbytes import sizing

# Connections that hold at most this much, such as those of ordinary requests,
# have a reserved share of the budget.
SMALL_HOLDER_BYTES = 16_384
RESERVED_SHARE = 8
# Once over a limit, connections are closed until this share is free, so that
# the cost of each choice is spread over many received blocks.
FREED_SHARE = 16
SURPLUS_SHARE = 32
# Added to the time without progress, so that of connections that all progress,
# the one with the most bytes is closed.
_PROGRESS_GRACE_S = 0.05


class Kind(enum.StrEnum):
    """What a connection is doing, and what its bytes belong to."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    # A whole request and the parts of its answer.
    REQUEST = 'request'
    ANSWER = 'answer'
    # Frames between processes, received in part or not yet sent.
    FRAME = 'frame'


class Cause(enum.StrEnum):
    """Why a connection is refused or closed."""

    BYTES = 'bytes'
    CONNECTIONS = 'connections'
    DESCRIPTORS = 'descriptors'
    FRAMING = 'framing'
    SLOW_READER = 'slow_reader'
    # The head or the body did not arrive in time.
    SLOW_REQUEST = 'slow_request'


# Bytes of the parts of an answer that are counted together: a query has many
# small parts.
PART_STEP_BYTES = 4096


class PartCounter(abc.ABC):
    """Counts the parts of the answer to one request.

    Attributes
    ----------
    uncounted_bytes : int
        Bytes to add for each part; call `count_parts` once they have
        `PART_STEP_BYTES`.
    """

    uncounted_bytes = 0

    @abc.abstractmethod
    async def count_parts(self) -> None:
        """Count the uncounted bytes until the request has ended."""


class Holder(abc.ABC):
    """A connection of a client.

    Attributes
    ----------
    sender : str
        Address of the peer.
    kind : Kind
    held_bytes : int
        Set by the budget only.
    uncounted_bytes : int
        Bytes that the next call of `Budget.grow` counts.
    progressed_at : float
        Monotonic time in seconds of the last progress of the client.
    """

    def __init__(self, sender: str, now: float) -> None:
        self.sender = sender
        self.kind = Kind.IDLE
        self.held_bytes = 0
        self.uncounted_bytes = 0
        self.progressed_at = now

    @abc.abstractmethod
    async def evict(self, cause: Cause) -> None:
        """Refuse the request in progress, or close the connection."""

    def waited_s(self, now: float) -> float:
        """Return for how long the process has waited for the client.

        A request that is being answered does not wait for its client.
        """
        if self.kind is Kind.REQUEST:
            return 0
        return max(0, now - self.progressed_at)


class Budget:
    """Connections of a process with the bytes that they hold.

    Parameters
    ----------
    limits : sizing.Limits
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    held_bytes : int
    bytes_by_kind : dict of Kind to int
    """

    def __init__(
        self, limits: sizing.Limits, clock: Callable[[], float]
    ) -> None:
        self.held_bytes = 0
        self.bytes_by_kind = dict.fromkeys(Kind, 0)
        self._limits = limits
        self._clock = clock
        # Bytes of the holders up to `SMALL_HOLDER_BYTES`.
        self._small_bytes = 0
        self._bytes_by_sender: dict[str, int] = {}
        self._holders_by_sender: dict[str, dict[Holder, None]] = {}
        self._holder_count = 0

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return self._holder_count

    def open(self, holder: Holder) -> None:
        """Add a connection."""
        self._holders_by_sender.setdefault(holder.sender, {})[holder] = None
        self._bytes_by_sender.setdefault(holder.sender, 0)
        self._holder_count += 1

    def close(self, holder: Holder) -> None:
        """Remove a connection and what it holds."""
        holders = self._holders_by_sender.get(holder.sender, {})
        if holder not in holders:
            return
        self._resize(holder, holder.kind, 0)
        del holders[holder]
        self._holder_count -= 1
        if not holders:
            del self._holders_by_sender[holder.sender]
            del self._bytes_by_sender[holder.sender]

    def hold(self, holder: Holder, kind: Kind, size: int) -> list[Holder]:
        """Set what a connection holds.

        Returns
        -------
        list
            Connections to evict, which no longer count; may contain `holder`.
        """
        if holder not in self._holders_by_sender.get(holder.sender, ()):
            return []
        is_larger = size > holder.held_bytes
        self._resize(holder, kind, size)
        return self._choose_evicted() if is_larger else []

    def grow(self, holder: Holder) -> list[Holder]:
        """Count the uncounted bytes of a connection, see `hold`."""
        added_bytes, holder.uncounted_bytes = holder.uncounted_bytes, 0
        return self.hold(holder, holder.kind, holder.held_bytes + added_bytes)

    def choose_surplus(self) -> list[Holder]:
        """Return the least deserving connections, a small share of all.

        They are of the sender with the most connections, and those whose
        client has done nothing for longest. Requests that are being answered
        are never among them: they end by their deadlines.
        """
        now = self._clock()
        for holders in heapq.nlargest(
            len(self._holders_by_sender),
            self._holders_by_sender.values(),
            key=len,
        ):
            waiting = [
                holder for holder in holders if holder.kind is not Kind.REQUEST
            ]
            if waiting:
                return _take_share(waiting, _waited_key(now))
        return []

    def _resize(self, holder: Holder, kind: Kind, size: int) -> None:
        self.bytes_by_kind[holder.kind] -= holder.held_bytes
        self.bytes_by_kind[kind] += size
        change = size - holder.held_bytes
        self.held_bytes += change
        self._bytes_by_sender[holder.sender] += change
        if holder.held_bytes <= SMALL_HOLDER_BYTES:
            self._small_bytes -= holder.held_bytes
        if size <= SMALL_HOLDER_BYTES:
            self._small_bytes += size
        holder.kind = kind
        holder.held_bytes = size

    def _choose_evicted(self) -> list[Holder]:
        """Return the connections that lose their bytes.

        Large holders share what the reserve leaves. Small holders may use
        all that is free; over the limit, they lose only what exceeds their
        reserve.
        """
        limit = self._limits.held_bytes
        reserve = limit // RESERVED_SHARE
        large_bytes = self.held_bytes - self._small_bytes
        freed = limit // FREED_SHARE
        if large_bytes > limit - reserve:
            return self._evict(
                large_bytes - limit + reserve + freed, is_small=False
            )
        if self.held_bytes <= limit:
            return []
        is_small = self._small_bytes > reserve
        return self._evict(self.held_bytes - limit + freed, is_small=is_small)

    def _evict(self, excess_bytes: int, *, is_small: bool) -> list[Holder]:
        evicted = []
        now = self._clock()
        while excess_bytes > 0:
            chosen = self._worst_holders(now, is_small=is_small)
            if not chosen:
                break
            for holder in chosen:
                if excess_bytes <= 0:
                    break
                excess_bytes -= holder.held_bytes
                self._resize(holder, holder.kind, 0)
                evicted.append(holder)
        return evicted

    def _worst_holders(self, now: float, *, is_small: bool) -> list[Holder]:
        """Return some holders of the sender with the most bytes."""
        for sender in heapq.nlargest(
            len(self._bytes_by_sender),
            self._bytes_by_sender,
            key=self._bytes_by_sender.__getitem__,
        ):
            holders = [
                holder
                for holder in self._holders_by_sender[sender]
                if holder.held_bytes
                and (holder.held_bytes <= SMALL_HOLDER_BYTES) is is_small
            ]
            if holders:
                return _take_share(holders, _cost_key(now))
        return []


def _waited_key(now: float) -> Callable[[Holder], float]:
    """Return the order of connections by the time without progress."""
    return lambda holder: holder.waited_s(now)


def _cost_key(now: float) -> Callable[[Holder], tuple[float, float]]:
    """Return the order of connections by bytes and time without progress."""
    return lambda holder: (
        holder.held_bytes * (holder.waited_s(now) + _PROGRESS_GRACE_S),
        holder.progressed_at,
    )


def _take_share(
    holders: list[Holder], key: Callable[[Holder], Any]
) -> list[Holder]:
    """Return a small share of some connections, those with the largest key."""
    return heapq.nlargest(
        max(1, len(holders) // SURPLUS_SHARE), holders, key=key
    )
