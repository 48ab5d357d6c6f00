"""Limits the memory used for buffered bodies on one entry VM.

Load pattern: many callers send long bodies at once, or read long responses slowly.
Without a limit, the process would be killed and all its requests lost. A request that
does not fit is refused before it is read.
"""

from dataclasses import dataclass

REQUEST_MEMORY_SHARE = 0.2  # of the VM's memory, for request bodies
RESPONSE_MEMORY_SHARE = 0.3  # same for responses in transit; the program needs the rest
UNSENT_MEMORY_SHARE = 0.1  # same for responses that callers have not taken yet


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

    @property
    def is_full(self) -> bool:
        """Return whether nothing more should be taken on."""
        return self.buffered >= self.limit

    def add(self, count: int) -> None:
        """Count bytes that are held already, whether they fit or not."""
        self.buffered += count

    def release(self, count: int) -> None:
        """Release reserved or counted bytes."""
        self.buffered -= count
