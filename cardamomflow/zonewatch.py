"""Watch over the zones that a host can reach, and over what it can serve.

Owns the probes of silent zones and whether this host is cut off. Which zone
seems silent is decided by `reachability`.
"""

from collections.abc import Callable

import curio

from cardamomflow import (
    context,
    directory,
    dispatching,
    events,
    routes,
)
from cardamomflow.platform import backendlink

# Time between looks at silent zones, and for an answer to a probe.
ZONE_CHECK_S = 0.2
# One backend server may have crashed without a word.
PROBED_BACKENDS = 2


class ZoneWatch:
    """Zones of one host."""

    def __init__(
        self,
        process_context: context.Context,
        listed: directory.Directory,
        dispatcher: dispatching.Dispatcher,
        transport: backendlink.Transport,
    ) -> None:
        """Start with every zone reachable."""
        self.is_cut_off = False
        self.turn_away: Callable[[bool], None] = _ignore
        self._journal = process_context.journal
        self._random = process_context.random
        self._clock = process_context.clock
        self._directory = listed
        self._dispatcher = dispatcher
        self._reachability = dispatcher.reachability
        self._transport = transport
        self._needs: set[tuple[tuple[str, ...], int]] = set()

    def apply(self, table: routes.RouteTable) -> None:
        """Take the routes that have to be served."""
        self._needs = table.needs()

    async def run(self) -> None:
        """Find zones that fell silent and that are back, until cancelled."""
        while True:
            await curio.sleep(ZONE_CHECK_S)
            suspects = self._reachability.check(self._clock())
            suspects.extend(self._reachability.silent_zones)
            for zone in set(suspects):
                await curio.spawn(self._probe, zone, daemon=True)
            self._judge_isolation()

    async def _probe(self, zone: str) -> None:
        """Ask backend servers of a silent zone for a connection."""
        backends = [
            backend
            for backend in self._directory.backends_by_id.values()
            if backend.availability_zone == zone
        ]
        count = min(PROBED_BACKENDS, len(backends))
        answers = not backends
        for backend in self._random.sample(backends, count):
            answers = answers or await self._transport.can_connect(
                backend, ZONE_CHECK_S
            )
        if answers and self._reachability.answered(zone):
            self._journal.info(events.Event.ZONE_ANSWERS, zone=zone)
        elif not answers and self._reachability.lost(zone, self._clock()):
            self._journal.warning(events.Event.ZONE_SILENT, zone=zone)

    def _judge_isolation(self) -> None:
        """Leave the callers to other zones while requests can't be served."""
        before, self.is_cut_off = self.is_cut_off, self._is_isolated()
        if self.is_cut_off != before:
            self.turn_away(self.is_cut_off)
            event = events.Event.CONNECTED_AGAIN
            if self.is_cut_off:
                event = events.Event.CUT_OFF
            self._journal.warning(
                event,
                silent_zones=sorted(self._reachability.silent_zones),
            )

    def _is_isolated(self) -> bool:
        if self._reachability.silent_since() is None:
            return False
        return any(
            not self._dispatcher.can_serve(services, needed)
            for services, needed in self._needs
        )


def _ignore(_: bool) -> None:
    """Stand in until there is a server to tell."""
