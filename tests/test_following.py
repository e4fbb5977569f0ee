"""What one host takes from the platform and relays to others."""

import base64
import json
import random
import unittest

from cardamomflow import (
    changefeed,
    context,
    directory,
    discovery,
    frames,
    ownership,
    platformsource,
)
from cardamomflow.generated import wire_pb2
from cardamomflow.platform import kvstore
from standins import users
from tests import loops

# The narrowest link of a host, and the most subscribers of a relay.
LINK_BYTES_PER_S = 10_000_000 / 8
SUBSCRIBERS = ownership.MAX_GROUP_HOSTS - 1
PAGE_CHANGES = 500


def page(first_revision, changes=PAGE_CHANGES):
    """Return a watch's answer about backend servers that have started."""
    generator = random.Random(first_revision)
    events = []
    for number in range(changes):
        entry = users.backend_document(
            f'service-{generator.randrange(400)}',
            8688,
            address=f'10.{generator.randrange(4)}.64.{number % 250}:8688',
            warmup_left_ms=3000,
        )
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        revision = first_revision + number
        events.append(
            {
                'key': f'servers/i-{generator.getrandbits(40):010x}',
                'value': value,
                'revision': revision,
                'created': revision,
                'lease': 0,
            }
        )
    as_of = first_revision + changes - 1
    return json.dumps({'events': events, 'as_of': as_of}).encode()


class Source(platformsource.Source):
    """Returns one page for each watch."""

    def __init__(self):
        self._store = kvstore.KvStore('127.0.0.1', 1)

    async def read(self):
        raise NotImplementedError

    async def watch(self, revision, wait_s):
        return self.parse(page(revision + 1))

    def parse(self, content):
        return self._store.parse(content)

    async def announce_host(self, member, ttl_s):
        raise NotImplementedError

    async def withdraw_host(self):
        raise NotImplementedError


class Listener(discovery.Listener):
    """Counts the backend servers that can be used."""

    def __init__(self):
        self.usable = 0

    async def routes_changed(self, table):
        raise NotImplementedError

    async def backends_changed(self, changes):
        self.usable += sum(change.usable for change in changes)

    def platform_confirmed(self, confirmed_at):
        return None

    async def hosts_counted(self, hosts):
        return None

    async def members_listed(self, members):
        return None


class Peers(discovery.FeedPeers):
    """Returns what was received, and keeps what is published."""

    relay = 'relay'
    has_subscribers = True

    def __init__(self, received=None):
        self.published = []
        self._received = received

    async def next_update(self, revision):
        return self._received

    async def publish(self, update):
        self.published.append(update)

    def platform_lost(self, outage_until):
        raise NotImplementedError


def follow(peers):
    """Let a host take the next changes; return what it can use then."""
    process_context = context.create(
        users.host_settings('h1', 'z1', 1, log={'level': 'error'})
    )
    listener = Listener()
    follower = discovery.Follower(
        Source(), directory.Directory(), listener, peers, process_context
    )
    loops.run(lambda: follower._take_next(100))
    return listener.usable


class RelayedBytesTest(unittest.TestCase):
    def test_many_started_backend_servers_do_not_fill_the_link(self):
        """Guards against changes that wait for seconds at a relay.

        Load: the next set of shards starts, 500 changed entries at once, and
        23 hosts follow one relay on the narrowest link. All of it has to
        leave before the next heartbeat is due.
        """
        peers = Peers()
        self.assertEqual(follow(peers), PAGE_CHANGES)
        (update,) = peers.published
        frame = frames.encode(
            wire_pb2.Envelope(
                feed_update=wire_pb2.FeedUpdate(content=update.content)
            )
        )
        sending_s = SUBSCRIBERS * len(frame) / LINK_BYTES_PER_S
        self.assertLess(sending_s, changefeed.HEARTBEAT_INTERVAL_S)

    def test_subscriber_takes_what_a_relay_has_packed(self):
        """Guards against hosts that can not read relayed changes."""
        relaying = Peers()
        follow(relaying)
        subscribed = Peers(relaying.published[0])
        self.assertEqual(follow(subscribed), PAGE_CHANGES)
        self.assertEqual(subscribed.published, relaying.published)


if __name__ == '__main__':
    unittest.main()
