"""Case 4: a backend that ran a payment fails with 503 and does not say more."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import world as w  # noqa: E402

BACKENDS = 7
PAYMENTS = 140
# Of the requests of the one backend that fails, with trouble.
FAILING_SHARE = 0.4
PROMISES = (429, 503, 408, 421)


class Backend(w.Backend):
    """With trouble, one of seven fails two of five requests that it ran.

    Its health check is good. A failure is a 503 without X-Not-Executed.
    """

    is_grey = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.count = 0

    async def run(self, line, headers, body):
        status, extra, answer = await super().run(line, headers, body)
        if status != 200 or not line.startswith('POST'):
            return status, extra, answer
        self.world.ran.setdefault(headers['x-request-id'], self.backend_id)
        self.count += 1
        if self.is_grey and self.count * FAILING_SHARE % 1 < FAILING_SHARE:
            self.log('fails', headers['x-request-id'], 'after it ran it')
            return 503, extra, b'the ledger did not answer'
        return status, extra, answer


async def play(world):
    world.ran = {}
    for number in range(BACKENDS):
        backend = Backend(world, f'i-pay{number}', 'payments', 3)
        backend.is_grey = world.trouble and number == 0
        await backend.start()
    await world.publish(
        1,
        [w.route('pay', '/pay/', service='payments', route_type='unsafe')],
        [w.service('payments', 110)],
    )
    host = world.add_host('front-1')
    await host.start()
    await host.wait_ready()

    async def pay(number):
        """Pay once; send it again only after a promise, under a new id."""
        runs = 0
        for attempt in (1, 2):
            request_id = f'pay-{number}-{attempt}'
            async with w.Client(world, host.port) as client:
                answer = await client.ask(request_id, '/pay/x', 'POST', b'pay')
            has_run = request_id in world.ran
            runs += has_run
            if answer.status not in PROMISES:
                break
            if has_run:
                world.break_rule(
                    'REFUSED:', request_id, 'is answered', answer.status,
                    'and has run at', world.ran[request_id],
                )
        if runs > 1:
            world.record.write('payment', number, 'ran', runs, 'times')

    tasks = []
    for number in range(PAYMENTS):
        tasks.append(asyncio.create_task(pay(number)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)


w.main(pathlib.Path(__file__).resolve().parent, play)
