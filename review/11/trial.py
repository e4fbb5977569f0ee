"""A zone is cut off while the first account is introduced."""

import asyncio
import json
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-3'))

import world as world_module  # noqa: E402

SEED = int(os.environ.get('SEED', '1'))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'archive'
TENANT = 'alpha'
KEY = 'key-of-alpha'
UNKNOWN_KEY = 'key-of-nobody'
# The site file cuts a zone off for so long.
CUT_S = 5.5
# From the acknowledgement of the version to the first request.
FIRST_AFTER_S = 1
REQUESTS = 16
INTERVAL_S = 0.18
# Hosts of the zone that is cut off; it is alone behind the cut.
HOSTS = 2
DEADLINE_MS = 2000


class Way:
    """The way of the zone to the store; holds everything while it is cut."""

    def __init__(self, store_port):
        self.store_port = store_port
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def start(self):
        self.server = await asyncio.start_server(self._carry, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _carry(self, reader, writer):
        try:
            await self.is_open.wait()
            there = await asyncio.open_connection('127.0.0.1', self.store_port)
            await asyncio.gather(
                self._copy(reader, there[1]), self._copy(there[0], writer)
            )
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


async def send(world, host, key):
    """Send one request with a key; return its id and its status."""
    request_id = world.new_id()
    reader, writer = await asyncio.open_connection('127.0.0.1', host.front)
    writer.write(
        f'GET /archive/{request_id} HTTP/1.1\r\n'
        f'Host: {world_module.HOST_NAME}\r\nX-Key: {key}\r\n'
        f'X-Request-Id: {request_id}\r\n'
        f'X-Request-Deadline: {DEADLINE_MS}\r\n\r\n'.encode()
    )
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            first, headers = await world_module.read_head(reader)
            await world_module.read_body(reader, headers)
        return request_id, first.split(' ')[1]
    except (TimeoutError, asyncio.IncompleteReadError, OSError) as error:
        return request_id, type(error).__name__
    finally:
        writer.close()


async def run():
    world = world_module.World(SEED)
    try:
        return await play(world)
    finally:
        world.close()


async def play(world):
    await world.store.start()
    way = Way(world.store.port)
    await way.start()
    for number in range(3):
        backend_id = f'i-{SERVICE}-{number}'
        backend = world_module.Backend(world, backend_id, SERVICE, slots=4)
        world.backends[backend_id] = backend
        await backend.start()
    route = {
        'name': 'archive-pull',
        'host': world_module.HOST_NAME,
        'prefix': '/archive/',
        'route_type': 'safe',
        'service': SERVICE,
        'timeout_ms': DEADLINE_MS,
        'target_latency_ms': 1585,
        'priority': 2,
        'attempts': 2,
    }
    world.publish(7, [route], [SERVICE], 420)
    world.hosts = [
        world_module.Host(world, f'front-{number}', store_port=way.port)
        for number in range(HOSTS)
    ]
    for host in world.hosts:
        host.start()
    for host in world.hosts:
        await host.wait_ready()
    # Until both hosts are listed and linked.
    await asyncio.sleep(5)
    if TROUBLE:
        way.is_open.clear()
        await asyncio.sleep(0.2)
    tenants = [{'name': TENANT, 'api_keys': [KEY]}]
    acknowledged_at = time.monotonic()
    world.publish(9, [route], [SERVICE], 420, tenants=tenants)
    await asyncio.sleep(FIRST_AFTER_S)
    sent = []
    for number in range(REQUESTS):
        host = world.hosts[number // 2 % HOSTS]
        key = UNKNOWN_KEY if number % 2 else KEY
        sent_at = time.monotonic() - acknowledged_at
        request_id, status = await send(world, host, key)
        sent.append((request_id, key, status, sent_at))
        await asyncio.sleep(INTERVAL_S)
    last_s = sent[-1][3]
    way.is_open.set()
    await asyncio.sleep(2)
    after = [
        (key, (await send(world, world.hosts[0], key))[1])
        for key in (KEY, UNKNOWN_KEY)
    ]
    return judge(world, sent, last_s, after)


def judge(world, sent, last_s, after):
    tenants_by_id = {run.request_id: run.tenant for run in world.runs}
    unasked, routed, passed_on = [], [], []
    lines = []
    for request_id, key, status, sent_at in sent:
        has_run = request_id in tenants_by_id
        tenant = tenants_by_id.get(request_id)
        if has_run and key == KEY and tenant != TENANT:
            unasked.append(request_id)
        if has_run and key == UNKNOWN_KEY:
            routed.append(request_id)
        lines.append(
            f'{sent_at:.2f} s after the acknowledgement: request {request_id}'
            f' with {key}: status {status},'
            f' {"ran for tenant " + repr(tenant) if has_run else "did not run"}'
        )
    passed_on = [run for run in world.runs if run.key is not None]
    with (HERE / 'record.txt').open('w') as record:
        print(f'seed {SEED}, trouble {TROUBLE}', file=record)
        print(*lines, sep='\n', file=record)
        print(f'after the cut: {json.dumps(after)}', file=record)
        print(f'keys passed on: {len(passed_on)}', file=record)
    if last_s > CUT_S:
        print(f'the case could not run: the cut lasted over {CUT_S} s')
        return 2
    if after[0][1] != '200' or after[1][1] != '401':
        print(f'the case could not run: after the cut, {after}')
        return 2
    print(
        f'{len(routed)} requests ran with a key that no configuration held,'
        f' {len(unasked)} ran without the tenant that holds their key'
    )
    return 1 if routed or unasked or passed_on else 0


try:
    code = asyncio.run(run())
except (OSError, RuntimeError) as error:
    print(f'the case could not run: {error!r}')
    code = 2
sys.exit(code)
