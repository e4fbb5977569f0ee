"""Calls to the platform over pooled HTTP connections.

Owns the connections to the platform, limits the calls in flight and knows the
newest era of the store. The type of an exception shows whether a change may
have taken effect. The module is independent of keys and document formats.
"""

import http
from collections.abc import Callable
from typing import Any, TypeVar

import curio

from cardamomflow import connectionpool, errors, webclient
from cardamomflow.platform import wire

MAX_CALLS_IN_FLIGHT = 8
MAX_IDLE_CONNECTIONS = 4
# An idle connection may have become unresponsive without an error, so an older
# one is not reused.
MAX_IDLE_S = 20.0

# Eras are positive; answers without the header give no information.
NO_ERA = 0
_MAX_ERA_DIGITS = 18

ParsedT = TypeVar('ParsedT')


class Channel:
    """Sends calls and raises errors that show their possible effect.

    Parameters
    ----------
    address : str
    port : int
    timeout_s : float
        Limit for each call, in addition to the wait that a read requests.
    """

    def __init__(self, address: str, port: int, timeout_s: float) -> None:
        self._authority = f'{address}:{port}'
        self._timeout_s = timeout_s
        # The highest era of any answer, `NO_ERA` before the first.
        self.era = NO_ERA
        self._pool = connectionpool.ConnectionPool(
            address, port, MAX_IDLE_CONNECTIONS, MAX_IDLE_S
        )
        self._call_slots = curio.Semaphore(MAX_CALLS_IN_FLIGHT)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._pool.close()

    async def read(self, target: str, wait_s: float = 0) -> webclient.Reply:
        """Send a call that changes nothing.

        The platform may delay its response by up to `wait_s`. A call that
        waits does not count as a call in flight.

        Raises
        ------
        errors.PlatformUnavailable
            No response in time, or one with an unexpected status.
        """
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
                f'the platform at {self._authority} returned status'
                f' {reply.status}'
            )
        return reply

    def parse_read(
        self,
        reply: webclient.Reply,
        parse: Callable[[dict[str, Any]], ParsedT],
    ) -> ParsedT:
        """Parse the response to a read.

        Raises
        ------
        errors.PlatformUnavailable
            The response is malformed.
        """
        try:
            return parse(reply.json())
        except errors.ProtocolViolation as error:
            raise self._unavailable(error) from error

    async def change(
        self, method: str, target: str, document: Any = None
    ) -> webclient.Reply:
        """Send a call that changes the store.

        Raises
        ------
        errors.PlatformUnavailable
            The call had no effect.
        errors.OutcomeUnknown
            The call may have taken effect.
        errors.BadRequest
            The platform refused the request.
        """
        send_state = _SendState()
        try:
            reply = await curio.timeout_after(
                self._timeout_s,
                self._limited_exchange,
                method,
                target,
                document,
                send_state,
            )
        except (curio.TaskTimeout, errors.FlowError) as error:
            if send_state.possibly_sent:
                raise self._unknown_outcome(error) from error
            raise self._unavailable(error) from error
        self._check_change(reply)
        return reply

    def parse_change_field(
        self, reply: webclient.Reply, name: str, expected_type: type
    ) -> Any:
        """Return a field of the response to a change.

        Raises
        ------
        errors.OutcomeUnknown
            The response is malformed.
        """
        try:
            return require_field(reply.json(), name, expected_type)
        except errors.ProtocolViolation as error:
            raise self._unknown_outcome(error) from error

    def _check_change(self, reply: webclient.Reply) -> None:
        if reply.status in {
            http.HTTPStatus.OK,
            http.HTTPStatus.CONFLICT,
            http.HTTPStatus.PRECONDITION_FAILED,
            http.HTTPStatus.NOT_FOUND,
        }:
            return
        message = (
            f'the platform at {self._authority} returned status {reply.status}'
        )
        if reply.status == http.HTTPStatus.TOO_MANY_REQUESTS:
            raise errors.PlatformUnavailable(f'{message}: too many calls')
        if (
            http.HTTPStatus.BAD_REQUEST
            <= reply.status
            < http.HTTPStatus.INTERNAL_SERVER_ERROR
        ):
            raise errors.BadRequest(f'{message}: request refused')
        # After a gateway error, the write may or may not have been applied.
        raise errors.OutcomeUnknown(message)

    async def _limited_exchange(
        self,
        method: str,
        target: str,
        document: Any = None,
        send_state: '_SendState | None' = None,
    ) -> webclient.Reply:
        async with self._call_slots:
            return await self._exchange(method, target, document, send_state)

    async def _exchange(
        self,
        method: str,
        target: str,
        document: Any = None,
        send_state: '_SendState | None' = None,
    ) -> webclient.Reply:
        connection = await self._pool.acquire()
        if send_state is not None:
            send_state.possibly_sent = True
        try:
            reply = await connection.exchange(method, target, document)
        except BaseException:  # noqa: WPS424 also closes on cancellation
            await connection.close()
            # The other idle connections may have become unresponsive too.
            await self._pool.close()
            raise
        await self._pool.release(connection)
        self.era = max(self.era, era_of(reply))
        return reply

    def _unavailable(self, error: BaseException) -> errors.FlowError:
        return errors.PlatformUnavailable(
            f'the platform at {self._authority} is unavailable:'
            f' {self._describe(error)}'
        )

    def _unknown_outcome(self, error: BaseException) -> errors.FlowError:
        return errors.OutcomeUnknown(
            f'no usable response to a change from the platform at'
            f' {self._authority}:'
            f' {self._describe(error)}'
        )

    def _describe(self, error: BaseException) -> str:
        if isinstance(error, curio.TaskTimeout):
            return f'no response within {self._timeout_s:g} s'
        return str(error)


class _SendState:
    """Records whether a request may have been sent."""

    def __init__(self) -> None:
        self.possibly_sent = False


def era_of(reply: webclient.Reply) -> int:
    """Return the era of the store in an answer.

    Returns `NO_ERA` if the header is missing, repeated or malformed.
    """
    contents = [
        content for name, content in reply.headers if name == wire.STORE_ERA
    ]
    if len(contents) != 1:
        return NO_ERA
    (content,) = contents
    if not content.isdigit() or len(content) > _MAX_ERA_DIGITS:
        return NO_ERA
    return int(content)


def require_field(document: Any, name: str, expected_type: type) -> Any:
    """Return a field of a document from the platform.

    Raises
    ------
    errors.ProtocolViolation
        The field is missing or has another type.
    """
    value = document.get(name) if isinstance(document, dict) else None
    if not isinstance(value, expected_type):
        raise errors.ProtocolViolation(
            f'the response of the platform has no field {name} of type'
            f' {expected_type.__name__}'
        )
    return value
