"""Waiting for a slot of a backend server, and sending one operation to it."""

import json
from collections.abc import Callable

import curio

from cardamomflow import (
    backends,
    calls,
    context,
    errors,
    limits,
    replicaset,
)


class OperationTicket:
    """An operation in the queue that waits for a slot of a backend server."""

    def __init__(self, tried: set[str]) -> None:
        """Exclude the backend servers that proved not to have run it."""
        self.tried = tried
        self.settled = False
        self._backend_id: str | None = None
        self._refusal: errors.FlowError | None = None
        self._decided = curio.Event()

    async def grant(self, backend_id: str) -> None:
        """Assign a slot of a backend server to the operation."""
        self.settled = True
        self._backend_id = backend_id
        await self._decided.set()

    async def refuse(self, error: errors.FlowError) -> None:
        """End the wait; nothing was sent."""
        self.settled = True
        self._refusal = error
        await self._decided.set()

    async def wait(self, timeout_s: float) -> str:
        """Return the backend server whose slot was granted.

        Raises
        ------
        errors.FlowError
            The wait ended without a slot; nothing was sent.
        """
        async with curio.ignore_after(max(0, timeout_s)):
            await self._decided.wait()
        self.settled = True
        if self._backend_id is not None:
            return self._backend_id
        raise self._refusal or errors.DeadlineUnreachable(
            'no slot was free before the deadline'
        )


class OperationSender:
    """Sends operations to the backend servers whose slots were granted."""

    def __init__(
        self, replicas: replicaset.ReplicaSet, process_context: context.Context
    ) -> None:
        """Create a sender for the backend servers of one service."""
        self._replicas = replicas
        self._random = process_context.random
        self._clock = process_context.clock

    async def send(
        self,
        backend_id: str,
        operation_key: str,
        payload: bytes,
        deadline: float,
        may_send: Callable[[], bool],
    ) -> bytes:
        """Send an operation once and return its result as JSON.

        Raises
        ------
        errors.FlowError
            Its outcome states whether the operation was run.
        """
        started_at = self._clock()
        self._replicas.chooser.record_start(backend_id, started_at)
        outcome = limits.CallOutcome.FAILED
        try:
            if not may_send():
                raise errors.DispatchWindowPassed('the claim is too old')
            result = await self._exchange(
                backend_id, operation_key, payload, deadline
            )
        except errors.FlowError as error:
            outcome = calls.outcome_of(error)
            if isinstance(error, errors.BackendRefused):
                self._replicas.record_refusal(backend_id, error.message)
            raise
        else:
            outcome = limits.CallOutcome.SUCCESS
        finally:
            self._replicas.record_call_end(backend_id, outcome, started_at)
        return result

    async def _exchange(
        self,
        backend_id: str,
        operation_key: str,
        payload: bytes,
        deadline: float,
    ) -> bytes:
        pool = self._replicas.pools_by_backend.get(backend_id)
        if pool is None:
            raise errors.NoReplica('the backend server was removed')
        attempt = calls.new_attempt_id(self._random)
        timeout_s = deadline - self._clock()
        request = {
            'attempt': attempt,
            'key': operation_key,
            'budget_ms': backends.to_ms(timeout_s),
            'payload': json.loads(payload or b'{}'),
        }
        reply = await pool.call('/v1/operation', request, timeout_s)
        document = backends.check_reply(reply)
        identity = (document.get('attempt'), document.get('key'))
        if identity != (attempt, operation_key):
            raise errors.ProtocolViolation(
                f'{backend_id} answered with another attempt or key'
            )
        return json.dumps(document.get('result')).encode()
