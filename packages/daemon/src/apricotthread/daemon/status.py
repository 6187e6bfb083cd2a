"""Exit statuses of the daemon."""

import enum


class ExitStatus(enum.IntEnum):
    """The exit statuses of the daemon and their meaning."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 64
    DAMAGED_DATA = 65
    SETTINGS = 78
