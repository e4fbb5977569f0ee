"""Notices in the answers of backend servers, and their effect; sans-I/O.

Owns which backend servers must get no requests because they asked for it: those
that are about to stop, for as long as they run, and those that are busy, for a
while. The host reports the events that were recorded.
"""

import enum
import random as random_module
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cardamomflow import backendpauses, directory, requeststate

# Backend servers whose invalid headers have been reported; beyond this number
# they are reported again.
MAX_REPORTED_BACKENDS = 10_000


class NoticeKind(enum.Enum):
    """Change of what a backend server asks for."""

    LEAVING = enum.auto()
    PAUSED = enum.auto()
    RESUMED = enum.auto()
    INVALID = enum.auto()


class NoticeEvent(NamedTuple):
    """A change to report.

    Attributes
    ----------
    kind : NoticeKind
    backend_id : str
    pause_s : float
        Length of the pause in seconds, 0 for other kinds.
    headers : tuple of str
        Names of the invalid headers.
    """

    kind: NoticeKind
    backend_id: str
    pause_s: float = 0
    headers: tuple[str, ...] = ()


def _may_always_send(_backend_id: str, _now: float) -> bool:
    return True


class BackendNotices:
    """Notices that one host has received."""

    def __init__(
        self,
        backends: directory.Directory,
        random: random_module.Random,
        may_send: Callable[[str, float], bool] = _may_always_send,
    ) -> None:
        """Start without notices.

        Parameters
        ----------
        backends : directory.Directory
        random : random.Random
        may_send : callable
            Takes a backend server and a time, and returns whether this host
            has a part of what it tolerates while it is cold.
        """
        self._may_send = may_send
        self._directory = backends
        self._pauses = backendpauses.BackendPauses(random)
        self._reported_ids: set[str] = set()
        self._events: list[NoticeEvent] = []

    def apply(
        self, backend_id: str, reply: requeststate.Reply, now: float
    ) -> None:
        """Apply the notices of an answer."""
        if reply.misdirected:
            self._directory.remove_misdirected(backend_id)
        if reply.leaving is not None:
            self.record_leaving(reply.leaving)
        if reply.pause_s:
            if self._pauses.begin(backend_id, reply.pause_s, now):
                self._record(NoticeKind.PAUSED, backend_id, reply.pause_s)
        elif not reply.not_run and self._pauses.end(backend_id, now):
            self._record(NoticeKind.RESUMED, backend_id)
        if reply.invalid_headers and backend_id not in self._reported_ids:
            if len(self._reported_ids) >= MAX_REPORTED_BACKENDS:
                self._reported_ids.clear()
            self._reported_ids.add(backend_id)
            self._events.append(
                NoticeEvent(
                    NoticeKind.INVALID,
                    backend_id,
                    headers=reply.invalid_headers,
                )
            )

    def record_leaving(self, notice: directory.LeavingNotice) -> None:
        """Record that a backend server is about to stop."""
        if self._directory.record_leaving(notice) is not None:
            self._record(NoticeKind.LEAVING, notice.backend_id)

    def on_directory_change(self, change: directory.Change) -> None:
        """End the pause of a backend server that stopped or restarted."""
        if change.restarted or not change.usable:
            self._pauses.forget(change.backend_id)

    def is_paused(self, backend_id: str, now: float) -> bool:
        """Whether a backend server must get no requests now."""
        return self._pauses.is_paused(backend_id, now)

    def accepting_more(
        self,
        backend_ids: Iterable[str],
        now: float,
        is_idle: Callable[[str], bool],
    ) -> list[str]:
        """Return the backend servers whose pause allows one more request.

        Parameters
        ----------
        backend_ids : iterable of str
        now : float
        is_idle : callable
            Returns whether no attempt of this host is in flight at a backend
            server.
        """
        return [
            backend_id
            for backend_id in backend_ids
            if self._pauses.may_get(
                backend_id, now, is_idle=is_idle(backend_id)
            )
        ]

    def remaining_s(self, services: Iterable[str], now: float) -> float:
        """Return the time until each service has a server without a pause."""
        return max(
            (
                self._pauses.remaining_s(self._directory.usable(service), now)
                for service in services
            ),
            default=0,
        )

    def mark_unserved(
        self, subrequest: requeststate.Subrequest, now: float
    ) -> None:
        """Record that no backend server may get a subrequest, and why."""
        subrequest.work.mark_failed(
            subrequest, self._absence_reason(subrequest.service, now)
        )

    def pop_events(self) -> list[NoticeEvent]:
        """Return the events since the last call."""
        recorded, self._events = self._events, []
        return recorded

    def _absence_reason(self, service: str, now: float) -> str:
        usable_ids = self._directory.usable(service)
        if not usable_ids and self._directory.has_withheld(service):
            return 'backend_servers_evacuated'
        if not usable_ids and self._directory.has_listed(service):
            return 'backend_servers_leaving'
        if usable_ids and self._pauses.remaining_s(usable_ids, now):
            return 'backend_servers_paused'
        if usable_ids and not any(
            self._may_send(backend_id, now) for backend_id in usable_ids
        ):
            return 'backend_servers_cold'
        return 'no_backend_server'

    def _record(
        self, kind: NoticeKind, backend_id: str, pause_s: float = 0
    ) -> None:
        self._events.append(NoticeEvent(kind, backend_id, pause_s))
