"""The host program against the users' platform, over real sockets."""

import time
import unittest
from unittest import mock

import curio

from cardamomflow import discovery
from tests import hostworld, loops

# Target and method for one route that may not be repeated, and one that may.
ROUTES = (('/payment/x', 'POST'), ('/statement/x', 'GET'))


class AnswerTest(unittest.TestCase):
    def test_parts_are_merged_and_named(self):
        """Guards against lost records and parts missing from the headers."""

        async def scenario(world):
            for number, backend in enumerate(world.backends_by_id.values()):
                backend.records = hostworld.record(number // 2)
            return await world.send_request('/lookup/x?q=1')

        answer = hostworld.run_scenario(scenario)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, hostworld.record(1) + hostworld.record(0))
        self.assertEqual(answer.headers['x-missing-parts'], '0')
        self.assertEqual(len(answer.headers['x-part-stamps'].split(',')), 2)

    def test_request_arrives_as_it_was_sent(self):
        """Guards against changed paths, bodies, ids and longer deadlines."""

        async def scenario(world):
            answer = await world.send_request(
                '/payment/x?q=%41', 'POST', b'pay', request_id='p7'
            )
            received = [
                request
                for backend in world.backends_by_id.values()
                for request in backend.ran
            ]
            return answer, received

        answer, (request,) = hostworld.run_scenario(scenario)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers['x-request-id'], 'p7')
        self.assertIn('x-response-seal', answer.headers)
        self.assertEqual(request.method, 'POST')
        self.assertEqual(request.path, '/payment/x?q=%41')
        self.assertEqual(request.body, b'pay')
        self.assertEqual(request.headers['x-request-id'], 'p7')
        self.assertEqual(request.headers['host'], 'shop.example')
        self.assertLessEqual(int(request.headers['x-request-deadline']), 2000)

    def test_pausing_shard_is_left_out_at_the_target(self):
        """Guards against an answer that is delayed by one shard."""

        async def scenario(world):
            for backend_id in ('b0', 'b1'):
                world.backends_by_id[backend_id].pause_s = 5
            return await world.send_request('/lookup/x')

        answer = hostworld.run_scenario(scenario)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers['x-missing-parts'], '1')
        self.assertEqual(len(answer.headers['x-part-stamps'].split(',')), 1)

    def test_refused_payment_is_sent_to_another_backend_server(self):
        """Guards against a payment that is lost to a full backend server."""

        async def scenario(world):
            world.backends_by_id['a0'].refuses = True
            # The budget of five requests covers five repeats.
            answers = [
                await world.send_request('/payment/x', 'POST', b'pay')
                for _ in range(5)
            ]
            return [answer.status for answer in answers]

        self.assertEqual(set(hostworld.run_scenario(scenario)), {200})

    def test_payment_refused_by_all_is_not_run(self):
        """Guards against an error that leaves open whether a payment ran."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.refuses = True
            return await world.send_request('/payment/x', 'POST', b'pay')

        answer = hostworld.run_scenario(scenario)
        self.assertEqual(answer.status, 503)
        self.assertEqual(hostworld.error_code(answer), 'no_replica')
        self.assertGreater(float(answer.headers['retry-after']), 0)

    def check_failure_after_a_run(self, target, method, status):
        """Return the answer to a request that a backend server ran."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.status = status
            answer = await world.send_request(target, method)
            ran_count = sum(
                len(backend.ran) for backend in world.backends_by_id.values()
            )
            return answer, ran_count

        answer, ran_count = hostworld.run_scenario(scenario)
        self.assertGreater(ran_count, 0)
        return answer

    def test_status_that_promises_no_run_is_not_passed_on_after_one(self):
        """Guards against a payment that runs again after a false refusal."""
        for status in (408, 429, 503):
            for target, method in ROUTES:
                with self.subTest(status=status, target=target):
                    answer = self.check_failure_after_a_run(
                        target, method, status
                    )
                    self.assertEqual(answer.status, 502)
                    code = hostworld.error_code(answer)
                    self.assertEqual(code, 'backend_failed')

    def test_other_failures_are_passed_on(self):
        """Guards against a failure that hides what the backend answered."""
        answer = self.check_failure_after_a_run('/payment/x', 'POST', 500)
        self.assertEqual(answer.status, 500)
        self.assertIn('x-response-seal', answer.headers)

    def test_payment_without_an_answer_has_an_unknown_outcome(self):
        """Guards against the outcome not run for a payment that ran."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.pause_s = 5
            answer = await world.send_request(
                '/payment/x', 'POST', b'pay', deadline_ms=300
            )
            received = sum(
                len(backend.ran) for backend in world.backends_by_id.values()
            )
            return answer, received

        answer, received = hostworld.run_scenario(scenario)
        self.assertEqual(answer.status, 504)
        self.assertEqual(received, 1)

    def test_failed_send_is_repeated(self):
        """Guards against a request that waits until its deadline.

        A backend server closes an idle connection in the same cycle of the
        event loop, and the attempt is counted as cancelled.
        """

        async def scenario(world):
            await world.send_request('/statement/x')
            (idle_connection,) = [
                connection
                for connections in world.host.transport._idle_by_id.values()
                for connection in connections
            ]
            with mock.patch.object(
                idle_connection._sock, '_send_now', side_effect=BrokenPipeError
            ):
                answers = [
                    await world.send_request('/statement/x') for _ in range(2)
                ]
            return {answer.status for answer in answers}

        self.assertEqual(hostworld.run_scenario(scenario), {200})

    def test_answer_for_another_request_is_not_passed_on(self):
        """Guards against a caller that gets the answer of another request."""

        async def scenario(world):
            world.backends_by_id['a0'].answers_for = 'other'
            return [await world.send_request('/statement/x') for _ in range(6)]

        for answer in hostworld.run_scenario(scenario):
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.headers['x-response-seal'].startswith('a1'))

    def test_request_in_progress_is_answered_before_the_stop(self):
        """Guards against a stop that cuts off a request with a long time."""

        async def scenario(world):
            world.backends_by_id['a0'].pause_s = 5
            world.backends_by_id['a1'].pause_s = 5
            payment_task = await curio.spawn(
                world.send_request, '/payment/x', 'POST', b'pay'
            )
            await loops.until(lambda: world.host.active_requests.count)
            await world.host.stop_by(time.monotonic() + 0.2)
            payment = await payment_task.join()
            return payment, await world.send_request('/statement/x')

        payment, late = hostworld.run_scenario(scenario)
        self.assertEqual(payment.status, 504)
        self.assertEqual(late.status, 503)
        self.assertEqual(hostworld.error_code(late), 'stopping')

    def test_unknown_path_and_missing_id_are_refused(self):
        """Guards against requests that are routed to the wrong service."""

        async def scenario(world):
            unrouted = await world.send_request('/nowhere/x')
            return unrouted, await world.send_request('/lookup')

        unrouted, without_id = hostworld.run_scenario(scenario)
        self.assertEqual((unrouted.status, without_id.status), (404, 404))


class StartTest(unittest.TestCase):
    """Hosts that start while the store's cheap reads are seconds old."""

    def start_late(self, change, *, forget_history=False):
        """Return a host that starts after a change that stale reads lack."""

        async def scenario(world):
            world.store.freeze_stale_reads()
            change(world)
            if forget_history:
                world.store.forget_history()
            before = world.store.calls_by_kind.copy()
            parts = await world.add_host('host-2')
            await loops.until(lambda: parts.host.ready)
            calls = world.store.calls_by_kind - before
            return parts.host, calls

        return hostworld.run_scenario(scenario)

    def test_lists_cost_little(self):
        """Guards against a start of a fleet that costs a page for each host."""
        _, calls = self.start_late(lambda world: None)
        self.assertEqual(calls['kv-range'], calls['stale'])

    def test_removed_backend_server_is_not_used(self):
        """Guards against a server that left before a restart."""
        for forget_history in (False, True):
            with self.subTest(forget_history=forget_history):
                host, _ = self.start_late(
                    lambda world: world.store.remove('servers/a0'),
                    forget_history=forget_history,
                )
                self.assertEqual(host.directory.usable('a'), ('a1',))

    def test_newer_routes_are_in_force_from_the_start(self):
        """Guards against routes that a restart takes back."""
        host, _ = self.start_late(
            lambda world: world.publish(7, prefix='/search/')
        )
        self.assertEqual(host._table.revision, 7)

    def test_leaving_backend_server_is_not_used(self):
        """Guards against work for a draining server after a restart."""
        host, _ = self.start_late(
            lambda world: world.list_backend('a0', 'a', state='draining')
        )
        self.assertEqual(host.directory.usable('a'), ('a1',))


class PlatformTest(unittest.TestCase):
    def test_new_routes_are_in_force(self):
        """Guards against routes that are only read at the start."""

        async def scenario(world):
            before = (await world.send_request('/lookup/x')).status
            world.publish(5, prefix='/search/')
            await loops.until(
                lambda: world.host._table.find('shop.example', '/search/x')
            )
            return before, (await world.send_request('/search/x')).status

        self.assertEqual(hostworld.run_scenario(scenario), (200, 200))

    def test_older_routes_never_come_back(self):
        """Guards against an older revision that replaces a newer one."""

        async def scenario(world):
            world.publish(5, prefix='/search/')
            await loops.until(lambda: world.host._table.revision == 5)
            world.publish(4)
            world.list_backend('a0', 'a', sequence=2, state='draining')
            await loops.until(
                lambda: world.host.directory.usable('a') == ('a1',)
            )
            return (await world.send_request('/search/x')).status

        self.assertEqual(hostworld.run_scenario(scenario), 200)

    def test_leaving_backend_server_gets_no_more_work(self):
        """Guards against work for a backend server that is draining."""

        async def scenario(world):
            world.list_backend('a0', 'a', state='draining')
            await loops.until(
                lambda: world.host.directory.usable('a') == ('a1',)
            )
            for _ in range(5):
                await world.send_request('/statement/x')
            return len(world.backends_by_id['a0'].ran)

        self.assertEqual(hostworld.run_scenario(scenario), 0)

    def test_outage_of_the_store_changes_nothing(self):
        """Guards against hosts that serve only while the store is up."""

        async def scenario(world):
            world.store.is_down = True
            await curio.sleep(0.3)
            during = (await world.send_request('/lookup/x')).status
            world.store.is_down = False
            world.publish(9, prefix='/search/')
            await loops.until(
                lambda: world.host._table.find('shop.example', '/search/x')
            )
            return during, (await world.send_request('/search/x')).status

        self.assertEqual(hostworld.run_scenario(scenario), (200, 200))

    def test_routes_are_in_force_after_silence(self):
        """Guards against a watch on a connection that stopped responding.

        If the next call uses another connection of the same age, routes come
        into force only 3.6 s after they were acknowledged.
        """

        async def scenario(world):
            world.store.is_silent = True
            await curio.sleep(0.1)
            world.store.is_silent = False
            world.store.revision += 1
            world.publish(9, prefix='/search/')
            await loops.until(
                lambda: world.host._table.find('shop.example', '/search/x'),
                limit_s=4,
            )
            return True

        self.assertTrue(hostworld.run_scenario(scenario))

    def test_lost_history_is_listed_again(self):
        """Guards against changes that are lost between two watches."""

        async def scenario(world):
            world.store.put('servers/a0', {'service': 7})
            world.store.put('hosts/other', '')
            world.store.forget_history()
            await loops.until(
                lambda: world.host.directory.usable('a') == ('a1',)
            )
            return (await world.send_request('/statement/x')).status

        self.assertEqual(hostworld.run_scenario(scenario), 200)

    def test_host_lists_itself_again(self):
        """Guards against a low host count, which makes budgets too large."""

        async def scenario(world):
            await loops.until(
                lambda: 'hosts/host-1' in world.store.items_by_key
            )
            world.store.remove('hosts/host-1')
            await loops.until(
                lambda: 'hosts/host-1' in world.store.items_by_key, 10
            )
            return True

        self.assertTrue(hostworld.run_scenario(scenario))

    def test_host_that_vanishes_while_it_lists_itself_does_so_again(self):
        """Guards against a host that renews the lease of no entry.

        Its entry is removed before the store has answered its announcement.
        """

        async def scenario(world):
            key = 'hosts/host-1'
            await loops.until(lambda: key in world.store.items_by_key)
            world.store.answer_delay_s = 0.4  # less than the host's time-out
            world.store.remove(key)
            await loops.until(lambda: key in world.store.items_by_key, 10)
            world.store.remove(key)
            world.store.answer_delay_s = 0
            await loops.until(lambda: key in world.store.items_by_key, 10)
            return True

        with mock.patch.multiple(
            discovery, ANNOUNCE_INTERVAL_S=0.2, CHANGE_BATCHING_S=0.02
        ):
            self.assertTrue(hostworld.run_scenario(scenario))

    def test_readiness_follows_the_routes(self):
        """Guards against callers that are sent to a host without routes."""

        async def scenario(world):
            port = world.ready_port
            first = await world.send_request('/api/ready', port=port)
            world.host.stopping = True
            second = await world.send_request('/api/ready', port=port)
            return first.status, second.status

        self.assertEqual(hostworld.run_scenario(scenario), (200, 503))
