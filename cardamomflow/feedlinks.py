"""The change feed over the links between hosts.

Owns the links of the subscribers. Which relay this host uses itself, and what
it can relay, is decided by `changefeed`.
"""

import curio

from cardamomflow import (
    changefeed,
    context,
    discovery,
    errors,
    events,
    linkkeepalive,
    peering,
)
from cardamomflow.generated import wire_pb2

_MS = 1000


class FeedLinks(discovery.FeedPeers, peering.FeedServer):
    """The feed of one host: from its relay, and to its subscribers."""

    def __init__(
        self, process_context: context.Context, asker: peering.Asker
    ) -> None:
        """Start by asking the platform."""
        self._backlog = changefeed.Backlog()
        self._subscription = changefeed.Subscription(asker.owners.own.host_id)
        self._asker = asker
        self._clock = process_context.clock
        self._journal = process_context.journal
        self._metrics = process_context.metrics
        self._subscribers = changefeed.Subscribers()
        # The host that was asked for the feed last, until it was told to stop.
        self._subscribed_to: str | None = None
        self._revision = 0
        self._arrived = curio.Event()
        asker.links.take_update = self._receive

    @property
    def relay(self) -> str | None:
        """The host that relays the feed to this one, None without one."""
        return self._subscription.relay

    @property
    def has_subscribers(self) -> bool:
        """Whether other hosts rely on this one."""
        return len(self._subscribers) > 0

    async def run(self) -> None:
        """Keep the subscriptions alive, until cancelled."""
        while True:
            await curio.sleep(changefeed.HEARTBEAT_INTERVAL_S)
            await self.renew()

    async def renew(self) -> None:
        """Ask the relay for a heartbeat; forget silent subscribers."""
        self._subscribers.expire(self._clock())
        if self._subscribed_to is not None:
            await self._request(self._subscribed_to, renews=True)

    # As a relay.

    async def subscribe(
        self, link: linkkeepalive.WireLink, request: wire_pb2.FeedRequest
    ) -> None:
        """Start, renew or end the subscription of a host."""
        if request.stop:
            self._subscribers.remove(link)
            return
        exists = self._subscribers.renew(link, request.sent_ms, self._clock())
        if exists and request.renews:
            heartbeat = self._backlog.heartbeat()
            updates = [] if heartbeat is None else [heartbeat]
        else:
            updates = self._backlog.since(request.revision)
        for update in updates:
            await self._send(link, update)

    def closed(self, link: linkkeepalive.WireLink) -> None:
        """Forget a host whose link ended."""
        self._subscribers.remove(link)

    async def publish(self, update: changefeed.Update) -> None:
        """Relay what is in force at this host."""
        self._backlog.append(update)
        if not update.content or not self._subscribers:
            return
        self._note_relayed(update)
        for link in list(self._subscribers.requested_ms_by_link):
            await self._send(link, update)

    def platform_lost(self, outage_until: float) -> None:
        """Note that the platform does not answer this host."""
        self._backlog.note_outage(outage_until)

    # As a subscriber.

    async def next_update(self, revision: int) -> changefeed.Update | None:
        """Return an update of the relay, None to ask the platform."""
        self._revision = revision
        while True:
            await self._choose()
            if self._subscription.relay is None:
                return None
            update = self._subscription.next_update(revision, self._clock())
            if update is not None:
                return update
            if self._subscription.relay is None:
                await self._unsubscribe()
                self._note_relay(None)
                return None
            async with curio.ignore_after(
                self._subscription.wait_s(self._clock())
            ):
                await self._arrived.wait()
            self._arrived.clear()

    async def _choose(self) -> None:
        """Subscribe to another host where that is better."""
        chosen = self._subscription.choose(
            self._asker.group, self._asker.reachable(), self._clock()
        )
        if chosen == self._subscription.relay:
            return
        await self._unsubscribe()
        self._subscription.start(chosen, self._clock())
        self._note_relay(chosen)
        if chosen is not None:
            self._subscribed_to = chosen
            await self._request(chosen)

    async def _unsubscribe(self) -> None:
        """Let a relay that was given up send nothing more."""
        before, self._subscribed_to = self._subscribed_to, None
        if before is not None:
            await self._request(before, stop=True)

    def _note_relayed(self, update: changefeed.Update) -> None:
        """Log a change before it is queued behind what still waits."""
        self._journal.info(
            events.Event.CHANGES_RELAYED,
            revision=update.revision,
            subscribers=len(self._subscribers),
            content_bytes=len(update.content),
            unsent_bytes=sum(
                link.unsent_bytes
                for link in self._subscribers.requested_ms_by_link
            ),
            age_ms=_to_ms(self._clock() - update.confirmed_at),
        )

    def _note_relay(self, relay: str | None) -> None:
        self._journal.info(events.Event.FEED_SOURCE, peer=relay)

    async def _request(
        self, host_id: str, *, renews: bool = False, stop: bool = False
    ) -> None:
        link = self._asker.links.link_to(host_id)
        if link is None:
            return
        request = wire_pb2.FeedRequest(
            revision=self._revision,
            renews=renews,
            stop=stop,
            sent_ms=_to_ms(self._clock()),
        )
        await link.post_if_open(wire_pb2.Envelope(feed_request=request))

    async def _receive(
        self, host_id: str, message: wire_pb2.FeedUpdate
    ) -> None:
        """Take an update; its age counts from the request for it.

        The relay cannot know how long an update waits in its queue and on the
        link. It was queued after the request had arrived there.
        """
        now = self._clock()
        requested_at = min(now, message.requested_ms / _MS)
        self._subscription.receive(
            host_id,
            changefeed.Update(
                message.before,
                message.revision,
                message.content,
                requested_at - message.age_ms / _MS,
                now + message.outage_ms / _MS,
            ),
        )
        await self._arrived.set()

    async def _send(
        self, link: linkkeepalive.WireLink, update: changefeed.Update
    ) -> None:
        requested_ms = self._subscribers.requested_ms_by_link.get(link)
        if requested_ms is None:
            return
        now = self._clock()
        message = wire_pb2.FeedUpdate(
            before=update.before,
            revision=update.revision,
            content=update.content,
            age_ms=_to_ms(now - update.confirmed_at),
            outage_ms=_to_ms(update.outage_until - now),
            requested_ms=requested_ms,
        )
        try:
            await link.post(wire_pb2.Envelope(feed_update=message))
        except errors.FlowError:
            self._subscribers.remove(link)
        else:
            self._metrics.increment('host.feed_messages')


def _to_ms(span_s: float) -> int:
    return int(max(0, span_s) * _MS)
