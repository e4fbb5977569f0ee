"""Tests of the rank queue."""

import collections
import gc
import time
import unittest

import hypothesis
from hypothesis import stateful, strategies

from cardamomflow import admission, errors, estimates, rules

URGENT, STANDARD, BULK = rules.Rank
SHARES = {URGENT: 0.5, STANDARD: 0.2, BULK: 0.1}


def make_queue(capacity=100, customer_share=0.5):
    return admission.RankQueue(SHARES, customer_share, capacity)


class Item:
    """Equal to every other item, so that only identity distinguishes items."""

    def __eq__(self, other):
        return True

    __hash__ = object.__hash__


class RankQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = make_queue()

    def offer(self, rank, count=1, customer='c', deadline=1000.0, now=0):
        items = [Item() for _ in range(count)]
        for item in items:
            self.queue.offer(item, rank, customer, deadline, now)
        return items

    def take_ranks(self, count, refill=None):
        """Take items and count them by rank; `refill` replaces taken items."""
        ranks = collections.Counter()
        for _ in range(count):
            queued = self.queue.take(0)
            ranks[queued.rank] += 1
            if refill:
                self.offer(queued.rank)
        return ranks

    def test_urgent_goes_first(self):
        """Guards against urgent items that wait behind bulk work."""
        self.offer(BULK, 3)
        self.offer(STANDARD)
        self.offer(URGENT)
        ranks = [self.queue.take(0).rank for _ in range(3)]
        self.assertEqual(ranks, [URGENT, STANDARD, BULK])

    def test_order_of_arrival_within_a_customer(self):
        """Guards against items that overtake earlier ones of their customer."""
        items = self.offer(URGENT, 5)
        taken = [self.queue.take(0).item for _ in items]
        self.assertTrue(all(map(lambda a, b: a is b, items, taken)))

    def test_minimum_shares_under_an_urgent_flood(self):
        """Guards against starvation of the other ranks."""
        for rank in rules.Rank:
            self.offer(rank, 20)
        ranks = self.take_ranks(1000, refill=True)
        self.assertAlmostEqual(ranks[STANDARD], 200, delta=3)
        self.assertAlmostEqual(ranks[BULK], 100, delta=3)

    def test_idle_rank_earns_no_credit(self):
        """Guards against a burst of bulk work before urgent work."""
        self.offer(BULK, 50)
        self.take_ranks(40)
        self.offer(URGENT, 40)
        ranks = self.take_ranks(20)
        self.assertLessEqual(ranks[BULK], 4)

    def test_customers_of_a_rank_take_turns(self):
        """Guards against one customer that starves the others of its rank."""
        self.offer(URGENT, 50, 'large')
        self.offer(URGENT, 5, 'small')
        taken = [self.queue.take(0).customer for _ in range(10)]
        self.assertEqual(taken.count('small'), 5)

    def test_full_queue_displaces_less_urgent_work(self):
        """Guards against urgent work refused because bulk work is queued."""
        bulk = self.offer(BULK, 100)
        self.offer(URGENT)
        self.assertEqual(len(self.queue), 100)
        displaced = self.queue.expire(0)
        self.assertEqual(len(displaced), 1)
        self.assertIs(displaced[0].item, bulk[-1])
        self.assertEqual(self.queue.expire(0), [])

    def test_full_queue_keeps_the_reserved_part_of_a_rank(self):
        """Guards against an urgent flood that displaces all other ranks."""
        self.offer(BULK, 100)
        with self.assertRaises(errors.Overloaded):
            self.offer(URGENT, 200)
        ranks = self.take_ranks(100)
        self.assertEqual(ranks, {URGENT: 90, BULK: 10})

    def test_rank_below_its_reserved_part_enters_a_full_queue(self):
        """Guards against bulk work that is always refused during a flood."""
        self.offer(URGENT, 100)
        with self.assertRaises(errors.Overloaded):
            self.offer(BULK, 100)
        self.assertEqual(self.take_ranks(100), {URGENT: 90, BULK: 10})

    def test_customer_over_its_share_makes_room(self):
        """Guards against a queue filled by one customer of the rank."""
        self.offer(URGENT, 100, 'large')
        self.offer(URGENT, 40, 'small')
        customers = collections.Counter(
            queued.customer for queued in self.queue.expire(0)
        )
        self.assertEqual(customers, {'large': 40})
        with self.assertRaises(errors.Overloaded):
            self.offer(URGENT, 1, 'large')

    def test_late_items_are_returned_once_and_never_taken(self):
        """Guards against work on items whose deadline passed."""
        self.offer(BULK, 2, deadline=5)
        self.offer(URGENT, 1, deadline=50)
        self.assertEqual(self.queue.take(10).rank, URGENT)
        self.assertIsNone(self.queue.take(10))
        self.assertEqual(len(self.queue.expire(10)), 2)
        self.assertEqual(self.queue.expire(10), [])

    def test_item_that_cannot_finish_occupies_no_slot(self):
        """Guards against a slot used for work that would end too late."""
        self.offer(URGENT, 1, deadline=1)
        self.queue.record_duration(0.5, 0.6)
        self.assertIsNone(self.queue.take(0.6))
        with self.assertRaises(errors.DeadlineUnreachable) as caught:
            self.offer(URGENT, 1, deadline=1, now=0.6)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)

    def test_expected_wait_refuses_early(self):
        """Guards against queueing work that will miss its deadline."""
        self.offer(URGENT, 100)
        for step in range(1, 51):
            self.queue.take(step / 50)
        with self.assertRaises(errors.DeadlineUnreachable):
            self.offer(URGENT, 1, deadline=1.5, now=1)
        self.offer(URGENT, 1, deadline=10, now=1)

    def test_short_pause_of_all_calls_causes_no_refusal(self):
        """Guards against refusals while all calls hang for a short time."""
        self.offer(URGENT, 10)
        for step in range(1, 8):
            self.queue.take(step / 100)
        self.offer(URGENT, 1, deadline=1.5, now=0.5)
        with self.assertRaises(errors.DeadlineUnreachable):
            self.offer(URGENT, 1, deadline=1.5, now=0.9)

    def test_burst_read_at_once_is_not_refused(self):
        """Guards against refusals after a stall of the process."""
        self.offer(URGENT, 4)
        for step in range(4):
            self.queue.take(step / 100)
        for late_ms in range(500, 550):
            self.offer(URGENT, 1, deadline=1.5, now=late_ms / 1000)

    def test_slow_period_does_not_refuse_for_ever(self):
        """Guards against a duration estimate that stays too long."""
        self.queue.record_duration(5, 0)
        with self.assertRaises(errors.DeadlineUnreachable):
            self.offer(URGENT, 1, deadline=0.36, now=0)
        self.offer(URGENT, 1, deadline=10.36, now=10)

    def requeue(self, rank, customer, deadline, now):
        item = Item()
        self.queue.requeue(
            admission.QueuedItem(item, rank, customer, deadline, now)
        )
        return item

    def test_repeated_item_is_taken_before_later_arrivals(self):
        """Guards against a retry that waits behind later arrivals."""
        self.offer(URGENT, 5, 'other')
        self.offer(URGENT, 5, 'c')
        requeued = self.requeue(URGENT, 'c', 1000, 0)
        self.assertIs(self.queue.take(0).item, requeued)

    def test_repeated_item_is_not_refused_for_what_waits_behind_it(self):
        """Guards against refusing a retry because of later arrivals.

        A replica of a busy service hangs; its items are requeued with less
        time left than the items that arrived during the call.
        """
        self.offer(URGENT, 100)
        for step in range(1, 51):
            self.queue.take(step / 50)
        with self.assertRaises(errors.DeadlineUnreachable):
            self.offer(URGENT, 1, deadline=1.4, now=1)
        requeued = self.requeue(URGENT, 'c', 1.4, 1)
        self.assertIs(self.queue.take(1).item, requeued)

    def test_repeated_item_without_time_is_refused(self):
        """Guards against attempts that can't end before the deadline."""
        self.queue.record_duration(0.5, 0)
        with self.assertRaises(errors.DeadlineUnreachable):
            self.requeue(URGENT, 'c', 0.4, 0)

    def test_drop_reason_is_reported(self):
        """Guards against late work reported as displaced."""
        self.offer(BULK, 1, deadline=1)
        self.queue.record_duration(0.5, 0.6)
        (late,) = self.queue.expire(0.6)
        self.assertIs(late.reason, admission.DropReason.LATE)
        self.offer(BULK, 100)
        self.offer(URGENT)
        (displaced,) = self.queue.expire(0.6)
        self.assertIs(displaced.reason, admission.DropReason.DISPLACED)

    def test_cancelled_item_is_removed_by_identity(self):
        """Guards against the removal of an equal item of another caller."""
        first, second = self.offer(URGENT, 2)
        self.assertTrue(self.queue.remove(second))
        self.assertFalse(self.queue.remove(second))
        self.assertIs(self.queue.take(0).item, first)
        self.assertIsNone(self.queue.take(0))

    def test_take_skips_items_that_are_not_eligible(self):
        """Guards against a blocked item that delays the others."""
        urgent, other = self.offer(URGENT, 2)
        taken = self.queue.take(0, lambda queued: queued.item is other)
        self.assertIs(taken.item, other)
        self.assertIs(self.queue.take(0).item, urgent)

    def test_cost_does_not_grow_with_the_length(self):
        """Guards against operations that are linear in the queue."""
        short, long = (
            min(self.measure_cost(length) for _ in range(7))
            for length in (1000, 50000)
        )
        self.assertLess(long, 10 * short)

    def measure_cost(self, length):
        """Return the CPU time of 400 changes without garbage collection.

        A collection visits all queued items. The caller uses the minimum of
        several runs, as other work on the machine only adds time.
        """
        self.queue = make_queue(length * 2)
        items = self.offer(BULK, length)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        started_at = time.process_time()
        for item in items[length // 2 : length // 2 + 400]:
            self.queue.remove(item)
            self.offer(URGENT)
            self.queue.take(0)
        cost_s = time.process_time() - started_at
        gc.enable()
        return cost_s


class DurationTest(unittest.TestCase):
    """Estimated duration of the work of an item."""

    def setUp(self):
        self.duration = estimates.DurationEstimate()
        for step in range(100):
            self.duration.record(2.0, step / 100)

    def test_fast_item_does_not_restore_an_expired_estimate(self):
        """Guards against refusals long after a slow period is over.

        All calls are slow for a short time, then all work is refused until
        the estimate has decayed, and the next call is fast.
        """
        later = 1 + 5 * estimates.DURATION_HALF_LIFE_S
        self.duration.record(0.003, later)
        self.assertLess(self.duration.estimate_s(later), 0.1)

    def test_slow_item_raises_an_expired_estimate(self):
        """Guards against an estimate that ignores slow work after idle time."""
        later = 1 + 5 * estimates.DURATION_HALF_LIFE_S
        self.duration.record(1.8, later)
        self.assertGreater(self.duration.estimate_s(later), 1.7)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Every offered item is taken, removed or dropped exactly once."""

    def __init__(self):
        super().__init__()
        self.queue = make_queue(capacity=8)
        self.now = 0
        self.waiting = {}

    @stateful.rule(
        rank=strategies.sampled_from(list(rules.Rank)),
        customer=strategies.sampled_from('xyz'),
        time_left_s=strategies.floats(0.01, 5),
    )
    def offer(self, rank, customer, time_left_s):
        item = Item()
        try:
            self.queue.offer(
                item, rank, customer, self.now + time_left_s, self.now
            )
        except errors.Overloaded as refusal:
            assert refusal.outcome == errors.Outcome.NOT_RUN
        else:
            self.waiting[id(item)] = item

    @stateful.rule()
    def take(self):
        queued = self.queue.take(self.now)
        if queued is not None:
            assert queued.deadline > self.now
            self.waiting.pop(id(queued.item))

    @stateful.rule(index=strategies.integers(0, 7))
    def remove(self, index):
        if index < len(self.waiting):
            item = list(self.waiting.values())[index]
            removed = self.queue.remove(item)
            dropped = {id(queued.item) for queued in self.drop_late()}
            assert removed != (id(item) in dropped)
            self.waiting.pop(id(item), None)

    @stateful.rule()
    def expire(self):
        self.drop_late()

    def drop_late(self):
        dropped = self.queue.expire(self.now)
        for queued in dropped:
            self.waiting.pop(id(queued.item))
        return dropped

    @stateful.rule(
        step=strategies.floats(0, 1), duration=strategies.floats(0.001, 1)
    )
    def advance(self, step, duration):
        self.now += step
        self.queue.record_duration(duration, self.now)

    @stateful.invariant()
    def queue_is_bounded(self):
        assert len(self.queue) <= 8
        assert len(self.queue) <= len(self.waiting)

    def teardown(self):
        self.drop_late()
        while self.queue.take(self.now) is not None:
            self.waiting.popitem()
        assert not self.waiting


class QueueMachineTest(QueueMachine.TestCase):
    """Guards against an item that is lost, kept late or returned twice."""

    settings = hypothesis.settings(
        derandomize=True,
        max_examples=60,
        stateful_step_count=40,
        deadline=None,
    )
