"""Changes that a ledger wants to make to a stored document; sans-I/O.

An intent looks at a view of the document and decides: write, done without
a write, read first, or wait. Intents on one document share a write. After a
lost response each intent decides anew on the next view, so every intent
recognizes its own effect by its token.
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
    """What an intent needs, and what follows.

    Attributes
    ----------
    verdict : Verdict
    following : tuple
        Follow at once, or with `WRITE` when the write is confirmed.
    """

    verdict: Verdict
    following: tuple[ledgereffects.Effect, ...] = ()


DONE = Decision(Verdict.DONE)
READ = Decision(Verdict.READ)
WRITE = Decision(Verdict.WRITE)


class View:
    """A document as an intent sees it.

    Attributes
    ----------
    document : dict
        Changed in place by intents that write.
    size : int
        Approximate stored bytes, with the changes so far.
    revision : int
        0 when the key is absent.
    started : int
        Number of the call that returned the document.
    now : float
        Monotonic seconds.
    unix_time : float
    listable : bool
        The minute entered the index after this revision was read.
    """

    def __init__(
        self,
        document: claims.Document,
        size: int,
        revision: int,
        started: int,
    ) -> None:
        """Take a document that may be changed."""
        self.document = document
        self.size = size
        self.revision = revision
        self.started = started
        self.now: float = 0
        self.unix_time: float = 0
        self.listable = False

    def put(self, member: str, record: claims.Record) -> None:
        """Change a claim."""
        self.document[member] = record.encode()
        # Payload and result are stored as base64.
        content = len(record.payload) + len(record.result)
        self.size += claims.RECORD_BYTES + content * 4 // 3


class Intent(abc.ABC):
    """One change, or one question, to one document."""

    def __init__(self, key: str, ready_at: float = 0) -> None:
        """Let the change wait for others until `ready_at`."""
        self.key = key
        self.ready_at = ready_at
        # Number of the ledger's last call when the intent was added.
        self.arrived = 0
        # Revision that a lost write of this intent expected; while the
        # document has it, the write may still take effect.
        self.lost_at: int | None = None

    @abc.abstractmethod
    def decide(self, view: View) -> Decision:
        """Look at the document and change it if a write is needed."""

    def unavailable(self) -> tuple[ledgereffects.Effect, ...] | None:
        """Return what follows when the platform is down, None to retry."""
        return None

    def is_urgent(self) -> bool:
        """Whether a caller or an outcome waits for the call."""
        return True

    def may_write(self) -> bool:
        """Whether a write may be needed, as opposed to an answer only."""
        return True

    def is_repeated_in(self, pending: Sequence['Intent']) -> bool:
        """Whether an intent that waits already does the same."""
        return False

    def sending(self, now: float) -> None:
        """Note that a write with this change leaves now."""

    def seen_after_arrival(self, view: View) -> bool:
        """Whether the view is newer than the question."""
        return view.started > self.arrived
