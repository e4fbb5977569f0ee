"""Choice of the replica that gets an attempt; sans-I/O.

Owns what is known of each backend server: own calls in flight, latency,
error rate and its last load report. A report may be stale or false, so it
only adds to the own calls, weighted by its age.
"""

import math
import random as random_module
from collections.abc import Collection, Sequence, Set

from cardamomflow import limits

LATENCY_WEIGHT = 0.2
# An unused replica's latency is forgotten, so that it is tried again.
LATENCY_MEMORY_S = 4.0
INITIAL_LATENCY_S = 0.001
REPORT_MEMORY_S = 1.0
RAMP_S = 10.0
RAMP_MINIMUM_SHARE = 0.1
# A backend server that was no candidate for this long is cold again.
ABSENCE_S = 10.0
ERROR_MEMORY_S = 2.0
ERROR_RATE_LIMIT = 0.3
# Ejects only when a peer fails less than half as often; otherwise the cause
# is shared and an ejection would overload the rest.
PEER_ERROR_FACTOR = 0.5
ERROR_MINIMUM_CALLS = 5.0
PROBATION_MINIMUM_CALLS = 2.0
# A free replica is left idle when its latency is above this many expected
# waits for another one; work sent to a straggler would finish later.
PATIENCE = 2
# A replica of another availability zone is taken when its expected wait is
# this much shorter. Traffic between zones costs the users money, and a zone
# that may be cut off should not depend on others.
REMOTE_FACTOR = 2
# A failure counts as an answer that took this much longer than the slowest
# peer's. One that fails at once would look fastest otherwise and get all work
# until its ejection; leaving it alone overloads the others.
FAILURE_FACTOR = 2
NOBODY: Set[str] = frozenset()
EJECTION_S = 5.0
EJECTION_CAP_S = 60.0
_GROWTH = 2
_ERRORS = frozenset(
    (
        limits.CallOutcome.TIMEOUT,
        limits.CallOutcome.FAILED,
        limits.CallOutcome.REFUSED_CONNECTION,
    )
)
_ANSWERED = frozenset((limits.CallOutcome.SUCCESS, limits.CallOutcome.SHED))
_NEUTRAL = frozenset((limits.CallOutcome.CANCELLED, limits.CallOutcome.SHED))


class _Replica:
    """What is known of one backend server."""

    def __init__(self, now: float) -> None:
        # Send times of the calls in flight, oldest first.
        self.open_since: list[float] = []
        self.peers: tuple[str, ...] = ()
        self.candidate_at = now
        self.ramp_from = now
        self.ejected_until = float('-inf')
        self.ejections = 0
        self.answered_at = float('-inf')
        self.unreachable = False
        self._latency_s: float = 0
        self._latency_at = now
        self._hint: float = 0
        self._hint_at = float('-inf')
        self._errors: float = 0
        self._calls: float = 0
        self._calls_at = now

    def load(self, now: float) -> float:
        """Return the expected wait in seconds of one more call.

        The age of the oldest call in flight is a lower bound of the latency:
        a backend server that hangs ends no call from which to learn it.
        """
        hint = self._hint * math.exp((self._hint_at - now) / REPORT_MEMORY_S)
        oldest_s = now - self.open_since[0] if self.open_since else 0
        latency_s = max(self.latency_s(now), oldest_s)
        return latency_s * (1 + len(self.open_since) + hint)

    def ended(self, started_at: float) -> None:
        """Drop one call in flight, the one sent next to a time."""
        if self.open_since:
            self.open_since.remove(
                min(self.open_since, key=lambda sent: abs(sent - started_at))
            )

    def latency_s(self, now: float) -> float:
        """Return the average latency, forgotten with time."""
        memory = math.exp((self._latency_at - now) / LATENCY_MEMORY_S)
        return max(INITIAL_LATENCY_S, self._latency_s * memory)

    def learn_latency(self, latency_s: float, now: float) -> None:
        if self._latency_s:
            latency_s = (
                self._latency_s + (latency_s - self._latency_s) * LATENCY_WEIGHT
            )
        self._latency_s = latency_s
        self._latency_at = now

    def learn_failure(self, latency_s: float, now: float) -> None:
        """Take a failure as an answer that took at least this long."""
        self._latency_s = max(self.latency_s(now), latency_s)
        self._latency_at = now

    def learn_report(self, load: float, now: float) -> None:
        self._hint = load
        self._hint_at = now

    def learn_outcome(self, failed: bool, now: float) -> None:
        memory = math.exp((self._calls_at - now) / ERROR_MEMORY_S)
        self._calls = self._calls * memory + 1
        self._errors = self._errors * memory + failed
        self._calls_at = now

    def error_rate(self) -> float:
        return self._errors / self._calls if self._calls else 0

    def answered(self, now: float) -> None:
        self.answered_at = now
        self.unreachable = False

    def eject(self, now: float) -> None:
        period_s = min(EJECTION_CAP_S, EJECTION_S * _GROWTH**self.ejections)
        self.ejections += 1
        self.ejected_until = now + period_s
        self.ramp_from = self.ejected_until
        # The latency of the failures would keep it unused after its return.
        self._latency_s = 0
        self._errors = 0
        self._calls = 0

    def over_error_limit(self) -> bool:
        """Whether enough calls failed, fewer of them on probation."""
        needed = (
            PROBATION_MINIMUM_CALLS if self.ejections else ERROR_MINIMUM_CALLS
        )
        return self._calls >= needed and self.error_rate() >= ERROR_RATE_LIMIT

    def ramp_share(self, now: float) -> float:
        """Return the share of normal load that a cold server gets."""
        share = (now - self.ramp_from) / RAMP_S
        return min(1.0, max(RAMP_MINIMUM_SHARE, share))


class ReplicaChooser:
    """Chooses among the replicas of a shard.

    Two candidates are drawn at random, the one with the lower expected wait
    is taken. Two draws avoid that all senders pick the same best one.
    """

    def __init__(self, random: random_module.Random) -> None:
        """Take the source of randomness."""
        self._random = random
        self._replicas_by_id: dict[str, _Replica] = {}

    def choose(
        self,
        candidates: Sequence[str],
        now: float,
        excluded: Collection[str] = (),
        near: Set[str] = NOBODY,
    ) -> str | None:
        """Return a candidate, or None when all are excluded.

        Parameters
        ----------
        candidates : sequence of str
            Replicas that hold the shard and accept new work.
        now : float
        excluded : collection of str
            Replicas that may not be used, such as those already tried.
        near : set of str
            Replicas of the own availability zone, which are preferred.
        """
        self._note_candidates(candidates, now)
        usable = [
            backend_id
            for backend_id in candidates
            if backend_id not in excluded
        ]
        healthy = [
            backend_id
            for backend_id in usable
            if not self.ejected(backend_id, now)
        ]
        warm = self._warm(healthy or usable, now)
        drawn = self._draw(warm)
        local = [backend_id for backend_id in warm if backend_id in near]
        if local and near.isdisjoint(drawn):
            drawn[0] = self._random.choice(local)

        def cost(backend_id: str) -> float:
            load = self._replicas_by_id[backend_id].load(now)
            return load if backend_id in near else load * REMOTE_FACTOR

        return min(drawn, key=cost, default=None)

    def started(self, backend_id: str, now: float) -> None:
        """Note that a call was sent."""
        self._replica(backend_id, now).open_since.append(now)

    def observe(
        self,
        backend_id: str,
        outcome: limits.CallOutcome,
        latency_s: float,
        now: float,
    ) -> None:
        """Note how a call ended.

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
        replica.ended(now - latency_s)
        # Only a success tells the whole latency. A cancelled call tells a
        # lower bound, and a failure is often faster than the work.
        succeeded = outcome is limits.CallOutcome.SUCCESS
        if succeeded or latency_s > replica.latency_s(now):
            replica.learn_latency(latency_s, now)
        if outcome in _ANSWERED:
            replica.answered(now)
        if outcome in _NEUTRAL:
            return
        failed = outcome in _ERRORS
        replica.learn_outcome(failed, now)
        if failed:
            replica.learn_failure(
                FAILURE_FACTOR * self._slowest_s(replica, now), now
            )
        if failed and self._should_eject(backend_id, replica, now):
            replica.eject(now)
        elif not failed and now > replica.ramp_from + RAMP_S:
            replica.ejections = 0

    def report(
        self,
        backend_id: str,
        in_use: int,
        queued: int,
        slots: int,
        age_s: float,
        now: float,
    ) -> None:
        """Take a load report as a hint.

        Parameters
        ----------
        backend_id : str
        in_use, queued : int
            Calls of all senders that run or wait there.
        slots : int
        age_s : float
            Age of the report in seconds.
        now : float
        """
        load = (in_use + queued) / max(1, slots)
        replica = self._replica(backend_id, now)
        replica.answered(now)
        replica.learn_report(load, now - age_s)

    def report_missed(
        self, backend_id: str, asked_at: float, now: float
    ) -> None:
        """Note that no answer came to a request for a report.

        Too few calls fail at a low rate for an ejection, and each of them
        waits for most of its deadline. A call that was answered meanwhile
        proves that only the report is missing.

        Parameters
        ----------
        backend_id : str
        asked_at : float
            When the report was asked for.
        now : float
        """
        replica = self._replica(backend_id, now)
        replica.unreachable = replica.answered_at < asked_at

    def ejected(self, backend_id: str, now: float) -> bool:
        """Tell whether a backend server gets no work while others can.

        Either its calls failed, or nothing of it was heard.
        """
        replica = self._replicas_by_id.get(backend_id)
        if replica is None:
            return False
        return replica.unreachable or now < replica.ejected_until

    def worth_using(
        self, backend_id: str, candidates: Sequence[str], now: float
    ) -> bool:
        """Tell whether a free replica beats waiting for a busy one.

        Parameters
        ----------
        backend_id : str
            A replica that could take a call at once.
        candidates : sequence of str
            The replicas that the work could wait for.
        now : float
        """
        latency_s = self._replica(backend_id, now).latency_s(now)
        return all(
            latency_s <= PATIENCE * self._replica(other, now).load(now)
            for other in candidates
            if other != backend_id
        )

    def forget(self, backend_id: str) -> None:
        """Drop a backend server that left the register."""
        self._replicas_by_id.pop(backend_id, None)

    def _replica(self, backend_id: str, now: float) -> _Replica:
        replica = self._replicas_by_id.get(backend_id)
        if replica is None:
            replica = _Replica(now)
            self._replicas_by_id[backend_id] = replica
        return replica

    def _slowest_s(self, replica: _Replica, now: float) -> float:
        """Return the longest latency of the peers of a replica."""
        return max(
            (
                self._replicas_by_id[peer].latency_s(now)
                for peer in replica.peers
                if peer in self._replicas_by_id
            ),
            default=INITIAL_LATENCY_S,
        )

    def _note_candidates(self, candidates: Sequence[str], now: float) -> None:
        for backend_id in candidates:
            replica = self._replica(backend_id, now)
            if now - replica.candidate_at > ABSENCE_S:
                replica.ramp_from = now
            replica.candidate_at = now
            replica.peers = tuple(candidates)

    def _warm(self, usable: list[str], now: float) -> list[str]:
        """Leave cold servers out at random, in proportion to their ramp."""
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
        """Draw in random order, since the first one wins a tie."""
        return self._random.sample(usable, min(2, len(usable)))

    def _should_eject(
        self, backend_id: str, replica: _Replica, now: float
    ) -> bool:
        if now < replica.ejected_until or not replica.over_error_limit():
            return False
        bound = replica.error_rate() * PEER_ERROR_FACTOR
        return any(
            self._replicas_by_id[peer].error_rate() < bound
            for peer in replica.peers
            if peer != backend_id
            and peer in self._replicas_by_id
            and not self.ejected(peer, now)
        )
