"""Parts of a query that one host requests on behalf of another; sans-I/O.

Tracks which parts were already reported, and converts between requests and the
messages of `wire.proto`. The records of all parts in one answer are merged,
which saves most of the bytes.
"""

from collections.abc import Container, Iterable

from cardamomflow import (
    delegation,
    directory,
    errors,
    requeststate,
    routes,
    rules,
    scatter,
)
from cardamomflow.accounts import table
from cardamomflow.generated import wire_pb2
from cardamomflow.platform import backendlink, requestheaders

# Part of the target that is reserved for the network between two hosts of a
# zone.
HOP_RESERVE_S = 0.004
_US_PER_S = 1_000_000
_OK = 200


class DelegatedWork(requeststate.Work):
    """A query of which this host requests some parts for another host.

    It ends when every part is settled, or at the deadline: the other host
    decides when it has enough parts.
    """

    is_delegated = True

    def __init__(
        self,
        route: routes.Route,
        message: backendlink.Message,
        started_at: float,
        budget_s: float,
        account: table.Account | None = None,
        granted_attempts: int = 0,
    ) -> None:
        """Start the query.

        Parameters
        ----------
        route : routes.Route
            Its shards are the services to request parts from.
        message : backendlink.Message
        started_at : float
        budget_s : float
            Time in seconds until the other host stops waiting.
        account : table.Account, optional
        granted_attempts : int
            Attempts for each part that may be made without asking; 0 for all
            that the route allows.
        """
        super().__init__(
            route,
            route.shards,
            message,
            started_at,
            requeststate.TimeBudget(budget_s),
            account,
        )
        self.deadline = started_at + min(budget_s, route.timeout_s)
        self.answer_at = started_at + route.target_s
        self.is_abandoned = False
        self.should_cancel = False
        self._reported: set[requeststate.Subrequest] = set()
        self._has_reported = False
        if granted_attempts:
            for subrequest in self.subrequests:
                subrequest.attempt_limit = granted_attempts

    @property
    def rank(self) -> rules.Rank:
        """Rank that the other host determined."""
        return self.route.rank

    def abandon(self, *, cancel: bool) -> None:
        """Record that the other host no longer waits.

        Parameters
        ----------
        cancel : bool
            Whether to cancel attempts in progress.
        """
        self.is_abandoned = True
        self.should_cancel = cancel

    def is_finished(self, now: float) -> bool:
        """Whether every part is settled, or no host waits for the others."""
        return self.is_abandoned or self.is_settled or now >= self.deadline

    def needs_report(self, now: float) -> bool:
        """Whether the other host needs a report now.

        Parts are collected until a second attempt is needed, when the first
        report is due. From then on every settled part is reported at once.
        """
        if self.grant_requests or self.is_finished(now):
            return True
        if self._has_reported:
            return self.answered_count + self.failed_count > len(self._reported)
        return any(
            len(subrequest.attempts) > 1 for subrequest in self.subrequests
        )

    def apply_grant(self, services: Container[str]) -> None:
        """Apply a grant of one further attempt for each of some parts.

        Parameters
        ----------
        services : container of str
            Those that need no attempt any more are ignored.
        """
        granted = [
            subrequest
            for subrequest in self.open_subrequests()
            if subrequest.service in services
            and subrequest.grant_reason is not None
        ]
        for subrequest in granted:
            subrequest.attempt_limit += 1
        self.granted = [*self.granted, *granted]

    def take_unreported(
        self, attempt_id: int, *, is_last: bool
    ) -> wire_pb2.PartsAnswer:
        """Return the parts not reported yet, and those that failed.

        Also returns for which parts an attempt has to be granted.
        """
        self._has_reported = True
        grant_requests, self.grant_requests = self.grant_requests, []
        unreported = [
            subrequest
            for subrequest in self.subrequests
            if subrequest not in self._reported
        ]
        replies_by_subrequest = {
            subrequest: subrequest.reply
            for subrequest in unreported
            if subrequest.reply is not None
        }
        missing = [
            subrequest
            for subrequest in unreported
            if subrequest.reply is None
            and (is_last or subrequest.failure_reason is not None)
        ]
        self._reported.update(replies_by_subrequest, missing)
        return wire_pb2.PartsAnswer(
            attempt_id=attempt_id,
            parts=[
                wire_pb2.Part(service=subrequest.service, stamp=reply.stamp)
                for subrequest, reply in replies_by_subrequest.items()
            ],
            records=requeststate.merge(
                list(replies_by_subrequest.values()), self.route.limit
            ),
            missing=[
                wire_pb2.MissingPart(
                    service=subrequest.service,
                    reason=subrequest.failure_reason or 'no_answer',
                    may_have_run=subrequest.may_run,
                )
                for subrequest in missing
            ],
            is_last=is_last,
            leaving=[
                wire_pb2.LeavingBackend(
                    backend_id=reply.leaving.backend_id,
                    incarnation=reply.leaving.incarnation,
                )
                for reply in replies_by_subrequest.values()
                if reply.leaving is not None
            ],
            needs_attempt=[
                subrequest.service
                for subrequest in grant_requests
                if not subrequest.is_settled
            ],
        )


def build_request(
    work: requeststate.Work,
    attempt_id: int,
    services: Iterable[str],
    asked_by: str,
    now: float,
) -> wire_pb2.PartsRequest:
    """Return the message that requests parts from another host."""
    message: backendlink.Message = work.message
    target_s = work.answer_at - now - HOP_RESERVE_S
    return wire_pb2.PartsRequest(
        attempt_id=attempt_id,
        request=wire_pb2.CallerRequest(
            id=message.request_id,
            method=message.method,
            target=message.target,
            headers=[
                wire_pb2.Header(name=name, content=content)
                for name, content in message.headers
            ],
            body=message.body,
        ),
        services=services,
        route=work.route.name,
        rank=scatter.rank_number(work.rank),
        attempts=work.route.attempts,
        target_us=_to_us(target_s),
        budget_us=_to_us(work.deadline - now),
        limit=work.route.limit,
        asked_by=asked_by,
        account=work.account.name if work.account else '',
        granted_attempts=delegation.GRANTED_ATTEMPTS,
    )


def build_work(request: wire_pb2.PartsRequest, now: float) -> DelegatedWork:
    """Return the query that a message describes.

    Raises
    ------
    errors.ProtocolViolation
        The message names no services, a service twice, or no rank.
    """
    services = tuple(request.services)
    if not services or len(set(services)) != len(services):
        raise errors.ProtocolViolation(
            'request for parts names no service, or a service twice'
        )
    budget_s = request.budget_us / _US_PER_S
    caller_request = request.request
    return DelegatedWork(
        routes.Route(
            name=request.route,
            host='',
            prefix='',
            shards=services,
            shares=(),
            repeatable=True,
            attempts=request.attempts,
            timeout_s=budget_s,
            target_s=request.target_us / _US_PER_S,
            rank=_rank_of(request),
            limit=request.limit,
            minimum_share=0,
        ),
        backendlink.Message(
            caller_request.method,
            caller_request.target,
            requestheaders.set_account(
                [
                    (header.name, header.content)
                    for header in caller_request.headers
                ],
                request.account or None,
            ),
            caller_request.body,
            caller_request.id,
        ),
        now,
        budget_s,
        table.Account(request.account) if request.account else None,
        request.granted_attempts,
    )


def leaving_notices(
    answer: wire_pb2.PartsAnswer,
) -> list[directory.LeavingNotice]:
    """Return the backend servers that announced their stop in some parts."""
    return [
        directory.LeavingNotice(leaving.backend_id, leaving.incarnation)
        for leaving in answer.leaving
    ]


def apply_answer(
    subrequests: Iterable[requeststate.Subrequest], answer: wire_pb2.PartsAnswer
) -> bool:
    """Settle the subrequests that an answer names.

    The records of an answer are merged from all of its parts. If one of these
    was received from another host in the meantime, none can be used.

    Parameters
    ----------
    subrequests : iterable of requeststate.Subrequest
        Open subrequests that were handed over to the host.
    answer : wire_pb2.PartsAnswer

    Returns
    -------
    bool
        False when the answer was not used.
    """
    open_by_service = {
        subrequest.service: subrequest for subrequest in subrequests
    }
    if any(part.service not in open_by_service for part in answer.parts):
        return False
    records = answer.records
    for part in answer.parts:
        subrequest = open_by_service.pop(part.service)
        subrequest.work.accept(subrequest, _create_reply(part.stamp, records))
        records = b''
    for missing in answer.missing:
        failed_subrequest = open_by_service.get(missing.service)
        if failed_subrequest is not None:
            failed_subrequest.may_have_run = missing.may_have_run
            failed_subrequest.work.mark_failed(
                failed_subrequest, missing.reason
            )
    return True


def _rank_of(request: wire_pb2.PartsRequest) -> rules.Rank:
    try:
        return rules.Rank(request.rank)
    except ValueError as error:
        raise errors.ProtocolViolation(
            f'request for parts has unknown rank {request.rank}'
        ) from error


def _create_reply(stamp: str, records: bytes) -> requeststate.Reply:
    return requeststate.Reply(
        status=_OK,
        headers=[],
        body=records,
        stamp=stamp,
        not_run=False,
        misdirected=False,
        load=None,
    )


def _to_us(span_s: float) -> int:
    return max(0, int(span_s * _US_PER_S))
