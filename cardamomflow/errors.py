# All failures stand in one module, whatever their number.
# flake8: noqa: WPS202
"""Failure types with stable codes; owns no state and does no I/O.

Every failure that leaves a module is an instance of `FlowError`. The code is
part of the public interface and is listed in `docs/errors.md`.
"""

import enum
import http
from typing import ClassVar, NamedTuple

from cardamomflow import exitstatus


class Outcome(enum.StrEnum):
    """What is known about the work of a refused request."""

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
        What is known about the work of the request.
    exit_status : exits.ExitStatus
        Exit status of a program that ends with this failure.
    retry_after_s : float or None
        When the caller should come back; None when that is not known.
    """

    code: ClassVar[str] = 'internal'
    status: ClassVar[http.HTTPStatus] = http.HTTPStatus.INTERNAL_SERVER_ERROR
    outcome: Outcome = Outcome.UNKNOWN
    exit_status: ClassVar[exitstatus.ExitStatus] = exitstatus.ExitStatus.FAILED

    def __init__(
        self, message: str, retry_after_s: float | None = None
    ) -> None:
        """Keep the message shown to callers and operators."""
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
    """The request's head is over the limit."""

    code = 'head_too_large'
    status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class BodyTooLarge(BadRequest):
    """The request's body is over the limit."""

    code = 'body_too_large'
    status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class MethodNotAllowed(BadRequest):
    """The path exists but not with this method."""

    code = 'method_not_allowed'
    status = http.HTTPStatus.METHOD_NOT_ALLOWED


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


class DeadlineUnreachable(Overloaded):
    """The request can't finish before its deadline."""

    code = 'deadline_unreachable'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class Stopping(Overloaded):
    """The process is stopping and takes no new work."""

    code = 'stopping'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class NotReady(Overloaded):
    """The process has no configuration or no members yet."""

    code = 'not_ready'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class NotOwner(Overloaded):
    """The aggregator does not own the service."""

    code = 'not_owner'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class NoReplica(Overloaded):
    """No backend server can take the work now."""

    code = 'no_replica'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class SnapshotGone(FlowError):
    """The backend server no longer holds the pinned snapshot."""

    code = 'snapshot_gone'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class DeadlineExceeded(FlowError):
    """The deadline passed before an answer was there."""

    code = 'deadline_exceeded'
    status = http.HTTPStatus.GATEWAY_TIMEOUT


class ConnectFailed(FlowError):
    """No connection could be opened; nothing was sent."""

    code = 'connect_failed'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class PeerLost(FlowError):
    """The connection ended or went silent before the answer."""

    code = 'peer_lost'
    status = http.HTTPStatus.BAD_GATEWAY


class ProtocolViolation(FlowError):
    """The peer sent what the protocol does not allow."""

    code = 'protocol_violation'
    status = http.HTTPStatus.BAD_GATEWAY


class FrameTooLarge(ProtocolViolation):
    """A frame is over the limit."""

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
    """The platform does not keep the changes since a revision."""

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
    """The operation's `issued_at` lies outside the claim retention."""

    code = 'claim_expired'
    status = http.HTTPStatus.CONFLICT
    outcome = Outcome.NOT_RUN


class SettingsProblem(NamedTuple):
    """One problem of a settings, register or rules document.

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
        """Keep all problems of the document."""
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


class KeyReused(FlowError):
    """The key is in use for another payload; this payload was not run."""

    code = 'key_reused'
    status = http.HTTPStatus.CONFLICT
    outcome = Outcome.NOT_RUN


class OperationNotFound(FlowError):
    """No claim of the operation is recorded; it may still be under way."""

    code = 'operation_not_found'
    status = http.HTTPStatus.NOT_FOUND


class OperationUnresolved(FlowError):
    """Whether the operation was run can't be known any more."""

    code = 'operation_unresolved'
    status = http.HTTPStatus.GATEWAY_TIMEOUT


class BucketFull(Overloaded):
    """The service's claims of one minute are over the size limit."""

    code = 'bucket_full'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class OutcomesBacklog(Overloaded):
    """Too many outcomes wait for the platform to take more operations."""

    code = 'outcomes_backlog'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class DispatchWindowPassed(FlowError):
    """The claim was confirmed too late to send; nothing was sent."""

    code = 'dispatch_window_passed'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class ResultNotKept(FlowError):
    """The operation was run, but its result was too large to be kept."""

    code = 'result_not_kept'
    status = http.HTTPStatus.GONE
    outcome = Outcome.RUN


def all_types() -> list[type[FlowError]]:
    """Return every failure type that has a code of its own."""
    found = [FlowError]
    for error_type in found:
        found.extend(error_type.__subclasses__())
    return found
