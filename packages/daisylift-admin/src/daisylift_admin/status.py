"""Exit statuses of the operators' command."""

import enum


class ExitStatus(enum.IntEnum):
    """The exit status that the command returns to scripts."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    UNAVAILABLE = 5
