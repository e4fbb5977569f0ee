"""Parses JSON bodies of HTTP messages; owns no state."""

import json
from typing import Any

from cardamomflow import errors


def parse_object(
    body: bytes, error_type: type[errors.FlowError]
) -> dict[str, Any]:
    """Parse a body that must be a JSON object.

    Parameters
    ----------
    body : bytes
    error_type : type of errors.FlowError
        Raised when the body is not a JSON object.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise error_type(f'the body is not valid JSON: {error}') from error
    if not isinstance(document, dict):
        raise error_type('the body is not a JSON object')
    return document
