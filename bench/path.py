"""The whole path as processes: cost of a query, floods and stragglers.

Command: `make bench` or `python -m bench.run path`. Seed 1 throughout.
"""

import copy
import time
from typing import Any

import curio
import psutil

from bench import fit, result
from cardamomflow import loadplan, loadreport, loadrun, rules
from standins import fleet

SEED = 1
URGENT_TARGET_MS = 360.0
# The rules allow 5% hedged and 10% retried attempts.
EXTRA_LOAD_BOUND = 1.15
# Queries per second. Two items of 25 ms on 4 slots of a service take about 80
# queries per second without batches.
_URGENT = 10
_STEADY_BULK = 5
_FLOOD_BULK = 90
_SIZES = {'cost05': 5, 'cost10': 10, 'cost20': 20, 'cost40': 40}
_ITEM_SERVICES = 5
_ITEMS = 16
_COST_RATE_PER_S = 5.0
_COST_DURATION_S = 6.0
_DURATION_S = 8.0
_US = 1_000_000


def run() -> list[result.Result]:
    """Measure the path with real processes on loopback."""
    return [*_measure_cost(), *_measure_policy()]


def _measure_cost() -> list[result.Result]:
    """Fit processor time of a query over the services that it touches."""
    with fleet.running(
        zones=('zone-a',), indexes=_SIZES, shards=1, sample_share=0
    ) as running:
        costs = {
            count: _cost_of(running, index) for index, count in _SIZES.items()
        }
    with fleet.running(
        zones=('zone-a',),
        indexes={'items': _ITEM_SERVICES},
        shards=_ITEMS,
        sample_share=0,
    ) as running:
        with_items = _cost_of(running, 'items')
    figures = _item_figures(costs[_ITEM_SERVICES], with_items)
    for column, program in enumerate(('entry', 'aggregator')):
        counts = list(costs)
        values = [costs[count][column] for count in counts]
        line = fit.line(counts, values)
        figures.extend(
            _figure(f'path.{program}.{count}.cpu', value, 'us per query')
            for count, value in zip(counts, values, strict=True)
        )
        figures.extend(
            (
                _figure(f'path.{program}.cpu_per_service', line.slope, 'us'),
                _figure(f'path.{program}.cpu_per_query', line.offset, 'us'),
                _figure(f'path.{program}.fit_residual', line.residual, 'us'),
            )
        )
    return figures


def _item_figures(
    single: tuple[float, float], many: tuple[float, float]
) -> list[result.Result]:
    """Return the cost of a further item in a call."""
    further = _ITEM_SERVICES * (_ITEMS - 1)
    return [
        _figure(
            f'path.{program}.cpu_per_item', (after - before) / further, 'us'
        )
        for program, before, after in zip(
            ('entry', 'aggregator'), single, many, strict=True
        )
    ]


def _cost_of(running: fleet.Fleet, index: str) -> tuple[float, float]:
    """Return microseconds of entry and aggregator for a query."""
    processes = [
        psutil.Process(running.processes_by_name[name].pid)
        for name in ('entry-zone-a', 'aggregator-zone-a')
    ]
    flow = _flow('lot-history', rules.Rank.URGENT, _COST_RATE_PER_S, index)
    _load(running, (flow,), 1.0)
    idle_before = _cpu(processes)
    time.sleep(2)
    idle_s = [
        (after - before) / 2
        for before, after in zip(idle_before, _cpu(processes), strict=True)
    ]
    before = _cpu(processes)
    started_at = time.monotonic()
    report = _load(running, (flow,), _COST_DURATION_S)
    elapsed_s = time.monotonic() - started_at
    sent = report.by_work['lot-history'].sent
    entry, aggregator = (
        (after - earlier - idle * elapsed_s) / sent * _US
        for earlier, after, idle in zip(
            before, _cpu(processes), idle_s, strict=True
        )
    )
    return entry, aggregator


def _cpu(processes: list[psutil.Process]) -> list[float]:
    return [
        process.cpu_times().user + process.cpu_times().system
        for process in processes
    ]


def _measure_policy() -> list[result.Result]:
    """Compare floods and stragglers with the mechanisms off."""
    with fleet.running(services=4, shards=2, sample_share=0) as running:
        steady = _scenario(running, bulk_rate=_STEADY_BULK)
        running.control(
            [f'{fleet.INDEX}-1-a', f'{fleet.INDEX}-2-a'],
            straggle_share=0.2,
            straggle_ms=300,
        )
        straggler = _scenario(running, bulk_rate=_STEADY_BULK)
        running.publish(1, _without_hedges(fleet.RULES))
        time.sleep(1)
        unhedged = _scenario(running, bulk_rate=_STEADY_BULK)
        running.control(
            list(running.backend_ports), straggle_share=0, item_time_ms=25
        )
        running.publish(2, fleet.RULES)
        time.sleep(1)
        flood = _scenario(running, bulk_rate=_FLOOD_BULK)
        running.publish(3, _one_rank(fleet.RULES))
        time.sleep(1)
        one_rank = _scenario(running, bulk_rate=_FLOOD_BULK)
    return [
        *_scenario_figures('steady', steady, 'no baseline'),
        *_scenario_figures('straggler', straggler, 'hedging off'),
        _p99('straggler.baseline', unhedged, bounded=False),
        *_scenario_figures('bulk_flood', flood, 'all work of one rank'),
        _p99('bulk_flood.baseline', one_rank, bounded=False),
    ]


def _without_hedges(document: dict[str, Any]) -> dict[str, Any]:
    changed = copy.deepcopy(document)
    changed['hedging'] = {'extra_load_share': 0}
    return changed


def _one_rank(document: dict[str, Any]) -> dict[str, Any]:
    changed = _without_hedges(document)
    for work in changed['work'].values():
        work['rank'] = 'urgent'
    return changed


def _scenario(running: fleet.Fleet, bulk_rate: float) -> dict[str, Any]:
    before = _counters(running)
    report = _load(
        running,
        (
            _flow('lot-history', rules.Rank.URGENT, _URGENT, fleet.INDEX),
            _flow('supplier-report', rules.Rank.BULK, bulk_rate, fleet.INDEX),
        ),
        _DURATION_S,
    )
    after = _counters(running)
    attempts, needed = (
        after[name] - before[name]
        for name in ('entry.shard_attempts', 'entry.shards_needed')
    )
    return {
        'by_work': {
            name: tally.document(_DURATION_S)
            for name, tally in report.by_work.items()
        },
        'violations': report.violation_count,
        'extra_load': attempts / max(1, needed),
    }


def _counters(running: fleet.Fleet) -> dict[str, int]:
    totals = {'entry.shard_attempts': 0, 'entry.shards_needed': 0}
    for port in running.entry_ports.values():
        _, status = fleet.call(port, 'GET', '/v1/status')
        for name in totals:
            totals[name] += status['counters'].get(name, 0)
    return totals


def _flow(
    work: str, rank: rules.Rank, rate_per_s: float, target: str
) -> loadplan.Flow:
    deadline_ms = fleet.RULES['ranks'][rank.label]['target_ms']
    return loadplan.Flow(work, rank, rate_per_s, target, min(deadline_ms, 5000))


def _load(
    running: fleet.Fleet, flows: tuple[loadplan.Flow, ...], duration_s: float
) -> loadreport.Report:
    return curio.run(
        loadrun.run,
        loadplan.LoadSettings(
            flows,
            tuple(
                (fleet.ADDRESS, port) for port in running.entry_ports.values()
            ),
            duration_s=duration_s,
            warm_up_s=1.0,
            seed=SEED,
        ),
    )


def _scenario_figures(
    name: str, measured: dict[str, Any], baseline: str
) -> list[result.Result]:
    bulk = measured['by_work']['supplier-report']
    urgent = measured['by_work']['lot-history']
    return [
        _p99(name, measured, bounded=True, baseline=baseline),
        result.Result(
            f'path.{name}.urgent.coverage',
            urgent['coverage'],
            'share',
            None,
            'at_least',
            baseline,
        ),
        _figure(f'path.{name}.bulk.goodput', bulk['goodput_per_s'], 'per s'),
        result.Result(
            f'path.{name}.extra_load',
            measured['extra_load'],
            'attempts / needed',
            EXTRA_LOAD_BOUND,
            'at_most',
            baseline,
        ),
        result.Result(
            f'path.{name}.violations',
            measured['violations'],
            'answers',
            0,
            'at_most',
            'every answer checked',
        ),
    ]


def _p99(
    name: str,
    measured: dict[str, Any],
    *,
    bounded: bool,
    baseline: str = 'baseline itself',
) -> result.Result:
    latency_ms = measured['by_work']['lot-history']['latency_ms']['p99']
    return result.Result(
        f'path.{name}.urgent.p99',
        latency_ms,
        'ms',
        URGENT_TARGET_MS if bounded else None,
        'at_most',
        baseline,
    )


def _figure(name: str, value: float, unit: str) -> result.Result:
    return result.Result(name, value, unit, None, 'at_most', 'no baseline')
