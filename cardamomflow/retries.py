"""Budget and backoff of retries; sans-I/O.

Owns the tokens of one retry budget. Operations are never retried, so their
attempts do not pass through here.
"""

import random as random_module

from cardamomflow import rules, tokens

# A larger store lets a burst of failures double the load for its duration.
MAXIMUM_TOKENS = 100.0
BACKOFF_CAP_S = 1.0
# Upper bound of an attempt: this many hedge delays, and at least this long.
TIMEOUT_DELAYS = 10
MINIMUM_TIMEOUT_S = 0.25
_HALVES = 2
_GROWTH = 2
_JITTER_SPAN = 2  # uniform from 0 to twice the mean
_MS_PER_S = 1000


class RetryBudget:
    """Allows retries up to a share of the first attempts sent."""

    def __init__(self, rule: rules.Retries) -> None:
        """Start empty, so that retries never exceed the share."""
        self._share = rule.budget_share
        self._bucket = tokens.TokenBucket(MAXIMUM_TOKENS)

    def sent(self, count: int) -> None:
        """Deposit for first attempts that were sent."""
        self._bucket.earn(count * self._share)

    def withdraw(self) -> bool:
        """Take the token of one retry; False when the budget is used up."""
        return self._bucket.withdraw()


def backoff_s(
    attempt: int, base_ms: float, random: random_module.Random
) -> float:
    """Return the delay before a retry in seconds.

    Parameters
    ----------
    attempt : int
        1 for the first retry.
    base_ms : float
        Mean delay before the first retry; doubles with each further one.
    random : random.Random
    """
    mean_s = base_ms / _MS_PER_S * _GROWTH ** (attempt - 1)
    return min(BACKOFF_CAP_S, random.uniform(0, _JITTER_SPAN * mean_s))


def attempt_timeout_s(remaining_s: float, hedge_delay_s: float) -> float:
    """Return the timeout of one attempt in seconds.

    Half of the remaining time is kept for a second attempt. Work with a
    long deadline is bounded by a multiple of the usual latency, so that an
    unresponsive connection does not hold its place for that long.

    Parameters
    ----------
    remaining_s : float
        Seconds until the deadline of the whole query.
    hedge_delay_s : float
        The hedge delay of the service.
    """
    usual_s = max(MINIMUM_TIMEOUT_S, TIMEOUT_DELAYS * hedge_delay_s)
    return min(remaining_s / _HALVES, usual_s)
