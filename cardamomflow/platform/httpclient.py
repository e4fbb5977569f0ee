"""HTTP/1.1 client of the platform, see `docs/design.md`, 7.

Builds the paths and documents of the protocol. It caches nothing: every value
comes from a response of the platform. `channel` manages the connections.
"""

import base64
import binascii
import http
import urllib.parse
from typing import Any

from cardamomflow import errors, platform, webclient
from cardamomflow.platform import channel

DEFAULT_TIMEOUT_MS = 1000
DEFAULT_TIMEOUT_S = 1.0
_NO_ENTRY_STATUSES = (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_FOUND)


class HttpPlatform(platform.Platform):
    """Accesses the platform through its HTTP interface.

    Parameters
    ----------
    address : str
        IP address of the platform.
    port : int
    timeout_s : float
        Limit for each call, including the wait for a connection. A watch may
        take its own waiting time in addition.
    """

    def __init__(
        self,
        address: str,
        port: int,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._channel = channel.Channel(address, port, timeout_s)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._channel.close()

    async def read(self, key: str) -> platform.Entry | None:
        """Return the entry of a key, or None when it is absent."""
        reply = await self._channel.read(_key_path('kv', key))
        if reply.status == http.HTTPStatus.NOT_FOUND:
            return None
        return self._channel.parse_read(reply, _parse_entry)

    async def read_if_changed(
        self, key: str, known_revision: int
    ) -> platform.Entry | None:
        """Return the entry of a key unless it still has a known revision."""
        target = f'{_key_path("kv", key)}?unless={known_revision}'
        reply = await self._channel.read(target)
        if reply.status in _NO_ENTRY_STATUSES:
            return None
        entry = self._channel.parse_read(reply, _parse_entry)
        return None if entry.revision == known_revision else entry

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> platform.Entry:
        """Store a value if the key has the expected revision."""
        if len(value) > platform.MAX_VALUE_BYTES:
            raise errors.BodyTooLarge(
                f'the value of {key} is too large: {len(value)} bytes, at most'
                f' {platform.MAX_VALUE_BYTES} are allowed'
            )
        document: dict[str, Any] = {'value': base64.b64encode(value).decode()}
        if lease_id is not None:
            document['lease'] = lease_id
        target = f'{_key_path("kv", key)}?expected={expected_revision}'
        reply = await self._channel.change('PUT', target, document)
        _check_conflict(key, reply)
        revision = self._channel.parse_change_field(reply, 'revision', int)
        return platform.Entry(value, revision)

    async def delete(self, key: str, expected_revision: int) -> None:
        """Remove a key if it has the expected revision."""
        target = f'{_key_path("kv", key)}?expected={expected_revision}'
        reply = await self._channel.change('DELETE', target)
        _check_conflict(key, reply)

    async def grant_lease(self, ttl_s: float) -> str:
        """Return the id of a new lease that expires after `ttl_s`."""
        document = {'ttl_s': ttl_s}
        reply = await self._channel.change('POST', '/v1/leases', document)
        return self._channel.parse_change_field(reply, 'lease', str)

    async def keep_alive(self, lease_id: str) -> None:
        """Renew a lease for its full time to live."""
        quoted = urllib.parse.quote(lease_id, safe='')
        target = f'/v1/leases/{quoted}/keepalive'
        reply = await self._channel.change('POST', target)
        if reply.status == http.HTTPStatus.NOT_FOUND:
            raise errors.NotFound(f'the lease {lease_id} has expired')

    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> platform.Entry | None:
        """Wait until a key has a revision above `after_revision`."""
        wait_ms = round(wait_s * 1000)
        target = (
            f'{_key_path("watch", key)}?after={after_revision}'
            f'&wait_ms={wait_ms}'
        )
        reply = await self._channel.read(target, wait_s)
        if reply.status in _NO_ENTRY_STATUSES:
            return None
        entry = self._channel.parse_read(reply, _parse_entry)
        return entry if entry.revision > after_revision else None

    async def hosts(self) -> list[platform.HostState]:
        """Return the platform's list of live and leaving hosts."""
        reply = await self._channel.read('/v1/hosts')
        return self._channel.parse_read(reply, _parse_hosts)


def from_settings(document: Any) -> HttpPlatform:
    """Return a client for the `platform` section of a settings file."""
    timeout_s = document.get('timeout_ms', DEFAULT_TIMEOUT_MS) / 1000
    return HttpPlatform(document['address'], document['port'], timeout_s)


def _key_path(collection: str, key: str) -> str:
    return f'/v1/{collection}/{urllib.parse.quote(key, safe="/")}'


def _parse_entry(document: dict[str, Any]) -> platform.Entry:
    try:
        value = base64.b64decode(
            channel.require_field(document, 'value', str), validate=True
        )
    except binascii.Error as error:
        raise errors.ProtocolViolation(
            f'the platform sent a value that is not base64: {error}'
        ) from error
    return platform.Entry(
        value, channel.require_field(document, 'revision', int)
    )


def _parse_conflicting_entry(document: dict[str, Any]) -> platform.Entry | None:
    """Parse the entry of a 409 response; revision 0 means an absent key."""
    if document.get('revision') == platform.ABSENT:
        return None
    return _parse_entry(document)


def _parse_hosts(document: dict[str, Any]) -> list[platform.HostState]:
    return [
        platform.HostState(
            *(
                channel.require_field(host, name, str)
                for name in platform.HostState._fields
            )
        )
        for host in channel.require_field(document, 'hosts', list)
    ]


def _check_conflict(key: str, reply: webclient.Reply) -> None:
    """Raise a conflict if the response to a change reports one."""
    if reply.status == http.HTTPStatus.NOT_FOUND:
        raise platform.Conflict(key, None)
    if reply.status != http.HTTPStatus.CONFLICT:
        return
    try:
        present = _parse_conflicting_entry(reply.json())
    except errors.ProtocolViolation as error:
        raise errors.Conflict(
            f'{key} was changed by another writer: {error}'
        ) from error
    raise platform.Conflict(key, present)
