"""Settings that change while a process runs."""

import os
import pathlib
import signal
import tempfile
import unittest

import curio
import yaml

from cardamomflow import reloading, settings
from tests import loops

DOCUMENT = {
    'process_id': 'host-1',
    'host': {'id': 'host-1', 'region': 'r', 'availability_zone': 'z1'},
    'callers': '127.0.0.1:1',
    'readiness': '127.0.0.1:2',
    'store': '127.0.0.1:3',
}


class _Journal:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    error = info


class SettingsWatchTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'host.yaml'
        self.write(DOCUMENT)
        self.documents = []
        self.journal = _Journal()
        self.watch = reloading.SettingsWatch(
            settings.SettingsFile(self.path, 'host'), self.apply, self.journal
        )

    def apply(self, document):
        self.documents.append(document)
        return reloading.ReloadResult([], [])

    def write(self, document):
        self.path.write_text(yaml.safe_dump(document))

    def test_unchanged_file_is_not_read_again(self):
        """Guards against reading an unchanged file at every check."""
        self.watch.check()
        self.assertEqual(self.documents, [])

    def test_change_without_a_signal_is_detected(self):
        """Guards against changes that only take effect after a signal."""
        changed = {**DOCUMENT, 'retry_share': 0.5}
        self.write(changed)
        self.watch.check()
        self.watch.check()
        self.assertEqual(self.documents, [changed])

    def test_refused_settings_leave_the_old_ones_in_force(self):
        """Guards against a process that exits on an invalid file."""
        for invalid in ({**DOCUMENT, 'surplus': 1}, None):
            self.write(invalid)
            self.watch.check()
        self.path.unlink()
        self.watch.check()
        self.assertEqual(self.documents, [])
        events = {event for event, _ in self.journal.lines}
        self.assertEqual(events, {'settings refused'})
        self.assertEqual(len(self.journal.lines), 3)
        self.assertIn('surplus', self.journal.lines[0][1]['error'])

    def test_burst_of_signals_is_handled(self):
        """Guards against a signal handler that fails in a burst of signals."""
        old_handler = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, old_handler)

        async def scenario():
            watch_task = await curio.spawn(self.watch.run)
            await loops.until(
                lambda: signal.getsignal(signal.SIGHUP) is not old_handler
            )
            for _ in range(2000):
                os.kill(os.getpid(), signal.SIGHUP)
            await loops.until(lambda: self.documents)
            await watch_task.cancel()

        loops.run(scenario)


if __name__ == '__main__':
    unittest.main()
