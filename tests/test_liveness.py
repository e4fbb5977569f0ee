"""Schedule of pings, tested without connections."""

import collections
import unittest

from cardamomflow import liveness

DESIGN_LINKS = 473
# Rate that docs/CAPACITY.md assumes for this and larger numbers of links.
MAX_PINGS_PER_S = 7.0


class Simulation:
    """Links of one process whose peers answer at once unless dead."""

    def __init__(self, count, peer_interval_s=0):
        self.started_at = 1000.0
        self.now = self.started_at
        self.schedule = liveness.PingSchedule(self.now)
        self.timers = [liveness.LivenessTimer(self.now) for _ in range(count)]
        self.dead = set()
        self.timers_with_work = set()
        self.closed_after_s = {}
        self.pings = []
        self.pinged = set()
        for timer in self.timers:
            timer.peer_interval_s = peer_interval_s
            self.schedule.add(timer, self.now)

    def run(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            self.now += liveness.CHECK_INTERVAL_S
            self.check()

    def check(self):
        actions = self.schedule.check(
            self.now, self.timers_with_work.__contains__
        )
        for timer, action in actions:
            if action is liveness.Action.CLOSE:
                self.closed_after_s[timer] = self.now - self.started_at
                self.schedule.remove(timer)
            else:
                self.ping(timer)

    def ping(self, timer):
        self.pings.append(self.now)
        self.pinged.add(timer)
        timer.record_ping(self.now)
        if timer not in self.dead:
            timer.record_received(self.now)


class PingScheduleTest(unittest.TestCase):
    def test_ping_rate_of_many_links_is_limited(self):
        """Guards against a ping rate that grows with the number of links.

        The links become idle at the same time, which must not cause a burst.
        """
        for count, bound in (
            (40, 10.0),
            (DESIGN_LINKS, MAX_PINGS_PER_S),
            (5 * DESIGN_LINKS, MAX_PINGS_PER_S),
        ):
            with self.subTest(count=count):
                simulation = Simulation(count)
                duration_s = 5 * liveness.idle_interval_s(count)
                simulation.run(duration_s)
                self.assertLessEqual(len(simulation.pings) / duration_s, bound)
                self.assertGreaterEqual(len(simulation.pings), 3 * count)
                per_second = collections.Counter(map(int, simulation.pings))
                self.assertLessEqual(
                    max(per_second.values()),
                    # A full allowance, plus that of half a second.
                    1.5 * liveness.MAX_IDLE_PINGS_PER_S,
                )
                self.assertEqual(simulation.closed_after_s, {})

    def test_dead_peers_of_few_links_are_detected_without_delay(self):
        """Guards against a longer ping interval for a few links."""
        simulation = Simulation(liveness.SHORT_INTERVAL_LINKS)
        simulation.dead.update(simulation.timers)
        simulation.run(liveness.PING_INTERVAL_S)
        self.assertEqual(len(simulation.pings), liveness.SHORT_INTERVAL_LINKS)
        suspect_at = simulation.started_at + liveness.RESPONSIVE_LIMIT_S
        for timer in simulation.timers:
            self.assertTrue(timer.is_responsive(suspect_at - 0.01))
            self.assertFalse(timer.is_responsive(suspect_at))
        simulation.run(liveness.SILENCE_LIMIT_S)
        self.assertEqual(
            set(simulation.closed_after_s.values()), {liveness.SILENCE_LIMIT_S}
        )

    def test_dead_peer_is_detected_while_work_waits(self):
        """Guards against work that waits an idle interval for a dead peer.

        The work starts at different times after the last traffic from the
        peer, and the checks at different times after that. After a longer
        silence a ping is sent at once.
        """
        for silence_s in (0, 0.3, 0.8, 1, 1.4, 2, 5, 40):
            with self.subTest(silence_s=silence_s):
                simulation = Simulation(DESIGN_LINKS)
                timer = simulation.timers[0]
                simulation.dead.add(timer)
                simulation.run(silence_s)
                work_started_at = simulation.started_at + silence_s
                simulation.timers_with_work.add(timer)
                timer.on_work_started()
                if timer.needs_ping(work_started_at):
                    timer.record_ping(work_started_at)
                simulation.run(liveness.RESPONSIVE_LIMIT_S)
                self.assertFalse(timer.is_responsive(work_started_at + 2.0))
                simulation.run(liveness.SILENCE_LIMIT_S)
                self.assertLessEqual(
                    simulation.closed_after_s[timer] - silence_s,
                    liveness.SILENCE_LIMIT_S,
                )

    def test_idle_peer_is_responsive(self):
        """Guards against idle links that are closed or considered unusable."""
        simulation = Simulation(DESIGN_LINKS)
        simulation.run(liveness.idle_interval_s(DESIGN_LINKS) - 1)
        self.assertEqual(simulation.pings, [])
        self.assertTrue(
            all(
                timer.is_responsive(simulation.now)
                for timer in simulation.timers
            )
        )

    def test_longer_interval_of_both_ends_applies(self):
        """Guards against an aggregator that pings idle entries too often."""
        interval_s = liveness.idle_interval_s(DESIGN_LINKS)
        simulation = Simulation(2, interval_s)
        simulation.run(interval_s - 1)
        self.assertEqual(simulation.pings, [])
        simulation.run(2)
        self.assertEqual(len(simulation.pings), 2)

    def test_own_pause_closes_nothing(self):
        """Guards against live links closed, or all pinged in one burst."""
        simulation = Simulation(DESIGN_LINKS)
        simulation.run(1)
        simulation.timers_with_work.add(simulation.timers[-1])
        simulation.timers[-1].on_work_started()
        simulation.now += 10 * liveness.SILENCE_LIMIT_S
        simulation.check()
        self.assertEqual(
            len(simulation.pings), liveness.MAX_IDLE_PINGS_PER_S + 1
        )
        simulation.run(DESIGN_LINKS / liveness.MAX_IDLE_PINGS_PER_S)
        self.assertEqual(len(simulation.pinged), DESIGN_LINKS)
        self.assertEqual(simulation.closed_after_s, {})
