"""Bytes that commit a47eb72 sent and stored, read and written by this code.

Processes of two builds run side by side during an update, and a build reads
what an earlier one has stored. The files in `tests/recorded` stand for the
earlier build. Names of fields, numbers on the wire and keys of rendezvous
hashing are spelled out here, so that a renamed one fails.
"""

import json
import pathlib
import tempfile
import unittest
import zlib

import yaml

from cardamomflow import (
    changefeed,
    claims,
    configuration,
    errors,
    frames,
    ownership,
    platform,
    propagation,
    publications,
    routing,
    rules,
    scatter,
    settings,
)
from cardamomflow.generated import control_pb2, wire_pb2
from cardamomflow.platform import documents, kvstore
from tests.recorded import generate, values

FOLDER = pathlib.Path(__file__).parent / 'recorded'
MINUTE = 29_940_903
# Fields that a build after a47eb72 has added; that build sends none of them.
ADDED_FIELDS_BY_MESSAGE = {
    'PartsAnswer': {'leaving', 'needs_attempt'},
    'PartsRequest': {'account', 'granted_attempts'},
    'FeedRequest': {'era', 'probe', 'wants_lists'},
    'FeedUpdate': {
        'era',
        'turned_away',
        'is_probe_answer',
        'is_complete',
    },
}
# Messages that a later build has added.
ADDED_MESSAGES = {'token_request', 'token_grant', 'parts_grant'}
CLAIMANT = 'aggregator-zone-a/d40cbfa6'
TOKEN = 'aggregator-zone-a/f2a74de452e6b438'
DIGEST = 'a8958346f2be6d6dee7786e06c243b5c'
NO_CONTENT = {'payload': b'', 'result': b'', 'result_omitted': False}
SENT = {
    'state': 'dispatching',
    'token': TOKEN,
    'claimant': CLAIMANT,
    'digest': DIGEST,
    'changed_at': 1796454238,
    'deadline': 1796454240.5,
    'rank': 1,
    'origin': '',
    **NO_CONTENT,
}
ACCEPTED = {
    **SENT,
    'state': 'accepted',
    'token': 't1',
    'deadline': 0,
    'rank': 3,
    'origin': 't1',
    'payload': b'{"kg": 410}',
}
ENDED = {**SENT, 'changed_at': 1796454239}
CLAIMS = {
    'sent': SENT,
    'accepted': ACCEPTED,
    'taken': {
        **ACCEPTED,
        'state': 'dispatching',
        'token': 't2',
        'deadline': 1796454268,
    },
    'run': {**ENDED, 'state': 'run', 'result': b'{"paid": 1}'},
    'large': {**ENDED, 'state': 'run', 'result_omitted': True},
    'not_run': {**ENDED, 'state': 'not_run'},
    'unknown': {**ENDED, 'state': 'unknown'},
    'again': {**ACCEPTED, 'changed_at': 1796454239, 'deadline': 1796454268},
}


def read(name):
    return (FOLDER / name).read_bytes()


class WrittenAgainTest(unittest.TestCase):
    def test_files_are_written_as_before(self):
        """Guards against data that an earlier build can not read."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            recorder = generate.Recorder(folder)
            recorder.record()
            written = {path.name: path for path in folder.iterdir()}
            recorded = {
                path.name
                for path in FOLDER.iterdir()
                if path.is_file() and path.suffix != '.py'
            }
            self.assertEqual(written.keys(), recorded)
            for path in written.values():
                with self.subTest(path.name):
                    self.assertEqual(
                        self.comparable(path.name, path.read_bytes()),
                        self.comparable(path.name, read(path.name)),
                    )

    def comparable(self, name, content):
        """Return content without compression, which depends on zlib."""
        return zlib.decompress(content) if name.endswith('.bin') else content


class SettingsTest(unittest.TestCase):
    def test_settings_are_valid_and_mean_the_same(self):
        """Guards against a process that refuses its settings on update."""
        for program, expected in values.SETTINGS.items():
            with self.subTest(program):
                document = yaml.safe_load(read(f'{program}.yaml'))
                self.assertEqual(document, expected)
                self.assertEqual(settings.check(document, program, 'file'), [])

    def test_own_entry_of_a_host_comes_from_its_settings(self):
        """Guards against a setting that is accepted and not used."""
        document = yaml.safe_load(read('host.yaml'))
        self.assertEqual(
            tuple(ownership.own_member(document)),
            ('front-1', 'z1', '10.1.0.9', 7395, 1.074),
        )


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.stored = read('configuration.bin')
        self.read = configuration.Configuration.decode(self.stored)

    def test_key_and_identity(self):
        """Guards against a configuration that is not found any more."""
        self.assertEqual(configuration.KEY, 'config/current')
        self.assertEqual(self.read.revision, 2)
        self.assertEqual(self.read.publish_id, 'id-2')

    def test_register_is_read(self):
        """Guards against a renamed key of the register."""
        register = self.read.register
        backend = (
            'lots-1-a',
            'lots-1',
            'zone-a',
            '127.0.0.1',
            9001,
            'h7',
            True,
            0,
            0,
        )
        self.assertEqual(
            tuple(register),
            (
                {'zone-a': 'serra', 'zone-b': 'serra'},
                {'lots-1': ('lots-1', 'lots', 2, 25, 6)},
                {'lots': ('lots', ('lots-1',), {1: 4})},
                {'lots-1-a': backend},
                {'lots-1': (backend,)},
            ),
        )

    def test_rules_are_read(self):
        """Guards against a renamed key of the rules."""
        self.assertEqual(
            tuple(self.read.rules),
            (
                {1: (360, 0.5), 2: (1500, 0.2), 3: (30000, 0.1)},
                {
                    'lot-history': ('lot-history', 1, True),
                    'record-lot': ('record-lot', 3, False),
                },
                (0.04, 7),
                (0.2, 4),
                0.3,
            ),
        )

    def test_documents_are_valid(self):
        """Guards against a register that can not be published again."""
        for name, expected in (
            ('register', values.REGISTER),
            ('rules', values.RULES),
        ):
            with self.subTest(name):
                document = yaml.safe_load(read(f'{name}.yaml'))
                self.assertEqual(document, expected)
                self.assertEqual(self.read.document[name], expected)
                self.assertEqual(settings.check(document, name, 'file'), [])

    def test_history_is_continued(self):
        """Guards against a publication that does not recognise itself."""
        present = publications.StoredConfiguration(
            platform.Entry(self.stored, 5)
        )
        self.assertEqual(
            present.find_publication(2)['changes'],
            [
                '- rules.work.alert: {"rank": "urgent"}',
                '+ rules.work.lot-history: {"rank": "urgent"}',
                '+ rules.work.record-lot: {"rank": "bulk", "repeatable":'
                ' false}',
            ],
        )
        own = publications.Proposal({}, {}, 0, 'id-1')
        self.assertEqual(
            publications.find_result(present, own).newest_revision, 2
        )
        later = publications.Proposal(values.REGISTER, values.RULES, 2, 'id-3')
        document = present.make_successor(later)
        self.assertEqual(
            [
                (one['revision'], one['publish_id'], one['published_at'])
                for one in document['history'][:2]
            ],
            [(1, 'id-1', 1796454238), (2, 'id-2', 1796454238)],
        )


class ClaimsTest(unittest.TestCase):
    def setUp(self):
        self.bucket = claims.decode(read('claims.json'))

    def find(self, key):
        return claims.find(self.bucket, f'1796454238/{key}')

    def test_every_state_is_read(self):
        """Guards against an operation that runs twice after an update."""
        for key, expected in CLAIMS.items():
            with self.subTest(key):
                self.assertEqual(self.find(key)._asdict(), expected)
        self.assertEqual(
            {record['state'] for record in CLAIMS.values()},
            {state.value for state in claims.State},
        )

    def test_bucket_is_written_as_before(self):
        """Guards against a claim that the other build can not read."""
        bucket = {
            f'1796454238/{key}': self.find(key).encode() for key in CLAIMS
        }
        self.assertEqual(
            claims.encode({**bucket, 'listed': True}), read('claims.json')
        )

    def test_open_claims_are_found(self):
        """Guards against deferred work that nobody takes over."""
        self.assertEqual(
            [
                (member, record.payload)
                for member, record in claims.open_claims(self.bucket)
            ],
            [
                ('1796454238/sent', b''),
                ('1796454238/accepted', b'{"kg": 410}'),
                ('1796454238/taken', b'{"kg": 410}'),
                ('1796454238/again', b'{"kg": 410}'),
            ],
        )

    def test_times_and_payloads_mean_the_same(self):
        """Guards against a claim given up too early, or for another one."""
        sent = self.find('sent')
        self.assertFalse(sent.is_expired(1796454300))
        self.assertTrue(sent.is_expired(1796454301))
        self.assertTrue(sent.has_payload(b'{"kg": 410}'))
        self.assertFalse(sent.has_payload(b'{"kg": 411}'))
        self.assertEqual(
            [self.find(key).deferred for key in ('sent', 'again')],
            [False, True],
        )

    def test_keys(self):
        """Guards against claims that are looked for under another key."""
        operation = claims.Operation('lots-1', 'k/1', 1796454238)
        self.assertEqual(operation.bucket, f'claims/{MINUTE}/lots-1')
        self.assertEqual(operation.member, '1796454238/k/1')
        self.assertEqual(operation.operation_key, 'lots-1/1796454238/k/1')
        self.assertEqual(claims.index_key('lots-1'), 'claims/open/lots-1')
        self.assertEqual(claims.LISTED, 'listed')

    def test_index_of_open_claims(self):
        """Guards against minutes that are not looked through."""
        index = claims.decode(read('open.json'))
        self.assertEqual(
            index,
            {
                '29940900': 'aggregator-zone-a/6513270e269e0d37',
                '29940904': 'aggregator-zone-a/0c5c7fd0a6a3a450',
            },
        )
        self.assertEqual(claims.encode(index), read('open.json'))


class MessageTest(unittest.TestCase):
    """One recorded message of each kind, all of its fields set."""

    def check_frames(self, message_type, name, fields_by_kind):
        stream = read(name)
        messages = list(frames.FrameReader(message_type).feed(stream))
        kinds = [message.WhichOneof('body') for message in messages]
        self.assertEqual(kinds, list(fields_by_kind))
        body = message_type.DESCRIPTOR.oneofs_by_name['body']
        known = {field.name for field in body.fields} - ADDED_MESSAGES
        self.assertEqual(set(kinds), known)
        for message, fields in zip(
            messages, fields_by_kind.values(), strict=True
        ):
            kind = message.WhichOneof('body')
            with self.subTest(kind):
                expected = message_type(**{kind: fields})
                self.assertEqual(message, expected)
                self.check_fields(getattr(message, kind))
        written = b''.join(frames.encode(message) for message in messages)
        self.assertEqual(written, stream)

    def check_fields(self, message):
        """Check that no field of the schema is missing in the record."""
        present = {field.name: value for field, value in message.ListFields()}
        chosen = {
            field.name
            for group in message.DESCRIPTOR.oneofs
            if len(group.fields) > 1
            for field in group.fields
        }
        added = ADDED_FIELDS_BY_MESSAGE.get(message.DESCRIPTOR.name, set())
        expected = set(message.DESCRIPTOR.fields_by_name) - chosen
        self.assertEqual(present.keys() - chosen, expected - added)
        for field, value in message.ListFields():
            if field.message_type is None:
                continue
            if field.message_type.GetOptions().map_entry:
                continue
            one = value[0] if field.is_repeated else value
            with self.subTest(field.full_name):
                self.check_fields(one)

    def test_messages_between_entries_aggregators_and_hosts(self):
        """Guards against a renamed or renumbered field of wire.proto."""
        self.check_frames(wire_pb2.Envelope, 'wire.frames', values.WIRE)

    def test_added_fields(self):
        """Guards against a renumbered field that was added later."""
        answer = wire_pb2.PartsAnswer(
            leaving=[{'backend_id': 'a0', 'incarnation': 300}]
        )
        self.assertEqual(
            answer.SerializeToString(), b'\x32\x07\x0a\x02a0\x10\xac\x02'
        )
        for message, expected in (
            (wire_pb2.PartsAnswer(needs_attempt=['a']), b'\x3a\x01a'),
            (wire_pb2.PartsRequest(account='a'), b'\x5a\x01a'),
            (wire_pb2.PartsRequest(granted_attempts=1), b'\x60\x01'),
            (wire_pb2.FeedRequest(era=2), b'\x28\x02'),
            (wire_pb2.FeedRequest(probe=True), b'\x30\x01'),
            (wire_pb2.FeedRequest(wants_lists=True), b'\x38\x01'),
            (wire_pb2.FeedUpdate(era=2), b'\x38\x02'),
            (wire_pb2.FeedUpdate(turned_away=True), b'\x40\x01'),
            (wire_pb2.FeedUpdate(is_probe_answer=True), b'\x48\x01'),
            (wire_pb2.FeedUpdate(is_complete=True), b'\x50\x01'),
            (wire_pb2.TokenGrant(valid_ms=2), b'\x28\x02'),
            (
                wire_pb2.TokenGrant(view_hash=2),
                b'\x31\x02\x00\x00\x00\x00\x00\x00\x00',
            ),
            (wire_pb2.TokenGrant(is_witness=True), b'\x38\x01'),
        ):
            with self.subTest(str(message)):
                self.assertEqual(message.SerializeToString(), expected)

    def test_added_messages(self):
        """Guards against a renumbered message that was added later."""
        for envelope, expected in (
            (
                wire_pb2.Envelope(
                    token_request={
                        'request_id': 1,
                        'account': 'a',
                        'tokens': 2,
                        'asked_by': 'h',
                    }
                ),
                b'\x82\x01\x0a\x08\x01\x12\x01a\x18\x02\x22\x01h',
            ),
            (
                wire_pb2.Envelope(
                    token_grant={
                        'request_id': 1,
                        'tokens': 2,
                        'wait_ms': 3,
                        'is_holder': True,
                    }
                ),
                b'\x8a\x01\x08\x08\x01\x10\x02\x18\x03\x20\x01',
            ),
            (
                wire_pb2.Envelope(
                    parts_grant={'attempt_id': 1, 'services': ['a']}
                ),
                b'\x92\x01\x05\x08\x01\x12\x01a',
            ),
        ):
            with self.subTest(envelope.WhichOneof('body')):
                self.assertEqual(envelope.SerializeToString(), expected)

    def test_messages_between_agents_and_local_processes(self):
        """Guards against a renamed or renumbered field of control.proto."""
        self.check_frames(control_pb2.Message, 'control.frames', values.CONTROL)

    def test_datagrams_between_agents(self):
        """Guards against agents that do not see each other alive."""
        group = control_pb2.Datagram.DESCRIPTOR.oneofs_by_name['body']
        self.assertEqual(
            values.DATAGRAMS.keys(), {field.name for field in group.fields}
        )
        for kind, fields in values.DATAGRAMS.items():
            with self.subTest(kind):
                recorded = read(f'{kind}.datagram')
                datagram = control_pb2.Datagram.FromString(recorded)
                expected = control_pb2.Datagram(
                    **values.DATAGRAM, **{kind: fields}
                )
                self.assertEqual(datagram.WhichOneof('body'), kind)
                self.assertEqual(datagram, expected)
                self.assertEqual(datagram.SerializeToString(), recorded)
                self.check_fields(datagram)

    def test_numbers_of_enumerations(self):
        """Guards against a value that means another one elsewhere."""
        self.assertEqual(
            dict(wire_pb2.Rank.items()),
            {
                'RANK_UNSPECIFIED': 0,
                'RANK_URGENT': 1,
                'RANK_STANDARD': 2,
                'RANK_BULK': 3,
            },
        )
        self.assertEqual(
            dict(wire_pb2.Outcome.items()),
            {
                'OUTCOME_UNSPECIFIED': 0,
                'OUTCOME_NOT_RUN': 1,
                'OUTCOME_RUN': 2,
                'OUTCOME_UNKNOWN': 3,
                'OUTCOME_ACCEPTED': 4,
            },
        )
        self.assertEqual(
            dict(control_pb2.MemberState.items()),
            {
                'MEMBER_STATE_UNSPECIFIED': 0,
                'MEMBER_STATE_JOINING': 1,
                'MEMBER_STATE_ALIVE': 2,
                'MEMBER_STATE_SUSPECT': 3,
                'MEMBER_STATE_LEAVING': 4,
                'MEMBER_STATE_DEAD': 5,
            },
        )
        self.assertEqual(
            {rank.label: scatter.rank_number(rank) for rank in rules.Rank},
            {'urgent': 1, 'standard': 2, 'bulk': 3},
        )
        self.assertEqual(
            {outcome.value for outcome in errors.Outcome},
            {'not_run', 'run', 'unknown', 'accepted'},
        )


class FeedTest(unittest.TestCase):
    def setUp(self):
        self.store = kvstore.KvStore('127.0.0.1', 1)

    def check_changes(self, content):
        changes = self.store.parse(content)
        self.assertEqual(changes.revision, 6)
        self.assertEqual(
            [tuple(entry) for entry in changes.entries],
            [
                (
                    'a0',
                    3,
                    ('a0', 'a', 'z1', '127.0.0.1', 9001, '', False, 0, 0),
                ),
                ('b0', 5, None),
            ],
        )
        self.assertEqual(
            [tuple(host) for host in changes.hosts],
            [
                (
                    'front-1',
                    True,
                    ('front-1', 'z1', '10.1.0.9', 7395, 1.074),
                ),
                ('front-2', False, None),
            ],
        )
        return changes

    def test_changes_in_the_form_of_the_platform(self):
        """Guards against a host that reads the platform differently."""
        changes = self.check_changes(read('changes.json'))
        self.assertEqual(changes.table.revision, 3)
        shop = 'shop.example'
        self.assertEqual(
            tuple(changes.table.find(shop, '/lookup/x')),
            (
                'lookup',
                shop,
                '/lookup/',
                ('a', 'b'),
                (),
                True,
                2,
                2.0,
                0.5,
                1,
                3,
                1,
                False,
            ),
        )
        self.assertEqual(
            tuple(changes.table.find(shop, '/pay/x')),
            (
                'payment',
                shop,
                '/pay/',
                (),
                (('a', 1),),
                False,
                2,
                2.0,
                0.5,
                1,
                0,
                1,
                False,
            ),
        )

    def test_compressed_changes_of_a_relay(self):
        """Guards against a subscriber that can not read its relay."""
        packed = read('changes.bin')
        self.assertEqual(changefeed.unpack(packed), read('changes.json'))
        self.check_changes(changefeed.unpack(packed))
        self.assertEqual(
            zlib.decompress(changefeed.pack(read('changes.json'))),
            read('changes.json'),
        )

    def test_host_entry(self):
        """Guards against hosts that do not count or reach each other."""
        entry = read('host.json')
        member = documents.parse_member('front-1', entry)
        self.assertEqual(
            tuple(member), ('front-1', 'z1', '10.1.0.9', 7395, 1.074)
        )
        self.assertEqual(documents.encode_member(member), entry)
        self.assertEqual(
            json.loads(entry),
            {
                'availability_zone': 'z1',
                'peers': '10.1.0.9:7395',
                'capacity': 1.074,
            },
        )


class RendezvousTest(unittest.TestCase):
    """Choices that processes of one zone or fleet have to make alike."""

    def member(self, host_id, zone='z1', capacity=1):
        return ownership.Member(host_id, zone, '10.1.0.9', 7395, capacity)

    def test_scores(self):
        """Guards against another hash of a key and a member."""
        self.assertEqual(
            [
                routing.score('lots-1', 'aggregator-zone-a'),
                routing.score('news', 'front-1'),
                routing.score('cell', 'front-1'),
            ],
            [0xBB8BD5496F6915E6, 0xDF5711ED7A30C4, 0x92A294F3E3CB339D],
        )

    def test_owner_and_standby_of_a_service(self):
        """Guards against two aggregators that both own a service."""
        ids = [f'aggregator-{number}' for number in range(6)]
        self.assertEqual(
            [routing.owners(name, ids) for name in ('lots-1', 'lots-2')],
            [
                ('aggregator-3', 'aggregator-0'),
                ('aggregator-0', 'aggregator-1'),
            ],
        )

    def test_agents_that_read_the_platform(self):
        """Guards against a zone in which no agent reads the platform."""
        self.assertEqual(
            propagation.watchers(f'agent-{number}' for number in range(8)),
            ['agent-2', 'agent-7'],
        )

    def test_order_of_relays(self):
        """Guards against hosts that wait for each other as relay."""
        usable = [f'front-{number}' for number in range(1, 9)]
        group = [self.member(host_id) for host_id in usable]
        subscription = changefeed.Subscription('another')
        order = []
        while usable:
            relay = subscription.choose_relay(group, usable, 0)
            order.append(relay)
            usable.remove(relay)
        self.assertEqual(
            [host_id.removeprefix('front-') for host_id in order],
            ['1', '6', '7', '8', '5', '2', '3', '4'],
        )

    def test_owners_of_parts(self):
        """Guards against a service that every host asks itself."""
        ids = [f'front-{number}' for number in range(1, 9)]
        owners = ownership.Ownership(self.member('front-1'))
        owners.apply(
            [
                self.member(host_id, capacity=1 + place % 3)
                for place, host_id in enumerate(ids)
            ],
            {'z1'},
            ownership.Placement(90, {}),
        )
        services = [f's{number:02}' for number in range(26)]
        self.assertEqual(
            owners.assign(services, set(ids)),
            {
                'front-2': ['s12', 's15', 's20'],
                'front-3': ['s02', 's04', 's11', 's14', 's17'],
                'front-4': ['s23'],
                'front-5': ['s08', 's19', 's22'],
                'front-6': [
                    's00',
                    's01',
                    's03',
                    's05',
                    's06',
                    's09',
                    's13',
                    's25',
                ],
                'front-7': ['s10', 's16'],
                'front-8': ['s07', 's18', 's21', 's24'],
            },
        )

    def test_group_of_another_zone(self):
        """Guards against hosts of a zone that hand parts to all others."""
        far = [self.member(f'far-{number}', 'z2') for number in range(30)]
        remote = frozenset(f's{number:02}' for number in range(24))
        first = {}
        for host_id in ('edge-1', 'edge-2', 'edge-3', 'edge-4'):
            owners = ownership.Ownership(self.member(host_id))
            owners.apply(far, {'z2'}, ownership.Placement(66, {'z2': remote}))
            first[host_id] = owners.groups[0][0].host_id
        self.assertEqual(
            first,
            {
                'edge-1': 'far-16',
                'edge-2': 'far-20',
                'edge-3': 'far-16',
                'edge-4': 'far-16',
            },
        )
        self.assertEqual(
            [member.host_id for member in owners.remote_owners],
            [
                'far-3',
                'far-8',
                'far-28',
                'far-11',
                'far-26',
                'far-23',
                'far-6',
                'far-24',
            ],
        )
