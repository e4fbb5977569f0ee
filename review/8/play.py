"""Accounts are introduced while the store turns one host away: keys leak."""

import os
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.standins2 import backends, configuration, hosts, store  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ['riga-a', 'riga-b', 'jelgava']
SERVICE = 'arhivs'
ACCOUNT = {'name': 'small', 'api_keys': ['key-of-small'], 'priority': 1}
# Of three hosts, one is turned away, for the longest time of the site.
TURNED_AWAY_S = 9.0
# Without a key, requests are counted from here on; `config_apply_ms` of the
# site.
APPLY_S = 5.0
INTERVAL_S = 0.5


def document(version, **fields):
    """Return a configuration; its route is not public."""
    return configuration.configuration(
        version,
        [
            configuration.route(
                'archive',
                '/archive/',
                service=SERVICE,
                route_type='unsafe',
                public=False,
            )
        ],
        [SERVICE],
        **fields,
    )


class Play:
    """Sends requests and records what became of them."""

    def __init__(self, record, backend):
        self._record = record
        self._backend = backend
        self._count = 0

    def send(self, host, key):
        """Send one request; return its status and what the backend ran."""
        self._count += 1
        request_id = f'r{self._count}'
        headers = [] if key is None else [('X-Key', key)]
        answer = hosts.ask(
            host.callers, b'POST', '/archive/x', request_id, b'q', headers=headers
        )
        run = self._backend.run_of(request_id)
        seen = 'did not run it'
        if run is not None:
            seen = (
                f'ran it with X-Tenant {run.get("x-tenant")} and X-Key'
                f' {run.get("x-key")}'
            )
        self._record(
            f'{request_id} at {host.name} with key {key}: status'
            f' {answer.status}; the backend server {seen}'
        )
        return answer.status, run


def play(folder, record):
    """Play the case; return whether the rule held, None if it couldn't run."""
    platform = store.Store()
    backend = backends.Backend('i-1')
    platform.put(
        'servers/i-1', configuration.entry(SERVICE, ZONES[0], backend.port)
    )
    platform.put('op/config', document(3))
    doors = [store.Door() for _ in ZONES]
    started = [
        hosts.Host(
            folder, f'front-{zone}', zone, ZONES, store.serve(platform, door)
        )
        for zone, door in zip(ZONES, doors, strict=True)
    ]
    try:
        if not all([host.wait_ready() for host in started]):
            record('a host did not get ready')
            return None
        time.sleep(4)
        sent = Play(record, backend)
        for host in started:
            if sent.send(host, None)[0] != 200:
                record('a host did not serve before the accounts')
                return None
        if TROUBLE:
            record(f'the store turns {started[0].name} away')
            doors[0].is_silent = True
        turned_away_at = time.monotonic()
        time.sleep(0.3)
        record('version 5 brings the first account; the store acknowledges it')
        platform.put('op/config', document(5, tenants=[ACCOUNT]))
        leaks = 0
        # The other hosts get 0.1 s, so that the case is about the one host.
        time.sleep(0.1)
        while time.monotonic() < turned_away_at + TURNED_AWAY_S:
            for host in started:
                _, run = sent.send(host, 'key-of-small')
                leaks += run is not None and 'x-key' in run
            time.sleep(INTERVAL_S)
        doors[0].is_silent = False
        record('the store serves all hosts again')
        time.sleep(APPLY_S)
        for host in started:
            status, run = sent.send(host, 'key-of-small')
            if status != 200 or run.get('x-tenant') != 'small' or 'x-key' in run:
                record('the accounts did not come into force in the end')
                return None
        record(f'{leaks} requests ran to which the key itself was passed on')
        if any(host.process.poll() is not None for host in started):
            record('a host ended')
            return None
        return not leaks
    finally:
        for host in started:
            host.end()


def main():
    """Play the case and write the record."""
    with open(FOLDER / 'record.txt', 'w', encoding='utf-8') as output:

        def record(line):
            print(line, file=output, flush=True)

        with tempfile.TemporaryDirectory() as folder:
            held = play(folder, record)
        status = 2 if held is None else 0 if held else 1
        record(f'exit status {status}')
    sys.exit(status)


if __name__ == '__main__':
    main()
