"""Propagation of the newest configuration; sans-I/O.

Owns the newest revision that this member has and the pull in progress. The
newest revision wins; an older one is counted and never taken.
"""

from collections.abc import Hashable, Iterable
from typing import NamedTuple

import xxhash

WATCHERS_PER_ZONE = 2
WATCHERS_KEY = 'config-watchers'
_MAXIMUM_SOURCES = 8


def watchers(member_ids: Iterable[str]) -> list[str]:
    """Return the members of a zone that read the platform for it.

    Every member with the same view chooses the same ones, without a message.
    """
    return sorted(member_ids, key=_watcher_score)[:WATCHERS_PER_ZONE]


def _watcher_score(member_id: str) -> int:
    return xxhash.xxh64_intdigest(f'{WATCHERS_KEY}\0{member_id}'.encode())


class Options(NamedTuple):
    """Bounds of the propagation.

    Attributes
    ----------
    fanout : int
        Members told at once about a new revision.
    pull_timeout_s : float
        Time after which another member is asked.
    """

    fanout: int = 4
    pull_timeout_s: float = 1.0


class Document(NamedTuple):
    """A configuration as it is stored and sent."""

    revision: int
    compressed: bytes


class Pull(NamedTuple):
    """Ask a member for what is newer than `newer_than`."""

    source: Hashable
    newer_than: int


class Announce(NamedTuple):
    """Tell `count` random members at once that there is a new revision."""

    count: int


class InForce(NamedTuple):
    """A document came into force on this member."""

    document: Document


Action = Pull | Announce | InForce


class _Pulling(NamedTuple):
    source: Hashable
    until: float


class Propagation:
    """Newest configuration of one member.

    Attributes
    ----------
    current : Document or None
    ignored_count : int
        Documents that were older than the one in force.
    """

    def __init__(self, options: Options) -> None:
        """Start without a configuration."""
        self.current: Document | None = None
        self.ignored_count = 0
        self._options = options
        self._revisions_by_source: dict[Hashable, int] = {}
        self._pulling: _Pulling | None = None

    @property
    def revision(self) -> int:
        """Revision in force, 0 without a configuration."""
        return 0 if self.current is None else self.current.revision

    def offer(
        self, revision: int, source: Hashable, now: float
    ) -> list[Action]:
        """Note that a member has a revision; pull it when it is newer."""
        if revision <= self.revision:
            return []
        self._revisions_by_source.pop(source, None)
        self._revisions_by_source[source] = revision
        if len(self._revisions_by_source) > _MAXIMUM_SOURCES:
            oldest = next(iter(self._revisions_by_source))
            del self._revisions_by_source[oldest]
        return self._pull(now)

    def receive(self, document: Document) -> list[Action]:
        """Take a whole document from a member or from the platform."""
        if document.revision < self.revision:
            self.ignored_count += 1
            return []
        if document.revision == self.revision:
            return []
        self.current = document
        self._revisions_by_source = {
            source: revision
            for source, revision in self._revisions_by_source.items()
            if revision > document.revision
        }
        return [InForce(document), Announce(self._options.fanout)]

    def pull_ended(self, source: Hashable, now: float) -> list[Action]:
        """Note that a pull ended, with or without a document."""
        if self._pulling is None or self._pulling.source != source:
            return []
        self._pulling = None
        self._revisions_by_source.pop(source, None)
        return self._pull(now)

    def tick(self, now: float) -> list[Action]:
        """Give up a pull that takes too long and ask the next member."""
        pulling = self._pulling
        if pulling is None or now < pulling.until:
            return []
        return self.pull_ended(pulling.source, now)

    def _pull(self, now: float) -> list[Action]:
        if self._pulling is not None or not self._revisions_by_source:
            return []
        source = max(
            self._revisions_by_source,
            key=self._revisions_by_source.__getitem__,
        )
        self._pulling = _Pulling(source, now + self._options.pull_timeout_s)
        return [Pull(source, self.revision)]
