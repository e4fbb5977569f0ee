"""Memory limit for the incomplete bodies that a process receives; sans-I/O."""

from collections.abc import Hashable
from typing import Generic, TypeVar

# A host may use 200 MB of memory and uses about 60 MB without load.
MAX_HELD_BYTES = 33_554_432

HolderT = TypeVar('HolderT', bound=Hashable)


class BodyBudget(Generic[HolderT]):
    """Bytes of incomplete bodies by sender and connection.

    When the limit is passed, the sender with the most bytes loses its longest
    body: endless bodies of some senders do not cost others their answers.

    Parameters
    ----------
    limit_bytes : int
        Limit for the bodies of all senders together.

    Attributes
    ----------
    held_bytes : int
        Size of all incomplete bodies.
    """

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._bytes_by_holder_by_sender: dict[str, dict[HolderT, int]] = {}
        self._bytes_by_sender: dict[str, int] = {}

    def add(self, sender: str, holder: HolderT, size: int) -> list[HolderT]:
        """Count received bytes.

        Parameters
        ----------
        sender : str
        holder : HolderT
            Connection that received them.
        size : int
            Number of bytes.

        Returns
        -------
        list
            Connections that must be closed; their bodies no longer count.
        """
        bytes_by_holder = self._bytes_by_holder_by_sender.setdefault(sender, {})
        bytes_by_holder[holder] = bytes_by_holder.get(holder, 0) + size
        self._bytes_by_sender[sender] = (
            self._bytes_by_sender.get(sender, 0) + size
        )
        self.held_bytes += size
        evicted = []
        while self.held_bytes > self._limit_bytes:
            evicted.append(self._evict())
        return evicted

    def release(self, sender: str, holder: HolderT) -> None:
        """Stop counting the body of a connection, if it is counted."""
        bytes_by_holder = self._bytes_by_holder_by_sender.get(sender, {})
        size = bytes_by_holder.pop(holder, 0)
        self.held_bytes -= size
        if bytes_by_holder:
            self._bytes_by_sender[sender] -= size
        else:
            self._bytes_by_holder_by_sender.pop(sender, None)
            self._bytes_by_sender.pop(sender, None)

    def _evict(self) -> HolderT:
        sender = max(
            self._bytes_by_sender, key=self._bytes_by_sender.__getitem__
        )
        bytes_by_holder = self._bytes_by_holder_by_sender[sender]
        holder = max(bytes_by_holder, key=bytes_by_holder.__getitem__)
        self.release(sender, holder)
        return holder
