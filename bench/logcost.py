"""Processor time of log lines about requests.

Requests at 20 services are decided without network, and their ends are logged
to a file that discards all, with lines on and off by turns in one run. Command:
`python -m bench.run logcost`; it takes some seconds.
"""

import os
import random
import statistics
import time
from typing import NamedTuple

import logbook

from bench import result
from cardamomflow import (
    directory,
    dispatching,
    journal,
    logoutput,
    register,
    requestlog,
    requeststate,
    routes,
    rules,
)

SERVICES = 20
REQUESTS = 300
ROUNDS = 7
# A flood of partial answers in which every request gets its line.
MAX_LINE_US = 500.0
_US = 1e6
_LOAD = requeststate.Load(1, 0, 2)


class _Round(NamedTuple):
    """Processor time of one request, in microseconds."""

    decided_us: float
    logged_us: float


def _route() -> routes.Route:
    return routes.Route(
        name='lookup',
        host='h',
        prefix='/p/',
        shards=tuple(f's{number}' for number in range(SERVICES)),
        shares=(),
        repeatable=True,
        attempts=2,
        timeout_s=2.0,
        target_s=0.1,
        rank=rules.Rank.URGENT,
        limit=10,
        minimum_share=0.5,
    )


def _dispatcher() -> dispatching.Dispatcher:
    listed = directory.Directory()
    for number in range(SERVICES):
        for replica in range(2):
            backend_id = f'b{number}-{replica}'
            listed.update_entry(
                register.Backend(
                    backend_id,
                    f's{number}',
                    'z1',
                    '10.0.0.1',
                    80,
                    '',
                    leaving=False,
                )
            )
    return dispatching.Dispatcher(listed, 'z1', random.Random(1))


def _reply() -> requeststate.Reply:
    return requeststate.Reply(
        200, [], bytes(160), 's', not_run=False, misdirected=False, load=_LOAD
    )


def _measure(created: logbook.Logger, *, partial: bool) -> _Round:
    """Decide requests, one each second, and log their ends."""
    now = 0.0
    lines = requestlog.RequestLog(created, lambda: now)
    dispatcher = _dispatcher()
    route = _route()
    decided_s: float = 0
    logged_s: float = 0
    for number in range(REQUESTS):
        now = float(number)
        started = time.process_time()
        work = requeststate.Work(
            route, route.shards, None, now, requeststate.TimeBudget(2.0)
        )
        dispatcher.start(work, now)
        sends = dispatcher.pop_attempts()
        for attempt in sends[int(partial) :]:
            dispatcher.on_reply(attempt, _reply(), now)
        decided = time.process_time()
        lines.log_end(work, work.end(), f'r{number}', routes_revision=1)
        logged_s += time.process_time() - decided
        decided_s += decided - started
        for open_attempt in work.open_attempts():
            dispatcher.on_cancellation(open_attempt, now)
    return _Round(decided_s / REQUESTS * _US, logged_s / REQUESTS * _US)


def _round(created: logbook.Logger, *, is_on: bool, partial: bool) -> _Round:
    if is_on:
        return _measure(created, partial=partial)
    # Takes every line before the handler that writes.
    with logbook.NullHandler().applicationbound():
        return _measure(created, partial=partial)


def run() -> list[result.Result]:
    """Measure with lines on and off by turns."""
    output = logoutput.LogOutput(os.open(os.devnull, os.O_WRONLY))
    created = journal.create('bench', 'info', output)
    figures = []
    for name, partial in (('whole', False), ('partial', True)):
        rounds_by_state: dict[bool, list[_Round]] = {True: [], False: []}
        for _ in range(ROUNDS):
            for is_on, rounds in rounds_by_state.items():
                rounds.append(_round(created, is_on=is_on, partial=partial))
        off, on = (
            statistics.median(one.logged_us for one in rounds_by_state[is_on])
            for is_on in (False, True)
        )
        decided = statistics.median(
            one.decided_us for one in rounds_by_state[True]
        )
        figures.extend(_results(name, off, on, decided))
    return figures


def _results(
    name: str, off: float, on: float, decided: float
) -> list[result.Result]:
    note = f'{SERVICES} services, lines off: {off:.3g} us'
    return [
        result.Result(
            f'logcost.{name}.on',
            on,
            'us a request',
            MAX_LINE_US,
            'at_most',
            note,
        ),
        result.Result(
            f'logcost.{name}.decisions',
            decided,
            'us a request, without network',
            None,
            'at_most',
            note,
        ),
    ]
