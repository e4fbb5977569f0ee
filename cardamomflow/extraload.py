"""Budget of further attempts at one service; sans-I/O.

Owns the tokens of one host. All hosts share a bound in a sliding window: a
share of the first attempts and a fixed number. The share needs no agreement,
since each host earns it from its own requests; the number is divided by the
hosts that are known.
"""

from collections.abc import Callable, Container
from typing import NamedTuple

from cardamomflow import tokens

# Kept back for requests that were sent but did not arrive, and for a host
# that has just started and does not know all others.
SAFETY = 0.8


def _owns_nothing(_: str) -> bool:
    return False


class Sharing(NamedTuple):
    """What all hosts share.

    Attributes
    ----------
    hosts : int
        Hosts that are known, with this one.
    extra_share : float
        Further attempts for each first one at a service.
    extra_burst : float
        Further attempts of all hosts in a window, beside the share.
    owners : int
        Hosts that ask a service whose parts are handed over; 0 when none are.
    owns : callable
        Tells whether this host is one of them.
    """

    hosts: int
    extra_share: float
    extra_burst: float
    owners: int = 0
    owns: Callable[[str], bool] = _owns_nothing

    def burst(self, service: str, *, is_handed_over: bool) -> float:
        """Return the further attempts of this host beside the share.

        The owners of a service get half of those of all hosts. The others
        keep theirs for parts whose owner does not answer.
        """
        equal = self.extra_burst / self.hosts
        if not is_handed_over:
            return equal
        of_owner = self.extra_burst / self.owners if self.owns(service) else 0
        return (equal + of_owner) / 2


class ExtraLoad:
    """Tokens of one service."""

    def __init__(self, share: float, burst: float) -> None:
        """Start with one token.

        A host that starts again within a window does not know what it sent
        before; it would spend its part of the fixed number twice.

        Parameters
        ----------
        share : float
            Further attempts allowed for each first one.
        burst : float
            Further attempts of this host in a window, beside the share.
        """
        self._share = share * SAFETY
        self._bucket = tokens.TokenBucket(_capacity(burst), tokens=1)

    def resize(self, share: float, burst: float) -> None:
        """Take another part of the bound; tokens beyond it are lost."""
        self._share = share * SAFETY
        self._bucket.resize(_capacity(burst))

    def first_sent(self) -> None:
        """Earn a share of a token for a first attempt."""
        self._bucket.earn(self._share)

    def withdraw(self) -> bool:
        """Take the token of one further attempt, if there is one."""
        return self._bucket.withdraw()


class Budgets:
    """Tokens of one host by service."""

    def __init__(self) -> None:
        """Start without further attempts."""
        self._sharing = Sharing(1, 0, 0)
        self._handed_over: Container[str] = frozenset()
        self._by_service: dict[str, ExtraLoad] = {}

    def keep(self, services: set[str]) -> None:
        """Forget all services but some."""
        for service in self._by_service.keys() - services:
            self._by_service.pop(service)

    def share(self, sharing: Sharing, handed_over: Container[str]) -> None:
        """Take another part of the bounds.

        Parameters
        ----------
        sharing : Sharing
        handed_over : container of str
            Services that only their owners ask.
        """
        self._sharing = sharing
        self._handed_over = handed_over
        for service, budget in self._by_service.items():
            budget.resize(sharing.extra_share, self._burst(service))

    def of(self, service: str) -> ExtraLoad:
        """Return the budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = ExtraLoad(self._sharing.extra_share, self._burst(service))
            self._by_service[service] = budget
        return budget

    def _burst(self, service: str) -> float:
        return self._sharing.burst(
            service, is_handed_over=service in self._handed_over
        )


def _capacity(burst: float) -> float:
    return max(1.0, burst * SAFETY)
