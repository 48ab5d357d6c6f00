"""Tracks the request rate that a backend server asks all nodes together to stay within.

A server under stress names a limit in its responses for as long as it applies.
Responses overtake each other, so one that raises or withdraws a limit counts only if
its request was sent after the current limit had been adopted. A lower limit counts at
once.
"""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class ServerLimit:
    """The limit of one server incarnation, in requests per second, None without one.

    ``adopted_at`` is when this node adopted the current value, and ``heard_at`` when
    the server last confirmed it.
    """

    per_second: float | None = None
    adopted_at: float = -math.inf
    heard_at: float = -math.inf

    def record_response(
        self, per_second: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the limit in a response, None without one; return whether it changed.

        ``sent_at`` is when the request of the response was sent.
        """
        if per_second == self.per_second:
            if per_second is not None:
                self.heard_at = now
            return False
        if sent_at <= self.adopted_at and not self._is_lower(per_second):
            return False
        self.per_second = per_second
        self.adopted_at = self.heard_at = now
        return True

    def _is_lower(self, per_second: float | None) -> bool:
        if per_second is None:
            return False
        return self.per_second is None or per_second < self.per_second
