"""Stand-in backend server: slots, shards, snapshots and faults on demand.

Speaks the backend servers' HTTP interface of `docs/design.md`, section 8.
One process may host many backend servers, each on a port of its own:

    python -m standins.backend --backend-id desk-a --port 7001 --service desk
    python -m standins.backend --list backends.yaml --control-port 7000
"""

import enum
import json
import pathlib
import random
import time
from collections import Counter
from collections.abc import Collection
from typing import Any, NamedTuple

import click
import curio
import xxhash
import yaml
from curio import io as curio_io

from cardamomflow import errors, serverconnection, webhandler, webserver

ROWS_PER_SHARD = 10
_SCORE_STEPS = 1_000_000
_MS = 1000.0


def expected_rows(
    index: str, version: int, service: str, shard: int, text: str, limit: int
) -> list[dict[str, Any]]:
    """Return the rows that a shard holds for a query, best first.

    A caller recomputes them to verify a whole answer. A shard holds
    `ROWS_PER_SHARD` rows for every query.
    """
    identity = json.dumps([index, version, service, shard, text]).encode()
    rows = []
    for position in range(ROWS_PER_SHARD):
        digest = xxhash.xxh64_intdigest(identity, seed=position)
        rows.append(
            {
                'id': f'{service}/{shard}/{digest:016x}',
                'score': digest % _SCORE_STEPS / _SCORE_STEPS,
                'service': service,
                'shard': shard,
                'version': version,
            }
        )
    rows.sort(key=_row_order)
    return rows[:limit]


class AnswerVerifier(NamedTuple):
    """The `verify` of the load tool for one index.

    Recomputes the whole answer from the snapshot that the response names
    and the shards that it does not report missing.
    """

    index: str
    shards: Collection[tuple[str, int]]

    def __call__(
        self, request: dict[str, Any], response: dict[str, Any]
    ) -> list[str]:
        """Return what the rows of a response violate."""
        query = request['query']
        version = response['snapshot']['version']
        missing = {
            (each['service'], each['shard'])
            for each in response['coverage']['missing']
        }
        rows = [
            row
            for service, shard in self.shards
            if (service, shard) not in missing
            for row in expected_rows(
                self.index,
                version,
                service,
                shard,
                query['text'],
                query['limit'],
            )
        ]
        rows.sort(key=_row_order)
        if response['rows'] == rows[: query['limit']]:
            return []
        return ['the rows are not those of the shards reported as answered']


def _row_order(row: dict[str, Any]) -> tuple[float, str]:
    return -row['score'], row['id']


class BackendOptions(NamedTuple):
    """Parameters of one backend server."""

    backend_id: str
    service: str
    index: str = ''
    address: str = '127.0.0.1'
    port: int = 0
    slots: int = 2
    queue: int = 64
    connections: int = 25
    connection_cost_ms: float = 0
    shards: tuple[int, ...] = (0,)
    version: int = 1
    map_revision: int = 1
    service_time_ms: float = 3.0
    item_time_ms: float = 0.2
    seed: int = 0


class Distribution(enum.StrEnum):
    """Shape of the service time around its mean."""

    CONSTANT = 'constant'
    EXPONENTIAL = 'exponential'
    LOGNORMAL = 'lognormal'
    PARETO = 'pareto'


class Gray(enum.StrEnum):
    """How work fails while the status report looks healthy."""

    NONE = 'none'
    ERROR = 'error'
    HANG = 'hang'
    SLOW = 'slow'


class StaleStatus(enum.StrEnum):
    """What becomes of the status report while it is frozen."""

    NONE = 'none'
    AGED = 'aged'
    MISLEADING = 'misleading'


class Faults(NamedTuple):
    """Behaviour that `POST /control` changes, by field name.

    Shares are probabilities for each call. `crossed` answers with the items
    of the previous call, `mislabelled` with another snapshot, `late` delays
    the finished answer by `late_ms`. Silent connections are those that were
    open when `silence_connections` was posted.
    """

    distribution: Distribution = Distribution.CONSTANT
    service_time_ms: float = 3.0
    item_time_ms: float = 0.2
    sigma: float = 0.5
    straggle_share: float = 0
    straggle_ms: float = 0
    shed_share: float = 0
    draining: bool = False
    gray: Gray = Gray.NONE
    gray_share: float = 1.0
    slow_factor: float = 20.0
    crossed_share: float = 0
    mislabelled_share: float = 0
    duplicate_share: float = 0
    truncated_share: float = 0
    late_share: float = 0
    late_ms: float = 0
    silent_share: float = 0
    ignore_cancel: bool = False
    stale_status: StaleStatus = StaleStatus.NONE
    cold_start_s: float = 0
    cold_factor: float = 5.0


class _Delivery(enum.Enum):
    WHOLE = enum.auto()
    TWICE = enum.auto()
    TRUNCATED = enum.auto()
    NEVER = enum.auto()


class _Answer(webhandler.Response):
    """A response with the way in which it is delivered."""

    delivery = _Delivery.WHOLE


class _Refused(Exception):  # noqa: N818  # a refusal is not an error here
    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class _Item(NamedTuple):
    attempt: Any
    shard: int
    query: dict[str, Any]


class _Call(NamedTuple):
    """What a query call asks for."""

    version: int
    map_revision: int
    items: list[_Item]
    deadline: float


class Executions:
    """Counts of executions; proves that operations ran at most once."""

    def __init__(self) -> None:
        self.by_key: Counter[str] = Counter()
        self.results_by_key: dict[str, Any] = {}
        self.counts: Counter[str] = Counter()

    def operation(self, key: str, payload: Any) -> dict[str, Any]:
        """Execute an operation."""
        self.by_key[key] += 1
        outcome = {'key': key, 'execution': self.by_key[key], 'paid': payload}
        self.results_by_key[key] = outcome
        return outcome


class Slots:
    """Slots with a bounded first-come queue."""

    def __init__(self, slots: int, queue: int) -> None:
        self.slots = slots
        self.in_use = 0
        self.queued = 0
        self._queue = queue
        self._semaphore = curio.Semaphore(slots)

    async def __aenter__(self) -> None:
        if self.queued >= self._queue:
            raise _Refused('shed')
        self.queued += 1
        try:
            await self._semaphore.acquire()
        except curio.CancelledError:
            self.queued -= 1
            raise
        self.queued -= 1
        self.in_use += 1

    async def __aexit__(self, *_: object) -> None:
        self.in_use -= 1
        await self._semaphore.release()


class Backend(webhandler.RequestHandler):
    """One backend server."""

    def __init__(self, options: BackendOptions) -> None:
        self.options = options
        self.index = options.index or options.service
        self.executions = Executions()
        self.faults = Faults(
            service_time_ms=options.service_time_ms,
            item_time_ms=options.item_time_ms,
        )
        self.holdings: dict[tuple[int, int], tuple[int, ...]] = {
            (options.version, options.map_revision): options.shards
        }
        self.slots = Slots(options.slots, options.queue)
        self.server = _Server(self)
        self._random = random.Random(f'{options.seed}/{options.backend_id}')
        self._started_at = time.monotonic()
        self._cancelled: dict[Any, None] = {}
        self._cancel_events: dict[Any, curio.Event] = {}
        self._previous_items: list[dict[str, Any]] = []
        self._frozen_status: dict[str, Any] | None = None
        self._frozen_at = self._started_at

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Answer one request."""
        match (request.method, request.path):
            case ('POST', '/v1/query'):
                return await self._query(request.json())
            case ('POST', '/v1/operation'):
                return await self._operation(request.json())
            case ('POST', '/v1/cancel'):
                return await self._cancel(request.json())
            case ('GET', '/v1/status'):
                return webhandler.Response(200, self._status())
            case ('GET', '/control'):
                return webhandler.Response(200, self.report())
            case ('POST', '/control'):
                await self.control(request.json())
                return webhandler.Response(200, self.report())
        raise errors.NotFound(f'no {request.method} {request.path}')

    def chance(self, share: float) -> bool:
        """Draw whether a fault with this probability happens."""
        return share > 0 and self._random.random() < share

    async def control(self, changes: dict[str, Any]) -> None:
        """Change the behaviour; see `Faults` and the actions below.

        `publish` and `retire` take `{"version", "map_revision", "shards"}`,
        `repartition` takes `{"map_revision", "shards"}` and moves every
        version held. `silence_connections`, `close_connections`,
        `restart_cold` and `reset_counts` are actions without a parameter.
        """
        actions = {
            'publish': self._publish,
            'retire': self._retire,
            'repartition': self._repartition,
            'restart_cold': self._restart_cold,
            'silence_connections': self.server.silence,
            'reset_counts': self._reset_counts,
        }
        fields = {}
        for name, value in changes.items():
            if name == 'close_connections':
                await self.server.close_connections()
            elif name in actions:
                actions[name](value)
            else:
                fields[name] = _fault_value(name, value)
        frozen = fields.get('stale_status', self.faults.stale_status)
        if frozen is StaleStatus.NONE:
            self._frozen_status = None
        elif self._frozen_status is None:
            self._frozen_status = self._live_status()
            self._frozen_at = time.monotonic()
        self.faults = self.faults._replace(**fields)

    def report(self) -> dict[str, Any]:
        """Return counts and settings, for proofs."""
        return {
            'backend_id': self.options.backend_id,
            'executions': dict(self.executions.by_key),
            'counts': dict(self.executions.counts),
            'faults': self.faults._asdict(),
            'status': self._live_status(),
        }

    def _publish(self, holding: Any) -> None:
        key = (holding['version'], holding['map_revision'])
        self.holdings[key] = tuple(holding['shards'])

    def _retire(self, holding: Any) -> None:
        self.holdings = {
            key: shards
            for key, shards in self.holdings.items()
            if key[0] != holding['version']
            or key[1] != holding.get('map_revision', key[1])
        }

    def _repartition(self, holding: Any) -> None:
        shards = tuple(holding['shards'])
        for version, _ in list(self.holdings):
            self.holdings[version, holding['map_revision']] = shards

    def _restart_cold(self, _: Any) -> None:
        self._started_at = time.monotonic()

    def _reset_counts(self, _: Any) -> None:
        self.executions.counts.clear()

    def _live_status(self) -> dict[str, Any]:
        return {
            'backend_id': self.options.backend_id,
            'draining': self.faults.draining,
            'slots': self.options.slots,
            'in_use': self.slots.in_use,
            'queued': self.slots.queued,
            'connections': self.server.connection_count,
            'age_ms': 0,
            'holdings': [
                {
                    'version': version,
                    'map_revision': map_revision,
                    'shards': list(shards),
                }
                for (version, map_revision), shards in sorted(
                    self.holdings.items()
                )
            ],
        }

    def _status(self) -> dict[str, Any]:
        if self._frozen_status is None:
            return self._live_status()
        age_s = time.monotonic() - self._frozen_at
        aged = self.faults.stale_status is StaleStatus.AGED
        return {
            **self._frozen_status,
            'age_ms': int(age_s * _MS) if aged else 0,
        }

    async def _cancel(self, document: dict[str, Any]) -> webhandler.Response:
        attempts = document.get('attempts')
        if not isinstance(attempts, list):
            raise errors.BadRequest('"attempts" is not a list')
        if not self.faults.ignore_cancel:
            for attempt in attempts:
                event = self._cancel_events.get(attempt)
                if event is not None:
                    self._cancelled[attempt] = None
                    await event.set()
        return webhandler.Response(200, {'attempts': attempts})

    async def _query(self, document: dict[str, Any]) -> webhandler.Response:
        call = _parse_call(document)
        self.executions.counts['query_calls'] += 1
        attempts = [item.attempt for item in call.items]
        event = curio.Event()
        self._cancel_events.update(dict.fromkeys(attempts, event))
        try:
            return await self._admit_query(call, event)
        except _Refused as refusal:
            return self._refuse(attempts[0], refusal)
        finally:
            for attempt in attempts:
                self._cancel_events.pop(attempt, None)
                self._cancelled.pop(attempt, None)

    async def _admit_query(
        self, call: _Call, cancelled: curio.Event
    ) -> webhandler.Response:
        self._check_admission(call.deadline)
        async with self.slots:
            if time.monotonic() >= call.deadline:
                raise _Refused('expired')
            await self._fail_gray()
            await self._work(call, cancelled)
            documents = [self._answer_item(call, item) for item in call.items]
        return await self._deliver(documents)

    async def _work(self, call: _Call, cancelled: curio.Event) -> None:
        """Occupy the slot; ends early when every item is cancelled."""
        ends_at = time.monotonic() + self._service_time_s(len(call.items))
        while not all(item.attempt in self._cancelled for item in call.items):
            remaining_s = ends_at - time.monotonic()
            if remaining_s <= 0:
                break
            cancelled.clear()
            await curio.ignore_after(remaining_s, cancelled.wait)

    def _answer_item(self, call: _Call, item: _Item) -> dict[str, Any]:
        answer = {'attempt': item.attempt, 'shard': item.shard}
        error = self._item_error(call, item)
        if error:
            self.executions.counts[f'items_{error}'] += 1
            return {**answer, 'error': error}
        self.executions.counts['items'] += 1
        return {
            **answer,
            'version': call.version,
            'map_revision': call.map_revision,
            'rows': expected_rows(
                self.index,
                call.version,
                self.options.service,
                item.shard,
                str(item.query.get('text', '')),
                int(item.query.get('limit', ROWS_PER_SHARD)),
            ),
        }

    def _item_error(self, call: _Call, item: _Item) -> str | None:
        if item.attempt in self._cancelled:
            return 'cancelled'
        if time.monotonic() >= call.deadline:
            return 'expired'
        held = self.holdings.get((call.version, call.map_revision), ())
        return None if item.shard in held else 'snapshot_gone'

    async def _deliver(
        self, documents: list[dict[str, Any]]
    ) -> webhandler.Response:
        """Apply the faults that spoil a finished answer."""
        faults = self.faults
        previous = self._previous_items
        self._previous_items = documents
        if previous and self.chance(faults.crossed_share):
            documents = previous
        if self.chance(faults.mislabelled_share):
            documents = [
                {**item, 'version': item.get('version', 0) + 1}
                for item in documents
            ]
        if self.chance(faults.late_share):
            await curio.sleep(faults.late_ms / _MS)
        answer = _Answer(200, {'items': documents})
        answer.delivery = self._draw_delivery()
        return answer

    def _draw_delivery(self) -> _Delivery:
        if self.chance(self.faults.silent_share):
            return _Delivery.NEVER
        if self.chance(self.faults.truncated_share):
            return _Delivery.TRUNCATED
        if self.chance(self.faults.duplicate_share):
            return _Delivery.TWICE
        return _Delivery.WHOLE

    async def _operation(self, document: dict[str, Any]) -> webhandler.Response:
        attempt = document.get('attempt')
        key = document.get('key')
        if not isinstance(key, str):
            raise errors.BadRequest('"key" is not a string')
        self.executions.counts['operation_calls'] += 1
        deadline = _deadline(document)
        try:
            result = await self._run_operation(key, document, deadline)
        except _Refused as refusal:
            return self._refuse(attempt, refusal)
        if self.chance(self.faults.late_share):
            await curio.sleep(self.faults.late_ms / _MS)
        answer = _Answer(
            200,
            {
                'attempt': attempt,
                'key': key,
                'outcome': 'run',
                'result': result,
            },
        )
        answer.delivery = self._draw_delivery()
        return answer

    async def _run_operation(
        self, key: str, document: dict[str, Any], deadline: float
    ) -> dict[str, Any]:
        self._check_admission(deadline)
        async with self.slots:
            if time.monotonic() >= deadline:
                raise _Refused('expired')
            await self._fail_gray()
            # Counted at the start: what follows can't undo the effect.
            result = self.executions.operation(key, document.get('payload'))
            await curio.sleep(self._service_time_s(1))
        return result

    def _check_admission(self, deadline: float) -> None:
        if self.faults.draining:
            raise _Refused('draining')
        if self.chance(self.faults.shed_share):
            raise _Refused('shed')
        if time.monotonic() >= deadline:
            raise _Refused('expired')

    async def _fail_gray(self) -> None:
        gray = self.faults.gray
        if gray is Gray.NONE or not self.chance(self.faults.gray_share):
            return
        if gray is Gray.HANG:
            await curio.sleep(3600)
        if gray is Gray.ERROR:
            raise errors.BackendFailed('the work failed')

    def _refuse(self, attempt: Any, refusal: _Refused) -> webhandler.Response:
        self.executions.counts[f'refused_{refusal.reason}'] += 1
        return webhandler.Response(
            503,
            {
                'attempt': attempt,
                'outcome': 'not_run',
                'error': refusal.reason,
            },
        )

    def _service_time_s(self, items: int) -> float:
        faults = self.faults
        duration_ms = self._draw_ms(faults.service_time_ms)
        duration_ms += faults.item_time_ms * (items - 1)
        if self.chance(faults.straggle_share):
            duration_ms += faults.straggle_ms
        if faults.gray is Gray.SLOW and self.chance(faults.gray_share):
            duration_ms *= faults.slow_factor
        return duration_ms * self._cold_factor() / _MS

    def _draw_ms(self, mean_ms: float) -> float:
        sigma = self.faults.sigma
        match self.faults.distribution:
            case Distribution.EXPONENTIAL:
                return mean_ms * self._random.expovariate(1.0)
            case Distribution.LOGNORMAL:
                shift = -sigma * sigma / 2
                return mean_ms * self._random.lognormvariate(shift, sigma)
            case Distribution.PARETO:
                alpha = 2.5
                scale = mean_ms * (alpha - 1) / alpha
                return scale * self._random.paretovariate(alpha)
        return mean_ms

    def _cold_factor(self) -> float:
        """Return the slowdown after a start, which falls linearly to 1."""
        age_s = time.monotonic() - self._started_at
        if age_s >= self.faults.cold_start_s:
            return 1.0
        remaining = 1 - age_s / self.faults.cold_start_s
        return 1 + (self.faults.cold_factor - 1) * remaining


class _Server(webserver.WebServer):
    """Accepts up to the connection limit; others are closed at once."""

    def __init__(self, backend: Backend) -> None:
        options = backend.options
        super().__init__(
            options.address, options.port, backend, options.connections
        )
        self._backend = backend

    def create_connection(self, sock: curio_io.Socket) -> '_Connection':
        return _Connection(sock, self._backend, self)

    def record_refused_connection(self) -> None:
        self._backend.executions.counts['refused_connections'] += 1

    def silence(self, _: Any) -> None:
        """Let the connections that are open now never answer again."""
        for connection in self.open_connections():
            connection.silent = True

    async def close_connections(self) -> None:
        for connection in self.open_connections():
            await connection.close()


class _Connection(serverconnection.Connection):
    def __init__(
        self, sock: curio_io.Socket, backend: Backend, server: _Server
    ) -> None:
        super().__init__(sock, backend, server)
        self.silent = False
        self._backend = backend

    async def run(self) -> None:
        self._backend.executions.counts['connections'] += 1
        await curio.sleep(self._backend.options.connection_cost_ms / _MS)
        await super().run()

    async def process(self, request: webhandler.Request) -> webhandler.Response:
        if self.silent:
            await curio.Event().wait()
        return await super().process(request)

    async def transmit(
        self, payload: bytes, response: webhandler.Response
    ) -> None:
        delivery = getattr(response, 'delivery', _Delivery.WHOLE)
        # A control request may silence the connection that carries it.
        is_control = 'faults' in (response.document or {})
        if delivery is _Delivery.NEVER or (self.silent and not is_control):
            await curio.Event().wait()
        if delivery is _Delivery.TRUNCATED:
            half = len(payload) // 2
            await super().transmit(payload[:half], response)
            await self.close()
            return
        copies = 2 if delivery is _Delivery.TWICE else 1
        await super().transmit(payload * copies, response)


class ControlHandler(webhandler.RequestHandler):
    """Reaches every backend server of a process at `/control/<id>`.

    Unlike a backend server's own `/control`, it needs no connection of that
    backend server. `/control` alone reaches all of them.
    """

    def __init__(self, backends: list[Backend]) -> None:
        self._backends_by_id = {
            backend.options.backend_id: backend for backend in backends
        }

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        for backend in self._targets(request.path):
            if request.method == 'POST':
                await backend.control(request.json())
        return webhandler.Response(
            200,
            {
                backend.options.backend_id: backend.report()
                for backend in self._targets(request.path)
            },
        )

    def _targets(self, path: str) -> list[Backend]:
        prefix, _, backend_id = path.removeprefix('/').partition('/')
        if prefix != 'control':
            raise errors.NotFound(f'no {path}; use /control/<backend_id>')
        if not backend_id:
            return list(self._backends_by_id.values())
        if backend_id not in self._backends_by_id:
            raise errors.NotFound(f'no backend server {backend_id!r}')
        return [self._backends_by_id[backend_id]]


def _fault_value(name: str, value: Any) -> Any:
    if name not in Faults._fields:
        known = ', '.join(Faults._fields)
        raise errors.BadRequest(f'no fault {name!r}; use one of {known}')
    try:
        return Faults.__annotations__[name](value)
    except (TypeError, ValueError) as error:
        raise errors.BadRequest(f'{name}: {error}') from error


def _deadline(document: dict[str, Any]) -> float:
    budget_ms = document.get('budget_ms')
    if not isinstance(budget_ms, int | float):
        raise errors.BadRequest('"budget_ms" is not a number')
    return time.monotonic() + budget_ms / _MS


def _parse_call(document: dict[str, Any]) -> _Call:
    try:
        items = [
            _Item(item['attempt'], int(item['shard']), item['query'])
            for item in document['items']
        ]
        call = _Call(
            int(document['version']),
            int(document['map_revision']),
            items,
            _deadline(document),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.BadRequest(f'malformed query: {error!r}') from error
    if not items or not all(isinstance(item.query, dict) for item in items):
        raise errors.BadRequest('"items" needs at least one query object')
    if not all(isinstance(item.attempt, str | int) for item in items):
        raise errors.BadRequest('"attempt" is not a string or a number')
    return call


def parse_shards(text: str) -> tuple[int, ...]:
    """Parse `0-3,7` into shard numbers."""
    shards: list[int] = []
    for part in text.split(','):
        first, _, last = part.partition('-')
        shards.extend(range(int(first), int(last or first) + 1))
    return tuple(shards)


def read_list(path: pathlib.Path) -> list[BackendOptions]:
    """Read a YAML list whose entries have the fields of `BackendOptions`."""
    entries = yaml.safe_load(path.read_text())
    return [
        BackendOptions(
            **{**entry, 'shards': parse_shards(str(entry.get('shards', '0')))}
        )
        for entry in entries
    ]


def create_many(options: BackendOptions, count: int) -> list[BackendOptions]:
    """Return options of `count` replicas on consecutive ports."""
    if count == 1:
        return [options]
    return [
        options._replace(
            backend_id=f'{options.backend_id}-{number}',
            port=options.port + number if options.port else 0,
        )
        for number in range(count)
    ]


async def serve(
    options: list[BackendOptions],
    control_port: int | None = None,
    address: str = '127.0.0.1',
) -> None:
    """Serve many backend servers until the task is cancelled."""
    backends = [Backend(each) for each in options]
    servers: list[webserver.WebServer] = [each.server for each in backends]
    if control_port is not None:
        handler = ControlHandler(backends)
        servers.append(webserver.WebServer(address, control_port, handler))
    async with curio.TaskGroup() as group:
        for server in servers:
            await group.spawn(server.serve)
        click.echo(f'ready: {" ".join(str(each.port) for each in servers)}')


def _run(
    count: int,
    list_file: pathlib.Path | None,
    control_port: int | None,
    **fields: Any,
) -> None:
    fields['shards'] = parse_shards(fields['shards'])
    options = create_many(BackendOptions(**fields), count)
    if list_file is not None:
        options = read_list(list_file)
    try:
        curio.run(serve, options, control_port)
    except KeyboardInterrupt:
        return


_HELP_BY_FIELD = {
    'index': 'Index of the service, by default its own name.',
    'port': '0 takes a free port.',
    'shards': 'Numbers and ranges, such as 0-3,7.',
    'queue': 'Calls that may wait for a slot.',
}
_DEFAULTS_BY_FIELD = {
    **BackendOptions._field_defaults,
    'backend_id': 'backend',
    'service': 'service',
    'shards': '0',
}
_FIELD_OPTIONS = [
    click.Option(
        [f'--{field.replace("_", "-")}'],
        type=str if field == 'shards' else annotation,
        default=_DEFAULTS_BY_FIELD[field],
        show_default=True,
        help=_HELP_BY_FIELD.get(field),
    )
    for field, annotation in BackendOptions.__annotations__.items()
]
main = click.Command(
    'backend',
    callback=_run,
    help=(__doc__ or '').replace('\n\n', '\n\n\b\n'),
    params=[
        *_FIELD_OPTIONS,
        click.Option(
            ['--count'], type=int, default=1, help='Replicas to host.'
        ),
        click.Option(
            ['--list', 'list_file'],
            type=click.Path(path_type=pathlib.Path, exists=True),
            help='YAML list of backend servers; replaces the options above.',
        ),
        click.Option(
            ['--control-port'], type=int, help='Control of all of them.'
        ),
    ],
)


if __name__ == '__main__':
    main()
