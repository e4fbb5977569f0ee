"""Delegation of parts of a query to other hosts; sans-I/O.

Decides which parts of a query are handed over to which host, and detects hosts
that do not answer. These get no parts for a while.
"""

import itertools
import math
from collections.abc import Container, Iterable

from cardamomflow import avoidedmembers, ownership, requeststate, routes

# A query over fewer services costs less when one host requests all parts.
MINIMUM_SERVICES = 24
# Connections of a host to a backend server: one for an attempt, and one for
# another attempt or a hedge. Where each host can keep this many, no parts are
# handed over: the extra hop makes queries miss their target, for example with 8
# hosts and 26 connections.
MINIMUM_CONNECTIONS = 2
# Processor time of a call to a backend server, in seconds, and the share of a
# query's target that its calls may take. If they take longer, parts are handed
# over although one host could keep all connections.
CALL_PROCESSOR_S = 0.00025
MAXIMUM_CALLS_SHARE = 0.25
# Share of the target after which a host that sent no message counts as silent.
# A host sends its first message when hedges are due, at 0.3 of the target.
SILENCE_SHARE = 0.55
# Delay in seconds before a silent host is checked again: its message may be
# unread because this process was busy or paused.
SILENCE_RECHECK_S = 0.005
# Attempts for each part that a host may make before it asks for more. A host
# that is lost may have made all that it was granted.
GRANTED_ATTEMPTS = 1
# Time in seconds for which a silent host gets no parts: a stopped process
# rarely resumes sooner, and other hosts can request the parts.
AVOIDED_S = 2.0


def choose_services(
    table: routes.RouteTable, host_count: int, capacity: float = math.inf
) -> frozenset[str]:
    """Return the services whose parts are handed over.

    These are the shards of large queries whose backend servers accept fewer
    than `MINIMUM_CONNECTIONS` from each host when divided among all hosts, and
    all shards of a query that one host could not call within its target.

    Parameters
    ----------
    table : routes.RouteTable
    host_count : int
    capacity : float
        Processor cores of a usual host.
    """
    return frozenset(
        service
        for route in table.sharded_routes(MINIMUM_SERVICES)
        for service in route.shards
        if _exceeds_processor(route, capacity)
        or table.connections_by_service.get(service, 1) // host_count
        < MINIMUM_CONNECTIONS
    )


def _exceeds_processor(route: routes.Route, capacity: float) -> bool:
    calls_s = len(route.shards) * CALL_PROCESSOR_S / capacity
    return calls_s > MAXIMUM_CALLS_SHARE * route.target_s


class Handover:
    """Parts of one query that are requested from another host."""

    __slots__ = (
        'attempt_id',
        'host_id',
        'subrequests',
        'has_answered',
        'silent_at',
        'is_suspected',
        'is_open',
    )

    def __init__(
        self,
        attempt_id: int,
        host_id: str,
        subrequests: list[requeststate.Subrequest],
    ) -> None:
        """Assign subrequests to a host; nothing is sent yet."""
        self.attempt_id = attempt_id
        self.host_id = host_id
        self.subrequests = subrequests
        self.has_answered = False
        # Time at which the host counts as silent.
        self.silent_at = math.inf
        self.is_suspected = False
        self.is_open = True
        for subrequest in subrequests:
            subrequest.handover = self
            subrequest.remote_attempts = GRANTED_ATTEMPTS

    def grant(self, services: Iterable[str]) -> list[str]:
        """Grant one further attempt for open parts; return their services.

        From now on the attempt counts as made: the host may be lost at any
        moment, and so may each message.

        Parameters
        ----------
        services : iterable of str
            Services for which the host needs an attempt.
        """
        needed = set(services)
        granted = []
        for subrequest in self.unsettled_subrequests():
            is_allowed = subrequest.remote_attempts < self.work.route.attempts
            if subrequest.service in needed and is_allowed:
                subrequest.remote_attempts += 1
                granted.append(subrequest.service)
        return granted

    @property
    def work(self) -> requeststate.Work:
        """The query that the parts belong to."""
        return self.subrequests[0].work

    def unsettled_subrequests(self) -> list[requeststate.Subrequest]:
        """Return the subrequests whose parts this host has not reported."""
        return [
            subrequest
            for subrequest in self.subrequests
            if subrequest.handover is self and not subrequest.is_settled
        ]


class _UsableHosts(Container[str]):
    """Hosts that can be reached and were not silent recently."""

    def __init__(
        self,
        reachable: Container[str],
        avoided: avoidedmembers.AvoidedMembers,
        now: float,
    ) -> None:
        self._reachable = reachable
        self._avoided = avoided
        self._now = now

    def __contains__(self, host_id: object) -> bool:
        is_avoided = self._avoided.is_avoided(str(host_id), self._now)
        return host_id in self._reachable and not is_avoided


class Delegation:
    """Creates and tracks the handovers of one host."""

    def __init__(self, owners: ownership.Ownership) -> None:
        """Start without handovers.

        Parameters
        ----------
        owners : ownership.Ownership
            Assigns services to hosts.
        """
        self._owners = owners
        self._attempt_ids = itertools.count(1)
        self._avoided = avoidedmembers.AvoidedMembers()

    def start(
        self,
        work: requeststate.Work,
        handed_over_services: Container[str],
        reachable: Container[str],
        now: float,
    ) -> list[Handover]:
        """Return the handovers of a query; this host requests the other parts.

        Parameters
        ----------
        work : requeststate.Work
        handed_over_services : container of str
            Services whose parts may be handed over.
        reachable : container of str
            Ids of hosts that can be reached now.
        now : float
        """
        subrequests_by_service = {
            subrequest.service: subrequest
            for subrequest in work.subrequests
            if subrequest.service in handed_over_services
        }
        if len(subrequests_by_service) < MINIMUM_SERVICES:
            return []
        services_by_host = self._owners.assign(
            list(subrequests_by_service),
            _UsableHosts(reachable, self._avoided, now),
        )
        services_by_host.pop(self._owners.own.host_id, None)
        work.handovers = [
            Handover(
                next(self._attempt_ids),
                host_id,
                [subrequests_by_service[service] for service in services],
            )
            for host_id, services in services_by_host.items()
        ]
        return work.handovers

    def record_sent(self, work: requeststate.Work, now: float) -> None:
        """Start the time limits of a query's handovers once all were sent.

        The limits start only then, since sending can take a busy host as long
        as other hosts need to answer.
        """
        for handover in work.handovers:
            handover.silent_at = now + work.route.target_s * SILENCE_SHARE

    def next_check_at(self, work: requeststate.Work) -> float:
        """Return when to check next for silent hosts."""
        return min(
            (
                handover.silent_at
                for handover in work.handovers
                if _is_unanswered(handover)
            ),
            default=work.deadline,
        )

    def detect_silent_hosts(
        self, work: requeststate.Work, now: float
    ) -> list[Handover]:
        """Avoid hosts that sent no message by the second check.

        This host still waits for their parts and does not request them again:
        most silent hosts are only busy, and an unknown number of backend
        servers may already run their requests.

        Returns
        -------
        list of Handover
            Handovers whose host has just been detected as silent.
        """
        silent = []
        for handover in work.handovers:
            if not _is_unanswered(handover) or now < handover.silent_at:
                continue
            if handover.is_suspected:
                handover.silent_at = math.inf
                self._avoid(handover, now)
                silent.append(handover)
            else:
                handover.is_suspected = True
                handover.silent_at = now + SILENCE_RECHECK_S
        return silent

    def record_answer(self, handover: Handover) -> None:
        """Record an answer of a host."""
        handover.has_answered = True
        self._avoided.remove(handover.host_id)

    def record_lost(self, handover: Handover, now: float) -> None:
        """Record that a host will not answer."""
        handover.is_open = False
        self._avoid(handover, now)

    def _avoid(self, handover: Handover, now: float) -> None:
        self._avoided.avoid(handover.host_id, now + AVOIDED_S, now)


def _is_unanswered(handover: Handover) -> bool:
    return handover.is_open and not handover.has_answered
