"""Limits of a process, derived from the memory and descriptors it may use."""

import resource
from collections.abc import Mapping
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
# Descriptors that stay free for backend servers, other hosts and the store, as
# a share of all.
RESERVED_SHARE = 8
MIN_RESERVED_DESCRIPTORS = 16
_MIN_CONNECTIONS = 64
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
    """

    held_bytes: int = DEFAULT_HELD_BYTES
    answer_bytes: int = DEFAULT_ANSWER_BYTES
    connections: int = DEFAULT_CONNECTIONS
    descriptors: int = 1_048_576


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
    limits = Limits(descriptors=descriptors - reserved)
    if 'memory_mb' not in settings:
        return limits
    memory_bytes = settings['memory_mb'] * _MB
    # A machine smaller than the base gets small limits instead of none.
    free_bytes = max(memory_bytes - BASE_BYTES, memory_bytes // 8)
    return limits._replace(
        held_bytes=free_bytes * 5 // 16,
        answer_bytes=free_bytes // 4,
        connections=max(
            _MIN_CONNECTIONS,
            min(DEFAULT_CONNECTIONS, free_bytes // 8 // CONNECTION_BYTES),
        ),
    )
