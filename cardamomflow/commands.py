"""Command line for operators; failures are raised as `errors.FlowError`.

Has no state. `core` maps failures to messages and exit statuses.
"""

import functools
import inspect
import itertools
import json
import pathlib
import secrets
import sys
import urllib.parse
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence
from typing import Any

import click
import curio
import yaml

from cardamomflow import (  # noqa: WPS235  # commands use most modules
    configuration,
    differences,
    errors,
    exitstatus,
    explanations,
    fleet,
    options,
    platform,
    publications,
    publishing,
    registerimport,
    requestcauses,
    settings,
)
from cardamomflow.platform import httpclient

_PUBLISH_ID_BYTES = 8
_IN_FORCE_WITHIN_S = 5
_NEXT_STEP = 'Next:'

operator = click.Group(
    'operator', help='Edit, publish and inspect the configuration.'
)


def _command(name: str, example: str, *params: click.Parameter) -> Any:
    """Return a decorator that registers a command with an example."""
    return functools.partial(_register, name, example, params)


def _register(
    name: str,
    example: str,
    params: Sequence[click.Parameter],
    callback: Callable[..., None],
) -> click.Command:
    summary = inspect.getdoc(callback)
    command = click.Command(
        name,
        params=list(params),
        callback=callback,
        help=f'{summary}\n\n\b\nExample:\n  cardamomflow {example}',
    )
    operator.add_command(command)
    return command


@_command(
    'import',
    'import assets.csv --output register.yaml',
    options.EXPORT,
    options.OUTPUT,
)
def import_register(
    export_path: pathlib.Path, output_path: pathlib.Path | None
) -> None:
    """Convert an asset register export (CSV or YAML) to a register file."""
    document = registerimport.read_export(export_path)
    text = yaml.safe_dump(document, sort_keys=True)
    if output_path is None:
        click.echo(text, nl=False)
        return
    _write(output_path, text)
    click.echo(
        f'{output_path}: {len(document["services"])} services,'
        f' {len(document["backend_servers"])} backend servers\n'
        'Next: check it together with the rules by `cardamomflow validate`.'
    )


@_command(
    'validate',
    'validate --register register.yaml --rules rules.yaml',
    options.REGISTER,
    options.RULES,
)
def validate(register_path: pathlib.Path, rules_path: pathlib.Path) -> None:
    """Check register and rules, and list every problem."""
    _read_documents(register_path, rules_path)
    click.echo(
        f'{register_path} and {rules_path} are valid\n'
        'Next: see what they change by `cardamomflow diff`.'
    )


@_command(
    'diff',
    'diff --register register.yaml --rules rules.yaml --settings operator.yaml',
    options.REGISTER,
    options.RULES,
    options.SETTINGS,
)
def diff(
    register_path: pathlib.Path,
    rules_path: pathlib.Path,
    settings_path: pathlib.Path,
) -> None:
    """Show what publishing the files would change."""
    document = _read_documents(register_path, rules_path)
    stored = _read_published(settings_path)
    changes = differences.difference(stored.document, document)
    if not changes:
        click.echo(f'no change against revision {stored.revision}')
        return
    for change in changes:
        click.echo(str(change))
    click.echo(
        f'changes against revision {stored.revision}: {len(changes)}\n'
        f'Next: `cardamomflow publish --based-on {stored.revision}` if you'
        ' edited that revision.'
    )


@_command(
    'publish',
    'publish --based-on 3 --register register.yaml --rules rules.yaml'
    ' --settings operator.yaml',
    options.BASED_ON,
    options.REGISTER,
    options.RULES,
    options.SETTINGS,
    options.PUBLISH_ID,
    options.RECOVER,
    options.WITHOUT_FLEET,
)
def publish(  # noqa: WPS211  # one argument for each option
    based_on: int,
    register_path: pathlib.Path,
    rules_path: pathlib.Path,
    settings_path: pathlib.Path,
    publish_id: str | None,
    recover: bool,
    without_fleet: bool,
) -> None:
    """Publish register and rules as the next revision."""
    document = _read_documents(register_path, rules_path)
    proposal = publications.Proposal(
        document['register'],
        document['rules'],
        based_on,
        publish_id or secrets.token_hex(_PUBLISH_ID_BYTES),
        recover,
        publish_id is not None,
    )
    # Printed before publishing: an interrupted run is repeated with this id.
    click.echo(
        f'publishing revision {proposal.revision} with'
        f' --publish-id {proposal.publish_id}',
        err=True,
    )
    operator_settings = settings.load(settings_path, 'operator')
    published = _run(
        operator_settings,
        _publish,
        proposal,
        operator_settings,
        without_fleet,
    )
    for change in published.changes:
        click.echo(change)
    click.echo(f'published revision {published.revision}')
    if published.newest_revision > published.revision:
        click.echo(f'since replaced by revision {published.newest_revision}')
    click.echo('Next: see where it is in force by `cardamomflow status`.')


async def _publish(
    store: platform.Platform,
    proposal: publications.Proposal,
    operator_settings: Any,
    without_fleet: bool,
) -> publications.PublishResult:
    reports: list[fleet.RevisionReport] = []
    if not without_fleet:
        agents = fleet.endpoints(operator_settings, 'agents')
        entries = fleet.endpoints(operator_settings, 'entries')
        reports.extend(await fleet.fetch_agent_revisions(agents))
        reports.extend(await fleet.fetch_entry_revisions(entries))
    for report in reports:
        if report.revision is None:
            click.echo(
                f'warning: {report.endpoint}: {report.problem}', err=True
            )
    return await publishing.Publisher(
        store, publishing.RESOLVE_TIMEOUT_S
    ).publish(proposal, reports)


@_command(
    'show',
    'show --part register --settings operator.yaml > register.yaml',
    options.PART,
    options.SETTINGS,
)
def show(part: str, settings_path: pathlib.Path) -> None:
    """Print the configuration that the platform holds, in YAML."""
    stored = _read_published(settings_path)
    if not stored.revision:
        raise errors.NotFound(
            'nothing is published yet.\nNext: `cardamomflow publish'
            ' --based-on 0`.'
        )
    click.echo(f'# revision {stored.revision}, publish id {stored.publish_id}')
    shown = stored.document if part == 'all' else stored.document[part]
    click.echo(yaml.safe_dump(shown, sort_keys=True), nl=False)


@_command('status', 'status --settings operator.yaml', options.SETTINGS)
def status(settings_path: pathlib.Path) -> None:
    """Show the revision in force and its age on every entry.

    Ends with status 1 when an entry is behind or does not answer.
    """
    operator_settings = settings.load(settings_path, 'operator')
    entries = fleet.endpoints(operator_settings, 'entries')
    if not entries:
        raise errors.NotFound(
            f'{settings_path} lists no entries.\nNext: add them under'
            ' `entries`, each with address and port.'
        )
    reports, published = _run(operator_settings, _read_revisions, entries)
    revisions = [report.revision for report in reports]
    newest = max(published or 0, *(revision or 0 for revision in revisions))
    click.echo(_describe_platform(published, newest))
    for report in reports:
        click.echo(_describe_entry(report, newest))
    if published is not None:
        revisions.append(published)
    if any(revision != newest for revision in revisions):
        click.echo(
            f'Next: repeat after {_IN_FORCE_WITHIN_S} s; then check the'
            ' agents of the hosts that are still behind.'
        )
        sys.exit(exitstatus.ExitStatus.FAILED)


async def _read_revisions(
    store: platform.Platform, entries: Sequence[fleet.Endpoint]
) -> tuple[list[fleet.RevisionReport], int | None]:
    reports = await fleet.fetch_entry_revisions(entries)
    try:
        stored = await publishing.read(store)
    except (errors.PlatformUnavailable, errors.InvalidDocument) as error:
        click.echo(f'warning: {error.message}', err=True)
        return reports, None
    return reports, stored.revision


def _describe_platform(published: int | None, newest: int) -> str:
    if published is None:
        return f'platform: not known; newest revision in force {newest}'
    if published < newest:
        return (
            f'platform: revision {published}, OLDER than revision {newest}'
            ' in force: it returned old data or lost data'
        )
    return f'platform: revision {published}'


def _describe_entry(report: fleet.RevisionReport, newest: int) -> str:
    if report.revision is None:
        return f'{report.endpoint}: NO ANSWER: {report.problem}'
    age = ''
    if report.age_s is not None:
        age = f' for {report.age_s:.1f} s'
    behind = '' if report.revision == newest else f', BEHIND {newest}'
    if not report.revision:
        return f'{report.endpoint}: no configuration{behind}'
    return f'{report.endpoint}: revision {report.revision}{age}{behind}'


@_command(
    'explain',
    'explain --service lots --work lot-history --settings operator.yaml',
    options.EXPLAINED_ID,
    options.LOGS,
    options.FAILED,
    options.TARGET,
    options.WORK,
    options.RANK,
    options.OPTIONAL_SETTINGS,
    options.LOCAL_REGISTER,
    options.LOCAL_RULES,
)
def explain(
    request_id: str | None,
    logs: tuple[Any, ...],
    all_failed: bool,
    target: str | None,
    **request_options: Any,
) -> None:
    """Explain how one request ended, or how a kind of request is treated.

    With a request id, reads the log lines of host processes from files or
    standard input, and prints the cause in the last line. With --failed,
    prints the causes of all failed requests instead. With --service, reads the
    published configuration, or the local files when both are given.
    """
    if all_failed:
        # With --failed there is no id: the first argument is a log.
        paths = [request_id] if request_id else []
        _echo(requestcauses.explain_failures(_read_log_lines(paths, logs)))
        return
    if request_id is None and target is None:
        raise click.UsageError('give a request id, or --service')
    if request_id is None:
        _explain_kind(target, **request_options)
        return
    _echo(requestcauses.explain(request_id, _read_log_lines([], logs)))


def _read_log_lines(paths: list[str], logs: tuple[Any, ...]) -> Iterator[str]:
    """Return the lines of all logs, or of standard input without logs."""
    opened = [click.open_file(path) for path in paths]
    return itertools.chain.from_iterable((*opened, *logs) or (sys.stdin,))


def _echo(lines: Iterable[str]) -> None:
    for line in lines:
        click.echo(line)


def _explain_kind(
    target: str,
    work: str | None,
    rank: str | None,
    settings_path: pathlib.Path | None,
    register_path: pathlib.Path | None,
    rules_path: pathlib.Path | None,
) -> None:
    if work is None and rank is None:
        raise click.UsageError('give --work or --rank, as the request does')
    if register_path is not None and rules_path is not None:
        document = {
            'revision': 1,
            **_read_documents(register_path, rules_path),
        }
    elif settings_path is None or register_path or rules_path:
        raise click.UsageError('give --settings, or --register and --rules')
    else:
        document = _read_published(settings_path).document
    config = configuration.Configuration.from_document(document)
    for line in explanations.explain(config, target, work, rank):
        click.echo(line)


@_command(
    'trace',
    'trace 7f3a9c --settings operator.yaml',
    options.REQUEST_ID,
    options.SETTINGS,
)
def trace(request_id: str, settings_path: pathlib.Path) -> None:
    """Print the spans of a request as a tree, with durations."""
    operator_settings = settings.load(settings_path, 'operator')
    spans, problems = curio.run(
        _collect_spans,
        fleet.endpoints(operator_settings, 'entries'),
        request_id,
    )
    for problem in problems:
        click.echo(f'warning: {problem}', err=True)
    if not spans:
        raise errors.NotFound(
            f'no entry of {settings_path} that answered keeps a trace of'
            f' request {request_id!r}.\nNext: send the request again with'
            ' "trace": true; entries keep the latest traces only.'
        )
    for line in explanations.render_trace(spans):
        click.echo(line)


async def _collect_spans(
    entries: Sequence[fleet.Endpoint], request_id: str
) -> tuple[list[Any], list[str]]:
    target = f'/v1/traces/{urllib.parse.quote(request_id, safe="")}'
    spans: list[Any] = []
    problems: list[str] = []
    for entry in entries:
        try:
            spans.extend(await fleet.fetch_trace(entry, target) or ())
        except errors.FlowError as error:
            problems.append(f'{entry}: {error.message}')
    return spans, problems


def _run(
    operator_settings: Any,
    function: Callable[..., Awaitable[Any]],
    *arguments: Any,
) -> Any:
    """Run a coroutine function with a client of the platform."""
    return curio.run(_call, operator_settings, function, arguments)


async def _call(
    operator_settings: Any,
    function: Callable[..., Awaitable[Any]],
    arguments: Sequence[Any],
) -> Any:
    store = httpclient.from_settings(operator_settings['platform'])
    try:
        return await function(store, *arguments)
    except errors.PlatformUnavailable as error:
        if _NEXT_STEP in error.message:
            raise
        raise errors.PlatformUnavailable(
            f'{error.message}; nothing was changed.\n{_NEXT_STEP} check'
            ' `platform` in the settings, and try again when it answers.'
        ) from error
    finally:
        await store.close()


def _read_published(
    settings_path: pathlib.Path,
) -> publications.StoredConfiguration:
    operator_settings = settings.load(settings_path, 'operator')
    return _run(operator_settings, publishing.read)


def _read_documents(
    register_path: pathlib.Path, rules_path: pathlib.Path
) -> dict[str, Any]:
    """Read and check both files; error messages name the files."""
    document = {
        'register': _to_json_types(settings.read_yaml(register_path)),
        'rules': _to_json_types(settings.read_yaml(rules_path)),
    }
    publishing.check_documents(
        document['register'],
        document['rules'],
        str(register_path),
        str(rules_path),
    )
    return document


def _to_json_types(content: Any) -> Any:
    """Return YAML content with the types of JSON, where keys are strings."""
    return json.loads(json.dumps(content, default=str))


def _write(path: pathlib.Path, text: str) -> None:
    try:
        path.write_text(text)
    except OSError as error:
        raise errors.InvalidDocument(
            [
                errors.SettingsProblem(
                    str(path), '(file)', str(error), 'a writable file'
                )
            ]
        ) from error
