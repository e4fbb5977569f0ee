"""What follows from a decision of an intent; no I/O.

Owns the answers to calls, the orders to the ledger and the wording of the
refusals.
"""

from typing import Any, NamedTuple

from cardamomflow import claims, errors


class Refuse(NamedTuple):
    """The call ends with a failure, whose outcome is exact."""

    operation: claims.Operation
    error: errors.FlowError


class Resolved(NamedTuple):
    """The call ends with what is recorded."""

    operation: claims.Operation
    record: claims.Record


class Confirmed(NamedTuple):
    """The claim of an `attempts.Attempt` is stored; it may be dispatched."""

    attempt: Any


class Accepted(NamedTuple):
    """A deferred operation is stored and may be taken."""

    service: str
    bucket: str
    member: str
    ready_at: float


class NeedListing(NamedTuple):
    """The minute must enter the index before the claim is accepted."""

    service: str
    bucket: str
    minute: int


class Entered(NamedTuple):
    """The minute is in the index, or could not be entered."""

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


class Closed(NamedTuple):
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
    | Entered
    | Settled
    | IndexRead
    | Closed
)


def claims_unavailable() -> errors.FlowError:
    """Return the refusal while the platform is down."""
    return errors.ClaimsUnavailable(
        'the claim of the operation could not be stored; nothing was run, '
        'repeat the request with the same key and issued_at'
    )


def unreadable() -> errors.FlowError:
    """Return the failure when the stored claim can't be told."""
    return errors.OutcomeUnknown(
        'the platform did not tell what is recorded; look up the outcome '
        'later or repeat the request with the same key and issued_at'
    )


def window_passed() -> errors.FlowError:
    """Return the refusal of an attempt that was confirmed too late."""
    return errors.DispatchWindowPassed(
        'the claim was confirmed too late to send the operation; nothing '
        'was run, repeat the request with the same key and issued_at'
    )


def in_progress(operation: claims.Operation) -> errors.FlowError:
    """Return the refusal of a repeat during the attempt."""
    return errors.AlreadyClaimed(
        f'{operation.operation_key} is in progress; look up its outcome '
        f'later or repeat the request with the same key and issued_at'
    )


def bucket_full(operation: claims.Operation) -> errors.FlowError:
    """Return the refusal when the bucket has no room."""
    return errors.BucketFull(
        f'the claims of service {operation.service} for this minute '
        f'are full; use a later issued_at for new work'
    )


def key_reused(operation: claims.Operation) -> errors.FlowError:
    """Return the refusal of a key with another payload."""
    return errors.KeyReused(
        f'key {operation.key!r} was used with another payload; use '
        f'a new key for new work'
    )


def not_confirmed() -> errors.FlowError:
    """Return the refusal of a claim that came too late for its caller."""
    return errors.DeadlineUnreachable(
        'the claim of the operation was not confirmed in time; nothing was '
        'run, repeat the request with the same key and issued_at'
    )


def backlog() -> errors.FlowError:
    """Return the refusal while too many outcomes are unwritten."""
    return errors.OutcomesBacklog(
        'too many outcomes wait for the platform; nothing was run, repeat '
        'the request later with the same key and issued_at'
    )
