"""What a policy of zones is asked, and the one that excludes no zone; sans-I/O.

Owns the interface between `dispatching` and the policies. `overflowpolicy` has
the policy of hosts whose settings name several zones.
"""

import abc
import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cardamomflow import requeststate, rules


class Decision(enum.Enum):
    """Why an attempt goes where it goes."""

    # The own zone serves it in time, or no zone does it sooner.
    HOME = enum.auto()
    # All free slots are in other zones, and waiting for the own one is better.
    WAIT = enum.auto()
    # The own zone has no backend server that may get the attempt.
    MISSING = enum.auto()
    # The own zone has too little capacity.
    OVERFLOW = enum.auto()
    # One backend server of the own zone is left; the waits decide.
    COMPARE = enum.auto()


class Query(NamedTuple):
    """An attempt that needs a backend server.

    Attributes
    ----------
    service : str
    rank : rules.Rank
    target_at, deadline : float
        Monotonic times in seconds.
    is_first : bool
        Whether the request has just arrived.
    is_queued : bool
        Whether it waits at the front of the queue.
    is_hedge : bool
        Whether another attempt is open. A hedge leaves the zone only if no
        backend server of the own zone is left for it.
    is_counted : bool
        Whether a former decision found that the own zone is too slow for it.
    lone_wait_s : float or None
        Expected wait in seconds at the only backend server of the own zone that
        may get it, None if there are several.
    """

    service: str
    rank: rules.Rank
    target_at: float
    deadline: float
    is_first: bool = False
    is_queued: bool = False
    is_hedge: bool = False
    is_counted: bool = False
    lone_wait_s: float | None = None


class Choice(NamedTuple):
    """The backend servers that an attempt may go to, none if it waits.

    Attributes
    ----------
    decision : Decision
    backend_ids : sequence of str
    exceeds_zone : bool
        Whether the own zone is too slow for it, whether it may leave or not.
    """

    decision: Decision
    backend_ids: Sequence[str]
    exceeds_zone: bool = False


class ShareChange(NamedTuple):
    """A change of the share of a service that is worth a log line."""

    service: str
    share: float
    before: float
    home_latency_s: float | None


class Policy(abc.ABC):
    """Decides which attempts leave the zone; the events do nothing.

    Attributes
    ----------
    is_active : bool
        Whether `decide` is asked.
    """

    is_active = False

    def record_queued(self, service: str, rank: rules.Rank) -> None:
        """Count a request that was enqueued; it has been decided before."""

    def record_dequeued(self, service: str, rank: rules.Rank) -> None:
        """Count a request that has left the queue."""

    def record_start(
        self, service: str, zone: str, backend_id: str, now: float
    ) -> None:
        """Count an attempt that was sent."""

    def record_end(
        self,
        attempt: requeststate.Attempt,
        reply: requeststate.Reply | None,
        now: float,
    ) -> None:
        """Count the end of an attempt, with its answer if there is one."""

    def forget(self, service: str, backend_id: str) -> None:
        """Drop the reports of a backend server that is not listed."""

    def retain(self, services: set[str]) -> None:
        """Drop the figures of services without attempts that no route names."""

    @property
    def largest_share(self) -> float:
        """The largest share of a service that may leave now."""
        return 0

    def pop_changes(self) -> list[ShareChange]:
        """Return the changes of shares since the last call."""
        return []

    @abc.abstractmethod
    def decide(
        self,
        query: Query,
        free_by_zone: Mapping[str, Sequence[str]],
        now: float,
        *,
        has_home: bool,
    ) -> Choice:
        """Return where an attempt may go, and count its need to leave.

        Parameters
        ----------
        query : Query
        free_by_zone : mapping of str to sequence of str
            Backend servers with a free place for this host, by zone.
        now : float
        has_home : bool
            Whether the own zone has a backend server for the attempt, free or
            not.
        """


class NearestZone(Policy):
    """Leaves the choice to the waits alone: no zone is excluded."""

    def decide(
        self,
        query: Query,
        free_by_zone: Mapping[str, Sequence[str]],
        now: float,
        *,
        has_home: bool,
    ) -> Choice:
        """Return all free backend servers."""
        return Choice(
            Decision.HOME,
            [
                backend_id
                for free in free_by_zone.values()
                for backend_id in free
            ],
        )


NEAREST = NearestZone()
