"""Pages of the docs that are made from the schema and from tables."""

import json
import pathlib
from collections.abc import Iterator
from typing import Any

from cardamomflow import metricdefinitions, telemetry

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / 'docs'
SETTINGS = 'settings.md'
METRICS = 'metrics.md'

_SETTINGS_HEAD = """# Settings

Every program reads a YAML file, given by `--settings`; `--check` checks it and
starts nothing. All errors of a file are reported at once, with the key, the
value found and what was expected. Made from `schema/settings.json` by `make
generate`; what a setting did in a measured case is in
[operators.md](operators.md).
"""
_METRICS_HEAD = """# Metrics

Each process serves its figures as text at `/metrics` of the address `metrics`
in its settings, in the format that Prometheus reads; without the setting it
listens nowhere. Names carry the unit. Every counter is also in `GET
/v1/status` of an entry, under its short name. Label values are members of
enumerations, error codes or the names of at most 100 client accounts, so their
number is bounded.

Made from `cardamomflow/metricdefinitions.py` by `make generate`. statsd is not
used any more: nothing here read what was sent, and the agent never sent
anything.
"""
_PROGRAMS = {
    'HostSettings': 'cardamomflow-host',
    'EntrySettings': 'cardamomflow-entry',
    'AggregatorSettings': 'cardamomflow-aggregator',
    'AgentSettings': 'cardamomflow-agent',
    'OperatorSettings': 'cardamomflow, for operators',
}


def pages() -> dict[str, str]:
    """Return the made pages by name."""
    schema = json.loads((ROOT / 'schema' / 'settings.json').read_text())
    return {
        SETTINGS: '\n'.join((*_settings_lines(schema['$defs']), '')),
        METRICS: '\n'.join((*_metrics_lines(), '')),
    }


def _settings_lines(definitions: dict[str, Any]) -> Iterator[str]:
    yield _SETTINGS_HEAD
    for name, program in _PROGRAMS.items():
        yield f'## {program}\n'
        yield '| key | needed | value | meaning |'
        yield '| --- | --- | --- | --- |'
        yield from _rows(definitions[name], definitions, '')
        yield ''


def _rows(
    definition: dict[str, Any], definitions: dict[str, Any], prefix: str
) -> Iterator[str]:
    """Return the rows of an object, each followed by those of its keys."""
    required = definition.get('required', ())
    for key, found in definition['properties'].items():
        schema = _resolve(found, definitions)
        needed = 'yes' if key in required else 'no'
        yield (
            f'| `{prefix}{key}` | {needed} | {_value(schema)}'
            f' | {found["description"]} |'
        )
        if 'properties' in schema:
            yield from _rows(schema, definitions, f'{prefix}{key}.')


def _resolve(
    found: dict[str, Any], definitions: dict[str, Any]
) -> dict[str, Any]:
    reference = found.get('$ref')
    if reference is None:
        return found
    return definitions[reference.rpartition('/')[2]]


def _value(schema: dict[str, Any]) -> str:
    if 'enum' in schema:
        return ', '.join(map(str, schema['enum']))
    if 'pattern' in schema:
        return 'IP number' if 'a-f' in schema['pattern'] else 'IP number, port'
    bounds = [
        str(schema[bound])
        for bound in ('minimum', 'maximum')
        if bound in schema
    ]
    return ' '.join((schema.get('type', 'object'), ' to '.join(bounds))).strip()


def _metrics_lines() -> Iterator[str]:
    yield _METRICS_HEAD
    for title, rows, suffix in (
        ('Counters', metricdefinitions.COUNTERS, '_total'),
        ('Gauges', metricdefinitions.GAUGES, ''),
        ('Durations', metricdefinitions.DURATIONS, ''),
    ):
        yield f'## {title}\n'
        yield '| name | short name | meaning |'
        yield '| --- | --- | --- |'
        for row in rows:
            yield _metric_row(row, suffix)
        yield ''
    bounds = ', '.join(
        f'{bound:g}' for bound in metricdefinitions.DURATION_BOUNDS_S
    )
    yield f'Durations are histograms with bounds at {bounds} s.'


def _metric_row(row: metricdefinitions.MetricDefinition, suffix: str) -> str:
    label = f'{{{row.label}}}' if row.label else ''
    short = f'{row.name}.<{row.label}>' if row.label else row.name
    return (
        f'| `{telemetry.PREFIX}{row.exposed_name}{suffix}{label}` | `{short}`'
        f' | {row.help_text} |'
    )
