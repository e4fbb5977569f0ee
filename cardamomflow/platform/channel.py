"""Calls to the platform, with failures typed by their effect.

Owns the connections to the platform and the number of calls in flight. Every
failure tells whether a change may have taken effect. It knows no keys.
"""

import http
from collections.abc import Callable
from typing import Any, TypeVar

import curio

from cardamomflow import connectionpool, errors, webclient

MAX_CALLS_IN_FLIGHT = 8
MAX_IDLE_CONNECTIONS = 4
# An idle connection may have become unresponsive without an error.
MAX_IDLE_S = 20.0

ParsedT = TypeVar('ParsedT')


class Channel:
    """Calls over pooled connections, with failures typed by their effect."""

    def __init__(self, address: str, port: int, timeout_s: float) -> None:
        """Take the endpoint; connections are opened on use."""
        self._authority = f'{address}:{port}'
        self._timeout_s = timeout_s
        self._pool = connectionpool.ConnectionPool(
            address, port, MAX_IDLE_CONNECTIONS, MAX_IDLE_S
        )
        self._calls = curio.Semaphore(MAX_CALLS_IN_FLIGHT)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._pool.close()

    async def read(self, target: str, wait_s: float = 0) -> webclient.Reply:
        """Send a call without effect that may wait on the platform."""
        exchange = self._exchange if wait_s else self._limited_exchange
        try:
            reply = await curio.timeout_after(
                wait_s + self._timeout_s, exchange, 'GET', target
            )
        except (curio.TaskTimeout, errors.FlowError) as error:
            raise self._unavailable(error) from error
        if reply.status not in {
            http.HTTPStatus.OK,
            http.HTTPStatus.NO_CONTENT,
            http.HTTPStatus.NOT_FOUND,
            http.HTTPStatus.GONE,
        }:
            raise errors.PlatformUnavailable(
                f'the platform at {self._authority} answered with status'
                f' {reply.status}'
            )
        return reply

    def parse_read(
        self,
        reply: webclient.Reply,
        parse: Callable[[dict[str, Any]], ParsedT],
    ) -> ParsedT:
        """Return what a response to a read holds."""
        try:
            return parse(reply.json())
        except errors.ProtocolViolation as error:
            raise self._unavailable(error) from error

    async def change(
        self, method: str, target: str, document: Any = None
    ) -> webclient.Reply:
        """Send a call that may have an effect."""
        sent = _SendMark()
        try:
            reply = await curio.timeout_after(
                self._timeout_s,
                self._limited_exchange,
                method,
                target,
                document,
                sent,
            )
        except (curio.TaskTimeout, errors.FlowError) as error:
            if sent.is_set:
                raise self._lost(error) from error
            raise self._unavailable(error) from error
        self._check_change(reply)
        return reply

    def field_of_change(
        self, reply: webclient.Reply, name: str, kind: type
    ) -> Any:
        """Return a field of the response to a change."""
        try:
            return field(reply.json(), name, kind)
        except errors.ProtocolViolation as error:
            raise self._lost(error) from error

    def _check_change(self, reply: webclient.Reply) -> None:
        if reply.status in {
            http.HTTPStatus.OK,
            http.HTTPStatus.CONFLICT,
            http.HTTPStatus.PRECONDITION_FAILED,
            http.HTTPStatus.NOT_FOUND,
        }:
            return
        shown = f'the platform at {self._authority} answered {reply.status}'
        if reply.status == http.HTTPStatus.TOO_MANY_REQUESTS:
            raise errors.PlatformUnavailable(f'{shown}: too many calls')
        if (
            http.HTTPStatus.BAD_REQUEST
            <= reply.status
            < http.HTTPStatus.INTERNAL_SERVER_ERROR
        ):
            raise errors.BadRequest(f'{shown}: it refused the request')
        # A gateway's failure does not tell whether the store took the write.
        raise errors.OutcomeUnknown(shown)

    async def _limited_exchange(
        self,
        method: str,
        target: str,
        document: Any = None,
        sent: '_SendMark | None' = None,
    ) -> webclient.Reply:
        async with self._calls:
            return await self._exchange(method, target, document, sent)

    async def _exchange(
        self,
        method: str,
        target: str,
        document: Any = None,
        sent: '_SendMark | None' = None,
    ) -> webclient.Reply:
        connection = await self._pool.acquire()
        if sent is not None:
            sent.is_set = True
        try:
            reply = await connection.exchange(method, target, document)
        except BaseException:  # noqa: WPS424 also closes on cancellation
            await connection.close()
            # Idle connections may have gone silent together with this one.
            await self._pool.close()
            raise
        await self._pool.release(connection)
        return reply

    def _unavailable(self, error: BaseException) -> errors.FlowError:
        return errors.PlatformUnavailable(
            f'the platform at {self._authority} is unavailable:'
            f' {self._reason(error)}'
        )

    def _lost(self, error: BaseException) -> errors.FlowError:
        return errors.OutcomeUnknown(
            f'the answer of the platform at {self._authority} was lost:'
            f' {self._reason(error)}'
        )

    def _reason(self, error: BaseException) -> str:
        if isinstance(error, curio.TaskTimeout):
            return f'no response within {self._timeout_s:g} s'
        return str(error)


class _SendMark:
    """Whether a request may have left this process."""

    def __init__(self) -> None:
        self.is_set = False


def field(document: Any, name: str, kind: type) -> Any:
    """Return a field of a document from the platform.

    Raises
    ------
    errors.ProtocolViolation
        It is missing or of another type.
    """
    found = document.get(name) if isinstance(document, dict) else None
    if not isinstance(found, kind):
        raise errors.ProtocolViolation(
            f'the platform sent no {name} of type {kind.__name__}'
        )
    return found
