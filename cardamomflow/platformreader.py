"""Reads the configuration and the host list from the platform for an agent.

Owns the newest configuration revision that was read. The `PlatformListener`
receives the results and decides what to do with them.
"""

import abc
from typing import TYPE_CHECKING, Any

import curio

from cardamomflow import configuration, errors

if TYPE_CHECKING:
    from cardamomflow import platform

# Polled in addition to the watch, because a watch can miss an event without an
# error. 2 s leave 3 s of the time limit for the propagation.
READ_INTERVAL_S = 2.0
WATCH_WAIT_S = 10.0
# Ends calls that the platform accepts and never answers.
CALL_TIMEOUT_S = 1.5
_IDLE_POLL_S = 0.25
_RETRY_S = 1.0
# Randomizes the interval, so the watchers of a zone read at different times.
_MIN_INTERVAL_SHARE = 0.9


class PlatformListener(abc.ABC):
    """Receives the data read from the platform."""

    @abc.abstractmethod
    def is_watcher(self) -> bool:
        """Return whether this agent reads the platform for its zone."""

    @abc.abstractmethod
    async def on_configuration_read(self, stored: bytes) -> None:
        """Handle the stored configuration, which may be an old one."""

    @abc.abstractmethod
    async def on_hosts_read(self, leaving_by_host: dict[str, str]) -> None:
        """Handle the addresses of the leaving hosts, by host id."""


class PlatformWatcher:
    """Polls and watches the platform while its agent is a zone watcher."""

    def __init__(
        self,
        source: 'platform.Platform',
        context: Any,
        listener: PlatformListener,
    ) -> None:
        self._platform = source
        self._metrics = context.metrics
        self._random = context.random
        self._listener = listener
        self._last_revision = 0

    async def run(self) -> None:
        """Poll and watch until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._repeat, self._read, READ_INTERVAL_S)
            await group.spawn(self._repeat, self._read_hosts, READ_INTERVAL_S)
            await group.spawn(self._repeat, self._watch, 0)

    async def _repeat(self, step: Any, interval_s: float) -> None:
        while True:
            if not self._listener.is_watcher():
                await curio.sleep(_IDLE_POLL_S)
                continue
            try:
                await step()
            except (errors.FlowError, curio.TaskTimeout):
                self._metrics.increment('agent.platform_failed')
                # The random wait spreads the calls of all watchers after an
                # outage.
                await curio.sleep(_RETRY_S * self._random.uniform(0.5, 1))
                continue
            await curio.sleep(
                interval_s * self._random.uniform(_MIN_INTERVAL_SHARE, 1)
            )

    async def _read(self) -> None:
        entry = await curio.timeout_after(
            CALL_TIMEOUT_S,
            self._platform.read_if_changed,
            configuration.KEY,
            self._last_revision,
        )
        await self._report(entry)

    async def _watch(self) -> None:
        entry = await curio.timeout_after(
            WATCH_WAIT_S + CALL_TIMEOUT_S,
            self._platform.watch,
            configuration.KEY,
            self._last_revision,
            WATCH_WAIT_S,
        )
        if entry is None or entry.revision <= self._last_revision:
            # Prevents a busy loop when the store answers immediately without a
            # new revision.
            await curio.sleep(_IDLE_POLL_S)
        await self._report(entry)

    async def _report(self, entry: Any) -> None:
        if entry is None:
            return
        self._last_revision = max(self._last_revision, entry.revision)
        await self._listener.on_configuration_read(entry.value)

    async def _read_hosts(self) -> None:
        hosts = await curio.timeout_after(CALL_TIMEOUT_S, self._platform.hosts)
        await self._listener.on_hosts_read(
            {
                host.host_id: host.address
                for host in hosts
                if host.state == 'leaving'
            }
        )
