"""The environment of the program, replaced in tests."""

import sys
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(frozen=True, slots=True)
class Environment:
    """The streams and the name of the running program."""

    program: str = 'daisyliftd'
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)

    def print_error(self, message: str) -> None:
        """Write an error line to the error stream."""
        self.stderr.write(f'{self.program}: error: {message}\n')
