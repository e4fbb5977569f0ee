"""Limits of a process, derived from the memory and descriptors it may use."""

import resource
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

# Memory of a process without clients: 45 MB after the start, and the tables of
# the largest deployment.
BASE_BYTES = 67_108_864
# Limits of a process whose settings name no memory.
DEFAULT_HELD_BYTES = 33_554_432
DEFAULT_ANSWER_BYTES = 33_554_432
DEFAULT_CONNECTIONS = 8192
# Memory of one connection without a request; 3 KB were measured, and an HTTP
# parser with its last request takes up to 8 KB.
CONNECTION_BYTES = 8192
# The slowest links of callers carry 80 times as much.
DEFAULT_MIN_READ_BYTES_PER_S = 16_384
# A head in pieces of one byte has this number after 4 KB. A piece costs 60 us.
DEFAULT_HEAD_PIECES = 4096
# A body in chunks of two bytes or more has this much framing beyond twice its
# payload only after 16,384 chunks; one in chunks of a single byte, each of
# which costs the parser 15 us, after 5,461.
DEFAULT_FRAMING_ALLOWANCE_BYTES = 16_384
# Descriptors that stay free for backend servers, other hosts and the store, as
# a share of all.
RESERVED_SHARE = 8
MIN_RESERVED_DESCRIPTORS = 16
# A request in progress has objects besides its head and its body. A header is a
# pair of values, in the parsed head, by name, and in the head for a backend
# server.
REQUEST_BYTES = 4096
HEADER_BYTES = 384
# A growing buffer has up to an eighth more than it contains.
_BUFFER_SHARE = 8
_MIN_CONNECTIONS = 64
# Shares of the memory beyond the base. Half as much again as both, for copies,
# and the connections fit in it.
_HELD_SHARE = 0.3125
_ANSWER_SHARE = 0.25
_CONNECTIONS_SHARE = 0.125
_MIN_FREE_SHARE = 0.125
_MB = 1_048_576


class Limits(NamedTuple):
    """Limits of a process.

    The limits of bytes are for counted bytes. Copies while a message is
    parsed or sent, and fragmented memory, take up to half as much again.

    Attributes
    ----------
    held_bytes : int
        Bytes that connections of clients may hold.
    answer_bytes : int
        Bytes of incomplete answers of backend servers, and of requests that
        they do not read.
    connections : int
        Open connections of clients.
    descriptors : int
        Number below which the descriptors of clients must stay.
    min_read_bytes_per_s : int
        Rate at which a caller must read a long answer.
    head_pieces : int
        Pieces in which the head of a request may arrive.
    framing_allowance_bytes : int
        See `framing.ChunkMeter`.
    """

    held_bytes: int = DEFAULT_HELD_BYTES
    answer_bytes: int = DEFAULT_ANSWER_BYTES
    connections: int = DEFAULT_CONNECTIONS
    descriptors: int = 1_048_576
    min_read_bytes_per_s: int = DEFAULT_MIN_READ_BYTES_PER_S
    head_pieces: int = DEFAULT_HEAD_PIECES
    framing_allowance_bytes: int = DEFAULT_FRAMING_ALLOWANCE_BYTES


def buffer_bytes(size: int) -> int:
    """Return the memory in bytes of a growing buffer with `size` bytes."""
    return size + size // _BUFFER_SHARE


def head_bytes(headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Return the memory in bytes of the parsed head of a request."""
    text_bytes = sum(len(name) + len(content) for name, content in headers)
    return HEADER_BYTES * len(headers) + 2 * text_bytes


def derive(settings: Mapping[str, Any]) -> Limits:
    """Return the limits of a process.

    Parameters
    ----------
    settings : mapping
        Settings of a program; `memory_mb` and `max_descriptors` may be absent.
    """
    available, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(settings.get('max_descriptors', available), available)
    reserved = max(MIN_RESERVED_DESCRIPTORS, descriptors // RESERVED_SHARE)
    client_settings = settings.get('clients', {})
    limits = Limits(
        descriptors=descriptors - reserved,
        min_read_bytes_per_s=client_settings.get(
            'min_read_bytes_per_s', DEFAULT_MIN_READ_BYTES_PER_S
        ),
        head_pieces=client_settings.get('max_head_pieces', DEFAULT_HEAD_PIECES),
        framing_allowance_bytes=client_settings.get(
            'framing_allowance_bytes', DEFAULT_FRAMING_ALLOWANCE_BYTES
        ),
    )
    if 'memory_mb' not in settings:
        return limits
    memory_bytes = settings['memory_mb'] * _MB
    # A machine smaller than the base gets small limits instead of none.
    free_bytes = max(memory_bytes - BASE_BYTES, memory_bytes * _MIN_FREE_SHARE)
    connections = int(free_bytes * _CONNECTIONS_SHARE / CONNECTION_BYTES)
    return limits._replace(
        held_bytes=int(free_bytes * _HELD_SHARE),
        answer_bytes=int(free_bytes * _ANSWER_SHARE),
        connections=min(
            DEFAULT_CONNECTIONS, max(_MIN_CONNECTIONS, connections)
        ),
    )
