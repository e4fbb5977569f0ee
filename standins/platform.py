"""Stand-in of the platform: `python -m standins.platform --port N`.

Speaks the HTTP protocol of `docs/design.md`, 7, and takes faults over
`POST /control`. A watch that delivers nothing is answered with the present
entry, whose revision is not above the one asked for.
"""

import base64
import contextlib
import time
import urllib.parse
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import click
import curio

from cardamomflow import (
    errors,
    platform,
    serverconnection,
    webhandler,
    webserver,
)
from standins import store as store_module

_WATCH_POLL_S = 0.005
_HANG_S = 3600.0
# Base64 of the largest value, with room for the rest of the document.
MAX_BODY_BYTES = 1_500_000


class _ConnectionDropped(curio.TaskCancelled):
    """Ends the connection of a request without a response.

    A cancellation, since curio logs any other failure of a task as a crash.
    """


class PlatformHandler(webhandler.RequestHandler):
    """Serves a store over HTTP."""

    def __init__(
        self,
        store: store_module.Store,
        call_rate: float = 0,
        write_rate: float = 0,
    ) -> None:
        """Take the store and its rates in calls per second, 0 for no bound.

        Calls over a rate wait for their turn, so an overloaded store answers
        slowly.
        """
        self._store = store
        self._calls = _Pacer(call_rate)
        self._writes = _Pacer(write_rate)
        self._pending_watches = 0

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Serve one call."""
        path, _, query = request.path.partition('?')
        arguments = dict(urllib.parse.parse_qsl(query))
        if path == '/control':
            return self._control(request)
        await self._calls.wait_turn()
        await self._fail_or_delay()
        for prefix, serve in self._routes():
            if path.startswith(prefix):
                name = urllib.parse.unquote(path[len(prefix) :])
                return await serve(request, name, arguments)
        raise errors.NotFound(f'no path {path}')

    def _routes(self) -> list[tuple[str, Callable[..., Awaitable[Any]]]]:
        return [
            ('/v1/kv/', self._key),
            ('/v1/watch/', self._watch),
            ('/v1/leases/', self._keep_alive),
            ('/v1/leases', self._grant_lease),
            ('/v1/hosts', self._hosts),
        ]

    def _control(self, request: webhandler.Request) -> webhandler.Response:
        try:
            state = self._store.control(request.json())
        except (ValueError, TypeError, KeyError) as error:
            raise errors.BadRequest(f'bad control request: {error}') from error
        state['pending_watches'] = self._pending_watches
        return webhandler.Response(200, state)

    async def _fail_or_delay(self) -> None:
        faults = self._store.faults
        if faults.delay_s:
            await curio.sleep(faults.delay_s)
        match faults.outage:
            case store_module.Outage.HANG:
                await curio.sleep(_HANG_S)
            case store_module.Outage.DROP:
                raise _ConnectionDropped(faults.outage)
            case store_module.Outage.ERROR:
                raise errors.PlatformUnavailable('the store is down')

    async def _key(
        self,
        request: webhandler.Request,
        key: str,
        arguments: dict[str, str],
    ) -> webhandler.Response:
        if request.method == 'GET':
            self._store.count('read')
            entry = self._store.served(key)
            if entry is None:
                raise errors.NotFound(f'no key {key}')
            if arguments.get('unless') == str(entry.revision):
                return webhandler.Response(204, None)
            return webhandler.Response(200, _document(entry))
        self._store.count('write')
        await self._writes.wait_turn()
        write = _parse_write(request, key, arguments)
        return self._write(write)

    def _write(self, write: store_module.Write) -> webhandler.Response:
        loss = self._store.faults.next_loss()
        match loss:
            case store_module.Loss.NOT_APPLIED:
                raise _ConnectionDropped(loss)
            case store_module.Loss.LATE:
                self._store.keep_late(write)
                raise _ConnectionDropped(loss)
        try:
            entry = self._store.apply(write)
        except platform.Conflict as conflict:
            response = webhandler.Response(409, _document(conflict.present))
        else:
            response = webhandler.Response(200, _document(entry))
        if loss is store_module.Loss.APPLIED:
            raise _ConnectionDropped(loss)
        return response

    async def _watch(
        self,
        request: webhandler.Request,
        key: str,
        arguments: dict[str, str],
    ) -> webhandler.Response:
        self._store.count('watch')
        after = _integer(arguments, 'after')
        ends_at = time.monotonic() + _integer(arguments, 'wait_ms') / 1000
        with self._pending_watch():
            entry = await self._wait_for_change(key, after, ends_at)
        return webhandler.Response(200, _document(entry))

    @contextlib.contextmanager
    def _pending_watch(self) -> Iterator[None]:
        self._pending_watches += 1
        try:  # noqa: WPS501 undone in every case
            yield
        finally:
            self._pending_watches -= 1

    async def _wait_for_change(
        self, key: str, after: int, ends_at: float
    ) -> platform.Entry:
        unchanged = platform.Entry(b'', after)
        while time.monotonic() < ends_at:
            entry = self._store.served(key)
            silent = self._store.faults.silent_watches
            if not silent and entry is not None and entry.revision > after:
                return entry
            await curio.sleep(_WATCH_POLL_S)
        return unchanged

    async def _grant_lease(
        self,
        request: webhandler.Request,
        name: str,
        arguments: dict[str, str],
    ) -> webhandler.Response:
        self._store.count('write')
        ttl_s = request.json().get('ttl_s')
        if not isinstance(ttl_s, (int, float)):
            raise errors.BadRequest('give ttl_s in seconds')
        lease_id = self._store.grant_lease(ttl_s)
        return webhandler.Response(200, {'lease': lease_id})

    async def _keep_alive(
        self,
        request: webhandler.Request,
        name: str,
        arguments: dict[str, str],
    ) -> webhandler.Response:
        self._store.count('write')
        lease_id = name.removesuffix('/keepalive')
        if not self._store.keep_alive(lease_id):
            raise errors.NotFound(f'no lease {lease_id}')
        return webhandler.Response(200, {})

    async def _hosts(
        self,
        request: webhandler.Request,
        name: str,
        arguments: dict[str, str],
    ) -> webhandler.Response:
        self._store.count('read')
        hosts = [host._asdict() for host in self._store.hosts()]
        return webhandler.Response(200, {'hosts': hosts})


class _Pacer:
    """Spaces calls evenly over time."""

    def __init__(self, rate: float) -> None:
        self._interval_s = 1 / rate if rate else 0
        self._next_at: float = 0

    async def wait_turn(self) -> None:
        now = time.monotonic()
        turn = max(now, self._next_at)
        self._next_at = turn + self._interval_s
        if turn > now:
            await curio.sleep(turn - now)


def _document(entry: platform.Entry | None) -> dict[str, Any]:
    if entry is None:
        return {'value': None, 'revision': platform.ABSENT}
    return {
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.revision,
    }


def _integer(arguments: dict[str, str], name: str) -> int:
    try:
        return int(arguments[name])
    except (KeyError, ValueError):
        raise errors.BadRequest(f'give {name} as a whole number') from None


def _parse_write(
    request: webhandler.Request, key: str, arguments: dict[str, str]
) -> store_module.Write:
    expected = _integer(arguments, 'expected')
    if request.method == 'DELETE':
        return store_module.Write(key, None, expected)
    if request.method != 'PUT':
        raise errors.MethodNotAllowed(f'{request.method} on a key')
    document = request.json()
    try:
        stored = base64.b64decode(document['value'], validate=True)
    except (KeyError, TypeError, ValueError):
        raise errors.BadRequest('give value in base64') from None
    return store_module.Write(key, stored, expected, document.get('lease'))


async def serve(
    address: str, port: int, call_rate: float, write_rate: float
) -> None:
    """Serve until the process is ended."""
    handler = PlatformHandler(store_module.Store(), call_rate, write_rate)
    server = webserver.WebServer(address, port, handler)
    server.bounds = serverconnection.Bounds(body_bytes=MAX_BODY_BYTES)
    click.echo(f'listening on {address}:{server.port}')
    await server.serve()


@click.command()
@click.option('--address', default='127.0.0.1', show_default=True)
@click.option('--port', type=int, default=0, help='0 takes a free port.')
@click.option('--call-rate', type=float, default=0, help='Calls per second.')
@click.option('--write-rate', type=float, default=0, help='Writes per second.')
def main(address: str, port: int, call_rate: float, write_rate: float) -> None:
    """Run the stand-in of the platform."""
    curio.run(serve, address, port, call_rate, write_rate)


if __name__ == '__main__':
    main()
