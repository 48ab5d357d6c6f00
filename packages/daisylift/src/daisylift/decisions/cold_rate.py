"""Bounds the rate of requests at a backend server that has just started.

Load pattern: a failure domain comes back cold and every node sees idle servers at
once. Each node takes an equal part of the rate that a cold server bears, so the bound
holds over all nodes without messages, also when some are cut off.
"""

from collections import deque
from dataclasses import dataclass, field

WINDOW_SECONDS = 1.0
SAFETY_SHARE = 0.8  # of the bound: arrivals bunch up on the way to the server


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """How far the rate that a cold server bears may be exceeded, over all nodes."""

    multiplier: float
    slack: float


@dataclass(slots=True)
class ColdRate:
    """The recent sends of this node to cold servers, by server id."""

    terms: ColdTerms
    _sends_by_id: dict[str, deque[float]] = field(default_factory=dict)

    def has_room(
        self, server_id: str, per_second: float, nodes: int, now: float
    ) -> bool:
        """Say whether another request may be sent to the cold server now."""
        sends = self._sends_by_id.get(server_id)
        if sends is None:
            return True
        while sends and sends[0] <= now - WINDOW_SECONDS:
            sends.popleft()
        bound = per_second * self.terms.multiplier + self.terms.slack
        return len(sends) + 1 <= max(1.0, SAFETY_SHARE * bound / max(nodes, 1))

    def note_send(self, server_id: str, now: float) -> None:
        """Count a request that is sent to a cold server."""
        self._sends_by_id.setdefault(server_id, deque()).append(now)

    def forget(self, server_id: str) -> None:
        """Drop what is known of a server that is gone."""
        self._sends_by_id.pop(server_id, None)
