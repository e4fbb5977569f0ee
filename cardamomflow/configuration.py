"""Configuration document: register and rules under one revision; no I/O."""

import json
import zlib
from typing import Any, NamedTuple

from cardamomflow import errors, register, rules

KEY = 'config/current'
# Raised by `Register.build` and `Rules.build` if the structure is unexpected.
_BUILD_ERRORS = (AttributeError, LookupError, TypeError, ValueError)
MAX_DOCUMENT_BYTES = 16_777_216


class Configuration(NamedTuple):
    """A configuration that an operator published.

    Attributes
    ----------
    revision : int
        Increases by one with each accepted change.
    publish_id : str
        Random identifier of the publication.
    register : register.Register
    rules : rules.Rules
    document : dict
        The complete document in its stored form.
    """

    revision: int
    publish_id: str
    register: register.Register
    rules: rules.Rules
    document: dict[str, Any]

    @classmethod
    def from_document(cls, document: Any) -> 'Configuration':
        """Build the configuration from a stored document.

        Raises
        ------
        errors.InvalidDocument
            The document is not a valid configuration.
        """
        revision = document.get('revision')
        if not isinstance(revision, int) or revision < 1:
            raise errors.InvalidDocument(
                [
                    errors.SettingsProblem(
                        KEY,
                        'revision',
                        repr(revision),
                        'a positive integer',
                    )
                ]
            )
        return cls(
            revision,
            str(document.get('publish_id', '')),
            register.Register.from_document(document.get('register')),
            rules.Rules.from_document(document.get('rules')),
            document,
        )

    @classmethod
    def decode(cls, compressed: bytes) -> 'Configuration':
        """Build the configuration from its compressed form.

        The publisher has checked the schema. A second check would block the
        event loop of each process for 1 s with 3,200 backend servers.

        Raises
        ------
        errors.InvalidDocument
            The bytes do not contain a valid configuration.
        """
        document = decompress(compressed)
        try:
            return cls(
                int(document['revision']),
                str(document['publish_id']),
                register.Register.build(document['register']),
                rules.Rules.build(document['rules']),
                document,
            )
        except _BUILD_ERRORS as error:
            problem = errors.SettingsProblem(
                KEY, '(value)', repr(error), 'a published configuration'
            )
            raise errors.InvalidDocument([problem]) from error


def make_document(
    revision: int,
    publish_id: str,
    register_document: Any,
    rules_document: Any,
) -> dict[str, Any]:
    """Return a document in the form that the platform stores."""
    return {
        'revision': revision,
        'publish_id': publish_id,
        'register': register_document,
        'rules': rules_document,
    }


def compress(document: Any) -> bytes:
    """Return the compressed form that is stored and transmitted."""
    return zlib.compress(json.dumps(document, sort_keys=True).encode())


def decompress(compressed: bytes) -> Any:
    """Return the document of a compressed form.

    Raises
    ------
    errors.InvalidDocument
        The bytes are not compressed JSON, or are over the size limit.
    """
    try:
        text = zlib.decompressobj().decompress(compressed, MAX_DOCUMENT_BYTES)
        document = json.loads(text)
    except (zlib.error, ValueError, RecursionError) as error:
        raise errors.InvalidDocument(
            [
                errors.SettingsProblem(
                    KEY,
                    '(value)',
                    str(error),
                    'zlib-compressed JSON',
                )
            ]
        ) from error
    if not isinstance(document, dict):
        raise errors.InvalidDocument(
            [
                errors.SettingsProblem(
                    KEY,
                    '(value)',
                    type(document).__name__,
                    'a JSON object',
                )
            ]
        )
    return document
