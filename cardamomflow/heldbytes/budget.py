"""Bytes that the connections of clients hold; sans-I/O.

Chooses the connections that are closed when the bytes or the connections of a
process reach their limit: those that have held the most bytes for the longest
time without progress. If one sender has most of them, only its own.
"""

import abc
import collections
import enum
import heapq
from collections.abc import Callable

from cardamomflow.heldbytes import sizing

# Connections that hold at most this much, such as those of ordinary requests,
# have a reserved share of the budget.
SMALL_HOLDER_BYTES = 16_384
RESERVED_SHARE = 8
# Once over a limit, connections are closed until this share is free, so that
# the cost of each choice is spread over many received blocks.
FREED_SHARE = 16
SURPLUS_SHARE = 32
# Evicted connections stay open until their clients have the refusal, within
# this share of the limit.
ENDING_SHARE = 4
# Time without progress after which a connection may be closed for a new one.
# Within it, an ordinary request arrives, or has its turn.
STALLED_S = 0.25
QUEUED_S = 1.0
# A sender with more than this share of what connections hold loses first. No
# sender among many has so much.
DOMINANT_SHARE = 0.5
# Progress counts in proportion to the bytes received or sent, so that a client
# that sends a byte from time to time makes none. The slowest links of callers
# carry this rate.
PROGRESS_BYTES_PER_S = 1_310_720
# Added to the time without progress, so that of connections that all progress,
# the one with the most bytes is closed.
_PROGRESS_GRACE_S = 0.01
# The same for connections that do not wait for their clients.
_UNHANDLED_GRACE_S = 0.005


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
    was_sent : bool or None
        Whether a backend server may have run the request; None if unknown.
    """

    uncounted_bytes = 0
    was_sent: bool | None = None

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
        Monotonic time in seconds up to which the client has made progress.
    waits_for_turn : bool
        Whether input of the client waits for its turn.
    was_sent : bool or None
        Whether a backend server may have run the request in progress; None if
        that is unknown, or no request is in progress.
    is_ending : bool
        Set by the budget only; whether the connection has been evicted.
    is_refusal_sent : bool
        Whether an evicted connection has nothing left to send.
    """

    def __init__(self, sender: str, now: float) -> None:
        self.sender = sender
        self.kind = Kind.IDLE
        self.held_bytes = 0
        self.uncounted_bytes = 0
        self.progressed_at = now
        self.waits_for_turn = False
        self.was_sent: bool | None = None
        self.is_ending = False
        self.is_refusal_sent = False

    @abc.abstractmethod
    async def evict(self, cause: Cause) -> None:
        """Refuse the request in progress, or close the connection."""

    @property
    def waits_for_client(self) -> bool:
        """Whether the process waits for the client.

        It does not while it answers a request, or has input to handle.
        """
        return self.kind is not Kind.REQUEST and not self.waits_for_turn

    def waited_s(self, now: float) -> float:
        """Return for how long the process has waited for the client."""
        if not self.waits_for_client:
            return 0
        return max(0, now - self.progressed_at)

    @property
    def may_have_run(self) -> bool:
        """Whether a request is in progress that may have run."""
        return self.kind is Kind.REQUEST and self.was_sent is not False

    def is_stalled(self, now: float) -> bool:
        """Return whether the connection has made no progress for long."""
        allowed_s = STALLED_S if self.waits_for_client else QUEUED_S
        return now - self.progressed_at >= allowed_s

    def record_progress(self, now: float, size: int) -> None:
        """Record bytes that the client has sent or taken."""
        self.progressed_at = min(
            now, self.progressed_at + size / PROGRESS_BYTES_PER_S
        )


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
        self._holders_by_sender: dict[str, dict[Holder, None]] = {}
        self._holder_count = 0
        # Evicted connections that are still open, in the order of eviction.
        self._ending: dict[Holder, None] = {}

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return self._holder_count

    @property
    def lasting_count(self) -> int:
        """Number of connections that have not been evicted."""
        return self._holder_count - len(self._ending)

    def has_surplus(self, reserved_count: int = 0) -> bool:
        """Return whether a further connection is over the limit.

        Evicted connections do not count for it, up to `ENDING_SHARE`.

        Parameters
        ----------
        reserved_count : int
            Connections that are allowed beyond the limit.
        """
        limit = self._limits.connections + reserved_count
        return self.lasting_count >= limit or self._has_many_ending

    def open(self, holder: Holder) -> None:
        """Add a connection."""
        self._holders_by_sender.setdefault(holder.sender, {})[holder] = None
        self._holder_count += 1

    def close(self, holder: Holder) -> None:
        """Remove a connection and what it holds."""
        holders = self._holders_by_sender.get(holder.sender, {})
        if holder not in holders:
            return
        self._resize(holder, holder.kind, 0)
        del holders[holder]
        self._holder_count -= 1
        self._ending.pop(holder, None)
        if not holders:
            del self._holders_by_sender[holder.sender]

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

    def choose_surplus(self, *, is_urgent: bool = True) -> list[Holder]:
        """Return the least deserving connections, a small share of all.

        They are evicted ones if many of these are still open; else those that
        have made no progress for longest, whatever they wait for. Requests that
        may have run are never among them: they end by their deadlines.

        Parameters
        ----------
        is_urgent : bool
            Whether connections are chosen that may just have no turn yet.
        """
        if self._has_many_ending:
            refused = [each for each in self._ending if each.is_refusal_sent]
            return refused[: max(1, len(refused) // SURPLUS_SHARE)]
        now = self._clock()
        waiting = self._find(
            lambda holder: (
                not holder.is_ending
                and not holder.may_have_run
                and (is_urgent or holder.is_stalled(now))
            )
        )
        if not waiting:
            return []
        candidates = _find_dominant(waiting, lambda _: 1) or waiting
        return heapq.nlargest(
            max(1, len(candidates) // SURPLUS_SHARE),
            candidates,
            key=lambda holder: now - holder.progressed_at,
        )

    def mark_ending(self, holder: Holder) -> None:
        """Record that a connection is evicted."""
        holder.is_ending = True
        self._ending[holder] = None

    @property
    def _has_many_ending(self) -> bool:
        return len(self._ending) > self._limits.connections // ENDING_SHARE

    def _resize(self, holder: Holder, kind: Kind, size: int) -> None:
        self.bytes_by_kind[holder.kind] -= holder.held_bytes
        self.bytes_by_kind[kind] += size
        change = size - holder.held_bytes
        self.held_bytes += change
        if holder.held_bytes <= SMALL_HOLDER_BYTES:
            self._small_bytes -= holder.held_bytes
        if size <= SMALL_HOLDER_BYTES:
            self._small_bytes += size
        holder.kind = kind
        holder.held_bytes = size

    def _choose_evicted(self) -> list[Holder]:
        """Return the connections that lose their bytes.

        Large holders share what the reserve leaves. Small holders may use
        all that is free; over the limit, they are among those that lose only
        if they exceed their reserve.
        """
        limit = self._limits.held_bytes
        reserve = limit // RESERVED_SHARE
        large_bytes = self.held_bytes - self._small_bytes
        freed = limit // FREED_SHARE
        if large_bytes > limit - reserve:
            return self._evict(
                large_bytes - limit + reserve + freed, SMALL_HOLDER_BYTES
            )
        if self.held_bytes <= limit:
            return []
        is_reserved = self._small_bytes <= reserve
        return self._evict(
            self.held_bytes - limit + freed,
            SMALL_HOLDER_BYTES if is_reserved else 0,
        )

    def _evict(self, excess_bytes: int, reserved_bytes: int) -> list[Holder]:
        """Return the connections to evict, of those with more bytes each."""
        candidates = self._find(
            lambda holder: holder.held_bytes > reserved_bytes
        )
        dominant = set(_find_dominant(candidates, _held_bytes))
        key = _cost_key(self._clock())
        candidates.sort(
            key=lambda holder: (
                not holder.may_have_run,
                holder in dominant,
                *key(holder),
            ),
            reverse=True,
        )
        evicted = []
        for holder in candidates:
            if excess_bytes <= 0:
                break
            excess_bytes -= holder.held_bytes
            self._resize(holder, holder.kind, 0)
            evicted.append(holder)
        return evicted

    def _find(self, condition: Callable[[Holder], object]) -> list[Holder]:
        return [
            holder
            for holders in self._holders_by_sender.values()
            for holder in holders
            if condition(holder)
        ]


def _held_bytes(holder: Holder) -> int:
    return holder.held_bytes


def _find_dominant(
    holders: list[Holder], size_of: Callable[[Holder], int]
) -> list[Holder]:
    """Return the connections of the sender that has most of a quantity."""
    sizes_by_sender: collections.Counter[str] = collections.Counter()
    for holder in holders:
        sizes_by_sender[holder.sender] += size_of(holder)
    for sender, size in sizes_by_sender.most_common(1):
        if size > DOMINANT_SHARE * sizes_by_sender.total():
            return [holder for holder in holders if holder.sender == sender]
    return []


def _cost_key(now: float) -> Callable[[Holder], tuple[float, float]]:
    """Return the order by bytes and time without progress, then by age."""

    def key(holder: Holder) -> tuple[float, float]:
        grace_s = _PROGRESS_GRACE_S
        if not holder.waits_for_client:
            grace_s = _UNHANDLED_GRACE_S
        cost = holder.held_bytes * (holder.waited_s(now) + grace_s)
        return cost, -holder.progressed_at

    return key
