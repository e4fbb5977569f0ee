"""Requests and the backend servers that get them, in virtual time."""

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
        shares=(routes.Share('a', 1),),
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
                self.directory.listed(
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
        known = {'hosts': 1, 'extra_share': 1.0, 'extra_burst': 100}
        self.dispatcher.share(extraload.Sharing(**(known | sharing)))

    def start(self, route, patience_s=2.0, now=0.0):
        work = requeststate.Work(
            route,
            route.services(random.Random(1)),
            None,
            now,
            requeststate.Waiting(patience_s),
        )
        self.dispatcher.start(work, now)
        return work

    def sends(self):
        """Return the attempts to send, and mark them as sent."""
        attempts = self.dispatcher.take_sends()
        for attempt in attempts:
            attempt.sent = True
        return attempts

    def earn(self, requests):
        """Let requests pass that earn tokens for further attempts."""
        for _ in range(requests):
            self.start(make_route(self.services))
            for attempt in self.sends():
                self.dispatcher.answered(attempt, reply(), 0.0)


class WorkTest(unittest.TestCase):
    def test_whole_answer_ends_at_once(self):
        """Guards against a request that waits although all parts are in."""
        world = World()
        work = world.start(make_route())
        for attempt in world.sends():
            self.assertFalse(work.is_finished(0.01))
            world.dispatcher.answered(attempt, reply(), 0.01)
        self.assertTrue(work.is_finished(0.01))
        self.assertIs(work.end(), requeststate.Ending.ANSWERED)
        self.assertEqual(len(work.parts()), 2)

    def test_partial_answer_leaves_at_the_target(self):
        """Guards against one straggler that makes a caller wait."""
        world = World()
        work = world.start(make_route())
        world.dispatcher.answered(world.sends()[0], reply(), 0.01)
        self.assertFalse(work.is_finished(0.05))
        self.assertTrue(work.is_finished(work.answer_at))
        self.assertLess(work.answer_at, 0.1)
        self.assertIs(work.end(), requeststate.Ending.ANSWERED)

    def test_answer_below_the_minimum_share_waits(self):
        """Guards against a success that covers less than is allowed."""
        world = World(('a', 'b', 'c'))
        work = world.start(make_route('abc', minimum_share=0.6))
        first, second, _ = world.sends()
        world.dispatcher.answered(first, reply(), 0.01)
        self.assertFalse(work.is_finished(1.0))
        world.dispatcher.answered(second, reply(), 1.0)
        self.assertTrue(work.is_finished(1.0))

    def test_request_that_cannot_succeed_ends_at_once(self):
        """Guards against waiting for the deadline with nothing to come."""
        world = World(replicas=0)
        work = world.start(make_route())
        self.assertTrue(work.is_finished(0.0))
        self.assertIs(work.end(), requeststate.Ending.NOT_RUN)

    def test_sent_request_is_never_called_not_run(self):
        """Guards against a promise that a request in a partition breaks.

        The request was written to a connection that was cut off. It reached
        the backend server after the caller had been told that it never would.
        """
        world = World()
        work = world.start(make_payment())
        world.sends()
        self.assertTrue(work.is_finished(work.deadline))
        self.assertIs(work.end(), requeststate.Ending.LATE)

    def test_unsent_request_is_not_run(self):
        """Guards against a request reported as unknown that never left."""
        world = World()
        work = world.start(make_payment())
        world.dispatcher.take_sends()
        self.assertIs(work.end(), requeststate.Ending.NOT_RUN)

    def test_merge_takes_the_greatest_records_of_all_parts(self):
        """Guards against wrong order, lost repeats and cut records."""
        low, high = bytes(16), b'\xff' * 16
        parts = [reply(body=b''.join((low, high, b'rest'))), reply(body=high)]
        self.assertEqual(
            requeststate.merge(parts, 3), b''.join((high, high, low))
        )
        self.assertEqual(requeststate.merge(parts, 1), high)


class RepeatTest(unittest.TestCase):
    def test_failed_part_goes_to_another_backend_server(self):
        """Guards against a lost part while a replica is there."""
        world = World(('a',))
        work = world.start(make_route('a'))
        (first,) = world.sends()
        world.dispatcher.failed(first, limits.CallOutcome.FAILED, 0.01)
        (second,) = world.sends()
        self.assertNotEqual(first.backend_id, second.backend_id)
        world.dispatcher.answered(second, reply(), 0.02)
        self.assertIs(work.end(), requeststate.Ending.ANSWERED)

    def test_no_more_backend_servers_than_the_route_allows(self):
        """Guards against attempts beyond the operators' bound."""
        world = World(('a',), replicas=5)
        work = world.start(make_route('a'))
        sent = world.sends()
        while sent:
            world.dispatcher.failed(sent[0], limits.CallOutcome.FAILED, 0.01)
            sent = world.sends()
        self.assertEqual(len(work.subrequests[0].asked), 2)
        self.assertIs(work.end(), requeststate.Ending.FAILED)

    def test_work_that_may_have_run_is_not_repeated(self):
        """Guards against a payment that is made twice."""
        world = World(('a',))
        work = world.start(make_payment())
        (first,) = world.sends()
        world.dispatcher.failed(first, limits.CallOutcome.FAILED, 0.01)
        self.assertEqual(world.sends(), [])
        self.assertTrue(work.is_finished(0.01))
        self.assertIs(work.end(), requeststate.Ending.FAILED)

    def test_work_that_was_refused_is_repeated(self):
        """Guards against a payment lost to one full backend server."""
        world = World(('a',))
        world.start(make_payment())
        (first,) = world.sends()
        world.dispatcher.answered(first, reply(503, not_run=True), 0.01)
        self.assertEqual(len(world.sends()), 1)

    def test_full_backend_server_is_left_alone_for_a_while(self):
        """Guards against refusals that use up the budget of repeats."""
        world = World(('a',), extra_share=0, extra_burst=0)
        first = None
        for number in range(20):
            work = world.start(make_payment(), now=number / 1000)
            (attempt,) = world.sends()
            full = first is None or attempt.backend_id == first
            first = first or attempt.backend_id
            world.dispatcher.answered(
                attempt,
                reply(503 if full else 200, not_run=full),
                number / 1000,
            )
            for second in world.sends():
                world.dispatcher.answered(second, reply(), number / 1000)
            self.assertIs(work.end(), requeststate.Ending.ANSWERED)

    def test_backend_server_that_breaks_off_gets_less(self):
        """Guards against a backend server that fails fast and looks fastest."""
        world = World(('a',), extra_burst=100)
        failures = 0
        for number in range(20):
            now = number / 50
            world.start(make_route('a'), now=now)
            for attempt in world.sends():
                if attempt.backend_id == 'a0':
                    failures += 1
                    world.dispatcher.failed(
                        attempt, limits.CallOutcome.FAILED, now + 0.001
                    )
                else:
                    world.dispatcher.answered(attempt, reply(), now + 0.01)
            for attempt in world.sends():
                world.dispatcher.answered(attempt, reply(), now + 0.01)
        self.assertLessEqual(failures, 3)

    def test_unreachable_backend_server_costs_no_budget(self):
        """Guards against a crash that uses up the budget of repeats."""
        world = World(('a',), extra_share=0, extra_burst=0)
        work = world.start(make_route('a'))
        (first,) = world.dispatcher.take_sends()
        refused = limits.CallOutcome.REFUSED_CONNECTION
        world.dispatcher.failed(first, refused, 0.01)
        (second,) = world.sends()
        self.assertNotEqual(first.backend_id, second.backend_id)
        self.assertEqual(work.subrequests[0].asked, [second.backend_id])

    def test_repeats_stay_within_the_budget(self):
        """Guards against a storm of repeats when a whole service fails."""
        world = World(('a',), extra_share=0.2, extra_burst=10)
        repeats = 0
        for number in range(100):
            world.start(make_route('a'), now=number / 100)
            (first,) = world.sends()
            world.dispatcher.failed(
                first, limits.CallOutcome.FAILED, number / 100
            )
            for second in world.sends():
                repeats += 1
                world.dispatcher.failed(
                    second, limits.CallOutcome.FAILED, number / 100
                )
        self.assertLessEqual(repeats, 0.2 * 100 + 10)
        self.assertGreater(repeats, 10)

    def test_changed_number_of_hosts_gives_no_new_tokens(self):
        """Guards against a budget that is full again at each change.

        A host counted others three times in one window, and all hosts
        together sent 149 further attempts where 141 were allowed.
        """
        world = World(('a',), extra_share=0, extra_burst=100)
        repeats = 0
        for number in range(20):
            hosts = 1 + number % 2
            world.dispatcher.share(extraload.Sharing(hosts, 0, 100))
            world.start(make_route('a'))
            (first,) = world.sends()
            world.dispatcher.failed(first, limits.CallOutcome.FAILED, 0.0)
            repeats += len(world.sends())
        self.assertEqual(repeats, 1)

    def test_host_of_the_own_zone_is_preferred(self):
        """Guards against paid traffic between zones that saves no time."""
        world = World(('a',))
        other = make_backend('a0', 'a', availability_zone='z2')
        world.directory.listed(other)
        world.earn(50)
        asked = []
        for _ in range(20):
            world.start(make_route('a'))
            (attempt,) = world.sends()
            asked.append(attempt.backend_id)
            world.dispatcher.answered(attempt, reply(), 0.0)
        self.assertEqual(set(asked), {'a1'})

    def test_misdirected_backend_server_is_not_asked_again(self):
        """Guards against work sent to whoever got the address."""
        world = World(('a',))
        world.start(make_route('a'))
        (first,) = world.sends()
        world.dispatcher.answered(
            first, reply(421, not_run=True, misdirected=True), 0.01
        )
        self.assertNotIn(first.backend_id, world.directory.usable('a'))


class HedgeTest(unittest.TestCase):
    def test_pausing_backend_server_is_hedged(self):
        """Guards against a pause of one backend server that a caller sees."""
        world = World(('a',))
        work = world.start(make_route('a'))
        (first,) = world.sends()
        due_at = world.dispatcher.tick(work, 0.0)
        self.assertLess(due_at, work.answer_at / 2)
        world.dispatcher.tick(work, due_at)
        (second,) = world.sends()
        self.assertNotEqual(first.backend_id, second.backend_id)
        world.dispatcher.answered(second, reply(), due_at + 0.01)
        self.assertTrue(work.is_finished(due_at + 0.01))
        world.dispatcher.answered(first, reply(stamp='late'), 0.2)
        self.assertEqual([part.stamp for part in work.parts()], ['s'])

    def test_work_that_may_run_once_is_not_hedged(self):
        """Guards against a payment that is made twice."""
        world = World(('a',))
        work = world.start(make_payment())
        world.sends()
        world.dispatcher.tick(work, 1.9)
        self.assertEqual(world.sends(), [])

    def test_request_waits_for_a_free_backend_server_by_rank(self):
        """Guards against urgent work behind a flood of the least urgent."""
        world = World(('a',), replicas=1, connections=1)
        world.start(make_route('a'))
        (first,) = world.sends()
        world.start(make_route('a', rank=rules.Rank.BULK))
        urgent = world.start(make_route('a'))
        self.assertEqual(world.sends(), [])
        world.dispatcher.answered(first, reply(), 0.01)
        (second,) = world.sends()
        self.assertIs(second.subrequest.work, urgent)

    def test_waiting_request_without_candidates_blocks_nobody(self):
        """Guards against requests behind one that nobody can serve."""
        world = World(('a',), connections=1)
        first = world.start(make_route('a'))
        world.start(make_route('a'))
        world.sends()
        stuck = world.start(make_route('a'))
        stuck.subrequests[0].avoided.update(('a0', 'a1'))
        behind = world.start(make_route('a'))
        (attempt,) = first.open_attempts()
        world.dispatcher.answered(attempt, reply(), 0.01)
        (sent,) = world.sends()
        self.assertIs(sent.subrequest.work, behind)
        self.assertTrue(stuck.is_finished(0.01))

    def test_connections_are_shared_by_the_hosts(self):
        """Guards against more connections than a backend server accepts."""
        world = World(('a',), connections=26, hosts=8)
        self.assertEqual(world.dispatcher.occupancy.allowance('a'), 3)
        world.dispatcher.share(extraload.Sharing(40, 0.2, 0))
        self.assertEqual(world.dispatcher.occupancy.allowance('a'), 1)
