"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """What the exit status says; 64 and above follow sysexits."""

    SUCCESS = 0
    FAILURE = 1
    REFUSED = 2
    CONFLICT = 3
    NOT_IN_FORCE_YET = 4
    UNKNOWN_OUTCOME = 5
    USAGE = 64
    UNREACHABLE = 69
    SETTINGS = 78
    INTERRUPTED = 130
