"""Delegates parts of queries to other hosts, and serves parts for them.

Owns the links to the other hosts of the zone and the requests that wait on
them. `delegation` chooses the hosts; `delegatedparts` builds and reads the
messages.
"""

import abc
import itertools
from collections.abc import Container, Iterable
from typing import Any

import curio

from cardamomflow import (
    aggregatorlinks,
    changefeed,
    context,
    delegatedparts,
    delegation,
    directory,
    errors,
    events,
    linkkeepalive,
    ownership,
    requeststate,
    routing,
)
from cardamomflow.generated import wire_pb2
from cardamomflow.heldbytes import budget
from cardamomflow.platform import backendlink

# Time for which a host stays an owner after its entry is missing. It is longer
# than an outage of the platform and the recovery from it.
MEMBER_RETENTION_S = 30.0
# In smaller groups, the links cost about as much as the calls that they save.
MINIMUM_FEED_HOSTS = 3
# Hosts of each zone that a host of a smaller group dials for changes while the
# platform turns it away.
DIALED_SOURCES_PER_ZONE = 2
_OwnershipInputs = tuple[
    set[ownership.Member], frozenset[str], ownership.Placement
]
_NO_PLACEMENT = ownership.Placement(0, {})
_CLOSE_POLL_S = 0.02
# Memory of a request for parts besides its message, and of each of its parts.
REQUEST_BYTES = 4096
PART_BYTES = 2048


class HandoverListener(abc.ABC):
    """Continues the requests of this host when handovers progress or fail."""

    @abc.abstractmethod
    async def take_back(
        self,
        handover: delegation.Handover,
        *,
        was_sent: bool,
    ) -> None:
        """Request the open parts of a handover without the other host."""

    @abc.abstractmethod
    async def on_leaving_backends(
        self, notices: Iterable[directory.LeavingNotice], reported_by: str
    ) -> None:
        """Handle backend servers that announced their stop to another host."""

    @abc.abstractmethod
    async def wake(self, work: requeststate.Work) -> None:
        """Continue a request after parts have arrived."""


class PartsReporter(abc.ABC):
    """Reports parts to the host that requested them."""

    @abc.abstractmethod
    async def send(self, *, is_last: bool) -> None:
        """Send the parts that were not reported yet."""


class _HandoverWaiter(aggregatorlinks.AnswerHandler):
    """Receives the answers to one handover."""

    def __init__(
        self, client: 'PeerClient', handover: delegation.Handover
    ) -> None:
        self._client = client
        self._handover = handover

    async def on_answer(self, answer: wire_pb2.PartsAnswer) -> None:
        """Handle parts."""
        await self._client.on_answer(self._handover, answer)

    async def on_refusal(self, refusal: wire_pb2.Refusal) -> None:
        """Handle a refusal; the other host has not started."""
        await self._client.take_back(self._handover, was_sent=False)

    async def on_link_lost(self, attempt_id: int) -> None:
        """Handle the end of the link."""
        await self._client.take_back(self._handover, was_sent=True)


class _ReachableHosts(Container[str]):
    """The hosts that are usable and have an open link."""

    def __init__(self, links: aggregatorlinks.AggregatorLinks) -> None:
        self._links = links
        self._usable = links.usable()

    def __contains__(self, host_id: object) -> bool:
        link = self._links.link_to(str(host_id))
        return link is not None and host_id in self._usable


class PeerClient:
    """Requests parts from other hosts."""

    def __init__(
        self, process_context: context.Context, listener: HandoverListener
    ) -> None:
        self.owners = ownership.Ownership(
            ownership.own_member(process_context.settings)
        )
        self.links = aggregatorlinks.AggregatorLinks(
            process_context, _ignore_holdings
        )
        self.is_enabled = 'peers' in process_context.settings
        self._listener = listener
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._journal = process_context.journal
        self._delegation = delegation.Delegation(self.owners)
        # The newest arguments of `Ownership.apply`.
        self._ownership_inputs: _OwnershipInputs = (
            set(),
            frozenset(),
            _NO_PLACEMENT,
        )
        self._expires_at_by_member: dict[ownership.Member, float] = {}

    async def apply(
        self,
        members: Iterable[ownership.Member],
        backend_zones: frozenset[str],
        placement: ownership.Placement,
    ) -> bool:
        """Update owners and links; return whether the owners changed.

        Entries of running hosts expire during an outage of the platform, so a
        host stays an owner for `MEMBER_RETENTION_S` after its entry is
        missing. It gets no parts when its link has closed.

        Parameters
        ----------
        members : iterable of ownership.Member
        backend_zones : frozenset of str
            Zones with backend servers of the services that are handed over.
        placement : ownership.Placement
            Where the services that are handed over have backend servers.
        """
        if not self.is_enabled:
            return False
        now = self._clock()
        for member in members:
            self._expires_at_by_member[member] = now + MEMBER_RETENTION_S
        current_members = {
            member
            for member, expires_at in self._expires_at_by_member.items()
            if expires_at > now
        }
        inputs = (current_members, backend_zones, placement)
        if inputs == self._ownership_inputs:
            return False
        self._ownership_inputs = inputs
        self._expires_at_by_member = {
            member: self._expires_at_by_member[member]
            for member in current_members
        }
        self.owners.apply(current_members, backend_zones, placement)
        await self.links.apply(
            (list(map(_to_linked, group)) for group in self._linked_groups()),
            map(_to_linked, self.dialed_sources),
        )
        return True

    @property
    def group(self) -> tuple[ownership.Member, ...]:
        """The linked hosts of the own zone with this one; empty without it."""
        return self.owners.own_group if self._linked_groups() else ()

    @property
    def dialed_sources(self) -> list[ownership.Member]:
        """Hosts to dial for changes, some of each zone, the own zone first.

        Empty where the own group is large enough to relay the feed.
        """
        if len(self.owners.own_group) >= MINIMUM_FEED_HOSTS:
            return []
        members, _, _ = self._ownership_inputs
        own = self.owners.own
        by_zone: dict[str, list[ownership.Member]] = {own.availability_zone: []}
        for member in sorted(members, key=changefeed.relay_order):
            if member.host_id != own.host_id:
                by_zone.setdefault(member.availability_zone, []).append(member)
        turns = itertools.zip_longest(*by_zone.values())
        chosen = itertools.chain.from_iterable(
            itertools.islice(turns, DIALED_SOURCES_PER_ZONE)
        )
        return [member for member in chosen if member is not None]

    def reachable(self) -> Container[str]:
        """Return the ids of the hosts that can receive messages now."""
        return _ReachableHosts(self.links)

    def plan_handovers(
        self, work: requeststate.Work, handed_over: Container[str]
    ) -> None:
        """Choose the parts to request from other hosts."""
        if self.is_enabled:
            self._delegation.start(
                work, handed_over, self.reachable(), self._clock()
            )

    async def send(self, work: requeststate.Work) -> None:
        """Send the planned handovers to the other hosts."""
        now = self._clock()
        for handover in work.handovers:
            request = delegatedparts.build_request(
                work,
                handover.attempt_id,
                [subrequest.service for subrequest in handover.subrequests],
                self.owners.own.host_id,
                now,
            )
            envelope = wire_pb2.Envelope(parts_request=request)
            try:
                await self.links.send(
                    handover.host_id, envelope, _HandoverWaiter(self, handover)
                )
            except errors.FlowError:
                await self.take_back(handover, was_sent=False)
            else:
                self._metrics.increment('host.handed_over')
        if work.handovers:
            # Sends the messages before this host's own calls.
            await curio.sleep(0)
            self._delegation.record_sent(work, self._clock())

    def next_check_at(self, work: requeststate.Work) -> float:
        """Return when to check for silent hosts."""
        return self._delegation.next_check_at(work)

    def check_silent_hosts(self, work: requeststate.Work) -> None:
        """Log and count hosts that have stopped answering."""
        for handover in self._delegation.detect_silent_hosts(
            work, self._clock()
        ):
            self._log_handover(events.Event.HANDOVER_SILENT, handover)
            self._metrics.increment('host.silent_owners')

    async def end(self, work: requeststate.Work, *, cancel: bool) -> None:
        """End the open handovers of a request that has ended.

        Parameters
        ----------
        work : requeststate.Work
        cancel : bool
            Whether the other hosts cancel their attempts at once.
        """
        for handover in work.handovers:
            if handover.is_open:
                await self._end_handover(handover, cancel=cancel)

    async def on_answer(
        self, handover: delegation.Handover, answer: wire_pb2.PartsAnswer
    ) -> None:
        """Handle parts from another host."""
        self._delegation.record_answer(handover)
        if answer.leaving:
            await self._listener.on_leaving_backends(
                delegatedparts.leaving_notices(answer), handover.host_id
            )
        if not delegatedparts.apply_answer(
            handover.unsettled_subrequests(), answer
        ):
            self._metrics.increment('host.handed_over_unused')
        if answer.is_last:
            handover.is_open = False
            self._forget_handover(handover)
        elif answer.needs_attempt and handover.is_open:
            await self._grant(handover, answer.needs_attempt)
        await self._listener.wake(handover.work)

    async def take_back(
        self, handover: delegation.Handover, *, was_sent: bool
    ) -> None:
        """Return the open parts of an unreachable host to this host."""
        if not handover.is_open:
            return
        self._delegation.record_lost(handover, self._clock())
        reason = 'lost' if was_sent else 'not_reached'
        self._metrics.increment(f'host.taken_back.{reason}')
        self._log_handover(
            events.Event.HANDOVER_TAKEN_BACK, handover, reason=reason
        )
        await self._listener.take_back(handover, was_sent=was_sent)

    def _linked_groups(self) -> list[list[ownership.Member]]:
        """Return the hosts to link to, in order of preference.

        Where no parts are handed over, only the hosts of the own group have
        links, so that one of them can watch the platform for the others.
        """
        _, backend_zones, _ = self._ownership_inputs
        if backend_zones:
            return self.owners.peers
        if len(self.owners.own_group) < MINIMUM_FEED_HOSTS:
            return []
        return self.owners.peers[:1]

    def _log_handover(
        self,
        event: events.Event,
        handover: delegation.Handover,
        **fields: Any,
    ) -> None:
        self._journal.info(
            event,
            peer=handover.host_id,
            services=len(handover.unsettled_subrequests()),
            request_id=handover.work.message.request_id.decode('latin-1'),
            **fields,
        )

    async def _grant(
        self, handover: delegation.Handover, services: Iterable[str]
    ) -> None:
        granted = handover.grant(services)
        link = self.links.link_to(handover.host_id)
        if link is not None and granted:
            self._metrics.increment('host.granted_attempts', len(granted))
            message = wire_pb2.PartsGrant(
                attempt_id=handover.attempt_id, services=granted
            )
            await link.post_if_open(wire_pb2.Envelope(parts_grant=message))

    async def _end_handover(
        self, handover: delegation.Handover, *, cancel: bool
    ) -> None:
        handover.is_open = False
        message = wire_pb2.PartsEnd(
            attempt_id=handover.attempt_id, cancel=cancel
        )
        self._forget_handover(handover)
        link = self.links.link_to(handover.host_id)
        if link is not None:
            await link.post_if_open(wire_pb2.Envelope(parts_end=message))

    def _forget_handover(self, handover: delegation.Handover) -> None:
        link = self.links.link_to(handover.host_id)
        if link is not None:
            self.links.remove_handler(link, handover.attempt_id)


class PartsServer(abc.ABC):
    """Requests parts from backend servers on behalf of other hosts."""

    @abc.abstractmethod
    async def wake(self, work: requeststate.Work) -> None:
        """Process a request that the other host ended, or granted more."""

    @abc.abstractmethod
    async def serve_parts(
        self,
        work: delegatedparts.DelegatedWork,
        report: PartsReporter,
        asked_by: str,
    ) -> None:
        """Request parts until the request ends, and report them."""


class FeedServer(abc.ABC):
    """Relays changes of the platform to other hosts."""

    @abc.abstractmethod
    async def on_feed_request(
        self, link: linkkeepalive.WireLink, request: wire_pb2.FeedRequest
    ) -> None:
        """Start, renew or end the subscription of a host."""

    @abc.abstractmethod
    def on_link_closed(self, link: linkkeepalive.WireLink) -> None:
        """Remove the subscription of a host whose link closed."""


class TokenServer(abc.ABC):
    """Lends tokens of client accounts to other hosts."""

    @abc.abstractmethod
    async def on_token_request(
        self, link: linkkeepalive.WireLink, request: wire_pb2.TokenRequest
    ) -> None:
        """Answer a request for tokens, or for the view of the zone."""


class PeerServer(linkkeepalive.KeepaliveHandler):
    """Serves the requests of other hosts."""

    def __init__(
        self,
        process_context: context.Context,
        server: PartsServer,
        feed: FeedServer,
    ) -> None:
        super().__init__()
        self.stopping = False
        self._closing = False
        self._server = server
        self._feed = feed
        # Set by the composition root; None ignores requests for tokens.
        self.token_server: TokenServer | None = None
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._requests_by_link: dict[
            linkkeepalive.WireLink, dict[int, _PeerRequest]
        ] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no request is served."""
        return not any(self._requests_by_link.values())

    async def on_opened(self, link: linkkeepalive.WireLink) -> None:
        """Send a make_ping, because the host waits for a first frame."""
        self._requests_by_link[link] = {}
        await link.post(self.make_ping())
        if self._closing:
            await link.close()
        elif self.stopping:
            await link.post_if_open(_GOING_AWAY)

    async def announce_stop(self) -> None:
        """Notify the linked hosts that this one accepts no new requests."""
        self.stopping = True
        for link in list(self._requests_by_link):
            await link.post_if_open(_GOING_AWAY)

    async def wait_idle(self) -> None:
        """Wait until no request of another host is in progress."""
        while not self.is_idle:
            await curio.sleep(_CLOSE_POLL_S)

    async def stop(self) -> None:
        """Close all links, once no request is in progress.

        A link that closes starts a task, which must not happen while the event
        loop ends.
        """
        self._closing = True
        for link in list(self._requests_by_link):
            await link.close()
        while self._requests_by_link:
            await curio.sleep(_CLOSE_POLL_S)

    async def on_message(
        self, link: linkkeepalive.WireLink, message: wire_pb2.Envelope
    ) -> None:
        """Dispatch a frame of another host."""
        match message.WhichOneof('body'):
            case 'parts_request':
                await self._start_parts(link, message.parts_request)
            case 'parts_end':
                await self._end_parts(link, message.parts_end)
            case 'parts_grant':
                await self._grant_attempts(link, message.parts_grant)
            case 'feed_request':
                await self._feed.on_feed_request(link, message.feed_request)
            case 'token_request' if self.token_server is not None:
                await self.token_server.on_token_request(
                    link, message.token_request
                )
            case 'ping':
                await self.on_ping(link, message.ping)
            case 'pong':
                self.on_pong(link, message.pong)

    async def on_closed(self, link: linkkeepalive.WireLink) -> None:
        """Abandon the requests of a host whose link has closed."""
        self._feed.on_link_closed(link)
        peer_requests = self._requests_by_link.pop(link, {})
        for peer_request in list(peer_requests.values()):
            peer_request.work.abandon(cancel=True)
            await self._server.wake(peer_request.work)

    async def _start_parts(
        self, link: linkkeepalive.WireLink, request: wire_pb2.PartsRequest
    ) -> None:
        work = delegatedparts.build_work(request, self._clock())
        # A failure after attempts were decided would leave them in flight.
        backendlink.create_request_event(work.message)
        peer_request = _PeerRequest(link, work, request.attempt_id)
        requests_by_attempt = self._requests_by_link[link]
        requests_by_attempt[request.attempt_id] = peer_request
        self._metrics.increment('host.taken_over')
        work.message = work.message._replace(part_counter=peer_request)
        peer_request.uncounted_bytes = (
            request.ByteSize()
            + REQUEST_BYTES
            + PART_BYTES * len(request.services)
        )
        await peer_request.count_parts()
        await curio.spawn(
            self._serve,
            peer_request,
            requests_by_attempt,
            request.asked_by,
            daemon=True,
        )

    async def _serve(
        self,
        peer_request: '_PeerRequest',
        requests_by_attempt: dict[int, '_PeerRequest'],
        asked_by: str,
    ) -> None:
        try:
            await self._server.serve_parts(
                peer_request.work, peer_request, asked_by
            )
        finally:
            requests_by_attempt.pop(peer_request.attempt_id, None)
            await peer_request.end()

    async def _grant_attempts(
        self, link: linkkeepalive.WireLink, message: wire_pb2.PartsGrant
    ) -> None:
        peer_request = self._requests_by_link[link].get(message.attempt_id)
        if peer_request is not None:
            peer_request.work.apply_grant(frozenset(message.services))
            await self._server.wake(peer_request.work)

    async def _end_parts(
        self, link: linkkeepalive.WireLink, message: wire_pb2.PartsEnd
    ) -> None:
        peer_request = self._requests_by_link[link].get(message.attempt_id)
        if peer_request is not None:
            peer_request.work.abandon(cancel=message.cancel)
            await self._server.wake(peer_request.work)


class _PeerRequest(PartsReporter, budget.PartCounter):
    """A request for parts of another host."""

    def __init__(
        self,
        link: linkkeepalive.WireLink,
        work: delegatedparts.DelegatedWork,
        attempt_id: int,
    ) -> None:
        self.work = work
        self.attempt_id = attempt_id
        self._link = link
        self._held_bytes = 0

    async def count_parts(self) -> None:
        """Count the uncounted bytes of the request for its link."""
        size, self.uncounted_bytes = self.uncounted_bytes, 0
        self._held_bytes += size
        await self._link.add_work(size)

    async def end(self) -> None:
        """Count nothing any more."""
        held_bytes, self._held_bytes = self._held_bytes, 0
        await self._link.add_work(-held_bytes)

    async def send(self, *, is_last: bool) -> None:
        """Send the parts that were not reported yet."""
        if self.work.is_abandoned:
            return
        answer = self.work.take_unreported(self.attempt_id, is_last=is_last)
        await self._link.post_if_open(wire_pb2.Envelope(parts_answer=answer))


_GOING_AWAY = wire_pb2.Envelope(going_away=wire_pb2.GoingAway())


def _to_linked(member: ownership.Member) -> routing.Aggregator:
    return routing.Aggregator(member.host_id, member.address, member.port)


def _ignore_holdings(_: object) -> None:
    """Ignore holdings updates, which hosts do not send."""
