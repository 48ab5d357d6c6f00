"""Bounds the additional arrivals at a service, over all nodes together.

Load pattern: many backend servers fail or shed at once, and each failure asks for
another try. The bound is a share of the requests in a window and a fixed allowance.
Shares add up over nodes by themselves, as each node takes its share of its own
requests; the allowance is divided by the number of nodes. No messages are needed, so
the bound also holds for nodes that are cut off from each other.
"""

from collections import deque
from dataclasses import dataclass, field

SAFETY_SHARE = 0.85  # of the bound: nodes disagree a little on window edges


@dataclass(frozen=True, slots=True)
class RetryTerms:
    """The bound over all nodes."""

    ratio: float
    allowance: float
    window_seconds: float


@dataclass(slots=True)
class _ServiceWindow:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def forget_before(self, moment: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < moment:
                times.popleft()


class RetryBudget:
    """The part of one node in the retry bound, by service."""

    def __init__(self, terms: RetryTerms) -> None:
        self._terms = terms
        self._windows_by_service: dict[str, _ServiceWindow] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request for the service."""
        self._window(service, now).requests.append(now)

    def take(self, service: str, nodes: int, now: float) -> bool:
        """Spend one repeat if the bound allows it; say whether it was spent."""
        window = self._window(service, now)
        share = self._terms.ratio * len(window.requests)
        allowance = self._terms.allowance / max(nodes, 1)
        if len(window.repeats) + 1 > SAFETY_SHARE * (share + allowance):
            return False
        window.repeats.append(now)
        return True

    def _window(self, service: str, now: float) -> _ServiceWindow:
        window = self._windows_by_service.setdefault(service, _ServiceWindow())
        window.forget_before(now - self._terms.window_seconds)
        return window
