"""Limits on what clients hold: sizes, choice of connections, turns."""

import socket
import time
import unittest
from unittest import mock

import curio
from curio import io as curio_io

from cardamomflow import errors, links
from cardamomflow.generated import wire_pb2
from cardamomflow.heldbytes import (
    budget,
    framing,
    guard,
    sizing,
    turnqueue,
    turns,
)
from standins import users
from tests import hostworld, loops

LIMIT_BYTES = 1_600_000
BODY_BYTES = 100_000
SMALL_BYTES = 10_000
MB = 1_048_576


class _Holder(budget.Holder):
    def __init__(self, sender, now):
        super().__init__(sender, now)
        self.causes = []

    async def evict(self, cause):
        self.causes.append(cause)


class _BudgetTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.limits = sizing.Limits(
            held_bytes=LIMIT_BYTES, connections=4, descriptors=64
        )
        self.budget = budget.Budget(self.limits, lambda: self.now)

    def add(self, sender, size=0, kind=budget.Kind.BODY, waited_s=0.0):
        """Return a new holder and the holders that its bytes evict."""
        holder = _Holder(sender, self.now - waited_s)
        self.budget.open(holder)
        return holder, self.budget.hold(holder, kind, size)

    def fill(self, sender, count, **options):
        return [
            self.add(sender, BODY_BYTES, **options)[0] for _ in range(count)
        ]


class BudgetTest(_BudgetTest):
    """Choice of the connections that lose their bytes."""

    def test_bytes_under_the_limit_evict_nobody(self):
        """Guards against a client that is refused in calm conditions."""
        self.fill('a', 13)
        _, evicted = self.add('a', SMALL_BYTES)
        self.assertEqual(evicted, [])

    def test_connection_without_progress_is_chosen(self):
        """Guards against a budget that refuses whoever comes next."""
        progressing = self.fill('a', 6)
        stalled = self.fill('a', 8, waited_s=5.0)
        newest, evicted = self.add('a', BODY_BYTES)
        self.assertTrue(evicted)
        self.assertLessEqual(set(evicted), set(stalled))
        self.assertNotIn(newest, evicted)
        self.assertTrue(all(each.held_bytes for each in progressing))
        self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)

    def test_sender_with_the_most_bytes_loses_them(self):
        """Guards against a crowd that costs other senders their requests."""
        slow = self.fill('ordinary', 2, waited_s=5.0)
        self.fill('crowd', 12)
        _, evicted = self.add('ordinary', BODY_BYTES)
        self.assertEqual({each.sender for each in evicted}, {'crowd'})
        self.assertTrue(all(each.held_bytes for each in slow))

    def test_small_requests_have_a_reserve(self):
        """Guards against large bodies that push out ordinary requests."""
        small = [self.add('a', SMALL_BYTES, waited_s=9.0)[0] for _ in range(15)]
        for _ in range(50):
            _, evicted = self.add('a', BODY_BYTES)
            self.assertFalse(set(evicted) & set(small))
        self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)

    def test_small_requests_are_bounded_too(self):
        """Guards against memory without bound in small pieces."""
        for _ in range(400):
            self.add('a', SMALL_BYTES)
        self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)

    def test_counts_return_to_zero(self):
        """Guards against bytes that count after their connection."""
        holders = self.fill('a', 20)
        for holder in holders:
            self.budget.close(holder)
            self.budget.close(holder)
            self.assertEqual(
                self.budget.hold(holder, budget.Kind.BODY, BODY_BYTES), []
            )
        self.assertEqual(self.budget.held_bytes, 0)
        self.assertEqual(set(self.budget.bytes_by_kind.values()), {0})
        self.assertEqual(self.budget.connection_count, 0)
        self.assertEqual(self.budget._holders_by_sender, {})

    def test_surplus_is_of_the_sender_with_the_most_connections(self):
        """Guards against a crowd that closes other senders' connections."""
        kind = budget.Kind.IDLE
        self.add('ordinary', kind=kind, waited_s=50.0)
        oldest, _ = self.add('crowd', kind=kind, waited_s=9.0)
        self.add('crowd', kind=kind)
        self.assertEqual(self.budget.choose_surplus(), [oldest])

    def test_many_small_senders_cost_no_other_its_request(self):
        """Guards against an ordinary caller that is the largest sender."""
        for number in range(50):
            self.add(f'crowd-{number}', BODY_BYTES // 4, waited_s=1.0)
        ordinary = self.fill('ordinary', 1)
        _, evicted = self.add('crowd-50', BODY_BYTES, waited_s=1.0)
        self.assertTrue(evicted)
        self.assertFalse(set(evicted) & set(ordinary))

    def test_many_small_senders_cost_no_other_its_connection(self):
        """Guards against an ordinary caller with the most connections."""
        kind = budget.Kind.IDLE
        for number in range(50):
            self.add(f'crowd-{number}', kind=kind, waited_s=1.0)
        ordinary = {self.add('ordinary', kind=kind)[0] for _ in range(3)}
        self.assertFalse(set(self.budget.choose_surplus()) & ordinary)

    def test_a_byte_from_time_to_time_is_no_progress(self):
        """Guards against stalled connections that a few bytes renew."""
        stalled = self.fill('a', 8, waited_s=5.0)
        for holder in stalled:
            holder.record_progress(self.now, 1)
        progressing = self.fill('a', 6, waited_s=5.0)
        for holder in progressing:
            holder.record_progress(self.now, 10 * budget.PROGRESS_BYTES_PER_S)
        _, evicted = self.add('a', BODY_BYTES)
        self.assertTrue(evicted)
        self.assertLessEqual(set(evicted), set(stalled))

    def test_request_that_may_have_run_is_chosen_last(self):
        """Guards against outcomes that callers can't know."""
        kind = budget.Kind.REQUEST
        sent = self.fill('a', 2, kind=kind)
        for holder in sent:
            holder.was_sent = True
        for holder in self.fill('a', 10, kind=kind):
            holder.was_sent = False
        _, evicted = self.add('a', 3 * BODY_BYTES, kind=budget.Kind.BODY)
        self.assertTrue(evicted)
        self.assertFalse(set(evicted) & set(sent))

    def test_evicted_connection_is_no_surplus_again(self):
        """Guards against a refusal that is cut before its caller has it."""
        kind = budget.Kind.BODY
        refused = [self.add('a', kind=kind, waited_s=9.0)[0] for _ in range(4)]
        self.assertTrue(self.budget.has_surplus())
        self.budget.mark_ending(refused[0])
        self.budget.mark_ending(refused[0])
        self.assertEqual(self.budget.lasting_count, 3)
        self.assertNotIn(refused[0], self.budget.choose_surplus())
        self.budget.close(refused[0])
        self.assertFalse(self.budget.has_surplus())
        self.assertEqual(self.budget.lasting_count, 3)

    def test_fresh_connection_is_no_surplus_without_need(self):
        """Guards against a crowd of newcomers that costs each its request."""
        kind = budget.Kind.IDLE
        self.add('a', kind=kind)
        self.assertEqual(self.budget.choose_surplus(is_urgent=False), [])
        stalled, _ = self.add('a', kind=kind, waited_s=budget.STALLED_S)
        queued, _ = self.add('a', kind=kind, waited_s=budget.STALLED_S)
        queued.waits_for_turn = True
        self.assertEqual(self.budget.choose_surplus(is_urgent=False), [stalled])

    def test_queued_request_is_surplus_after_a_while(self):
        """Guards against queued requests that keep out all later callers."""
        kind = budget.Kind.REQUEST
        sent, queued, recent = [
            self.add('a', kind=kind, waited_s=waited_s)[0]
            for waited_s in (9.0, budget.QUEUED_S, 0.5)
        ]
        sent.was_sent = True
        queued.was_sent = False
        recent.was_sent = False
        self.assertEqual(self.budget.choose_surplus(is_urgent=False), [queued])

    def test_request_in_progress_is_no_surplus(self):
        """Guards against a request that is cut for an idle connection."""
        self.add('a', kind=budget.Kind.REQUEST, waited_s=9.0)
        self.assertEqual(self.budget.choose_surplus(), [])


class GuardTest(_BudgetTest):
    """Applied decisions."""

    def setUp(self):
        super().setUp()
        self.guard = guard.Guard(self.limits, clock=lambda: self.now)
        self.budget = self.guard.budget

    def test_parts_of_an_answer_count_for_the_request(self):
        """Guards against answers that nothing counts."""
        holder, _ = self.add('a', kind=budget.Kind.REQUEST)

        async def scenario():
            for _ in range(20):
                holder.uncounted_bytes += BODY_BYTES
                await self.guard.count_parts(holder)

        loops.run(scenario)
        self.assertEqual(holder.causes[0], budget.Cause.BYTES)

    def test_one_line_a_second_for_each_cause(self):
        """Guards against a crowd that fills the log."""
        journal = mock.Mock()
        client_guard = guard.Guard(self.limits, journal, clock=lambda: self.now)
        holder = _Holder('a', self.now)
        for _ in range(50):
            client_guard.record(holder, budget.Cause.BYTES)
        client_guard.record(holder, budget.Cause.FRAMING)
        self.now += guard.LOG_INTERVAL_S
        client_guard.record(holder, budget.Cause.BYTES)
        lines = [
            (call.kwargs['cause'], call.kwargs['left_out'])
            for call in journal.warning.call_args_list
        ]
        self.assertEqual(lines, [('bytes', 0), ('framing', 0), ('bytes', 49)])


class LinkTest(unittest.TestCase):
    """Requests of another host for parts."""

    def test_requests_count_for_their_link(self):
        """Guards against requests of other hosts that nothing counts."""

        async def scenario():
            client_guard = guard.Guard(sizing.Limits(held_bytes=MB))
            own, peer = socket.socketpair()
            link = links.Link(
                curio_io.Socket(own),
                wire_pb2.Envelope,
                mock.Mock(),
                client_guard,
            )
            client_guard.budget.open(link)
            with peer:
                await link.add_work(BODY_BYTES)
                held_bytes = [client_guard.budget.held_bytes]
                await link.add_work(-BODY_BYTES)
                held_bytes.append(client_guard.budget.held_bytes)
                self.assertTrue(link.is_open)
                await link.add_work(MB)
                own.close()
            return held_bytes, link.is_open

        self.assertEqual(loops.run(scenario), ([BODY_BYTES, 0], False))

    def test_small_messages_are_progress(self):
        """Guards against links of other hosts that are evicted first."""

        async def scenario():
            own, peer = socket.socketpair()
            handler = mock.Mock(on_message=mock.AsyncMock())
            link = links.Link(
                curio_io.Socket(own),
                wire_pb2.Envelope,
                handler,
                guard.Guard(sizing.Limits()),
            )
            link.progressed_at -= 30
            with own, peer:
                await link._dispatch(iter((wire_pb2.Envelope(),)))
            return link.is_stalled(time.monotonic())

        self.assertFalse(loops.run(scenario))


class LargeMessageTest(unittest.TestCase):
    """Messages whose bodies are released early."""

    def test_large_bodies_are_passed_on_whole(self):
        """Guards against a body that is released before it is sent."""
        body = bytes(range(256)) * 350

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.records = body
            statement = await world.send_request('/statement/x')
            payment = await world.send_request('/payment/x', 'POST', body)
            backend = world.backends_by_id['a0']
            backend.status = 500
            failure = await world.send_request('/statement/x')
            return statement, payment, failure, backend.ran

        *answers, ran = hostworld.run_scenario(
            scenario, services=('a',), replicas=1
        )
        statuses = [answer.status for answer in answers]
        self.assertEqual(statuses, [200, 200, 500])
        self.assertEqual({answer.body for answer in answers}, {body})
        self.assertIn(body, [request.body for request in ran])


class SizingTest(unittest.TestCase):
    """Limits of the smallest and largest machines of the users."""

    def derive(self, **fields):
        return sizing.derive(users.host_settings('h', 'z', 1, **fields))

    def test_limits_fit_the_machine(self):
        """Guards against limits that together exceed the memory."""
        for memory_mb in (96, 152, 200, 552, 4096):
            limits = self.derive(memory_mb=memory_mb, max_descriptors=1535)
            counted = limits.held_bytes + limits.answer_bytes
            connections = limits.connections * sizing.CONNECTION_BYTES
            with self.subTest(memory_mb):
                self.assertLessEqual(
                    sizing.BASE_BYTES + 1.5 * counted + connections,
                    memory_mb * MB,
                )
                self.assertLess(limits.descriptors, 1535)

    def test_smallest_machine_serves_the_largest_messages(self):
        """Guards against a single legal message over the limits."""
        limits = self.derive(memory_mb=152, max_descriptors=1535)
        self.assertGreater(limits.answer_bytes, 16_777_216)
        self.assertGreater(limits.held_bytes * 7 // 8, 16_777_216)

    def test_limits_of_the_settings_are_in_force(self):
        """Guards against settings that change nothing."""
        clients = {
            'min_read_bytes_per_s': 7,
            'max_head_pieces': 17,
            'framing_allowance_bytes': 1025,
        }
        self.assertEqual(self.derive(clients=clients)[4:], (7, 17, 1025))

    def test_settings_without_memory_have_fixed_limits(self):
        """Guards against deployments that are limited without asking."""
        limits = self.derive()
        self.assertEqual(limits.held_bytes, sizing.DEFAULT_HELD_BYTES)
        self.assertEqual(limits.connections, sizing.DEFAULT_CONNECTIONS)


class ChunkMeterTest(unittest.TestCase):
    """Bodies in chunks that carry much or little."""

    def record(self, count, size, extension=0):
        meter = framing.ChunkMeter(sizing.DEFAULT_FRAMING_ALLOWANCE_BYTES)
        for _ in range(count):
            meter.received_bytes += size + extension
            meter.record(size)

    def test_ordinary_chunks(self):
        """Guards against a legal body that is refused."""
        self.record(16_000, 2)
        self.record(100_000, 5)
        self.record(100, 65_536)

    def test_chunks_that_carry_nothing(self):
        """Guards against bodies that cost only the server."""
        for count, size, extension in ((6000, 1, 0), (40, 1, 10_000)):
            with (
                self.subTest(size=size, extension=extension),
                self.assertRaises(errors.RequestFragmented),
            ):
                self.record(count, size, extension)


class FragmentedBodyTest(unittest.TestCase):
    """Bodies inside the limits in chunks of one byte each."""

    def test_single_one_is_served_and_a_second_is_not_run(self):
        """Guards against a legal request that is refused in calm."""
        chunks = b'1\r\nx\r\n' * 8000
        head = (
            b'POST /payment/x HTTP/1.1\r\n'
            b'host: shop.example\r\n'
            b'x-request-id: r1\r\n'
            b'x-request-deadline: 9000\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
        )

        async def read_status(sock):
            return int((await sock.recv(65_536)).split(b' ', 2)[1])

        async def scenario(world):
            port = world.callers_port
            first, second = [
                await links.open_socket('127.0.0.1', port, 1.0)
                for _ in range(2)
            ]
            async with first, second:
                await first.sendall(head + chunks)
                await loops.until(lambda: guard_of(world)._fragmented)
                await second.sendall(head + chunks)
                refused = await read_status(second)
                await first.sendall(b'0\r\n\r\n')
                served = await read_status(first)
            return served, refused, len(world.backends_by_id['a0'].ran)

        def guard_of(world):
            return world.parts.caller_server._guard

        served, refused, run_count = hostworld.run_scenario(
            scenario, services=('a',), replicas=1
        )
        self.assertEqual((served, refused, run_count), (200, 503, 1))


class TurnsTest(unittest.TestCase):
    """Connections with many events in a block, or many blocks."""

    def test_connections_share_the_turns_for_many_events(self):
        """Guards against a delay that grows with such connections."""
        events_by_turn = [0]

        async def parse(scheduler):
            own_turns = turns.Turns(scheduler)
            for _ in range(10 * turns.EVENTS_IN_A_TURN):
                events_by_turn[-1] += 1
                if own_turns.record_event():
                    await own_turns.wait_for_fragment()

        async def watch():
            while True:
                events_by_turn.append(0)
                await curio.sleep(0)

        async def scenario():
            scheduler = turns.Scheduler()
            watcher = await curio.spawn(watch)
            async with curio.TaskGroup() as group:
                for _ in range(8):
                    await group.spawn(parse, scheduler)
            await watcher.cancel()

        loops.run(scenario)
        # Each connection has one turn before it waits for others.
        late_turns = events_by_turn[5:]
        self.assertEqual(sum(events_by_turn), 80 * turns.EVENTS_IN_A_TURN)
        self.assertLessEqual(max(late_turns), 2 * turns.EVENTS_IN_A_TURN)


class TurnQueueTest(unittest.TestCase):
    """Order of the connections that wait for a turn."""

    def setUp(self):
        self.queue = turnqueue.TurnQueue(2, max_waiting=3)

    def serve(self, *flows):
        """Let connections take many turns."""
        for _ in range(50):
            self.queue.start_round()
            for flow in flows:
                self.assertTrue(self.queue.take(flow))

    def test_turns_of_a_round_are_bounded(self):
        """Guards against a round that grows with the connections."""
        flows = [turnqueue.Flow() for _ in range(3)]
        taken = [self.queue.take(flow) for flow in flows]
        self.assertEqual(taken, [True, True, False])
        self.queue.start_round()
        self.assertTrue(self.queue.take(flows[2]))

    def test_new_connection_passes_those_that_never_pause(self):
        """Guards against an ordinary request behind a whole crowd."""
        crowd = [turnqueue.Flow() for _ in range(2)]
        self.serve(*crowd)
        for flow in crowd:
            self.queue.add(flow, flow)
        ordinary = turnqueue.Flow()
        self.queue.add(ordinary, ordinary)
        self.assertEqual(self.queue.start_round(), [ordinary, crowd[0]])

    def test_connection_that_never_pauses_gets_turns(self):
        """Guards against turns that only new connections get."""
        busy = turnqueue.Flow()
        self.serve(busy)
        self.queue.add(busy, 'busy')
        served = []
        for _ in range(8):
            for number in range(2):
                flow = turnqueue.Flow()
                flow.start = busy.start - 1
                self.queue.add(flow, (len(served), number))
            served += self.queue.start_round()
        self.assertIn('busy', served)

    def test_connection_with_the_most_turns_is_dropped(self):
        """Guards against a queue without bound, or closed to newcomers."""
        busy = turnqueue.Flow()
        self.serve(busy)
        self.assertIsNone(self.queue.add(busy, 'busy'))
        for number in range(2):
            self.assertIsNone(self.queue.add(turnqueue.Flow(), number))
        self.assertEqual(self.queue.add(turnqueue.Flow(), 'new'), 'busy')
        self.assertEqual(self.queue.waiting_count, 3)

    def test_removed_connection_takes_no_turn(self):
        """Guards against turns that nobody uses."""
        for number in range(3):
            self.queue.add(turnqueue.Flow(), number)
        self.queue.remove(0)
        self.assertEqual(self.queue.start_round(), [1, 2])
        self.queue.remove(1)
        self.assertEqual(self.queue.waiting_count, 0)
