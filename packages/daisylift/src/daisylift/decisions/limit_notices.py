"""Selects the limits of backend servers that a node reports to its peers.

Load pattern: a few servers name limits, and nodes without a share in one hear nothing
from the server itself. Nodes report what they know in small messages, limits that have
changed first, then those reported longest ago.
"""

import math
from dataclasses import dataclass
from heapq import nsmallest

from daisylift.decisions.server_limits import MAX_NOTICE_AGE_SECONDS, ServerLimit


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """A limit that a server confirmed ``age_seconds`` ago, None if withdrawn."""

    incarnation_id: int
    per_second: float | None
    age_seconds: float


class LimitNotices:
    """The limits that this node knows of, by server incarnation."""

    def __init__(self) -> None:
        self._limits_by_incarnation: dict[int, ServerLimit] = {}
        self._reported_at_by_incarnation: dict[int, float] = {}

    def __bool__(self) -> bool:
        return bool(self._limits_by_incarnation)

    def put(self, incarnation_id: int, limit: ServerLimit) -> None:
        """Add a limit, or report a changed one first."""
        self._limits_by_incarnation[incarnation_id] = limit
        self._reported_at_by_incarnation[incarnation_id] = -math.inf

    def discard(self, incarnation_id: int) -> None:
        """Discard the limit of a server that is gone."""
        self._limits_by_incarnation.pop(incarnation_id, None)
        self._reported_at_by_incarnation.pop(incarnation_id, None)

    def take(self, count: int, now: float) -> list[LimitNotice]:
        """Return up to ``count`` notices for one message."""
        self._discard_withdrawn(now)
        recent = [
            incarnation_id
            for incarnation_id, limit in self._limits_by_incarnation.items()
            if now - limit.heard_at <= MAX_NOTICE_AGE_SECONDS
        ]
        chosen = nsmallest(count, recent, key=self._reported_at_by_incarnation.get)
        notices = []
        for incarnation_id in chosen:
            limit = self._limits_by_incarnation[incarnation_id]
            age_seconds = now - limit.heard_at
            notices.append(LimitNotice(incarnation_id, limit.per_second, age_seconds))
            self._reported_at_by_incarnation[incarnation_id] = now
        return notices

    def _discard_withdrawn(self, now: float) -> None:
        for incarnation_id, limit in list(self._limits_by_incarnation.items()):
            is_old = now - limit.adopted_at > MAX_NOTICE_AGE_SECONDS
            if limit.per_second is None and is_old:
                self.discard(incarnation_id)
