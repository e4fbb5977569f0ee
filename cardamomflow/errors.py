# One module defines all failure types, whatever their number.
# flake8: noqa: WPS202
"""Failure types with stable codes; owns no state and does no I/O.

Every failure that leaves a module is an instance of `FlowError`. The code is
part of the public interface and is listed in `docs/errors.md`.
"""

import enum
import http
import re
from typing import ClassVar, NamedTuple

from cardamomflow import exitstatus

# Where a parser's message begins to quote its input.
_QUOTED_INPUT = re.compile(r"""[: ]*(?:bytearray\()?\bb['"].*""", re.DOTALL)


class Outcome(enum.StrEnum):
    """Whether the work of a failed request was run, as far as known."""

    NOT_RUN = 'not_run'
    RUN = 'run'
    UNKNOWN = 'unknown'
    ACCEPTED = 'accepted'


class FlowError(Exception):
    """Base of all failures.

    Attributes
    ----------
    code : str
        Stable identifier of the failure.
    status : http.HTTPStatus
        Status of the HTTP response that carries the failure.
    outcome : Outcome
        Whether the work of the request was run, as far as known.
    exit_status : exitstatus.ExitStatus
        Exit status of a program that ends with this failure.
    retry_after_s : float or None
        Time in seconds after which the caller may retry; None if unknown.
    """

    code: ClassVar[str] = 'internal'
    status: ClassVar[http.HTTPStatus] = http.HTTPStatus.INTERNAL_SERVER_ERROR
    outcome: Outcome = Outcome.UNKNOWN
    exit_status: ClassVar[exitstatus.ExitStatus] = exitstatus.ExitStatus.FAILED

    def __init__(
        self, message: str, retry_after_s: float | None = None
    ) -> None:
        """Create a failure.

        Parameters
        ----------
        message : str
            Shown to callers and operators.
        retry_after_s : float, optional
        """
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s


class BadRequest(FlowError):
    """The request is malformed; nothing was run."""

    code = 'bad_request'
    status = http.HTTPStatus.BAD_REQUEST
    outcome = Outcome.NOT_RUN


class RequestTimeout(BadRequest):
    """The caller did not send its request in time."""

    code = 'request_timeout'
    status = http.HTTPStatus.REQUEST_TIMEOUT


class HeadTooLarge(BadRequest):
    """The head of the request is larger than the limit."""

    code = 'head_too_large'
    status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class BodyTooLarge(BadRequest):
    """The body of the request is larger than the limit."""

    code = 'body_too_large'
    status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class MethodNotAllowed(BadRequest):
    """The path does not support this method."""

    code = 'method_not_allowed'
    status = http.HTTPStatus.METHOD_NOT_ALLOWED


class UnknownKey(FlowError):
    """The request has no API key, or one that no client account holds."""

    code = 'unknown_key'
    status = http.HTTPStatus.UNAUTHORIZED
    outcome = Outcome.NOT_RUN


class NotFound(FlowError):
    """The path, service, work or operation is not known."""

    code = 'not_found'
    status = http.HTTPStatus.NOT_FOUND
    outcome = Outcome.NOT_RUN
    exit_status = exitstatus.ExitStatus.INVALID_INPUT


class Overloaded(FlowError):
    """Admission refused the request before any work was started."""

    code = 'overloaded'
    status = http.HTTPStatus.TOO_MANY_REQUESTS
    outcome = Outcome.NOT_RUN


class MemoryShort(Overloaded):
    """The process holds too many bytes of unfinished requests."""

    code = 'memory_short'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class RequestFragmented(Overloaded):
    """The pieces of the request cost far more than they carry."""

    code = 'request_fragmented'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class QuotaExceeded(Overloaded):
    """The client account has used up its limit."""

    code = 'quota_exceeded'


class QuotaUnknown(Overloaded):
    """No holder of the account's tokens can be reached."""

    code = 'quota_unknown'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class DeadlineUnreachable(Overloaded):
    """The request can't finish before its deadline."""

    code = 'deadline_unreachable'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class Stopping(Overloaded):
    """The process is stopping and accepts no new work."""

    code = 'stopping'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class NotReady(Overloaded):
    """The process has no configuration or members yet, or too old ones."""

    code = 'not_ready'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class NotOwner(Overloaded):
    """The aggregator does not own the service."""

    code = 'not_owner'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class NoReplica(Overloaded):
    """No backend server can accept the work now."""

    code = 'no_replica'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class SnapshotGone(FlowError):
    """The backend server no longer holds the pinned snapshot."""

    code = 'snapshot_gone'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class DeadlineExceeded(FlowError):
    """The deadline passed before an answer arrived."""

    code = 'deadline_exceeded'
    status = http.HTTPStatus.GATEWAY_TIMEOUT


class ConnectFailed(FlowError):
    """No connection could be opened; nothing was sent."""

    code = 'connect_failed'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class PeerLost(FlowError):
    """The connection ended or stalled before the answer arrived."""

    code = 'peer_lost'
    status = http.HTTPStatus.BAD_GATEWAY


class ProtocolViolation(FlowError):
    """The peer sent data that violates the protocol."""

    code = 'protocol_violation'
    status = http.HTTPStatus.BAD_GATEWAY


class FrameTooLarge(ProtocolViolation):
    """A frame is larger than the limit."""

    code = 'frame_too_large'


class BackendFailed(FlowError):
    """The backend server answered with a failure of its own."""

    code = 'backend_failed'
    status = http.HTTPStatus.BAD_GATEWAY


class BackendRefused(FlowError):
    """The backend server refused before it started the work."""

    code = 'backend_refused'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class PlatformUnavailable(FlowError):
    """The platform could not be reached; the change has no effect."""

    code = 'platform_unavailable'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN
    exit_status = exitstatus.ExitStatus.UNAVAILABLE


class HistoryLost(PlatformUnavailable):
    """The platform no longer has the changes since a revision."""

    code = 'history_lost'


class OutcomeUnknown(FlowError):
    """The platform's answer was lost; the change may have taken effect."""

    code = 'outcome_unknown'
    status = http.HTTPStatus.GATEWAY_TIMEOUT
    exit_status = exitstatus.ExitStatus.UNKNOWN_OUTCOME


class Conflict(FlowError):
    """Another writer changed the value first."""

    code = 'conflict'
    status = http.HTTPStatus.CONFLICT
    outcome = Outcome.NOT_RUN
    exit_status = exitstatus.ExitStatus.CONFLICT


class ClaimsUnavailable(PlatformUnavailable):
    """The claim of an operation could not be stored; it was not run."""

    code = 'claims_unavailable'


class AlreadyClaimed(FlowError):
    """The operation's key is claimed and its outcome is not known yet."""

    code = 'already_claimed'
    status = http.HTTPStatus.CONFLICT


class ClaimExpired(FlowError):
    """The operation's `issued_at` is outside the claim retention period."""

    code = 'claim_expired'
    status = http.HTTPStatus.CONFLICT
    outcome = Outcome.NOT_RUN


class SettingsProblem(NamedTuple):
    """One problem in a settings, register or rules document.

    Attributes
    ----------
    source : str
        File or other origin of the document.
    path : str
        Dotted key path.
    found : str
        The value found, shortened.
    expected : str
        What the schema or a cross-check expects.
    """

    source: str
    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        """Render the problem on one line."""
        return (
            f'{self.source}: {self.path}: '
            f'found {self.found}, expected {self.expected}'
        )


class InvalidDocument(FlowError):
    """A document does not match its schema; lists every problem."""

    code = 'invalid_document'
    status = http.HTTPStatus.BAD_REQUEST
    outcome = Outcome.NOT_RUN
    exit_status = exitstatus.ExitStatus.INVALID_INPUT

    def __init__(self, problems: list[SettingsProblem]) -> None:
        """Create a failure that lists all problems of the document."""
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


class KeyReused(FlowError):
    """The key was used with another payload; this payload was not run."""

    code = 'key_reused'
    status = http.HTTPStatus.CONFLICT
    outcome = Outcome.NOT_RUN


class OperationNotFound(FlowError):
    """No claim of the operation is stored; it may still be in progress."""

    code = 'operation_not_found'
    status = http.HTTPStatus.NOT_FOUND


class OperationUnresolved(FlowError):
    """It can no longer be determined whether the operation was run."""

    code = 'operation_unresolved'
    status = http.HTTPStatus.GATEWAY_TIMEOUT


class BucketFull(Overloaded):
    """The service's claims of one minute exceed the size limit."""

    code = 'bucket_full'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class OutcomesBacklog(Overloaded):
    """Too many outcomes wait to be stored; no operation is accepted."""

    code = 'outcomes_backlog'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class DispatchWindowPassed(FlowError):
    """The claim was confirmed too late to send; nothing was sent."""

    code = 'dispatch_window_passed'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class ResultNotKept(FlowError):
    """The operation was run, but its result was too large to be stored."""

    code = 'result_not_kept'
    status = http.HTTPStatus.GONE
    outcome = Outcome.RUN


def all_error_types() -> list[type[FlowError]]:
    """Return `FlowError` and all its subclasses."""
    error_types = [FlowError]
    for error_type in error_types:
        error_types.extend(error_type.__subclasses__())
    return error_types


def describe_malformed(error: Exception) -> str:
    """Return a parser's reason without the input, which may hold secrets."""
    return _QUOTED_INPUT.sub('', str(error))
