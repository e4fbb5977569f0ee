"""Signals that stop a daemon; owns the signal handlers of the process."""

import signal
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import logbook

from cardamomflow import events, signals

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop() -> None:
    """Return on the first SIGTERM or SIGINT; later ones are ignored."""
    if signal.getsignal(signal.SIGHUP) is signal.SIG_DFL:
        # The signal tells of new settings; by default it ends a process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    async with signals.received(*_STOP_SIGNALS) as woken:
        await woken.recv(1)
        for handled in _STOP_SIGNALS:
            signal.signal(handled, signal.SIG_IGN)


class Supervisor:
    """Runs the background tasks of a daemon and notices their failure."""

    def __init__(self, journal: logbook.Logger) -> None:
        """Take the logger for a failed task."""
        self._journal = journal
        self._tasks: list[curio.Task] = []
        self._failed = curio.Event()

    async def start(self, *functions: Callable[[], Awaitable[Any]]) -> None:
        """Start tasks that run until the process ends."""
        for function in functions:
            task = await curio.spawn(self._run, function, daemon=True)
            self._tasks.append(task)

    async def wait(self) -> bool:
        """Return when the process has to stop.

        Returns
        -------
        bool
            False when a task failed, so that the process can't go on.
        """
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(wait_for_stop)
            await group.spawn(self._failed.wait)
        return not self._failed.is_set()

    async def _run(self, function: Callable[[], Awaitable[Any]]) -> None:
        try:
            await function()
        except Exception as error:
            # A daemon without one of its tasks would serve half of its
            # duties unnoticed; the host's supervisor restarts it.
            self._journal.error(
                events.Event.TASK_FAILED,
                task=getattr(function, '__qualname__', str(function)),
                error=repr(error),
                trace=traceback.format_exc(),
            )
            await self._failed.set()
