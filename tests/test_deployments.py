"""A host in deployments of other shapes than those known so far."""

import unittest
from unittest import mock

from cardamomflow import discovery
from cardamomflow.platform import wire
from tests import hostworld, loops

ZONES = ('z1', 'z2', 'z3', 'z4', 'z5', 'z6')
SHAPES_BY_NAME = {
    'one backend server in one zone': {
        'services': ('a',),
        'replicas': 1,
    },
    'one backend server a service': {
        'services': ('a', 'b', 'c', 'd', 'e', 'f', 'g'),
        'replicas': 1,
        'zones': ZONES,
    },
    'none in the own zone': {'zones': ('z2', 'z3')},
    'two zones': {'zones': ('z1', 'z2')},
    'uneven zones': {
        'replicas': 5,
        'zones': ('z1', 'z2', 'z2', 'z2', 'z2', 'z6', 'z2'),
    },
    'many services': {
        'services': tuple(f's{number:02}' for number in range(60)),
        'replicas': 1,
        'zones': ZONES,
    },
    'six zones': {'replicas': 6, 'zones': ZONES},
}


class ShapeTest(unittest.TestCase):
    def setUp(self):
        interval = mock.patch.object(discovery, 'ANNOUNCE_INTERVAL_S', 0.05)
        interval.start()
        self.addCleanup(interval.stop)

    def play_all(self, scenario):
        for name, shape in SHAPES_BY_NAME.items():
            with self.subTest(name):
                hostworld.run_scenario(scenario, **shape)

    def test_whole_answers(self):
        """Guards against rules that fit one deployment only."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.records = hostworld.record(1)
            answer = await world.send_request('/lookup/x')
            stamps = answer.headers[wire.PART_STAMPS].split(',')
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.headers[wire.MISSING_PARTS], '0')
            self.assertEqual(len(stamps), len(world._services))

        self.play_all(scenario)

    def test_many_hosts_keep_one_connection(self):
        """Guards against a share of connections that rounds down to none."""

        async def scenario(world):
            for number in range(90):
                world.store.put(f'{wire.HOSTS_PREFIX}other-{number}', '')
            await loops.until(lambda: world.host._host_count > 90)
            answers = [await world.send_request('/lookup/x') for _ in range(3)]
            self.assertEqual(
                [answer.status for answer in answers], [200, 200, 200]
            )

        self.play_all(scenario)

    def test_lost_service_is_missing_and_counted(self):
        """Guards against coverage that counts what nobody answered."""

        async def scenario(world):
            lost = world._services[-1]
            for backend_id in list(world.backends_by_id):
                if backend_id.startswith(lost):
                    world.store.remove(f'{wire.BACKENDS_PREFIX}{backend_id}')
            await loops.until(lambda: not world.host.directory.usable(lost))
            answer = await world.send_request('/lookup/x')
            others = len(world._services) - 1
            if others == 0:
                self.assertEqual(answer.status, 503)
                self.assertEqual(world.backends_by_id['a0'].ran, [])
                return
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.headers[wire.MISSING_PARTS], '1')
            stamps = answer.headers[wire.PART_STAMPS].split(',')
            self.assertEqual(len(stamps), others)

        self.play_all(scenario)


if __name__ == '__main__':
    unittest.main()
