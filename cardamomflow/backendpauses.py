"""Backend servers that asked for a pause after refusing a request; sans-I/O.

A backend server gets nothing during its pause. Afterwards it gets one request
at a time until it serves one, since other hosts return at the same time.
"""

import random as random_module
from collections.abc import Iterable

# Pauses are extended by up to this share, so that hosts whose pauses began
# together return at different times.
MAX_EXTENSION_SHARE = 0.25
MAX_EXTENSION_S = 0.5


class BackendPauses:
    """Pauses of one host at each backend server."""

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        # Includes pauses that are over, until a request was served.
        self._until_by_id: dict[str, float] = {}

    def begin(self, backend_id: str, pause_s: float, now: float) -> bool:
        """Record a refusal; return whether a pause begins.

        A pause that ends sooner does not shorten one that was asked for before.
        """
        extension_s = min(MAX_EXTENSION_S, pause_s * MAX_EXTENSION_SHARE)
        until = now + pause_s + self._random.uniform(0, extension_s)
        begins = not self.is_paused(backend_id, now)
        previous = self._until_by_id.get(backend_id, until)
        self._until_by_id[backend_id] = max(previous, until)
        return begins

    def end(self, backend_id: str, now: float) -> bool:
        """Record a served request; return whether it ends a pause.

        One that was sent before the pause began does not end it.
        """
        if self._until_by_id.get(backend_id, now) >= now:
            return False
        self.forget(backend_id)
        return True

    def forget(self, backend_id: str) -> None:
        """Drop the pause of a backend server that stopped or restarted."""
        self._until_by_id.pop(backend_id, None)

    def is_paused(self, backend_id: str, now: float) -> bool:
        """Whether a backend server must get no requests now."""
        return self._until_by_id.get(backend_id, now) > now

    def may_get(self, backend_id: str, now: float, *, is_idle: bool) -> bool:
        """Return whether a backend server may get one more request.

        Parameters
        ----------
        backend_id : str
        now : float
        is_idle : bool
            Whether no attempt of this host is in flight there.
        """
        if backend_id not in self._until_by_id:
            return True
        return is_idle and not self.is_paused(backend_id, now)

    def remaining_s(self, backend_ids: Iterable[str], now: float) -> float:
        """Return the time until the first of some pauses ends."""
        return min(
            (
                max(0, self._until_by_id.get(backend_id, now) - now)
                for backend_id in backend_ids
            ),
            default=0,
        )
