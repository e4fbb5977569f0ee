"""Links of an entry process to the aggregators.

Owns the links, the tasks that keep them, and who waits for which attempt.
An answer is delivered only when it comes over the link on which its attempt
was sent. Standing links lead to one zone, usually the own one; aggregators of
other zones are dialed when a request needs them.
"""

import abc
from collections.abc import Awaitable, Callable, Container, Iterable, Sequence
from typing import Any

import curio

from cardamomflow import context, dialing, errors, linkkeepalive, links, routing
from cardamomflow.generated import wire_pb2

# An aggregator sends its holdings as soon as it accepts a link. The system
# accepts connections for a stopped process too, which then sends nothing.
FIRST_FRAME_S = 1.0
# Share of a request's remaining time that it waits for one dial. Several
# candidates have to fit into the deadline, and a round trip within a region
# takes a few milliseconds.
DIAL_SHARE = 0.2
# A dead aggregator keeps its place in the ranking for 60 s; closing earlier
# would dial its substitute again and again. Idle pings are cheap that long.
IDLE_CLOSE_S = 60.0
_LET_GO_POLL_S = 0.05
_IDLE_CHECK_S = 5.0

WireLink = linkkeepalive.WireLink
UpdateTaker = Callable[[str, wire_pb2.FeedUpdate], Awaitable[None]]


class Waiter(abc.ABC):
    """Waits for the answers of attempts."""

    @abc.abstractmethod
    async def answered(self, answer: Any) -> None:
        """Take an answer."""

    @abc.abstractmethod
    async def refused(self, refusal: wire_pb2.Refusal) -> None:
        """Take a refusal; no work was started."""

    @abc.abstractmethod
    async def lost(self, attempt_id: int) -> None:
        """Note that the link ended before the answer."""


class _Dial:
    """A dial in progress, shared by all who wait for it."""

    def __init__(self) -> None:
        self.ended = curio.Event()
        self.link: WireLink | None = None
        # Set when a request gave up waiting, so that others do not wait.
        self.slow = False


class _Peer:
    """What is known of one aggregator."""

    def __init__(
        self, aggregator: routing.Aggregator, process_context: context.Context
    ) -> None:
        self.aggregator = aggregator
        self.backoff = dialing.Backoff(process_context.random)
        self.link: WireLink | None = None
        self.dial: _Dial | None = None
        self.departing = False
        self.standing = False
        self.used_at = process_context.clock()

    def opened(self, link: WireLink, now: float) -> None:
        """Take a link over which the aggregator has sent a frame."""
        self.link = link
        self.dial = None
        self.departing = False
        self.used_at = now
        self.backoff.record_success()

    def lost(self, now: float) -> None:
        """Note the end of the link or of a dial."""
        self.link = None
        self.dial = None
        self.departing = False
        self.backoff.record_failure(now)

    def usable(self, now: float) -> bool:
        """Tell whether a request may be sent or may wait for a dial."""
        if self.departing:
            return False
        if self.link is not None:
            return self.link.is_responsive(now)
        if self.standing and self.backoff.failing:
            # Dialed in the background; no request has to probe it.
            return False
        if self.dial is not None:
            return not self.dial.slow
        return self.backoff.allows_dial(now)

    def may_dial(self, now: float) -> bool:
        """Tell whether a new dial may start."""
        if self.link is not None or self.dial is not None:
            return False
        return not self.departing and self.backoff.allows_dial(now)

    def is_idle(self, now: float) -> bool:
        """Tell whether a link dialed on demand is needed no more."""
        if self.standing or self.link is None:
            return False
        return now - self.used_at >= IDLE_CLOSE_S


class _Usable(Container[str]):
    """The aggregators that can be asked; decides when it is asked.

    A query asks for a few ids, while thousands of aggregators may be known.
    """

    def __init__(self, peers_by_id: dict[str, _Peer], now: float) -> None:
        self._peers_by_id = peers_by_id
        self._now = now

    def __contains__(self, aggregator_id: object) -> bool:
        peer = self._peers_by_id.get(str(aggregator_id))
        return peer is not None and peer.usable(self._now)


class AggregatorLinks(linkkeepalive.KeepaliveHandler):
    """Standing links to one zone, and links to others on demand."""

    def __init__(
        self, process_context: context.Context, holdings_changed: Any
    ) -> None:
        """Take what is called with each holdings update."""
        super().__init__()
        self._context = process_context
        self._clock = process_context.clock
        self._holdings_changed = holdings_changed
        # Takes updates of the change feed and the id of their relay.
        self.take_update: UpdateTaker = _ignore_update
        self._peers_by_id: dict[str, _Peer] = {}
        self._peers_by_link: dict[WireLink, _Peer] = {}
        # Ids by zone, in the order in which zones replace each other.
        self._zones: list[list[str]] = []
        self._wake = curio.Event()
        self._stopping = False
        # Of each link, the waiters by attempt.
        self._waiters_by_link: dict[WireLink, dict[int, Waiter]] = {}

    @property
    def connected(self) -> list[str]:
        """Ids of the aggregators with a link over which they sent a frame."""
        return sorted(
            aggregator_id
            for aggregator_id, peer in self._peers_by_id.items()
            if peer.link is not None
        )

    async def apply(
        self,
        zones: Iterable[Sequence[routing.Aggregator]],
        elsewhere: Iterable[routing.Aggregator] = (),
    ) -> None:
        """Take the eligible aggregators; links follow in `run`.

        Parameters
        ----------
        zones : iterable of sequence of routing.Aggregator
            The own zone, then those that replace it, in this order. Only as
            many get standing links as are needed for a whole zone.
        elsewhere : iterable of routing.Aggregator
            Aggregators that are dialed on demand only.
        """
        if self._stopping:
            return
        zones = [list(zone) for zone in zones if zone]
        known = {
            aggregator.aggregator_id: aggregator
            for aggregators in (*zones, elsewhere)
            for aggregator in aggregators
        }
        for aggregator_id, peer in list(self._peers_by_id.items()):
            if known.get(aggregator_id) != peer.aggregator:
                del self._peers_by_id[aggregator_id]
                await curio.spawn(self._let_go, peer, daemon=True)
        for new_id in known.keys() - self._peers_by_id.keys():
            self._peers_by_id[new_id] = _Peer(known[new_id], self._context)
        self._zones = [[one.aggregator_id for one in zone] for zone in zones]
        await self._wake.set()

    async def run(self) -> None:
        """Keep the standing links and close idle ones until cancelled."""
        while True:
            delay_s = await self._maintain()
            async with curio.ignore_after(delay_s):
                await self._wake.wait()
            self._wake.clear()

    async def stop(self) -> None:
        """Close all links and open none, once no request is in progress.

        A link that ends starts a task, which the end of the loop forbids.
        """
        self._stopping = True
        self._peers_by_id = {}
        self._zones = []
        async with curio.ignore_after(2 * links.CLOSE_TIMEOUT_S):
            for link in list(self._peers_by_link):
                await curio.spawn(link.close, daemon=True)
            while self._peers_by_link:
                await curio.sleep(_LET_GO_POLL_S)

    def usable(self) -> Container[str]:
        """Return the aggregators that can be asked or dialed now."""
        return _Usable(self._peers_by_id, self._clock())

    def link_to(self, aggregator_id: str) -> WireLink | None:
        """Return the link of an aggregator, None if it needs a dial."""
        peer = self._peers_by_id.get(aggregator_id)
        return None if peer is None else peer.link

    async def dial(self, aggregator_id: str, limit_s: float) -> None:
        """Make sure that there is a link.

        A dial that takes longer goes on for later requests. Requests that
        wait for the same aggregator share one dial.

        Parameters
        ----------
        aggregator_id : str
        limit_s : float
            Seconds that this request waits at most.

        Raises
        ------
        errors.ConnectFailed
            Nothing was sent.
        """
        peer = self._peers_by_id.get(aggregator_id)
        if peer is None:
            raise errors.ConnectFailed(f'{aggregator_id} is not listed')
        if peer.may_dial(self._clock()):
            self._context.metrics.increment('link.demand_dials')
            await self._start_dial(peer)
        if peer.dial is not None:
            await self._wait_for(peer.dial, limit_s)
        if peer.link is None:
            self._context.metrics.increment('link.demand_failed')
            raise errors.ConnectFailed(f'no link to {aggregator_id}')

    async def send(
        self, aggregator_id: str, envelope: wire_pb2.Envelope, waiter: Waiter
    ) -> tuple[WireLink, int]:
        """Post a message and register who waits for its answer.

        Returns
        -------
        tuple of links.Link and int
            The link and the position for `links.Link.was_written`.

        Raises
        ------
        errors.ConnectFailed
            Nothing was sent.
        """
        link = self.link_to(aggregator_id)
        if link is None:
            raise errors.ConnectFailed(f'no link to {aggregator_id}')
        self._peers_by_id[aggregator_id].used_at = self._clock()
        message = getattr(envelope, envelope.WhichOneof('body'))
        self._waiters_by_link[link][message.attempt_id] = waiter
        try:
            position = await link.post(envelope)
        except errors.FlowError:
            self.forget(link, message.attempt_id)
            raise
        await link.monitor_peer()
        return link, position

    def forget(self, link: WireLink, attempt_id: int) -> None:
        """Stop waiting for an answer."""
        self._waiters_by_link.get(link, {}).pop(attempt_id, None)

    def has_outstanding_work(self, link: WireLink) -> bool:
        """Tell whether a request waits for an answer over a link."""
        return bool(self._waiters_by_link.get(link))

    async def on_message(
        self, link: WireLink, message: wire_pb2.Envelope
    ) -> None:
        """Handle a frame of an aggregator."""
        peer = self._peers_by_link[link]
        if peer.dial is not None and peer.dial.link is link:
            ended = peer.dial.ended
            peer.opened(link, self._clock())
            await ended.set()
        kind = message.WhichOneof('body')
        match kind:
            case (
                'query_answer' | 'operation_answer' | 'parts_answer' | 'refusal'
            ):
                await self._deliver(link, getattr(message, kind))
            case 'holdings':
                self._holdings_changed(message.holdings)
            case 'feed_update':
                await self.take_update(
                    peer.aggregator.aggregator_id, message.feed_update
                )
            case 'ping':
                await self.take_ping(link, message.ping)
            case 'pong':
                self.take_pong(link, message.pong)
            case 'going_away' if peer.link is link:
                peer.departing = True

    async def on_closed(self, link: WireLink) -> None:
        """Tell the requests that waited for this aggregator."""
        peer = self._peers_by_link.pop(link)
        if peer.link is link:
            peer.lost(self._clock())
            await self._wake.set()
        elif peer.dial is not None and peer.dial.link is link:
            await peer.dial.ended.set()
        self._context.metrics.increment('link.closed')
        waiters = self._waiters_by_link.pop(link)
        for attempt_id, waiter in waiters.items():
            await waiter.lost(attempt_id)

    async def _deliver(self, link: WireLink, answer: Any) -> None:
        waiter = self._waiters_by_link[link].get(answer.attempt_id)
        if waiter is None:
            self._context.metrics.increment('link.answers_ignored')
        elif isinstance(answer, wire_pb2.Refusal):
            await waiter.refused(answer)
        else:
            await waiter.answered(answer)

    # Standing and idle links.

    async def _maintain(self) -> float:
        """Dial what stands, close what is idle; return a delay in seconds."""
        now = self._clock()
        self._choose_standing(now)
        is_waiting = False
        for peer in list(self._peers_by_id.values()):
            if peer.is_idle(now):
                self._context.metrics.increment('link.idle_closed')
                await curio.spawn(self._retire, peer, daemon=True)
            elif peer.standing and peer.may_dial(now):
                await self._start_dial(peer)
            is_waiting |= peer.standing and peer.link is None
        return dialing.RETRY_S if is_waiting else _IDLE_CHECK_S

    def _choose_standing(self, now: float) -> None:
        """Give standing links to zones until one of them is whole."""
        needed = True
        standing: set[str] = set()
        for zone in self._zones:
            if needed:
                standing.update(zone)
                backoffs = [self._peers_by_id[one].backoff for one in zone]
                needed = not dialing.has_enough_links(backoffs, now)
        for aggregator_id, peer in self._peers_by_id.items():
            peer.standing = aggregator_id in standing
            if peer.standing:
                # Starts the idle time of a link that stands no more.
                peer.used_at = now

    async def _let_go(self, peer: _Peer) -> None:
        """Close the link to an aggregator that is not listed any more."""
        peer.departing = True
        if peer.dial is not None:
            await peer.dial.ended.wait()
        await self._retire(peer)

    async def _retire(self, peer: _Peer) -> None:
        """Send nothing new, wait for the open answers, then close."""
        link, peer.link = peer.link, None
        if link is None:
            return
        while link.is_open and self.has_outstanding_work(link):
            await curio.sleep(_LET_GO_POLL_S)
        await link.close()

    # Dials.

    async def _start_dial(self, peer: _Peer) -> None:
        peer.dial = _Dial()
        await curio.spawn(self._dial, peer, peer.dial, daemon=True)

    async def _wait_for(self, dial: _Dial, limit_s: float) -> None:
        async with curio.ignore_after(max(limit_s, 0)):
            await dial.ended.wait()
        dial.slow = not dial.ended.is_set()

    async def _dial(self, peer: _Peer, dial: _Dial) -> None:
        """Connect and wait for the first frame."""
        _, address, port = peer.aggregator
        try:
            link = await links.connect(address, port, wire_pb2.Envelope, self)
        except errors.ConnectFailed:
            await self._dial_failed(peer, dial)
            return
        dial.link = link
        self._peers_by_link[link] = peer
        self._waiters_by_link[link] = {}
        await curio.spawn(link.run, daemon=True)
        async with curio.ignore_after(FIRST_FRAME_S):
            await dial.ended.wait()
        if peer.dial is dial:
            await self._dial_failed(peer, dial)
            await link.close()

    async def _dial_failed(self, peer: _Peer, dial: _Dial) -> None:
        self._context.metrics.increment('link.connect_failed')
        peer.lost(self._clock())
        await dial.ended.set()


async def _ignore_update(host_id: str, update: wire_pb2.FeedUpdate) -> None:
    """Take an update without a subscription."""
    del host_id, update
