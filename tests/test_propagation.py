"""Tests that the newest configuration reaches all members."""

import unittest

from hypothesis import given, settings, strategies

from bench import fleet
from cardamomflow import propagation


def document(revision):
    return propagation.Document(revision, b'document %d' % revision)


EVENTS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('receive'), strategies.integers(1, 9)
        ),
        strategies.tuples(strategies.just('offer'), strategies.integers(1, 9)),
        strategies.tuples(strategies.just('ended'), strategies.integers(1, 9)),
        strategies.tuples(strategies.just('tick'), strategies.integers(1, 9)),
    ),
    max_size=40,
)


class PropagationTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(EVENTS)
    def test_never_goes_back(self, events):
        """Guards against an older document that replaces a newer one."""
        propagator = propagation.Propagation(propagation.Options())
        newest = 0
        now = 0
        for kind, number in events:
            before = propagator.revision
            match kind:
                case 'receive':
                    propagator.receive(document(number))
                    newest = max(newest, number)
                case 'offer':
                    actions = propagator.record_revision(
                        number, f'peer-{number % 3}', now
                    )
                    self.assertLessEqual(len(actions), 1)
                    self.assertFalse(actions and number <= before)
                case 'ended':
                    propagator.end_pull(f'peer-{number % 3}', now)
                case 'tick':
                    now += number / 4
                    propagator.tick(now)
            self.assertGreaterEqual(propagator.revision, before)
            self.assertEqual(propagator.revision, newest)

    def test_old_value_is_counted(self):
        """Guards against a platform that serves an old value."""
        propagator = propagation.Propagation(propagation.Options())
        propagator.receive(document(4))
        self.assertEqual(propagator.receive(document(3)), [])
        self.assertEqual(propagator.ignored_count, 1)
        self.assertEqual(propagator.current, document(4))
        self.assertEqual(propagator.receive(document(4)), [])
        self.assertEqual(propagator.ignored_count, 1)

    def test_new_document_is_announced_once(self):
        """Guards against a document that is announced repeatedly."""
        propagator = propagation.Propagation(propagation.Options(fanout=3))
        actions = propagator.receive(document(2))
        self.assertIn(propagation.Announce(3), actions)
        self.assertEqual(propagator.receive(document(2)), [])

    def test_timed_out_pull_is_followed_by_the_next_source(self):
        """Guards against a pull that waits for ever on a dead source."""
        propagator = propagation.Propagation(propagation.Options())
        self.assertEqual(
            propagator.record_revision(5, 'dead', 0),
            [propagation.Pull('dead', 0)],
        )
        self.assertEqual(propagator.record_revision(5, 'live', 0.1), [])
        self.assertEqual(propagator.tick(0.5), [])
        self.assertEqual(propagator.tick(1.1), [propagation.Pull('live', 0)])
        propagator.receive(document(5))
        self.assertEqual(propagator.end_pull('live', 1.2), [])

    def test_two_watchers_in_each_zone(self):
        """Guards against reads of the platform by every agent."""
        ids = [f'agent-{number}' for number in range(40)]
        chosen = propagation.watchers(ids)
        self.assertEqual(len(chosen), 2)
        self.assertEqual(chosen, propagation.watchers(reversed(ids)))
        self.assertEqual(propagation.watchers(['alone']), ['alone'])


class SpreadTest(unittest.TestCase):
    """Propagation through a simulated fleet."""

    def _start_fleet(self, seed, count=16, loss=0):
        network = fleet.Fleet(seed)
        network.loss = loss
        for number in range(count):
            network.start(number, f'zone-{number % 4}')
        network.run(25)
        return network

    def test_reaches_all_in_spite_of_loss(self):
        """Guards against late documents on nodes that lost the announcement."""
        network = self._start_fleet(1, loss=0.2)
        for revision in range(1, 6):
            published_at = network.now
            network.publish(network.nodes['agent-003'], revision)
            network.run(5)
            for node in network.running():
                duration_s = node.in_force_at[revision] - published_at
                self.assertLess(duration_s, 5)

    def test_reaches_a_cut_zone_within_5_s_of_its_return(self):
        """Guards against members that wait for a full exchange after a cut."""
        network = self._start_fleet(2)
        cut_nodes = [
            node for node in network.running() if node.zone == 'zone-1'
        ]
        network.publish(network.nodes['agent-000'], 1)
        network.run(5)
        network.cut_off = {node.member_id for node in cut_nodes}
        network.run(90)
        network.publish(network.nodes['agent-000'], 2)
        network.run(30)
        self.assertEqual({node.spread.revision for node in cut_nodes}, {1})
        network.cut_off = set()
        network.run(5)
        revisions = {node.spread.revision for node in network.running()}
        self.assertEqual(revisions, {2})

    def test_reaches_a_single_member_within_5_s_of_its_return(self):
        """Guards against a member that never retries members marked dead."""
        network = self._start_fleet(3)
        isolated = network.nodes['agent-009']
        network.cut_off = {isolated.member_id}
        network.run(120)
        network.publish(network.nodes['agent-000'], 7)
        network.run(5)
        network.cut_off = set()
        network.run(5)
        self.assertEqual(isolated.spread.revision, 7)

    def test_new_host_pulls_the_document_from_peers(self):
        """Guards against a start that needs the platform."""
        network = self._start_fleet(4)
        network.publish(network.nodes['agent-000'], 3)
        network.run(5)
        new_node = network.start(16, 'zone-0')
        network.run(2)
        self.assertEqual(new_node.spread.revision, 3)

    def test_older_value_at_one_member_does_not_spread(self):
        """Guards against fleets that alternate between two platform values."""
        network = self._start_fleet(5)
        network.publish(network.nodes['agent-000'], 9)
        network.run(5)
        for node in network.running():
            network.publish(node, 8)
        network.run(10)
        revisions = {node.spread.revision for node in network.running()}
        self.assertEqual(revisions, {9})
