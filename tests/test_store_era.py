"""A store that comes back from an older copy, over real sockets."""

import contextlib
import functools
import unittest
from unittest import mock

import curio

from cardamomflow import (
    changefeed,
    directory,
    discovery,
    platformview,
    webclient,
)
from cardamomflow.platform import channel, wire
from tests import (
    hostworld,
    loops,
    test_changefeed,
    test_store_troubles,
    test_turned_away,
)

APPLY_S = 5.0
KEY = f'{wire.EVACUATION_PREFIX}z2'


class HeaderTest(unittest.TestCase):
    def era_of(self, *headers):
        return channel.era_of(webclient.Reply(200, b'', headers))

    def test_era_is_read(self):
        """Guards against a drill that no host sees."""
        self.assertEqual(self.era_of((b'store-era', b'12')), 12)

    def test_other_headers_give_no_information(self):
        """Guards against lists that are read again for a damaged header."""
        for content in (b'', b'-1', b'1.5', b'x', b'9' * 40, b'\xb2'):
            with self.subTest(content):
                header = (b'store-era', content)
                self.assertEqual(self.era_of(header), channel.NO_ERA)
        self.assertEqual(self.era_of(), channel.NO_ERA)
        self.assertEqual(
            self.era_of((b'store-era', b'1'), (b'store-era', b'2')),
            channel.NO_ERA,
        )


class PositionTest(unittest.TestCase):
    """Updates of different eras, in virtual time."""

    def setUp(self):
        self.subscription = changefeed.Subscription('h0')
        self.subscription.switch_relay('h1', 0.0)

    def receive(self, revision, era, content=b'x', *, is_complete=False):
        """Return what a host at revision 10 of era 2 applies."""
        update = test_changefeed.update(
            revision - 1 if content else revision, revision, content
        )
        self.subscription.receive(
            'h1', update._replace(era=era, is_complete=is_complete)
        )
        return self.subscription.next_update(changefeed.Position(2, 10), 0.1)

    def test_changes_of_another_era_are_not_applied(self):
        """Guards against revisions of two eras that are mixed."""
        self.assertIsNotNone(self.receive(11, 2))
        for era in (1, 3):
            with self.subTest(era):
                self.subscription.switch_relay('h1', 0.0)
                self.assertIsNone(self.receive(11, era))
                self.assertIsNone(self.subscription.relay)

    def test_lists_of_a_later_era_are_applied(self):
        """Guards against lists that each host reads from the store."""
        self.assertIsNotNone(self.receive(4, 3, is_complete=True))

    def test_lists_of_an_earlier_era_are_not_applied(self):
        """Guards against a host that goes back to lost changes."""
        self.assertIsNone(self.receive(50, 1, is_complete=True))

    def test_source_of_an_earlier_era_is_not_useful(self):
        """Guards against a source whose store is the lost one."""
        heartbeat = test_changefeed.update(99, 99, b'', confirmed_at=5.0)
        for era, expected in ((1, False), (2, True), (3, True)):
            with self.subTest(era):
                self.assertEqual(
                    changefeed.is_useful_source(
                        heartbeat._replace(era=era),
                        changefeed.Position(2, 10),
                        0.0,
                        5.0,
                    ),
                    expected,
                )


class HistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = changefeed.UpdateHistory()
        for era, revision, is_complete in (
            (1, 50, True),
            (1, 51, False),
            (2, 40, True),
            (2, 41, False),
        ):
            before = revision if is_complete else revision - 1
            update = test_changefeed.update(before, revision)
            self.history.append(
                update._replace(era=era, is_complete=is_complete)
            )

    def since(self, era, revision, **options):
        return [
            (update.revision, bool(update.content))
            for update in self.history.since(
                changefeed.Position(era, revision), **options
            )
        ]

    def test_subscriber_of_the_earlier_era_gets_all_entries(self):
        """Guards against changes of one era after lists of another."""
        expected = [(40, True), (41, True), (41, False)]
        self.assertEqual(self.since(1, 51), expected)
        self.assertEqual(self.since(1, 45), expected)

    def test_subscriber_of_this_era_gets_changes_alone(self):
        """Guards against lists that fill a link without need."""
        self.assertEqual(self.since(2, 40), [(41, True), (41, False)])
        self.assertEqual(self.since(2, 39), [(41, True), (41, False)])
        self.assertEqual(
            self.since(2, 39, wants_lists=True),
            [(40, True), (41, True), (41, False)],
        )


def position_era(parts):
    """Return the era that a host has read."""
    return parts.feed_links._position.era


async def drill(world, change=None):
    """Let the store lose what `change` writes; return when it is seen."""
    world.store.take_copy()
    if change is not None:
        await change()
    era = (world.store.era or 0) + 1
    world.store.is_down = True
    await curio.sleep(0.5)
    world.store.restore_copy()
    world.store.is_down = False
    await loops.until(lambda: world.follower._source.newest_era == era, APPLY_S)


async def start_era(world):
    """Start with a store that sends its era."""
    world.store.era = 7
    await loops.until(lambda: position_era(world.parts) == 7)


def play(scenario, **settings):
    @functools.wraps(scenario)
    async def run(world):
        await start_era(world)
        return await scenario(world)

    with mock.patch.object(discovery, 'ANNOUNCE_INTERVAL_S', 0.1):
        return hostworld.run_scenario(run, **settings)


class DrillTest(unittest.TestCase):
    """One host during a drill."""

    def test_missing_and_damaged_headers_cause_no_reads(self):
        """Guards against a fleet that reads lists for a damaged header."""

        async def scenario(world):
            calls = world.store.calls_by_kind
            before = calls['kv-range']
            world.store.era = 'damaged'
            await curio.sleep(0.5)
            world.store.era = None
            await curio.sleep(0.5)
            world.store.era = 7
            await curio.sleep(0.5)
            return calls['kv-range'] - before

        self.assertEqual(play(scenario), 0)

    def test_own_entry_is_written_again(self):
        """Guards against a host that renews a lease of the lost store."""

        async def scenario(world):
            await loops.until(lambda: test_store_troubles.is_listed(world))
            world.store.remove(test_store_troubles.OWN_KEY)
            world.store.leases.clear()
            await drill(world)
            await loops.until(lambda: test_store_troubles.is_listed(world))
            return True

        self.assertTrue(play(scenario))

    def test_lease_number_of_another_host_is_not_used(self):
        """Guards against two hosts that keep or end one lease."""

        async def scenario(world):
            await loops.until(lambda: test_store_troubles.is_listed(world))
            own = world.store.items_by_key[test_store_troubles.OWN_KEY].lease

            async def lose_entry():
                world.store.take_copy()
                world.store._copy.leases.discard(own)
                world.store._copy.items_by_key.pop(test_store_troubles.OWN_KEY)

            await drill(world, lose_entry)
            # Another host gets the number that was given out again.
            world.store.leases.add(own)
            world.store.put('hosts/other', '', own)
            await loops.until(lambda: test_store_troubles.is_listed(world))
            renewed = world.store.items_by_key[test_store_troubles.OWN_KEY]
            return renewed.lease != own

        self.assertTrue(play(scenario))

    def test_lost_version_stays_and_is_applied_when_written_again(self):
        """Guards against a host that returns to routes of the past."""

        async def scenario(world):
            async def publish():
                world.publish(5, '/search/')
                await loops.until(lambda: world.host._table.revision == 5)

            await drill(world, publish)
            world.list_backend('a0', 'a', sequence=2, state='draining')
            await loops.until(
                lambda: world.host.directory.usable('a') == ('a1',), APPLY_S
            )
            kept = world.host._table.revision
            world.publish(4, '/older/')
            world.publish(5, '/again/')
            await loops.until(
                lambda: world.host._table.find('shop.example', '/again/x'),
                APPLY_S,
            )
            return kept

        self.assertEqual(play(scenario), 5)

    def test_missing_backend_servers_are_kept_for_a_while(self):
        """Guards against refusals until entries are written again."""

        async def scenario(world):
            async def start_server():
                await world.add_backend('a9', 'a')
                await loops.until(
                    lambda: 'a9' in world.host.directory.usable('a')
                )

            await drill(world, start_server)
            await loops.until(lambda: position_era(world.parts) == 8)
            kept = 'a9' in world.host.directory.usable('a')
            await loops.until(
                lambda: 'a9' not in world.host.directory.usable('a'),
                directory.OUTAGE_GRACE_S + 2,
            )
            return kept

        self.assertTrue(play(scenario))

    def test_revisions_that_are_given_out_again_are_not_skipped(self):
        """Guards against changes that have the number of lost ones."""

        async def scenario(world):
            async def change_much():
                for number in range(50):
                    world.store.put(f'hosts/lost-{number}', '')
                await loops.until(
                    lambda: len(world.follower.view.members_by_id) > 50
                )

            await drill(world, change_much)
            for number in range(60):
                world.store.put(f'hosts/new-{number}', '')
            world.list_backend('a0', 'a', sequence=2, state='draining')
            await loops.until(
                lambda: world.host.directory.usable('a') == ('a1',), APPLY_S
            )
            members = world.follower.view.members_by_id
            return [name for name in members if name.startswith('lost')]

        self.assertEqual(play(scenario), [])

    def test_lost_evacuation_is_held(self):
        """Guards against requests to a zone whose key the store lost."""

        async def scenario(world):
            async def evacuate():
                world.store.put(KEY, '')
                await loops.until(lambda: world.host.directory.evacuated_zones)

            await drill(world, evacuate)
            await loops.until(lambda: position_era(world.parts) == 8)
            held = world.host.directory.evacuated_zones
            await loops.until(
                lambda: not world.host.directory.evacuated_zones, APPLY_S
            )
            return held

        with mock.patch.object(platformview, 'EVACUATION_HOLD_S', 1.0):
            self.assertEqual(play(scenario, zones=('z1', 'z2')), {'z2'})

    def test_requests_are_answered_throughout(self):
        """Guards against refusals before, during and after a drill."""

        async def scenario(world):
            statuses = []

            async def send_requests():
                while True:
                    answer = await world.send_request('/lookup/x')
                    statuses.append(answer.status)
                    await curio.sleep(0.02)

            async with contextlib.AsyncExitStack() as stack:
                task = await curio.spawn(send_requests)
                stack.push_async_callback(task.cancel)
                await drill(world)
                await curio.sleep(directory.OUTAGE_GRACE_S + 0.5)
            return set(statuses)

        self.assertEqual(play(scenario), {200})


class FleetDrillTest(unittest.TestCase):
    """Five hosts of a group during a drill."""

    def play(self, scenario):
        async def run(world):
            world.store.era = 1
            await loops.until(
                lambda: all(
                    position_era(parts) for parts in world.hosts_by_id.values()
                )
            )
            return await scenario(world)

        return test_turned_away.play(run)

    def test_changes_after_the_drill_are_in_force_everywhere(self):
        """Guards against hosts that stay in the lost era."""

        async def scenario(world):
            async def publish():
                world.publish(5, '/lost/')
                await world.until_in_force(5)

            await drill(world, publish)
            world.publish(6, '/after/')
            await world.until_in_force(6)

        self.play(scenario)

    def test_one_host_reads_the_lists(self):
        """Guards against a storm of reads after a drill."""

        async def scenario(world):
            before = world.store.calls_by_kind['kv-range']
            await drill(world)
            await loops.until(
                lambda: (
                    not any(
                        parts.follower._needs_lists
                        or parts.feed_links._position.era < 2
                        for parts in world.hosts_by_id.values()
                    )
                ),
                APPLY_S,
            )
            return world.store.calls_by_kind['kv-range'] - before

        # Three lists for one host, or two if they read at the same time.
        self.assertLessEqual(self.play(scenario), 6)

    def test_turned_away_hosts_follow_into_the_new_era(self):
        """Guards against a refused host that keeps the lost state."""

        async def scenario(world):
            world.turn_away(world.ranked_ids[:2], status=503)
            await drill_of_others(world)
            world.publish(6, '/after/')
            await world.until_in_force(6)

        self.play(scenario)


async def drill_of_others(world):
    """Play a drill that some hosts can't see in their own answers."""
    world.store.take_copy()
    world.publish(5, '/lost/')
    await world.until_in_force(5)
    world.store.is_down = True
    await curio.sleep(0.3)
    world.store.restore_copy()
    world.store.is_down = False


if __name__ == '__main__':
    unittest.main()
