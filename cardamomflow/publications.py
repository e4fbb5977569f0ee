"""Publications in the stored configuration, see `docs/design.md`, 5.

Owns the form of a proposal and of the history that the document keeps. It
neither reads nor writes the platform and decides no conflict.
"""

import time
from typing import Any, NamedTuple

from cardamomflow import configuration, differences, errors, platform

# Publications kept in the document, so that a conflict shows what others
# changed and a repeated publish recognises itself.
KEPT_PUBLICATIONS = 10
KEPT_CHANGES = 20
_HISTORY = 'history'
_NOT_KEPT = '(its changes are not kept)'


class Proposal(NamedTuple):
    """A change that an operator wants in force.

    Attributes
    ----------
    register, rules : dict
        Documents.
    based_on : int
        Revision that the operator edited, 0 for the first configuration.
    publish_id : str
        Random identity; the same one on every repeat of the publication.
    recover : bool
        Whether to publish above the newest revision in force although the
        platform lost it.
    repeated : bool
        Whether an earlier run may have sent this publication already.
    """

    register: Any
    rules: Any
    based_on: int
    publish_id: str
    recover: bool = False
    repeated: bool = False

    @property
    def revision(self) -> int:
        """Revision that the change gets."""
        return self.based_on + 1


class Published(NamedTuple):
    """A publication that the platform accepted.

    Attributes
    ----------
    revision : int
    publish_id : str
    changes : tuple of str
        What it changed, one line each.
    newest : int
        Revision that the platform has now; higher than `revision` when
        another operator published since.
    """

    revision: int
    publish_id: str
    changes: tuple[str, ...]
    newest: int


class Stored:
    """A configuration as the platform holds it."""

    def __init__(self, entry: platform.Entry | None) -> None:
        """Decode the entry of the configuration's key.

        Raises
        ------
        errors.InvalidDocument
            The platform holds something else.
        """
        self.document: dict[str, Any] = {}
        self.modification = platform.ABSENT
        if entry is not None:
            self.document = configuration.decompress(entry.value)
            self.modification = entry.revision
        self.revision: int = self.document.get('revision', 0)
        self.publish_id: str = self.document.get('publish_id', '')
        self._history: list[Any] = self.document.get(_HISTORY, [])
        _check_stored(self.revision, self._history)

    def publication(self, revision: int) -> dict[str, Any] | None:
        """Return what is known of a publication."""
        for publication in self._history:
            if publication['revision'] == revision:
                return publication
        if revision == self.revision:
            return {'publish_id': self.publish_id, 'changes': [_NOT_KEPT]}
        return None

    def hides(self, revision: int) -> bool:
        """Tell whether a publication was replaced and is not known."""
        return revision <= self.revision and self.publication(revision) is None

    def changes_since(self, revision: int) -> list[str]:
        """Return the changes above a revision, one line each."""
        lines = []
        for later in range(revision + 1, self.revision + 1):
            publication = self.publication(later)
            if publication is None:
                publication = {'changes': [_NOT_KEPT]}
            lines.append(f'revision {later} changed:')
            changes = publication['changes'] or ['nothing']
            lines.extend(f'  {line}' for line in changes)
        return lines

    def successor(self, proposal: Proposal) -> dict[str, Any]:
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
            'changes': _shortened(
                differences.difference(self.document, document)
            ),
        }
        kept = self._history[1 - KEPT_PUBLICATIONS :]
        return {**document, _HISTORY: [*kept, publication]}


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
                    configuration.KEY, '(value)', 'another document', expected
                )
            ]
        )


def decode(entry: platform.Entry | None) -> Stored | None:
    """Return what an entry holds, None when it is no configuration."""
    if entry is None:
        return None
    try:
        return Stored(entry)
    except errors.InvalidDocument:
        return None


def find_own(present: Stored, proposal: Proposal) -> Published | None:
    """Return the proposal's publication if the store has taken it."""
    publication = present.publication(proposal.revision)
    if publication is None:
        return None
    if publication['publish_id'] != proposal.publish_id:
        return None
    return Published(
        proposal.revision,
        proposal.publish_id,
        tuple(publication['changes']),
        present.revision,
    )


def _shortened(changes: list[differences.Change]) -> list[str]:
    lines = [str(change) for change in changes[:KEPT_CHANGES]]
    left_out = len(changes) - len(lines)
    if left_out:
        lines.append(f'... and {left_out} more changes')
    return lines
