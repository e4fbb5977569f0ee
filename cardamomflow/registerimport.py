"""Converts asset register exports in CSV or YAML to register documents.

Each row describes a backend server, with the columns of its service. Every
problem is reported with its line.
"""

import csv
import io
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from cardamomflow import errors, register, settings

_ID = 'backend_server'
_ZONE = 'availability_zone'
_FIRST_MAP = '1'
_FIRST_LINE = 2  # the header is line 1
_BOOLEANS = {'true': True, 'yes': True, 'false': False, 'no': False}


class Row(NamedTuple):
    """One backend server of an export.

    Attributes
    ----------
    location : str
        Line or row number, for error messages.
    cells : dict
        Cells by column name.
    """

    location: str
    cells: dict[str, Any]


class Column(NamedTuple):
    """One column of an export.

    Attributes
    ----------
    name : str
    kind : type
        `str`, `int`, `float` or `bool`.
    required : bool
    """

    name: str
    kind: type
    required: bool = True

    @property
    def expected(self) -> str:
        """Description of a valid cell, for error messages."""
        return {
            str: 'a text',
            int: 'a whole number',
            float: 'a number',
            bool: 'true or false',
        }[self.kind]


_BACKEND_COLUMNS = (
    Column('service', str),
    Column(_ZONE, str),
    Column('address', str),
    Column('port', int),
    Column('host', str, required=False),
    Column('leaving', bool, required=False),
)
_SERVICE_COLUMNS = (
    Column('index', str, required=False),
    Column('slots', int),
    Column('connections', int),
    Column('connection_cost_ms', float),
)
_OTHER_COLUMNS = (
    Column(_ID, str),
    Column('region', str),
    Column('shards_per_service', int, required=False),
)
COLUMNS = (*_OTHER_COLUMNS, *_BACKEND_COLUMNS, *_SERVICE_COLUMNS)


def read_export(path: pathlib.Path) -> dict[str, Any]:
    """Read an export and return a checked register document.

    Parameters
    ----------
    path : pathlib.Path
        `.csv` is read as CSV, anything else as YAML: a list of rows with the
        names of `COLUMNS`, or a register document.

    Raises
    ------
    errors.InvalidDocument
        Lists every problem of the export.
    """
    source = str(path)
    if path.suffix.lower() == '.csv':
        document = _build(_read_csv(path), source)
    else:
        document = _from_yaml(settings.read_yaml(path), source)
    register.Register.from_document(document, source)
    return document


def _read_csv(path: pathlib.Path) -> list[Row]:
    try:
        text = path.read_text(encoding='utf-8-sig')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidDocument(
            [
                errors.SettingsProblem(
                    str(path), '(file)', str(error), 'a readable CSV in UTF-8'
                )
            ]
        ) from error
    reader = csv.DictReader(io.StringIO(text), skipinitialspace=True)
    return [
        Row(f'line {line}', cells)
        for line, cells in enumerate(reader, _FIRST_LINE)
    ]


def _from_yaml(content: Any, source: str) -> Any:
    if not isinstance(content, list):
        return content
    rows = [
        Row(f'row {number}', cells if isinstance(cells, dict) else {})
        for number, cells in enumerate(content, 1)
    ]
    return _build(rows, source)


def _build(rows: list[Row], source: str) -> dict[str, Any]:
    builder = _Builder(source)
    builder.check_columns(rows)
    for row in rows:
        builder.add(row)
    if builder.problems:
        raise errors.InvalidDocument(builder.problems)
    return builder.document


class _Builder:
    """Builds a register document from rows and collects their problems."""

    def __init__(self, source: str) -> None:
        self.problems: list[errors.SettingsProblem] = []
        self.document: dict[str, Any] = {
            'availability_zones': {},
            'services': {},
            'indexes': {},
            'backend_servers': {},
        }
        self._source = source

    def check_columns(self, rows: list[Row]) -> None:
        """Report unknown columns, and an export without rows."""
        allowed = {column.name for column in COLUMNS}
        present = {str(name) for row in rows for name in row.cells}
        for name in sorted(present - allowed):
            self._report('columns', name, f'only {", ".join(sorted(allowed))}')
        if not rows:
            self._report('rows', 'none', 'one row for each backend server')

    def add(self, row: Row) -> None:
        """Add one backend server, with its service and zone."""
        other_fields = dict(self._parse_cells(row, _OTHER_COLUMNS))
        backend = dict(self._parse_cells(row, _BACKEND_COLUMNS))
        service = dict(self._parse_cells(row, _SERVICE_COLUMNS))
        name = backend.get('service')
        backend_id = other_fields.get(_ID)
        if backend_id in self.document['backend_servers']:
            self._report(f'{row.location}.{_ID}', backend_id, 'an id used once')
        self._add_item(row, 'backend_servers', backend_id, backend)
        self._add_item(row, 'services', name, service)
        zone = {'region': other_fields.get('region')}
        self._add_item(row, 'availability_zones', backend.get(_ZONE), zone)
        shards = other_fields.get('shards_per_service')
        if shards is not None:
            maps = {_FIRST_MAP: {'shards_per_service': shards}}
            index = service.get('index', name)
            self._add_item(row, 'indexes', index, {'maps': maps})

    def _add_item(self, row: Row, part: str, name: Any, fields: Any) -> None:
        """Add an item, or check that it equals the one of an earlier row."""
        if name is None:
            return
        existing = self.document[part].setdefault(name, fields)
        if part != 'backend_servers' and existing != fields:
            self._report(
                f'{row.location}.{part}.{name}',
                str(fields),
                f'the same as in an earlier row: {existing}',
            )

    def _parse_cells(
        self, row: Row, columns: Iterable[Column]
    ) -> Iterator[tuple[str, Any]]:
        for column in columns:
            cell = row.cells.get(column.name)
            text = '' if cell is None else str(cell).strip()
            if text:
                yield from self._parse_cell(row, column, text)
            elif column.required:
                self._report(
                    f'{row.location}.{column.name}', 'nothing', column.expected
                )

    def _parse_cell(
        self, row: Row, column: Column, text: str
    ) -> Iterator[tuple[str, Any]]:
        try:
            yield column.name, _parse(column.kind, text)
        except (KeyError, ValueError):
            self._report(
                f'{row.location}.{column.name}', repr(text), column.expected
            )

    def _report(self, path: str, found: str, expected: str) -> None:
        self.problems.append(
            errors.SettingsProblem(self._source, path, found, expected)
        )


def _parse(kind: type, text: str) -> Any:
    if kind is bool:
        return _BOOLEANS[text.lower()]
    return kind(text)
