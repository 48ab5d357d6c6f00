"""Exit statuses of the node."""

import enum


class ExitStatus(enum.IntEnum):
    """The exit status that the program returns to the operating system."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    SETTINGS = 3
