"""Changes of stored documents that a ledger plans; sans-I/O.

An intent inspects a view of its document and decides to write it, to delete
it, to read it first, to wait, or that nothing is left to do. Intents on the
same document share one write. If the response to a write is lost, each intent
decides again on the next view and detects its own change by its token.
"""

import abc
import enum
from collections.abc import Sequence
from typing import NamedTuple

from cardamomflow import claims, ledgereffects


class Verdict(enum.Enum):
    """What an intent needs next."""

    WRITE = enum.auto()
    DONE = enum.auto()
    READ = enum.auto()
    WAIT = enum.auto()
    DELETE = enum.auto()


class Decision(NamedTuple):
    """Next step of an intent, and the effects of its decision.

    Attributes
    ----------
    verdict : Verdict
    effects : tuple
        Applied at once, or for `WRITE` when the write is confirmed.
    """

    verdict: Verdict
    effects: tuple[ledgereffects.Effect, ...] = ()


DONE = Decision(Verdict.DONE)
READ = Decision(Verdict.READ)
WRITE = Decision(Verdict.WRITE)


class View:
    """State of a document on which intents decide.

    Attributes
    ----------
    document : dict
        Intents that write change it in place.
    size : int
        Approximate stored size in bytes, with the changes so far.
    revision : int
        0 when the key is absent.
    call_number : int
        Number of the platform call that returned the document.
    now : float
        Monotonic seconds.
    unix_time : float
        Unix seconds.
    listable : bool
        Whether the minute was added to the index after this revision was
        read, so that accepted claims may be written.
    """

    def __init__(
        self,
        document: claims.Document,
        size: int,
        revision: int,
        call_number: int,
    ) -> None:
        self.document = document
        self.size = size
        self.revision = revision
        self.call_number = call_number
        self.now: float = 0
        self.unix_time: float = 0
        self.listable = False

    def put(self, member: str, record: claims.Record) -> None:
        """Add or replace a claim."""
        self.document[member] = record.encode()
        # Payload and result are stored as base64.
        content = len(record.payload) + len(record.result)
        self.size += claims.RECORD_BYTES + content * 4 // 3


class Intent(abc.ABC):
    """One change or one lookup of one document."""

    def __init__(self, key: str, ready_at: float = 0) -> None:
        """Delay the change until `ready_at` to share a write with others."""
        self.key = key
        self.ready_at = ready_at
        # Number of the ledger's last platform call when the intent was added.
        self.added_after_call = 0
        # Revision that a write of this intent without a response expected.
        # While the document has this revision, the write may take effect.
        self.lost_write_revision: int | None = None

    @abc.abstractmethod
    def decide(self, view: View) -> Decision:
        """Decide on the document, and change it if a write is needed."""

    def on_unavailable(self) -> tuple[ledgereffects.Effect, ...] | None:
        """Return the effects when the platform is down, None to retry."""
        return None

    def is_urgent(self) -> bool:
        """Whether a caller or an outcome waits for the platform call."""
        return True

    def may_write(self) -> bool:
        """Whether the intent may need a write and not only a read."""
        return True

    def is_repeated_in(self, pending: Sequence['Intent']) -> bool:
        """Whether a pending intent makes this one redundant."""
        return False

    def on_send(self, now: float) -> None:
        """Record that a write with this change is sent now."""

    def is_fresh(self, view: View) -> bool:
        """Whether the view was read after this intent was added."""
        return view.call_number > self.added_after_call
