"""Publications in the stored configuration, see `docs/design.md`, 5.

Defines proposals, results and the publication history in the document. Does
not access the platform and does not resolve conflicts.
"""

import time
from typing import Any, NamedTuple

from cardamomflow import configuration, differences, errors, platform

# Publications kept in the document. A conflict lists their changes, and a
# repeated publish command finds its own publication among them.
KEPT_PUBLICATIONS = 10
KEPT_CHANGES = 20
_HISTORY = 'history'
_NOT_KEPT = '(its changes are not kept)'


class Proposal(NamedTuple):
    """A configuration that an operator wants to publish.

    Attributes
    ----------
    register, rules : dict
        The documents to publish.
    based_on : int
        Revision that the operator edited, 0 for the first configuration.
    publish_id : str
        Random identifier; the same for every repeat of the publication.
    recover : bool
        Whether to publish above the newest revision in force if the
        platform has lost that revision.
    repeated : bool
        Whether an earlier run may already have sent this publication.
    """

    register: Any
    rules: Any
    based_on: int
    publish_id: str
    recover: bool = False
    repeated: bool = False

    @property
    def revision(self) -> int:
        """Revision of the new configuration."""
        return self.based_on + 1


class PublishResult(NamedTuple):
    """A publication that the platform accepted.

    Attributes
    ----------
    revision : int
    publish_id : str
    changes : tuple of str
        Changes of the publication, one line each.
    newest_revision : int
        Revision that the platform has now; higher than `revision` if
        another operator has published since.
    """

    revision: int
    publish_id: str
    changes: tuple[str, ...]
    newest_revision: int


class StoredConfiguration:
    """The configuration that the platform stores."""

    def __init__(self, entry: platform.Entry | None) -> None:
        """Decode the entry of the configuration's key.

        Raises
        ------
        errors.InvalidDocument
            The entry is not a configuration.
        """
        self.document: dict[str, Any] = {}
        self.modification_number = platform.ABSENT
        if entry is not None:
            self.document = configuration.decompress(entry.value)
            self.modification_number = entry.revision
        self.revision: int = self.document.get('revision', 0)
        self.publish_id: str = self.document.get('publish_id', '')
        self._history: list[Any] = self.document.get(_HISTORY, [])
        _check_stored(self.revision, self._history)

    def find_publication(self, revision: int) -> dict[str, Any] | None:
        """Return the history entry of a revision, or None if it is dropped."""
        for publication in self._history:
            if publication['revision'] == revision:
                return publication
        if revision == self.revision:
            return {'publish_id': self.publish_id, 'changes': [_NOT_KEPT]}
        return None

    def has_dropped(self, revision: int) -> bool:
        """Return whether the history has dropped a replaced revision."""
        return (
            revision <= self.revision
            and self.find_publication(revision) is None
        )

    def changes_since(self, revision: int) -> list[str]:
        """Return the changes after a revision, one line each."""
        lines = []
        for later_revision in range(revision + 1, self.revision + 1):
            publication = self.find_publication(later_revision)
            if publication is None:
                publication = {'changes': [_NOT_KEPT]}
            lines.append(f'revision {later_revision} changed:')
            changes = publication['changes'] or ['nothing']
            lines.extend(f'  {line}' for line in changes)
        return lines

    def make_successor(self, proposal: Proposal) -> dict[str, Any]:
        """Return the document that replaces this one."""
        document = configuration.make_document(
            proposal.revision,
            proposal.publish_id,
            proposal.register,
            proposal.rules,
        )
        publication = {
            'revision': proposal.revision,
            'publish_id': proposal.publish_id,
            'published_at': round(time.time()),
            'changes': _format_changes(
                differences.difference(self.document, document)
            ),
        }
        kept_publications = self._history[1 - KEPT_PUBLICATIONS :]
        return {**document, _HISTORY: [*kept_publications, publication]}


def _check_stored(revision: Any, history: Any) -> None:
    expected = ''
    if not isinstance(revision, int):
        expected = 'a whole number as revision'
    if not isinstance(history, list) or not all(
        isinstance(publication, dict)
        and {'revision', 'publish_id', 'changes'} <= publication.keys()
        for publication in history
    ):
        expected = 'a history of publications'
    if expected:
        raise errors.InvalidDocument(
            [
                errors.SettingsProblem(
                    configuration.KEY,
                    '(value)',
                    'a different document',
                    expected,
                )
            ]
        )


def decode(entry: platform.Entry | None) -> StoredConfiguration | None:
    """Return the configuration of an entry, None if it has no valid one."""
    if entry is None:
        return None
    try:
        return StoredConfiguration(entry)
    except errors.InvalidDocument:
        return None


def find_result(
    stored: StoredConfiguration, proposal: Proposal
) -> PublishResult | None:
    """Return the result of a proposal if the platform has stored it."""
    publication = stored.find_publication(proposal.revision)
    if publication is None:
        return None
    if publication['publish_id'] != proposal.publish_id:
        return None
    return PublishResult(
        proposal.revision,
        proposal.publish_id,
        tuple(publication['changes']),
        stored.revision,
    )


def _format_changes(changes: list[differences.Change]) -> list[str]:
    lines = [str(change) for change in changes[:KEPT_CHANGES]]
    omitted_count = len(changes) - len(lines)
    if omitted_count:
        lines.append(f'... and {omitted_count} more changes')
    return lines
