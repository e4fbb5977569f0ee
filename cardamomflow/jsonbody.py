"""JSON bodies of HTTP messages; owns no state."""

import json
from typing import Any

from cardamomflow import errors


def parse_object(
    body: bytes, failure: type[errors.FlowError]
) -> dict[str, Any]:
    """Return a body as a JSON object.

    Parameters
    ----------
    body : bytes
    failure : type of errors.FlowError
        Raised when the body is not a JSON object.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise failure(f'the body is not valid JSON: {error}') from error
    if not isinstance(document, dict):
        raise failure('the body is not a JSON object')
    return document
