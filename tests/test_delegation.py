"""Parts of queries that other hosts ask for, in virtual time."""

import unittest

from cardamomflow import (
    delegatedparts,
    delegation,
    ownership,
    requeststate,
    routes,
)
from cardamomflow.generated import wire_pb2
from cardamomflow.platform import backendlink
from tests import test_dispatching

SERVICES = tuple(f's{number}' for number in range(30))
HOSTS = [
    ownership.Member(f'h{number}', 'z1', '10.0.0.1', 1, 1.0)
    for number in range(3)
]
OTHERS = {'h1', 'h2'}
MESSAGE = backendlink.Message(b'GET', b'/p/', [(b'a', b'b')], b'', b'r1')


def make_work(services=SERVICES, now=0.0, **changes):
    route = test_dispatching.make_route(services, **changes)
    return requeststate.Work(
        route, services, MESSAGE, now, requeststate.Waiting(2.0)
    )


def record(number):
    return number.to_bytes(requeststate.RECORD_BYTES, 'big')


def part_reply(stamp, number):
    return test_dispatching.reply(stamp=stamp, body=record(number))


class DelegationTest(unittest.TestCase):
    def setUp(self):
        owners = ownership.Ownership(HOSTS[0])
        owners.apply(HOSTS, {'z1'})
        self.delegation = delegation.Delegation(owners)

    def start(self, usable=OTHERS, now=0.0, **changes):
        work = make_work(now=now, **changes)
        self.delegation.start(work, SERVICES, usable, now)
        self.delegation.sent(work, now)
        return work

    def hosts_asked(self, usable=OTHERS, now=0.0):
        return {one.host_id for one in self.start(usable, now).handovers}

    def look(self, work, now):
        return self.delegation.note_silent(work, now)

    def test_own_services_stay_here(self):
        """Guards against a query that makes all its calls from one host."""
        work = self.start()
        handed = [
            subrequest
            for one in work.handovers
            for subrequest in one.subrequests
        ]
        kept = [
            subrequest
            for subrequest in work.subrequests
            if subrequest.handover is None
        ]
        self.assertEqual({one.host_id for one in work.handovers}, OTHERS)
        self.assertEqual(len(handed) + len(kept), len(SERVICES))
        self.assertTrue(kept)

    def test_small_query_is_not_handed_over(self):
        """Guards against two hops where one host is faster."""
        work = make_work(SERVICES[:10])
        self.assertEqual(self.delegation.start(work, SERVICES, OTHERS, 0.0), [])

    def test_silent_host_is_found_at_the_second_look(self):
        """Guards against blaming a host whose sign waits unread here."""
        work = self.start()
        at = self.delegation.next_look(work)
        self.assertEqual(self.look(work, at), [])
        again = self.delegation.next_look(work)
        self.assertGreater(again, at)
        self.assertEqual(len(self.look(work, again)), 2)
        self.assertGreater(self.delegation.next_look(work), work.deadline)
        self.assertTrue(all(one.open for one in work.handovers))
        self.assertEqual(self.hosts_asked(now=again), set())

    def test_host_that_gave_a_sign_is_not_silent(self):
        """Guards against owners that are avoided since servers are slow."""
        work = self.start()
        answered = work.handovers[0]
        self.delegation.answered(answered)
        self.look(work, 1.0)
        self.assertNotIn(answered, self.look(work, 1.1))

    def test_silent_host_gets_nothing_for_a_while(self):
        """Guards against each query waiting for a stopped host."""
        work = self.start()
        self.delegation.lost(work.handovers[0], 0.0)
        lost_id = work.handovers[0].host_id
        self.assertEqual(self.hosts_asked(now=0.1), OTHERS - {lost_id})
        later = delegation.AVOIDED_S + 0.1
        self.assertEqual(self.hosts_asked(now=later), OTHERS)

    def test_unanswered_part_may_have_run(self):
        """Guards against a promise that nothing ran."""
        work = self.start()
        for subrequest in work.subrequests:
            if subrequest.handover is None:
                work.give_up(subrequest, 'no_backend_server')
        self.assertIs(work.end(), requeststate.Ending.LATE)


class ChoiceTest(unittest.TestCase):
    def choose(self, hosts, connections, services=SERVICES):
        table = routes.RouteTable(
            1,
            [test_dispatching.make_route(services)],
            dict.fromkeys(services, connections),
            routes.Limits(1, 1, 1, 1),
        )
        return delegation.choose_services(table, hosts)

    def test_many_hosts_leave_services_to_owners(self):
        """Guards against connections that are opened for each request."""
        self.assertEqual(self.choose(66, 55), set(SERVICES))

    def test_few_hosts_ask_themselves(self):
        """Guards against a hop that saves nothing."""
        self.assertEqual(self.choose(8, 26), set())

    def test_small_queries_stay_whole(self):
        """Guards against two hops where one host is faster."""
        self.assertEqual(self.choose(66, 55, SERVICES[:10]), set())


class TakeBackTest(unittest.TestCase):
    def setUp(self):
        self.world = test_dispatching.World(SERVICES, replicas=3)
        self.work = make_work()
        self.subrequest = self.work.subrequests[0]

    def take_back(self, *, was_sent):
        self.subrequest.handover = object()
        self.world.dispatcher.take_back(
            [self.subrequest], 0.0, was_sent=was_sent
        )
        return self.world.sends()

    def test_part_that_was_not_sent_is_asked_for_anew(self):
        """Guards against a lost hop that uses up attempts."""
        self.assertEqual(len(self.take_back(was_sent=False)), 1)
        self.assertEqual(self.subrequest.attempts_elsewhere, 0)

    def test_lost_owner_counts_as_an_attempt(self):
        """Guards against more backend servers than a route allows."""
        attempts = self.take_back(was_sent=True)
        self.assertEqual(len(attempts), 1)
        self.world.dispatcher.tick(self.work, 0.09)
        self.assertEqual(self.world.sends(), [])

    def test_route_with_one_attempt_gives_up(self):
        """Guards against a second attempt where one is allowed."""
        self.work = make_work(attempts=1)
        self.subrequest = self.work.subrequests[0]
        self.assertEqual(self.take_back(was_sent=True), [])
        self.assertTrue(self.subrequest.may_run)


class SharedWorkTest(unittest.TestCase):
    def setUp(self):
        asked = make_work(('a', 'b', 'c'))
        request = delegatedparts.request_of(asked, 7, ['a', 'b'], 'h0', 0.01)
        self.asked = asked
        self.work = delegatedparts.work_of(request, 5.0)

    def settle(self, place, stamp='s', number=1):
        subrequest = self.work.subrequests[place]
        self.work.accept(subrequest, part_reply(stamp, number))

    def test_request_survives_the_hop(self):
        """Guards against a request that differs from the caller's."""
        self.assertEqual(self.work.message, MESSAGE)
        self.assertEqual(self.work.route.rank, self.asked.route.rank)
        self.assertAlmostEqual(
            self.work.deadline - 5.0, self.asked.deadline - 0.01, delta=1e-5
        )
        self.assertLess(self.work.answer_at - 5.0, self.asked.answer_at - 0.01)

    def test_request_without_services_or_rank_is_refused(self):
        """Guards against a peer of another version."""
        for services, rank in (([], 1), (['a', 'a'], 1), (['a'], 0)):
            request = wire_pb2.PartsRequest(services=services, rank=rank)
            with self.assertRaises(delegatedparts.errors.ProtocolViolation):
                delegatedparts.work_of(request, 0.0)

    def test_parts_are_collected_until_all_came(self):
        """Guards against a message for each part."""
        self.settle(0)
        self.assertFalse(self.work.needs_report(5.001))
        self.settle(1)
        self.assertTrue(self.work.needs_report(5.001))

    def test_second_attempt_is_reported(self):
        """Guards against an asker that adds a third attempt."""
        subrequest = self.work.subrequests[0]
        subrequest.ask('b0', 'z1', 5.0)
        self.assertFalse(self.work.needs_report(5.001))
        subrequest.ask('b1', 'z1', 5.02)
        self.assertTrue(self.work.needs_report(5.021))

    def test_parts_after_the_first_answer_are_told_at_once(self):
        """Guards against parts that come too late for the target."""
        self.settle(0)
        first = self.work.take_unreported(7, is_last=False)
        self.assertEqual([part.service for part in first.parts], ['a'])
        self.assertFalse(self.work.needs_report(5.03))
        self.work.give_up(self.work.subrequests[1], 'status_500')
        self.assertTrue(self.work.needs_report(5.04))
        last = self.work.take_unreported(7, is_last=True)
        self.assertEqual(list(last.parts), [])
        self.assertEqual(last.missing[0].reason, 'status_500')

    def test_abandoned_work_ends(self):
        """Guards against work for a caller that is gone."""
        self.work.abandon(cancel=True)
        self.assertTrue(self.work.is_finished(5.0))


class AnswerTest(unittest.TestCase):
    def setUp(self):
        self.work = make_work(('a', 'b', 'c'))

    def answer(self, *services, missing=()):
        return wire_pb2.PartsAnswer(
            parts=[
                wire_pb2.Part(service=one, stamp=f'stamp-{one}')
                for one in services
            ],
            records=record(9) + record(4),
            missing=[
                wire_pb2.MissingPart(service=one, reason='status_500')
                for one in missing
            ],
        )

    def take(self, answer):
        return delegatedparts.take_answer(
            [
                subrequest
                for subrequest in self.work.subrequests
                if not subrequest.is_settled
            ],
            answer,
        )

    def test_records_of_an_answer_count_once(self):
        """Guards against records that stand twice in a merged answer."""
        self.assertTrue(self.take(self.answer('a', 'b', missing=['c'])))
        found = self.work.parts()
        self.assertEqual([part.stamp for part in found], ['stamp-a', 'stamp-b'])
        self.assertEqual(requeststate.merge(found, 9), record(9) + record(4))
        self.assertEqual(self.work.failed, 1)

    def test_answer_with_a_part_from_elsewhere_is_not_used(self):
        """Guards against records of a part that is merged twice."""
        self.work.accept(self.work.subrequests[0], part_reply('own', 9))
        self.assertFalse(self.take(self.answer('a', 'b')))
        self.assertEqual(self.work.answered, 1)

    def test_not_run_elsewhere_is_not_run(self):
        """Guards against an unknown outcome where nothing was sent."""
        for subrequest in self.work.subrequests:
            subrequest.handover = object()
        self.take(self.answer(missing=['a', 'b', 'c']))
        self.assertIs(self.work.end(), requeststate.Ending.NOT_RUN)
