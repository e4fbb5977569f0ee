"""Connection pool of one backend server, with a limit of connections.

A connection serves one call at a time. It is closed after a call that did not
end cleanly, so that a late answer can't reach another call.
"""

from collections.abc import Callable
from typing import Any

import curio

from cardamomflow import bodybudget, errors, register, webclient

IDLE_LIMIT_S = 20.0
_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
_MS = 1000
CONTROL_TIMEOUT_S = 1.0


class BackendPool:
    """Data connections and the control connection of a backend server."""

    def __init__(
        self,
        backend: register.Backend,
        allowance: int,
        clock: Callable[[], float],
        body_budget: bodybudget.BodyBudget[Any],
    ) -> None:
        """Start without connections.

        `allowance` is the number of connections that this process may open to
        the backend server. One of them is reserved for status and cancellation.
        """
        self._body_budget = body_budget
        self.backend = backend
        self.data_allowance = max(1, allowance - 1)
        self._clock = clock
        self._idle: list[tuple[webclient.WebConnection, float]] = []
        self._open = 0
        self._control: webclient.WebConnection | None = None
        self._control_lock = curio.Lock()
        self._retired = False
        self._queued_cancels: list[str] = []
        self._is_cancelling = False

    @property
    def open_connections(self) -> int:
        """Number of open connections, with the control connection."""
        return self._open + int(self._control is not None)

    async def call(
        self,
        target: str,
        document: Any,
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> webclient.Reply:
        """Send one call.

        Parameters
        ----------
        target : str
        document : Any
        timeout_s : float
        fresh : bool
            Open a new connection. All idle connections may have stopped
            responding at once, which would lose a hedge or retry as well.

        Raises
        ------
        errors.ConnectFailed
            Nothing was sent.
        errors.DeadlineExceeded
            No answer within `timeout_s`; the connection is closed.
        errors.PeerLost, errors.ProtocolViolation
            The connection ended or the answer was malformed.
        """
        started_at = self._clock()
        if fresh:
            await self._close_idle(used_before=started_at)
        connection = await self._acquire(timeout_s)
        remaining_s = timeout_s - (self._clock() - started_at)
        try:
            return await curio.timeout_after(
                max(0.0, remaining_s),
                connection.exchange,
                'POST',
                target,
                document,
            )
        except curio.TaskTimeout:
            await self._close_idle(used_before=started_at)
            raise errors.DeadlineExceeded(
                f'{self.backend.backend_id} did not answer in time'
            ) from None
        finally:
            await self._release(connection)

    async def status(self) -> dict[str, Any]:
        """Read the status report.

        Raises
        ------
        errors.FlowError
            The report could not be read.
        """
        reply = await self._control_exchange('GET', '/v1/status', None)
        if reply.status != _HTTP_OK:
            raise errors.BackendFailed(f'status {reply.status}')
        return reply.json()

    async def cancel(self, attempts: list[str]) -> None:
        """Cancel attempts; after a failure they continue to run.

        Attempts that are added during a cancellation are sent with the next.

        Parameters
        ----------
        attempts : list of str
            Attempts that are no longer needed.
        """
        self._queued_cancels.extend(attempts)
        if self._is_cancelling:
            return
        self._is_cancelling = True
        try:
            while self._queued_cancels:
                await self._send_cancels()
        except errors.FlowError:
            self._queued_cancels.clear()
        finally:
            self._is_cancelling = False

    async def _send_cancels(self) -> None:
        attempts, self._queued_cancels = self._queued_cancels, []
        await self._control_exchange(
            'POST', '/v1/cancel', {'attempts': attempts}
        )

    async def retire(self) -> None:
        """Close idle connections now and the others as their calls end."""
        self._retired = True
        await self._close_idle(used_before=self._clock())
        await self._close_control()

    async def _close_idle(self, used_before: float) -> None:
        """Close idle connections that were last used up to a time."""
        stale = [idle for idle in self._idle if idle[1] <= used_before]
        self._idle = [idle for idle in self._idle if idle[1] > used_before]
        for connection, _ in stale:
            await self._close(connection)

    async def _acquire(self, timeout_s: float) -> webclient.WebConnection:
        usable_since = self._clock() - IDLE_LIMIT_S
        while self._idle:
            connection, used_at = self._idle.pop()
            if used_at >= usable_since and connection.reusable:
                return connection
            await self._close(connection)
        if self._open >= self.data_allowance:
            raise errors.ConnectFailed('the connection allowance is used up')
        self._open += 1
        try:
            return await webclient.connect(
                self.backend.address,
                self.backend.port,
                timeout_s,
                self._body_budget,
            )
        except BaseException:
            self._open -= 1
            raise

    async def _release(self, connection: webclient.WebConnection) -> None:
        if connection.reusable and not self._retired:
            self._idle.append((connection, self._clock()))
        else:
            await self._close(connection)

    async def _close(self, connection: webclient.WebConnection) -> None:
        self._open -= 1
        await connection.close()

    async def _control_exchange(
        self, method: str, target: str, document: Any
    ) -> webclient.Reply:
        async with self._control_lock:
            try:
                return await curio.timeout_after(
                    CONTROL_TIMEOUT_S,
                    self._exchange_on_control,
                    method,
                    target,
                    document,
                )
            except curio.TaskTimeout:
                await self._close_control()
                raise errors.DeadlineExceeded(
                    f'{self.backend.backend_id} did not report in time'
                ) from None

    async def _exchange_on_control(
        self, method: str, target: str, document: Any
    ) -> webclient.Reply:
        if self._control is not None and not self._control.reusable:
            await self._close_control()
        if self._control is None:
            self._control = await webclient.connect(
                self.backend.address,
                self.backend.port,
                CONTROL_TIMEOUT_S,
                self._body_budget,
            )
        return await self._control.exchange(method, target, document)

    async def _close_control(self) -> None:
        control, self._control = self._control, None
        if control is not None:
            await control.close()


def check_reply(reply: webclient.Reply) -> dict[str, Any]:
    """Return the document of a 200 reply.

    Raises
    ------
    errors.BackendRefused
        The backend server refused the call before it started the work.
    errors.BackendFailed
        Any other status.
    errors.ProtocolViolation
        The body is not a JSON object.
    """
    document = reply.json()
    if reply.status == _HTTP_OK:
        return document
    if (
        reply.status == _HTTP_UNAVAILABLE
        and document.get('outcome') == errors.Outcome.NOT_RUN
    ):
        raise errors.BackendRefused(str(document.get('error', 'refused')))
    raise errors.BackendFailed(f'status {reply.status}')


def to_ms(duration_s: float) -> int:
    """Return whole milliseconds of a duration, at least 1."""
    return max(1, int(duration_s * _MS))
