"""The most that any decisions could have got out of a run.

A part counts as its share of the worth, and each part of each second takes
the capacity of the backend servers of its shard, the most valuable work first.
Work may use the capacity of its second and of its target time after it. Real
answers lose more: parts wait for each other, pauses and stragglers are not
known beforehand, and worth falls with the square of what is missing.
"""

import collections
from collections.abc import Mapping

from lab import deployments

SECOND_S = 1.0


class Capacity:
    """Arrivals and capacity of a run, second by second."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        """Start without a second."""
        self._deployment = deployment
        self._arrivals_by_second: dict[int, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._slots_by_second: list[dict[str, float]] = []

    def arrived(self, kind: deployments.Kind, now: float) -> None:
        """Count a request."""
        self._arrivals_by_second[int(now / SECOND_S)][kind.name] += 1

    def sampled(self, slots_by_service: dict[str, float]) -> None:
        """Take the slots that work in a second, by the speed of the work."""
        self._slots_by_second.append(slots_by_service)

    def best_goodput(self) -> float:
        """Return the share of the worth that could be had at most."""
        possible: float = 0
        asked: float = 0
        for second, slots_by_service in enumerate(self._slots_by_second):
            arrivals = self._arrivals_by_second[second]
            possible += self._possible(arrivals, slots_by_service)
            asked += sum(
                kind.worth * arrivals[kind.name]
                for kind in self._deployment.kinds
            )
        return possible / asked if asked else 1.0

    def _possible(
        self, arrivals: Mapping[str, int], slots_by_service: dict[str, float]
    ) -> float:
        """Return the worth that the parts of a second can have."""
        left_by_service = dict(slots_by_service)
        possible: float = 0
        for kind in sorted(self._deployment.kinds, key=_value, reverse=True):
            parts = len(kind.services) if kind.gathers else 1
            for service in kind.services:
                wanted = arrivals[kind.name] * parts / len(kind.services)
                spare_s = left_by_service[service] * (SECOND_S + kind.target_s)
                served = min(wanted, spare_s / kind.work_s)
                left_by_service[service] -= (
                    served * kind.work_s / (SECOND_S + kind.target_s)
                )
                possible += served * kind.worth / parts
        return possible


def _value(kind: deployments.Kind) -> float:
    """Return the worth of a second of work."""
    parts = len(kind.services) if kind.gathers else 1
    return kind.worth / (parts * kind.work_s)
