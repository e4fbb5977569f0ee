"""The platform's metadata store over HTTP/1.1.

Owns the paths and documents of its calls and the lease of this host's entry.
Connections are those of `channel`; values are decoded by `documents`.
"""

import base64
import http
import urllib.parse
from typing import Any

from cardamomflow import (
    errors,
    jsonbody,
    ownership,
    platformsource,
    routes,
    webclient,
)
from cardamomflow.platform import channel, documents, wire

DEFAULT_TIMEOUT_S = 1.0
_MS = 1000
_NO_LEASE = 0


class KvStore(platformsource.Source):
    """The store as one host uses it."""

    def __init__(
        self, address: str, port: int, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        """Take the endpoint; connections are opened on use."""
        self._channel = channel.Channel(address, port, timeout_s)
        self._lease = _NO_LEASE
        self._own_key = ''

    async def read(self) -> platformsource.Changes:
        """Return the routes in force and all entries."""
        # Later pages, hosts and routes may be newer; what changed meanwhile
        # is watched from the revision of the first page.
        rows, revision = await self._list(wire.BACKENDS_PREFIX)
        host_rows, _ = await self._list(wire.HOSTS_PREFIX)
        if all(row.get('key') != self._own_key for row in host_rows):
            self._lease = _NO_LEASE
        return platformsource.Changes(
            await self._read_routes(),
            _entries(rows),
            _hosts(host_rows),
            revision,
        )

    async def watch(
        self, revision: int, wait_s: float
    ) -> platformsource.Changes:
        """Wait for changes, of any key: one watch costs half of two."""
        target = _target(
            'kv-watch', prefix='', after=revision, wait_ms=int(wait_s * _MS)
        )
        reply = await self._channel.read(target, wait_s)
        if reply.status == http.HTTPStatus.GONE:
            raise errors.HistoryLost(
                f'the changes after revision {revision} are not kept'
            )
        return self.parse(reply.body)

    def parse(self, content: bytes) -> platformsource.Changes:
        """Return changes as a watch has told them."""
        document = jsonbody.parse_object(content, errors.ProtocolViolation)
        events = _rows(document, 'events')
        hosts = _hosts(events)
        if any(
            self._own_key == f'{wire.HOSTS_PREFIX}{host.host_id}'
            and not host.present
            for host in hosts
        ):
            # The platform may take an entry away while its lease goes on.
            self._lease = _NO_LEASE
        return platformsource.Changes(
            _routes_of(events),
            _entries(events),
            hosts,
            _number(document, 'as_of'),
            content,
        )

    async def announce_host(
        self, member: ownership.Member, ttl_s: float
    ) -> None:
        """List this host, or renew its entry, for a time."""
        self._own_key = f'{wire.HOSTS_PREFIX}{member.host_id}'
        if self._lease != _NO_LEASE and await self._keep_lease():
            return
        reply = await self._channel.change(
            'POST', '/api/kv-lease', {'ttl_ms': int(ttl_s * _MS)}
        )
        lease = self._channel.field_of_change(reply, 'lease', int)
        await self._channel.change(
            'POST',
            '/api/kv-txn',
            {
                'expected_rev': [],
                'puts': [
                    {
                        'key': self._own_key,
                        'value': base64.b64encode(
                            documents.write_member(member)
                        ).decode(),
                        'lease': lease,
                    }
                ],
                'delete_keys': [],
            },
        )
        self._lease = lease

    async def withdraw_host(self) -> None:
        """End the lease of this host's entry, which ends the entry."""
        lease, self._lease = self._lease, _NO_LEASE
        if lease != _NO_LEASE:
            await self._channel.change('DELETE', f'/api/kv-lease-end/{lease}')

    async def close(self) -> None:
        """Close all idle connections."""
        await self._channel.close()

    async def _keep_lease(self) -> bool:
        reply = await self._channel.change(
            'POST', f'/api/kv-keep/{self._lease}'
        )
        if reply.status == http.HTTPStatus.OK:
            return True
        self._lease = _NO_LEASE
        return False

    async def _list(self, prefix: str) -> tuple[list[dict[str, Any]], int]:
        """Return all items under a prefix and the first page's revision."""
        document = (await self._get('kv-range', prefix=prefix)).json()
        revision = _number(document, 'as_of')
        page = _rows(document, 'items')
        rows = list(page)
        while document.get('has_more') and page:
            last = page[-1]['key']
            reply = await self._get('kv-range', prefix=prefix, after=last)
            document = reply.json()
            page = _rows(document, 'items')
            rows.extend(page)
        return rows, revision

    async def _read_routes(self) -> routes.RouteTable | None:
        reply = await self._get('kv-key', key=wire.CONFIGURATION_KEY)
        if reply.status == http.HTTPStatus.NOT_FOUND:
            return None
        return documents.parse_routes(_value_of(reply.json()))

    async def _get(self, call: str, **query: Any) -> webclient.Reply:
        return await self._channel.read(_target(call, **query))


def _target(call: str, **query: Any) -> str:
    return f'/api/{call}?{urllib.parse.urlencode(query)}'


def _routes_of(events: list[dict[str, Any]]) -> routes.RouteTable | None:
    """Return the newest routes among changes, None without any."""
    table = None
    for event in events:
        written = event.get('key') == wire.CONFIGURATION_KEY
        if written and not event.get('removed'):
            table = documents.parse_routes(_value_of(event))
    return table


def _entries(rows: list[dict[str, Any]]) -> list[platformsource.Listed]:
    return [
        _entry(row)
        for row in rows
        if str(row.get('key', '')).startswith(wire.BACKENDS_PREFIX)
    ]


def _hosts(rows: list[dict[str, Any]]) -> list[platformsource.ListedHost]:
    return [
        _host(row)
        for row in rows
        if str(row.get('key', '')).startswith(wire.HOSTS_PREFIX)
    ]


def _host(row: dict[str, Any]) -> platformsource.ListedHost:
    host_id = row['key'].removeprefix(wire.HOSTS_PREFIX)
    if row.get('removed'):
        return platformsource.ListedHost(host_id, present=False, member=None)
    try:
        member = documents.parse_member(host_id, _value_of(row))
    except errors.ProtocolViolation:
        member = None
    return platformsource.ListedHost(host_id, present=True, member=member)


def _entry(row: dict[str, Any]) -> platformsource.Listed:
    backend_id = row['key'].removeprefix(wire.BACKENDS_PREFIX)
    backend = None
    if not row.get('removed'):
        try:
            backend = documents.parse_backend(backend_id, _value_of(row))
        except errors.ProtocolViolation:
            backend = None
    return platformsource.Listed(backend_id, _number(row, 'revision'), backend)


def _value_of(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item['value'], validate=True)
    except (KeyError, TypeError, ValueError) as error:
        raise errors.ProtocolViolation(
            f'a value of the platform can not be read: {error!r}'
        ) from error


def _number(document: dict[str, Any], name: str) -> int:
    return channel.field(document, name, int)


def _rows(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    return channel.field(document, name, list)
