"""Client accounts on the host program, against the stand-in of the store.

Serves the store and a backend server, and starts a host as a process of its
own. The steps return what callers got; `demo` checks and prints it.
"""

import contextlib
import http.client
import json
import pathlib
import tempfile
from collections.abc import AsyncIterator, Iterator
from typing import Any, NamedTuple

import curio
import yaml

from cardamomflow import events, requestcauses, webserver
from cardamomflow.platform import wire
from standins import fleet, users

_ADDRESS = '127.0.0.1'
_SERVICE = 'tiles'
_TIMEOUT_S = 10.0
_POLL_S = 0.05
KEYS_BY_ACCOUNT = {'alpha': 'demo-key-of-alpha', 'beta': 'demo-key-of-beta'}
UNKNOWN_KEY = 'demo-key-of-nobody'
LIMITED, NEIGHBOUR = KEYS_BY_ACCOUNT
RATE_PER_S = 1.0
# The host is the only one, so an account gets at most 10 requests of its
# capacity at once, however long the host has been waiting.
_MAX_REQUESTS = 30


class Outcome(NamedTuple):
    """What the callers got, and what the backend server received.

    Attributes
    ----------
    unknown_status : int
    unknown_code : str
    statuses_by_account : dict of str to int
    limited_statuses : list of int
        Answers to one account up to the first refused request.
    neighbour_status : int
        Answer to the other account after that.
    received : list of dict
        Headers of the requests at the backend server.
    log : str
        Lines of the host.
    """

    unknown_status: int
    unknown_code: str
    statuses_by_account: dict[str, int]
    limited_statuses: list[int]
    neighbour_status: int
    received: list[dict[str, str]]
    log: str


def run() -> Outcome:
    """Run a host with two accounts and return the outcome."""
    with tempfile.TemporaryDirectory() as folder:
        return curio.run(_run, pathlib.Path(folder))


async def _run(folder: pathlib.Path) -> Outcome:
    backend = users.BackendServer('tiles-1', b'')
    store = users.Store()
    async with (
        _serving(backend) as backend_port,
        _serving(store) as store_port,
    ):
        _write_platform(store, backend_port)
        with _host_process(folder, store_port):
            port = await _wait_for_port(folder)
            return await _send_requests(port, backend, folder)


async def _send_requests(
    port: int, backend: users.BackendServer, folder: pathlib.Path
) -> Outcome:
    unknown_status, body = await _request(port, UNKNOWN_KEY)
    statuses_by_account = {
        name: (await _request(port, key))[0]
        for name, key in KEYS_BY_ACCOUNT.items()
    }
    limited_statuses = [statuses_by_account[LIMITED]]
    while (
        limited_statuses[-1] == http.HTTPStatus.OK
        and len(limited_statuses) < _MAX_REQUESTS
    ):
        status, _ = await _request(port, KEYS_BY_ACCOUNT[LIMITED])
        limited_statuses.append(status)
    neighbour_status, _ = await _request(port, KEYS_BY_ACCOUNT[NEIGHBOUR])
    return Outcome(
        unknown_status,
        json.loads(body)['error']['code'],
        statuses_by_account,
        limited_statuses,
        neighbour_status,
        [request.headers for request in backend.ran],
        _log_path(folder).read_text(),
    )


def _write_platform(store: users.Store, backend_port: int) -> None:
    """Write the configuration and the backend server to the store."""
    document = users.configuration_document(
        1,
        [users.route_document('tile', '/tile/', service=_SERVICE)],
        [_SERVICE],
    )
    document['tenants'] = [
        {'name': name, 'api_keys': [key], 'rate_per_s': RATE_PER_S}
        for name, key in KEYS_BY_ACCOUNT.items()
    ]
    store.put(wire.CONFIGURATION_KEY, document)
    store.put(
        f'{wire.BACKENDS_PREFIX}tiles-1',
        users.backend_document(_SERVICE, backend_port),
    )


@contextlib.asynccontextmanager
async def _serving(handler: Any) -> AsyncIterator[int]:
    server = webserver.WebServer(_ADDRESS, 0, handler)
    task = await curio.spawn(server.serve)
    try:
        yield server.port
    finally:
        await task.cancel()


@contextlib.contextmanager
def _host_process(folder: pathlib.Path, store_port: int) -> Iterator[None]:
    path = folder / 'host.yaml'
    settings = users.host_settings('host-1', 'z1', store_port)
    path.write_text(yaml.safe_dump(settings))
    with _log_path(folder).open('wb') as log:
        process = fleet.Process(
            'host', ['cardamomflow', 'host', '--settings', str(path)], log
        )
        try:
            yield
        finally:
            process.kill()


async def _wait_for_port(folder: pathlib.Path) -> int:
    """Return the port for callers once the host knows its backend server."""
    try:
        return await curio.timeout_after(_TIMEOUT_S, _poll_port, folder)
    except curio.TaskTimeout as error:
        raise fleet.FleetError('the host did not start') from error


async def _poll_port(folder: pathlib.Path) -> int:
    port = None
    while port is None:
        await curio.sleep(_POLL_S)
        port = _find_port(folder)
    return port


def _find_port(folder: pathlib.Path) -> int | None:
    lines = requestcauses.parse(_log_path(folder).read_text().splitlines())
    lines_by_event = {line['event']: line for line in lines}
    if events.Event.BACKEND_CHANGED not in lines_by_event:
        return None
    started = lines_by_event.get(events.Event.STARTED)
    return None if started is None else started['port']


async def _request(port: int, key: str) -> tuple[int, bytes]:
    return await curio.run_in_thread(_request_blocking, port, key)


def _request_blocking(port: int, key: str) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(_ADDRESS, port, timeout=_TIMEOUT_S)
    try:
        connection.request(
            'GET',
            '/tile/1',
            headers={
                'Host': 'shop.example',
                'X-Key': key,
                'X-Request-Id': 'demo-account',
            },
        )
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _log_path(folder: pathlib.Path) -> pathlib.Path:
    return folder / 'host.log'
