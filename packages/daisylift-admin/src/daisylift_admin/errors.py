"""Errors of the operators' command."""

from daisylift.errors import DaisyliftError
from daisylift_admin.status import ExitStatus


class AdminError(DaisyliftError):
    """A command failed; has the exit status to return."""

    def __init__(self, message: str, status: ExitStatus = ExitStatus.ERROR) -> None:
        super().__init__(message)
        self.status = status
