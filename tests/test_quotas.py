"""Tests tokens of accounts in a fleet without network."""

import unittest

from cardamomflow.accounts import table
from cardamomflow.quotas import allocation, borrowing, bucket
from lab import quotas

LIMIT = bucket.Limit(rate_per_s=10, capacity=20, loan_s=1)
ZONES = 4
HOSTS_PER_ZONE = 15
WINDOW_S = 5
SETTLED_S = 2


class BucketTest(unittest.TestCase):
    def test_loans_take_up_capacity(self):
        """Guards against lent tokens that are refilled before they expire."""
        escrow = bucket.EscrowBucket(LIMIT, 0)
        self.assertEqual(escrow.lend(50, 1, 0), 0)
        self.assertEqual(escrow.lend(50, 1, 10), 20)
        self.assertEqual(escrow.level(10.9), 0)
        self.assertEqual(escrow.level(11.5), 5)

    def test_used_tokens_free_capacity(self):
        """Guards against a holder whose own requests lower its rate."""
        escrow = bucket.EscrowBucket(LIMIT, 0)
        self.assertTrue(escrow.take(10))
        self.assertEqual(escrow.level(10.2), 20)

    def test_wait_counts_refill_and_loans(self):
        """Guards against a Retry-After before any token can be there."""
        escrow = bucket.EscrowBucket(LIMIT, 0)
        self.assertAlmostEqual(escrow.wait_s(0), 0.1)
        escrow.lend(20, 1, 10)
        self.assertAlmostEqual(escrow.wait_s(10.2), 0.8)

    def test_lowered_limit_takes_tokens_away(self):
        """Guards against a burst of the old limit after a change."""
        escrow = bucket.EscrowBucket(LIMIT, 0)
        escrow.configure(LIMIT._replace(capacity=2), 10)
        self.assertEqual(escrow.level(10), 2)

    def test_small_limit_gets_whole_tokens(self):
        """Guards against a share of a zone that never reaches one token."""
        account = table.Account('a', rate_per_s=0.5, burst=1)
        limit = bucket.zone_limit(account, 4, bucket.Reserve())
        escrow = bucket.EscrowBucket(limit, 0)
        self.assertTrue(escrow.take(9))


class OnlyHostTest(unittest.TestCase):
    def test_restarts_stay_within_the_limit(self):
        """Guards against tokens of a start that exceed the limit."""
        reserve = bucket.Reserve()
        for account in (
            table.Account('a', rate_per_s=9.5),
            table.Account('a', rate_per_s=1, burst=1),
            table.Account('a', rate_per_s=20, burst=500),
            table.Account('a', rate_per_s=1000),
        ):
            limit = bucket.zone_limit(account, 1, reserve)
            used, end = 0, 100
            interval_s = reserve.window_s / bucket.STARTS_IN_WINDOW
            # A host that had all its tokens, and then starts again and again.
            for started_at in (0, *(end + n * interval_s for n in range(4))):
                tokens = allocation.Allocation(
                    account, limit, allocation.Askers(), is_alone=True
                )
                tokens.set_role(started_at, started_at)
                spent_at = max(end, started_at)
                while spent_at <= max(end, started_at + interval_s - 0.001):
                    while tokens.take(spent_at) is not None:
                        used += 1
                    spent_at += 0.01
            with self.subTest(account):
                self.assertGreater(used, account.rate_per_s * reserve.window_s)
                self.assertLessEqual(
                    used, bucket.window_limit(account, reserve)
                )


class BorrowingTest(unittest.TestCase):
    def test_loan_expires_by_the_time_of_the_request(self):
        """Guards against a late grant that outlives the holder's record."""
        loans = borrowing.Borrowing()
        loans.on_request_sent(1, 0)
        self.assertTrue(loans.on_grant(1, 3, 1, 0.9))
        self.assertEqual(loans.tokens(0.9), 3)
        self.assertIsNone(loans.take(1))

    def test_grant_is_used_once(self):
        """Guards against repeated messages that double a loan."""
        loans = borrowing.Borrowing()
        loans.on_request_sent(1, 0)
        loans.on_grant(1, 3, 1, 0)
        self.assertFalse(loans.on_grant(1, 3, 1, 0))
        self.assertEqual(loans.tokens(0), 3)

    def test_returned_token_keeps_its_expiry(self):
        """Guards against a token that becomes younger by being returned."""
        loans = borrowing.Borrowing()
        loans.on_request_sent(1, 0)
        loans.on_grant(1, 1, 1, 0)
        permit = loans.take(0.5)
        self.assertIsNone(loans.take(0.5))
        loans.put_back(permit, 0.6)
        self.assertEqual(loans.tokens(0.9), 1)
        self.assertEqual(loans.tokens(1), 0)


class AllocationTest(unittest.TestCase):
    def create(self, acting_since=0):
        account = table.Account('a', 0, rate_per_s=10, burst=20)
        tokens = allocation.Allocation(account, LIMIT, allocation.Askers())
        tokens.set_role(acting_since, 0)
        return tokens

    def test_bucket_of_a_new_role_is_empty(self):
        """Guards against tokens that were lent before a restart."""
        tokens = self.create()
        self.assertTrue(tokens.lend('h', 5, 10, is_foreign=False).tokens)
        tokens.set_role(11, 11)
        self.assertIsNone(tokens.take(11))
        tokens.set_role(None, 12)
        self.assertEqual(
            tokens.lend('h', 5, 12, is_foreign=False), allocation.NOT_HOLDER
        )

    def test_reserve_is_lent_in_the_zone_alone(self):
        """Guards against a reserve that other zones or a holder use up."""
        account = table.Account('a', rate_per_s=10, burst=20)
        limit = bucket.zone_limit(account, 2, bucket.Reserve())
        tokens = allocation.Allocation(account, limit, allocation.Askers())
        tokens.set_role(None, 0, is_unsettled=True)
        self.assertIsNone(tokens.take(0))
        self.assertEqual(
            tokens.lend('h', 1, 5, is_foreign=True), allocation.NOT_HOLDER
        )
        # One token even if the asker wants more.
        self.assertEqual(tokens.lend('h', 9, 5, is_foreign=False).tokens, 1)
        self.assertEqual(tokens.take(5), borrowing.RESERVE_PERMIT)
        self.assertFalse(tokens.is_unused(5))
        tokens.set_role(6, 6)
        self.assertIsNone(tokens.take(6))

    def test_relent_token_expires_with_its_loan(self):
        """Guards against a chain of loans that outlives the first one."""
        tokens = self.create()
        tokens.loans.on_request_sent(1, 0)
        tokens.loans.on_grant(1, 5, 1, 0)
        grant = tokens.lend('h', 5, 0.4, is_foreign=False)
        self.assertEqual(grant.tokens, 5)
        self.assertAlmostEqual(grant.valid_s, 0.6)

    def test_borrowed_tokens_stay_in_the_zone(self):
        """Guards against holders that lend each other the same tokens."""
        tokens = self.create()
        tokens.loans.on_request_sent(1, 0)
        tokens.loans.on_grant(1, 5, 1, 0)
        self.assertFalse(tokens.lend('h', 5, 0, is_foreign=True).tokens)

    def test_refused_hosts_are_spaced(self):
        """Guards against a flood of requests for tokens at a holder."""
        tokens = self.create()
        waits = [
            tokens.lend(number, 1, 0, is_foreign=False).wait_s
            for number in range(100)
        ]
        self.assertGreaterEqual(waits[-1], 100 * allocation.REFUSAL_SPACING_S)


class FleetTest(unittest.TestCase):
    """Scenarios with 60 hosts in 4 zones."""

    def start(self, account, **other):
        return quotas.Fleet(
            ZONES, HOSTS_PER_ZONE, [account, *other.values()], seed=7
        )

    def test_three_hosts_use_the_whole_limit(self):
        """Guards against equal shares, which give three hosts a twentieth."""
        account = table.Account('a', rate_per_s=200, burst=200)
        for zones in ((0, 0, 0), (0, 1, 2)):
            fleet = self.start(account)
            rates_by_place = {
                quotas.Place(zone, number): 60
                for number, zone in enumerate(zones)
            }
            fleet.add_requests('a', rates_by_place, 0, 12)
            fleet.run(12)
            self.assertGreater(fleet.admitted_share('a', SETTLED_S), 0.98)

    def test_moved_demand_finds_its_tokens(self):
        """Guards against shares that follow demand late."""
        account = table.Account('a', rate_per_s=200, burst=200)
        fleet = self.start(account)
        for zone, begin in ((0, 0), (1, 8)):
            places = [place for place in fleet.places if place.zone == zone]
            fleet.add_requests(
                'a', dict.fromkeys(places, 180 / len(places)), begin, begin + 8
            )
        fleet.run(16)
        self.assertGreater(fleet.admitted_share('a', 10), 0.97)

    def test_lowered_limit_holds_after_one_window(self):
        """Guards against tokens of the old limit that stay in use."""
        account = table.Account('a', rate_per_s=200, burst=200)
        fleet = self.start(account)
        fleet.add_requests('a', dict.fromkeys(fleet.places, 10), 0, 20)
        fleet.run(6)
        lowered = account._replace(rate_per_s=50, burst=25)
        fleet.configure(lowered)
        fleet.run(20)
        limit = bucket.zone_limit(lowered, ZONES, bucket.Reserve())
        admitted = fleet.most_in_window('a', WINDOW_S, 6 + WINDOW_S)
        self.assertLessEqual(
            admitted, lowered.rate_per_s * WINDOW_S + ZONES * limit.capacity
        )
        self.assertGreater(admitted, 0.9 * lowered.rate_per_s * WINDOW_S)

    def test_flood_is_held_and_its_neighbour_is_served(self):
        """Guards against a flooding account that uses up another's tokens.

        Load pattern: one account sends 5.7 times its usual demand.
        """
        flood = table.Account('a', rate_per_s=200, burst=100)
        neighbour = table.Account('b', rate_per_s=50, burst=50)
        fleet = self.start(flood, neighbour=neighbour)
        usual = 180 / len(fleet.places)
        fleet.add_requests('a', dict.fromkeys(fleet.places, 5.7 * usual), 0, 12)
        fleet.add_requests('b', {fleet.places[0]: 40}, 0, 12)
        fleet.run(12)
        window = fleet.most_in_window('a', WINDOW_S)
        self.assertLessEqual(window, 200 * WINDOW_S + 100)
        served = fleet.admitted_share('a', SETTLED_S) * 5.7 * 180
        self.assertGreater(served, 0.95 * 200)
        self.assertGreater(fleet.admitted_share('b', 0), 0.99)

    def test_no_request_waits_longer_than_its_messages(self):
        """Guards against requests that wait for a later refill."""
        account = table.Account('a', rate_per_s=200, burst=200)
        fleet = self.start(account)
        fleet.add_requests('a', dict.fromkeys(fleet.places, 3), 0, 6)
        fleet.run(6)
        waits = [outcome.wait_s for outcome in fleet.outcomes]
        self.assertLess(max(waits), 0.025)
        self.assertLess(sum(waits) / len(waits), 3 * quotas.NEAR_S)
