"""The change feed over links, in virtual time."""

import unittest

from cardamomflow import changefeed, context, feedlinks
from standins import users
from tests import loops, test_ownership

STEP_S = 0.1
GROUP = ('h1', 'h2', 'h3')


class Clock:
    """Virtual time in seconds."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Network:
    """Carries messages between hosts after a delay."""

    def __init__(self, clock):
        self.delay_s = 0.0
        self.feeds_by_id = {}
        self.unreachable = set()
        self._clock = clock
        self._sent = []

    def send(self, sender, receiver, envelope):
        arrives_at = self._clock.now + self.delay_s
        self._sent.append((arrives_at, sender, receiver, envelope))

    async def deliver(self):
        due = [one for one in self._sent if one[0] <= self._clock.now]
        self._sent = [one for one in self._sent if one[0] > self._clock.now]
        for _, sender, receiver, envelope in due:
            feed = self.feeds_by_id[receiver]
            if envelope.HasField('feed_request'):
                link = feed._asker.links.link_to(sender)
                await feed.subscribe(link, envelope.feed_request)
            else:
                await feed._asker.links.take_update(
                    sender, envelope.feed_update
                )


class Link:
    """One direction of a link."""

    unsent_bytes = 0

    def __init__(self, network, sender, receiver):
        self._network = network
        self._ends = (sender, receiver)

    async def post(self, envelope):
        self._network.send(*self._ends, envelope)

    async def post_if_open(self, envelope):
        await self.post(envelope)


class Links:
    """Links of one host."""

    def __init__(self, network, own_id):
        self.take_update = None
        self._network = network
        self._links_by_id = {
            host_id: Link(network, own_id, host_id) for host_id in GROUP
        }

    def link_to(self, host_id):
        return self._links_by_id[host_id]


class Asker:
    """What a feed needs of the links to other hosts."""

    def __init__(self, network, own_id):
        members = {one: test_ownership.member(one) for one in GROUP}
        self.owners = test_ownership.owners_of(
            members[own_id], list(members.values())
        )
        self.group = tuple(members.values())
        self.links = Links(network, own_id)
        self._network = network

    def reachable(self):
        return set(GROUP) - self._network.unreachable


class World:
    """A relay that knows each revision, and a host that follows it."""

    def __init__(self):
        self.clock = Clock()
        self.network = Network(self.clock)
        self.revision = 10
        self.known = 10
        self.asked_platform_at = []
        for host_id in GROUP:
            process_context = context.create(
                users.host_settings(host_id, 'z1', 1, log={'level': 'error'})
            )._replace(clock=self.clock)
            self.network.feeds_by_id[host_id] = feedlinks.FeedLinks(
                process_context, Asker(self.network, host_id)
            )
        chosen = {
            host_id: feed._subscription.choose(
                feed._asker.group, set(GROUP), self.clock.now
            )
            for host_id, feed in self.network.feeds_by_id.items()
        }
        self.first = chosen[next(one for one in GROUP if chosen[one])]
        last = next(one for one in GROUP if one != self.first)
        self.relay = self.network.feeds_by_id[self.first]
        self.subscriber = self.network.feeds_by_id[last]

    async def publish(self, *, changed=False):
        """Let the relay learn from the platform that it knows everything."""
        before = self.revision
        self.revision += changed
        await self.relay.publish(
            changefeed.Update(
                before,
                self.revision,
                changefeed.pack(b'{}') if changed else b'',
                self.clock.now,
                0,
            )
        )

    async def step(self, number):
        """Let a tenth of a second pass."""
        self.clock.now += STEP_S
        if number % 10 == 0:
            await self.publish()
        if number % 5 == 0:
            for feed in self.network.feeds_by_id.values():
                await feed.renew()
        await self.network.deliver()
        await self._follow()

    async def _follow(self):
        """Take what is there, as a follower does, without waiting."""
        feed = self.subscriber
        feed._revision = self.known
        await feed._choose()
        update = feed._subscription.next_update(self.known, self.clock.now)
        while update is not None:
            self.known = max(self.known, update.revision)
            update = feed._subscription.next_update(self.known, self.clock.now)
        if feed._subscription.relay is None:
            await feed._unsubscribe()
            self.asked_platform_at.append(self.clock.now)
            self.known = self.revision


class FeedLinksTest(unittest.TestCase):
    def test_subscriber_leaves_a_relay_whose_updates_arrive_late(self):
        """Guards against changes that wait unseen on the link of a relay.

        The delay grows slowly, so that heartbeats arrive all the time and
        each seems recent to the relay that sent it.
        """
        world = World()

        async def scenario():
            await world.publish()
            latest_s = 0.0
            changed_at = None
            for number in range(300):
                world.network.delay_s = number * STEP_S / 5
                if number % 70 == 60:
                    await world.publish(changed=True)
                    changed_at = world.clock.now
                await world.step(number)
                if changed_at and world.known < world.revision:
                    latest_s = max(latest_s, world.clock.now - changed_at)
            return latest_s

        latest_s = loops.run(scenario)
        self.assertLessEqual(latest_s, changefeed.MAX_AGE_S + STEP_S)
        self.assertTrue(world.asked_platform_at)

    def test_subscriber_stays_with_a_prompt_relay(self):
        """Guards against calls at the platform while the relay is well."""
        world = World()
        world.network.delay_s = 0.2

        async def scenario():
            await world.publish()
            for number in range(300):
                await world.step(number)

        loops.run(scenario)
        self.assertEqual(world.asked_platform_at, [])
        self.assertEqual(world.subscriber.relay, world.first)

    def test_relay_that_was_given_up_has_no_subscriber(self):
        """Guards against relays that send each change to hosts that left."""
        world = World()

        async def scenario():
            await world.publish()
            for number in range(10):
                await world.step(number)
            subscribed = world.relay.has_subscribers
            # Nothing is confirmed any more, but the link works.
            for number in range(41, 81):
                world.clock.now += STEP_S
                await world.network.deliver()
                await world._follow()
            return subscribed

        self.assertTrue(loops.run(scenario))
        self.assertFalse(world.relay.has_subscribers)

    def test_subscriber_that_fell_silent_is_forgotten(self):
        """Guards against a frozen host that fills the queue of a relay."""
        world = World()

        async def scenario():
            await world.publish()
            for number in range(10):
                await world.step(number)
            world.clock.now += changefeed.SUBSCRIPTION_S + STEP_S
            await world.relay.renew()

        loops.run(scenario)
        self.assertFalse(world.relay.has_subscribers)

    def test_forgotten_subscriber_gets_what_it_missed(self):
        """Guards against a host that renews in vain after a pause."""
        world = World()

        async def scenario():
            await world.publish()
            for number in range(10):
                await world.step(number)
            world.relay._subscribers.expire(float('inf'))
            await world.publish(changed=True)
            for number in range(10):
                await world.step(number)

        loops.run(scenario)
        self.assertEqual(world.known, world.revision)
        self.assertEqual(world.asked_platform_at, [])


if __name__ == '__main__':
    unittest.main()
