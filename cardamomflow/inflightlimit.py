"""Limit of the requests in progress at an entry process; sans-I/O.

Each rank has its minimum share of the limit reserved. The rest is admitted
first come, first served, so a flood of one rank can't occupy the whole limit.
"""

import collections

from cardamomflow import errors, rules

# Minimum limit of a customer in a rank, so that a customer without competitors
# is not limited to its share of a small maximum.
MINIMUM_PER_CUSTOMER = 16


class InFlightLimiter:
    """Limits requests in progress by rank and customer."""

    def __init__(self, maximum: int) -> None:
        """Create a limiter for at most `maximum` requests in progress."""
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

    def admit(
        self, rank: rules.Rank, customer: str, current_rules: rules.Rules
    ) -> None:
        """Admit a request.

        Raises
        ------
        errors.Overloaded
            The share of the rank or of the customer is used up.
        """
        if not self._has_room(rank, current_rules):
            raise errors.Overloaded(
                f'too many requests of rank {rank.label} are in progress'
            )
        key = (rank, customer)
        customer_limit = max(
            MINIMUM_PER_CUSTOMER,
            int(self._maximum * current_rules.customer_maximum_share),
        )
        if self._count_by_customer[key] >= customer_limit:
            raise errors.Overloaded(
                f'customer {customer!r} has too many requests in progress'
            )
        self._count_by_rank[rank] += 1
        self._count_by_customer[key] += 1

    def release(self, rank: rules.Rank, customer: str) -> None:
        """Record the end of an admitted request."""
        self._count_by_rank[rank] -= 1
        key = (rank, customer)
        self._count_by_customer[key] -= 1
        if not self._count_by_customer[key]:
            del self._count_by_customer[key]

    def _has_room(self, rank: rules.Rank, current_rules: rules.Rules) -> bool:
        reserved_by_rank = {
            other: int(self._maximum * rule.minimum_share)
            for other, rule in current_rules.rules_by_rank.items()
        }
        if self._count_by_rank[rank] < reserved_by_rank[rank]:
            return True
        committed = sum(
            max(reserved, self._count_by_rank[other])
            for other, reserved in reserved_by_rank.items()
        )
        return committed < self._maximum
