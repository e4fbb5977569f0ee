"""Control cost of host processes at the platform's store.

The hosts are real processes without callers, so that all they do is control;
the stand-in of the store runs in this process and counts. Command: `python -m
bench.run hostcontrol`; it takes about four minutes. Not modelled: the time
that calls take on the way.
"""

import pathlib
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, NamedTuple

import curio
import psutil
import yaml

from bench import fit, result
from cardamomflow import serverconnection, webserver
from standins import users

# Hosts of one run; a slope needs more than two.
SIZES = (8, 16, 32)
# Entries of backend servers, as at the larger site of the users.
ENTRIES = 140
# Items of a page as the platform sends them.
PAGE_ITEMS = 500
ZONES = 4
IDLE_S = 20.0
CHANGES_PER_S = 2
CUT_S = 5.0
RETURN_S = 3.0
SETTLE_S = 2.0
START_LIMIT_S = 60.0
# What the control plane of a node may use.
MAX_CPU_PERCENT = 3.0
MAX_BYTES_PER_S = 15_000.0
MAX_MEMORY_MB = 128.0
# What all nodes may call in a second, by the rates of the site files.
MAX_READS_PER_S = 2000.0
# The design size; the line through the sizes is read there.
DESIGN_HOSTS = 420
_ADDRESS = '127.0.0.1'
_POLL_S = 0.05
_MB = 1e6


class _Sock:
    """A socket that counts its bytes."""

    def __init__(self, sock: Any, counted: '_CountedStore') -> None:
        self._sock = sock
        self._counted = counted

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    async def __aenter__(self) -> Any:
        return await self._sock.__aenter__()

    async def __aexit__(self, *details: object) -> Any:
        return await self._sock.__aexit__(*details)

    async def recv(self, size: int) -> bytes:
        received = await self._sock.recv(size)
        self._counted.bytes += len(received)
        return received

    async def sendall(self, payload: bytes) -> None:
        self._counted.bytes += len(payload)
        await self._sock.sendall(payload)


class _CountedStore(users.Store):
    """The store; counts bytes and notes when calls come."""

    def __init__(self) -> None:
        super().__init__()
        self.page_items = PAGE_ITEMS
        self.bytes = 0
        self.called_at: list[float] = []

    async def handle(self, request: Any) -> Any:
        self.called_at.append(time.monotonic())
        return await super().handle(request)

    def peak(self, since: float) -> int:
        """Return the most calls within one second."""
        times = [called for called in self.called_at if called >= since]
        return max(
            (
                sum(first <= called < first + 1 for called in times[index:])
                for index, first in enumerate(times)
            ),
            default=0,
        )


class _Door(webserver.WebServer):
    """The way of one zone to the store."""

    def __init__(self, store: _CountedStore, port: int) -> None:
        super().__init__(_ADDRESS, port, store)
        self._store = store
        self._serving: curio.Task

    @classmethod
    async def opened(cls, store: _CountedStore, port: int = 0) -> '_Door':
        """Return a door that is served."""
        door = cls(store, port)
        door._serving = await curio.spawn(door.serve)
        return door

    async def shut(self) -> None:
        """Serve no more, and close all connections."""
        await self._serving.cancel()
        for connection in self.open_connections():
            await connection.close()

    def create_connection(self, sock: Any) -> serverconnection.Connection:
        return super().create_connection(_Sock(sock, self._store))


class Load(NamedTuple):
    """Figures of one number of hosts, for all of them together.

    Bytes go both ways and are those of HTTP, without heads of packets. A start
    is measured until each host knows the routes, and `return_peak` is the most
    calls of all hosts in a second after one zone of four has returned.
    """

    hosts: int
    start_calls: int
    start_peak: int
    start_bytes: int
    start_cpu_s: float
    idle_calls_per_s: float
    idle_bytes_per_s: float
    idle_cpu_percent: float
    memory_mb: float
    change_bytes: float
    change_cpu_s: float
    change_calls: float
    return_peak: int


class _Fleet:
    """Hosts of four zones, each zone with its own door to the store."""

    def __init__(self, count: int, folder: str) -> None:
        self._count = count
        self._folder = pathlib.Path(folder)
        self.store = _CountedStore()
        self._doors: list[_Door] = []
        self._processes: list[psutil.Popen] = []

    async def open(self) -> None:
        """Open the store and list the backend servers."""
        for number in range(ENTRIES):
            self.change(number, 0)
        self.store.put(
            'op/config',
            users.configuration_document(
                1,
                [users.route_document('r', '/r/', service='s0')],
                [f's{number}' for number in range(ENTRIES // 4)],
            ),
        )
        for _ in range(ZONES):
            self._doors.append(await _Door.opened(self.store))

    def change(self, number: int, sequence: int) -> None:
        """Change the entry of a backend server."""
        self.store.put(
            f'servers/b{number}',
            users.backend_document(f's{number // 4}', 1, sequence=sequence),
        )

    async def start(self) -> None:
        """Start all hosts at once; returns when each knows the routes."""
        for number in range(self._count):
            self._start_host(number)
        async with curio.timeout_after(START_LIMIT_S):
            while not all(map(self._is_up, range(self._count))):
                await curio.sleep(_POLL_S)

    async def cut(self, zone: int) -> int:
        """Cut a zone from the store; returns its port."""
        door = self._doors[zone]
        await door.shut()
        return door.port

    async def reconnect(self, zone: int, port: int) -> None:
        """Let a zone reach the store again."""
        self._doors[zone] = await _Door.opened(self.store, port)

    def cpu_s(self) -> float:
        """Return the processor time of all hosts so far."""
        return sum(sum(process.cpu_times()[:2]) for process in self._processes)

    def memory_mb(self) -> float:
        """Return the resident memory of the largest host."""
        return max(
            process.memory_info().rss / _MB for process in self._processes
        )

    def stop(self) -> None:
        """End the processes that were started here."""
        for process in self._processes:
            process.kill()
            process.wait()

    async def close(self) -> None:
        """Close the doors."""
        for door in self._doors:
            await door.shut()

    def _start_host(self, number: int) -> None:
        zone = number % ZONES
        path = self._folder / f'{number}.yaml'
        path.write_text(
            yaml.safe_dump(
                users.host_settings(
                    f'host-{number}', f'z{zone}', self._doors[zone].port
                )
            )
        )
        with self._log(number).open('wb') as log:
            self._processes.append(
                psutil.Popen(
                    (
                        sys.executable,
                        '-m',
                        'cardamomflow',
                        'host',
                        '--settings',
                        str(path),
                    ),
                    stdout=log,
                )
            )

    def _log(self, number: int) -> pathlib.Path:
        return self._folder / f'{number}.log'

    def _is_up(self, number: int) -> bool:
        return '"routes in force"' in self._log(number).read_text()


class _Span(NamedTuple):
    """What all hosts did in a time."""

    duration_s: float
    calls: int
    bytes: int
    cpu_s: float


async def _span(fleet: _Fleet, work: Callable[[], Awaitable[Any]]) -> _Span:
    started_at = time.monotonic()
    calls = len(fleet.store.called_at)
    moved = fleet.store.bytes
    cpu_s = fleet.cpu_s()
    await work()
    return _Span(
        time.monotonic() - started_at,
        len(fleet.store.called_at) - calls,
        fleet.store.bytes - moved,
        fleet.cpu_s() - cpu_s,
    )


async def _measure(count: int, folder: str) -> Load:
    fleet = _Fleet(count, folder)
    await fleet.open()
    try:
        return await _measure_fleet(fleet, count)
    finally:
        fleet.stop()
        await fleet.close()


async def _measure_fleet(fleet: _Fleet, count: int) -> Load:
    started_at = time.monotonic()
    start = await _span(fleet, fleet.start)
    start_peak = fleet.store.peak(started_at)
    await curio.sleep(SETTLE_S)
    idle = await _span(fleet, lambda: curio.sleep(IDLE_S))
    changed = await _span(fleet, lambda: _change(fleet))
    changes = CHANGES_PER_S * IDLE_S
    port = await fleet.cut(0)
    await curio.sleep(CUT_S)
    returned_at = time.monotonic()
    await fleet.reconnect(0, port)
    await curio.sleep(RETURN_S)
    return Load(
        hosts=count,
        start_calls=start.calls,
        start_peak=start_peak,
        start_bytes=start.bytes,
        start_cpu_s=start.cpu_s,
        idle_calls_per_s=idle.calls / idle.duration_s,
        idle_bytes_per_s=idle.bytes / idle.duration_s,
        idle_cpu_percent=100 * idle.cpu_s / idle.duration_s,
        memory_mb=fleet.memory_mb(),
        change_bytes=(changed.bytes - idle.bytes) / changes,
        change_cpu_s=(changed.cpu_s - idle.cpu_s) / changes,
        change_calls=(changed.calls - idle.calls) / changes,
        return_peak=fleet.store.peak(returned_at),
    )


async def _change(fleet: _Fleet) -> None:
    """Change entries for as long as an idle time is measured."""
    for number in range(int(CHANGES_PER_S * IDLE_S)):
        fleet.change(number % ENTRIES, number + 1)
        await curio.sleep(1 / CHANGES_PER_S)


def run() -> list[result.Result]:
    """Measure all sizes."""
    loads = []
    for count in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            loads.append(curio.run(_measure, count, folder))
    return [
        *(figure for load in loads for figure in _results(load)),
        *_fits(loads),
    ]


def _results(load: Load) -> Iterator[result.Result]:
    """Return the figures of a size for one host, and the peaks of all."""
    hosts = load.hosts
    bounds_by_name = {
        'idle_cpu_percent': MAX_CPU_PERCENT,
        'idle_bytes_per_s': MAX_BYTES_PER_S,
        'memory_mb': MAX_MEMORY_MB,
    }
    of_all = {'hosts', 'start_peak', 'return_peak', 'memory_mb'}
    for name, value in load._asdict().items():
        if name == 'hosts':
            continue
        yield result.Result(
            f'hostcontrol.{hosts}.{name}',
            value if name in of_all else value / hosts,
            'of all hosts' if name in of_all else 'for one host',
            bounds_by_name.get(name),
            'at_most',
            f'{hosts} hosts, {ENTRIES} entries',
        )


def _fits(loads: list[Load]) -> Iterator[result.Result]:
    """Return what the lines give for the design size."""
    sizes = [load.hosts for load in loads]
    for name in ('idle_calls_per_s', 'start_peak', 'return_peak'):
        found = fit.line(sizes, [getattr(load, name) for load in loads])
        yield result.Result(
            f'hostcontrol.fit.{name}',
            found.at(DESIGN_HOSTS),
            f'calls/s of {DESIGN_HOSTS} hosts',
            MAX_READS_PER_S,
            'at_most',
            f'{found.slope:.3g} a host, largest residual {found.residual:.3g}',
        )
