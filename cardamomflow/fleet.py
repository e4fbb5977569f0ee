"""Reads revisions and traces of running processes; owns no state.

Gets the revision in force from agents over their control port, and from
entries over HTTP. A process without an answer is reported with the reason.
"""

import sys
from collections.abc import Sequence
from typing import Any, NamedTuple

import curio

from cardamomflow import errors, exchange, webclient
from cardamomflow.generated import control_pb2

TIMEOUT_S = 2.0
_OK = 200
_SPAN_FIELDS = frozenset(
    ('span_id', 'name', 'process', 'start_unix_s', 'duration_us')
)
# Higher than every revision: only the revision in force is needed.
_NEWER_THAN_ALL = sys.maxsize


class Endpoint(NamedTuple):
    """Address and port on which a process listens."""

    address: str
    port: int

    def __str__(self) -> str:
        """Render as `address:port`."""
        return f'{self.address}:{self.port}'


class RevisionReport(NamedTuple):
    """Revision in force on one process.

    Attributes
    ----------
    endpoint : Endpoint
    revision : int or None
        Revision in force, 0 without a configuration, None without an answer.
    age_s : float or None
        Seconds since the revision came into force, None if unknown.
    problem : str
        Why there is no answer; empty if there is one.
    """

    endpoint: Endpoint
    revision: int | None
    age_s: float | None = None
    problem: str = ''


def endpoints(settings: Any, name: str) -> list[Endpoint]:
    """Return the endpoints in the `agents` or `entries` of the settings."""
    return [
        Endpoint(endpoint['address'], endpoint['port'])
        for endpoint in settings.get(name, ())
    ]


async def fetch_agent_revisions(
    agents: Sequence[Endpoint],
) -> list[RevisionReport]:
    """Return the revision in force on each agent; queries them in parallel."""
    return await _fetch_all(agents, _fetch_agent_revision)


async def fetch_entry_revisions(
    entries: Sequence[Endpoint],
) -> list[RevisionReport]:
    """Return the revision in force on each entry, with its age."""
    return await _fetch_all(entries, _fetch_entry_revision)


async def fetch_trace(entry: Endpoint, target: str) -> list[Any] | None:
    """Return the spans of a trace from an entry, or None if it has none.

    Raises
    ------
    errors.FlowError
        The entry did not answer.
    """
    reply = await webclient.fetch(*entry, 'GET', target, timeout_s=TIMEOUT_S)
    if reply.status != _OK:
        return None
    spans = reply.json().get('spans')
    if isinstance(spans, list) and all(map(_is_span, spans)):
        return spans
    raise errors.ProtocolViolation(f'{entry} sent no list of spans')


def _is_span(span: Any) -> bool:
    return isinstance(span, dict) and span.keys() >= _SPAN_FIELDS


async def _fetch_all(
    processes: Sequence[Endpoint], fetch: Any
) -> list[RevisionReport]:
    async with curio.TaskGroup() as group:
        tasks = [
            await group.spawn(_fetch_or_report_problem, process, fetch)
            for process in processes
        ]
    return [task.result for task in tasks]


async def _fetch_or_report_problem(
    process: Endpoint, fetch: Any
) -> RevisionReport:
    try:
        return await curio.timeout_after(TIMEOUT_S, fetch, process)
    except curio.TaskTimeout:
        problem = f'no answer within {TIMEOUT_S:g} s'
    except (OSError, errors.FlowError) as error:
        problem = str(error)
    return RevisionReport(process, None, problem=problem)


async def _fetch_agent_revision(agent: Endpoint) -> RevisionReport:
    request = control_pb2.Message(
        pull_configuration=control_pb2.PullConfiguration(
            newer_than=_NEWER_THAN_ALL
        )
    )
    answer = await exchange.send_request(*agent, request)
    if not answer.HasField('configuration'):
        raise errors.ProtocolViolation(f'{agent} is not an agent')
    return RevisionReport(agent, answer.configuration.revision)


async def _fetch_entry_revision(entry: Endpoint) -> RevisionReport:
    reply = await webclient.fetch(
        *entry, 'GET', '/v1/status', timeout_s=TIMEOUT_S
    )
    if reply.status != _OK:
        raise errors.ProtocolViolation(f'status {reply.status} from {entry}')
    configuration = reply.json().get('configuration')
    if configuration is None:
        return RevisionReport(entry, 0)
    try:
        return RevisionReport(
            entry, int(configuration['revision']), float(configuration['age_s'])
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.ProtocolViolation(
            f'{entry} sent no revision in its status'
        ) from error
