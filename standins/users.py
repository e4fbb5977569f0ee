"""Stand-in of the users' platform: its store and a backend server.

Speaks the published protocol as far as a host needs it. The store can be
down, silent, slow, over its rate, lose answers after their effect, lose its
history, come back from an older copy and take a host's entry away; a backend
server can pause, break off, refuse, ask for a pause, announce that it leaves
and answer for another request.
"""

import base64
import collections
import http
import json
import urllib.parse
from typing import Any, NamedTuple

import curio

from cardamomflow import errors, webhandler, webserver
from cardamomflow.platform import wire

_LONGEST_POLL_S = 0.02
_SILENCE_S = 60
# Smaller than the platform's, so that tests have several pages.
PAGE_ITEMS = 20
_OPERATORS_PREFIXES = ('op/', 'servers/')


class Item(NamedTuple):
    """A stored value and its last change."""

    value: bytes
    revision: int
    lease: int


class _Copy(NamedTuple):
    """State of the store at an earlier time."""

    revision: int
    items_by_key: dict[str, Item]
    leases: set[int]
    granted: int
    events: list[dict[str, Any]]


class Store(webhandler.RequestHandler):
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.revision = 1
        self.is_down = False
        self.is_silent = False
        self.is_over_rate = False
        self.delay_s: float = 0
        self.page_items = PAGE_ITEMS
        # Time between the effect of a change and its answer, in seconds.
        self.answer_delay_s: float = 0
        # Whether an answer is lost, by the kind of call.
        self.loses_answers_of: set[str] = set()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.items_by_key: dict[str, Item] = {}
        self.leases: set[int] = set()
        self._granted = 0
        self._events: list[dict[str, Any]] = []
        self._oldest = 1
        # Sent as the header Store-Era; None sends no header.
        self.era: int | None = None
        self._copy: _Copy | None = None
        # What reads that may be stale return, and its revision.
        self._stale: tuple[dict[str, Item], int] | None = None

    def take_copy(self) -> None:
        """Keep the present state for `restore_copy`."""
        self._copy = _Copy(
            self.revision,
            dict(self.items_by_key),
            set(self.leases),
            self._granted,
            list(self._events),
        )

    def restore_copy(self) -> None:
        """Lose all changes since the copy, and start another era."""
        if self._copy is None:
            raise ValueError('no copy was taken')
        copy = self._copy
        self.revision, self._granted = copy.revision, copy.granted
        self.items_by_key = dict(copy.items_by_key)
        self.leases = set(copy.leases)
        self._events = list(copy.events)
        self._stale = None
        self.era = (self.era or 0) + 1

    def freeze_stale_reads(self) -> None:
        """Return the present state to all later reads that may be stale."""
        self._stale = (dict(self.items_by_key), self.revision)

    def put(self, key: str, document: Any, lease: int = 0) -> None:
        """Write as an operator or a backend server does."""
        self.put_bytes(key, json.dumps(document).encode(), lease)

    def put_bytes(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        self.items_by_key[key] = Item(value, self.revision, lease)
        self._events.append(self._render(key))

    def remove(self, key: str) -> None:
        """Remove an entry, as the end of its lease does."""
        self.revision += 1
        self.items_by_key.pop(key, None)
        self._events.append(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    def end_lease(self, lease: int) -> None:
        """Remove a lease with its entries."""
        self.leases.discard(lease)
        ended = [
            key
            for key, item in self.items_by_key.items()
            if item.lease == lease
        ]
        for key in ended:
            self.remove(key)

    def forget_history(self) -> None:
        """Drop all events, so that watches have to list again."""
        self._events.clear()
        self._oldest = self.revision

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        try:
            response = await self._handle(request)
        except errors.FlowError as error:
            response = webhandler.error_response(error)
        if self.era is None:
            return response
        era = (wire.STORE_ERA, str(self.era))
        return response._replace(headers=[*response.headers, era])

    async def _handle(self, request: webhandler.Request) -> webhandler.Response:
        target = urllib.parse.urlsplit(request.path)
        query = dict(
            urllib.parse.parse_qsl(target.query, keep_blank_values=True)
        )
        call = target.path.removeprefix('/api/')
        kind, _, argument = call.partition('/')
        self.calls_by_kind[kind] += 1
        await curio.sleep(_SILENCE_S if self.is_silent else self.delay_s)
        if self.is_down:
            raise errors.PlatformUnavailable('the store is down')
        if self.is_over_rate:
            return webhandler.Response(429, {'error': 'over the rate'})
        if kind == 'kv-watch':
            return await self._watch(query)
        if request.method == 'GET':
            return self._read(kind, query)
        response = self._write(kind, argument, request)
        await curio.sleep(self.answer_delay_s)
        if kind in self.loses_answers_of:
            await curio.sleep(_SILENCE_S)
        return response

    def _read(self, kind: str, query: dict[str, str]) -> webhandler.Response:
        match kind:
            case 'kv-key':
                return self._read_item(query['key'])
            case 'kv-range':
                return self._list(query)
        raise errors.NotFound(kind)

    def _write(
        self, kind: str, argument: str, request: webhandler.Request
    ) -> webhandler.Response:
        match kind:
            case 'kv-lease':
                return self._grant(request.json()['ttl_ms'])
            case 'kv-keep':
                return self._keep(int(argument))
            case 'kv-lease-end':
                self.end_lease(int(argument))
                return self._answer({})
            case 'kv-txn':
                return self._change(request.json())
        raise errors.NotFound(kind)

    def _read_item(self, key: str) -> webhandler.Response:
        if key not in self.items_by_key:
            raise errors.NotFound(key)
        return self._answer(self._render(key))

    def _list(self, query: dict[str, str]) -> webhandler.Response:
        items_by_key, revision = self.items_by_key, self.revision
        if query.get('allow_stale') == '1':
            self.calls_by_kind['stale'] += 1
            items_by_key, revision = self._stale or (items_by_key, revision)
        prefix = query['prefix']
        after = query.get('after', '')
        keys = sorted(
            key
            for key in items_by_key
            if key.startswith(prefix) and key > after
        )
        page = keys[: self.page_items]
        rows = [self._render(key, items_by_key) for key in page]
        document = {'items': rows, 'has_more': len(page) < len(keys)}
        return webhandler.Response(200, {**document, 'as_of': revision})

    async def _watch(self, query: dict[str, str]) -> webhandler.Response:
        after = int(query['after'])
        polls = int(query['wait_ms']) / 1000 / _LONGEST_POLL_S
        while True:
            if after < self._oldest or after > self.revision:
                return webhandler.Response(410, {'error': 'compacted'})
            events = [
                event
                for event in self._events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            if events or polls <= 0 or self.is_down:
                # No change may come between the events and the revision.
                return self._answer({'events': events})
            polls -= 1
            await curio.sleep(_LONGEST_POLL_S)

    def _grant(self, ttl_ms: int) -> webhandler.Response:
        self._granted += 1
        self.leases.add(self._granted)
        return self._answer({'lease': self._granted, 'ttl_ms': ttl_ms})

    def _keep(self, lease: int) -> webhandler.Response:
        if lease not in self.leases:
            raise errors.NotFound(str(lease))
        return self._answer({'ttl_ms': 1})

    def _change(self, document: Any) -> webhandler.Response:
        rows = document['puts']
        if any(row['key'].startswith(_OPERATORS_PREFIXES) for row in rows):
            return webhandler.Response(403, {'error': "the operator's keys"})
        if any(row['lease'] not in {0, *self.leases} for row in rows):
            raise errors.NotFound('no such lease')
        for row in rows:
            self.put_bytes(
                row['key'], base64.b64decode(row['value']), row['lease']
            )
        return self._answer({'revision': self.revision})

    def _render(
        self, key: str, items_by_key: dict[str, Item] | None = None
    ) -> dict[str, Any]:
        item = (items_by_key or self.items_by_key)[key]
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'revision': item.revision,
            'created': item.revision,
            'lease': item.lease,
        }

    def _answer(self, document: dict[str, Any]) -> webhandler.Response:
        return webhandler.Response(200, {**document, 'as_of': self.revision})


class StoreDoor(webserver.WebServer):
    """The way of one host to the store, which can turn this host away.

    Attributes
    ----------
    status : int or None
        Status of all answers while the host is turned away.
    resets : bool
        Whether connections are closed instead of an answer.
    is_silent : bool
        Whether calls get no answer.
    """

    def __init__(self, store: Store) -> None:
        """Bind a port of its own."""
        super().__init__('127.0.0.1', 0, _DoorHandler(self, store))
        self.status: int | None = None
        self.resets = False
        self.is_silent = False
        # Calls of the host, answered or not.
        self.calls_by_kind: collections.Counter[str] = collections.Counter()

    def serve_again(self) -> None:
        """Turn the host away no more."""
        self.status = None
        self.resets = False
        self.is_silent = False


class _DoorHandler(webhandler.RequestHandler):
    """Passes calls on to the store unless the door turns them away."""

    def __init__(self, door: StoreDoor, store: Store) -> None:
        self._door = door
        self._store = store

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        kind = request.path.removeprefix('/api/').partition('?')[0]
        self._door.calls_by_kind[kind.partition('/')[0]] += 1
        refusal = await self._refusal()
        if refusal is not None:
            return refusal
        response = await self._store.handle(request)
        # A watch that was waiting when the host was turned away fails too.
        return await self._refusal() or response

    async def _refusal(self) -> webhandler.Response | None:
        door = self._door
        if door.is_silent:
            await curio.sleep(_SILENCE_S)
        if door.resets:
            for connection in door.open_connections():
                await connection.close()
        if door.status is None:
            return None
        return webhandler.Response(door.status, {'error': 'turned away'})


class BackendServer(webhandler.RequestHandler):
    """A backend server of one service."""

    def __init__(self, backend_id: str, records: bytes) -> None:
        self.backend_id = backend_id
        self.records = records
        self.pause_s: float = 0
        self.refuses = False
        self.refused_count = 0
        self.is_leaving = False
        # Sent with each refusal.
        self.retry_after: bytes | None = None
        # Sent with each answer.
        self.headers: list[tuple[bytes, bytes]] = []
        self.answers_for: str | None = None
        # Status of the answers to requests that ran.
        self.status = http.HTTPStatus.OK
        self.ran: list[webhandler.Request] = []

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        headers = request.headers
        if headers[wire.BACKEND_ID.decode()] != self.backend_id:
            return webhandler.Response(421, None, [], b'')
        notices = list(self.headers)
        if self.is_leaving:
            notices.append((wire.LEAVING, b'1'))
        if self.refuses:
            self.refused_count += 1
            notices.append((wire.NOT_RUN, b'1'))
            if self.retry_after is not None:
                notices.append((wire.RETRY_AFTER, self.retry_after))
            return webhandler.Response(503, None, notices, b'')
        self.ran.append(request)
        if self.pause_s:
            await curio.sleep(self.pause_s)
        request_id = headers[wire.REQUEST_ID.decode()]
        return webhandler.Response(
            self.status,
            None,
            [
                (wire.REQUEST_ID, self.answers_for or request_id),
                (wire.STAMP, f'{self.backend_id}.{len(self.ran)}'),
                (wire.LOAD, b'1,0,2'),
                *notices,
            ],
            self.records,
        )


def host_settings(
    host_id: str, zone: str, store_port: int, **fields: Any
) -> dict[str, Any]:
    """Return the settings of a host that uses the stand-in's store."""
    return {
        'process_id': host_id,
        'host': {'id': host_id, 'region': 'r', 'availability_zone': zone},
        'callers': '127.0.0.1:0',
        'readiness': '127.0.0.1:0',
        'store': f'127.0.0.1:{store_port}',
        **fields,
    }


def route_document(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': prefix,
        'route_type': 'safe',
        'timeout_ms': 2000,
        'target_latency_ms': 500,
        'priority': 0,
        'attempts': 2,
        **fields,
    }


def configuration_document(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    **limits: int,
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'health_check': '/health', 'max_connections': 20}
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 100_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
            **limits,
        },
    }


def backend_document(service: str, port: int, **fields: Any) -> dict[str, Any]:
    """Return the entry of a backend server."""
    return {
        'service': service,
        'address': f'127.0.0.1:{port}',
        'zone': 'z1',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 1,
        **fields,
    }
