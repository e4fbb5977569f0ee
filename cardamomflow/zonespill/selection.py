"""Which backend servers one attempt of a dispatcher may go to; sans-I/O.

Translates the state of a request into a query of the policy. Holds no figures.
"""

import math
from collections.abc import Collection, Iterable, Sequence

from cardamomflow import directory, occupancy, replicas, requeststate
from cardamomflow.zonespill import placement, policy

# Part of the target for which a backend server may be silent before it counts
# as paused. Work that waits for longer would need a hedge, which the budget of
# extra attempts limits.
STALL_SHARE = 0.15


class ZoneSelection:
    """Asks the policy of a host for its attempts.

    Attributes
    ----------
    policy : policy.Policy
    """

    def __init__(
        self,
        backends: directory.Directory,
        own_zone: str,
        chooser: replicas.ReplicaChooser,
        zone_policy: policy.Policy,
    ) -> None:
        self.policy = zone_policy
        self._directory = backends
        self._own_zone = own_zone
        self._chooser = chooser

    def prefer_accepting(
        self,
        limits: occupancy.Occupancy,
        backend_ids: list[str],
        now: float,
    ) -> list[str]:
        """Return the backend servers that did not refuse recently, or all.

        With an active policy each zone is taken by itself. Refusals of all
        servers at home would otherwise move all work to another zone for as
        long as they are avoided.
        """
        if not self.policy.is_active:
            return limits.prefer_accepting(backend_ids, now)
        return [
            backend_id
            for in_zone in self._directory.by_zone(backend_ids).values()
            for backend_id in limits.prefer_accepting(in_zone, now)
        ]

    def choose(
        self,
        subrequest: requeststate.Subrequest,
        candidates: Iterable[str],
        available: Sequence[str],
        now: float,
        *,
        is_hedge: bool = False,
    ) -> policy.Choice:
        """Return the backend servers that an attempt may go to now.

        Parameters
        ----------
        subrequest : requeststate.Subrequest
        candidates : iterable of str
            Backend servers that may get the attempt, free or not.
        available : sequence of str
            Those with a free place for this host.
        now : float
        is_hedge : bool
        """
        if not self.policy.is_active:
            return policy.Choice(policy.Decision.HOME, available)
        at_home = self._directory.in_zone(candidates, self._own_zone)
        work = subrequest.work
        # A hedge is the answer to a pause already.
        patience_s = math.inf if is_hedge else STALL_SHARE * work.route.target_s
        choice = self.policy.decide(
            policy.Query(
                subrequest.service,
                work.rank,
                work.answer_at,
                work.deadline,
                is_first=not subrequest.attempts and not subrequest.is_queued,
                is_queued=subrequest.is_queued,
                is_hedge=is_hedge,
                is_counted=subrequest.exceeds_zone,
                lone_wait_s=self._lone_wait_s(subrequest.service, at_home, now),
            ),
            self._directory.by_zone(available),
            now,
            has_home=not all(
                self._chooser.is_ejected(backend_id, now)
                or self._chooser.is_stalled(backend_id, patience_s, now)
                for backend_id in at_home
            ),
        )
        subrequest.exceeds_zone |= choice.exceeds_zone
        return choice

    def _lone_wait_s(
        self, service: str, at_home: Collection[str], now: float
    ) -> float | None:
        """Return the expected wait at the only server of the own zone.

        A zone with several servers of which one is left for this attempt is
        not meant: its other work can still go around a pause.
        """
        if len(at_home) != 1:
            return None
        usable = self._directory.in_zone(
            self._directory.usable(service), self._own_zone
        )
        if len(usable) != 1:
            return None
        (backend_id,) = at_home
        return self._chooser.expected_wait_s(backend_id, now)

    def draw(self, choice: policy.Choice, now: float) -> str | None:
        """Return one of the backend servers of a choice, None if it waits."""
        near = self._directory.in_zone(choice.backend_ids, self._own_zone)
        zone_placement: placement.Placement = placement.NEAR_FIRST
        if choice.decision is policy.Decision.OVERFLOW:
            zone_placement = placement.CHOSEN_ZONE
        return self._chooser.choose(
            choice.backend_ids, now, near=near, zone_placement=zone_placement
        )
