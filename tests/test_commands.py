"""The command line for operators, run against stand-ins of the fleet."""

import contextlib
import itertools
import pathlib
import socket
import tempfile
import threading
import unittest
from unittest import mock

import curio
import yaml
from click import testing

from cardamomflow import (
    commands,
    configuration,
    errors,
    exitstatus,
    frames,
    publishing,
    webhandler,
    webserver,
)
from cardamomflow.generated import control_pb2
from standins import platform as standin
from standins import store as store_module
from tests import test_documents
from tests import test_publishing as publishing_tests

CSV = """\
backend_server,region,service,availability_zone,address,port,leaving,index,\
slots,connections,connection_cost_ms,shards_per_service
lots-1-a,serra,lots-1,zone-a,127.0.0.1,9001,,lots,2,25,6,4
lots-1-b,serra,lots-1,zone-b,127.0.0.1,9002,yes,lots,2,25,6,4
"""
SPANS = [
    {
        'span_id': span_id,
        'parent_span_id': parent,
        'name': name,
        'process': process,
        'start_unix_s': 1000 + start_s,
        'duration_us': duration_us,
        'attributes': attributes,
    }
    for span_id, parent, name, process, start_s, duration_us, attributes in (
        ('b', 'a', 'call', 'aggregator-1', 0.25, 1500, {'rank': 'urgent'}),
        ('a', '00', 'query', 'entry-1', 0, 4000, {}),
        ('c', 'b', 'attempt', 'aggregator-1', 0.5, 500, {}),
    )
]


class EntryHandler(webhandler.RequestHandler):
    def __init__(self, status):
        self.status = status

    async def handle(self, request):
        if request.path == '/v1/status':
            return webhandler.Response(200, self.status)
        if request.path == '/v1/traces/request%2F1':
            return webhandler.Response(200, {'spans': SPANS})
        raise errors.NotFound('no trace')


class Fleet:
    """Stand-ins of the platform, two entries and an agent in one thread."""

    def __init__(self):
        self.store = store_module.Store()
        self.entries = [EntryHandler({}), EntryHandler({})]
        self.agent_revision = 0
        handlers = [standin.PlatformHandler(self.store), *self.entries]
        self._servers = [
            webserver.WebServer('127.0.0.1', 0, handler) for handler in handlers
        ]
        self._agent = webserver.listen('127.0.0.1', 0)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=curio.run, args=(self._serve,))

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *raised):
        self._stopped.set()
        self._thread.join()

    def set_revisions(self, *revisions):
        for entry, revision in zip(self.entries, revisions, strict=True):
            in_force = {'revision': revision, 'publish_id': 'x', 'age_s': 1.5}
            entry.status = {'configuration': in_force if revision else None}

    def settings(self):
        ports = [server.port for server in self._servers]
        agent_port = self._agent.getsockname()[1]
        return {
            'platform': endpoint(ports[0]) | {'timeout_ms': 5000},
            'agents': [endpoint(agent_port)],
            'entries': [endpoint(ports[1]), endpoint(ports[2])],
        }

    async def _serve(self):
        async with curio.TaskGroup(wait=None) as group:
            for server in self._servers:
                await group.spawn(server.serve)
            await group.spawn(self._serve_agent)
            while not self._stopped.is_set():
                await curio.sleep(0.005)

    async def _serve_agent(self):
        async with self._agent:
            while True:
                client, _ = await self._agent.accept()
                async with client:
                    await client.recv(4096)
                    document = control_pb2.ConfigurationDocument(
                        revision=self.agent_revision
                    )
                    answer = control_pb2.Message(configuration=document)
                    await client.sendall(frames.encode(answer))


def endpoint(port):
    return {'address': '127.0.0.1', 'port': port}


class CommandCase(unittest.TestCase):
    def setUp(self):
        with contextlib.ExitStack() as stack:
            self.fleet = stack.enter_context(Fleet())
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self.addCleanup(stack.pop_all().close)
        self.folder = pathlib.Path(folder)
        self.fleet.set_revisions(0, 0)
        self.settings = self.write('operator.yaml', self.fleet.settings())
        self.register = self.write('register.yaml', test_documents.REGISTER)
        self.rules = self.write('rules.yaml', test_documents.RULES)
        self.files = ('--register', self.register, '--rules', self.rules)

    def write(self, name, content):
        path = self.folder / name
        text = content if isinstance(content, str) else yaml.dump(content)
        path.write_text(text)
        return str(path)

    def run_command(self, *arguments, status=exitstatus.ExitStatus.OK):
        """Run a command; return its output and the message of a failure."""
        result = testing.CliRunner().invoke(commands.operator, arguments)
        exit_status, text = result.exit_code, result.output
        if isinstance(result.exception, errors.FlowError):
            exit_status = result.exception.exit_status
            text += result.exception.message
        self.assertEqual(exit_status, status, f'{text} {result.exception!r}')
        return text

    def publish(self, based_on, *arguments, status=exitstatus.ExitStatus.OK):
        return self.run_command(
            'publish',
            '--based-on',
            str(based_on),
            *self.files,
            '--settings',
            self.settings,
            *arguments,
            status=status,
        )

    def run_with_settings(self, *arguments, status=exitstatus.ExitStatus.OK):
        return self.run_command(
            *arguments, '--settings', self.settings, status=status
        )

    def edit_slots(self, slots):
        proposal = publishing_tests.make_proposal(0, slots=slots)
        self.write('register.yaml', proposal.register)


class HelpTest(unittest.TestCase):
    def test_every_help_shows_an_example(self):
        """Guards against commands whose use is not shown."""
        for name in commands.operator.commands:
            result = testing.CliRunner().invoke(
                commands.operator, [name, '--help']
            )
            self.assertIn(f'Example:\n    cardamomflow {name}', result.output)


class FileTest(CommandCase):
    def test_csv_export_becomes_a_valid_register(self):
        """Guards against rows that are lost or mistyped on import."""
        export = self.write('assets.csv', CSV)
        output = self.folder / 'imported.yaml'
        text = self.run_command('import', export, '--output', str(output))
        self.assertIn('1 services, 2 backend servers', text)
        document = yaml.safe_load(output.read_text())
        self.assertEqual(
            document['indexes'],
            {'lots': {'maps': {'1': {'shards_per_service': 4}}}},
        )
        self.assertTrue(document['backend_servers']['lots-1-b']['leaving'])
        self.assertNotIn('leaving', document['backend_servers']['lots-1-a'])
        self.run_command(
            'validate', '--register', str(output), '--rules', self.rules
        )

    def test_yaml_rows_give_the_same_register_as_csv(self):
        """Guards against a format that changes the content of an export."""
        header, *lines = CSV.splitlines()
        rows = [
            dict(zip(header.split(','), line.split(','), strict=True))
            for line in lines
        ]
        outputs = [
            self.run_command('import', self.write('assets.csv', CSV)),
            self.run_command('import', self.write('assets.yaml', rows)),
        ]
        self.assertEqual(*outputs)

    def test_import_lists_every_bad_cell_with_its_line(self):
        """Guards against an import that stops at the first problem."""
        lines = [
            CSV.replace('9001', 'http').replace('yes', 'maybe').strip(),
            'lots-1-c,serra,lots-1,zone-a,127.0.0.1,9003,,lots,3,25,6,4',
            'lots-1-c,serra,,zone-a,127.0.0.1,9004,,lots,2,25,6,4',
        ]
        text = self.run_command(
            'import',
            self.write('assets.csv', '\n'.join(lines)),
            status=exitstatus.ExitStatus.INVALID_INPUT,
        )
        for expected in (
            "line 2.port: found 'http', expected a whole number",
            "line 3.leaving: found 'maybe', expected true or false",
            'line 4.services.lots-1',
            'line 5.service: found nothing',
            'line 5.backend_server: found lots-1-c, expected an id used once',
        ):
            self.assertIn(expected, text)

    def test_validate_names_the_file_of_every_problem(self):
        """Guards against problems that can't be found in the files."""
        self.write('register.yaml', {'services': {}})
        self.write('rules.yaml', {'ranks': {}, 'work': {}})
        text = self.run_command(
            'validate', *self.files, status=exitstatus.ExitStatus.INVALID_INPUT
        )
        self.assertIn(self.register, text)
        self.assertIn(self.rules, text)

    def test_explain_from_files(self):
        """Guards against an explanation that differs from the rules."""
        text = self.run_command(
            'explain', '--service', 'lots', '--work', 'record-lot', *self.files
        )
        for expected in (
            'rank: urgent (from the rules for work record-lot)',
            'target: 360 ms',
            'minimum share: 50%',
            'hedged: no',
            'repeated: no',
            'services: lots-1, lots-2',
            'one snapshot, under map 1 with 4 shards',
            'at most 6 connections from one aggregator',
        ):
            self.assertIn(expected, text)
        text = self.run_command(
            'explain', '--service', 'lots-1', '--rank', 'bulk', *self.files
        )
        self.assertIn('rank: bulk (from the request)', text)
        self.assertIn('hedged: as a query yes', text)

    def test_explain_of_an_unknown_name_lists_the_known_ones(self):
        """Guards against an error that does not list the valid names."""
        text = self.run_command(
            'explain',
            '--service',
            'lots',
            '--work',
            'no-such',
            *self.files,
            status=exitstatus.ExitStatus.INVALID_INPUT,
        )
        self.assertIn('the rules have lot-history, record-lot', text)
        self.run_command(
            'explain',
            '--service',
            'lots',
            *self.files,
            status=exitstatus.ExitStatus.USAGE,
        )


class PublishTest(CommandCase):
    def test_publish_show_edit_diff_publish(self):
        """Guards against a broken step of the usual workflow."""
        self.run_with_settings(
            'show', status=exitstatus.ExitStatus.INVALID_INPUT
        )
        self.assertIn('published revision 1', self.publish(0))
        shown = self.run_with_settings('show', '--part', 'register')
        self.assertEqual(yaml.safe_load(shown), test_documents.REGISTER)
        self.assertIn('no change', self.run_with_settings('diff', *self.files))
        self.edit_slots(3)
        text = self.run_with_settings('diff', *self.files)
        self.assertIn('~ register.services.lots-1.slots: 2 -> 3', text)
        self.assertIn('--based-on 1', text)
        self.assertIn('published revision 2', self.publish(1))
        text = self.run_with_settings(
            'explain', '--service', 'lots', '--work', 'lot-history'
        )
        self.assertIn('lots-1: 3 slots', text)

    def test_second_of_two_operators_sees_the_change_of_the_first(self):
        """Guards against the loss of another operator's change."""
        self.publish(0)
        self.edit_slots(4)
        self.publish(1)
        self.edit_slots(5)
        text = self.publish(1, status=exitstatus.ExitStatus.CONFLICT)
        self.assertIn('lots-1.slots: 2 -> 4', text)
        self.assertIn('--based-on 2', text)

    def test_outcome_of_a_lost_answer_is_determined(self):
        """Guards against a failure message for a published change."""
        self.fleet.store.faults.losses = [store_module.Loss.APPLIED]
        self.assertIn('published revision 1', self.publish(0))
        self.assertEqual(self.fleet.store.calls_by_kind['write'], 1)

    def test_unknown_outcome_is_resolved_by_repeating_the_id(self):
        """Guards against a guessed outcome and a second publication."""
        self.publish(0)
        self.edit_slots(3)
        losses = list(itertools.repeat(store_module.Loss.LATE, 100))
        self.fleet.store.faults.losses = losses
        with mock.patch.object(publishing, 'RESOLVE_TIMEOUT_S', 0):
            text = self.publish(
                1,
                '--publish-id',
                'p2',
                status=exitstatus.ExitStatus.UNKNOWN_OUTCOME,
            )
        self.assertIn('--publish-id p2', text)
        self.fleet.store.faults.losses = []
        self.fleet.store.faults.outage = store_module.Outage.DROP
        self.publish(
            1,
            '--publish-id',
            'p2',
            status=exitstatus.ExitStatus.UNKNOWN_OUTCOME,
        )
        self.fleet.store.faults.outage = store_module.Outage.NONE
        self.fleet.store.apply_late_writes()
        text = self.publish(1, '--publish-id', 'p2')
        self.assertIn('published revision 2', text)
        self.assertEqual(
            publishing_tests.stored_configuration(self.fleet.store).revision, 2
        )

    def test_outage_before_the_write_is_unavailable(self):
        """Guards against "unknown" when nothing was sent."""
        self.fleet.store.faults.outage = store_module.Outage.DROP
        text = self.publish(0, status=exitstatus.ExitStatus.UNAVAILABLE)
        self.assertIn('nothing was changed.\nNext: check', text)
        self.run_with_settings(
            'diff', *self.files, status=exitstatus.ExitStatus.UNAVAILABLE
        )

    def test_platform_older_than_an_agent_is_refused(self):
        """Guards against a revision number that is assigned twice."""
        self.publish(0)
        self.publish(1)
        self.fleet.store.roll_back(configuration.KEY, 1)
        self.fleet.agent_revision = 2
        text = self.publish(1, status=exitstatus.ExitStatus.CONFLICT)
        self.assertIn('has revision 2 in force', text)
        text = self.publish(2, '--recover')
        self.assertIn('published revision 3', text)


class StatusTest(CommandCase):
    def test_status_names_entries_that_are_behind(self):
        """Guards against an old revision in force that goes unnoticed."""
        self.publish(0)
        self.publish(1)
        self.fleet.set_revisions(2, 2)
        text = self.run_with_settings('status')
        self.assertIn('platform: revision 2', text)
        self.assertEqual(text.count('revision 2 for 1.5 s'), 2)
        self.fleet.set_revisions(1, 0)
        text = self.run_with_settings(
            'status', status=exitstatus.ExitStatus.FAILED
        )
        self.assertIn('revision 1 for 1.5 s, BEHIND 2', text)
        self.assertIn('no configuration, BEHIND 2', text)

    def test_status_reports_processes_that_do_not_answer(self):
        """Guards against a missing answer that is reported as up to date."""
        self.fleet.set_revisions(3, 3)
        text = self.run_with_settings(
            'status', status=exitstatus.ExitStatus.FAILED
        )
        self.assertIn('OLDER than revision 3', text)
        document = self.fleet.settings()
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            port = unused.getsockname()[1]
            document['platform']['port'] = port
            document['entries'].append(endpoint(port))
            self.write('operator.yaml', document)
            text = self.run_with_settings(
                'status', status=exitstatus.ExitStatus.FAILED
            )
        self.assertIn('platform: not known; newest revision in force 3', text)
        self.assertIn(f'127.0.0.1:{port}: NO ANSWER', text)


class TraceTest(CommandCase):
    def test_trace_is_printed_as_a_tree(self):
        """Guards against spans that lose their parent or their duration."""
        text = self.run_with_settings('trace', 'request/1')
        self.assertEqual(
            text.splitlines(),
            [
                'query 4.000 ms at +0.000 ms on entry-1',
                '  call 1.500 ms at +250.000 ms on aggregator-1 rank=urgent',
                '    attempt 0.500 ms at +500.000 ms on aggregator-1',
            ],
        )

    def test_missing_trace_is_reported(self):
        """Guards against empty output for a request without a trace."""
        text = self.run_with_settings(
            'trace', 'other', status=exitstatus.ExitStatus.INVALID_INPUT
        )
        self.assertIn('"trace": true', text)
