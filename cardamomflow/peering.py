"""Handing parts of queries to other hosts, and asking for those of others.

Owns the links to the other hosts of the zone and who waits on them. Whom to
ask is decided by `delegation`, what is asked and told by `delegatedparts`.
"""

import abc
from collections.abc import Container, Iterable
from typing import Any

import curio

from cardamomflow import (
    aggregatorlinks,
    context,
    delegatedparts,
    delegation,
    errors,
    events,
    linkkeepalive,
    ownership,
    requeststate,
    routing,
)
from cardamomflow.generated import wire_pb2

# Time for which a host whose entry vanished stays an owner; an outage of the
# platform with its catching up is shorter.
MEMBER_HOLD_S = 30.0
_View = tuple[set[ownership.Member], frozenset[str], frozenset[str]]
_CLOSE_POLL_S = 0.02


class Tier(abc.ABC):
    """The host that peering works for."""

    @abc.abstractmethod
    async def take_back(
        self,
        handover: delegation.Handover,
        *,
        was_sent: bool,
    ) -> None:
        """Ask for the open parts of a handover itself."""

    @abc.abstractmethod
    async def wake(self, work: requeststate.Work) -> None:
        """Look at a request whose parts came."""


class Report(abc.ABC):
    """Takes the parts that another host waits for."""

    @abc.abstractmethod
    async def send(self, *, is_last: bool) -> None:
        """Send what was not reported yet."""


class _Waiter(aggregatorlinks.Waiter):
    """Waits for the answers to one handover."""

    def __init__(self, asker: 'Asker', handover: delegation.Handover) -> None:
        self._asker = asker
        self._handover = handover

    async def answered(self, answer: wire_pb2.PartsAnswer) -> None:
        """Take parts."""
        await self._asker.answered(self._handover, answer)

    async def refused(self, refusal: wire_pb2.Refusal) -> None:
        """Take a refusal; the other host did not start."""
        await self._asker.given_up(self._handover, was_sent=False)

    async def lost(self, attempt_id: int) -> None:
        """Note that the link ended."""
        await self._asker.given_up(self._handover, was_sent=True)


class _Linked(Container[str]):
    """The hosts that can be asked without a dial."""

    def __init__(self, peers: aggregatorlinks.AggregatorLinks) -> None:
        self._peers = peers
        self._usable = peers.usable()

    def __contains__(self, host_id: object) -> bool:
        link = self._peers.link_to(str(host_id))
        return link is not None and host_id in self._usable


class Asker:
    """Asks other hosts for parts."""

    def __init__(self, process_context: context.Context, tier: Tier) -> None:
        """Start without other hosts."""
        self.owners = ownership.Ownership(
            ownership.own_member(process_context.settings)
        )
        self.links = aggregatorlinks.AggregatorLinks(process_context, _ignore)
        self.is_on = 'peers' in process_context.settings
        self._tier = tier
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._journal = process_context.journal
        self._delegation = delegation.Delegation(self.owners)
        # What the owners were chosen from.
        self._view: _View = (set(), frozenset(), frozenset())
        self._listed_until: dict[ownership.Member, float] = {}

    async def apply(
        self,
        members: Iterable[ownership.Member],
        homes: frozenset[str],
        distant: frozenset[str],
    ) -> bool:
        """Take the hosts that are listed; tell whether owners changed.

        Entries of hosts that live lapse while the platform is away, so one
        that vanished stays an owner for a while. Nothing is handed to it when
        its link has ended.

        Parameters
        ----------
        members : iterable of ownership.Member
        homes : frozenset of str
            Zones with backend servers whose parts are handed over.
        distant : frozenset of str
            Services that have none in the own zone.
        """
        if not self.is_on:
            return False
        now = self._clock()
        for member in members:
            self._listed_until[member] = now + MEMBER_HOLD_S
        known = {
            member
            for member, until in self._listed_until.items()
            if until > now
        }
        view = (known, homes, distant)
        if view == self._view:
            return False
        self._view = view
        self._listed_until = {
            member: self._listed_until[member] for member in known
        }
        self.owners.apply(known, homes, distant)
        # Without shared services no host needs a link.
        groups = self.owners.peers if homes else []
        await self.links.apply(
            [
                routing.Aggregator(member.host_id, member.address, member.port)
                for member in group
            ]
            for group in groups
        )
        return True

    @property
    def group(self) -> tuple[ownership.Member, ...]:
        """The linked hosts of the own zone, this one among them, if any."""
        _, homes, _ = self._view
        group = self.owners.groups[0] if homes else ()
        return group if self.owners.own in group else ()

    def reachable(self) -> Container[str]:
        """Return the other hosts that can be told something now."""
        return _Linked(self.links)

    def start(
        self, work: requeststate.Work, handed_over: Container[str]
    ) -> None:
        """Decide which parts other hosts are asked for."""
        if self.is_on:
            self._delegation.start(
                work, handed_over, self.reachable(), self._clock()
            )

    async def send(self, work: requeststate.Work) -> None:
        """Ask the other hosts."""
        now = self._clock()
        for handover in work.handovers:
            request = delegatedparts.request_of(
                work,
                handover.attempt_id,
                [subrequest.service for subrequest in handover.subrequests],
                self.owners.own.host_id,
                now,
            )
            envelope = wire_pb2.Envelope(parts_request=request)
            try:
                await self.links.send(
                    handover.host_id, envelope, _Waiter(self, handover)
                )
            except errors.FlowError:
                await self.given_up(handover, was_sent=False)
            else:
                self._metrics.increment('host.handed_over')
        if work.handovers:
            # The messages leave before this host's own calls.
            await curio.sleep(0)
            self._delegation.sent(work, self._clock())

    def next_look(self, work: requeststate.Work) -> float:
        """Return when to look for silent hosts."""
        return self._delegation.next_look(work)

    def look(self, work: requeststate.Work) -> None:
        """Find hosts that are silent."""
        for handover in self._delegation.note_silent(work, self._clock()):
            self._note(events.Event.HANDOVER_SILENT, handover)
            self._metrics.increment('host.silent_owners')

    async def end(self, work: requeststate.Work) -> None:
        """Tell the other hosts that nobody waits any more."""
        cancel = work.answered < work.needed
        for handover in work.handovers:
            if handover.open:
                await self._end(handover, cancel=cancel)

    async def answered(
        self, handover: delegation.Handover, answer: wire_pb2.PartsAnswer
    ) -> None:
        """Take parts that another host asked for."""
        self._delegation.answered(handover)
        if not delegatedparts.take_answer(handover.unsettled(), answer):
            self._metrics.increment('host.handed_over_unused')
        if answer.is_last:
            handover.open = False
            self._forget(handover)
        await self._tier.wake(handover.work)

    async def given_up(
        self, handover: delegation.Handover, *, was_sent: bool
    ) -> None:
        """Take back the parts of a host that can't be asked."""
        if not handover.open:
            return
        self._delegation.lost(handover, self._clock())
        reason = 'lost' if was_sent else 'not_reached'
        self._metrics.increment(f'host.taken_back.{reason}')
        self._note(events.Event.HANDOVER_TAKEN_BACK, handover, reason=reason)
        await self._tier.take_back(handover, was_sent=was_sent)

    def _note(
        self,
        event: events.Event,
        handover: delegation.Handover,
        **fields: Any,
    ) -> None:
        self._journal.info(
            event,
            peer=handover.host_id,
            services=len(handover.unsettled()),
            request_id=handover.work.message.request_id.decode('latin-1'),
            **fields,
        )

    async def _end(
        self, handover: delegation.Handover, *, cancel: bool
    ) -> None:
        handover.open = False
        ended = wire_pb2.PartsEnd(attempt_id=handover.attempt_id, cancel=cancel)
        self._forget(handover)
        link = self.links.link_to(handover.host_id)
        if link is not None:
            await link.post_if_open(wire_pb2.Envelope(parts_end=ended))

    def _forget(self, handover: delegation.Handover) -> None:
        link = self.links.link_to(handover.host_id)
        if link is not None:
            self.links.forget(link, handover.attempt_id)


class PartsServer(abc.ABC):
    """Asks for parts on behalf of other hosts."""

    @abc.abstractmethod
    async def wake(self, work: requeststate.Work) -> None:
        """Look at a request that nobody waits for any more."""

    @abc.abstractmethod
    async def serve_parts(
        self, work: delegatedparts.SharedWork, report: Report, asked_by: str
    ) -> None:
        """Ask for parts until the request ends, and report what comes."""


class FeedServer(abc.ABC):
    """Relays the changes at the platform to other hosts."""

    @abc.abstractmethod
    async def subscribe(
        self, link: linkkeepalive.WireLink, request: wire_pb2.FeedRequest
    ) -> None:
        """Start or end the subscription of a host."""

    @abc.abstractmethod
    def closed(self, link: linkkeepalive.WireLink) -> None:
        """Forget a host whose link ended."""


class Answerer(linkkeepalive.KeepaliveHandler):
    """Serves the requests of other hosts."""

    def __init__(
        self,
        process_context: context.Context,
        server: PartsServer,
        feed: FeedServer,
    ) -> None:
        """Start without links."""
        super().__init__()
        self.stopping = False
        self._closing = False
        self._server = server
        self._feed = feed
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._tasks_by_link: dict[
            linkkeepalive.WireLink, dict[int, _Serving]
        ] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no request is served."""
        return not any(self._tasks_by_link.values())

    async def opened(self, link: linkkeepalive.WireLink) -> None:
        """Greet a host, which waits for the first frame."""
        self._tasks_by_link[link] = {}
        await link.post(self.ping())
        if self._closing:
            await link.close()
        elif self.stopping:
            await link.post_if_open(_GOING_AWAY)

    async def announce_stop(self) -> None:
        """Let other hosts ask elsewhere from now on."""
        self.stopping = True
        for link in list(self._tasks_by_link):
            await link.post_if_open(_GOING_AWAY)

    async def wait_idle(self) -> None:
        """Wait until no request of another host is in progress."""
        while not self.is_idle:
            await curio.sleep(_CLOSE_POLL_S)

    async def stop(self) -> None:
        """Close all links, once no request is in progress.

        A link that ends starts a task, which the end of the loop forbids.
        """
        self._closing = True
        for link in list(self._tasks_by_link):
            await link.close()
        while self._tasks_by_link:
            await curio.sleep(_CLOSE_POLL_S)

    async def received(
        self, link: linkkeepalive.WireLink, message: wire_pb2.Envelope
    ) -> None:
        """Take a frame of another host."""
        match message.WhichOneof('body'):
            case 'parts_request':
                await self._start(link, message.parts_request)
            case 'parts_end':
                await self._stop(link, message.parts_end)
            case 'feed_request':
                await self._feed.subscribe(link, message.feed_request)
            case 'ping':
                await self.take_ping(link, message.ping)
            case 'pong':
                self.take_pong(link, message.pong)

    async def closed(self, link: linkkeepalive.WireLink) -> None:
        """Stop what a host asked for that is gone."""
        self._feed.closed(link)
        for serving in self._tasks_by_link.pop(link, {}).values():
            serving.work.abandon(cancel=True)

    async def _start(
        self, link: linkkeepalive.WireLink, request: wire_pb2.PartsRequest
    ) -> None:
        work = delegatedparts.work_of(request, self._clock())
        serving = _Serving(link, work, request.attempt_id)
        servings = self._tasks_by_link[link]
        servings[request.attempt_id] = serving
        self._metrics.increment('host.taken_over')
        await curio.spawn(
            self._serve, serving, servings, request.asked_by, daemon=True
        )

    async def _serve(
        self,
        serving: '_Serving',
        servings: dict[int, '_Serving'],
        asked_by: str,
    ) -> None:
        try:
            await self._server.serve_parts(serving.work, serving, asked_by)
        finally:
            servings.pop(serving.attempt_id, None)

    async def _stop(
        self, link: linkkeepalive.WireLink, ended: wire_pb2.PartsEnd
    ) -> None:
        serving = self._tasks_by_link[link].get(ended.attempt_id)
        if serving is not None:
            serving.work.abandon(cancel=ended.cancel)
            await self._server.wake(serving.work)


class _Serving(Report):
    """One request of another host."""

    def __init__(
        self,
        link: linkkeepalive.WireLink,
        work: delegatedparts.SharedWork,
        attempt_id: int,
    ) -> None:
        self.work = work
        self.attempt_id = attempt_id
        self._link = link

    async def send(self, *, is_last: bool) -> None:
        """Send what was not reported yet."""
        if self.work.is_abandoned:
            return
        answer = self.work.take_unreported(self.attempt_id, is_last=is_last)
        await self._link.post_if_open(wire_pb2.Envelope(parts_answer=answer))


_GOING_AWAY = wire_pb2.Envelope(going_away=wire_pb2.GoingAway())


def _ignore(_: object) -> None:
    """Take holdings, which hosts do not send."""
