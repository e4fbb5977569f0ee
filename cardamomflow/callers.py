"""Parsing and validation of the requests of callers; sans-I/O."""

from typing import Any, NamedTuple

from cardamomflow import errors, rules

MAX_DEADLINE_MS = 3_600_000
MAX_LIMIT = 1000
DEFAULT_LIMIT = 10
_MAX_TEXT_LENGTH = 256
_MS_PER_S = 1000


class Caller(NamedTuple):
    """Fields that all requests of callers have in common.

    Attributes
    ----------
    request_id : str
    service : str
        Name of a service or an index.
    rank : rules.Rank
    customer : str
    deadline : float
        Monotonic seconds.
    """

    request_id: str
    service: str
    rank: rules.Rank
    customer: str
    deadline: float


def parse_caller(
    document: dict[str, Any], current_rules: rules.Rules, now: float
) -> Caller:
    """Parse the fields that all requests have in common.

    Raises
    ------
    errors.BadRequest, errors.NotFound
        A field is missing or malformed, or names unknown work.
    """
    rank = current_rules.rank_of(
        optional_text(document, 'work'), optional_text(document, 'rank')
    )
    target_ms = current_rules.rules_by_rank[rank].target_ms
    deadline_ms = integer(
        document, 'deadline_ms', default=target_ms, bounds=(1, MAX_DEADLINE_MS)
    )
    return Caller(
        required_text(document, 'request_id'),
        required_text(document, 'service'),
        rank,
        optional_text(document, 'customer') or '',
        now + deadline_ms / _MS_PER_S,
    )


class QuerySpec(NamedTuple):
    """Parameters of a query.

    Attributes
    ----------
    query : dict
        Passed on to the backend servers.
    limit : int
        Maximum number of rows of the answer.
    traced : bool
        Whether the caller requested a trace.
    """

    query: dict[str, Any]
    limit: int
    traced: bool


def parse_query(document: dict[str, Any]) -> QuerySpec:
    """Parse the parameters of a query.

    Raises
    ------
    errors.BadRequest
        A field is malformed.
    """
    query = document.get('query', {})
    if not isinstance(query, dict):
        raise errors.BadRequest('query is not a JSON object')
    limit = integer(
        query, 'limit', default=DEFAULT_LIMIT, bounds=(1, MAX_LIMIT)
    )
    return QuerySpec(query, limit, bool(document.get('trace', False)))


def required_text(document: dict[str, Any], key: str) -> str:
    """Return a required string.

    Raises
    ------
    errors.BadRequest
        The string is missing, empty or too long.
    """
    value = document.get(key)
    if not isinstance(value, str) or not 1 <= len(value) <= _MAX_TEXT_LENGTH:
        raise errors.BadRequest(
            f'{key} is not a string of 1 to {_MAX_TEXT_LENGTH} characters'
        )
    return value


def optional_text(document: dict[str, Any], key: str) -> str | None:
    """Return a string, or None when the key is absent.

    Raises
    ------
    errors.BadRequest
        The value is not a string, is empty or too long.
    """
    if document.get(key) is None:
        return None
    return required_text(document, key)


def integer(
    document: dict[str, Any],
    key: str,
    *,
    default: int | None,
    bounds: tuple[int, int],
) -> int:
    """Return an integer within bounds.

    Raises
    ------
    errors.BadRequest
        The value is not an integer or is outside its bounds.
    """
    value = document.get(key, default)
    minimum, maximum = bounds
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not minimum <= value <= maximum:
        raise errors.BadRequest(
            f'{key} is not an integer from {minimum} to {maximum}'
        )
    return value
