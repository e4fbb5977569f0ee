"""Callers of a run: send requests to the hosts and check the answers.

Each caller reuses its connection until it is closed. `checks` decides which
answers are correct.
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
# Added to the deadline, because the machine may be busy.
ANSWER_SLACK_S = 4.0
PAUSE_S = 0.05
PROBE_INTERVAL_S = 0.4
# A host that serves no query this long after the last fault has not recovered.
RECOVERY_S = 20.0
# This long after a planned stop began, the host may end slow requests.
STOP_GRACE_S = 2.5
_CONNECT_S = 1.0
_RECEIVE_BYTES = 65_536
_OK = 200
_REQUEST_KINDS = ('lookup', 'lookup', 'statement', 'payment')


class Answer(NamedTuple):
    """A complete HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """One persistent connection to a host."""

    def __init__(self, host: hosts.HostProcess) -> None:
        self.host = host
        self.process_name = host.name
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

    async def exchange(self, kind: str, request_id: str) -> Answer | None:
        """Send a request; return its answer, or None if the connection ends."""
        try:
            return await self._exchange(kind, request_id)
        except (OSError, h11.RemoteProtocolError, h11.LocalProtocolError):
            await self.close()
            return None

    async def _exchange(self, kind: str, request_id: str) -> Answer | None:
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
        return await self._read_answer()

    async def _read_answer(self) -> Answer | None:
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
        self._world = run_world
        self._checks = run_world.checks
        self._seed = seed
        self._request_count = 0

    async def call(self, caller_number: int) -> None:
        """Send requests until the run is finished."""
        generator = random.Random(f'{self._seed}/{caller_number}')  # noqa: S311
        connection: Connection | None = None
        while not self._world.is_finished:
            if connection is None or not connection.is_open:
                connection = await self._connect(generator)
            if connection is not None:
                await self._send(connection, generator.choice(_REQUEST_KINDS))
            await curio.sleep(PAUSE_S * generator.random())
        if connection is not None:
            await connection.close()

    async def probe(self) -> None:
        """Request the newest routes of every host until the run is over."""
        while not self._world.is_finished:
            await curio.sleep(PROBE_INTERVAL_S)
            for host in self._world.hosts:
                if host.is_running and host.stop_requested_at is None:
                    await self._probe(host)

    async def wait_until_serving(self, host: hosts.HostProcess) -> None:
        """Wait until a host answers; record a violation if it does not."""
        ends_at = time.monotonic() + RECOVERY_S
        while time.monotonic() < ends_at:
            connection = Connection(host)
            answer = await self._request_once(connection, 'lookup')
            if answer is not None and answer.status == _OK:
                return
            await curio.sleep(PAUSE_S)
        self._checks.record_no_recovery(host.name, RECOVERY_S)

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
        started_at = time.monotonic()
        limit_s = DEADLINE_MS / 1000 + ANSWER_SLACK_S
        answer, has_timed_out = None, True
        async with curio.ignore_after(limit_s):
            answer = await connection.exchange(kind, request_id)
            has_timed_out = False
        if answer is not None:
            self._check_answer(kind, request_id, answer)
            return
        self._checks.counts['no answer'] += 1
        if has_timed_out:
            await connection.close()
            self._check_timeout(connection, request_id, started_at)
            return
        self._check_closed_connection(connection, request_id, started_at)

    def _check_answer(self, kind: str, request_id: str, answer: Answer) -> None:
        self._checks.counts[f'{kind} {answer.status}'] += 1
        if answer.status != _OK:
            self._checks.record_refusal(request_id, answer.status)
            return
        if kind == 'lookup':
            self._check_merged_answer(request_id, answer)
            return
        stamp = answer.headers.get(wire.STAMP.decode(), '')
        backend_id = stamp.rpartition('.')[0]
        expected = self._world.records_by_backend.get(backend_id)
        self._checks.check_single_answer(
            request_id,
            answer.headers.get(wire.REQUEST_ID.decode(), ''),
            stamp,
            records_match=expected is not None and expected[1] == answer.body,
        )

    def _check_merged_answer(self, request_id: str, answer: Answer) -> None:
        self._checks.check_merged_answer(
            request_id,
            checks.MergedAnswer(
                answer.headers[wire.PART_STAMPS].split(','),
                int(answer.headers[wire.MISSING_PARTS]),
                answer.body,
            ),
            world.SHARDS,
            self._world.records_by_backend,
            world.TOP_RECORDS,
        )

    def _check_closed_connection(
        self, connection: Connection, request_id: str, started_at: float
    ) -> None:
        """Check a connection that was closed before the answer.

        A host may close it when its process ends or when the host is disturbed.
        """
        host, now = connection.host, time.monotonic()
        if host.name != connection.process_name or not host.is_running:
            return
        undisturbed_since = self._world.disturbances.undisturbed_since(
            host.host_id, now
        )
        stop_requested_at = host.stop_requested_at
        if stop_requested_at is None:
            if undisturbed_since < started_at:
                self._checks.check_closed_connection(
                    request_id, connection.process_name, is_planned=False
                )
            return
        was_undisturbed = self._world.disturbances.was_undisturbed_before(
            host.host_id, stop_requested_at
        )
        if was_undisturbed and now - stop_requested_at < STOP_GRACE_S:
            self._checks.check_closed_connection(
                request_id, connection.process_name, is_planned=True
            )

    def _check_timeout(
        self, connection: Connection, request_id: str, started_at: float
    ) -> None:
        """Check a request whose answer did not arrive in time.

        It is no violation if the host is disturbed or stops, or if a host got
        no processor time: its event loop was late without using the processor.
        """
        host, now = connection.host, time.monotonic()
        is_same_process = (
            host.name == connection.process_name
            and host.stop_requested_at is None
        )
        undisturbed_since = self._world.disturbances.undisturbed_since(
            host.host_id, now
        )
        if not is_same_process or undisturbed_since >= started_at:
            return
        if any(other.was_starved for other in self._world.hosts):
            self._checks.counts['timed out, machine busy'] += 1
            return
        self._checks.record_unanswered(request_id, connection.process_name)

    async def _probe(self, host: hosts.HostProcess) -> None:
        name, now = host.name, time.monotonic()
        versions = dict(self._world.acked_at_by_version)
        for version, acked_at in versions.items():
            answer = await self._request_once(Connection(host), f'v{version}')
            is_published = version in self._world.acked_at_by_version
            if answer is None or not is_published or host.name != name:
                continue
            disturbances = self._world.disturbances
            undisturbed_since = max(
                acked_at,
                disturbances.undisturbed_since(host.host_id, time.monotonic()),
                disturbances.undisturbed_since(world.STORE, time.monotonic()),
            )
            self._checks.check_probe(
                name, version, answer.status, now - undisturbed_since
            )

    async def _request_once(
        self, connection: Connection, kind: str
    ) -> Answer | None:
        answer = None
        async with curio.ignore_after(DEADLINE_MS / 1000 + ANSWER_SLACK_S):
            try:
                await connection.open()
            except errors.ConnectFailed:
                return None
            answer = await connection.exchange(kind, self._next_id())
        await connection.close()
        return answer

    def _next_id(self) -> str:
        self._request_count += 1
        return f'{self._seed}-{self._request_count}'
