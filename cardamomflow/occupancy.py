"""Limits on the attempts of one host at each backend server; sans-I/O.

Tracks the attempts in flight and the backend servers to avoid after a refusal.
Each host may use an equal share of the connections that a backend server
accepts, so the hosts need no coordination.
"""

import collections
from collections.abc import Callable, Container, Iterable, Mapping, Sequence

from cardamomflow import avoidedmembers, extraload, requeststate

# Requests of all hosts that a backend server runs or queues, for each of its
# slots. Its queue ignores ranks: if it held one request for each connection,
# urgent checks would wait there behind searches, and at slow backend servers 7%
# of them would miss their target.
REQUESTS_PER_SLOT = 2
# Attempts by which a hedge may exceed this host's share at a backend server
# with a short queue. Without them, one more search in 100 is late.
HEDGE_EXTRA_ATTEMPTS = 1
# Longest queue at which a hedge is sent. Behind more requests it would be
# answered too late, and under overload it delays other requests.
MAX_WAITING_BEFORE_HEDGE = 1
# Time in seconds without new connections to a backend server that refused one.
# It is short because the platform lists a crashed server for seconds, and a
# restarted one should get requests at once.
AVOID_UNREACHABLE_S = 0.5
# Time in seconds without new requests to a backend server that refused one: its
# queue is full, and each further refusal uses up the retry budget. Longer times
# overload the other replica of a busy shard.
AVOID_FULL_S = 0.05


class Occupancy:
    """Attempts in flight, and their limit, by backend server."""

    def __init__(self) -> None:
        """Start without attempts, with a limit of one connection."""
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._avoided = avoidedmembers.AvoidedMembers()
        self._connections_by_service: Mapping[str, int] = {}
        self._handed_over_services: Container[str] = frozenset()
        self._reports_by_id: dict[str, requeststate.Load] = {}
        self._host_count = 1
        self._owner_count = 1
        self._is_owner: Callable[[str], bool] = extraload.owns_no_service

    def apply(
        self,
        connections_by_service: Mapping[str, int],
        handed_over_services: Container[str] = (),
    ) -> None:
        """Set how many connections a backend server accepts.

        Parameters
        ----------
        connections_by_service : mapping of str to int
            Connections that each backend server of a service accepts.
        handed_over_services : container of str
            Services to which only their owners send requests.
        """
        self._connections_by_service = connections_by_service
        self._handed_over_services = handed_over_services

    def set_host_counts(
        self,
        host_count: int,
        owner_count: int = 1,
        is_owner: Callable[[str], bool] = extraload.owns_no_service,
    ) -> None:
        """Set the number of all hosts and of the owners of each service.

        Parameters
        ----------
        host_count, owner_count : int
        is_owner : callable
            Takes a service and returns whether this host is an owner.
        """
        self._host_count = host_count
        self._owner_count = owner_count
        self._is_owner = is_owner

    def sending_host_count(self, service: str) -> int:
        """Return the number of hosts that send requests to a service.

        If only owners send them, one host is added, since a host sends the
        requests itself when their owner does not answer.
        """
        if service in self._handed_over_services:
            return min(self._host_count, self._owner_count + 1)
        return self._host_count

    def connection_limit(self, service: str) -> int:
        """Return how many connections this host may open to each server."""
        connections = self._connections_by_service.get(service, 1)
        return max(1, connections // self.sending_host_count(service))

    def keeps_idle_connections(self, service: str) -> bool:
        """Return whether this host may keep a connection that is not in use.

        Idle connections of all hosts could take up those of a backend server,
        which resets further ones.
        """
        connections = self._connections_by_service.get(service, 1)
        if connections >= self._host_count:
            return True
        return service in self._handed_over_services and self._is_owner(service)

    def record_load(self, backend_id: str, load: requeststate.Load) -> None:
        """Record the load that a backend server reported."""
        self._reports_by_id[backend_id] = load

    def is_idle(self, backend_id: str) -> bool:
        """Whether no attempt is in flight at a backend server."""
        return not self._in_flight[backend_id]

    def record_start(self, backend_id: str) -> None:
        """Record the start of an attempt."""
        self._in_flight[backend_id] += 1

    def record_end(self, backend_id: str) -> None:
        """Record the end of an attempt."""
        self._in_flight[backend_id] -= 1
        if self.is_idle(backend_id):
            self._in_flight.pop(backend_id)

    def record_refused_connection(self, backend_id: str, now: float) -> None:
        """Record that a backend server refused a connection."""
        self._avoided.avoid(backend_id, now + AVOID_UNREACHABLE_S, now)

    def record_refused_work(self, backend_id: str, now: float) -> None:
        """Record that a backend server refused a request as it is full."""
        self._avoided.avoid(backend_id, now + AVOID_FULL_S, now)

    def forget(self, backend_id: str) -> None:
        """Drop the state of a backend server that is no longer listed."""
        self._avoided.remove(backend_id)
        self._reports_by_id.pop(backend_id, None)

    def available(
        self, service: str, backend_ids: Iterable[str], extra_attempts: int = 0
    ) -> list[str]:
        """Return the backend servers that may get one more attempt.

        Parameters
        ----------
        service : str
        backend_ids : iterable of str
        extra_attempts : int
            Attempts allowed above this host's share of the slots.
        """
        connections = self.connection_limit(service)
        return [
            backend_id
            for backend_id in backend_ids
            if self._in_flight[backend_id]
            < min(
                connections,
                self._attempt_limit(service, backend_id, connections)
                + extra_attempts,
            )
        ]

    def available_for_hedge(
        self, service: str, backend_ids: Sequence[str]
    ) -> list[str]:
        """Return the backend servers that would start a hedge soon."""
        candidates = list(filter(self._has_short_queue, backend_ids))
        return self.available(service, candidates, HEDGE_EXTRA_ATTEMPTS)

    def _has_short_queue(self, backend_id: str) -> bool:
        """Return whether the last reported queue is short, or unknown."""
        load = self._reports_by_id.get(backend_id)
        return load is None or load.waiting <= MAX_WAITING_BEFORE_HEDGE

    def _attempt_limit(
        self, service: str, backend_id: str, default: int
    ) -> int:
        """Return this host's attempt limit, `default` without a report."""
        load = self._reports_by_id.get(backend_id)
        if load is None:
            return default
        return max(
            1,
            load.slots * REQUESTS_PER_SLOT // self.sending_host_count(service),
        )

    def prefer_accepting(self, backend_ids: list[str], now: float) -> list[str]:
        """Return the servers that did not refuse recently, or else all."""
        accepting = [
            backend_id
            for backend_id in backend_ids
            if not self._avoided.is_avoided(backend_id, now)
        ]
        return accepting or backend_ids
