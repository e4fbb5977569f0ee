"""Tests who issues the tokens of an account."""

import unittest

from cardamomflow import routing
from cardamomflow.quotas import bucket, holders

ACCOUNT = 'orders'
IDS = tuple(f'h{number}' for number in range(4))
FIRST, SECOND = routing.rank_members(f'tokens/{ACCOUNT}', IDS)[:2]
QUARANTINE_S = holders.QUARANTINE_S


class Clock:
    """Host whose view is confirmed twice in a second."""

    def __init__(self, host_id, ids=IDS, now=1000.0):
        self.now = now
        self.holders = holders.Holders(host_id, 'z1', now)
        self.list_hosts(ids)

    def list_hosts(self, ids):
        self.holders.on_members({'z1': ids, 'z2': {'other'}}, self.now)

    def pass_time(self, span_s, *, is_confirmed=True):
        end = self.now + span_s
        while self.now < end:
            self.now = min(end, self.now + 0.5)
            self.holders.tick(self.now)
            if is_confirmed:
                self.holders.on_confirmed(self.now, self.now)

    def agree(self, ids, *, is_witness):
        for host_id in ids:
            self.holders.on_view_reply(
                host_id,
                holders.ViewReply(self.holders.view_hash, is_witness),
                self.now,
                self.now,
            )

    @property
    def acting_since(self):
        return self.holders.acting_since(ACCOUNT, self.now)


def others_of(host_id, ids=IDS):
    return [other for other in ids if other != host_id]


class HolderTest(unittest.TestCase):
    def test_quarantine_of_a_new_process(self):
        """Guards against a restarted holder beside its replacement."""
        host = Clock(FIRST)
        host.pass_time(QUARANTINE_S)
        self.assertIsNone(host.acting_since)
        host.pass_time(0.5)
        self.assertIsNotNone(host.acting_since)

    def test_only_host_keeps_its_roles(self):
        """Guards against a host that waits for others that do not exist."""
        alone = holders.Holders('h0', 'z1', 1000.0, is_alone=True)
        begun_at = alone.acting_since(ACCOUNT, 1000.0)
        self.assertIsNotNone(begun_at)
        # A pause, and no confirmation.
        self.assertEqual(
            alone.acting_since(ACCOUNT, 1000.0 + 2 * QUARANTINE_S), begun_at
        )
        self.assertEqual(alone.role_count, 1)
        alone.retain(())
        self.assertEqual(alone.role_count, 0)

    def test_first_host_is_unsettled_until_it_acts(self):
        """Guards against a reserve beside the role, or at other hosts."""
        host = Clock(FIRST)
        self.assertTrue(host.holders.is_unsettled(ACCOUNT, host.now))
        host.pass_time(QUARANTINE_S + 1)
        self.assertFalse(host.holders.is_unsettled(ACCOUNT, host.now))
        host.pass_time(holders.VIEW_AGE_S + 1, is_confirmed=False)
        self.assertTrue(host.holders.is_unsettled(ACCOUNT, host.now))
        other = Clock(SECOND)
        self.assertFalse(other.holders.is_unsettled(ACCOUNT, other.now))

    def test_other_hosts_are_no_holders(self):
        """Guards against several holders in one zone."""
        for host_id in others_of(FIRST):
            host = Clock(host_id)
            host.pass_time(2 * QUARANTINE_S)
            self.assertIsNone(host.acting_since)
            self.assertEqual(host.holders.holder_of(ACCOUNT, 'z1'), FIRST)

    def test_unlisted_host_is_no_holder(self):
        """Guards against a holder whose entry has lapsed."""
        host = Clock(FIRST, others_of(FIRST))
        host.pass_time(2 * QUARANTINE_S)
        self.assertIsNone(host.acting_since)

    def test_agreement_ends_the_quarantine(self):
        """Guards against a zone without a holder after each change."""
        host = Clock(FIRST)
        host.pass_time(1)
        self.assertEqual(
            host.holders.hosts_to_ask([ACCOUNT], host.now),
            sorted(others_of(FIRST)),
        )
        host.agree(others_of(FIRST), is_witness=True)
        self.assertIsNone(host.acting_since)
        # Tokens that were lent before the replies expire first.
        host.pass_time(bucket.LOAN_S)
        self.assertIsNone(host.acting_since)
        host.pass_time(0.5)
        self.assertIsNotNone(host.acting_since)

    def test_agreement_needs_all_hosts_and_a_witness(self):
        """Guards against a holder that is out of contact with the new one."""
        silent = others_of(FIRST)[0]
        for agreeing, is_witness in (
            (others_of(FIRST), False),
            (others_of(FIRST, others_of(silent)), True),
        ):
            host = Clock(FIRST)
            host.pass_time(1)
            host.agree(agreeing, is_witness=is_witness)
            host.pass_time(2)
            self.assertIsNone(host.acting_since)

    def test_vanished_host_delays_its_successor(self):
        """Guards against a successor beside a holder cut off from the store."""
        host = Clock(SECOND)
        host.pass_time(2 * QUARANTINE_S)
        listed = others_of(FIRST)
        host.list_hosts(listed)
        host.pass_time(1)
        host.agree(others_of(SECOND, listed), is_witness=False)
        host.pass_time(QUARANTINE_S - 2)
        self.assertIsNone(host.acting_since)
        host.pass_time(1.5)
        self.assertIsNotNone(host.acting_since)

    def test_vanished_host_that_agrees_delays_nothing(self):
        """Guards against a gap after each planned stop."""
        host = Clock(SECOND)
        host.pass_time(2 * QUARANTINE_S)
        host.list_hosts(others_of(FIRST))
        host.pass_time(1)
        self.assertIn(FIRST, host.holders.hosts_to_ask([ACCOUNT], host.now))
        host.agree(others_of(SECOND), is_witness=False)
        host.pass_time(1.5)
        self.assertIsNotNone(host.acting_since)

    def test_replies_about_an_older_list_count_for_nothing(self):
        """Guards against hosts that agreed before they saw a new host."""
        host = Clock(FIRST, (FIRST, SECOND))
        host.pass_time(2)
        asked_at = host.now
        reply = holders.ViewReply(host.holders.view_hash, is_witness=True)
        host.pass_time(1)
        host.list_hosts(IDS)
        host.list_hosts((FIRST, SECOND))
        host.holders.on_view_reply(SECOND, reply, asked_at, host.now)
        host.pass_time(2)
        self.assertIsNone(host.acting_since)

    def test_old_view_ends_the_role(self):
        """Guards against a holder without contact to the store."""
        host = Clock(FIRST)
        host.pass_time(2 * QUARANTINE_S)
        first_role = host.acting_since
        self.assertIsNotNone(first_role)
        host.pass_time(holders.VIEW_AGE_S, is_confirmed=False)
        self.assertEqual(host.acting_since, first_role)
        host.pass_time(0.5, is_confirmed=False)
        self.assertIsNone(host.acting_since)
        host.pass_time(1)
        self.assertIsNone(host.acting_since)
        host.agree(others_of(FIRST), is_witness=True)
        host.pass_time(1.5)
        self.assertGreater(host.acting_since, first_role)

    def test_pause_ends_the_role(self):
        """Guards against views that arrived while the process was stopped."""
        host = Clock(FIRST)
        host.pass_time(1)
        host.agree(others_of(FIRST), is_witness=True)
        host.pass_time(2)
        self.assertIsNotNone(host.acting_since)
        host.now += holders.PAUSE_S + 0.1
        host.holders.on_confirmed(host.now, host.now)
        self.assertIsNone(host.acting_since)

    def test_long_gap_ends_the_testimony(self):
        """Guards against a witness that missed a holder between two views."""
        host = Clock(SECOND)
        host.pass_time(QUARANTINE_S + 1)
        self.assertTrue(host.holders.is_witness(host.now))
        host.pass_time(holders.MAX_GAP_S, is_confirmed=False)
        host.pass_time(0.5)
        self.assertFalse(host.holders.is_witness(host.now))

    def test_holders_follow_the_list(self):
        """Guards against hosts that ask a holder that has been replaced."""
        host = Clock(FIRST)
        self.assertEqual(host.holders.holder_of(ACCOUNT, 'z1'), FIRST)
        self.assertEqual(host.holders.holder_of(ACCOUNT, 'z2'), 'other')
        host.list_hosts(others_of(FIRST))
        self.assertEqual(host.holders.holder_of(ACCOUNT, 'z1'), SECOND)
        host.list_hosts(IDS)
        self.assertEqual(host.holders.holder_of(ACCOUNT, 'z1'), FIRST)
        self.assertIsNone(host.holders.holder_of(ACCOUNT, 'z3'))
