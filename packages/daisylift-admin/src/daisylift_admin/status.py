"""Exit statuses of the operators' command."""

import enum


class ExitStatus(enum.IntEnum):
    """How the program ended, as scripts see it."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    UNAVAILABLE = 5
