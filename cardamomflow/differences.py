"""Compares configuration documents and renders the changes as text."""

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

_PARTS = ('register', 'rules')
_MAX_RENDERED_LENGTH = 120
_ABSENT = object()


class Change(NamedTuple):
    """One changed path of a document.

    Attributes
    ----------
    path : tuple of str
        Keys from the root of the document.
    old : str or None
        Rendered value before the change, None when the path was absent.
    new : str or None
        Rendered value after the change, None when the path was removed.
    """

    path: tuple[str, ...]
    old: str | None
    new: str | None

    def __str__(self) -> str:
        """Render the change on one line."""
        path = '.'.join(self.path)
        if self.old is None:
            return f'+ {path}: {self.new}'
        if self.new is None:
            return f'- {path}: {self.old}'
        return f'~ {path}: {self.old} -> {self.new}'


def difference(old_document: Any, new_document: Any) -> list[Change]:
    """List the changes between two configuration documents.

    Parameters
    ----------
    old_document, new_document : dict or None
        Documents with the parts `register` and `rules`; None means empty.
        Other keys of a stored document are not compared.
    """
    old = old_document or {}
    new = new_document or {}
    changes: list[Change] = []
    for part in _PARTS:
        changes.extend(_compare((part,), old.get(part, {}), new.get(part, {})))
    return changes


def _compare(path: tuple[str, ...], old: Any, new: Any) -> Iterator[Change]:
    if not isinstance(old, dict) or not isinstance(new, dict):
        if old != new:
            yield Change(path, _render(old), _render(new))
        return
    for key in sorted({*old, *new}):
        yield from _compare(
            (*path, key), old.get(key, _ABSENT), new.get(key, _ABSENT)
        )


def _render(content: Any) -> str | None:
    if content is _ABSENT:
        return None
    text = json.dumps(content, sort_keys=True)
    if len(text) > _MAX_RENDERED_LENGTH:
        return f'{text[:_MAX_RENDERED_LENGTH]}...'
    return text
