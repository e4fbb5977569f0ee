"""Decides whether this host may send a request to a cold server; sans-I/O.

Owns which backend servers are cold and the requests of this host to them in the
last second. docs/design/cold-servers.md says why the bound holds without
messages between the hosts.
"""

import collections
import enum
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from cardamomflow import directory, register, routes
from cardamomflow.coldstarts import allocation

# Interval of a slot in seconds. It is longer than a second, since the clocks of
# a host and a backend server may differ in speed and messages are delayed.
SLOT_INTERVAL_S = 1.02
# Time in seconds for which a view of the fleet must have lasted before more
# slots than before are used. Views older than MAX_VIEW_AGE_S are not used, so
# that at any time all hosts that send have seen the same list within this time.
SETTLE_S = 15.0
MAX_VIEW_AGE_S = 13.0
# Views are taken at most this often, which bounds those kept to about
# SETTLE_S / VIEW_INTERVAL_S.
VIEW_INTERVAL_S = 1.0
# A request may wait for the end of a cold time that is not longer than this.
SHORT_WAIT_S = 0.25
# Interval in seconds between checks for a free place at a cold backend server
# that this host may send to.
RECHECK_S = 0.02
# Longest time in seconds between checks: the lists of hosts may change.
LONGEST_CHECK_S = 0.25
# Reports of a longer cold time than this many times the service's warm-up time
# are shortened, so that a false one can't hold work back for long.
MAX_REPORT_FACTOR = 2
MAX_REPORT_S = 600.0

_NO_HOSTS = allocation.FleetView('', {})


class Reserve(NamedTuple):
    """How far the bound exceeds the tolerated rate.

    Attributes
    ----------
    overage : float
        Factor of the requests per second that a cold backend server tolerates.
    slack : float
        Further requests per second, for differing views and delays.
    """

    overage: float = 1.5
    slack: float = 5


DEFAULT_RESERVE = Reserve()


class ColdEvent(NamedTuple):
    """A backend server became cold or warm.

    Attributes
    ----------
    backend_id : str
    remaining_s : float
        Seconds for which it is cold; 0 if it is warm.
    """

    backend_id: str
    remaining_s: float


class Decision(enum.Enum):
    """What happened to a request at a cold backend server."""

    SENT = enum.auto()
    HELD_BACK = enum.auto()


class ColdServers:
    """Cold backend servers as one host sees them.

    Attributes
    ----------
    counts : collections.Counter of Decision
        Decisions since the host last took them.
    view_age_s : callable
        Returns the seconds since the list of hosts was confirmed, including
        those for which the machine was suspended.
    """

    def __init__(
        self,
        backends: directory.Directory,
        reserve: Reserve = DEFAULT_RESERVE,
    ) -> None:
        """Start without a view of the fleet."""
        self.counts: collections.Counter[Decision] = collections.Counter()
        self.view_age_s: Callable[[], float] = _report_no_age
        self._reserve = reserve
        self._directory = backends
        self._limits_by_service: Mapping[str, routes.WarmUp] = {}
        self._cold_until_by_id: dict[str, float] = {}
        self._next_expiry_at = math.inf
        # Newest incarnation and cold time of each entry that has one.
        self._entries_by_id: dict[str, tuple[int, float]] = {}
        self._sent_at_by_id: dict[str, collections.deque[float]] = {}
        self._views = _SettlingViews()
        self._slots_by_id: dict[str, int] = {}
        self._events: list[ColdEvent] = []

    @property
    def count(self) -> int:
        """Number of cold backend servers."""
        return len(self._cold_until_by_id)

    def apply(self, limits_by_service: Mapping[str, routes.WarmUp]) -> None:
        """Set the rates that the cold backend servers tolerate."""
        self._limits_by_service = {
            service: limit
            for service, limit in limits_by_service.items()
            if limit.cold_per_s > 0
        }
        self._slots_by_id.clear()

    def update_view(self, view: allocation.FleetView, now: float) -> None:
        """Set the hosts that the platform lists."""
        self._views.update(view, now)

    def on_entry(self, backend_id: str, now: float) -> None:
        """Take the cold time of a changed entry.

        An entry may be older than an answer, so it does not shorten the cold
        time unless the backend server has started again.
        """
        backend = self._directory.backends_by_id.get(backend_id)
        if backend is None:
            self._forget(backend_id)
            return
        known = self._entries_by_id.get(backend_id)
        entry = (backend.incarnation, backend.warmup_left_s)
        if known == entry or not (known or backend.warmup_left_s):
            return
        self._entries_by_id[backend_id] = entry
        until = now + self._shorten(backend, backend.warmup_left_s)
        is_restart = known is not None and known[0] != backend.incarnation
        if not is_restart:
            until = max(until, self._cold_until_by_id.get(backend_id, now))
        self._set_cold_until(backend, until, now)

    def on_answer(self, backend_id: str, cold_s: float, now: float) -> None:
        """Take the cold time in an answer of a backend server."""
        backend = self._directory.backends_by_id.get(backend_id)
        if backend is not None:
            until = now + self._shorten(backend, cold_s)
            self._set_cold_until(backend, until, now)

    def expire(self, now: float) -> None:
        """Forget the backend servers whose cold time has passed."""
        if now < self._next_expiry_at:
            return
        for backend_id, until in list(self._cold_until_by_id.items()):
            if until <= now:
                self._forget_cold(backend_id)
        self._next_expiry_at = min(
            self._cold_until_by_id.values(), default=math.inf
        )
        for backend_id, sent_at in list(self._sent_at_by_id.items()):
            if sent_at[-1] + SLOT_INTERVAL_S <= now:
                self._sent_at_by_id.pop(backend_id)

    def is_eligible(self, backend_id: str, now: float) -> bool:
        """Return whether this host may send to a backend server soon."""
        until = self._cold_until_by_id.get(backend_id, now)
        if until <= now + SHORT_WAIT_S or not self._is_bounded(backend_id):
            return True
        return self._own_slots(backend_id, now) > 0

    def without_held_back(
        self, backend_ids: Sequence[str], now: float
    ) -> Sequence[str]:
        """Return the backend servers that may get a request now."""
        if not self._cold_until_by_id or not self._limits_by_service:
            return backend_ids
        return [
            backend_id
            for backend_id in backend_ids
            if self.next_at(backend_id, now) <= now
        ]

    def next_at(self, backend_id: str, now: float) -> float:
        """Return when this host may next send to a backend server.

        Not later than the time at which it becomes warm.
        """
        until = self._cold_until_by_id.get(backend_id, now)
        if until <= now or not self._is_bounded(backend_id):
            return now
        slots = self._own_slots(backend_id, now)
        if not slots:
            return until
        sent_at = self._sent_at_by_id.get(backend_id, ())
        if len(sent_at) < slots:
            return now
        return min(until, sent_at[-slots] + SLOT_INTERVAL_S)

    def next_check_at(self, backend_ids: Iterable[str], now: float) -> float:
        """Return when queued work should be checked again.

        Infinite if none of the backend servers is cold.
        """
        cold_ids = self._cold_until_by_id.keys() & set(backend_ids)
        return min(
            (self.next_at(backend_id, now) for backend_id in cold_ids),
            default=math.inf,
        )

    def record_start(self, backend_id: str, now: float) -> None:
        """Record a request of this host to a backend server."""
        until = self._cold_until_by_id.get(backend_id, now)
        if until <= now or not self._is_bounded(backend_id):
            return
        self.counts[Decision.SENT] += 1
        sent_at = self._sent_at_by_id.setdefault(
            backend_id, collections.deque()
        )
        while sent_at and sent_at[0] + SLOT_INTERVAL_S <= now:
            sent_at.popleft()
        sent_at.append(now)

    def record_held_back(self, count: int) -> None:
        """Record free backend servers that could not get a request."""
        if count:
            self.counts[Decision.HELD_BACK] += count

    def pop_events(self) -> list[ColdEvent]:
        """Return the changes since the last call."""
        recorded, self._events = self._events, []
        return recorded

    def pop_counts(self) -> collections.Counter[Decision]:
        """Return the decisions since the last call."""
        counted, self.counts = self.counts, collections.Counter()
        return counted

    def _is_bounded(self, backend_id: str) -> bool:
        backend = self._directory.backends_by_id.get(backend_id)
        if backend is None:
            return False
        return backend.service in self._limits_by_service

    def _own_slots(self, backend_id: str, now: float) -> int:
        """Return the requests that this host may send in any second."""
        if self.view_age_s() > MAX_VIEW_AGE_S:
            return 0
        if self._views.advance(now):
            self._slots_by_id.clear()
        slots = self._slots_by_id.get(backend_id)
        if slots is None:
            backend = self._directory.backends_by_id[backend_id]
            server = allocation.Server(
                backend_id, backend.service, backend.availability_zone
            )
            limit = self._limits_by_service[backend.service]
            fleet_slots = _fleet_slots(limit.cold_per_s, self._reserve)
            slots = min(
                allocation.own_slots(view, server, fleet_slots)
                for view in self._views.recent()
            )
            self._slots_by_id[backend_id] = slots
        return slots

    def _shorten(self, backend: register.Backend, cold_s: float) -> float:
        limit = self._limits_by_service.get(backend.service)
        longest_s = MAX_REPORT_S
        if limit is not None and limit.warmup_s:
            longest_s = min(longest_s, limit.warmup_s * MAX_REPORT_FACTOR)
        return min(cold_s, longest_s)

    def _set_cold_until(
        self, backend: register.Backend, until: float, now: float
    ) -> None:
        backend_id = backend.backend_id
        if until <= now:
            self._forget_cold(backend_id)
            return
        is_new = backend_id not in self._cold_until_by_id
        if is_new and self._is_bounded(backend_id):
            self._events.append(ColdEvent(backend_id, until - now))
        self._cold_until_by_id[backend_id] = until
        self._next_expiry_at = min(self._next_expiry_at, until)

    def _forget(self, backend_id: str) -> None:
        self._entries_by_id.pop(backend_id, None)
        self._slots_by_id.pop(backend_id, None)
        self._forget_cold(backend_id)

    def _forget_cold(self, backend_id: str) -> None:
        # The times of the last requests are kept: the backend server may become
        # cold again within a second.
        until = self._cold_until_by_id.pop(backend_id, None)
        if until is not None and self._is_bounded(backend_id):
            self._events.append(ColdEvent(backend_id, 0))


class _SettlingViews:
    """The current view and those that were current within `SETTLE_S`."""

    def __init__(self) -> None:
        # Views that were replaced, with the time of that.
        self._replaced: collections.deque[
            tuple[allocation.FleetView, float]
        ] = collections.deque()
        # Before its first view, a host has no slots.
        self._current = _NO_HOSTS
        self._current_since = float('-inf')
        self._pending: allocation.FleetView | None = None
        self._pending_at = float('-inf')
        self._has_changed = False

    def update(self, view: allocation.FleetView, now: float) -> None:
        """Set the newest view."""
        self._take_pending(now)
        self._pending, self._pending_at = view, now
        self._take_pending(now)

    def advance(self, now: float) -> bool:
        """Forget old views; return whether the recent ones have changed."""
        self._take_pending(now)
        while self._replaced and self._replaced[0][1] + SETTLE_S <= now:
            self._replaced.popleft()
            self._has_changed = True
        has_changed, self._has_changed = self._has_changed, False
        return has_changed

    def recent(self) -> list[allocation.FleetView]:
        """Return the views whose slots bound those of this host."""
        return [*(view for view, _ in self._replaced), self._current]

    def _take_pending(self, now: float) -> None:
        if self._pending is None:
            return
        taken_at = max(self._pending_at, self._current_since + VIEW_INTERVAL_S)
        if taken_at > now:
            return
        if self._pending != self._current:
            self._replaced.append((self._current, taken_at))
            self._current = self._pending
            self._current_since = taken_at
            self._has_changed = True
        self._pending = None


def _report_no_age() -> float:
    """Return 0: without a host, no list of hosts grows old."""
    return 0


def _fleet_slots(cold_per_s: float, reserve: Reserve) -> int:
    """Return the slots of all hosts at a cold backend server.

    Servers that tolerate less than a request per second get one if the slack
    allows it, since they would otherwise get none until they are warm.
    """
    aim = cold_per_s * reserve.overage
    return max(math.floor(aim), min(1, math.floor(aim + reserve.slack)))
