"""Reading of the platform by an agent: configuration and host list.

Owns the platform's modification number that was last seen. Decides nothing:
what it reads goes to the `PlatformListener`.
"""

import abc
from typing import TYPE_CHECKING, Any

import curio

from cardamomflow import configuration, errors

if TYPE_CHECKING:
    from cardamomflow import platform

# Read beside the watch, because a watch can fail to deliver an event
# without an error; 2 s leave 3 s of the bound for the propagation.
READ_INTERVAL_S = 2.0
WATCH_WAIT_S = 10.0
# Bounds a platform that accepts a call and never answers it.
CALL_TIMEOUT_S = 1.5
_IDLE_POLL_S = 0.25
_RETRY_S = 1.0
# The watchers of a zone read at different times.
_LEAST_SHARE = 0.9


class PlatformListener(abc.ABC):
    """Takes what was read."""

    @abc.abstractmethod
    def is_watcher(self) -> bool:
        """Tell whether this agent reads the platform for its zone."""

    @abc.abstractmethod
    async def value_read(self, stored: bytes) -> None:
        """Take the stored configuration; it may be an old one."""

    @abc.abstractmethod
    async def hosts_read(self, leaving_by_host: dict[str, str]) -> None:
        """Take the addresses of the leaving hosts by host id."""


class PlatformWatcher:
    """Follows the platform while this agent is a watcher of its zone."""

    def __init__(
        self,
        source: 'platform.Platform',
        context: Any,
        listener: PlatformListener,
    ) -> None:
        """Take the platform and who is told."""
        self._platform = source
        self._metrics = context.metrics
        self._random = context.random
        self._listener = listener
        self._modification = 0

    async def run(self) -> None:
        """Follow until cancelled."""
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
                # Spreads the calls after an outage.
                await curio.sleep(_RETRY_S * self._random.uniform(0.5, 1))
                continue
            await curio.sleep(
                interval_s * self._random.uniform(_LEAST_SHARE, 1)
            )

    async def _read(self) -> None:
        entry = await curio.timeout_after(
            CALL_TIMEOUT_S,
            self._platform.read_changed,
            configuration.KEY,
            self._modification,
        )
        await self._take(entry)

    async def _watch(self) -> None:
        entry = await curio.timeout_after(
            WATCH_WAIT_S + CALL_TIMEOUT_S,
            self._platform.watch,
            configuration.KEY,
            self._modification,
            WATCH_WAIT_S,
        )
        if entry is None or entry.revision <= self._modification:
            # A store that answers at once with nothing new is not spun on.
            await curio.sleep(_IDLE_POLL_S)
        await self._take(entry)

    async def _take(self, entry: Any) -> None:
        if entry is None:
            return
        self._modification = max(self._modification, entry.revision)
        await self._listener.value_read(entry.value)

    async def _read_hosts(self) -> None:
        found = await curio.timeout_after(CALL_TIMEOUT_S, self._platform.hosts)
        await self._listener.hosts_read(
            {
                host.host_id: host.address
                for host in found
                if host.state == 'leaving'
            }
        )
