"""Lag of the event loop; owns the largest value since the last read.

A late loop delays the answers to callers, readiness checks and other hosts.
The processor time in the log line distinguishes a busy process from one that
the system did not run.
"""

import time

import curio

from cardamomflow import context, events

CHECK_INTERVAL_S = 0.1
# Lag from which a line is logged; the platform's readiness check times out
# after 1 s.
LOG_THRESHOLD_S = 0.25
_MS = 1000


class LoopLag:
    """Measures the event loop lag of one process."""

    def __init__(self, process_context: context.Context) -> None:
        """Register the gauge of the largest lag."""
        self._journal = process_context.journal
        self._clock = process_context.clock
        self._largest_s = 0.0
        process_context.metrics.register_gauge('loop.lag', self._take_largest)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            started_at, processor_started_s = self._clock(), time.process_time()
            await curio.sleep(CHECK_INTERVAL_S)
            late_s = self._clock() - started_at - CHECK_INTERVAL_S
            self._record(late_s, time.process_time() - processor_started_s)

    def _record(self, late_s: float, processor_s: float) -> None:
        self._largest_s = max(self._largest_s, late_s)
        if late_s >= LOG_THRESHOLD_S:
            self._journal.warning(
                events.Event.LOOP_LATE,
                late_ms=round(late_s * _MS),
                processor_ms=round(processor_s * _MS),
            )

    def _take_largest(self) -> float:
        largest_s, self._largest_s = self._largest_s, 0.0
        return largest_s
