"""A host beside a platform's store that is slow, stale, lossy or refusing."""

import functools
import unittest
from unittest import mock

import curio

from cardamomflow import directory, discovery
from cardamomflow.platform import wire
from tests import hostworld, loops

OWN_KEY = f'{wire.HOSTS_PREFIX}host-1'


def is_listed(world):
    """Tell whether the host has an entry under a lease that lives."""
    item = world.store.items_by_key.get(OWN_KEY)
    return item is not None and item.lease in world.store.leases


def has_route(world, path):
    """Tell whether a route leads from a path."""
    return world.host._table.find('shop.example', path)


async def lose_an_answer(store, kind):
    """End the host's lease, and lose an answer to what it does then."""
    store.loses_answers_of = {kind}
    store.end_lease(store.items_by_key[OWN_KEY].lease)
    calls = store.calls_by_kind[kind]
    await loops.until(lambda: store.calls_by_kind[kind] > calls)
    store.loses_answers_of = set()


class StoreTroubleTest(unittest.TestCase):
    def setUp(self):
        interval = mock.patch.object(discovery, 'ANNOUNCE_INTERVAL_S', 0.05)
        interval.start()
        self.addCleanup(interval.stop)

    def test_slow_store_is_followed(self):
        """Guards against a host that gives up on a store that is slow."""

        async def scenario(world):
            world.store.delay_s = 0.3
            world.publish(9, prefix='/search/')
            await loops.until(lambda: has_route(world, '/search/x'))
            return (await world.ask('/search/x')).status

        self.assertEqual(hostworld.play(scenario), 200)

    def test_refused_calls_change_nothing(self):
        """Guards against a host without routes after calls over the rate."""

        async def scenario(world):
            world.store.is_over_rate = True
            calls = world.store.calls_by_kind
            await loops.until(lambda: calls['kv-watch'] > 3)
            during = (await world.ask('/lookup/x')).status
            world.store.is_over_rate = False
            world.publish(9, prefix='/search/')
            await loops.until(lambda: has_route(world, '/search/x'))
            return during

        self.assertEqual(hostworld.play(scenario), 200)

    def test_refused_calls_are_not_repeated_at_once(self):
        """Guards against a fleet that keeps the store over its rate."""

        async def scenario(world):
            world.store.is_over_rate = True
            before = world.store.calls_by_kind['kv-watch']
            await curio.sleep(1)
            return world.store.calls_by_kind['kv-watch'] - before

        calls = hostworld.play(scenario)
        self.assertLess(calls, 1 / discovery.RETRY_MINIMUM_S + 2)

    def test_lost_answers_leave_one_entry(self):
        """Guards against a host that is not counted after a lost answer."""

        async def scenario(world):
            for kind in ('kv-txn', 'kv-lease', 'kv-keep'):
                await loops.until(functools.partial(is_listed, world))
                await lose_an_answer(world.store, kind)
            await loops.until(functools.partial(is_listed, world))
            return [
                key
                for key in world.store.items_by_key
                if key.startswith(wire.HOSTS_PREFIX)
            ]

        self.assertEqual(hostworld.play(scenario), [OWN_KEY])

    def test_entry_taken_away_is_listed_again(self):
        """Guards against shares of limits that leave this host out."""
        counted = []

        async def scenario(world):
            take = world.host.hosts_counted

            async def count(hosts):
                counted.append(hosts)
                await take(hosts)

            world.host.hosts_counted = count
            await loops.until(lambda: is_listed(world))
            world.store.put(f'{wire.HOSTS_PREFIX}other', '')
            await loops.until(lambda: 2 in counted)
            counted.clear()
            world.store.remove(OWN_KEY)
            await loops.until(lambda: is_listed(world) and counted)

        hostworld.play(scenario)
        self.assertEqual(set(counted), {2})

    def test_host_is_counted_after_a_lost_history(self):
        """Guards against shares that hosts which left keep for ever."""

        async def scenario(world):
            other = f'{wire.HOSTS_PREFIX}other'
            world.store.put(other, '')
            await loops.until(lambda: len(world.follower._members_by_id) == 2)
            world.store.remove(other)
            world.store.put(f'{wire.HOSTS_PREFIX}third', '')
            world.store.forget_history()
            await loops.until(
                lambda: (
                    set(world.follower._members_by_id) == {'host-1', 'third'}
                )
            )
            return True

        self.assertTrue(hostworld.play(scenario))

    def test_fleet_that_starts_costs_few_calls(self):
        """Guards against a call of each host for each other one."""

        async def scenario(world):
            calls = world.store.calls_by_kind
            before = calls['kv-watch']
            for number in range(40):
                world.store.put(f'{wire.HOSTS_PREFIX}other-{number}', '')
                await curio.sleep(0.01)
            await loops.until(lambda: len(world.follower._members_by_id) > 40)
            return calls['kv-watch'] - before

        self.assertLess(hostworld.play(scenario), 6)

    def test_lapsed_entries_are_kept_until_they_are_back(self):
        """Guards against refusals while entries that lapsed return."""

        async def scenario(world):
            world.store.is_down = True
            listed = world.host.directory
            await loops.until(
                lambda: listed._outage_until > world.host._clock()
            )
            for backend_id in ('a0', 'a1'):
                world.store.remove(f'{wire.BACKENDS_PREFIX}{backend_id}')
            world.store.is_down = False
            await curio.sleep(directory.LAPSE_HOLD_S / 2)
            during = await world.ask('/statement/x')
            for backend_id in ('a0', 'a1'):
                world.list_backend(backend_id, 'a', sequence=2)
            await curio.sleep(directory.LAPSE_HOLD_S)
            return during.status, (await world.ask('/statement/x')).status

        self.assertEqual(hostworld.play(scenario), (200, 200))

    def test_vanished_entries_are_dropped_after_the_hold(self):
        """Guards against work for backend servers that died in an outage."""

        async def scenario(world):
            world.store.is_down = True
            listed = world.host.directory
            await loops.until(
                lambda: listed._outage_until > world.host._clock()
            )
            world.store.remove(f'{wire.BACKENDS_PREFIX}a0')
            world.store.is_down = False
            await loops.until(
                lambda: world.host.directory.usable('a') == ('a1',),
                2 * directory.LAPSE_HOLD_S,
            )
            return True

        self.assertTrue(hostworld.play(scenario))


if __name__ == '__main__':
    unittest.main()
