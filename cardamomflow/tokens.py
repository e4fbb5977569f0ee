"""Tokens of what may be done beside the usual work; sans-I/O.

Owns one stock of tokens. Who earns them, and what one pays for, is decided by
its users: further attempts, hedges, retries, log lines.
"""


class TokenBucket:
    """A bounded stock of tokens."""

    def __init__(self, capacity: float, tokens: float = 0) -> None:
        """Take the most tokens that are kept, and those to start with."""
        self._capacity = capacity
        self._tokens = min(capacity, tokens)

    def earn(self, count: float) -> None:
        """Add tokens; those beyond the capacity are lost."""
        self._tokens = min(self._capacity, self._tokens + count)

    def withdraw(self) -> bool:
        """Take one token; False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def resize(self, capacity: float) -> None:
        """Take another capacity; tokens beyond it are lost."""
        self._capacity = capacity
        self._tokens = min(capacity, self._tokens)
