"""Runs an agent as a separate process, with its settings as JSON in argv."""

import json
import random
import sys

import curio
import logbook

from cardamomflow import agent, membership

# At most a third of the default times, so that a test takes seconds.
OPTIONS = membership.Options(
    probe_interval_s=0.3,
    ack_timeout_s=0.1,
    suspicion_s=1.2,
    sync_interval_s=3,
    new_member_sync_interval_s=1,
    join_delay_s=2,
    peer_join_delay_s=0.5,
    convergence_s=1.5,
    ranking_retention_s=8,
    pause_threshold_s=1,
)


class FakeMetrics:
    """Metrics that only record counts and gauges."""

    def __init__(self):
        self.counts = {}

    def increment(self, name, count=1):
        self.counts[name] = self.counts.get(name, 0) + count

    def set_gauge(self, name, value):
        self.counts[name] = value


class FakeContext:
    """The parts of a process context that an agent uses."""

    def __init__(self, name):
        self.metrics = FakeMetrics()
        self.journal = logbook.Logger(name)
        self.random = random.Random(name)


if __name__ == '__main__':
    document = json.loads(sys.argv[1])
    with logbook.NullHandler():
        sys.exit(
            curio.run(
                agent.run,
                document,
                FakeContext(document['process_id']),
                None,
                OPTIONS,
            )
        )
