"""Baseline: first in first out, fixed timeouts, blind retry."""

import collections
import random as random_module
from collections.abc import Iterable

from cardamomflow import directory, limits, requeststate
from lab import hosts

# Attempts at one backend server at a time, as a small fixed pool has it.
POOL = 2


class PlainDecisions(hosts.Decisions):
    """Takes any replica at random and repeats at once after a failure."""

    def __init__(
        self, listed: directory.Directory, random: random_module.Random
    ) -> None:
        """Take the backend servers to choose from."""
        self._directory = listed
        self._random = random
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._waiting: collections.deque[requeststate.Subrequest] = (
            collections.deque()
        )
        self._sends: list[requeststate.Attempt] = []

    def start(self, work: requeststate.Work, now: float) -> None:
        """Ask one backend server of each service."""
        for subrequest in work.subrequests:
            self._place(subrequest, now)

    def tick(self, work: requeststate.Work, now: float) -> float:
        """Look again when the answer may leave, or at the deadline."""
        return work.answer_at if now < work.answer_at else work.deadline

    def on_reply(
        self,
        attempt: requeststate.Attempt,
        reply: requeststate.Reply,
        now: float,
    ) -> None:
        """Take an answer; a failure is repeated at once."""
        self._settle(attempt, reply.outcome, now)
        subrequest = attempt.subrequest
        subrequest.may_have_run |= not reply.not_run
        if reply.succeeded and not subrequest.is_settled:
            subrequest.work.accept(subrequest, reply)
        elif not reply.succeeded:
            self._repeat(subrequest, now)
        self._pump(now)

    def on_failure(
        self,
        attempt: requeststate.Attempt,
        outcome: limits.CallOutcome,
        now: float,
    ) -> None:
        """Repeat at once."""
        self._settle(attempt, outcome, now)
        subrequest = attempt.subrequest
        subrequest.may_have_run |= (
            outcome is not limits.CallOutcome.REFUSED_CONNECTION
        )
        self._repeat(subrequest, now)
        self._pump(now)

    def on_cancellation(
        self, attempt: requeststate.Attempt, now: float
    ) -> None:
        """Free the place."""
        self._settle(attempt, limits.CallOutcome.CANCELLED, now)
        self._pump(now)

    def on_directory_changes(
        self, changes: Iterable[directory.Change], now: float
    ) -> None:
        """Use what is listed."""
        self._pump(now)

    def pop_attempts(self) -> list[requeststate.Attempt]:
        """Return the attempts to send since the last call."""
        sends, self._sends = self._sends, []
        return sends

    def _place(self, subrequest: requeststate.Subrequest, now: float) -> None:
        listed = self._directory.usable(subrequest.service)
        if not listed:
            subrequest.work.mark_failed(subrequest, 'no_backend_server')
            return
        backend_id = self._random.choice(listed)
        if self._in_flight[backend_id] >= POOL:
            subrequest.is_queued = True
            self._waiting.append(subrequest)
            return
        zone = self._directory.backends_by_id[backend_id].availability_zone
        self._in_flight[backend_id] += 1
        self._sends.append(subrequest.add_attempt(backend_id, zone, now))

    def _repeat(self, subrequest: requeststate.Subrequest, now: float) -> None:
        if subrequest.is_settled:
            return
        repeatable = subrequest.work.route.repeatable or not subrequest.may_run
        if (
            repeatable
            and len(subrequest.attempts) < subrequest.work.route.attempts
        ):
            self._place(subrequest, now)
        else:
            subrequest.work.mark_failed(subrequest, 'failed')

    def _settle(
        self,
        attempt: requeststate.Attempt,
        outcome: limits.CallOutcome,
        now: float,
    ) -> None:
        attempt.end(outcome, now)
        self._in_flight[attempt.backend_id] -= 1

    def _pump(self, now: float) -> None:
        """Place the subrequests that waited longest, once each."""
        waiting, self._waiting = self._waiting, collections.deque()
        for subrequest in waiting:
            subrequest.is_queued = False
            if not subrequest.is_settled:
                self._place(subrequest, now)
