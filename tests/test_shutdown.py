"""Background tasks of a daemon that fail."""

import unittest
from unittest import mock

import curio

from cardamomflow import shutdown
from tests import loops


class SupervisorTest(unittest.TestCase):
    def setUp(self):
        self.journal = mock.Mock()
        self.runs = 0

    async def fail_once(self):
        self.runs += 1
        if self.runs == 1:
            raise ValueError('malformed')
        await curio.sleep(60)

    def run_task(self, start_name):
        """Return whether the process goes on after a task has failed."""

        async def scenario():
            supervisor = shutdown.Supervisor(self.journal)
            await getattr(supervisor, start_name)(self.fail_once)
            await loops.until(lambda: self.journal.error.called)
            async with curio.ignore_after(0.2):
                await supervisor._failed.wait()
            return not supervisor._failed.is_set()

        with mock.patch.object(shutdown, 'RESTART_DELAY_S', 0.01):
            return loops.run(scenario)

    def test_process_ends_with_a_task_that_requests_need(self):
        """Guards against a process that serves only some of its functions."""
        self.assertFalse(self.run_task('start'))

    def test_other_task_is_started_again(self):
        """Guards against a metrics page that takes its process down."""
        self.assertTrue(self.run_task('start_restartable'))
        self.assertEqual(self.runs, 2)
        self.journal.error.assert_called_once()
