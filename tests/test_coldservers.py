"""Bound on the requests that cold backend servers get, in virtual time."""

import collections
import itertools
import random
import time
import unittest

import curio

from cardamomflow import (
    activerequests,
    context,
    directory,
    dispatching,
    extraload,
    ownership,
    requeststate,
    routes,
)
from cardamomflow.coldstarts import allocation, bound
from cardamomflow.platform import documents, replyheaders
from tests import loops, test_dispatching

COLD_PER_S = 20.0
STEP_S = 0.1
ROUTE = test_dispatching.make_route(shards=('a',), target_s=1.0)
BACKEND = test_dispatching.make_backend(
    'a0', 'a', incarnation=1, warmup_left_s=500
)


def make_members(count, zones=4):
    return [
        ownership.Member(f'h{number}', f'z{number % zones}', '', 1, 1)
        for number in range(count)
    ]


def make_table(cold_per_s=COLD_PER_S, warmup_s=500):
    return routes.RouteTable(
        1,
        [ROUTE],
        {'a': 10_000},
        routes.Limits(1, 1, 1, 1),
        warm_ups_by_service={'a': routes.WarmUp(warmup_s, cold_per_s)},
    )


class Host:
    """The dispatcher of one host, whose callers ask all the time."""

    def __init__(self, member, backends=(BACKEND,), table=None):
        world = test_dispatching.World(('a',), 0, connections=10_000)
        for backend in backends:
            world.directory.update_entry(backend)
        self.member = member
        self.directory = world.directory
        self.dispatcher = dispatching.Dispatcher(
            world.directory, member.availability_zone, random.Random(1)
        )
        self.dispatcher.apply(table or make_table())
        self.dispatcher.update_sharing(extraload.FleetBudget(1, 1, 100))
        self.cold = self.dispatcher.cold_servers
        self.confirmed_at = float('-inf')
        for backend in backends:
            self.cold.on_entry(backend.backend_id, 0)

    def see(self, members, now):
        self.confirmed_at = now
        view = allocation.create_view(self.member.host_id, members)
        self.cold.update_view(view, now)

    def ask(self, now, count=1):
        """Start requests until one is not sent; return the attempts."""
        self.cold.view_age_s = lambda: now - self.confirmed_at
        attempts = []
        while len(attempts) < count:
            work = requeststate.Work(
                ROUTE, ('a',), None, now, requeststate.TimeBudget(1)
            )
            self.dispatcher.start(work, now)
            work.end()
            new_attempts = self.dispatcher.pop_attempts()
            if not new_attempts:
                break
            attempts.extend(new_attempts)
        return attempts


def settled_hosts(count, zones=4, **fields):
    members = make_members(count, zones)
    hosts = [Host(member, **fields) for member in members]
    for host in hosts:
        host.see(members, 0)
        # A confirmation shortly before the requests.
        host.confirmed_at = bound.SETTLE_S
    return hosts


def most_in_a_second(times):
    """Return the largest number of times in any second."""
    times = sorted(times)
    first = 0
    most = 0
    for position, at in enumerate(times):
        while times[first] <= at - 1:
            first += 1
        most = max(most, position - first + 1)
    return most


class History:
    """A fleet with joins, cuts from the platform and demand that varies.

    The platform's list reaches each host late. A host that is cut off sees no
    list, and its entry lapses after 3 s.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        count = self.random.choice((1, 2, 3, 5, 8, 13, 24, 40, 60))
        zones = self.random.choice((1, 2, 4))
        self.hosts = [Host(member) for member in make_members(count, zones)]
        self.started = self.random.choice((count, max(1, count // 2)))
        self.cut_since = {}
        self.cut_until = collections.Counter()
        self.lists = [[host.member for host in self.hosts[: self.started]]]

    def run(self, steps):
        """Return the send times."""
        sent = []
        for step in range(steps):
            now = step * STEP_S
            running = self.hosts if step > 200 else self.hosts[: self.started]
            listed = [host.member for host in running if self.move(host, now)]
            for host in running:
                count = self.random.choice((0, 1, 4, 40))
                sent.extend(now for _ in host.ask(now, count))
            self.lists.append(listed)
        return sent

    def move(self, host, now):
        """Cut or update a host; return whether the platform lists it."""
        host_id = host.member.host_id
        if not self.random.randrange(300):
            self.cut_since[host_id] = now
            self.cut_until[host_id] = now + self.random.uniform(1, 40)
        if self.cut_until[host_id] > now:
            return now < self.cut_since[host_id] + 3
        lag_steps = 1 + int(host_id[1:]) % 9
        if lag_steps <= len(self.lists):
            host.see(self.lists[-lag_steps], now)
            host.confirmed_at = now - lag_steps * STEP_S
        return True


class FleetTest(unittest.TestCase):
    def test_no_history_exceeds_the_bound(self):
        """Guards against hosts that divide the requests by differing lists."""
        most_of_all = 0
        for seed in range(12):
            with self.subTest(seed=seed):
                most = most_in_a_second(History(seed).run(600))
                most_of_all = max(most, most_of_all)
                self.assertLessEqual(most, COLD_PER_S * 1.5 + 5)
        # The histories must not be trivial.
        self.assertGreaterEqual(most_of_all, COLD_PER_S)

    def test_capacity_is_used(self):
        """Guards against a bound that leaves cold servers idle."""
        for count in (1, 3, 15, 60):
            with self.subTest(count=count):
                hosts = settled_hosts(count)
                times = []
                for step, host in itertools.product(range(100), hosts):
                    now = bound.SETTLE_S + step * STEP_S
                    times.extend(now for _ in host.ask(now, 30))
                self.assertLessEqual(most_in_a_second(times), 30)
                # Slots are free again at the first step after 1.02 s.
                self.assertGreaterEqual(len(times), 10 * 30 * 0.9)

    def test_any_number_of_hosts_divides_all_slots(self):
        """Guards against slots that two hosts or none have."""
        server = allocation.Server('a0', 'a', 'z1')
        for count, slots in itertools.product(range(1, 61), (1, 7, 30)):
            members = make_members(count)
            views = [
                allocation.create_view(member.host_id, members)
                for member in members
            ]
            total = sum(
                allocation.own_slots(view, server, slots) for view in views
            )
            self.assertEqual(total, slots)

    def test_owner_gets_most_of_a_handed_over_service(self):
        """Guards against slots at hosts to which no parts are handed over."""
        server = allocation.Server('a0', 'a', 'z1')
        members = make_members(60)
        shares = [
            allocation.own_slots(
                allocation.create_view(
                    member.host_id,
                    members,
                    frozenset('a'),
                    frozenset('a') if member.host_id == 'h1' else frozenset(),
                ),
                server,
                30,
            )
            for member in members
        ]
        self.assertLessEqual(sum(shares), 30)
        self.assertGreaterEqual(shares[1], 24)

    def test_returning_zone_stays_within_the_bound(self):
        """Guards against a rush when a zone's servers return cold."""
        servers = [
            test_dispatching.make_backend(
                f'a{number}', 'a', availability_zone='z1'
            )
            for number in range(3)
        ]
        hosts = settled_hosts(12, backends=servers)
        for host in hosts:
            host.directory.apply_evacuations({'z1'})
            self.assertEqual(host.ask(bound.SETTLE_S, 5), [])
            for server in servers:
                host.directory.update_entry(
                    server._replace(incarnation=2, warmup_left_s=400)
                )
                host.cold.on_entry(server.backend_id, 1)
            host.directory.apply_evacuations(())
        times_by_id = collections.defaultdict(list)
        for step in range(40):
            now = bound.SETTLE_S + step * STEP_S
            for host in hosts:
                for attempt in host.ask(now, 60):
                    times_by_id[attempt.backend_id].append(now)
        self.assertEqual(len(times_by_id), 3)
        for times in times_by_id.values():
            self.assertLessEqual(most_in_a_second(times), 30)


class GuardTest(unittest.TestCase):
    def test_new_host_waits(self):
        """Guards against hosts that the others don't count yet."""
        host = Host(make_members(1)[0])
        self.assertEqual(host.ask(0, 9), [])
        host.see(make_members(1), 0)
        self.assertEqual(host.ask(bound.SETTLE_S - 0.1, 9), [])
        host.confirmed_at = bound.SETTLE_S
        self.assertEqual(len(host.ask(bound.SETTLE_S, 99)), 30)

    def test_host_with_an_old_list_sends_nothing(self):
        """Guards against a host whose slots others took over."""
        (host,) = settled_hosts(1)
        late = bound.SETTLE_S + bound.MAX_VIEW_AGE_S + 0.1
        self.assertEqual(host.ask(late, 9), [])

    def test_host_that_is_not_listed_sends_nothing(self):
        """Guards against a host whose entry could not be written."""
        host = Host(make_members(2)[0])
        host.see(make_members(2)[1:], 0)
        host.confirmed_at = bound.SETTLE_S
        self.assertEqual(host.ask(bound.SETTLE_S, 9), [])

    def test_service_without_a_rate_is_not_bounded(self):
        """Guards against limits that no configuration asked for."""
        host = Host(make_members(1)[0], table=make_table(0))
        self.assertEqual(len(host.ask(0, 99)), 99)

    def test_slack_lets_a_slow_server_start(self):
        """Guards against a server that gets nothing while it is cold."""
        (host,) = settled_hosts(1, table=make_table(0.2))
        self.assertEqual(len(host.ask(bound.SETTLE_S, 9)), 1)


class ChangeTest(unittest.TestCase):
    def setUp(self):
        warm = BACKEND._replace(warmup_left_s=0)
        (self.host,) = settled_hosts(1, backends=[warm])
        self.now = bound.SETTLE_S

    def answer(self, attempt, **fields):
        attempt.sent = True
        self.host.dispatcher.on_reply(
            attempt, test_dispatching.reply(**fields), self.now
        )

    def test_server_that_becomes_cold_again_is_bounded(self):
        """Guards against a bound that applies only after a start."""
        attempts = self.host.ask(self.now, 50)
        self.assertEqual(len(attempts), 50)
        self.answer(attempts[0], cold_s=8.0)
        self.assertEqual(len(self.host.ask(self.now, 50)), 30)
        (event,) = self.host.cold.pop_events()
        self.assertEqual(event, bound.ColdEvent('a0', 8.0))
        counts = self.host.cold.pop_counts()
        self.assertEqual(counts[bound.Decision.SENT], 30)
        self.assertEqual(counts[bound.Decision.HELD_BACK], 1)

    def test_warm_server_is_not_bounded(self):
        """Guards against a cold time that never ends."""
        attempts = self.host.ask(self.now)
        self.answer(attempts[0], cold_s=8.0)
        self.now += 8
        self.host.confirmed_at = self.now
        self.assertEqual(len(self.host.ask(self.now, 50)), 50)
        self.host.cold.expire(self.now)
        self.assertEqual(self.host.cold.pop_events()[-1].remaining_s, 0)

    def test_false_report_is_shortened(self):
        """Guards against a figure that holds work back for days."""
        attempts = self.host.ask(self.now)
        self.answer(attempts[0], cold_s=10.0**6)
        self.assertLessEqual(
            self.host.cold.pop_events()[0].remaining_s, bound.MAX_REPORT_S
        )

    def test_late_entry_does_not_end_the_cold_time(self):
        """Guards against an entry that is older than an answer."""
        attempts = self.host.ask(self.now)
        self.answer(attempts[0], cold_s=8.0)
        for left_s, incarnation, sent in ((1.0, 1, 30), (0, 1, 0), (0, 2, 50)):
            self.host.directory.update_entry(
                BACKEND._replace(warmup_left_s=left_s, incarnation=incarnation)
            )
            self.host.cold.on_entry('a0', self.now)
            self.assertEqual(len(self.host.ask(self.now, 50)), sent)


class WaitTest(unittest.TestCase):
    def start(self, host, now, timeout_s=2.0):
        work = requeststate.Work(
            ROUTE, ('a',), None, now, requeststate.TimeBudget(timeout_s)
        )
        host.dispatcher.start(work, now)
        return work

    def test_part_waits_for_a_slot(self):
        """Guards against parts that wait for the end of another attempt."""
        (host,) = settled_hosts(1)
        now = bound.SETTLE_S
        host.ask(now, 30)
        work = self.start(host, now)
        self.assertEqual(host.dispatcher.pop_attempts(), [])
        next_at = now
        while not work.open_attempts() and next_at < work.deadline:
            next_at = host.dispatcher.send_held_back(next_at)
        (attempt,) = work.open_attempts()
        self.assertAlmostEqual(attempt.started_at, now + bound.SLOT_INTERVAL_S)
        host.dispatcher.send_held_back(next_at)
        self.assertFalse(host.dispatcher.held_back_services)

    def test_warm_replica_is_used_at_once(self):
        """Guards against work that waits although a warm server is free."""
        warm = test_dispatching.make_backend('a1', 'a')
        (host,) = settled_hosts(1, backends=[BACKEND, warm])
        attempts = host.ask(bound.SETTLE_S, 200)
        used = collections.Counter(attempt.backend_id for attempt in attempts)
        self.assertEqual(used.total(), 200)
        self.assertLessEqual(used['a0'], 30)

    def test_host_without_slots_refuses_at_once(self):
        """Guards against a part that waits for a slot that never comes."""
        (host,) = settled_hosts(1, table=make_table(0.2))
        host.cold.view_age_s = lambda: bound.MAX_VIEW_AGE_S + 1
        work = self.start(host, bound.SETTLE_S)
        self.assertTrue(work.is_finished(bound.SETTLE_S))
        (part,) = work.subrequests
        self.assertEqual(part.failure_reason, 'backend_servers_cold')

    def test_hedges_and_repeats_are_bounded(self):
        """Guards against further attempts beside the slots."""
        other = BACKEND._replace(backend_id='a1')
        (host,) = settled_hosts(1, backends=[BACKEND, other])
        now = bound.SETTLE_S
        attempts = host.ask(now, 59)
        work = self.start(host, now)
        attempts += host.dispatcher.pop_attempts()
        self.assertEqual(len(attempts), 60)
        later = now + 0.9
        host.dispatcher.tick(work, later)
        self.assertEqual(host.dispatcher.pop_attempts(), [])


class RecordedAttempts:
    """Takes the place of the transport and answers nothing."""

    def __init__(self):
        self.attempts = []

    async def send(self, attempt):
        self.attempts.append(attempt)


class TimerTest(unittest.TestCase):
    def test_waiting_part_is_sent_without_an_event(self):
        """Guards against a slot that nobody uses when it becomes free."""
        loops.run(self.wait_for_slot)

    async def wait_for_slot(self):
        backends = directory.Directory()
        backends.update_entry(BACKEND)
        settings = {'process_id': 'h0'}
        settings['host'] = {'id': 'h0', 'availability_zone': 'z0'}
        active = activerequests.ActiveRequests(
            context.create(settings), backends
        )
        transport = RecordedAttempts()
        active.transport = transport
        dispatcher = active.dispatcher
        dispatcher.apply(make_table(0.2))
        now = time.monotonic()
        view = allocation.create_view('h0', make_members(1))
        dispatcher.cold_servers.update_view(view, now - bound.SETTLE_S - 1)
        dispatcher.cold_servers.on_entry('a0', now)
        works = [
            requeststate.Work(
                ROUTE, ('a',), None, now, requeststate.TimeBudget(60)
            )
            for _ in range(2)
        ]
        for work in works:
            dispatcher.start(work, now)
        await active.send()
        self.assertEqual(len(transport.attempts), 1)
        while len(transport.attempts) < 2:
            await curio.sleep(bound.RECHECK_S)
        first, second = transport.attempts
        self.assertGreaterEqual(
            second.started_at - first.started_at, bound.SLOT_INTERVAL_S
        )


class DocumentTest(unittest.TestCase):
    def test_rates_of_services(self):
        """Guards against a malformed rate that stops a new configuration."""
        for rate, expected in (('20', 20), ('"x"', 0), ('-1', 0), ('0', None)):
            table = documents.parse_routes(
                b'{"version": 1, "routes": [], "limits": {"max_header_bytes":'
                b' 1, "max_body_bytes": 1, "header_timeout_ms": 1,'
                b' "idle_timeout_ms": 1}, "services": [{"name": "a",'
                b' "max_connections": 1, "warmup_s": 8, "cold_per_s": %s}]}'
                % rate.encode()
            )
            warm_up = table.warm_ups_by_service.get('a')
            found = None if warm_up is None else warm_up.cold_per_s
            self.assertEqual(found, expected, rate)

    def test_cold_time_of_entries(self):
        """Guards against malformed entries that count as valid."""
        entry = (
            '{"address": "10.0.0.1:80", "service": "a", "zone": "z",'
            ' "state": "ready", "slots": 1, "sequence": 1%s}'
        )
        for addition, expected in (
            ('', 0),
            (', "warmup_left_ms": 1500', 1.5),
            (', "warmup_left_ms": -1', None),
            (', "warmup_left_ms": "9"', None),
            (', "warmup_left_ms": null', None),
        ):
            backend = documents.parse_backend('b', (entry % addition).encode())
            left_s = backend.warmup_left_s if backend else None
            self.assertEqual(left_s, expected, addition)

    def test_cold_time_of_answers(self):
        """Guards against malformed headers that change the cold time."""
        for text, expected in (
            (b'2500', 2.5),
            (b'0', 0),
            (b'-1', None),
            (b'1.5', None),
            (b'', None),
            (b'9' * 40, None),
        ):
            headers = {b'x-cold-remaining': text}
            self.assertEqual(replyheaders.parse_cold_s(headers), expected, text)
        self.assertIsNone(replyheaders.parse_cold_s({}))
