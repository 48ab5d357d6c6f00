"""Limits the request rate at a backend server that has just started.

Load pattern: a failure domain comes back cold and every node sees idle servers at the
same time. Each node uses an equal share of the rate that a cold server can take, so
the limit holds over all nodes without messages, even if some are cut off. If there are
more nodes than requests in the limit, an equal share would be less than one request.
In that case as many nodes as the limit has requests are selected by hash, separately
for each server, and all other nodes send nothing to the server while it is cold.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

WINDOW_SECONDS = 1.0
SAFETY_SHARE = 0.8  # of the limit; requests bunch up on their way to the server


@dataclass(frozen=True, slots=True)
class ColdStartLimits:
    """How far all nodes together may exceed the sustainable rate of a cold server.

    The limit is the rate times ``multiplier`` plus ``slack``, in requests per second.
    """

    multiplier: float
    slack: float


@dataclass(slots=True)
class ColdStartLimiter:
    """The recent requests of this node, ``local_name``, to cold servers by id."""

    limits: ColdStartLimits
    local_name: str
    _sends_by_id: dict[str, deque[float]] = field(default_factory=dict)
    _node_names: Sequence[str] = ()
    _is_selected_by_id: dict[str, bool] = field(default_factory=dict)

    def has_capacity(
        self, server_id: str, per_second: float, node_names: Sequence[str], now: float
    ) -> bool:
        """Return whether another request may be sent to the cold server now.

        ``node_names`` are all nodes that share the limit. Callers must pass a new
        sequence object when the nodes change; changes are detected by identity.
        """
        limit = self._safe_limit(per_second)
        share = limit / max(len(node_names), 1)
        if share < 1.0 and not self._is_selected(server_id, node_names, limit):
            return False
        sends = self._sends_by_id.get(server_id)
        if sends is None:
            return True
        while sends and sends[0] <= now - WINDOW_SECONDS:
            sends.popleft()
        return len(sends) + 1 <= max(1.0, share)

    def entering_nodes(
        self, server_id: str, per_second: float, node_names: Sequence[str]
    ) -> int:
        """Return how many nodes may send to the cold server; 0 if this one may not."""
        limit = self._safe_limit(per_second)
        if limit >= len(node_names):
            return len(node_names)
        if not self._is_selected(server_id, node_names, limit):
            return 0
        return max(1, int(limit))

    def _safe_limit(self, per_second: float) -> float:
        limit = per_second * self.limits.multiplier + self.limits.slack
        return SAFETY_SHARE * limit

    def _is_selected(
        self, server_id: str, node_names: Sequence[str], limit: float
    ) -> bool:
        if node_names is not self._node_names:
            self._node_names = node_names
            self._is_selected_by_id.clear()
        selected = self._is_selected_by_id.get(server_id)
        if selected is None:
            own_rank = _rank(server_id, self.local_name)
            before = sum(_rank(server_id, name) < own_rank for name in node_names)
            selected = self._is_selected_by_id[server_id] = before < max(1, int(limit))
        return selected

    def record_send(self, server_id: str, now: float) -> None:
        """Record a request sent to a cold server."""
        self._sends_by_id.setdefault(server_id, deque()).append(now)

    def discard(self, server_id: str) -> None:
        """Discard the state of a server that is gone."""
        self._sends_by_id.pop(server_id, None)
        self._is_selected_by_id.pop(server_id, None)


def _rank(server_id: str, name: str) -> int:
    return xxh3_64_intdigest(f'{server_id}/{name}'.encode())
