"""Bounds the rate of requests at a backend server that has just started.

Load pattern: a failure domain comes back cold and every node sees idle servers at
once. Each node takes an equal part of the rate that a cold server bears, so the bound
holds over all nodes without messages, also when some are cut off. Where there are more
nodes than requests in the bound, a part would be less than one request: then the bound
is dealt to as many nodes as it has requests, to others for each server, and the rest
leave the server alone while it is cold.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

WINDOW_SECONDS = 1.0
SAFETY_SHARE = 0.8  # of the bound: arrivals bunch up on the way to the server


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """How far the rate that a cold server bears may be exceeded, over all nodes."""

    multiplier: float
    slack: float


@dataclass(slots=True)
class ColdRate:
    """The recent sends of the node ``own`` to cold servers, by server id."""

    terms: ColdTerms
    own: str
    _sends_by_id: dict[str, deque[float]] = field(default_factory=dict)
    _names: Sequence[str] = ()
    _is_dealt_by_id: dict[str, bool] = field(default_factory=dict)

    def has_room(
        self, server_id: str, per_second: float, names: Sequence[str], now: float
    ) -> bool:
        """Say whether another request may be sent to the cold server now.

        ``names`` are all nodes that share the bound; a change makes it a new object.
        """
        bound = per_second * self.terms.multiplier + self.terms.slack
        share = SAFETY_SHARE * bound / max(len(names), 1)
        if share < 1.0 and not self._is_dealt(server_id, names, SAFETY_SHARE * bound):
            return False
        sends = self._sends_by_id.get(server_id)
        if sends is None:
            return True
        while sends and sends[0] <= now - WINDOW_SECONDS:
            sends.popleft()
        return len(sends) + 1 <= max(1.0, share)

    def _is_dealt(self, server_id: str, names: Sequence[str], bound: float) -> bool:
        if names is not self._names:
            self._names = names
            self._is_dealt_by_id.clear()
        dealt = self._is_dealt_by_id.get(server_id)
        if dealt is None:
            mine = _rank(server_id, self.own)
            before = sum(_rank(server_id, name) < mine for name in names)
            dealt = self._is_dealt_by_id[server_id] = before < max(1, int(bound))
        return dealt

    def note_send(self, server_id: str, now: float) -> None:
        """Count a request that is sent to a cold server."""
        self._sends_by_id.setdefault(server_id, deque()).append(now)

    def forget(self, server_id: str) -> None:
        """Drop what is known of a server that is gone."""
        self._sends_by_id.pop(server_id, None)
        self._is_dealt_by_id.pop(server_id, None)


def _rank(server_id: str, name: str) -> int:
    return xxh3_64_intdigest(f'{server_id}/{name}'.encode())
