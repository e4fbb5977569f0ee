"""Routes of callers' requests to services; immutable, no I/O.

Owns the choice of a route by host name and path. A route sends requests to
one service, to one of several by weight, or to all shards of an index.
"""

import collections
import math
import random as random_module
import types
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from cardamomflow import rules
from cardamomflow.accounts import table as accounts_table

# Largest rounding error of a share multiplied by a number of shards.
ROUNDING_ERROR = 1e-9


class ServiceShare(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Services and limits for the requests under one host name and prefix.

    Attributes
    ----------
    name : str
    host : str
        Host name that callers use, in lower case.
    prefix : str
        Start of the path; begins and ends with a slash.
    shards : tuple of str
        Services that hold one shard each, which all get the request; empty
        for a route without an index.
    shares : tuple of Share
        Services of which one gets the request; empty for a route with shards.
    repeatable : bool
        Whether a request may run more than once.
    attempts : int
        Maximum number of backend servers that get a request, per service.
    timeout_s : float
        Seconds within which a caller gets an answer.
    target_s : float
        Seconds within which an answer has its full value.
    rank : rules.Rank
    limit : int
        Maximum number of records of a merged answer.
    minimum_share : float
        Minimum share of the shards for an answer to be a success.
    is_public : bool
        Whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    shards: tuple[str, ...]
    shares: tuple[ServiceShare, ...]
    repeatable: bool
    attempts: int
    timeout_s: float
    target_s: float
    rank: rules.Rank
    limit: int
    minimum_share: float
    is_public: bool = False

    @property
    def merges_answers(self) -> bool:
        """Whether answers of several shards are merged."""
        return bool(self.shards)

    @property
    def needed_parts(self) -> int:
        """Minimum number of parts for an answer to be a success."""
        minimum = self.minimum_share * len(self.shards)
        return max(1, math.ceil(minimum - ROUNDING_ERROR))

    def services(self, generator: random_module.Random) -> tuple[str, ...]:
        """Return the services that get one request."""
        if self.shards:
            return self.shards
        if len(self.shares) == 1:
            return (self.shares[0].service,)
        chosen = generator.choices(
            self.shares, [share.weight for share in self.shares]
        )
        return (chosen[0].service,)

    def all_services(self) -> tuple[str, ...]:
        """Return all services that may get a request of this route."""
        return self.shards or tuple(share.service for share in self.shares)


class Limits(NamedTuple):
    """Bounds on the size of requests and the time to receive them.

    Attributes
    ----------
    head_bytes, body_bytes : int
    head_timeout_s, idle_timeout_s : float
    """

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class WarmUp(NamedTuple):
    """What the cold backend servers of a service tolerate.

    Attributes
    ----------
    warmup_s : float
        Seconds for which a backend server is cold after a start; 0 if unknown.
    cold_per_s : float
        Requests per second that a cold backend server tolerates; 0 means that
        there is no bound.
    """

    warmup_s: float = 0
    cold_per_s: float = 0


_NO_WARM_UPS: Mapping[str, WarmUp] = types.MappingProxyType({})


class RouteTable:
    """Routes of one revision."""

    def __init__(
        self,
        revision: int,
        routes: Iterable[Route],
        connections_by_service: dict[str, int],
        limits: Limits,
        accounts: accounts_table.AccountTable = accounts_table.NO_ACCOUNTS,
        warm_ups_by_service: Mapping[str, WarmUp] = _NO_WARM_UPS,
    ) -> None:
        """Index the routes by host name, longest prefix first.

        Parameters
        ----------
        revision : int
        routes : iterable of Route
        connections_by_service : dict of str to int
            Connections that a backend server accepts from all hosts.
        limits : Limits
        accounts : accounts_table.AccountTable, optional
        warm_ups_by_service : mapping of str to WarmUp, optional
            The services whose cold backend servers have a bound.
        """
        self.revision = revision
        self.connections_by_service = connections_by_service
        self.limits = limits
        self.accounts = accounts
        self.warm_ups_by_service = warm_ups_by_service
        self._routes = tuple(routes)
        self._routes_by_host: dict[str, list[Route]] = collections.defaultdict(
            list
        )
        for route in self._routes:
            self._routes_by_host[route.host].append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=_prefix_length, reverse=True)

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._routes)

    @property
    def names(self) -> frozenset[str]:
        """Names of the routes."""
        return frozenset(route.name for route in self._routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def requirements(self) -> set[tuple[tuple[str, ...], int]]:
        """Return the services of each route, and how many must answer."""
        return {
            (route.all_services(), route.needed_parts) for route in self._routes
        }

    def sharded_routes(self, minimum: int) -> Iterator[Route]:
        """Yield the routes with at least `minimum` shards."""
        return (route for route in self._routes if len(route.shards) >= minimum)

    def services(self) -> set[str]:
        """Return the services of all routes."""
        return {
            service
            for route in self._routes
            for service in route.all_services()
        }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
