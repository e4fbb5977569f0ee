"""Rules by which a replica's availability zone counts in the choice; pure.

`replicas.ReplicaChooser` gets one of these with each choice.
"""

import abc

# A replica of another availability zone is chosen if its expected wait is this
# many times shorter. Traffic between zones costs the users money, and a zone
# that may be cut off should not depend on other zones.
REMOTE_FACTOR = 2


class Placement(abc.ABC):
    """Weighs the expected wait at a replica by its availability zone."""

    @abc.abstractmethod
    def cost(self, wait_s: float, *, is_near: bool) -> float:
        """Return the cost of a replica; the one with the lowest is chosen.

        Parameters
        ----------
        wait_s : float
            Expected wait at the replica in seconds.
        is_near : bool
            Whether the replica is in the availability zone of this process.
        """


class NearFirst(Placement):
    """Prefers the own zone unless the wait in another is much shorter."""

    def cost(self, wait_s: float, *, is_near: bool) -> float:
        """Multiply the wait in another zone by `REMOTE_FACTOR`."""
        return wait_s if is_near else wait_s * REMOTE_FACTOR


class ChosenZone(Placement):
    """Compares waits alone, where the zone was chosen before."""

    def cost(self, wait_s: float, *, is_near: bool) -> float:
        """Return the wait."""
        return wait_s


NEAR_FIRST = NearFirst()
CHOSEN_ZONE = ChosenZone()
