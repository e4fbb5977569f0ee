"""Requests of callers: parsing and bounds; sans-I/O."""

from typing import Any, NamedTuple

from cardamomflow import errors, rules

MAX_DEADLINE_MS = 3_600_000
MAX_LIMIT = 1000
DEFAULT_LIMIT = 10
_MAX_TEXT = 256
_MS = 1000


class Caller(NamedTuple):
    """What every request says of itself.

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
    document: dict[str, Any], source: rules.Rules, now: float
) -> Caller:
    """Return what a request says of itself.

    Raises
    ------
    errors.BadRequest, errors.NotFound
        A field is missing or malformed, or names unknown work.
    """
    rank = source.rank_of(
        optional_text(document, 'work'), optional_text(document, 'rank')
    )
    target_ms = source.rules_by_rank[rank].target_ms
    deadline_ms = integer(
        document, 'deadline_ms', default=target_ms, bounds=(1, MAX_DEADLINE_MS)
    )
    return Caller(
        text(document, 'request_id'),
        text(document, 'service'),
        rank,
        optional_text(document, 'customer') or '',
        now + deadline_ms / _MS,
    )


class QuerySpec(NamedTuple):
    """What a query asks for.

    Attributes
    ----------
    query : dict
        Passed on to the backend servers.
    limit : int
        Rows of the answer at most.
    traced : bool
        Whether the caller asked for a trace.
    """

    query: dict[str, Any]
    limit: int
    traced: bool


def parse_query(document: dict[str, Any]) -> QuerySpec:
    """Return what a query asks for.

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


def text(document: dict[str, Any], key: str) -> str:
    """Return a required string.

    Raises
    ------
    errors.BadRequest
        The string is missing, empty or too long.
    """
    found = document.get(key)
    if not isinstance(found, str) or not 1 <= len(found) <= _MAX_TEXT:
        raise errors.BadRequest(
            f'{key} is not a string of 1 to {_MAX_TEXT} characters'
        )
    return found


def optional_text(document: dict[str, Any], key: str) -> str | None:
    """Return a string, or None when the key is absent.

    Raises
    ------
    errors.BadRequest
        The value is not a string, is empty or too long.
    """
    if document.get(key) is None:
        return None
    return text(document, key)


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
        The value is no integer or outside its bounds.
    """
    found = document.get(key, default)
    minimum, maximum = bounds
    is_integer = isinstance(found, int) and not isinstance(found, bool)
    if not is_integer or not minimum <= found <= maximum:
        raise errors.BadRequest(
            f'{key} is not an integer from {minimum} to {maximum}'
        )
    return found
