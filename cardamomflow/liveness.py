"""Detection of silent connections; sans-I/O.

Owns the times of connections. Pings are answered by the peer's loop, so a
slow answer to a request never counts as silence.
"""

import enum
from collections.abc import Callable, Iterator

PING_INTERVAL_S = 1.0
SILENCE_LIMIT_S = 3.0
# A longer gap between two checks means that this process was paused. The
# peer's traffic was not read meanwhile, so its silence proves nothing.
PAUSE_THRESHOLD_S = 1.5
RESPONSIVE_LIMIT_S = 2.0
CHECK_INTERVAL_S = 0.5
# A ping may leave one check after it is due. What is left of `RESPONSIVE_S`
# and `SILENCE_LIMIT_S` is the least time that a peer has for its answer.
_MIN_ANSWER_S = RESPONSIVE_LIMIT_S - PING_INTERVAL_S - CHECK_INTERVAL_S
# Up to this number of links, idle ones are pinged after `PING_INTERVAL_S`.
SHORT_INTERVAL_LINKS = 20
# Each further link makes the interval longer, so that a process sends about 7
# idle pings a second however many it has. A node of the design size has
# 1,891 ends of links; their pings and pongs have to fit into 6 KB/s.
INTERVAL_GROWTH_S = 0.15
# Limits the pings of links that became idle together.
MAX_IDLE_PINGS_PER_S = 20.0
# A connection is looked at this often though no ping is due. The interval
# becomes shorter when connections end, or when the peer says so.
_MAX_CHECK_DELAY_S = 5.0


class Action(enum.Enum):
    """What to do after a check."""

    PING = enum.auto()
    CLOSE = enum.auto()


def idle_interval_s(link_count: int) -> float:
    """Return the time after which a process pings an idle link."""
    extra_links = max(0, link_count - SHORT_INTERVAL_LINKS)
    return PING_INTERVAL_S + extra_links * INTERVAL_GROWTH_S


class LivenessTimer:
    """Tells when to ping a peer and when to give it up.

    Attributes
    ----------
    next_check_at : float
        Monotonic time before which `PingSchedule` skips the connection.
    peer_interval_s : float
        Idle interval of the peer; the longer one of both ends counts.
    """

    def __init__(
        self,
        now: float,
        ping_interval_s: float = PING_INTERVAL_S,
        silence_limit_s: float = SILENCE_LIMIT_S,
    ) -> None:
        """Start as if the peer had just been heard.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        ping_interval_s : float
            Time without inbound traffic after which a ping is sent while
            work waits for the peer.
        silence_limit_s : float
            Time without inbound traffic after which a peer that left a ping
            unanswered is given up.
        """
        self.next_check_at = now
        self.peer_interval_s: float = 0
        self._received_at = now
        self._pinged_at: float | None = None
        self._ping_required = False
        self._ping_interval_s = ping_interval_s
        self._silence_limit_s = silence_limit_s

    def record_received(self, now: float) -> None:
        """Note inbound traffic."""
        self._received_at = now
        self._pinged_at = None
        self._ping_required = False

    def record_ping(self, now: float) -> None:
        """Note a ping, to which any inbound traffic is an answer."""
        self._pinged_at = now
        self._ping_required = False
        self.next_check_at = now

    def record_pause(self, now: float) -> None:
        """Note a pause of this process; the peer has to be pinged anew."""
        self.record_received(now)
        self._ping_required = True
        self.next_check_at = now

    def on_work_started(self) -> None:
        """Note that work waits for the peer from now on."""
        due_at = self._received_at + self._ping_interval_s
        self.next_check_at = min(self.next_check_at, due_at)

    def silence_s(self, now: float) -> float:
        """Return the time without inbound traffic in seconds."""
        return now - self._received_at

    def needs_ping(self, now: float, extra_s: float = 0) -> bool:
        """Tell whether to ping after the ping interval and a further time."""
        if self._pinged_at is not None:
            return False
        interval_s = self._ping_interval_s + extra_s
        return self._ping_required or self.silence_s(now) >= interval_s

    def postpone_check(self, now: float, extra_s: float) -> None:
        """Skip the connection until a ping is due, if none is unanswered."""
        if self._pinged_at is None:
            due_at = self._received_at + self._ping_interval_s + extra_s
            self.next_check_at = min(now + _MAX_CHECK_DELAY_S, due_at)

    def is_responsive(self, now: float) -> bool:
        """Tell whether the peer left no ping unanswered for long."""
        if self.silence_s(now) < RESPONSIVE_LIMIT_S:
            return True
        return self._unanswered_s(now) < _MIN_ANSWER_S

    def is_lost(self, now: float) -> bool:
        """Tell whether to give the peer up; silence alone proves nothing."""
        limit_s = self._silence_limit_s
        if self._pinged_at is None or self.silence_s(now) < limit_s:
            return False
        answer_s = limit_s - self._ping_interval_s - CHECK_INTERVAL_S
        return self._unanswered_s(now) >= answer_s

    def _unanswered_s(self, now: float) -> float:
        return 0 if self._pinged_at is None else now - self._pinged_at


class PingSchedule:
    """Decides for all connections of a process; bounds the idle pings."""

    def __init__(self, now: float) -> None:
        """Start without connections."""
        self._timers: dict[LivenessTimer, None] = {}
        self._checked_at = now
        self._available_pings = MAX_IDLE_PINGS_PER_S

    @property
    def interval_s(self) -> float:
        """Time after which an idle connection is pinged, in seconds."""
        return idle_interval_s(len(self._timers))

    def add(self, timer: LivenessTimer, now: float) -> None:
        """Take a new connection."""
        if not self._timers:
            # Nothing was checked meanwhile, which is not a pause.
            self._checked_at = now
        self._timers[timer] = None

    def remove(self, timer: LivenessTimer) -> None:
        """Forget a connection."""
        self._timers.pop(timer, None)

    def check(
        self, now: float, has_pending_work: Callable[[LivenessTimer], bool]
    ) -> Iterator[tuple[LivenessTimer, Action]]:
        """Decide; to be called every `CHECK_INTERVAL_S`.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        has_pending_work : callable
            Tells whether work waits for the peer of a connection. Such a
            connection is pinged at the shortest interval.
        """
        gap_s = now - self._checked_at
        self._checked_at = now
        self._available_pings = min(
            MAX_IDLE_PINGS_PER_S,
            self._available_pings + gap_s * MAX_IDLE_PINGS_PER_S,
        )
        if gap_s > PAUSE_THRESHOLD_S:
            for paused in self._timers:
                paused.record_pause(now)
        due = [timer for timer in self._timers if timer.next_check_at <= now]
        for timer in due:
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
        return has_work or self._use_idle_ping()

    def _use_idle_ping(self) -> bool:
        if self._available_pings < 1:
            return False
        self._available_pings -= 1
        return True


class PauseDetector:
    """Notices that this process did not run for a while."""

    def __init__(self, now: float, threshold_s: float) -> None:
        """Take the longest gap between two checks that is no pause."""
        self._checked_at = now
        self._threshold_s = threshold_s

    def check(self, now: float) -> bool:
        """Tell whether the process was paused since the last check."""
        gap_s = now - self._checked_at
        self._checked_at = now
        return gap_s > self._threshold_s
