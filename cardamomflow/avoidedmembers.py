"""Hosts or backend servers that get no requests for a while; sans-I/O."""


class AvoidedMembers:
    """Members to avoid, each until a time of its own."""

    def __init__(self) -> None:
        self._until_by_id: dict[str, float] = {}

    def avoid(self, member_id: str, until: float, now: float) -> None:
        """Avoid a member until a time; a later time set before is kept."""
        self._until_by_id = {
            other_id: other_until
            for other_id, other_until in self._until_by_id.items()
            if other_until > now
        }
        previous = self._until_by_id.get(member_id, until)
        self._until_by_id[member_id] = max(previous, until)

    def is_avoided(self, member_id: str, now: float) -> bool:
        """Whether a member gets no requests now."""
        return self._until_by_id.get(member_id, now) > now

    def remove(self, member_id: str) -> None:
        """Stop avoiding a member."""
        self._until_by_id.pop(member_id, None)
