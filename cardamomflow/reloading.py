"""Reloads the settings of a running process; handles SIGHUP.

Reads the file again on SIGHUP and when it has changed. The process decides
which changed keys it applies without a restart.
"""

import signal
from collections.abc import Callable
from typing import Any, NamedTuple

import curio
import logbook

from cardamomflow import errors, events, settings, signals

# The file may change without a signal; each check costs one system call.
POLL_INTERVAL_S = 2.0
_WAKE_BYTES = 64


class ReloadResult(NamedTuple):
    """Changed settings by whether the process applied them.

    Attributes
    ----------
    in_force : list of str
        Changed keys that are in force now.
    need_restart : list of str
        Changed keys that keep their old value until the next start.
    """

    in_force: list[str]
    need_restart: list[str]


class SettingsWatch:
    """Reloads the settings file of a process when it changes."""

    def __init__(
        self,
        file: settings.SettingsFile,
        apply: Callable[[Any], ReloadResult],
        journal: logbook.Logger,
    ) -> None:
        """Watch a file that the process has just loaded.

        Parameters
        ----------
        file : settings.SettingsFile
        apply : callable
            Applies the new settings; raises `errors.FlowError` to refuse them.
        journal : logbook.Logger
        """
        self._file = file
        self._apply = apply
        self._journal = journal
        self._version = file.version()

    async def run(self) -> None:
        """Reload changed settings until cancelled."""
        async with signals.signal_socket(signal.SIGHUP) as receiver:
            while True:
                signal_bytes = await curio.ignore_after(
                    POLL_INTERVAL_S, receiver.recv, _WAKE_BYTES
                )
                self.check(is_signalled=signal_bytes is not None)

    def check(self, *, is_signalled: bool = False) -> None:
        """Reload the file if it has changed or a signal was received."""
        version = self._file.version()
        if version == self._version and not is_signalled:
            return
        self._version = version
        try:
            result = self._apply(self._file.load())
        except errors.FlowError as error:
            # The process continues with its current settings.
            self._journal.error(
                events.Event.SETTINGS_REFUSED,
                code=error.code,
                error=error.message,
            )
            return
        self._journal.info(
            events.Event.SETTINGS_READ,
            in_force=result.in_force,
            need_restart=result.need_restart,
        )
