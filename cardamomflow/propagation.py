"""Propagation of the newest configuration; sans-I/O.

Owns the newest document of this member and the pull in progress. The newest
revision wins; an older document is counted and ignored. Also chooses the
members of a zone that read the platform.
"""

from collections.abc import Hashable, Iterable
from typing import NamedTuple

import xxhash

WATCHERS_PER_ZONE = 2
WATCHERS_KEY = 'config-watchers'
_MAXIMUM_SOURCES = 8


def watchers(member_ids: Iterable[str]) -> list[str]:
    """Return the members of a zone that read the platform for the zone.

    Members with the same view choose the same watchers without messages.
    """
    return sorted(member_ids, key=_watcher_score)[:WATCHERS_PER_ZONE]


def _watcher_score(member_id: str) -> int:
    return xxhash.xxh64_intdigest(f'{WATCHERS_KEY}\0{member_id}'.encode())


class Options(NamedTuple):
    """Limits of the propagation.

    Attributes
    ----------
    fanout : int
        Number of members to which a new revision is announced at once.
    pull_timeout_s : float
        Time after which the document is requested from another member.
    """

    fanout: int = 4
    pull_timeout_s: float = 1.0


class Document(NamedTuple):
    """A configuration in its stored and transmitted form."""

    revision: int
    compressed: bytes


class Pull(NamedTuple):
    """Request a document newer than a revision from a member."""

    source: Hashable
    newer_than: int


class Announce(NamedTuple):
    """Announce the new revision to `count` random members at once."""

    count: int


class Activate(NamedTuple):
    """Put a document into force on this member."""

    document: Document


Action = Pull | Announce | Activate


class _PendingPull(NamedTuple):
    source: Hashable
    expires_at: float


class Propagation:
    """Newest configuration of one member.

    Attributes
    ----------
    current : Document or None
    ignored_count : int
        Documents that were older than the one in force.
    """

    def __init__(self, options: Options) -> None:
        self.current: Document | None = None
        self.ignored_count = 0
        self._options = options
        self._revisions_by_source: dict[Hashable, int] = {}
        self._pending_pull: _PendingPull | None = None

    @property
    def revision(self) -> int:
        """Revision in force, 0 without a configuration."""
        return 0 if self.current is None else self.current.revision

    def record_revision(
        self, revision: int, source: Hashable, now: float
    ) -> list[Action]:
        """Record which revision a member has; pull it if it is newer."""
        if revision <= self.revision:
            return []
        self._revisions_by_source.pop(source, None)
        self._revisions_by_source[source] = revision
        if len(self._revisions_by_source) > _MAXIMUM_SOURCES:
            oldest = next(iter(self._revisions_by_source))
            del self._revisions_by_source[oldest]
        return self._pull(now)

    def receive(self, document: Document) -> list[Action]:
        """Process a document from a member or from the platform."""
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
        return [Activate(document), Announce(self._options.fanout)]

    def end_pull(self, source: Hashable, now: float) -> list[Action]:
        """End a pull, with or without a document, and start the next one."""
        if self._pending_pull is None or self._pending_pull.source != source:
            return []
        self._pending_pull = None
        self._revisions_by_source.pop(source, None)
        return self._pull(now)

    def tick(self, now: float) -> list[Action]:
        """End a pull that timed out and start one from the next member."""
        pending = self._pending_pull
        if pending is None or now < pending.expires_at:
            return []
        return self.end_pull(pending.source, now)

    def _pull(self, now: float) -> list[Action]:
        if self._pending_pull is not None or not self._revisions_by_source:
            return []
        source = max(
            self._revisions_by_source,
            key=self._revisions_by_source.__getitem__,
        )
        self._pending_pull = _PendingPull(
            source, now + self._options.pull_timeout_s
        )
        return [Pull(source, self.revision)]
