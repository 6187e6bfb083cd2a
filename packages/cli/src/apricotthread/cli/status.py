"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a command.

    64 to 78 follow sysexits.h; 130 is the usual status after SIGINT.
    """

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
