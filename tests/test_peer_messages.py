"""Malformed and unexpected messages of other hosts to a real host."""

import random
import struct
import unittest

import curio

from cardamomflow import frames, links
from cardamomflow.generated import wire_pb2
from tests import hostworld, loops, test_peering

SEED = 20261205
RANDOM_MESSAGES = 300
CALLER_REQUEST = wire_pb2.CallerRequest(
    id=b'r1',
    method=b'GET',
    target=b'/lookup/x',
    headers=[wire_pb2.Header(name=b'host', content=b'shop.example')],
)


def parts_request(**changes):
    fields = {
        'attempt_id': 1,
        'request': CALLER_REQUEST,
        'services': ['a', 'b'],
        'route': 'lookup',
        'rank': 1,
        'attempts': 2,
        'target_us': 50_000,
        'budget_us': 100_000,
        'limit': 3,
        'asked_by': 'other',
    }
    return wire_pb2.Envelope(
        parts_request=wire_pb2.PartsRequest(**{**fields, **changes})
    )


def changed_request(**changes):
    """Return a request for parts of a changed request of a caller."""
    request = wire_pb2.CallerRequest()
    request.CopyFrom(CALLER_REQUEST)
    for name, content in changes.items():
        request.ClearField(name)
        if name == 'headers':
            request.headers.extend(content)
        else:
            setattr(request, name, content)
    return parts_request(request=request)


def header(name, content):
    return wire_pb2.Header(name=name, content=content)


MALFORMED = {
    'no services': parts_request(services=[]),
    'unknown service': parts_request(services=['unknown']),
    'repeated service': parts_request(services=['a', 'a']),
    'unknown rank': parts_request(rank=77),
    'no attempts': parts_request(attempts=0),
    'no time': parts_request(target_us=0, budget_us=0),
    'much time': parts_request(target_us=2**32 - 1, budget_us=2**32 - 1),
    'no request': parts_request(request=wire_pb2.CallerRequest()),
    'no host header': changed_request(headers=[]),
    'header with a line end': changed_request(
        headers=[header(b'host', b'a\r\nx: y')]
    ),
    'header without a name': changed_request(headers=[header(b'', b'a')]),
    'method with a space': changed_request(method=b'GET /x'),
    'target with a space': changed_request(target=b'/x HTTP/1.1\r\n'),
    'two lengths': changed_request(
        headers=[
            header(b'host', b'shop.example'),
            header(b'content-length', b'5'),
            header(b'transfer-encoding', b'chunked'),
        ]
    ),
    'end of an unknown attempt': wire_pb2.Envelope(
        parts_end=wire_pb2.PartsEnd(attempt_id=2**63, cancel=True)
    ),
    'answer to no request': wire_pb2.Envelope(
        parts_answer=wire_pb2.PartsAnswer(attempt_id=5, records=b'x')
    ),
    'feed from the future': wire_pb2.Envelope(
        feed_request=wire_pb2.FeedRequest(revision=2**63, sent_ms=2**63)
    ),
    'update nobody asked for': wire_pb2.Envelope(
        feed_update=wire_pb2.FeedUpdate(revision=2**63, content=b'not packed')
    ),
    'query to a host': wire_pb2.Envelope(query=wire_pb2.QueryRequest()),
    'no body': wire_pb2.Envelope(),
}


class PeerWorld(hostworld.HostWorld):
    """A host that accepts links of others."""

    def __init__(self):
        self.peers = test_peering.reserve_address()
        super().__init__(peers=self.peers)

    async def send_bytes(self, payload):
        """Send bytes on a link of their own, and wait for an answer."""
        address, port = self.peers.split(':')
        sock = await links.open_socket(address, int(port), 1.0)
        async with sock:
            await sock.recv(65_536)  # the first ping
            await sock.sendall(payload)
            async with curio.ignore_after(0.02):
                await sock.recv(65_536)

    def in_flight(self):
        """Return the attempts in flight at each backend server."""
        return dict(self.host._dispatcher.occupancy._in_flight)

    async def check(self, case):
        """Check that callers are served and nothing is left behind."""
        answers = [
            await self.send_request(path)
            for path in ('/lookup/x', '/statement/x')
        ]
        assert [one.status for one in answers] == [200, 200], (case, answers)
        await loops.until(lambda: not self.in_flight())


class PeerMessageTest(unittest.TestCase):
    def test_malformed_messages_cost_one_link(self):
        """Guards against a message that ends the process or leaks capacity."""

        async def scenario(world):
            for name, message in MALFORMED.items():
                with self.subTest(name):
                    await world.send_bytes(frames.encode(message))
                    await world.check(name)
            return len(MALFORMED)

        self.assertTrue(hostworld.run_scenario(scenario, PeerWorld))

    def test_random_bytes_cost_one_link(self):
        """Guards against bytes that end the process.

        Half of the frames are valid messages with some bytes changed.
        """
        generator = random.Random(SEED)  # noqa: S311
        valid = [message.SerializeToString() for message in MALFORMED.values()]

        def draw():
            body = bytearray(generator.choice(valid))
            if generator.randrange(2):
                body = bytearray(generator.randbytes(generator.randrange(60)))
            for _ in range(min(len(body), 3)):
                body[generator.randrange(len(body))] = generator.randrange(256)
            return struct.pack('>I', len(body)) + bytes(body)

        async def scenario(world):
            for number in range(RANDOM_MESSAGES):
                await world.send_bytes(draw())
                if number % 50 == 0:
                    await world.check(number)
            await world.check('all')
            return True

        self.assertTrue(hostworld.run_scenario(scenario, PeerWorld))
