"""What one host keeps for one service; sans-I/O.

Owns the queue lengths by rank and when the own zone last was too slow.
"""

import math

from cardamomflow import rules
from cardamomflow.zonespill import figures, overflow, policy

# Time in seconds for which the own zone counts as short after a request was too
# slow there. Bulk work then makes room and hedges avoid queues: the queues of
# backend servers ignore ranks, so urgent work would leave to pass bulk work.
SHORT_S = 0.5


class ServiceState:
    """Figures, queue and share of one service in the zones."""

    def __init__(self, settings: overflow.ShareSettings, now: float) -> None:
        self.overflow = overflow.OverflowShare(settings, now)
        self.figures_by_zone: dict[str, figures.ZoneFigures] = {}
        self.queued_by_rank = dict.fromkeys(rules.Rank, 0)
        self.answer_size = figures.AnswerSize()
        self.logged_share: float = 0
        # When a request of bulk work, and one of another rank, last was too
        # slow at home.
        self.bulk_needed_at = -math.inf
        self.needed_at = -math.inf

    def record_need(self, query: policy.Query, now: float) -> None:
        """Count a request that the own zone can't serve in time."""
        if not query.is_counted:
            self.overflow.record_need(now)
        if query.rank is rules.Rank.BULK:
            self.bulk_needed_at = now
        else:
            self.needed_at = now

    def makes_room(self, rank: rules.Rank, now: float) -> bool:
        """Return whether work is to make room at home for more urgent work."""
        is_bulk = rank is rules.Rank.BULK
        return is_bulk and now - self.needed_at <= SHORT_S

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
