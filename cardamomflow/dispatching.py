"""Choice of backend servers for the parts of requests; sans-I/O.

Tracks the attempts in flight at each backend server, queues requests until
one is available, and decides on hedges and retries. The transport fetches the
attempts to send with `pop_attempts`; this module opens no connection and reads
no clock.
"""

import math
import random as random_module
from collections.abc import Iterable, Sequence

from cardamomflow import (
    backendnotices,
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
    servicequeues,
)
from cardamomflow.coldstarts import bound
from cardamomflow.zonespill import policy, selection

# A hedge that starts after this share of the target would miss the target.
LATEST_HEDGE_SHARE = 0.3
MINIMUM_HEDGE_DELAY_S = 0.008
# Attempts of urgent requests above this host's share of a backend server's
# slots, so that they do not wait for less urgent ones of the same host.
URGENT_EXTRA_ATTEMPTS = 1
_MS_PER_S = 1000
# Reason of an attempt that was granted as a hedge.
OVERDUE = 'overdue'


class Dispatcher:
    """Chooses backend servers for the requests of one host."""

    def __init__(
        self,
        backends: directory.Directory,
        availability_zone: str,
        random: random_module.Random,
        zone_policy: policy.Policy = policy.NEAREST,
        cold_servers: bound.ColdServers | None = None,
    ) -> None:
        """Create a dispatcher without routes.

        Parameters
        ----------
        backends : directory.Directory
            Backend servers to choose from.
        availability_zone : str
            Zone of this host, which is preferred.
        random : random.Random
        zone_policy : policy.Policy
            Decides which attempts leave the zone.
        cold_servers : bound.ColdServers, optional
            Bounds the attempts at cold backend servers.
        """
        self.zone_policy = zone_policy
        self.cold_servers = cold_servers or bound.ColdServers(backends)
        self._directory = backends
        self._zone = availability_zone
        self._chooser = replicas.ReplicaChooser(random)
        self._zones = selection.ZoneSelection(
            backends, availability_zone, self._chooser, zone_policy
        )
        self.notices = backendnotices.BackendNotices(
            backends, random, self.cold_servers.is_eligible
        )
        # Used only for hedge delays: budgets limit extra load by service.
        self._hedges = hedging.HedgePolicy(
            rules.Hedging(
                minimum_delay_ms=int(MINIMUM_HEDGE_DELAY_S * _MS_PER_S),
                extra_load_share=0,
            )
        )
        self.occupancy = occupancy.Occupancy()
        self.reachability = reachability.Reachability()
        self._budgets = extraload.ServiceBudgets()
        self.queues = servicequeues.ServiceQueues(zone_policy)
        # Services whose parts may be requested from other hosts.
        self.handed_over_services: frozenset[str] = frozenset()
        # Services with work that may wait for a cold backend server.
        self.held_back_services: set[str] = set()
        self._table: routes.RouteTable | None = None
        self._sharing = extraload.FleetBudget(1, 0, 0)
        self._new_attempts: list[requeststate.Attempt] = []

    def apply(self, table: routes.RouteTable) -> None:
        """Apply the routes of a new revision."""
        self._table = table
        self.queues.apply(table)
        self.cold_servers.apply(table.warm_ups_by_service)
        self._budgets.retain(table.services())
        self.zone_policy.retain(table.services())
        self.update_sharing(self._sharing)

    def update_sharing(self, sharing: extraload.FleetBudget) -> None:
        """Update the number of hosts that share backend servers and budgets."""
        self._sharing = sharing
        self.occupancy.set_host_counts(
            sharing.hosts, sharing.owners, sharing.is_owner
        )
        if self._table is not None:
            self.handed_over_services = frozenset()
            if sharing.owners:
                self.handed_over_services = delegation.choose_services(
                    self._table, sharing.hosts, sharing.host_capacity
                )
            self.occupancy.apply(
                self._table.connections_by_service, self.handed_over_services
            )
        self._budgets.update(sharing, self.handed_over_services)

    def can_serve(
        self, services: Sequence[str], needed: int, now: float = math.inf
    ) -> bool:
        """Return whether enough services have servers that may get work.

        Pauses that end before `now` are ignored, by default all.
        """
        served = sum(
            any(
                self._may_get_work(backend_id, now)
                for backend_id in self._directory.usable(service)
            )
            for service in services
        )
        return served >= needed

    def pop_attempts(self) -> list[requeststate.Attempt]:
        """Return the attempts that were added since the last call."""
        attempts, self._new_attempts = self._new_attempts, []
        return attempts

    # Requests of callers.

    def start(self, work: requeststate.Work, now: float) -> None:
        """Send a subrequest to one backend server of each service.

        Nothing is sent when too few services can be reached in time. Parts
        that are handed over are left to the other hosts.
        """
        services = [subrequest.service for subrequest in work.subrequests]
        if not self.can_serve(services, work.needed, now):
            for unserved in work.subrequests:
                self.notices.mark_unserved(unserved, now)
            return
        if self.queues.refuse_unreachable(work, now):
            return
        for subrequest in work.subrequests:
            if subrequest.handover is None:
                self._budgets.for_service(
                    subrequest.service
                ).record_first_attempt()
                self._send_or_enqueue(subrequest, now)

    def reclaim(
        self,
        subrequests: Iterable[requeststate.Subrequest],
        now: float,
        *,
        was_sent: bool,
    ) -> None:
        """Request parts that another host did not deliver.

        Parameters
        ----------
        subrequests : iterable of requeststate.Subrequest
        now : float
        was_sent : bool
            Whether the other host may have sent them to a backend server.
        """
        for subrequest in subrequests:
            subrequest.handover = None
            if was_sent:
                subrequest.may_have_run = True
                subrequest.remote_attempts = max(1, subrequest.remote_attempts)
                self._retry(subrequest, 'host_lost', now)
            else:
                subrequest.remote_attempts = 0
                self._budgets.for_service(
                    subrequest.service
                ).record_first_attempt()
                self._send_or_enqueue(subrequest, now)

    def on_grant(
        self, subrequests: Iterable[requeststate.Subrequest], now: float
    ) -> None:
        """Make the attempts that the host that asked has granted."""
        for subrequest in subrequests:
            reason, subrequest.grant_reason = subrequest.grant_reason, None
            if subrequest.is_settled:
                continue
            if subrequest.open_attempts:
                self._hedge(subrequest, now)
            else:
                self._retry(subrequest, reason or OVERDUE, now)

    def tick(self, work: requeststate.Work, now: float) -> float:
        """Hedge overdue subrequests; return when to call this again."""
        next_at = work.deadline
        if now < work.answer_at:
            next_at = min(next_at, work.answer_at)
        delay_s = min(
            self._hedges.delay_s(work.route.name),
            work.route.target_s * LATEST_HEDGE_SHARE,
        )
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

    def send_held_back(self, now: float) -> float:
        """Send queued work to cold backend servers that may get it now.

        Returns when to call this again.
        """
        next_at = now + bound.LONGEST_CHECK_S
        for service in list(self.held_back_services):
            self._send_queued(service, now)
            if self.queues.first(service, now) is None:
                self.held_back_services.discard(service)
            else:
                service_at = self.cold_servers.next_check_at(
                    self._directory.usable(service), now
                )
                next_at = min(next_at, service_at)
        return max(next_at, now + bound.RECHECK_S)

    # Events from backend servers.

    def on_reply(
        self,
        attempt: requeststate.Attempt,
        reply: requeststate.Reply,
        now: float,
    ) -> None:
        """Process a complete answer."""
        subrequest = attempt.subrequest
        self.reachability.record_answer(attempt.availability_zone)
        self.notices.apply(attempt.backend_id, reply, now)
        if reply.load is not None:
            # Before the latency of the same answer, which it scales.
            self._chooser.record_load(attempt.backend_id, reply.load, now)
            self.occupancy.record_load(attempt.backend_id, reply.load)
        self._end_attempt(attempt, reply.outcome, now, reply)
        if reply.not_run:
            self.occupancy.record_refused_work(attempt.backend_id, now)
        else:
            subrequest.may_have_run = True
        if not subrequest.is_settled:
            self._process_reply(subrequest, reply, now)
        self._send_queued(subrequest.service, now)

    def on_failure(
        self,
        attempt: requeststate.Attempt,
        outcome: limits.CallOutcome,
        now: float,
    ) -> None:
        """Process the end of an attempt without a complete answer."""
        subrequest = attempt.subrequest
        self._end_attempt(attempt, outcome, now)
        if outcome is limits.CallOutcome.REFUSED_CONNECTION:
            self.occupancy.record_refused_connection(attempt.backend_id, now)
            subrequest.unreachable_ids.add(attempt.backend_id)
            if not subrequest.is_settled:
                self._send_or_enqueue(subrequest, now)
        else:
            subrequest.may_have_run = True
            if not subrequest.is_settled:
                self._retry(subrequest, outcome.name.lower(), now)
        self._send_queued(subrequest.service, now)

    def on_cancellation(
        self, attempt: requeststate.Attempt, now: float
    ) -> None:
        """Process the end of an attempt that was cancelled."""
        attempt.subrequest.may_have_run |= attempt.sent
        self._end_attempt(attempt, limits.CallOutcome.CANCELLED, now)
        self._send_queued(attempt.subrequest.service, now)

    def on_directory_changes(
        self, changes: Iterable[directory.Change], now: float
    ) -> None:
        """Process changes to the list of backend servers."""
        for change in changes:
            self.notices.on_directory_change(change)
            self.cold_servers.on_entry(change.backend_id, now)
            if not change.usable and self.occupancy.is_idle(change.backend_id):
                self._chooser.remove(change.backend_id)
                self.occupancy.forget(change.backend_id)
                self.zone_policy.forget(change.service, change.backend_id)
            self._send_queued(change.service, now)

    def _process_reply(
        self,
        subrequest: requeststate.Subrequest,
        reply: requeststate.Reply,
        now: float,
    ) -> None:
        if reply.succeeded and (
            reply.stamp or not subrequest.work.route.merges_answers
        ):
            subrequest.work.accept(subrequest, reply)
        elif reply.not_run:
            self._retry(subrequest, 'refused', now)
        else:
            if reply.may_be_passed_on:
                subrequest.error_reply = reply
            self._retry(subrequest, f'status_{reply.status}', now)

    def _end_attempt(
        self,
        attempt: requeststate.Attempt,
        outcome: limits.CallOutcome,
        now: float,
        reply: requeststate.Reply | None = None,
    ) -> None:
        backend_id = attempt.backend_id
        attempt.end(outcome, now)
        self.zone_policy.record_end(attempt, reply, now)
        self.occupancy.record_end(backend_id)
        if reply is not None and reply.cold_s is not None:
            self.cold_servers.on_answer(backend_id, reply.cold_s, now)
        latency_s = now - attempt.started_at
        self._chooser.record_end(backend_id, outcome, latency_s, now)
        if outcome is limits.CallOutcome.SUCCESS:
            self._hedges.observe(attempt.subrequest.work.route.name, latency_s)
            self.queues.record_duration(attempt.subrequest.work, latency_s, now)

    # Placement of attempts.

    def _send_or_enqueue(
        self, subrequest: requeststate.Subrequest, now: float
    ) -> None:
        """Send a subrequest, or enqueue it until a backend server is free."""
        candidates = self._candidates(subrequest, now)
        if not candidates:
            if not subrequest.open_attempts:
                self.notices.mark_unserved(subrequest, now)
            return
        if not self._send(subrequest, candidates, now):
            self.queues.push(subrequest, now)

    def _retry(
        self, subrequest: requeststate.Subrequest, reason: str, now: float
    ) -> None:
        """Try another backend server if the route and the budget allow it."""
        if subrequest.open_attempts or subrequest.is_queued:
            return
        candidates = []
        if subrequest.work.route.repeatable or not subrequest.may_run:
            candidates = self._candidates(subrequest, now)
        budget = self._budgets.for_service(subrequest.service)
        if candidates and _request_grant(subrequest, budget, reason):
            return
        if not candidates or not budget.withdraw():
            subrequest.work.mark_failed(subrequest, reason)
        elif not self._send(subrequest, candidates, now):
            self.queues.push(subrequest, now)

    def _hedge(self, subrequest: requeststate.Subrequest, now: float) -> None:
        candidates = self._candidates(subrequest, now)
        available = self.notices.accepting_more(
            self.occupancy.available_for_hedge(subrequest.service, candidates),
            now,
            self.occupancy.is_idle,
        )
        choice = self._zones.choose(
            subrequest,
            self.cold_servers.without_held_back(candidates, now),
            self.cold_servers.without_held_back(available, now),
            now,
            is_hedge=True,
        )
        budget = self._budgets.for_service(subrequest.service)
        if not choice.backend_ids:
            return
        if _request_grant(subrequest, budget, OVERDUE):
            return
        if budget.withdraw():
            self._send_to_one(subrequest, choice, now)

    def _send(
        self,
        subrequest: requeststate.Subrequest,
        candidates: Sequence[str],
        now: float,
    ) -> bool:
        """Send a subrequest to a free candidate; return whether one is free."""
        is_urgent = subrequest.work.rank is rules.Rank.URGENT
        extra_attempts = URGENT_EXTRA_ATTEMPTS if is_urgent else 0
        available = self.occupancy.available(
            subrequest.service, candidates, extra_attempts
        )
        available = self.notices.accepting_more(
            available, now, self.occupancy.is_idle
        )
        open_ids = self.cold_servers.without_held_back(available, now)
        if len(open_ids) < len(available):
            self.cold_servers.record_held_back(len(available) - len(open_ids))
            self.held_back_services.add(subrequest.service)
        choice = self._zones.choose(
            subrequest,
            self.cold_servers.without_held_back(candidates, now),
            open_ids,
            now,
        )
        return self._send_to_one(subrequest, choice, now)

    def _send_to_one(
        self,
        subrequest: requeststate.Subrequest,
        choice: policy.Choice,
        now: float,
    ) -> bool:
        backend_id = self._zones.draw(choice, now)
        if backend_id is None:
            return False
        zone = self._directory.backends_by_id[backend_id].availability_zone
        self.reachability.record_request(zone, backend_id, now)
        self.occupancy.record_start(backend_id)
        self.cold_servers.record_start(backend_id, now)
        self._chooser.record_start(backend_id, now)
        self.zone_policy.record_start(subrequest.service, zone, backend_id, now)
        self._new_attempts.append(subrequest.add_attempt(backend_id, zone, now))
        return True

    def _may_get_work(self, backend_id: str, now: float) -> bool:
        """Return whether a backend server may get work from this host.

        Leaving backend servers are not usable in the directory.
        """
        backend = self._directory.backends_by_id[backend_id]
        is_silent = self.reachability.is_silent(backend.availability_zone)
        if is_silent or self.notices.is_paused(backend_id, now):
            return False
        return self.cold_servers.is_eligible(backend_id, now)

    def _candidates(
        self, subrequest: requeststate.Subrequest, now: float
    ) -> list[str]:
        """Return the backend servers that a subrequest may be sent to."""
        attempted_ids = subrequest.attempted_ids
        if subrequest.attempt_count >= subrequest.work.route.attempts:
            return []
        backends = [
            backend_id
            for backend_id in self._directory.usable(subrequest.service)
            if backend_id not in attempted_ids
            and backend_id not in subrequest.unreachable_ids
            and self._may_get_work(backend_id, now)
        ]
        return self._zones.prefer_accepting(self.occupancy, backends, now)

    # Queues.

    def _send_queued(self, service: str, now: float) -> None:
        """Send queued subrequests while backend servers are free."""
        subrequest = self.queues.first(service, now)
        while subrequest is not None:
            candidates = self._candidates(subrequest, now)
            is_sent = bool(candidates) and self._send(
                subrequest, candidates, now
            )
            if candidates and not is_sent:
                return
            self.queues.pop(subrequest, now, is_sent=is_sent)
            if not subrequest.open_attempts:
                self.notices.mark_unserved(subrequest, now)
                self.queues.record_failed(subrequest.work)
            subrequest = self.queues.first(service, now)


def _request_grant(
    subrequest: requeststate.Subrequest,
    budget: extraload.ExtraAttemptBudget,
    reason: str,
) -> bool:
    """Ask for a further attempt; return False if it needs no grant."""
    if not subrequest.lacks_grant or not budget.has_token:
        return False
    subrequest.request_grant(reason)
    return True


def _may_hedge(subrequest: requeststate.Subrequest) -> bool:
    if subrequest.is_queued or subrequest.grant_reason is not None:
        return False
    return subrequest.work.route.repeatable
