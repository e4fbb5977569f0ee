"""Membership: detection, refutation, ranking, partitions and limits."""

import hashlib
import pathlib
import random
import subprocess
import sys
import unittest

from bench import fleet
from cardamomflow import membership, roster
from cardamomflow.generated import control_pb2

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICES = ('weighbridge-1', 'sorting-7', 'payments', 'dispatch')


def make_ranker(service):
    def rank(ids):
        return sorted(
            ids,
            key=lambda node_id: hashlib.sha256(
                f'{service}{node_id}'.encode()
            ).digest(),
        )

    return rank


RANKERS = [make_ranker(service) for service in SERVICES]


def start_fleet(seed, count, zones=3, settle_s=25, loss=0):
    net = fleet.Fleet(seed)
    net.loss = loss
    net.records_changes = True
    for number in range(count):
        net.start(number, f'zone-{number % zones}')
    net.run(settle_s)
    return net


def join(net, generator):
    if len(net.running()) < 10:
        net.start(len(net.nodes), 'zone-0', seeds=range(10))


def kill(net, generator):
    if len(net.running()) > 4:
        net.stop(generator.choice(net.running()))


def leave(net, generator):
    if len(net.running()) > 4:
        net.leave(generator.choice(net.running()))


def pause(net, generator):
    node = generator.choice(net.running())
    net.pause(node)
    net.at(generator.uniform(1, 90), net.resume, node)


def restart(net, generator):
    node = generator.choice(net.running())
    net.stop(node)
    net.start(int(node.member_id[-3:]), 'zone-0')


EVENTS = (join, join, kill, leave, pause, restart)


class DetectionTest(unittest.TestCase):
    """A failed member is detected in time, a live one is not declared dead."""

    def test_all_members_detect_a_dead_member_in_time(self):
        """Guards against a member that goes unprobed for several periods."""
        for seed in range(5):
            net = start_fleet(seed, 12)
            victim = net.nodes['agent-005']
            stopped_at = net.now
            net.changes.clear()
            net.stop(victim)
            net.run(10)
            detection_s = {
                change[1]: change[0] - stopped_at
                for change in net.changes
                if change[2:] == ('agent-005', roster.DEAD)
            }
            self.assertEqual(len(detection_s), 11, seed)
            self.assertLess(max(detection_s.values()), 8, seed)
            self.assertGreater(min(detection_s.values()), 4, seed)

    def test_datagram_loss_declares_no_member_dead(self):
        """Guards against live members that are dead to others after loss."""
        net = start_fleet(3, 12, loss=0.1)
        net.changes.clear()
        net.run(60)
        deaths = [change for change in net.changes if change[3] == roster.DEAD]
        self.assertEqual(deaths, [])

    def test_planned_stop_reaches_all_members_at_once(self):
        """Guards against a leave that is detected only by missing acks."""
        net = start_fleet(4, 12)
        net.leave(net.nodes['agent-004'])
        net.run(1.0)
        states = [node.states(net.now)['agent-004'] for node in net.running()]
        self.assertEqual(set(states), {roster.LEAVING})
        net.run(10)
        states = [node.states(net.now)['agent-004'] for node in net.running()]
        self.assertEqual(set(states), {roster.DEAD})

    def test_restart_replaces_the_earlier_run(self):
        """Guards against stale records of a member's earlier run."""
        net = start_fleet(5, 12)
        net.stop(net.nodes['agent-007'])
        net.run(3)
        net.start(7, 'zone-1')
        net.run(15)
        for node in net.running():
            self.assertEqual(node.states(net.now)['agent-007'], roster.ALIVE)


class PauseTest(unittest.TestCase):
    """A paused member declares no member dead, and rejoins."""

    def test_paused_member_returns_and_declares_no_member_dead(self):
        """Guards against suspicion timers that expire during a pause."""
        for pause_s in (3, 20, 100):
            net = start_fleet(6, 12)
            paused = net.nodes['agent-002']
            net.pause(paused)
            net.run(pause_s)
            net.changes.clear()
            net.resume(paused)
            net.run(5)
            deaths = [
                change for change in net.changes if change[3] == roster.DEAD
            ]
            self.assertEqual(deaths, [], pause_s)
            for node in net.running():
                self.assertEqual(
                    node.states(net.now)['agent-002'], roster.ALIVE, pause_s
                )

    def test_long_pause_removes_own_aggregators_from_the_ranking(self):
        """Guards against a member that still ranks what its peers removed."""
        net = start_fleet(6, 12)
        paused = net.nodes['agent-002']
        net.pause(paused)
        net.run(40)
        net.resume(paused)
        net.run(1)
        ids = ranked_ids(paused, net.now)
        self.assertNotIn('agent-002/0', ids)
        net.run(10)
        self.assertIn('agent-002/0', ranked_ids(paused, net.now))

    def test_pause_discards_the_probe_in_progress(self):
        """Guards against suspicion of a member that acked during a pause."""
        own = control_pb2.MemberRecord(
            member_id='own', availability_zone='z', incarnation=5
        )
        peer = control_pb2.MemberRecord(
            member_id='peer',
            availability_zone='z',
            address='10.0.0.1',
            port=7400,
            incarnation=1,
            state=roster.ALIVE,
        )
        member = membership.Membership(
            own, membership.Options(), random.Random(1)
        )
        member.merge([peer], 0)
        probes = member.tick(1.0)
        self.assertTrue(probes)
        for now in (20.0, 20.1, 20.2):
            changes = [
                action
                for action in member.tick(now)
                if isinstance(action, membership.MemberChanged)
            ]
            self.assertEqual(changes, [])


def ranked_ids(node, now):
    return {
        aggregator.aggregator_id
        for aggregator in node.members.aggregators(node.zone, now)
    }


class RankingTest(unittest.TestCase):
    """Times at which an aggregator enters and leaves the ranking."""

    def test_peers_rank_a_new_aggregator_before_it_ranks_itself(self):
        """Guards against a third holder of a service while views converge."""
        net = start_fleet(8, 9)
        new = net.start(9, 'zone-0')
        peer = net.nodes['agent-003']
        net.run(9.5)
        self.assertIn('agent-009/0', ranked_ids(peer, net.now))
        self.assertNotIn('agent-009/0', ranked_ids(new, net.now))
        net.run(1)
        self.assertIn('agent-009/0', ranked_ids(new, net.now))

    def test_join_delay_starts_with_the_first_contact(self):
        """Guards against an aggregator that ranks itself before peers do."""
        net = start_fleet(8, 9)
        net.cut_off = {'agent-009'}
        new = net.start(9, 'zone-0')
        net.run(8)
        net.cut_off = set()
        net.run(7)
        self.assertIn('agent-003/0', ranked_ids(new, net.now))
        self.assertNotIn('agent-009/0', ranked_ids(new, net.now))
        net.run(6)
        self.assertIn('agent-009/0', ranked_ids(new, net.now))

    def test_dead_member_stays_ranked_for_the_retention_time(self):
        """Guards against a new holder while the old one is connected."""
        net = start_fleet(8, 9)
        net.stop(net.nodes['agent-006'])
        peer = net.nodes['agent-003']
        net.run(60)
        self.assertEqual(peer.states(net.now)['agent-006'], roster.DEAD)
        self.assertIn('agent-006/0', ranked_ids(peer, net.now))
        net.run(9)
        self.assertNotIn('agent-006/0', ranked_ids(peer, net.now))

    def test_at_most_two_hold_a_service(self):
        """Guards against extra holders during joins, deaths and leaves."""
        for seed in range(4):
            self._run_events(seed)

    def _run_events(self, seed):
        generator = random.Random(seed)
        net = start_fleet(seed, 6, zones=1, settle_s=15, loss=0.05)
        for _ in range(25):
            event = generator.choice(EVENTS)
            event(net, generator)
            for _ in range(generator.randrange(2, 60)):
                net.run(0.5)
                for rank in RANKERS:
                    holders = net.holders('zone-0', rank)
                    self.assertLessEqual(len(holders), 2, (seed, event))

    def test_each_service_has_two_holders_in_a_stable_fleet(self):
        """Guards against ranking rules that leave a service unheld."""
        net = start_fleet(9, 6, zones=1, settle_s=15)
        for rank in RANKERS:
            self.assertEqual(len(net.holders('zone-0', rank)), 2)


class CutTest(unittest.TestCase):
    """Network partitions and their recovery."""

    def test_cut_and_heal_without_a_flood(self):
        """Guards against message storms, and partitions that never merge."""
        net = start_fleet(10, 16, zones=4)
        zone = [node for node in net.running() if node.zone == 'zone-1']
        net.cut_off = {node.member_id for node in zone}
        peaks = [self._peak(net) for _ in range(120)]
        for node in zone:
            states = node.states(net.now)
            own = [states[other.member_id] for other in zone]
            self.assertEqual(set(own), {roster.ALIVE})
            self.assertEqual(states['agent-000'], roster.DEAD)
        net.cut_off = set()
        net.changes.clear()
        peaks += [self._peak(net) for _ in range(10)]
        for node in net.running():
            states = node.states(net.now)
            self.assertEqual(set(states.values()), {roster.ALIVE})
        self.assertNotIn(roster.DEAD, [change[3] for change in net.changes])
        # A probe, a probe of a dead member, 3 indirect probe requests and 4
        # announcements, and the answers to as many.
        self.assertLessEqual(max(peaks), 25)

    def _peak(self, net):
        before = {node.member_id: node.sent_count for node in net.running()}
        net.run(1)
        return max(
            node.sent_count - before[node.member_id] for node in net.running()
        )

    def test_partitions_that_started_apart_merge(self):
        """Guards against members that contact only members on their list."""
        net = fleet.Fleet(11)
        net.cut_off = {f'agent-{number:03}' for number in range(1, 12, 2)}
        for number in range(12):
            net.start(number, 'zone-0')
        net.run(30)
        self.assertEqual(len(net.nodes['agent-000'].states(net.now)), 6)
        net.cut_off = set()
        net.run(60)
        for node in net.running():
            self.assertEqual(len(node.states(net.now)), 12)

    def test_cut_heals_when_the_seeds_are_gone(self):
        """Guards against partitions that consider each other dead forever."""
        net = start_fleet(15, 12, zones=2)
        net.stop(net.nodes['agent-000'])
        net.stop(net.nodes['agent-001'])
        net.run(10)
        net.cut_off = {
            node.member_id for node in net.running() if node.zone == 'zone-1'
        }
        net.run(90)
        net.cut_off = set()
        net.run(5)
        for node in net.running():
            states = node.states(net.now).values()
            self.assertEqual(list(states).count(roster.ALIVE), 10)


class BoundsTest(unittest.TestCase):
    """Limits of datagram sizes and message rates."""

    def test_datagrams_stay_within_the_size_limit(self):
        """Guards against fragmented datagrams of hosts with many processes."""
        net = fleet.Fleet(12)
        for number in range(20):
            net.start(number, 'zone-0', aggregators=8)
        net.run(30)
        largest = max(node.largest_bytes for node in net.running())
        self.assertLessEqual(largest, 1400)
        self.assertGreater(largest, 700)

    def test_oversized_record_does_not_block_other_records(self):
        """Guards against a host with many processes that blocks gossip."""
        net = start_fleet(14, 9)
        net.register(net.nodes['agent-001'], 80)
        net.run(1)
        net.register(net.nodes['agent-002'], 2)
        net.run(4)
        for node in net.running():
            record = node.members.view(net.now).members_by_id['agent-002']
            self.assertEqual(len(record.aggregators), 2)
            self.assertLessEqual(node.largest_bytes, 1400)
        net.run(60)
        for node in net.running():
            record = node.members.view(net.now).members_by_id['agent-001']
            self.assertEqual(len(record.aggregators), 80)

    def test_rate_does_not_grow_with_the_fleet(self):
        """Guards against messages that go to all members."""
        rates = []
        for count in (10, 40):
            net = start_fleet(13, count, settle_s=60)
            before = sum(node.sent_count for node in net.running())
            net.run(30)
            sent = sum(node.sent_count for node in net.running()) - before
            rates.append(sent / 30 / count)
        self.assertLess(max(rates), 3)


class ExampleTest(unittest.TestCase):
    def test_example_loads_no_program_module(self):
        """Guards against a library that depends on the programs."""
        code = (
            'import sys; from examples import embed_membership as example;'
            'states = example.main();'
            'assert list(states.values()) == [2, 2, 5], states;'
            'programs = {"agent", "entry", "aggregator", "core"};'
            'loaded = {name.split(".")[-1] for name in sys.modules};'
            'assert not programs & loaded, loaded'
        )
        finished = subprocess.run(
            [sys.executable, '-c', code],
            cwd=ROOT,
            capture_output=True,
            check=False,
        )
        self.assertEqual(finished.returncode, 0, finished.stderr)


class RosterTest(unittest.TestCase):
    """Which received records replace stored ones."""

    def setUp(self):
        own = control_pb2.MemberRecord(
            member_id='own', availability_zone='z', incarnation=5
        )
        self.roster = roster.Roster(own, membership.Options(), random.Random(1))
        self.roster.start(0)

    def _record(self, incarnation, state, member_id='peer'):
        return control_pb2.MemberRecord(
            member_id=member_id,
            availability_zone='z',
            address='10.0.0.1',
            port=7400,
            incarnation=incarnation,
            state=state,
        )

    def test_older_records_are_ignored(self):
        """Guards against late datagrams that undo a refutation."""
        self.roster.apply(self._record(7, roster.ALIVE), 0)
        for incarnation, state in (
            (6, roster.SUSPECT),
            (6, roster.DEAD),
            (7, roster.JOINING),
        ):
            result = self.roster.apply(self._record(incarnation, state), 1)
            self.assertEqual(result, roster.ApplyResult.IGNORED)
        record = self.roster.records_by_id['peer']
        self.assertEqual(record.state, roster.ALIVE)

    def test_reported_death_only_marks_a_member_suspect(self):
        """Guards against mass deaths by stale reports after a partition."""
        self.roster.apply(self._record(7, roster.ALIVE), 0)
        self.roster.apply(self._record(7, roster.DEAD), 1)
        record = self.roster.records_by_id['peer']
        self.assertEqual(record.state, roster.SUSPECT)
        self.roster.apply(self._record(8, roster.ALIVE), 2)
        self.roster.expire(60)
        record = self.roster.records_by_id['peer']
        self.assertEqual(record.state, roster.ALIVE)

    def test_invalid_records_are_ignored(self):
        """Guards against addresses and ports that crash the send loop."""
        for name, value in (
            ('address', 'peer.example'),
            ('port', 70_000),
            ('member_id', ''),
            ('state', 0),
        ):
            record = self._record(7, roster.ALIVE)
            setattr(record, name, value)
            self.roster.apply(record, 0)
            self.assertEqual(list(self.roster.records_by_id), ['own'], name)

    def test_report_of_own_death_is_refuted(self):
        """Guards against a member that accepts its own death."""
        result = self.roster.apply(self._record(9, roster.DEAD, 'own'), 1)
        self.assertEqual(result, roster.ApplyResult.NEEDS_REFUTATION)
        self.roster.update_own(1)
        self.assertEqual(self.roster.own.incarnation, 10)
