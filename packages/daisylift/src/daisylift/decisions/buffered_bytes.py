"""Limits the memory used for buffered bodies of requests on one entry VM.

Load pattern: many callers send long bodies at once. Without a limit, the process would
be killed and all its requests lost. A request that does not fit is refused before it is
read.
"""

from dataclasses import dataclass

REQUEST_MEMORY_SHARE = 0.2  # of the VM's memory, for request bodies
RESPONSE_MEMORY_SHARE = 0.3  # same for responses in transit; the program needs the rest


@dataclass(slots=True)
class BufferedBytes:
    """Counts the bytes of buffered bodies."""

    limit: int
    buffered: int = 0

    def reserve(self, count: int) -> bool:
        """Reserve the bytes if they fit; a single body always fits on an idle VM."""
        if count and self.buffered and self.buffered + count > self.limit:
            return False
        self.buffered += count
        return True

    def release(self, count: int) -> None:
        """Release reserved bytes."""
        self.buffered -= count
