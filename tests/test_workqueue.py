"""Tests of a service's queue when the rules change."""

import types
import unittest

from cardamomflow import errors, rules, workqueue
from standins import fleet

RULES = rules.Rules.from_document(fleet.RULES)


def make_item(deadline):
    """Return a stub of a query item; the queue matches it by identity."""
    job = types.SimpleNamespace(
        rank=rules.Rank.URGENT,
        deadline=deadline,
        request=types.SimpleNamespace(customer='c'),
    )
    return types.SimpleNamespace(job=job)


class RulesChangeTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.queue = workqueue.WorkQueue(RULES, 10, lambda: self.now)

    def test_late_work_is_refused_with_the_change(self):
        """Guards against work that is neither queued nor refused."""
        late, waiting = make_item(1.0), make_item(100.0)
        self.queue.offer(late)
        self.queue.offer(waiting)
        self.now = 2.0
        (refused,) = self.queue.apply_rules(RULES)
        self.assertIs(refused.item, late)
        self.assertEqual(refused.error.code, errors.DeadlineUnreachable.code)
        self.assertIs(self.take().item, waiting)

    def test_waiting_work_keeps_its_place(self):
        """Guards against a change that loses or reorders work."""
        items = [make_item(100.0) for _ in range(10)]
        for item in items:
            self.queue.offer(item)
        self.assertEqual(self.queue.apply_rules(RULES), [])
        self.assertEqual([self.take().item for _ in items], items)

    def take(self):
        return self.queue.take(self.now, lambda queued: True)
