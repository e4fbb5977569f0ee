"""Tests limits of accounts with three hosts in two zones, over sockets."""

import collections
import time
import unittest
from unittest import mock

import curio

from cardamomflow import discovery, errors, requeststate
from cardamomflow.accounts import table
from cardamomflow.platform import backendlink
from cardamomflow.quotas import bucket, holders
from cardamomflow.quotas import service as quota_service
from standins import reservedports
from tests import hostworld, loops

ZONES = ('z1', 'z2')
FLOODING = table.Account('flooding', rate_per_s=40, burst=20)
NEIGHBOUR = table.Account('neighbour', rate_per_s=40, burst=20)
UNLIMITED = table.Account('unlimited')
# Instead of 14 s.
QUARANTINE_S = 0.5
RUN_S = 3.0
CALLERS = 4
ATTEMPTS = 200


def reserve_address():
    """Return an address that no other test gets before the module ends."""
    reserved = reservedports.ReservedPorts(1)
    unittest.addModuleCleanup(reserved.close)
    return f'127.0.0.1:{reserved.ports[0]}'


class QuotaWorld(hostworld.HostWorld):
    """Two hosts of one zone and one of another."""

    def __init__(self):
        super().__init__(
            peers=reserve_address(), availability_zones=list(ZONES)
        )

    async def __aenter__(self):
        await super().__aenter__()
        self.all_parts = [
            self.parts,
            await self._add_host_in('host-2', 'z1'),
            await self._add_host_in('host-3', 'z2'),
        ]
        self.hosts = [parts.host for parts in self.all_parts]
        await loops.until(lambda: all(host.ready for host in self.hosts))
        for host in self.hosts:
            await host.quotas.apply(
                table.AccountTable([FLOODING, NEIGHBOUR, UNLIMITED])
            )
        await loops.until(self._has_holders, limit_s=30)
        return self

    def holder(self, account, zone='z1'):
        """Return the host that issues the tokens of an account."""
        host_id = self.hosts[0].quotas._holders.holder_of(account.name, zone)
        return next(
            host
            for host in self.hosts
            if host.settings['host']['id'] == host_id
        )

    def asker(self, account):
        """Return a host that issues no tokens of an account."""
        holding = [self.holder(account, zone) for zone in ZONES]
        return next(host for host in self.hosts if host not in holding)

    def silence(self, host):
        """Make a host ignore requests for tokens."""
        for parts in self.all_parts:
            if parts.host is host:
                parts.peer_server.token_server = None

    async def _add_host_in(self, host_id, zone):
        return await self.add_host(
            host_id,
            host={'id': host_id, 'region': 'r', 'availability_zone': zone},
            peers=reserve_address(),
            availability_zones=list(ZONES),
        )

    def _has_holders(self):
        if any(len(host.quotas._members) < 3 for host in self.hosts):
            return False
        return all(
            self.holder(account, zone).quotas._holders.acting_since(
                account.name, quota_service.boottime()
            )
            for account in (FLOODING, NEIGHBOUR)
            for zone in ZONES
        )


def play(scenario):
    with (
        mock.patch.object(discovery, 'ANNOUNCE_INTERVAL_S', 0.1),
        mock.patch.object(holders, 'QUARANTINE_S', QUARANTINE_S),
    ):
        return hostworld.run_scenario(scenario, QuotaWorld)


async def call(host, account):
    """Send a request; return the code of its error, or ''."""
    message = backendlink.Message(
        b'GET', b'/statement/x', [(b'host', b'shop.example')], b'', b'r1'
    )
    try:
        await host.answer(
            host.route('shop.example', '/statement/x'),
            message,
            requeststate.TimeBudget(1.0),
            account,
        )
    except errors.FlowError as error:
        return error.code
    return ''


async def flood(host, account, until, admitted_at, codes):
    """Send requests one after the other and record their ends."""
    while time.monotonic() < until:
        code = await call(host, account)
        codes[code] += 1
        if code:
            await curio.sleep(0.005)
        else:
            admitted_at.append(time.monotonic())


def most_in_window(times, window_s):
    times = sorted(times)
    return max(
        sum(begin <= time < begin + window_s for time in times)
        for begin in times
    )


class HostsTest(unittest.TestCase):
    def test_limit_holds_over_hosts_and_neighbour_is_served(self):
        """Guards against a limit that each host applies by itself."""

        async def scenario(world):
            admitted_at, codes = [], collections.Counter()
            until = time.monotonic() + RUN_S
            tasks = [
                await curio.spawn(
                    flood, host, FLOODING, until, admitted_at, codes
                )
                for host in world.hosts
                for _ in range(CALLERS)
            ]
            neighbour_codes = collections.Counter()
            # The buckets were empty at the start.
            await curio.sleep(1.0)
            while time.monotonic() < until:
                for host in world.hosts:
                    neighbour_codes[await call(host, NEIGHBOUR)] += 1
                await curio.sleep(0.25)
            for task in tasks:
                await task.join()
            return admitted_at, codes, neighbour_codes

        admitted_at, codes, neighbour_codes = play(scenario)
        limit = bucket.zone_limit(FLOODING, len(ZONES), bucket.Reserve())
        for window_s in (0.5, 1, RUN_S):
            self.assertLessEqual(
                most_in_window(admitted_at, window_s),
                len(ZONES) * limit.capacity + FLOODING.rate_per_s * window_s,
            )
        self.assertGreater(len(admitted_at), 0.5 * FLOODING.rate_per_s * RUN_S)
        self.assertEqual(codes.keys(), {'', 'quota_exceeded'})
        self.assertEqual(neighbour_codes.keys(), {''})

    def test_lost_holder_is_replaced_by_the_other_zone(self):
        """Guards against a zone that is refused while its holder is gone."""

        async def scenario(world):
            world.silence(world.holder(FLOODING))
            await curio.sleep(1.0)
            asker = world.asker(FLOODING)
            return [await call(asker, FLOODING) for _ in range(3)]

        self.assertEqual(play(scenario), ['', '', ''])

    def test_unreachable_holders_cause_503(self):
        """Guards against requests that are admitted without any token."""

        async def scenario(world):
            for host in world.hosts:
                world.silence(host)
            with self.assertRaises(errors.QuotaUnknown) as raised:
                await world.asker(FLOODING).quotas.admit(
                    FLOODING, time.monotonic() + 1
                )
            return raised.exception.retry_after_s

        self.assertEqual(play(scenario), 0.25)

    def test_hosts_without_settled_holders_use_the_reserve(self):
        """Guards against a limited account that gets only 503 for a while."""

        async def scenario(world):
            codes = []
            with mock.patch.object(
                holders.Holders, 'acting_since', lambda *_: None
            ):
                while '' not in codes and len(codes) < ATTEMPTS:
                    await curio.sleep(0.05)
                    codes.append(await call(world.asker(FLOODING), FLOODING))
            return codes

        codes = play(scenario)
        self.assertEqual(codes[-1], '')
        self.assertLessEqual(set(codes), {'', 'quota_unknown'})

    def test_request_that_was_not_run_returns_its_token(self):
        """Guards against limits that are used up by refused requests."""

        async def scenario(world):
            host = world.holder(FLOODING)
            await curio.sleep(1.5)
            tokens = host.quotas._allocations_by_name[FLOODING.name]
            for backend_id in list(world.backends_by_id):
                world.store.remove(f'servers/{backend_id}')
            await loops.until(lambda: not host.directory.usable('a'))
            codes = [await call(host, FLOODING) for _ in range(30)]
            return set(codes), tokens.take(quota_service.boottime()) is not None

        codes, has_token = play(scenario)
        self.assertEqual(codes, {'no_replica'})
        self.assertTrue(has_token)

    def test_unlimited_requests_cause_no_messages(self):
        """Guards against costs of accounts without a limit."""

        async def scenario(world):
            for host in world.hosts:
                host.quotas._messenger.ask = mock.AsyncMock()
                for account in (UNLIMITED, None):
                    self.assertIsNone(await host.quotas.admit(account, 0))
            return [
                host.quotas._messenger.ask.await_count for host in world.hosts
            ]

        self.assertEqual(play(scenario), [0, 0, 0])
