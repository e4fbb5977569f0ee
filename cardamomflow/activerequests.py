"""Requests in progress at one host: runs each one from its start to its end.

Owns the requests in progress and the time of their next check. `dispatching`
and `delegation` decide what is sent.
"""

from collections.abc import Iterable

import curio

from cardamomflow import (
    backendnotices,
    context,
    delegatedparts,
    delegation,
    directory,
    dispatching,
    events,
    limits,
    peering,
    requeststate,
)
from cardamomflow.coldstarts import bound, reporting
from cardamomflow.heldbytes import guard
from cardamomflow.platform import backendlink
from cardamomflow.zonespill import overflowpolicy, traffic

_MS = 1000
_EVENTS_BY_KIND = {
    backendnotices.NoticeKind.LEAVING: events.Event.BACKEND_LEAVING,
    backendnotices.NoticeKind.PAUSED: events.Event.BACKEND_PAUSED,
    backendnotices.NoticeKind.RESUMED: events.Event.BACKEND_RESUMED,
    backendnotices.NoticeKind.INVALID: events.Event.HEADER_IGNORED,
}


class ActiveRequests(backendlink.AttemptListener, peering.HandoverListener):
    """Requests of callers, and requests for parts of other hosts."""

    def __init__(
        self,
        process_context: context.Context,
        backend_directory: directory.Directory,
    ) -> None:
        self.dispatcher = dispatching.Dispatcher(
            backend_directory,
            process_context.settings['host']['availability_zone'],
            process_context.random,
            overflowpolicy.create(
                process_context.settings, process_context.random
            ),
            bound.ColdServers(
                backend_directory,
                bound.Reserve(**process_context.settings.get('warmup', {})),
            ),
        )
        self._cold_report = reporting.ColdReport(
            process_context, self.dispatcher.cold_servers
        )
        self._zone_traffic = traffic.ZoneTraffic(
            process_context, self.dispatcher.zone_policy
        )
        self.transport = backendlink.Transport(
            backend_directory.backends_by_id,
            self,
            process_context.clock,
            self.dispatcher.occupancy.keeps_idle_connections,
            process_context.body_budget,
        )
        self.peer_client = peering.PeerClient(process_context, self)
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._journal = process_context.journal
        self._changed_by_work: dict[requeststate.Work, curio.Event] = {}
        self._is_checking_queues = False

    @property
    def count(self) -> int:
        """The number of requests in progress."""
        return len(self._changed_by_work)

    async def run(self, work: requeststate.Work) -> requeststate.Ending:
        """Run a request of a caller and return how it ended."""
        changed = curio.Event()
        self._changed_by_work[work] = changed
        counter = work.message.part_counter
        if counter is not None:
            counter.was_sent = False
        # Also if the caller leaves, which cancels this task.
        cancel_at_once = True
        try:
            await self._run_until_finished(work, changed)
            cancel_at_once = work.answered_count < work.needed
        except guard.RequestEvicted:
            work.is_evicted = True
        except curio.CancelledError:
            work.drop_bodies()
            raise
        finally:
            self._changed_by_work.pop(work)
            ending = work.end()
            # In a separate task, so that the answer is sent before the
            # messages that end the work of other hosts.
            await curio.spawn(
                self._end_remote_work, work, cancel_at_once, daemon=True
            )
        return ending

    async def run_parts(
        self, work: delegatedparts.DelegatedWork, report: peering.PartsReporter
    ) -> requeststate.Ending:
        """Fetch parts on behalf of another host."""
        changed = curio.Event()
        self._changed_by_work[work] = changed
        try:
            if not work.is_finished(self._clock()):
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
            await self._end_attempts(work, at_once=work.should_cancel)
        return ending

    async def limit_deadlines(self, latest: float) -> None:
        """End all requests in progress by a time, in monotonic seconds."""
        for work, changed in list(self._changed_by_work.items()):
            work.deadline = min(work.deadline, latest)
            # Their tasks wait until the former deadline otherwise.
            await changed.set()

    async def take_back(
        self, handover: delegation.Handover, *, was_sent: bool
    ) -> None:
        """Send the outstanding parts of a handover from this host instead."""
        self.dispatcher.reclaim(
            handover.unsettled_subrequests(), self._clock(), was_sent=was_sent
        )
        await self.wake(handover.work)

    async def on_attempt_answered(
        self, attempt: requeststate.Attempt, reply: requeststate.Reply
    ) -> None:
        """Handle a complete answer."""
        self.dispatcher.on_reply(attempt, reply, self._clock())
        self._zone_traffic.record_answer(attempt, reply)
        await self._report_notices()
        await self.wake(attempt.subrequest.work)

    async def on_attempt_failed(
        self, attempt: requeststate.Attempt, outcome: limits.CallOutcome
    ) -> None:
        """Handle an attempt that ended without a complete answer."""
        if outcome is limits.CallOutcome.CANCELLED:
            self.dispatcher.on_cancellation(attempt, self._clock())
        else:
            self.dispatcher.on_failure(attempt, outcome, self._clock())
        self._metrics.increment(f'host.attempts.{outcome.name.lower()}')
        await self.wake(attempt.subrequest.work)

    async def on_leaving_backends(
        self, notices: Iterable[directory.LeavingNotice], reported_by: str
    ) -> None:
        """Handle backend servers that announced their stop to another host."""
        for notice in notices:
            self.dispatcher.notices.record_leaving(notice)
        await self._report_notices(reported_by=reported_by)

    async def wake(self, work: requeststate.Work) -> None:
        """Send the decided attempts and wake the task of a changed request."""
        if work.granted:
            granted, work.granted = work.granted, ()
            self.dispatcher.on_grant(granted, self._clock())
        await self.send()
        changed = self._changed_by_work.get(work)
        if changed is not None and work.needs_report(self._clock()):
            await changed.set()

    async def send(self) -> None:
        """Send the attempts that were decided, and end refused requests."""
        self._zone_traffic.report_changes()
        self._cold_report.report_changes(self._clock())
        for work in self.dispatcher.queues.pop_refused():
            changed = self._changed_by_work.get(work)
            if changed is not None:
                await changed.set()
        for attempt in self.dispatcher.pop_attempts():
            is_first = attempt.backend_id == attempt.subrequest.attempted_ids[0]
            kind = 'first' if is_first else 'further'
            self._metrics.increment(f'host.sent.{kind}')
            self._zone_traffic.record_attempt(attempt)
            await self.transport.send(attempt)
        if self.dispatcher.held_back_services and not self._is_checking_queues:
            self._is_checking_queues = True
            await curio.spawn(self._send_held_back, daemon=True)

    async def _send_held_back(self) -> None:
        """Send work that waits for cold backend servers, until none does.

        One task for all requests: with a check by each of them, all would wake
        when one of them can be sent.
        """
        try:
            while self.dispatcher.held_back_services:
                next_at = self.dispatcher.send_held_back(self._clock())
                await self.send()
                await curio.sleep(max(0, next_at - self._clock()))
        finally:
            self._is_checking_queues = False

    async def _report_notices(self, **fields: str) -> None:
        """Log the notices of backend servers, and close unused connections."""
        for event in self.dispatcher.notices.pop_events():
            self._metrics.increment(f'host.notices.{event.kind.name.lower()}')
            self._journal.info(
                _EVENTS_BY_KIND[event.kind],
                backend_id=event.backend_id,
                pause_ms=round(event.pause_s * _MS),
                headers=event.headers,
                **fields,
            )
            if event.kind is backendnotices.NoticeKind.LEAVING:
                await self.transport.close_idle(event.backend_id)

    async def _run_until_finished(
        self, work: requeststate.Work, changed: curio.Event
    ) -> None:
        self.peer_client.plan_handovers(
            work, self.dispatcher.handed_over_services
        )
        self.dispatcher.start(work, self._clock())
        if not work.is_finished(self._clock()):
            await self.peer_client.send(work)
        await self.send()
        while not work.is_finished(self._clock()):
            self.peer_client.check_silent_hosts(work)
            await self._wait(work, changed)

    async def _wait(
        self, work: requeststate.Work, changed: curio.Event
    ) -> None:
        """Wait until a request changes or its next check is due."""
        next_at = self.dispatcher.tick(work, self._clock())
        await self.send()
        if work.needs_report(self._clock()):
            return
        next_at = min(next_at, self.peer_client.next_check_at(work))
        async with curio.ignore_after(max(0, next_at - self._clock())):
            await changed.wait()
        changed.clear()

    async def _end_remote_work(
        self, work: requeststate.Work, cancel_at_once: bool
    ) -> None:
        """End the work of other hosts and backend servers for a request."""
        await self.peer_client.end(work, cancel=cancel_at_once)
        await self._end_attempts(work, at_once=cancel_at_once)

    async def _end_attempts(
        self, work: requeststate.Work, *, at_once: bool
    ) -> None:
        """Cancel the open attempts of an ended request.

        Those of an answered request get a grace period, since a cancellation
        closes the connection. They must not go on up to the deadline: the
        caller may leave just after its answer.
        """
        for attempt in work.open_attempts():
            if at_once:
                await self.transport.cancel(attempt)
            else:
                self.transport.cancel_after_grace(attempt)
