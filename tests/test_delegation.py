"""Delegation of parts of queries to other hosts, in virtual time."""

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
        route, services, MESSAGE, now, requeststate.TimeBudget(2.0)
    )


def record(number):
    return number.to_bytes(requeststate.RECORD_BYTES, 'big')


def part_reply(stamp, number):
    return test_dispatching.reply(stamp=stamp, body=record(number))


class DelegationTest(unittest.TestCase):
    def setUp(self):
        owners = ownership.Ownership(HOSTS[0])
        owners.apply(HOSTS, {'z1'}, ownership.Placement(len(SERVICES), {}))
        self.delegation = delegation.Delegation(owners)

    def start(self, usable=OTHERS, now=0.0, **changes):
        work = make_work(now=now, **changes)
        self.delegation.start(work, SERVICES, usable, now)
        self.delegation.record_sent(work, now)
        return work

    def handover_hosts(self, usable=OTHERS, now=0.0):
        return {one.host_id for one in self.start(usable, now).handovers}

    def check(self, work, now):
        return self.delegation.detect_silent_hosts(work, now)

    def test_own_services_are_not_handed_over(self):
        """Guards against a query whose calls all come from one host."""
        work = self.start()
        handed_over = [
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
        self.assertEqual(len(handed_over) + len(kept), len(SERVICES))
        self.assertTrue(kept)

    def test_small_query_is_not_handed_over(self):
        """Guards against two hops where one host is faster."""
        work = make_work(SERVICES[:10])
        self.assertEqual(self.delegation.start(work, SERVICES, OTHERS, 0.0), [])

    def test_silent_host_is_detected_at_the_second_check(self):
        """Guards against avoiding a host whose message was not yet read."""
        work = self.start()
        first_check_at = self.delegation.next_check_at(work)
        self.assertEqual(self.check(work, first_check_at), [])
        second_check_at = self.delegation.next_check_at(work)
        self.assertGreater(second_check_at, first_check_at)
        self.assertEqual(len(self.check(work, second_check_at)), 2)
        self.assertGreater(self.delegation.next_check_at(work), work.deadline)
        self.assertTrue(all(one.is_open for one in work.handovers))
        self.assertEqual(self.handover_hosts(now=second_check_at), set())

    def test_host_that_answered_is_not_silent(self):
        """Guards against avoiding owners because backend servers are slow."""
        work = self.start()
        answered = work.handovers[0]
        self.delegation.record_answer(answered)
        self.check(work, 1.0)
        self.assertNotIn(answered, self.check(work, 1.1))

    def test_silent_host_gets_nothing_for_a_while(self):
        """Guards against queries that each wait for a stopped host."""
        work = self.start()
        self.delegation.record_lost(work.handovers[0], 0.0)
        lost_id = work.handovers[0].host_id
        self.assertEqual(self.handover_hosts(now=0.1), OTHERS - {lost_id})
        later = delegation.AVOIDED_S + 0.1
        self.assertEqual(self.handover_hosts(now=later), OTHERS)

    def test_unanswered_part_may_have_run(self):
        """Guards against "not run" for a part that may run elsewhere."""
        work = self.start()
        for subrequest in work.subrequests:
            if subrequest.handover is None:
                work.mark_failed(subrequest, 'no_backend_server')
        self.assertIs(work.end(), requeststate.Ending.LATE)


class ChoiceTest(unittest.TestCase):
    def choose(self, hosts, connections, services=SERVICES, **capacity):
        table = routes.RouteTable(
            1,
            [test_dispatching.make_route(services)],
            dict.fromkeys(services, connections),
            routes.Limits(1, 1, 1, 1),
        )
        return delegation.choose_services(table, hosts, **capacity)

    def test_many_hosts_hand_services_over_to_owners(self):
        """Guards against a new connection for each request."""
        self.assertEqual(self.choose(66, 55), set(SERVICES))

    def test_few_hosts_hand_nothing_over(self):
        """Guards against an extra hop without benefit."""
        self.assertEqual(self.choose(8, 26), set())

    def test_small_hosts_share_their_calls(self):
        """Guards against queries whose calls take longer than their target.

        Load pattern: queries over many shards on hosts with a tenth of a
        processor core, where each host could keep all connections.
        """
        calls_s = len(SERVICES) * delegation.CALL_PROCESSOR_S
        target_s = test_dispatching.make_route().target_s
        capacity = calls_s / (delegation.MAXIMUM_CALLS_SHARE * target_s)
        for size, chosen in ((0.9, set(SERVICES)), (1.1, set())):
            with self.subTest(size):
                self.assertEqual(
                    self.choose(8, 120, capacity=size * capacity), chosen
                )

    def test_small_queries_are_not_divided(self):
        """Guards against two hops where one host is faster."""
        self.assertEqual(self.choose(66, 55, SERVICES[:10]), set())


class ReclaimTest(unittest.TestCase):
    def setUp(self):
        self.world = test_dispatching.World(SERVICES, replicas=3)
        self.work = make_work()
        self.subrequest = self.work.subrequests[0]

    def reclaim(self, *, was_sent):
        self.subrequest.handover = object()
        self.world.dispatcher.reclaim([self.subrequest], 0.0, was_sent=was_sent)
        return self.world.send_attempts()

    def test_part_that_was_not_sent_is_requested_again(self):
        """Guards against an unsent handover that uses up attempts."""
        self.assertEqual(len(self.reclaim(was_sent=False)), 1)
        self.assertEqual(self.subrequest.remote_attempts, 0)

    def test_lost_owner_counts_as_an_attempt(self):
        """Guards against more attempts than a route allows."""
        attempts = self.reclaim(was_sent=True)
        self.assertEqual(len(attempts), 1)
        self.world.dispatcher.tick(self.work, 0.09)
        self.assertEqual(self.world.send_attempts(), [])

    def test_route_with_one_attempt_is_not_retried(self):
        """Guards against a second attempt where one is allowed."""
        self.work = make_work(attempts=1)
        self.subrequest = self.work.subrequests[0]
        self.assertEqual(self.reclaim(was_sent=True), [])
        self.assertTrue(self.subrequest.may_run)


class DelegatedWorkTest(unittest.TestCase):
    def setUp(self):
        query = make_work(('a', 'b', 'c'))
        request = delegatedparts.build_request(query, 7, ['a', 'b'], 'h0', 0.01)
        self.query = query
        self.work = delegatedparts.build_work(request, 5.0)

    def settle(self, index, stamp='s', number=1):
        subrequest = self.work.subrequests[index]
        self.work.accept(subrequest, part_reply(stamp, number))

    def test_request_survives_the_hop(self):
        """Guards against a forwarded request that differs from the caller's."""
        self.assertEqual(self.work.message, MESSAGE)
        self.assertEqual(self.work.route.rank, self.query.route.rank)
        self.assertAlmostEqual(
            self.work.deadline - 5.0, self.query.deadline - 0.01, delta=1e-5
        )
        self.assertLess(self.work.answer_at - 5.0, self.query.answer_at - 0.01)

    def test_request_without_services_or_rank_is_refused(self):
        """Guards against invalid messages from a peer of another version."""
        for services, rank in (([], 1), (['a', 'a'], 1), (['a'], 0)):
            request = wire_pb2.PartsRequest(services=services, rank=rank)
            with self.assertRaises(delegatedparts.errors.ProtocolViolation):
                delegatedparts.build_work(request, 0.0)

    def test_parts_are_collected_until_all_are_settled(self):
        """Guards against a separate message for each part."""
        self.settle(0)
        self.assertFalse(self.work.needs_report(5.001))
        self.settle(1)
        self.assertTrue(self.work.needs_report(5.001))

    def test_second_attempt_is_reported(self):
        """Guards against a requesting host that adds a third attempt."""
        subrequest = self.work.subrequests[0]
        subrequest.add_attempt('b0', 'z1', 5.0)
        self.assertFalse(self.work.needs_report(5.001))
        subrequest.add_attempt('b1', 'z1', 5.02)
        self.assertTrue(self.work.needs_report(5.021))

    def test_parts_after_the_first_report_are_sent_at_once(self):
        """Guards against parts that come too late for the target."""
        self.settle(0)
        first = self.work.take_unreported(7, is_last=False)
        self.assertEqual([part.service for part in first.parts], ['a'])
        self.assertFalse(self.work.needs_report(5.03))
        self.work.mark_failed(self.work.subrequests[1], 'status_500')
        self.assertTrue(self.work.needs_report(5.04))
        last = self.work.take_unreported(7, is_last=True)
        self.assertEqual(list(last.parts), [])
        self.assertEqual(last.missing[0].reason, 'status_500')

    def test_abandoned_work_ends(self):
        """Guards against attempts for a caller that no longer waits."""
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

    def apply(self, answer):
        return delegatedparts.apply_answer(
            [
                subrequest
                for subrequest in self.work.subrequests
                if not subrequest.is_settled
            ],
            answer,
        )

    def test_records_of_an_answer_count_once(self):
        """Guards against duplicate records in a merged answer."""
        self.assertTrue(self.apply(self.answer('a', 'b', missing=['c'])))
        parts = self.work.parts()
        self.assertEqual([part.stamp for part in parts], ['stamp-a', 'stamp-b'])
        self.assertEqual(requeststate.merge(parts, 9), record(9) + record(4))
        self.assertEqual(self.work.failed_count, 1)

    def test_answer_with_a_part_from_elsewhere_is_not_used(self):
        """Guards against merging the records of a part twice."""
        self.work.accept(self.work.subrequests[0], part_reply('own', 9))
        self.assertFalse(self.apply(self.answer('a', 'b')))
        self.assertEqual(self.work.answered_count, 1)

    def test_not_run_elsewhere_is_not_run(self):
        """Guards against an unknown outcome when no host sent a request."""
        for subrequest in self.work.subrequests:
            subrequest.handover = object()
        self.apply(self.answer(missing=['a', 'b', 'c']))
        self.assertIs(self.work.end(), requeststate.Ending.NOT_RUN)
