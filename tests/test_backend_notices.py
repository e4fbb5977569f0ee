"""Backend servers that announce that they stop, or ask for a pause."""

import random
import unittest

import curio
from hypothesis import given, strategies

from cardamomflow import backendpauses, directory, events, requeststate
from cardamomflow.platform import replyheaders, wire
from tests import hostworld, loops, test_dispatching, test_peering

LEAVING = (wire.LEAVING, b'1')
BORN = 1_796_000_000_000


def parse(*headers):
    return replyheaders.parse_notices(headers, dict(headers))


def make_listed(backend_id='a0', **changes):
    return test_dispatching.make_backend(backend_id, 'a', **changes)


def notice(backend_id, incarnation=0):
    return directory.LeavingNotice(backend_id, incarnation)


def busy_reply(pause_s):
    """Return a refusal that asks for a pause."""
    return test_dispatching.reply(
        status=503, stamp=None, not_run=True, pause_s=pause_s
    )


class HeaderTest(unittest.TestCase):
    def test_valid_values(self):
        """Guards against a notice that is not noticed."""
        for pause, pause_s in ((b'0', 0), (b'2', 2), (b'0.25', 0.25)):
            with self.subTest(pause):
                notices = parse(LEAVING, (wire.RETRY_AFTER, pause))
                self.assertEqual(notices, (True, pause_s, ()))
        self.assertEqual(parse(), (False, 0, ()))

    def test_repeated_header(self):
        """Guards against a pause that depends on the order of headers."""
        self.assertTrue(parse(LEAVING, LEAVING).is_leaving)
        notices = parse((wire.RETRY_AFTER, b'1'), (wire.RETRY_AFTER, b'2'))
        self.assertEqual(notices, (False, 0, ('retry-after',)))

    def test_long_pause_is_shortened(self):
        """Guards against a backend server that is excluded for hours."""
        self.assertEqual(
            parse((wire.RETRY_AFTER, b'7200')).pause_s, replyheaders.MAX_PAUSE_S
        )

    def test_invalid_values_are_ignored_and_named(self):
        """Guards against an answer that is lost to a malformed notice."""
        values = (
            b'-1',
            b'1e3',
            b'nan',
            b'inf',
            b'.5',
            b'1.',
            b'9' * 5000,
            b'',
            b'Wed, 21 Oct 2026 07:28:00 GMT',
        )
        for value in values:
            with self.subTest(value[:20]):
                notices = parse((wire.RETRY_AFTER, value))
                self.assertEqual(notices, (False, 0, ('retry-after',)))
        for value in (b'0', b'true', b'', b'11'):
            with self.subTest(value):
                notices = parse((wire.LEAVING, value))
                self.assertEqual(notices, (False, 0, ('server-leaving',)))

    @given(strategies.binary(max_size=40), strategies.binary(max_size=40))
    def test_any_value_is_decoded(self, leaving, pause):
        """Guards against a header that ends a connection."""
        notices = parse((wire.LEAVING, leaving), (wire.RETRY_AFTER, pause))
        self.assertTrue(0 <= notices.pause_s <= replyheaders.MAX_PAUSE_S)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()
        self.directory.update_entry(make_listed(incarnation=5))
        self.directory.record_leaving(notice('a0', 5))

    def test_notice_ends_the_work(self):
        """Guards against work for a backend server that is leaving."""
        self.assertEqual(self.directory.usable('a'), ())
        self.assertIsNone(self.directory.record_leaving(notice('a0', 5)))

    def test_later_entries_of_the_same_start_do_not_bring_it_back(self):
        """Guards against an entry that still says ready."""
        changed = make_listed(incarnation=5, availability_zone='z2')
        self.directory.update_entry(changed)
        self.assertEqual(self.directory.usable('a'), ())
        self.directory.remove_unlisted(set(), 0)
        self.directory.update_entry(changed)
        self.assertEqual(self.directory.usable('a'), ())

    def test_entry_of_an_earlier_start_does_not_bring_it_back(self):
        """Guards against an older update from a relay."""
        self.directory.update_entry(make_listed(incarnation=4))
        self.assertEqual(self.directory.usable('a'), ())

    def test_backend_server_that_starts_again_is_new(self):
        """Guards against a backend server that is unused after a restart."""
        change = self.directory.update_entry(make_listed(incarnation=6))
        self.assertTrue(change.restarted)
        self.assertEqual(self.directory.usable('a'), ('a0',))
        self.directory.record_leaving(notice('a0', 5))
        self.assertEqual(self.directory.usable('a'), ('a0',))

    def test_notice_before_the_entry_counts(self):
        """Guards against a notice that arrives from another host first."""
        self.directory.record_leaving(notice('a1', 7))
        self.directory.update_entry(make_listed('a1', incarnation=7))
        self.assertEqual(self.directory.usable('a'), ())

    def test_number_of_notices_is_bounded(self):
        """Guards against memory that grows with each restart."""
        for number in range(directory.MAX_LEAVING_NOTICES + 5):
            self.directory.record_leaving(notice(f'x{number}', 1))
        kept = self.directory._left_incarnations_by_id
        self.assertEqual(len(kept), directory.MAX_LEAVING_NOTICES)


class PauseTest(unittest.TestCase):
    def setUp(self):
        self.pauses = backendpauses.BackendPauses(random.Random(1))

    def test_pause_lasts_as_long_as_asked(self):
        """Guards against requests to a backend server that wants none."""
        self.assertTrue(self.pauses.begin('a0', 2.0, 1.0))
        self.assertTrue(self.pauses.is_paused('a0', 2.99))
        self.assertFalse(self.pauses.is_paused('a0', 3.51))

    def test_shorter_pause_does_not_end_a_longer_one(self):
        """Guards against a late refusal that cuts a pause short."""
        self.pauses.begin('a0', 10.0, 0)
        self.assertFalse(self.pauses.begin('a0', 0.1, 0.1))
        self.assertTrue(self.pauses.is_paused('a0', 9.9))

    def test_answer_of_an_earlier_request_does_not_end_a_pause(self):
        """Guards against a pause that ends with the next answer."""
        self.pauses.begin('a0', 2.0, 0)
        self.assertFalse(self.pauses.end('a0', 0.5))
        self.assertTrue(self.pauses.is_paused('a0', 0.6))

    def test_hosts_return_at_different_times(self):
        """Guards against hosts that all return in the same instant.

        Load pattern: a busy backend server asks all hosts for a pause.
        """
        ends = set()
        for seed in range(20):
            pauses = backendpauses.BackendPauses(random.Random(seed))
            pauses.begin('a0', 1.0, 0)
            ends.add(round(pauses.remaining_s(['a0'], 0), 2))
        self.assertGreater(len(ends), 10)
        self.assertGreaterEqual(min(ends), 1.0)

    def test_work_returns_one_request_at_a_time(self):
        """Guards against a full load for a backend server that was busy."""
        self.pauses.begin('a0', 1.0, 0)
        self.assertTrue(self.pauses.may_get('a0', 2.0, is_idle=True))
        self.assertFalse(self.pauses.may_get('a0', 2.0, is_idle=False))
        self.assertTrue(self.pauses.end('a0', 2.1))
        self.assertTrue(self.pauses.may_get('a0', 2.2, is_idle=False))


class DispatchTest(unittest.TestCase):
    """Load pattern: replicas that refuse work and ask for a pause."""

    def setUp(self):
        self.world = test_dispatching.World()

    def refuse_all(self, pause_s):
        """Answer all new attempts with a refusal that asks for a pause."""
        while attempts := self.world.send_attempts():
            for attempt in attempts:
                self.world.dispatcher.on_reply(attempt, busy_reply(pause_s), 0)

    def test_paused_backend_server_gets_nothing(self):
        """Guards against hedges, repeats and first attempts in a pause."""
        self.world.fill_retry_budget(20)
        self.world.start(test_dispatching.make_route('a'))
        (refused,) = self.world.send_attempts()
        self.world.dispatcher.on_reply(refused, busy_reply(5.0), 0)
        backend_ids = {
            attempt.backend_id for attempt in self.world.send_attempts()
        }
        for _ in range(10):
            work = self.world.start(test_dispatching.make_route('a'), now=1.0)
            self.world.dispatcher.tick(work, 1.09)
            backend_ids |= {
                attempt.backend_id for attempt in self.world.send_attempts()
            }
        self.assertNotIn(refused.backend_id, backend_ids)

    def test_query_goes_without_the_part_at_once(self):
        """Guards against a query that waits for a busy shard."""
        self.world.fill_retry_budget(20)
        self.world.start(test_dispatching.make_route('a'))
        self.refuse_all(5.0)
        work = self.world.start(test_dispatching.make_route(), now=1.0)
        (attempt,) = self.world.send_attempts()
        self.world.dispatcher.on_reply(attempt, test_dispatching.reply(), 1.01)
        self.assertTrue(work.is_finished(1.01))
        self.assertEqual(
            work.subrequests[0].failure_reason, 'backend_servers_paused'
        )
        self.assertIs(work.end(), requeststate.Ending.ANSWERED)

    def test_query_that_cannot_be_served_is_not_run(self):
        """Guards against work for a query that misses too many parts."""
        self.world.fill_retry_budget(20)
        self.world.start(test_dispatching.make_route('a'))
        self.refuse_all(5.0)
        work = self.world.start(
            test_dispatching.make_route(minimum_share=1), now=1.0
        )
        self.assertEqual(self.world.send_attempts(), [])
        self.assertIs(work.end(), requeststate.Ending.NOT_RUN)
        remaining_s = self.world.dispatcher.notices.remaining_s(['a', 'b'], 1)
        self.assertGreaterEqual(remaining_s, 4.0)

    def test_restart_ends_a_pause(self):
        """Guards against a new backend server that gets no work."""
        self.world.fill_retry_budget(20)
        self.world.start(test_dispatching.make_route('a'))
        self.refuse_all(5.0)
        change = self.world.directory.update_entry(
            make_listed('a0', incarnation=1)
        )
        self.world.dispatcher.on_directory_changes([change], 1.0)
        self.world.start(test_dispatching.make_route('a'), now=1.0)
        (attempt,) = self.world.send_attempts()
        self.assertEqual(attempt.backend_id, 'a0')

    def test_leaving_backend_servers_are_named(self):
        """Guards against a missing part without a cause."""
        for number in range(2):
            self.world.dispatcher.notices.record_leaving(notice(f'a{number}'))
        work = self.world.start(test_dispatching.make_route())
        self.assertEqual(
            work.subrequests[0].failure_reason, 'backend_servers_leaving'
        )


class NoticeWorld(hostworld.HostWorld):
    """A host and a service with two backend servers."""

    def __init__(self):
        super().__init__(services=('a',), replicas=0)

    async def __aenter__(self):
        await super().__aenter__()
        for number in range(2):
            await self.add_backend(f'a{number}', 'a', born=BORN)
        await loops.until(lambda: len(self.host.directory.usable('a')) == 2)
        return self

    async def send_until_noticed(self, backend_id):
        """Send requests until a backend server has answered one."""
        backend = self.backends_by_id[backend_id]
        answered = len(backend.ran) + backend.refused_count
        while len(backend.ran) + backend.refused_count == answered:
            answer = await self.send_request('/statement/x')
            assert answer.status == 200, answer

    async def send_requests(self, count=10):
        return [await self.send_request('/statement/x') for _ in range(count)]

    async def until_relisted(self, version):
        """Wait until later changes of the store are in force."""
        self.publish(version)
        await loops.until(lambda: self.host._table.revision == version)


class LeavingTest(unittest.TestCase):
    def test_answer_that_says_leaving_is_the_last_one(self):
        """Guards against work for a backend server that is about to stop.

        Its entry stays ready: it changes, is listed anew after a lost history
        and returns after a removal.
        """

        async def scenario(world):
            leaving = world.backends_by_id['a0']
            leaving.is_leaving = True
            await world.send_until_noticed('a0')
            ran = len(leaving.ran)
            answers = await world.send_requests()
            world.list_backend('a0', 'a', born=BORN, warmup_left_ms=1)
            await world.until_relisted(2)
            answers += await world.send_requests()
            world.store.forget_history()
            await world.until_relisted(3)
            answers += await world.send_requests()
            world.store.remove('servers/a0')
            world.list_backend('a0', 'a', born=BORN)
            await world.until_relisted(4)
            answers += await world.send_requests()
            same = len(leaving.ran) - ran
            leaving.is_leaving = False
            world.list_backend('a0', 'a', born=BORN + 1)
            await world.until_relisted(5)
            answers += await world.send_requests()
            return answers, same, len(leaving.ran) - ran

        answers, same, after_restart = hostworld.run_scenario(
            scenario, NoticeWorld
        )
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(same, 0)
        self.assertGreater(after_restart, 0)

    def test_last_backend_server_gets_nothing_either(self):
        """Guards against an exception for the last replica of a shard."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.is_leaving = True
                await world.send_until_noticed(backend.backend_id)
            ran = [len(each.ran) for each in world.backends_by_id.values()]
            answer = await world.send_request('/statement/x')
            return answer, ran == [
                len(each.ran) for each in world.backends_by_id.values()
            ]

        answer, unchanged = hostworld.run_scenario(scenario, NoticeWorld)
        self.assertEqual(answer.status, 503)
        self.assertTrue(unchanged)

    def test_invalid_notices_cost_no_request(self):
        """Guards against a malformed header that ends a connection."""

        async def scenario(world):
            backend = world.backends_by_id['a0']
            backend.headers = [(wire.LEAVING, b'soon'), (wire.RETRY_AFTER, b'')]
            connections = world.host.transport
            await world.send_until_noticed('a0')
            await world.send_until_noticed('a0')
            idle = connections._idle_by_id['a0']
            metrics = world.host._metrics.totals_by_name
            return len(idle), metrics['host.notices.invalid']

        idle_count, reported = hostworld.run_scenario(scenario, NoticeWorld)
        self.assertEqual(idle_count, 1)
        self.assertEqual(reported, 1)

    def test_notice_to_an_owner_holds_for_the_host_that_answers(self):
        """Guards against work from the host that passed the answer on.

        It asks by itself later.
        """

        async def scenario(world):
            leaving = world.backends_by_id['s000']
            leaving.is_leaving = True
            for _ in range(20):
                await world.send_request(test_peering.TARGET)
                if leaving.ran:
                    break
            await loops.until(
                lambda: 's000' not in world.host.directory.usable('s00')
            )
            world.host.peer_client.is_enabled = False
            ran = len(leaving.ran)
            for _ in range(10):
                await world.send_request(test_peering.TARGET)
            return ran, len(leaving.ran)

        ran, ran_later = test_peering.play(scenario)
        self.assertGreater(ran, 0)
        self.assertEqual(ran, ran_later)


class BusyTest(unittest.TestCase):
    def test_pause_is_kept(self):
        """Guards against requests in the time that Retry-After names."""

        async def scenario(world):
            busy = world.backends_by_id['a0']
            busy.refuses = True
            busy.retry_after = b'30'
            await world.send_until_noticed('a0')
            answers = []
            for _ in range(20):
                # Longer in all than any other reason to avoid it.
                await curio.sleep(0.02)
                answers += await world.send_requests(1)
            return answers, busy.refused_count

        answers, refused_count = hostworld.run_scenario(scenario, NoticeWorld)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(refused_count, 1)

    def test_caller_is_told_when_to_return(self):
        """Guards against callers that come back during the pause."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.refuses = True
                backend.retry_after = b'30'
            answers = await world.send_requests(3)
            refused = [
                backend.refused_count
                for backend in world.backends_by_id.values()
            ]
            return answers, refused

        answers, refused = hostworld.run_scenario(scenario, NoticeWorld)
        self.assertEqual({answer.status for answer in answers}, {503})
        self.assertEqual(refused, [1, 1])
        self.assertGreater(float(answers[-1].headers['retry-after']), 25)

    def test_end_of_a_pause_is_logged(self):
        """Guards against a state whose end nobody can see."""

        async def scenario(world):
            busy = world.backends_by_id['a0']
            busy.refuses = True
            busy.retry_after = b'0.1'
            await world.send_until_noticed('a0')
            busy.refuses = False
            await curio.sleep(0.2)
            await world.send_until_noticed('a0')
            return dict(world.host._metrics.totals_by_name)

        totals = hostworld.run_scenario(scenario, NoticeWorld)
        self.assertEqual(totals['host.notices.paused'], 1)
        self.assertEqual(totals['host.notices.resumed'], 1)
        self.assertIn('backend server paused', list(events.Event))
