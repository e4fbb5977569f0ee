"""Control plane: load of membership and propagation by fleet size.

In memory and virtual time, seeded. Bounds come from `docs/design.md`, 1.5.
"""

import abc
import heapq
import math
import random
import statistics
import time
import tracemalloc
from typing import NamedTuple

from bench import fit, fleet, result
from cardamomflow import gossip as gossip_order
from cardamomflow import membership, propagation, roster
from cardamomflow.generated import control_pb2

SEED = 7
SIZES = (10, 20, 40, 80, 160)
LARGEST = 420
ZONES = 8
AGGREGATORS = 4
SETTLE_S = 11
MEASURED_S = 20
DEATHS = 1
# Size of a stored document; part of the modelled load.
DOCUMENT_BYTES = 100_000
CHANGES_PER_S = 260 / 86_400
FANOUTS = (2, 4, 8)
HOP_S = 0.002
TRANSFER_S = 0.008  # DOCUMENT_BYTES at 100 Mbit/s
LOST_SHARE = 0.01

CPU_BOUND_PERCENT = 3
MEMORY_BOUND_MB = 128
BYTES_BOUND = 15_000
SPREAD_BOUND_S = 5
_MB = 1_000_000


class Load(NamedTuple):
    """Figures of one fleet size, for each node and second."""

    count: int
    bytes_per_s: float
    messages_per_s: float
    cpu_percent: float
    member_bytes: float
    dead_median_s: float
    dead_worst_s: float
    spread_s: float


def run() -> list[result.Result]:
    """Measure all sizes and fit straight lines."""
    loads = [measure(count) for count in SIZES]
    largest = measure(LARGEST)
    found = []
    for load in (*loads, largest):
        found.extend(_load_results(load))
    for name in ('bytes_per_s', 'cpu_percent', 'member_bytes'):
        found.extend(_fit_results(name, loads, largest))
    for count in (40, 80):
        found.extend(_spread_results(count))
    return found


def started(count: int) -> fleet.Fleet:
    """Return a fleet in steady state.

    The members start at once. What they still have to tell each other after
    `SETTLE_S` is handed over directly, since it would take minutes.
    """
    net = fleet.Fleet(SEED)
    for number in range(count):
        net.start(number, f'zone-{number % ZONES}', AGGREGATORS)
    net.run(SETTLE_S)
    records = [
        node.members.records()[0].SerializeToString() for node in net.running()
    ]
    for node in net.running():
        node.members.merge(map(_parse, records), net.now)
        known = node.members._roster  # noqa: SLF001
        known.updates = gossip_order.UpdateQueue(3)
    net.run(1)
    return net


def _parse(payload: bytes) -> control_pb2.MemberRecord:
    return control_pb2.MemberRecord.FromString(payload)


def measure(count: int) -> Load:
    """Measure an idle time, deaths, and the spread of a document."""
    net = started(count)
    nodes = net.running()
    before = _totals(nodes)
    cpu_s = time.process_time()
    net.run(MEASURED_S)
    cpu_s = time.process_time() - cpu_s
    node_seconds = MEASURED_S * count
    after = _totals(nodes)
    dead_s = _deaths(net)
    return Load(
        count,
        (after[0] - before[0]) / node_seconds,
        (after[1] - before[1]) / node_seconds,
        100 * cpu_s / node_seconds,
        _heap_bytes(nodes[0]),
        statistics.median(dead_s),
        max(dead_s),
        _spread(net),
    )


def _heap_bytes(node: fleet.Node) -> float:
    """Return the heap that a member takes to know as many as a node does."""
    records = [record.SerializeToString() for record in node.members.records()]
    tracemalloc.start()
    other = fleet.Node(
        len(records), node.zone, membership.Options(), (), incarnation=1
    )
    other.members.merge([_parse(payload) for payload in records], 1)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / len(records)


def _totals(nodes: list[fleet.Node]) -> tuple[int, int]:
    """Return bytes sent and received, and messages sent, of all nodes."""
    moved = [node.sent_bytes + node.received_bytes for node in nodes]
    return sum(moved), sum([node.sent_count for node in nodes])


def _deaths(net: fleet.Fleet) -> list[float]:
    """Stop three members, one after another; return times of notice."""
    net.records_changes = True
    dead_s = []
    for victim in net.running()[3 : 3 + DEATHS]:
        stopped_at = net.now
        net.changes.clear()
        net.stop(victim)
        net.run(11)
        dead_s += [
            change[0] - stopped_at
            for change in net.changes
            if change[2:] == (victim.member_id, roster.DEAD)
        ]
    return dead_s


def _spread(net: fleet.Fleet) -> float:
    published_at = net.now
    net.publish(net.running()[1], 1)
    net.run(SPREAD_BOUND_S)
    missing = math.inf
    return max(
        node.in_force_at.get(1, missing) - published_at
        for node in net.running()
    )


def _load_results(load: Load) -> list[result.Result]:
    named = f'control.{load.count}'
    # A document reaches a node once and leaves it about once.
    configuration_bytes = 2 * DOCUMENT_BYTES * CHANGES_PER_S
    return [
        result.Result(
            f'{named}.bytes',
            load.bytes_per_s + configuration_bytes,
            'bytes/s sent and received per node',
            BYTES_BOUND,
            'at_most',
            '260 changes a day of 100 kB included',
        ),
        result.Result(
            f'{named}.messages',
            load.messages_per_s,
            'messages/s sent per node',
            None,
            'at_most',
            f'seed {SEED}',
        ),
        result.Result(
            f'{named}.cpu',
            load.cpu_percent,
            '% of a core per node',
            CPU_BOUND_PERCENT,
            'at_most',
            'decision modules, codec and in-memory network',
        ),
        result.Result(
            f'{named}.memory',
            load.member_bytes * load.count / _MB,
            'MB per node',
            MEMORY_BOUND_MB,
            'at_most',
            f'{load.member_bytes:.0f} bytes per member; Python heap alone',
        ),
        result.Result(
            f'{named}.dead_median',
            load.dead_median_s,
            's until a member knows a death',
            None,
            'at_most',
            f'worst {load.dead_worst_s:.2f} s, {DEATHS} deaths',
        ),
        result.Result(
            f'{named}.spread',
            load.spread_s,
            's until the last member has a configuration',
            SPREAD_BOUND_S,
            'at_most',
            'fan-out 4, without transfer time',
        ),
    ]


def _fit_results(
    name: str, loads: list[Load], largest: Load
) -> list[result.Result]:
    sizes = [load.count for load in loads]
    values = [getattr(load, name) for load in loads]
    line = fit.line(sizes, values)
    return [
        result.Result(
            f'control.fit.{name}.slope',
            line.slope,
            f'{name} per member',
            None,
            'at_most',
            f'intercept {line.offset:.4g},'
            f' largest residual {line.residual:.4g}',
        ),
        result.Result(
            f'control.fit.{name}.at_{largest.count}',
            line.at(largest.count),
            name,
            None,
            'at_most',
            f'measured {getattr(largest, name):.4g}',
        ),
    ]


# Candidates for the spread of a document, each with a share of members
# that are dead but not yet known to be, and with lost messages.


class Way(NamedTuple):
    """Result of one way of spreading a document."""

    name: str
    reached_share: float
    last_s: float
    most_sent: int


class _Forwarding(abc.ABC):
    """How a member that has the document forwards it.

    The state is what the sender hands over beside the document.
    """

    name = ''

    def __init__(self, count: int) -> None:
        self.count = count

    @abc.abstractmethod
    def targets(self, member: int, state: int) -> list[tuple[int, int]]:
        """Return the members to send to, each with its state."""


class _Tree(_Forwarding):
    """A plain tree with four children."""

    name = 'tree'

    def targets(self, member: int, state: int) -> list[tuple[int, int]]:
        first = 4 * member + 1
        children = range(first, min(first + 4, self.count))
        return [(child, state) for child in children]


class _Chord(_Forwarding):
    """Fingers of a Chord ring, each with its part of the range.

    Described in "ChoPS" (Lawlor, Diez, Ferrie). The state is the end of the
    range; the farthest finger gets the part behind it.
    """

    name = 'chord'

    def targets(self, member: int, state: int) -> list[tuple[int, int]]:
        handed = []
        end = state
        reach = 1 << (self.count.bit_length() - 1)
        while reach:
            if member + reach < end:
                handed.append((member + reach, end))
                end = member + reach
            reach //= 2
        return handed


class _Push(_Forwarding):
    """Whole documents to random members."""

    def __init__(self, count: int, fanout: int) -> None:
        super().__init__(count)
        self.name = f'push{fanout}'
        self._fanout = fanout
        self._random = random.Random(SEED + fanout)

    def targets(self, member: int, state: int) -> list[tuple[int, int]]:
        chosen = self._random.sample(range(self.count), self._fanout)
        return [(target, state) for target in chosen]


def _walk(forwarding: _Forwarding, dead: set[int]) -> Way:
    """Forward a document; a sender's transfers leave one after another."""
    generator = random.Random(SEED)
    arrived_at: dict[int, float] = {0: 0}
    waiting: list[tuple[float, int, int]] = [(0, 0, forwarding.count)]
    most_sent = 0
    while waiting:
        free_at, member, state = heapq.heappop(waiting)
        targets = forwarding.targets(member, state)
        most_sent = max(most_sent, len(targets))
        for target, handed in targets:
            free_at += TRANSFER_S
            is_lost = generator.random() < LOST_SHARE
            if is_lost or target in dead or target in arrived_at:
                continue
            arrived_at[target] = free_at + HOP_S
            heapq.heappush(waiting, (arrived_at[target], target, handed))
    return Way(
        forwarding.name,
        len(arrived_at) / (forwarding.count - len(dead)),
        max(arrived_at.values()),
        most_sent,
    )


def _announced(count: int, dead_count: int) -> list[Way]:
    """Run the modules themselves: announcement, pull, probes."""
    net = started(count)
    net.loss = LOST_SHARE
    generator = random.Random(SEED)
    ways = []
    for revision, fanout in enumerate(FANOUTS, start=1):
        for node in generator.sample(net.running()[1:], dead_count):
            net.stop(node)
        ways.append(_announce(net, revision, fanout))
    return ways


def _announce(net: fleet.Fleet, revision: int, fanout: int) -> Way:
    alive = net.running()
    for node in alive:
        current = node.spread.current
        node.spread = propagation.Propagation(
            propagation.Options(fanout=fanout)
        )
        node.spread.current = current
    before = [node.sent_count for node in alive]
    published_at = net.now
    net.publish(alive[0], revision)
    net.run(1)
    sent = max(
        node.sent_count - count
        for node, count in zip(alive, before, strict=True)
    )
    net.run(SPREAD_BOUND_S)
    times = [
        node.in_force_at[revision] - published_at
        for node in alive
        if revision in node.in_force_at
    ]
    return Way(f'modules{fanout}', len(times) / len(alive), max(times), sent)


def _spread_results(count: int) -> list[result.Result]:
    dead_count = max(1, count // 50)
    dead = set(random.Random(SEED).sample(range(1, count), dead_count))
    forwardings = [_Tree(count), _Chord(count)]
    forwardings += [_Push(count, fanout) for fanout in FANOUTS]
    ways = [_walk(forwarding, dead) for forwarding in forwardings]
    ways += _announced(count, dead_count)
    found = []
    for way in ways:
        own = way.name.startswith('modules')
        found.append(
            result.Result(
                f'control.spread.{count}.{way.name}',
                way.last_s,
                's until the last member reached has it',
                SPREAD_BOUND_S if own else None,
                'at_most',
                f'reaches {way.reached_share:.1%}, one member sends at most'
                f' {way.most_sent}; {dead_count} dead, 1% lost',
            )
        )
    return found
