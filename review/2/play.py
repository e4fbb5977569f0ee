"""Case 2: a backend rejects a long body before it is in and closes."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import world as w  # noqa: E402

LONG_BYTES = 262_000
MOST_LONG_REQUESTS = 20
CALLERS = 42
MOST_LOST = 3


class Backend(w.Backend):
    """With trouble, three of seven reject long requests before they are in.

    Their rejection says `Connection: close`; they keep the connection
    for a second and close it. Without trouble the same rejection follows the
    body.
    """

    is_full = False

    async def handle(self, connection, line, headers, reader, writer):
        size = int(headers.get('content-length', 0))
        if size < 100_000 or not self.is_full:
            return await super().handle(
                connection, line, headers, reader, writer
            )
        request_id = headers['x-request-id']
        rejection = [('X-Not-Executed', '1'), ('Connection', 'close')]
        if self.world.trouble:
            self.log(connection, 'rejects', request_id, 'before its body is in')
            await self.reply(writer, headers, 503, rejection, b'')
            await asyncio.sleep(1)
            return False
        await reader.readexactly(size)
        self.log(connection, 'rejects', request_id, 'after its body is in')
        await self.reply(writer, headers, 503, rejection, b'')
        return False

    async def run(self, line, headers, body):
        self.world.reached.add(headers.get('x-request-id'))
        return await super().run(line, headers, body)


async def play(world):
    world.reached = set()
    lost = []
    backends = [
        Backend(world, f'i-pay{number}', 'payments', 3) for number in range(7)
    ]
    for backend in backends:
        backend.work_s = 0.32
        await backend.start()
    for backend in backends[:3]:
        backend.is_full = True
    await world.publish(
        1,
        [w.route('pay', '/pay/', service='payments', route_type='unsafe')],
        [w.service('payments', 110)],
    )
    host = world.add_host('front-1')
    await host.start()
    await host.wait_ready()
    done = asyncio.Event()

    async def keep_asking(index):
        """Send payments on one kept connection until the end."""
        name = f'caller-{index}'
        think_s = 0.8 + index * 0.01
        async with w.Client(world, host.port) as client:
            for number in itertools.count():
                if done.is_set():
                    return
                request_id = f'{name}-{number}'
                answer = await client.ask(request_id, '/pay/x', 'POST', b'pay')
                if answer.status is None:
                    world.record.write('the connection of', name, 'ended')
                    if number and request_id in world.reached:
                        lost.append(request_id)
                    return
                # Callers are not in step.
                await asyncio.sleep(think_s if number else index * 0.03)

    async def ask_long(number):
        async with w.Client(world, host.port) as client:
            await client.ask(
                f'long-{number}', '/pay/x', 'POST', b'x' * LONG_BYTES
            )

    callers = []

    def add_callers(count):
        for _ in range(count):
            caller = keep_asking(len(callers))
            callers.append(asyncio.create_task(caller))

    # All ask at first, so that the host opens connections to all backends.
    add_callers(CALLERS)
    await asyncio.sleep(4)
    long_requests = []
    for number in range(MOST_LONG_REQUESTS):
        long_requests.append(asyncio.create_task(ask_long(number)))
        # One caller more in each second, which keeps its connection too.
        for _ in range(2):
            await asyncio.sleep(1)
            add_callers(1)
        if host.process.returncode is not None:
            break
    done.set()
    await asyncio.gather(*callers, *long_requests, return_exceptions=True)
    await asyncio.sleep(0.2)
    if host.process.returncode is not None:
        world.record.write(
            'the host process ended by itself, status', host.process.returncode
        )
    if len(lost) > MOST_LOST:
        world.break_rule(
            'LOST:', len(lost), 'requests from kept connections were passed on'
            ' to sound backends, and their connections ended without an answer:',
            *lost,
        )


w.main(pathlib.Path(__file__).resolve().parent, play)
