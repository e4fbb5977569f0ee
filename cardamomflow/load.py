"""Command line of the seeded open-loop load tool.

Requests are sent at their due times whether or not earlier ones have been
answered, and latency is measured from the due time, so the figures include
stalls of the tier. Every response is checked for violations of the API
contract. Owns the command-line options and the files written; `loadrun` opens
the connections.

    cardamomflow-load --entry 127.0.0.1:8080 --flow lots,urgent,50,desk
"""

import json
import pathlib
from typing import Any

import click
import curio

from cardamomflow import (
    errors,
    exitstatus,
    loadplan,
    loadreport,
    loadrun,
    plotting,
    rules,
)

_PLOTTED_PERCENTILES = (1, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9)
_DEADLINES_MS = {
    rules.Rank.URGENT: 360,
    rules.Rank.STANDARD: 1500,
    rules.Rank.BULK: 30_000,
}


def plot(report: loadreport.Report, path: pathlib.Path) -> None:
    """Plot the latency distribution by rank into a PNG file.

    Raises
    ------
    click.UsageError
        matplotlib, a development dependency, is not installed.
    """
    figure = plotting.create_figure()
    axes = figure.subplots()
    for rank, tally in sorted(report.by_rank.items()):
        axes.plot(
            _PLOTTED_PERCENTILES,
            [
                tally.latency.percentile_ms(percentile)
                for percentile in _PLOTTED_PERCENTILES
            ],
            marker='.',
            label=rank,
        )
    axes.set(xlabel='percentile', ylabel='latency from due time, ms')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path)


def parse_flow(text: str, *, operation: bool = False) -> loadplan.Flow:
    """Parse `WORK,RANK,RATE,TARGET[,DEADLINE_MS]`.

    Raises
    ------
    click.BadParameter
        The text has a different form.
    """
    try:
        work, rank, rate, target, *optional_fields = text.split(',')
        parsed_rank = rules.Rank.from_name(rank)
        deadline_ms = (
            int(optional_fields[0])
            if optional_fields
            else _DEADLINES_MS[parsed_rank]
        )
        flow = loadplan.Flow(
            work, parsed_rank, float(rate), target, deadline_ms, operation
        )
    except (ValueError, errors.FlowError) as error:
        raise click.BadParameter(
            f'{text!r} is not WORK,RANK,RATE,TARGET[,DEADLINE_MS]: {error};'
            ' an example is lot-history,urgent,50,desk,360'
        ) from error
    if flow.rate_per_s <= 0:
        raise click.BadParameter(f'{text!r}: the rate is not above 0')
    return flow


def parse_entry(text: str) -> tuple[str, int]:
    """Parse `ADDRESS:PORT`.

    Raises
    ------
    click.BadParameter
        The text has a different form.
    """
    address, _, port = text.rpartition(':')
    if not address or not port.isdecimal():
        raise click.BadParameter(
            f'{text!r} is not ADDRESS:PORT; an example is 127.0.0.1:8080'
        )
    return address, int(port)


def _execute(
    report_path: pathlib.Path | None,
    plot_path: pathlib.Path | None,
    as_json: bool,  # noqa: FBT001  # passed by name by click
    **options: Any,
) -> None:
    flows = [parse_flow(text) for text in options['flow']]
    flows += [parse_flow(text, operation=True) for text in options['operation']]
    if not flows:
        raise click.UsageError('give at least one --flow or --operation')
    report = curio.run(
        loadrun.run,
        loadplan.LoadSettings(
            tuple(flows),
            tuple(parse_entry(text) for text in options['entry']),
            options['duration'],
            options['warm_up'],
            options['seed'],
            options['limit'],
            options['maximum_open'],
        ),
    )
    rendered = json.dumps(report.document(), indent=2)
    click.echo(rendered if as_json else report.text())
    if report_path is not None:
        report_path.write_text(rendered)
    if plot_path is not None:
        plot(report, plot_path)
    if report.violation_count:
        raise click.exceptions.Exit(int(exitstatus.ExitStatus.FAILED))


_PATH = click.Path(path_type=pathlib.Path, dir_okay=False)


_OPTIONS = (
    click.Option(
        ['--entry'],
        multiple=True,
        required=True,
        help='ADDRESS:PORT of an entry; may be repeated.',
    ),
    click.Option(
        ['--flow'],
        multiple=True,
        help='WORK,RANK,RATE,TARGET[,DEADLINE_MS] of queries.',
    ),
    click.Option(
        ['--operation'], multiple=True, help='The same for operations.'
    ),
    click.Option(
        ['--duration'],
        type=float,
        default=loadplan.DURATION_S,
        help='Measured seconds.',
    ),
    click.Option(
        ['--warm-up'],
        type=float,
        default=1.0,
        help='Seconds before the measurement.',
    ),
    click.Option(['--seed'], type=int, default=1, show_default=True),
    click.Option(['--limit'], type=int, default=10, help='Rows requested.'),
    click.Option(
        ['--maximum-open'],
        type=int,
        default=loadplan.MAXIMUM_OPEN,
        help='Maximum open requests; further ones are not sent.',
    ),
    click.Option(
        ['--json', 'as_json'], is_flag=True, help='Print the report as JSON.'
    ),
    click.Option(
        ['--report', 'report_path'], type=_PATH, help='JSON file to write.'
    ),
    click.Option(
        ['--plot', 'plot_path'], type=_PATH, help='PNG file to write.'
    ),
)


load = click.Command(
    'load',
    callback=_execute,
    params=list(_OPTIONS),
    help=(
        'Send a seeded open-loop load and report by rank.\n\n'
        'Exits with 1 when a response violates the API contract.\n\n'
        '\b\nExample:\n'
        '  cardamomflow-load --entry 127.0.0.1:8080 --duration 30 --seed 7'
        ' --flow lots,urgent,50,desk --operation record,urgent,2,desk,1000\n'
    ),
)
