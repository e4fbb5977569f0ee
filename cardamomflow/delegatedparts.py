"""Parts of a query that one host asks for on behalf of another; sans-I/O.

Owns which parts were already reported. The messages are those of `wire.proto`;
the records of the parts in one answer are merged, which saves most bytes.
"""

from collections.abc import Iterable

from cardamomflow import errors, requeststate, routes, rules, scatter
from cardamomflow.generated import wire_pb2
from cardamomflow.platform import backendlink

# Kept back from the target for the way between two hosts of a zone.
HOP_RESERVE_S = 0.004
_US_PER_S = 1_000_000
_OK = 200


class SharedWork(requeststate.Work):
    """A query of which this host asks some services for another host.

    It ends when every part is settled, or at the deadline: the other host
    decides when it has enough.
    """

    def __init__(
        self,
        route: routes.Route,
        message: backendlink.Message,
        started_at: float,
        patience_s: float,
    ) -> None:
        """Take the services as the shards of the route."""
        super().__init__(
            route,
            route.shards,
            message,
            started_at,
            requeststate.Waiting(patience_s),
        )
        self.deadline = started_at + min(patience_s, route.timeout_s)
        self.answer_at = started_at + route.target_s
        self.is_abandoned = False
        self.cancels = False
        self._reported: set[requeststate.Subrequest] = set()
        self._has_reported = False

    def abandon(self, *, cancel: bool) -> None:
        """Note that the other host waits no longer.

        Parameters
        ----------
        cancel : bool
            Whether requests in progress are to be stopped.
        """
        self.is_abandoned = True
        self.cancels = cancel

    def is_finished(self, now: float) -> bool:
        """Whether every part is settled, or nobody waits any longer."""
        return self.is_abandoned or self.is_settled or now >= self.deadline

    def needs_report(self, now: float) -> bool:
        """Whether the other host needs a report now.

        The first answer leaves before a second attempt, or soon after it.
        Parts are collected until then.
        """
        if self.is_finished(now):
            return True
        if self._has_reported:
            return self.answered + self.failed > len(self._reported)
        return any(
            len(subrequest.attempts) > 1 for subrequest in self.subrequests
        )

    def take_unreported(
        self, attempt_id: int, *, is_last: bool
    ) -> wire_pb2.PartsAnswer:
        """Return the parts not reported yet, and those without hope."""
        self._has_reported = True
        fresh = [
            subrequest
            for subrequest in self.subrequests
            if subrequest not in self._reported
        ]
        replies_by_subrequest = {
            subrequest: subrequest.reply
            for subrequest in fresh
            if subrequest.reply is not None
        }
        missing = [
            subrequest
            for subrequest in fresh
            if subrequest.reply is None
            and (is_last or subrequest.reason is not None)
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
                    reason=subrequest.reason or 'no_answer',
                    may_have_run=subrequest.may_run,
                )
                for subrequest in missing
            ],
            is_last=is_last,
        )


def request_of(
    work: requeststate.Work,
    attempt_id: int,
    services: Iterable[str],
    asked_by: str,
    now: float,
) -> wire_pb2.PartsRequest:
    """Return the message that asks another host for parts."""
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
        rank=scatter.rank_number(work.route.rank),
        attempts=work.route.attempts,
        target_us=_to_us(target_s),
        budget_us=_to_us(work.deadline - now),
        limit=work.route.limit,
        asked_by=asked_by,
    )


def work_of(request: wire_pb2.PartsRequest, now: float) -> SharedWork:
    """Return the work that a message asks for.

    Raises
    ------
    errors.ProtocolViolation
        The message names no services, one of them twice, or no rank.
    """
    services = tuple(request.services)
    if not services or len(set(services)) != len(services):
        raise errors.ProtocolViolation('a host asked for no parts, or twice')
    budget_s = request.budget_us / _US_PER_S
    found = request.request
    return SharedWork(
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
            found.method,
            found.target,
            [(header.name, header.content) for header in found.headers],
            found.body,
            found.id,
        ),
        now,
        budget_s,
    )


def take_answer(
    subrequests: Iterable[requeststate.Subrequest], answer: wire_pb2.PartsAnswer
) -> bool:
    """Settle the subrequests that an answer names.

    The records of an answer belong to all of its parts. If one of them came
    from elsewhere meanwhile, none can be used.

    Parameters
    ----------
    subrequests : iterable of gathering.Subrequest
        Those that the host was asked for, and that are still open.
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
        subrequest.work.accept(subrequest, _reply(part.stamp, records))
        records = b''
    for missing in answer.missing:
        lost = open_by_service.get(missing.service)
        if lost is not None:
            lost.may_have_run = missing.may_have_run
            lost.work.give_up(lost, missing.reason)
    return True


def _rank_of(request: wire_pb2.PartsRequest) -> rules.Rank:
    try:
        return rules.Rank(request.rank)
    except ValueError as error:
        raise errors.ProtocolViolation(
            f'a host asked for parts of rank {request.rank}'
        ) from error


def _reply(stamp: str, records: bytes) -> requeststate.Reply:
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
