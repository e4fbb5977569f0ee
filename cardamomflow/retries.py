"""Budget and backoff of retries; sans-I/O.

Owns the tokens of one retry budget. It covers queries only, since operations
are never retried.
"""

import random as random_module

from cardamomflow import rules, tokens

# A larger capacity would let a burst of failures double the load for its
# duration.
MAXIMUM_TOKENS = 100.0
BACKOFF_CAP_S = 1.0
# The timeout of an attempt is at most this many hedge delays, but not less
# than the minimum.
TIMEOUT_HEDGE_DELAYS = 10
MINIMUM_TIMEOUT_S = 0.25
_ATTEMPTS_WITHIN_DEADLINE = 2
_BACKOFF_FACTOR = 2
_JITTER_SPAN = 2  # uniform from 0 to twice the mean
_MS_PER_S = 1000


class RetryBudget:
    """Tokens that limit retries to a share of the first attempts sent."""

    def __init__(self, rule: rules.Retries) -> None:
        """Start without tokens, so that retries never exceed the share."""
        self._share = rule.budget_share
        self._bucket = tokens.TokenBucket(MAXIMUM_TOKENS)

    def record_first_attempts(self, count: int) -> None:
        """Earn tokens for first attempts that were sent."""
        self._bucket.earn(count * self._share)

    def withdraw(self) -> bool:
        """Withdraw the token of one retry; False when there is none."""
        return self._bucket.withdraw()


def backoff_s(
    attempt: int, base_ms: float, random: random_module.Random
) -> float:
    """Return the randomized delay before a retry in seconds.

    Parameters
    ----------
    attempt : int
        1 for the first retry.
    base_ms : float
        Mean delay before the first retry in milliseconds. It doubles with
        each further retry.
    random : random.Random
    """
    mean_s = base_ms / _MS_PER_S * _BACKOFF_FACTOR ** (attempt - 1)
    return min(BACKOFF_CAP_S, random.uniform(0, _JITTER_SPAN * mean_s))


def attempt_timeout_s(remaining_s: float, hedge_delay_s: float) -> float:
    """Return the timeout of one attempt in seconds.

    Half of the remaining time is kept for a second attempt. With a long
    deadline the timeout is a multiple of the hedge delay, so that an
    unresponsive connection does not occupy its slot until the deadline.

    Parameters
    ----------
    remaining_s : float
        Seconds until the deadline of the whole query.
    hedge_delay_s : float
        The hedge delay of the service.
    """
    longest_s = max(MINIMUM_TIMEOUT_S, TIMEOUT_HEDGE_DELAYS * hedge_delay_s)
    return min(remaining_s / _ATTEMPTS_WITHIN_DEADLINE, longest_s)
