"""Connections of one host to backend servers, and who can be reached.

Sans-I/O. Owns the attempts in flight at each backend server and the share of
its connections that this host may hold. All hosts hold a part of what the
backend server accepts, without asking each other.
"""

import collections
from collections.abc import Container, Iterable, Mapping, Sequence

from cardamomflow import avoidedmembers, requeststate

# Requests of all hosts that a backend server works on or keeps in its queue,
# for each of its slots. Its queue knows no ranks: with as many requests as it
# accepts connections, urgent ones waited behind searches there: in the lab 93%
# of the checks kept their target with slow backend servers, now 99%.
REQUESTS_PER_SLOT = 2
# Hedges over a host's share at a backend server with a short queue. Without
# them 7% of the searches were late where 6% are.
HEDGES_BEYOND = 1
# A hedge behind more would come too late, and in overload it delays the rest:
# in the lab 0.90 instead of 0.84 of the worth with callers who leave early.
MAX_WAITING_BEFORE_HEDGE = 1
# Time without new connections to a backend server that refused one: short,
# since the platform lists a crashed one for seconds, and one that comes back
# is wanted at once.
UNREACHABLE_S = 0.5
# Time without new work for a backend server that refused a request: its queue
# is full, and a request that it refuses again uses up the budget of repeats.
# With 0.25 s, and 1 s after a failure, the other replica of a loaded shard got
# more than it could take.
FULL_S = 0.05


class Occupancy:
    """Attempts in flight by backend server."""

    def __init__(self) -> None:
        """Start without attempts and without a known bound."""
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._avoided = avoidedmembers.AvoidedMembers()
        self._connections_by_service: Mapping[str, int] = {}
        self._handed_over: Container[str] = frozenset()
        self._reports_by_id: dict[str, requeststate.Load] = {}
        self._hosts = 1
        self._owners = 1

    def apply(
        self,
        connections_by_service: Mapping[str, int],
        handed_over: Container[str] = (),
    ) -> None:
        """Take how many connections a backend server accepts.

        Parameters
        ----------
        connections_by_service : mapping of str to int
        handed_over : container of str
            Services that only their owners ask.
        """
        self._connections_by_service = connections_by_service
        self._handed_over = handed_over

    def share(self, hosts: int, owners: int = 1) -> None:
        """Take the number of hosts, and of the owners of a service."""
        self._hosts = hosts
        self._owners = owners

    def holders(self, service: str) -> int:
        """Return the number of hosts that ask a service.

        Where only owners ask, one more stands for all hosts whose owner does
        not answer.
        """
        if service in self._handed_over:
            return min(self._hosts, self._owners + 1)
        return self._hosts

    def allowance(self, service: str) -> int:
        """Return the connections that this host may hold to a server."""
        accepted = self._connections_by_service.get(service, 1)
        return max(1, accepted // self.holders(service))

    def reported(self, backend_id: str, load: requeststate.Load) -> None:
        """Take the load that a backend server tells of itself."""
        self._reports_by_id[backend_id] = load

    def is_idle(self, backend_id: str) -> bool:
        """Whether no attempt is in flight."""
        return not self._in_flight[backend_id]

    def started(self, backend_id: str) -> None:
        """Count an attempt."""
        self._in_flight[backend_id] += 1

    def ended(self, backend_id: str) -> None:
        """Count the end of an attempt."""
        self._in_flight[backend_id] -= 1
        if self.is_idle(backend_id):
            self._in_flight.pop(backend_id)

    def refused_connection(self, backend_id: str, now: float) -> None:
        """Note that a backend server accepted no connection."""
        self._avoided.avoid(backend_id, now + UNREACHABLE_S, now)

    def refused_work(self, backend_id: str, now: float) -> None:
        """Note that a backend server is full."""
        self._avoided.avoid(backend_id, now + FULL_S, now)

    def forget(self, backend_id: str) -> None:
        """Drop what is known of a backend server that left."""
        self._avoided.forget(backend_id)
        self._reports_by_id.pop(backend_id, None)

    def free(
        self, service: str, backend_ids: Iterable[str], beyond: int = 0
    ) -> list[str]:
        """Return the backend servers that may get one more attempt.

        Parameters
        ----------
        service : str
        backend_ids : iterable of str
        beyond : int
            Attempts over the usual share of the slots that are allowed.
        """
        accepted = self.allowance(service)
        return [
            backend_id
            for backend_id in backend_ids
            if self._in_flight[backend_id]
            < min(
                accepted,
                self._share_of_slots(service, backend_id, accepted) + beyond,
            )
        ]

    def free_for_hedge(
        self, service: str, backend_ids: Sequence[str]
    ) -> list[str]:
        """Return the backend servers that may start a hedge soon."""
        short = list(filter(self._had_short_queue, backend_ids))
        return self.free(service, short, HEDGES_BEYOND)

    def _had_short_queue(self, backend_id: str) -> bool:
        """Tell whether a backend server last reported no long queue."""
        load = self._reports_by_id.get(backend_id)
        return load is None or load.waiting <= MAX_WAITING_BEFORE_HEDGE

    def _share_of_slots(
        self, service: str, backend_id: str, unknown: int
    ) -> int:
        """Return the requests of this host that keep a queue short."""
        load = self._reports_by_id.get(backend_id)
        if load is None:
            return unknown
        return max(1, load.slots * REQUESTS_PER_SLOT // self.holders(service))

    def reachable(self, backend_ids: list[str], now: float) -> list[str]:
        """Return those that refused nothing lately, or all."""
        accepting = [
            backend_id
            for backend_id in backend_ids
            if not self._avoided.is_avoided(backend_id, now)
        ]
        return accepting or backend_ids
