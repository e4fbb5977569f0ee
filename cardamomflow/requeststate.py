"""State of one request and of its subrequests to services; sans-I/O.

Tracks the attempts of a request and the parts received, and decides when the
request ends: with all parts, with some of them once its target has passed, or
as failed. `dispatching` chooses the backend server of each attempt.
"""

import enum
import heapq
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from cardamomflow import directory, limits, routes, rules
from cardamomflow.accounts import table

# Size of the records that the answer to a query consists of.
RECORD_BYTES = 16
# Larger bodies are released as soon as a request has its answer.
SMALL_BODY_BYTES = 4096
# Part of the target that is reserved for the network between this host and the
# caller (3 ms each way for the customer with the slower network) and for
# writing the answer.
TARGET_RESERVE_S = 0.009
# Part of the caller's deadline that is reserved for the same purpose.
DEADLINE_RESERVE_S = 0.02
MAX_RESERVE_SHARE = 0.25


class Load(NamedTuple):
    """Load that a backend server reports with an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that run or wait, and how many may run at once.
    slowness : float or None
        How long work takes on its machine now, relative to the usual time; None
        if it does not report that.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class Reply(NamedTuple):
    """A complete answer of a backend server.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        Headers to pass on to the caller.
    body : bytes
    stamp : str or None
        Signature of the backend server.
    not_run : bool
        Whether the backend server reports that it did not run the request.
    misdirected : bool
        Whether the address now belongs to another backend server.
    load : Load or None
    leaving : directory.LeavingNotice or None
        Set if the backend server reports that it is about to stop.
    pause_s : float
        Time in seconds for which a backend server that refused the request
        wants no further ones.
    invalid_headers : tuple of str
        Names of the headers that were ignored since their values are invalid.
    may_be_passed_on : bool
        False if the status would tell the caller that the request was not run,
        which the backend server did not state.
    cold_s : float or None
        Seconds for which the backend server is cold, None if it does not say.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    stamp: str | None
    not_run: bool
    misdirected: bool
    load: Load | None
    leaving: directory.LeavingNotice | None = None
    pause_s: float = 0
    invalid_headers: tuple[str, ...] = ()
    may_be_passed_on: bool = True
    cold_s: float | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the backend server served the request."""
        return 200 <= self.status < 300  # noqa: WPS432  # the 2xx statuses

    @property
    def outcome(self) -> limits.CallOutcome:
        """The outcome of the attempt according to this answer."""
        if self.succeeded:
            return limits.CallOutcome.SUCCESS
        if self.not_run:
            return limits.CallOutcome.SHED
        return limits.CallOutcome.FAILED


class TimeBudget(NamedTuple):
    """Time that a request may take.

    Attributes
    ----------
    remaining_s : float
        Time in seconds until the caller stops waiting.
    elapsed_s : float
        Time in seconds before the request arrived; counts towards its target.
    sending_s : float
        Time in seconds to send the answer over the link of this host.
    """

    remaining_s: float
    elapsed_s: float = 0
    sending_s: float = 0


class Ending(enum.Enum):
    """How a request ended."""

    ANSWERED = enum.auto()
    # No backend server can have run the request.
    NOT_RUN = enum.auto()
    # Too many parts failed, and at least one attempt may have run.
    FAILED = enum.auto()
    # The deadline passed, and at least one attempt may have run.
    LATE = enum.auto()


class Subrequest:
    """The part of a request that is sent to one service."""

    __slots__ = (
        'work',
        'service',
        'unreachable_ids',
        'attempts',
        'reply',
        'error_reply',
        'failure_reason',
        'may_have_run',
        'is_queued',
        'handover',
        'remote_attempts',
        'attempt_limit',
        'grant_reason',
        'exceeds_zone',
    )

    def __init__(self, work: 'Work', service: str) -> None:
        self.work = work
        self.service = service
        # Backend servers that refused the connection.
        self.unreachable_ids: set[str] = set()
        # All attempts in order of their start.
        self.attempts: list[Attempt] = []
        self.reply: Reply | None = None
        # The last failure that may be passed on to the caller.
        self.error_reply: Reply | None = None
        self.failure_reason: str | None = None
        self.may_have_run = False
        self.is_queued = False
        # Set while another host requests this part.
        self.handover: Any = None
        # Attempts that another host may have made, whether or not it reports
        # them.
        self.remote_attempts = 0
        # Attempts that this host may make without a further grant.
        self.attempt_limit = work.route.attempts
        # Why the requesting host has to grant an attempt, None if it has not.
        self.grant_reason: str | None = None
        # Whether the own zone was found unable to serve it in time.
        self.exceeds_zone = False

    def drop_bodies(self) -> None:
        """Release large bodies of answers."""
        for name in ('reply', 'error_reply'):
            reply = getattr(self, name)
            if reply is not None and len(reply.body) > SMALL_BODY_BYTES:
                setattr(self, name, reply._replace(body=b''))

    @property
    def open_attempts(self) -> list['Attempt']:
        """Attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.is_open]

    @property
    def attempted_ids(self) -> list[str]:
        """Backend servers that received the request or still may."""
        refused = limits.CallOutcome.REFUSED_CONNECTION
        return [
            attempt.backend_id
            for attempt in self.attempts
            if attempt.outcome is not refused
        ]

    def request_grant(self, reason: str) -> None:
        """Ask the requesting host for an attempt with the next report."""
        if self.grant_reason is None:
            self.work.grant_requests.append(self)
        self.grant_reason = reason

    @property
    def attempt_count(self) -> int:
        """Attempts that this host made, or another one may have made."""
        return len(self.attempted_ids) + self.remote_attempts

    @property
    def lacks_grant(self) -> bool:
        """Whether the next attempt is allowed, but not granted yet."""
        return (
            self.attempt_limit <= self.attempt_count < self.work.route.attempts
        )

    @property
    def is_settled(self) -> bool:
        """Whether the part was received, has failed or is not needed."""
        return (
            self.reply is not None
            or self.failure_reason is not None
            or self.work.ended
        )

    @property
    def may_run(self) -> bool:
        """Whether an attempt has run, or may run now or later.

        A request that was sent before a network partition may arrive after it.
        """
        if self.handover and self.reply is None and self.failure_reason is None:
            return True
        return self.may_have_run or any(
            attempt.sent for attempt in self.open_attempts
        )

    def add_attempt(
        self, backend_id: str, availability_zone: str, now: float
    ) -> 'Attempt':
        """Add an attempt at a backend server."""
        attempt = Attempt(self, backend_id, availability_zone, now)
        self.attempts.append(attempt)
        return attempt


class Attempt:
    """A request sent to one backend server."""

    __slots__ = (
        'subrequest',
        'backend_id',
        'availability_zone',
        'started_at',
        'connection',
        'sent',
        'ended_at',
        'outcome',
    )

    def __init__(
        self,
        subrequest: Subrequest,
        backend_id: str,
        availability_zone: str,
        started_at: float,
    ) -> None:
        self.subrequest = subrequest
        self.backend_id = backend_id
        self.availability_zone = availability_zone
        self.started_at = started_at
        # Set and used only by the transport.
        self.connection: Any = None
        # Whether the request may have left this host.
        self.sent = False
        self.ended_at: float | None = None
        self.outcome: limits.CallOutcome | None = None

    @property
    def is_open(self) -> bool:
        """Whether the attempt has not ended."""
        return self.outcome is None

    def end(self, outcome: limits.CallOutcome, now: float) -> None:
        """Record the outcome and the end time of the attempt."""
        self.outcome = outcome
        self.ended_at = now


class Work:
    """One request in progress.

    Attributes
    ----------
    route : routes.Route
    message : Any
        The request as the transport sends it; not read here.
    started_at, deadline, answer_at : float
        Monotonic times in seconds; a partial answer may be sent from
        `answer_at` on.
    ended : bool
    answered_count, failed_count : int
        Subrequests that were answered or have failed.
    needed : int
        Number of parts that an answer must contain.
    is_delegated : bool
        Whether another host asked for the parts.
    account : table.Account or None
        Client account of the request.
    is_evicted : bool
        Whether the request ended because its memory is needed for others.
    grant_requests : list of Subrequest
        Parts whose next attempt the requesting host has to be asked for.
    granted : sequence of Subrequest
        Parts whose next attempt was granted and is not made yet.
    """

    is_delegated = False
    is_evicted = False
    granted: Sequence[Subrequest] = ()

    def __init__(
        self,
        route: routes.Route,
        services: tuple[str, ...],
        message: Any,
        started_at: float,
        time_budget: TimeBudget,
        account: table.Account | None = None,
    ) -> None:
        """Start a request.

        Parameters
        ----------
        route : routes.Route
        services : tuple of str
            Services that each supply one part.
        message : Any
        started_at : float
        time_budget : TimeBudget
        account : table.Account, optional
        """
        self.route = route
        self.account = account
        self.message = message
        self.started_at = started_at
        allowed_s = min(time_budget.remaining_s, route.timeout_s)
        self.deadline = started_at + _subtract_reserve(
            allowed_s, DEADLINE_RESERVE_S
        )
        target_s = (
            route.target_s - time_budget.elapsed_s - time_budget.sending_s
        )
        target_s = max(0, target_s)
        self.answer_at = started_at + _subtract_reserve(
            target_s, TARGET_RESERVE_S
        )
        self.subrequests = [Subrequest(self, service) for service in services]
        # Parts that other hosts request.
        self.handovers: list[Any] = []
        self.grant_requests: list[Subrequest] = []
        self.ended = False
        self.answered_count = 0
        self.failed_count = 0
        self.needed = route.needed_parts

    @property
    def rank(self) -> rules.Rank:
        """Rank of the client account if it has one, else of the route."""
        if self.account is None or self.account.rank is None:
            return self.route.rank
        return self.account.rank

    @property
    def is_settled(self) -> bool:
        """Whether every subrequest is settled or the request has ended."""
        return self.ended or self.answered_count + self.failed_count >= len(
            self.subrequests
        )

    def is_finished(self, now: float) -> bool:
        """Whether the answer has to be sent now."""
        if self.is_settled:
            return True
        if len(self.subrequests) - self.failed_count < self.needed:
            return True
        if self.answered_count >= self.needed and now >= self.answer_at:
            return True
        return now >= self.deadline

    def needs_report(self, now: float) -> bool:
        """Whether to report now; `DelegatedWork` also reports some parts."""
        return self.is_finished(now)

    def open_subrequests(self) -> Iterator[Subrequest]:
        """Yield the subrequests that may still be answered."""
        return (
            subrequest
            for subrequest in self.subrequests
            if not subrequest.is_settled
        )

    def open_attempts(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [
            attempt
            for subrequest in self.subrequests
            for attempt in subrequest.open_attempts
        ]

    def accept(self, subrequest: Subrequest, reply: Reply) -> None:
        """Record the part of a subrequest."""
        subrequest.reply = reply
        self.answered_count += 1

    def mark_failed(self, subrequest: Subrequest, reason: str) -> None:
        """Record that a subrequest gets no part, and why."""
        subrequest.failure_reason = reason
        self.failed_count += 1

    def end(self) -> Ending:
        """End the request and return how it ended."""
        self.ended = True
        if self.answered_count >= self.needed:
            return Ending.ANSWERED
        if not any(subrequest.may_run for subrequest in self.subrequests):
            return Ending.NOT_RUN
        attainable = len(self.subrequests) - self.failed_count
        return Ending.LATE if attainable >= self.needed else Ending.FAILED

    def drop_bodies(self) -> None:
        """Release the large bodies of a request that has its answer.

        A request and its attempts refer to each other, so they stay in memory
        until the next garbage collection, and in log tasks.
        """
        if len(self.message.body) > SMALL_BODY_BYTES:
            self.message = self.message._replace(body=b'')
        for subrequest in self.subrequests:
            subrequest.drop_bodies()

    def parts(self) -> list[Reply]:
        """Return the parts received."""
        return [
            subrequest.reply
            for subrequest in self.subrequests
            if subrequest.reply is not None
        ]


def merge(parts: list[Reply], limit: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    An incomplete record at the end of a part is dropped.
    """
    records = [
        part.body[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, _complete_bytes(part.body), RECORD_BYTES)
    ]
    return b''.join(heapq.nlargest(limit, records))


def _complete_bytes(body: bytes) -> int:
    return len(body) - len(body) % RECORD_BYTES


def _subtract_reserve(span_s: float, reserve_s: float) -> float:
    """Return a time span less its reserve, at most a quarter of the span."""
    return span_s - min(reserve_s, span_s * MAX_RESERVE_SHARE)
