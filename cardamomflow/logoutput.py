"""Non-blocking output of log lines; owns the lines that are not yet written.

If the reader of the output stops, lines are dropped and counted, but no request
is delayed. Writing resumes with the next line or the next `flush`, which the
process calls at intervals.
"""

import collections
import os
import stat

# About a minute of lines of a busy host.
MAX_QUEUED_LINES = 2000
# A pipe accepts 64 KB at once, so that a reader that resumes gets all queued
# lines within about a second. Without this flush they would wait for further
# log lines, of which a process may write only two in 10 s.
FLUSH_INTERVAL_S = 0.05
_ENCODING = 'utf-8'


class LogOutput:
    """Text stream that writes log lines to a file descriptor.

    Attributes
    ----------
    dropped : int
        Lines lost since the last `take_dropped`.
    """

    def __init__(self, descriptor: int) -> None:
        """Create the stream; a pipe or socket is made non-blocking."""
        self._descriptor = descriptor
        self._queued: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, queue it while the reader is slow, or drop it."""
        if len(self._queued) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._queued.append(text.encode(_ENCODING, 'replace'))
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the output accepts no more."""
        while self._queued:
            block = self._queued.popleft()
            written = self._write_some(block)
            if written < len(block):
                self._queued.appendleft(block[written:])
                return

    def take_dropped(self) -> int:
        """Return the number of lines lost since the last call; reset it."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def _write_some(self, block: bytes) -> int:
        try:
            return os.write(self._descriptor, block)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has closed the output, so the error can't be logged.
            self.dropped += 1
            return len(block)
