"""Effects of the decisions of intents; no I/O.

An effect ends a call or updates the state of the ledger. The module also has
the errors with which calls are refused.
"""

from typing import Any, NamedTuple

from cardamomflow import claims, errors


class Refuse(NamedTuple):
    """The call ends with an error, whose outcome is exact."""

    operation: claims.Operation
    error: errors.FlowError


class Resolved(NamedTuple):
    """The call ends with the recorded claim."""

    operation: claims.Operation
    record: claims.Record


class Confirmed(NamedTuple):
    """The claim of an `attempts.Attempt` is stored; it may be dispatched."""

    attempt: Any


class Accepted(NamedTuple):
    """A deferred operation is stored and may be claimed from `ready_at` on."""

    service: str
    bucket: str
    member: str
    ready_at: float


class NeedListing(NamedTuple):
    """The minute must be in the index before the operation is accepted."""

    service: str
    bucket: str
    minute: int


class ListingResult(NamedTuple):
    """The minute was added to the index, or could not be added."""

    bucket: str
    succeeded: bool


class Settled(NamedTuple):
    """The outcome of an `outcomes.Settle` needs no further write."""

    settle: Any


class IndexRead(NamedTuple):
    """The minutes of a service that may have open claims."""

    service: str
    minutes: tuple[int, ...]
    revision: int


class BucketClosed(NamedTuple):
    """A bucket has no open claim and is marked as not listed."""

    service: str
    minute: int
    index_revision: int


Effect = (
    Refuse
    | Resolved
    | Confirmed
    | Accepted
    | NeedListing
    | ListingResult
    | Settled
    | IndexRead
    | BucketClosed
)


def claims_unavailable() -> errors.FlowError:
    """Return the error of a claim while the platform is down."""
    return errors.ClaimsUnavailable(
        'the claim of the operation could not be stored; nothing was run, '
        'repeat the request with the same key and issued_at'
    )


def unreadable() -> errors.FlowError:
    """Return the error when the recorded outcome can't be read."""
    return errors.OutcomeUnknown(
        'the recorded outcome could not be read from the platform; look it '
        'up later or repeat the request with the same key and issued_at'
    )


def window_passed() -> errors.FlowError:
    """Return the error of a claim confirmed after the dispatch window."""
    return errors.DispatchWindowPassed(
        'the claim was confirmed too late to send the operation; nothing '
        'was run, repeat the request with the same key and issued_at'
    )


def in_progress(operation: claims.Operation) -> errors.FlowError:
    """Return the error of a repeated call during an attempt."""
    return errors.AlreadyClaimed(
        f'{operation.operation_key} is in progress; look up its outcome '
        f'later or repeat the request with the same key and issued_at'
    )


def bucket_full(operation: claims.Operation) -> errors.FlowError:
    """Return the error of a claim in a bucket without room."""
    return errors.BucketFull(
        f'the claims of service {operation.service} for this minute '
        f'are full; use a later issued_at for new work'
    )


def key_reused(operation: claims.Operation) -> errors.FlowError:
    """Return the error of a key that was used with another payload."""
    return errors.KeyReused(
        f'key {operation.key!r} was used with another payload; use '
        f'a new key for new work'
    )


def not_confirmed() -> errors.FlowError:
    """Return the error of a claim not confirmed before the deadline."""
    return errors.DeadlineUnreachable(
        'the claim of the operation was not confirmed in time; nothing was '
        'run, repeat the request with the same key and issued_at'
    )


def backlog() -> errors.FlowError:
    """Return the error of a claim while too many outcomes are unwritten."""
    return errors.OutcomesBacklog(
        'too many outcomes wait for the platform; nothing was run, repeat '
        'the request later with the same key and issued_at'
    )
