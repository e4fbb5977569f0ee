"""Admission of requests while a host stops; sans-I/O.

Owns the time by which a stopping host has to answer. A request that could
still be in progress then is refused before any part of it is sent.
"""

import math
from collections.abc import Container

from cardamomflow import errors, requeststate, routes

# Retry-After of a refused request; another host can serve it at once.
RETRY_AFTER_S = 0.05
# Time reserved for a request that must not be repeated, as a multiple of the
# time that its answer usually takes.
UNREPEATABLE_TIME_FACTOR = 2
# Factor by which the slowest answer of a route counts less with each further
# answer.
SLOWEST_ANSWER_DECAY = 0.98


class GracePeriod:
    """Time that is left to answer requests.

    Attributes
    ----------
    answer_by : float
        Monotonic time in seconds; infinite unless the host is stopping.
    """

    def __init__(self) -> None:
        self.answer_by = math.inf
        self._slowest_s_by_route: dict[str, float] = {}

    def start(self, answer_by: float) -> None:
        """Record that the host is stopping."""
        self.answer_by = answer_by

    def record_answer(self, route: str, duration_s: float) -> None:
        """Record how long a request took that was answered."""
        slowest_s = self._slowest_s_by_route.get(route, 0)
        self._slowest_s_by_route[route] = max(
            duration_s, slowest_s * SLOWEST_ANSWER_DECAY
        )

    def retain(self, routes_in_force: Container[str]) -> None:
        """Forget the answers of all other routes."""
        self._slowest_s_by_route = {
            route: slowest_s
            for route, slowest_s in self._slowest_s_by_route.items()
            if route in routes_in_force
        }

    def limit(
        self,
        route: routes.Route,
        time_budget: requeststate.TimeBudget,
        now: float,
    ) -> requeststate.TimeBudget:
        """Return the time that a new request may take.

        Raises
        ------
        errors.Stopping
            The request may not be answered before the host stops.
        """
        if self.answer_by == math.inf:
            return time_budget
        remaining_s = self.answer_by - now
        allowed_s = min(time_budget.remaining_s, route.timeout_s)
        required_s = min(allowed_s, self._required_s(route))
        if required_s > remaining_s:
            raise errors.Stopping(
                'the host is stopping and could not finish the request',
                retry_after_s=RETRY_AFTER_S,
            )
        return time_budget._replace(
            remaining_s=min(time_budget.remaining_s, remaining_s)
        )

    def _required_s(self, route: routes.Route) -> float:
        """Return the time in seconds that a request of a route needs.

        If a request that must not be repeated ended too soon, its caller could
        not know whether it ran. Without earlier answers it gets all its time.
        """
        slowest_s = self._slowest_s_by_route.get(route.name)
        if route.repeatable:
            return max(route.target_s, slowest_s or 0)
        if slowest_s is None:
            return math.inf
        return max(route.target_s, slowest_s) * UNREPEATABLE_TIME_FACTOR
