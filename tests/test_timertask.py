"""Tests of the task that runs the timers of a process."""

import time
import unittest

import curio

from cardamomflow import timertask


class TimerTaskTest(unittest.TestCase):
    def run_timers(self, delays_s):
        """Start timers in order; return the delay of each in seconds."""
        late_s = {}

        async def main():
            timer_task = timertask.TimerTask(time.monotonic)
            await curio.spawn(timer_task.run, daemon=True)
            await curio.sleep(0.01)
            for delay_s in delays_s:
                due_at = time.monotonic() + delay_s

                async def record_delay(now, due_at=due_at, delay_s=delay_s):
                    late_s[delay_s] = now - due_at

                await timer_task.schedule(due_at, record_delay)
            await curio.sleep(max(delays_s) + 0.2)

        curio.run(main)
        return late_s

    def test_earlier_timer_does_not_wait_for_a_later_one(self):
        """Guards against a hedge delayed until a much later deadline."""
        late_s = self.run_timers([0.3, 0.02, 0.1])
        self.assertEqual(set(late_s), {0.3, 0.02, 0.1})
        self.assertGreaterEqual(min(late_s.values()), 0)
        self.assertLess(max(late_s.values()), 0.08)
