"""What must hold whatever fails; sans-I/O.

Takes what callers, backend servers and the operator have seen, and keeps what
should not have happened.
"""

import collections
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from cardamomflow import requeststate

# A change is in force this long after its acknowledgement, on a host and with a
# store that were not disturbed meanwhile. The platform's bound is 5 s.
IN_FORCE_S = 6.0
# A backend server that leaves gets nothing new after this time.
DRAIN_S = 5.0
# These say that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_RECORD_BYTES = requeststate.RECORD_BYTES
_OK = 200
_NOT_FOUND = 404


class Run(NamedTuple):
    """A request that a backend server has run."""

    backend_id: str
    at: float


class Merged(NamedTuple):
    """A merged answer as a caller got it."""

    signatures: Sequence[str]
    missing: int
    body: bytes


class Disturbances:
    """When hosts and the store were last disturbed."""

    def __init__(self) -> None:
        """Start undisturbed."""
        self._spans_by_name: dict[str, list[list[float]]] = (
            collections.defaultdict(list)
        )

    def begin(self, name: str, now: float) -> None:
        """Note that a disturbance begins; it lasts until `end`."""
        self._spans_by_name[name].append([now, float('inf')])

    def end(self, name: str, now: float) -> None:
        """Note that the oldest open disturbance has ended."""
        for span in self._spans_by_name[name]:
            if span[1] > now:
                span[1] = now
                return

    def calm_before(self, name: str, now: float) -> bool:
        """Whether nothing disturbed a host for long before a planned stop."""
        return all(
            begin >= now or end < now - IN_FORCE_S
            for begin, end in self._spans_by_name[name]
        )

    def calm_since(self, name: str, now: float) -> float:
        """Return since when nothing has disturbed a host or the store."""
        ends = [span[1] for span in self._spans_by_name[name] if span[0] <= now]
        return max(ends, default=float('-inf'))


class Checks:
    """Facts of one run and the promises that they break."""

    def __init__(self) -> None:
        """Start without facts."""
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._runs_by_id: dict[str, list[Run]] = collections.defaultdict(list)
        self._refused: dict[str, int] = {}
        self._newest_by_process: dict[str, int] = {}

    def ran(self, request_id: str, run: Run, *, repeatable: bool) -> None:
        """Take a run of a request at a backend server."""
        runs = self._runs_by_id[request_id]
        runs.append(run)
        if not repeatable and len(runs) > 1:
            self._violated(f'{request_id} ran {len(runs)} times: {runs}')

    def has_run(self, request_id: str) -> bool:
        """Whether a backend server has run a request."""
        return bool(self._runs_by_id.get(request_id))

    def refused(self, request_id: str, status: int) -> None:
        """Take a refusal; whether it was true is checked at the end."""
        if status in NOT_RUN_STATUSES:
            self._refused[request_id] = status

    def single(
        self, request_id: str, named_id: str, signature: str, *, whole: bool
    ) -> None:
        """Check the answer of one backend server."""
        backend_id = signature.rpartition('.')[0]
        ran_at = {run.backend_id for run in self._runs_by_id[request_id]}
        if named_id != request_id or backend_id not in ran_at or not whole:
            self._violated(
                f'{request_id} got {signature} of {named_id}, whole {whole},'
                f' ran at {sorted(ran_at)}'
            )

    def merged(
        self,
        request_id: str,
        answer: Merged,
        shards: Collection[str],
        records_by_backend: Mapping[str, tuple[str, bytes]],
        limit: int,
    ) -> None:
        """Check a merged answer.

        Parameters
        ----------
        request_id : str
        answer : Merged
        shards : collection of str
            Services of which each owes a part.
        records_by_backend : mapping of str to tuple
            Service and records of each backend server.
        limit : int
        """
        backend_ids = [one.rpartition('.')[0] for one in answer.signatures]
        ran_at = {run.backend_id for run in self._runs_by_id[request_id]}
        known = [one for one in backend_ids if one in records_by_backend]
        services = [records_by_backend[one][0] for one in known]
        records = sorted(
            (
                records_by_backend[one][1][start : start + _RECORD_BYTES]
                for one in known
                for start in range(
                    0, len(records_by_backend[one][1]), _RECORD_BYTES
                )
            ),
            reverse=True,
        )
        problems = {
            'a part of an unknown backend server': known != backend_ids,
            'a part that did not run': not set(backend_ids) <= ran_at,
            'a service twice': len(set(services)) != len(services),
            'untrue coverage': len(services) + answer.missing != len(shards),
            'other records': b''.join(records[:limit]) != answer.body,
        }
        found = [name for name, holds in problems.items() if holds]
        if found:
            self._violated(f'{request_id}: {", ".join(found)}: {answer}')

    def leaving_got_work(
        self, request_id: str, backend_id: str, late_s: float
    ) -> None:
        """Take a request at a backend server that leaves."""
        if late_s > DRAIN_S:
            self._violated(
                f'{backend_id} got {request_id} {late_s:.1f} s after it left'
            )

    def probed(
        self, process: str, version: int, status: int, calm_s: float
    ) -> None:
        """Check the answer to a route that one version has added.

        Parameters
        ----------
        process : str
            One incarnation of a host.
        version : int
            Still in force.
        status : int
        calm_s : float
            Time since the acknowledgement without a disturbance.
        """
        newest = self._newest_by_process.get(process, 0)
        if status == _NOT_FOUND and newest >= version:
            self._violated(f'{process} went back behind version {version}')
        elif status == _NOT_FOUND and calm_s > IN_FORCE_S:
            self._violated(
                f'{process} does not know version {version} after'
                f' {calm_s:.1f} s'
            )
        elif status == _OK:
            self._newest_by_process[process] = max(newest, version)

    def cut(self, request_id: str, process: str, *, planned: bool) -> None:
        """Take a connection that ended before the answer of a request.

        A host may close what it has not passed on.
        """
        if self.has_run(request_id):
            cause = 'a planned stop' if planned else 'nothing'
            self._violated(f'{process} cut {request_id} for {cause}')

    def unanswered(self, request_id: str, process: str) -> None:
        """Take a request that got no answer, long after its deadline."""
        self._violated(f'{process} left {request_id} without an answer')

    def ended(self, process: str, trouble: str) -> None:
        """Take a process that ended by itself, or left a traceback."""
        self._violated(f'{process} ended by itself or failed: {trouble}')

    def not_served(self, process: str, limit_s: float) -> None:
        """Take a host that does not serve after all faults are over."""
        self._violated(f'{process} serves nothing {limit_s:g} s after')

    def finish(self) -> list[str]:
        """Check what is known at the end; return all violations."""
        for request_id, status in self._refused.items():
            if self.has_run(request_id):
                self._violated(f'{request_id} got {status} and has run')
        return self.violations

    def _violated(self, text: str) -> None:
        self.violations.append(text)
