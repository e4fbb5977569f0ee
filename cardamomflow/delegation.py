"""Parts of queries that other hosts ask for; sans-I/O.

Owns which parts of a query are handed to which host, and which hosts are
silent. These get nothing for a while.
"""

import itertools
import math
from collections.abc import Container

from cardamomflow import avoidedmembers, ownership, requeststate, routes

# A query over fewer services costs less when one host asks them all.
MINIMUM_SERVICES = 24
# Connections of a host to a backend server, one for an attempt and one for
# another or a hedge. Where each host can keep them, a hop only costs time: with
# 8 hosts and 26 connections fewer queries kept their target with hand-overs.
MINIMUM_CONNECTIONS = 2
# Share of the target after which a host that gave no sign counts as silent.
# Its first sign comes when hedges are due, at 0.3 of the target.
SILENCE_SHARE = 0.55
# A sign may wait unread in this process, which was busy or stopped itself.
SECOND_LOOK_S = 0.005
# Time without new parts for a host that was silent: a stopped process is
# seldom back sooner, and its parts have other owners.
AVOIDED_S = 2.0


def choose_services(table: routes.RouteTable, hosts: int) -> frozenset[str]:
    """Return the services whose parts are handed over.

    These are the shards of large queries to which a host could not keep
    `MINIMUM_CONNECTIONS` if all hosts asked for them.
    """
    return frozenset(
        service
        for service in table.services_of_queries(MINIMUM_SERVICES)
        if table.connections_by_service.get(service, 1) // hosts
        < MINIMUM_CONNECTIONS
    )


class Handover:
    """Parts of one query that another host is asked for."""

    __slots__ = (
        'attempt_id',
        'host_id',
        'subrequests',
        'answered',
        'silent_at',
        'suspected',
        'open',
    )

    def __init__(
        self,
        attempt_id: int,
        host_id: str,
        subrequests: list[requeststate.Subrequest],
    ) -> None:
        """Take the subrequests of one host; nothing was sent yet."""
        self.attempt_id = attempt_id
        self.host_id = host_id
        self.subrequests = subrequests
        self.answered = False
        # When the host counts as silent.
        self.silent_at = math.inf
        self.suspected = False
        self.open = True
        for subrequest in subrequests:
            subrequest.handover = self

    @property
    def work(self) -> requeststate.Work:
        """The query that the parts belong to."""
        return self.subrequests[0].work

    def unsettled(self) -> list[requeststate.Subrequest]:
        """Return the subrequests for which this host is still waited for."""
        return [
            subrequest
            for subrequest in self.subrequests
            if subrequest.handover is self and not subrequest.is_settled
        ]


class _Usable(Container[str]):
    """Hosts that can be reached and were not silent lately."""

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
    """Handovers of one host."""

    def __init__(self, owners: ownership.Ownership) -> None:
        """Start without any handover."""
        self._owners = owners
        self._attempt_ids = itertools.count(1)
        self._avoided = avoidedmembers.AvoidedMembers()

    def start(
        self,
        work: requeststate.Work,
        handed_over: Container[str],
        reachable: Container[str],
        now: float,
    ) -> list[Handover]:
        """Return what to hand over; this host asks for the other parts.

        Parameters
        ----------
        work : gathering.Work
        handed_over : container of str
            Services whose parts may be handed over.
        reachable : container of str
            Ids of hosts that can be asked now.
        now : float
        """
        subrequests_by_service = {
            subrequest.service: subrequest
            for subrequest in work.subrequests
            if subrequest.service in handed_over
        }
        if len(subrequests_by_service) < MINIMUM_SERVICES:
            return []
        services_by_host = self._owners.divide(
            list(subrequests_by_service), _Usable(reachable, self._avoided, now)
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

    def sent(self, work: requeststate.Work, now: float) -> None:
        """Note that all messages were sent.

        A busy host takes as long to send them as some owners to answer.
        """
        for handover in work.handovers:
            handover.silent_at = now + work.route.target_s * SILENCE_SHARE

    def next_look(self, work: requeststate.Work) -> float:
        """Return when a silent host has to be given up."""
        return min(
            (one.silent_at for one in work.handovers if _is_waited_for(one)),
            default=work.deadline,
        )

    def note_silent(
        self, work: requeststate.Work, now: float
    ) -> list[Handover]:
        """Avoid hosts without a sign of life, at the second look.

        Their parts are still waited for: a silent host is mostly a busy one,
        and nobody knows how many backend servers it has asked.

        Returns
        -------
        list of Handover
            Those that have just been found silent.
        """
        silent = []
        for handover in work.handovers:
            if not _is_waited_for(handover) or now < handover.silent_at:
                continue
            if handover.suspected:
                handover.silent_at = math.inf
                self._avoid(handover, now)
                silent.append(handover)
            else:
                handover.suspected = True
                handover.silent_at = now + SECOND_LOOK_S
        return silent

    def answered(self, handover: Handover) -> None:
        """Note an answer of a host."""
        handover.answered = True
        self._avoided.forget(handover.host_id)

    def lost(self, handover: Handover, now: float) -> None:
        """Note that a host will not answer."""
        handover.open = False
        self._avoid(handover, now)

    def _avoid(self, handover: Handover, now: float) -> None:
        self._avoided.avoid(handover.host_id, now + AVOIDED_S, now)


def _is_waited_for(handover: Handover) -> bool:
    return handover.open and not handover.answered
