"""Processes and stand-ins of a run, and the faults that are injected.

Owns the stand-in for the platform's store, the backend servers and the host
processes.
"""

import pathlib
import random
import signal
import time
from typing import Any

import curio

from cardamomflow import webhandler, webserver
from cardamomflow.platform import wire
from soak import checks, hosts, plan
from standins import users

ZONES = ('z1', 'z2')
# More than `delegation.MINIMUM_SERVICES`, with too few connections for every
# host. So hosts delegate parts to each other and relay changes.
SHARDS = tuple(f's{number:02}' for number in range(26))
SHARD_CONNECTIONS = 3
PAYMENT_SERVICE = 'pay'
REPLICAS_BY_SERVICE = {**dict.fromkeys(SHARDS, 2), PAYMENT_SERVICE: 3}
TOP_RECORDS = 5
RECORD_BYTES = 16
KEPT_VERSIONS = 2
STORE = 'store'
# Entries that expired in a store outage are listed again this long after it.
RELIST_DELAY_S = 1.5
_INVALID_ENTRIES = (
    b'[' * 100_000,
    b'{"address": "10.0.0.1:99999", "service": "pay"}',
    b'\xff',
    b'null',
)


class Backend(users.BackendServer):
    """A backend server that records each request that it executes."""

    def __init__(
        self, backend_id: str, service: str, records: bytes, world: 'World'
    ) -> None:
        super().__init__(backend_id, records)
        self.service = service
        self.draining_since: float | None = None
        self.server = webserver.WebServer('127.0.0.1', 0, self)
        self.port = self.server.port
        self.task: Any = None
        self._world = world

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Answer one request."""
        is_own = request.headers[wire.BACKEND_ID.decode()] == self.backend_id
        if is_own and not self.refuses:
            self._world.record_execution(self, request)
        return await super().handle(request)


class World:
    """All processes and stand-ins of one run."""

    def __init__(
        self,
        run_plan: plan.Plan,
        run_checks: checks.Checks,
        folder: pathlib.Path,
    ) -> None:
        self.checks = run_checks
        self.disturbances = checks.Disturbances()
        self.store = users.Store()
        self.backends: list[Backend] = []
        self.hosts: list[hosts.HostProcess] = []
        self.records_by_backend: dict[str, tuple[str, bytes]] = {}
        self.acked_at_by_version: dict[int, float] = {}
        self.is_finished = False
        self._plan = run_plan
        self._folder = folder
        self._random = random.Random(run_plan.seed)  # noqa: S311
        self._backend_count = 0

    async def start(self) -> None:
        """Start the store, the backend servers and the hosts."""
        store_server = webserver.WebServer('127.0.0.1', 0, self.store)
        await curio.spawn(store_server.serve, daemon=True)
        for service, replicas in REPLICAS_BY_SERVICE.items():
            for _ in range(replicas):
                await self.add_backend(service)
        self.publish()
        for zone in ZONES:
            for number in range(self._plan.hosts_by_zone):
                host_id = f'host-{zone}-{number}'
                self.hosts.append(
                    hosts.HostProcess(
                        host_id, zone, store_server.port, self._folder
                    )
                )
        async with curio.TaskGroup() as group:
            for host in self.hosts:
                await group.spawn(self._start_host, host)

    async def stop(self) -> None:
        """Stop all hosts and record failures in their logs."""
        async with curio.TaskGroup() as group:
            for host in self.hosts:
                await group.spawn(self._stop_host, host)

    def kill(self) -> None:
        """Kill all processes that are still running."""
        for host in self.hosts:
            host.kill()
            host.release_port()

    def record_execution(
        self, backend: Backend, request: webhandler.Request
    ) -> None:
        """Record that a backend server executes a request."""
        now = time.monotonic()
        request_id = request.headers[wire.REQUEST_ID.decode()]
        self.checks.record_execution(
            request_id,
            checks.Execution(backend.backend_id, now),
            repeatable=not request.path.startswith('/payment/'),
        )
        if backend.draining_since is not None:
            undisturbed_since = max(
                backend.draining_since,
                self.disturbances.undisturbed_since(STORE, now),
                *(
                    self.disturbances.undisturbed_since(host.host_id, now)
                    for host in self.hosts
                ),
            )
            self.checks.check_draining_backend(
                request_id, backend.backend_id, now - undisturbed_since
            )

    # Planned operations.

    def publish(self) -> None:
        """Publish the next configuration version, which adds a route `v<N>`."""
        version = max(self.acked_at_by_version, default=0) + 1
        self.acked_at_by_version[version] = time.monotonic()
        for old in list(self.acked_at_by_version):
            if old <= version - KEPT_VERSIONS:
                del self.acked_at_by_version[old]
        routes = [
            users.route_document(
                'lookup',
                '/lookup/',
                gather=list(SHARDS),
                top_k=TOP_RECORDS,
                min_shard_ratio=0.5,
            ),
            users.route_document(
                'statement', '/statement/', service=PAYMENT_SERVICE
            ),
            users.route_document(
                'payment',
                '/payment/',
                service=PAYMENT_SERVICE,
                route_type='unsafe',
            ),
        ]
        routes += [
            users.route_document(
                f'v{number}', f'/v{number}/', service=PAYMENT_SERVICE
            )
            for number in self.acked_at_by_version
        ]
        document = users.configuration_document(
            version, routes, list(REPLICAS_BY_SERVICE)
        )
        for service in document['services']:
            if service['name'] in SHARDS:
                service['max_connections'] = SHARD_CONNECTIONS
        self.store.put('op/config', document)

    async def add_backend(self, service: str) -> None:
        """Start a backend server and write its entry to the store."""
        self._backend_count += 1
        backend_id = f'i-{self._backend_count}'
        number = list(REPLICAS_BY_SERVICE).index(service)
        records = b''.join(
            (number * 3 + record_index).to_bytes(RECORD_BYTES, 'big')
            for record_index in range(3)
        )
        backend = Backend(backend_id, service, records, self)
        backend.task = await curio.spawn(backend.server.serve)
        self.records_by_backend[backend_id] = (service, records)
        self.backends.append(backend)
        self.list_backend(backend)

    def list_backend(self, backend: Backend, state: str = 'ready') -> None:
        """Write the entry of a backend server to the store."""
        number = int(backend.backend_id.removeprefix('i-'))
        self.store.put(
            f'servers/{backend.backend_id}',
            users.backend_document(
                backend.service,
                backend.port,
                state=state,
                zone=ZONES[number % len(ZONES)],
            ),
        )

    # Faults.

    async def inject_fault(self, fault: plan.Fault) -> None:
        """Inject one fault and remove it after its duration."""
        component = fault.kind.split()[0]
        self.checks.counts[fault.kind] += 1
        match component:
            case 'host':
                host = self.hosts[fault.target % len(self.hosts)]
                await self._inject_host_fault(host, fault)
            case 'store':
                await self._inject_store_fault(fault)
            case 'backend':
                await self._inject_backend_fault(
                    self._choose_backend(fault.target), fault
                )
            case 'odd':
                value = _INVALID_ENTRIES[fault.target % len(_INVALID_ENTRIES)]
                self.store.put_bytes('servers/odd', value)
                self.store.put_bytes('hosts/odd', value)
            case _:
                if not self.store.is_down:
                    self.publish()

    def _choose_backend(self, target: int) -> Backend:
        """Return the backend server of a target.

        Odd targets select servers of payments, which are not repeatable.
        """
        candidates = self.backends
        if target % 2:
            candidates = [
                backend
                for backend in candidates
                if backend.service == PAYMENT_SERVICE
            ]
        return candidates[target // 2 % len(candidates)]

    async def _inject_host_fault(
        self, host: hosts.HostProcess, fault: plan.Fault
    ) -> None:
        if (
            not host.is_running
            or host.stop_requested_at
            or host.is_exit_expected
        ):
            return
        if fault.kind is plan.FaultKind.HOST_HANGUP:
            host.send_signal(signal.SIGHUP)
            return
        self.disturbances.begin(host.host_id, time.monotonic())
        incarnation = host.incarnation
        match fault.kind:
            case plan.FaultKind.HOST_FREEZE:
                host.send_signal(signal.SIGSTOP)
                await curio.sleep(fault.duration_s)
                host.send_signal(signal.SIGCONT)
            case plan.FaultKind.HOST_KILL:
                host.kill()
                await curio.sleep(fault.duration_s)
            case plan.FaultKind.HOST_STOP:
                await self._stop_host(host)
        if not host.is_running and host.incarnation == incarnation:
            await self._start_host(host)
        self.disturbances.end(host.host_id, time.monotonic())

    async def _start_host(self, host: hosts.HostProcess) -> None:
        await host.start()

    async def _stop_host(self, host: hosts.HostProcess) -> None:
        host.stop_requested_at = time.monotonic()
        host.send_signal(signal.SIGTERM)
        limit_s = hosts.STOP_WITHIN_S + hosts.STOP_SLACK_S
        has_exited = await host.wait_exit(limit_s)
        host.is_exit_expected = True
        if not has_exited:
            log_tail = await host.abort()
            self.checks.record_process_failure(
                host.name, f'still running after {limit_s:g} s: {log_tail}'
            )
        if host.failure_log():
            self.checks.record_process_failure(host.name, host.failure_log())

    async def _inject_store_fault(self, fault: plan.Fault) -> None:
        self.disturbances.begin(STORE, time.monotonic())
        store = self.store
        match fault.kind:
            case plan.FaultKind.STORE_FORGETS:
                store.forget_history()
            case plan.FaultKind.STORE_LAPSE:
                await self._expire_entries(fault.duration_s)
            case plan.FaultKind.STORE_SLOW:
                store.delay_s = 0.2
                await curio.sleep(fault.duration_s)
                store.delay_s = 0
            case plan.FaultKind.STORE_LOSES_ANSWERS:
                store.loses_answers_of = {'kv-txn', 'kv-lease', 'kv-keep'}
                await curio.sleep(fault.duration_s)
                store.loses_answers_of = set()
            case _:
                flag = _STORE_FLAGS_BY_KIND[fault.kind]
                setattr(store, flag, True)
                await curio.sleep(fault.duration_s)
                setattr(store, flag, False)
        self.disturbances.end(STORE, time.monotonic())

    async def _expire_entries(self, duration_s: float) -> None:
        """Remove entries during a store outage and list them again after it."""
        self.store.is_down = True
        removed = [
            backend
            for backend in self.backends
            if self._random.random() < 1 / 2 and backend.draining_since is None
        ]
        for backend in removed:
            self.store.remove(f'servers/{backend.backend_id}')
        await curio.sleep(duration_s)
        self.store.is_down = False
        await curio.sleep(RELIST_DELAY_S)
        for backend in removed:
            if backend in self.backends and backend.draining_since is None:
                self.list_backend(backend)

    async def _inject_backend_fault(
        self, backend: Backend, fault: plan.Fault
    ) -> None:
        match fault.kind:
            case plan.FaultKind.BACKEND_PAUSE:
                backend.pause_s = fault.duration_s
                await curio.sleep(fault.duration_s)
                backend.pause_s = 0
            case plan.FaultKind.BACKEND_REFUSES:
                backend.refuses = True
                await curio.sleep(fault.duration_s)
                backend.refuses = False
            case plan.FaultKind.BACKEND_MIXES:
                backend.answers_for = 'another'
                await curio.sleep(fault.duration_s)
                backend.answers_for = None
            case plan.FaultKind.BACKEND_LEAVES:
                await self._drain_backend(backend)
            case plan.FaultKind.BACKEND_VANISHES:
                await self._terminate_backend(backend)

    async def _drain_backend(self, backend: Backend) -> None:
        if backend.draining_since is not None or self.store.is_down:
            return
        self.list_backend(backend, 'draining')
        backend.draining_since = time.monotonic()
        await self.add_backend(backend.service)
        await curio.sleep(checks.DRAIN_LIMIT_S + 2)
        await self._terminate_backend(backend)

    async def _terminate_backend(self, backend: Backend) -> None:
        """End a backend server without draining; another one replaces it."""
        if backend not in self.backends:
            return
        self.backends.remove(backend)
        await backend.task.cancel()
        for connection in backend.server.open_connections():
            await connection.close()
        self.store.remove(f'servers/{backend.backend_id}')
        if backend.draining_since is None:
            await self.add_backend(backend.service)


_STORE_FLAGS_BY_KIND = {
    plan.FaultKind.STORE_DOWN: 'is_down',
    plan.FaultKind.STORE_SILENT: 'is_silent',
    plan.FaultKind.STORE_OVER_RATE: 'is_over_rate',
}
