"""Admission of requests while a host stops, in virtual time."""

import math
import unittest

from cardamomflow import errors, graceperiod, requeststate
from tests import test_dispatching

ANSWER_BY = 5.0


def limit(route, now, remaining_s=6.0, durations_s=()):
    """Return the seconds allowed to a request, or None if it is refused."""
    grace_period = graceperiod.GracePeriod()
    for duration_s in durations_s:
        grace_period.record_answer(route.name, duration_s)
    grace_period.start(ANSWER_BY)
    try:
        return grace_period.limit(
            route, requeststate.TimeBudget(remaining_s), now
        ).remaining_s
    except errors.Stopping:
        return None


class LateRequestTest(unittest.TestCase):
    """Load pattern: requests on kept connections throughout a planned stop."""

    def test_running_host_accepts_everything(self):
        """Guards against refusals by a host that does not stop."""
        time_budget = requeststate.TimeBudget(math.inf)
        self.assertEqual(
            graceperiod.GracePeriod().limit(
                test_dispatching.make_payment(), time_budget, 1e9
            ),
            time_budget,
        )

    def test_payment_without_earlier_answers_gets_all_its_time(self):
        """Guards against a payment that ends with an unknown outcome."""
        payment = test_dispatching.make_payment(timeout_s=3.0)
        self.assertAlmostEqual(limit(payment, ANSWER_BY - 3.0), 3.0)
        self.assertIsNone(limit(payment, ANSWER_BY - 2.9))

    def test_payment_that_is_usually_quick_needs_less(self):
        """Guards against refusals throughout the stop of a host."""
        payment = test_dispatching.make_payment(timeout_s=6.0)._replace(
            target_s=0.5
        )
        self.assertAlmostEqual(
            limit(payment, ANSWER_BY - 1, durations_s=[0.1]), 1.0
        )
        self.assertIsNone(limit(payment, ANSWER_BY - 0.9, durations_s=[0.1]))

    def test_payment_that_was_slow_once_needs_more(self):
        """Guards against a payment that is cut as its service is slow."""
        payment = test_dispatching.make_payment(timeout_s=6.0)._replace(
            target_s=0.5
        )
        durations_s = [1.0, 0.1, 0.1]
        self.assertIsNone(
            limit(payment, ANSWER_BY - 1.5, durations_s=durations_s)
        )

    def test_payment_of_an_impatient_caller_needs_less(self):
        """Guards against a refused payment that would be over in time."""
        payment = test_dispatching.make_payment(timeout_s=2.0)
        self.assertEqual(limit(payment, ANSWER_BY - 1, remaining_s=0.5), 0.5)

    def test_query_is_accepted_while_it_can_meet_its_target(self):
        """Guards against idle time of a host that could still serve."""
        query = test_dispatching.make_route(timeout_s=4.0, target_s=0.1)
        self.assertAlmostEqual(limit(query, ANSWER_BY - 0.2), 0.2)
        self.assertIsNone(limit(query, ANSWER_BY - 0.09))

    def test_query_to_slow_services_is_refused_sooner(self):
        """Guards against queries that are sent and can't be answered."""
        query = test_dispatching.make_route(timeout_s=4.0, target_s=0.1)
        self.assertIsNone(limit(query, ANSWER_BY - 0.9, durations_s=[1.0]))

    def test_refusal_says_not_run_and_when_to_return(self):
        """Guards against a caller that does not repeat its payment."""
        grace_period = graceperiod.GracePeriod()
        grace_period.start(ANSWER_BY)
        with self.assertRaises(errors.Stopping) as raised:
            grace_period.limit(
                test_dispatching.make_payment(),
                requeststate.TimeBudget(6.0),
                ANSWER_BY,
            )
        self.assertEqual(raised.exception.outcome, errors.Outcome.NOT_RUN)
        self.assertGreater(raised.exception.retry_after_s, 0)
