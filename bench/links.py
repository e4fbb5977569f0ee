"""Control cost of an entry's idle links to aggregators.

The links run in this process, the aggregators in one process of their own, all
on loopback. Links that were opened together are pinged together at first, and
are measured over whole intervals after that. Command: `python -m bench.run
links`; it takes about six minutes.
"""

import contextlib
import math
import multiprocessing
import socket
import struct
import subprocess
import sys
import time
import tracemalloc
from typing import Any, NamedTuple

import curio

from bench import fit, result
from cardamomflow import (
    aggregatorlinks,
    context,
    linkkeepalive,
    links,
    liveness,
    routing,
    webserver,
)
from cardamomflow.generated import wire_pb2

# The last one is that of the design size, see docs/CAPACITY.md.
SIZES = (20, 40, 80, 160, 473)
# What the control plane of a node may use.
MAX_CPU_PERCENT = 3.0
MAX_BYTES_PER_S = 15_000.0
# Zones of the region; each holds as many aggregators.
ZONES = 4
SETTLE_S = 3.0
MIN_MEASURED_S = 15.0
# Heads of IPv4, and of TCP with time stamps.
_HEAD_BYTES = 52
# Bytes acknowledged and received, segments sent and received; linux/tcp.h.
_TCP_COUNTS = struct.Struct('=QQII')
_TCP_COUNTS_AT = 120
_ADDRESS = '127.0.0.1'
_KB = 1000


class _Aggregator(linkkeepalive.KeepaliveHandler):
    """Pings and answers pings as an aggregator with one link does."""

    async def on_opened(self, link: Any) -> None:
        await link.post(wire_pb2.Envelope(holdings=wire_pb2.HoldingsUpdate()))

    async def on_message(self, link: Any, message: Any) -> None:
        match message.WhichOneof('body'):
            case 'ping':
                await self.on_ping(link, message.ping)
            case 'pong':
                self.on_pong(link, message.pong)

    async def on_closed(self, link: Any) -> None:
        """Links end with the benchmark."""


class Load(NamedTuple):
    """Figures of one number of links."""

    count: int
    cpu_percent: float
    memory_kb: float
    bytes_per_s: float
    wire_bytes_per_s: float


def run() -> list[result.Result]:
    """Measure idle links to one zone."""
    with subprocess.Popen(
        [sys.executable, '-m', 'bench.links'], stdout=subprocess.PIPE
    ) as aggregators:
        try:
            port = int(aggregators.stdout.readline())
            loads = [_measure_alone(port, size) for size in SIZES]
        finally:
            aggregators.kill()
    figures = []
    for load in loads:
        figures.extend(_load_results(load))
    figures.append(_fit('memory_kb', loads))
    return figures


def _measure_alone(port: int, size: int) -> Load:
    """Measure in a process of its own, which ends its links."""
    with multiprocessing.get_context('spawn').Pool(1) as pool:
        return pool.apply(_run_measure, (port, size))


def _run_measure(port: int, size: int) -> Load:
    # Links start tasks when their loop ends, which curio reports as an error.
    found: list[Load] = []
    with contextlib.suppress(AssertionError):
        curio.run(_measure, port, size, found)
    return found[0]


async def _measure(port: int, size: int, found: list[Load]) -> None:
    """Measure with `size` aggregators in each zone."""
    memory_kb = await _memory_kb(port, size)
    kept = await _open(port, size)
    count = len(kept.connected)
    interval_s = kept.liveness_checker.interval_s
    await curio.sleep(interval_s + count / liveness.MAX_IDLE_PINGS_PER_S)
    measured_s = interval_s * math.ceil(MIN_MEASURED_S / interval_s)
    opened = list(kept._peers_by_link)  # noqa: SLF001  # counts their bytes
    posted, wire = _bytes_of(opened)
    cpu_s = time.process_time()
    await curio.sleep(measured_s)
    cpu_s = time.process_time() - cpu_s
    posted_later, wire_later = _bytes_of(opened)
    found.append(
        Load(
            count,
            100 * cpu_s / measured_s,
            memory_kb,
            (posted_later - posted) / measured_s,
            (wire_later - wire) / measured_s,
        )
    )


def _bytes_of(opened: list[Any]) -> tuple[int, int]:
    """Return the bytes of frames sent, and those on the wire both ways."""
    posted = 0
    wire = 0
    for link in opened:
        posted += link._posted_bytes  # noqa: SLF001
        state = link._sock.getsockopt(  # noqa: SLF001
            socket.IPPROTO_TCP,
            socket.TCP_INFO,
            _TCP_COUNTS_AT + _TCP_COUNTS.size,
        )
        acknowledged, received, *segments = _TCP_COUNTS.unpack_from(
            state, _TCP_COUNTS_AT
        )
        wire += acknowledged + received + _HEAD_BYTES * sum(segments)
    return posted, wire


def _zone(zone: int, size: int, port: int) -> list[routing.Aggregator]:
    return [
        routing.Aggregator(f'{zone}/{number}', _ADDRESS, port)
        for number in range(size)
    ]


async def _open(port: int, size: int) -> aggregatorlinks.AggregatorLinks:
    process_context = context.create({'process_id': 'bench'})
    kept = aggregatorlinks.AggregatorLinks(process_context, lambda _: None)
    await curio.spawn(kept.run, daemon=True)
    await kept.apply([_zone(zone, size, port) for zone in range(ZONES)])
    await curio.sleep(SETTLE_S)
    return kept


async def _memory_kb(port: int, size: int) -> float:
    """Return the heap that the links take; ends them."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = await _open(port, size)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await kept.apply([])
    while kept._peers_by_link:  # noqa: SLF001  # the next ones are measured
        await curio.sleep(SETTLE_S / 10)
    return (after - before) / _KB


def _load_results(load: Load) -> list[result.Result]:
    named = f'links.{load.count}'
    note = f'{load.count * ZONES} aggregators in {ZONES} zones'
    return [
        result.Result(
            f'{named}.cpu',
            load.cpu_percent,
            '% of a core, idle',
            MAX_CPU_PERCENT,
            'at_most',
            note,
        ),
        _figure(f'{named}.memory', load.memory_kb, 'kB of Python heap', note),
        _figure(f'{named}.bytes', load.bytes_per_s, 'bytes/s sent', note),
        result.Result(
            f'{named}.wire',
            load.wire_bytes_per_s,
            'bytes/s sent and received, with heads',
            MAX_BYTES_PER_S,
            'at_most',
            note,
        ),
    ]


def _fit(name: str, loads: list[Load]) -> result.Result:
    counts = [load.count for load in loads]
    values = [getattr(load, name) for load in loads]
    line = fit.line(counts, values)
    return _figure(
        f'links.fit.{name}',
        line.slope,
        f'{name} per link',
        f'intercept {line.offset:.4g}, largest residual {line.residual:.4g}',
    )


def _figure(name: str, value: float, unit: str, note: str) -> result.Result:
    return result.Result(name, value, unit, None, 'at_most', note)


async def _serve() -> None:
    """Serve each link as an aggregator of its own."""
    listener = webserver.listen(_ADDRESS, 0)
    sys.stdout.write(f'{listener.getsockname()[1]}\n')
    sys.stdout.flush()
    while True:
        sock, _ = await listener.accept()
        links.set_no_delay(sock)
        handler = _Aggregator()
        link = links.Link(sock, wire_pb2.Envelope, handler)
        await handler.on_opened(link)
        await curio.spawn(link.run, daemon=True)


if __name__ == '__main__':
    curio.run(_serve)
