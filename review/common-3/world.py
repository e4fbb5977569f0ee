"""Stand-ins for a case: the store, backend servers, clients, host processes.

Written from the users' pages; standard library only. Hosts are started with the
command of the deploy file. Everything uses loopback addresses and free ports.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RECORD_BYTES = 16
PART_BYTES = 320
HOST_NAME = 'shop.example'
READY_WITHIN_S = 20

# The processes of a trial end with it, also when it is stopped.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def seal_of(backend_id, request_id, status):
    text = f'{backend_id}.{request_id}.{status}'
    return f'{text}.{hashlib.sha1(text.encode()).hexdigest()[:8]}'


def body_of(backend_id, request_id):
    digest = hashlib.sha256(f'{backend_id}{request_id}'.encode()).digest()
    return digest * (PART_BYTES // len(digest))


async def read_head(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, content = line.partition(':')
        headers[name.strip().lower()] = content.strip()
    return first, headers


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get('content-length', 0)))


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.granted = 0
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self._expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        before = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': before['created'] if before else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._add_event(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    def _add_event(self, event):
        self.events.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if ends_at < now:
                    self.end_lease(lease)

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                _, target, _ = first.split(' ')
                status, document = await self._answer(target, body)
                content = json.dumps(document).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
                    b'content-length: %d\r\n\r\n%s'
                    % (status, len(content), content)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def _answer(self, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(
            urllib.parse.parse_qsl(parts.query, keep_blank_values=True)
        )
        path = parts.path.removeprefix('/api/')
        call, _, argument = path.partition('/')
        await asyncio.sleep(0.004)
        if call == 'kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, {})
        if call == 'kv-range':
            return 200, self._list(query)
        if call == 'kv-watch':
            return 200, await self._watch(query)
        return self._change(call, argument, json.loads(body) if body else {})

    def _list(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'has_more': len(keys) > 500,
            'as_of': self.revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return {'events': found, 'as_of': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue

    def _change(self, call, argument, document):
        now = time.monotonic()
        if call == 'kv-lease':
            self.granted += 1
            ttl_s = document['ttl_ms'] / 1000
            self.leases[self.granted] = (ttl_s, now + ttl_s)
            return 200, {'lease': self.granted, 'ttl_ms': document['ttl_ms']}
        if call == 'kv-keep':
            lease = int(argument)
            if lease not in self.leases:
                return 404, {}
            ttl_s, _ = self.leases[lease]
            self.leases[lease] = (ttl_s, now + ttl_s)
            return 200, {'ttl_ms': int(ttl_s * 1000)}
        if call == 'kv-lease-end':
            self.end_lease(int(argument))
            return 200, {}
        for row in document['expected_rev']:
            present = self.items.get(row['key'], {'revision': 0})
            if present['revision'] != row['revision']:
                return 412, {'items': []}
        if any(
            row.get('lease') and row['lease'] not in self.leases
            for row in document['puts']
        ):
            return 404, {}
        for row in document['puts']:
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row.get('lease', 0))
        for key in document['delete_keys']:
            self.remove(key)
        return 200, {'revision': self.revision}


class Run:
    """One request that a backend server has begun to work on."""

    def __init__(self, request_id, backend, headers):
        self.request_id = request_id
        self.tenant = headers.get('x-tenant')
        self.key = headers.get('x-key')
        self.backend_id = backend.backend_id
        self.service = backend.service
        self.started_at = time.monotonic()
        self.hangs = False
        self.ended_at = None


class Backend:
    """One backend server.

    `world.fault(backend, request_id)` returns '', 'hang' or 'error'.
    """

    def __init__(self, world, backend_id, service, slots=2):
        self.world = world
        self.backend_id = backend_id
        self.service = service
        self.slots = slots
        self.free_slots = asyncio.Semaphore(slots)
        self.present = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        entry = {
            'service': self.service,
            'address': f'127.0.0.1:{port}',
            'zone': 'z1',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'warmup_left_ms': 0,
            'sequence': 1,
            'born': int(time.time() * 1000),
        }
        key = f'servers/{self.backend_id}'
        self.world.store.put(key, json.dumps(entry).encode())

    async def _serve(self, reader, writer):
        try:
            while await self._serve_request(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def _serve_request(self, reader, writer):
        first, headers = await read_head(reader)
        await read_body(reader, headers)
        request_id = headers.get('x-request-id')
        if request_id is None:
            self.world.without_id.append(first)
            self._reply(writer, '', 400, 'X-Not-Executed: 1\r\n')
            return True
        if headers.get('x-target-instance') != self.backend_id:
            self._reply(writer, request_id, 421)
            return True
        if self.present >= self.slots + 12:
            self._reply(writer, request_id, 503, 'X-Not-Executed: 1\r\n')
            return True
        self.present += 1
        try:
            async with self.free_slots:
                return await self._run(reader, writer, request_id, headers)
        finally:
            self.present -= 1

    async def _run(self, reader, writer, request_id, headers):
        run = Run(request_id, self, headers)
        self.world.runs.append(run)
        fault = self.world.fault(self, request_id)
        if fault == 'hang':
            run.hangs = True
            deadline_s = int(headers['x-request-deadline']) / 1000
            try:
                # Ends when the connection does, as most backends do.
                await asyncio.wait_for(reader.read(1), deadline_s)
            except asyncio.TimeoutError:
                pass
            run.ended_at = time.monotonic()
            return False
        await asyncio.sleep(self.world.work_s(self))
        run.ended_at = time.monotonic()
        status = 500 if fault == 'error' else 200
        seal = seal_of(self.backend_id, request_id, status)
        self._reply(
            writer,
            request_id,
            status,
            f'X-Response-Seal: {seal}\r\n'
            f'X-Server-Load: {self.slots - self.free_slots._value},'
            f'{max(0, self.present - self.slots)},{self.slots}\r\n',
            body_of(self.backend_id, request_id),
        )
        return True

    def _reply(self, writer, request_id, status, lines='', body=b''):
        writer.write(
            f'HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{lines}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )


class Host:
    """A host process, started with the command of the deploy file."""

    def __init__(self, world, name, store_port=None):
        self.world = world
        self.name = name
        self.front, self.ready, metrics, peers = free_ports(4)
        folder = pathlib.Path(world.folder.name)
        self.path = folder / f'{name}.yaml'
        self.log_path = folder / f'{name}.log'
        self.process = None
        document = {
            'process_id': name,
            'host': {'id': name, 'region': 'r', 'availability_zone': 'z1'},
            'callers': f'127.0.0.1:{self.front}',
            'metrics': f'127.0.0.1:{metrics}',
            'peers': f'127.0.0.1:{peers}',
            'processor': {'share': 0.537, 'cores': 2},
            'link_mbps': 1000.0,
            'memory_mb': 300,
            'max_descriptors': 4100,
            'availability_zones': ['z1'],
            'leave_zone': {'enabled': False},
            'readiness': f'127.0.0.1:{self.ready}',
            'store': f'127.0.0.1:{store_port or world.store.port}',
            'retry_share': 0.2,
            'retry_burst': 56,
            'stop_within_s': 6,
        }
        # JSON is YAML.
        self.path.write_text(json.dumps(document))

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = 'target/deps'
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'cardamomflow', 'host']
                + ['--settings', str(self.path)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    async def wait_ready(self):
        ends_at = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < ends_at:
            if not self.is_running:
                break
            try:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.ready
                )
                writer.write(b'GET /api/ready HTTP/1.1\r\nhost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
                if b' 200' in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{self.name} did not become ready')


class World:
    """All stand-ins and host processes of one trial."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.backends = {}
        self.hosts = []
        self.runs = []
        # First lines of requests without an id, which do not run.
        self.without_id = []
        self.request_count = 0
        self.fault = lambda backend, request_id: ''
        self.work_s = lambda backend: 0.02

    async def start(self, services, replicas, hosts, routes, max_connections):
        await self.store.start()
        for service in services:
            for number in range(replicas):
                backend = Backend(self, f'i-{service}-{number}', service)
                self.backends[backend.backend_id] = backend
                await backend.start()
        self.publish(7, routes, services, max_connections)
        self.hosts = [Host(self, f'front-{n}') for n in range(hosts)]
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.wait_ready()

    def publish(self, version, routes, services, max_connections, **fields):
        """Write a configuration as the operator does."""
        configuration = {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': service,
                    'health_check': '/health',
                    'max_connections': max_connections,
                }
                for service in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            **fields,
        }
        self.store.put('op/config', json.dumps(configuration).encode())

    def new_id(self):
        self.request_count += 1
        return f'{self.request_count:06x}{self.random.getrandbits(40):010x}'

    def close(self):
        for host in self.hosts:
            if host.is_running:
                host.kill()
        self.folder.cleanup()


def gather_route(services, **fields):
    return {
        'name': 'lookup',
        'host': HOST_NAME,
        'prefix': '/lookup/',
        'route_type': 'safe',
        'gather': services,
        'top_k': 10,
        'priority': 1,
        'attempts': 2,
        **fields,
    }


async def send(world, host, deadline_ms, leave_after_s=None):
    """Send one request on a connection of its own.

    Returns
    -------
    tuple
        Id, status (or a word without one), and when the client closed.
    """
    request_id = world.new_id()
    limit_s = leave_after_s or deadline_ms / 1000 + 1
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection('127.0.0.1', host.front), 1
        )
        writer.write(
            f'GET /lookup/{request_id} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
            f'X-Request-Id: {request_id}\r\n'
            f'X-Request-Deadline: {deadline_ms}\r\n\r\n'.encode()
        )
        async with asyncio.timeout(limit_s):
            first, headers = await read_head(reader)
            await read_body(reader, headers)
        status = first.split(' ')[1]
    except TimeoutError:
        status = 'left' if leave_after_s else 'silence'
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        status = type(error).__name__
    if writer is not None:
        writer.close()
    return request_id, status, time.monotonic()
