"""Requests and refusals by client account, for a bounded number of accounts.

Owns the counts, and the choice of the accounts that are listed: the largest by
their recent requests. The others are counted together. No I/O.
"""

import collections
import contextlib
import heapq
from collections.abc import Iterator

from cardamomflow import errors
from cardamomflow.accounts import table

MAX_LISTED = 100
OTHER = 'other'
# Requests between two reviews of the list. A review takes time proportional to
# the number of accounts.
REVIEW_REQUESTS = 1000
# An account replaces a listed one only if it is this many times as large, so
# that accounts of similar size do not replace each other at every review.
REPLACE_FACTOR = 2
_DECAY = 0.5

Row = tuple[tuple[str, ...], int]


class _Counts:
    """Counts of one listed account, or of the others."""

    def __init__(self) -> None:
        self.requests = 0
        self.refusals_by_code: collections.Counter[str] = collections.Counter()

    def add(self, counts: '_Counts') -> None:
        self.requests += counts.requests
        self.refusals_by_code.update(counts.refusals_by_code)


class AccountCounters:
    """Counts the requests of accounts, and their refusals by cause."""

    def __init__(self) -> None:
        """Start without requests."""
        self._listed_by_name: dict[str, _Counts] = {}
        self._other = _Counts()
        # Requests of each account, halved at each review.
        self._recent_by_name: dict[str, float] = {}
        self._until_review = REVIEW_REQUESTS

    @contextlib.contextmanager
    def counting(self, account: table.Account | None) -> Iterator[None]:
        """Count a request, and its refusal if it ends as not run."""
        if account is None:
            yield
            return
        self.record_request(account.name)
        try:
            yield
        except errors.FlowError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                self.record_refusal(account.name, error.code)
            raise

    def record_request(self, name: str) -> None:
        """Count a request of an account."""
        self._recent_by_name[name] = self._recent_by_name.get(name, 0) + 1
        if len(self._listed_by_name) < MAX_LISTED and name != OTHER:
            self._listed_by_name.setdefault(name, _Counts())
        self._counts_of(name).requests += 1
        self._until_review -= 1
        if not self._until_review:
            self._review()

    def record_refusal(self, name: str, code: str) -> None:
        """Count a refused request of an account by its error code."""
        self._counts_of(name).refusals_by_code[code] += 1

    def requests(self) -> Iterator[Row]:
        """Yield each account with its requests."""
        for name, counts in self._rows():
            yield (name,), counts.requests

    def refusals(self) -> Iterator[Row]:
        """Yield each account and error code with the refused requests."""
        for name, counts in self._rows():
            for code, total in counts.refusals_by_code.items():
                yield (name, code), total

    def _counts_of(self, name: str) -> _Counts:
        return self._listed_by_name.get(name, self._other)

    def _rows(self) -> Iterator[tuple[str, _Counts]]:
        yield from self._listed_by_name.items()
        if self._other.requests:
            yield OTHER, self._other

    def _review(self) -> None:
        """List the accounts that have become much larger than listed ones.

        The counts of an account that is no longer listed move to the others,
        so that no total shrinks except by a restart of its row.
        """
        self._until_review = REVIEW_REQUESTS
        unlisted = self._recent_by_name.keys() - self._listed_by_name.keys()
        largest = heapq.nlargest(
            MAX_LISTED, unlisted - {OTHER}, key=self._recent_requests
        )
        smallest = heapq.nsmallest(
            len(largest), self._listed_by_name, key=self._recent_requests
        )
        for name, listed_name in zip(largest, smallest, strict=False):
            bound = REPLACE_FACTOR * self._recent_requests(listed_name)
            if self._recent_requests(name) <= bound:
                break
            self._other.add(self._listed_by_name.pop(listed_name))
            self._listed_by_name[name] = _Counts()
        self._recent_by_name = {
            name: count * _DECAY
            for name, count in self._recent_by_name.items()
            if count >= 1
        }

    def _recent_requests(self, name: str) -> float:
        return self._recent_by_name.get(name, 0)
