"""Exit statuses of all programs; owns no state."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a program, documented in `docs/errors.md`."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN_OUTCOME = 6
    INTERRUPTED = 130
