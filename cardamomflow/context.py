"""Process-wide objects, passed as one context instead of global state."""

import random
import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import logbook

from cardamomflow import bodybudget, journal, logoutput, telemetry, tracing
from cardamomflow.heldbytes import guard, sizing


class Context(NamedTuple):
    """Process-wide objects that the parts of a program share.

    Attributes
    ----------
    settings : dict
        Checked settings of the program.
    journal : logbook.Logger
    log_output : logoutput.LogOutput
    metrics : telemetry.Metrics
    tracer : tracing.Tracer
    random : random.Random
    clock : callable
        Returns monotonic seconds.
    body_budget : bodybudget.BodyBudget
        Limits the incomplete answers of backend servers.
    client_guard : guard.Guard
        Limits what clients make the process hold.
    """

    settings: Any
    journal: logbook.Logger
    log_output: logoutput.LogOutput
    metrics: telemetry.Metrics
    tracer: tracing.Tracer
    random: random.Random
    clock: Callable[[], float]
    body_budget: bodybudget.BodyBudget[Any]
    client_guard: guard.Guard


def create(settings: Any) -> Context:
    """Create the context of a daemon from its settings."""
    process_id = settings['process_id']
    generator = random.Random()  # noqa: S311  # not used for secrets
    trace_settings = settings.get('tracing', {})
    log_output = logoutput.LogOutput(sys.stdout.fileno())
    process_journal = journal.create(
        process_id, settings.get('log', {}).get('level', 'info'), log_output
    )
    metrics = telemetry.Metrics()
    limits = sizing.derive(settings)
    return Context(
        settings=settings,
        journal=process_journal,
        log_output=log_output,
        metrics=metrics,
        tracer=tracing.Tracer(
            process_id,
            generator,
            trace_settings.get('sample_share', tracing.DEFAULT_SAMPLE_SHARE),
            trace_settings.get('kept_traces', tracing.DEFAULT_KEPT_TRACES),
        ),
        random=generator,
        clock=time.monotonic,
        body_budget=bodybudget.BodyBudget(limits.answer_bytes),
        client_guard=guard.Guard(limits, process_journal, metrics),
    )
