"""Starts the programs and stand-ins as processes on loopback.

Used by the demo and by the tests that need real processes. Each process is
ended by its id.
"""

import contextlib
import functools
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from typing import Any

import yaml

from standins import network as relay
from standins import reservedports

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADDRESS = reservedports.ADDRESS
REGION = 'loopback'
# Place of the platform in the network.
PLATFORM = 'platform'
# Environment variable that names a folder in which the logs of fleets are kept.
KEPT_LOGS = 'CARDAMOMFLOW_KEPT_LOGS'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
_POLL_S = 0.05
# Platform, control and the programs of four zones.
_SPARE_PORTS = 16
# One process for many backend servers would set the pace of all of them.
_BACKEND_PROCESSES = 4
_HTTP_OK = 200

QUERY: dict[str, Any] = {'text': 'lot 7', 'limit': 10}
INDEX = 'weighbridge'
RULES: dict[str, Any] = {
    'ranks': {
        'urgent': {'target_ms': 360, 'minimum_share': 0.5},
        'standard': {'target_ms': 1500, 'minimum_share': 0.2},
        'bulk': {'target_ms': 30000, 'minimum_share': 0.1},
    },
    'work': {
        'lot-history': {'rank': 'urgent'},
        'record-lot': {'rank': 'urgent', 'repeatable': False},
        'supplier-report': {'rank': 'bulk'},
        'supplier-statement': {'rank': 'bulk', 'repeatable': False},
    },
}


class FleetError(Exception):
    """A process did not start, answer or stop in time."""


def call(
    port: int,
    method: str,
    path: str,
    document: Any = None,
    timeout_s: float = 10.0,
) -> tuple[int, Any]:
    """Send one HTTP request and return status and JSON document."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout_s)
    try:
        connection.request(
            method, path, json.dumps(document) if document else None
        )
        response = connection.getresponse()
        body = response.read()
    finally:
        connection.close()
    return response.status, json.loads(body) if body else None


def wait_until(
    condition: Callable[[], Any], what: str, timeout_s: float = START_TIMEOUT_S
) -> Any:
    """Return the first true result of a condition."""
    give_up_at = time.monotonic() + timeout_s
    while time.monotonic() < give_up_at:
        try:
            found = condition()
        except (OSError, http.client.HTTPException):
            found = None
        if found:
            return found
        time.sleep(_POLL_S)
    raise FleetError(f'{what} not within {timeout_s:g} s')


def _place_services(count_by_index: dict[str, int]) -> dict[str, str]:
    """Return the index of each service."""
    return {
        f'{index}-{number}': index
        for index, count in count_by_index.items()
        for number in range(1, count + 1)
    }


class Process:
    """A started program."""

    def __init__(self, name: str, arguments: list[str], log: Any) -> None:
        """Start a Python module."""
        self.name = name
        self._process = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            stdout=log,
            stderr=log,
        )

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        if self.running:
            self._process.send_signal(number)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask the process to stop and return its exit status."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit status, after a kill when it takes too long."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise FleetError(f'{self.name} did not stop') from None

    def kill(self) -> None:
        """End the process at once."""
        if self.running:
            self._process.kill()
        self._process.wait()


class Fleet:
    """Programs and stand-ins of one small deployment."""

    def __init__(
        self,
        folder: pathlib.Path,
        zones: tuple[str, ...] = ('zone-a', 'zone-b'),
        services: int = 3,
        shards: int = 4,
        indexes: dict[str, int] | None = None,
        sample_share: float = 1,
        *,
        network: bool = False,
    ) -> None:
        """Choose ports and write the settings; `start` starts processes.

        With `network`, the programs reach each other, the platform and the
        backend servers over a relay that can cut the zones apart, and the
        replicas of the services take turns over the zones.
        """
        self.folder = folder
        self.zones = zones
        self.indexes_by_service = _place_services(indexes or {INDEX: services})
        self.services = list(self.indexes_by_service)
        self.shards = shards
        self.processes_by_name: dict[str, Process] = {}
        self._sample_share = sample_share
        backend_count = len('ab') * len(self.services)
        self._reserved = reservedports.ReservedPorts(
            _SPARE_PORTS + backend_count
        )
        ports = iter(self._reserved.ports)
        self.platform_port = next(ports)
        self.agent_ports = {zone: next(ports) for zone in zones}
        self.entry_ports = {zone: next(ports) for zone in zones}
        self.aggregator_ports = {zone: next(ports) for zone in zones}
        self.backend_ports = {
            f'{service}-{letter}': next(ports)
            for service in self.services
            for letter in 'ab'
        }
        self.network = self._lay_network() if network else None

    @property
    def register(self) -> dict[str, Any]:
        """The register document of the deployment."""
        return {
            'availability_zones': {
                zone: {'region': REGION} for zone in self.zones
            },
            'services': {
                service: {
                    'index': self.indexes_by_service[service],
                    'slots': 2,
                    'connections': 25,
                    'connection_cost_ms': 6,
                }
                for service in self.services
            },
            'indexes': {
                index: {
                    'maps': {
                        '1': {'shards_per_service': self.shards},
                        '2': {'shards_per_service': 2 * self.shards},
                    }
                }
                for index in set(self.indexes_by_service.values())
            },
            'backend_servers': {
                backend_id: {
                    'service': backend_id.rpartition('-')[0],
                    'availability_zone': self.zone_of(backend_id),
                    'address': ADDRESS,
                    'port': self.reached_port(port),
                }
                for backend_id, port in self.backend_ports.items()
            },
        }

    def zone_of(self, backend_id: str) -> str:
        """Return the zone of a backend server."""
        service, _, letter = backend_id.rpartition('-')
        place = 'ab'.index(letter)
        if self.network is not None:
            place += self.services.index(service)
        return self.zones[place % len(self.zones)]

    def reached_port(self, port: int) -> int:
        """Return the port under which others reach a listening port."""
        if self.network is None:
            return port
        return self.network.relay_port(port)

    def start(self) -> None:
        """Start everything, publish the register and wait until ready."""
        if self.network is not None:
            self.network.start()
        self.start_stand_ins()
        for zone in self.zones:
            self.start_program('agent', zone)
        for zone in self.zones:
            self.start_program('aggregator', zone)
            self.start_program('entry', zone)
        for zone, port in self.entry_ports.items():
            wait_until(
                functools.partial(call, port, 'GET', '/v1/status'),
                f'entry of {zone}',
            )
        self.publish(0, RULES)
        for port in self.entry_ports.values():
            self.wait_whole(port)
        self._check_running()

    def _check_running(self) -> None:
        """Notice a program that found its port taken by another fleet."""
        for name, process in self.processes_by_name.items():
            if not process.running:
                raise FleetError(f'{name} ended: {self.log(name)}')

    def start_stand_ins(self) -> None:
        """Start the platform and the backend servers."""
        self.start_platform()
        entries = [
            {
                'backend_id': backend_id,
                'service': backend_id.rpartition('-')[0],
                'index': self.indexes_by_service[backend_id.rpartition('-')[0]],
                'port': port,
                'connection_cost_ms': 6,
                'shards': f'0-{self.shards - 1}',
            }
            for backend_id, port in self.backend_ports.items()
        ]
        for number in range(min(_BACKEND_PROCESSES, len(entries))):
            hosted = entries[number::_BACKEND_PROCESSES]
            listing = self.folder / f'backends-{number}.yaml'
            listing.write_text(yaml.safe_dump(hosted))
            self._start(
                f'backends-{number}',
                'standins.backend',
                '--list',
                str(listing),
            )

    def start_platform(self) -> None:
        """Start the platform's stand-in and wait until it answers."""
        self._start(
            'platform', 'standins.platform', '--port', str(self.platform_port)
        )
        wait_until(
            lambda: call(self.platform_port, 'GET', '/v1/hosts'), 'platform'
        )

    def start_program(self, program: str, zone: str) -> Process:
        """Start an agent, entry or aggregator of a zone."""
        settings = self.folder / f'{program}-{zone}.yaml'
        settings.write_text(yaml.safe_dump(self.settings(program, zone)))
        return self._start(
            f'{program}-{zone}',
            'cardamomflow',
            program,
            '--settings',
            str(settings),
        )

    def settings(self, program: str, zone: str) -> dict[str, Any]:
        """Return the settings of a program."""
        document: dict[str, Any] = {
            'process_id': f'{program}-{zone}',
            'host': {
                'id': f'host-{zone}',
                'region': REGION,
                'availability_zone': zone,
            },
        }
        agent = {'address': ADDRESS, 'port': self.agent_ports[zone]}
        platform = self._reached(self.platform_port)
        if program == 'agent':
            return {
                **document,
                **self._advertise(self.agent_ports[zone]),
                'control': agent,
                'platform': platform,
                'seeds': [
                    self._reached(port) for port in self.agent_ports.values()
                ],
            }
        if program == 'entry':
            port = self.entry_ports[zone]
            document['tracing'] = {'sample_share': self._sample_share}
        else:
            port = self.aggregator_ports[zone]
            document['platform'] = platform
            document.update(self._advertise(port))
        return {
            **document,
            'agent': agent,
            'listen': {'address': ADDRESS, 'port': port},
        }

    def operator_settings(self) -> pathlib.Path:
        """Write the operators' settings and return their path."""
        path = self.folder / 'operator.yaml'
        path.write_text(
            yaml.safe_dump(
                {
                    'platform': {
                        'address': ADDRESS,
                        'port': self.platform_port,
                    },
                    'agents': [
                        self._reached(port)
                        for port in self.agent_ports.values()
                    ],
                    'entries': [
                        self._reached(port)
                        for port in self.entry_ports.values()
                    ],
                }
            )
        )
        return path

    def publish(self, based_on: int, rules: dict[str, Any]) -> str:
        """Publish the register with rules by the operators' command line."""
        register = self.folder / 'register.yaml'
        register.write_text(yaml.safe_dump(self.register))
        rules_path = self.folder / 'rules.yaml'
        rules_path.write_text(yaml.safe_dump(rules))
        return self.operator(
            'publish',
            '--based-on',
            str(based_on),
            '--register',
            str(register),
            '--rules',
            str(rules_path),
        )

    def operator(self, command: str, *arguments: str) -> str:
        """Run the operators' command line and return its output."""
        finished = subprocess.run(
            [
                sys.executable,
                '-m',
                'cardamomflow',
                command,
                '--settings',
                str(self.operator_settings()),
                *arguments,
            ],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            capture_output=True,
            text=True,
            check=False,
            timeout=STOP_TIMEOUT_S,
        )
        if finished.returncode:
            raise FleetError(
                f'{command} exited with {finished.returncode}:'
                f' {finished.stdout}{finished.stderr}'
            )
        return finished.stdout

    def query(self, port: int, **fields: Any) -> tuple[int, Any]:
        """Send a query to an entry process."""
        document = {
            'request_id': f'r-{time.monotonic_ns()}',
            'service': next(iter(self.indexes_by_service.values())),
            'work': 'lot-history',
            'deadline_ms': 1000,
            'query': QUERY,
            **fields,
        }
        return call(port, 'POST', '/v1/query', document)

    def wait_whole(self, port: int) -> Any:
        """Wait for a whole answer and return it."""

        def whole() -> Any:
            status, answer = self.query(port)
            if status != _HTTP_OK or answer['coverage']['missing']:
                return None
            return answer

        return wait_until(whole, f'whole answer of port {port}')

    def is_owner(self, zone: str) -> bool:
        """Tell whether queries of a zone go to its own aggregator."""
        port = self.entry_ports[zone]
        request_id = f'owner-{time.monotonic_ns()}'
        self.query(port, request_id=request_id, trace=True)
        _, trace = call(port, 'GET', f'/v1/traces/{request_id}')
        return {f'aggregator-{zone}'} == {
            span['process']
            for span in trace['spans']
            if span['name'] == 'aggregator.query'
        }

    def control(self, backend_ids: list[str], **changes: Any) -> None:
        """Change the behaviour of backend servers."""
        for backend_id in backend_ids:
            status, answer = call(
                self.backend_ports[backend_id], 'POST', '/control', changes
            )
            if status != _HTTP_OK:
                raise FleetError(f'control of {backend_id}: {answer}')

    def control_platform(self, **changes: Any) -> None:
        """Change the behaviour of the platform's stand-in."""
        status, answer = call(self.platform_port, 'POST', '/control', changes)
        if status != _HTTP_OK:
            raise FleetError(f'control of the platform: {answer}')

    def executions(self, backend_id: str) -> dict[str, int]:
        """Return how often each operation ran on a backend server."""
        _, report = call(self.backend_ports[backend_id], 'GET', '/control')
        return report['executions']

    def log(self, name: str) -> str:
        """Return what a process wrote."""
        return (self.folder / f'{name}.log').read_text()

    def close(self) -> None:
        """End every process that still runs."""
        for process in self.processes_by_name.values():
            process.kill()
        if self.network is not None:
            self.network.close()
        self._reserved.close()

    def _reached(self, port: int) -> dict[str, Any]:
        return {'address': ADDRESS, 'port': self.reached_port(port)}

    def _advertise(self, port: int) -> dict[str, Any]:
        if self.network is None:
            return {}
        return {'advertise': self._reached(port)}

    def _lay_network(self) -> relay.Network:
        laid = relay.Network(self._zones_by_pid)
        for zone in self.zones:
            laid.add(zone, self.agent_ports[zone], datagrams=True)
            laid.add(zone, self.aggregator_ports[zone])
            laid.add(zone, self.entry_ports[zone])
        laid.add(PLATFORM, self.platform_port)
        self.network = laid
        for backend_id, port in self.backend_ports.items():
            laid.add(self.zone_of(backend_id), port)
        return laid

    def _zones_by_pid(self) -> dict[int, str]:
        """Return the zones of the programs, the only ones that connect."""
        return {
            process.pid: zone
            for name, process in list(self.processes_by_name.items())
            for zone in self.zones
            if name.endswith(f'-{zone}')
        }

    def _start(self, name: str, *arguments: str) -> Process:
        with (self.folder / f'{name}.log').open('a') as log:
            process = Process(name, list(arguments), log)
        self.processes_by_name[name] = process
        return process


@contextlib.contextmanager
def running(**options: Any) -> Iterator[Fleet]:
    """Start a deployment in a temporary folder and end it afterwards."""
    with tempfile.TemporaryDirectory(prefix='cardamomflow-') as folder:
        fleet = Fleet(pathlib.Path(folder), **options)
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.close()
            _keep_logs(fleet.folder)


def _keep_logs(folder: pathlib.Path) -> None:
    kept_in = os.environ.get(KEPT_LOGS)
    if kept_in is None:
        return
    kept = pathlib.Path(kept_in) / folder.name
    kept.mkdir(parents=True)
    for log in folder.glob('*.log'):
        shutil.copy(log, kept)
