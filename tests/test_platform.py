"""Tests of the platform adapter against the stand-in, with faults."""

import contextlib
import socket
import unittest
from unittest import mock

import curio

from cardamomflow import (
    errors,
    platform,
    serverconnection,
    webclient,
    webserver,
)
from cardamomflow.platform import channel, httpclient
from standins import fakes
from standins import platform as standin
from standins import store as store_module

KEY = 'claims/29412000/weighbridge/1?'
TIMEOUT_S = 5.0  # is not reached on a busy machine
SHORT_TIMEOUT_S = 0.2  # for calls that must time out
HOST = platform.HostState('h1', '127.0.0.1', 'zone-a', 'live')


@contextlib.asynccontextmanager
async def _closing(adapter):
    yield
    await adapter.close()


class PlatformCase(unittest.TestCase):
    def setUp(self):
        self.now = 0
        self.store = store_module.Store(lambda: self.now)

    def run_scenario(self, scenario, timeout_s=TIMEOUT_S, **rates):
        """Run a scenario against the stand-in over HTTP."""

        async def run():
            handler = standin.PlatformHandler(self.store, **rates)
            server = webserver.WebServer('127.0.0.1', 0, handler)
            serving = curio.TaskGroup(wait=None)
            await serving.spawn(server.serve)
            self.port = server.port
            adapter = httpclient.HttpPlatform(
                '127.0.0.1', server.port, timeout_s
            )
            async with serving, _closing(adapter):
                return await scenario(adapter)

        return curio.run(run)


class StoreTest(PlatformCase):
    def test_compare_and_swap_on_a_key_with_slashes(self):
        """Guards against keys that are truncated or decoded incorrectly."""

        async def scenario(adapter):
            self.assertIsNone(await adapter.read(KEY))
            first = await adapter.compare_and_swap(KEY, b'\0\xff', 0)
            second = await adapter.compare_and_swap(KEY, b'b', first.revision)
            self.assertGreater(second.revision, first.revision)
            self.assertEqual(await adapter.read(KEY), second)
            await adapter.delete(KEY, second.revision)
            self.assertIsNone(await adapter.read(KEY))

        self.run_scenario(scenario)
        self.assertIsNone(self.store.current(KEY))

    def test_conflict_carries_the_current_entry(self):
        """Guards against a conflict without the entry that caused it."""

        async def scenario(adapter):
            present = await adapter.compare_and_swap(KEY, b'a', 0)
            with self.assertRaises(platform.Conflict) as caught:
                await adapter.compare_and_swap(KEY, b'b', 0)
            self.assertEqual(caught.exception.present, present)
            with self.assertRaises(platform.Conflict) as caught:
                await adapter.delete('absent', 7)
            self.assertIsNone(caught.exception.present)

        self.run_scenario(scenario)

    def test_revision_is_not_reused_after_a_delete(self):
        """Guards against a late write that matches a recreated key."""

        async def scenario(adapter):
            first = await adapter.compare_and_swap(KEY, b'a', 0)
            await adapter.delete(KEY, first.revision)
            second = await adapter.compare_and_swap(KEY, b'a', 0)
            self.assertNotEqual(first.revision, second.revision)

        self.run_scenario(scenario)

    def test_expired_lease_removes_its_keys(self):
        """Guards against an adapter that ignores the lease of a write."""

        async def scenario(adapter):
            lease_id = await adapter.grant_lease(10)
            await adapter.compare_and_swap(KEY, b'a', 0, lease_id)
            self.now = 6
            await adapter.keep_alive(lease_id)
            self.now = 15.5
            self.assertIsNotNone(await adapter.read(KEY))
            self.now = 16
            self.assertIsNone(await adapter.read(KEY))
            with self.assertRaises(errors.NotFound):
                await adapter.keep_alive(lease_id)

        self.run_scenario(scenario)

    @mock.patch.object(
        webserver.WebServer,
        'bounds',
        serverconnection.Bounds(body_bytes=standin.MAX_BODY_BYTES),
    )
    def test_largest_value_is_stored_and_read(self):
        """Guards against a limit in the client below that of the platform."""
        largest = bytes(platform.MAX_VALUE_BYTES)

        async def scenario(adapter):
            await adapter.compare_and_swap(KEY, largest, 0)
            self.assertEqual((await adapter.read(KEY)).value, largest)

        self.run_scenario(scenario)

    def test_value_over_the_limit_is_refused_before_it_is_sent(self):
        """Guards against an unknown outcome of a write that was not sent."""

        async def scenario(adapter):
            with self.assertRaises(errors.BodyTooLarge):
                await adapter.compare_and_swap(
                    KEY, bytes(platform.MAX_VALUE_BYTES + 1), 0
                )

        self.run_scenario(scenario)
        self.assertEqual(self.store.calls_by_kind, {})


class FaultTest(PlatformCase):
    def test_lost_response_has_an_unknown_outcome(self):
        """Guards against a lost response reported as a failure or success."""

        async def scenario(adapter):
            for loss in ('applied', 'not_applied', 'late'):
                self.store.faults.losses = [store_module.Loss(loss)]
                with self.assertRaises(errors.OutcomeUnknown):
                    await adapter.compare_and_swap(loss, b'a', 0)

        self.run_scenario(scenario)
        self.assertIsNotNone(self.store.current('applied'))
        self.assertIsNone(self.store.current('not_applied'))
        self.assertIsNone(self.store.current('late'))
        self.assertEqual(self.store.apply_late_writes(), 1)
        self.assertIsNotNone(self.store.current('late'))

    def test_outage_after_sending_is_unknown_for_changes_only(self):
        """Guards against an outage reported as a change without effect."""

        async def scenario(adapter):
            for outage in ('hang', 'drop', 'error'):
                self.store.faults.outage = store_module.Outage(outage)
                with self.assertRaises(errors.OutcomeUnknown, msg=outage):
                    await adapter.compare_and_swap(KEY, b'a', 0)
                with self.assertRaises(errors.PlatformUnavailable, msg=outage):
                    await adapter.read(KEY)
                with self.assertRaises(errors.PlatformUnavailable, msg=outage):
                    await adapter.watch(KEY, 0, 0.01)

        self.run_scenario(scenario, SHORT_TIMEOUT_S)
        self.store.faults.outage = store_module.Outage.NONE
        self.assertIsNone(self.store.current(KEY))

    def test_adapter_is_usable_after_an_outage(self):
        """Guards against the reuse of connections that failed in the outage."""

        async def scenario(adapter):
            self.store.faults.outage = store_module.Outage.DROP
            for _ in range(channel.MAX_CALLS_IN_FLIGHT + 1):
                with self.assertRaises(errors.PlatformUnavailable):
                    await adapter.read(KEY)
            self.store.faults.outage = store_module.Outage.NONE
            self.assertIsNone(await adapter.read(KEY))

        self.run_scenario(scenario)

    def test_refused_connection_had_no_effect(self):
        """Guards against an unknown outcome of a request that was not sent."""
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            adapter = httpclient.HttpPlatform(*unused.getsockname(), TIMEOUT_S)
            with self.assertRaises(errors.PlatformUnavailable):
                curio.run(adapter.compare_and_swap, KEY, b'a', 0)

    def test_late_response_does_not_reach_the_next_call(self):
        """Guards against the reuse of a connection after a timeout."""
        self.store.apply(store_module.Write('slow', b'slow', 0))
        self.store.apply(store_module.Write('fast', b'fast', 0))

        async def scenario(adapter):
            self.store.faults.delay_s = SHORT_TIMEOUT_S + 0.05
            with self.assertRaises(errors.PlatformUnavailable):
                await adapter.read('slow')
            self.store.faults.delay_s = 0
            await curio.sleep(0.1)
            adapter._channel._timeout_s = TIMEOUT_S
            self.assertEqual((await adapter.read('fast')).value, b'fast')

        self.run_scenario(scenario, SHORT_TIMEOUT_S)

    def test_timeout_before_a_call_slot_is_not_an_unknown_outcome(self):
        """Guards against an unknown outcome of a change that stayed queued."""

        async def scenario(adapter):
            for _ in range(channel.MAX_CALLS_IN_FLIGHT):
                await adapter._channel._call_slots.acquire()
            with self.assertRaises(errors.PlatformUnavailable):
                await adapter.compare_and_swap(KEY, b'a', 0)

        self.run_scenario(scenario, SHORT_TIMEOUT_S)
        self.assertEqual(self.store.calls_by_kind, {})

    def test_cancelled_call_leaves_no_connection_in_the_pool(self):
        """Guards against a response that reaches a call it was not for."""
        self.store.apply(store_module.Write('k', b'v', 0))

        async def scenario(adapter):
            self.store.faults.delay_s = 0.1
            task = await curio.spawn(adapter.read, 'other')
            await curio.sleep(0.03)
            await task.cancel()
            self.store.faults.delay_s = 0
            await curio.sleep(0.1)
            self.assertEqual((await adapter.read('k')).value, b'v')

        self.run_scenario(scenario)

    def test_calls_over_the_rate_are_slowed_down(self):
        """Guards against a stand-in without a rate limit."""

        async def scenario(adapter):
            start = await curio.clock()
            for _ in range(4):
                await adapter.read(KEY)
            return await curio.clock() - start

        self.assertGreater(self.run_scenario(scenario, call_rate=20), 0.12)


class WatchTest(PlatformCase):
    def test_watch_delivers_a_change_and_times_out_without_one(self):
        """Guards against missed changes and against endless watches."""

        async def scenario(adapter):
            first = await adapter.compare_and_swap(KEY, b'a', 0)
            self.assertIsNone(await adapter.watch(KEY, first.revision, 0.02))
            task = await curio.spawn(adapter.watch, KEY, first.revision, 2)
            await curio.sleep(0.02)
            second = await adapter.compare_and_swap(KEY, b'b', first.revision)
            self.assertEqual(await task.join(), second)

        self.run_scenario(scenario)

    def test_silent_watch_delivers_nothing_while_reads_see_the_change(self):
        """Guards against a stand-in without silent watches."""

        async def scenario(adapter):
            self.store.faults.silent_watches = True
            stored = await adapter.compare_and_swap(KEY, b'a', 0)
            self.assertIsNone(await adapter.watch(KEY, 0, 0.02))
            self.assertEqual(await adapter.read(KEY), stored)

        self.run_scenario(scenario)

    def test_status_204_ends_a_watch(self):
        """Guards against status 204 treated as a platform failure."""

        async def run():
            listener = webserver.listen('127.0.0.1', 0)

            async def serve():
                client, _ = await listener.accept()
                async with client:
                    await client.recv(4096)
                    await client.sendall(b'HTTP/1.1 204 No Content\r\n\r\n')

            await curio.spawn(serve, daemon=True)
            adapter = httpclient.HttpPlatform(
                *listener.getsockname(), TIMEOUT_S
            )
            async with listener:
                return await adapter.watch(KEY, 3, 0.1)

        self.assertIsNone(curio.run(run))


class HostListTest(PlatformCase):
    def test_host_list_lags(self):
        """Guards against a stand-in whose host list is always current."""

        async def scenario(adapter):
            self.store.set_hosts([HOST])
            self.assertEqual(await adapter.hosts(), [HOST])
            self.store.host_lag_s = 60
            self.assertEqual(await adapter.hosts(), [])

        self.run_scenario(scenario)


class ControlTest(PlatformCase):
    def test_control_sets_faults_and_counts_calls(self):
        """Guards against faults that another process cannot set."""
        leaving = HOST._replace(state='leaving')

        async def scenario(adapter):
            await adapter.compare_and_swap(KEY, b'a', 0)
            await adapter.compare_and_swap(KEY, b'b', 1)
            reply = await self.control(
                stale_steps={KEY: 1},
                hosts=[leaving._asdict()],
                silent_watches=True,
            )
            self.assertEqual(reply['calls'], {'write': 2})
            self.assertEqual((await adapter.read(KEY)).value, b'a')
            self.assertTrue((await adapter.hosts())[0].leaving)
            await self.control(stale_steps={}, roll_back={KEY: 1})
            self.assertEqual((await adapter.read(KEY)).revision, 1)
            await self.control(outage='drop', losses=['late'])
            with self.assertRaises(errors.PlatformUnavailable):
                await adapter.read(KEY)

        self.run_scenario(scenario)

    async def control(self, **document):
        reply = await webclient.fetch(
            '127.0.0.1', self.port, 'POST', '/control', document
        )
        self.assertEqual(reply.status, 200)
        return reply.json()


class FakeTest(unittest.TestCase):
    def test_fake_fails_as_the_adapter_does(self):
        """Guards against a fake that fails less often than the platform."""
        fake = fakes.FakePlatform()
        faults = fake.store.faults

        async def scenario():
            faults.losses = [store_module.Loss.LATE]
            with self.assertRaises(errors.OutcomeUnknown):
                await fake.compare_and_swap(KEY, b'a', 0)
            stored = await fake.compare_and_swap(KEY, b'b', 0)
            self.assertEqual(fake.store.apply_late_writes(), 0)
            with self.assertRaises(platform.Conflict):
                await fake.compare_and_swap(KEY, b'c', 0)
            faults.outage = store_module.Outage.ERROR
            with self.assertRaises(errors.PlatformUnavailable):
                await fake.delete(KEY, stored.revision)
            faults.outage = store_module.Outage.DROP
            with self.assertRaises(errors.OutcomeUnknown):
                await fake.delete(KEY, stored.revision)

        curio.run(scenario)
