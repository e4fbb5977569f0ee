"""Links of an entry process to the aggregators.

Owns the links, the tasks that maintain them, and the answer handlers of the
outstanding attempts. An answer is delivered only if it arrives over the link on
which its attempt was sent. Permanent links go to one zone, usually the own one;
aggregators of other zones are dialed when a request needs them.
"""

import abc
from collections.abc import Awaitable, Callable, Container, Iterable, Sequence
from typing import Any

import curio

from cardamomflow import context, dialing, errors, linkkeepalive, links, routing
from cardamomflow.generated import wire_pb2

# An aggregator sends its holdings as soon as it accepts a link. The operating
# system also accepts connections for a stopped process, which sends nothing.
FIRST_FRAME_TIMEOUT_S = 1.0
# Share of its remaining time for which a request waits for one dial. The
# deadline must leave time for several candidates; a round trip within a region
# takes a few milliseconds.
DIAL_SHARE = 0.2
# A dead aggregator stays in the ranking for 60 s. If links to its substitute
# closed earlier, requests would dial it again and again. Idle pings cost
# little in that time.
IDLE_TIMEOUT_S = 60.0
_DRAIN_POLL_S = 0.05
_IDLE_CHECK_INTERVAL_S = 5.0

WireLink = linkkeepalive.WireLink
UpdateHandler = Callable[[str, wire_pb2.FeedUpdate], Awaitable[None]]
GrantHandler = Callable[[str, wire_pb2.TokenGrant], Awaitable[None]]


class AnswerHandler(abc.ABC):
    """Receives the answers to attempts."""

    @abc.abstractmethod
    async def on_answer(self, answer: Any) -> None:
        """Handle an answer."""

    @abc.abstractmethod
    async def on_refusal(self, refusal: wire_pb2.Refusal) -> None:
        """Handle a refusal; no work was started."""

    @abc.abstractmethod
    async def on_link_lost(self, attempt_id: int) -> None:
        """Handle the end of the link before the answer."""


class _Dial:
    """A dial in progress, shared by all requests that wait for it."""

    def __init__(self) -> None:
        self.done = curio.Event()
        self.link: WireLink | None = None
        # Whether a request timed out waiting; then no other request waits.
        self.timed_out = False


class _Peer:
    """State of one aggregator and of the link to it."""

    def __init__(
        self, aggregator: routing.Aggregator, process_context: context.Context
    ) -> None:
        self.aggregator = aggregator
        self.backoff = dialing.Backoff(process_context.random)
        self.link: WireLink | None = None
        self.dial: _Dial | None = None
        self.is_leaving = False
        self.is_permanent = False
        self.used_at = process_context.clock()

    def on_connected(self, link: WireLink, now: float) -> None:
        """Set the link after the aggregator has sent its first frame."""
        self.link = link
        self.dial = None
        self.is_leaving = False
        self.used_at = now
        self.backoff.record_success()

    def on_disconnected(self, now: float) -> None:
        """Record the end of the link or a failed dial."""
        self.link = None
        self.dial = None
        self.is_leaving = False
        self.backoff.record_failure(now)

    def is_usable(self, now: float) -> bool:
        """Return whether a request may be sent or may wait for a dial."""
        if self.is_leaving:
            return False
        if self.link is not None:
            return self.link.is_responsive(now)
        if self.is_permanent and self.backoff.failing:
            # `run` dials it in the background; requests do not wait for it.
            return False
        if self.dial is not None:
            return not self.dial.timed_out
        return self.backoff.allows_dial(now)

    def may_dial(self, now: float) -> bool:
        """Return whether a new dial may start."""
        if self.link is not None or self.dial is not None:
            return False
        return not self.is_leaving and self.backoff.allows_dial(now)

    def is_idle(self, now: float) -> bool:
        """Return whether a link dialed on demand has been idle too long."""
        if self.is_permanent or self.link is None:
            return False
        return now - self.used_at >= IDLE_TIMEOUT_S


class _UsableAggregators(Container[str]):
    """The usable aggregators; evaluates each id only on lookup.

    A query looks up a few ids, while there may be thousands of aggregators.
    """

    def __init__(self, peers_by_id: dict[str, _Peer], now: float) -> None:
        self._peers_by_id = peers_by_id
        self._now = now

    def __contains__(self, aggregator_id: object) -> bool:
        peer = self._peers_by_id.get(str(aggregator_id))
        return peer is not None and peer.is_usable(self._now)


class AggregatorLinks(linkkeepalive.KeepaliveHandler):
    """Permanent links to one zone, and links to other zones on demand."""

    def __init__(
        self, process_context: context.Context, on_holdings: Any
    ) -> None:
        """Start without links; `on_holdings` gets each holdings update."""
        super().__init__()
        self._context = process_context
        self._clock = process_context.clock
        self._on_holdings = on_holdings
        # Called with the id of the relay and its update of the change feed.
        self.on_update: UpdateHandler = _ignore_update
        # Called with the id of a host and its answer to a token request.
        self.on_grant: GrantHandler = _ignore_grant
        self._peers_by_id: dict[str, _Peer] = {}
        self._peers_by_link: dict[WireLink, _Peer] = {}
        # Aggregator ids of each zone, in failover order.
        self._zones: list[list[str]] = []
        self._wake = curio.Event()
        self._stopping = False
        # Handlers by attempt id, for each link.
        self._handlers_by_link: dict[WireLink, dict[int, AnswerHandler]] = {}

    @property
    def connected(self) -> list[str]:
        """Ids of the aggregators that have sent a frame over an open link."""
        return sorted(
            aggregator_id
            for aggregator_id, peer in self._peers_by_id.items()
            if peer.link is not None
        )

    async def apply(
        self,
        zones: Iterable[Sequence[routing.Aggregator]],
        on_demand: Iterable[routing.Aggregator] = (),
    ) -> None:
        """Update the eligible aggregators; `run` opens and closes links.

        Parameters
        ----------
        zones : iterable of sequence of routing.Aggregator
            The own zone, then its replacements in failover order. Zones get
            permanent links until one of them is complete.
        on_demand : iterable of routing.Aggregator
            Aggregators that are dialed only when a request needs them.
        """
        if self._stopping:
            return
        zones = [list(zone) for zone in zones if zone]
        aggregators_by_id = {
            aggregator.aggregator_id: aggregator
            for aggregators in (*zones, on_demand)
            for aggregator in aggregators
        }
        for aggregator_id, peer in list(self._peers_by_id.items()):
            if aggregators_by_id.get(aggregator_id) != peer.aggregator:
                del self._peers_by_id[aggregator_id]
                await curio.spawn(self._close_unlisted, peer, daemon=True)
        for new_id in aggregators_by_id.keys() - self._peers_by_id.keys():
            self._peers_by_id[new_id] = _Peer(
                aggregators_by_id[new_id], self._context
            )
        self._zones = [
            [eligible.aggregator_id for eligible in zone] for zone in zones
        ]
        await self._wake.set()

    async def run(self) -> None:
        """Maintain permanent links and close idle ones until cancelled."""
        while True:
            delay_s = await self._maintain()
            async with curio.ignore_after(delay_s):
                await self._wake.wait()
            self._wake.clear()

    async def stop(self) -> None:
        """Close all links and open no more; call when no request is open.

        Waits for the links to end: their tasks spawn others, which fails once
        the event loop has ended.
        """
        self._stopping = True
        self._peers_by_id = {}
        self._zones = []
        async with curio.ignore_after(2 * links.CLOSE_TIMEOUT_S):
            for link in list(self._peers_by_link):
                await curio.spawn(link.close, daemon=True)
            while self._peers_by_link:
                await curio.sleep(_DRAIN_POLL_S)

    def usable(self) -> Container[str]:
        """Return the aggregators that can get a request or be dialed now."""
        return _UsableAggregators(self._peers_by_id, self._clock())

    def link_to(self, aggregator_id: str) -> WireLink | None:
        """Return the link to an aggregator, or None if it must be dialed."""
        peer = self._peers_by_id.get(aggregator_id)
        return None if peer is None else peer.link

    async def dial(self, aggregator_id: str, timeout_s: float) -> None:
        """Dial an aggregator unless it has a link.

        A dial that outlasts the timeout continues for later requests. Requests
        for the same aggregator share one dial.

        Parameters
        ----------
        aggregator_id : str
        timeout_s : float
            Seconds for which this request waits at most.

        Raises
        ------
        errors.ConnectFailed
            No link within the timeout; nothing was sent.
        """
        peer = self._peers_by_id.get(aggregator_id)
        if peer is None:
            raise errors.ConnectFailed(f'{aggregator_id} is not listed')
        if peer.may_dial(self._clock()):
            self._context.metrics.increment('link.demand_dials')
            await self._start_dial(peer)
        if peer.dial is not None:
            await self._wait_for_dial(peer.dial, timeout_s)
        if peer.link is None:
            self._context.metrics.increment('link.demand_failed')
            raise errors.ConnectFailed(f'no link to {aggregator_id}')

    async def send(
        self,
        aggregator_id: str,
        envelope: wire_pb2.Envelope,
        handler: AnswerHandler,
    ) -> tuple[WireLink, int]:
        """Send a message and register the handler of its answer.

        Returns
        -------
        tuple of links.Link and int
            The link and the position for `links.Link.was_written`.

        Raises
        ------
        errors.ConnectFailed
            Nothing was sent.
        """
        link = self._use_link(aggregator_id)
        message = getattr(envelope, envelope.WhichOneof('body'))
        self._handlers_by_link[link][message.attempt_id] = handler
        try:
            position = await link.post(envelope)
        except errors.FlowError:
            self.remove_handler(link, message.attempt_id)
            raise
        await link.monitor_peer()
        return link, position

    async def post(
        self, aggregator_id: str, envelope: wire_pb2.Envelope
    ) -> None:
        """Send a message without a handler for its answer.

        Raises
        ------
        errors.ConnectFailed
            Nothing was sent.
        """
        await self._use_link(aggregator_id).post(envelope)

    def _use_link(self, aggregator_id: str) -> WireLink:
        """Return the open link to a peer, and record its use."""
        link = self.link_to(aggregator_id)
        if link is None:
            raise errors.ConnectFailed(f'no link to {aggregator_id}')
        self._peers_by_id[aggregator_id].used_at = self._clock()
        return link

    def remove_handler(self, link: WireLink, attempt_id: int) -> None:
        """Unregister the handler of an attempt; its answer is ignored."""
        self._handlers_by_link.get(link, {}).pop(attempt_id, None)

    def has_outstanding_work(self, link: WireLink) -> bool:
        """Return whether answers over a link are outstanding."""
        return bool(self._handlers_by_link.get(link))

    async def on_message(
        self, link: WireLink, message: wire_pb2.Envelope
    ) -> None:
        """Handle a message from an aggregator."""
        peer = self._peers_by_link[link]
        if peer.dial is not None and peer.dial.link is link:
            dial_done = peer.dial.done
            peer.on_connected(link, self._clock())
            await dial_done.set()
        kind = message.WhichOneof('body')
        match kind:
            case (
                'query_answer' | 'operation_answer' | 'parts_answer' | 'refusal'
            ):
                await self._deliver(link, getattr(message, kind))
            case 'holdings':
                self._on_holdings(message.holdings)
            case 'feed_update':
                await self.on_update(
                    peer.aggregator.aggregator_id, message.feed_update
                )
            case 'token_grant':
                await self.on_grant(
                    peer.aggregator.aggregator_id, message.token_grant
                )
            case 'ping':
                await self.on_ping(link, message.ping)
            case 'pong':
                self.on_pong(link, message.pong)
            case 'going_away' if peer.link is link:
                peer.is_leaving = True

    async def on_closed(self, link: WireLink) -> None:
        """Fail the outstanding attempts on a closed link."""
        peer = self._peers_by_link.pop(link)
        if peer.link is link:
            peer.on_disconnected(self._clock())
            await self._wake.set()
        elif peer.dial is not None and peer.dial.link is link:
            await peer.dial.done.set()
        self._context.metrics.increment('link.closed')
        handlers = self._handlers_by_link.pop(link)
        for attempt_id, handler in handlers.items():
            await handler.on_link_lost(attempt_id)

    async def _deliver(self, link: WireLink, answer: Any) -> None:
        handler = self._handlers_by_link[link].get(answer.attempt_id)
        if handler is None:
            self._context.metrics.increment('link.answers_ignored')
        elif isinstance(answer, wire_pb2.Refusal):
            await handler.on_refusal(answer)
        else:
            await handler.on_answer(answer)

    # Permanent and idle links.

    async def _maintain(self) -> float:
        """Dial missing permanent links and close idle ones.

        Returns
        -------
        float
            Seconds until the next call.
        """
        now = self._clock()
        self._choose_permanent(now)
        needs_dial = False
        for peer in list(self._peers_by_id.values()):
            if peer.is_idle(now):
                self._context.metrics.increment('link.idle_closed')
                await curio.spawn(self._drain_and_close, peer, daemon=True)
            elif peer.is_permanent and peer.may_dial(now):
                await self._start_dial(peer)
            needs_dial |= peer.is_permanent and peer.link is None
        return dialing.RETRY_S if needs_dial else _IDLE_CHECK_INTERVAL_S

    def _choose_permanent(self, now: float) -> None:
        """Select zones for permanent links until one of them is complete."""
        needs_zone = True
        permanent_ids: set[str] = set()
        for zone in self._zones:
            if needs_zone:
                permanent_ids.update(zone)
                backoffs = [
                    self._peers_by_id[listed_id].backoff for listed_id in zone
                ]
                needs_zone = not dialing.has_enough_links(backoffs, now)
        for aggregator_id, peer in self._peers_by_id.items():
            peer.is_permanent = aggregator_id in permanent_ids
            if peer.is_permanent:
                # The idle time of a link starts when it is no longer permanent.
                peer.used_at = now

    async def _close_unlisted(self, peer: _Peer) -> None:
        """Close the link to an aggregator that is no longer listed."""
        peer.is_leaving = True
        if peer.dial is not None:
            await peer.dial.done.wait()
        await self._drain_and_close(peer)

    async def _drain_and_close(self, peer: _Peer) -> None:
        """Send nothing new, wait for outstanding answers, then close."""
        link, peer.link = peer.link, None
        if link is None:
            return
        while link.is_open and self.has_outstanding_work(link):
            await curio.sleep(_DRAIN_POLL_S)
        await link.close()

    # Dials.

    async def _start_dial(self, peer: _Peer) -> None:
        peer.dial = _Dial()
        await curio.spawn(self._dial, peer, peer.dial, daemon=True)

    async def _wait_for_dial(self, dial: _Dial, timeout_s: float) -> None:
        async with curio.ignore_after(max(timeout_s, 0)):
            await dial.done.wait()
        dial.timed_out = not dial.done.is_set()

    async def _dial(self, peer: _Peer, dial: _Dial) -> None:
        """Connect and wait for the first frame."""
        _, address, port = peer.aggregator
        try:
            link = await links.connect(address, port, wire_pb2.Envelope, self)
        except errors.ConnectFailed:
            await self._on_dial_failed(peer, dial)
            return
        dial.link = link
        self._peers_by_link[link] = peer
        self._handlers_by_link[link] = {}
        await curio.spawn(link.run, daemon=True)
        async with curio.ignore_after(FIRST_FRAME_TIMEOUT_S):
            await dial.done.wait()
        if peer.dial is dial:
            await self._on_dial_failed(peer, dial)
            await link.close()

    async def _on_dial_failed(self, peer: _Peer, dial: _Dial) -> None:
        self._context.metrics.increment('link.connect_failed')
        peer.on_disconnected(self._clock())
        await dial.done.set()


async def _ignore_update(host_id: str, update: wire_pb2.FeedUpdate) -> None:
    """Ignore an update, as nothing is subscribed to the feed."""
    del host_id, update


async def _ignore_grant(host_id: str, grant: wire_pb2.TokenGrant) -> None:
    """Ignore a grant, as nothing was requested."""
    del host_id, grant
