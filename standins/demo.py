"""Runs the whole path on loopback and checks every answer.

Starts each program as a process of its own, sends queries and operations,
changes the configuration, and stops the programs gracefully. Exits with 0
only when every check held.
"""

import copy
import http
import json
import sys
import time
from typing import Any

from standins import accountdemo, fleet, verify

_CONFIGURATION_TIMEOUT_S = 5.0
_HTTP_OK = 200


class CheckError(Exception):
    """An answer was not what it should be."""


def _check(condition: object, what: str) -> None:
    if not condition:
        raise CheckError(what)
    _say(f'  checked: {what}')


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _show(answer: dict[str, Any]) -> None:
    snapshot = answer['snapshot']
    coverage = answer['coverage']
    _say(
        f'  request {answer["request_id"]}: index {snapshot["index"]}'
        f' version {snapshot["version"]} map {snapshot["map_revision"]},'
        f' coverage {coverage["answered"]}/{coverage["total"]}'
    )
    for missing in coverage['missing']:
        _say(
            f'    missing {missing["service"]}/{missing["shard"]}:'
            f' {missing["reason"]}'
        )


def _query(running: fleet.Fleet, request_id: str, **fields: Any) -> Any:
    port = running.entry_ports[running.zones[0]]
    status, answer = running.query(
        port,
        request_id=request_id,
        **fields,
    )
    if status != _HTTP_OK:
        raise CheckError(f'{request_id} was answered with {status}: {answer}')
    _show(answer)
    found = verify.problems(running, request_id, answer)
    _check(
        not found, 'our own answer, rows of the covered shards of one version'
    )
    return answer


def _show_whole_answers(running: fleet.Fleet) -> None:
    _say('Whole answers')
    for number in range(3):
        answer = _query(running, f'demo-{number}')
        _check(not answer['coverage']['missing'], 'every shard is covered')


def _show_new_version(running: fleet.Fleet) -> None:
    _say('A new index version on all backend servers')
    shards = list(range(running.shards))
    running.control(
        list(running.backend_ports),
        publish={'version': 2, 'map_revision': 1, 'shards': shards},
    )

    def newer() -> bool:
        port = running.entry_ports[running.zones[0]]
        _, answer = running.query(port)
        return answer['snapshot']['version'] == 2

    fleet.wait_until(newer, 'version 2', _CONFIGURATION_TIMEOUT_S)
    _query(running, 'demo-version')


def _show_partial_answer(running: fleet.Fleet) -> None:
    _say('A partial answer: both backend servers of a service hang')
    lost = [f'{running.services[0]}-a', f'{running.services[0]}-b']
    running.control(lost, gray='hang')
    answer = _query(running, 'demo-partial', deadline_ms=500)
    running.control(lost, gray='none')
    found = {shard['service'] for shard in answer['coverage']['missing']}
    _check(found == {running.services[0]}, 'the missing service is named')


def _operation(running: fleet.Fleet, key: str) -> tuple[int, Any]:
    port = running.entry_ports[running.zones[0]]
    return fleet.call(
        port,
        'POST',
        '/v1/operations',
        {
            'request_id': f'request-{key}',
            'service': running.services[1],
            'work': 'record-lot',
            'key': key,
            'issued_at': int(time.time()),
            'deadline_ms': 2000,
            'payload': {'lot': key, 'kg': 410},
        },
    )


def _executions(running: fleet.Fleet, key: str) -> int:
    return sum(
        count
        for backend_id in running.backend_ports
        for name, count in running.executions(backend_id).items()
        if name.endswith(key)
    )


def _show_operations(running: fleet.Fleet) -> None:
    _say('An operation that may not be repeated')
    status, answer = _operation(running, 'lot-1')
    _say(f'  {status} {answer}')
    _check(answer.get('outcome') == 'run', 'the lot was recorded')
    _check(_executions(running, 'lot-1') == 1, 'it ran once')
    _say('The same while the platform is down')
    running.control_platform(outage='hang')
    status, answer = _operation(running, 'lot-2')
    running.control_platform(outage='none')
    _say(f'  {status} {answer}')
    _check(answer['error']['outcome'] == 'not_run', 'it is refused: not_run')
    _check(_executions(running, 'lot-2') == 0, 'it truly did not run')


def _revisions(running: fleet.Fleet) -> dict[str, int]:
    """Return the revision in force in each process that serves requests.

    Each has it from the agent of its host, which has it in force before.
    """
    revisions_by_name: dict[str, int] = {}
    for name in running.processes_by_name:
        if name.startswith(('entry-', 'aggregator-')):
            for line in running.log(name).splitlines():
                logged = json.loads(line)
                if logged['event'] == 'configuration in force':
                    revisions_by_name[name] = logged['revision']
    return revisions_by_name


def _show_configuration(running: fleet.Fleet) -> None:
    _say('A configuration change')
    rules = copy.deepcopy(fleet.RULES)
    rules['work']['contamination-alert'] = {'rank': 'urgent'}
    _say(f'  {running.publish(1, rules).strip()}')
    started_at = time.monotonic()

    def in_force() -> bool:
        return set(_revisions(running).values()) == {2}

    fleet.wait_until(in_force, 'revision 2', _CONFIGURATION_TIMEOUT_S)
    elapsed_s = time.monotonic() - started_at
    names = ', '.join(sorted(_revisions(running)))
    _check(True, f'in force after {elapsed_s:.2f} s on {names}')
    _query(running, 'demo-alert', work='contamination-alert')


def _show_trace(running: fleet.Fleet) -> None:
    _say('The trace of a request')
    _query(running, 'demo-trace', trace=True)
    _say(running.operator('trace', 'demo-trace'))


def _show_stop(running: fleet.Fleet) -> None:
    _say('Graceful stop')
    for program in ('entry', 'aggregator', 'agent'):
        for zone in running.zones:
            name = f'{program}-{zone}'
            status = running.processes_by_name[name].stop()
            _check(status == 0, f'{name} ended by itself')


def _show_accounts() -> None:
    _say('Two client accounts on a host process')
    outcome = accountdemo.run()
    _check(
        (outcome.unknown_status, outcome.unknown_code)
        == (http.HTTPStatus.UNAUTHORIZED, 'unknown_key'),
        'an unknown key is refused with 401 unknown_key',
    )
    for name, status in outcome.statuses_by_account.items():
        _check(status == _HTTP_OK, f'a request of {name} is answered')
    _check(
        outcome.limited_statuses[-1] == http.HTTPStatus.TOO_MANY_REQUESTS,
        f'{accountdemo.LIMITED} is refused with 429 above its limit',
    )
    _check(
        outcome.neighbour_status == _HTTP_OK,
        f'{accountdemo.NEIGHBOUR} is answered meanwhile',
    )
    served_count = outcome.limited_statuses.count(_HTTP_OK)
    names = [headers.get('x-tenant') for headers in outcome.received]
    limited_names = (
        accountdemo.LIMITED for _ in outcome.limited_statuses[1:served_count]
    )
    _check(
        names
        == [
            *accountdemo.KEYS_BY_ACCOUNT,
            *limited_names,
            accountdemo.NEIGHBOUR,
        ],
        'the backend server got the names of the accounts',
    )
    shown = f'{outcome.received} {outcome.log}'
    _check(
        not any(key in shown for key in accountdemo.KEYS_BY_ACCOUNT.values()),
        'neither the backend server nor the log of the host got a key',
    )


def main() -> int:
    """Run the demo."""
    _say('Starting all programs; aggregators join after 10 s')
    try:
        with fleet.running() as running:
            _say(running.operator('status'))
            _show_whole_answers(running)
            _show_new_version(running)
            _show_partial_answer(running)
            _show_operations(running)
            _show_configuration(running)
            _show_trace(running)
            _show_stop(running)
        _show_accounts()
    except (CheckError, fleet.FleetError) as error:
        _say(f'FAILED: {error}')
        return 1
    _say('Every answer was checked')
    return 0


if __name__ == '__main__':
    sys.exit(main())
