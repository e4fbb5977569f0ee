"""Checks the sum of all hosts in every window over histories of faults.

The bound of settled holders is the one that the design aims at, which is below
that of the rules. With the reserve of hosts that are not settled, it is that of
the rules, as long as one host of each zone uses it at a time. Each guard is
removed in turn on seeds that were found to need it.
"""

import unittest
from unittest import mock

from cardamomflow.quotas import borrowing, bucket, holders
from tests import quotaworld

HISTORIES = 2000
RESERVE_HISTORIES = 500
DURATION_S = 45
# The first seeds that exceed the bound without the guard.
SEEDS_BY_GUARD = {
    'expiry of loans': (3, 8, 9),
    'capacity reduced by loans': (458, 703, 998),
    'quarantine': (43, 162, 188),
    'empty start': (311, 1451, 1671),
    'age of the view': (121, 219, 263),
    'agreement of the hosts': (43, 162, 188),
    'one use of a grant': (109, 149, 260),
}


def start_full(self, limit, now, start=bucket.EscrowBucket.__init__):
    start(self, limit, now)
    self._level = limit.capacity


def refill_beside_loans(self, now):
    elapsed_s = max(0, now - self._updated_at)
    self._updated_at = max(self._updated_at, now)
    refilled = self._level + elapsed_s * self.limit.rate_per_s
    self._level = min(refilled, self.limit.capacity)


def accept_any_grant(self, request_id, tokens, valid_s, now):
    if tokens:
        self._loans.append([now + valid_s, tokens])


PATCHES_BY_GUARD = {
    'expiry of loans': (borrowing.Borrowing, '_expire', lambda *_: None),
    'capacity reduced by loans': (
        bucket.EscrowBucket,
        '_refill',
        refill_beside_loans,
    ),
    'quarantine': (holders, 'QUARANTINE_S', 0),
    'empty start': (bucket.EscrowBucket, '__init__', start_full),
    'age of the view': (holders.Holders, 'is_fresh', lambda *_: True),
    'agreement of the hosts': (
        holders.Holders,
        '_is_agreed',
        lambda *_: True,
    ),
    'one use of a grant': (borrowing.Borrowing, 'on_grant', accept_any_grant),
}


def excess(seed):
    """Return the requests above the bound of settled holders."""
    with mock.patch.object(holders.Holders, 'is_unsettled', lambda *_: False):
        world = quotaworld.World(seed).run(DURATION_S)
    return most_of(world) - world.allowed


def most_of(world):
    """Return the requests in the worst window."""
    return world.most_in_window(quotaworld.RESERVE.window_s)


def reserve_excess(seed):
    """Return the tokens above the bounds with a reserve, in the worst window.

    Holders and reserve together, and the reserve alone, which is a small part.
    """
    world = quotaworld.World(seed).run(DURATION_S)
    window_s = quotaworld.RESERVE.window_s
    return max(
        most_of(world) - world.allowed_with_reserve,
        world.most_of_reserve_in_window(window_s) - world.allowed_by_reserve,
    )


def unlimited_reserve(limit, reserve_limit=bucket.reserve_limit):
    return reserve_limit(limit)._replace(capacity=1_000_000)


class BoundTest(unittest.TestCase):
    def test_every_window_is_within_the_limit(self):
        """Guards against any way to spend a token twice.

        Partitions, kills, restarts, pauses, lost, late and repeated messages,
        outages of the store, late views, and clocks that differ.
        """
        exceeding_seeds = [
            seed for seed in range(HISTORIES) if excess(seed) > 0
        ]
        self.assertEqual(exceeding_seeds, [])

    def test_every_window_with_reserve_is_within_the_limit(self):
        """Guards against a reserve that exceeds what the holders leave.

        Where views differ, several hosts of a zone use the reserve, and each
        may issue its share.
        """
        exceeding_seeds = [
            seed
            for seed in range(RESERVE_HISTORIES)
            if reserve_excess(seed) > 0
        ]
        self.assertEqual(exceeding_seeds, [])

    def test_histories_with_one_reserve_are_within_the_rule(self):
        """Guards against a limit of the rules that is exceeded in outages."""
        worlds = [
            world
            for seed in range(RESERVE_HISTORIES)
            if set(
                (
                    world := quotaworld.World(seed).run(DURATION_S)
                ).reserves_by_zone.values()
            )
            == {1}
        ]
        self.assertGreater(len(worlds), RESERVE_HISTORIES // 10)
        for world in worlds:
            self.assertLessEqual(
                most_of(world),
                bucket.window_limit(world.account, quotaworld.RESERVE),
            )

    def test_capacity_of_the_reserve_is_needed(self):
        """Guards against a model that would not notice a larger reserve."""
        seeds = range(40)
        with mock.patch.object(bucket, 'reserve_limit', unlimited_reserve):
            self.assertGreater(max(map(reserve_excess, seeds)), 0)
        self.assertLessEqual(max(map(reserve_excess, seeds)), 0)

    def test_histories_use_most_of_the_reserve(self):
        """Guards against a bound that holds since nothing is issued."""
        worlds = [quotaworld.World(seed).run(DURATION_S) for seed in range(50)]
        shares = [
            world.most_of_reserve_in_window(quotaworld.RESERVE.window_s)
            / world.reserve_share
            for world in worlds
            if set(world.reserves_by_zone.values()) == {1}
        ]
        self.assertGreater(max(shares), 0.5)

    def test_histories_use_most_of_the_limit(self):
        """Guards against a bound that holds since nothing is admitted."""
        worlds = [quotaworld.World(seed).run(DURATION_S) for seed in range(50)]
        shares = [
            world.most_in_window(quotaworld.RESERVE.window_s) / world.allowed
            for world in worlds
        ]
        self.assertGreater(max(shares), 0.9)

    def test_design_bound_is_within_the_rule(self):
        """Guards against a capacity that is above the allowed reserve."""
        reserve = quotaworld.RESERVE
        for account in quotaworld.ACCOUNTS:
            for zones in range(1, 11):
                limit = bucket.zone_limit(account, zones, reserve)
                usual = account.rate_per_s * reserve.window_s
                allowed = (usual + account.burst) * (
                    1 + reserve.overage
                ) + reserve.slack
                unsettled = bucket.reserve_limit(limit)
                # Loans of the host before may be valid when one begins.
                reserve_share = unsettled.capacity + unsettled.rate_per_s * (
                    reserve.window_s + bucket.SINGLE_LOAN_S
                )
                self.assertLessEqual(
                    zones * (limit.capacity + reserve_share) + usual,
                    allowed + 1e-6,
                )
                self.assertLessEqual(
                    zones * reserve_share, reserve.slack + 1e-6
                )
                self.assertGreaterEqual(unsettled.capacity, 1)

    def test_each_guard_is_needed(self):
        """Guards against a model that would not notice a missing guard."""
        for guard, patched in PATCHES_BY_GUARD.items():
            seeds = SEEDS_BY_GUARD[guard]
            with self.subTest(guard):
                with mock.patch.object(*patched):
                    self.assertGreater(max(map(excess, seeds)), 0)
                self.assertLessEqual(max(map(excess, seeds)), 0)
