"""Seeded traces in which a zone may have to send work to other zones.

Callers of each zone ask the hosts of their zone. Each trace runs with the
policy of `cardamomflow.zonespill`, with the central planner as the baseline,
and with the choice by waits alone that hosts make without the policy.
"""

import collections
from collections.abc import Callable, Iterable
from concurrent import futures
from typing import NamedTuple

from cardamomflow import rules
from lab import deployments, experiments, servers, worlds

POLICY = 'zones'
PLANNER = 'planner'
BY_WAIT = 'product'
LENGTH_S = 26.0
BEGIN_S = 3.0
END_S = 21.0
BURST_S = 0.2
BURST_EVERY_S = 2.0
WAVE_FACTOR = 1.7
SLOW_FACTOR = 8.0
SAMPLE_S = 0.1
ZONES = ('a', 'b', 'c')
URGENT_KIND = 'check'
SERVERS_PER_ZONE = 4
_SERVICES = ('lots', 'prices')
_USUAL_LOAD = 0.7
_URGENT, _STANDARD, _BULK = rules.Rank


class BulkTimes(NamedTuple):
    """Mean work, target and deadline of bulk work in seconds."""

    work_s: float
    target_s: float
    deadline_s: float


USUAL_BULK = BulkTimes(0.08, 1.0, 3.0)
# Bulk work that can wait at home for nearly as long as the trouble lasts.
PATIENT_BULK = BulkTimes(0.16, 1.5, 6.0)
PATIENT_END_S = 12.0
# Zones, shards and load of the traces with few replicas. No zone has two
# replicas of a shard, and each server pauses at times of its own.
FEW_REPLICAS_ZONES = ('a', 'b', 'c', 'd')
SHARDS = 20
PAUSE_S = 0.12
PAUSE_EVERY_S = 3.0
BURST_FACTOR = 1.7
# Part of the servers that are slow during the burst, and by how much.
SLOW_SHARE = 0.15
SLOW_SERVER_FACTOR = 4.0
_SEARCHES_PER_S = 53.0
_CHECKS_PER_S = 18.5
_STATEMENTS_PER_S = 20.0


class Run(NamedTuple):
    """One run of a trace; see `run`."""

    name: str
    decisions: str
    seed: int
    hosts_per_zone: int = 2


class ZoneOutcome(NamedTuple):
    """Figures of a run.

    Attributes
    ----------
    in_target : dict of (str, str) to float
        Share of the requests answered within their target, by the zone of the
        caller and the kind.
    answered : dict of str to float
        Share of the requests of a kind that were answered at all.
    calls : dict of (str, str) to int
        Calls from one zone to another. A call and its answer have the same size
        in all runs, so the ratio of two runs is the ratio of their bytes.
    shares : dict of str to list of (float, float)
        Time and the mean share of the hosts of a zone.
    largest_load : dict of str to float
        Largest mean of used and wanted slots of a zone over a second, as a part
        of its slots.
    in_target_by_kind : dict of str to float
        Share of the requests of a kind answered within their target.
    """

    in_target: dict[tuple[str, str], float]
    answered: dict[str, float]
    calls: dict[tuple[str, str], int]
    shares: dict[str, list[tuple[float, float]]]
    largest_load: dict[str, float]
    in_target_by_kind: dict[str, float]

    @property
    def urgent(self) -> float:
        """Share of urgent requests of the zone in trouble that are in time."""
        return self.in_target[ZONES[0], URGENT_KIND]

    @property
    def calls_between_zones(self) -> int:
        """Calls from any zone to another."""
        return sum(self.calls.values())


def deployment(
    hosts_per_zone: int = 2, bulk: BulkTimes = USUAL_BULK
) -> deployments.Deployment:
    """Return three equal zones whose servers are busy for 0.7 of the time."""
    services = tuple(
        deployments.Service(
            name,
            tuple(zone for zone in ZONES for _ in range(SERVERS_PER_ZONE)),
            slots=2,
            connections=60,
            connection_s=0.001,
        )
        for name in _SERVICES
    )
    slots = 2 * SERVERS_PER_ZONE * len(ZONES) * len(_SERVICES)
    shares_by_name = {'check': 0.3, 'search': 0.5, 'statement': 0.2}
    works_by_name = {'check': 0.02, 'search': 0.04, 'statement': bulk.work_s}
    mean_s = sum(
        share * works_by_name[name] for name, share in shares_by_name.items()
    )
    rate = _USUAL_LOAD * slots / mean_s
    times = {
        'check': (_URGENT, 0.12, 0.8),
        'search': (_STANDARD, 0.3, 1.5),
        'statement': (_BULK, bulk.target_s, bulk.deadline_s),
    }
    kinds = tuple(
        deployments.Kind(
            name,
            rank,
            rate * shares_by_name[name],
            _SERVICES,
            gathers=False,
            minimum_share=1.0,
            work_s=works_by_name[name],
            spread=0.35,
            tail_share=0,
            tail_factor=1,
            target_s=target_s,
            deadline_s=deadline_s,
            repeatable=True,
            worth=1,
            late_worth=0.1,
        )
        for name, (rank, target_s, deadline_s) in times.items()
    )
    return deployments.Deployment(
        'zones',
        tuple(zone for zone in ZONES for _ in range(hosts_per_zone)),
        services,
        kinds,
        call_cpu_s=0.0001,
    )


def few_replicas() -> deployments.Deployment:
    """Return 8 hosts in 4 zones, with shards that two zones have once each.

    The work that is not split has one backend server in each zone.
    """
    zones = FEW_REPLICAS_ZONES
    shards = tuple(
        deployments.Service(
            f'shard-{number}',
            (zones[number % len(zones)], zones[(number + 1) % len(zones)]),
            pause_s=PAUSE_S,
            pause_every_s=PAUSE_EVERY_S,
            holds_running=True,
        )
        for number in range(SHARDS)
    )
    statements = deployments.Service(
        'statements',
        zones,
        connections=110,
        connection_s=0.001,
        pause_s=PAUSE_S,
        pause_every_s=PAUSE_EVERY_S,
        holds_running=True,
    )
    search = deployments.Kind(
        'search',
        _STANDARD,
        _SEARCHES_PER_S,
        tuple(shard.name for shard in shards),
        gathers=True,
        minimum_share=0.89,
        work_s=0.0165,
        spread=0.35,
        tail_share=0.01,
        tail_factor=5,
        target_s=0.118,
        deadline_s=1.5,
        repeatable=True,
        worth=1,
        late_worth=0.1,
    )
    check = search._replace(
        name=URGENT_KIND,
        rank=_URGENT,
        rate=_CHECKS_PER_S,
        minimum_share=0.75,
        work_s=0.0057,
        target_s=0.056,
        deadline_s=0.8,
    )
    statement = search._replace(
        name='statement',
        rank=_BULK,
        rate=_STATEMENTS_PER_S,
        services=(statements.name,),
        gathers=False,
        minimum_share=1.0,
        work_s=0.135,
        spread=0.5,
        tail_share=0,
        target_s=0.944,
        deadline_s=6.0,
        repeatable=False,
    )
    return deployments.Deployment(
        'few_replicas',
        tuple(zone for zone in zones for _ in range(2)),
        (*shards, statements),
        (check, search, statement),
    )


def calm(world: worlds.World) -> None:
    """Change nothing."""


def pauses(world: worlds.World) -> None:
    """Single replicas that pause, at the usual demand."""


def pauses_burst(world: worlds.World) -> None:
    """Single replicas that pause, a burst of demand, and slow servers."""
    zones = FEW_REPLICAS_ZONES
    slow_ids = world.random.sample(
        list(world.servers_by_id), round(SLOW_SHARE * len(world.servers_by_id))
    )
    world.clock.after(
        BEGIN_S, lambda: world.change(slow_ids, factor=SLOW_SERVER_FACTOR)
    )
    world.clock.after(END_S, lambda: world.change(slow_ids, factor=1.0))
    burst = dict.fromkeys(zones, BURST_FACTOR)
    world.clock.after(BEGIN_S, world.demand_by_zone.update, burst)
    usual = dict.fromkeys(zones, 1.0)
    world.clock.after(END_S, world.demand_by_zone.update, usual)


def half_lost(world: worlds.World) -> None:
    """A zone loses half of its backend servers."""
    _lose(world, 'a', SERVERS_PER_ZONE // 2)


def half_lost_patient(world: worlds.World) -> None:
    """A zone loses half of its servers for 9 s, and bulk work can wait."""
    _lose(world, 'a', SERVERS_PER_ZONE // 2, PATIENT_END_S)


def slow(world: worlds.World) -> None:
    """All backend servers of all zones take eight times as long."""
    _fault(world, ZONES, factor=SLOW_FACTOR)


def slow_zone(world: worlds.World) -> None:
    """All backend servers of one zone take eight times as long."""
    _fault(world, 'a', factor=SLOW_FACTOR)


def wave(world: worlds.World) -> None:
    """Demand moves from one zone to the next."""
    step_s = (END_S - BEGIN_S) / len(ZONES)
    low = (len(ZONES) - WAVE_FACTOR) / (len(ZONES) - 1)
    for step, high_zone in enumerate(ZONES):
        demand = {
            zone: WAVE_FACTOR if zone == high_zone else low for zone in ZONES
        }
        world.clock.after(
            BEGIN_S + step * step_s, world.demand_by_zone.update, demand
        )
    world.clock.after(
        END_S, world.demand_by_zone.update, dict.fromkeys(ZONES, 1.0)
    )


def bursts(world: worlds.World) -> None:
    """The demand of one zone doubles for 200 ms, again and again."""
    starts = int((END_S - BEGIN_S) / BURST_EVERY_S)
    for number in range(starts):
        begin_s = BEGIN_S + number * BURST_EVERY_S
        world.clock.after(begin_s, world.demand_by_zone.update, {'a': 2.0})
        world.clock.after(
            begin_s + BURST_S, world.demand_by_zone.update, {'a': 1.0}
        )


def all_full(world: worlds.World) -> None:
    """All zones have too much work."""
    demand = dict.fromkeys(ZONES, 1.0 / _USUAL_LOAD * 1.2)
    world.clock.after(BEGIN_S, world.demand_by_zone.update, demand)
    world.clock.after(
        END_S, world.demand_by_zone.update, dict.fromkeys(ZONES, 1.0)
    )


def half_lost_late(world: worlds.World) -> None:
    """A zone loses half of its servers, and reports are half a second old."""
    half_lost(world)
    _fault(world, ZONES, report_lag_s=0.5)


def half_lost_false(world: worlds.World) -> None:
    """A zone loses half of its servers, and another one's report no load."""
    half_lost(world)
    _fault(world, 'b', hides_load=True)


TRACES_BY_NAME: dict[str, worlds.Scenario] = {
    trace.__name__: trace
    for trace in (
        calm,
        half_lost,
        half_lost_patient,
        slow,
        slow_zone,
        wave,
        bursts,
        all_full,
        half_lost_late,
        half_lost_false,
        pauses,
        pauses_burst,
    )
}
FEW_REPLICAS_TRACES = (pauses.__name__, pauses_burst.__name__)


def run_all(wanted: Iterable[Run]) -> list[ZoneOutcome]:
    """Run several traces on several processors."""
    with futures.ProcessPoolExecutor(experiments.WORKERS) as pool:
        return list(pool.map(run_one, wanted))


def run_one(wanted: Run) -> ZoneOutcome:
    """Run a trace."""
    return run(*wanted)


def run(
    name: str,
    decisions: str,
    seed: int,
    hosts_per_zone: int = 2,
    length_s: float = LENGTH_S,
) -> ZoneOutcome:
    """Run a trace.

    Parameters
    ----------
    name : str
    decisions : str
        `POLICY`, `PLANNER` or `BY_WAIT`.
    seed, hosts_per_zone : int
    length_s : float
        A shorter run may end before the trouble does.
    """
    world = worlds.World(_deployment_of(name, hosts_per_zone), seed, decisions)
    zones = sorted(set(world.deployment.hosts))
    TRACES_BY_NAME[name](world)
    shares: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    loads: dict[str, list[float]] = collections.defaultdict(list)
    _sample(world, lambda: _note(world, shares, loads), length_s)
    world.run(length_s)
    calls: collections.Counter[tuple[str, str]] = collections.Counter()
    for host in world.hosts:
        for zone, count in host.calls_by_remote_zone.items():
            calls[host.zone, zone] += count
    return ZoneOutcome(
        {
            (zone, kind): figures.in_target_by_zone[zone]
            / max(1, figures.offered_by_zone[zone])
            for kind, figures in world.figures_by_kind.items()
            for zone in zones
        },
        {
            kind: figures.ended['answered'] / max(1, figures.offered)
            for kind, figures in world.figures_by_kind.items()
        },
        dict(calls),
        dict(shares),
        {zone: _largest_mean(found) for zone, found in loads.items()},
        {
            kind: figures.in_target / max(1, figures.offered)
            for kind, figures in world.figures_by_kind.items()
        },
    )


def _deployment_of(name: str, hosts_per_zone: int) -> deployments.Deployment:
    if name in FEW_REPLICAS_TRACES:
        return few_replicas()
    bulk = PATIENT_BULK if name == half_lost_patient.__name__ else USUAL_BULK
    return deployment(hosts_per_zone, bulk)


def _sample(
    world: worlds.World, note: Callable[[], None], length_s: float
) -> None:
    note()
    if world.clock.now < length_s:
        world.clock.after(SAMPLE_S, _sample, world, note, length_s)


def _note(
    world: worlds.World,
    shares: dict[str, list[tuple[float, float]]],
    loads: dict[str, list[float]],
) -> None:
    for zone in sorted(set(world.deployment.hosts)):
        found = [
            share
            for policy in world.policies_by_zone.get(zone, ())
            for share in policy.shares_by_service().values()
        ]
        shares[zone].append(
            (world.clock.now, sum(found) / len(found) if found else 0)
        )
        in_zone = [
            server
            for server in world.servers_by_id.values()
            if server.zone == zone
        ]
        loads[zone].append(
            sum(server.wanted_slots for server in in_zone)
            / sum(server.service.slots for server in in_zone)
        )


def _largest_mean(samples: list[float]) -> float:
    """Return the largest mean of the samples of a second."""
    count = round(1 / SAMPLE_S)
    return max(
        sum(samples[start : start + count]) / count
        for start in range(len(samples) - count + 1)
    )


def _in_zones(world: worlds.World, zones: tuple[str, ...] | str) -> list[str]:
    return [
        backend_id
        for backend_id, server in world.servers_by_id.items()
        if server.zone in zones
    ]


def _fault(
    world: worlds.World, zones: tuple[str, ...] | str, **faults: object
) -> None:
    """Set faults of the backend servers of zones for a time."""
    backend_ids = _in_zones(world, zones)
    usual = servers.Faults()
    world.clock.after(BEGIN_S, lambda: world.change(backend_ids, **faults))
    restored = {name: getattr(usual, name) for name in faults}
    world.clock.after(END_S, lambda: world.change(backend_ids, **restored))


def _lose(
    world: worlds.World, zone: str, count: int, end_s: float = END_S
) -> None:
    """Remove backend servers of each service of a zone for a time."""
    lost = []
    for service in _SERVICES:
        in_zone = [
            backend_id
            for backend_id in _in_zones(world, zone)
            if world.servers_by_id[backend_id].service.name == service
        ]
        lost.extend(in_zone[:count])
    world.clock.after(BEGIN_S, lambda: _take_away(world, lost))
    world.clock.after(end_s, lambda: _bring_back(world, lost))


def _take_away(world: worlds.World, backend_ids: list[str]) -> None:
    world.change(backend_ids, is_crashed=True)
    world.set_listed(backend_ids, listed=False)


def _bring_back(world: worlds.World, backend_ids: list[str]) -> None:
    world.change(backend_ids, is_crashed=False)
    world.set_listed(backend_ids, listed=True)
