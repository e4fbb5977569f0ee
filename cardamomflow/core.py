"""Composition root: creates the components of each program and runs it.

Maps typed errors to exit statuses in one place.
"""

import pathlib
import sys
from collections.abc import Callable, Sequence

import click
import curio

import cardamomflow
from cardamomflow import (
    agent,
    authorities,
    commands,
    context,
    daemons,
    errors,
    exitstatus,
    ledger,
    load,
    settings,
)
from cardamomflow.platform import httpclient, kvstore

_INCARNATION_BITS = 32


def _start_agent(file: settings.SettingsFile) -> exitstatus.ExitStatus:
    document = file.load()
    process_context = context.create(document)
    store = httpclient.from_settings(document['platform'])
    return curio.run(agent.run, document, process_context, store)


def _start_entry(file: settings.SettingsFile) -> exitstatus.ExitStatus:
    document = file.load()
    return curio.run(daemons.run_entry, context.create(document))


def _start_aggregator(file: settings.SettingsFile) -> exitstatus.ExitStatus:
    document = file.load()
    process_context = context.create(document)
    incarnation = process_context.random.getrandbits(_INCARNATION_BITS)
    claimant = f'{document["process_id"]}/{incarnation:08x}'
    options = ledger.Options(**document.get('store_calls', {}))
    claims = ledger.Ledger(claimant, options, process_context.random)
    store = httpclient.from_settings(document['platform'])
    return curio.run(daemons.run_aggregator, process_context, store, claims)


def _start_host(file: settings.SettingsFile) -> exitstatus.ExitStatus:
    document = file.load()
    process_context = context.create(document)
    address, port = authorities.split(document['store'])
    store = kvstore.KvStore(address, port)
    return curio.run(daemons.run_host, process_context, store, file)


_STARTERS_BY_PROGRAM: dict[
    str, Callable[[settings.SettingsFile], exitstatus.ExitStatus]
] = {
    'agent': _start_agent,
    'entry': _start_entry,
    'aggregator': _start_aggregator,
    'host': _start_host,
}

_SUMMARIES_BY_PROGRAM = {
    'agent': 'Run the agent of a host: membership and configuration.',
    'entry': 'Run an entry process: it answers callers over HTTP.',
    'aggregator': 'Run an aggregator: it owns backend connections.',
    'host': 'Run the whole tier in one process, on a platform of users.',
}


def _daemon_command(program: str) -> click.Command:
    """Return the command of a daemon; all daemons take the same options."""

    def run(settings_path: pathlib.Path, check: bool) -> None:
        file = settings.SettingsFile(settings_path, program)
        if check:
            file.load()
            click.echo(f'{settings_path}: valid settings of {program}')
            return
        sys.exit(_STARTERS_BY_PROGRAM[program](file))

    return click.Command(
        program,
        params=[
            click.Option(
                ['--settings', 'settings_path'],
                type=click.Path(path_type=pathlib.Path),
                required=True,
                help='Settings file in YAML.',
            ),
            click.Option(
                ['--check'],
                is_flag=True,
                help='Check the settings and start nothing.',
            ),
        ],
        callback=run,
        help=(
            f'{_SUMMARIES_BY_PROGRAM[program]}\n\n'
            f'Example: cardamomflow-{program} --settings {program}.yaml'
        ),
    )


def _create_command() -> click.Group:
    """Return the command that holds all programs."""
    group = click.Group(
        'cardamomflow',
        help=(
            'Query tier between callers and many sharded backend servers.\n\n'
            'Example: cardamomflow publish --based-on 3 --register'
            ' register.yaml --rules rules.yaml --settings operator.yaml'
        ),
    )
    click.version_option(cardamomflow.__version__)(group)
    for program in _STARTERS_BY_PROGRAM:
        group.add_command(_daemon_command(program))
    group.add_command(load.load)
    for command in commands.operator.commands.values():
        group.add_command(command)
    return group


def main(arguments: Sequence[str]) -> int:
    """Run a program and return its exit status."""
    try:
        _create_command().main(
            list(arguments), 'cardamomflow', standalone_mode=False
        )
    except (errors.FlowError, click.ClickException) as error:
        return _print_error(error)
    except (KeyboardInterrupt, click.Abort):
        return exitstatus.ExitStatus.INTERRUPTED
    except SystemExit as system_exit:
        return _exit_status(system_exit)
    return exitstatus.ExitStatus.OK


def _print_error(error: errors.FlowError | click.ClickException) -> int:
    if isinstance(error, click.ClickException):
        error.show()
        return exitstatus.ExitStatus.USAGE
    click.echo(f'error ({error.code}): {error.message}', err=True)
    return error.exit_status


def _exit_status(system_exit: SystemExit) -> int:
    return (
        system_exit.code
        if isinstance(system_exit.code, int)
        else exitstatus.ExitStatus.FAILED
    )


def run_operator() -> None:
    """Run the operators' command line."""
    sys.exit(main(sys.argv[1:]))


def run_agent() -> None:
    """Run the agent program."""
    sys.exit(main(('agent', *sys.argv[1:])))


def run_entry() -> None:
    """Run the entry program."""
    sys.exit(main(('entry', *sys.argv[1:])))


def run_aggregator() -> None:
    """Run the aggregator program."""
    sys.exit(main(('aggregator', *sys.argv[1:])))


def run_host() -> None:
    """Run the host program."""
    sys.exit(main(('host', *sys.argv[1:])))


def run_load() -> None:
    """Run the load tool."""
    sys.exit(main(('load', *sys.argv[1:])))
