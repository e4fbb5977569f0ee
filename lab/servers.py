"""Emulated backend servers.

Owns slots, the queue behind them, new connections, pauses, cold starts and
faults. Work whose caller went away is dropped, as most backend servers do.
Not modelled: bytes, and a slowdown of nearly full backend servers.
"""

import collections
import random
from collections.abc import Callable
from typing import NamedTuple

from cardamomflow import requeststate
from lab import deployments, timeline

COLD_S = 3.0
COLD_FACTOR = 1.6
FAST_FAILURE_S = 0.002
_OK = 200
_FAILED = 500
_FULL = 503
_RECORD = bytes(requeststate.RECORD_BYTES)


class Faults(NamedTuple):
    """What is wrong with a backend server.

    Attributes
    ----------
    factor : float
        Of the time that work takes.
    failing_share : float
        Share of requests that fail at once while the health answer is good.
    is_dark : bool
        Nothing is accepted and nothing comes back.
    is_crashed : bool
        Connections are refused.
    hides_load : bool
        Reports tell an idle backend server.
    report_lag_s : float
        Age of the load that reports tell.
    """

    factor: float = 1.0
    failing_share: float = 0
    is_dark: bool = False
    is_crashed: bool = False
    hides_load: bool = False
    report_lag_s: float = 0


class Call:
    """One request at a backend server."""

    __slots__ = ('kind', 'respond', 'is_cancelled', 'is_running', 'held_s')

    def __init__(
        self,
        kind: deployments.Kind,
        respond: Callable[[requeststate.Reply], None],
    ) -> None:
        self.kind = kind
        self.respond = respond
        self.is_cancelled = False
        self.is_running = False
        # Time in seconds by which pauses have delayed the end of the work.
        self.held_s: float = 0


class BackendServer:
    """A backend server of one service."""

    def __init__(
        self,
        backend_id: str,
        service: deployments.Service,
        number: int,
        clock: timeline.Timeline,
        seed: str,
    ) -> None:
        """Start warm and without work."""
        self.backend_id = backend_id
        self.service = service
        self.zone = service.zones[number]
        self.faults = Faults()
        self.runs = 0
        self._speed = service.speeds[number % len(service.speeds)]
        self._clock = clock
        self._random = random.Random(f'{seed}/{backend_id}')
        self._waiting: collections.deque[Call] = collections.deque()
        self._in_use = 0
        self._running: set[Call] = set()
        self._loads: collections.deque[tuple[float, requeststate.Load]] = (
            collections.deque()
        )
        self._connections = 0
        self._paused_until: float = 0
        self._cold_from = -COLD_S
        if service.pause_s:
            self._clock.after(
                self._random.uniform(0, service.pause_every_s), self._pause
            )

    @property
    def working_slots(self) -> float:
        """Slots, each by how fast it works now; none while it is away."""
        if self.faults.is_dark or self.faults.is_crashed:
            return 0
        return self.service.slots / self.work_factor

    @property
    def work_factor(self) -> float:
        """Factor of the time for work at this moment."""
        return self._speed * self._cold_factor() * self.faults.factor

    @property
    def wanted_slots(self) -> int:
        """Requests that run or wait."""
        return self._in_use + len(self._waiting)

    def connect(self) -> bool:
        """Tell whether a new connection is accepted."""
        if self._connections >= self.service.connections:
            return False
        self._connections += 1
        return True

    def disconnect(self) -> None:
        """Close a connection."""
        self._connections -= 1

    def arrive(self, call: Call, connection_s: float) -> None:
        """Take a request, on a new connection if that costs time."""
        if call.is_cancelled or self.faults.is_dark:
            return
        if self._random.random() < self.faults.failing_share:
            self._clock.after(FAST_FAILURE_S, self._answer, call, _FAILED)
        elif self._in_use < self.service.slots:
            self._start(call, connection_s)
        elif len(self._waiting) < self.service.queue:
            self._waiting.append(call)
        else:
            self._answer(call, _FULL)

    def cancel(self, call: Call) -> None:
        """Take the end of the connection of a request."""
        call.is_cancelled = True
        if call.is_running:
            self._free(call)

    def restart(self) -> None:
        """Come back empty and cold."""
        self.faults = Faults()
        self._waiting.clear()
        self._running.clear()
        self._in_use = 0
        self._cold_from = self._clock.now

    def _pause(self) -> None:
        now = self._clock.now
        self._paused_until = now + self.service.pause_s
        if self.service.holds_running:
            for call in self._running:
                call.held_s += self.service.pause_s
        self._clock.after(self.service.pause_every_s, self._pause)

    def _start(self, call: Call, connection_s: float) -> None:
        self._in_use += 1
        self.runs += 1
        call.is_running = True
        self._running.add(call)
        waits_s = max(0, self._paused_until - self._clock.now)
        self._clock.after(
            waits_s + connection_s + self._work_s(call.kind),
            self._finish,
            call,
        )

    def _work_s(self, kind: deployments.Kind) -> float:
        work_s = kind.work_s * self._random.lognormvariate(
            -kind.spread * kind.spread / 2, kind.spread
        )
        if self._random.random() < kind.tail_share:
            work_s *= kind.tail_factor
        return work_s * self.work_factor

    def _cold_factor(self) -> float:
        is_cold = self._clock.now - self._cold_from < COLD_S
        return COLD_FACTOR if is_cold else 1

    def _finish(self, call: Call) -> None:
        if not call.is_running:
            return
        if call.held_s:
            self._clock.after(call.held_s, self._finish, call)
            call.held_s = 0
            return
        self._free(call)
        self._answer(call, _OK)

    def _free(self, call: Call) -> None:
        call.is_running = False
        self._running.discard(call)
        self._in_use = max(0, self._in_use - 1)
        while self._waiting and self._in_use < self.service.slots:
            following = self._waiting.popleft()
            if not following.is_cancelled:
                self._start(following, 0)

    def _reported_load(self) -> requeststate.Load:
        """Return the present load, or the one of some time ago."""
        now = self._clock.now
        load = requeststate.Load(
            self._in_use, len(self._waiting), self.service.slots
        )
        if not self.faults.report_lag_s:
            return load
        self._loads.append((now, load))
        while (
            len(self._loads) > 1
            and self._loads[1][0] <= now - self.faults.report_lag_s
        ):
            self._loads.popleft()
        return self._loads[0][1]

    def _answer(self, call: Call, status: int) -> None:
        if self.faults.is_dark or call.is_cancelled:
            return
        load = self._reported_load()
        if self.faults.hides_load:
            load = requeststate.Load(0, 0, self.service.slots)
        call.respond(
            requeststate.Reply(
                status=status,
                headers=[],
                body=_RECORD,
                stamp=self.backend_id if status == _OK else None,
                not_run=status == _FULL,
                misdirected=False,
                load=load,
            )
        )
