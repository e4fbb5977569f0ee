"""Checks of the heads of requests that h11 accepts; no I/O.

Refuses what another server could read differently, as RFC 9112 asks, and
converts a target in absolute form to the form that routes use.
"""

import urllib.parse
from collections.abc import Sequence
from typing import NamedTuple

import h11

from cardamomflow import errors

_HEAD_END = b'\r\n\r\n'
# Starts of lines that continue the line before.
_FOLDS = (b'\r\n ', b'\r\n\t')
_SCHEMES = ('http://', 'https://')


class Target(NamedTuple):
    """Target of a request.

    Attributes
    ----------
    path : str
        Path with query.
    host : str or None
        Host of a target in absolute form, which replaces the `Host` header.
    """

    path: str
    host: str | None


def check_lines(received: bytes) -> None:
    """Check the line ends of a head that may be incomplete.

    Raises
    ------
    errors.BadRequest
        A line of the head is folded or ends with a line feed only.
    """
    head, separator, _ = received.partition(_HEAD_END)
    lines = head + separator
    # Counting is 20 times as fast as a regular expression; this check is
    # repeated for each piece of a head.
    has_bare_line_feed = lines.count(b'\n') != lines.count(b'\r\n')
    if has_bare_line_feed or any(start in lines for start in _FOLDS):
        raise errors.BadRequest(
            'a line of the head is folded or does not end with CRLF'
        )


def check(head: h11.Request, head_bytes: int, body_bytes: int) -> int | None:
    """Check a complete head against limits, which h11 has only in part.

    Returns
    -------
    int or None
        Length of the body in bytes; None for a chunked body.

    Raises
    ------
    errors.MethodNotAllowed, errors.HeadTooLarge, errors.BodyTooLarge
    errors.BadRequest
        The head announces the end of the body in two ways.
    """
    if head.method == b'CONNECT':
        raise errors.MethodNotAllowed('CONNECT is not supported')
    size = len(head.target) + sum(
        len(name) + len(content) for name, content in head.headers
    )
    if size > head_bytes:
        raise errors.HeadTooLarge(f'the head exceeds {head_bytes} bytes')
    headers_by_name = dict(head.headers)
    if {b'content-length', b'transfer-encoding'} <= headers_by_name.keys():
        raise errors.BadRequest(
            'the request has both a content-length and a transfer-encoding'
        )
    # h11 has already checked that the length is a number.
    length = int(headers_by_name.get(b'content-length', b'0'))
    check_body_size(length, body_bytes)
    return None if b'transfer-encoding' in headers_by_name else length


def check_body_size(size: int, limit: int) -> None:
    """Raise `errors.BodyTooLarge` for a body over the limit."""
    if size > limit:
        raise errors.BodyTooLarge(f'the body exceeds {limit} bytes')


def parse_target(target: str) -> Target:
    """Return the path of a target, and its host if it names one.

    Raises
    ------
    errors.BadRequest
        The target is in absolute form and has no valid host.
    """
    if not target.lower().startswith(_SCHEMES):
        return Target(target, None)
    try:
        parts = urllib.parse.urlsplit(target)
    except ValueError as error:
        raise errors.BadRequest(f'malformed target: {target!r}') from error
    if not parts.netloc:
        raise errors.BadRequest(f'the target has no host: {target!r}')
    query = f'?{parts.query}' if parts.query else ''
    return Target(f'{parts.path or "/"}{query}', parts.netloc)


def replace_host(
    headers: Sequence[tuple[bytes, bytes]], host: str
) -> list[tuple[bytes, bytes]]:
    """Return headers with another host."""
    return [
        (name, host.encode('latin-1') if name == b'host' else content)
        for name, content in headers
    ]
