"""Lateness of the event loop; owns the largest one since it was read.

A loop that is late answers callers, readiness checks and other hosts late.
The processor time beside it tells a busy process from one that was not run.
"""

import time

import curio

from cardamomflow import context, events

CHECK_INTERVAL_S = 0.1
# Lateness that is logged; the platform's readiness check waits for 1 s.
LOGGED_S = 0.25
_MS = 1000


class LoopLag:
    """Measures one process."""

    def __init__(self, process_context: context.Context) -> None:
        """Start without lateness."""
        self._journal = process_context.journal
        self._clock = process_context.clock
        self._largest_s = 0.0
        process_context.metrics.gauge_from('loop.lag', self._take_largest)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            before, used_before = self._clock(), time.process_time()
            await curio.sleep(CHECK_INTERVAL_S)
            late_s = self._clock() - before - CHECK_INTERVAL_S
            self._note(late_s, time.process_time() - used_before)

    def _note(self, late_s: float, processor_s: float) -> None:
        self._largest_s = max(self._largest_s, late_s)
        if late_s >= LOGGED_S:
            self._journal.warning(
                events.Event.LOOP_LATE,
                late_ms=round(late_s * _MS),
                processor_ms=round(processor_s * _MS),
            )

    def _take_largest(self) -> float:
        largest_s, self._largest_s = self._largest_s, 0.0
        return largest_s
