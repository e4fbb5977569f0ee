"""Attempts that are open when their request ends, over real sockets."""

import json
import unittest
from unittest import mock

import curio

from cardamomflow.platform import backendlink, wire
from tests import hostworld, loops, test_peering

# Longer than a test, so that only a cancellation ends an attempt.
TIMEOUT_MS = 60_000
HANG_S = 60.0


class PatientWorld(hostworld.HostWorld):
    """Routes with a long timeout and a short target."""

    target_ms = 100

    def publish(self, version, prefix='/lookup/'):
        """Publish routes that allow attempts to outlast a test."""
        super().publish(version, prefix)
        document = json.loads(self.store.items_by_key['op/config'].value)
        for route in document['routes']:
            route['timeout_ms'] = TIMEOUT_MS
            route['target_latency_ms'] = self.target_ms
        self.store.put('op/config', document)


class LateTargetWorld(PatientWorld):
    """Partial answers are not sent while a test runs."""

    target_ms = TIMEOUT_MS


class PatientFleet(test_peering.FleetWorld, PatientWorld):
    """Several hosts that request parts on behalf of each other."""


async def send(world, target):
    """Send a request of a caller that waits longer than a test."""
    return await world.send_request(target, deadline_ms=TIMEOUT_MS)


def hang(world, service):
    """Let both backend servers of a service hang."""
    for number in range(2):
        world.backends_by_id[f'{service}{number}'].pause_s = HANG_S


def hang_first(backends):
    """Let only the first request to any of the backend servers hang."""
    pauses = iter([HANG_S])

    def in_turn(backend, handle):
        async def answer(request):
            backend.pause_s = next(pauses, 0)
            return await handle(request)

        return answer

    for backend in backends:
        backend.handle = in_turn(backend, backend.handle)


def has_run(world, service):
    return any(
        world.backends_by_id[f'{service}{number}'].ran for number in range(2)
    )


async def until_no_attempt(host):
    await loops.until(lambda: not host.transport._busy)


class HostTest(unittest.TestCase):
    """Attempts of the host that answers the caller."""

    def test_straggler_of_an_answered_query_is_cancelled(self):
        """Guards against work up to the deadline after a partial answer.

        The caller may leave just after its answer.
        """

        async def scenario(world):
            hang(world, 'b')
            answer = await send(world, '/lookup/x')
            await until_no_attempt(world.host)
            return answer.headers[wire.MISSING_PARTS]

        missing = hostworld.run_scenario(scenario, PatientWorld)
        self.assertEqual(missing, '1')

    def test_caller_that_leaves_with_enough_parts_ends_the_others(self):
        """Guards against work for a caller that left before its answer."""

        async def scenario(world):
            hang(world, 'b')
            query = await curio.spawn(send, world, '/lookup/x')
            await loops.until(
                lambda: has_run(world, 'a') and has_run(world, 'b')
            )
            await query.cancel()
            await until_no_attempt(world.host)
            return True

        self.assertTrue(hostworld.run_scenario(scenario, LateTargetWorld))

    def test_losing_hedge_of_a_statement_is_cancelled(self):
        """Guards against a hung attempt after another one was answered."""

        async def scenario(world):
            backends = [world.backends_by_id[name] for name in ('a0', 'a1')]
            hang_first(backends)
            answer = await send(world, '/statement/x')
            await until_no_attempt(world.host)
            return answer.status, [len(backend.ran) for backend in backends]

        status, runs = hostworld.run_scenario(scenario, PatientWorld)
        self.assertEqual((status, runs), (200, [1, 1]))

    def test_straggler_that_is_answered_soon_keeps_its_connection(self):
        """Guards against new connections after each short pause."""

        async def scenario(world):
            for number in range(2):
                world.backends_by_id[f'b{number}'].pause_s = 1.0
            await send(world, '/lookup/x')
            stragglers = list(world.host.transport._busy)
            await until_no_attempt(world.host)
            return [
                connection.backend_id[0]
                for connection in stragglers
                if connection.usable_until > world.host._clock()
            ]

        with mock.patch.object(backendlink, 'STRAGGLER_GRACE_S', HANG_S):
            kept = hostworld.run_scenario(scenario, PatientWorld)
        self.assertEqual(set(kept), {'b'})


class PartsTest(unittest.TestCase):
    """Attempts of a host that requests parts for another one."""

    def test_straggler_of_an_answered_query_is_cancelled(self):
        """Guards against parts that run on after the answer was sent."""

        async def scenario(world):
            for service in test_peering.SERVICES[:5]:
                hang(world, service)
            answer = await send(world, test_peering.TARGET)
            for parts in world.hosts():
                await until_no_attempt(parts.host)
            return answer.headers[wire.MISSING_PARTS]

        missing = test_peering.play(scenario, PatientFleet)
        self.assertEqual(missing, '5')

    def test_parts_for_a_lost_host_are_cancelled(self):
        """Guards against parts that run on for a host that was killed."""

        async def scenario(world):
            for service in test_peering.SERVICES:
                hang(world, service)
            await curio.spawn(send, world, test_peering.TARGET, daemon=True)
            await loops.until(
                lambda: all(
                    owner.host.transport._busy for owner in world.others
                )
            )
            # After the target, the owners have nothing to do before the
            # deadline.
            await curio.sleep(2 * PatientFleet.target_ms / 1000)
            for owner in world.others:
                for link in list(owner.peer_server._requests_by_link):
                    await link._abort()
            for owner in world.others:
                await until_no_attempt(owner.host)
            return True

        self.assertTrue(test_peering.play(scenario, PatientFleet))
