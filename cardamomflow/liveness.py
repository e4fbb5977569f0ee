"""Detection of silent connections by pings; sans-I/O.

Records when each connection last received traffic and was last pinged. The
peer's event loop answers pings, so a slow response to a request never counts
as silence.
"""

import enum
from collections.abc import Callable, Iterator

PING_INTERVAL_S = 1.0
SILENCE_LIMIT_S = 3.0
# A longer gap between two checks means that this process was paused. The
# peer's traffic was not read meanwhile, so the silence does not show that the
# peer failed.
PAUSE_THRESHOLD_S = 1.5
# A peer is unresponsive after this time without inbound traffic.
RESPONSIVE_LIMIT_S = 2.0
CHECK_INTERVAL_S = 0.5
# Shortest time that a peer has to answer a ping before it is unresponsive: the
# limit less the ping interval and the delay of the check that sends the ping.
_MIN_ANSWER_S = RESPONSIVE_LIMIT_S - PING_INTERVAL_S - CHECK_INTERVAL_S
# Up to this number of links, idle links are pinged after `PING_INTERVAL_S`.
SHORT_INTERVAL_LINKS = 20
# Each additional link lengthens the interval by this time, so that a process
# with many links sends about 7 idle pings a second. In a fleet of the design
# size, a node has 1,891 link ends; their pings and pongs must fit into 6 KB/s.
INTERVAL_GROWTH_S = 0.15
# Limits bursts of pings when many links become idle at the same time.
MAX_IDLE_PINGS_PER_S = 20.0
# A connection is checked at least this often, even when no ping is due. The
# idle interval can become shorter meanwhile, when other connections close or
# the peer reports a shorter one.
_MAX_CHECK_DELAY_S = 5.0


class Action(enum.Enum):
    """Action that a check requires on a connection."""

    PING = enum.auto()
    CLOSE = enum.auto()


def idle_interval_s(link_count: int) -> float:
    """Return the time after which a process pings an idle link."""
    extra_links = max(0, link_count - SHORT_INTERVAL_LINKS)
    return PING_INTERVAL_S + extra_links * INTERVAL_GROWTH_S


class LivenessTimer:
    """Decides when to ping a peer and when to close its connection.

    Attributes
    ----------
    next_check_at : float
        Monotonic time before which `PingSchedule` skips the connection.
    peer_interval_s : float
        Idle interval of the peer; the longer one of both ends applies.
    """

    def __init__(
        self,
        now: float,
        ping_interval_s: float = PING_INTERVAL_S,
        silence_limit_s: float = SILENCE_LIMIT_S,
    ) -> None:
        """Start as if traffic from the peer had just arrived.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        ping_interval_s : float
            Time without inbound traffic after which a ping is sent while
            work is waiting for the peer.
        silence_limit_s : float
            Time without inbound traffic after which the connection is
            closed if the peer has not answered a ping.
        """
        self.next_check_at = now
        self.peer_interval_s: float = 0
        self._received_at = now
        self._pinged_at: float | None = None
        self._ping_required = False
        self._ping_interval_s = ping_interval_s
        self._silence_limit_s = silence_limit_s

    def record_received(self, now: float) -> None:
        """Record inbound traffic."""
        self._received_at = now
        self._pinged_at = None
        self._ping_required = False

    def record_ping(self, now: float) -> None:
        """Record a sent ping; any inbound traffic counts as its answer."""
        self._pinged_at = now
        self._ping_required = False
        self.next_check_at = now

    def record_pause(self, now: float) -> None:
        """Record a pause of this process and require a new ping."""
        self.record_received(now)
        self._ping_required = True
        self.next_check_at = now

    def on_work_started(self) -> None:
        """Check earlier, because a request now waits for the peer."""
        due_at = self._received_at + self._ping_interval_s
        self.next_check_at = min(self.next_check_at, due_at)

    def silence_s(self, now: float) -> float:
        """Return the time without inbound traffic in seconds."""
        return now - self._received_at

    def needs_ping(self, now: float, extra_s: float = 0) -> bool:
        """Return whether to ping after the ping interval plus `extra_s`."""
        if self._pinged_at is not None:
            return False
        interval_s = self._ping_interval_s + extra_s
        return self._ping_required or self.silence_s(now) >= interval_s

    def postpone_check(self, now: float, extra_s: float) -> None:
        """Skip checks until the next ping is due, if none is outstanding."""
        if self._pinged_at is None:
            due_at = self._received_at + self._ping_interval_s + extra_s
            self.next_check_at = min(now + _MAX_CHECK_DELAY_S, due_at)

    def is_responsive(self, now: float) -> bool:
        """Return whether the peer answers pings in time."""
        if self.silence_s(now) < RESPONSIVE_LIMIT_S:
            return True
        return self._unanswered_s(now) < _MIN_ANSWER_S

    def is_lost(self, now: float) -> bool:
        """Return whether the peer left a ping unanswered for too long.

        Silence without an outstanding ping is not enough.
        """
        limit_s = self._silence_limit_s
        if self._pinged_at is None or self.silence_s(now) < limit_s:
            return False
        min_answer_s = limit_s - self._ping_interval_s - CHECK_INTERVAL_S
        return self._unanswered_s(now) >= min_answer_s

    def _unanswered_s(self, now: float) -> float:
        return 0 if self._pinged_at is None else now - self._pinged_at


class PingSchedule:
    """Checks all connections of a process and limits their idle pings."""

    def __init__(self, now: float) -> None:
        self._timers: dict[LivenessTimer, None] = {}
        self._checked_at = now
        self._idle_ping_tokens = MAX_IDLE_PINGS_PER_S

    @property
    def interval_s(self) -> float:
        """Time after which an idle connection is pinged, in seconds."""
        return idle_interval_s(len(self._timers))

    def add(self, timer: LivenessTimer, now: float) -> None:
        """Add a connection."""
        if not self._timers:
            # Checks stop while there are no connections; the gap is no pause.
            self._checked_at = now
        self._timers[timer] = None

    def remove(self, timer: LivenessTimer) -> None:
        """Remove a connection."""
        self._timers.pop(timer, None)

    def check(
        self, now: float, has_pending_work: Callable[[LivenessTimer], bool]
    ) -> Iterator[tuple[LivenessTimer, Action]]:
        """Yield the actions that are due; call every `CHECK_INTERVAL_S`.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        has_pending_work : callable
            Returns whether work is waiting for the peer of a connection.
            Such a connection is pinged at the shortest interval.
        """
        gap_s = now - self._checked_at
        self._checked_at = now
        self._idle_ping_tokens = min(
            MAX_IDLE_PINGS_PER_S,
            self._idle_ping_tokens + gap_s * MAX_IDLE_PINGS_PER_S,
        )
        if gap_s > PAUSE_THRESHOLD_S:
            for paused_timer in self._timers:
                paused_timer.record_pause(now)
        due_timers = [
            timer for timer in self._timers if timer.next_check_at <= now
        ]
        for timer in due_timers:
            if timer.is_lost(now):
                yield timer, Action.CLOSE
            elif self._may_ping(timer, now, has_work=has_pending_work(timer)):
                yield timer, Action.PING

    def _may_ping(
        self, timer: LivenessTimer, now: float, *, has_work: bool
    ) -> bool:
        extra_s: float = 0
        if not has_work:
            interval_s = max(self.interval_s, timer.peer_interval_s)
            extra_s = interval_s - PING_INTERVAL_S
        if not timer.needs_ping(now, extra_s):
            timer.postpone_check(now, extra_s)
            return False
        return has_work or self._withdraw_idle_ping()

    def _withdraw_idle_ping(self) -> bool:
        if self._idle_ping_tokens < 1:
            return False
        self._idle_ping_tokens -= 1
        return True


class PauseDetector:
    """Detects that this process did not run for some time."""

    def __init__(self, now: float, threshold_s: float) -> None:
        """Treat a gap of more than `threshold_s` between checks as a pause."""
        self._checked_at = now
        self._threshold_s = threshold_s

    def check(self, now: float) -> bool:
        """Return whether the process was paused since the last check."""
        gap_s = now - self._checked_at
        self._checked_at = now
        return gap_s > self._threshold_s
