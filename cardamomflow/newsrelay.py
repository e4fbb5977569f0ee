"""News of the platform that hosts pass on to each other; sans-I/O.

Owns whom a host hears the news from, how fresh they are, and the news that it
can pass on itself. Each host keeps no call at the platform waiting while
another one of its cell tells it all changes; when that one is silent, or hears
nothing itself, the host asks the platform again.
"""

import collections
from collections.abc import Container, Sequence
from typing import NamedTuple

from cardamomflow import avoidance, ownership, routing

# Age of the news after which a host asks the platform itself. The one that
# passes them on hears at least every 1.1 s in good health, and its silent
# connection ends within 2.1 s. Changes have to be in force within 3 s or more.
FRESH_S = 2.6
# Time for the first sign of a host, which comes at once.
FIRST_SIGN_S = 0.5
# Time for which a host that told no fresh news is not asked for them.
AVOIDED_S = 10.0
# Time between signs that there is no change.
SIGN_INTERVAL_S = 0.5
# News that are kept for hosts which have just begun to listen; they have read
# all up to a few moments ago.
KEPT_NEWS = 64


class News(NamedTuple):
    """Changes at the platform, or the sign that there are none.

    Attributes
    ----------
    before, revision : int
        The changes after the one revision up to the other.
    content : bytes
        As the adapter of the platform reads it; empty without changes.
    heard_at : float
        When the platform told that there are no others.
    outage_until : float
        Until when entries that vanish may have lapsed in an outage.
    """

    before: int
    revision: int
    content: bytes
    heard_at: float
    outage_until: float


class Archive:
    """The newest news of one host, for others."""

    def __init__(self) -> None:
        """Start without news."""
        self._kept: collections.deque[News] = collections.deque(
            maxlen=KEPT_NEWS
        )
        self._last: News | None = None

    def add(self, news: News) -> None:
        """Keep news that were taken."""
        if news.content:
            self._kept.append(news)
        self._last = news

    def lost(self, outage_until: float) -> None:
        """Note that the platform does not answer."""
        if self._last is not None:
            self._last = self._last._replace(outage_until=outage_until)

    def sign(self) -> News | None:
        """Return the newest revision without its changes."""
        if self._last is None:
            return None
        return self._last._replace(before=self._last.revision, content=b'')

    def after(self, revision: int) -> list[News]:
        """Return what a host has to hear that knows a revision.

        The last one is a sign, which shows a gap where changes are missing.
        """
        sign = self.sign()
        if sign is None:
            return []
        missed = [news for news in self._kept if news.revision > revision]
        return [*missed, sign]


class Listening:
    """The news that one host hears from another one."""

    def __init__(self, own_id: str) -> None:
        """Start by asking the platform."""
        self.teller: str | None = None
        self._own_id = own_id
        self._told: collections.deque[News] = collections.deque()
        self._fresh_until = float('-inf')
        self._avoided = avoidance.Avoidance()

    def choose(
        self,
        cell: Sequence[ownership.Member],
        usable: Container[str],
        now: float,
    ) -> str | None:
        """Return the host to hear, None when this one asks the platform."""
        ranked = sorted(
            (member.host_id for member in cell),
            key=lambda host_id: routing.score('news', host_id),
        )
        for host_id in ranked:
            if host_id == self._own_id:
                return None
            is_avoided = self._avoided.is_avoided(host_id, now)
            if host_id in usable and not is_avoided:
                return host_id
        return None

    def begin(self, teller: str | None, now: float) -> None:
        """Hear another host from now on, or none."""
        self.teller = teller
        self._told.clear()
        self._fresh_until = now + FIRST_SIGN_S

    def take(self, teller: str, news: News) -> None:
        """Take news; those of a host that is not heard are ignored."""
        if teller != self.teller:
            return
        self._told.append(news)
        self._fresh_until = max(self._fresh_until, news.heard_at + FRESH_S)

    def next(self, revision: int, now: float) -> News | None:
        """Return the next news or sign, None without any.

        A host that tells no fresh news is given up for a while. One that does
        not tell all is asked again when the platform has told the rest.
        """
        if now >= self._fresh_until:
            self._avoid(now)
        while self._told:
            news = self._told.popleft()
            if news.before <= revision <= news.revision:
                return news
            if news.before > revision:
                self.begin(None, now)
            elif not news.content:
                # It is behind, and does not hear what is newer.
                self._avoid(now)
        return None

    def _avoid(self, now: float) -> None:
        if self.teller is not None:
            self._avoided.avoid(self.teller, now + AVOIDED_S, now)
        self.begin(None, now)

    def wait_s(self, now: float) -> float:
        """Return how long news may be waited for."""
        return max(0, self._fresh_until - now)
