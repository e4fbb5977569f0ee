"""Hosts that the store turns away while it serves others, over real sockets."""

import random
import unittest
from unittest import mock

import curio

from cardamomflow import (
    changefeed,
    context,
    directory,
    discovery,
    errors,
)
from standins import users
from tests import (
    hostworld,
    loops,
    test_feedlinks,
    test_following,
    test_peering,
)

# Time within which a change is in force, and the part of it that tests leave
# to busy machines.
CONFIG_APPLY_S = 5.0
MARGIN_S = 1.0
HOSTS = 5


class TurnedAwayWorld(hostworld.HostWorld):
    """Hosts of one zone, each with a way of its own to the store."""

    def __init__(self):
        super().__init__(('a', 'b'), peers=test_peering.reserve_address())
        self.doors_by_id = {
            f'host-{number}': users.StoreDoor(self.store)
            for number in range(1, HOSTS + 1)
        }

    async def __aenter__(self):
        for door in self.doors_by_id.values():
            await self._serve(door)
        await super().__aenter__()
        self.hosts_by_id = {'host-1': self.parts}
        for host_id in list(self.doors_by_id)[1:]:
            self.hosts_by_id[host_id] = await self.add_host(
                host_id, peers=test_peering.reserve_address()
            )
        self.ranked_ids = sorted(self.hosts_by_id, key=test_peering.relay_rank)
        await self.until_listed()
        if not self.zones_by_host:
            await loops.until(self.is_settled, limit_s=30)
        return self

    def store_port_of(self, host_id):
        return self.doors_by_id[host_id].port

    def relays_by_id(self):
        return {
            host_id: parts.feed_links.relay
            for host_id, parts in self.hosts_by_id.items()
        }

    async def until_listed(self):
        """Wait until every host knows the others."""
        await loops.until(
            lambda: all(
                len(parts.follower.view.members_by_id) == len(self.hosts_by_id)
                for parts in self.hosts_by_id.values()
            ),
            limit_s=30,
        )

    def is_settled(self):
        """Return whether all hosts follow the first one by rank."""
        first, *others = self.ranked_ids
        expected = {first: None, **dict.fromkeys(others, first)}
        return self.relays_by_id() == expected

    async def until_settled_for(self, span_s):
        """Wait until all hosts have followed the first one for a time.

        A group that has just started may change its relay once more.
        """
        async with curio.timeout_after(20):
            settled_s = 0
            while settled_s < span_s:
                await curio.sleep(0.1)
                settled_s = settled_s + 0.1 if self.is_settled() else 0

    def has_revision(self, host_id, revision):
        table = self.hosts_by_id[host_id].host._table
        return table.revision == revision

    async def until_in_force(self, revision):
        await loops.until(
            lambda: all(
                self.has_revision(host_id, revision)
                for host_id in self.hosts_by_id
            ),
            limit_s=CONFIG_APPLY_S - MARGIN_S,
        )

    def watch_count(self, host_ids):
        """Return how often hosts have watched the store."""
        return sum(
            self.doors_by_id[host_id].calls_by_kind['kv-watch']
            for host_id in host_ids
        )

    def totals(self):
        """Return the probes, watches and dials of all hosts so far."""
        metrics = [
            parts.host._metrics.totals_by_name
            for parts in self.hosts_by_id.values()
        ]
        return (
            sum(totals['host.feed_probes'] for totals in metrics),
            self.watch_count(self.hosts_by_id),
            sum(totals['link.connect_failed'] for totals in metrics),
        )

    def turn_away(self, host_ids, **fault):
        for host_id in host_ids:
            for name, setting in fault.items():
                setattr(self.doors_by_id[host_id], name, setting)

    def serve_again(self):
        for door in self.doors_by_id.values():
            door.serve_again()


class SmallZonesWorld(TurnedAwayWorld):
    """Hosts of zones that are too small for a relay of their own."""

    zones_by_host = {
        f'host-{number}': f'z{number % 3}' for number in range(1, HOSTS + 1)
    }


def source_of(world, host_id):
    """Return the relay outside of a host's zone; the neighbour may be between.

    None if there is no such relay.
    """
    relays_by_id = world.relays_by_id()
    zone = world.zones_by_host[host_id]
    relay = relays_by_id[host_id]
    if world.zones_by_host.get(relay) == zone:
        relay = relays_by_id[relay]
    return relay


def play(scenario, world=TurnedAwayWorld):
    with (
        mock.patch.object(discovery, 'ANNOUNCE_INTERVAL_S', 0.1),
        mock.patch.object(loops, 'TIME_LIMIT_S', 60),
    ):
        return hostworld.run_scenario(scenario, world)


class CallCauses:
    """Counts the watches of one host that a usual relay makes needless.

    A host that loses its relay for a moment, as on a busy machine, may call
    the store. It must not begin to while it has a relay.

    Attributes
    ----------
    needless_calls : int
        Watches that began and were made while the host had its usual relay.
    """

    def __init__(self, parts):
        self.needless_calls = 0
        self._peers = parts.feed_links
        self._source = parts.follower._source
        self._start_attempt = parts.follower._start_attempt
        self._watch = self._source.watch
        self._had_relay = False
        parts.follower._start_attempt = self.start_attempt
        self._source.watch = self.watch

    async def start_attempt(self, position):
        self._had_relay = self._peers.has_usual_relay
        return await self._start_attempt(position)

    async def watch(self, revision, wait_s):
        if self._had_relay and self._peers.has_usual_relay:
            self.needless_calls += 1
        return await self._watch(revision, wait_s)


class RefusingSource(test_following.Source):
    """Refuses all calls, and counts them."""

    def __init__(self):
        super().__init__()
        self.calls = 0

    async def watch(self, revision, wait_s):
        self.calls += 1
        raise errors.PlatformUnavailable('refused')


class RefusedHostTest(unittest.TestCase):
    """A refused host with a served relay, over links in virtual time."""

    def follow(self, steps):
        """Return the calls until the host has its relay, and all calls."""
        world = test_feedlinks.FeedWorld()
        source = RefusingSource()
        follower = discovery.Follower(
            source,
            directory.Directory(),
            test_following.Listener(),
            world.subscriber,
            context.create(
                users.host_settings('h9', 'z1', 1, log={'level': 'error'})
            )._replace(clock=world.clock),
        )
        follower._is_turned_away = True
        calls_before = []

        async def follow():
            position = changefeed.Position(0, world.revision)
            while True:
                try:
                    position = await follower._apply_next(position)
                except errors.FlowError:
                    follower._record_failed_call()

        async def scenario():
            await world.publish()
            # What the host read itself before the store refused it.
            await world.subscriber.publish(
                changefeed.Update(
                    world.revision, world.revision, b'', world.clock.now - 2, 0
                )
            )
            task = await curio.spawn(follow)
            for number in range(steps):
                await world.advance(number, changed=number % 7 == 0)
                await curio.sleep(0)
                if not (calls_before or follower._is_turned_away):
                    calls_before.append(source.calls)
            await task.cancel()
            await follower._cancel_attempt()

        # Without pauses, which would take real time.
        with mock.patch.object(follower, '_retry_pause_s', return_value=0):
            loops.run(scenario)
        self.assertEqual(world.subscriber.relay, world.relay_id)
        self.assertEqual(world.subscriber._position.revision, world.revision)
        self.assertTrue(calls_before)
        return calls_before[0], source.calls

    def test_host_with_a_usual_relay_makes_no_calls(self):
        """Guards against calls of refused hosts that need none.

        The host follows its relay for 1,000 steps of 0.1 s.
        """
        before, total = self.follow(1000)
        self.assertEqual(total, before)


FAULTS = (
    {'status': 503},
    {'status': 429},
    {'resets': True},
    {'is_silent': True},
)


class TurnedAwayTest(unittest.TestCase):
    def check_change_is_in_force(self, chosen_ids, fault):
        async def scenario(world):
            world.turn_away(chosen_ids(world.ranked_ids), **fault)
            world.publish(2, '/search/')
            await world.until_in_force(2)
            # The next change comes while the hosts are turned away.
            await curio.sleep(1)
            world.publish(3, '/third/')
            await world.until_in_force(3)
            return True

        self.assertTrue(play(scenario))

    def test_first_host_by_rank_learns_changes(self):
        """Guards against a host that only asks the store that refuses it."""
        for fault in FAULTS:
            with self.subTest(**fault):
                self.check_change_is_in_force(lambda ranked: ranked[:1], fault)

    def test_most_hosts_learn_changes_from_the_last_one(self):
        """Guards against hosts that ask only others that are turned away."""
        for fault in FAULTS:
            with self.subTest(**fault):
                self.check_change_is_in_force(lambda ranked: ranked[:-1], fault)

    def test_random_hosts_learn_changes(self):
        """Guards against a set of turned-away hosts that was not thought of."""
        generator = random.Random(20261206)

        def choose(ranked_ids):
            return generator.sample(ranked_ids, 3)

        for fault in FAULTS:
            with self.subTest(**fault):
                self.check_change_is_in_force(choose, fault)

    def test_host_without_history_learns_changes(self):
        """Guards against a host that asks no other after a 410."""

        async def scenario(world):
            refused_id = world.ranked_ids[0]
            parts = world.hosts_by_id[refused_id]
            world.turn_away([refused_id], status=410)
            await loops.until(lambda: parts.follower._needs_lists, limit_s=5)
            world.turn_away([refused_id], status=503)
            world.publish(2, '/search/')
            await world.until_in_force(2)
            return True

        self.assertTrue(play(scenario))

    def test_removed_backend_server_is_dropped(self):
        """Guards against requests to servers that stopped long ago.

        A host whose calls fail keeps entries that vanish, as they may have
        expired in an outage. With the feed of another host it must not.
        """

        async def scenario(world):
            refused_id = world.ranked_ids[0]
            world.turn_away([refused_id], status=503)
            parts = world.hosts_by_id[refused_id]
            await loops.until(lambda: parts.feed_links.relay, limit_s=5)
            world.store.remove('servers/a0')
            await loops.until(
                lambda: parts.host.directory.usable('a') == ('a1',), limit_s=5
            )
            return True

        self.assertTrue(play(scenario))

    def test_recovered_host_is_the_relay_again(self):
        """Guards against groups that stay split after the store recovers."""

        async def scenario(world):
            world.turn_away(world.ranked_ids[:2], status=503)
            world.publish(2, '/search/')
            await world.until_in_force(2)
            world.serve_again()
            await loops.until(world.is_settled, changefeed.AVOIDED_S + 5)
            world.publish(3, '/third/')
            await world.until_in_force(3)
            return True

        self.assertTrue(play(scenario))

    def test_host_with_a_usual_relay_makes_no_calls(self):
        """Guards against calls of refused hosts that need none."""

        async def scenario(world):
            refused_ids = world.ranked_ids[2:]
            world.turn_away(refused_ids, status=503)
            world.turn_away(world.ranked_ids[:1], is_silent=True)
            await loops.until(
                lambda: all(
                    world.relays_by_id()[host_id] == world.ranked_ids[1]
                    for host_id in refused_ids
                ),
                limit_s=30,
            )
            calls = [
                CallCauses(world.hosts_by_id[host_id])
                for host_id in refused_ids
            ]
            await curio.sleep(5)
            return [found.needless_calls for found in calls]

        self.assertEqual(set(play(scenario)), {0})

    def test_outage_for_all_hosts_causes_few_messages(self):
        """Guards against a storm of calls and messages in an outage."""
        span_s = 4.0

        async def scenario(world):
            world.turn_away(world.hosts_by_id, status=503)
            await curio.sleep(changefeed.MAX_AGE_S + 1)
            before = world.totals()
            await curio.sleep(span_s)
            return [
                (after - earlier) / span_s / HOSTS
                for earlier, after in zip(before, world.totals(), strict=True)
            ]

        probes, watches, dials = play(scenario)
        self.assertLessEqual(
            probes, changefeed.PROBES_PER_ROUND / changefeed.PROBE_INTERVAL_S
        )
        # One host of the group retries at once, the others rarely.
        mean_retry_s = (
            discovery.RETRY_MINIMUM_S + discovery.RETRY_MAXIMUM_S
        ) / 2
        most = 1 / mean_retry_s + (HOSTS - 1) / discovery.GROUP_RETRY_MINIMUM_S
        self.assertLessEqual(watches * HOSTS, 1.2 * most)
        self.assertEqual(dials, 0)

    def test_host_of_a_small_zone_learns_changes_from_other_zones(self):
        """Guards against a host that asks nobody as its zone is too small."""

        async def scenario(world):
            refused = world.hosts_by_id['host-1']
            # All hosts of the zone.
            world.turn_away(['host-1', 'host-4'], **fault)
            world.publish(2, '/search/')
            await world.until_in_force(2)
            await curio.sleep(1)
            world.publish(3, '/third/')
            await world.until_in_force(3)
            source_before = source_of(world, 'host-1')
            world.serve_again()
            await loops.until(
                lambda: refused.feed_links.relay is None, limit_s=5
            )
            return source_before

        for fault in FAULTS:
            with self.subTest(**fault):
                source = play(scenario, SmallZonesWorld)
                zones_by_host = SmallZonesWorld.zones_by_host
                self.assertNotEqual(
                    zones_by_host.get(source, 'z1'), zones_by_host['host-1']
                )

    def test_host_of_a_small_zone_learns_changes_from_its_neighbour(self):
        """Guards against a host that asks far hosts only."""

        async def scenario(world):
            refused_ids = world.hosts_by_id.keys() - {'host-4'}
            world.turn_away(refused_ids, **fault)
            world.publish(2, '/search/')
            await world.until_in_force(2)
            return True

        for fault in FAULTS:
            with self.subTest(**fault):
                self.assertTrue(play(scenario, SmallZonesWorld))

    def test_outage_for_small_zones_causes_few_messages(self):
        """Guards against hosts that dial each other again and again."""
        span_s = 4.0

        async def scenario(world):
            world.turn_away(world.hosts_by_id, status=503)
            await curio.sleep(changefeed.MAX_AGE_S + 1)
            before = world.totals()
            await curio.sleep(span_s)
            after = world.totals()
            return (after[0] - before[0]) / span_s / HOSTS, after[2] - before[2]

        probes, failed_dials = play(scenario, SmallZonesWorld)
        self.assertLessEqual(
            probes, changefeed.PROBES_PER_ROUND / changefeed.PROBE_INTERVAL_S
        )
        self.assertEqual(failed_dials, 0)

    def test_single_failed_call_replaces_no_relay(self):
        """Guards against a group that moves at each failed call."""

        async def scenario(world):
            first_id = world.ranked_ids[0]
            await world.until_settled_for(1.5)
            world.turn_away([first_id], status=503)
            door = world.doors_by_id[first_id]
            failing = world.hosts_by_id[first_id].feed_links
            await loops.until(lambda: failing._failing_since, limit_s=5)
            door.serve_again()
            moved = set()
            for _ in range(20):
                moved.add(world.is_settled())
                await curio.sleep(0.1)
            return moved

        self.assertEqual(play(scenario), {True})


if __name__ == '__main__':
    unittest.main()
