"""Documents of the platform, decoded into our own types; no I/O.

An entry of a backend server may come from another writer; one that does not
have the documented form names none.
"""

import json
from typing import Any

from cardamomflow import (
    authorities,
    errors,
    ownership,
    register,
    routes,
    rules,
)

_MS = 1000
_STATES = frozenset(('ready', 'draining'))
# What reading a field of another type, or none, raises.
_UNREADABLE = (ValueError, TypeError, KeyError, AttributeError)
_IP_PARTS = 4
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
    """Return a backend server, None when the entry names none."""
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
        address, port = authorities.split(document['peers'])
        member = ownership.Member(
            host_id,
            str(document['availability_zone']),
            address,
            port,
            float(document['capacity']),
        )
    except _UNREADABLE:
        return None
    return member if member.port and member.capacity > 0 else None


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


def _parse_shares(document: dict[str, Any]) -> tuple[routes.Share, ...]:
    split = document.get('traffic_split')
    if not split:
        return (routes.Share(document['service'], 1),)
    return tuple(
        routes.Share(share['service'], share['weight']) for share in split
    )


def _parse_backend(
    backend_id: str, document: dict[str, Any]
) -> register.Backend | None:
    address, port = authorities.split(document['address'])
    texts = (document['service'], document['zone'])
    counts = (document['slots'], document['sequence'], port)
    fits = (
        document['state'] in _STATES
        and all(isinstance(text, str) for text in texts)
        and all(map(_is_count, counts))
        and _is_ip(address)
    )
    if not fits:
        return None
    return register.Backend(
        backend_id=backend_id,
        service=document['service'],
        availability_zone=document['zone'],
        address=address,
        port=port,
        host_id='',
        leaving=document['state'] == 'draining',
    )


def _is_count(found: Any) -> bool:
    return isinstance(found, int) and not isinstance(found, bool) and found >= 0


def _is_ip(address: str) -> bool:
    parts = address.split('.')
    return len(parts) == _IP_PARTS and all(part.isdigit() for part in parts)
