"""The change feed over the links between hosts.

Owns the subscription of this host. `changefeed` chooses the relay of this host,
and `feedrelay` is the side that relays updates to others.

A host that the platform turns away asks other hosts for heartbeats (probes),
and subscribes to the first one that knows something newer. In a group that is
too small to relay the feed, it dials hosts of all zones for that.
"""

import contextlib
import math
from collections.abc import Iterator

import curio

from cardamomflow import (
    changefeed,
    context,
    discovery,
    errors,
    events,
    feedrelay,
    peering,
)
from cardamomflow.generated import wire_pb2

# A trip between the zones of a region takes a few milliseconds.
DIAL_TIMEOUT_S = 0.5
# Time for which a search that was hastened goes on without an answer.
HASTENED_S = 1.0
_MS = 1000


class FeedLinks(feedrelay.FeedRelay, discovery.FeedPeers):
    """The change feed of one host, from its relay and to its subscribers."""

    def __init__(
        self, process_context: context.Context, peer_client: peering.PeerClient
    ) -> None:
        super().__init__(process_context)
        self._subscription = changefeed.Subscription(
            peer_client.owners.own.host_id
        )
        self._peer_client = peer_client
        # The host that received the last subscription request of this one,
        # None after a stop request.
        self._subscribed_to: str | None = None
        self._position = changefeed.Position(0, 0)
        self._update_received = curio.Event()
        self._search = changefeed.SourceSearch()
        # Until when hosts are asked although the platform may still answer.
        self._hastened_until = float('-inf')
        # Whether `next_substitute` has to return.
        self._is_interrupted = False
        self._relay_is_turned_away = False
        peer_client.links.on_update = self._receive

    @property
    def relay(self) -> str | None:
        """The host that relays the feed to this one, None without one."""
        return self._subscription.relay

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

    def on_platform_regained(self) -> None:
        """Follow the usual relay again, or none."""
        super().on_platform_regained()
        self._search.stop()

    async def next_update(
        self, position: changefeed.Position
    ) -> changefeed.Update | None:
        """Wait for an update from the relay.

        Returns None when this host has to watch the platform itself.
        """
        self._position = position
        while True:
            await self._update_relay()
            if self._subscription.relay is None:
                return None
            update = self._subscription.next_update(position, self._clock())
            if update is not None:
                return update
            if self._subscription.relay is not None:
                await self._wait(self._subscription.wait_s(self._clock()))
                continue
            await self._unsubscribe()
            # The next host by rank can replace a relay that is turned away
            # without a call of this host.
            if not (self._relay_is_turned_away and self._is_current()):
                return None

    async def next_substitute(
        self, position: changefeed.Position, search_at: float
    ) -> changefeed.Update | None:
        """Wait for an update of any host while the platform does not answer.

        Returns None after `interrupt`.
        """
        self._position = position
        while not self._is_interrupted:
            now = self._clock()
            update = self._subscription.next_substitute(position, now)
            if update is not None:
                return update
            await self._wait(await self._seek_source(search_at, now))
        self._is_interrupted = False
        return None

    async def _seek_source(self, search_at: float, now: float) -> float:
        """Ask other hosts if none is followed; return how long to wait."""
        if self._subscription.relay is not None:
            return self._subscription.wait_s(now)
        await self._unsubscribe()
        if now < search_at and now >= self._hastened_until:
            if math.isfinite(self._hastened_until):
                self._hastened_until = float('-inf')
                self._search.stop()
            return search_at - now
        await self._probe(now)
        return self._search.wait_s(now)

    async def hasten(self) -> None:
        """Make `next_substitute` ask other hosts at once, for a moment."""
        self._hastened_until = self._clock() + HASTENED_S
        await self._update_received.set()

    async def interrupt(self) -> None:
        """Make `next_substitute` return None."""
        self._is_interrupted = True
        await self._update_received.set()

    def clear_interruption(self) -> None:
        """Ignore an `interrupt` that `next_substitute` has not seen yet."""
        self._is_interrupted = False

    @property
    def is_preferred_relay(self) -> bool:
        """Whether no other reachable host of the group outranks this one."""
        reachable = self._peer_client.reachable()
        return not any(
            self._subscription.outranks(member.host_id)
            and member.host_id in reachable
            for member in self._peer_client.group
        )

    @property
    def has_usual_relay(self) -> bool:
        """Whether a host with the platform that outranks this one relays."""
        relay = self._subscription.relay
        return (
            relay is not None
            and not self._relay_is_turned_away
            and self._subscription.outranks(relay)
            and any(
                member.host_id == relay for member in self._peer_client.group
            )
        )

    async def _probe(self, now: float) -> None:
        """Ask some hosts for their newest heartbeat."""
        is_hastened = now < self._hastened_until
        if self._failing_since is None and not is_hastened:
            # The platform is silent, and the call has not failed yet.
            self._failing_since = now
        for host_id in self._search.next_probes(self._candidates(now), now):
            self._metrics.increment('host.feed_probes')
            if self._peer_client.links.link_to(host_id) is None:
                await curio.spawn(self._dial_and_probe, host_id, daemon=True)
            else:
                await self._request(host_id, probe=True)

    async def _dial_and_probe(self, host_id: str) -> None:
        """Ask a host that has no permanent link."""
        try:
            await self._peer_client.links.dial(host_id, DIAL_TIMEOUT_S)
        except errors.ConnectFailed:
            return
        await self._request(host_id, probe=True)

    def _candidates(self, now: float) -> Iterator[str]:
        """Yield the hosts that may be sources: of the group, then others."""
        client = self._peer_client
        reachable, usable = client.reachable(), client.links.usable()
        linked_ids = changefeed.rank_relays(client.group)
        dialed_ids = [member.host_id for member in client.dialed_sources]
        candidate_ids = (
            *filter(reachable.__contains__, linked_ids),
            *filter(usable.__contains__, dialed_ids),
        )
        for host_id in dict.fromkeys(candidate_ids):
            is_own = host_id == client.owners.own.host_id
            if not is_own and not self._subscription.is_incomplete(
                host_id, now
            ):
                yield host_id

    async def _follow_substitute(
        self, host_id: str, heartbeat: changefeed.Update
    ) -> None:
        """Subscribe to a host that has answered a probe."""
        now = self._clock()
        self._search.stop()
        self._subscription.switch_relay(host_id, now)
        self._relay_is_turned_away = heartbeat.is_turned_away
        self._subscribed_to = host_id
        self._metrics.increment('host.feed_substitutes')
        self._journal.warning(
            events.Event.FEED_REPLACES_STORE,
            peer=host_id,
            age_ms=feedrelay.to_ms(now - heartbeat.confirmed_at),
            own_age_ms=feedrelay.to_ms(now - self._known_at),
        )
        await self._request(host_id, wants_lists=True)

    async def _wait(self, span_s: float) -> None:
        """Wait for an update or an interruption, or for a time."""
        async with curio.ignore_after(span_s):
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
        self._search.stop()
        await self._unsubscribe()
        self._subscription.switch_relay(chosen, self._clock())
        self._relay_is_turned_away = False
        if chosen is not None:
            self._log_relay(chosen)
            self._subscribed_to = chosen
            await self._request(chosen)

    async def _unsubscribe(self) -> None:
        """Cancel the subscription at the previous relay."""
        old_relay, self._subscribed_to = self._subscribed_to, None
        if old_relay is not None:
            self._log_relay(None)
            await self._request(old_relay, stop=True)

    def _log_relay(self, relay: str | None) -> None:
        self._journal.info(events.Event.FEED_SOURCE, peer=relay)

    async def _request(
        self,
        host_id: str,
        *,
        renews: bool = False,
        stop: bool = False,
        probe: bool = False,
        wants_lists: bool = False,
    ) -> None:
        request = wire_pb2.FeedRequest(
            revision=self._position.revision,
            era=self._position.era,
            wants_lists=wants_lists,
            renews=renews,
            stop=stop,
            probe=probe,
            sent_ms=feedrelay.to_ms(self._clock()),
        )
        with contextlib.suppress(errors.ConnectFailed):
            await self._peer_client.links.post(
                host_id, wire_pb2.Envelope(feed_request=request)
            )

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
        update = changefeed.Update(
            message.before,
            message.revision,
            message.content,
            requested_at - message.age_ms / _MS,
            now + message.outage_ms / _MS,
            message.turned_away,
            message.era,
            message.is_complete,
        )
        if message.is_probe_answer:
            await self._receive_probe_answer(host_id, update)
            return
        if host_id == self._subscription.relay:
            self._relay_is_turned_away = update.is_turned_away
        self._subscription.receive(host_id, update)
        await self._update_received.set()

    async def _receive_probe_answer(
        self, host_id: str, heartbeat: changefeed.Update
    ) -> None:
        """Follow a host that knows something newer, if none is followed."""
        if self._search.accepts(
            heartbeat, self._position, self._known_at, self._clock()
        ):
            await self._follow_substitute(host_id, heartbeat)
            await self._update_received.set()
