"""Tracks the request rate that a backend server asks all nodes together to stay within.

Load pattern: a server under stress names a limit in its responses, far below the rate
that placement would send to it, and raises, lowers and withdraws it as its load
changes. Responses and notices of peers overtake each other. A lower limit counts at
once; a response raises or withdraws a limit only if its request was sent after the
current limit had been adopted, and a notice only if it is clearly newer.
"""

import math
from dataclasses import dataclass

from daisylift.decisions.limit_shares import LimitShare

BURST_SECONDS = 0.25  # unused rate that may be sent at once
MAX_NOTICE_AGE_SECONDS = 20.0
NOTICE_ORDER_SECONDS = 1.0  # ages of notices grow too little on the way and in a freeze


@dataclass(slots=True)
class ServerLimit:
    """The limit of one server incarnation, in requests per second, None without one.

    ``adopted_at`` is when this node adopted the current value, and ``heard_at`` when
    the server last confirmed it to any node.
    """

    per_second: float | None = None
    adopted_at: float = -math.inf
    heard_at: float = -math.inf
    _tokens: float = 0.0
    _refilled_at: float = 0.0
    _sent_at: float = -math.inf

    def record_response(
        self, per_second: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the limit in a response, None without one; return whether it changed.

        ``sent_at`` is when the request of the response was sent.
        """
        if per_second == self.per_second:
            if self.adopted_at > -math.inf:
                self.heard_at = now
            return False
        if sent_at <= self.adopted_at and not self._is_lower(per_second):
            return False
        self._adopt(per_second, now, now)
        return True

    def record_notice(
        self, per_second: float | None, age_seconds: float, now: float
    ) -> bool:
        """Record a limit that a peer heard of; return whether it changed.

        ``age_seconds`` is how long ago the server confirmed the limit.
        """
        heard_at = now - age_seconds
        if age_seconds > MAX_NOTICE_AGE_SECONDS or heard_at <= self.heard_at:
            return False
        if per_second == self.per_second:
            self.heard_at = heard_at
            return False
        if not self._is_lower(per_second) and (
            heard_at < self.heard_at + NOTICE_ORDER_SECONDS
        ):
            return False
        self._adopt(per_second, heard_at, now)
        return True

    def has_capacity(self, share: LimitShare, now: float) -> bool:
        """Return whether this node may send the server a request now."""
        if not share.per_second:
            unheard_since = max(self.heard_at, self._sent_at)
            return now - unheard_since >= share.probe_seconds
        self._refill(share, now)
        return self._tokens >= 1.0

    def record_send(self, share: LimitShare, now: float) -> None:
        """Count a request sent to the server."""
        self._sent_at = now
        if share.per_second:
            self._refill(share, now)
            self._tokens -= 1.0

    def _adopt(self, per_second: float | None, heard_at: float, now: float) -> None:
        if self.per_second is None:
            self._tokens = 0.0
            self._refilled_at = now
        self.per_second = per_second
        self.adopted_at = now
        self.heard_at = heard_at

    def _refill(self, share: LimitShare, now: float) -> None:
        capacity = max(1.0, share.per_second * BURST_SECONDS)
        refilled = self._tokens + share.per_second * (now - self._refilled_at)
        self._tokens = min(capacity, refilled)
        self._refilled_at = now

    def _is_lower(self, per_second: float | None) -> bool:
        if per_second is None:
            return False
        return self.per_second is None or per_second < self.per_second
