"""Failures of real processes: kills, freezes, silence, wrong answers."""

import concurrent.futures
import copy
import functools
import signal
import time
import unittest

from cardamomflow import services
from standins import fleet, verify

DEADLINE_MS = 1000
BOTH_OF_FIRST = ('weighbridge-1-a', 'weighbridge-1-b')


class FaultCase(unittest.TestCase):
    """A fleet of two zones, restored after each test."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(fleet.running())
        cls.port = cls.fleet.entry_ports['zone-a']
        cls.other_port = cls.fleet.entry_ports['zone-b']

    def ask(self, number, port=None, **fields):
        """Send a query and return its checked answer."""
        request_id = f'{self.id()}-{number}'
        status, answer = self.fleet.query(
            port or self.port,
            **{
                'request_id': request_id,
                'deadline_ms': DEADLINE_MS,
                **fields,
            },
        )
        self.assertEqual(status, 200, answer)
        found = verify.problems(self.fleet, request_id, answer)
        self.assertEqual(found, [], answer)
        return answer

    def ask_many(self, count, interval_s=0.02, **fields):
        """Send queries at intervals, in parallel, and return the answers."""
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            futures = []
            for number in range(count):
                futures.append(pool.submit(self.ask, number, **fields))
                time.sleep(interval_s)
            return [future.result() for future in futures]

    def assert_whole(self, answers):
        for answer in answers:
            self.assertEqual(answer['coverage']['missing'], [])

    def control(self, backend_ids, restore=None, **changes):
        self.fleet.control(list(backend_ids), **changes)
        if restore:
            self.addCleanup(self.fleet.control, list(backend_ids), **restore)

    def restart(self, program, zone):
        self.fleet.processes_by_name[f'{program}-{zone}'].kill()
        self.fleet.start_program(program, zone)
        for port in self.fleet.entry_ports.values():
            self.fleet.wait_whole(port)
        fleet.wait_until(
            functools.partial(self.fleet.is_owner, zone), f'owner of {zone}'
        )


class BackendFaultTest(FaultCase):
    def test_silent_connections_are_replaced(self):
        """Guards against queries lost on connections that went silent."""
        self.ask_many(5)
        self.fleet.control(
            list(self.fleet.backend_ports), silence_connections=True
        )
        time.sleep(1.5)
        self.assert_whole(self.ask_many(20))

    def test_hanging_replica_is_hedged(self):
        """Guards against a straggler that sets the latency of a query."""
        self.ask_many(30)
        self.control(['weighbridge-1-a'], gray='hang', restore={'gray': 'none'})
        answers = self.ask_many(30)
        self.assert_whole(answers)

    def test_pause_of_all_servers_loses_no_shard(self):
        """Guards against early refusals while all calls hang for a moment."""
        self.ask_many(10)
        paused = [
            process
            for name, process in self.fleet.processes_by_name.items()
            if name.startswith('backends-')
        ]
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            asking = pool.submit(self.ask_many, 60)
            time.sleep(0.4)
            for process in paused:
                process.signal(signal.SIGSTOP)
                self.addCleanup(process.signal, signal.SIGCONT)
            time.sleep(0.4)
            for process in paused:
                process.signal(signal.SIGCONT)
            self.assert_whole(asking.result())

    def test_crossed_duplicate_and_truncated_answers_are_not_merged(self):
        """Guards against rows of another shard, twice, or cut off."""
        for fault in ('crossed', 'mislabelled', 'duplicate', 'truncated'):
            with self.subTest(fault=fault):
                share = f'{fault}_share'
                self.control(['weighbridge-2-a'], **{share: 0.5})
                self.addCleanup(
                    self.fleet.control, ['weighbridge-2-a'], **{share: 0}
                )
                self.ask_many(20)
                self.control(['weighbridge-2-a'], **{share: 0})

    def test_retired_version_ends_in_one_other_version(self):
        """Guards against an answer that mixes two index versions."""
        every = list(self.fleet.backend_ports)
        shards = list(range(self.fleet.shards))
        held = {'map_revision': 1, 'shards': shards}
        self.control(every, publish={'version': 2, **held})
        self.fleet.wait_whole(self.port)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            asking = pool.submit(self.ask_many, 60)
            for backend_id in every:
                time.sleep(0.1)
                self.control([backend_id], publish={'version': 3, **held})
                self.control([backend_id], retire={'version': 2})
            asking.result()
        time.sleep(services.STATUS_INTERVAL_S + 0.5)
        last = self.ask('last')
        self.assertEqual(last['snapshot']['version'], 3)
        self.assert_whole([last])

    def test_draining_server_gets_no_new_work_after_5_seconds(self):
        """Guards against work sent to a backend server that leaves."""
        drained = 'weighbridge-3-a'
        self.control([drained], draining=True, restore={'draining': False})
        time.sleep(5)
        before = self.calls_of(drained)
        self.assert_whole(self.ask_many(20))
        self.assertEqual(self.calls_of(drained), before)

    def calls_of(self, backend_id):
        _, report = fleet.call(
            self.fleet.backend_ports[backend_id], 'GET', '/control'
        )
        return {
            name: count
            for name, count in report['counts'].items()
            if name in ('query_calls', 'operation_calls')
        }


class ProcessFaultTest(FaultCase):
    def test_killed_aggregator_is_replaced_by_another_zone(self):
        """Guards against queries lost with one process."""
        self.fleet.processes_by_name['aggregator-zone-a'].kill()
        self.addCleanup(self.restart, 'aggregator', 'zone-a')
        self.assert_whole(self.ask_many(30))

    def test_frozen_aggregator_is_replaced_within_the_deadline(self):
        """Guards against a silent process that costs a whole deadline."""
        frozen = self.fleet.processes_by_name['aggregator-zone-a']
        frozen.signal(signal.SIGSTOP)
        self.addCleanup(frozen.signal, signal.SIGCONT)
        self.assert_whole(self.ask_many(40, interval_s=0.1))
        frozen.signal(signal.SIGCONT)
        self.assert_whole(self.ask_many(20, interval_s=0.1))

    def test_platform_outage_does_not_touch_queries(self):
        """Guards against queries that need the platform."""
        self.fleet.processes_by_name['platform'].kill()
        self.addCleanup(self.fleet.start_platform)
        time.sleep(3)
        self.assert_whole(self.ask_many(10))
        _, status = fleet.call(self.port, 'GET', '/v1/status')
        self.assertEqual(status['configuration']['revision'], 1)

    def test_killed_agent_leaves_the_last_view_in_force(self):
        """Guards against programs that stop with their agent."""
        self.fleet.processes_by_name['agent-zone-a'].kill()
        self.addCleanup(self.fleet.start_program, 'agent', 'zone-a')
        time.sleep(2)
        self.assert_whole(self.ask_many(10))

    def ask_balanced(self, number):
        """Ask the second zone; the first when nothing could be sent."""
        try:
            return self.ask(number, port=self.other_port)
        except ConnectionRefusedError:
            return self.ask(number, port=self.port)

    def test_stopping_entry_cuts_no_request(self):
        """Guards against a planned stop that cuts what it was sent."""
        self.addCleanup(self.fleet.wait_whole, self.other_port)
        self.addCleanup(self.fleet.start_program, 'entry', 'zone-b')
        process = self.fleet.processes_by_name['entry-zone-b']
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            futures = []
            for number in range(100):
                futures.append(pool.submit(self.ask_balanced, number))
                time.sleep(0.02)
                if number == 25:
                    process.signal(signal.SIGTERM)
            answers = [future.result() for future in futures]
        self.assertEqual(process.wait(), 0)
        self.assert_whole(answers)

    def test_stopping_aggregator_cuts_no_request(self):
        """Guards against a planned stop that loses shards."""
        self.addCleanup(self.restart, 'aggregator', 'zone-a')
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            asking = pool.submit(self.ask_many, 120)
            time.sleep(0.5)
            name = 'aggregator-zone-a'
            status = self.fleet.processes_by_name[name].stop()
            answers = asking.result()
        self.assertEqual(status, 0, self.fleet.log(name))
        self.assert_whole(answers)


class ConfigurationFaultTest(FaultCase):
    def test_revision_survives_an_outage_and_an_old_value(self):
        """Guards against a configuration that reverts."""
        rules = copy.deepcopy(fleet.RULES)
        rules['work']['alert'] = {'rank': 'urgent'}
        self.fleet.publish(1, rules)
        self.wait_revision(2)
        self.fleet.control_platform(roll_back={'config/current': 1})
        time.sleep(5)
        self.assertEqual(self.revisions(), {2})
        self.restart('agent', 'zone-b')
        self.wait_revision(2)
        self.assertEqual(self.revisions(), {2})

    def revisions(self):
        return {
            fleet.call(port, 'GET', '/v1/status')[1]['configuration'][
                'revision'
            ]
            for port in self.fleet.entry_ports.values()
        }

    def wait_revision(self, revision):
        fleet.wait_until(
            lambda: self.revisions() == {revision},
            f'revision {revision}',
            timeout_s=5,
        )


class OperationFaultTest(FaultCase):
    def send(self, port, key, **fields):
        document = {
            'request_id': f'request-{key}',
            'service': 'weighbridge-2',
            'work': 'record-lot',
            'key': key,
            'issued_at': self.issued_at,
            'deadline_ms': 3000,
            'payload': {'kg': 410},
            **fields,
        }
        return fleet.call(port, 'POST', '/v1/operations', document)

    def setUp(self):
        self.issued_at = int(time.time())

    def outcome(self, key):
        """Return the recorded outcome at the other zone, None if open."""
        path = f'/v1/operations/weighbridge-2/{self.issued_at}/{key}'
        status, answer = fleet.call(self.other_port, 'GET', path)
        return answer['outcome'] if status == 200 else None

    def runs_of(self, key):
        return sum(
            count
            for backend_id in self.fleet.backend_ports
            for name, count in self.fleet.executions(backend_id).items()
            if name.endswith(f'/{key}')
        )

    def test_same_key_at_two_zones_at_once_runs_once(self):
        """Guards against a race of two entry hosts for one lot."""
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for number in range(8):
                key = f'race-{number}'
                list(
                    pool.map(
                        self.send, (self.port, self.other_port), (key, key)
                    )
                )
                fleet.wait_until(
                    functools.partial(self.outcome, key), 'outcome', 5
                )
                self.assertEqual(self.runs_of(key), 1)

    def test_owner_killed_between_dispatch_and_answer(self):
        """Guards against a second run after the first owner died."""
        servers = ['weighbridge-2-a', 'weighbridge-2-b']
        self.addCleanup(self.restart, 'aggregator', 'zone-a')
        self.control(
            servers, service_time_ms=1500, restore={'service_time_ms': 3}
        )
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            sending = pool.submit(self.send, self.port, 'killed')
            time.sleep(0.7)
            self.fleet.processes_by_name['aggregator-zone-a'].kill()
            _, answer = sending.result()
        self.assertEqual(answer['error']['outcome'], 'unknown')
        for _ in range(5):
            _, answer = self.send(self.other_port, 'killed')
            self.assertEqual(answer['error']['outcome'], 'unknown')
            time.sleep(0.5)
        self.assertEqual(self.runs_of('killed'), 1)

    def test_stopping_owner_finishes_its_operation(self):
        """Guards against a planned stop that leaves a payment unknown."""
        servers = ['weighbridge-2-a', 'weighbridge-2-b']
        self.addCleanup(self.restart, 'aggregator', 'zone-a')
        self.control(
            servers, service_time_ms=1500, restore={'service_time_ms': 3}
        )
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            sending = pool.submit(self.send, self.port, 'stopped')
            time.sleep(0.5)
            self.fleet.processes_by_name['aggregator-zone-a'].signal(
                signal.SIGTERM
            )
            status, answer = sending.result()
        self.assertEqual((status, answer.get('outcome')), (200, 'run'), answer)
        self.assertEqual(self.runs_of('stopped'), 1)

    def test_owner_frozen_before_dispatch_does_no_harm(self):
        """Guards against a paused claimant that sends after all."""
        frozen = self.fleet.processes_by_name['aggregator-zone-a']
        self.addCleanup(frozen.signal, signal.SIGCONT)
        self.fleet.control_platform(delay_ms=400)
        self.addCleanup(self.fleet.control_platform, delay_ms=0)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            sending = pool.submit(self.send, self.port, 'frozen')
            time.sleep(0.2)
            frozen.signal(signal.SIGSTOP)
            sending.result()
        self.fleet.control_platform(delay_ms=0)
        self.send(self.other_port, 'frozen')
        frozen.signal(signal.SIGCONT)
        time.sleep(2)
        self.send(self.other_port, 'frozen')
        self.assertLessEqual(self.runs_of('frozen'), 1)

    def test_accepted_statement_survives_its_owner(self):
        """Guards against a statement fetch that is lost or run twice."""
        servers = ['weighbridge-2-a', 'weighbridge-2-b']
        self.control(servers, draining=True, restore={'draining': False})
        # The owner learns it from the status reports; before that it may be
        # killed with a claim that it wrote for a first attempt.
        time.sleep(services.STATUS_INTERVAL_S + 0.5)
        status, answer = self.send(
            self.port, 'later', work='supplier-statement', deferred=True
        )
        self.assertEqual((status, answer['outcome']), (202, 'accepted'))
        self.addCleanup(self.restart, 'aggregator', 'zone-a')
        self.fleet.processes_by_name['aggregator-zone-a'].kill()
        self.control(servers, draining=False)
        fleet.wait_until(
            lambda: self.outcome('later') == 'run', 'run of the statement', 40
        )
        self.assertEqual(self.runs_of('later'), 1)


class RepartitionTest(FaultCase):
    def test_repartition_ends_in_the_new_map_alone(self):
        """Guards against shards of two maps in one answer."""
        shards = list(range(2 * self.fleet.shards))
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            asking = pool.submit(self.ask_many, 40)
            for backend_id in self.fleet.backend_ports:
                self.control(
                    [backend_id],
                    repartition={'map_revision': 2, 'shards': shards},
                )
                self.control(
                    [backend_id], retire={'version': 1, 'map_revision': 1}
                )
                time.sleep(0.05)
            asking.result()
        time.sleep(services.STATUS_INTERVAL_S + 0.5)
        last = self.ask('last')
        self.assertEqual(last['snapshot']['map_revision'], 2)
        self.assertEqual(last['coverage']['total'], 24)
        self.assert_whole([last])
