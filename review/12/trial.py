"""Clients leave before their answer while some backends hang."""

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
SERVICES = [f'shard-{number}' for number in range(20)]
# The class lot-history: 10 records from 0.89 of the shards, aim 118 ms.
AIM_MS = 118
DEADLINE_MS = 1500
# Largest doses that the site file names.
HANGING_SHARE = 0.14
HANGS = 0.45
LEAVING_SHARE = 0.3
LENGTH_S = 20
REQUESTS_PER_S = 34
# Work of a part, and pauses of each backend at its own time.
WORK_S = 0.0165
PAUSE_S = 0.12
PAUSE_EVERY_S = 3
# From the rule.
LATE_S = 0.5
ALLOWED_SHARE = 0.25


async def load(world, left_at):
    counts = collections.Counter()
    tasks = []

    async def one():
        leaves = TROUBLE and world.random.random() < LEAVING_SHARE
        host = world.random.choice(world.hosts)
        request_id, status, closed_at = await world_module.send(
            world, host, DEADLINE_MS, AIM_MS / 2000 if leaves else None
        )
        counts[status] += 1
        if status == 'left':
            left_at[request_id] = closed_at

    for _ in range(LENGTH_S * REQUESTS_PER_S):
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(world.random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)
    return counts


async def run():
    world = world_module.World(SEED)
    try:
        await world.start(
            SERVICES,
            2,
            2,
            [
                world_module.gather_route(
                    SERVICES,
                    min_shard_ratio=0.89,
                    target_latency_ms=AIM_MS,
                    timeout_ms=DEADLINE_MS,
                )
            ],
            26,
        )
        hanging = set()
        if TROUBLE:
            count = int(HANGING_SHARE * len(world.backends))
            hanging.update(world.random.sample(sorted(world.backends), count))
        world.fault = lambda backend, _: (
            'hang'
            if backend.backend_id in hanging and world.random.random() < HANGS
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
        await asyncio.sleep(2)
        left_at = {}
        counts = await load(world, left_at)
        await asyncio.sleep(DEADLINE_MS / 1000 + 1)
        judged, gone_on = judge(world, left_at)
        write_record(world, left_at, counts, judged, gone_on)
    finally:
        world.close()
    if counts['200'] < 0.5 * world.request_count:
        print('the case could not run: few requests were answered')
        return 2
    print(
        f'{len(left_at)} clients left; {gone_on} of {judged} runs that would'
        f' have lasted went on {LATE_S} s later'
    )
    return 1 if judged and gone_on > ALLOWED_SHARE * judged else 0


def judge(world, left_at):
    """Return the lasting runs whose client left, and how many went on."""
    lasting = [
        run
        for run in world.runs
        if run.request_id in left_at
        and run.hangs
        and run.started_at <= left_at[run.request_id] + LATE_S
    ]
    gone_on = [
        run
        for run in lasting
        if run.ended_at is None
        or run.ended_at > left_at[run.request_id] + LATE_S
    ]
    return len(lasting), len(gone_on)


def write_record(world, left_at, counts, judged, gone_on):
    with (HERE / 'record.txt').open('w') as record:
        print(f'seed {SEED}, trouble {TROUBLE}', file=record)
        print(f'sent {world.request_count}, ended {dict(counts)}', file=record)
        print(f'runs {len(world.runs)}', file=record)
        print(f'runs judged {judged}, went on {gone_on}', file=record)
        for run in world.runs:
            if run.hangs and run.request_id in left_at:
                ended_s = (run.ended_at or 0) - left_at[run.request_id]
                print(
                    f'request {run.request_id} at {run.backend_id}: ended'
                    f' {ended_s:.3f} s after its client had left',
                    file=record,
                )


try:
    code = asyncio.run(run())
except (OSError, RuntimeError) as error:
    print(f'the case could not run: {error!r}')
    code = 2
sys.exit(code)
