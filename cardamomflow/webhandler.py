"""Requests and responses of the HTTP server, and who answers them.

Owns the form of a response that carries a failure. It knows no connection,
so that handlers are tested without one.
"""

import abc
from collections.abc import Sequence
from typing import Any, NamedTuple

from cardamomflow import errors, jsonbody


class Request(NamedTuple):
    """A whole request.

    Attributes
    ----------
    method, path : str
    headers : dict of str to str
    body : bytes
    raw_headers : sequence of (bytes, bytes)
    is_first : bool
        Whether its caller had to open the connection for it.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    raw_headers: Sequence[tuple[bytes, bytes]] = ()
    is_first: bool = False

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
        Sent as JSON, unless there is a body.
    headers : sequence of pairs
        Further headers.
    body : bytes or None
        Sent as it is.
    """

    status: int
    document: Any
    headers: Sequence[tuple[Any, Any]] = ()
    body: bytes | None = None


class RequestHandler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, request: Request) -> Response:
        """Answer one request; failures are raised as `errors.FlowError`.

        The task is cancelled when the caller goes away.
        """

    def failed(self, error: errors.FlowError) -> None:
        """Note a failure, for metrics."""


def error_response(
    error: errors.FlowError, request_id: str | None = None
) -> Response:
    """Return the response that carries a failure."""
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
