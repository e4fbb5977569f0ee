"""The host program as a process: start, settings and a planned stop."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

import curio
import yaml

from cardamomflow import errors, logoutput, requestlog
from cardamomflow.platform import wire
from standins import users
from tests import hostworld, loops

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = (sys.executable, '-m', 'cardamomflow', 'host')
STOP_WITHIN_S = 4
START_LIMIT_S = 15
# Payments that are sent on kept connections after the signal to stop, and the
# time that each takes. The host waits 2.5 s for its removal from the rotation.
LATE_PAYMENT_DELAYS_S = (0, 0.8, 1.6, 2, 2.4)
LATE_PAYMENT_S = 1.2
SERVED = b'HTTP/1.1 200'
REFUSED = b'HTTP/1.1 503'
COMPLETE_ANSWERS = (SERVED, REFUSED, b'HTTP/1.1 504')
STAMP = b'x-response-seal'


def payment(request_id):
    """Return the bytes of a payment."""
    return (
        b'POST /payment/x HTTP/1.1\r\n'
        b'host: shop.example\r\n'
        b'x-request-id: %s\r\n'
        b'x-request-deadline: 6000\r\n'
        b'content-length: 3\r\n\r\npay' % request_id.encode()
    )


class HostProcess(hostworld.HostWorld):
    """Runs the stand-ins in this event loop and the host in a process."""

    def __init__(self):
        super().__init__(services=('a',), replicas=1)
        self._folder = tempfile.TemporaryDirectory()

    async def start_host(self, store_port):
        settings = users.host_settings(
            'host-1', 'z1', store_port, stop_within_s=STOP_WITHIN_S
        )
        self.path = pathlib.Path(self._folder.name) / 'host.yaml'
        self.path.write_text(yaml.safe_dump(settings))
        self.log = self.path.with_suffix('.log')
        self.start_process(self.path)
        await loops.until(lambda: self.lines('started'), START_LIMIT_S)
        (started,) = self.lines('started')
        self.callers_port = started['port']
        self.ready_port = started['readiness_port']
        await loops.until(lambda: self.lines('backend server changed'))

    def start_process(self, path):
        with self.log.open('wb') as log:
            self.process = subprocess.Popen(
                [*PROGRAM, '--settings', path], cwd=ROOT, stdout=log
            )

    def lines(self, event):
        """Return the complete log lines of an event so far."""
        log_lines = self.log.read_text().splitlines()
        documents = [
            json.loads(line) for line in log_lines if line.endswith('}')
        ]
        return [line for line in documents if line['event'] == event]

    def explain(self, request_id):
        """Return the output of the `explain` command for a request."""
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'cardamomflow',
                'explain',
                request_id,
                self.log,
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
        ).stdout

    async def wait_stopped(self):
        await loops.until(lambda: self.process.poll() is not None, 15)
        return self.process.returncode

    async def stop_host(self):
        if self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()
        self._folder.cleanup()


class HostProcessTest(unittest.TestCase):
    def test_planned_stop_finishes_started_requests(self):
        """Guards against a restart that aborts requests."""

        async def scenario(world):
            ready = await world.send_request(
                '/api/ready', port=world.ready_port
            )
            backend = world.backends_by_id['a0']
            backend.pause_s = 1
            payment_task = await curio.spawn(
                world.send_request, '/payment/x', 'POST', b'pay'
            )
            await loops.until(lambda: backend.ran)
            world.process.send_signal(signal.SIGTERM)
            await loops.until(lambda: world.lines('stopping'))
            stopping = await world.send_request(
                '/api/ready', port=world.ready_port
            )
            backend.pause_s = 0
            late = await world.send_request('/statement/x')
            answer = await payment_task.join()
            return (
                (ready.status, stopping.status),
                (answer.status, late.status),
                late.headers['connection'],
                await world.wait_stopped(),
            )

        ready, answers, connection, exit_status = hostworld.run_scenario(
            scenario, HostProcess
        )
        self.assertEqual(ready, (200, 503))
        self.assertEqual(answers, (200, 200))
        self.assertEqual(connection, 'close')
        self.assertEqual(exit_status, 0)

    def test_request_late_in_the_stop_is_answered_or_not_run(self):
        """Guards against a payment that a stop cuts off without an answer."""

        async def pay(world, stop_at, number, delay_s):
            """Return the answer to a payment on a connection kept since."""
            async with loops.Caller(world.callers_port) as caller:
                await caller.send(payment(f'kept-{number}'))
                await caller.read_until(STAMP)
                await stop_at.wait()
                await curio.sleep(delay_s)
                await caller.send(payment(f'late-{number}'))
                return await caller.read_all()

        async def scenario(world):
            backend = world.backends_by_id['a0']
            stop_at = curio.Event()
            tasks = [
                await curio.spawn(pay, world, stop_at, number, delay_s)
                for number, delay_s in enumerate(LATE_PAYMENT_DELAYS_S)
            ]
            await loops.until(
                lambda: len(backend.ran) == len(LATE_PAYMENT_DELAYS_S)
            )
            backend.pause_s = LATE_PAYMENT_S
            world.process.send_signal(signal.SIGTERM)
            await loops.until(lambda: world.lines('stopping'))
            await stop_at.set()
            answers = [await task.join() for task in tasks]
            ran_ids = {
                request.headers['x-request-id'] for request in backend.ran
            }
            return answers, ran_ids, await world.wait_stopped()

        answers, ran_ids, exit_status = hostworld.run_scenario(
            scenario, HostProcess
        )
        for number, answer in enumerate(answers):
            with self.subTest(delay_s=LATE_PAYMENT_DELAYS_S[number]):
                self.assertIn(answer[:12], COMPLETE_ANSWERS)
                has_run = f'late-{number}' in ran_ids
                self.assertEqual(has_run, not answer.startswith(REFUSED))
                self.assertIn(b'connection: close', answer)
        self.assertTrue(answers[0].startswith(SERVED))
        self.assertTrue(answers[-1].startswith(REFUSED))
        self.assertIn(b'retry-after: ', answers[-1])
        self.assertEqual(exit_status, 0)

    def test_cause_of_a_failed_request_is_in_the_log(self):
        """Guards against a failed payment that the log does not explain."""

        async def scenario(world):
            world.backends_by_id['a0'].answers_for = 'another'
            answer = await world.send_request(
                '/payment/x', 'POST', b'pay', request_id='p1'
            )
            await loops.until(lambda: world.lines('request ended'))
            return answer.status, world.explain('p1'), world.explain('p2')

        status, explanation, missing_explanation = hostworld.run_scenario(
            scenario, HostProcess
        )
        self.assertEqual(status, 502)
        self.assertRegex(
            explanation, r'\+[0-9.]+ ms a0: failed after [0-9.]+ ms'
        )
        self.assertRegex(
            explanation, 'cause: no attempt was left: a failed .a0: '
        )
        self.assertIn('cause: not known; none of', missing_explanation)

    def test_changed_settings_do_not_end_the_process(self):
        """Guards against an exit on SIGHUP, which announces new settings."""

        async def scenario(world):
            world.process.send_signal(signal.SIGHUP)
            answer = await world.send_request('/statement/x')
            return answer.status, world.process.poll()

        self.assertEqual(
            hostworld.run_scenario(scenario, HostProcess), (200, None)
        )

    def test_changed_settings_are_in_force(self):
        """Guards against settings that are only read at the start."""

        async def scenario(world):
            document = yaml.safe_load(world.path.read_text())
            document |= {'retry_share': 0.1, 'store': '127.0.0.1:9'}
            world.path.write_text(yaml.safe_dump(document))
            world.process.send_signal(signal.SIGHUP)
            await loops.until(lambda: world.lines('settings read'))
            answer = await world.send_request('/statement/x')
            return world.lines('settings read')[0], answer.status

        line, status = hostworld.run_scenario(scenario, HostProcess)
        self.assertEqual(line['in_force'], ['retry_share'])
        self.assertEqual(line['need_restart'], ['store'])
        self.assertEqual(status, 200)

    def test_stopped_host_has_no_entry(self):
        """Guards against limits shared with a host that has left."""
        key = f'{wire.HOSTS_PREFIX}host-1'

        async def scenario(world):
            await loops.until(lambda: key in world.store.items_by_key)
            world.process.send_signal(signal.SIGTERM)
            exit_status = await world.wait_stopped()
            return exit_status, key in world.store.items_by_key

        self.assertEqual(
            hostworld.run_scenario(scenario, HostProcess), (0, False)
        )


class UnreadLogProcess(HostProcess):
    """A host whose log is a pipe that is read only by `lines`."""

    def start_process(self, path):
        self.process = subprocess.Popen(
            [*PROGRAM, '--settings', path], cwd=ROOT, stdout=subprocess.PIPE
        )
        os.set_blocking(self.process.stdout.fileno(), False)

    def lines(self, event):
        """Read the pipe and return the log lines of an event so far."""
        with self.log.open('ab') as log:
            log.write(self.process.stdout.read() or b'')
        return super().lines(event)

    async def stop_host(self):
        await super().stop_host()
        self.process.stdout.close()


class StuckReaderTest(unittest.TestCase):
    def test_stuck_reader_loses_log_lines_and_no_request(self):
        """Guards against a host that blocks on the reader of its log."""
        callers = 8
        payments = logoutput.MAX_QUEUED_LINES // callers + 60

        async def pay(world):
            return [
                (await world.send_request('/payment/x', 'POST', b'pay')).status
                for _ in range(payments)
            ]

        async def scenario(world):
            async with curio.TaskGroup() as group:
                for _ in range(callers):
                    await group.spawn(pay, world)
            statuses = {
                status
                for group_statuses in group.results
                for status in group_statuses
            }
            await loops.until(
                lambda: world.lines('log lines lost'),
                2 * requestlog.SUMMARY_INTERVAL_S,
            )
            return statuses, world.lines('log lines lost')[0]['lines']

        with mock.patch.object(loops, 'TIME_LIMIT_S', 90):
            statuses, lost = hostworld.run_scenario(scenario, UnreadLogProcess)
        self.assertEqual(statuses, {200})
        self.assertGreater(lost, 0)


class SettingsTest(unittest.TestCase):
    def check(self, document):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'host.yaml'
            path.write_text(document)
            return subprocess.run(
                [*PROGRAM, '--check', '--settings', path],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
                timeout=60,
            )

    def test_template_gives_valid_settings(self):
        """Guards against a template that the program rejects."""
        template = (ROOT / 'deploy' / 'host.yaml').read_text()
        for placeholder, value in (
            ('{{node|json}}', '"front-1"'),
            ('{{region|json}}', '"r"'),
            ('{{zone|json}}', '"z"'),
            ('{{listen.front|json}}', '"10.1.0.9:8104"'),
            ('{{ip}}', '10.1.0.9'),
            ('{{internal_ports.0}}', '7380'),
            ('{{internal_ports.1}}', '7395'),
            ('{{limits.cpu_share|json}}', '0.537'),
            ('{{limits.cores|json}}', '2'),
            ('{{limits.link_mbps|json}}', '1000.0'),
            ('{{limits.memory_mb|json}}', '300'),
            ('{{limits.max_fds|json}}', '4100'),
            ('{{#zones}}"{{@}}"{{,}}{{/zones}}', '"z","y"'),
            ('{{#bounds.quota_window_s}}', ''),
            ('{{/bounds.quota_window_s}}', ''),
            ('{{bounds.quota_window_s|json}}', '5'),
            ('{{bounds.quota_overage|json}}', '0.1'),
            ('{{bounds.quota_slack|json}}', '20'),
            ('{{#bounds.warmup_overage}}', ''),
            ('{{/bounds.warmup_overage}}', ''),
            ('{{bounds.warmup_overage|json}}', '1.5'),
            ('{{bounds.warmup_slack|json}}', '5'),
            ('{{listen.ready|json}}', '"10.1.0.9:8108"'),
            ('{{platform.address|json}}', '"10.2.0.7:8102"'),
            ('{{bounds.retry_ratio|json}}', '0.2'),
            ('{{bounds.retry_burst|json}}', '56'),
            ('{{bounds.grace_s|json}}', '6'),
        ):
            template = template.replace(placeholder, value)
        self.assertNotIn('{{', template)
        self.assertEqual(self.check(template).returncode, 0)

    def test_all_errors_are_reported_at_once(self):
        """Guards against a start that reports only the first error."""
        checked = self.check('process_id: 7\ncallers: here\nsurplus: 1\n')
        self.assertEqual(checked.returncode, errors.InvalidDocument.exit_status)
        for expected_key in ('process_id', 'callers', 'surplus', 'store'):
            self.assertIn(expected_key, checked.stderr)
