"""Metrics by client account: bounded rows, the largest accounts."""

import unittest

from cardamomflow.accounts import counters
from tests import hostworld, test_accounts, test_metrics

ACCOUNTS = 1000


class AccountCountersTest(unittest.TestCase):
    def count(self, rounds, large):
        """Return counters after requests of many accounts, a few large."""
        found = counters.AccountCounters()
        for _ in range(rounds):
            for number in range(ACCOUNTS):
                found.record_request(f'small-{number}')
            for name in large:
                for _ in range(50):
                    found.record_request(name)
                    found.record_refusal(name, 'quota_exceeded')
        return found

    def test_rows_are_bounded_and_name_the_largest(self):
        """Guards against a row for each account, and rows of small ones."""
        large = [f'large-{number}' for number in range(20)]
        found = self.count(10, large)
        requests = {name: total for (name,), total in found.requests()}
        self.assertEqual(len(requests), counters.MAX_LISTED + 1)
        self.assertLess(set(large), set(requests))
        self.assertEqual(sum(requests.values()), 10 * (ACCOUNTS + 20 * 50))
        refused = dict(found.refusals())
        self.assertLessEqual(len(refused), counters.MAX_LISTED + 1)
        self.assertEqual(sum(refused.values()), 10 * 20 * 50)

    def test_accounts_of_equal_size_stay_listed(self):
        """Guards against rows that come and go at every review."""
        found = self.count(3, ())
        before = [name for (name,), _ in found.requests()]
        for _ in range(3):
            for number in range(ACCOUNTS):
                found.record_request(f'small-{number}')
        self.assertEqual([name for (name,), _ in found.requests()], before)

    def test_account_with_the_name_of_the_others(self):
        """Guards against two rows with the same label."""
        found = counters.AccountCounters()
        for _ in range(3 * counters.REVIEW_REQUESTS):
            found.record_request(counters.OTHER)
        self.assertEqual(
            list(found.requests()), [(('other',), 3 * counters.REVIEW_REQUESTS)]
        )


class HostTest(unittest.TestCase):
    def test_metrics_page_names_accounts_and_causes(self):
        """Guards against refusals that no metric attributes to an account."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.refuses = True
            for key in (test_accounts.KEY, 'key-of-beta', 'x'):
                await world.ask('/statement/x', key)
            return world.host._metrics.render().decode()

        values = test_metrics.samples(
            hostworld.run_scenario(scenario, world=test_accounts.AccountWorld)
        )
        requests = 'cardamomflow_account_requests_total'
        refused = 'cardamomflow_account_refused_requests_total'
        self.assertEqual(values[requests, 'alpha'], 1)
        self.assertEqual(values[refused, 'beta', 'no_replica'], 1)
        self.assertEqual(
            values['cardamomflow_host_failed_requests_total', 'unknown_key'], 1
        )


if __name__ == '__main__':
    unittest.main()
