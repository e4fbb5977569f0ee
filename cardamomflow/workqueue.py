"""Queue of a service: query items and operations that wait for a slot.

Sans-I/O but for the clock that it is given. Owns the rank queue and replaces
it when the rules change.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from cardamomflow import admission, errors, queries, rules, tickets


class Refused(NamedTuple):
    """Work that left the queue without being started."""

    item: Any
    error: errors.FlowError


class WorkQueue:
    """Work of one service by rank."""

    def __init__(
        self, source: rules.Rules, capacity: int, clock: Callable[[], float]
    ) -> None:
        """Take the shares of the rules and the items kept at most."""
        self._capacity = capacity
        self._clock = clock
        self._queue = self._create(source)

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._queue)

    def offer(self, item: queries.QueryItem) -> None:
        """Add an item of a query.

        Raises
        ------
        errors.Overloaded, errors.DeadlineUnreachable
            The item can't be served in time; nothing was sent.
        """
        self._queue.offer(*self._queued(item))

    def offer_again(self, item: queries.QueryItem) -> None:
        """Add an item whose attempt failed, ahead of those that wait.

        Raises
        ------
        errors.Overloaded, errors.DeadlineUnreachable
            The item can't be served in time any more.
        """
        self._queue.offer_again(self._queued(item))

    def offer_ticket(
        self,
        ticket: tickets.OperationTicket,
        rank: rules.Rank,
        deadline: float,
    ) -> None:
        """Add an operation.

        Raises
        ------
        errors.Overloaded, errors.DeadlineUnreachable
            The operation can't be served in time; nothing was sent.
        """
        self._queue.offer(ticket, rank, '', deadline, self._clock())

    def take(
        self, now: float, suits: Callable[[admission.Queued], bool]
    ) -> admission.Queued | None:
        """Remove and return the next work that suits."""
        return self._queue.take(now, suits)

    def remove(self, item: Any) -> None:
        """Drop work that is no longer needed; unknown work is ignored."""
        self._queue.remove(item)

    def served(self, duration_s: float) -> None:
        """Feed the estimate of the waiting time."""
        self._queue.served(duration_s, self._clock())

    def expire(self, now: float) -> list[Refused]:
        """Remove and return work that is too late or was displaced."""
        return [_refusal(dropped) for dropped in self._queue.expire(now)]

    def apply(self, source: rules.Rules) -> list[Refused]:
        """Take changed rules; return work that finds no place."""
        before, self._queue = self._queue, self._create(source)
        now = self._clock()
        refused = []
        queued = before.take(now)
        while queued is not None:
            try:
                self._queue.offer(*queued[:4], now)
            except errors.FlowError as error:
                refused.append(Refused(queued.item, error))
            queued = before.take(now)
        refused.extend(_refusal(dropped) for dropped in before.expire(now))
        return refused

    def _queued(self, item: queries.QueryItem) -> admission.Queued:
        job = item.job
        return admission.Queued(
            item, job.rank, job.request.customer, job.deadline, self._clock()
        )

    def _create(self, source: rules.Rules) -> admission.RankQueue:
        shares_by_rank = {
            rank: rule.minimum_share
            for rank, rule in source.rules_by_rank.items()
        }
        return admission.RankQueue(
            shares_by_rank, source.customer_maximum_share, self._capacity
        )


def _refusal(dropped: admission.Dropped) -> Refused:
    if dropped.departure is admission.Departure.LATE:
        error: errors.FlowError = errors.DeadlineUnreachable(
            'the work could not finish before its deadline any more'
        )
    else:
        error = errors.Overloaded('displaced by other work')
    return Refused(dropped.item, error)
