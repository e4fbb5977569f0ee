"""Queue of a service: query items and operations that wait for a slot.

Sans-I/O except for the injected clock. Owns the rank queue and replaces it
when the rules change.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from cardamomflow import admission, errors, queries, rules, tickets


class RefusedItem(NamedTuple):
    """A queued query item or operation that was refused."""

    item: Any
    error: errors.FlowError


class WorkQueue:
    """Queued query items and operations of one service."""

    def __init__(
        self,
        current_rules: rules.Rules,
        capacity: int,
        clock: Callable[[], float],
    ) -> None:
        """Create an empty queue.

        Parameters
        ----------
        current_rules : rules.Rules
            Minimum shares of ranks and maximum share of a customer.
        capacity : int
            Maximum number of queued items.
        clock : callable
            Returns monotonic seconds.
        """
        self._capacity = capacity
        self._clock = clock
        self._queue = self._create_queue(current_rules)

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._queue)

    def offer(self, item: queries.QueryItem) -> None:
        """Enqueue an item of a query.

        Raises
        ------
        errors.Overloaded, errors.DeadlineUnreachable
            The item can't be served in time; nothing was sent.
        """
        self._queue.offer(*self._make_queued_item(item))

    def requeue(self, item: queries.QueryItem) -> None:
        """Enqueue an item whose attempt failed, at the front of its rank.

        Raises
        ------
        errors.Overloaded, errors.DeadlineUnreachable
            The item can no longer be served in time.
        """
        self._queue.requeue(self._make_queued_item(item))

    def offer_ticket(
        self,
        ticket: tickets.OperationTicket,
        rank: rules.Rank,
        deadline: float,
    ) -> None:
        """Enqueue an operation.

        Raises
        ------
        errors.Overloaded, errors.DeadlineUnreachable
            The operation can't be served in time; nothing was sent.
        """
        self._queue.offer(ticket, rank, '', deadline, self._clock())

    def take(
        self, now: float, is_eligible: Callable[[admission.QueuedItem], bool]
    ) -> admission.QueuedItem | None:
        """Dequeue the next eligible item; None if there is none."""
        return self._queue.take(now, is_eligible)

    def remove(self, item: Any) -> None:
        """Remove an item; an item that is not queued is ignored."""
        self._queue.remove(item)

    def record_duration(self, duration_s: float) -> None:
        """Record the seconds from dequeueing an item to the end of its work."""
        self._queue.record_duration(duration_s, self._clock())

    def expire(self, now: float) -> list[RefusedItem]:
        """Return the items that were dropped as late or displaced."""
        return [
            _make_refused_item(dropped) for dropped in self._queue.expire(now)
        ]

    def apply_rules(self, current_rules: rules.Rules) -> list[RefusedItem]:
        """Apply changed rules; return the items that no longer fit."""
        previous, self._queue = self._queue, self._create_queue(current_rules)
        now = self._clock()
        refused = []
        queued = previous.take(now)
        while queued is not None:
            try:
                self._queue.offer(*queued[:4], now)
            except errors.FlowError as error:
                refused.append(RefusedItem(queued.item, error))
            queued = previous.take(now)
        refused.extend(
            _make_refused_item(dropped) for dropped in previous.expire(now)
        )
        return refused

    def _make_queued_item(
        self, item: queries.QueryItem
    ) -> admission.QueuedItem:
        job = item.job
        return admission.QueuedItem(
            item, job.rank, job.request.customer, job.deadline, self._clock()
        )

    def _create_queue(self, current_rules: rules.Rules) -> admission.RankQueue:
        shares_by_rank = {
            rank: rule.minimum_share
            for rank, rule in current_rules.rules_by_rank.items()
        }
        return admission.RankQueue(
            shares_by_rank, current_rules.customer_maximum_share, self._capacity
        )


def _make_refused_item(dropped: admission.DroppedItem) -> RefusedItem:
    if dropped.reason is admission.DropReason.LATE:
        error: errors.FlowError = errors.DeadlineUnreachable(
            'the work can no longer finish before its deadline'
        )
    else:
        error = errors.Overloaded('displaced by other work')
    return RefusedItem(dropped.item, error)
