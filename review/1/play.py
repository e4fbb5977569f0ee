"""Case 1: the rest of a long body, after the backend has answered early."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import world as w  # noqa: E402

LONG_BYTES = 262_000
# The client of the long request waits as long as its deadline says.
LONG_DEADLINE_MS = 1_000
# After an early rejection, until the backend reads the rest of the body.
READ_ON_S = 2.0
MOST_ROUNDS = 6


class Backend(w.Backend):
    """Rejects long requests: it is full.

    With trouble, one of the two backends rejects them before the body is in,
    keeps the connection and reads on later. Otherwise the rejection follows
    the body.
    """

    is_early = False

    async def handle(self, connection, line, headers, reader, writer):
        size = int(headers.get('content-length', 0))
        request_id = headers.get('x-request-id')
        if size < 100_000:
            body = await reader.readexactly(size)
            self.world.check_body(self, connection, request_id, body)
            reply = await self.run(line, headers, body)
            await self.reply(writer, headers, *reply)
            return True
        rejection = (503, [('X-Not-Executed', '1')], b'')
        if self.is_early:
            self.log(connection, 'rejects', request_id, 'before its body is in')
            await self.reply(writer, headers, *rejection)
            await asyncio.sleep(READ_ON_S)
            self.log(connection, 'reads on in the body of', request_id)
        try:
            body = await reader.readexactly(size)
        except asyncio.IncompleteReadError as error:
            # The connection ended; what came must be the start of the body.
            self.world.check_body(self, connection, request_id, error.partial)
            return False
        self.world.check_body(self, connection, request_id, body)
        if not self.is_early:
            self.log(connection, 'rejects', request_id, 'after its body is in')
            await self.reply(writer, headers, *rejection)
        return True

    def on_no_request(self, connection, line):
        super().on_no_request(connection, line)
        self.world.break_rule(
            'UNASKED:', self.backend_id, connection,
            'gets bytes that are no request:', repr(line[:60]),
        )


def body_of(request_id, size):
    """Return a body that tells which request it belongs to."""
    line = f'{request_id};'.encode()
    return (line * (size // len(line) + 1))[:size]


async def play(world):
    sent = {}

    def check_body(backend, connection, request_id, body):
        expected = sent[request_id]
        if body == expected[: len(body)]:
            backend.log(
                connection, 'got', len(body), 'of', len(expected),
                'bytes of the body of', request_id,
            )
            return
        start = next(
            index
            for index, byte in enumerate(body)
            if byte != expected[index]
        )
        world.break_rule(
            'UNASKED:', backend.backend_id, connection,
            'gets other bytes where the rest of the body of', request_id,
            'is due, from byte', start, repr(body[start : start + 90]),
        )

    world.check_body = check_body
    backends = [
        Backend(world, f'i-pay{number}', 'payments') for number in (1, 2)
    ]
    backends[0].is_early = world.trouble
    # Backends of one service differ in speed.
    backends[1].work_s = 0.06
    for backend in backends:
        await backend.start()
    await world.publish(
        1,
        [w.route('pay', '/pay/', service='payments', route_type='unsafe')],
        [w.service('payments', 110)],
    )
    host = world.add_host('front-1')
    await host.start()
    await host.wait_ready()

    async def ask(request_id, size, deadline_ms):
        sent[request_id] = body_of(request_id, size)
        async with w.Client(world, host.port) as client:
            return await client.ask(
                request_id, '/pay/x', 'POST', sent[request_id], deadline_ms
            )

    async def ask_short(name, count):
        tasks = []
        for number in range(count):
            request = ask(f'{name}-{number}', 200, 3_000)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)

    # One early answer in a round of 41: less than 0.05 of the answers. The long
    # request goes to the other backend in some rounds.
    for number in range(MOST_ROUNDS):
        await ask_short(f'before-{number}', 24)
        long_request = ask(f'long-{number}', LONG_BYTES, LONG_DEADLINE_MS)
        await asyncio.gather(long_request)
        await asyncio.sleep(0.3)
        await ask_short(f'after-{number}', 16)
        await asyncio.sleep(READ_ON_S)
        if world.violations:
            break
        # Their idle timeout; each round begins with new connections.
        for backend in backends:
            backend.close_connections()
        await asyncio.sleep(0.2)


w.main(pathlib.Path(__file__).resolve().parent, play)
