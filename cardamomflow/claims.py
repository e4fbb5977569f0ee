"""Stored format of the claims of operations; no I/O.

A bucket holds the claims of one service and one minute. The index of a
service lists the minutes that may have open deferred claims.
"""

import base64
import enum
import hashlib
import json
from collections.abc import Iterator
from typing import Any, NamedTuple

from cardamomflow import errors, jsonbody

CLAIM_RETENTION_S = 86_400
MAX_FUTURE_S = 60
# A claim in `dispatching` expires this long after its deadline. The time
# covers the difference between the wall clocks of two hosts.
EXPIRY_GRACE_S = 60
# The platform stores values up to 1 MB. A bucket above the first limit accepts
# no new claims; the space up to the second is for results of its claims.
MAX_BUCKET_BYTES = 700_000
MAX_VALUE_BYTES = 950_000
# A larger result is not stored; the record then has `result_omitted`.
MAX_RESULT_BYTES = 65_536
# Reserved in the bucket for each claim that has no result yet.
RECORD_BYTES = 512
MINUTE_S = 60
_DIGEST_BYTES = 16
# Member of a bucket that marks whether its minute is in the index. It can't
# be the name of a claim, since these contain a slash.
LISTED = 'listed'

Document = dict[str, Any]


class State(enum.StrEnum):
    """State of a claim."""

    ACCEPTED = 'accepted'
    DISPATCHING = 'dispatching'
    RUN = 'run'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


OPEN_STATES = frozenset((State.ACCEPTED, State.DISPATCHING))


class Operation(NamedTuple):
    """One call for an operation.

    Attributes
    ----------
    service : str
    key : str
        The caller's idempotency key. Service, `issued_at` and key identify
        the operation.
    issued_at : int
        Unix seconds, chosen by the caller.
    payload : bytes
    deadline : float
        Monotonic seconds.
    deferred : bool
        Whether it is accepted now and run later.
    rank : int
    ticket : int
        Distinguishes calls of the same operation within a process.
    """

    service: str
    key: str
    issued_at: int
    payload: bytes = b''
    deadline: float = 0
    deferred: bool = False
    rank: int = 0
    ticket: int = 0

    @property
    def bucket(self) -> str:
        """Store key of the bucket that holds the claim."""
        return bucket_key(self.service, self.issued_at // MINUTE_S)

    @property
    def member(self) -> str:
        """Name of the claim in its bucket."""
        return f'{self.issued_at}/{self.key}'

    @property
    def operation_key(self) -> str:
        """Idempotency key that the backend server receives."""
        return f'{self.service}/{self.member}'


class Record(NamedTuple):
    """A stored claim.

    Attributes
    ----------
    state : State
    token : str
        Token of the attempt that last claimed or accepted the operation.
    claimant : str
        Process that made the attempt.
    digest : str
        Digest of the payload.
    changed_at : float
        Unix seconds.
    deadline : float
        Unix seconds. The attempt expires `EXPIRY_GRACE_S` later.
    rank : int
    origin : str
        Token of the acceptance; empty unless deferred.
    payload : bytes
        Stored only while a deferred operation is open.
    result : bytes
        Result of the backend server.
    result_omitted : bool
        Whether the result was too large to be stored.
    """

    state: State
    token: str
    claimant: str
    digest: str
    changed_at: float = 0
    deadline: float = 0
    rank: int = 0
    origin: str = ''
    payload: bytes = b''
    result: bytes = b''
    result_omitted: bool = False

    @property
    def deferred(self) -> bool:
        """Whether the operation was accepted to run later."""
        return bool(self.origin)

    def has_payload(self, payload: bytes) -> bool:
        """Whether the operation was claimed with this payload."""
        return self.digest == digest(payload)

    def is_expired(self, unix_time: float) -> bool:
        """Whether the grace time after the deadline passed in dispatch."""
        return (
            self.state is State.DISPATCHING
            and unix_time > self.deadline + EXPIRY_GRACE_S
        )

    def with_outcome(
        self, state: State, result: bytes, unix_time: float
    ) -> 'Record':
        """Return the claim with the outcome of its attempt.

        A deferred operation that was not run returns to `ACCEPTED`. If its
        claim expired before, it stays unknown, because its payload was
        deleted.
        """
        if state is State.NOT_RUN and self.origin:
            if self.state is not State.DISPATCHING:
                return self
            return self._replace(
                state=State.ACCEPTED, token=self.origin, changed_at=unix_time
            )
        omitted = len(result) > MAX_RESULT_BYTES
        return self._replace(
            state=state,
            changed_at=unix_time,
            payload=b'',
            result=b'' if omitted else result,
            result_omitted=omitted,
        )

    def encode(self) -> Document:
        """Return the claim as a JSON object, without empty fields."""
        document = {
            name: content for name, content in self._asdict().items() if content
        }
        for name in ('payload', 'result'):
            if name in document:
                document[name] = base64.b64encode(document[name]).decode()
        return document

    @classmethod
    def decode(cls, document: Document) -> 'Record':
        """Return the claim that a JSON object holds."""
        fields = {
            name: content
            for name, content in document.items()
            if name in cls._fields
        }
        for name in ('payload', 'result'):
            fields[name] = base64.b64decode(fields.get(name, ''))
        fields['state'] = State(fields['state'])
        return cls(**fields)


def bucket_key(service: str, minute: int) -> str:
    """Return the store key of a service's claims of one minute."""
    return f'claims/{minute}/{service}'


def index_key(service: str) -> str:
    """Return the store key of the index of a service."""
    return f'claims/open/{service}'


def minute_of(unix_time: float) -> int:
    """Return the minute of a time in Unix seconds."""
    return int(unix_time) // MINUTE_S


def digest(payload: bytes) -> str:
    """Return the digest by which payloads are compared."""
    return hashlib.blake2b(payload, digest_size=_DIGEST_BYTES).hexdigest()


def check_issued_at(issued_at: int, unix_time: float) -> None:
    """Check that the claim of an operation can't be deleted already.

    Raises
    ------
    errors.ClaimExpired
        `issued_at` is older than the retention, or too far in the future.
    """
    age_s = unix_time - issued_at
    if age_s > CLAIM_RETENTION_S:
        raise errors.ClaimExpired(
            f'issued_at is {age_s:.0f} s in the past, above the retention of '
            f'{CLAIM_RETENTION_S} s; look up the outcome of the old request '
            f'and send new work with a new key'
        )
    if -age_s > MAX_FUTURE_S:
        raise errors.ClaimExpired(
            f'issued_at is {-age_s:.0f} s in the future; at most '
            f'{MAX_FUTURE_S} s are allowed, check the clock of the caller'
        )


def find(document: Document, member: str) -> Record | None:
    """Return a claim of a bucket, None if it is absent."""
    stored = document.get(member)
    if stored is None:
        return None
    return Record.decode(stored)


def open_claims(document: Document) -> Iterator[tuple[str, Record]]:
    """Iterate over the claims of a bucket that have no outcome yet."""
    for member, stored in document.items():
        if member != LISTED and stored['state'] in OPEN_STATES:
            yield member, Record.decode(stored)


def encode(document: Document) -> bytes:
    """Return the stored form of a bucket or an index."""
    return json.dumps(document, separators=(',', ':')).encode()


def decode(stored: bytes) -> Document:
    """Return the bucket or index that a stored value holds.

    Raises
    ------
    errors.ProtocolViolation
        The value is not a JSON object.
    """
    return jsonbody.parse_object(stored, errors.ProtocolViolation)
