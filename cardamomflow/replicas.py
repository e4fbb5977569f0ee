"""Choice of the replica for an attempt; sans-I/O.

Tracks for each backend server the calls of this process in flight, latency,
error rate and the last load report. A report may be stale or wrong, so its
load is weighted by its age and only added to the calls in flight.
"""

import math
import random as random_module
from collections.abc import Collection, Sequence, Set

from cardamomflow import limits, requeststate, slowness
from cardamomflow.zonespill import placement

LATENCY_WEIGHT = 0.2
# The latency of an unused replica decays, so that it is tried again.
LATENCY_DECAY_S = 4.0
INITIAL_LATENCY_S = 0.001
REPORT_DECAY_S = 1.0
RAMP_S = 10.0
RAMP_MINIMUM_SHARE = 0.1
# A backend server is cold again after this time without being a candidate.
ABSENCE_S = 10.0
ERROR_DECAY_S = 2.0
ERROR_RATE_LIMIT = 0.3
# A replica is ejected only if a peer fails less than half as often. Otherwise
# the cause is shared and an ejection would overload the other replicas.
PEER_ERROR_FACTOR = 0.5
ERROR_MINIMUM_CALLS = 5.0
PROBATION_MINIMUM_CALLS = 2.0
# A free replica stays idle if its latency is above this many times the expected
# wait for another one; work sent to a straggler would finish later.
IDLE_LATENCY_FACTOR = 2
# A failure counts as an answer with this many times the latency of the slowest
# peer. Otherwise a replica that fails at once would seem fastest and get all
# work until its ejection. Avoiding it completely would overload the others.
FAILURE_FACTOR = 2
NO_REPLICAS: Set[str] = frozenset()
# A call in flight for this many times the average latency, without any answer
# meanwhile, shows a pause.
STALL_FACTOR = 2.5
EJECTION_S = 5.0
EJECTION_CAP_S = 60.0
_EJECTION_GROWTH = 2
_FAILURE_OUTCOMES = frozenset(
    (
        limits.CallOutcome.TIMEOUT,
        limits.CallOutcome.FAILED,
        limits.CallOutcome.REFUSED_CONNECTION,
    )
)
_ANSWERED_OUTCOMES = frozenset(
    (limits.CallOutcome.SUCCESS, limits.CallOutcome.SHED)
)
_NEUTRAL_OUTCOMES = frozenset(
    (limits.CallOutcome.CANCELLED, limits.CallOutcome.SHED)
)


class _Replica:
    """State of one backend server."""

    def __init__(self, now: float) -> None:
        # Send times of the calls in flight, oldest first.
        self.send_times: list[float] = []
        self.peers: tuple[str, ...] = ()
        self.last_candidate_at = now
        self.ramp_started_at = now
        self.ejected_until = float('-inf')
        self.ejections = 0
        self.answered_at = float('-inf')
        self.is_unreachable = False
        self._latency_s: float = 0
        self._latency_at = now
        self._reported_load: float = 0
        self._reported_at = float('-inf')
        self._errors: float = 0
        self._calls: float = 0
        self._calls_at = now
        self._slowness: slowness.Slowness | None = None

    def load(self, now: float) -> float:
        """Return the expected wait of one more call in seconds.

        The age of the oldest call in flight is a lower bound of the latency,
        since a backend server that hangs completes no calls to measure.
        """
        reported_load = self._reported_load * math.exp(
            (self._reported_at - now) / REPORT_DECAY_S
        )
        oldest_s = now - self.send_times[0] if self.send_times else 0
        latency_s = max(self.latency_s(now), oldest_s)
        return latency_s * (1 + len(self.send_times) + reported_load)

    def remove_call(self, started_at: float) -> None:
        """Remove the call in flight whose send time is closest to a time."""
        if self.send_times:
            self.send_times.remove(
                min(self.send_times, key=lambda sent: abs(sent - started_at))
            )

    def latency_s(self, now: float) -> float:
        """Return the average latency in seconds, which decays over time.

        A reported slowness scales it to what calls take now.
        """
        decay = math.exp((self._latency_at - now) / LATENCY_DECAY_S)
        latency_s = self._latency_s * decay * self._slowness_factor(now)
        return max(INITIAL_LATENCY_S, latency_s)

    def record_slowness(self, reported: float, now: float) -> None:
        if self._slowness is None:
            self._slowness = slowness.Slowness()
        self._slowness.record(reported, now)

    def _slowness_factor(self, now: float) -> float:
        return 1 if self._slowness is None else self._slowness.estimate(now)

    def record_latency(self, latency_s: float, now: float) -> None:
        latency_s /= self._slowness_factor(now)
        if self._latency_s:
            latency_s = (
                self._latency_s + (latency_s - self._latency_s) * LATENCY_WEIGHT
            )
        self._latency_s = latency_s
        self._latency_at = now

    def record_failure_latency(self, latency_s: float, now: float) -> None:
        """Record a failure as an answer with at least this latency."""
        latency_s = max(self.latency_s(now), latency_s)
        self._latency_s = latency_s / self._slowness_factor(now)
        self._latency_at = now

    def record_load(self, load: float, now: float) -> None:
        self._reported_load = load
        self._reported_at = now

    def record_outcome(self, failed: bool, now: float) -> None:
        decay = math.exp((self._calls_at - now) / ERROR_DECAY_S)
        self._calls = self._calls * decay + 1
        self._errors = self._errors * decay + failed
        self._calls_at = now

    def error_rate(self) -> float:
        return self._errors / self._calls if self._calls else 0

    def record_answer(self, now: float) -> None:
        self.answered_at = now
        self.is_unreachable = False

    def eject(self, now: float) -> None:
        period_s = min(
            EJECTION_CAP_S, EJECTION_S * _EJECTION_GROWTH**self.ejections
        )
        self.ejections += 1
        self.ejected_until = now + period_s
        self.ramp_started_at = self.ejected_until
        # The latency of the failures would keep it unused after the ejection.
        self._latency_s = 0
        self._errors = 0
        self._calls = 0

    def is_over_error_limit(self) -> bool:
        """Return whether the error rate over enough calls is too high.

        After an ejection, fewer calls are enough.
        """
        needed = (
            PROBATION_MINIMUM_CALLS if self.ejections else ERROR_MINIMUM_CALLS
        )
        return self._calls >= needed and self.error_rate() >= ERROR_RATE_LIMIT

    def ramp_share(self, now: float) -> float:
        """Return the share of normal load for a server that warms up."""
        share = (now - self.ramp_started_at) / RAMP_S
        return min(1.0, max(RAMP_MINIMUM_SHARE, share))


class ReplicaChooser:
    """Chooses among the replicas of a shard.

    Draws two candidates at random and chooses the one with the lower expected
    wait. The random draw prevents all senders from choosing the same replica.
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._replicas_by_id: dict[str, _Replica] = {}

    def choose(
        self,
        candidates: Sequence[str],
        now: float,
        excluded: Collection[str] = (),
        near: Set[str] = NO_REPLICAS,
        zone_placement: placement.Placement = placement.NEAR_FIRST,
    ) -> str | None:
        """Return a candidate, or None when all are excluded.

        Parameters
        ----------
        candidates : sequence of str
            Replicas that hold the shard and accept new work.
        now : float
        excluded : collection of str
            Replicas that must not be used, such as those already tried.
        near : set of str
            Replicas in the availability zone of this process; preferred.
        zone_placement : placement.Placement
            Weighs the wait at replicas of the own and of other zones.
        """
        self._record_candidates(candidates, now)
        usable = [
            backend_id
            for backend_id in candidates
            if backend_id not in excluded
        ]
        healthy = [
            backend_id
            for backend_id in usable
            if not self.is_ejected(backend_id, now)
        ]
        warm = self._select_warm(healthy or usable, now)
        drawn = self._draw(warm)
        local = [backend_id for backend_id in warm if backend_id in near]
        if local and near.isdisjoint(drawn):
            drawn[0] = self._random.choice(local)

        def cost(backend_id: str) -> float:
            load = self._replicas_by_id[backend_id].load(now)
            return zone_placement.cost(load, is_near=backend_id in near)

        return min(drawn, key=cost, default=None)

    def record_start(self, backend_id: str, now: float) -> None:
        """Record that a call was sent."""
        self._replica(backend_id, now).send_times.append(now)

    def record_end(
        self,
        backend_id: str,
        outcome: limits.CallOutcome,
        latency_s: float,
        now: float,
    ) -> None:
        """Record the outcome of a call.

        Parameters
        ----------
        backend_id : str
        outcome : limits.CallOutcome
        latency_s : float
            Seconds from the send to the outcome; for a cancelled call the
            time until then.
        now : float
        """
        replica = self._replica(backend_id, now)
        replica.remove_call(now - latency_s)
        # Only a success measures the full latency. The time of a cancelled
        # call is a lower bound, and a failure is often faster than the work.
        succeeded = outcome is limits.CallOutcome.SUCCESS
        if succeeded or latency_s > replica.latency_s(now):
            replica.record_latency(latency_s, now)
        if outcome in _ANSWERED_OUTCOMES:
            replica.record_answer(now)
        if outcome in _NEUTRAL_OUTCOMES:
            return
        failed = outcome in _FAILURE_OUTCOMES
        replica.record_outcome(failed, now)
        if failed:
            replica.record_failure_latency(
                FAILURE_FACTOR * self._slowest_latency_s(replica, now), now
            )
        if failed and self._should_eject(backend_id, replica, now):
            replica.eject(now)
        elif not failed and now > replica.ramp_started_at + RAMP_S:
            replica.ejections = 0

    def record_report(
        self,
        backend_id: str,
        in_use: int,
        queued: int,
        slots: int,
        age_s: float,
        now: float,
    ) -> None:
        """Record a load report.

        Parameters
        ----------
        backend_id : str
        in_use, queued : int
            Calls of all senders that run or wait on the backend server.
        slots : int
        age_s : float
            Age of the report in seconds.
        now : float
        """
        load = (in_use + queued) / max(1, slots)
        replica = self._replica(backend_id, now)
        replica.record_answer(now)
        replica.record_load(load, now - age_s)

    def record_load(
        self, backend_id: str, load: requeststate.Load, now: float
    ) -> None:
        """Record the load that came with an answer."""
        self.record_report(
            backend_id, load.running, load.waiting, load.slots, 0, now
        )
        if load.slowness is not None:
            self.record_slowness(backend_id, load.slowness, now)

    def record_slowness(
        self, backend_id: str, reported: float, now: float
    ) -> None:
        """Record how long work takes at a backend server now.

        Parameters
        ----------
        backend_id : str
        reported : float
            Relative to the usual time; 1 is usual.
        now : float
        """
        self._replica(backend_id, now).record_slowness(reported, now)

    def record_missed_report(
        self, backend_id: str, requested_at: float, now: float
    ) -> None:
        """Record that a report request got no answer.

        Marks the backend server as unreachable unless it has answered since.
        At a low call rate, too few calls fail for an ejection, and each of
        them waits for most of its deadline.

        Parameters
        ----------
        backend_id : str
        requested_at : float
            When the report was requested.
        now : float
        """
        replica = self._replica(backend_id, now)
        replica.is_unreachable = replica.answered_at < requested_at

    def is_ejected(self, backend_id: str, now: float) -> bool:
        """Return whether a backend server gets work only as a last resort.

        This applies after too many failed calls and while it is unreachable.
        """
        replica = self._replicas_by_id.get(backend_id)
        if replica is None:
            return False
        return replica.is_unreachable or now < replica.ejected_until

    def expected_wait_s(self, backend_id: str, now: float) -> float:
        """Return the expected time of one more call in seconds."""
        return self._replica(backend_id, now).load(now)

    def is_stalled(
        self, backend_id: str, patience_s: float, now: float
    ) -> bool:
        """Return whether a backend server seems to be paused.

        It has answered nothing for a time in which it should have, although a
        call is in flight. A single long call does not count while others are
        answered.

        Parameters
        ----------
        backend_id : str
        patience_s : float
            Shortest time in seconds that counts as a pause.
        now : float
        """
        replica = self._replicas_by_id.get(backend_id)
        if replica is None or not replica.send_times:
            return False
        silent_s = now - max(replica.send_times[0], replica.answered_at)
        return silent_s > max(patience_s, STALL_FACTOR * replica.latency_s(now))

    def is_worth_using(
        self, backend_id: str, candidates: Sequence[str], now: float
    ) -> bool:
        """Return whether to use a free replica rather than wait for another.

        Parameters
        ----------
        backend_id : str
            A replica with capacity for a call.
        candidates : sequence of str
            Replicas for which the work could wait.
        now : float
        """
        latency_s = self._replica(backend_id, now).latency_s(now)
        return all(
            latency_s
            <= IDLE_LATENCY_FACTOR * self._replica(other, now).load(now)
            for other in candidates
            if other != backend_id
        )

    def remove(self, backend_id: str) -> None:
        """Remove a backend server that is no longer in the register."""
        self._replicas_by_id.pop(backend_id, None)

    def _replica(self, backend_id: str, now: float) -> _Replica:
        replica = self._replicas_by_id.get(backend_id)
        if replica is None:
            replica = _Replica(now)
            self._replicas_by_id[backend_id] = replica
        return replica

    def _slowest_latency_s(self, replica: _Replica, now: float) -> float:
        """Return the longest latency of the peers of a replica."""
        return max(
            (
                self._replicas_by_id[peer].latency_s(now)
                for peer in replica.peers
                if peer in self._replicas_by_id
            ),
            default=INITIAL_LATENCY_S,
        )

    def _record_candidates(self, candidates: Sequence[str], now: float) -> None:
        for backend_id in candidates:
            replica = self._replica(backend_id, now)
            if now - replica.last_candidate_at > ABSENCE_S:
                replica.ramp_started_at = now
            replica.last_candidate_at = now
            replica.peers = tuple(candidates)

    def _select_warm(self, usable: list[str], now: float) -> list[str]:
        """Drop cold servers at random, in proportion to their ramp share."""
        shares = [
            self._replicas_by_id[backend_id].ramp_share(now)
            for backend_id in usable
        ]
        warmest = max(shares, default=0)
        if min(shares, default=0) >= warmest:
            return usable
        return [
            backend_id
            for backend_id, share in zip(usable, shares, strict=True)
            if share >= warmest or self._random.random() * warmest < share
        ]

    def _draw(self, usable: list[str]) -> list[str]:
        """Draw two in random order, since the first one wins a tie."""
        return self._random.sample(usable, min(2, len(usable)))

    def _should_eject(
        self, backend_id: str, replica: _Replica, now: float
    ) -> bool:
        if now < replica.ejected_until or not replica.is_over_error_limit():
            return False
        bound = replica.error_rate() * PEER_ERROR_FACTOR
        return any(
            self._replicas_by_id[peer].error_rate() < bound
            for peer in replica.peers
            if peer != backend_id
            and peer in self._replicas_by_id
            and not self.is_ejected(peer, now)
        )
