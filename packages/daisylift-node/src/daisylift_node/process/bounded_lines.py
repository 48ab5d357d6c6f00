"""A non-blocking stream for log lines with a bounded buffer."""

import os
from collections import deque

MAX_LINES = 4000  # about 10 s of log lines of a busy entry VM
MAX_WRITE_BYTES = 4096  # PIPE_BUF: writes up to this size to a pipe are atomic


class BoundedLines:
    """Buffers lines until the descriptor accepts them; drops new lines when full."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b''
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Buffer a line, or drop and count it when the buffer is full."""
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(text.encode())

    def flush(self) -> None:
        """Do nothing: lines are written by drain(), which is called periodically."""

    async def drain(self) -> None:
        """Write as many lines as the descriptor accepts without blocking."""
        while self._lines or self._unwritten:
            self._unwritten = self._unwritten or self._next_lines()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader of the log is gone, so the error can't be logged either.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]

    def _next_lines(self) -> bytes:
        """Return complete lines for one write; an over-long line is written alone."""
        lines = [self._lines.popleft()]
        size = len(lines[0])
        while self._lines and size + len(self._lines[0]) <= MAX_WRITE_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        return b''.join(lines)
