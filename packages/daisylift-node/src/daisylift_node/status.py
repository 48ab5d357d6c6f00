"""Exit statuses of the node."""

import enum


class ExitStatus(enum.IntEnum):
    """How the program ended, as the operating system sees it."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    SETTINGS = 3
