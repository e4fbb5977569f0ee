"""Command line of the experiments.

cardamomflow-lab run slow_across gray --seeds 5 --against plain
"""

import json
import pathlib
import subprocess
import sys

import click

from lab import (
    deployments,
    experiments,
    reports,
    scenarios,
    zonereport,
    zonetraces,
)

_SCENARIO = click.Choice(list(scenarios.SCENARIOS_BY_NAME))
_TRACE = click.Choice(list(zonetraces.TRACES_BY_NAME))
_DEPLOYMENT = click.Choice(list(deployments.DEPLOYMENTS_BY_NAME))


@click.group()
def main() -> None:
    """Try decisions on emulated fleets in virtual time."""


@main.command(
    'list',
    help='List the scenarios.\n\n\b\nExample:\n  cardamomflow-lab list',
)
def list_scenarios() -> None:
    """List the scenarios."""
    for name, scenario in scenarios.SCENARIOS_BY_NAME.items():
        click.echo(f'{name:15} {scenario.__doc__}')


@main.command(
    help=(
        'Run scenarios, all by default, and compare them with a baseline.'
        '\n\n\b\nExample:\n'
        '  cardamomflow-lab run slow_across --seeds 5 --against plain'
    )
)
@click.argument('names', nargs=-1, type=_SCENARIO, metavar='[SCENARIO]...')
@click.option(
    '--deployment',
    'chosen',
    multiple=True,
    type=_DEPLOYMENT,
    help='Fleet to emulate; all by default.',
)
@click.option('--seeds', default=3, show_default=True, help='Runs of each.')
@click.option(
    '--against',
    help="Baseline: 'plain', or a revision of the repository.",
)
@click.option('--report', type=click.Path(path_type=pathlib.Path))
@click.option('--plot', type=click.Path(path_type=pathlib.Path))
@click.option('--json', 'as_json', is_flag=True, help='Write all figures.')
def run(
    names: tuple[str, ...],
    chosen: tuple[str, ...],
    seeds: int,
    against: str | None,
    report: pathlib.Path | None,
    plot: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Run scenarios and compare them with a baseline."""
    names = names or tuple(scenarios.SCENARIOS_BY_NAME)
    chosen = chosen or tuple(deployments.DEPLOYMENTS_BY_NAME)
    decisions = [experiments.PRODUCT]
    if against == experiments.PLAIN:
        decisions.append(experiments.PLAIN)
    outcomes = _run(experiments.cases(names, chosen, seeds, decisions))
    if against is not None and against not in decisions:
        decisions.append(against)
        outcomes.extend(_run_revision(against, names, chosen, seeds))
    if as_json:
        click.echo(json.dumps(list(map(experiments.document_of, outcomes))))
        return
    text = '\n'.join(reports.lines(outcomes, decisions))
    click.echo(text)
    if report is not None:
        report.write_text(f'{text}\n')
    if plot is not None:
        reports.draw(outcomes, decisions, plot)


@main.command(
    'zones',
    help=(
        'Run traces in which a zone runs short, and compare what leaves it'
        ' with a central planner.'
        '\n\n\b\nExample:\n'
        '  cardamomflow-lab zones half_lost --plot share.png'
    ),
)
@click.argument('names', nargs=-1, type=_TRACE, metavar='[TRACE]...')
@click.option('--seed', default=1, show_default=True)
@click.option('--hosts', default=2, show_default=True, help='Hosts of a zone.')
@click.option('--plot', type=click.Path(path_type=pathlib.Path))
def run_zones(
    names: tuple[str, ...], seed: int, hosts: int, plot: pathlib.Path | None
) -> None:
    """Run the traces of zones."""
    wanted = [
        zonetraces.Run(name, decisions, seed, hosts)
        for name in names or zonetraces.TRACES_BY_NAME
        for decisions in (zonetraces.POLICY, zonetraces.PLANNER)
    ]
    found = list(zip(wanted, zonetraces.run_all(wanted), strict=True))
    click.echo('\n'.join(zonereport.lines(found)))
    if plot is not None:
        zonereport.draw(found, plot)


def _run(wanted: list[experiments.Case]) -> list[experiments.Outcome]:
    with click.progressbar(length=len(wanted), file=sys.stderr) as progress:
        return experiments.run_all(wanted, lambda: progress.update(1))


def _run_revision(
    revision: str, names: tuple[str, ...], chosen: tuple[str, ...], seeds: int
) -> list[experiments.Outcome]:
    try:
        return experiments.run_revision(revision, names, chosen, seeds)
    except subprocess.CalledProcessError as error:
        raise click.ClickException(
            f'the decisions of {revision!r} did not run: {error}'
        ) from error


if __name__ == '__main__':
    main()
