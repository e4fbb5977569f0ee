"""One run: a deployment with its callers, and what they got.

Callers arrive independently of the answers. They wait as long as they are
told after a refusal that promises that nothing ran, and then ask another
host once.
"""

import collections
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from hdrh import histogram

from cardamomflow import (
    dispatching,
    extraload,
    hosting,
    requeststate,
    routes,
)
from cardamomflow.zonespill import overflowpolicy, policy
from lab import (
    bounds,
    deployments,
    hosts,
    plain,
    planner,
    servers,
    timeline,
)

SAMPLE_S = 0.1
_US_PER_S = 1_000_000
_LONGEST_US = 60 * _US_PER_S
_DIGITS = 3
_MS_PER_S = 1000


class Figures:
    """What the callers of one kind got."""

    def __init__(self, kind: deployments.Kind) -> None:
        """Start without requests."""
        self.kind = kind
        self.offered = 0
        self.in_target = 0
        self.ended: collections.Counter[str] = collections.Counter()
        self.worth: float = 0
        self.coverage: float = 0
        # Requests and answers in their target, by the zone of the caller.
        self.offered_by_zone: collections.Counter[str] = collections.Counter()
        self.in_target_by_zone: collections.Counter[str] = collections.Counter()
        self._latency = histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)

    def answered(self, zone: str, share: float, latency_s: float) -> None:
        """Count an answer with a share of its parts."""
        in_target = latency_s <= self.kind.target_s
        worth = self.kind.worth if in_target else self.kind.late_worth
        self.in_target += in_target
        self.in_target_by_zone[zone] += in_target
        self.worth += worth * share * share
        self.coverage += share
        self.ended['answered'] += 1
        self._latency.record_value(max(1, int(latency_s * _US_PER_S)))

    def quantile_ms(self, percent: float) -> float:
        """Return a quantile of the latency of answers."""
        microseconds = self._latency.get_value_at_percentile(percent)
        return microseconds * _MS_PER_S / _US_PER_S


class Sample(NamedTuple):
    """The state of a run at one time."""

    at_s: float
    waiting: int
    worth: float


class Asking(NamedTuple):
    """One request of a caller, from its first attempt on."""

    kind: deployments.Kind
    zone: str
    due_at: float
    is_repeat: bool


class World:
    """A deployment in virtual time."""

    def __init__(
        self, deployment: deployments.Deployment, seed: int, baseline: str
    ) -> None:
        """Create backend servers and hosts.

        Parameters
        ----------
        deployment : deployments.Deployment
        seed : int
        baseline : str
            `plain` or `planner` for a baseline, `zones` for the product
            where it decides what leaves a zone, anything else for the product.
        """
        self.clock = timeline.Timeline()
        self.deployment = deployment
        self.random = random.Random(seed)
        self.servers_by_id = {
            f'{service.name}-{number}': servers.BackendServer(
                f'{service.name}-{number}',
                service,
                number,
                self.clock,
                str(seed),
            )
            for service in deployment.services
            for number in range(len(service.zones))
        }
        self.rates_by_kind = {kind.name: kind.rate for kind in deployment.kinds}
        # Factor of the usual demand, by the zone of the callers.
        self.demand_by_zone = dict.fromkeys(deployment.hosts, 1.0)
        self.give_up_share: float = 0
        self.figures_by_kind = {
            kind.name: Figures(kind) for kind in deployment.kinds
        }
        self.samples: list[Sample] = []
        self.capacity = bounds.Capacity(deployment)
        self.policies_by_zone: dict[str, list[overflowpolicy.ZonePolicy]] = {}
        self._has_zone_policy = baseline == 'zones'
        central = planner.Planner(
            self.servers_by_id, deployment, random.Random(seed)
        )
        create = {'plain': _plain, 'planner': central.create}.get(
            baseline, self._create_dispatcher
        )
        self.hosts = [
            hosts.Host(
                zone,
                deployment,
                self.servers_by_id,
                self.clock,
                create,
                f'{seed}/{number}',
            )
            for number, zone in enumerate(deployment.hosts)
        ]
        if baseline == 'planner':
            central.attach(self.hosts)
        self._callers_random = random.Random(f'{seed}/callers')
        self._turns = itertools.count()

    def run(self, length_s: float) -> None:
        """Let callers come for a time, and wait for what is in progress."""
        zones = sorted(set(self.deployment.hosts))
        for kind in self.deployment.kinds:
            for zone in zones:
                self._schedule(kind, zone, len(zones), length_s)
        self._sample(length_s)
        self.clock.after(bounds.SECOND_S / 2, self._sample_capacity, length_s)
        last_s = max(kind.deadline_s for kind in self.deployment.kinds)
        self.clock.run(length_s + last_s)

    def change(self, backend_ids: list[str], **faults: object) -> None:
        """Set faults of backend servers."""
        for backend_id in backend_ids:
            server = self.servers_by_id[backend_id]
            server.faults = server.faults._replace(**faults)

    def set_listed(self, backend_ids: list[str], *, listed: bool) -> None:
        """Let all hosts learn that backend servers are listed, or not."""
        for backend_id in backend_ids:
            for host in self.hosts:
                host.set_listed(self.servers_by_id[backend_id], listed=listed)

    # Callers.

    def _schedule(
        self,
        kind: deployments.Kind,
        zone: str,
        zones: int,
        length_s: float,
    ) -> None:
        """Let the next request of a kind come from a zone."""
        rate = self.rates_by_kind[kind.name] / zones
        rate *= self.demand_by_zone[zone]
        delay_s = self._callers_random.expovariate(rate)
        if self.clock.now + delay_s >= length_s:
            return
        self.clock.after(delay_s, self._due, kind, zone)
        self.clock.after(delay_s, self._schedule, kind, zone, zones, length_s)

    def _due(self, kind: deployments.Kind, zone: str) -> None:
        figures = self.figures_by_kind[kind.name]
        figures.offered += 1
        figures.offered_by_zone[zone] += 1
        self.capacity.arrived(kind, self.clock.now)
        asking = Asking(kind, zone, self.clock.now, is_repeat=False)
        self.clock.after(self.deployment.client_s, self._ask, asking)

    def _ask(self, asking: Asking) -> None:
        kind = asking.kind
        left_s = asking.due_at + kind.deadline_s - self.clock.now
        if left_s <= 0:
            self.figures_by_kind[kind.name].ended['late'] += 1
            return
        services = kind.services
        if not kind.gathers:
            services = (services[next(self._turns) % len(services)],)
        near = [host for host in self.hosts if host.zone == asking.zone]
        chosen = self._callers_random.choice(near)
        if self._callers_random.random() < self.give_up_share:
            left_s = kind.target_s / 2
        chosen.ask(
            _route(kind, services),
            services,
            left_s,
            kind,
            lambda work, ending: self._ended(asking, work, ending),
        )

    def _ended(
        self,
        asking: Asking,
        work: requeststate.Work,
        ending: requeststate.Ending,
    ) -> None:
        """Take what a host says; the caller hears it later."""
        figures = self.figures_by_kind[asking.kind.name]
        way_s = self.deployment.client_s
        heard_at = self.clock.now + way_s
        if ending is requeststate.Ending.ANSWERED:
            share = work.answered_count / len(work.subrequests)
            figures.answered(asking.zone, share, heard_at - asking.due_at)
            return
        may_repeat = asking.kind.repeatable
        wait_s: float = 0
        if ending is requeststate.Ending.NOT_RUN:
            may_repeat = True
            wait_s = hosting.RETRY_AFTER_S
        if may_repeat and not asking.is_repeat:
            self.clock.after(
                way_s + wait_s, self._ask, asking._replace(is_repeat=True)
            )
            return
        figures.ended[ending.name.lower()] += 1

    def _sample(self, length_s: float) -> None:
        worth = sum(one.worth for one in self.figures_by_kind.values())
        waiting = sum(host.waiting for host in self.hosts)
        self.samples.append(Sample(self.clock.now, waiting, worth))
        if self.clock.now < length_s:
            self.clock.after(SAMPLE_S, self._sample, length_s)

    def _sample_capacity(self, length_s: float) -> None:
        """Note the working slots in the middle of each second."""
        slots_by_service: collections.Counter[str] = collections.Counter()
        for server in self.servers_by_id.values():
            slots_by_service[server.service.name] += server.working_slots
        self.capacity.sampled(slots_by_service)
        if self.clock.now + bounds.SECOND_S < length_s:
            self.clock.after(bounds.SECOND_S, self._sample_capacity, length_s)

    def _create_dispatcher(
        self, listed: object, zone: str, generator: random.Random
    ) -> hosts.Decisions:
        """Return the decisions of the product."""
        zone_policy: policy.Policy = policy.NEAREST
        if self._has_zone_policy:
            zone_policy = overflowpolicy.ZonePolicy(
                zone,
                overflowpolicy.Settings(
                    round_trip_s=2 * self.deployment.between_zones_s
                ),
                generator,
            )
            self.policies_by_zone.setdefault(zone, []).append(zone_policy)
        dispatcher = dispatching.Dispatcher(
            listed, zone, generator, zone_policy
        )
        connections_by_service = {
            service.name: service.connections
            for service in self.deployment.services
        }
        dispatcher.occupancy.apply(connections_by_service)
        dispatcher.update_sharing(
            extraload.FleetBudget(
                len(self.deployment.hosts),
                self.deployment.retry_share,
                self.deployment.retry_burst,
            )
        )
        return dispatcher


def _plain(listed: object, _: str, generator: random.Random) -> hosts.Decisions:
    return plain.PlainDecisions(listed, generator)


def _route(kind: deployments.Kind, services: tuple[str, ...]) -> routes.Route:
    shares = () if kind.gathers else (routes.ServiceShare(services[0], 1),)
    return routes.Route(
        name=kind.name,
        host='lab',
        prefix='/',
        shards=services if kind.gathers else (),
        shares=shares,
        repeatable=kind.repeatable,
        attempts=deployments.ATTEMPTS,
        timeout_s=kind.deadline_s,
        target_s=kind.target_s,
        rank=kind.rank,
        limit=1,
        minimum_share=kind.minimum_share,
    )


Scenario = Callable[[World], None]
