"""News of the platform that hosts pass on to each other, in virtual time."""

import unittest

from cardamomflow import newsrelay, routing
from tests import test_ownership

CELL = [test_ownership.member(f'h{number}') for number in range(5)]
RANKED = sorted(
    (member.host_id for member in CELL),
    key=lambda host_id: routing.score('news', host_id),
)
EVERYBODY = set(RANKED)


def news(before, revision, content=b'x', heard_at=0.0, outage_until=0.0):
    return newsrelay.News(before, revision, content, heard_at, outage_until)


class ArchiveTest(unittest.TestCase):
    def setUp(self):
        self.archive = newsrelay.Archive()
        self.archive.add(news(10, 10, b''))
        for revision in (11, 12, 13):
            self.archive.add(news(revision - 1, revision))

    def test_late_listener_hears_what_it_missed(self):
        """Guards against changes between a read and the first news."""
        told = self.archive.after(11)
        self.assertEqual([one.revision for one in told], [12, 13, 13])
        self.assertEqual(told[-1].content, b'')

    def test_gap_shows(self):
        """Guards against a listener that believes to know all."""
        told = self.archive.after(3)
        self.assertGreater(told[0].before, 3)

    def test_gap_without_any_news_shows(self):
        """Guards against a teller that has read later than the listener."""
        archive = newsrelay.Archive()
        archive.add(news(10, 10, b''))
        self.assertGreater(archive.after(9)[0].before, 9)

    def test_outage_is_told(self):
        """Guards against entries that lapsed and are dropped at once."""
        self.archive.lost(7.0)
        self.assertEqual(self.archive.sign().outage_until, 7.0)

    def test_host_without_news_tells_nothing(self):
        """Guards against signs of a host that has heard nothing."""
        self.assertEqual(newsrelay.Archive().after(0), [])


class ListeningTest(unittest.TestCase):
    def setUp(self):
        self.listening = newsrelay.Listening(RANKED[-1])

    def choose(self, usable=EVERYBODY, now=0.0):
        return self.listening.choose(CELL, usable, now)

    def listen(self, now=0.0):
        self.listening.begin(self.choose(now=now), now)

    def test_first_host_asks_the_platform(self):
        """Guards against hosts that wait for each other."""
        first = newsrelay.Listening(RANKED[0])
        self.assertIsNone(first.choose(CELL, EVERYBODY, 0.0))

    def test_all_others_hear_the_first(self):
        """Guards against several hosts that ask the platform."""
        self.assertEqual(self.choose(), RANKED[0])

    def test_unreachable_host_is_passed_over(self):
        """Guards against a host that is heard though its link ended."""
        self.assertEqual(self.choose(EVERYBODY - {RANKED[0]}), RANKED[1])

    def test_news_come_in_order(self):
        """Guards against changes that are lost or taken twice."""
        self.listen()
        for revision in (11, 12):
            self.listening.take(RANKED[0], news(revision - 1, revision))
        self.assertEqual(self.listening.next(10, 0.1).revision, 11)
        self.assertEqual(self.listening.next(11, 0.1).revision, 12)
        self.assertIsNone(self.listening.next(12, 0.1))

    def test_news_of_others_are_ignored(self):
        """Guards against news of a host that was given up."""
        self.listen()
        self.listening.take(RANKED[1], news(10, 11))
        self.assertIsNone(self.listening.next(10, 0.1))

    def test_gap_leads_to_the_platform_and_back(self):
        """Guards against a host that skips changes, or asks for ever."""
        self.listen()
        self.listening.take(RANKED[0], news(15, 16))
        self.assertIsNone(self.listening.next(10, 0.1))
        self.assertIsNone(self.listening.teller)
        self.assertEqual(self.choose(now=0.2), RANKED[0])

    def test_host_that_tells_nothing_is_avoided(self):
        """Guards against changes that are in force too late."""
        self.listen()
        late = newsrelay.FIRST_SIGN_S
        self.assertIsNone(self.listening.next(10, late))
        self.assertIsNone(self.listening.teller)
        self.assertEqual(self.choose(now=late), RANKED[1])
        again = late + newsrelay.AVOIDED_S
        self.assertEqual(self.choose(now=again), RANKED[0])

    def test_host_without_platform_is_given_up(self):
        """Guards against signs of a host that hears nothing itself."""
        self.listen()
        self.listening.take(RANKED[0], news(10, 10, b'', heard_at=0.0))
        at = 0.0
        while self.listening.teller is not None and at < 10:
            at += newsrelay.SIGN_INTERVAL_S
            self.listening.take(RANKED[0], news(10, 10, b'', heard_at=0.0))
            self.listening.next(10, at)
        self.assertLessEqual(at, newsrelay.FRESH_S + newsrelay.SIGN_INTERVAL_S)

    def test_host_that_is_behind_is_given_up(self):
        """Guards against a teller that catches up after an outage."""
        self.listen()
        self.listening.take(RANKED[0], news(8, 8, b'', heard_at=0.1))
        self.assertIsNone(self.listening.next(10, 0.1))
        self.assertEqual(self.choose(now=0.1), RANKED[1])

    def test_news_that_are_known_are_skipped(self):
        """Guards against a host that is given up for what it told before."""
        self.listen()
        self.listening.take(RANKED[0], news(8, 9, heard_at=0.1))
        self.listening.take(RANKED[0], news(10, 10, b'', heard_at=0.1))
        self.assertEqual(self.listening.next(10, 0.1).revision, 10)

    def test_signs_keep_a_host(self):
        """Guards against calls at the platform while nothing changes."""
        self.listen()
        for step in range(1, 40):
            now = step * newsrelay.SIGN_INTERVAL_S
            self.listening.take(RANKED[0], news(10, 10, b'', heard_at=now))
            self.listening.next(10, now)
        self.assertEqual(self.listening.teller, RANKED[0])
