"""A small deployment on loopback: store, backends, clients and host processes.

The hosts are the project's own program, started with the command of the deploy
file. Store, backends and clients are stand-ins in this process. They follow
the users' pages and use the standard library alone.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import math
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST_NAME = 'shop.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST_PORTS = (15_000, 30_000)


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started = time.monotonic()

    def write(self, *words):
        now = time.monotonic() - self._started
        print(f'{now:8.3f}', *words, file=self._file, flush=True)


def json_reply(status, document):
    body = json.dumps(document).encode()
    return status, [('Content-Type', 'application/json')], body


async def read_head(reader):
    """Return the first line and the headers; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].split(b'\r\n')
    headers = {}
    for line in lines:
        name, colon, content = line.partition(b':')
        if not colon:
            return first.decode('latin-1'), None
        headers[name.decode('latin-1').lower()] = content.strip().decode(
            'latin-1'
        )
    return first.decode('latin-1'), headers


def encode(status, headers, body):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {content}' for name, content in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Store:
    """The platform's store: linearizable, loses nothing, no outages.

    A watch that has waited for `cut_after_s` is cut, if that is set.
    """

    def __init__(self):
        self.cut_after_s = None
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self._ids = itertools.count(1)
        self._changed = asyncio.Condition()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=4_000_000
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry = asyncio.create_task(self._expire())

    async def put(self, key, document, lease=0):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._put(key, value, lease)

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append(
            {'key': key, 'revision': self.revision, 'removed': True}
        )
        async with self._changed:
            self._changed.notify_all()

    async def _put(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self.events.append(item)
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until <= now:
                    await self._end(lease)

    async def _end(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                await self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size)
                method, target, _ = line.split(' ')
                reply = await self._handle(method, target, body)
                if reply is None:
                    break
                writer.write(encode(*reply))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(
            urllib.parse.parse_qsl(parts.query, keep_blank_values=True)
        )
        call, _, argument = parts.path.removeprefix('/api/').partition('/')
        match method, call:
            case 'GET', 'kv-key':
                item = self.items.get(query['key'])
                if item is None:
                    return json_reply(404, {'error': 'no such key'})
                return json_reply(200, {**item, 'as_of': self.revision})
            case 'GET', 'kv-range':
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(query['prefix'])
                    and key > query.get('after', '')
                )
                return json_reply(
                    200,
                    {
                        'items': [self.items[key] for key in keys[:500]],
                        'has_more': len(keys) > 500,
                        'as_of': self.revision,
                    },
                )
            case 'GET', 'kv-watch':
                return await self._watch(query)
            case 'POST', 'kv-txn':
                return await self._change(json.loads(body))
            case 'POST', 'kv-lease':
                ttl_ms = json.loads(body)['ttl_ms']
                lease = next(self._ids)
                until = time.monotonic() + ttl_ms / 1000
                self.leases[lease] = (until, ttl_ms)
                return json_reply(200, {'lease': lease, 'ttl_ms': ttl_ms})
            case 'POST', 'kv-keep':
                lease = int(argument)
                if lease not in self.leases:
                    return json_reply(404, {'error': 'the lease has ended'})
                ttl_ms = self.leases[lease][1]
                until = time.monotonic() + ttl_ms / 1000
                self.leases[lease] = (until, ttl_ms)
                return json_reply(200, {'lease': lease, 'ttl_ms': ttl_ms})
            case 'DELETE', 'kv-lease-end':
                await self._end(int(argument))
                return json_reply(200, {})
        return json_reply(404, {'error': 'no such call'})

    async def _watch(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query['wait_ms']) / 1000
        cut_at = math.inf
        if self.cut_after_s is not None:
            cut_at = time.monotonic() + self.cut_after_s
        while True:
            events = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return json_reply(
                    200, {'events': events, 'as_of': self.revision}
                )
            if cut_at <= time.monotonic():
                return None
            left_s = min(left_s, max(0, cut_at - time.monotonic()))
            async with self._changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)

    async def _change(self, document):
        for row in document.get('expected_rev', []):
            present = self.items.get(row['key'], {}).get('revision', 0)
            if present != row['revision']:
                return json_reply(412, {'items': []})
        for row in document.get('puts', []):
            if row['key'].startswith(('op/', 'servers/')):
                return json_reply(403, {'error': 'not yours'})
            if row.get('lease') and row['lease'] not in self.leases:
                return json_reply(404, {'error': 'no such lease'})
        for row in document.get('puts', []):
            await self._put(row['key'], row['value'], row.get('lease', 0))
        for key in document.get('delete_keys', []):
            await self.remove(key)
        return json_reply(200, {'revision': self.revision})


class Backend:
    """A sound backend server; cases override `handle`.

    Its listening socket has the segment size of an ordinary network and a
    small receive buffer, so that a peer that does not read blocks the writer
    as on the users' links.
    """

    def __init__(self, world, backend_id, service, slots=2):
        self.world = world
        self.backend_id = backend_id
        self.service = service
        self.slots = slots
        self.running = 0
        self.served = itertools.count(1)
        self.connections = itertools.count(1)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work_s = 0.01
        self._writers = set()

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(('127.0.0.1', 0))
        self.port = listener.getsockname()[1]
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=4_096
        )
        await self.register('ready')

    async def register(self, state):
        self.sequence += 1
        await self.world.store.put(
            f'servers/{self.backend_id}', self.entry(state)
        )

    def entry(self, state):
        """Return the entry that the backend writes of itself."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'z1',
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    def log(self, *words):
        self.world.record.write(self.backend_id, *words)

    async def _serve(self, reader, writer):
        connection = f'c{next(self.connections)}'
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                line, headers = head
                if headers is None or len(line.split(' ')) != 3:
                    self.on_no_request(connection, line)
                    break
                if not await self.handle(
                    connection, line, headers, reader, writer
                ):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except (asyncio.LimitOverrunError, ValueError):
            self.on_no_request(connection, 'bytes that are no head')
        finally:
            self._writers.discard(writer)
            writer.close()

    async def unregister(self):
        await self.world.store.remove(f'servers/{self.backend_id}')

    def stop(self):
        """End as a process does: nothing listens, all connections close."""
        self._server.close()
        self.close_connections()

    def close_connections(self):
        for writer in list(self._writers):
            writer.close()

    def on_no_request(self, connection, line):
        self.log(connection, 'got bytes that are no request:', repr(line[:60]))

    async def handle(self, connection, line, headers, reader, writer):
        """Serve one request; return whether the connection stays open."""
        size = int(headers.get('content-length', 0))
        body = await reader.readexactly(size)
        status, extra, answer = await self.run(line, headers, body)
        await self.reply(writer, headers, status, extra, answer)
        return True

    async def run(self, line, headers, body):
        """Run a request and return its status, headers and body."""
        if headers.get('x-target-instance') not in {None, self.backend_id}:
            return 421, [('X-Not-Executed', '1')], b''
        if line.startswith('GET /health'):
            return 200, [('X-Instance-Id', self.backend_id)], b''
        self.log('runs', headers.get('x-request-id'), line, len(body), 'bytes')
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        return 200, self.seal(), b'done'

    def seal(self):
        return [('X-Response-Seal', f'{self.backend_id}.{next(self.served)}')]

    async def reply(self, writer, headers, status, extra, body):
        fields = [
            ('X-Request-Id', headers.get('x-request-id', '')),
            ('X-Server-Load', f'{self.running},0,{self.slots}'),
            *extra,
        ]
        writer.write(encode(status, fields, body))
        await writer.drain()


class Answer:
    """What a client got: a status with headers and body, or nothing."""

    def __init__(self, status, headers=None, body=b''):
        self.status = status
        self.headers = headers or {}
        self.body = body


class Client:
    """One caller's connection to a host."""

    def __init__(self, world, port):
        self._world = world
        self._port = port

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self._port, limit=4_000_000
        )
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    async def ask(
        self, request_id, path, method='GET', body=b'', deadline_ms=6000
    ):
        """Send one request and return its answer; wait as long as its deadline."""
        write = self._world.record.write
        write('client sends', request_id, method, path, len(body), 'bytes')
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'X-Request-Id: {request_id}',
            f'X-Request-Deadline: {deadline_ms}',
        ]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([*lines, '', '']).encode()
        try:
            self.writer.write(head + body)
            answer = await asyncio.wait_for(
                self._read_answer(), deadline_ms / 1000
            )
        except (asyncio.TimeoutError, ConnectionError) as error:
            answer = Answer(None)
            write('client got no answer to', request_id, repr(error))
        else:
            write(
                'client got',
                answer.status,
                'to',
                request_id,
                answer.headers.get('x-response-seal', 'no seal'),
            )
        return answer

    async def _read_answer(self):
        head = await read_head(self.reader)
        if head is None:
            return Answer(None)
        line, headers = head
        size = int(headers.get('content-length', 0))
        body = await self.reader.readexactly(size)
        return Answer(int(line.split(' ')[1]), headers, body)


def free_ports(count):
    """Return free loopback ports, outside of those of outgoing connections."""
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            sock = stack.enter_context(socket.socket())
            port = random.randrange(*HOST_PORTS)
            with contextlib.suppress(OSError):
                sock.bind(('127.0.0.1', port))
                ports.append(port)
        return ports


class Host:
    """A host process, started with the command of the deploy file."""

    def __init__(self, world, host_id, zone='z1', **settings):
        self.world = world
        self.host_id = host_id
        callers, ready, peers, metrics = free_ports(4)
        self.port, self.ready_port = callers, ready
        self._path = world.folder / f'{host_id}.yaml'
        self._log = world.folder / f'{host_id}.log'
        # JSON is YAML; the keys are those of deploy/host.yaml.
        self._path.write_text(
            json.dumps(
                {
                    'process_id': host_id,
                    'host': {
                        'id': host_id,
                        'region': 'sul',
                        'availability_zone': zone,
                    },
                    'callers': f'127.0.0.1:{callers}',
                    'metrics': f'127.0.0.1:{metrics}',
                    'peers': f'127.0.0.1:{peers}',
                    'processor': {'share': 0.537, 'cores': 2},
                    'link_mbps': 1000.0,
                    'readiness': f'127.0.0.1:{ready}',
                    'store': f'127.0.0.1:{world.store.port}',
                    'retry_share': 0.2,
                    'retry_burst': 56,
                    'stop_within_s': 6,
                    **settings,
                }
            )
        )

    async def start(self):
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with open(self._log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'cardamomflow',
                'host',
                '--settings',
                str(self._path),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.world.record.write(self.host_id, 'started')

    async def wait_ready(self, limit_s=30):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f'{self.host_id} ended: {self.log_tail()}')
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.ready_port
                )
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                head = await read_head(reader)
                writer.close()
                if head is not None and ' 200 ' in head[0] + ' ':
                    self.world.record.write(self.host_id, 'is ready')
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.host_id} is not ready: {self.log_tail()}')

    def log_tail(self):
        return self._log.read_text()[-600:]

    def copy_log(self):
        """Write the host's own lines to the record, but for routine ones."""
        lines = [
            line.replace(str(ROOT), '.')
            for line in self._log.read_text().splitlines()
            if '"level": "info"' not in line
        ]
        for line in lines[:60]:
            self.world.record.write('log of', self.host_id, line[:400])

    async def stop(self):
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class World:
    """All of one case; ends every process that it started."""

    def __init__(self, folder, trouble):
        # Whether the disruption of the case happens.
        self.trouble = trouble
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.hosts = []
        self.violations = []

    async def __aenter__(self):
        self.store = Store()
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            await host.stop()
        self._temporary.cleanup()

    def add_host(self, host_id, **settings):
        host = Host(self, host_id, **settings)
        self.hosts.append(host)
        return host

    async def publish(self, version, routes, services):
        """Write a configuration; the store's answer acknowledges it."""
        await self.store.put(
            'op/config',
            {
                'version': version,
                'routes': routes,
                'services': services,
                'limits': {
                    'max_header_bytes': 16_384,
                    'max_body_bytes': 262_144,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15_000,
                },
            },
        )
        self.record.write('configuration', version, 'is acknowledged')

    def break_rule(self, *words):
        self.violations.append(' '.join(map(str, words)))
        self.record.write('RULE BROKEN:', *words)


def route(name, prefix, **fields):
    """Return a route as the operator writes it."""
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': prefix,
        'route_type': 'safe',
        'timeout_ms': 6000,
        'target_latency_ms': 944,
        'priority': 2,
        'attempts': 2,
        **fields,
    }


def service(name, max_connections):
    return {
        'name': name,
        'health_check': '/health',
        'max_connections': max_connections,
    }


def main(folder, play, limit_s=110):
    """Play a case and exit with 0 (held), 1 (broken) or 2 (not run).

    The argument of the program is the value of TROUBLE; `0` leaves the
    disruption out.
    """
    trouble = sys.argv[1:] != ['0']

    async def run():
        # The host processes end too if the case is ended.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        async with World(folder, trouble) as world:
            world.record.write('disruption:', 'yes' if trouble else 'no')
            try:
                await asyncio.wait_for(play(world), limit_s)
            except (CannotRun, OSError, asyncio.TimeoutError) as error:
                world.record.write('the case could not run:', repr(error))
                print('the case could not run:', repr(error))
                return NOT_RUN
            finally:
                for host in world.hosts:
                    host.copy_log()
            for violation in world.violations[:5]:
                print('rule broken:', violation)
            world.record.write('rules broken:', len(world.violations))
            return BROKEN if world.violations else HELD

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        # A fault of the case itself, or the case was ended.
        traceback.print_exc()
        status = NOT_RUN
    sys.exit(status)
