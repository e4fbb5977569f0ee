"""Standard output of a log that never blocks; owns the lines not yet written.

A reader that stops reading costs lines, which are counted, and never a
request. Writing goes on with the next line or the next `flush`, which the
process calls at intervals.
"""

import collections
import os
import stat

# About a minute of lines of a busy host.
MAX_WAITING_LINES = 2000
# A pipe takes 64 KB at once; a reader that is back has all lines after about
# a second. Without it they waited for further lines, two in 10 s.
FLUSH_INTERVAL_S = 0.05
_ENCODING = 'utf-8'


class LogOutput:
    """A text stream for log lines over a descriptor."""

    def __init__(self, descriptor: int) -> None:
        """Take a descriptor; a pipe or socket is made non-blocking."""
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or keep it until the reader is back."""
        if len(self._waiting) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        self._waiting.append(text.encode(_ENCODING, 'replace'))
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes."""
        while self._waiting:
            block = self._waiting.popleft()
            written = self._write_some(block)
            if written < len(block):
                self._waiting.appendleft(block[written:])
                return

    def take_dropped(self) -> int:
        """Return the number of lines lost since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def _write_some(self, block: bytes) -> int:
        try:
            return os.write(self._descriptor, block)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader is gone for good; there is nobody to tell.
            self.dropped += 1
            return len(block)
