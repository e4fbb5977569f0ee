"""Zones of real processes cut from each other and from the platform."""

import collections
import concurrent.futures
import contextlib
import copy
import functools
import threading
import time
import unittest

import curio

from cardamomflow import exchange, roster
from cardamomflow.generated import control_pb2
from standins import fleet, network, verify

CUT_ZONE = 'zone-a'
ZONES = (CUT_ZONE, 'zone-b', 'zone-c')
CONNECTED = ZONES[1:]
# Everything that the cut zone can't reach; no replica of the second service
# is in the cut zone.
OTHERS = (*CONNECTED, fleet.PLATFORM, network.OUTSIDE)
AWAY = 'weighbridge-2'
SERVICES = ('weighbridge-1', AWAY, 'weighbridge-3')
CONNECTIONS = 25
# A member is dead about 6 s after it went silent.
DEAD_AFTER_S = 9
# Polls every 2 s, with a timeout of 1 s, find unreachable backend servers.
NOTICED_AFTER_S = 4
BOUND_S = 5


def setUpModule():
    CutCase.fleet = unittest.enterModuleContext(
        fleet.running(zones=ZONES, network=True)
    )
    CutCase.pool = unittest.enterModuleContext(
        concurrent.futures.ThreadPoolExecutor(32)
    )
    # An aggregator ranks itself 10 s after its start; a zone that is cut
    # off before that has no owner.
    for zone in ZONES:
        fleet.wait_until(
            functools.partial(CutCase.fleet.is_owner, zone), f'owner of {zone}'
        )


class CutCase(unittest.TestCase):
    """A fleet of three zones behind a relay, shared by all tests."""

    def setUp(self):
        self.addCleanup(self.heal)

    @contextlib.contextmanager
    def cut(self, **options):
        self.fleet.network.cut(CUT_ZONE, OTHERS, **options)
        yield
        self.fleet.network.heal()

    def heal(self):
        self.fleet.network.heal()
        for port in self.fleet.entry_ports.values():
            self.fleet.wait_whole(port)

    def ask(self, zone, settling=False):
        """Send a query, check its answer and return the missing services.

        While a cut zone settles, a query may end without any shard, see
        `AfterCutTest`; it then has to say so.
        """
        request_id = f'{zone}-{time.monotonic_ns()}'
        status, answer = self.fleet.query(
            self.fleet.entry_ports[zone], request_id=request_id
        )
        if settling and zone == CUT_ZONE and status == 504:
            self.assertEqual(answer['error']['code'], 'deadline_exceeded')
            return set(SERVICES)
        self.assertEqual(status, 200, (zone, answer))
        found = verify.problems(self.fleet, request_id, answer)
        self.assertEqual(found, [], (zone, answer))
        return {shard['service'] for shard in answer['coverage']['missing']}

    def ask_all(self, settling=False):
        """Ask every zone at once; return the missing services by zone."""
        ask = functools.partial(self.ask, settling=settling)
        return dict(zip(ZONES, self.pool.map(ask, ZONES), strict=True))

    def settle(self):
        """Ask until the unreachable backend servers are known."""
        self.ask_for(NOTICED_AFTER_S, settling=True)

    def ask_for(self, duration_s, settling=False):
        """Ask every zone repeatedly for some time."""
        ends_at = time.monotonic() + duration_s
        found = []
        while time.monotonic() < ends_at:
            found.append(self.ask_all(settling))
            time.sleep(0.2)
        return found

    def status(self, zone):
        _, status = fleet.call(
            self.fleet.entry_ports[zone], 'GET', '/v1/status'
        )
        return status

    def revision(self, zone):
        return self.status(zone)['configuration']['revision']


class AfterCutTest(CutCase):
    def test_first_queries_are_answered(self):
        """Guards against a query that gets no shard right after a cut."""
        with self.cut():
            self.ask_for(NOTICED_AFTER_S)


class QueryTest(CutCase):
    def assert_reachable_shards_answered(self, found):
        for missing_by_zone in found:
            self.assertEqual(
                missing_by_zone,
                {CUT_ZONE: {AWAY}, **dict.fromkeys(CONNECTED, set())},
            )

    def test_every_zone_answers_with_true_coverage(self):
        """Guards against a cut zone that fails or hides missing shards."""
        self.assertEqual(self.ask_all(), dict.fromkeys(ZONES, set()))
        with self.cut():
            self.settle()
            found = self.ask_for(DEAD_AFTER_S - NOTICED_AFTER_S)
            ages_s = self.ages_s()
        self.assert_reachable_shards_answered(found)
        # The other zones heard each other; one probe in four leaves a zone.
        self.assertGreater(ages_s.pop(CUT_ZONE), DEAD_AFTER_S - 1)
        self.assertLess(max(ages_s.values()), BOUND_S)

    def ages_s(self):
        return {zone: self.status(zone)['other_zones_age_s'] for zone in ZONES}

    def test_one_way_cut_hides_no_shards(self):
        """Guards against answers that trust a link which only receives."""
        with self.cut(one_way=True):
            self.settle()
            found = self.ask_for(BOUND_S)
        self.assert_reachable_shards_answered(found)


class HealingTest(CutCase):
    def test_healed_zones_are_whole_again(self):
        """Guards against a fleet that stays apart, or floods a server."""
        peaks = []
        with self.cut():
            self.settle()
            while not self.states(CUT_ZONE)['agent-zone-b'] == roster.DEAD:
                self.ask_all()
                peaks += self.connections()
        healed_at = time.monotonic()
        while time.monotonic() < healed_at + 2 * BOUND_S:
            found = self.ask_all()
            if time.monotonic() > healed_at + BOUND_S:
                self.assertEqual(found, dict.fromkeys(ZONES, set()))
            peaks += self.connections()
        alive = {f'agent-{zone}': roster.ALIVE for zone in ZONES}
        self.assertEqual([self.states(zone) for zone in ZONES], 3 * [alive])
        self.assertLessEqual(max(peaks), CONNECTIONS)
        self.assertEqual(self.refused_connections(), 0)

    def states(self, zone):
        """Return the states of the agents as the agent of a zone sees them."""
        answer = curio.run(
            exchange.send_request,
            fleet.ADDRESS,
            self.fleet.agent_ports[zone],
            control_pb2.Message(sync_request=control_pb2.SyncRequest()),
        )
        return {
            record.member_id: record.state
            for record in answer.sync_answer.members
        }

    def reports(self):
        return [
            fleet.call(port, 'GET', '/control')[1]
            for port in self.fleet.backend_ports.values()
        ]

    def connections(self):
        return [report['status']['connections'] for report in self.reports()]

    def refused_connections(self):
        return sum(
            report['counts'].get('refused_connections', 0)
            for report in self.reports()
        )


class ConfigurationTest(CutCase):
    def test_configuration_published_under_a_cut_arrives_after_it(self):
        """Guards against a zone that misses, delays or reverts a change."""
        before = self.revision('zone-b')
        rules = copy.deepcopy(fleet.RULES)
        rules['work']['alert'] = {'rank': 'urgent'}
        seen = []
        with self.watched(seen):
            with self.cut():
                self.settle()
                self.ask_for(DEAD_AFTER_S - NOTICED_AFTER_S)
                self.fleet.publish(before, rules)
                self.wait_revision(CONNECTED, before + 1)
                self.assertEqual(self.revision(CUT_ZONE), before)
            self.wait_revision(ZONES, before + 1)
        for zone in ZONES:
            revisions = [row[zone] for row in seen]
            self.assertEqual(revisions, sorted(revisions))

    def wait_revision(self, zones, revision):
        fleet.wait_until(
            lambda: {self.revision(zone) for zone in zones} == {revision},
            f'revision {revision} in {zones}',
            BOUND_S,
        )

    @contextlib.contextmanager
    def watched(self, seen):
        """Collect the revisions in force until some time after the end."""
        ended = threading.Event()

        def watch():
            while not ended.wait(0.1):
                seen.append({zone: self.revision(zone) for zone in ZONES})

        watching = self.pool.submit(watch)
        try:
            yield
            time.sleep(BOUND_S)
        finally:
            ended.set()
        watching.result()


class OperationTest(CutCase):
    def test_no_key_runs_twice_under_a_cut(self):
        """Guards against a payment made twice, or one called not made."""
        self.issued_at = int(time.time())
        self.fleet.control(list(self.fleet.backend_ports), service_time_ms=300)
        self.addCleanup(
            self.fleet.control,
            list(self.fleet.backend_ports),
            service_time_ms=3,
        )
        sent = self.send_stream('before', 8)
        with self.cut():
            sent += self.send_stream('during', 24)
            time.sleep(DEAD_AFTER_S - NOTICED_AFTER_S)
            sent += self.send_stream('apart', 8)
            answers = [(key, future.result()) for key, future in sent]
        # What waited in the relay may still reach a backend server.
        time.sleep(2)
        self.check(answers)
        keys = sorted({key for key, _ in answers})
        again = [
            (key, answer) for key in keys for answer in self.send_both(key)
        ]
        self.check(again)
        for key in keys:
            fleet.wait_until(
                functools.partial(self.recorded, key), f'outcome of {key}', 10
            )
        self.check(answers + again)

    def send_stream(self, name, count):
        """Send keys at intervals, each at the cut and at another zone."""
        sent = []
        for number in range(count):
            for zone in (CUT_ZONE, 'zone-b'):
                key = f'{name}-{number}'
                sent.append((key, self.pool.submit(self.send, zone, key)))
            time.sleep(0.1)
        return sent

    def send_both(self, key):
        return list(self.pool.map(self.send, (CUT_ZONE, 'zone-b'), (key, key)))

    def service_of(self, key):
        return SERVICES[int(key.rpartition('-')[2]) % len(SERVICES)]

    def send(self, zone, key):
        """Send an operation and return its outcome."""
        document = {
            'request_id': f'{zone}-{key}',
            'service': self.service_of(key),
            'work': 'record-lot',
            'key': key,
            'issued_at': self.issued_at,
            'deadline_ms': 2000,
            'payload': {'kg': 410},
        }
        _, answer = fleet.call(
            self.fleet.entry_ports[zone], 'POST', '/v1/operations', document
        )
        return answer.get('outcome') or answer['error']['outcome']

    def recorded(self, key):
        """Tell whether every zone knows the final outcome of a key."""
        path = f'/v1/operations/{self.service_of(key)}/{self.issued_at}/{key}'
        answers = [
            fleet.call(port, 'GET', path)[1]
            for port in self.fleet.entry_ports.values()
        ]
        found = {
            answer.get('outcome') or answer['error']['code']
            for answer in answers
        }
        return found in ({'run'}, {'operation_unresolved'})

    def check(self, answers):
        """Compare the outcomes of each key with its executions."""
        runs_by_key = self.runs_by_key()
        outcomes_by_key = {}
        for key, outcome in answers:
            outcomes_by_key.setdefault(key, set()).add(outcome)
        for key, outcomes in outcomes_by_key.items():
            runs = runs_by_key.get(key, 0)
            self.assertLessEqual(runs, 1, (key, outcomes))
            if 'run' in outcomes:
                self.assertEqual(runs, 1, (key, outcomes))
            if outcomes == {'not_run'}:
                self.assertEqual(runs, 0, (key, outcomes))

    def runs_by_key(self):
        counts = collections.Counter()
        for backend_id in self.fleet.backend_ports:
            for name, count in self.fleet.executions(backend_id).items():
                counts[name.rpartition('/')[2]] += count
        return counts
