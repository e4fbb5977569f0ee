"""Documents of the platform, decoded into our own types; no I/O.

An entry of a backend server may come from another writer; one that does not
have the documented form names none.
"""

import ipaddress
import json
import math
from typing import Any

from cardamomflow import (
    errors,
    ownership,
    register,
    routes,
    rules,
)

_MS = 1000
_STATES = frozenset(('ready', 'draining'))
# What reading a document of another form raises: deep nesting exceeds the
# recursion limit, large numbers exceed those of a float.
_UNREADABLE = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    RecursionError,
    OverflowError,
)
_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
_LOWEST_RANK = max(rules.Rank)


def parse_routes(content: bytes) -> routes.RouteTable:
    """Return the routes of a configuration.

    Raises
    ------
    errors.ProtocolViolation
        It does not have the documented form.
    """
    try:
        return _parse_routes(json.loads(content))
    except _UNREADABLE as error:
        raise errors.ProtocolViolation(
            f'the configuration can not be read: {error!r}'
        ) from error


def parse_backend(backend_id: str, content: bytes) -> register.Backend | None:
    """Return a backend server, None when the entry names none.

    Each request names the id in a header, so it has to be printable ASCII.
    """
    if not _is_printable(backend_id):
        return None
    try:
        return _parse_backend(backend_id, json.loads(content))
    except _UNREADABLE:
        return None


def write_member(member: ownership.Member) -> bytes:
    """Return the entry of a host of the product."""
    return json.dumps(
        {
            'availability_zone': member.availability_zone,
            'peers': f'{member.address}:{member.port}',
            'capacity': member.capacity,
        }
    ).encode()


def parse_member(host_id: str, content: bytes) -> ownership.Member | None:
    """Return a host, None when its entry does not tell how to reach it."""
    try:
        document = json.loads(content)
        address, port = _parse_address(document['peers'])
        member = ownership.Member(
            host_id,
            _parse_text(document['availability_zone']),
            address,
            port,
            float(document['capacity']),
        )
    except _UNREADABLE:
        return None
    is_usable = math.isfinite(member.capacity) and member.capacity > 0
    return member if is_usable else None


def _parse_routes(document: dict[str, Any]) -> routes.RouteTable:
    limits = document['limits']
    return routes.RouteTable(
        int(document['version']),
        [_parse_route(one) for one in document['routes']],
        {one['name']: one['max_connections'] for one in document['services']},
        routes.Limits(
            head_bytes=limits['max_header_bytes'],
            body_bytes=limits['max_body_bytes'],
            head_timeout_s=limits['header_timeout_ms'] / _MS,
            idle_timeout_s=limits['idle_timeout_ms'] / _MS,
        ),
    )


def _parse_route(document: dict[str, Any]) -> routes.Route:
    shards = tuple(document.get('gather') or ())
    timeout_s = document['timeout_ms'] / _MS
    return routes.Route(
        name=document['name'],
        host=document['host'].lower(),
        prefix=document['prefix'],
        shards=shards,
        shares=() if shards else _parse_shares(document),
        repeatable=document['route_type'] == 'safe',
        attempts=max(1, document.get('attempts', 1)),
        timeout_s=timeout_s,
        target_s=document.get('target_latency_ms', timeout_s * _MS) / _MS,
        rank=_parse_rank(document.get('priority')),
        limit=document.get('top_k', 0),
        minimum_share=document.get('min_shard_ratio', 1),
    )


def _parse_rank(priority: Any) -> rules.Rank:
    """Return a rank; the platform counts from 0, the most urgent."""
    if not isinstance(priority, int):
        return _LOWEST_RANK
    return rules.Rank(min(_LOWEST_RANK, max(0, priority) + 1))


def _parse_shares(document: dict[str, Any]) -> tuple[routes.ServiceShare, ...]:
    split = document.get('traffic_split')
    if not split:
        return (routes.ServiceShare(document['service'], 1),)
    return tuple(
        routes.ServiceShare(share['service'], share['weight'])
        for share in split
    )


def _parse_backend(
    backend_id: str, document: dict[str, Any]
) -> register.Backend | None:
    address, port = _parse_address(document['address'])
    counts = (document['slots'], document['sequence'])
    fits = document['state'] in _STATES and all(map(_is_count, counts))
    if not fits:
        return None
    return register.Backend(
        backend_id=backend_id,
        service=_parse_text(document['service']),
        availability_zone=_parse_text(document['zone']),
        address=address,
        port=port,
        host_id='',
        leaving=document['state'] == 'draining',
    )


def _is_count(found: Any) -> bool:
    return isinstance(found, int) and not isinstance(found, bool) and found >= 0


def _is_printable(text: str) -> bool:
    return text.isascii() and text.isprintable() and text.split() == [text]


def _parse_text(found: Any) -> str:
    """Return a text that can be sent; lone surrogates can not."""
    if not isinstance(found, str):
        raise TypeError(f'no text: {found!r}')
    found.encode()
    return found


def _parse_address(authority: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of `address:port`."""
    address, _, port = authority.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not is_number or len(port) > _MAX_PORT_DIGITS:
        raise ValueError(f'no port: {authority!r}')
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'a port out of range: {authority!r}')
    return str(ipaddress.IPv4Address(address)), int(port)
