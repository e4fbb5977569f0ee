"""Client accounts: parsing, API keys, and what sees them."""

import base64
import collections
import json
import time
import unittest
from unittest import mock

import curio
import logbook

from cardamomflow import (
    changefeed,
    delegatedparts,
    errors,
    hosting,
    journal,
    links,
    requeststate,
    routes,
    rules,
)
from cardamomflow.accounts import authentication, table
from cardamomflow.platform import backendlink, documents, kvstore
from standins import users
from tests import hostworld, loops, test_dispatching

KEY = 'key-of-alpha'
ALPHA = {'name': 'alpha', 'api_keys': [KEY], 'priority': 2, 'rate_per_s': 9.5}
BETA = {'name': 'beta', 'api_keys': ['key-of-beta', 'second-of-beta']}


def parse_document(**fields):
    document = users.configuration_document(
        7, [users.route_document('r', '/r/', service='a', public=True)], ['a']
    )
    return documents.parse_routes(json.dumps({**document, **fields}).encode())


def parse(*accounts):
    return parse_document(tenants=list(accounts)).accounts


class ParsingTest(unittest.TestCase):
    def test_account_with_its_limits(self):
        """Guards against a wire field that is decoded into the wrong one."""
        accounts = parse({**ALPHA, 'burst': 3}, BETA)
        self.assertEqual(
            accounts.find(KEY), table.Account('alpha', rules.Rank.BULK, 9.5, 3)
        )
        self.assertEqual(accounts.find('second-of-beta').name, 'beta')
        self.assertFalse(accounts.find('key-of-beta').is_limited)
        self.assertIsNone(accounts.find('alpha'))
        self.assertEqual(accounts.problems, ())

    def test_accounts_are_optional(self):
        """Guards against keys that a deployment without accounts needs."""
        for fields in ({}, {'tenants': []}, {'tenants': None}):
            with self.subTest(fields):
                self.assertFalse(parse_document(**fields).accounts)

    def test_malformed_account_is_skipped(self):
        """Guards against one bad account that disables all others."""
        for changes in (
            {'name': None},
            {'name': ''},
            {'name': 'a\r\nx: y'},
            {'name': '\ud800'},
            {'api_keys': [KEY, 7]},
            {'api_keys': KEY},
            {'api_keys': None},
            {'rate_per_s': -1},
            {'rate_per_s': float('nan')},
            {'rate_per_s': 10**400},
            {'rate_per_s': 'fast'},
            {'burst': float('inf')},
            {'priority': 'high'},
        ):
            with self.subTest(changes):
                accounts = parse({**ALPHA, **changes}, BETA)
                self.assertEqual(list(accounts.accounts_by_name), ['beta'])
                self.assertIsNone(accounts.find(KEY))
                self.assertEqual(len(accounts.problems), 1)
                self.assertNotIn(KEY, accounts.problems[0])

    def test_only_malformed_accounts_open_nothing(self):
        """Guards against a typing error that lets everyone in."""
        for accounts in (7, {'alpha': ALPHA}, [None], [[]]):
            with self.subTest(accounts):
                parsed = parse_document(tenants=accounts).accounts
                self.assertTrue(parsed)
                self.assertIsNone(parsed.find(KEY))

    def test_shared_key_belongs_to_nobody(self):
        """Guards against requests that are charged to the wrong account."""
        accounts = parse(
            ALPHA, {**BETA, 'api_keys': [KEY, 'b', 'b']}, {**ALPHA, 'burst': 1}
        )
        self.assertIsNone(accounts.find(KEY))
        self.assertEqual(accounts.find('b').name, 'beta')
        self.assertEqual(
            accounts.problems,
            (
                "second account 'alpha': skipped",
                "key of several accounts, ignored: 'alpha', 'beta'",
            ),
        )

    def test_only_true_makes_a_route_public(self):
        """Guards against a malformed flag that opens a route."""
        for value, expected in ((True, True), ('false', False), (1, False)):
            document = users.route_document(
                'r', '/r/', service='a', public=value
            )
            parsed = parse_document(routes=[document])
            route = parsed.find('shop.example', '/r/x')
            self.assertIs(route.is_public, expected)

    def test_error_of_a_document_contains_no_key(self):
        """Guards against a key in the log line about a broken document."""
        whole = json.dumps({'tenants': [ALPHA]}).encode()
        for content in (b'%s\xff' % whole, whole[:-2], whole):
            with self.assertRaises(errors.ProtocolViolation) as caught:
                documents.parse_routes(content)
            self.assertNotIn(KEY, caught.exception.message)


class RelayTest(unittest.TestCase):
    """Configurations that hosts relay to each other."""

    def test_relayed_configuration_has_no_key_and_the_same_effect(self):
        """Guards against keys in messages to other hosts."""
        for accounts in (
            [ALPHA, BETA],
            [ALPHA, {**BETA, 'api_keys': [KEY, 'b']}],
            [{**ALPHA, 'name': ''}, BETA, None, {**ALPHA, 'burst': -1}],
            [{'name': KEY.upper(), 'note': KEY, 'api_keys': [KEY, 1]}],
            {'alpha': KEY},
            KEY,
        ):
            with self.subTest(accounts):
                document = users.configuration_document(1, [], ['a'])
                document['tenants'] = accounts
                content = json.dumps(document).encode()
                relayed = documents.replace_keys(content)
                self.assertNotIn(KEY, relayed.decode())
                # Hosts relay what they got from other hosts.
                self.assertEqual(documents.replace_keys(relayed), relayed)
                direct, indirect = (
                    documents.parse_routes(found).accounts
                    for found in (content, relayed)
                )
                self.assertTrue(indirect)
                for found in (indirect, direct):
                    self.assertIsNone(found.find('unknown'))
                self.assertEqual(
                    indirect.accounts_by_name, direct.accounts_by_name
                )
                self.assertEqual(
                    indirect._accounts_by_digest, direct._accounts_by_digest
                )
                self.assertEqual(len(indirect.problems), len(direct.problems))

    def test_content_of_a_watch_has_no_key(self):
        """Guards against a feed that carries the store's answer as it is."""
        store = users.Store()
        content = json.dumps({'tenants': [ALPHA]}).encode()
        document = users.configuration_document(1, [], ['a'])
        store.put('op/config', {**document, 'tenants': [ALPHA]})
        events = [store._render('op/config')]
        removed = {
            'key': 'op/config',
            'revision': 3,
            'removed': True,
            'value': base64.b64encode(content).decode(),
        }
        answer = {'events': [*events, removed], 'as_of': 3}
        client = kvstore.KvStore('127.0.0.1', 1, 0.5)
        changes = client.parse(json.dumps(answer).encode())
        values = [
            base64.b64decode(event.get('value', '')).decode()
            for event in json.loads(changes.content)['events']
        ]
        self.assertIn('"alpha"', values[0])
        self.assertNotIn(KEY, ''.join(values))
        again = client.parse(changes.content)
        self.assertEqual(again.table.accounts.find(KEY).name, 'alpha')

    def test_other_changes_are_relayed_as_they_are(self):
        """Guards against a changed feed where there is no configuration."""
        content = b'{"events": [], "as_of":3}'
        client = kvstore.KvStore('127.0.0.1', 1, 0.5)
        self.assertIs(client.parse(content).content, content)


class AuthenticationTest(unittest.TestCase):
    def authenticate(self, key, age_s=0, *, is_public=False):
        return authentication.authenticate(
            parse(ALPHA, BETA), key, age_s, is_public=is_public
        )

    def test_unknown_key_with_an_old_configuration(self):
        """Guards against a refusal of a key that was added meanwhile."""
        self.assertEqual(self.authenticate(KEY, 60).name, 'alpha')
        with self.assertRaises(errors.UnknownKey):
            self.authenticate('new', 3.9)
        with self.assertRaises(errors.NotReady) as caught:
            self.authenticate('new', 4.1)
        self.assertGreater(caught.exception.retry_after_s, 0)
        with self.assertRaises(errors.UnknownKey):
            self.authenticate(None, 60)

    def test_public_route(self):
        """Guards against a public route that needs a key or ignores one."""
        self.assertIsNone(self.authenticate(None, 60, is_public=True))
        self.assertIsNone(self.authenticate('new', 60, is_public=True))
        self.assertEqual(self.authenticate(KEY, is_public=True).name, 'alpha')

    def test_suspension_counts_as_age(self):
        """Guards against a suspended host that trusts what it knew."""
        age = authentication.ConfirmationAge()
        self.assertGreater(age.age_s(1000), authentication.MAX_AGE_S)
        age.record(9, 10, 110)
        self.assertEqual(age.age_s(111), 2)
        # 60 s later; the answer that is read now came before the suspension.
        age.record(11, 11, 171)
        self.assertGreater(age.age_s(171), 60)
        age.record(12, 12, 172)
        self.assertEqual(age.age_s(172), 0)

    def test_second_message_from_before_a_suspension(self):
        """Guards against several old messages that are read at once."""
        age = authentication.ConfirmationAge()
        age.record(9, 10, 110)
        for _ in range(3):
            age.record(9.9, 10.1, 120.1)
        self.assertGreater(age.age_s(120.1), 10)
        age.record(10.2, 10.3, 120.3)
        self.assertLess(age.age_s(120.3), 1)


class WorkTest(unittest.TestCase):
    def test_rank_and_account_reach_the_owner_of_a_part(self):
        """Guards against an owner that queues a request with another rank."""
        work = requeststate.Work(
            test_dispatching.make_route(),
            ('a', 'b'),
            backendlink.Message(b'GET', b'/x', [(b'host', b'h')], b'', b'r1'),
            0,
            requeststate.TimeBudget(1),
            table.Account('alpha', rules.Rank.BULK),
        )
        self.assertIs(work.rank, rules.Rank.BULK)
        request = delegatedparts.build_request(work, 1, ['a'], 'host', 0)
        delegated = delegatedparts.build_work(request, 0)
        self.assertIs(delegated.rank, rules.Rank.BULK)
        self.assertEqual(delegated.account.name, 'alpha')
        # The other host determined the rank, whatever this one knows.
        delegated.account = table.Account('alpha', rules.Rank.URGENT)
        self.assertIs(delegated.rank, rules.Rank.BULK)

    def test_owner_of_a_part_removes_keys_of_other_releases(self):
        """Guards against keys and accounts in the headers of a handover."""
        headers = [
            (b'host', b'h'),
            (b'X-Key', KEY.encode()),
            (b'x-tenant', b'beta'),
            (b'content-length', b'0'),
        ]
        for account, expected in (
            (None, []),
            (table.Account('alpha'), [(b'x-tenant', b'alpha')]),
        ):
            work = requeststate.Work(
                test_dispatching.make_route(),
                ('a', 'b'),
                backendlink.Message(b'GET', b'/x', headers, b'', b'r1'),
                0,
                requeststate.TimeBudget(1),
                account,
            )
            request = delegatedparts.build_request(work, 1, ['a'], 'host', 0)
            message = delegatedparts.build_work(request, 0).message
            self.assertEqual(
                message.headers,
                [(b'host', b'h'), (b'content-length', b'0'), *expected],
            )

    def test_error_does_not_quote_a_malformed_request(self):
        """Guards against secrets in errors that are logged."""
        for header in ((b'x-a', b'secret\x00'), (b'secret:', b'a')):
            message = backendlink.Message(b'GET', b'/x', [header], b'', b'r1')
            with self.assertRaises(errors.ProtocolViolation) as caught:
                backendlink.create_request_event(message)
            self.assertNotIn('secret', caught.exception.message)


class EarlyRefusalTest(unittest.TestCase):
    """One account floods a service whose servers take 0.1 s for a request."""

    def flood(self, accounts):
        """Return the requests of the flood, and one of another account."""
        world = test_dispatching.World(('a',), connections=1)
        world.dispatcher.apply(
            routes.RouteTable(
                2, [], {'a': 1}, routes.Limits(1, 1, 1, 1), accounts
            )
        )
        flood = []
        other = None
        sent = collections.deque()
        for step in range(200):
            now = step / 100
            while sent and sent[0].started_at <= now - 0.1:
                world.dispatcher.on_reply(
                    sent.popleft(), test_dispatching.reply(), now
                )
                sent.extend(world.send_attempts())
            if step == 150:
                other = self.start(world, 'beta', now)
            flood.append(self.start(world, 'alpha', now))
            sent.extend(world.send_attempts())
        return flood, other

    def test_refusal_at_its_turn_wakes_the_request(self):
        """Guards against a refused request that waits for its deadline."""

        async def scenario(world):
            requests = world.host.active_requests
            work = requeststate.Work(
                test_dispatching.make_payment(),
                ('unlisted',),
                None,
                0,
                requeststate.TimeBudget(1),
            )
            changed = curio.Event()
            requests._changed_by_work[work] = changed
            requests.dispatcher.queues._refused_works.append(work)
            await requests.send()
            return changed.is_set()

        self.assertTrue(hostworld.run_scenario(scenario))

    def start(self, world, name, now):
        work = requeststate.Work(
            test_dispatching.make_payment(),
            ('a',),
            backendlink.Message(b'POST', b'/x', [], b'', b'r1'),
            now,
            requeststate.TimeBudget(1),
            table.Account(name),
        )
        world.dispatcher.start(work, now)
        return work

    def reasons(self, works):
        return {work.subrequests[0].failure_reason for work in works}

    def test_request_whose_turn_comes_too_late_is_refused_at_once(self):
        """Guards against a refusal at the deadline, and one of others."""
        flood, other = self.flood(parse(ALPHA, BETA))
        refused = [work for work in flood if work.failed_count]
        self.assertGreater(len(refused), 50)
        self.assertEqual(self.reasons(refused), {'deadline_unreachable'})
        for work in refused:
            self.assertEqual(work.subrequests[0].attempts, [])
            self.assertIs(work.end(), requeststate.Ending.NOT_RUN)
            with self.assertRaises(errors.DeadlineUnreachable):
                hosting._raise_failure(work, requeststate.Ending.NOT_RUN, 1)
        self.assertEqual(other.answered_count, 1)
        self.assertLess(other.subrequests[0].attempts[0].started_at, 1.7)

    def test_request_that_is_too_late_at_its_turn_is_not_sent(self):
        """Guards against work for answers that nobody waits for."""
        flood, _ = self.flood(parse(ALPHA, BETA))
        attempts = [
            attempt
            for work in flood
            for attempt in work.subrequests[0].attempts
        ]
        self.assertGreater(len(attempts), 30)
        # Every attempt is answered after 0.1 s.
        for attempt in attempts:
            deadline = attempt.subrequest.work.deadline
            self.assertLessEqual(attempt.started_at + 0.1, deadline + 0.02)

    def test_without_accounts_nothing_is_refused_early(self):
        """Guards against refusals in deployments without accounts."""
        flood, other = self.flood(table.NO_ACCOUNTS)
        self.assertEqual(self.reasons([*flood, other]), {None})


class AccountWorld(hostworld.HostWorld):
    """A host with two accounts and a public route."""

    accounts = (ALPHA, BETA)

    def create_configuration(self, version, prefix):
        document = super().create_configuration(version, prefix)
        for route in document['routes']:
            route['public'] = route['name'] == 'report'
        return {**document, 'tenants': list(self.accounts)}

    async def ask(self, target, *keys, **changes):
        headers = [('X-Key', key) for key in keys]
        headers.append(('x-tenant', 'beta'))
        return await self.send_request(target, headers=headers, **changes)

    def received(self):
        """Return the headers that backend servers received."""
        return [
            request.headers
            for backend in self.backends_by_id.values()
            for request in backend.ran
        ]


class PlainWorld(AccountWorld):
    """A host without accounts."""

    accounts = ()


class HostTest(unittest.TestCase):
    def run_scenario(self, scenario, world=AccountWorld, **shape):
        return hostworld.run_scenario(scenario, world=world, **shape)

    def test_backend_server_gets_the_account_and_no_key(self):
        """Guards against a leaked key and a name that the client chose."""

        async def scenario(world):
            statuses = [
                (await world.ask(target, KEY)).status
                for target in ('/statement/x', '/lookup/x', '/report/x')
            ]
            public = await world.ask('/report/x')
            return [*statuses, public.status], world.received()

        statuses, received = self.run_scenario(scenario)
        self.assertEqual(set(statuses), {200})
        self.assertNotIn(KEY, json.dumps(received))
        self.assertEqual(
            [headers.get('x-tenant') for headers in received].count('alpha'), 4
        )
        self.assertEqual(
            [headers.get('x-tenant') for headers in received].count(None), 1
        )

    def test_without_accounts_no_route_passes_a_key_on(self):
        """Guards against a host without accounts that trusts its callers."""
        targets = (
            ('/statement/x', 'GET'),
            ('/lookup/x', 'GET'),
            ('/report/x', 'GET'),
            ('/payment/x', 'POST'),
        )

        async def scenario(world):
            return [
                (
                    await world.send_request(
                        target,
                        method,
                        headers=[
                            ('X-Key', KEY),
                            ('X-Tenant', 'beta'),
                            ('X-Other', target),
                        ],
                    )
                ).status
                for target, method in targets
            ], world.received()

        statuses, received = self.run_scenario(scenario, PlainWorld)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(
            {headers['x-other'] for headers in received},
            {target for target, _ in targets},
        )
        for headers in received:
            self.assertNotIn('x-key', headers)
            self.assertNotIn('x-tenant', headers)

    def test_missing_unknown_and_repeated_keys_are_refused(self):
        """Guards against requests that get in without an account."""

        async def scenario(world):
            answers = [
                await world.ask('/statement/x', *keys)
                for keys in ((), ('',), ('x',), (KEY, KEY), (f'{KEY}, x',))
            ]
            return answers, world.received()

        answers, received = self.run_scenario(scenario)
        self.assertEqual(received, [])
        for answer in answers:
            self.assertEqual(answer.status, 401)
            error = json.loads(answer.body)['error']
            self.assertEqual(error['code'], 'unknown_key')
            self.assertEqual(error['outcome'], 'not_run')
            self.assertNotIn(KEY, answer.body.decode())

    def test_key_is_checked_for_each_request_of_a_connection(self):
        """Guards against a removed key that an open connection still uses."""

        async def scenario(world):
            sock = await links.open_socket('127.0.0.1', world.callers_port, 1)
            async with sock:
                before = await send_on(sock, KEY)
                world.accounts = (BETA,)
                world.publish(2)
                await loops.until(lambda: world.host._table.revision == 2)
                return before, await send_on(sock, KEY)

        before, after = self.run_scenario(scenario)
        self.assertIn(b' 200 ', before)
        self.assertIn(b' 401 ', after)

    def test_unconfirmed_host_refuses_unknown_keys_for_now(self):
        """Guards against a 401 from a host that is cut off from the store."""

        async def scenario(world):
            world.store.is_down = True
            boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
            with mock.patch(
                'cardamomflow.quotas.service.boottime',
                return_value=boot_time + 5,
            ):
                return (
                    await world.ask('/statement/x', KEY),
                    await world.ask('/statement/x', 'new'),
                )

        known, unknown = self.run_scenario(scenario)
        self.assertEqual(known.status, 200)
        self.assertEqual(unknown.status, 503)
        self.assertEqual(hostworld.error_code(unknown), 'not_ready')
        self.assertIn('retry-after', unknown.headers)

    def test_no_output_contains_a_key(self):
        """Guards against keys in log lines, metrics, errors and messages."""

        async def scenario(world):
            for backend in world.backends_by_id.values():
                backend.status = 500
            answers = [
                await world.ask(target, KEY)
                for target in ('/statement/x', '/lookup/x', '/nowhere/x')
            ]
            answers.append(await world.ask('/statement/x', KEY, 'x'))
            malformed = await send_malformed(world.callers_port)
            page = world.host._metrics.render()
            return [answer.body for answer in answers], malformed, page

        log = logbook.TestHandler()
        log.formatter = journal._format
        logger = logbook.Logger('host-1')
        with (
            log.applicationbound(),
            mock.patch.object(journal, 'create', return_value=logger),
        ):
            outputs = self.run_scenario(scenario)
        lines = '\n'.join(log.formatted_records)
        self.assertIn('"account": "alpha"', lines)
        self.assertIn('unknown_key', lines)
        for output in (*outputs, lines):
            self.assertNotIn(KEY, str(output))

    def test_relayed_lists_contain_no_key(self):
        """Guards against keys in the lists that turned-away hosts receive."""

        async def scenario(world):
            store_port = world.store_port
            client = kvstore.KvStore('127.0.0.1', store_port, 0.5)
            # The first read may be stale and is completed by a watch.
            lists = [await client.read(), await client.read()]
            await client.close()
            updates = world.parts.feed_links._history.since(
                changefeed.Position(0, 0), wants_lists=True
            )
            relayed = [
                changefeed.unpack(update.content)
                for update in updates
                if update.content
            ]
            return [*relayed, *(found.content for found in lists)]

        contents = self.run_scenario(scenario)
        self.assertGreater(len(contents), 2)
        client = kvstore.KvStore('127.0.0.1', 1, 0.5)
        for content in contents:
            with self.subTest(content):
                items = json.loads(content)['events']
                values = [
                    base64.b64decode(item.get('value', '')).decode()
                    for item in items
                ]
                self.assertNotIn(KEY, ''.join(values))
                accounts = client.parse(content).table.accounts
                self.assertEqual(accounts.find(KEY).name, 'alpha')

    def test_owner_of_parts_queues_with_its_own_limits(self):
        """Guards against an owner that gives every account one weight."""

        async def scenario(world):
            accounts = []

            async def run_parts(work, report):
                accounts.append(work.account)
                return requeststate.Ending.NOT_RUN

            with mock.patch.object(
                world.host.active_requests, 'run_parts', run_parts
            ):
                for name in ('alpha', 'new'):
                    work = delegatedparts.DelegatedWork(
                        test_dispatching.make_route(),
                        backendlink.Message(b'GET', b'/x', [], b'', b'r1'),
                        0,
                        1,
                        table.Account(name),
                    )
                    await world.host.serve_parts(work, None, 'host-2')
            return [(account.name, account.weight) for account in accounts]

        weights = self.run_scenario(scenario)
        self.assertEqual(weights, [('alpha', 9.5), ('new', 1)])

    def test_rank_of_the_account_replaces_that_of_the_route(self):
        """Guards against metrics and queues with the rank of the route."""

        async def scenario(world):
            await world.ask('/statement/x', KEY)
            await world.ask('/statement/x', 'key-of-beta')
            return world.host._metrics.render().decode()

        page = self.run_scenario(scenario)
        for rank in ('bulk', 'urgent'):
            self.assertIn(f'duration_seconds_count{{rank="{rank}"}} 1.0', page)


async def send_on(sock, key):
    """Send a request on an open connection; return the answer."""
    await sock.sendall(
        b'GET /statement/x HTTP/1.1\r\nhost: shop.example\r\n'
        b'x-request-id: r1\r\nx-key: %s\r\n\r\n' % key.encode()
    )
    async with curio.timeout_after(5):
        return await sock.recv(65_536)


async def send_malformed(port):
    """Send a head whose key is malformed; return the answer."""
    sock = await links.open_socket('127.0.0.1', port, 1)
    async with sock:
        await sock.sendall(
            b'GET / HTTP/1.1\r\nhost: a\r\nx-key : %s\r\n\r\n' % KEY.encode()
        )
        async with curio.timeout_after(5):
            return await sock.recv(65_536)


if __name__ == '__main__':
    unittest.main()
