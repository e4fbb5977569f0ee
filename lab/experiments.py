"""Runs of scenarios with many seeds, against a baseline.

A baseline is `plain`, first in first out with fixed timeouts and blind
retries, or a revision of the repository, whose decisions run in the emulator
of today.
"""

import itertools
import json
import pathlib
import shutil
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Callable, Iterable, Iterator
from concurrent import futures
from typing import Any, NamedTuple

from lab import deployments, scenarios, worlds

ROOT = pathlib.Path(__file__).resolve().parent.parent
PRODUCT = 'product'
PLAIN = 'plain'
WORKERS = 4  # half of the processors of the machine it was written on
REVISION_LIMIT_S = 900


class Case(NamedTuple):
    """One run."""

    deployment: str
    scenario: str
    seed: int
    decisions: str


class KindFigures(NamedTuple):
    """What callers of one kind got, over all seeds."""

    kind: str
    rank: str
    offered: int
    in_target: float
    worth: float
    coverage: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    ended: dict[str, int]


class Outcome(NamedTuple):
    """Figures of one run.

    Attributes
    ----------
    case : Case
    goodput : float
        Worth that callers got, of the worth that they asked for.
    best_goodput : float
        What any decisions could have got at most, see `bounds`.
    extra_load : float
        Attempts divided by the attempts that were needed.
    kinds : list of KindFigures
    samples : list of (float, int, float)
        Time, parts that wait at the hosts, and worth so far.
    """

    case: Case
    goodput: float
    best_goodput: float
    extra_load: float
    kinds: list[KindFigures]
    samples: list[tuple[float, int, float]]


def cases(
    names: Iterable[str],
    deployment_names: Iterable[str],
    seeds: int,
    decisions: Iterable[str],
) -> list[Case]:
    """Return all runs of an experiment."""
    return list(
        itertools.starmap(
            Case,
            itertools.product(
                deployment_names, names, range(1, seeds + 1), decisions
            ),
        )
    )


def run_case(case: Case) -> Outcome:
    """Run one case."""
    world = worlds.World(
        deployments.DEPLOYMENTS_BY_NAME[case.deployment](),
        case.seed,
        case.decisions,
    )
    scenarios.SCENARIOS_BY_NAME[case.scenario](world)
    world.run(scenarios.LENGTH_S)
    figures = world.figures_by_kind.values()
    asked = sum(one.kind.worth * one.offered for one in figures)
    return Outcome(
        case,
        sum(one.worth for one in figures) / asked,
        world.capacity.best_goodput(),
        sum(host.attempts for host in world.hosts)
        / sum(host.needed for host in world.hosts),
        list(map(_kind_figures, figures)),
        [tuple(sample) for sample in world.samples],
    )


def run_all(
    wanted: list[Case], progressed: Callable[[], None]
) -> list[Outcome]:
    """Run cases on several processors."""
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        found = []
        for outcome in pool.map(run_case, wanted):
            found.append(outcome)
            progressed()
    return found


def run_revision(
    revision: str,
    names: Iterable[str],
    deployment_names: Iterable[str],
    seeds: int,
) -> list[Outcome]:
    """Run the decisions of a revision of the repository.

    Raises
    ------
    subprocess.CalledProcessError
        There is no such revision, or the emulator can't run its decisions.
    """
    with tempfile.TemporaryDirectory() as folder:
        _check_out(revision, pathlib.Path(folder))
        options = [
            *(f'--deployment={name}' for name in deployment_names),
            f'--seeds={seeds}',
            '--json',
        ]
        finished = subprocess.run(
            [sys.executable, '-m', 'lab.main', 'run', *names, *options],
            cwd=folder,
            env={'PYTHONPATH': folder},
            stdout=subprocess.PIPE,
            check=True,
            timeout=REVISION_LIMIT_S,
        )
    return [
        _outcome(document, revision) for document in json.loads(finished.stdout)
    ]


def document_of(outcome: Outcome) -> dict[str, Any]:
    """Return an outcome as it is written to JSON."""
    return {
        **outcome._asdict(),
        'case': outcome.case._asdict(),
        'kinds': [kind._asdict() for kind in outcome.kinds],
    }


def select(
    outcomes: Iterable[Outcome],
    deployment: str,
    scenario: str,
    decisions: str,
) -> list[Outcome]:
    """Return the outcomes of all seeds of a scenario."""
    wanted = (deployment, scenario, decisions)
    return [
        outcome
        for outcome in outcomes
        if (
            outcome.case.deployment,
            outcome.case.scenario,
            outcome.case.decisions,
        )
        == wanted
    ]


def _outcome(document: dict[str, Any], decisions: str) -> Outcome:
    case = Case(**document['case'])._replace(decisions=decisions)
    kinds = [KindFigures(**kind) for kind in document['kinds']]
    return Outcome(**{**document, 'case': case, 'kinds': kinds})


def _kind_figures(figures: worlds.Figures) -> KindFigures:
    answered = max(1, figures.ended['answered'])
    return KindFigures(
        figures.kind.name,
        figures.kind.rank.label,
        figures.offered,
        figures.in_target / max(1, figures.offered),
        figures.worth,
        figures.coverage / answered,
        figures.quantile_ms(50),
        figures.quantile_ms(99),
        figures.quantile_ms(99.9),
        dict(figures.ended),
    )


def _check_out(revision: str, folder: pathlib.Path) -> None:
    """Put the package of a revision beside the emulator of today."""
    archive = folder / 'package.tar'
    subprocess.run(
        [
            'git',
            'archive',
            f'--output={archive}',
            revision,
            'cardamomflow',
        ],
        cwd=ROOT,
        check=True,
    )
    with tarfile.open(archive) as packed:
        packed.extractall(folder, filter='data')
    shutil.copytree(ROOT / 'lab', folder / 'lab')


def by_scenario(outcomes: Iterable[Outcome]) -> Iterator[tuple[str, str]]:
    """Yield each deployment with each of its scenarios once."""
    yield from dict.fromkeys(
        (outcome.case.deployment, outcome.case.scenario) for outcome in outcomes
    )
