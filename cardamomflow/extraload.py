"""Budget of extra attempts (retries and hedges) by service; sans-I/O.

Owns the tokens of one host. All hosts together have a bound in a sliding
window: a share of the first attempts plus a fixed number, the burst. The
share needs no coordination, since each host earns it from its own requests.
The burst is divided by the number of known hosts.
"""

import math
from collections.abc import Callable, Container
from typing import NamedTuple

from cardamomflow import tokens

# Part of the bound that is used. The remainder allows for requests that were
# sent but did not arrive, and for a host that has just started and has not yet
# discovered all others.
SAFETY_FACTOR = 0.8


def owns_no_service(_: str) -> bool:
    """Return False: no service is handed over."""
    return False


class FleetBudget(NamedTuple):
    """Bound on the extra attempts of all hosts.

    Attributes
    ----------
    hosts : int
        Number of known hosts, including this one.
    extra_share : float
        Extra attempts for each first attempt at a service.
    extra_burst : float
        Extra attempts of all hosts in a window, in addition to the share.
    owners : int
        Number of hosts that send the requests to a handed-over service; 0
        when no service is handed over.
    is_owner : callable
        Takes a service and returns whether this host is one of its owners.
    host_capacity : float
        Processor cores of a usual host.
    """

    hosts: int
    extra_share: float
    extra_burst: float
    owners: int = 0
    is_owner: Callable[[str], bool] = owns_no_service
    host_capacity: float = math.inf

    def host_burst(self, service: str, *, is_handed_over: bool) -> float:
        """Return this host's part of the burst for a service.

        The owners of a handed-over service divide half of the burst among
        themselves. The other half is divided by all hosts, for parts whose
        owner does not answer.
        """
        equal_part = self.extra_burst / self.hosts
        if not is_handed_over:
            return equal_part
        owner_part = (
            self.extra_burst / self.owners if self.is_owner(service) else 0
        )
        return (equal_part + owner_part) / 2


class ExtraAttemptBudget:
    """Tokens for extra attempts at one service."""

    def __init__(self, share: float, burst: float) -> None:
        """Start with one token.

        With all tokens, a host that restarts within a window would spend its
        part of the burst twice, since it has no record of earlier attempts.

        Parameters
        ----------
        share : float
            Extra attempts allowed for each first attempt.
        burst : float
            Extra attempts of this host in a window, in addition to the share.
        """
        self._share = share * SAFETY_FACTOR
        self._bucket = tokens.TokenBucket(_capacity(burst), tokens=1)

    def resize(self, share: float, burst: float) -> None:
        """Change the share and burst; tokens beyond the capacity are lost."""
        self._share = share * SAFETY_FACTOR
        self._bucket.resize(_capacity(burst))

    def record_first_attempt(self) -> None:
        """Earn a share of a token for a first attempt that was sent."""
        self._bucket.earn(self._share)

    @property
    def has_token(self) -> bool:
        """Whether an extra attempt is within the bound."""
        return self._bucket.has_token

    def withdraw(self) -> bool:
        """Withdraw the token of one extra attempt; False if there is none."""
        return self._bucket.withdraw()


class ServiceBudgets:
    """Extra attempt budgets of one host by service."""

    def __init__(self) -> None:
        """Start with a bound of 0 extra attempts."""
        self._fleet_budget = FleetBudget(1, 0, 0)
        self._handed_over: Container[str] = frozenset()
        self._budgets_by_service: dict[str, ExtraAttemptBudget] = {}

    def retain(self, services: set[str]) -> None:
        """Drop the budgets of all other services."""
        for service in self._budgets_by_service.keys() - services:
            self._budgets_by_service.pop(service)

    def update(
        self, fleet_budget: FleetBudget, handed_over: Container[str]
    ) -> None:
        """Apply a changed bound to the budgets of all services.

        Parameters
        ----------
        fleet_budget : FleetBudget
        handed_over : container of str
            Services to which only their owners send requests.
        """
        self._fleet_budget = fleet_budget
        self._handed_over = handed_over
        for service, budget in self._budgets_by_service.items():
            budget.resize(fleet_budget.extra_share, self._host_burst(service))

    def for_service(self, service: str) -> ExtraAttemptBudget:
        """Return the budget of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = ExtraAttemptBudget(
                self._fleet_budget.extra_share, self._host_burst(service)
            )
            self._budgets_by_service[service] = budget
        return budget

    def _host_burst(self, service: str) -> float:
        return self._fleet_budget.host_burst(
            service, is_handed_over=service in self._handed_over
        )


def _capacity(burst: float) -> float:
    return max(1.0, burst * SAFETY_FACTOR)
