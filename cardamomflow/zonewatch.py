"""Monitor of the zones that a host can reach and the routes it can serve.

Probes the zones that `reachability` suspects to be silent. A host is cut off
while a zone is silent and the host can't serve one of its routes.
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

# Interval between checks of the zones, and timeout of a probe.
ZONE_CHECK_S = 0.2
# More than one, since a single backend server may have crashed.
PROBED_BACKENDS = 2


class ZoneWatch:
    """Probes the zones of one host and detects when it is cut off."""

    def __init__(
        self,
        process_context: context.Context,
        backend_directory: directory.Directory,
        dispatcher: dispatching.Dispatcher,
        transport: backendlink.Transport,
    ) -> None:
        """Start with every zone reachable."""
        self.is_cut_off = False
        self.on_cut_off_change: Callable[[bool], None] = _ignore
        self._journal = process_context.journal
        self._random = process_context.random
        self._clock = process_context.clock
        self._directory = backend_directory
        self._dispatcher = dispatcher
        self._reachability = dispatcher.reachability
        self._transport = transport
        # Services of each route, and how many of them must answer.
        self._requirements: set[tuple[tuple[str, ...], int]] = set()

    def apply(self, table: routes.RouteTable) -> None:
        """Set the routes that have to be served."""
        self._requirements = table.requirements()

    async def run(self) -> None:
        """Detect zones that stop and resume answering, until cancelled."""
        while True:
            await curio.sleep(ZONE_CHECK_S)
            for evacuated_zone in self._directory.evacuated_zones:
                # It gets no probes either.
                self._reachability.forget(evacuated_zone)
            suspects = self._reachability.check(self._clock())
            suspects.extend(self._reachability.silent_zones)
            for zone in set(suspects):
                await curio.spawn(self._probe, zone, daemon=True)
            self._update_cut_off()

    async def _probe(self, zone: str) -> None:
        """Try connections to some backend servers of a silent zone."""
        backends = [
            backend
            for backend in self._directory.backends_by_id.values()
            if backend.availability_zone == zone
        ]
        count = min(PROBED_BACKENDS, len(backends))
        is_reachable = not backends
        for backend in self._random.sample(backends, count):
            is_reachable = is_reachable or await self._transport.can_connect(
                backend, ZONE_CHECK_S
            )
        if is_reachable and self._reachability.record_answer(zone):
            self._journal.info(events.Event.ZONE_ANSWERS, zone=zone)
        elif not is_reachable and self._reachability.mark_silent(
            zone, self._clock()
        ):
            self._journal.warning(events.Event.ZONE_SILENT, zone=zone)

    def _update_cut_off(self) -> None:
        """Update whether this host is cut off; report a change.

        Callers are sent to other zones while a route can't be served.
        """
        before, self.is_cut_off = (
            self.is_cut_off,
            self._has_unservable_route(),
        )
        if self.is_cut_off != before:
            self.on_cut_off_change(self.is_cut_off)
            event = events.Event.CONNECTED_AGAIN
            if self.is_cut_off:
                event = events.Event.CUT_OFF
            self._journal.warning(
                event,
                silent_zones=sorted(self._reachability.silent_zones),
            )

    def _has_unservable_route(self) -> bool:
        if self._reachability.silent_since() is None:
            return False
        return any(
            not self._dispatcher.can_serve(services, needed)
            for services, needed in self._requirements
        )


def _ignore(_: bool) -> None:
    """Do nothing; default of `on_cut_off_change`."""
