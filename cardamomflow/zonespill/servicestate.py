"""What one host keeps for one service; sans-I/O.

Owns the queue lengths by rank and when the own zone last was too slow.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from cardamomflow import rules
from cardamomflow.zonespill import figures, overflow, policy

# Time in seconds for which the own zone counts as short after a request was too
# slow there. Bulk work then makes room and hedges avoid queues: the queues of
# backend servers ignore ranks, so urgent work would leave to pass bulk work.
SHORT_S = 0.5
_BULK = rules.Rank.BULK


class Option(NamedTuple):
    """Another zone that may get work.

    Attributes
    ----------
    zone : str
    needed_s : float
        How long the own zone has to take, in seconds, for the other to be
        worth its cost.
    room : float
        Requests that its backend servers may take.
    backend_ids : frozenset of str
        Backend servers with room.
    is_probe : bool
        Whether it gets one request at a time, since it was full.
    """

    zone: str
    needed_s: float
    room: float
    backend_ids: frozenset[str]
    is_probe: bool


class Options(NamedTuple):
    """The zones that were open to a rank at a time."""

    listed_at: float
    zones: Sequence[Option]


class ServiceState:
    """Figures, queue and share of one service in the zones."""

    def __init__(
        self, settings: overflow.ShareSettings, own_zone: str, now: float
    ) -> None:
        self.overflow = overflow.OverflowShare(settings, now)
        self.home = figures.ZoneFigures()
        self.figures_by_zone = {own_zone: self.home}
        self.queued_by_rank = dict.fromkeys(rules.Rank, 0)
        self.answer_size = figures.AnswerSize()
        self.logged_share: float = 0
        # When a request of bulk work, and one of another rank, last was too
        # slow at home.
        self.bulk_needed_at = -math.inf
        self.options_by_rank = dict.fromkeys(rules.Rank, Options(-math.inf, ()))
        self.needed_at = -math.inf

    def record_need(self, query: policy.Query, now: float) -> None:
        """Count a request that the own zone can't serve in time."""
        if not query.is_counted:
            self.overflow.record_need(now)
        if query.rank is _BULK:
            self.bulk_needed_at = now
        else:
            self.needed_at = now

    def makes_room(self, rank: rules.Rank, now: float) -> bool:
        """Return whether work is to make room at home for more urgent work."""
        return rank is _BULK and now - self.needed_at <= SHORT_S

    def is_short(self, now: float) -> bool:
        """Return whether the own zone was too slow for a request just now."""
        return now - max(self.needed_at, self.bulk_needed_at) <= SHORT_S

    def figures(self, zone: str) -> figures.ZoneFigures:
        """Return the figures of a zone."""
        found = self.figures_by_zone.get(zone)
        if found is None:
            found = figures.ZoneFigures()
            self.figures_by_zone[zone] = found
        return found

    def ahead(self, rank: rules.Rank) -> int:
        """Return the queued requests that are served before a new one."""
        return sum(
            count
            for queued_rank, count in self.queued_by_rank.items()
            if queued_rank <= rank
        )
