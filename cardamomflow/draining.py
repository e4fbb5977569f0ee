"""Notices that backend servers are leaving; sans-I/O.

Owns the newest notice of each source for each backend server. The register,
the status report and a refusal are explicit. The platform's host list lags
and may be wrong, so its notices alone never leave a shard without a replica.
"""

import enum
from collections.abc import Collection
from typing import NamedTuple


class DrainSource(enum.Enum):
    """Source of a notice."""

    REGISTER = enum.auto()
    HOST_LIST = enum.auto()
    STATUS = enum.auto()
    REFUSAL = enum.auto()


class _DrainNotice(NamedTuple):
    leaving: bool
    issued_at: float


class DrainTracker:
    """Backend servers that get no new work because they are leaving."""

    def __init__(self) -> None:
        self._notices_by_backend: dict[
            str, dict[DrainSource, _DrainNotice]
        ] = {}
        self._explicitly_leaving: set[str] = set()
        self._leaving_by_host_list: set[str] = set()

    def record_notice(
        self, backend_id: str, source: DrainSource, leaving: bool, now: float
    ) -> None:
        """Record a notice.

        Parameters
        ----------
        backend_id : str
        source : DrainSource
        leaving : bool
            False withdraws the notice of the same source. In a status
            report it also withdraws an earlier refusal.
        now : float
            When the notice was issued, which may be in the past. A notice
            older than the newest one of its source is ignored.
        """
        notices = self._notices_by_backend.setdefault(backend_id, {})
        previous = notices.get(source)
        if previous is not None and previous.issued_at > now:
            return
        notices[source] = _DrainNotice(leaving, now)
        if source is DrainSource.STATUS and not leaving:
            refusal = notices.get(DrainSource.REFUSAL)
            if refusal is not None and refusal.issued_at < now:
                notices.pop(DrainSource.REFUSAL)
        self._update_sets(backend_id)

    def remove(self, backend_id: str) -> None:
        """Remove a backend server that is no longer in the register."""
        self._notices_by_backend.pop(backend_id, None)
        self._update_sets(backend_id)

    def select_accepting(
        self, backend_ids: Collection[str], now: float
    ) -> list[str]:
        """Return the replicas of one shard that may get new work.

        Parameters
        ----------
        backend_ids : collection of str
            All replicas of the shard.
        now : float
        """
        if not self._explicitly_leaving and not self._leaving_by_host_list:
            return list(backend_ids)
        staying = [
            backend_id
            for backend_id in backend_ids
            if backend_id not in self._explicitly_leaving
        ]
        unlisted = [
            backend_id
            for backend_id in staying
            if backend_id not in self._leaving_by_host_list
        ]
        return unlisted or staying

    def _update_sets(self, backend_id: str) -> None:
        """Update the sets that `select_accepting` reads for every item."""
        notices = self._notices_by_backend.get(backend_id, {})
        sources = {
            source for source, notice in notices.items() if notice.leaving
        }
        self._explicitly_leaving.discard(backend_id)
        self._leaving_by_host_list.discard(backend_id)
        if sources - {DrainSource.HOST_LIST}:
            self._explicitly_leaving.add(backend_id)
        if DrainSource.HOST_LIST in sources:
            self._leaving_by_host_list.add(backend_id)
