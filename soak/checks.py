"""Invariants that must hold under all faults; sans-I/O.

Receives observations of callers, backend servers and the operator, and records
violations.
"""

import collections
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from cardamomflow import requeststate

# A change must be in force this long after its acknowledgement if neither the
# host nor the store was disturbed meanwhile. The platform's bound is 5 s.
PROPAGATION_LIMIT_S = 6.0
# A draining backend server must get no new requests after this time.
DRAIN_LIMIT_S = 5.0
# Statuses that guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_RECORD_BYTES = requeststate.RECORD_BYTES
_OK = 200
_NOT_FOUND = 404


class Execution(NamedTuple):
    """Execution of a request on a backend server."""

    backend_id: str
    started_at: float


class MergedAnswer(NamedTuple):
    """A merged answer as a caller received it."""

    stamps: Sequence[str]
    missing_parts: int
    body: bytes


class Disturbances:
    """Periods in which hosts and the store were disturbed."""

    def __init__(self) -> None:
        self._spans_by_name: dict[str, list[list[float]]] = (
            collections.defaultdict(list)
        )

    def begin(self, name: str, now: float) -> None:
        """Record the start of a disturbance, which lasts until `end`."""
        self._spans_by_name[name].append([now, float('inf')])

    def end(self, name: str, now: float) -> None:
        """Record the end of the oldest disturbance that has not ended."""
        for span in self._spans_by_name[name]:
            if span[1] > now:
                span[1] = now
                return

    def was_undisturbed_before(self, name: str, now: float) -> bool:
        """Whether a host was undisturbed in the last `PROPAGATION_LIMIT_S`."""
        return all(
            begin >= now or end < now - PROPAGATION_LIMIT_S
            for begin, end in self._spans_by_name[name]
        )

    def undisturbed_since(self, name: str, now: float) -> float:
        """Return the end of the last disturbance of a host or the store.

        It is infinite while a disturbance lasts, and minus infinity if there
        was none.
        """
        ends = [span[1] for span in self._spans_by_name[name] if span[0] <= now]
        return max(ends, default=float('-inf'))


class Checks:
    """Observations of one run and the violations that they show."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._executions_by_id: dict[str, list[Execution]] = (
            collections.defaultdict(list)
        )
        self._refusal_status_by_id: dict[str, int] = {}
        self._newest_version_by_process: dict[str, int] = {}

    def record_execution(
        self, request_id: str, execution: Execution, *, repeatable: bool
    ) -> None:
        """Record that a backend server executes a request."""
        executions = self._executions_by_id[request_id]
        executions.append(execution)
        if not repeatable and len(executions) > 1:
            self._add_violation(
                f'{request_id} ran {len(executions)} times: {executions}'
            )

    def was_executed(self, request_id: str) -> bool:
        """Whether a backend server has executed a request."""
        return bool(self._executions_by_id.get(request_id))

    def record_refusal(self, request_id: str, status: int) -> None:
        """Record a refusal; `finish` checks that the request did not run."""
        if status in NOT_RUN_STATUSES:
            self._refusal_status_by_id[request_id] = status

    def check_single_answer(
        self,
        request_id: str,
        echoed_id: str,
        stamp: str,
        *,
        records_match: bool,
    ) -> None:
        """Check the answer of one backend server."""
        backend_id = stamp.rpartition('.')[0]
        executed_by = {
            execution.backend_id
            for execution in self._executions_by_id[request_id]
        }
        if (
            echoed_id != request_id
            or backend_id not in executed_by
            or not records_match
        ):
            self._add_violation(
                f'{request_id} got {stamp} of {echoed_id},'
                f' records match: {records_match},'
                f' ran at {sorted(executed_by)}'
            )

    def check_merged_answer(
        self,
        request_id: str,
        answer: MergedAnswer,
        shards: Collection[str],
        records_by_backend: Mapping[str, tuple[str, bytes]],
        limit: int,
    ) -> None:
        """Check a merged answer.

        Parameters
        ----------
        request_id : str
        answer : MergedAnswer
        shards : collection of str
            Services that must each contribute one part.
        records_by_backend : mapping of str to tuple
            Service and records of each backend server.
        limit : int
            Maximum number of records in the answer.
        """
        backend_ids = [one.rpartition('.')[0] for one in answer.stamps]
        executed_by = {
            execution.backend_id
            for execution in self._executions_by_id[request_id]
        }
        known_ids = [one for one in backend_ids if one in records_by_backend]
        services = [records_by_backend[one][0] for one in known_ids]
        records = sorted(
            (
                records_by_backend[one][1][start : start + _RECORD_BYTES]
                for one in known_ids
                for start in range(
                    0, len(records_by_backend[one][1]), _RECORD_BYTES
                )
            ),
            reverse=True,
        )
        problems = {
            'a part of an unknown backend server': known_ids != backend_ids,
            'a part of a backend server that did not run the request': not set(
                backend_ids
            )
            <= executed_by,
            'two parts of one service': len(set(services)) != len(services),
            'wrong coverage': len(services) + answer.missing_parts
            != len(shards),
            'wrong records': b''.join(records[:limit]) != answer.body,
        }
        problem_names = [
            name for name, is_present in problems.items() if is_present
        ]
        if problem_names:
            self._add_violation(
                f'{request_id}: {", ".join(problem_names)}: {answer}'
            )

    def check_draining_backend(
        self, request_id: str, backend_id: str, draining_s: float
    ) -> None:
        """Check a request on a draining backend server.

        Parameters
        ----------
        request_id, backend_id : str
        draining_s : float
            Time since draining began without a disturbance.
        """
        if draining_s > DRAIN_LIMIT_S:
            self._add_violation(
                f'{backend_id} got {request_id} {draining_s:.1f} s after'
                ' it started draining'
            )

    def check_probe(
        self, process: str, version: int, status: int, undisturbed_s: float
    ) -> None:
        """Check the answer on a route that a configuration version has added.

        Parameters
        ----------
        process : str
            One incarnation of a host.
        version : int
            A version that is still published.
        status : int
        calm_s : float
            Time since the acknowledgement without a disturbance.
        """
        newest = self._newest_version_by_process.get(process, 0)
        if status == _NOT_FOUND and newest >= version:
            self._add_violation(
                f'{process} went back to a version before {version}'
            )
        elif status == _NOT_FOUND and undisturbed_s > PROPAGATION_LIMIT_S:
            self._add_violation(
                f'{process} does not use version {version} after'
                f' {undisturbed_s:.1f} s'
            )
        elif status == _OK:
            self._newest_version_by_process[process] = max(newest, version)

    def check_closed_connection(
        self, request_id: str, process: str, *, is_planned: bool
    ) -> None:
        """Check a request whose connection was closed before the answer.

        A host may close it if no backend server has run the request.
        """
        if self.was_executed(request_id):
            cause = 'in a planned stop' if is_planned else 'without a cause'
            self._add_violation(
                f'{process} closed the connection of {request_id} {cause}'
            )

    def record_unanswered(self, request_id: str, process: str) -> None:
        """Record a request without an answer long after its deadline."""
        self._add_violation(f'{process} did not answer {request_id}')

    def record_process_failure(self, process: str, details: str) -> None:
        """Record a process that exited by itself, hung or logged a failure."""
        self._add_violation(f'{process} exited by itself or failed: {details}')

    def record_no_recovery(self, process: str, limit_s: float) -> None:
        """Record a host that answers no query while no fault is active."""
        self._add_violation(f'{process} answered no query within {limit_s:g} s')

    def finish(self) -> list[str]:
        """Check the refusals of the run; return all violations."""
        for request_id, status in self._refusal_status_by_id.items():
            if self.was_executed(request_id):
                self._add_violation(
                    f'{request_id} got status {status} but has run'
                )
        return self.violations

    def _add_violation(self, text: str) -> None:
        self.violations.append(text)
