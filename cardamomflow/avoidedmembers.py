"""Members that get no requests for a while; sans-I/O.

Owns the times until which hosts or backend servers get nothing.
"""


class AvoidedMembers:
    """Members that are avoided, by id."""

    def __init__(self) -> None:
        """Start without any."""
        self._until_by_id: dict[str, float] = {}

    def avoid(self, member_id: str, until: float, now: float) -> None:
        """Avoid a member until a time, or until a later one set before."""
        self._until_by_id = {
            known_id: known
            for known_id, known in self._until_by_id.items()
            if known > now
        }
        known = self._until_by_id.get(member_id, until)
        self._until_by_id[member_id] = max(known, until)

    def is_avoided(self, member_id: str, now: float) -> bool:
        """Whether a member gets nothing now."""
        return self._until_by_id.get(member_id, now) > now

    def forget(self, member_id: str) -> None:
        """Avoid a member no longer."""
        self._until_by_id.pop(member_id, None)
