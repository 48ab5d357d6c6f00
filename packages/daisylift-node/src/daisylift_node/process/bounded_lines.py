"""A stream for log lines that never blocks and holds a bounded number of them."""

import os
from collections import deque

MAX_LINES = 4000  # about ten seconds of a busy entry VM
MAX_WRITE_BYTES = 64 * 1024  # what an empty pipe takes at once


class BoundedLines:
    """Keeps lines until the descriptor takes them; drops the newest when full."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._rest = b''
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Take a line."""
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(text.encode())

    def flush(self) -> None:
        """Do nothing: lines are written by drain, at a moment of its own."""

    async def drain(self) -> None:
        """Write what the descriptor takes without blocking."""
        while self._lines or self._rest:
            while self._lines and len(self._rest) < MAX_WRITE_BYTES:
                self._rest += self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._rest[:MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # Nobody is left to read the log, so nobody can be told.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._rest = b''
                return
            self._rest = self._rest[written:]
