"""Decides which pipelined requests run before the ones ahead of them are answered.

Load pattern: callers send many requests on one connection, and the first one is slow or
waits for a slot. Running all of them one after the other would spend the time limits
of the later ones while servers are idle. Running all of them at once would let one
caller take all slots, and responses that wait for their turn would fill the memory.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_EARLY_PER_CONNECTION = 8
MAX_EARLY_PER_VM = 512
EARLY_MEMORY_SHARE = 0.05  # of the VM's memory, for responses that wait for their turn


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that has been read and whose turn has not come.

    ``may_run_early``: it may be repeated and has no body. ``is_last``: the caller wants
    the connection closed after it.
    """

    may_run_early: bool
    is_last: bool


def count_startable(
    current: QueuedRequest, queued: Iterable[QueuedRequest], limit: int
) -> int:
    """Return how many queued requests, from the first on, may run beside the current.

    All requests before an early one must be repeatable too: a request that follows
    another kind may depend on its effect.
    """
    if not current.may_run_early or current.is_last:
        return 0
    count = 0
    for request in queued:
        if count >= limit or not request.may_run_early:
            break
        count += 1
        if request.is_last:
            break
    return count


@dataclass(slots=True)
class EarlyRequests:
    """The early requests of one VM, and the bytes of responses that wait."""

    max_bytes: int
    max_requests: int = MAX_EARLY_PER_VM
    requests: int = 0
    waiting_bytes: int = 0

    def limit(self, started_on_connection: int) -> int:
        """Return how many requests of a connection may have been started in all."""
        if self.waiting_bytes >= self.max_bytes:
            return started_on_connection
        free = max(0, self.max_requests - self.requests)
        return min(MAX_EARLY_PER_CONNECTION, started_on_connection + free)

    def start(self) -> None:
        """Count a request that runs early."""
        self.requests += 1

    def hold(self, count: int) -> None:
        """Count the bytes of a response that waits for its turn."""
        self.waiting_bytes += count

    def end(self, waiting_bytes: int) -> None:
        """Release an early request and the bytes of its response."""
        self.requests -= 1
        self.waiting_bytes -= waiting_bytes
