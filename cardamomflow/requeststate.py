"""State of one request and of its subrequests to services; sans-I/O.

Owns the attempts of a request, the parts that came and the moment at which
it ends: whole, partial once its target has passed, or failed. Which backend
server gets an attempt is decided by `dispatching`.
"""

import enum
import heapq
from collections.abc import Iterator
from typing import Any, NamedTuple

from cardamomflow import limits, routes

RECORD_BYTES = 16
# Kept back from the target for the way between this host and the caller, and
# for writing the answer: 3 ms each way at the slower of the two customers.
TARGET_RESERVE_S = 0.009
# Kept back from the caller's deadline for the same.
DEADLINE_RESERVE_S = 0.02
MAX_RESERVE_SHARE = 0.25


class Load(NamedTuple):
    """Load that a backend server reports of itself."""

    running: int
    waiting: int
    slots: int


class Reply(NamedTuple):
    """A whole answer of a backend server.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        Headers that a caller gets.
    body : bytes
    stamp : str or None
        Signature of the backend server.
    not_run : bool
        Whether the backend server says that it did not run the request.
    misdirected : bool
        Whether another backend server has the address.
    load : Load or None
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    stamp: str | None
    not_run: bool
    misdirected: bool
    load: Load | None

    @property
    def succeeded(self) -> bool:
        """Whether the backend server did what was asked."""
        return 200 <= self.status < 300  # noqa: WPS432  # the 2xx statuses

    @property
    def outcome(self) -> limits.CallOutcome:
        """What the answer says of the attempt."""
        if self.succeeded:
            return limits.CallOutcome.SUCCESS
        if self.not_run:
            return limits.CallOutcome.SHED
        return limits.CallOutcome.FAILED


class Waiting(NamedTuple):
    """How long the caller of a request waits.

    Attributes
    ----------
    left_s : float
        Time from now on, at most.
    spent_s : float
        Time before the request arrived, which counts for its target.
    sending_s : float
        Time that the answer takes on the link of this host.
    """

    left_s: float
    spent_s: float = 0
    sending_s: float = 0


class Ending(enum.Enum):
    """How a request ended."""

    ANSWERED = enum.auto()
    # No attempt can have run.
    NOT_RUN = enum.auto()
    # All attempts failed, and at least one may have run.
    FAILED = enum.auto()
    LATE = enum.auto()


class Subrequest:
    """The part of a request that is sent to one service."""

    __slots__ = (
        'work',
        'service',
        'avoided',
        'attempts',
        'reply',
        'failure',
        'reason',
        'may_have_run',
        'waiting',
        'handover',
        'attempts_elsewhere',
    )

    def __init__(self, work: 'Work', service: str) -> None:
        self.work = work
        self.service = service
        # Backend servers that could not be reached.
        self.avoided: set[str] = set()
        # All attempts, in the order in which they started.
        self.attempts: list[Attempt] = []
        self.reply: Reply | None = None
        # The last answer that is no success.
        self.failure: Reply | None = None
        self.reason: str | None = None
        self.may_have_run = False
        self.waiting = False
        # Set while another host asks for this part.
        self.handover: Any = None
        # Backend servers that another host may have asked before.
        self.attempts_elsewhere = 0

    @property
    def open_attempts(self) -> list['Attempt']:
        """Attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.is_open]

    @property
    def asked(self) -> list[str]:
        """Backend servers that got the request, or may get it."""
        refused = limits.CallOutcome.REFUSED_CONNECTION
        return [
            attempt.backend_id
            for attempt in self.attempts
            if attempt.outcome is not refused
        ]

    @property
    def is_settled(self) -> bool:
        """Whether no further attempt is of use."""
        return (
            self.reply is not None or self.reason is not None or self.work.ended
        )

    @property
    def may_run(self) -> bool:
        """Whether an attempt has run, or may run now or later.

        A request that was sent before a partition may arrive after its end.
        """
        if self.handover and self.reply is None and self.reason is None:
            return True
        return self.may_have_run or any(
            attempt.sent for attempt in self.open_attempts
        )

    def ask(
        self, backend_id: str, availability_zone: str, now: float
    ) -> 'Attempt':
        """Start an attempt at a backend server."""
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
        # Set by the transport, which alone uses it.
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
        """Note how and when the attempt ended."""
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
        Monotonic times in seconds; a partial answer leaves from `answer_at`
        on.
    ended : bool
    """

    def __init__(
        self,
        route: routes.Route,
        services: tuple[str, ...],
        message: Any,
        started_at: float,
        waiting: Waiting,
    ) -> None:
        """Take a request.

        Parameters
        ----------
        route : routes.Route
        services : tuple of str
            Services that each owe a part.
        message : Any
        started_at : float
        waiting : Waiting
        """
        self.route = route
        self.message = message
        self.started_at = started_at
        allowed_s = min(waiting.left_s, route.timeout_s)
        self.deadline = started_at + _less(allowed_s, DEADLINE_RESERVE_S)
        target_s = route.target_s - waiting.spent_s - waiting.sending_s
        target_s = max(0, target_s)
        self.answer_at = started_at + _less(target_s, TARGET_RESERVE_S)
        self.subrequests = [Subrequest(self, service) for service in services]
        # Parts that other hosts ask for.
        self.handovers: list[Any] = []
        self.ended = False
        self.answered = 0
        self.failed = 0
        self.needed = route.needed_parts

    @property
    def is_settled(self) -> bool:
        """Whether nothing more is waited for."""
        return self.ended or self.answered + self.failed >= len(
            self.subrequests
        )

    def is_finished(self, now: float) -> bool:
        """Whether the answer has to leave now."""
        if self.is_settled:
            return True
        if len(self.subrequests) - self.failed < self.needed:
            return True
        if self.answered >= self.needed and now >= self.answer_at:
            return True
        return now >= self.deadline

    def needs_report(self, now: float) -> bool:
        """Whether something has to be reported to the one who asked."""
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
        """Take the part of a subrequest."""
        subrequest.reply = reply
        self.answered += 1

    def give_up(self, subrequest: Subrequest, reason: str) -> None:
        """Note that a subrequest gets no part."""
        subrequest.reason = reason
        self.failed += 1

    def end(self) -> Ending:
        """End the request and say how."""
        self.ended = True
        if self.answered >= self.needed:
            return Ending.ANSWERED
        if not any(subrequest.may_run for subrequest in self.subrequests):
            return Ending.NOT_RUN
        possible = len(self.subrequests) - self.failed
        return Ending.LATE if possible >= self.needed else Ending.FAILED

    def parts(self) -> list[Reply]:
        """Return the parts that came."""
        return [
            subrequest.reply
            for subrequest in self.subrequests
            if subrequest.reply is not None
        ]


def merge(parts: list[Reply], limit: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    A remainder that is shorter than a record is none.
    """
    records = [
        part.body[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, _whole_bytes(part.body), RECORD_BYTES)
    ]
    return b''.join(heapq.nlargest(limit, records))


def _whole_bytes(body: bytes) -> int:
    return len(body) - len(body) % RECORD_BYTES


def _less(span_s: float, reserve_s: float) -> float:
    """Return a span without its reserve, which is a quarter at most."""
    return span_s - min(reserve_s, span_s * MAX_RESERVE_SHARE)
