"""Log lines about requests that did not end whole and in time.

Owns the bound on their number. Requests that may run only once always get
their line; of the others some are left out in a flood and counted by ending.
"""

import collections
from collections.abc import Callable
from typing import Any

import logbook

from cardamomflow import errors, gathering, tokens

EVENT = 'request ended'
REFUSED_EVENT = 'request refused'
SUMMARY_EVENT = 'requests summarised'
# A line costs about 50 us and 500 bytes; a host answers about 20 requests/s.
LINES_PER_S = 20.0
BURST_LINES = 100.0
SUMMARY_INTERVAL_S = 10.0
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
        work: gathering.Work,
        ending: gathering.Ending,
        request_id: str,
        **knowledge: Any,
    ) -> None:
        """Log the end of a request, unless it was whole and in time.

        Parameters
        ----------
        work : gathering.Work
        ending : gathering.Ending
        request_id : str
        **knowledge
            What the host knew, with its age.
        """
        now = self._clock()
        name = _name_of(work, ending, now)
        self._counts[name] += 1
        if name == 'answered' and work.route.repeatable:
            return
        if work.route.repeatable and not self._take_token(now):
            self._left_out[name] += 1
            return
        self._journal.info(
            EVENT,
            request_id=request_id,
            route=work.route.name,
            rank=work.route.rank.label,
            repeatable=work.route.repeatable,
            ending=name,
            took_ms=_ms(now - work.started_at),
            target_ms=_ms(work.route.target_s),
            allowed_ms=_ms(work.deadline - work.started_at),
            parts=work.answered,
            needed=work.needed,
            asked=len(work.legs),
            open=[_describe(leg, now) for leg in work.legs if not leg.reply],
            **knowledge,
        )

    def refused(
        self, request_id: str, error: errors.FlowError, **knowledge: Any
    ) -> None:
        """Log a request that was refused before any service was chosen."""
        self._counts[error.code] += 1
        if not self._take_token(self._clock()):
            self._left_out[error.code] += 1
            return
        self._journal.info(
            REFUSED_EVENT,
            request_id=request_id,
            ending='refused',
            code=error.code,
            message=error.message,
            **knowledge,
        )

    def summarise(self) -> None:
        """Log how many requests ended how, and the lines left out."""
        if self._counts:
            self._journal.info(
                SUMMARY_EVENT,
                ended=dict(self._counts),
                left_out=dict(self._left_out),
            )
        self._counts.clear()
        self._left_out.clear()

    def _take_token(self, now: float) -> bool:
        self._lines.earn((now - self._filled_at) * LINES_PER_S)
        self._filled_at = now
        return self._lines.withdraw()


def _name_of(work: gathering.Work, ending: gathering.Ending, now: float) -> str:
    if ending is not gathering.Ending.ANSWERED:
        return ending.name.lower()
    if work.answered < len(work.legs):
        return 'partial'
    if now - work.started_at > work.route.target_s:
        return 'answered_late'
    return 'answered'


def _describe(leg: gathering.Leg, now: float) -> dict[str, Any]:
    """Return why a service gave no part."""
    waiting = 'waits' if leg.waiting else 'no_answer'
    return {
        'service': leg.service,
        'reason': leg.reason or waiting,
        'asked': list(leg.asked),
        'unreachable': sorted(leg.avoided),
        'open': [
            {
                'backend_id': attempt.backend_id,
                'for_ms': _ms(now - attempt.started_at),
                'sent': attempt.sent,
            }
            for attempt in leg.open_attempts
        ],
    }


def _ms(span_s: float) -> float:
    return round(span_s * _MS, 1)
