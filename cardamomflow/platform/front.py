"""HTTP handlers that serve callers in the platform's protocol.

The handlers are stateless. They translate requests and responses; an
`Application`, such as the host of `hosting`, chooses the route and obtains the
answer.
"""

import abc
import math
from typing import Any

from cardamomflow import errors, requeststate, routes, webhandler
from cardamomflow.accounts import counters, table
from cardamomflow.platform import backendlink, requestheaders, wire

_OK = 200
_MS = 1000
# Connection set-up takes two trips between caller and host, 3 ms each for the
# slower customer.
CONNECT_TIME_S = 0.006
# A number with more digits is not a plausible deadline in milliseconds.
_MAX_DIGITS = 9


class Application(abc.ABC):
    """Routes and answers requests for the handlers."""

    @abc.abstractmethod
    def route(self, host: str, path: str) -> routes.Route:
        """Return the route of a request.

        Raises
        ------
        errors.NotReady, errors.NotFound
            No routes are available yet, or no route matches.
        """

    @abc.abstractmethod
    async def check_accounts(self, remaining_s: float) -> float:
        """Find out whether accounts were introduced, for a request with a key.

        Parameters
        ----------
        remaining_s : float
            Time that the request has left.

        Returns
        -------
        float
            Seconds that the request waited.
        """

    @abc.abstractmethod
    def authenticate(
        self, route: routes.Route, key: str | None
    ) -> table.Account | None:
        """Return the client account of a request; None if it needs none.

        Raises
        ------
        errors.UnknownKey, errors.NotReady
            No account holds the key, or this host can't know yet.
        """

    @abc.abstractmethod
    async def answer(
        self,
        route: routes.Route,
        message: Any,
        time_budget: requeststate.TimeBudget,
        account: table.Account | None = None,
    ) -> requeststate.Work:
        """Send a request and return it once it is answered.

        Raises
        ------
        errors.FlowError
            The request has no answer.
        """

    @abc.abstractmethod
    def record_refusal(self, request_id: str, error: errors.FlowError) -> None:
        """Record a request that got no route or has no valid key."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Whether the host accepts new callers."""

    @abc.abstractmethod
    def record_failure(self, error: errors.FlowError) -> None:
        """Record a failed request."""


class CallerHandler(webhandler.RequestHandler):
    """Answers requests of callers."""

    def __init__(
        self,
        application: Application,
        account_counters: counters.AccountCounters,
    ) -> None:
        self._application = application
        self._account_counters = account_counters

    def record_failure(self, error: errors.FlowError) -> None:
        """Record a failed request."""
        self._application.record_failure(error)

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Answer one request."""
        key = requestheaders.find_key(request.raw_headers)
        headers = request.headers
        request_id = headers.get(wire.REQUEST_ID.decode())
        if request_id is None:
            raise errors.BadRequest('the request has no x-request-id header')
        remaining_s = _caller_timeout_s(headers)
        if key is not None:
            remaining_s -= await self._application.check_accounts(remaining_s)
        try:
            route = self._application.route(
                _host_name(headers), request.path.partition('?')[0]
            )
            account = self._application.authenticate(route, key)
        except errors.FlowError as error:
            self._application.record_refusal(request_id, error)
            raise
        with self._account_counters.counting(account):
            work = await self._application.answer(
                route,
                _backend_message(request, request_id, account),
                requeststate.TimeBudget(
                    remaining_s,
                    CONNECT_TIME_S if request.is_first else 0,
                ),
                account,
            )
        response = _response(work)
        work.drop_bodies()
        return response


class ReadinessHandler(webhandler.RequestHandler):
    """Answers the readiness checks of the platform."""

    def __init__(self, application: Application) -> None:
        self._application = application

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Answer one readiness check."""
        if request.path.partition('?')[0] != wire.READY_PATH:
            raise errors.NotFound(f'no such path: {request.path}')
        if not self._application.ready:
            raise errors.NotReady(
                'no routes yet, stopping, or cut off from backend servers'
            )
        return webhandler.Response(_OK, {'ready': True})


def _host_name(headers: dict[str, str]) -> str:
    """Return the host name of a request without its port, in lower case."""
    parts = headers.get('host', '').rpartition(':')
    return (parts[0] or parts[2]).lower()


def _caller_timeout_s(headers: dict[str, str]) -> float:
    """Return the remaining time of a caller; infinite without a number."""
    timeout_ms = headers.get(wire.DEADLINE.decode(), '')
    is_number = timeout_ms.isascii() and timeout_ms.isdigit()
    if not is_number or len(timeout_ms) > _MAX_DIGITS:
        return math.inf
    return int(timeout_ms) / _MS


def _backend_message(
    request: webhandler.Request,
    request_id: str,
    account: table.Account | None,
) -> backendlink.Message:
    headers = requestheaders.set_account(
        requestheaders.select_forwarded(request.raw_headers),
        None if account is None else account.name,
    )
    if request.body or request.method in {'POST', 'PUT', 'PATCH'}:
        headers.append((b'content-length', b'%d' % len(request.body)))
    return backendlink.Message(
        request.method.encode('latin-1'),
        request.path.encode('latin-1'),
        headers,
        request.body,
        request_id.encode('latin-1'),
        request.part_counter,
    )


def _response(work: requeststate.Work) -> webhandler.Response:
    if work.route.merges_answers:
        return _merged_response(work)
    reply = work.subrequests[0].reply or work.subrequests[0].error_reply
    return webhandler.Response(reply.status, None, reply.headers, reply.body)


def _merged_response(work: requeststate.Work) -> webhandler.Response:
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
