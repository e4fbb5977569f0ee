"""Requests in progress at one host, and what happens to them.

Owns which requests are in progress and when each is looked at again. What is
sent is decided by `dispatching` and `delegation`.
"""

import curio

from cardamomflow import (
    context,
    delegatedparts,
    delegation,
    directory,
    dispatching,
    limits,
    peering,
    requeststate,
)
from cardamomflow.platform import backendlink


class Runs(backendlink.AttemptListener, peering.HandoverListener):
    """Requests of callers, and requests of other hosts for parts."""

    def __init__(
        self, process_context: context.Context, listed: directory.Directory
    ) -> None:
        """Start without requests."""
        self.dispatcher = dispatching.Dispatcher(
            listed,
            process_context.settings['host']['availability_zone'],
            process_context.random,
        )
        self.transport = backendlink.Transport(
            listed.backends_by_id, self, process_context.clock
        )
        self.asker = peering.PeerClient(process_context, self)
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._changed_by_work: dict[requeststate.Work, curio.Event] = {}

    @property
    def count(self) -> int:
        """The number of requests in progress."""
        return len(self._changed_by_work)

    async def run(self, work: requeststate.Work) -> requeststate.Ending:
        """Answer a request of a caller and say how it ended."""
        changed = curio.Event()
        self._changed_by_work[work] = changed
        try:
            await self._answer(work, changed)
        finally:
            self._changed_by_work.pop(work)
            ending = work.end()
            # A task of its own: the answer leaves before the messages that
            # end the work of other hosts.
            await curio.spawn(self._end_elsewhere, work, daemon=True)
        return ending

    async def run_parts(
        self, work: delegatedparts.DelegatedWork, report: peering.PartsReporter
    ) -> requeststate.Ending:
        """Ask for parts on behalf of another host."""
        changed = curio.Event()
        self._changed_by_work[work] = changed
        try:
            self.dispatcher.start(work, self._clock())
            await self.send()
            while not work.is_finished(self._clock()):
                await self._wait(work, changed)
                if not work.is_finished(self._clock()):
                    await report.send(is_last=False)
        finally:
            self._changed_by_work.pop(work)
            ending = work.end()
            await report.send(is_last=True)
            if work.should_cancel:
                await self._cancel(work)
        return ending

    async def take_back(
        self, handover: delegation.Handover, *, was_sent: bool
    ) -> None:
        """Ask for the open parts of a handover itself."""
        self.dispatcher.reclaim(
            handover.unsettled_subrequests(), self._clock(), was_sent=was_sent
        )
        await self.wake(handover.work)

    async def on_attempt_answered(
        self, attempt: requeststate.Attempt, reply: requeststate.Reply
    ) -> None:
        """Take a whole answer."""
        self.dispatcher.on_reply(attempt, reply, self._clock())
        await self.wake(attempt.subrequest.work)

    async def on_attempt_failed(
        self, attempt: requeststate.Attempt, outcome: limits.CallOutcome
    ) -> None:
        """Take the end of an attempt without a whole answer."""
        if outcome is limits.CallOutcome.CANCELLED:
            self.dispatcher.on_cancellation(attempt, self._clock())
        else:
            self.dispatcher.on_failure(attempt, outcome, self._clock())
        self._metrics.increment(f'host.attempts.{outcome.name.lower()}')
        await self.wake(attempt.subrequest.work)

    async def wake(self, work: requeststate.Work) -> None:
        """Send what was decided, and look at a request that changed."""
        await self.send()
        changed = self._changed_by_work.get(work)
        if changed is not None and work.needs_report(self._clock()):
            await changed.set()

    async def send(self) -> None:
        """Send the attempts that were decided."""
        for attempt in self.dispatcher.pop_attempts():
            is_first = attempt.backend_id == attempt.subrequest.attempted_ids[0]
            kind = 'first' if is_first else 'further'
            self._metrics.increment(f'host.sent.{kind}')
            await self.transport.send(attempt)

    async def _answer(
        self, work: requeststate.Work, changed: curio.Event
    ) -> None:
        self.asker.plan_handovers(work, self.dispatcher.handed_over_services)
        self.dispatcher.start(work, self._clock())
        if not work.is_finished(self._clock()):
            await self.asker.send(work)
        await self.send()
        while not work.is_finished(self._clock()):
            self.asker.check_silent_hosts(work)
            await self._wait(work, changed)

    async def _wait(
        self, work: requeststate.Work, changed: curio.Event
    ) -> None:
        """Wait until a request has to be looked at again."""
        next_at = self.dispatcher.tick(work, self._clock())
        await self.send()
        next_at = min(next_at, self.asker.next_check_at(work))
        async with curio.ignore_after(max(0, next_at - self._clock())):
            await changed.wait()
        changed.clear()

    async def _end_elsewhere(self, work: requeststate.Work) -> None:
        """Stop what other hosts and backend servers still do."""
        await self.asker.end(work)
        # Attempts of an answered request may go on: they end by themselves,
        # and closing their connections costs new ones.
        if work.answered_count < work.needed:
            await self._cancel(work)

    async def _cancel(self, work: requeststate.Work) -> None:
        for attempt in work.open_attempts():
            await self.transport.cancel(attempt)
