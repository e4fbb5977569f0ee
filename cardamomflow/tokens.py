"""Token bucket that limits extra work; sans-I/O.

Its users decide what adds tokens and what one token allows: a further
attempt, a hedge, a retry or a log line.
"""


class TokenBucket:
    """A bounded number of tokens."""

    def __init__(self, capacity: float, tokens: float = 0) -> None:
        """Set the maximum and the initial number of tokens."""
        self._capacity = capacity
        self._tokens = min(capacity, tokens)

    def earn(self, count: float) -> None:
        """Add tokens; those above the capacity are discarded."""
        self._tokens = min(self._capacity, self._tokens + count)

    @property
    def has_token(self) -> bool:
        """Whether a token can be withdrawn."""
        return self._tokens >= 1

    def withdraw(self) -> bool:
        """Remove one token; return False if there is none."""
        if not self.has_token:
            return False
        self._tokens -= 1
        return True

    def resize(self, capacity: float) -> None:
        """Set the capacity; tokens above it are discarded."""
        self._capacity = capacity
        self._tokens = min(capacity, self._tokens)
