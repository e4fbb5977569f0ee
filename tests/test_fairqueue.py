"""Fair shares of accounts in the queue of a service, in virtual time."""

import collections
import heapq
import math
import random
import statistics
import unittest

from cardamomflow import rules
from cardamomflow.accounts import fairqueue

HEAVY_AND_LIGHT = (('heavy', 3), ('light', 1))
EXTREMES = (('huge', 1e300), ('tiny', 1e-300))
URGENT, BULK = rules.Rank.URGENT, rules.Rank.BULK
TIMEOUT_S = 2.0


class Item:
    """A request of an account."""

    def __init__(self, name, arrived_at=0, deadline=1):
        self.name = name
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.is_settled = False


class Source:
    """Random requests of an account, `rates` a second by start time."""

    def __init__(self, name, *rates, weight=1, rank=URGENT):
        self.name = name
        self.rates = rates
        self.weight = weight
        self.rank = rank


class Tally:
    """Waits of served requests, refusals and lapses by account."""

    def __init__(self):
        self.waits = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.lapsed = collections.Counter()

    def worst_wait_s(self, prefix):
        return max(
            max(waits)
            for name, waits in self.waits.items()
            if name.startswith(prefix)
        )


def create_arrivals(sources, step_s):
    """Return a heap of arrival times and sources."""
    generator = random.Random(7)
    arrivals = []
    for number, source in enumerate(sources):
        for step, rate in enumerate(source.rates):
            at = step * step_s + generator.expovariate(rate)
            while at < (step + 1) * step_s:
                arrivals.append((at, number))
                at += generator.expovariate(rate)
    return sorted(arrivals, reverse=True)


class Simulation:
    """One server that serves an item at a time."""

    def __init__(self, capacity, *, fair):
        self.tally = Tally()
        self.queue = fairqueue.FairQueue(lambda item: item.is_settled)
        self.free_at = 0.0
        self._service_s = 1 / capacity
        self._fair = fair

    def serve_until(self, now):
        while self.queue.first() is not None and self.free_at <= now:
            item = self.queue.first()
            is_served = item.deadline >= self.free_at
            self.queue.pop(self.free_at, is_served=is_served)
            if is_served:
                waited_s = self.free_at - item.arrived_at
                self.tally.waits[item.name].append(waited_s)
                self.free_at += self._service_s
            else:
                self.tally.lapsed[item.name] += 1

    def receive(self, source, now):
        self.free_at = max(self.free_at, now)
        name = source.name if self._fair else None
        if self.queue.wait_s(source.rank, name, now) > TIMEOUT_S:
            self.tally.refused[source.name] += 1
            return
        item = Item(source.name, now, now + TIMEOUT_S)
        weight = source.weight if self._fair else 1
        self.queue.push(item, source.rank, name, weight, now)


def simulate(sources, capacity, *, step_s=5.0, fair=True):
    """Serve sources, whose rates change every `step_s`, one after another."""
    arrivals = create_arrivals(sources, step_s)
    simulation = Simulation(capacity, fair=fair)
    while arrivals:
        now, number = arrivals.pop()
        simulation.serve_until(now)
        simulation.receive(sources[number], now)
    simulation.serve_until(math.inf)
    return simulation.tally


class LoadTest(unittest.TestCase):
    def check_flooding_account(self, tally, usual_names):
        """Check that only the flooding account is refused anything."""
        self.assertGreater(tally.refused['flood'], 0)
        for name in usual_names:
            self.assertEqual(tally.refused[name] + tally.lapsed[name], 0)

    def test_one_account_floods_at_5_7_times_its_usual(self):
        """Guards against a flood that costs other accounts their answers.

        Load: six accounts of 10/s each at a capacity of 72/s, one of them at
        57/s for 5 s.
        """
        usual = [Source(f'usual-{number}', 10, 10, 10) for number in range(5)]
        tally = simulate([*usual, Source('flood', 10, 57, 10)], 72)
        calm = simulate([*usual, Source('flood', 10, 10, 10)], 72)
        self.check_flooding_account(tally, [source.name for source in usual])
        self.assertLess(
            tally.worst_wait_s('usual'), 3 * calm.worst_wait_s('usual')
        )
        unfair = simulate([*usual, Source('flood', 10, 57, 10)], 72, fair=False)
        self.assertGreater(unfair.refused['usual-0'], 0)

    def test_flooding_account_gets_what_the_others_leave(self):
        """Guards against capacity that stays unused during a flood."""
        usual = [Source(f'usual-{number}', 10) for number in range(5)]
        tally = simulate([*usual, Source('flood', 57)], 72, step_s=20)
        served = sum(map(len, tally.waits.values()))
        self.assertGreater(served, 0.95 * 72 * 20)
        self.assertGreater(tally.refused['flood'], 4 * tally.lapsed['flood'])

    def test_many_small_accounts_beside_a_few_large(self):
        """Guards against small accounts that wait for large ones.

        Load: 66 accounts of 0.2/s with a weight of 1, and six of 60/s with a
        weight of 50, at a capacity of 200/s.
        """
        small = [Source(f'small-{number}', 0.2) for number in range(66)]
        large = [
            Source(f'large-{number}', 60, weight=50) for number in range(6)
        ]
        tally = simulate([*small, *large], 200, step_s=20)
        for source in small:
            self.assertEqual(tally.refused[source.name], 0)
            self.assertEqual(tally.lapsed[source.name], 0)
        self.assertLess(tally.worst_wait_s('small'), 0.15)
        served = [len(tally.waits[source.name]) for source in large]
        self.assertLess(max(served), 1.15 * min(served))
        self.assertGreater(sum(served), 0.9 * (200 - 13) * 20)

    def test_flood_that_moves_between_zones(self):
        """Guards against a queue that remembers a flood that has moved on.

        Load: in each of two zones four accounts of 10/s at a capacity of
        50/s; the flood of 57/s comes in the first zone, then in the second.
        """
        usual = [
            Source(f'usual-{number}', 10, 10, 10, 10) for number in range(3)
        ]
        for rates in ((57, 10, 10, 10), (10, 57, 10, 10)):
            tally = simulate([*usual, Source('flood', *rates)], 50)
            self.check_flooding_account(
                tally, [source.name for source in usual]
            )
            # The flooding account waits up to 2 s.
            self.assertLess(tally.worst_wait_s('usual'), 1)
            # The last step is calm again, and the backlog of 2 s is served.
            self.assertLess(statistics.median(tally.waits['flood'][-50:]), 0.1)


class OrderTest(unittest.TestCase):
    def drain(self, queue, count, now=0.0):
        names = []
        for _ in range(count):
            names.append(queue.first().name)
            queue.pop(now, is_served=True)
        return names

    def test_without_accounts_the_order_is_rank_and_arrival(self):
        """Guards against another order in deployments without accounts."""
        generator = random.Random(3)
        queue = fairqueue.FairQueue(lambda item: item.is_settled)
        reference = []
        for sequence in range(3000):
            item = Item(sequence)
            rank = generator.choice(list(rules.Rank))
            queue.push(item, rank, None, 1, sequence)
            heapq.heappush(reference, (rank, sequence, item))
            if not generator.randrange(5):
                generator.choice(reference)[-1].is_settled = True
            while reference and generator.randrange(9) < 4:
                expected = heapq.heappop(reference)[-1]
                if not expected.is_settled:
                    self.assertIs(queue.first(), expected)
                    queue.pop(sequence, is_served=bool(generator.randrange(9)))

    def test_shares_follow_the_weights(self):
        """Guards against weights that are ignored or inverted."""
        queue = fairqueue.FairQueue(lambda item: item.is_settled)
        for _ in range(100):
            for name, weight in HEAVY_AND_LIGHT:
                queue.push(Item(name), URGENT, name, weight, 0)
        counts = collections.Counter(self.drain(queue, 80))
        credit = fairqueue.MAX_CREDIT_ITEMS
        self.assertAlmostEqual(counts['heavy'], 60, delta=credit)

    def test_extreme_weights_starve_nobody(self):
        """Guards against rounding that stops virtual time."""
        queue = fairqueue.FairQueue(lambda item: item.is_settled)
        for _ in range(30):
            for name, weight in EXTREMES:
                queue.push(Item(name), URGENT, name, weight, 0)
        self.assertEqual(set(self.drain(queue, 60)), {'huge', 'tiny'})

    def test_settled_and_unserved_items_do_not_count(self):
        """Guards against an account that pays for cancelled requests."""
        queue = fairqueue.FairQueue(lambda item: item.is_settled)
        cancelled = [Item('a') for _ in range(50)]
        for item in cancelled:
            queue.push(item, URGENT, 'a', 1, 0)
        for name in ('b', 'b', 'b', 'a', 'a', 'a'):
            queue.push(Item(name), URGENT, name, 1, 0)
        for item in cancelled:
            item.is_settled = True
        # Reads the estimate while the flow has only settled items at first.
        queue.wait_s(URGENT, 'a', 0)
        names = self.drain(queue, 6)
        self.assertEqual(collections.Counter(names[:2]), {'a': 1, 'b': 1})
        self.assertEqual((len(queue), queue.first()), (0, None))

    def test_flow_of_settled_items_is_listed_once(self):
        """Guards against an item that is served from an emptied flow."""
        queue = fairqueue.FairQueue(lambda item: item.is_settled)
        first, second = Item('a'), Item('a')
        queue.push(first, URGENT, 'a', 1, 0)
        first.is_settled = True
        queue.wait_s(URGENT, 'a', 0)
        queue.push(second, URGENT, 'a', 1, 0)
        self.assertEqual(self.drain(queue, 1), ['a'])
        self.assertIsNone(queue.first())

    def test_settled_item_does_not_prolong_the_wait_of_a_lower_rank(self):
        """Guards against a refusal for an urgent item that has expired."""
        queue = fairqueue.FairQueue(lambda item: item.is_settled)
        expired = Item('a')
        queue.push(expired, URGENT, 'a', 1, 0)
        expired.is_settled = True
        queue.push(Item('a'), URGENT, 'a', 1, 5)
        self.assertLess(queue.wait_s(rules.Rank.BULK, 'b', 5), 1)

    def test_starved_rank_is_refused_early(self):
        """Guards against bulk requests that wait out an urgent flood."""
        tally = simulate(
            [Source('flood', 300), Source('bulk', 20, rank=BULK)],
            100,
            step_s=20,
        )
        self.assertGreater(tally.refused['bulk'], 5 * tally.lapsed['bulk'])


if __name__ == '__main__':
    unittest.main()
