"""Choice of backend servers for the parts of requests; sans-I/O.

Owns the attempts in flight at each backend server, the requests that wait
for a free one, hedges and repeats. It tells the transport what to send by
`take_sends`; it opens no connection and reads no clock.
"""

import heapq
import itertools
import random as random_module
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cardamomflow import (
    delegation,
    directory,
    extraload,
    hedging,
    limits,
    occupancy,
    reachability,
    replicas,
    requeststate,
    routes,
    rules,
)

# A hedge later than this share of the target would answer after it.
LATEST_HEDGE_SHARE = 0.3
MINIMUM_HEDGE_DELAY_S = 0.008
# Attempts at a backend server over this host's share of its slots: an urgent
# request does not wait for a less urgent one of the same host.
URGENT_BEYOND = 1
_MS_PER_S = 1000


class _Waiting(NamedTuple):
    rank: rules.Rank
    sequence: int
    subrequest: requeststate.Subrequest


class Dispatcher:
    """Attempts of one host."""

    def __init__(
        self,
        listed: directory.Directory,
        availability_zone: str,
        random: random_module.Random,
    ) -> None:
        """Take the backend servers to choose from, and the own zone."""
        self._directory = listed
        self._zone = availability_zone
        self._chooser = replicas.ReplicaChooser(random)
        # Extra load is bounded for each service; this one only learns when.
        self._hedges = hedging.HedgePolicy(
            rules.Hedging(
                minimum_delay_ms=int(MINIMUM_HEDGE_DELAY_S * _MS_PER_S),
                extra_load_share=0,
            )
        )
        self.occupancy = occupancy.Occupancy()
        self.reachability = reachability.Reachability()
        self._budgets = extraload.Budgets()
        self._waiting_by_service: dict[str, list[_Waiting]] = {}
        # Services whose parts other hosts may be asked for.
        self.handed_over: frozenset[str] = frozenset()
        self._table: routes.RouteTable | None = None
        self._sharing = extraload.Sharing(1, 0, 0)
        self._sequence = itertools.count()
        self._sends: list[requeststate.Attempt] = []

    def apply(self, table: routes.RouteTable) -> None:
        """Take the routes of a new revision."""
        self._table = table
        self._budgets.keep(table.services())
        self.share(self._sharing)

    def share(self, sharing: extraload.Sharing) -> None:
        """Take a changed number of hosts."""
        self._sharing = sharing
        self.occupancy.share(sharing.hosts, sharing.owners)
        if self._table is not None:
            self.handed_over = frozenset()
            if sharing.owners:
                self.handed_over = delegation.choose_services(
                    self._table, sharing.hosts
                )
            self.occupancy.apply(
                self._table.connections_by_service, self.handed_over
            )
        self._budgets.share(sharing, self.handed_over)

    def can_serve(self, services: Sequence[str], needed: int) -> bool:
        """Tell whether enough services have a zone that answers."""
        served = sum(
            any(map(self._is_reachable, self._directory.usable(service)))
            for service in services
        )
        return served >= needed

    def take_sends(self) -> list[requeststate.Attempt]:
        """Return the attempts to send since the last call."""
        sends, self._sends = self._sends, []
        return sends

    # What callers ask.

    def start(self, work: requeststate.Work, now: float) -> None:
        """Ask one backend server of each service.

        Nobody is asked when too few services can be reached.
        """
        services = [subrequest.service for subrequest in work.subrequests]
        if not self.can_serve(services, work.needed):
            for unserved in work.subrequests:
                work.give_up(unserved, 'no_backend_server')
            return
        for subrequest in work.subrequests:
            if subrequest.handover is None:
                self._budgets.of(subrequest.service).first_sent()
                self._place(subrequest, now)

    def take_back(
        self,
        subrequests: Iterable[requeststate.Subrequest],
        now: float,
        *,
        was_sent: bool,
    ) -> None:
        """Ask for parts that another host was asked for in vain.

        Parameters
        ----------
        subrequests : iterable of gathering.Subrequest
        now : float
        was_sent : bool
            Whether the other host may have asked one backend server.
        """
        for subrequest in subrequests:
            subrequest.handover = None
            if was_sent:
                subrequest.may_have_run = True
                subrequest.attempts_elsewhere = 1
                self._repeat(subrequest, 'host_lost', now)
            else:
                self._budgets.of(subrequest.service).first_sent()
                self._place(subrequest, now)

    def tick(self, work: requeststate.Work, now: float) -> float:
        """Hedge what is overdue; return when to look again."""
        next_at = work.deadline
        if now < work.answer_at:
            next_at = min(next_at, work.answer_at)
        delay_s = self._hedge_delay_s(work.route)
        for subrequest in work.open_subrequests():
            attempts = subrequest.open_attempts
            if len(attempts) != 1 or not _may_hedge(subrequest):
                continue
            due_at = attempts[0].started_at + delay_s
            if due_at > now:
                next_at = min(next_at, due_at)
            else:
                self._hedge(subrequest, now)
        return next_at

    # What backend servers answer.

    def answered(
        self,
        attempt: requeststate.Attempt,
        reply: requeststate.Reply,
        now: float,
    ) -> None:
        """Take a whole answer."""
        subrequest = attempt.subrequest
        self.reachability.answered(attempt.availability_zone)
        self._settle(attempt, reply.outcome, now)
        if reply.load is not None:
            self._chooser.report(attempt.backend_id, *reply.load, 0, now)
            self.occupancy.reported(attempt.backend_id, reply.load)
        if reply.misdirected:
            self._directory.misdirected(attempt.backend_id)
        if reply.not_run:
            self.occupancy.refused_work(attempt.backend_id, now)
        else:
            subrequest.may_have_run = True
        if not subrequest.is_settled:
            self._take(subrequest, reply, now)
        self._pump(subrequest.service, now)

    def failed(
        self,
        attempt: requeststate.Attempt,
        outcome: limits.CallOutcome,
        now: float,
    ) -> None:
        """Take the end of an attempt without a whole answer."""
        subrequest = attempt.subrequest
        self._settle(attempt, outcome, now)
        if outcome is limits.CallOutcome.REFUSED_CONNECTION:
            self.occupancy.refused_connection(attempt.backend_id, now)
            subrequest.avoided.add(attempt.backend_id)
            if not subrequest.is_settled:
                self._place(subrequest, now)
        else:
            subrequest.may_have_run = True
            if not subrequest.is_settled:
                self._repeat(subrequest, outcome.name.lower(), now)
        self._pump(subrequest.service, now)

    def cancelled(self, attempt: requeststate.Attempt, now: float) -> None:
        """Take the end of an attempt that nobody waits for."""
        attempt.subrequest.may_have_run |= attempt.sent
        self._settle(attempt, limits.CallOutcome.CANCELLED, now)
        self._pump(attempt.subrequest.service, now)

    def changed(self, changes: Iterable[directory.Change], now: float) -> None:
        """Take changes of the list of backend servers."""
        for change in changes:
            if not change.usable and self.occupancy.is_idle(change.backend_id):
                self._chooser.forget(change.backend_id)
                self.occupancy.forget(change.backend_id)
            self._pump(change.service, now)

    def _take(
        self,
        subrequest: requeststate.Subrequest,
        reply: requeststate.Reply,
        now: float,
    ) -> None:
        if reply.succeeded and (
            reply.stamp or not subrequest.work.route.merges
        ):
            subrequest.work.accept(subrequest, reply)
        elif reply.not_run:
            self._repeat(subrequest, 'refused', now)
        else:
            subrequest.failure = reply
            self._repeat(subrequest, f'status_{reply.status}', now)

    def _settle(
        self,
        attempt: requeststate.Attempt,
        outcome: limits.CallOutcome,
        now: float,
    ) -> None:
        backend_id = attempt.backend_id
        attempt.end(outcome, now)
        self.occupancy.ended(backend_id)
        latency_s = now - attempt.started_at
        self._chooser.observe(backend_id, outcome, latency_s, now)
        if outcome is limits.CallOutcome.SUCCESS:
            self._hedges.observe(attempt.subrequest.work.route.name, latency_s)

    # Where attempts go.

    def _place(self, subrequest: requeststate.Subrequest, now: float) -> None:
        """Send a subrequest to a backend server, or queue it for a free one."""
        candidates = self._candidates(subrequest, now)
        if not candidates:
            if not subrequest.open_attempts:
                subrequest.work.give_up(subrequest, 'no_backend_server')
            return
        if not self._send(subrequest, candidates, now):
            self._wait(subrequest)

    def _repeat(
        self, subrequest: requeststate.Subrequest, reason: str, now: float
    ) -> None:
        """Ask another backend server after a failure, if that is allowed."""
        if subrequest.open_attempts or subrequest.waiting:
            return
        if subrequest.work.route.repeatable or not subrequest.may_run:
            candidates = self._candidates(subrequest, now)
            if candidates and self._budgets.of(subrequest.service).withdraw():
                if not self._send(subrequest, candidates, now):
                    self._wait(subrequest)
                return
        subrequest.work.give_up(subrequest, reason)

    def _hedge(self, subrequest: requeststate.Subrequest, now: float) -> None:
        candidates = self._candidates(subrequest, now)
        free = self.occupancy.free_for_hedge(subrequest.service, candidates)
        if free and self._budgets.of(subrequest.service).withdraw():
            self._send_to_one(subrequest, free, now)

    def _send(
        self,
        subrequest: requeststate.Subrequest,
        candidates: Sequence[str],
        now: float,
    ) -> bool:
        """Send a subrequest to a candidate that has room; False without one."""
        is_urgent = subrequest.work.route.rank is rules.Rank.URGENT
        beyond = URGENT_BEYOND if is_urgent else 0
        free = self.occupancy.free(subrequest.service, candidates, beyond)
        return self._send_to_one(subrequest, free, now)

    def _send_to_one(
        self,
        subrequest: requeststate.Subrequest,
        free: Sequence[str],
        now: float,
    ) -> bool:
        near = self._directory.in_zone(free, self._zone)
        backend_id = self._chooser.choose(free, now, near=near)
        if backend_id is None:
            return False
        zone = self._directory.backends_by_id[backend_id].availability_zone
        self.reachability.asked(zone, backend_id, now)
        self.occupancy.started(backend_id)
        self._chooser.started(backend_id, now)
        self._sends.append(subrequest.ask(backend_id, zone, now))
        return True

    def _is_reachable(self, backend_id: str) -> bool:
        backend = self._directory.backends_by_id[backend_id]
        return not self.reachability.is_silent(backend.availability_zone)

    def _candidates(
        self, subrequest: requeststate.Subrequest, now: float
    ) -> list[str]:
        """Return whom a subrequest may ask, without those known to be away."""
        asked = subrequest.asked
        if (
            len(asked) + subrequest.attempts_elsewhere
            >= subrequest.work.route.attempts
        ):
            return []
        listed = [
            backend_id
            for backend_id in self._directory.usable(subrequest.service)
            if backend_id not in asked
            and backend_id not in subrequest.avoided
            and self._is_reachable(backend_id)
        ]
        return self.occupancy.reachable(listed, now)

    def _hedge_delay_s(self, route: routes.Route) -> float:
        latest_s = route.target_s * LATEST_HEDGE_SHARE
        return min(self._hedges.delay_s(route.name), latest_s)

    # Who waits.

    def _wait(self, subrequest: requeststate.Subrequest) -> None:
        subrequest.waiting = True
        heapq.heappush(
            self._waiting_by_service.setdefault(subrequest.service, []),
            _Waiting(
                subrequest.work.route.rank, next(self._sequence), subrequest
            ),
        )

    def _pump(self, service: str, now: float) -> None:
        """Send subrequests that wait while backend servers have room."""
        waiting = self._waiting_by_service.get(service)
        while waiting:
            subrequest = waiting[0].subrequest
            if not subrequest.is_settled:
                candidates = self._candidates(subrequest, now)
                if candidates and not self._send(subrequest, candidates, now):
                    return
                if not subrequest.open_attempts:
                    subrequest.work.give_up(subrequest, 'no_backend_server')
            heapq.heappop(waiting)
            subrequest.waiting = False


def _may_hedge(subrequest: requeststate.Subrequest) -> bool:
    return subrequest.work.route.repeatable and not subrequest.waiting
