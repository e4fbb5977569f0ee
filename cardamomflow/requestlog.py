"""Log lines about requests without a complete answer in time.

Limits the rate of these lines. Every request that may run only once gets a
line. Lines of repeatable requests above the rate limit are omitted and counted
by ending.
"""

import collections
from collections.abc import Callable
from typing import Any

import logbook

from cardamomflow import errors, events, requeststate, tokens
from cardamomflow.accounts import table

# A line costs about 50 us and 500 bytes; a host answers about 20 requests/s.
LINES_PER_S = 20.0
BURST_LINES = 100.0
SUMMARY_INTERVAL_S = 10.0
# A query may use hundreds of services, at about 150 bytes each in the line.
MAX_LISTED_SERVICES = 12
# The slowest services are always listed, even if each answered at once.
MIN_LISTED_SERVICES = 3
ANSWERED = 'answered'
_MS_PER_S = 1000


class RequestLog:
    """Writes the log lines about requests of one process."""

    def __init__(
        self, journal: logbook.Logger, clock: Callable[[], float]
    ) -> None:
        self._journal = journal
        self._clock = clock
        self._line_budget = tokens.TokenBucket(BURST_LINES, BURST_LINES)
        self._refilled_at = clock()
        self._counts: collections.Counter[str] = collections.Counter()
        self._omitted: collections.Counter[str] = collections.Counter()

    def log_end(
        self,
        work: requeststate.Work,
        ending: requeststate.Ending,
        request_id: str,
        asked_by: str | None = None,
        **fields: Any,
    ) -> None:
        """Log the end of a request without a complete answer in time.

        A request that is not repeatable is always logged.

        Parameters
        ----------
        work : requeststate.Work
        ending : requeststate.Ending
        request_id : str
        asked_by : str or None
            Host that requested parts; None when a caller sent the request.
        **fields
            State of the host that affected the request, with its age.
        """
        now = self._clock()
        ending_name = _ending_name(work, ending, now)
        count_key = ending_name if asked_by is None else f'parts_{ending_name}'
        if ending_name == ANSWERED and work.route.repeatable:
            self._counts[count_key] += 1
            return
        if not self._may_log(count_key, repeatable=work.route.repeatable):
            return
        if asked_by is not None:
            fields['asked_by'] = asked_by
        self._journal.info(
            events.Event.REQUEST_ENDED,
            request_id=request_id,
            route=work.route.name,
            rank=work.rank.label,
            repeatable=work.route.repeatable,
            ending=ending_name,
            took_ms=_to_ms(now - work.started_at),
            target_ms=_to_ms(work.route.target_s),
            allowed_ms=_to_ms(work.deadline - work.started_at),
            parts=work.answered_count,
            needed=work.needed,
            asked=len(work.subrequests),
            **describe_account(work.account),
            **_describe_subrequests(work, now),
            **fields,
        )

    def log_refusal(
        self,
        request_id: str,
        error: errors.FlowError,
        *,
        repeatable: bool = True,
        **fields: Any,
    ) -> None:
        """Log a request that ended with an error code."""
        if self._may_log(error.code, repeatable=repeatable):
            self._journal.info(
                events.Event.REQUEST_REFUSED,
                request_id=request_id,
                ending='refused',
                code=error.code,
                message=error.message,
                **fields,
            )

    def log_response(
        self, request_id: str, ending: str, *, repeatable: bool, **fields: Any
    ) -> None:
        """Log a partial or failed response.

        For processes that do not call backend servers themselves.

        Parameters
        ----------
        request_id : str
        ending : str
            Name from a small set; requests are counted by it.
        repeatable : bool
        **fields
            Data that determined the response, with its age.
        """
        if self._may_log(ending, repeatable=repeatable):
            self._journal.info(
                events.Event.REQUEST_ENDED,
                request_id=request_id,
                ending=ending,
                repeatable=repeatable,
                **fields,
            )

    def log_summary(self) -> None:
        """Log the number of requests and of omitted lines by ending."""
        if self._counts:
            self._journal.info(
                events.Event.REQUESTS_SUMMARISED,
                ended=dict(self._counts),
                left_out=dict(self._omitted),
            )
        self._counts.clear()
        self._omitted.clear()

    def _may_log(self, count_key: str, *, repeatable: bool) -> bool:
        """Count a request and return whether it gets a line."""
        self._counts[count_key] += 1
        if not repeatable or self._take_token(self._clock()):
            return True
        self._omitted[count_key] += 1
        return False

    def _take_token(self, now: float) -> bool:
        self._line_budget.earn((now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        return self._line_budget.withdraw()


def describe_account(account: table.Account | None) -> dict[str, str]:
    """Return the field of a line that names the client account."""
    return {} if account is None else {'account': account.name}


def _ending_name(
    work: requeststate.Work, ending: requeststate.Ending, now: float
) -> str:
    if ending is not requeststate.Ending.ANSWERED:
        return ending.name.lower()
    if work.answered_count < len(work.subrequests):
        return 'partial'
    if now - work.started_at > work.route.target_s:
        return 'answered_late'
    return ANSWERED


def _describe_subrequests(
    work: requeststate.Work, now: float
) -> dict[str, Any]:
    """Return the listed services: first those without part, then the slowest.

    Services that answered the first attempt are listed only among the slowest.
    """
    subrequests = sorted(
        work.subrequests,
        key=lambda subrequest: _sort_key(subrequest, now),
        reverse=True,
    )
    listed = [
        subrequest
        for position, subrequest in enumerate(subrequests[:MAX_LISTED_SERVICES])
        if position < MIN_LISTED_SERVICES
        or subrequest.reply is None
        or len(subrequest.attempts) > 1
    ]
    return {
        'services': [
            _describe_subrequest(subrequest, now) for subrequest in listed
        ],
        'services_left_out': len(subrequests) - len(listed),
    }


def _sort_key(
    subrequest: requeststate.Subrequest, now: float
) -> tuple[bool, float]:
    """Return whether the part is missing, and the elapsed time."""
    return subrequest.reply is None, _elapsed_s(subrequest, now)


def _elapsed_s(subrequest: requeststate.Subrequest, now: float) -> float:
    """Return the time from the request to the last end of an attempt."""
    end_times = [_ended_at(attempt, now) for attempt in subrequest.attempts]
    return max(end_times, default=now) - subrequest.work.started_at


def _ended_at(attempt: requeststate.Attempt, now: float) -> float:
    """Return the end time of an attempt, `now` while it is open."""
    if attempt.ended_at is None:
        return now
    return attempt.ended_at


def _describe_subrequest(
    subrequest: requeststate.Subrequest, now: float
) -> dict[str, Any]:
    """Return the result of a service and each attempt to call it."""
    return {
        'service': subrequest.service,
        'result': _result_of(subrequest),
        'attempts': [
            {
                'backend_id': attempt.backend_id,
                'zone': attempt.availability_zone,
                'at_ms': _to_ms(
                    attempt.started_at - subrequest.work.started_at
                ),
                'took_ms': _to_ms(_ended_at(attempt, now) - attempt.started_at),
                'sent': attempt.sent,
                'outcome': _outcome_of(attempt),
            }
            for attempt in subrequest.attempts
        ],
    }


def _outcome_of(attempt: requeststate.Attempt) -> str:
    return 'open' if attempt.outcome is None else attempt.outcome.name.lower()


def _result_of(subrequest: requeststate.Subrequest) -> str:
    if subrequest.reply is not None:
        return ANSWERED
    reason = 'waits' if subrequest.is_queued else 'no_answer'
    return subrequest.failure_reason or reason


def _to_ms(duration_s: float) -> float:
    return round(duration_s * _MS_PER_S, 1)
