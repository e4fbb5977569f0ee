"""Operators' command line; failures leave as `errors.FlowError`.

Owns no state. `core` maps failures to messages and exit statuses.
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

from cardamomflow import (  # noqa: WPS235  # commands join the modules
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
_IN_FORCE_BOUND_S = 5
_NEXT = 'Next:'

operator = click.Group(
    'operator', help='Edit, publish and look into the configuration.'
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
    """Turn an asset register export (CSV or YAML) into a register file."""
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
    present = _read_published(settings_path)
    changes = differences.difference(present.document, document)
    if not changes:
        click.echo(f'no change against revision {present.revision}')
        return
    for change in changes:
        click.echo(str(change))
    click.echo(
        f'changes against revision {present.revision}: {len(changes)}\n'
        f'Next: `cardamomflow publish --based-on {present.revision}` if you'
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
    # Shown first: an interrupted run is repeated with this id.
    click.echo(
        f'publishing revision {proposal.revision} with'
        f' --publish-id {proposal.publish_id}',
        err=True,
    )
    found = settings.load(settings_path, 'operator')
    published = _run(found, _publish, proposal, found, without_fleet)
    for change in published.changes:
        click.echo(change)
    click.echo(f'published revision {published.revision}')
    if published.newest_revision > published.revision:
        click.echo(f'since replaced by revision {published.newest_revision}')
    click.echo('Next: see where it is in force by `cardamomflow status`.')


async def _publish(
    store: platform.Platform,
    proposal: publications.Proposal,
    found: Any,
    without_fleet: bool,
) -> publications.PublishResult:
    sightings: list[fleet.RevisionReport] = []
    if not without_fleet:
        agents = fleet.endpoints(found, 'agents')
        entries = fleet.endpoints(found, 'entries')
        sightings.extend(await fleet.fetch_agent_revisions(agents))
        sightings.extend(await fleet.fetch_entry_revisions(entries))
    for sighting in sightings:
        if sighting.revision is None:
            click.echo(
                f'warning: {sighting.endpoint}: {sighting.problem}', err=True
            )
    return await publishing.Publisher(
        store, publishing.RESOLVE_TIMEOUT_S
    ).publish(proposal, sightings)


@_command(
    'show',
    'show --part register --settings operator.yaml > register.yaml',
    options.PART,
    options.SETTINGS,
)
def show(part: str, settings_path: pathlib.Path) -> None:
    """Print the configuration that the platform holds, in YAML."""
    present = _read_published(settings_path)
    if not present.revision:
        raise errors.NotFound(
            'nothing is published yet.\nNext: `cardamomflow publish'
            ' --based-on 0`.'
        )
    click.echo(
        f'# revision {present.revision}, publish id {present.publish_id}'
    )
    shown = present.document if part == 'all' else present.document[part]
    click.echo(yaml.safe_dump(shown, sort_keys=True), nl=False)


@_command('status', 'status --settings operator.yaml', options.SETTINGS)
def status(settings_path: pathlib.Path) -> None:
    """Show the revision in force and its age on every entry.

    Ends with status 1 when an entry is behind or does not answer.
    """
    found = settings.load(settings_path, 'operator')
    entries = fleet.endpoints(found, 'entries')
    if not entries:
        raise errors.NotFound(
            f'{settings_path} lists no entries.\nNext: add them under'
            ' `entries`, each with address and port.'
        )
    sightings, published = _run(found, _read_revisions, entries)
    revisions = [sighting.revision for sighting in sightings]
    newest = max(published or 0, *(revision or 0 for revision in revisions))
    click.echo(_describe_platform(published, newest))
    for sighting in sightings:
        click.echo(_describe_entry(sighting, newest))
    if published is not None:
        revisions.append(published)
    if any(revision != newest for revision in revisions):
        click.echo(
            f'Next: repeat after {_IN_FORCE_BOUND_S} s; then look at the'
            ' agents of the hosts that are still behind.'
        )
        sys.exit(exitstatus.ExitStatus.FAILED)


async def _read_revisions(
    store: platform.Platform, entries: Sequence[fleet.Endpoint]
) -> tuple[list[fleet.RevisionReport], int | None]:
    sightings = await fleet.fetch_entry_revisions(entries)
    try:
        present = await publishing.read(store)
    except (errors.PlatformUnavailable, errors.InvalidDocument) as error:
        click.echo(f'warning: {error.message}', err=True)
        return sightings, None
    return sightings, present.revision


def _describe_platform(published: int | None, newest: int) -> str:
    if published is None:
        return f'platform: not known; newest revision in force {newest}'
    if published < newest:
        return (
            f'platform: revision {published}, OLDER than revision {newest}'
            ' in force: it served or lost data'
        )
    return f'platform: revision {published}'


def _describe_entry(sighting: fleet.RevisionReport, newest: int) -> str:
    if sighting.revision is None:
        return f'{sighting.endpoint}: NO ANSWER: {sighting.problem}'
    age = ''
    if sighting.age_s is not None:
        age = f' for {sighting.age_s:.1f} s'
    behind = '' if sighting.revision == newest else f', BEHIND {newest}'
    if not sighting.revision:
        return f'{sighting.endpoint}: no configuration{behind}'
    return f'{sighting.endpoint}: revision {sighting.revision}{age}{behind}'


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
    **kind: Any,
) -> None:
    """Explain how one request ended, or how a kind of request is treated.

    With a request id, reads the log lines of host processes from files or
    standard input, and tells the cause in the last line. With --failed, tells
    the causes of all failed requests instead. With --service,
    reads the published configuration, or local files when both are given.
    """
    if all_failed:
        # Without an id, the first word is the first log.
        paths = [request_id] if request_id else []
        _echo(requestcauses.failed(_lines(paths, logs)))
        return
    if request_id is None and target is None:
        raise click.UsageError('give a request id, or --service')
    if request_id is None:
        _explain_kind(target, **kind)
        return
    _echo(requestcauses.explain(request_id, _lines([], logs)))


def _lines(paths: list[str], logs: tuple[Any, ...]) -> Iterator[str]:
    """Return the lines of logs; those of standard input without any."""
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
    found = configuration.Configuration.from_document(document)
    for line in explanations.explain(found, target, work, rank):
        click.echo(line)


@_command(
    'trace',
    'trace 7f3a9c --settings operator.yaml',
    options.REQUEST_ID,
    options.SETTINGS,
)
def trace(request_id: str, settings_path: pathlib.Path) -> None:
    """Print the spans of a request as a tree, with durations."""
    found = settings.load(settings_path, 'operator')
    spans, problems = curio.run(
        _collect_spans, fleet.endpoints(found, 'entries'), request_id
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
    found: Any,
    work: Callable[..., Awaitable[Any]],
    *arguments: Any,
) -> Any:
    """Run a coroutine with the platform of the settings."""
    return curio.run(_call, found, work, arguments)


async def _call(
    found: Any,
    work: Callable[..., Awaitable[Any]],
    arguments: Sequence[Any],
) -> Any:
    store = httpclient.from_settings(found['platform'])
    try:
        return await work(store, *arguments)
    except errors.PlatformUnavailable as error:
        if _NEXT in error.message:
            raise
        raise errors.PlatformUnavailable(
            f'{error.message}; nothing was changed.\n{_NEXT} check `platform`'
            ' in the settings, and try again when it answers.'
        ) from error
    finally:
        await store.close()


def _read_published(
    settings_path: pathlib.Path,
) -> publications.StoredConfiguration:
    found = settings.load(settings_path, 'operator')
    return _run(found, publishing.read)


def _read_documents(
    register_path: pathlib.Path, rules_path: pathlib.Path
) -> dict[str, Any]:
    """Read and check both files; the problems name the files."""
    document = {
        'register': _plain(settings.read_yaml(register_path)),
        'rules': _plain(settings.read_yaml(rules_path)),
    }
    publishing.check_documents(
        document['register'],
        document['rules'],
        str(register_path),
        str(rules_path),
    )
    return document


def _plain(content: Any) -> Any:
    """Return what a YAML file becomes in JSON, where all keys are texts."""
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
