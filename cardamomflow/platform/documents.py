"""Converts documents of the platform to and from internal types; no I/O.

Other programs may write entries too. A malformed entry of a backend server or
host is decoded as None and raises no error.
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
from cardamomflow.accounts import table

_MS = 1000
_BACKEND_STATES = frozenset(('ready', 'draining'))
# Errors that a malformed document raises. Deep nesting exceeds the recursion
# limit, and large numbers exceed the range of a float.
_DECODE_ERRORS = (
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
# Field of an account in a configuration that hosts relay to each other.
_DIGESTS = 'api_key_digests'
_KEPT_FIELDS = frozenset(('name', 'priority', 'rate_per_s', 'burst'))


def parse_routes(content: bytes) -> routes.RouteTable:
    """Parse the routes of a configuration.

    Raises
    ------
    errors.ProtocolViolation
        The configuration does not have the documented format.
    """
    try:
        return _parse_routes(json.loads(content))
    except _DECODE_ERRORS as error:
        raise errors.ProtocolViolation(
            f'the configuration is malformed: {_describe(error)}'
        ) from None


def replace_keys(content: bytes) -> bytes:
    """Return a configuration with digests in place of the accounts' keys.

    Hosts relay it to each other, and no key may leave a process. The content
    must be a JSON object; accounts that are malformed stay so.
    """
    document = json.loads(content)
    accounts = document.get('tenants')
    if not accounts:
        return content
    if isinstance(accounts, list):
        document['tenants'] = list(map(_replace_account_keys, accounts))
    else:
        document['tenants'] = [None]
    return json.dumps(document).encode()


def parse_backend(backend_id: str, content: bytes) -> register.Backend | None:
    """Parse the entry of a backend server; None when it is malformed.

    Every request carries the id in a header, so the id must be printable
    ASCII without spaces.
    """
    if not _is_header_value(backend_id):
        return None
    try:
        return _parse_backend(backend_id, json.loads(content))
    except _DECODE_ERRORS:
        return None


def encode_member(member: ownership.Member) -> bytes:
    """Return the entry of a host, as JSON."""
    return json.dumps(
        {
            'availability_zone': member.availability_zone,
            'peers': f'{member.address}:{member.port}',
            'capacity': member.capacity,
        }
    ).encode()


def parse_member(host_id: str, content: bytes) -> ownership.Member | None:
    """Parse the entry of a host; None when it is malformed."""
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
    except _DECODE_ERRORS:
        return None
    is_usable = math.isfinite(member.capacity) and member.capacity > 0
    return member if is_usable else None


def _parse_routes(document: dict[str, Any]) -> routes.RouteTable:
    limits = document['limits']
    return routes.RouteTable(
        int(document['version']),
        [_parse_route(route) for route in document['routes']],
        {
            service['name']: service['max_connections']
            for service in document['services']
        },
        routes.Limits(
            head_bytes=limits['max_header_bytes'],
            body_bytes=limits['max_body_bytes'],
            head_timeout_s=limits['header_timeout_ms'] / _MS,
            idle_timeout_s=limits['idle_timeout_ms'] / _MS,
        ),
        _parse_accounts(document.get('tenants')),
        {
            service['name']: _parse_warm_up(service)
            for service in document['services']
            if service.get('cold_per_s')
        },
    )


def _parse_warm_up(document: dict[str, Any]) -> routes.WarmUp:
    """Return what cold backend servers of a service tolerate.

    A malformed number counts as absent, so that it can't stop a new revision.
    """
    figures = []
    for name in ('warmup_s', 'cold_per_s'):
        try:
            figures.append(_parse_amount(document.get(name)))
        except _DECODE_ERRORS:
            figures.append(0)
    return routes.WarmUp(*figures)


def _describe(error: Exception) -> str:
    """Describe a decoding error without values of the document.

    The representation of a `UnicodeError` contains the whole document, and
    with it the keys of the accounts.
    """
    if isinstance(error, KeyError | json.JSONDecodeError):
        return repr(error)
    return type(error).__name__


def _parse_accounts(documents: Any) -> table.AccountTable:
    """Parse the client accounts; malformed ones become problems."""
    if not documents:
        return table.NO_ACCOUNTS
    if not isinstance(documents, list):
        return table.AccountTable(problems=('the accounts are not a list',))
    digests_by_account = []
    problems = []
    for position, document in enumerate(documents):
        try:
            digests_by_account.append(_parse_account(document))
        except _DECODE_ERRORS:
            name = _parse_account_name(document)
            problems.append(
                f'malformed account at position {position}: skipped'
                if name is None
                else f'malformed account {name!r}: skipped'
            )
    return table.create_table(digests_by_account, problems)


def _parse_account(
    document: dict[str, Any],
) -> tuple[table.Account, list[bytes]]:
    """Return an account and the digests of its keys; raise if malformed."""
    name = _parse_account_name(document)
    if name is None:
        raise ValueError
    priority = document.get('priority')
    if priority is not None and not _is_integer(priority):
        raise ValueError
    account = table.Account(
        name,
        None if priority is None else _parse_rank(priority),
        _parse_amount(document.get('rate_per_s')),
        _parse_amount(document.get('burst')),
    )
    return account, _parse_key_digests(document)


def _parse_key_digests(document: dict[str, Any]) -> list[bytes]:
    """Return the digests of an account's keys.

    A configuration from another host has digests in place of the keys.
    """
    if _DIGESTS in document:
        return [bytes.fromhex(text) for text in document[_DIGESTS]]
    keys = document['api_keys']
    if not isinstance(keys, list) or not all(map(_is_key, keys)):
        raise ValueError
    return [table.digest(key) for key in keys]


def _replace_account_keys(document: Any) -> Any:
    """Return an account without keys, None if it is malformed."""
    try:
        _parse_account(document)
        digests = _parse_key_digests(document)
    except _DECODE_ERRORS:
        name = _parse_account_name(document)
        return None if name is None else {'name': name}
    kept = {name: document[name] for name in _KEPT_FIELDS & document.keys()}
    return {**kept, _DIGESTS: [found.hex() for found in digests]}


def _parse_account_name(document: Any) -> str | None:
    """Return the name of an account; None if it can't be a header value."""
    name = document.get('name') if isinstance(document, dict) else None
    if not isinstance(name, str) or not name.isprintable():
        return None
    # Printable strings contain neither lone surrogates nor line ends.
    return name if name and name == name.strip() else None


def _is_key(value: Any) -> bool:
    return isinstance(value, str) and bool(value)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _parse_amount(value: Any) -> float:
    """Return a number that is not negative; 0 if it is absent."""
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError
    amount = float(value)
    if not math.isfinite(amount) or amount < 0:
        raise ValueError
    return amount


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
        is_public=document.get('public') is True,
    )


def _parse_rank(priority: Any) -> rules.Rank:
    """Return a rank; priority 0 of the platform is the most urgent."""
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
    incarnation = document.get('born', 0)
    warmup_left_ms = document.get('warmup_left_ms', 0)
    counts = (
        document['slots'],
        document['sequence'],
        incarnation,
        warmup_left_ms,
    )
    is_valid = document['state'] in _BACKEND_STATES and all(
        map(_is_count, counts)
    )
    if not is_valid:
        return None
    return register.Backend(
        backend_id=backend_id,
        service=_parse_text(document['service']),
        availability_zone=_parse_text(document['zone']),
        address=address,
        port=port,
        host_id='',
        leaving=document['state'] == 'draining',
        incarnation=incarnation,
        warmup_left_s=warmup_left_ms / _MS,
    )


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _is_header_value(text: str) -> bool:
    return text.isascii() and text.isprintable() and text.split() == [text]


def _parse_text(value: Any) -> str:
    """Return a string that UTF-8 can encode; lone surrogates raise."""
    if not isinstance(value, str):
        raise TypeError(f'not a string: {value!r}')
    value.encode()
    return value


def _parse_address(authority: str) -> tuple[str, int]:
    """Parse `address:port` with an IPv4 address."""
    address, _, port = authority.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not is_number or len(port) > _MAX_PORT_DIGITS:
        raise ValueError(f'no valid port: {authority!r}')
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'port out of range: {authority!r}')
    return str(ipaddress.IPv4Address(address)), int(port)
