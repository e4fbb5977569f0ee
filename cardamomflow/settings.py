"""Reads settings files in YAML and checks them against JSON Schemas.

The schemas are kept in `schema/` and shipped in `cardamomflow.generated`.
"""

import functools
import importlib.resources
import json
import pathlib
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import jsonschema
import yaml
from jsonschema import exceptions

from cardamomflow import errors

CrossCheck = Callable[[Any, str], list[errors.SettingsProblem]]

_MAX_VALUE_LENGTH = 60
_DEFINITIONS = {
    'agent': 'AgentSettings',
    'entry': 'EntrySettings',
    'aggregator': 'AggregatorSettings',
    'operator': 'OperatorSettings',
    'host': 'HostSettings',
}


@functools.cache
def _schema(name: str) -> dict[str, Any]:
    package = importlib.resources.files('cardamomflow.generated')
    return json.loads((package / f'{name}.json').read_text())


@functools.cache
def _validator(name: str) -> jsonschema.Draft202012Validator:
    if name not in _DEFINITIONS:
        return jsonschema.Draft202012Validator(_schema(name))
    definitions = _schema('settings')['$defs']
    root = definitions[_DEFINITIONS[name]]
    return jsonschema.Draft202012Validator({**root, '$defs': definitions})


def _render_path(parts: Iterator[object]) -> str:
    return '.'.join(str(part) for part in parts) or '(document)'


def _render_value(problem: exceptions.ValidationError) -> str:
    value = problem.instance
    if problem.validator == 'additionalProperties':
        # Rendering the whole object could truncate it before its surplus keys.
        value = sorted(value.keys() - problem.schema.get('properties', {}))
    text = json.dumps(value, default=str)
    if len(text) > _MAX_VALUE_LENGTH:
        return f'{text[:_MAX_VALUE_LENGTH]}...'
    return text


def _render_expected(problem: exceptions.ValidationError) -> str:
    expected = problem.validator_value
    match problem.validator:
        case 'required':
            return problem.message
        case 'additionalProperties':
            allowed = ', '.join(sorted(problem.schema.get('properties', {})))
            return f'only the keys {allowed}'
        case 'type':
            return str(expected)
        case 'enum':
            return f'one of {", ".join(map(str, expected))}'
        case _:
            return f'{problem.validator} {expected}'


def check(
    document: object, schema_name: str, source: str
) -> list[errors.SettingsProblem]:
    """Check a document against a schema and list every problem.

    Parameters
    ----------
    document : object
        Parsed YAML or JSON.
    schema_name : str
        `agent`, `entry`, `aggregator`, `host`, `operator`, `register` or
        `rules`.
    source : str
        Origin of the document, named in the problems.

    Returns
    -------
    list of errors.SettingsProblem
        Empty when the document is valid.
    """
    violations = _validator(schema_name).iter_errors(document)
    return [
        errors.SettingsProblem(
            source,
            _render_path(iter(problem.absolute_path)),
            _render_value(problem),
            _render_expected(problem),
        )
        for problem in sorted(violations, key=lambda problem: problem.json_path)
    ]


def require_valid(
    document: object,
    schema_name: str,
    source: str,
    cross_check: CrossCheck | None = None,
) -> None:
    """Check a document and raise an error that lists every problem.

    Parameters
    ----------
    document : object
    schema_name, source : str
        As for `check`.
    cross_check : callable, optional
        Takes the document and its source and returns the problems that a
        schema can't express. Called only if the document fits the schema.

    Raises
    ------
    errors.InvalidDocument
        Lists every problem of the document.
    """
    problems = check(document, schema_name, source)
    if not problems and cross_check is not None:
        problems = cross_check(document, source)
    if problems:
        raise errors.InvalidDocument(problems)


def read_yaml(path: pathlib.Path) -> Any:
    """Read a YAML file.

    Raises
    ------
    errors.InvalidDocument
        The file can't be read or is not YAML.
    """
    try:
        return yaml.safe_load(path.read_text())
    except OSError as error:
        found = error.strerror or type(error).__name__
        expected = 'a readable file'
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        found = ' '.join(str(error).split())
        expected = 'YAML in UTF-8'
    raise errors.InvalidDocument(
        [errors.SettingsProblem(str(path), '(file)', found, expected)]
    )


class SettingsFile(NamedTuple):
    """The settings file of a program.

    Attributes
    ----------
    path : pathlib.Path
    program : str
        Name of the schema, as for `check`.
    """

    path: pathlib.Path
    program: str

    def load(self) -> Any:
        """Read and check the file; raises as the function `load` does."""
        return load(self.path, self.program)

    def version(self) -> tuple[int, int, int] | None:
        """Return a value that changes with the file, None without a file."""
        try:
            file_status = self.path.stat()
        except OSError:
            return None
        return file_status.st_mtime_ns, file_status.st_size, file_status.st_ino


def load(path: pathlib.Path, schema_name: str) -> Any:
    """Read a YAML file and check it against a schema.

    Parameters
    ----------
    path : pathlib.Path
        File to read.
    schema_name : str
        Name of the schema, as for `check`.

    Returns
    -------
    dict
        The document, typed by `cardamomflow.generated.documents`.

    Raises
    ------
    errors.InvalidDocument
        Lists every problem of the file.
    """
    document = read_yaml(path)
    require_valid(document, schema_name, str(path))
    return document
