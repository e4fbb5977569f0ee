"""Admission at an entry process: requests in progress; sans-I/O.

Each rank has its minimum share reserved; what is not reserved goes to whoever
comes first. A flood of one rank therefore does not fill the process.
"""

import collections

from cardamomflow import errors, rules

# A lone customer may use the whole share of its rank up to this count.
FREE_PER_CUSTOMER = 16


class InFlightGate:
    """Counts requests in progress by rank and customer."""

    def __init__(self, maximum: int) -> None:
        """Take the requests that the process may have in progress."""
        self._maximum = maximum
        self._count_by_rank: collections.Counter[rules.Rank] = (
            collections.Counter()
        )
        self._count_by_customer: collections.Counter[tuple[rules.Rank, str]] = (
            collections.Counter()
        )

    @property
    def in_flight(self) -> int:
        """Requests in progress."""
        return self._count_by_rank.total()

    def enter(
        self, rank: rules.Rank, customer: str, source: rules.Rules
    ) -> None:
        """Admit a request.

        Raises
        ------
        errors.Overloaded
            The share of the rank or of the customer is used up.
        """
        if not self._has_room(rank, source):
            raise errors.Overloaded(
                f'too many requests of rank {rank.label} are in progress'
            )
        key = (rank, customer)
        share = max(
            FREE_PER_CUSTOMER,
            int(self._maximum * source.customer_maximum_share),
        )
        if self._count_by_customer[key] >= share:
            raise errors.Overloaded(
                f'customer {customer!r} has too many requests in progress'
            )
        self._count_by_rank[rank] += 1
        self._count_by_customer[key] += 1

    def leave(self, rank: rules.Rank, customer: str) -> None:
        """Note the end of an admitted request."""
        self._count_by_rank[rank] -= 1
        key = (rank, customer)
        self._count_by_customer[key] -= 1
        if not self._count_by_customer[key]:
            del self._count_by_customer[key]

    def _has_room(self, rank: rules.Rank, source: rules.Rules) -> bool:
        reserved_by_rank = {
            other: int(self._maximum * rule.minimum_share)
            for other, rule in source.rules_by_rank.items()
        }
        if self._count_by_rank[rank] < reserved_by_rank[rank]:
            return True
        committed = sum(
            max(reserved, self._count_by_rank[other])
            for other, reserved in reserved_by_rank.items()
        )
        return committed < self._maximum
