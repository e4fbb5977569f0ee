"""Decodes the headers that backend servers add to their answers; no I/O.

A value that does not have the documented form is ignored and named in
`Notices.invalid`; it never fails the answer.
"""

import functools
import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cardamomflow import requeststate
from cardamomflow.platform import wire

# Longer pauses are shortened, so that a faulty value can't exclude a backend
# server for good.
MAX_PAUSE_S = 60.0
# Load reports that are decoded once; most are of a few small numbers.
KNOWN_REPORTS = 1024
# Running requests, waiting requests and slots; a fourth figure says how long
# work takes, in percent of the usual time.
_LOAD_FIELD_COUNT = 3
_USUAL_SLOWNESS = 100
# A number with more digits is not a plausible time or load, and `int` raises an
# error for more than 4,300 digits.
_MAX_DIGITS = 9
_MS = 1000
_IS_LEAVING = b'1'
_NOTICE_HEADERS = (wire.LEAVING, wire.RETRY_AFTER)


class Notices(NamedTuple):
    """What a backend server asks of this host.

    Attributes
    ----------
    is_leaving : bool
        Whether it is about to stop and gets no further requests.
    pause_s : float
        Time in seconds without further requests; 0 if it asks for none.
    invalid : tuple of str
        Names of the headers with an invalid value.
    """

    is_leaving: bool = False
    pause_s: float = 0
    invalid: tuple[str, ...] = ()


NO_NOTICES = Notices()


def parse_notices(
    headers: Sequence[tuple[bytes, bytes]],
    headers_by_name: Mapping[bytes, bytes],
) -> Notices:
    """Return the notices in the headers of an answer.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
        All headers, with names in lower case.
    headers_by_name : mapping of bytes to bytes
        The last value of each header.
    """
    if headers_by_name.keys().isdisjoint(_NOTICE_HEADERS):
        return NO_NOTICES
    leaving_values = _values(headers, wire.LEAVING)
    pause_values = _values(headers, wire.RETRY_AFTER)
    pause_s = _parse_pause_s(pause_values)
    invalid = []
    if leaving_values not in {frozenset(), frozenset((_IS_LEAVING,))}:
        invalid.append(wire.LEAVING.decode())
    if pause_values and pause_s is None:
        invalid.append(wire.RETRY_AFTER.decode())
    return Notices(
        leaving_values == {_IS_LEAVING}, pause_s or 0, tuple(invalid)
    )


def keep_alive_s(headers_by_name: Mapping[bytes, bytes]) -> float:
    """Return the keep-alive timeout in seconds; infinite without one."""
    for option in headers_by_name.get(b'keep-alive', b'').split(b','):
        name, _, limit = option.strip().partition(b'=')
        if name == b'timeout' and _is_number(limit):
            return int(limit)
    return math.inf


def parse_cold_s(headers_by_name: Mapping[bytes, bytes]) -> float | None:
    """Return for how many seconds a backend server is cold, None if unknown."""
    remaining_ms = headers_by_name.get(wire.COLD_REMAINING)
    if remaining_ms is None or not _is_number(remaining_ms):
        return None
    return int(remaining_ms) / _MS


@functools.lru_cache(maxsize=KNOWN_REPORTS)
def parse_load(report: bytes) -> requeststate.Load | None:
    """Return the reported load, None without a valid report."""
    numbers = report.split(b',')
    if len(numbers) not in {_LOAD_FIELD_COUNT, _LOAD_FIELD_COUNT + 1}:
        return None
    if not all(_is_number(number.strip()) for number in numbers):
        return None
    running, waiting, slots, *percentages = map(int, numbers)
    slowness = percentages[0] / _USUAL_SLOWNESS if percentages else None
    return requeststate.Load(running, waiting, slots, slowness)


def is_signature(text: bytes) -> bool:
    """Return whether a text is exactly one signature of a backend server."""
    return text.isascii() and text.split() == [text] and b',' not in text


def _values(
    headers: Sequence[tuple[bytes, bytes]], name: bytes
) -> frozenset[bytes]:
    """Return the different values of a header."""
    return frozenset(
        content for header_name, content in headers if header_name == name
    )


def _parse_pause_s(contents: frozenset[bytes]) -> float | None:
    """Return the pause in seconds, None without one valid value."""
    if len(contents) != 1:
        return None
    (content,) = contents
    seconds, point, fraction = content.partition(b'.')
    if not _is_number(seconds) or (point and not _is_number(fraction)):
        return None
    return min(MAX_PAUSE_S, float(content))


def _is_number(text: bytes) -> bool:
    return text.isdigit() and len(text) <= _MAX_DIGITS
