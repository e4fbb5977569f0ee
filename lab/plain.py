"""Baseline: first in first out, fixed timeouts, blind retry."""

import collections
import random as random_module
from collections.abc import Iterable

from cardamomflow import directory, gathering, limits
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
        self._waiting: collections.deque[gathering.Leg] = collections.deque()
        self._sends: list[gathering.Attempt] = []

    def start(self, work: gathering.Work, now: float) -> None:
        """Ask one backend server of each service."""
        for leg in work.legs:
            self._place(leg, now)

    def tick(self, work: gathering.Work, now: float) -> float:
        """Look again when the answer may leave, or at the deadline."""
        return work.answer_at if now < work.answer_at else work.deadline

    def answered(
        self, attempt: gathering.Attempt, reply: gathering.Reply, now: float
    ) -> None:
        """Take an answer; a failure is repeated at once."""
        self._settle(attempt, reply.outcome, now)
        leg = attempt.leg
        leg.may_have_run |= not reply.not_run
        if reply.succeeded and not leg.is_settled:
            leg.work.accept(leg, reply)
        elif not reply.succeeded:
            self._repeat(leg, now)
        self._pump(now)

    def failed(
        self,
        attempt: gathering.Attempt,
        outcome: limits.CallOutcome,
        now: float,
    ) -> None:
        """Repeat at once."""
        self._settle(attempt, outcome, now)
        leg = attempt.leg
        leg.may_have_run |= outcome is not limits.CallOutcome.REFUSED_CONNECTION
        self._repeat(leg, now)
        self._pump(now)

    def cancelled(self, attempt: gathering.Attempt, now: float) -> None:
        """Free the place."""
        self._settle(attempt, limits.CallOutcome.CANCELLED, now)
        self._pump(now)

    def changed(self, changes: Iterable[directory.Change], now: float) -> None:
        """Use what is listed."""
        self._pump(now)

    def take_sends(self) -> list[gathering.Attempt]:
        """Return the attempts to send since the last call."""
        sends, self._sends = self._sends, []
        return sends

    def _place(self, leg: gathering.Leg, now: float) -> None:
        listed = self._directory.usable(leg.service)
        if not listed:
            leg.work.give_up(leg, 'no_backend_server')
            return
        backend_id = self._random.choice(listed)
        if self._in_flight[backend_id] >= POOL:
            leg.waiting = True
            self._waiting.append(leg)
            return
        zone = self._directory.backends_by_id[backend_id].availability_zone
        self._in_flight[backend_id] += 1
        self._sends.append(leg.ask(backend_id, zone, now))

    def _repeat(self, leg: gathering.Leg, now: float) -> None:
        if leg.is_settled:
            return
        repeatable = leg.work.route.repeatable or not leg.may_run
        if repeatable and len(leg.attempts) < leg.work.route.attempts:
            self._place(leg, now)
        else:
            leg.work.give_up(leg, 'failed')

    def _settle(
        self,
        attempt: gathering.Attempt,
        outcome: limits.CallOutcome,
        now: float,
    ) -> None:
        attempt.end(outcome, now)
        self._in_flight[attempt.backend_id] -= 1

    def _pump(self, now: float) -> None:
        """Place the legs that waited longest, once each."""
        waiting, self._waiting = self._waiting, collections.deque()
        for leg in waiting:
            leg.waiting = False
            if not leg.is_settled:
                self._place(leg, now)
