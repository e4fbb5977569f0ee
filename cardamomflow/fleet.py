"""Questions of operators to running processes; owns no state.

Asks agents over their control port and entries over HTTP for the revision
in force. A process that does not answer is reported, never guessed.
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
# Above every revision, so that only the revision in force is of interest.
_NEWER_THAN_ALL = sys.maxsize


class Endpoint(NamedTuple):
    """Where a process listens."""

    address: str
    port: int

    def __str__(self) -> str:
        """Render as `address:port`."""
        return f'{self.address}:{self.port}'


class Sighting(NamedTuple):
    """What one process reported.

    Attributes
    ----------
    endpoint : Endpoint
    revision : int or None
        Revision in force, 0 without a configuration, None without an answer.
    age_s : float or None
        Seconds since the revision came into force, where it is known.
    problem : str
        Why there is no answer, empty when there is one.
    """

    endpoint: Endpoint
    revision: int | None
    age_s: float | None = None
    problem: str = ''


def endpoints(settings: Any, name: str) -> list[Endpoint]:
    """Return the endpoints in the `agents` or `entries` of the settings."""
    return [
        Endpoint(found['address'], found['port'])
        for found in settings.get(name, ())
    ]


async def ask_agents(agents: Sequence[Endpoint]) -> list[Sighting]:
    """Ask every agent at once for the revision in force."""
    return await _ask_all(agents, _ask_agent)


async def ask_entries(entries: Sequence[Endpoint]) -> list[Sighting]:
    """Ask every entry at once for the revision in force and its age."""
    return await _ask_all(entries, _ask_entry)


async def fetch_trace(entry: Endpoint, target: str) -> list[Any] | None:
    """Return the spans that an entry keeps, or None when it has none.

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


async def _ask_all(processes: Sequence[Endpoint], ask: Any) -> list[Sighting]:
    async with curio.TaskGroup() as group:
        tasks = [
            await group.spawn(_ask_or_report, process, ask)
            for process in processes
        ]
    return [task.result for task in tasks]


async def _ask_or_report(process: Endpoint, ask: Any) -> Sighting:
    try:
        return await curio.timeout_after(TIMEOUT_S, ask, process)
    except curio.TaskTimeout:
        problem = f'no answer within {TIMEOUT_S:g} s'
    except (OSError, errors.FlowError) as error:
        problem = str(error)
    return Sighting(process, None, problem=problem)


async def _ask_agent(agent: Endpoint) -> Sighting:
    request = control_pb2.Message(
        pull_configuration=control_pb2.PullConfiguration(
            newer_than=_NEWER_THAN_ALL
        )
    )
    answer = await exchange.send_request(*agent, request)
    if not answer.HasField('configuration'):
        raise errors.ProtocolViolation(f'{agent} is not an agent')
    return Sighting(agent, answer.configuration.revision)


async def _ask_entry(entry: Endpoint) -> Sighting:
    reply = await webclient.fetch(
        *entry, 'GET', '/v1/status', timeout_s=TIMEOUT_S
    )
    if reply.status != _OK:
        raise errors.ProtocolViolation(f'status {reply.status} from {entry}')
    in_force = reply.json().get('configuration')
    if in_force is None:
        return Sighting(entry, 0)
    try:
        return Sighting(
            entry, int(in_force['revision']), float(in_force['age_s'])
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.ProtocolViolation(
            f'{entry} sent no revision in its status'
        ) from error
