"""Connection of an entry or aggregator process to its agent.

Stores the last view that the agent sent. While the agent does not answer, the
process keeps using that view and `age_s` grows.
"""

import abc
import random
import time
from typing import Any

import curio

from cardamomflow import configuration, errors, links, routing
from cardamomflow.generated import control_pb2

_RECONNECT_INTERVAL_S = 0.5
# The records of a restarted agent are incomplete at first. For this time after
# the last view, the aggregators in that view therefore stay ranked. Peers keep
# a lost aggregator in the ranking for twice as long.
_RANKING_RETENTION_S = 30.0
_MS = 1000

AggregatorsByZone = dict[str, list[routing.Aggregator]]


class ViewListener(abc.ABC):
    """Receives view changes; its methods must not wait for the network."""

    @abc.abstractmethod
    async def on_configuration_changed(
        self, new: configuration.Configuration
    ) -> None:
        """Apply a new configuration."""

    @abc.abstractmethod
    async def on_zones_changed(
        self, aggregators_by_zone: AggregatorsByZone
    ) -> None:
        """Apply a changed ranking of the aggregators of each zone."""

    @abc.abstractmethod
    async def on_hosts_changed(self, leaving_by_host: dict[str, bool]) -> None:
        """Apply a change of the hosts that are leaving.

        A host that is no longer marked as leaving is listed with False.
        """


class LocalViewClient(links.LinkHandler[control_pb2.Message]):
    """Keeps the view of this process up to date.

    Attributes
    ----------
    invalid_configuration_count : int
        Configurations that could not be used and were ignored.
    is_connected : bool
    """

    def __init__(
        self,
        settings: Any,
        program: str,
        endpoint: tuple[str, int],
        listener: ViewListener,
    ) -> None:
        """Register `endpoint` of a program with the agent of the host.

        Parameters
        ----------
        settings : dict
            `process_id` and `agent` of the program's settings are used.
        program : str
            `entry` or `aggregator`.
        endpoint : tuple of str and int
            Address and port where the process listens.
        listener : ViewListener
        """
        self.invalid_configuration_count = 0
        self._agent = settings['agent']
        self._hello = control_pb2.LocalHello(
            process_id=settings['process_id'],
            program=program,
            endpoint=control_pb2.Endpoint(
                id=settings['process_id'],
                address=endpoint[0],
                port=endpoint[1],
            ),
        )
        self._listener = listener
        self._random = random.Random(settings['process_id'])  # noqa: S311
        self._link: links.Link[control_pb2.Message] | None = None
        self._view = _ViewState()
        self._revision = 0

    @property
    def age_s(self) -> float:
        """Seconds since the agent's last message; infinite before the first."""
        return time.monotonic() - self._view.received_at

    @property
    def other_zones_age_s(self) -> float | None:
        """Seconds since the agent received a message from another zone.

        None if it never did, or if no view has arrived yet.
        """
        received_at = self._view.other_zone_received_at
        return None if received_at is None else time.monotonic() - received_at

    @property
    def is_connected(self) -> bool:
        """Whether there is a link to the agent."""
        return self._link is not None and self._link.is_open

    async def run(self) -> None:
        """Keep a link to the agent until cancelled."""
        while True:
            await self._connect_once()
            # Spreads the reconnects of a host's processes when the agent
            # restarts.
            await curio.sleep(
                _RECONNECT_INTERVAL_S * self._random.uniform(1 / 2, 1)
            )

    async def leave(self) -> None:
        """Notify the agent that this process stops; views still arrive."""
        self._hello.program = ''
        process_id = self._hello.process_id
        leaving = control_pb2.LocalLeaving(process_id=process_id)
        await self._post(control_pb2.Message(local_leaving=leaving))

    async def on_message(
        self,
        link: links.Link[control_pb2.Message],
        message: control_pb2.Message,
    ) -> None:
        """Apply a view; one without members is only a heartbeat."""
        if message.WhichOneof('body') != 'local_view':
            return
        now = time.monotonic()
        view = message.local_view
        self._view.update_other_zones_silence(view, now)
        if not view.members:
            self._view.received_at = now
            return
        await self._update_configuration(view.configuration)
        if self._view.update_zones(view, self._hello.process_id, now):
            await self._listener.on_zones_changed(self._view.zones)
        if self._view.update_hosts(view):
            await self._listener.on_hosts_changed(self._view.leaving_by_host)

    async def on_closed(self, link: links.Link[control_pb2.Message]) -> None:
        """Drop the closed link and keep the last view."""
        self._link = None

    def make_ping(self) -> control_pb2.Message:
        """Return the hello, which the agent answers with a heartbeat."""
        return control_pb2.Message(local_hello=self._hello)

    async def _connect_once(self) -> None:
        try:
            link = await links.connect(
                self._agent['address'],
                self._agent['port'],
                control_pb2.Message,
                self,
            )
        except errors.ConnectFailed:
            return
        self._link = link
        self._view.on_link_opened()
        await self._post(self.make_ping())
        await link.run()

    async def _post(self, message: control_pb2.Message) -> None:
        if self._link is not None:
            await self._link.post_if_open(message)

    async def _update_configuration(
        self, document: control_pb2.ConfigurationDocument
    ) -> None:
        # A restarted agent may send an older revision at first.
        if document.revision <= self._revision:
            return
        try:
            new = configuration.Configuration.decode(document.compressed)
        except errors.InvalidDocument:
            self.invalid_configuration_count += 1
            return
        self._revision = new.revision
        await self._listener.on_configuration_changed(new)


class _ViewState:
    """Last view and the rules by which a new one replaces it."""

    def __init__(self) -> None:
        self.received_at = float('-inf')
        self.other_zone_received_at: float | None = None
        self.zones: AggregatorsByZone = {}
        self.leaving_by_host: dict[str, bool] = {}
        self._retained_zones: AggregatorsByZone = {}
        self._retained_until = float('-inf')

    def on_link_opened(self) -> None:
        """Retain the ranking until the agent's view is complete."""
        self._retained_zones = self.zones
        self._retained_until = self.received_at + _RANKING_RETENTION_S

    def update_other_zones_silence(
        self, view: control_pb2.LocalView, now: float
    ) -> None:
        """Update when the agent last received a message from another zone."""
        self.other_zone_received_at = None
        if view.HasField('other_zones_silent_ms'):
            self.other_zone_received_at = now - view.other_zones_silent_ms / _MS

    def update_zones(
        self, view: control_pb2.LocalView, process_id: str, now: float
    ) -> bool:
        """Update the rankings from a view; return whether they changed."""
        zones = {
            zone.availability_zone: [
                routing.Aggregator(endpoint.id, endpoint.address, endpoint.port)
                for endpoint in zone.aggregators
            ]
            for zone in view.zones
        }
        if self._retained_zones and not self._retains_ranking(
            view, zones, process_id, now
        ):
            self._retained_zones = {}
        zones = _merge_zones(zones, self._retained_zones)
        changed = zones != self.zones
        self.received_at = now
        self.zones = zones
        return changed

    def update_hosts(self, view: control_pb2.LocalView) -> bool:
        """Update the leaving hosts; return whether they changed."""
        leaving_by_id = {sign.host_id: sign.leaving for sign in view.host_signs}
        for host_id in self.leaving_by_host:
            leaving_by_id.setdefault(host_id, False)
        changed = leaving_by_id != self.leaving_by_host
        self.leaving_by_host = leaving_by_id
        return changed

    def _retains_ranking(
        self,
        view: control_pb2.LocalView,
        zones: AggregatorsByZone,
        process_id: str,
        now: float,
    ) -> bool:
        """Return whether the last ranking is still merged into the new one.

        It is merged until the agent has joined and, if this process was
        ranked before, ranks it again. Merging only adds aggregators, so no
        process may connect to a service that neither ranking alone allows.
        """
        if now > self._retained_until:
            return False
        # The agent's own record comes first.
        joining = control_pb2.MEMBER_STATE_JOINING
        if view.members[0].state == joining:
            return True
        was_ranked = process_id in _aggregator_ids(self._retained_zones)
        return was_ranked and process_id not in _aggregator_ids(zones)


def _aggregator_ids(zones: AggregatorsByZone) -> set[str]:
    return {
        aggregator.aggregator_id
        for aggregators in zones.values()
        for aggregator in aggregators
    }


def _merge_zones(
    zones: AggregatorsByZone, retained: AggregatorsByZone
) -> AggregatorsByZone:
    merged = dict(zones)
    known_ids = _aggregator_ids(zones)
    for zone, aggregators in retained.items():
        missing = [
            aggregator
            for aggregator in aggregators
            if aggregator.aggregator_id not in known_ids
        ]
        if missing:
            merged[zone] = [*merged.get(zone, []), *missing]
    return merged
