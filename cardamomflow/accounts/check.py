"""Checks whether client accounts were introduced while this host knows none.

Owns when this was confirmed last. A caller with an API key may know a newer
configuration than this host. Its request must not run for no account, so a
host without a recent check asks the store and, if it does not answer, other
hosts. Requests with a key are refused as not run until one of them answers.
"""

from collections.abc import Callable

import curio

from cardamomflow import context, discovery, errors, events, platformsource
from cardamomflow.accounts import authentication

# The store answers within milliseconds.
ASK_HOSTS_AFTER_S = 0.05
# Another host is dialed, asked, and sends its changes.
HOSTS_WAIT_S = 0.5
MAX_CHECK_S = ASK_HOSTS_AFTER_S + HOSTS_WAIT_S
# Share of a request's time that it waits for a check.
WAIT_SHARE = 0.2
# Age of an answer up to which requests run for no account. A host that is cut
# off may miss accounts for so long.
CONFIRMED_S = 1.0
# Age from which the next request with a key starts a check, before any request
# has to wait for it.
CHECK_AGE_S = 0.8
# Time without further checks after one without an answer.
UNANSWERED_S = 5.0


class AccountsCheck:
    """Checks of one host, at most one at a time.

    Parameters
    ----------
    source : platformsource.Source
    follower : discovery.Follower
        Asks other hosts, and puts what is read in force.
    process_context : context.Context
    boottime : callable
        Returns seconds of a clock that goes on while the machine sleeps.
    """

    def __init__(
        self,
        source: platformsource.Source,
        follower: discovery.Follower,
        process_context: context.Context,
        boottime: Callable[[], float],
    ) -> None:
        self._source = source
        self._follower = follower
        self._clock = process_context.clock
        self._boottime = boottime
        self._metrics = process_context.metrics
        self._journal = process_context.journal
        self._confirmation = authentication.ConfirmationAge()
        # Whether the last check ended without an answer.
        self._is_unanswered = False
        self._next_check_at = float('-inf')
        # Set at the end of the check in progress; None without one.
        self._ended: curio.Event | None = None
        # The answer of the store to the check in progress.
        self._changes: platformsource.Changes | None = None
        # Set when accounts are confirmed or a newer configuration is in force.
        self._answered = curio.Event()

    @property
    def is_confirmed(self) -> bool:
        """Whether it was confirmed recently that this host knows all."""
        return self._age_s() <= CONFIRMED_S

    async def wait(self, remaining_s: float) -> None:
        """Wait for a check, which may put a newer configuration in force.

        Requests do not wait while the last check had no answer.

        Parameters
        ----------
        remaining_s : float
            Time that the request has left.
        """
        if self._age_s() <= CHECK_AGE_S:
            return
        if self._ended is None and self._clock() >= self._next_check_at:
            self._ended = curio.Event()
            await curio.spawn(self._run, self._ended, daemon=True)
        ended = self._ended
        if ended is None or self._is_unanswered or self.is_confirmed:
            return
        limit_s = min(remaining_s * WAIT_SHARE, MAX_CHECK_S)
        async with curio.ignore_after(limit_s):
            await ended.wait()

    async def on_routes_changed(self) -> None:
        """End the check in progress: a newer configuration is in force."""
        await self._answered.set()

    async def on_confirmed(self, confirmed_at: float) -> None:
        """Answer a check with what was read from the store or another host.

        Without a check it is ignored: a key that arrives later may belong to
        an account that was introduced since.

        Parameters
        ----------
        confirmed_at : float
            When the platform confirmed what this host knows, in monotonic
            seconds.
        """
        if self._ended is None and not self._is_unanswered:
            return
        self._confirmation.record(confirmed_at, self._clock(), self._boottime())
        if self.is_confirmed:
            self._is_unanswered = False
            self._next_check_at = float('-inf')
            await self._answered.set()

    def _age_s(self) -> float:
        return self._confirmation.age_s(self._boottime())

    async def _run(self, ended: curio.Event) -> None:
        self._answered.clear()
        self._changes = None
        sent_at = self._clock()
        try:
            await self._ask()
            if self._changes is not None:
                # Not in the task that reads, which may be cancelled.
                await self._follower.view.apply_routes(
                    self._changes.table, self._changes.era
                )
                await self.on_confirmed(sent_at)
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
        outcome = 'answered'
        if not self._answered.is_set():
            outcome = 'unanswered'
            self._is_unanswered = True
            self._next_check_at = self._clock() + UNANSWERED_S
            self._journal.warning(events.Event.ACCOUNTS_UNCONFIRMED)
        self._metrics.increment(f'host.account_checks.{outcome}')
