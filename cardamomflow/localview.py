"""Connection of an entry or aggregator process to its agent.

Owns the last view that the agent sent. The view outlives the agent: while no
agent answers, the process keeps what it knows and `age_s` grows.
"""

import abc
import random
import time
from typing import Any

import curio

from cardamomflow import configuration, errors, links, routing
from cardamomflow.generated import control_pb2

_RETRY_S = 0.5
# After a restart the agent knows little for a while. Within this time since
# the last view, what was ranked in it stays ranked. Peers keep the place of
# a lost aggregator for twice as long.
_CARRY_OVER_S = 30.0
_MS = 1000

Zones = dict[str, list[routing.Aggregator]]


class ViewListener(abc.ABC):
    """Takes changes of the view; the calls must not wait for traffic."""

    @abc.abstractmethod
    async def configuration_changed(
        self, new: configuration.Configuration
    ) -> None:
        """Take a configuration that came into force."""

    @abc.abstractmethod
    async def zones_changed(self, aggregators_by_zone: Zones) -> None:
        """Take the aggregators in the ranking of each zone."""

    @abc.abstractmethod
    async def hosts_changed(self, leaving_by_host: dict[str, bool]) -> None:
        """Take the signs of the host list.

        A host that the list no longer calls leaving is named with False.
        """


class LocalViewClient(links.LinkHandler[control_pb2.Message]):
    """Keeps the view of this process up to date.

    Attributes
    ----------
    invalid_count : int
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
        self.invalid_count = 0
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
        self._view = _View()
        self._revision = 0

    @property
    def age_s(self) -> float:
        """Seconds since the agent last spoke; infinite before that."""
        return time.monotonic() - self._view.heard_at

    @property
    def other_zones_age_s(self) -> float | None:
        """Seconds since the agent heard another availability zone.

        None when it never did, or when no agent spoke yet.
        """
        heard_at = self._view.other_zone_heard_at
        return None if heard_at is None else time.monotonic() - heard_at

    @property
    def is_connected(self) -> bool:
        """Whether there is a link to the agent."""
        return self._link is not None and self._link.is_open

    async def run(self) -> None:
        """Keep a link to the agent until cancelled."""
        while True:
            await self._serve_once()
            # Spreads the processes of a host after an agent's restart.
            await curio.sleep(_RETRY_S * self._random.uniform(1 / 2, 1))

    async def leave(self) -> None:
        """Tell the agent that this process stops; views still arrive."""
        self._hello.program = ''
        process_id = self._hello.process_id
        leaving = control_pb2.LocalLeaving(process_id=process_id)
        await self._post(control_pb2.Message(local_leaving=leaving))

    async def on_message(
        self,
        link: links.Link[control_pb2.Message],
        message: control_pb2.Message,
    ) -> None:
        """Take a view; one without members is only a sign of life."""
        if message.WhichOneof('body') != 'local_view':
            return
        now = time.monotonic()
        view = message.local_view
        self._view.take_silence(view, now)
        if not view.members:
            self._view.heard_at = now
            return
        await self._take_configuration(view.configuration)
        if self._view.take_zones(view, self._hello.process_id, now):
            await self._listener.zones_changed(self._view.zones)
        if self._view.take_hosts(view):
            await self._listener.hosts_changed(self._view.leaving_by_host)

    async def on_closed(self, link: links.Link[control_pb2.Message]) -> None:
        """Keep the last view."""
        self._link = None

    def make_ping(self) -> control_pb2.Message:
        """Return the hello; the agent answers it with a sign of life."""
        return control_pb2.Message(local_hello=self._hello)

    async def _serve_once(self) -> None:
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
        self._view.link_opened()
        await self._post(self.make_ping())
        await link.run()

    async def _post(self, message: control_pb2.Message) -> None:
        if self._link is not None:
            await self._link.post_if_open(message)

    async def _take_configuration(
        self, document: control_pb2.ConfigurationDocument
    ) -> None:
        # A restarted agent may know an older revision for a moment.
        if document.revision <= self._revision:
            return
        try:
            found = configuration.Configuration.decode(document.compressed)
        except errors.InvalidDocument:
            self.invalid_count += 1
            return
        self._revision = found.revision
        await self._listener.configuration_changed(found)


class _View:
    """Last view and the rules by which a new one replaces it."""

    def __init__(self) -> None:
        """Start without a view."""
        self.heard_at = float('-inf')
        self.other_zone_heard_at: float | None = None
        self.zones: Zones = {}
        self.leaving_by_host: dict[str, bool] = {}
        self._carried: Zones = {}
        self._carried_until = float('-inf')

    def link_opened(self) -> None:
        """Keep the ranking until the new agent's view is complete."""
        self._carried = self.zones
        self._carried_until = self.heard_at + _CARRY_OVER_S

    def take_silence(self, view: control_pb2.LocalView, now: float) -> None:
        """Take for how long no other availability zone was heard."""
        self.other_zone_heard_at = None
        if view.HasField('other_zones_silent_ms'):
            self.other_zone_heard_at = now - view.other_zones_silent_ms / _MS

    def take_zones(
        self, view: control_pb2.LocalView, process_id: str, now: float
    ) -> bool:
        """Take the rankings of a view; tell whether they changed."""
        zones = {
            zone.availability_zone: [
                routing.Aggregator(found.id, found.address, found.port)
                for found in zone.aggregators
            ]
            for zone in view.zones
        }
        if self._carried and not self._carries(view, zones, process_id, now):
            self._carried = {}
        zones = _joined(zones, self._carried)
        changed = zones != self.zones
        self.heard_at = now
        self.zones = zones
        return changed

    def take_hosts(self, view: control_pb2.LocalView) -> bool:
        """Take the signs of a view; tell whether they changed."""
        signs = {sign.host_id: sign.leaving for sign in view.host_signs}
        for host_id in self.leaving_by_host:
            signs.setdefault(host_id, False)
        changed = signs != self.leaving_by_host
        self.leaving_by_host = signs
        return changed

    def _carries(
        self,
        view: control_pb2.LocalView,
        zones: Zones,
        process_id: str,
        now: float,
    ) -> bool:
        """Tell whether the last ranking still counts beside the new one.

        It does until the agent has settled and ranks this process again if
        it was ranked before. Both rankings together never let a process
        hold more than one of them alone would.
        """
        if now > self._carried_until:
            return False
        # The agent's own record comes first.
        joining = control_pb2.MEMBER_STATE_JOINING
        if view.members[0].state == joining:
            return True
        was_ranked = process_id in _ids(self._carried)
        return was_ranked and process_id not in _ids(zones)


def _ids(zones: Zones) -> set[str]:
    return {
        aggregator.aggregator_id
        for aggregators in zones.values()
        for aggregator in aggregators
    }


def _joined(zones: Zones, carried: Zones) -> Zones:
    joined = dict(zones)
    known_ids = _ids(zones)
    for zone, aggregators in carried.items():
        missing = [
            aggregator
            for aggregator in aggregators
            if aggregator.aggregator_id not in known_ids
        ]
        if missing:
            joined[zone] = [*joined.get(zone, []), *missing]
    return joined
