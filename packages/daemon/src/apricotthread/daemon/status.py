"""Exit statuses of the daemon."""

import enum


class ExitStatus(enum.IntEnum):
    """What the daemon's exit status says."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 64
    DAMAGED_DATA = 65
    SETTINGS = 78
