"""Propagation: newest wins, never back, reaches all after a cut."""

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
        spread = propagation.Propagation(propagation.Options())
        newest = 0
        now = 0
        for kind, number in events:
            before = spread.revision
            match kind:
                case 'receive':
                    spread.receive(document(number))
                    newest = max(newest, number)
                case 'offer':
                    actions = spread.offer(number, f'peer-{number % 3}', now)
                    self.assertLessEqual(len(actions), 1)
                    self.assertFalse(actions and number <= before)
                case 'ended':
                    spread.pull_ended(f'peer-{number % 3}', now)
                case 'tick':
                    now += number / 4
                    spread.tick(now)
            self.assertGreaterEqual(spread.revision, before)
            self.assertEqual(spread.revision, newest)

    def test_old_value_is_counted(self):
        """Guards against a platform that serves an old value."""
        spread = propagation.Propagation(propagation.Options())
        spread.receive(document(4))
        self.assertEqual(spread.receive(document(3)), [])
        self.assertEqual(spread.ignored_count, 1)
        self.assertEqual(spread.current, document(4))
        self.assertEqual(spread.receive(document(4)), [])
        self.assertEqual(spread.ignored_count, 1)

    def test_new_document_is_announced_once(self):
        """Guards against a document that is announced again and again."""
        spread = propagation.Propagation(propagation.Options(fanout=3))
        actions = spread.receive(document(2))
        self.assertIn(propagation.Announce(3), actions)
        self.assertEqual(spread.receive(document(2)), [])

    def test_pull_moves_on_to_the_next_source(self):
        """Guards against a pull that hangs on a dead source."""
        spread = propagation.Propagation(propagation.Options())
        self.assertEqual(
            spread.offer(5, 'dead', 0), [propagation.Pull('dead', 0)]
        )
        self.assertEqual(spread.offer(5, 'live', 0.1), [])
        self.assertEqual(spread.tick(0.5), [])
        self.assertEqual(spread.tick(1.1), [propagation.Pull('live', 0)])
        spread.receive(document(5))
        self.assertEqual(spread.pull_ended('live', 1.2), [])

    def test_two_watchers_in_each_zone(self):
        """Guards against reads of the platform by every agent."""
        ids = [f'agent-{number}' for number in range(40)]
        chosen = propagation.watchers(ids)
        self.assertEqual(len(chosen), 2)
        self.assertEqual(chosen, propagation.watchers(reversed(ids)))
        self.assertEqual(propagation.watchers(['alone']), ['alone'])


class SpreadTest(unittest.TestCase):
    """Documents in a fleet."""

    def _started(self, seed, count=16, loss=0):
        net = fleet.Fleet(seed)
        net.loss = loss
        for number in range(count):
            net.start(number, f'zone-{number % 4}')
        net.run(25)
        return net

    def test_reaches_all_in_spite_of_loss(self):
        """Guards against a node that misses the announcement for long."""
        net = self._started(1, loss=0.2)
        for revision in range(1, 6):
            published_at = net.now
            net.publish(net.nodes['agent-003'], revision)
            net.run(5)
            for node in net.running():
                took_s = node.in_force_at[revision] - published_at
                self.assertLess(took_s, 5)

    def test_reaches_a_cut_zone_within_5_s_of_its_return(self):
        """Guards against members that wait for a full exchange after a cut."""
        net = self._started(2)
        zone = [node for node in net.running() if node.zone == 'zone-1']
        net.publish(net.nodes['agent-000'], 1)
        net.run(5)
        net.cut_off = {node.member_id for node in zone}
        net.run(90)
        net.publish(net.nodes['agent-000'], 2)
        net.run(30)
        self.assertEqual({node.spread.revision for node in zone}, {1})
        net.cut_off = set()
        net.run(5)
        found = {node.spread.revision for node in net.running()}
        self.assertEqual(found, {2})

    def test_reaches_a_lone_member_within_5_s_of_its_return(self):
        """Guards against a member that thinks all others dead for good."""
        net = self._started(3)
        alone = net.nodes['agent-009']
        net.cut_off = {alone.member_id}
        net.run(120)
        net.publish(net.nodes['agent-000'], 7)
        net.run(5)
        net.cut_off = set()
        net.run(5)
        self.assertEqual(alone.spread.revision, 7)

    def test_new_host_takes_it_from_peers(self):
        """Guards against a start that needs the platform."""
        net = self._started(4)
        net.publish(net.nodes['agent-000'], 3)
        net.run(5)
        new = net.start(16, 'zone-0')
        net.run(2)
        self.assertEqual(new.spread.revision, 3)

    def test_older_value_at_one_member_does_not_spread(self):
        """Guards against fleets that flap between two platform values."""
        net = self._started(5)
        net.publish(net.nodes['agent-000'], 9)
        net.run(5)
        for node in net.running():
            net.publish(node, 8)
        net.run(10)
        found = {node.spread.revision for node in net.running()}
        self.assertEqual(found, {9})
