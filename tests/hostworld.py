"""A host and a stand-in for the users' platform, over real sockets."""

import contextlib
import itertools
import json
from typing import NamedTuple

import curio
import h11

from cardamomflow import context, daemons, links, webserver
from cardamomflow.platform import kvstore
from standins import users
from tests import loops

RECORD_BYTES = 16


class Answer(NamedTuple):
    """Answer that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


def record(number):
    """Return a record that sorts by its number."""
    return number.to_bytes(RECORD_BYTES, 'big')


class HostWorld:
    """Runs the stand-ins and the host within an `async with` block."""

    max_body_bytes = 100_000
    # Availability zones of hosts that are not in `z1`, by id.
    zones_by_host = {}

    def __init__(
        self, services=('a', 'b'), replicas=2, zones=('z1',), **settings
    ):
        self._settings = settings
        self.store = users.Store()
        self.backends_by_id = {}
        self._ports_by_id = {}
        self._services = services
        self._replicas = replicas
        self._zones = itertools.cycle(zones)
        self._stack = contextlib.AsyncExitStack()
        self._tasks = []

    async def __aenter__(self):
        store_port = await self._serve(
            webserver.WebServer('127.0.0.1', 0, self.store)
        )
        for service in self._services:
            for number in range(self._replicas):
                zone = next(self._zones)
                await self.add_backend(f'{service}{number}', service, zone=zone)
        self.publish(1)
        self.store_port = store_port
        await self.start_host(store_port)
        return self

    async def add_host(self, host_id, **settings):
        """Start another host, which serves parts of queries."""
        parts, client = self._create_host(host_id, settings)
        self._stack.push_async_callback(client.close)
        self._stack.push_async_callback(parts.host.transport.close)
        await self._serve(parts.caller_server)
        await self._serve(parts.readiness_server)
        loops_to_run = (*parts.tasks, *parts.restartable_tasks)
        tasks = [await curio.spawn(loop) for loop in loops_to_run]
        for task in tasks:
            self._stack.push_async_callback(task.cancel)
        return parts

    def _create_host(self, host_id, settings):
        """Return the parts of a host and its client of the store."""
        store_port = self.store_port_of(host_id)
        client = kvstore.KvStore('127.0.0.1', store_port, 0.5)
        created = users.host_settings(
            host_id,
            self.zones_by_host.get(host_id, 'z1'),
            store_port,
            retry_share=1.0,
            retry_burst=100,
            log={'level': 'error'},
            **settings,
        )
        return daemons.create_host(context.create(created), client), client

    def store_port_of(self, host_id):
        """Return the port at which a host reaches the store."""
        del host_id
        return self.store_port

    async def start_host(self, store_port):
        """Start the host in the current event loop."""
        parts, self._store_client = self._create_host('host-1', self._settings)
        self.parts = parts
        self.host = parts.host
        self.follower = parts.follower
        self.callers_port = await self._serve(parts.caller_server)
        self.ready_port = await self._serve(parts.readiness_server)
        for loop in (*parts.tasks, *parts.restartable_tasks):
            self._tasks.append(await curio.spawn(loop))
        await loops.until(self._lists_all_backends)

    async def stop_host(self):
        """Stop the host and its tasks."""
        for task in self._tasks:
            await task.cancel()
        await self.host.transport.close()
        await self._store_client.close()

    async def __aexit__(self, *_):
        await self.stop_host()
        await self._stack.aclose()

    async def add_backend(self, backend_id, service, **fields):
        """Start a backend server and list it."""
        backend = users.BackendServer(backend_id, b'')
        server = webserver.WebServer('127.0.0.1', 0, backend)
        port = await self._serve(server)
        self.backends_by_id[backend_id] = backend
        self._ports_by_id[backend_id] = port
        self.list_backend(backend_id, service, **fields)
        return backend

    def list_backend(self, backend_id, service, **fields):
        port = self._ports_by_id[backend_id]
        self.store.put(
            f'servers/{backend_id}',
            users.backend_document(service, port, **fields),
        )

    def publish(self, version, prefix='/lookup/'):
        """Write a configuration with one route of each kind."""
        document = self.create_configuration(version, prefix)
        self.store.put('op/config', document)

    def create_configuration(self, version, prefix):
        """Return a configuration with one route of each kind."""
        services = list(self._services)
        return users.configuration_document(
            version,
            [
                users.route_document(
                    'lookup',
                    prefix,
                    gather=services,
                    top_k=3,
                    min_shard_ratio=0.5,
                ),
                users.route_document('statement', '/statement/', service='a'),
                users.route_document(
                    'report', '/report/', service=services[-1]
                ),
                users.route_document(
                    'payment',
                    '/payment/',
                    service='a',
                    route_type='unsafe',
                ),
            ],
            services,
            max_body_bytes=self.max_body_bytes,
        )

    async def send_request(self, target, method='GET', body=b'', **changes):
        """Send one request on a connection of its own."""
        headers = [
            ('host', 'shop.example'),
            ('x-request-id', changes.get('request_id', 'r1')),
            ('x-request-deadline', str(changes.get('deadline_ms', 2000))),
            ('content-length', str(len(body))),
            *changes.get('headers', ()),
        ]
        protocol = h11.Connection(h11.CLIENT)
        sock = await links.open_socket(
            '127.0.0.1',
            changes.get('port', self.callers_port),
            changes.get('connect_s', 1.0),
        )
        async with sock:
            request = h11.Request(method=method, target=target, headers=headers)
            await sock.sendall(protocol.send(request))
            if body:
                await sock.sendall(protocol.send(h11.Data(data=body)))
            protocol.send(h11.EndOfMessage())
            return await _read_answer(sock, protocol)

    async def _serve(self, server):
        return await self._stack.enter_async_context(loops.serving(server))

    def _lists_all_backends(self):
        return self.host.ready and len(
            self.host.directory.backends_by_id
        ) == len(self.backends_by_id)


async def _read_answer(sock, protocol):
    response, body = None, b''
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await sock.recv(65_536))
        elif isinstance(event, h11.Response):
            response = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            headers = {
                name.decode(): content.decode()
                for name, content in response.headers
            }
            return Answer(response.status_code, headers, body)


def run_scenario(scenario, world=HostWorld, **shape):
    """Run a scenario in a new world and return its result."""

    async def run():
        async with world(**shape) as entered_world:
            return await scenario(entered_world)

    return loops.run(run)


def error_code(answer):
    """Return the error code of a refused request."""
    return json.loads(answer.body)['error']['code']
