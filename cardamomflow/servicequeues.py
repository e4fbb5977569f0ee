"""Queues of subrequests that wait for a free backend server; sans-I/O.

Owns one fair queue for each service, and refuses requests whose turn comes too
late. `dispatching` decides when a queued subrequest can be sent.
"""

from cardamomflow import errors, requeststate
from cardamomflow.accounts import fairqueue
from cardamomflow.accounts import table as accounts_table


class ServiceQueues:
    """Queued subrequests of one host.

    Attributes
    ----------
    refuses_early : bool
        Whether requests are refused whose turn comes too late. Only where
        there are client accounts: without them, requests are served as they
        were before accounts existed.
    """

    def __init__(self) -> None:
        """Start without queues."""
        self.refuses_early = False
        self._queues_by_service: dict[str, fairqueue.FairQueue] = {}

    def find(self, service: str) -> fairqueue.FairQueue | None:
        """Return the queue of a service, None if nothing ever waited."""
        return self._queues_by_service.get(service)

    def push(self, subrequest: requeststate.Subrequest, now: float) -> None:
        """Add a subrequest at the end of its account's items."""
        subrequest.is_queued = True
        queue = self._queues_by_service.setdefault(
            subrequest.service, fairqueue.FairQueue(_is_settled)
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
        self, service: str, duration_s: float, now: float
    ) -> None:
        """Record the time of a successful attempt."""
        queue = self._queues_by_service.get(service)
        if queue is not None:
            queue.record_duration(duration_s, now)

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
        if not self.refuses_early:
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

    def _is_unreachable(
        self, subrequest: requeststate.Subrequest, now: float
    ) -> bool:
        queue = self._queues_by_service.get(subrequest.service)
        if not queue or subrequest.handover is not None:
            return False
        work = subrequest.work
        answer_s = queue.answer_s(work.rank, _account_name(work), now)
        return now + answer_s > work.deadline


def _account_name(work: requeststate.Work) -> str | None:
    return None if work.account is None else work.account.name


def _is_settled(subrequest: requeststate.Subrequest) -> bool:
    return subrequest.is_settled
