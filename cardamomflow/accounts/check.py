"""Checks whether client accounts were introduced while this host knows none.

Owns when this was found out last. A caller with an API key may know a newer
configuration than this host. Such a request must not run for no account, so
the host first asks the store and, if it does not answer, other hosts.

A request never waits for long and is never refused here: without accounts,
callers with keys would be refused for as long as the store is down.
"""

import math

import curio

from cardamomflow import context, discovery, errors, events, platformsource

# The store answers within milliseconds.
ASK_HOSTS_AFTER_S = 0.05
# Another host is dialed, asked, and sends its changes.
HOSTS_WAIT_S = 0.5
MAX_CHECK_S = ASK_HOSTS_AFTER_S + HOSTS_WAIT_S
# Share of a request's time that it waits for a check.
WAIT_SHARE = 0.2
# Time without further checks after one that ended with an answer, or without.
CONFIRMED_S = 2.0
UNANSWERED_S = 5.0


class AccountsCheck:
    """Checks of one host, at most one at a time."""

    def __init__(
        self,
        source: platformsource.Source,
        follower: discovery.Follower,
        process_context: context.Context,
    ) -> None:
        self._source = source
        self._follower = follower
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._journal = process_context.journal
        self._valid_until = -math.inf
        # Set at the end of the check in progress; None without one.
        self._ended: curio.Event | None = None
        # The answer of the store to the check in progress.
        self._changes: platformsource.Changes | None = None
        # Set when the store answered, or a newer configuration is in force.
        self._answered = curio.Event()

    async def wait(self, remaining_s: float) -> None:
        """Wait for a check, which may put a newer configuration in force.

        Parameters
        ----------
        remaining_s : float
            Time that the request has left.
        """
        if self._clock() < self._valid_until:
            return
        if self._ended is None:
            self._ended = curio.Event()
            await curio.spawn(self._run, self._ended, daemon=True)
        ended = self._ended
        limit_s = min(remaining_s * WAIT_SHARE, MAX_CHECK_S)
        async with curio.ignore_after(limit_s):
            await ended.wait()

    async def on_routes_changed(self) -> None:
        """End the check in progress: a newer configuration is in force."""
        await self._answered.set()

    async def _run(self, ended: curio.Event) -> None:
        self._answered.clear()
        self._changes = None
        try:
            await self._ask()
            if self._changes is not None:
                # Not in the task that reads, which may be cancelled.
                await self._follower.view.apply_routes(
                    self._changes.table, self._changes.era
                )
        finally:
            self._record()
            self._ended = None
            await ended.set()

    async def _ask(self) -> None:
        reading = await curio.spawn(self._read, daemon=True)
        try:
            if not await self._is_answered_within(ASK_HOSTS_AFTER_S):
                await self._follower.ask_hosts()
                await self._is_answered_within(HOSTS_WAIT_S)
        finally:
            await reading.cancel()

    async def _read(self) -> None:
        try:
            self._changes = await self._source.read_routes()
        except errors.FlowError:
            # Other hosts are asked.
            return
        await self._answered.set()

    async def _is_answered_within(self, limit_s: float) -> bool:
        async with curio.ignore_after(limit_s):
            await self._answered.wait()
        return self._answered.is_set()

    def _record(self) -> None:
        outcome, valid_s = 'answered', CONFIRMED_S
        if not self._answered.is_set():
            outcome, valid_s = 'unanswered', UNANSWERED_S
            self._journal.warning(events.Event.ACCOUNTS_UNCONFIRMED)
        self._metrics.increment(f'host.account_checks.{outcome}')
        self._valid_until = self._clock() + valid_s
