"""Requests, responses and the request handlers of the HTTP server.

Defines the format of error responses. It does not depend on connections, so
that handlers can be tested without one.
"""

import abc
from collections.abc import Sequence
from typing import Any, NamedTuple

from cardamomflow import errors, jsonbody
from cardamomflow.heldbytes import budget


class Request(NamedTuple):
    """A complete request.

    Attributes
    ----------
    method, path : str
    headers : dict of str to str
    body : bytes
    raw_headers : sequence of (bytes, bytes)
    is_first : bool
        Whether it is the first request on its connection.
    part_counter : budget.PartCounter or None
        Counts the parts of the answer that wait for others.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    raw_headers: Sequence[tuple[bytes, bytes]] = ()
    is_first: bool = False
    part_counter: budget.PartCounter | None = None

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        Raises
        ------
        errors.BadRequest
            The body is not a JSON object.
        """
        return jsonbody.parse_object(self.body, errors.BadRequest)


class Response(NamedTuple):
    """A response.

    Attributes
    ----------
    status : int
    document : Any
        Sent as JSON if `body` is None.
    headers : sequence of pairs
        Further headers.
    body : bytes or None
        Sent unchanged.
    """

    status: int
    document: Any
    headers: Sequence[tuple[Any, Any]] = ()
    body: bytes | None = None


class RequestHandler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, request: Request) -> Response:
        """Return the response to a request.

        The task is cancelled when the caller disconnects.

        Raises
        ------
        errors.FlowError
            The request failed; the caller gets an error response.
        """

    def record_failure(self, error: errors.FlowError) -> None:
        """Record a failure in the metrics."""


def error_response(
    error: errors.FlowError, request_id: str | None = None
) -> Response:
    """Return the response that reports a failure."""
    headers = []
    if error.retry_after_s is not None:
        headers.append(('retry-after', f'{error.retry_after_s:g}'))
    return Response(
        error.status,
        {
            'request_id': request_id,
            'error': {
                'code': error.code,
                'message': error.message,
                'outcome': error.outcome,
            },
        },
        headers,
    )
