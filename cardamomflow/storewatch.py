"""A watch of the platform that runs beside the feed of other hosts.

Owns the task of one call, and the time that its answer confirms. Its outcome is
kept until it is asked for, because updates of other hosts may be applied
before.
"""

import math
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio

from cardamomflow import changefeed, errors, platformsource

Call = Callable[[], Awaitable[platformsource.Changes]]


class Plan(NamedTuple):
    """What one call to the platform is for.

    Attributes
    ----------
    position : changefeed.Position
        What the host has read.
    late_at : float
        When other hosts are asked because the platform has not answered.
    wait_s : float
        How long the platform may wait for changes.
    reads_lists : bool
        Whether the call reads all entries.
    """

    position: changefeed.Position
    late_at: float
    wait_s: float = 0
    reads_lists: bool = False


class Attempt:
    """One call to the platform.

    Attributes
    ----------
    plan : Plan
    sent_at : float
        When the call was made; infinite before.
    outcome : platformsource.Changes or errors.FlowError or None
        None while the call is in progress.
    """

    def __init__(
        self,
        plan: Plan,
        call: Call,
        on_end: Callable[[], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        self.plan = plan
        self.sent_at = math.inf
        self.outcome: platformsource.Changes | errors.FlowError | None = None
        self._call = call
        self._on_end = on_end
        self._clock = clock
        self._task: curio.Task | None = None

    @property
    def is_sent(self) -> bool:
        """Whether the pause before the call has ended."""
        return math.isfinite(self.sent_at)

    async def start(self, pause_s: float) -> None:
        """Make the call after a pause in seconds."""
        self._task = await curio.spawn(self._run, pause_s, daemon=True)

    async def cancel(self) -> None:
        """End the call without an outcome."""
        if self._task is not None:
            await self._task.cancel()

    def changes(self) -> platformsource.Changes:
        """Return the changes of a call that has ended.

        Raises
        ------
        errors.FlowError
            The call failed.
        """
        if not isinstance(self.outcome, platformsource.Changes):
            raise self.outcome or errors.PlatformUnavailable('no answer yet')
        return self.outcome

    def confirmed_at(self, *, has_changes: bool) -> float:
        """Return up to when the platform's answer holds all changes.

        The answer may have waited on the way or in a socket buffer, so the
        time of its arrival says nothing. The platform sends an answer without
        changes after its wait, and one with changes at an unknown time after
        the call.
        """
        if has_changes:
            return self.sent_at
        return min(self._clock(), self.sent_at + self.plan.wait_s)

    async def _run(self, pause_s: float) -> None:
        await curio.sleep(pause_s)
        self.sent_at = self._clock()
        try:
            self.outcome = await self._call()
        except errors.FlowError as error:
            self.outcome = error
        except Exception as error:
            # Without an outcome the host would never call again. The message
            # has only the type, as an answer may contain keys of accounts.
            self.outcome = errors.PlatformUnavailable(
                f'the call failed with {type(error).__name__}'
            )
        await self._on_end()
