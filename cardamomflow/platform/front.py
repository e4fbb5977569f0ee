"""Callers' requests in the platform's protocol, translated to our own.

Owns no state: what a request asks is decided by its route, and the answer by
`hosting`.
"""

import abc
import math
from typing import Any

from cardamomflow import errors, requeststate, routes, webhandler
from cardamomflow.platform import backendlink, wire

_OK = 200
_MS = 1000
# Two ways between caller and host, 3 ms each at the slower customer.
CONNECTING_S = 0.006
# More digits are no time that a caller waits for.
_MAX_DIGITS = 9
_SET_BY_HOST = frozenset((wire.DEADLINE, wire.BACKEND_ID))


class Tier(abc.ABC):
    """What answers the requests."""

    @abc.abstractmethod
    def route(self, host: str, path: str) -> routes.Route:
        """Return the route of a request.

        Raises
        ------
        errors.NotReady, errors.NotFound
            There are no routes yet, or none fits.
        """

    @abc.abstractmethod
    async def answer(
        self,
        route: routes.Route,
        message: Any,
        time_budget: requeststate.TimeBudget,
    ) -> requeststate.Work:
        """Return an ended request that has its answer.

        Raises
        ------
        errors.FlowError
            There is no answer.
        """

    @abc.abstractmethod
    def refused(self, request_id: str, error: errors.FlowError) -> None:
        """Note a request that no service was chosen for."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Whether new callers should come here."""

    @abc.abstractmethod
    def failed(self, error: errors.FlowError) -> None:
        """Note a request that failed."""


class Front(webhandler.RequestHandler):
    """Answers callers."""

    def __init__(self, tier: Tier) -> None:
        """Take what answers."""
        self._tier = tier

    def record_failure(self, error: errors.FlowError) -> None:
        """Note a failed request."""
        self._tier.failed(error)

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Answer one request."""
        headers = request.headers
        host = headers.get('host', '').rpartition(':')
        request_id = headers.get(wire.REQUEST_ID.decode())
        if request_id is None:
            raise errors.BadRequest('the request has no id')
        try:
            route = self._tier.route(
                (host[0] or host[2]).lower(), request.path.partition('?')[0]
            )
        except errors.FlowError as error:
            self._tier.refused(request_id, error)
            raise
        work = await self._tier.answer(
            route,
            _message(request, request_id),
            requeststate.TimeBudget(
                _patience_s(headers), CONNECTING_S if request.is_first else 0
            ),
        )
        if route.merges_answers:
            return _merged(work)
        reply = work.subrequests[0].reply or work.subrequests[0].error_reply
        return webhandler.Response(
            reply.status, None, reply.headers, reply.body
        )


class Readiness(webhandler.RequestHandler):
    """Tells the platform whether new callers should come."""

    def __init__(self, tier: Tier) -> None:
        """Take who knows."""
        self._tier = tier

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Answer one question."""
        if request.path.partition('?')[0] != wire.READY_PATH:
            raise errors.NotFound(f'there is no path {request.path}')
        if not self._tier.ready:
            raise errors.NotReady('no routes yet, or stopping')
        return webhandler.Response(_OK, {'ready': True})


def _patience_s(headers: dict[str, str]) -> float:
    """Return how long a caller waits; without a number, as the route says."""
    patience = headers.get(wire.DEADLINE.decode(), '')
    is_number = patience.isascii() and patience.isdigit()
    if not is_number or len(patience) > _MAX_DIGITS:
        return math.inf
    return int(patience) / _MS


def _message(
    request: webhandler.Request, request_id: str
) -> backendlink.Message:
    headers = [
        (name, content)
        for name, content in request.raw_headers
        if name not in wire.CONNECTION_HEADERS and name not in _SET_BY_HOST
    ]
    if request.body or request.method in {'POST', 'PUT', 'PATCH'}:
        headers.append((b'content-length', b'%d' % len(request.body)))
    return backendlink.Message(
        request.method.encode('latin-1'),
        request.path.encode('latin-1'),
        headers,
        request.body,
        request_id.encode('latin-1'),
    )


def _merged(work: requeststate.Work) -> webhandler.Response:
    parts = work.parts()
    return webhandler.Response(
        _OK,
        None,
        [
            ('content-type', 'application/octet-stream'),
            (wire.PART_STAMPS, ','.join(part.stamp for part in parts)),
            (wire.MISSING_PARTS, str(len(work.subrequests) - len(parts))),
        ],
        requeststate.merge(parts, work.route.limit),
    )
