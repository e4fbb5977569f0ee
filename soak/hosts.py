"""Starts, signals and stops the host processes of a run."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

import curio
import yaml

from standins import reservedports, users

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = (sys.executable, '-m', 'cardamomflow', 'host')
STOP_WITHIN_S = 4
# Added to `STOP_WITHIN_S`, because the machine may be busy.
STOP_SLACK_S = 6.0
START_LIMIT_S = 30.0
# An event loop that is this late without using the processor was not
# scheduled by the machine.
STARVED_MS = 1000
_POLL_S = 0.02
_LOG_TAIL_CHARS = 2000


class HostProcess:
    """One host and its process, which can be restarted.

    Attributes
    ----------
    host_id, zone : str
    front_port, ready_port : int
        Ports of the current process.
    incarnation : int
        Number of starts.
    stop_requested_at : float or None
        Time at which the process was asked to stop.
    is_exit_expected : bool
        Whether the run ended the process or has already reported its exit.
    """

    def __init__(
        self, host_id: str, zone: str, store_port: int, folder: pathlib.Path
    ) -> None:
        self.host_id = host_id
        self.zone = zone
        self.front_port = 0
        self.ready_port = 0
        self.incarnation = 0
        self.stop_requested_at: float | None = None
        self.is_exit_expected = False
        self._store_port = store_port
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._ports: reservedports.ReservedPorts | None = None

    @property
    def name(self) -> str:
        """Host id and incarnation."""
        return f'{self.host_id}.{self.incarnation}'

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def returncode(self) -> int | None:
        """Exit status; None while the process is running."""
        return None if self._process is None else self._process.poll()

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self.incarnation += 1
        self.stop_requested_at = None
        self.is_exit_expected = False
        self.release_port()
        self._ports = reservedports.ReservedPorts(1)
        settings = users.host_settings(
            self.host_id,
            self.zone,
            self._store_port,
            peers=f'127.0.0.1:{self._ports.ports[0]}',
            retry_share=0.5,
            retry_burst=50,
            stop_within_s=STOP_WITHIN_S,
        )
        path = self._folder / f'{self.name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        with self._log_path.open('wb') as log:
            self._process = subprocess.Popen(
                [*PROGRAM, '--settings', path],
                cwd=ROOT,
                env={**os.environ, 'PYTHONFAULTHANDLER': '1'},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        async with curio.ignore_after(START_LIMIT_S):
            while self.is_running and not self._read_ports():
                await curio.sleep(_POLL_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    async def wait_exit(self, limit_s: float) -> bool:
        """Wait until the process exits; return whether it has exited."""
        async with curio.ignore_after(limit_s):
            while self.is_running:
                await curio.sleep(_POLL_S)
        return not self.is_running

    async def abort(self) -> str:
        """Abort a process that hangs; return its log with the stack traces."""
        self.send_signal(signal.SIGABRT)
        await self.wait_exit(START_LIMIT_S)
        return self._log_path.read_text(errors='replace')[-_LOG_TAIL_CHARS:]

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.is_exit_expected = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def release_port(self) -> None:
        """Release the reserved port."""
        if self._ports is not None:
            self._ports.close()
            self._ports = None

    @property
    def was_starved(self) -> bool:
        """Whether the process got no processor time for `STARVED_MS`."""
        text = self._log_path.read_text(errors='replace')
        return any(
            entry['late_ms'] - entry['processor_ms'] >= STARVED_MS
            for entry in map(_parse_log_line, text.splitlines())
            if entry.get('event') == 'event loop late'
        )

    def failure_log(self) -> str:
        """Return the end of a log with a failure, else an empty text."""
        text = self._log_path.read_text(errors='replace')
        has_failure = 'Traceback' in text or 'background task failed' in text
        return text[-_LOG_TAIL_CHARS:] if has_failure else ''

    @property
    def _log_path(self) -> pathlib.Path:
        return self._folder / f'{self.name}.log'

    def _read_ports(self) -> bool:
        for line in self._log_path.read_text(errors='replace').splitlines():
            entry = _parse_log_line(line)
            if entry.get('event') == 'started':
                self.front_port = entry['port']
                self.ready_port = entry['readiness_port']
                return True
        return False


def _parse_log_line(line: str) -> dict[str, Any]:
    with contextlib.suppress(ValueError):
        entry = json.loads(line)
        if isinstance(entry, dict):
            return entry
    return {}
