"""A watch of the platform that runs beside the feed of other hosts.

Owns the task of one call. Its outcome is kept until it is asked for, because
updates of other hosts may be applied before.
"""

from collections.abc import Awaitable, Callable

import curio

from cardamomflow import errors, platformsource

Call = Callable[[], Awaitable[platformsource.Changes]]


class Attempt:
    """One call to the platform.

    Attributes
    ----------
    late_at : float
        When other hosts are asked because the platform has not answered.
    outcome : platformsource.Changes or errors.FlowError or None
        None while the call is in progress.
    reads_lists : bool
        Whether the call reads all entries.
    """

    def __init__(
        self,
        late_at: float,
        call: Call,
        on_end: Callable[[], Awaitable[None]],
        *,
        reads_lists: bool = False,
    ) -> None:
        self.reads_lists = reads_lists
        self.late_at = late_at
        self.outcome: platformsource.Changes | errors.FlowError | None = None
        self._call = call
        self._on_end = on_end
        self._task: curio.Task | None = None

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

    async def _run(self, pause_s: float) -> None:
        await curio.sleep(pause_s)
        try:
            self.outcome = await self._call()
        except errors.FlowError as error:
            self.outcome = error
        await self._on_end()
