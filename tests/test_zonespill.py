"""The choice of what leaves the availability zone, in virtual time."""

import random
import unittest
from unittest import mock

from cardamomflow import (
    directory,
    dispatching,
    events,
    extraload,
    limits,
    requeststate,
    routes,
    rules,
    settings,
    telemetry,
)
from cardamomflow.zonespill import (
    figures,
    overflow,
    overflowpolicy,
    placement,
    policy,
    traffic,
)
from tests import test_dispatching as helpers

URGENT, STANDARD, BULK = rules.Rank
TARGET_S = 0.1
FAST_S = 0.01
SLOW_S = 0.4
HOME = ('h0', 'h1')
AWAY = ('x0', 'x1', 'y0', 'y1')


def load(running, waiting=0, slots=2):
    return requeststate.Load(running, waiting, slots)


class FiguresTest(unittest.TestCase):
    def setUp(self):
        self.zone = figures.ZoneFigures()

    def test_late_report_does_not_replace_a_newer_one(self):
        """Guards against work for a full server, told by an old report."""
        self.zone.record_load('b', load(2), 1.0)
        self.zone.record_load('b', load(0), 0.5)
        self.assertEqual(self.zone.room('b', 1.1), 0)

    def test_old_report_allows_a_single_request(self):
        """Guards against a free server of long ago that gets a crowd."""
        self.zone.record_load('b', load(0, slots=50), 0.0)
        self.assertGreater(self.zone.room('b', 0.5), 1)
        later = figures.REPORT_KEPT_S + 0.1
        self.assertEqual(self.zone.room('b', later), figures.UNKNOWN_ROOM)
        self.zone.record_start('b')
        self.assertEqual(self.zone.room('b', later), 0)

    def test_refusal_is_believed_before_a_report(self):
        """Guards against a false report of a server that refuses work."""
        self.zone.record_load('b', load(0), 0.0)
        self.zone.record_refusal('b', 0.0)
        self.assertEqual(self.zone.room('b', 0.1), 0)
        self.assertGreater(self.zone.room('b', figures.REFUSED_S + 0.1), 0)

    def test_full_zone_gets_single_requests(self):
        """Guards against work that pushes a second zone over its limit."""
        for step in range(40):
            self.zone.record_load('b', load(2, 2), step / 10)
        self.assertFalse(self.zone.is_open(URGENT, 4.0))
        self.assertTrue(self.zone.is_open(URGENT, 20.0))
        self.zone.record_start('b')
        self.assertFalse(self.zone.is_open(URGENT, 20.0))

    def test_nearly_full_zone_is_left_to_urgent_work(self):
        """Guards against bulk work that takes the room of urgent work."""
        for step in range(100):
            self.zone.record_load('b', load(93, slots=100), step / 10)
        self.assertTrue(self.zone.is_open(URGENT, 9.9))
        self.assertFalse(self.zone.is_open(BULK, 9.9))

    def test_latency_without_answers_falls_to_the_lowest(self):
        """Guards against a zone that is avoided for ever once all left it."""
        for step in range(100):
            latency_s = FAST_S if step < 50 else SLOW_S
            self.zone.record_latency(URGENT, latency_s, step / 10)
        self.assertGreater(self.zone.rank_latency_s(URGENT, 10.0), 0.3)
        self.assertLess(self.zone.rank_latency_s(URGENT, 18.0), 0.1)

    def test_answer_after_the_end_is_not_counted_below_zero(self):
        """Guards against room that a repeated end seems to free."""
        self.zone.record_start('b')
        self.zone.record_end('b')
        self.zone.record_end('b')
        self.assertEqual(self.zone.in_flight, 0)


class OverflowShareTest(unittest.TestCase):
    def setUp(self):
        self.overflow = overflow.OverflowShare(overflow.ShareSettings(), 0.0)
        self.now = 0.0

    def feed(self, length_s, need_share):
        """Let 100 requests a second arrive, and return all shares."""
        shares = []
        for number in range(round(length_s * 100)):
            self.now += 0.01
            self.overflow.record_arrival(STANDARD, self.now)
            if number % 100 < need_share * 100:
                self.overflow.record_need(self.now)
            shares.append(self.overflow.share)
        return shares

    def test_short_burst_does_not_raise_it(self):
        """Guards against work that leaves for a burst of 200 ms."""
        self.feed(2, 0)
        self.assertEqual(max(self.feed(0.2, 1) + self.feed(2, 0)), 0)

    def test_lasting_need_raises_it_and_its_end_lowers_it(self):
        """Guards against work that stays away from a zone that recovered."""
        self.assertGreater(max(self.feed(3, 1)), 0.9)
        self.assertEqual(self.feed(4, 0)[-1], 0)
        self.assertFalse(self.overflow.may_spend(URGENT))

    def test_no_more_than_the_share_leaves(self):
        """Guards against all hosts of a zone that leave at once."""
        limited = overflow.ShareSettings(maximum=0.25)
        self.overflow = overflow.OverflowShare(limited, 0.0)
        self.feed(2, 1)
        left = 0
        for _ in range(400):
            self.feed(0.01, 1)
            if self.overflow.may_spend(URGENT):
                self.overflow.spend()
                left += 1
        self.assertLessEqual(left, 0.25 * 400 + overflow.MAXIMUM_CREDITS)

    def test_less_urgent_work_leaves_a_credit(self):
        """Guards against bulk work that spends what urgent work needs."""
        self.feed(2, 1)
        while self.overflow.may_spend(BULK):
            self.overflow.spend()
        self.assertTrue(self.overflow.may_spend(URGENT))


class ZoneWorld:
    """A dispatcher in zone h beside zones x and y, two servers each."""

    def __init__(self, home=HOME, away=AWAY, **sharing):
        self.directory = directory.Directory()
        for backend_id in (*home, *away):
            self.directory.update_entry(
                helpers.make_backend(
                    backend_id, 'a', availability_zone=backend_id[0]
                )
            )
        generator = random.Random(1)
        self.policy = overflowpolicy.ZonePolicy(
            'h', overflowpolicy.Settings(), generator
        )
        self.dispatcher = dispatching.Dispatcher(
            self.directory, 'h', generator, self.policy
        )
        connections = sharing.pop('connections', 8)
        self.dispatcher.apply(
            routes.RouteTable(
                1, [], {'a': connections}, routes.Limits(1, 1, 1, 1)
            )
        )
        budget = {'hosts': 1, 'extra_share': 1.0, 'extra_burst': 100} | sharing
        self.dispatcher.update_sharing(extraload.FleetBudget(**budget))
        self.now = 0.0

    def start(self, rank=URGENT, **changes):
        """Start a request and return it with the zones of its attempts."""
        fields = {'rank': rank, 'target_s': TARGET_S} | changes
        route = helpers.make_route(('a',), **fields)
        work = requeststate.Work(
            route, ('a',), None, self.now, requeststate.TimeBudget(2.0)
        )
        self.dispatcher.start(work, self.now)
        return work, self.sent()

    def sent(self):
        attempts = self.dispatcher.pop_attempts()
        for attempt in attempts:
            attempt.sent = True
        return attempts

    def answer(self, attempt, **changes):
        self.dispatcher.on_reply(attempt, helpers.reply(**changes), self.now)

    def serve(self, count, took_s, **changes):
        """Answer requests one after the other; return the zones asked."""
        zones = []
        for _ in range(count):
            _, attempts = self.start(**changes)
            self.now += took_s if attempts[0].availability_zone == 'h' else 0.01
            for attempt in attempts:
                zones.append(attempt.availability_zone)
                self.answer(attempt)
        return zones

    def make_home_slow(self):
        """Let home be too slow until work leaves."""
        self.serve(50, FAST_S)
        return self.serve(60, SLOW_S)


def zones(attempts):
    return [attempt.availability_zone for attempt in attempts]


class PlacementTest(unittest.TestCase):
    def test_without_a_policy_remote_waits_count_twice(self):
        """Guards against a changed choice where one zone is named."""
        nearest = placement.NEAR_FIRST
        self.assertEqual(nearest.cost(1.0, is_near=False), 2.0)
        self.assertEqual(nearest.cost(1.0, is_near=True), 1.0)

    def test_settings_switch_the_policy(self):
        """Guards against a policy where one zone is named or it is off."""
        host = {'id': 'i', 'region': 'r', 'availability_zone': 'h'}
        for document, is_active in (
            ({}, False),
            ({'availability_zones': ['h']}, False),
            ({'availability_zones': ['h', 'h']}, False),
            ({'availability_zones': ['h', 'x']}, True),
            (
                {
                    'availability_zones': ['h', 'x'],
                    'leave_zone': {'enabled': False},
                },
                False,
            ),
        ):
            with self.subTest(document):
                created = overflowpolicy.create(
                    {'host': host, **document}, random.Random(1)
                )
                self.assertEqual(created.is_active, is_active)

    def test_ranges_of_the_settings_are_checked(self):
        """Guards against a share above 1 or a negative time."""
        for key, bad_value in (
            ('max_share', 1.1),
            ('grow_after_ms', -1),
            ('fall_after_ms', 60_001),
            ('round_trip_ms', -1),
            ('gain_ms_per_kb', 1001),
            ('enabled', 1),
        ):
            problems = settings.check(
                {'leave_zone': {key: bad_value}}, 'host', 'test'
            )
            self.assertTrue(
                any(one.path == f'leave_zone.{key}' for one in problems), key
            )


class CalmTest(unittest.TestCase):
    def test_nothing_leaves_in_calm(self):
        """Guards against bytes between zones that nothing asks for."""
        world = ZoneWorld()
        for rank in rules.Rank:
            self.assertEqual(set(world.serve(200, FAST_S, rank=rank)), {'h'})

    def test_full_servers_at_home_are_waited_for(self):
        """Guards against work that leaves as soon as all slots are taken."""
        world = ZoneWorld(connections=1)
        world.serve(20, FAST_S)
        started = [world.start() for _ in HOME]
        waiting, attempts = world.start()
        self.assertEqual(attempts, [])
        world.now += FAST_S
        world.answer(started[0][1][0])
        self.assertEqual(zones(world.sent()), ['h'])
        self.assertFalse(waiting.subrequests[0].is_queued)

    def test_refusals_at_home_send_nothing_away(self):
        """Guards against a whole zone that leaves while it is avoided."""
        world = ZoneWorld()
        for _ in HOME:
            _, attempts = world.start(attempts=1)
            world.answer(attempts[0], status=503, not_run=True)
        self.assertEqual(zones(world.start()[1]), ['h'])


class OverflowTest(unittest.TestCase):
    def test_work_leaves_a_slow_zone_and_comes_back(self):
        """Guards against work that stays away from a zone that recovered."""
        world = ZoneWorld()
        self.assertLess({'h'}, set(world.make_home_slow()))
        changes = world.policy.pop_changes()
        self.assertEqual(changes[0].before, 0)
        for _ in range(400):
            world.now += 0.05
            world.serve(1, FAST_S)
        self.assertEqual(set(world.serve(50, FAST_S)), {'h'})
        self.assertEqual(world.policy.largest_share, 0)
        self.assertEqual(world.policy.pop_changes()[-1].share, 0)

    def test_zones_are_drawn_by_their_room(self):
        """Guards against hosts that all leave for the same zone."""
        world = ZoneWorld()
        away = [zone for zone in world.make_home_slow() if zone != 'h']
        for zone in ('x', 'y'):
            self.assertGreater(away.count(zone), len(away) / 5)

    def test_nothing_leaves_for_a_zone_that_is_as_slow(self):
        """Guards against bytes that gain no time when all are slow."""
        world = ZoneWorld()
        world.serve(50, FAST_S)
        found = []
        for _ in range(60):
            _, attempts = world.start()
            world.now += SLOW_S
            for attempt in attempts:
                found.append(attempt.availability_zone)
                world.answer(attempt)
        # Single requests find out whether the other zones have recovered.
        self.assertGreater(found[-40:].count('h'), 36)

    def test_bulk_waits_at_home_until_its_deadline(self):
        """Guards against bytes for bulk work that has time."""
        world = ZoneWorld()
        world.serve(50, FAST_S, rank=BULK)
        self.assertEqual(set(world.serve(60, SLOW_S, rank=BULK)), {'h'})

    def test_bulk_makes_room_for_urgent_work(self):
        """Guards against bulk work that keeps urgent work from home."""
        world = ZoneWorld()
        world.make_home_slow()
        found = []
        for _ in range(20):
            world.serve(1, SLOW_S)
            found.extend(world.serve(1, FAST_S, rank=BULK))
        self.assertTrue(set(found) - {'h'})
        # Without urgent work in need, bulk work has time until its deadline.
        world.now += 1.0
        self.assertEqual(set(world.serve(5, FAST_S, rank=BULK)), {'h'})

    def test_costly_answers_stay(self):
        """Guards against bytes that cost more than the time they gain."""
        world = ZoneWorld()
        world.serve(50, FAST_S)
        big = bytes(1 << 20)
        for _ in range(60):
            _, attempts = world.start()
            world.now += SLOW_S
            for attempt in attempts:
                self.assertEqual(attempt.availability_zone, 'h')
                world.answer(attempt, body=big)


class LoneServerTest(unittest.TestCase):
    """A zone with one backend server of the service."""

    def test_nothing_leaves_while_it_is_fast(self):
        """Guards against bytes between zones that gain callers nothing."""
        world = ZoneWorld(home=('h0',))
        for rank in rules.Rank:
            self.assertEqual(set(world.serve(200, FAST_S, rank=rank)), {'h'})

    def test_work_passes_a_pause(self):
        """Guards against requests that all wait for a server that pauses."""
        for rank in rules.Rank:
            world = ZoneWorld(home=('h0',))
            world.serve(50, FAST_S, rank=rank)
            self.assertEqual(zones(world.start(rank=rank)[1]), ['h'])
            world.now += 0.06
            with self.subTest(rank):
                self.assertNotEqual(zones(world.start(rank=rank)[1]), ['h'])

    def test_work_does_not_wait_for_its_only_place(self):
        """Guards against a queue at home beside free servers elsewhere."""
        world = ZoneWorld(home=('h0',), connections=1)
        world.serve(20, FAST_S, rank=STANDARD)
        world.start(rank=STANDARD)
        found = zones(world.start(rank=STANDARD)[1])
        self.assertEqual(len(found), 1)
        self.assertNotEqual(found, ['h'])

    def test_bulk_is_kept_out_of_full_zones(self):
        """Guards against bulk work that pushes a second zone over its limit."""
        world = ZoneWorld(home=('h0',), connections=1)
        world.serve(20, FAST_S, rank=BULK)
        world.start(rank=BULK)
        state = world.policy._services_by_name['a']
        for backend_id in AWAY:
            for _ in range(40):
                state.figures(backend_id[0]).record_load(
                    backend_id, load(2, 2), world.now
                )
        self.assertEqual(world.start(rank=BULK)[1], [])

    def test_repeat_at_one_of_two_servers_is_not_meant(self):
        """Guards against repeats that cross zones where a server is left."""
        world = ZoneWorld()
        world.serve(20, FAST_S)
        _, attempts = world.start()
        world.now += 0.09
        world.answer(attempts[0], status=500, stamp=None)
        self.assertEqual(zones(world.sent()), ['h'])


class BesideTest(unittest.TestCase):
    """The policy beside what else decides where an attempt goes."""

    def test_hedge_stays_at_home_while_a_server_is_left(self):
        """Guards against hedges that cross zones in calm."""
        world = ZoneWorld()
        world.serve(20, FAST_S)
        work, attempts = world.start()
        world.now += 0.09
        world.dispatcher.tick(work, world.now)
        (hedge,) = world.sent()
        self.assertEqual(hedge.availability_zone, 'h')
        self.assertNotEqual(hedge.backend_id, attempts[0].backend_id)

    def test_hedge_stays_at_home_while_work_leaves(self):
        """Guards against hedges that spend the credits of first attempts."""
        world = ZoneWorld()
        world.make_home_slow()
        (state,) = world.policy._services_by_name.values()
        for _ in range(20):
            work, attempts = world.start()
            state.overflow._credits = overflow.MAXIMUM_CREDITS
            world.now += 0.09
            world.dispatcher.tick(work, world.now)
            hedges = world.sent()
            self.assertLessEqual(set(zones(hedges)), {'h'})
            for attempt in (*attempts, *hedges):
                world.answer(attempt)

    def test_hedge_of_the_last_server_leaves(self):
        """Guards against a straggler that nothing can pass."""
        world = ZoneWorld(home=('h0',))
        world.serve(20, FAST_S)
        work, _ = world.start()
        world.now += 0.09
        world.dispatcher.tick(work, world.now)
        (hedge,) = world.sent()
        self.assertNotEqual(hedge.availability_zone, 'h')

    def test_repeat_stays_at_home_while_a_server_is_left(self):
        """Guards against repeats that cross zones."""
        world = ZoneWorld()
        world.serve(20, FAST_S)
        _, attempts = world.start()
        world.answer(attempts[0], status=500, stamp=None)
        self.assertEqual(zones(world.sent()), ['h'])

    def test_repeat_without_budget_does_not_leave(self):
        """Guards against another zone as a way around the retry budget."""
        world = ZoneWorld(home=('h0',), extra_share=0.0, extra_burst=1)
        sent = 0
        for _ in range(10):
            _, attempts = world.start()
            world.answer(attempts[0], status=500, stamp=None)
            sent += len(world.sent())
        self.assertLessEqual(sent, 1)

    def test_hedge_that_waits_spends_no_budget(self):
        """Guards against budget for a hedge that is not sent."""
        world = ZoneWorld(connections=1, extra_share=0.0, extra_burst=1)
        work, _ = world.start()
        world.start()
        world.now += 0.09
        world.dispatcher.tick(work, world.now)
        self.assertEqual(world.sent(), [])
        budget = world.dispatcher._budgets.for_service('a')
        self.assertTrue(budget.withdraw())

    def test_urgent_rank_is_served_before_others(self):
        """Guards against bulk work that takes the first free slot."""
        world = ZoneWorld(connections=1)
        world.serve(20, FAST_S)
        started = [world.start() for _ in HOME]
        world.start(rank=BULK)
        urgent, _ = world.start()
        world.now += FAST_S
        world.answer(started[0][1][0])
        (attempt,) = world.sent()
        self.assertIs(attempt.subrequest.work, urgent)

    def test_connection_limit_holds_in_other_zones(self):
        """Guards against more connections than a server accepts."""
        world = ZoneWorld(home=(), connections=1)
        sent = [zones(world.start()[1]) for _ in range(len(AWAY) + 1)]
        self.assertEqual(sent[-1], [])
        self.assertEqual(sum(map(len, sent)), len(AWAY))

    def test_paused_home_servers_count_as_missing(self):
        """Guards against requests that fail while another zone serves."""
        world = ZoneWorld()
        world.serve(5, FAST_S)
        for _ in HOME:
            _, attempts = world.start(attempts=1)
            world.answer(attempts[0], status=503, not_run=True, pause_s=1.0)
            world.sent()
        found = zones(world.start()[1])
        self.assertEqual(len(found), 1)
        self.assertNotEqual(found, ['h'])
        world.now += 3.0
        self.assertEqual(zones(world.start()[1]), ['h'])

    def test_zone_without_usable_servers_is_left(self):
        """Guards against an evacuated zone that gets work or fails it.

        Leaving and evacuated servers are not usable in the directory; cold
        ones without capacity have no free place.
        """
        world = ZoneWorld()
        world.serve(20, FAST_S)
        for backend_id in HOME:
            change = world.directory.update_entry(
                helpers.make_backend(
                    backend_id, 'a', availability_zone='h', leaving=True
                )
            )
            world.dispatcher.on_directory_changes([change], world.now)
        found = set(world.serve(40, FAST_S))
        self.assertEqual(found, {'x', 'y'})

    def test_other_zone_without_usable_servers_gets_nothing(self):
        """Guards against overflow into an evacuated zone."""
        world = ZoneWorld(away=('x0', 'x1'))
        world.serve(50, FAST_S)
        for backend_id in ('x0', 'x1'):
            change = world.directory.remove_entry(backend_id, world.now)
            world.dispatcher.on_directory_changes([change], world.now)
        self.assertEqual(set(world.serve(60, SLOW_S)), {'h'})

    def test_queue_counts_end_with_the_queue(self):
        """Guards against waits that grow with requests that left the queue."""
        world = ZoneWorld(connections=1)
        started = [world.start(rank=BULK) for _ in range(5)]
        attempts = [one for _, sent in started for one in sent]
        while attempts:
            world.now += FAST_S
            world.answer(attempts.pop())
            attempts.extend(world.sent())
        (state,) = world.policy._services_by_name.values()
        self.assertEqual(set(state.queued_by_rank.values()), {0})

    def test_cancelled_and_failed_attempts_end(self):
        """Guards against calls that seem to be in flight for ever."""
        world = ZoneWorld()
        first = world.start(attempts=1)[1][0]
        world.dispatcher.on_cancellation(first, world.now)
        second = world.start(attempts=1)[1][0]
        world.dispatcher.on_failure(
            second, limits.CallOutcome.TIMEOUT, world.now
        )
        (state,) = world.policy._services_by_name.values()
        self.assertEqual(state.figures('h').in_flight, 0)

    def test_services_that_no_route_names_are_dropped(self):
        """Guards against figures of all services that ever were."""
        world = ZoneWorld()
        world.serve(1, FAST_S)
        world.policy.retain(set())
        self.assertEqual(world.policy.shares_by_service(), {})


class ZoneTrafficTest(unittest.TestCase):
    def setUp(self):
        self.world = ZoneWorld()
        self.metrics = telemetry.Metrics()
        self.journal = mock.Mock()

    def create(self, named):
        settings_document = {
            'host': {'availability_zone': 'h'},
            'availability_zones': named,
        }
        return traffic.ZoneTraffic(
            mock.Mock(
                metrics=self.metrics,
                journal=self.journal,
                settings=settings_document,
            ),
            self.world.policy,
        )

    def test_pairs_are_bounded(self):
        """Guards against a metric for each zone that an entry names."""
        counted = self.create(['h', 'x.1'])
        for zone in ('h', 'x.1', 'unknown', 'unheard-of'):
            attempt = mock.Mock(availability_zone=zone)
            counted.record_attempt(attempt)
            counted.record_answer(attempt, helpers.reply())
        page = self.metrics.render().decode()
        self.assertIn('host_zone_attempts_total{pair="h>x_1"} 1.0', page)
        self.assertIn('host_zone_attempts_total{pair="h>other"} 2.0', page)
        self.assertIn('host_zone_answer_bytes_total{pair="h>x_1"} 16.0', page)
        self.assertNotIn('h>h', page)

    def test_changed_share_has_one_line(self):
        """Guards against a share that grows unseen, or a line a request."""
        counted = self.create(['h', 'x'])
        self.world.make_home_slow()
        for _ in range(3):
            counted.report_changes()
        lines = self.journal.info.call_args_list
        self.assertLessEqual(len(lines), 1 / overflowpolicy.LOGGED_CHANGE + 1)
        self.assertEqual(lines[0].args, (events.Event.ZONE_SHARE,))
        self.assertEqual(lines[0].kwargs['before'], 0)
        self.assertIn('host_zone_share', self.metrics.render().decode())


class NearestZoneTest(unittest.TestCase):
    def test_all_zones_are_compared(self):
        """Guards against a zone that hosts without the policy exclude."""
        choice = policy.NEAREST.decide(
            policy.Query('a', URGENT, 1, 2),
            {'h': ['h0'], 'x': ['x0']},
            0.0,
            has_home=True,
        )
        self.assertEqual(choice.backend_ids, ['h0', 'x0'])
