"""Tests of the event loop lag of a process."""

import time
import unittest

import curio

from cardamomflow import context, events, looplag
from tests import loops


def block_loop():
    time.sleep(2 * looplag.LOG_THRESHOLD_S)


class LoopLagTest(unittest.TestCase):
    def test_blocked_loop_is_logged(self):
        """Guards against an event loop lag that is not logged."""
        process_context = context.create(
            {'process_id': 'p', 'log': {'level': 'error'}}
        )
        lines = []
        process_context = process_context._replace(journal=_Journal(lines))
        lag = looplag.LoopLag(process_context)

        async def scenario():
            task = await curio.spawn(lag.run)
            await curio.sleep(0.05)
            block_loop()
            await loops.until(lambda: lines)
            await task.cancel()

        loops.run(scenario)
        event, fields = lines[0]
        self.assertEqual(event, events.Event.LOOP_LATE)
        self.assertGreaterEqual(
            fields['late_ms'], 1000 * looplag.LOG_THRESHOLD_S
        )
        self.assertIn(
            'event_loop_lag_seconds', process_context.metrics.render().decode()
        )


class _Journal:
    """Stores the logged events and their fields."""

    def __init__(self, lines):
        self._lines = lines

    def warning(self, event, **fields):
        self._lines.append((event, fields))


if __name__ == '__main__':
    unittest.main()
