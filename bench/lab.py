"""Decisions under the heaviest loads, in the emulator, by scenario.

Bounds: the urgent kind keeps its target in 99 of 100 requests of a scenario
that leaves capacity for it, and attempts stay within what the operators allow.
The rest is reported without a bound. Command: `python -m bench.run lab`; it
takes about a minute.
"""

import statistics

from bench import result
from lab import deployments, experiments, scenarios

SEEDS = 3
URGENT = 'check'
TARGET_SHARE = 0.99
# Capacity is missing for a time in these: half of the backend servers or all.
WITHOUT_CAPACITY = frozenset(
    (scenarios.cold_zone.__name__, scenarios.return_of_all.__name__)
)
DECISIONS = (experiments.PRODUCT, experiments.PLAIN)


def run() -> list[result.Result]:
    """Run all scenarios on both fleets, with the plain baseline beside."""
    wanted = experiments.cases(
        scenarios.SCENARIOS_BY_NAME,
        deployments.DEPLOYMENTS_BY_NAME,
        SEEDS,
        DECISIONS,
    )
    outcomes = experiments.run_all(wanted, lambda: None)
    figures = []
    for deployment, scenario in experiments.by_scenario(outcomes):
        product, plain = (
            experiments.select(outcomes, deployment, scenario, decisions)
            for decisions in DECISIONS
        )
        figures.extend(_results(deployment, scenario, product, plain))
    return figures


def _results(
    deployment: str,
    scenario: str,
    product: list[experiments.Outcome],
    plain: list[experiments.Outcome],
) -> list[result.Result]:
    name = f'lab.{deployment}.{scenario}'
    allowed = 1 + deployments.DEPLOYMENTS_BY_NAME[deployment]().retry_share
    bound = None if scenario in WITHOUT_CAPACITY else TARGET_SHARE
    return [
        result.Result(
            f'{name}.{URGENT}',
            _urgent(product),
            'share in target',
            bound,
            'at_least',
            f'plain: {_urgent(plain):.3f}',
        ),
        result.Result(
            f'{name}.goodput',
            statistics.fmean(one.goodput for one in product),
            'worth got of worth asked for',
            None,
            'at_least',
            f'plain: {statistics.fmean(one.goodput for one in plain):.3f}',
        ),
        result.Result(
            f'{name}.extra_load',
            statistics.fmean(one.extra_load for one in product),
            'attempts of those needed, a burst beside',
            allowed if bound else None,
            'at_most',
            f'plain: {statistics.fmean(one.extra_load for one in plain):.3f}',
        ),
    ]


def _urgent(outcomes: list[experiments.Outcome]) -> float:
    return statistics.fmean(
        kind.in_target
        for outcome in outcomes
        for kind in outcome.kinds
        if kind.kind == URGENT
    )
