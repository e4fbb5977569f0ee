"""The share of a service's work that may leave the zone; sans-I/O.

Owns the share, its hysteresis and the credits that it earns. Every request
earns the share as a credit, and each one that leaves spends a whole credit, so
a host never sends out more than its share at once.
"""

import math
from typing import NamedTuple

from cardamomflow import rules

# Time in seconds over which requests are counted. Shorter times make the share
# of a host with 20 requests/s vary by half of its value.
COUNT_DECAY_S = 0.5
# Time in seconds between changes of the share. Changing it with each request
# takes as long as the rest of a decision.
COUNT_INTERVAL_S = 0.05
# Time in seconds after which an overload ends if several requests arrive in it
# and none needs another zone.
GAP_S = 0.15
# Difference between the need and the share that is no change.
BAND = 0.02
GROWTH_PER_S = 2.0
FALL_PER_S = 1.0
MAXIMUM_CREDITS = 4.0
# Credits needed to leave. Each rank leaves a part to the more urgent ones.
CREDITS_BY_RANK = {
    rules.Rank.URGENT: 1.0,
    rules.Rank.STANDARD: 1.5,
    rules.Rank.BULK: 2.0,
}


class ShareSettings(NamedTuple):
    """How fast the share changes, and its maximum.

    Attributes
    ----------
    maximum : float
    grow_after_s, fall_after_s : float
        Time in seconds for which the need has to be above or below the share.
    """

    maximum: float = 1.0
    grow_after_s: float = 0.5
    fall_after_s: float = 1.0


class OverflowShare:
    """Share of the requests for one service that may leave the zone.

    Attributes
    ----------
    share : float
    """

    def __init__(self, settings: ShareSettings, now: float) -> None:
        """Start with a share of 0."""
        self.share: float = 0
        self._settings = settings
        self._credits: float = 0
        self._arrivals_by_rank: dict[rules.Rank, float] = dict.fromkeys(
            rules.Rank, 0
        )
        self._needs: float = 0
        self._counted_at = now
        self._need_began_at = math.inf
        self._needed_at = -math.inf
        self._below_since = math.inf
        self._arrivals_since_need: float = math.inf

    def record_arrival(self, rank: rules.Rank, now: float) -> None:
        """Count a request and earn its part of a credit."""
        if now - self._counted_at >= COUNT_INTERVAL_S:
            self._advance(now)
        self._arrivals_by_rank[rank] += 1
        self._arrivals_since_need += 1
        if self.share:
            self._credits = min(MAXIMUM_CREDITS, self._credits + self.share)

    def record_need(self, now: float) -> None:
        """Count a request that the own zone can't serve in time."""
        if not self._is_needed(now):
            self._need_began_at = now
        self._needed_at = now
        self._arrivals_since_need = 0
        self._needs += 1

    def may_spend(self, rank: rules.Rank) -> bool:
        """Return whether there are credits for a request of a rank."""
        return self._credits >= CREDITS_BY_RANK[rank]

    def spend(self) -> None:
        """Spend the credit of a request that leaves."""
        self._credits -= 1

    def urgent_rate(self, rank: rules.Rank) -> float:
        """Return the requests/s of more urgent ranks that stay in the zone."""
        arrivals = sum(
            count
            for urgent, count in self._arrivals_by_rank.items()
            if urgent < rank
        )
        return arrivals * (1 - self.share) / COUNT_DECAY_S

    def _advance(self, now: float) -> None:
        elapsed_s = now - self._counted_at
        self._counted_at = now
        arrivals = sum(self._arrivals_by_rank.values())
        need = min(1.0, self._needs / max(1.0, arrivals))
        self._update(need, elapsed_s, now)
        decay = math.exp(-elapsed_s / COUNT_DECAY_S)
        self._needs *= decay
        for rank in self._arrivals_by_rank:
            self._arrivals_by_rank[rank] *= decay

    def _update(self, need: float, elapsed_s: float, now: float) -> None:
        """Move the share towards the need that has lasted long enough."""
        floor = need if self._is_needed(now) else 0
        if floor > self.share + BAND:
            self._below_since = math.inf
            if now - self._need_began_at >= self._settings.grow_after_s:
                step = GROWTH_PER_S * elapsed_s
                self.share = min(
                    self._settings.maximum, need, self.share + step
                )
        elif floor < self.share - BAND or not floor:
            self._below_since = min(self._below_since, now)
            if now - self._below_since >= self._settings.fall_after_s:
                self._fall(floor, elapsed_s)
        else:
            self._below_since = math.inf

    def _is_needed(self, now: float) -> bool:
        """Return whether the overload lasts.

        At a low rate, requests that each need to leave come seldom.
        """
        is_recent = now - self._needed_at <= GAP_S
        return is_recent or self._arrivals_since_need <= 1

    def _fall(self, floor: float, elapsed_s: float) -> None:
        self.share = max(floor, self.share - FALL_PER_S * elapsed_s)
        if not self.share:
            self._credits = 0
