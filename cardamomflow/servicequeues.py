"""Queues of subrequests that wait for a free backend server; sans-I/O.

Owns one fair queue for each service, and refuses requests whose turn comes too
late. `dispatching` decides when a queued subrequest can be sent.
"""

import collections

from cardamomflow import errors, estimates, requeststate, routes
from cardamomflow.accounts import fairqueue
from cardamomflow.accounts import table as accounts_table
from cardamomflow.zonespill import policy

# An estimated wait counts as this much longer on arrival. Without it, over a
# quarter of the refused requests of a flood were refused only at their turn;
# with it, under a quarter, and as many were answered.
WAIT_MARGIN = 1.3


class ServiceQueues:
    """Queued subrequests of one host."""

    def __init__(self, zone_policy: policy.Policy = policy.NEAREST) -> None:
        """Start without queues.

        Parameters
        ----------
        zone_policy : policy.Policy
            Is told of each subrequest that enters or leaves a queue.
        """
        self._zone_policy = zone_policy
        # Whether requests are refused whose turn comes too late. Only where
        # there are client accounts: without them, requests are served as they
        # were before accounts existed.
        self._refuses_early = False
        self._queues_by_service: dict[str, fairqueue.FairQueue] = {}
        self._refused_works: list[requeststate.Work] = []
        # Time from the turn of a subrequest to its answer, by route.
        self._durations_by_route: collections.defaultdict[
            str, estimates.DurationEstimate
        ] = collections.defaultdict(estimates.DurationEstimate)

    def apply(self, table: routes.RouteTable) -> None:
        """Apply the routes of a new revision."""
        self._refuses_early = bool(table.accounts)
        for route in self._durations_by_route.keys() - table.names:
            del self._durations_by_route[route]

    def first(self, service: str, now: float) -> requeststate.Subrequest | None:
        """Return the subrequest whose turn it is, None without one.

        Those that would be answered too late are refused before.
        """
        queue = self._queues_by_service.get(service)
        subrequest = queue.first() if queue else None
        while queue and subrequest and self._is_too_late(subrequest, now):
            queue.pop(now, is_served=False)
            work = subrequest.work
            self._record_removed(subrequest)
            work.mark_failed(subrequest, errors.DeadlineUnreachable.code)
            self._refused_works.append(work)
            subrequest = queue.first()
        return subrequest

    def pop(
        self, subrequest: requeststate.Subrequest, now: float, *, is_sent: bool
    ) -> None:
        """Remove the subrequest that `first` returned."""
        self._record_removed(subrequest)
        self._queues_by_service[subrequest.service].pop(now, is_served=is_sent)

    def record_failed(self, work: requeststate.Work) -> None:
        """Record a request of which a queued part failed."""
        self._refused_works.append(work)

    def pop_refused(self) -> list[requeststate.Work]:
        """Return the requests of which a queued part failed since."""
        refused, self._refused_works = self._refused_works, []
        return refused

    def push(self, subrequest: requeststate.Subrequest, now: float) -> None:
        """Add a subrequest at the end of its account's items."""
        subrequest.is_queued = True
        queue = self._queues_by_service.setdefault(
            subrequest.service, fairqueue.FairQueue(self._discard_settled)
        )
        self._zone_policy.record_queued(
            subrequest.service, subrequest.work.rank
        )
        account = subrequest.work.account
        queue.push(
            subrequest,
            subrequest.work.rank,
            _account_name(subrequest.work),
            account.weight if account else accounts_table.DEFAULT_WEIGHT,
            now,
        )

    def record_duration(
        self, work: requeststate.Work, duration_s: float, now: float
    ) -> None:
        """Record the time of a successful attempt."""
        if self._refuses_early:
            duration = self._durations_by_route[work.route.name]
            duration.record(duration_s, now)

    def refuse_unreachable(self, work: requeststate.Work, now: float) -> bool:
        """Refuse a request of which too few parts can be answered in time.

        Parameters
        ----------
        work : requeststate.Work
            A request of which nothing was sent.
        now : float

        Returns
        -------
        bool
            Whether the request was refused.
        """
        if not self._refuses_early:
            return False
        unreachable_count = sum(
            self._is_unreachable(subrequest, now)
            for subrequest in work.subrequests
        )
        if len(work.subrequests) - unreachable_count >= work.needed:
            return False
        for subrequest in work.subrequests:
            work.mark_failed(subrequest, errors.DeadlineUnreachable.code)
        return True

    def _record_removed(self, subrequest: requeststate.Subrequest) -> None:
        subrequest.is_queued = False
        self._zone_policy.record_dequeued(
            subrequest.service, subrequest.work.rank
        )

    def _discard_settled(self, subrequest: requeststate.Subrequest) -> bool:
        """Return whether a subrequest no longer needs its turn.

        The queue then removes it.
        """
        if not subrequest.is_settled:
            return False
        self._record_removed(subrequest)
        return True

    def _is_too_late(
        self, subrequest: requeststate.Subrequest, now: float
    ) -> bool:
        """Return whether the answer would come after the deadline.

        Only for a subrequest that was not sent yet: sending it would use a
        backend server for an answer that nobody waits for, and leave open
        whether the request ran.
        """
        if not self._refuses_early or subrequest.attempts:
            return False
        return now + self._duration_s(subrequest, now) > (
            subrequest.work.deadline
        )

    def _duration_s(
        self, subrequest: requeststate.Subrequest, now: float
    ) -> float:
        duration = self._durations_by_route.get(subrequest.work.route.name)
        return 0 if duration is None else duration.estimate_s(now)

    def _is_unreachable(
        self, subrequest: requeststate.Subrequest, now: float
    ) -> bool:
        queue = self._queues_by_service.get(subrequest.service)
        if not queue or subrequest.handover is not None:
            return False
        work = subrequest.work
        wait_s = queue.wait_s(work.rank, _account_name(work), now)
        answer_s = WAIT_MARGIN * wait_s + self._duration_s(subrequest, now)
        return now + answer_s > work.deadline


def _account_name(work: requeststate.Work) -> str | None:
    return None if work.account is None else work.account.name
