"""Bounds the memory that bodies may hold on one entry VM.

Load pattern: many callers send long bodies at once, or servers send answers that do not
end; without a bound the process would be killed and lose every request on it. A
request that does not fit is refused before it is read, and an answer that does not fit
is broken off.
"""

from dataclasses import dataclass

BODY_SHARE = 0.2  # of the VM's memory, for requests
ANSWER_SHARE = 0.3  # the same for answers under way; the program needs the rest


@dataclass(slots=True)
class HeldBytes:
    """Counts the bytes of bodies that are held."""

    limit: int
    held: int = 0

    def take(self, count: int) -> bool:
        """Hold the bytes if they fit; a single body always fits an idle VM."""
        if count and self.held and self.held + count > self.limit:
            return False
        self.held += count
        return True

    def release(self, count: int) -> None:
        """Give the bytes back."""
        self.held -= count
