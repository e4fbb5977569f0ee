"""The platform's store as a model: entries, leases, hosts and faults.

Shared by the stand-in process and the in-memory fake. Takes the time as a
value and does no I/O.
"""

import enum
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from cardamomflow import platform

_KEPT_VERSIONS = 32


class Outage(enum.StrEnum):
    """What happens to calls during an outage; none of them has an effect."""

    NONE = 'none'
    HANG = 'hang'
    DROP = 'drop'
    ERROR = 'error'


class Loss(enum.StrEnum):
    """What becomes of a write whose response is lost."""

    NONE = 'none'
    APPLIED = 'applied'
    NOT_APPLIED = 'not_applied'
    LATE = 'late'


class Write(NamedTuple):
    """A requested change; a value of None removes the key."""

    key: str
    value: bytes | None
    expected_revision: int
    lease_id: str | None = None


class Faults:
    """Faults in force; set by tests.

    Attributes
    ----------
    outage : Outage
    delay_s : float
        Added to each call.
    losses : list of Loss
        Fate of the next writes, in order.
    silent_watches : bool
        Watches deliver nothing.
    stale_steps_by_key : dict of str to int
        Reads and watches of the key serve the value of so many changes ago.
    """

    def __init__(self) -> None:
        self.outage = Outage.NONE
        self.delay_s: float = 0
        self.losses: list[Loss] = []
        self.silent_watches = False
        self.stale_steps_by_key: dict[str, int] = {}

    def next_loss(self) -> Loss:
        """Withdraw the fate of one write."""
        return self.losses.pop(0) if self.losses else Loss.NONE


class Store:
    """Entries with compare-and-swap, leases and a lagging host list."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.faults = Faults()
        self.calls_by_kind: dict[str, int] = {}
        self._clock = clock
        self._revision = 0
        self._versions_by_key: dict[str, list[platform.Entry | None]] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._lease_by_key: dict[str, str] = {}
        self._late_writes: list[Write] = []
        self._host_lists: list[tuple[float, list[platform.HostState]]] = []
        self.host_lag_s: float = 0

    def count(self, kind: str) -> None:
        """Count one call."""
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1

    def current(self, key: str) -> platform.Entry | None:
        """Return the true entry of a key."""
        self._expire_leases()
        versions = self._versions_by_key.get(key)
        return versions[-1] if versions else None

    def served(self, key: str) -> platform.Entry | None:
        """Return the entry that reads see, which may be an old one."""
        self._expire_leases()
        versions = self._versions_by_key.get(key, [])
        steps = self.faults.stale_steps_by_key.get(key, 0)
        return versions[-1 - steps] if steps < len(versions) else None

    def apply(self, write: Write) -> platform.Entry | None:
        """Apply a change.

        Raises
        ------
        platform.Conflict
            The key does not have the expected revision.
        """
        present = self.current(write.key)
        revision = present.revision if present else platform.ABSENT
        if revision != write.expected_revision:
            raise platform.Conflict(write.key, present)
        if write.value is None:
            return self._append(write.key, None)
        self._revision += 1
        self._lease_by_key.pop(write.key, None)
        if write.lease_id is not None:
            self._lease_by_key[write.key] = write.lease_id
        return self._append(
            write.key, platform.Entry(write.value, self._revision)
        )

    def keep_late(self, write: Write) -> None:
        """Keep a write that arrives after its sender gave up."""
        self._late_writes.append(write)

    def apply_late_writes(self) -> int:
        """Let the late writes arrive; return how many took effect."""
        late = self._late_writes
        self._late_writes = []
        applied = 0
        for write in late:
            try:
                self.apply(write)
            except platform.Conflict:
                continue
            applied += 1
        return applied

    def roll_back(self, key: str, steps: int) -> None:
        """Lose the last changes of a key, as a restore from a copy does."""
        versions = self._versions_by_key.get(key, [])
        del versions[max(0, len(versions) - steps) :]

    def grant_lease(self, ttl_s: float) -> str:
        """Start a lease."""
        self._revision += 1
        lease_id = f'lease-{self._revision}'
        self._leases[lease_id] = (ttl_s, self._clock() + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: str) -> bool:
        """Restart a lease; tell whether it was still running."""
        self._expire_leases()
        if lease_id not in self._leases:
            return False
        ttl_s, _ = self._leases[lease_id]
        self._leases[lease_id] = (ttl_s, self._clock() + ttl_s)
        return True

    def set_hosts(self, hosts: list[platform.HostState]) -> None:
        """Change the host list; readers see it after the lag."""
        self._host_lists.append((self._clock(), hosts))

    def hosts(self) -> list[platform.HostState]:
        """Return the host list as it was `host_lag_s` ago."""
        seen_until = self._clock() - self.host_lag_s
        visible: list[platform.HostState] = []
        for changed_at, hosts in self._host_lists:
            if changed_at <= seen_until:
                visible = hosts
        return visible

    def control(self, document: dict[str, Any]) -> dict[str, Any]:
        """Set the faults that a control request names."""
        faults = self.faults
        if 'outage' in document:
            faults.outage = Outage(document['outage'])
        if 'delay_ms' in document:
            faults.delay_s = document['delay_ms'] / 1000
        if 'losses' in document:
            faults.losses = [Loss(loss) for loss in document['losses']]
        if 'silent_watches' in document:
            faults.silent_watches = bool(document['silent_watches'])
        if 'stale_steps' in document:
            faults.stale_steps_by_key = dict(document['stale_steps'])
        self._control_contents(document)
        return self._control_state(document)

    def _control_contents(self, document: dict[str, Any]) -> None:
        for key, steps in document.get('roll_back', {}).items():
            self.roll_back(key, steps)
        if 'host_lag_ms' in document:
            self.host_lag_s = document['host_lag_ms'] / 1000
        if 'hosts' in document:
            self.set_hosts(
                [platform.HostState(**host) for host in document['hosts']]
            )

    def _control_state(self, document: dict[str, Any]) -> dict[str, Any]:
        state: dict[str, Any] = {
            'outage': self.faults.outage,
            'losses': self.faults.losses,
            'calls': dict(self.calls_by_kind),
        }
        if document.get('apply_late_writes'):
            state['late_writes_applied'] = self.apply_late_writes()
        if document.get('reset_calls'):
            self.calls_by_kind.clear()
        return state

    def _append(
        self, key: str, entry: platform.Entry | None
    ) -> platform.Entry | None:
        versions = self._versions_by_key.setdefault(key, [])
        versions.append(entry)
        del versions[:-_KEPT_VERSIONS]
        if entry is None:
            self._lease_by_key.pop(key, None)
        return entry

    def _expire_leases(self) -> None:
        now = self._clock()
        ended = [
            lease_id
            for lease_id, (_, ends_at) in self._leases.items()
            if ends_at <= now
        ]
        for lease_id in ended:
            del self._leases[lease_id]
        for key, lease_id in list(self._lease_by_key.items()):
            if lease_id not in self._leases:
                self._append(key, None)
