"""The side of the change feed that relays updates to other hosts.

Owns the links of the subscribers, the updates that are kept for them, and how
new this host's knowledge is.
"""

from cardamomflow import (
    changefeed,
    context,
    errors,
    events,
    linkkeepalive,
    peering,
)
from cardamomflow.generated import wire_pb2

_MS = 1000


class FeedRelay(peering.FeedServer):
    """The change feed of one host to its subscribers."""

    def __init__(self, process_context: context.Context) -> None:
        self._history = changefeed.UpdateHistory()
        self._clock = process_context.clock
        self._journal = process_context.journal
        self._metrics = process_context.metrics
        self._subscribers = changefeed.Subscribers()
        # When the platform confirmed what this host knows.
        self._known_at = float('-inf')
        # Since when calls to the platform fail, None while they do not.
        self._failing_since: float | None = None
        self._metrics.register_gauge(
            'host.turned_away', lambda: int(self._is_turned_away())
        )

    @property
    def has_subscribers(self) -> bool:
        """Whether other hosts receive the feed from this one."""
        return len(self._subscribers) > 0

    async def on_feed_request(
        self, link: linkkeepalive.WireLink, request: wire_pb2.FeedRequest
    ) -> None:
        """Start, renew or end the subscription of a host, or answer a probe."""
        if request.probe:
            heartbeat = self._history.heartbeat()
            if heartbeat is not None:
                await self._send(
                    link, heartbeat, request.sent_ms, is_probe_answer=True
                )
            return
        if request.stop:
            self._subscribers.remove(link)
            return
        exists = self._subscribers.renew(link, request.sent_ms, self._clock())
        if exists and request.renews:
            heartbeat = self._history.heartbeat()
            updates = [] if heartbeat is None else [heartbeat]
        else:
            updates = self._history.since(
                changefeed.Position(request.era, request.revision),
                wants_lists=request.wants_lists,
            )
        for update in updates:
            await self._send_to_subscriber(link, update)

    def on_link_closed(self, link: linkkeepalive.WireLink) -> None:
        """Remove the subscription of a host whose link closed."""
        self._subscribers.remove(link)

    async def publish(self, update: changefeed.Update) -> None:
        """Relay an update that is in force at this host."""
        self._history.append(update)
        previously_known_at = self._known_at
        self._known_at = max(self._known_at, update.confirmed_at)
        gain_s = self._known_at - previously_known_at
        is_news = update.content or gain_s > changefeed.OLD_CONFIRMATION_S
        if not is_news or not self._subscribers:
            return
        if update.content:
            self._log_relayed(update)
        for link in list(self._subscribers.requested_ms_by_link):
            await self._send_to_subscriber(link, update)

    def on_platform_lost(self, outage_until: float) -> None:
        """Report the outage in the next heartbeats."""
        self._history.set_outage_until(outage_until)
        if self._failing_since is None:
            self._failing_since = self._clock()

    def on_platform_regained(self) -> None:
        """Report this host as one that follows the platform again."""
        self._failing_since = None

    def _is_current(self) -> bool:
        """Whether this host knows what the platform confirmed recently."""
        return self._clock() - self._known_at < changefeed.MAX_AGE_S

    def _is_turned_away(self) -> bool:
        """Whether calls to the platform have failed for some time."""
        if self._failing_since is None:
            return False
        failing_s = self._clock() - self._failing_since
        return failing_s >= changefeed.TURNED_AWAY_AFTER_S

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
            age_ms=to_ms(self._clock() - update.confirmed_at),
        )

    async def _send_to_subscriber(
        self, link: linkkeepalive.WireLink, update: changefeed.Update
    ) -> None:
        requested_ms = self._subscribers.requested_ms_by_link.get(link)
        if requested_ms is not None:
            await self._send(link, update, requested_ms)

    async def _send(
        self,
        link: linkkeepalive.WireLink,
        update: changefeed.Update,
        requested_ms: int,
        *,
        is_probe_answer: bool = False,
    ) -> None:
        now = self._clock()
        message = wire_pb2.FeedUpdate(
            before=update.before,
            revision=update.revision,
            content=update.content,
            age_ms=to_ms(now - update.confirmed_at),
            outage_ms=to_ms(update.outage_until - now),
            requested_ms=requested_ms,
            turned_away=self._is_turned_away(),
            is_probe_answer=is_probe_answer,
            era=update.era,
            is_complete=update.is_complete,
        )
        try:
            await link.post(wire_pb2.Envelope(feed_update=message))
        except errors.FlowError:
            self._subscribers.remove(link)
        else:
            self._metrics.increment('host.feed_messages')


def to_ms(span_s: float) -> int:
    """Return a time in whole milliseconds, at least 0."""
    return int(max(0, span_s) * _MS)
