"""Stops a daemon on a signal or when one of its background tasks fails."""

import signal
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import logbook

from cardamomflow import events, signals

# Pause before a failed task is started again, which limits its log lines.
RESTART_DELAY_S = 1.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop() -> None:
    """Return on the first SIGTERM or SIGINT; later ones are ignored."""
    if signal.getsignal(signal.SIGHUP) is signal.SIG_DFL:
        # SIGHUP requests a reload of settings; by default it ends the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    async with signals.signal_socket(*_STOP_SIGNALS) as receiver:
        await receiver.recv(1)
        for stop_signal in _STOP_SIGNALS:
            signal.signal(stop_signal, signal.SIG_IGN)


class Supervisor:
    """Runs the background tasks of a daemon and detects their failure."""

    def __init__(self, journal: logbook.Logger) -> None:
        self._journal = journal
        self._tasks: list[curio.Task] = []
        self._failed = curio.Event()

    async def start(self, *functions: Callable[[], Awaitable[Any]]) -> None:
        """Start tasks that run until the process ends."""
        for function in functions:
            task = await curio.spawn(self._run, function, daemon=True)
            self._tasks.append(task)

    async def start_restartable(
        self, *functions: Callable[[], Awaitable[Any]]
    ) -> None:
        """Start tasks that are started again when they fail.

        For functions that no request depends on.
        """
        for function in functions:
            task = await curio.spawn(self._run_again, function, daemon=True)
            self._tasks.append(task)

    async def wait(self) -> bool:
        """Wait until the process has to stop.

        Returns
        -------
        bool
            False when a task failed and the process can't continue.
        """
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(wait_for_stop)
            await group.spawn(self._failed.wait)
        return not self._failed.is_set()

    async def _run(self, function: Callable[[], Awaitable[Any]]) -> None:
        try:
            await function()
        except Exception as error:
            # Without one of its tasks, a daemon would serve only some of its
            # functions, and nobody would notice. It stops instead, and the
            # supervisor of the host restarts it.
            self._log_failure(function, error)
            await self._failed.set()

    async def _run_again(self, function: Callable[[], Awaitable[Any]]) -> None:
        while True:
            try:
                await function()
            except Exception as error:
                self._log_failure(function, error)
                await curio.sleep(RESTART_DELAY_S)
            else:
                return

    def _log_failure(
        self, function: Callable[[], Awaitable[Any]], error: Exception
    ) -> None:
        self._journal.error(
            events.Event.TASK_FAILED,
            task=getattr(function, '__qualname__', str(function)),
            error=repr(error),
            trace=traceback.format_exc(),
        )
