"""Hosts are killed while they request parts on behalf of others."""

import asyncio
import collections
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-3'))

import world as world_module  # noqa: E402

SEED = int(os.environ.get('SEED', '1'))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICES = [f'shard-{number}' for number in range(40)]
REPLICAS = 3
HOSTS = 4
ATTEMPTS = 2
# Less than two connections for each host, as in the grown deployments, so that
# hosts request parts on behalf of each other.
MAX_CONNECTIONS = 7
AIM_MS = 351
DEADLINE_MS = 2025
WORK_S = 0.042
PAUSE_S = 0.25
PAUSE_EVERY_S = 6
REQUESTS_PER_S = 65
# Largest doses that the site files name.
FAILING_SHARE = 0.14
FAILS = 0.45
KILLED_SHARE = 0.5
DOWN_S = 1
ROUNDS = 21
ROUND_S = 4
# From the rule.
ALLOWED_REQUESTS = 3


async def load(world, ends_at):
    counts = collections.Counter()
    tasks = []

    async def one():
        running = [host for host in world.hosts if host.is_running]
        host = world.random.choice(running)
        _, status, _ = await world_module.send(world, host, DEADLINE_MS)
        counts[status] += 1

    while time.monotonic() < ends_at:
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(world.random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)
    return counts


async def kill_hosts(world, failing):
    for number in range(ROUNDS):
        failing.clear()
        failing.update(
            world.random.sample(
                sorted(world.backends), int(FAILING_SHARE * len(world.backends))
            )
        )
        await asyncio.sleep(1.5)
        first = number % HOSTS
        killed = [
            world.hosts[(first + step) % HOSTS]
            for step in range(int(KILLED_SHARE * HOSTS))
        ]
        for host in killed:
            host.kill()
        await asyncio.sleep(DOWN_S)
        for host in killed:
            host.start()
        await asyncio.sleep(ROUND_S - 1.5 - DOWN_S)


async def run():
    world = world_module.World(SEED)
    try:
        await world.start(
            SERVICES,
            REPLICAS,
            HOSTS,
            [
                world_module.gather_route(
                    SERVICES,
                    attempts=ATTEMPTS,
                    min_shard_ratio=0.85,
                    target_latency_ms=AIM_MS,
                    timeout_ms=DEADLINE_MS,
                )
            ],
            MAX_CONNECTIONS,
        )
        failing = set()
        world.fault = lambda backend, _: (
            'error'
            if backend.backend_id in failing and world.random.random() < FAILS
            else ''
        )
        pause_at = {
            backend_id: world.random.uniform(0, PAUSE_EVERY_S)
            for backend_id in world.backends
        }

        def work_s(backend):
            since_s = time.monotonic() - pause_at[backend.backend_id]
            pause_s = max(0, PAUSE_S - since_s % PAUSE_EVERY_S)
            return pause_s + WORK_S * world.random.lognormvariate(0, 0.35)

        world.work_s = work_s
        # Until every host is listed and linked.
        await asyncio.sleep(6)
        ends_at = time.monotonic() + ROUNDS * ROUND_S
        trouble = kill_hosts(world, failing) if TROUBLE else asyncio.sleep(0)
        counts, _ = await asyncio.gather(load(world, ends_at), trouble)
        await asyncio.sleep(0.5)
        excess = judge(world)
        handed_over = sum(
            host.log_path.read_text().count('"asked_by"')
            for host in world.hosts
        )
        write_record(world, counts, excess, handed_over)
    finally:
        world.close()
    if counts['200'] < 0.5 * world.request_count:
        print('the case could not run: few requests were answered')
        return 2
    print(
        f'{len(excess)} of {world.request_count} requests ran on more than'
        f' {ATTEMPTS} backends of one shard'
    )
    return 1 if len(excess) > ALLOWED_REQUESTS else 0


def judge(world):
    """Return the runs of requests that ran on too many backends of a shard."""
    runs_by_part = collections.defaultdict(list)
    for run in world.runs:
        runs_by_part[run.request_id, run.service].append(run)
    return {
        request_id: runs
        for (request_id, _), runs in runs_by_part.items()
        if len({run.backend_id for run in runs}) > ATTEMPTS
    }


def write_record(world, counts, excess, handed_over):
    with (HERE / 'record.txt').open('w') as record:
        print(f'seed {SEED}, trouble {TROUBLE}', file=record)
        print(f'sent {world.request_count}, ended {dict(counts)}', file=record)
        print(f'runs {len(world.runs)}', file=record)
        print(f'log lines of parts for other hosts {handed_over}', file=record)
        print(f'requests on too many backends {len(excess)}', file=record)
        print(f'requests without an id {len(world.without_id)}', file=record)
        for line in sorted(set(world.without_id))[:9]:
            print(f'  {line}', file=record)
        for request_id, runs in excess.items():
            first_at = runs[0].started_at
            text = ', '.join(
                f'{run.backend_id} at {run.started_at - first_at:.3f} s'
                for run in runs
            )
            print(f'request {request_id}: {text}', file=record)


try:
    code = asyncio.run(run())
except (OSError, RuntimeError) as error:
    print(f'the case could not run: {error!r}')
    code = 2
sys.exit(code)
