"""Routes of callers' requests to services; immutable, no I/O.

Owns the choice of a route by host name and path. A route asks one service,
one of several by weight, or all shards of an index.
"""

import collections
import math
import random as random_module
from collections.abc import Iterable
from typing import NamedTuple

from cardamomflow import rules

# Error of a share times a number of shards.
ROUNDING = 1e-9


class Share(NamedTuple):
    """A service and its part of the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """What the operators allow for requests of one kind.

    Attributes
    ----------
    name : str
    host : str
        Host name that callers use, in lower case.
    prefix : str
        Start of the path, from slash to slash.
    shards : tuple of str
        Services that hold one shard each; empty unless all are asked.
    shares : tuple of Share
        Services of which one is asked; empty when shards are asked.
    repeatable : bool
        Whether a request may run more than once.
    attempts : int
        Backend servers that may get a request, for each service.
    timeout_s : float
        Longest time in which a caller gets an answer.
    target_s : float
        Time within which an answer is worth its whole value.
    rank : rules.Rank
    limit : int
        Records of a merged answer.
    minimum_share : float
        Share of the shards below which an answer is no success.
    """

    name: str
    host: str
    prefix: str
    shards: tuple[str, ...]
    shares: tuple[Share, ...]
    repeatable: bool
    attempts: int
    timeout_s: float
    target_s: float
    rank: rules.Rank
    limit: int
    minimum_share: float

    @property
    def merges(self) -> bool:
        """Whether answers of several shards are merged."""
        return bool(self.shards)

    @property
    def needed_parts(self) -> int:
        """Parts of which an answer has to consist at least."""
        least = self.minimum_share * len(self.shards)
        return max(1, math.ceil(least - ROUNDING))

    def services(self, generator: random_module.Random) -> tuple[str, ...]:
        """Return the services that one request asks."""
        if self.shards:
            return self.shards
        if len(self.shares) == 1:
            return (self.shares[0].service,)
        chosen = generator.choices(
            self.shares, [share.weight for share in self.shares]
        )
        return (chosen[0].service,)

    def named_services(self) -> tuple[str, ...]:
        """Return all services that requests may be sent to."""
        return self.shards or tuple(share.service for share in self.shares)


class Limits(NamedTuple):
    """Bounds on what a caller may send, and how slowly.

    Attributes
    ----------
    head_bytes, body_bytes : int
    head_timeout_s, idle_timeout_s : float
    """

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class RouteTable:
    """Routes of one revision."""

    def __init__(
        self,
        revision: int,
        routes: Iterable[Route],
        connections_by_service: dict[str, int],
        limits: Limits,
    ) -> None:
        """Index the routes by host name, longest prefix first.

        Parameters
        ----------
        revision : int
        routes : iterable of Route
        connections_by_service : dict of str to int
            Connections that a backend server accepts from all hosts.
        limits : Limits
        """
        self.revision = revision
        self.connections_by_service = connections_by_service
        self.limits = limits
        self._routes = tuple(routes)
        self._routes_by_host: dict[str, list[Route]] = collections.defaultdict(
            list
        )
        for route in self._routes:
            self._routes_by_host[route.host].append(route)
        for same_host in self._routes_by_host.values():
            same_host.sort(key=_prefix_length, reverse=True)

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def needs(self) -> set[tuple[tuple[str, ...], int]]:
        """Return the services that requests ask, and how many must answer."""
        return {
            (route.named_services(), route.needed_parts)
            for route in self._routes
        }

    def services_of_queries(self, minimum: int) -> frozenset[str]:
        """Return the shards of routes that have a minimum of them."""
        return frozenset(
            service
            for route in self._routes
            if len(route.shards) >= minimum
            for service in route.shards
        )

    def services(self) -> set[str]:
        """Return the services that any route names."""
        return {
            service
            for route in self._routes
            for service in route.named_services()
        }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
