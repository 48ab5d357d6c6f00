"""Limits the retries sent to a service, over all nodes together.

Load pattern: many backend servers fail or shed load at once, and each failure asks for
a retry. The limit is a share of the requests in a time window plus a fixed allowance.
Each node applies the share to its own requests, so the shares add up over all nodes;
the allowance is divided by the number of nodes. No messages are needed, so the limit
also holds for nodes that are cut off from each other.
"""

from collections import deque
from dataclasses import dataclass, field

SAFETY_SHARE = 0.85  # of the limit; nodes disagree slightly on where the window starts


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The limit over all nodes: ``ratio`` of the requests plus ``allowance``."""

    ratio: float
    allowance: float
    window_seconds: float


@dataclass(slots=True)
class _ServiceWindow:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def discard_before(self, moment: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < moment:
                times.popleft()


class RetryBudget:
    """One node's share of the retry limit, by service."""

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._windows_by_service: dict[str, _ServiceWindow] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request for the service."""
        self._window(service, now).requests.append(now)

    def take(self, service: str, nodes: int, now: float) -> bool:
        """Take one retry if the limit allows it; return whether it did."""
        window = self._window(service, now)
        share = self._limits.ratio * len(window.requests)
        allowance = self._limits.allowance / max(nodes, 1)
        if len(window.retries) + 1 > SAFETY_SHARE * (share + allowance):
            return False
        window.retries.append(now)
        return True

    def _window(self, service: str, now: float) -> _ServiceWindow:
        window = self._windows_by_service.setdefault(service, _ServiceWindow())
        window.discard_before(now - self._limits.window_seconds)
        return window
