"""The feed of changes at the platform that hosts relay to each other; sans-I/O.

Owns which host is the relay of another one, how old the feed is, and the
updates that a host can relay itself. A subscriber keeps no call at the
platform waiting while its relay passes on all changes. When the relay is
silent, or does not follow the platform itself, the host asks the platform.
"""

import collections
import zlib
from collections.abc import Container, Hashable, Sequence
from typing import NamedTuple

from cardamomflow import avoidedmembers, errors, ownership, routing

# Age of the feed after which a host asks the platform itself. In good health a
# relay confirms it at least every 1.1 s, and a subscriber asks for that every
# `HEARTBEAT_INTERVAL_S`. Changes have to be in force within 3 s or more.
MAX_AGE_S = 2.6
# Time for the first update of a relay, which is sent at once.
FIRST_UPDATE_S = 0.5
# Time for which a host that passed on nothing recent is no relay.
AVOIDED_S = 10.0
# Time between requests of a subscriber for a heartbeat, which confirms that
# there is no change.
HEARTBEAT_INTERVAL_S = 0.5
# Time without a request after which a subscription ends. A subscriber that gave
# its relay up may not be able to tell it.
SUBSCRIPTION_S = 3.0
# Updates that are kept for hosts which have just subscribed; they have read
# all up to a few moments ago.
KEPT_UPDATES = 64
# The fastest level: entries of backend servers shrink to about a tenth, and a
# higher level takes several times as long for a few percent.
_COMPRESSION_LEVEL = 1
MAX_CONTENT_BYTES = 16_777_216


class Update(NamedTuple):
    """Changes at the platform, or a heartbeat, which has none.

    Attributes
    ----------
    before, revision : int
        The changes after the one revision up to the other.
    content : bytes
        Packed, as the adapter of the platform reads it; empty without
        changes.
    confirmed_at : float
        When the platform confirmed that there are no others.
    outage_until : float
        Until when entries that vanish may have lapsed in an outage.
    """

    before: int
    revision: int
    content: bytes
    confirmed_at: float
    outage_until: float


def pack(content: bytes) -> bytes:
    """Return changes in the form in which they are relayed.

    A relay sends each change to up to 23 hosts over its one link. In the
    platform's form the start of a few hundred backend servers filled it for
    seconds.
    """
    return zlib.compress(content, _COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return changes in the form of the platform.

    Raises
    ------
    errors.ProtocolViolation
        They are damaged or over `MAX_CONTENT_BYTES`.
    """
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise errors.ProtocolViolation(
            f'a relay sent damaged changes: {error}'
        ) from error
    if not unpacker.eof:
        raise errors.ProtocolViolation(
            f'a relay sent {len(packed)} bytes that are no whole update'
        )
    return content


class Backlog:
    """The newest updates of one host, for its subscribers."""

    def __init__(self) -> None:
        """Start without updates."""
        self._kept: collections.deque[Update] = collections.deque(
            maxlen=KEPT_UPDATES
        )
        self._last: Update | None = None

    def append(self, update: Update) -> None:
        """Keep an update that is in force here."""
        if update.content:
            self._kept.append(update)
        self._last = update

    def note_outage(self, outage_until: float) -> None:
        """Note that the platform does not answer."""
        if self._last is not None:
            self._last = self._last._replace(outage_until=outage_until)

    def heartbeat(self) -> Update | None:
        """Return the newest revision without its changes."""
        if self._last is None:
            return None
        return self._last._replace(before=self._last.revision, content=b'')

    def since(self, revision: int) -> list[Update]:
        """Return what a host needs that knows a revision.

        The last one is a heartbeat, which shows a gap where changes are
        missing.
        """
        heartbeat = self.heartbeat()
        if heartbeat is None:
            return []
        missed = [kept for kept in self._kept if kept.revision > revision]
        return [*missed, heartbeat]


class Subscribers:
    """The hosts that one host relays the feed to, by link.

    Attributes
    ----------
    requested_ms_by_link : dict
        Time of the newest request, on the clock of the subscriber.
    """

    def __init__(self) -> None:
        """Start without subscribers."""
        self.requested_ms_by_link: dict[Hashable, int] = {}
        self._until_by_link: dict[Hashable, float] = {}

    def __len__(self) -> int:
        """Return the number of subscribers."""
        return len(self.requested_ms_by_link)

    def renew(self, link: Hashable, sent_ms: int, now: float) -> bool:
        """Take a request; tell whether the subscription exists."""
        exists = link in self.requested_ms_by_link
        self.requested_ms_by_link[link] = sent_ms
        self._until_by_link[link] = now + SUBSCRIPTION_S
        return exists

    def remove(self, link: Hashable) -> None:
        """End a subscription, if it exists."""
        self.requested_ms_by_link.pop(link, None)
        self._until_by_link.pop(link, None)

    def expire(self, now: float) -> None:
        """End the subscriptions that were not renewed."""
        ended = [
            link for link, until in self._until_by_link.items() if until <= now
        ]
        for link in ended:
            self.remove(link)


class Subscription:
    """The feed that one host gets from its relay."""

    def __init__(self, own_id: str) -> None:
        """Start by asking the platform."""
        self.relay: str | None = None
        self._own_id = own_id
        self._received: collections.deque[Update] = collections.deque()
        self._recent_until = float('-inf')
        self._avoided = avoidedmembers.AvoidedMembers()

    def choose(
        self,
        group: Sequence[ownership.Member],
        usable: Container[str],
        now: float,
    ) -> str | None:
        """Return the relay to use, None when this host asks the platform."""
        ranked = sorted(
            (member.host_id for member in group),
            key=lambda host_id: routing.score('news', host_id),
        )
        for host_id in ranked:
            if host_id == self._own_id:
                return None
            is_avoided = self._avoided.is_avoided(host_id, now)
            if host_id in usable and not is_avoided:
                return host_id
        return None

    def start(self, relay: str | None, now: float) -> None:
        """Use another relay from now on, or none."""
        self.relay = relay
        self._received.clear()
        self._recent_until = now + FIRST_UPDATE_S

    def receive(self, relay: str, update: Update) -> None:
        """Take an update; those of another host are ignored."""
        if relay != self.relay:
            return
        self._received.append(update)
        self._recent_until = max(
            self._recent_until, update.confirmed_at + MAX_AGE_S
        )

    def next_update(self, revision: int, now: float) -> Update | None:
        """Return the next update, None without any.

        A relay that passes on nothing recent is avoided for a while. One with
        a gap is used again once this host has the rest from the platform.
        """
        if now >= self._recent_until:
            self._avoid(now)
        while self._received:
            update = self._received.popleft()
            if update.before <= revision <= update.revision:
                return update
            if update.before > revision:
                self.start(None, now)
            elif not update.content:
                # The relay is behind this host.
                self._avoid(now)
        return None

    def _avoid(self, now: float) -> None:
        if self.relay is not None:
            self._avoided.avoid(self.relay, now + AVOIDED_S, now)
        self.start(None, now)

    def wait_s(self, now: float) -> float:
        """Return how long an update may be waited for."""
        return max(0, self._recent_until - now)
