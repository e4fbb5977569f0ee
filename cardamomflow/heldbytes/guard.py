"""Applies the limits on clients in one process; owns its budget.

Evicts the connections that `budget` chooses. Each decision is counted in the
metrics and logged, at most one line a second for each cause.
"""

import time
from collections.abc import Callable, Iterable
from typing import Any

import curio
from curio import io as curio_io

from cardamomflow import events
from cardamomflow.heldbytes import budget, sizing, turns

LOG_INTERVAL_S = 1.0
# Turns of the loop in which an evicted connection or request ends.
SETTLE_TURNS = 8
# Time for which a new connection waits at most for stalled ones.
MAX_ROOM_WAIT_S = 0.1
ROOM_POLL_S = 0.01


_GAUGES_BY_KIND = {
    budget.Kind.HEAD: 'clients.held_head',
    budget.Kind.BODY: 'clients.held_body',
    budget.Kind.REQUEST: 'clients.held_request',
    budget.Kind.ANSWER: 'clients.held_answer',
    budget.Kind.FRAME: 'clients.held_frame',
}
_MS = 1000


class RequestEvicted(curio.TaskCancelled):
    """Ends a request in progress whose bytes are needed for others.

    The caller is connected and gets a response, unlike after other
    cancellations.
    """


class Guard:
    """Limits on the clients of one process.

    Parameters
    ----------
    limits : sizing.Limits
    journal : logbook.Logger, optional
    metrics : telemetry.Metrics, optional
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    limits : sizing.Limits
    budget : budget.Budget
    scheduler : turns.Scheduler
    """

    def __init__(
        self,
        limits: sizing.Limits,
        journal: Any = None,
        metrics: Any = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limits = limits
        self.budget = budget.Budget(limits, clock)
        self.scheduler = turns.Scheduler()
        self.clock = clock
        self._journal = journal
        self._metrics = metrics
        # The one connection that may send a fragmented body now.
        self._fragmented: budget.Holder | None = None
        # Evicted connections whose requests have not ended yet.
        self._ending: set[budget.Holder] = set()
        self._log_after_by_cause: dict[budget.Cause, float] = {}
        self._unlogged_by_cause = dict.fromkeys(budget.Cause, 0)
        if metrics is not None:
            self._register_gauges(metrics)

    def close(self, holder: budget.Holder) -> None:
        """Remove a connection that has ended."""
        self.budget.close(holder)
        self._ending.discard(holder)
        self.end_fragmented(holder)

    def admit_fragmented(self, holder: budget.Holder) -> bool:
        """Return whether a connection may go on with a fragmented body.

        Its events take seconds of processor time in all, so only one does at a
        time: a single client inside the limits on requests is served.
        """
        if self._fragmented is None:
            self._fragmented = holder
        return self._fragmented is holder

    def end_fragmented(self, holder: budget.Holder) -> None:
        """Let another connection send a fragmented body."""
        if self._fragmented is holder:
            self._fragmented = None

    async def settle(self) -> None:
        """Let evicted requests end before more bytes are received.

        They end in the next turns of the loop. Without this, all connections
        that have input now would receive it first.
        """
        for _ in range(SETTLE_TURNS):
            if not self._ending:
                return
            self._ending = {
                holder
                for holder in self._ending
                if holder.kind is budget.Kind.REQUEST
            }
            await curio.sleep(0)

    async def hold(
        self, holder: budget.Holder, kind: budget.Kind, size: int
    ) -> None:
        """Set what a connection holds; evicts connections over the limit."""
        evicted = self.budget.hold(holder, kind, size)
        if evicted:
            await self._evict(evicted, budget.Cause.BYTES)

    async def count_parts(self, holder: budget.Holder) -> None:
        """Count the uncounted parts of the request of a connection."""
        if holder.kind is budget.Kind.REQUEST:
            evicted = self.budget.grow(holder)
            if evicted:
                await self._evict(evicted, budget.Cause.BYTES)

    async def make_room(
        self, reserved_count: int = 0, allowed_s: float = MAX_ROOM_WAIT_S
    ) -> bool:
        """Wait until there is room for a further connection.

        Evicts stalled connections if too many are open. If none is stalled, the
        new connection waits, because it would cost another one its request.

        Parameters
        ----------
        reserved_count : int
            Connections that are allowed beyond the limit.
        allowed_s : float
            Time to wait for room; any connection is evicted then.

        Returns
        -------
        bool
            False if requests that may have run take all connections.
        """
        give_up_at = self.clock() + allowed_s
        while self.budget.has_surplus(reserved_count):
            is_urgent = self.clock() >= give_up_at
            surplus = self.budget.choose_surplus(is_urgent=is_urgent)
            await self._evict(surplus, budget.Cause.CONNECTIONS)
            if is_urgent:
                return bool(surplus)
            await curio.sleep(0 if surplus else ROOM_POLL_S)
        return True

    async def admit(self, sock: curio_io.Socket) -> curio_io.Socket | None:
        """Make room for the descriptor of an accepted connection.

        Closes the least deserving connections if too many are open. The
        descriptor of a new socket is the lowest free number, so at least as
        many are open.

        Returns
        -------
        curio.io.Socket or None
            The socket to use; None if the connection was closed, because
            requests of all others are being answered.
        """
        if sock.fileno() < self.limits.descriptors:
            return sock
        is_admitted = await self.shrink(budget.Cause.DESCRIPTORS)
        # A copy gets one of the numbers that are free now. Otherwise, each
        # time these are used up, one more number over the limit would be.
        copy = sock._socket.dup() if is_admitted else None  # noqa: SLF001
        await sock.close()
        return None if copy is None else curio_io.Socket(copy)

    async def shrink(self, cause: budget.Cause) -> bool:
        """Close the least deserving connections; return whether any is."""
        surplus = self.budget.choose_surplus()
        expected_count = self.budget.connection_count - len(surplus)
        await self._evict(surplus, cause)
        # The tasks of the closed connections run now and close the
        # descriptors.
        for _ in range(SETTLE_TURNS):
            if self.budget.connection_count <= expected_count:
                break
            await curio.sleep(0)
        return bool(surplus)

    def record(self, holder: budget.Holder, cause: budget.Cause) -> None:
        """Count and log a connection that is refused or closed."""
        if self._metrics is not None:
            self._metrics.increment(f'clients.evicted.{cause}')
        now = self.clock()
        if now < self._log_after_by_cause.get(cause, now):
            self._unlogged_by_cause[cause] += 1
            return
        self._log_after_by_cause[cause] = now + LOG_INTERVAL_S
        left_out, self._unlogged_by_cause[cause] = (
            self._unlogged_by_cause[cause],
            0,
        )
        if self._journal is not None:
            self._journal.warning(
                events.Event.CLIENT_EVICTED,
                cause=cause,
                sender=holder.sender,
                doing=holder.kind,
                waited_ms=round(holder.waited_s(now) * _MS),
                held_bytes=self.budget.held_bytes,
                connections=self.budget.connection_count,
                left_out=left_out,
            )

    async def _evict(
        self, holders: Iterable[budget.Holder], cause: budget.Cause
    ) -> None:
        for holder in holders:
            if holder.is_ending:
                # It was refused before, and is closed now.
                self.budget.close(holder)
            else:
                self.record(holder, cause)
                self.budget.mark_ending(holder)
            if holder.kind is budget.Kind.REQUEST:
                self._ending.add(holder)
            await holder.evict(cause)

    def _register_gauges(self, metrics: Any) -> None:
        for kind, name in _GAUGES_BY_KIND.items():
            metrics.register_gauge(name, self._reader(kind))
        metrics.register_gauge(
            'clients.connections', lambda: self.budget.connection_count
        )

    def _reader(self, kind: budget.Kind) -> Callable[[], float]:
        return lambda: self.budget.bytes_by_kind[kind]
