"""The change feed over the links between hosts.

Owns the links of the subscribers. `changefeed` chooses the relay of this host
and keeps the updates that it can relay.
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
    """The change feed of one host, from its relay and to its subscribers."""

    def __init__(
        self, process_context: context.Context, peer_client: peering.PeerClient
    ) -> None:
        self._history = changefeed.UpdateHistory()
        self._subscription = changefeed.Subscription(
            peer_client.owners.own.host_id
        )
        self._peer_client = peer_client
        self._clock = process_context.clock
        self._journal = process_context.journal
        self._metrics = process_context.metrics
        self._subscribers = changefeed.Subscribers()
        # The host that received the last subscription request of this one,
        # None after a stop request.
        self._subscribed_to: str | None = None
        self._revision = 0
        self._update_received = curio.Event()
        peer_client.links.on_update = self._receive

    @property
    def relay(self) -> str | None:
        """The host that relays the feed to this one, None without one."""
        return self._subscription.relay

    @property
    def has_subscribers(self) -> bool:
        """Whether other hosts receive the feed from this one."""
        return len(self._subscribers) > 0

    async def run(self) -> None:
        """Renew and expire subscriptions until cancelled."""
        while True:
            await curio.sleep(changefeed.HEARTBEAT_INTERVAL_S)
            await self.renew()

    async def renew(self) -> None:
        """Request a heartbeat from the relay, and expire subscribers."""
        self._subscribers.expire(self._clock())
        if self._subscribed_to is not None:
            await self._request(self._subscribed_to, renews=True)

    # As a relay.

    async def on_feed_request(
        self, link: linkkeepalive.WireLink, request: wire_pb2.FeedRequest
    ) -> None:
        """Start, renew or end the subscription of a host."""
        if request.stop:
            self._subscribers.remove(link)
            return
        exists = self._subscribers.renew(link, request.sent_ms, self._clock())
        if exists and request.renews:
            heartbeat = self._history.heartbeat()
            updates = [] if heartbeat is None else [heartbeat]
        else:
            updates = self._history.since(request.revision)
        for update in updates:
            await self._send(link, update)

    def on_link_closed(self, link: linkkeepalive.WireLink) -> None:
        """Remove the subscription of a host whose link closed."""
        self._subscribers.remove(link)

    async def publish(self, update: changefeed.Update) -> None:
        """Relay an update that is in force at this host."""
        self._history.append(update)
        if not update.content or not self._subscribers:
            return
        self._log_relayed(update)
        for link in list(self._subscribers.requested_ms_by_link):
            await self._send(link, update)

    def on_platform_lost(self, outage_until: float) -> None:
        """Report the outage in the next heartbeats."""
        self._history.set_outage_until(outage_until)

    # As a subscriber.

    async def next_update(self, revision: int) -> changefeed.Update | None:
        """Wait for an update from the relay.

        Returns None when this host has to watch the platform itself.
        """
        self._revision = revision
        while True:
            await self._update_relay()
            if self._subscription.relay is None:
                return None
            update = self._subscription.next_update(revision, self._clock())
            if update is not None:
                return update
            if self._subscription.relay is None:
                await self._unsubscribe()
                self._log_relay(None)
                return None
            async with curio.ignore_after(
                self._subscription.wait_s(self._clock())
            ):
                await self._update_received.wait()
            self._update_received.clear()

    async def _update_relay(self) -> None:
        """Subscribe to the preferred relay, if it is not in use."""
        chosen = self._subscription.choose_relay(
            self._peer_client.group,
            self._peer_client.reachable(),
            self._clock(),
        )
        if chosen == self._subscription.relay:
            return
        await self._unsubscribe()
        self._subscription.switch_relay(chosen, self._clock())
        self._log_relay(chosen)
        if chosen is not None:
            self._subscribed_to = chosen
            await self._request(chosen)

    async def _unsubscribe(self) -> None:
        """Cancel the subscription at the previous relay."""
        old_relay, self._subscribed_to = self._subscribed_to, None
        if old_relay is not None:
            await self._request(old_relay, stop=True)

    def _log_relayed(self, update: changefeed.Update) -> None:
        """Log a change before it is enqueued, with the bytes ahead of it."""
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

    def _log_relay(self, relay: str | None) -> None:
        self._journal.info(events.Event.FEED_SOURCE, peer=relay)

    async def _request(
        self, host_id: str, *, renews: bool = False, stop: bool = False
    ) -> None:
        link = self._peer_client.links.link_to(host_id)
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
        """Enqueue an update; its age is computed from the time of the request.

        The relay cannot measure how long an update waits in its send queue and
        on the link. It enqueues the update after it has received the request,
        so the time of the request is a safe bound.
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
        await self._update_received.set()

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
