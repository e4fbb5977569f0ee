"""Choice of backend servers for requests, in virtual time."""

import random
import unittest

from cardamomflow import (
    directory,
    dispatching,
    extraload,
    limits,
    register,
    requeststate,
    routes,
    rules,
)

RECORD = bytes(range(16))


def make_route(shards=('a', 'b'), **changes):
    fields = {
        'name': 'lookup',
        'host': 'h',
        'prefix': '/p/',
        'shards': tuple(shards),
        'shares': (),
        'repeatable': True,
        'attempts': 2,
        'timeout_s': 2.0,
        'target_s': 0.1,
        'rank': rules.Rank.URGENT,
        'limit': 10,
        'minimum_share': 0.5,
    }
    fields.update(changes)
    return routes.Route(**fields)


def make_payment(**changes):
    return make_route(
        shards=(),
        shares=(routes.ServiceShare('a', 1),),
        repeatable=False,
        target_s=1.0,
        **changes,
    )


def make_backend(backend_id, service, **changes):
    backend = register.Backend(
        backend_id, service, 'z1', '10.0.0.1', 80, '', leaving=False
    )
    return backend._replace(**changes)


def reply(status=200, stamp='s', **changes):
    fields = {
        'status': status,
        'headers': [],
        'body': RECORD,
        'stamp': stamp,
        'not_run': False,
        'misdirected': False,
        'load': None,
    }
    fields.update(changes)
    return requeststate.Reply(**fields)


class World:
    """A dispatcher with two backend servers for each service."""

    def __init__(self, services=('a', 'b'), replicas=2, **sharing):
        self.services = services
        self.directory = directory.Directory()
        for service in services:
            for number in range(replicas):
                self.directory.update_entry(
                    make_backend(f'{service}{number}', service)
                )
        self.dispatcher = dispatching.Dispatcher(
            self.directory, 'z1', random.Random(1)
        )
        self.dispatcher.apply(
            routes.RouteTable(
                1,
                [],
                dict.fromkeys(services, sharing.pop('connections', 8)),
                routes.Limits(1, 1, 1, 1),
            )
        )
        defaults = {'hosts': 1, 'extra_share': 1.0, 'extra_burst': 100}
        self.dispatcher.update_sharing(
            extraload.FleetBudget(**(defaults | sharing))
        )

    def start(self, route, timeout_s=2.0, now=0.0):
        work = requeststate.Work(
            route,
            route.services(random.Random(1)),
            None,
            now,
            requeststate.TimeBudget(timeout_s),
        )
        self.dispatcher.start(work, now)
        return work

    def send_attempts(self):
        """Return the new attempts and mark them as sent."""
        attempts = self.dispatcher.pop_attempts()
        for attempt in attempts:
            attempt.sent = True
        return attempts

    def fill_retry_budget(self, requests):
        """Complete requests, which add tokens to the retry budget."""
        for _ in range(requests):
            self.start(make_route(self.services))
            for attempt in self.send_attempts():
                self.dispatcher.on_reply(attempt, reply(), 0.0)


class QueueTest(unittest.TestCase):
    def test_queued_request_without_backend_servers_is_reported(self):
        """Guards against a refusal that waits for the deadline."""
        world = World(('a',), replicas=1, connections=1)
        world.start(make_route(('a',)))
        queued = world.start(make_route(('a',)))
        (change,) = world.directory.remove_unlisted(set(), 0)
        world.dispatcher.on_directory_changes([change], 0.1)
        self.assertTrue(queued.is_finished(0.1))
        self.assertIn(queued, world.dispatcher.queues.pop_refused())


class WorkTest(unittest.TestCase):
    def test_whole_answer_ends_at_once(self):
        """Guards against a request that waits although it has all parts."""
        world = World()
        work = world.start(make_route())
        for attempt in world.send_attempts():
            self.assertFalse(work.is_finished(0.01))
            world.dispatcher.on_reply(attempt, reply(), 0.01)
        self.assertTrue(work.is_finished(0.01))
        self.assertIs(work.end(), requeststate.Ending.ANSWERED)
        self.assertEqual(len(work.parts()), 2)

    def test_partial_answer_leaves_at_the_target(self):
        """Guards against one slow server that makes a caller wait."""
        world = World()
        work = world.start(make_route())
        world.dispatcher.on_reply(world.send_attempts()[0], reply(), 0.01)
        self.assertFalse(work.is_finished(0.05))
        self.assertTrue(work.is_finished(work.answer_at))
        self.assertLess(work.answer_at, 0.1)
        self.assertIs(work.end(), requeststate.Ending.ANSWERED)

    def test_answer_below_the_minimum_share_waits(self):
        """Guards against a success that covers less than is allowed."""
        world = World(('a', 'b', 'c'))
        work = world.start(make_route('abc', minimum_share=0.6))
        first, second, _ = world.send_attempts()
        world.dispatcher.on_reply(first, reply(), 0.01)
        self.assertFalse(work.is_finished(1.0))
        world.dispatcher.on_reply(second, reply(), 1.0)
        self.assertTrue(work.is_finished(1.0))

    def test_request_that_cannot_succeed_ends_at_once(self):
        """Guards against a wait until the deadline when no part can arrive."""
        world = World(replicas=0)
        work = world.start(make_route())
        self.assertTrue(work.is_finished(0.0))
        self.assertIs(work.end(), requeststate.Ending.NOT_RUN)

    def test_sent_request_is_never_called_not_run(self):
        """Guards against "not run" for a request that runs later.

        During a network partition the request was written to a connection. It
        reached the backend server after the caller received "not run".
        """
        world = World()
        work = world.start(make_payment())
        world.send_attempts()
        self.assertTrue(work.is_finished(work.deadline))
        self.assertIs(work.end(), requeststate.Ending.LATE)

    def test_unsent_request_is_not_run(self):
        """Guards against an unknown outcome for a request that was not sent."""
        world = World()
        work = world.start(make_payment())
        world.dispatcher.pop_attempts()
        self.assertIs(work.end(), requeststate.Ending.NOT_RUN)

    def test_merge_takes_the_greatest_records_of_all_parts(self):
        """Guards against wrong order, lost duplicates and cut records."""
        low, high = bytes(16), b'\xff' * 16
        parts = [reply(body=b''.join((low, high, b'rest'))), reply(body=high)]
        self.assertEqual(
            requeststate.merge(parts, 3), b''.join((high, high, low))
        )
        self.assertEqual(requeststate.merge(parts, 1), high)


class RepeatTest(unittest.TestCase):
    def test_failed_part_goes_to_another_backend_server(self):
        """Guards against a lost part although another replica is available."""
        world = World(('a',))
        work = world.start(make_route('a'))
        (first,) = world.send_attempts()
        world.dispatcher.on_failure(first, limits.CallOutcome.FAILED, 0.01)
        (second,) = world.send_attempts()
        self.assertNotEqual(first.backend_id, second.backend_id)
        world.dispatcher.on_reply(second, reply(), 0.02)
        self.assertIs(work.end(), requeststate.Ending.ANSWERED)

    def test_no_more_backend_servers_than_the_route_allows(self):
        """Guards against more attempts than the operators allow."""
        world = World(('a',), replicas=5)
        work = world.start(make_route('a'))
        sent = world.send_attempts()
        while sent:
            world.dispatcher.on_failure(
                sent[0], limits.CallOutcome.FAILED, 0.01
            )
            sent = world.send_attempts()
        self.assertEqual(len(work.subrequests[0].attempted_ids), 2)
        self.assertIs(work.end(), requeststate.Ending.FAILED)

    def test_work_that_may_have_run_is_not_repeated(self):
        """Guards against a payment that is made twice."""
        world = World(('a',))
        work = world.start(make_payment())
        (first,) = world.send_attempts()
        world.dispatcher.on_failure(first, limits.CallOutcome.FAILED, 0.01)
        self.assertEqual(world.send_attempts(), [])
        self.assertTrue(work.is_finished(0.01))
        self.assertIs(work.end(), requeststate.Ending.FAILED)

    def test_work_that_was_refused_is_repeated(self):
        """Guards against a payment lost to one full backend server."""
        world = World(('a',))
        world.start(make_payment())
        (first,) = world.send_attempts()
        world.dispatcher.on_reply(first, reply(503, not_run=True), 0.01)
        self.assertEqual(len(world.send_attempts()), 1)

    def test_full_backend_server_is_avoided_for_a_while(self):
        """Guards against refusals that use up the retry budget."""
        world = World(('a',), extra_share=0, extra_burst=0)
        first = None
        for number in range(20):
            work = world.start(make_payment(), now=number / 1000)
            (attempt,) = world.send_attempts()
            full = first is None or attempt.backend_id == first
            first = first or attempt.backend_id
            world.dispatcher.on_reply(
                attempt,
                reply(503 if full else 200, not_run=full),
                number / 1000,
            )
            for second in world.send_attempts():
                world.dispatcher.on_reply(second, reply(), number / 1000)
            self.assertIs(work.end(), requeststate.Ending.ANSWERED)

    def test_backend_server_that_fails_fast_gets_less(self):
        """Guards against a failing backend server that appears the fastest."""
        world = World(('a',), extra_burst=100)
        failures = 0
        for number in range(20):
            now = number / 50
            world.start(make_route('a'), now=now)
            for attempt in world.send_attempts():
                if attempt.backend_id == 'a0':
                    failures += 1
                    world.dispatcher.on_failure(
                        attempt, limits.CallOutcome.FAILED, now + 0.001
                    )
                else:
                    world.dispatcher.on_reply(attempt, reply(), now + 0.01)
            for attempt in world.send_attempts():
                world.dispatcher.on_reply(attempt, reply(), now + 0.01)
        self.assertLessEqual(failures, 3)

    def test_unreachable_backend_server_costs_no_budget(self):
        """Guards against a crash that uses up the retry budget."""
        world = World(('a',), extra_share=0, extra_burst=0)
        work = world.start(make_route('a'))
        (first,) = world.dispatcher.pop_attempts()
        refused = limits.CallOutcome.REFUSED_CONNECTION
        world.dispatcher.on_failure(first, refused, 0.01)
        (second,) = world.send_attempts()
        self.assertNotEqual(first.backend_id, second.backend_id)
        self.assertEqual(work.subrequests[0].attempted_ids, [second.backend_id])

    def test_retries_stay_within_the_budget(self):
        """Guards against a storm of retries when a whole service fails."""
        world = World(('a',), extra_share=0.2, extra_burst=10)
        repeats = 0
        for number in range(100):
            world.start(make_route('a'), now=number / 100)
            (first,) = world.send_attempts()
            world.dispatcher.on_failure(
                first, limits.CallOutcome.FAILED, number / 100
            )
            for second in world.send_attempts():
                repeats += 1
                world.dispatcher.on_failure(
                    second, limits.CallOutcome.FAILED, number / 100
                )
        self.assertLessEqual(repeats, 0.2 * 100 + 10)
        self.assertGreater(repeats, 10)

    def test_changed_number_of_hosts_gives_no_new_tokens(self):
        """Guards against a budget that is full again at each change.

        When a host updated the number of hosts three times in one window, all
        hosts together sent 149 further attempts where 141 were allowed.
        """
        world = World(('a',), extra_share=0, extra_burst=100)
        repeats = 0
        for number in range(20):
            hosts = 1 + number % 2
            world.dispatcher.update_sharing(
                extraload.FleetBudget(hosts, 0, 100)
            )
            world.start(make_route('a'))
            (first,) = world.send_attempts()
            world.dispatcher.on_failure(first, limits.CallOutcome.FAILED, 0.0)
            repeats += len(world.send_attempts())
        self.assertEqual(repeats, 1)

    def test_backend_server_of_the_own_zone_is_preferred(self):
        """Guards against paid traffic between zones that saves no time."""
        world = World(('a',))
        other = make_backend('a0', 'a', availability_zone='z2')
        world.directory.update_entry(other)
        world.fill_retry_budget(50)
        backend_ids = []
        for _ in range(20):
            world.start(make_route('a'))
            (attempt,) = world.send_attempts()
            backend_ids.append(attempt.backend_id)
            world.dispatcher.on_reply(attempt, reply(), 0.0)
        self.assertEqual(set(backend_ids), {'a1'})

    def test_misdirected_backend_server_is_not_asked_again(self):
        """Guards against requests to another server at a reused address."""
        world = World(('a',))
        world.start(make_route('a'))
        (first,) = world.send_attempts()
        world.dispatcher.on_reply(
            first, reply(421, not_run=True, misdirected=True), 0.01
        )
        self.assertNotIn(first.backend_id, world.directory.usable('a'))


class HedgeTest(unittest.TestCase):
    def test_pausing_backend_server_is_hedged(self):
        """Guards against callers that wait for one paused backend server."""
        world = World(('a',))
        work = world.start(make_route('a'))
        (first,) = world.send_attempts()
        due_at = world.dispatcher.tick(work, 0.0)
        self.assertLess(due_at, work.answer_at / 2)
        world.dispatcher.tick(work, due_at)
        (second,) = world.send_attempts()
        self.assertNotEqual(first.backend_id, second.backend_id)
        world.dispatcher.on_reply(second, reply(), due_at + 0.01)
        self.assertTrue(work.is_finished(due_at + 0.01))
        world.dispatcher.on_reply(first, reply(stamp='late'), 0.2)
        self.assertEqual([part.stamp for part in work.parts()], ['s'])

    def test_work_that_may_run_once_is_not_hedged(self):
        """Guards against a payment that is made twice."""
        world = World(('a',))
        work = world.start(make_payment())
        world.send_attempts()
        world.dispatcher.tick(work, 1.9)
        self.assertEqual(world.send_attempts(), [])

    def test_request_waits_for_a_free_backend_server_by_rank(self):
        """Guards against urgent requests behind a flood of bulk requests."""
        world = World(('a',), replicas=1, connections=1)
        world.start(make_route('a'))
        (first,) = world.send_attempts()
        world.start(make_route('a', rank=rules.Rank.BULK))
        urgent = world.start(make_route('a'))
        self.assertEqual(world.send_attempts(), [])
        world.dispatcher.on_reply(first, reply(), 0.01)
        (second,) = world.send_attempts()
        self.assertIs(second.subrequest.work, urgent)

    def test_queued_request_without_candidates_blocks_no_other(self):
        """Guards against requests queued behind one that cannot be served."""
        world = World(('a',), connections=1)
        first = world.start(make_route('a'))
        world.start(make_route('a'))
        world.send_attempts()
        unservable = world.start(make_route('a'))
        unservable.subrequests[0].unreachable_ids.update(('a0', 'a1'))
        next_work = world.start(make_route('a'))
        (attempt,) = first.open_attempts()
        world.dispatcher.on_reply(attempt, reply(), 0.01)
        (sent,) = world.send_attempts()
        self.assertIs(sent.subrequest.work, next_work)
        self.assertTrue(unservable.is_finished(0.01))

    def test_connections_are_shared_by_the_hosts(self):
        """Guards against more connections than a backend server accepts."""
        world = World(('a',), connections=26, hosts=8)
        self.assertEqual(world.dispatcher.occupancy.connection_limit('a'), 3)
        world.dispatcher.update_sharing(extraload.FleetBudget(40, 0.2, 0))
        self.assertEqual(world.dispatcher.occupancy.connection_limit('a'), 1)
