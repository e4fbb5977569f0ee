"""Attempts for parts that one host requests on behalf of another."""

import collections
import random
import unittest

import curio

from cardamomflow import delegatedparts, delegation
from tests import (
    loops,
    test_delegation,
    test_dispatching,
    test_ended_requests,
    test_peering,
)

SEEDS = 200
SERVICES = tuple(f's{number}' for number in range(8))
ATTEMPTS = 2
STEP_S = 0.01
STEPS = 60
# Shares of the attempts in progress that fail or are answered in a step.
FAILED_SHARE = 0.1
ANSWERED_SHARE = 0.05
# Share of the messages that are lost, and the longest delay of the others.
LOST_SHARE = 0.2
DELAY_STEPS = 5
# Pause in seconds and status of an answer.
ANSWERED = (0, 200)
FAILS = (0, 500)
HANGS = (test_ended_requests.HANG_S, 200)


class History:
    """A query whose parts another host requests, which is lost at some time.

    The lost host goes on: it may have fallen silent, with messages on the way.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._asking = test_dispatching.World(SERVICES, replicas=3)
        self._owner = test_dispatching.World(SERVICES, replicas=3)
        self._query = test_delegation.make_work(SERVICES, attempts=ATTEMPTS)
        self._handover = delegation.Handover(1, 'h1', self._query.subrequests)
        self._parts = delegatedparts.build_work(
            delegatedparts.build_request(self._query, 1, SERVICES, 'h0', 0), 0
        )
        self._lost_at = self._random.randrange(STEPS)
        self._deliveries_by_step = collections.defaultdict(list)
        self._open = []
        self._backends_by_service = collections.defaultdict(set)
        # Attempts that the asking host made itself.
        self.own_attempts = 0

    def play(self):
        """Return the most backend servers that got one part."""
        self._owner.dispatcher.start(self._parts, 0)
        for step in range(STEPS):
            now = step * STEP_S
            if step == self._lost_at:
                self._asking.dispatcher.reclaim(
                    self._handover.unsettled_subrequests(), now, was_sent=True
                )
            for deliver in self._deliveries_by_step.pop(step, ()):
                deliver(step)
            self._advance(self._owner, self._parts, now)
            if step >= self._lost_at:
                self._advance(self._asking, self._query, now)
            elif self._parts.needs_report(now):
                answer = self._parts.take_unreported(1, is_last=False)
                self._post(step, self._on_answer, answer)
        return max(map(len, self._backends_by_service.values()))

    def _advance(self, world, work, now):
        world.dispatcher.tick(work, now)
        for attempt in world.send_attempts():
            service = attempt.subrequest.service
            self._backends_by_service[service].add(attempt.backend_id)
            self._open.append((world, attempt))
            self.own_attempts += world is self._asking
        for entry in [entry for entry in self._open if entry[0] is world]:
            draw = self._random.random()
            if draw < FAILED_SHARE + ANSWERED_SHARE:
                self._open.remove(entry)
                status = 500 if draw < FAILED_SHARE else 200
                reply = test_dispatching.reply(status)
                world.dispatcher.on_reply(entry[1], reply, now)

    def _post(self, step, receive, *message):
        if self._random.random() < LOST_SHARE:
            return
        arrives_at = step + 1 + self._random.randrange(DELAY_STEPS)
        self._deliveries_by_step[arrives_at].append(
            lambda now_step: receive(now_step, *message)
        )

    def _on_answer(self, step, answer):
        if step >= self._lost_at:
            return
        delegatedparts.apply_answer(
            self._handover.unsettled_subrequests(), answer
        )
        granted = self._handover.grant(answer.needs_attempt)
        self._post(step, self._on_grant, granted)

    def _on_grant(self, step, services):
        self._parts.apply_grant(services)
        self._owner.dispatcher.on_grant(self._parts.granted, step * STEP_S)
        self._parts.granted = ()


class LostOwnerTest(unittest.TestCase):
    def test_no_part_gets_more_attempts_than_its_route_allows(self):
        """Guards against attempts of a lost host that nobody counted."""
        own_attempts = 0
        for seed in range(SEEDS):
            history = History(seed)
            with self.subTest(seed):
                self.assertLessEqual(history.play(), ATTEMPTS)
            own_attempts += history.own_attempts
        # Parts of lost hosts are still requested where an attempt is left.
        self.assertGreater(own_attempts, SEEDS)


class GrantTest(unittest.TestCase):
    def setUp(self):
        self.world = test_dispatching.World(('a', 'b'), replicas=3)
        query = test_delegation.make_work(('a', 'b'), attempts=ATTEMPTS)
        self.handover = delegation.Handover(1, 'h1', query.subrequests)
        self.request = delegatedparts.build_request(
            query, 1, ['a', 'b'], 'h0', 0
        )

    def start(self):
        work = delegatedparts.build_work(self.request, 0)
        self.world.dispatcher.start(work, 0)
        return work, self.world.send_attempts()

    def fail(self, attempt):
        self.world.dispatcher.on_reply(
            attempt, test_dispatching.reply(500), 0.01
        )
        return self.world.send_attempts()

    def test_failed_part_is_retried_once_it_is_granted(self):
        """Guards against retries that the asking host can't know of."""
        work, attempts = self.start()
        self.assertEqual(self.fail(attempts[0]), [])
        self.assertTrue(work.needs_report(0.01))
        answer = work.take_unreported(1, is_last=False)
        self.assertEqual(list(answer.needs_attempt), ['a'])
        self.assertFalse(work.needs_report(0.02))
        services = self.handover.grant(answer.needs_attempt)
        work.apply_grant(services)
        self.world.dispatcher.on_grant(work.granted, 0.02)
        retries = self.world.send_attempts()
        self.assertEqual([one.subrequest.service for one in retries], ['a'])

    def test_overdue_part_is_hedged_once_it_is_granted(self):
        """Guards against hedges that the asking host can't know of."""
        work, attempts = self.start()
        self.world.dispatcher.tick(work, 0.3)
        self.assertEqual(self.world.send_attempts(), [])
        answer = work.take_unreported(1, is_last=False)
        self.assertCountEqual(answer.needs_attempt, ['a', 'b'])
        self.world.dispatcher.on_reply(
            attempts[0], test_dispatching.reply(), 0.31
        )
        work.apply_grant(answer.needs_attempt)
        self.world.dispatcher.on_grant(work.granted, 0.32)
        hedges = self.world.send_attempts()
        self.assertEqual([one.subrequest.service for one in hedges], ['b'])

    def test_grants_end_at_the_attempts_of_the_route(self):
        """Guards against repeated messages that add attempts."""
        self.assertEqual(self.handover.grant(['a']), ['a'])
        self.assertEqual(self.handover.grant(['a']), [])

    def test_host_of_an_earlier_release_grants_all_attempts(self):
        """Guards against parts that wait for a grant that never comes."""
        self.request.granted_attempts = 0
        _, attempts = self.start()
        self.assertEqual(len(self.fail(attempts[0])), 1)


class ThreeReplicasFleet(test_ended_requests.PatientFleet):
    """A fleet in which a third backend server could get a part."""

    replicas = 3


class LinkTest(unittest.TestCase):
    """Hosts that request parts of each other, over real sockets."""

    def test_part_that_failed_at_the_owner_is_answered(self):
        """Guards against missing parts because of one failed attempt."""

        async def scenario(world):
            for service in test_peering.SERVICES:
                answer_in_turn(world, service, FAILS)
            answer = await world.send_request(test_peering.TARGET)
            return len(set(test_peering.stamps(answer)))

        answered = test_peering.play(scenario)
        self.assertEqual(answered, len(test_peering.SERVICES))

    def test_lost_owner_leaves_no_third_attempt(self):
        """Guards against a third backend server after an owner is lost.

        The owner made a second attempt for each of its parts.
        """

        async def scenario(world):
            for service in test_peering.SERVICES:
                answer_in_turn(world, service, FAILS, HANGS)
            await curio.spawn(
                test_ended_requests.send,
                world,
                test_peering.TARGET,
                daemon=True,
            )
            await loops.until(
                lambda: set(runs_by_service(world).values()) == {ATTEMPTS}
            )
            for owner in world.others:
                for link in list(owner.peer_server._requests_by_link):
                    await link._abort()
                await test_ended_requests.until_no_attempt(owner.host)
            await loops.until(lambda: not world.host.active_requests.count)
            return max(runs_by_service(world).values())

        self.assertEqual(
            test_peering.play(scenario, ThreeReplicasFleet), ATTEMPTS
        )


def answer_in_turn(world, service, *pauses_and_statuses):
    """Set how the first requests to a service end; the next are answered."""
    turns = iter(pauses_and_statuses)

    def in_turn(backend, handle):
        async def answer(request):
            backend.pause_s, backend.status = next(turns, ANSWERED)
            return await handle(request)

        return answer

    for backend_id, backend in world.backends_by_id.items():
        if backend_id[:-1] == service:
            backend.handle = in_turn(backend, backend.handle)


def runs_by_service(world):
    return collections.Counter(
        backend_id[:-1]
        for backend_id, backend in world.backends_by_id.items()
        for _ in backend.ran
    )
