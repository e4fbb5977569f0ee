"""Callers of a run; each keeps its connection until it ends.

Owns the connections. What an answer has to hold is decided by `checks`.
"""

import random
import time
from typing import NamedTuple

import curio
import h11

from cardamomflow import errors, links
from cardamomflow.platform import wire
from soak import checks, hosts, world

DEADLINE_MS = 2000
# After the deadline a host has this long to answer; the machine may be busy.
ANSWER_SLACK_S = 4.0
PAUSE_S = 0.05
PROBE_INTERVAL_S = 0.4
# A host that serves nothing this long after the last fault has failed.
RECOVERY_S = 20.0
# After this time of a planned stop the host may break off what is slow.
STOP_WORK_S = 2.5
_CONNECT_S = 1.0
_RECEIVE_BYTES = 65_536
_OK = 200
_KINDS = ('lookup', 'lookup', 'statement', 'payment')


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """One kept connection to a host."""

    def __init__(self, host: hosts.HostProcess) -> None:
        """Take the host; `open` connects."""
        self.host = host
        self.process = host.name
        self.is_open = False
        self._protocol = h11.Connection(h11.CLIENT)

    async def open(self) -> None:
        """Connect.

        Raises
        ------
        errors.ConnectFailed
        """
        self._sock = await links.open_socket(
            '127.0.0.1', self.host.front_port, _CONNECT_S
        )
        self.is_open = True

    async def close(self) -> None:
        """Close the connection."""
        if self.is_open:
            self.is_open = False
            await self._sock.close()

    async def ask(self, kind: str, request_id: str) -> Answer | None:
        """Send a request; return its answer, None if there is none."""
        try:
            return await self._ask(kind, request_id)
        except (OSError, h11.RemoteProtocolError, h11.LocalProtocolError):
            await self.close()
            return None

    async def _ask(self, kind: str, request_id: str) -> Answer | None:
        method = 'POST' if kind == 'payment' else 'GET'
        body = b'pay' if kind == 'payment' else b''
        request = h11.Request(
            method=method,
            target=f'/{kind}/x',
            headers=[
                ('host', 'shop.example'),
                ('x-request-id', request_id),
                ('x-request-deadline', str(DEADLINE_MS)),
                ('content-length', str(len(body))),
            ],
        )
        blocks = [self._protocol.send(request)]
        if body:
            blocks.append(self._protocol.send(h11.Data(data=body)))
        blocks.append(self._protocol.send(h11.EndOfMessage()))
        await self._sock.sendall(b''.join(blocks))
        return await self._read()

    async def _read(self) -> Answer | None:
        response, body = None, b''
        while True:
            event = self._protocol.next_event()
            match event:
                case h11.Response():
                    response = event
                case h11.Data():
                    body += bytes(event.data)
                case h11.EndOfMessage():
                    break
                case h11.NEED_DATA:
                    received = await self._sock.recv(_RECEIVE_BYTES)
                    self._protocol.receive_data(received)
                case _:
                    await self.close()
                    return None
        headers = {
            name.decode(): content.decode()
            for name, content in response.headers
        }
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        else:
            await self.close()
        return Answer(response.status_code, headers, body)


class Callers:
    """All callers of one run."""

    def __init__(self, run_world: world.World, seed: int) -> None:
        """Take the world that is called."""
        self._world = run_world
        self._checks = run_world.checks
        self._seed = seed
        self._sent = 0

    async def call(self, number: int) -> None:
        """Send requests until the run is finished."""
        generator = random.Random(f'{self._seed}/{number}')  # noqa: S311
        connection: Connection | None = None
        while not self._world.finished:
            if connection is None or not connection.is_open:
                connection = await self._connect(generator)
            if connection is not None:
                await self._send(connection, generator.choice(_KINDS))
            await curio.sleep(PAUSE_S * generator.random())
        if connection is not None:
            await connection.close()

    async def probe(self) -> None:
        """Ask every host for the newest routes until the run is finished."""
        while not self._world.finished:
            await curio.sleep(PROBE_INTERVAL_S)
            for host in self._world.hosts:
                if host.is_running and host.stopped_at is None:
                    await self._probe(host)

    async def wait_served(self, host: hosts.HostProcess) -> None:
        """Wait until a host serves a query whole."""
        ends_at = time.monotonic() + RECOVERY_S
        while time.monotonic() < ends_at:
            connection = Connection(host)
            answer = await self._ask_once(connection, 'lookup')
            if answer is not None and answer.status == _OK:
                return
            await curio.sleep(PAUSE_S)
        self._checks.not_served(host.name, RECOVERY_S)

    async def _connect(self, generator: random.Random) -> Connection | None:
        running = [host for host in self._world.hosts if host.is_running]
        if not running:
            return None
        connection = Connection(generator.choice(running))
        try:
            await connection.open()
        except errors.ConnectFailed:
            return None
        return connection

    async def _send(self, connection: Connection, kind: str) -> None:
        request_id = self._next_id()
        began_at = time.monotonic()
        limit_s = DEADLINE_MS / 1000 + ANSWER_SLACK_S
        answer, is_over = None, True
        async with curio.ignore_after(limit_s):
            answer = await connection.ask(kind, request_id)
            is_over = False
        if answer is not None:
            self._note_answer(kind, request_id, answer)
            return
        self._checks.counts['no answer'] += 1
        if is_over:
            await connection.close()
            self._note_unanswered(connection, request_id, began_at)
            return
        self._note_cut(connection, request_id, began_at)

    def _note_answer(self, kind: str, request_id: str, answer: Answer) -> None:
        self._checks.counts[f'{kind} {answer.status}'] += 1
        if answer.status != _OK:
            self._checks.refused(request_id, answer.status)
            return
        if kind == 'lookup':
            self._note_merged(request_id, answer)
            return
        signature = answer.headers.get(wire.STAMP.decode(), '')
        backend_id = signature.rpartition('.')[0]
        known = self._world.records_by_backend.get(backend_id)
        self._checks.single(
            request_id,
            answer.headers.get(wire.REQUEST_ID.decode(), ''),
            signature,
            whole=known is not None and known[1] == answer.body,
        )

    def _note_merged(self, request_id: str, answer: Answer) -> None:
        self._checks.merged(
            request_id,
            checks.Merged(
                answer.headers[wire.PART_STAMPS].split(','),
                int(answer.headers[wire.MISSING_PARTS]),
                answer.body,
            ),
            world.SHARDS,
            self._world.records_by_backend,
            world.TOP_RECORDS,
        )

    def _note_cut(
        self, connection: Connection, request_id: str, began_at: float
    ) -> None:
        """Take a connection that ended; ends of processes excuse it."""
        host, now = connection.host, time.monotonic()
        if host.name != connection.process or not host.is_running:
            return
        calm_since = self._world.disturbances.calm_since(host.host_id, now)
        stopped_at = host.stopped_at
        if stopped_at is None:
            if calm_since < began_at:
                self._checks.cut(request_id, connection.process, planned=False)
            return
        is_calm = self._world.disturbances.calm_before(host.host_id, stopped_at)
        if is_calm and now - stopped_at < STOP_WORK_S:
            self._checks.cut(request_id, connection.process, planned=True)

    def _note_unanswered(
        self, connection: Connection, request_id: str, began_at: float
    ) -> None:
        """Take a request that its caller gave up.

        Excused are hosts that are disturbed, that stop, or that the machine
        did not run: their loops were late without using the processor.
        """
        host, now = connection.host, time.monotonic()
        is_same = host.name == connection.process and host.stopped_at is None
        calm_since = self._world.disturbances.calm_since(host.host_id, now)
        if not is_same or calm_since >= began_at:
            return
        if any(one.was_held_up for one in self._world.hosts):
            self._checks.counts['given up, machine busy'] += 1
            return
        self._checks.unanswered(request_id, connection.process)

    async def _probe(self, host: hosts.HostProcess) -> None:
        name, now = host.name, time.monotonic()
        versions = dict(self._world.acked_at_by_version)
        for version, acked_at in versions.items():
            answer = await self._ask_once(Connection(host), f'v{version}')
            is_known = version in self._world.acked_at_by_version
            if answer is None or not is_known or host.name != name:
                continue
            disturbances = self._world.disturbances
            calm_since = max(
                acked_at,
                disturbances.calm_since(host.host_id, time.monotonic()),
                disturbances.calm_since(world.STORE, time.monotonic()),
            )
            self._checks.probed(name, version, answer.status, now - calm_since)

    async def _ask_once(
        self, connection: Connection, kind: str
    ) -> Answer | None:
        answer = None
        async with curio.ignore_after(DEADLINE_MS / 1000 + ANSWER_SLACK_S):
            try:
                await connection.open()
            except errors.ConnectFailed:
                return None
            answer = await connection.ask(kind, self._next_id())
        await connection.close()
        return answer

    def _next_id(self) -> str:
        self._sent += 1
        return f'{self._seed}-{self._sent}'
