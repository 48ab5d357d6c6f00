"""The environment of the program, replaced in tests."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(frozen=True, slots=True)
class Environment:
    """The streams, the environment variables and the name of the running program."""

    program: str = 'daisylift'
    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)

    @property
    def stdout_is_terminal(self) -> bool:
        """Return whether the output goes to a terminal."""
        return self.stdout.isatty()

    def print_error(self, message: str) -> None:
        """Write an error line to the error stream."""
        self.stderr.write(f'{self.program}: error: {message}\n')
