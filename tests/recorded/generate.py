"""Writes the recorded files: `python -m tests.recorded.generate FOLDER`.

The committed files were written by the code of commit a47eb72 with seed 7.
They stand for what processes of that build send and what they have stored, so
they are not written again by later code. A later run into another folder
shows what changed.
"""

import json
import pathlib
import random
import sys
from unittest import mock

import yaml

from cardamomflow import (
    changefeed,
    claims,
    configuration,
    frames,
    ownership,
    platform,
    publications,
)
from cardamomflow.generated import control_pb2, wire_pb2
from cardamomflow.platform import documents
from standins import users
from tests.recorded import values

SEED = 7


class Recorder:
    """Writes files into one folder."""

    def __init__(self, folder):
        self._folder = folder
        self._random = random.Random(SEED)  # noqa: S311

    def record(self):
        """Write all files."""
        self.settings()
        self.configuration()
        self.claims()
        self.messages()
        self.feed()

    def write(self, name, content):
        (self._folder / name).write_bytes(content)

    def token(self):
        """Return an identity in the form of the ledger."""
        return f'aggregator-zone-a/{self._random.getrandbits(64):016x}'

    def settings(self):
        for program, document in values.SETTINGS.items():
            text = yaml.safe_dump(document)
            self.write(f'{program}.yaml', text.encode())
        self.write('register.yaml', yaml.safe_dump(values.REGISTER).encode())
        self.write('rules.yaml', yaml.safe_dump(values.RULES).encode())

    def configuration(self):
        """Publish two revisions, the second with another kind of work."""
        before = {**values.RULES, 'work': {'alert': {'rank': 'urgent'}}}
        entry = None
        with mock.patch('time.time', return_value=values.UNIX_S):
            for number, rules in enumerate((before, values.RULES)):
                proposal = publications.Proposal(
                    values.REGISTER, rules, number, f'id-{number + 1}'
                )
                document = publications.StoredConfiguration(
                    entry
                ).make_successor(proposal)
                compressed = configuration.compress(document)
                entry = platform.Entry(compressed, number + 1)
        self.write('configuration.bin', entry.value)

    def claims(self):
        bucket = {member: record.encode() for member, record in self._records()}
        bucket[claims.LISTED] = True
        self.write('claims.json', claims.encode(bucket))
        index = {
            str(minute): self.token() for minute in (29_940_900, 29_940_904)
        }
        self.write('open.json', claims.encode(index))

    def _records(self):
        """Return a claim in each state."""
        sent = claims.Record(
            claims.State.DISPATCHING,
            self.token(),
            'aggregator-zone-a/d40cbfa6',
            claims.digest(b'{"kg": 410}'),
            changed_at=values.UNIX_S,
            deadline=values.UNIX_S + 2.5,
            rank=1,
        )
        accepted = sent._replace(
            state=claims.State.ACCEPTED,
            token='t1',  # noqa: S106
            origin='t1',
            payload=b'{"kg": 410}',
            rank=3,
            deadline=0,
        )
        later = values.UNIX_S + 1
        taken = accepted._replace(
            state=claims.State.DISPATCHING,
            token='t2',  # noqa: S106
            deadline=values.UNIX_S + 30,
        )
        large = bytes(claims.MAX_RESULT_BYTES + 1)
        ended = {
            'run': sent.with_outcome(claims.State.RUN, b'{"paid": 1}', later),
            'large': sent.with_outcome(claims.State.RUN, large, later),
            'not_run': sent.with_outcome(claims.State.NOT_RUN, b'', later),
            'unknown': sent.with_outcome(claims.State.UNKNOWN, b'', later),
            'again': taken.with_outcome(claims.State.NOT_RUN, b'', later),
        }
        started = {'sent': sent, 'accepted': accepted, 'taken': taken}
        return [
            (f'{values.UNIX_S}/{key}', record)
            for key, record in (started | ended).items()
        ]

    def messages(self):
        self.write('wire.frames', _frames(wire_pb2.Envelope, values.WIRE))
        self.write(
            'control.frames', _frames(control_pb2.Message, values.CONTROL)
        )
        for name, fields in values.DATAGRAMS.items():
            datagram = control_pb2.Datagram(**values.DATAGRAM, **{name: fields})
            self.write(f'{name}.datagram', datagram.SerializeToString())

    def feed(self):
        """Change all that a host follows."""
        member = ownership.Member('front-1', 'z1', '10.1.0.9', 7395, 1.074)
        entry = documents.encode_member(member)
        self.write('host.json', entry)
        store = users.Store()
        store.put(
            'op/config',
            users.configuration_document(
                3,
                [
                    users.route_document(
                        'lookup', '/lookup/', gather=['a', 'b'], top_k=3
                    ),
                    users.route_document(
                        'payment', '/pay/', service='a', route_type='unsafe'
                    ),
                ],
                ['a', 'b'],
            ),
        )
        store.put('servers/a0', users.backend_document('a', 9001))
        store.put_bytes('hosts/front-1', entry)
        store.remove('servers/b0')
        store.remove('hosts/front-2')
        content = json.dumps(
            {'events': store._events, 'as_of': store.revision}
        ).encode()
        self.write('changes.json', content)
        self.write('changes.bin', changefeed.pack(content))


def _frames(message_type, fields_by_name):
    return b''.join(
        frames.encode(message_type(**{name: fields}))
        for name, fields in fields_by_name.items()
    )


def main():
    Recorder(pathlib.Path(sys.argv[1])).record()


if __name__ == '__main__':
    main()
