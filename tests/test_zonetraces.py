"""Seeded traces in which a zone runs short, without a network.

`bench.zonespill` runs them whole and with more seeds.
"""

import pathlib
import statistics
import tempfile
import unittest

from click import testing

from lab import main as lab_main
from lab import zonetraces

SEED = 3
# Long enough for some seconds of trouble.
SHORT_S = 9.0
# Requests of a short run at the usual demand, and the share of them that may
# find out whether another zone has room.
REQUESTS = SHORT_S * sum(kind.rate for kind in zonetraces.deployment().kinds)
PROBE_SHARE = 0.05
FEW_REPLICAS_SEEDS = (1, 2, 3)
# Callers need to be served as well as by the choice by waits alone; the rest is
# for the spread between runs.
MAXIMUM_LOSS = 0.005


def run(name, decisions=zonetraces.POLICY, length_s=SHORT_S):
    return zonetraces.run(name, decisions, SEED, length_s=length_s)


def calls_of(outcome, pair):
    return outcome.calls.get(pair, 0)


class HalfLostTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.ours = run('half_lost', length_s=zonetraces.LENGTH_S)
        cls.planned = run(
            'half_lost', zonetraces.PLANNER, length_s=zonetraces.LENGTH_S
        )

    def test_urgent_rank_is_as_good_as_planned(self):
        """Guards against urgent work that waits in a zone with too little."""
        self.assertGreaterEqual(self.ours.urgent, self.planned.urgent - 0.02)

    def test_bytes_are_as_planned(self):
        """Guards against more bytes between zones than the work needs."""
        self.assertLessEqual(
            self.ours.calls_between_zones,
            1.1 * self.planned.calls_between_zones,
        )

    def test_both_other_zones_help(self):
        """Guards against hosts that all leave for the same zone."""
        to_b, to_c = (calls_of(self.ours, ('a', zone)) for zone in 'bc')
        self.assertGreater(min(to_b, to_c), 0.5 * max(to_b, to_c))

    def test_only_the_short_zone_sends(self):
        """Guards against zones that send each other work."""
        for (zone, _), count in self.ours.calls.items():
            self.assertEqual(zone, 'a', count)

    def test_share_ends_with_the_trouble(self):
        """Guards against work that stays away after the servers are back."""
        shares = self.ours.shares['a']
        self.assertGreater(max(share for _, share in shares), 0.05)
        self.assertEqual(shares[-1][1], 0)

    def test_other_zones_stay_within_their_slots(self):
        """Guards against a second zone that is pushed over its limit."""
        for zone in 'bc':
            self.assertLess(self.ours.largest_load[zone], 1.3)


class OtherTracesTest(unittest.TestCase):
    def test_no_call_leaves_in_calm_or_in_bursts(self):
        """Guards against bytes between zones that nothing asks for."""
        for name in ('calm', 'bursts'):
            self.assertEqual(run(name).calls_between_zones, 0, name)

    def test_full_zones_exchange_next_to_nothing(self):
        """Guards against zones that send each other work in turn."""
        for name in ('all_full', 'slow'):
            outcome = run(name)
            with self.subTest(name):
                self.assertLess(
                    outcome.calls_between_zones, PROBE_SHARE * REQUESTS
                )

    def test_urgent_rank_moves_with_a_wave(self):
        """Guards against urgent work that is late where demand moved to."""
        outcome = run('wave', length_s=zonetraces.END_S)
        for zone in zonetraces.ZONES:
            share = outcome.in_target[zone, zonetraces.URGENT_KIND]
            self.assertGreater(share, 0.98)

    def test_late_and_false_figures_do_little_harm(self):
        """Guards against trust in reports that are old or false."""
        for name in ('half_lost_late', 'half_lost_false'):
            outcome = run(name)
            with self.subTest(name):
                for zone in zonetraces.ZONES:
                    share = outcome.in_target[zone, zonetraces.URGENT_KIND]
                    self.assertGreater(share, 0.97)


class FewReplicasTest(unittest.TestCase):
    """8 hosts in 4 zones, and 20 shards that two zones have once each."""

    def check(self, name):
        decisions = (zonetraces.POLICY, zonetraces.BY_WAIT)
        found = zonetraces.run_all(
            zonetraces.Run(name, decided, seed)
            for decided in decisions
            for seed in FEW_REPLICAS_SEEDS
        )
        count = len(FEW_REPLICAS_SEEDS)
        for kind in found[0].in_target_by_kind:
            shares = [one.in_target_by_kind[kind] for one in found]
            ours = statistics.fmean(shares[:count])
            by_wait = statistics.fmean(shares[count:])
            with self.subTest(kind):
                self.assertGreaterEqual(ours, by_wait - MAXIMUM_LOSS)

    def test_calm_with_pauses_is_as_good_as_by_wait(self):
        """Guards against work that waits for the only server, which pauses.

        Load: a third of the slots, pauses of 120 ms every 3 s.
        """
        self.check('pauses')

    def test_burst_with_pauses_is_as_good_as_by_wait(self):
        """Guards against work kept at the only server, or out of busy zones.

        Load: 1.7 times the usual demand for 18 s, and 0.15 of the servers take
        four times as long.
        """
        self.check('pauses_burst')


class CommandTest(unittest.TestCase):
    def test_share_over_time_is_drawn(self):
        """Guards against a report without the share over time."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'share.png'
            finished = testing.CliRunner().invoke(
                lab_main.main, ['zones', 'half_lost', f'--plot={path}']
            )
            self.assertEqual(finished.exit_code, 0, finished.output)
            self.assertIn('| half_lost | planner |', finished.output)
            self.assertGreater(path.stat().st_size, 0)


if __name__ == '__main__':
    unittest.main()
