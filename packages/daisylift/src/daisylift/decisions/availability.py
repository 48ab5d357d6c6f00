"""Decides from a server's own answers whether it takes requests.

Load pattern: servers leave while the store is silent or still lists them as ready, and
overloaded servers turn many nodes away for the same seconds. What a server says holds
for one start of it, whatever the store says. After a pause all nodes may come back at
the same moment: each begins at a time of its own, the later the more nodes there are,
and with one request until the server has run one.
"""

import enum
import math
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

RETURN_SECONDS_PER_NODE = 0.02  # 50 first requests per second from all nodes together
MAX_RETURN_SECONDS = 5.0
RETRY_SPREAD_SHARE = 0.25  # of the time until a server takes requests again
MIN_RETRY_SPREAD_SECONDS = 0.2
MAX_STARTS = 8192  # whose statements are remembered


class Exclusion(enum.Enum):
    """Why a server is not eligible for a request now."""

    DISPLACED = 'displaced'  # another server has its address
    UNREACHABLE = 'unreachable'
    LEAVING = 'leaving'  # it said so in an answer
    PAUSED = 'paused'  # it wants nothing from this node for a while


@dataclass(slots=True)
class Availability:
    """What one start of a server has said about new requests. Times are monotonic.

    ``resumes_at`` is when this node sends again: ``paused_until`` and a delay of its
    own.
    """

    is_leaving: bool = False
    paused_until: float = -math.inf
    resumes_at: float = -math.inf
    _is_returning: bool = False

    def record_leaving(self) -> bool:
        """Record that the server leaves; return whether that is new."""
        is_new = not self.is_leaving
        self.is_leaving = True
        return is_new

    def record_pause(
        self, seconds: float, node_count: int, spread: float, now: float
    ) -> bool:
        """Record that the server wants nothing for ``seconds``; the longest holds.

        ``spread`` is a random number from 0 to 1. Return whether the pause got longer.
        """
        until = now + seconds
        if seconds <= 0.0 or until <= self.paused_until:
            return False
        delay = min(MAX_RETURN_SECONDS, RETURN_SECONDS_PER_NODE * node_count) * spread
        self.paused_until = until
        self.resumes_at = max(self.resumes_at, until + delay)
        self._is_returning = True
        return True

    def record_run(self, sent_at: float) -> None:
        """Record that the server ran a request; one sent after the pause ends it."""
        if sent_at >= self.resumes_at:
            self._is_returning = False

    def exclusion(self, now: float) -> Exclusion | None:
        """Return why the server takes no new requests, or None if it does."""
        if self.is_leaving:
            return Exclusion.LEAVING
        return Exclusion.PAUSED if now < self.resumes_at else None

    def has_capacity(self, in_flight: int) -> bool:
        """Return whether one more request may be sent, after a pause one at a time."""
        return not self._is_returning or in_flight < 1


@dataclass(slots=True)
class AvailabilityRegister:
    """The starts of servers that said something, also while they are not registered.

    A registration that lapses, or that the store brings back, does not undo what the
    server itself said. The starts that spoke least recently are forgotten.
    """

    max_starts: int = MAX_STARTS
    _by_start: OrderedDict[Hashable, Availability] = field(default_factory=OrderedDict)

    def get(self, start: Hashable) -> Availability:
        """Return the availability of this start; a new one takes requests."""
        return self._by_start.get(start) or Availability()

    def remember(self, start: Hashable, availability: Availability) -> None:
        """Remember what this start has said."""
        self._by_start[start] = availability
        self._by_start.move_to_end(start)
        while len(self._by_start) > self.max_starts:
            self._by_start.popitem(last=False)


def retry_after_pause(seconds: float, spread: float) -> float:
    """Return when a caller should come back if all servers want nothing for now.

    ``seconds`` is the time until the first one takes requests, ``spread`` a random
    number from 0 to 1.
    """
    width = max(MIN_RETRY_SPREAD_SECONDS, RETRY_SPREAD_SHARE * seconds)
    return seconds + spread * width
