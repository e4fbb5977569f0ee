"""Signs that a backend server is leaving; sans-I/O.

Owns the newest sign of each source for each backend server. The register,
the status report and a refusal are explicit. The platform's host list lags
and may be wrong, so its sign alone never leaves a shard without a replica.
"""

import enum
from collections.abc import Collection
from typing import NamedTuple


class SignSource(enum.Enum):
    """Where a sign came from."""

    REGISTER = enum.auto()
    HOST_LIST = enum.auto()
    STATUS = enum.auto()
    REFUSAL = enum.auto()


class _Sign(NamedTuple):
    leaving: bool
    seen_at: float


class DrainTracker:
    """Backend servers that get no new work because they are leaving."""

    def __init__(self) -> None:
        """Start without any sign."""
        self._signs_by_backend: dict[str, dict[SignSource, _Sign]] = {}
        self._explicit: set[str] = set()
        self._listed: set[str] = set()

    def sign(
        self, backend_id: str, source: SignSource, leaving: bool, now: float
    ) -> None:
        """Note a sign.

        Parameters
        ----------
        backend_id : str
        source : SignSource
        leaving : bool
            False withdraws the sign of the same source. A status report
            that is not leaving also withdraws an earlier refusal.
        now : float
            When the sign was made; for an aged report its time of origin.
            A sign older than the newest of its source is ignored.
        """
        signs = self._signs_by_backend.setdefault(backend_id, {})
        known = signs.get(source)
        if known is not None and known.seen_at > now:
            return
        signs[source] = _Sign(leaving, now)
        if source is SignSource.STATUS and not leaving:
            refusal = signs.get(SignSource.REFUSAL)
            if refusal is not None and refusal.seen_at < now:
                signs.pop(SignSource.REFUSAL)
        self._classify(backend_id)

    def forget(self, backend_id: str) -> None:
        """Drop a backend server that left the register."""
        self._signs_by_backend.pop(backend_id, None)
        self._classify(backend_id)

    def accepting(self, backend_ids: Collection[str], now: float) -> list[str]:
        """Return those replicas of one shard that may get new work.

        Parameters
        ----------
        backend_ids : collection of str
            All replicas of the shard.
        now : float
        """
        if not self._explicit and not self._listed:
            return list(backend_ids)
        staying = [
            backend_id
            for backend_id in backend_ids
            if backend_id not in self._explicit
        ]
        unlisted = [
            backend_id
            for backend_id in staying
            if backend_id not in self._listed
        ]
        return unlisted or staying

    def _classify(self, backend_id: str) -> None:
        """Keep the sets that `accepting` reads for every item."""
        signs = self._signs_by_backend.get(backend_id, {})
        sources = {source for source, sign in signs.items() if sign.leaving}
        self._explicit.discard(backend_id)
        self._listed.discard(backend_id)
        if sources - {SignSource.HOST_LIST}:
            self._explicit.add(backend_id)
        if SignSource.HOST_LIST in sources:
            self._listed.add(backend_id)
