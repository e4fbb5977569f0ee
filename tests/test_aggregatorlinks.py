"""Links of an entry process to aggregators of its own and other zones."""

import contextlib
import itertools
import random
import time
import types
import unittest
from unittest import mock

import curio

from cardamomflow import (
    aggregator,
    aggregatorlinks,
    callers,
    configuration,
    daemons,
    dialing,
    entry,
    errors,
    fanout,
    forwarding,
    links,
    liveness,
    register,
    routing,
    rules,
    scatter,
    snapshots,
    telemetry,
    tracing,
    webhandler,
)
from cardamomflow.generated import wire_pb2
from tests import loops

DEADLINE_S = 1.0
DIAL_TIMEOUT_S = DEADLINE_S * aggregatorlinks.DIAL_SHARE


class Peer(links.LinkHandler):
    """An aggregator that can be set to be silent or slow."""

    def __init__(self):
        self.links = []
        self.opened_count = 0
        self.is_responsive = True
        self.answer_delay_s = 0
        self.requests = []
        self.ping_count = 0

    async def on_opened(self, link):
        self.links.append(link)
        self.opened_count += 1
        if self.is_responsive:
            await self.send_holdings()

    async def send_holdings(self):
        for link in self.links:
            await link.post(
                wire_pb2.Envelope(holdings=wire_pb2.HoldingsUpdate())
            )

    async def on_message(self, link, message):
        kind = message.WhichOneof('body')
        self.ping_count += kind == 'ping'
        if kind == 'ping' and self.is_responsive:
            await link.post(wire_pb2.Envelope(pong=wire_pb2.Pong()))
        if kind in ('query', 'operation'):
            self.requests.append(getattr(message, kind))
            await curio.spawn(
                self.answer, link, kind, self.requests[-1], daemon=True
            )

    async def answer(self, link, kind, request):
        await curio.sleep(self.answer_delay_s)
        fields = {
            'attempt_id': request.attempt_id,
            'request_id': request.request_id,
        }
        if kind == 'operation':
            answer = wire_pb2.OperationAnswer(**fields)
            await link.post(wire_pb2.Envelope(operation_answer=answer))
            return
        answer = wire_pb2.QueryAnswer(
            snapshot=request.snapshot,
            answered=request.tasks,
            rows=b'[]',
            **fields,
        )
        await link.post(wire_pb2.Envelope(query_answer=answer))

    async def on_closed(self, link):
        self.links.remove(link)


class Planner(fanout.Planner):
    """Gives each service its candidate aggregators, in order."""

    def __init__(self, candidates_by_service):
        self.candidates_by_service = candidates_by_service

    def plan(self, caller, limit, excluded):
        shards = [
            snapshots.ShardKey(service, 0)
            for service in self.candidates_by_service
        ]
        pinned = snapshots.PinnedSnapshot(
            snapshots.Snapshot('s', 1, 1), tuple(shards)
        )
        return scatter.Scatter('r', pinned, self.candidates_by_service, limit)


def make_caller():
    return callers.Caller(
        'r', 's', rules.Rank.URGENT, '', time.monotonic() + DEADLINE_S
    )


class LinksCase(unittest.TestCase):
    """Aggregators a1 and a2 of the own zone, b1 and b2 of another zone."""

    def setUp(self):
        generator = random.Random(1)
        self.metrics = telemetry.Metrics()
        self.process_context = types.SimpleNamespace(
            clock=time.monotonic,
            random=generator,
            metrics=self.metrics,
            journal=mock.Mock(),
            tracer=tracing.Tracer('entry', generator, 0),
        )
        self.peers = {name: Peer() for name in ('a1', 'a2', 'b1', 'b2')}
        self.servers = {}
        self.zones = []

    def count(self, name):
        return self.metrics.totals_by_name[name]

    def opened_counts(self):
        return {name: peer.opened_count for name, peer in self.peers.items()}

    def run_links(self, scenario, zones=('a1 a2', 'b1 b2')):
        """Run a scenario with links to aggregators in this process."""

        async def run():
            async with contextlib.AsyncExitStack() as stack:
                for name, peer in self.peers.items():
                    server = daemons.LinkServer('127.0.0.1', 0, peer)
                    self.servers[name] = await curio.spawn(server.serve)
                    stack.push_async_callback(self.servers[name].cancel)
                    self.ports[name] = server.port
                self.links = aggregatorlinks.AggregatorLinks(
                    self.process_context, lambda _: None
                )
                links_task = await curio.spawn(self.links.run)
                stack.push_async_callback(self.links.stop)
                stack.push_async_callback(links_task.cancel)
                await self.links.apply(map(self.zone, zones))
                await curio.sleep(0.05)
                return await scenario()

        self.ports = {}
        return loops.run(run)

    def zone(self, names):
        return [
            routing.Aggregator(name, '127.0.0.1', self.ports[name])
            for name in names.split()
        ]

    async def kill(self, *names):
        """Stop aggregators and abort their links, as a kill does."""
        for name in names:
            await self.servers[name].cancel()
            for link in list(self.peers[name].links):
                await link._abort()

    async def query(self, candidates_by_service):
        query_fanout = fanout.Fanout(
            self.process_context,
            Planner(candidates_by_service),
            self.links,
            make_caller(),
            callers.QuerySpec({}, 10, traced=False),
        )
        return await query_fanout.run()

    async def operate(self, candidates):
        request = wire_pb2.OperationRequest(request_id='r')
        return await forwarding.OperationForwarder(
            self.process_context, self.links, make_caller(), request, candidates
        ).run()

    async def settle(self, *names):
        await loops.until(lambda: self.links.connected == list(names))


class PermanentLinksTest(LinksCase):
    def test_only_the_own_zone_is_dialed(self):
        """Guards against links from every entry to every aggregator."""

        async def scenario():
            await self.settle('a1', 'a2')
            await curio.sleep(3 * dialing.RETRY_S)

        self.run_links(scenario)
        self.assertEqual(
            self.opened_counts(), {'a1': 1, 'a2': 1, 'b1': 0, 'b2': 0}
        )

    def test_empty_own_zone_is_replaced(self):
        """Guards against an entry that receives no holdings."""

        async def scenario():
            await self.settle('b1', 'b2')

        self.run_links(scenario, zones=('', 'b1 b2'))

    def test_lost_zone_is_replaced_at_once(self):
        """Guards against an unready entry while another zone can serve it."""

        async def scenario():
            await self.settle('a1', 'a2')
            await self.kill('a1', 'a2')
            started_at = time.monotonic()
            await self.settle('b1', 'b2')
            self.assertLess(time.monotonic() - started_at, 0.5)

        self.run_links(scenario)

    def test_zone_with_a_lost_aggregator_is_supplemented(self):
        """Guards against missing holdings of a dead owner's services.

        The standby reports a service only after it has received a request.
        """

        async def scenario():
            await self.kill('a1')
            await self.settle('a2')
            await curio.sleep(0.05)
            self.assertEqual(self.opened_counts()['b1'], 0)
            await self.settle('a2', 'b1', 'b2')

        with mock.patch.object(dialing, 'SUBSTITUTE_AFTER_S', 0.3):
            self.run_links(scenario)

    def test_process_that_sends_nothing_is_not_connected(self):
        """Guards against readiness and requests through a stopped process."""
        self.peers['a1'].is_responsive = False

        async def scenario():
            await curio.sleep(0.1)
            self.assertEqual(self.links.connected, [])
            await self.settle('b1', 'b2')
            self.assertNotIn('a1', self.links.usable())

        with mock.patch.object(aggregatorlinks, 'FIRST_FRAME_TIMEOUT_S', 0.1):
            self.run_links(scenario, zones=('a1', 'b1 b2'))

    def test_delisted_aggregator_keeps_its_answer(self):
        """Guards against an answer that a change of the ranking loses.

        The aggregator receives the request before the ranking changes.
        """
        self.peers['a1'].answer_delay_s = 0.1

        async def scenario():
            await self.settle('a1', 'a2')
            task = await curio.spawn(self.query, {'s': ['a1']})
            await loops.until(lambda: self.peers['a1'].requests)
            await self.links.apply([self.zone('a2')])
            finished = await task.join()
            await loops.until(lambda: not self.peers['a1'].links)
            return finished

        self.assertTrue(self.run_links(scenario).is_complete)

    def test_stopped_links_are_not_dialed_again(self):
        """Guards against a crash at the end of a planned stop.

        Links that end with the event loop must not cause new dials.
        """

        async def scenario():
            await self.settle('a1', 'a2')
            await self.links.stop()
            await self.links.apply([self.zone('a1 a2')])
            await curio.sleep(2 * dialing.RETRY_S)
            self.assertEqual(self.links.connected, [])

        self.run_links(scenario)
        self.assertEqual(
            self.opened_counts(), {'a1': 1, 'a2': 1, 'b1': 0, 'b2': 0}
        )


class DialTest(LinksCase):
    def test_query_fails_over_to_another_zone(self):
        """Guards against missing shards that another zone could serve."""

        async def scenario():
            return await self.query({'s': ['dead', 'b1']})

        self.assertTrue(self.run_links(scenario).is_complete)
        self.assertEqual(self.count('link.demand_dials'), 1)
        self.assertEqual(self.opened_counts()['b1'], 1)

    def test_operation_is_forwarded_after_a_failed_dial(self):
        """Guards against a failure although nothing was sent yet."""

        async def scenario():
            await self.kill('b1')
            await self.operate(['b1', 'b2'])
            self.assertNotIn('b1', self.links.usable())

        self.run_links(scenario)
        self.assertEqual(len(self.peers['b2'].requests), 1)
        self.assertEqual(self.count('link.demand_failed'), 1)

    def test_hanging_dial_delays_nothing_else(self):
        """Guards against a dial that uses up the deadline.

        The dial must not delay the other messages of its query either.
        """
        self.peers['b1'].is_responsive = False

        async def scenario():
            started_at = time.monotonic()
            task = await curio.spawn(
                self.query, {'s': ['b1', 'b2'], 't': ['a1']}
            )
            await loops.until(lambda: self.peers['a1'].requests)
            self.assertLess(time.monotonic() - started_at, DIAL_TIMEOUT_S / 2)
            finished = await task.join()
            duration_s = time.monotonic() - started_at
            self.assertNotIn('b1', self.links.usable())
            await self.peers['b1'].send_holdings()
            await self.settle('a1', 'a2', 'b1', 'b2')
            return finished, duration_s

        finished, duration_s = self.run_links(scenario)
        self.assertTrue(finished.is_complete)
        self.assertGreaterEqual(duration_s, DIAL_TIMEOUT_S * 0.9)
        self.assertLess(duration_s, 2 * DIAL_TIMEOUT_S)
        self.assertEqual(self.peers['b1'].requests, [])

    def test_operation_after_a_hanging_dial_has_the_remaining_budget(self):
        """Guards against a budget that includes the time of the dial."""
        self.peers['b1'].is_responsive = False

        async def scenario():
            await self.operate(['b1', 'b2'])

        self.run_links(scenario)
        budget_s = self.peers['b2'].requests[0].budget_ms / 1000
        self.assertLessEqual(budget_s, DEADLINE_S - DIAL_TIMEOUT_S * 0.9)
        self.assertEqual(self.peers['b1'].requests, [])

    def test_requests_share_one_dial(self):
        """Guards against a connection for each waiting request."""

        async def scenario():
            async with curio.TaskGroup() as group:
                tasks = [
                    await group.spawn(self.query, {'s': ['b1']})
                    for _ in range(10)
                ]
            return [task.result.is_complete for task in tasks]

        self.assertTrue(all(self.run_links(scenario)))
        self.assertEqual(self.opened_counts()['b1'], 1)
        self.assertEqual(self.count('link.demand_dials'), 1)

    def test_ended_query_sends_nothing_after_its_dial(self):
        """Guards against work for a cancelled query."""
        self.peers['b1'].is_responsive = False

        async def scenario():
            task = await curio.spawn(self.query, {'s': ['b1']})
            await curio.sleep(0.05)
            await task.cancel()
            await self.peers['b1'].send_holdings()
            await curio.sleep(0.05)

        self.run_links(scenario)
        self.assertEqual(self.peers['b1'].requests, [])

    def test_leaving_aggregator_gets_nothing_until_it_is_back(self):
        """Guards against work for an aggregator that announced its stop."""

        async def scenario():
            await self.query({'s': ['b1']})
            leaving = wire_pb2.Envelope(going_away=wire_pb2.GoingAway())
            await self.peers['b1'].links[0].post(leaving)
            await loops.until(lambda: 'b1' not in self.links.usable())
            await self.peers['b1'].links[0].close()
            await loops.until(lambda: 'b1' in self.links.usable())

        self.run_links(scenario)


class IdleTest(LinksCase):
    def run_idle(self, scenario):
        with mock.patch.multiple(
            aggregatorlinks, IDLE_TIMEOUT_S=0.2, _IDLE_CHECK_INTERVAL_S=0.05
        ):
            return self.run_links(scenario)

    def test_idle_link_is_closed_and_dialed_again(self):
        """Guards against links of other zones that are never closed."""

        async def scenario():
            await self.query({'s': ['b1']})
            await self.settle('a1', 'a2')
            await loops.until(lambda: not self.peers['b1'].links)
            finished = await self.query({'s': ['b1']})
            await loops.until(lambda: not self.peers['b1'].links)
            return finished

        self.assertTrue(self.run_idle(scenario).is_complete)
        self.assertEqual(self.count('link.idle_closed'), 2)
        self.assertEqual(self.opened_counts()['a1'], 1)

    def test_idle_link_with_an_outstanding_answer_stays_open(self):
        """Guards against closing an idle link before an outstanding answer."""
        self.peers['b1'].answer_delay_s = 0.5

        async def scenario():
            finished = await self.query({'s': ['b1']})
            await loops.until(lambda: not self.peers['b1'].links)
            return finished

        self.assertTrue(self.run_idle(scenario).is_complete)
        self.assertEqual(self.opened_counts()['b1'], 1)


class LongIntervalTest(LinksCase):
    """Links of a process that pings idle links at long intervals."""

    def run_long(self, scenario):
        with mock.patch.multiple(
            liveness, SHORT_INTERVAL_LINKS=0, INTERVAL_GROWTH_S=60
        ):
            return self.run_links(scenario)

    def test_idle_link_stays_open_and_usable(self):
        """Guards against closing a link that needs no ping yet."""

        async def scenario():
            await self.settle('a1', 'a2')
            await curio.sleep(liveness.SILENCE_LIMIT_S + 0.7)
            self.assertEqual(self.links.connected, ['a1', 'a2'])
            self.assertIn('a1', self.links.usable())

        self.run_long(scenario)
        self.assertEqual(self.peers['a1'].ping_count, 0)

    def test_outstanding_query_detects_silent_peer(self):
        """Guards against queries sent to a dead aggregator for long."""

        async def scenario():
            await self.settle('a1', 'a2')
            await curio.sleep(1.2)
            self.peers['a1'].is_responsive = False
            self.peers['a1'].answer_delay_s = 10
            started_at = time.monotonic()
            query = await curio.spawn(self.query, {'s': ['a1', 'a2']})
            await loops.until(lambda: 'a1' not in self.links.usable(), 0.8)
            finished = await query.join()
            await loops.until(lambda: 'a1' not in self.links.connected)
            return finished, time.monotonic() - started_at

        finished, duration_s = self.run_long(scenario)
        self.assertTrue(finished.is_complete)
        self.assertLess(duration_s, liveness.SILENCE_LIMIT_S)

    def test_answers_replace_pings(self):
        """Guards against pings on links with regular answers."""

        async def scenario():
            await self.settle('a1', 'a2')
            for _ in range(8):
                await self.query({'s': ['a1']})
                await curio.sleep(0.4)

        self.run_long(scenario)
        self.assertEqual(self.peers['a1'].ping_count, 0)

    def test_ends_exchange_their_intervals(self):
        """Guards against idle pings that ignore the interval of the peer."""
        post = mock.AsyncMock()
        link = mock.Mock(spec=links.Link)
        link.post = post
        handler = aggregatorlinks.AggregatorLinks(self.process_context, None)

        async def scenario():
            ping = wire_pb2.Ping(nonce=7, interval_ms=57_000)
            await handler.on_ping(link, ping)
            handler.on_pong(link, wire_pb2.Pong(interval_ms=3000))

        loops.run(scenario)
        pong = post.await_args.args[0].pong
        self.assertEqual((pong.nonce, pong.interval_ms), (7, 1000))
        self.assertEqual(
            link.set_peer_interval.call_args_list,
            [mock.call(57.0), mock.call(3.0)],
        )
        self.assertEqual(handler.make_ping().ping.interval_ms, 1000)

    def test_entry_with_a_query_in_progress_is_monitored(self):
        """Guards against work that continues for a dead entry."""
        program = aggregator.Aggregator(self.process_context, mock.Mock())
        link = mock.AsyncMock(spec=links.Link)
        query = wire_pb2.QueryRequest(attempt_id=1, budget_ms=1000)

        async def scenario():
            await program.on_opened(link)
            before = program.has_outstanding_work(link)
            await program.on_message(link, wire_pb2.Envelope(query=query))
            during = program.has_outstanding_work(link)
            await program.on_closed(link)
            return before, during, program.has_outstanding_work(link)

        self.assertEqual(loops.run(scenario), (False, True, False))
        link.monitor_peer.assert_awaited_once_with()


class ScheduleTest(unittest.TestCase):
    def test_dials_back_off_with_jitter_and_a_limit(self):
        """Guards against simultaneous dials, and against ever longer delays."""
        backoff = dialing.Backoff(random.Random(1))
        delays = []
        for _ in range(2000):
            backoff.record_failure(0)
            delays.append(
                next(
                    step / 100
                    for step in itertools.count()
                    if backoff.allows_dial(step / 100)
                )
            )
        self.assertLessEqual(delays[0], dialing.RETRY_S)
        self.assertLessEqual(max(delays), dialing.MAX_RETRY_S)
        self.assertGreater(len(set(delays[10:])), 100)
        backoff.record_success()
        self.assertTrue(backoff.allows_dial(0))


class EntryTest(unittest.TestCase):
    def test_other_zones_of_the_region_follow_the_own_zone(self):
        """Guards against permanent links to another region."""
        process_context = types.SimpleNamespace(
            settings={
                'host': {'availability_zone': 'z2', 'region': 'south'},
                'process_id': 'entry',
            },
            clock=time.monotonic,
            random=random.Random(1),
            metrics=telemetry.Metrics(),
            journal=mock.Mock(),
        )
        regions = {'z1': 'south', 'z2': 'south', 'z3': 'north'}
        new_configuration = configuration.Configuration(
            1, 'p', register.Register(regions, {}, {}, {}, {}), None, {}
        )
        program = entry.Entry(process_context)
        apply = mock.AsyncMock()
        zones = {
            zone: [routing.Aggregator(f'{zone}-1', '127.0.0.1', 1)]
            for zone in regions
        }

        async def scenario():
            with mock.patch.object(program.aggregators, 'apply', apply):
                await program.on_zones_changed(zones)
                await program.on_configuration_changed(new_configuration)
            with self.assertRaises(errors.NotReady):
                await program.handle(
                    webhandler.Request('GET', '/v1/ready', {}, b'')
                )

        loops.run(scenario)
        self.assertEqual(
            [call.args for call in apply.await_args_list],
            [
                ([zones['z2'], zones['z1'], zones['z3']], []),
                ([zones['z2'], zones['z1']], zones['z3']),
            ],
        )
