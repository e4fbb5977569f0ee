"""Policy under load and faults, by rank, against a plain baseline.

Bounds: a rank that does not flood gets 99 in 100 queries whole within its
target; extra load stays within the hedge and retry shares; under a flood a
rank keeps the minimum share of the rules.
"""

import itertools
import math
import random
import sys
import time
from collections.abc import Callable
from concurrent import futures
from typing import Any, NamedTuple

from bench import result, senders, service_model
from cardamomflow import rules
from lab import timeline

SEED = 20261204
DURATION_S = 16.0
# Faults and floods as parts of the run.
BEGIN_PART = 0.25
FAULT_END_PART = 0.75
FLOOD_END_PART = 0.5
FLOOD_FACTOR = 2
WORKERS = 4
TARGET_SHARE = 0.99
BASELINE = 'first in, first out, fixed timeouts, blind retry'
_URGENT, _STANDARD, _BULK = rules.Rank

RULES = rules.Rules.from_document(
    {
        'ranks': {
            'urgent': {'target_ms': 360, 'minimum_share': 0.5},
            'standard': {'target_ms': 1500, 'minimum_share': 0.2},
            'bulk': {'target_ms': 30000, 'minimum_share': 0.1},
        },
        'work': {'query': {'rank': 'urgent'}},
        'customers': {'maximum_share': 0.5},
    }
)

# Allowance of 25 // (2 x zones) less the connection for status polls.
SIZES = (
    service_model.Size(
        'serra', 20, 2, 2, 2, 0.006, {_URGENT: 120, _STANDARD: 50, _BULK: 20}
    ),
    service_model.Size(
        'fjordlyd', 20, 2, 2, 3, 0.006, {_URGENT: 60, _STANDARD: 40, _BULK: 90}
    ),
)


class World(NamedTuple):
    """What a scenario may act on."""

    clock: timeline.Timeline
    size: service_model.Size
    servers: list[list[service_model.BackendServer]]
    sender: service_model.Sender
    random: random.Random
    duration_s: float


def _steady(world: World) -> None:
    """Change nothing."""


def _straggler(world: World) -> None:
    server = world.servers[0][0]
    _during(world, setattr, (server, 'factor', 10), (server, 'factor', 1))


def _lost(world: World) -> None:
    server = world.servers[0][0]
    world.clock.after(world.duration_s * BEGIN_PART, server.cut_off)
    world.clock.after(world.duration_s * FAULT_END_PART, server.restart)


def _gray(world: World) -> None:
    server = world.servers[0][0]
    _during(world, setattr, (server, 'gray', True), (server, 'gray', False))


def _zone_cut(world: World) -> None:
    for group in world.servers:
        world.clock.after(world.duration_s * BEGIN_PART, group[0].cut_off)
        world.clock.after(world.duration_s * FAULT_END_PART, group[0].restart)


def _bulk_flood(world: World) -> None:
    _flood(world, _BULK)


def _urgent_flood(world: World) -> None:
    _flood(world, _URGENT)


def _straggler_and_flood(world: World) -> None:
    _straggler(world)
    _flood(world, _BULK)


def _platform_down(world: World) -> None:
    """Freeze the host list in its worst state: a whole service leaving."""
    if isinstance(world.sender, senders.Policy):
        for server in world.servers[0]:
            world.sender.drains.record_notice(
                server.backend_id,
                senders.draining.DrainSource.HOST_LIST,
                True,
                0,
            )


def _during(
    world: World,
    action: Callable[..., None],
    begin: tuple[Any, ...],
    end: tuple[Any, ...],
) -> None:
    world.clock.after(world.duration_s * BEGIN_PART, action, *begin)
    world.clock.after(world.duration_s * FAULT_END_PART, action, *end)


def _flood(world: World, rank: rules.Rank) -> None:
    service_model.Arrivals(
        world.sender,
        rank,
        'flooding',
        FLOOD_FACTOR * capacity(world.size),
        world.random,
    ).start(world.duration_s * BEGIN_PART, world.duration_s * FLOOD_END_PART)


SCENARIOS: dict[str, Callable[[World], None]] = {
    'steady': _steady,
    'straggler': _straggler,
    'replica_lost': _lost,
    'gray_replica': _gray,
    'bulk_flood': _bulk_flood,
    'urgent_flood': _urgent_flood,
    'zone_cut': _zone_cut,
    'platform_down': _platform_down,
    'straggler_and_bulk_flood': _straggler_and_flood,
}
FLOODING = {
    'bulk_flood': _BULK,
    'urgent_flood': _URGENT,
    'straggler_and_bulk_flood': _BULK,
}


def capacity(size: service_model.Size) -> float:
    """Return the queries per second that the service group can work on."""
    mean_s = service_model.SERVICE_MEDIAN_S * math.exp(
        service_model.SERVICE_SIGMA**2 / 2
    )
    return size.replicas * size.slots / mean_s


class Outcome(NamedTuple):
    """Figures of one run, in plain values so that workers can return them."""

    scenario: str
    size: str
    sender: str
    extra_load: float
    goodput: dict[rules.Rank, float]
    window_per_s: dict[rules.Rank, float]
    quantiles_ms: dict[rules.Rank, tuple[float, float, float]]
    coverage: dict[rules.Rank, float]
    refusals: dict[rules.Rank, dict[str, int]]
    missing: dict[rules.Rank, dict[str, int]]
    offered: dict[rules.Rank, int]
    elapsed_s: float


def simulate(
    scenario: str,
    size: service_model.Size,
    sender_name: str,
    seed: int = SEED,
    duration_s: float = DURATION_S,
) -> Outcome:
    """Run one scenario with one sender."""
    begun = time.perf_counter()
    clock = timeline.Timeline()
    source = random.Random(seed)
    servers = [
        [
            service_model.BackendServer(
                f'{service}-{replica}',
                size.slots,
                clock,
                random.Random(source.random()),
            )
            for replica in range(size.replicas)
        ]
        for service in range(size.services)
    ]
    sender = _sender(sender_name, clock, size, servers, seed)
    world = World(
        clock, size, servers, sender, random.Random(seed + 1), duration_s
    )
    sender.window_from = duration_s * BEGIN_PART
    sender.window_until = duration_s * FLOOD_END_PART
    for rank, rate in size.rates_by_rank.items():
        service_model.Arrivals(
            sender, rank, 'usual', rate, random.Random(source.random())
        ).start(0, duration_s)
    SCENARIOS[scenario](world)
    if isinstance(sender, senders.Policy):
        sender.poll(duration_s)
    clock.run(math.inf)
    window_s = duration_s * (FLOOD_END_PART - BEGIN_PART)
    return _outcome(
        (scenario, size.name, sender_name),
        sender,
        window_s,
        time.perf_counter() - begun,
    )


def _sender(
    name: str,
    clock: timeline.Timeline,
    size: service_model.Size,
    servers: list[list[service_model.BackendServer]],
    seed: int,
) -> service_model.Sender:
    targets_s = {
        rank: rule.target_ms / 1000
        for rank, rule in RULES.rules_by_rank.items()
    }
    common = (clock, size, servers, targets_s)
    if name == 'baseline':
        return senders.Baseline(*common, seed=seed)
    return senders.Policy(*common, rule_set=RULES, seed=seed)


def _outcome(
    labels: tuple[str, str, str],
    sender: service_model.Sender,
    window_s: float,
    elapsed_s: float,
) -> Outcome:
    by_rank = sender.figures_by_rank
    return Outcome(
        *labels,
        sender.attempts / max(1, sender.needed),
        {rank: of.goodput() for rank, of in by_rank.items()},
        {rank: of.whole_in_window / window_s for rank, of in by_rank.items()},
        {
            rank: tuple(of.quantile_ms(percent) for percent in (50, 99, 99.9))
            for rank, of in by_rank.items()
        },
        {rank: of.coverage() for rank, of in by_rank.items()},
        {rank: dict(of.refusals_by_code) for rank, of in by_rank.items()},
        {rank: dict(of.missing_by_code) for rank, of in by_rank.items()},
        {rank: of.offered for rank, of in by_rank.items()},
        elapsed_s,
    )


def simulate_all(names: list[str]) -> list[tuple[Outcome, Outcome]]:
    """Run scenarios for both sizes; each gives the policy and the baseline."""
    jobs = list(itertools.product(names, SIZES, ('policy', 'baseline')))
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(simulate, *zip(*jobs, strict=True)))
    return list(zip(outcomes[::2], outcomes[1::2], strict=True))


def show(names: list[str]) -> None:
    """Print the whole table of figures."""
    for pair in simulate_all(names or list(SCENARIOS)):
        for one in pair:
            sys.stdout.write(
                f'{one.scenario} {one.size} {one.sender}'
                f' extra {one.extra_load:.3f} took {one.elapsed_s:.1f} s\n'
            )
            for rank in rules.Rank:
                p50, p99, p999 = one.quantiles_ms[rank]
                sys.stdout.write(
                    f'  {rank.label:8} good {one.goodput[rank]:.4f}'
                    f' ({one.window_per_s[rank]:.0f}/s in the window)'
                    f' p50 {p50:.0f} p99 {p99:.0f} p99.9 {p999:.0f} ms'
                    f' cover {one.coverage[rank]:.4f}'
                    f' refused {one.refusals[rank]}'
                    f' missing {one.missing[rank]}\n'
                )


def run() -> list[result.Result]:
    """Run all scenarios and return the figures with bounds."""
    results = []
    for policy, baseline in simulate_all(list(SCENARIOS)):
        results.append(_extra_load(policy, baseline))
        for rank in rules.Rank:
            results.extend(_rank_results(policy, baseline, rank))
    return results


def _extra_load(policy: Outcome, baseline: Outcome) -> result.Result:
    return result.Result(
        f'policy/{policy.scenario}/{policy.size}/extra_load',
        policy.extra_load,
        'attempts per needed attempt',
        1 + RULES.hedging.extra_load_share + RULES.retries.budget_share,
        'at_most',
        f'{BASELINE}: {baseline.extra_load:.4f}',
    )


def _rank_results(
    policy: Outcome, baseline: Outcome, rank: rules.Rank
) -> list[result.Result]:
    target_ms = RULES.rules_by_rank[rank].target_ms
    flooding = FLOODING.get(policy.scenario)
    served = flooding is None or rank < flooding
    at_least = TARGET_SHARE if served else None
    rows = [
        ('whole_in_time', 'share', _goodput_bound(policy, rank), 'at_least'),
        ('in_window', 'queries/s', _window_bound(policy, rank), 'at_least'),
        ('coverage', 'share', at_least, 'at_least'),
        ('p50', 'ms', None, 'at_most'),
        ('p99', 'ms', target_ms if served else None, 'at_most'),
        ('p99.9', 'ms', None, 'at_most'),
        ('refused_overloaded', 'queries', None, 'at_most'),
        ('refused_deadline_unreachable', 'queries', None, 'at_most'),
    ]
    values = _values(policy, rank)
    plain = _values(baseline, rank)
    prefix = f'policy/{policy.scenario}/{policy.size}/{rank.label}'
    return [
        result.Result(
            f'{prefix}/{name}',
            values[name],
            unit,
            bound,
            direction,
            f'{BASELINE}: {plain[name]:.4g}',
        )
        for name, unit, bound, direction in rows
    ]


def _values(one: Outcome, rank: rules.Rank) -> dict[str, float]:
    p50, p99, p999 = one.quantiles_ms[rank]
    refusals = one.refusals[rank]
    return {
        'whole_in_time': one.goodput[rank],
        'in_window': one.window_per_s[rank],
        'coverage': one.coverage[rank],
        'p50': p50,
        'p99': p99,
        'p99.9': p999,
        'refused_overloaded': refusals.get('overloaded', 0),
        'refused_deadline_unreachable': refusals.get('deadline_unreachable', 0),
    }


def _goodput_bound(one: Outcome, rank: rules.Rank) -> float | None:
    """Return the share due to a rank that does not flood itself."""
    flooding = FLOODING.get(one.scenario)
    if rank is flooding:
        return None
    if flooding is None or rank < flooding:
        return TARGET_SHARE
    size = next(size for size in SIZES if size.name == one.size)
    entitled = RULES.rules_by_rank[rank].minimum_share * capacity(size)
    return TARGET_SHARE * min(1, entitled / size.rates_by_rank[rank])


def _window_bound(one: Outcome, rank: rules.Rank) -> float | None:
    """Return the minimum share of a flooding rank during the flood."""
    if rank is not FLOODING.get(one.scenario):
        return None
    size = next(size for size in SIZES if size.name == one.size)
    return RULES.rules_by_rank[rank].minimum_share * capacity(size)


if __name__ == '__main__':
    show(sys.argv[1:])
