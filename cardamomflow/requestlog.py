"""Log lines about requests that did not end whole and in time.

Owns the bound on their number. Requests that may run only once always get
their line; of the others some are left out in a flood and counted by ending.
"""

import collections
from collections.abc import Callable
from typing import Any

import logbook

from cardamomflow import errors, events, requeststate, tokens

# A line costs about 50 us and 500 bytes; a host answers about 20 requests/s.
LINES_PER_S = 20.0
BURST_LINES = 100.0
SUMMARY_INTERVAL_S = 10.0
# Services in one line; a query may ask hundreds, at about 150 bytes each.
DESCRIBED_SERVICES = 12
# Services that answered at once are named only if no others were slower.
SLOWEST_SERVICES = 3
ANSWERED = 'answered'
_MS = 1000


class RequestLog:
    """Lines of one host."""

    def __init__(
        self, journal: logbook.Logger, clock: Callable[[], float]
    ) -> None:
        """Take where lines go."""
        self._journal = journal
        self._clock = clock
        self._lines = tokens.TokenBucket(BURST_LINES, BURST_LINES)
        self._filled_at = clock()
        self._counts: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()

    def ended(
        self,
        work: requeststate.Work,
        ending: requeststate.Ending,
        request_id: str,
        asked_by: str | None = None,
        **knowledge: Any,
    ) -> None:
        """Log the end of a request, unless it was whole and in time.

        Parameters
        ----------
        work : gathering.Work
        ending : gathering.Ending
        request_id : str
        asked_by : str or None
            The host that asked for parts; None when a caller asked.
        **knowledge
            What the host knew, with its age.
        """
        now = self._clock()
        name = _name_of(work, ending, now)
        counted = name if asked_by is None else f'parts_{name}'
        if name == ANSWERED and work.route.repeatable:
            self._counts[counted] += 1
            return
        if not self._may_log(counted, repeatable=work.route.repeatable):
            return
        if asked_by is not None:
            knowledge['asked_by'] = asked_by
        self._journal.info(
            events.Event.REQUEST_ENDED,
            request_id=request_id,
            route=work.route.name,
            rank=work.route.rank.label,
            repeatable=work.route.repeatable,
            ending=name,
            took_ms=_ms(now - work.started_at),
            target_ms=_ms(work.route.target_s),
            allowed_ms=_ms(work.deadline - work.started_at),
            parts=work.answered_count,
            needed=work.needed,
            asked=len(work.subrequests),
            **_describe_subrequests(work, now),
            **knowledge,
        )

    def refused(
        self,
        request_id: str,
        error: errors.FlowError,
        *,
        repeatable: bool = True,
        **knowledge: Any,
    ) -> None:
        """Log a request that ended with an error code."""
        if self._may_log(error.code, repeatable=repeatable):
            self._journal.info(
                events.Event.REQUEST_REFUSED,
                request_id=request_id,
                ending='refused',
                code=error.code,
                message=error.message,
                **knowledge,
            )

    def answered_elsewhere(
        self, request_id: str, ending: str, *, repeatable: bool, **fields: Any
    ) -> None:
        """Log what a caller was told by a process that sends nothing itself.

        Parameters
        ----------
        request_id : str
        ending : str
            One of few names; the sums are kept by it.
        repeatable : bool
        **fields
            What decided, with its age.
        """
        if self._may_log(ending, repeatable=repeatable):
            self._journal.info(
                events.Event.REQUEST_ENDED,
                request_id=request_id,
                ending=ending,
                repeatable=repeatable,
                **fields,
            )

    def summarise(self) -> None:
        """Log how many requests ended how, and the lines left out."""
        if self._counts:
            self._journal.info(
                events.Event.REQUESTS_SUMMARISED,
                ended=dict(self._counts),
                left_out=dict(self._left_out),
            )
        self._counts.clear()
        self._left_out.clear()

    def _may_log(self, name: str, *, repeatable: bool) -> bool:
        """Count a request; tell whether it gets a line."""
        self._counts[name] += 1
        if not repeatable or self._take_token(self._clock()):
            return True
        self._left_out[name] += 1
        return False

    def _take_token(self, now: float) -> bool:
        self._lines.earn((now - self._filled_at) * LINES_PER_S)
        self._filled_at = now
        return self._lines.withdraw()


def _name_of(
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
    """Return the services that say most: without part, then the slowest."""
    subrequests = sorted(
        work.subrequests,
        key=lambda subrequest: _weight(subrequest, now),
        reverse=True,
    )
    shown = [
        subrequest
        for place, subrequest in enumerate(subrequests[:DESCRIBED_SERVICES])
        if place < SLOWEST_SERVICES
        or subrequest.reply is None
        or len(subrequest.attempts) > 1
    ]
    return {
        'services': [_describe(subrequest, now) for subrequest in shown],
        'services_left_out': len(subrequests) - len(shown),
    }


def _weight(
    subrequest: requeststate.Subrequest, now: float
) -> tuple[bool, float]:
    """Return what orders services: no part first, then the time."""
    return subrequest.reply is None, _last_s(subrequest, now)


def _last_s(subrequest: requeststate.Subrequest, now: float) -> float:
    """Return the time from the request to the last end of an attempt."""
    ends = [_end_of(attempt, now) for attempt in subrequest.attempts]
    return max(ends, default=now) - subrequest.work.started_at


def _end_of(attempt: requeststate.Attempt, now: float) -> float:
    """Return when an attempt ended; one that is open ends now."""
    if attempt.ended_at is None:
        return now
    return attempt.ended_at


def _describe(
    subrequest: requeststate.Subrequest, now: float
) -> dict[str, Any]:
    """Return what a service gave, and each attempt at it."""
    return {
        'service': subrequest.service,
        'result': _result_of(subrequest),
        'attempts': [
            {
                'backend_id': attempt.backend_id,
                'zone': attempt.availability_zone,
                'at_ms': _ms(attempt.started_at - subrequest.work.started_at),
                'took_ms': _ms(_end_of(attempt, now) - attempt.started_at),
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
    waiting = 'waits' if subrequest.is_queued else 'no_answer'
    return subrequest.failure_reason or waiting


def _ms(span_s: float) -> float:
    return round(span_s * _MS, 1)
