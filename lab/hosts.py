"""Emulated hosts: the product's decisions on virtual time.

A host runs the dispatcher of the product. Its processor serves one call after
the other, its idle connections are kept, and what it knows of backend servers
comes late. Not modelled: the store, bytes, and hosts that stop.
"""

import abc
import collections
import random
from collections.abc import Callable, Iterable

from cardamomflow import (
    directory,
    dispatching,
    limits,
    register,
    requeststate,
    routes,
)
from lab import deployments, servers, timeline

KEEP_ALIVE_S = 15.0
_REFUSED = limits.CallOutcome.REFUSED_CONNECTION


class Decisions(abc.ABC):
    """Decides for one host where attempts go.

    `dispatching.Dispatcher` has this interface; baselines implement it.
    """

    @abc.abstractmethod
    def start(self, work: requeststate.Work, now: float) -> None:
        """Take a request."""

    @abc.abstractmethod
    def tick(self, work: requeststate.Work, now: float) -> float:
        """Look after a request; return when to look again."""

    @abc.abstractmethod
    def on_reply(
        self,
        attempt: requeststate.Attempt,
        reply: requeststate.Reply,
        now: float,
    ) -> None:
        """Take a whole answer."""

    @abc.abstractmethod
    def on_failure(
        self,
        attempt: requeststate.Attempt,
        outcome: limits.CallOutcome,
        now: float,
    ) -> None:
        """Take the end of an attempt without a whole answer."""

    @abc.abstractmethod
    def on_cancellation(
        self, attempt: requeststate.Attempt, now: float
    ) -> None:
        """Take the end of an attempt that nobody waits for."""

    @abc.abstractmethod
    def on_directory_changes(
        self, changes: Iterable[directory.Change], now: float
    ) -> None:
        """Take changes of the list of backend servers."""

    @abc.abstractmethod
    def pop_attempts(self) -> list[requeststate.Attempt]:
        """Return the attempts to send since the last call."""


Decisions.register(dispatching.Dispatcher)


CreateDecisions = Callable[[directory.Directory, str, random.Random], Decisions]


class Request:
    """A request at a host; the one who asked is told its end."""

    def __init__(
        self,
        kind: deployments.Kind,
        ended: Callable[[requeststate.Work, requeststate.Ending], None],
    ) -> None:
        """Take a request that has just arrived."""
        self.kind = kind
        self.ended = ended
        self.calls_by_attempt: dict[requeststate.Attempt, servers.Call] = {}


class Host:
    """One host of the fleet."""

    def __init__(
        self,
        zone: str,
        deployment: deployments.Deployment,
        servers_by_id: dict[str, servers.BackendServer],
        clock: timeline.Timeline,
        create: CreateDecisions,
        seed: str,
    ) -> None:
        """Start with all backend servers listed."""
        self.zone = zone
        self.attempts = 0
        self.needed = 0
        # Calls to backend servers of other zones, by zone.
        self.calls_by_remote_zone: collections.Counter[str] = (
            collections.Counter()
        )
        self.directory = directory.Directory()
        self._deployment = deployment
        self._servers_by_id = servers_by_id
        self._clock = clock
        self._requests: dict[requeststate.Work, Request] = {}
        self._idle_by_id: dict[str, collections.deque[float]] = {}
        self._busy_until: float = 0
        for server in servers_by_id.values():
            self.directory.update_entry(_listed(server))
        self._decisions = create(self.directory, zone, random.Random(seed))

    @property
    def waiting(self) -> int:
        """Parts of requests that wait for a backend server."""
        return sum(
            subrequest.is_queued
            for work in self._requests
            for subrequest in work.subrequests
        )

    def ask(
        self,
        route: routes.Route,
        services: tuple[str, ...],
        patience_s: float,
        kind: deployments.Kind,
        ended: Callable[[requeststate.Work, requeststate.Ending], None],
    ) -> None:
        """Take a request of a caller."""
        now = self._clock.now
        work = requeststate.Work(
            route, services, None, now, requeststate.TimeBudget(patience_s)
        )
        self._requests[work] = Request(kind, ended)
        self.needed += len(services)
        self._decisions.start(work, now)
        self.send_decided()
        self._look(work)

    def set_listed(
        self, server: servers.BackendServer, *, listed: bool
    ) -> None:
        """Learn that a backend server is listed, or no longer."""
        now = self._clock.now
        if listed:
            change = self.directory.update_entry(_listed(server))
        else:
            change = self.directory.remove_entry(server.backend_id, now)
        if change is not None:
            self._decisions.on_directory_changes([change], now)
            self.send_decided()

    # Requests in progress.

    def _look(self, work: requeststate.Work) -> None:
        """End a request that is finished, or look at it again."""
        if work not in self._requests:
            return
        now = self._clock.now
        if work.is_finished(now):
            self._end(work)
            return
        next_at = self._decisions.tick(work, now)
        self.send_decided()
        self._clock.after(max(0, next_at - now), self._look, work)

    def _end(self, work: requeststate.Work) -> None:
        request = self._requests.pop(work)
        ending = work.end()
        if work.answered_count < work.needed:
            for attempt in work.open_attempts():
                self._cancel(request, attempt)
        request.ended(work, ending)
        self.send_decided()

    def _cancel(self, request: Request, attempt: requeststate.Attempt) -> None:
        """Close the connection of an attempt."""
        call = request.calls_by_attempt.pop(attempt, None)
        if call is None:
            # The connection is still being opened.
            return
        server = self._servers_by_id[attempt.backend_id]
        server.disconnect()
        self._clock.after(self._way_s(server), server.cancel, call)
        self._decisions.on_cancellation(attempt, self._clock.now)

    # Attempts.

    def send_decided(self) -> None:
        """Send what was decided, one call after the other."""
        for attempt in self._decisions.pop_attempts():
            self.attempts += 1
            self._busy_until = (
                max(self._busy_until, self._clock.now)
                + self._deployment.call_cpu_s
            )
            self._clock.after(
                self._busy_until - self._clock.now, self._connect, attempt
            )

    def _connect(self, attempt: requeststate.Attempt) -> None:
        request = self._requests.get(attempt.subrequest.work)
        server = self._servers_by_id[attempt.backend_id]
        if request is None:
            self._decisions.on_cancellation(attempt, self._clock.now)
            return
        is_kept = self._take_idle(server)
        if not is_kept and (server.faults.is_crashed or not server.connect()):
            self._clock.after(2 * self._way_s(server), self._refused, attempt)
            return
        way_s = self._way_s(server)
        connection_s = 0 if is_kept else server.service.connection_s
        handshake_s = 0 if is_kept else 2 * way_s
        call = servers.Call(
            request.kind,
            lambda reply: self._clock.after(
                way_s, self._answered, request, attempt, reply
            ),
        )
        attempt.sent = True
        if server.zone != self.zone:
            self.calls_by_remote_zone[server.zone] += 1
        request.calls_by_attempt[attempt] = call
        self._clock.after(
            handshake_s + way_s, server.arrive, call, connection_s
        )
        self._clock.after(
            max(0, attempt.subrequest.work.deadline - self._clock.now),
            self._timed_out,
            request,
            attempt,
        )

    def _take_idle(self, server: servers.BackendServer) -> bool:
        """Tell whether an idle connection could be taken."""
        idle = self._idle_by_id.get(server.backend_id)
        while idle:
            if idle.pop() > self._clock.now and not server.faults.is_crashed:
                return True
            server.disconnect()
        return False

    def _refused(self, attempt: requeststate.Attempt) -> None:
        self._decisions.on_failure(attempt, _REFUSED, self._clock.now)
        self._go_on(attempt)

    def _answered(
        self,
        request: Request,
        attempt: requeststate.Attempt,
        reply: requeststate.Reply,
    ) -> None:
        if request.calls_by_attempt.pop(attempt, None) is None:
            return
        idle = self._idle_by_id.setdefault(
            attempt.backend_id, collections.deque()
        )
        idle.append(self._clock.now + KEEP_ALIVE_S)
        self._decisions.on_reply(attempt, reply, self._clock.now)
        self._go_on(attempt)

    def _timed_out(
        self, request: Request, attempt: requeststate.Attempt
    ) -> None:
        call = request.calls_by_attempt.pop(attempt, None)
        if call is None:
            return
        server = self._servers_by_id[attempt.backend_id]
        server.disconnect()
        server.cancel(call)
        self._decisions.on_failure(
            attempt, limits.CallOutcome.TIMEOUT, self._clock.now
        )
        self._go_on(attempt)

    def _go_on(self, attempt: requeststate.Attempt) -> None:
        self.send_decided()
        work = attempt.subrequest.work
        if work in self._requests and work.is_finished(self._clock.now):
            self._end(work)

    def _way_s(self, server: servers.BackendServer) -> float:
        if server.zone == self.zone:
            return self._deployment.in_zone_s
        return self._deployment.between_zones_s


def _listed(server: servers.BackendServer) -> register.Backend:
    return register.Backend(
        server.backend_id,
        server.service.name,
        server.zone,
        '10.0.0.1',
        1,
        '',
        leaving=False,
    )
