"""The phases of a planned stop: announce, finish what is in flight, stop."""

import enum
from dataclasses import dataclass

from daisylift.models import Policy
from daisylift.models.policy import MAX_ANSWER_TTL_SECONDS

SPREAD_SECONDS = 1.5


class StopPhase(enum.Enum):
    """Where a node is between serving and having stopped."""

    SERVING = 'serving'
    ANNOUNCING = 'announcing'
    FINISHING = 'finishing'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class StopPlan:
    """How long a stop that began at a time takes at most, in seconds."""

    began_at: float
    announce_seconds: float
    finish_seconds: float

    def phase(self, now: float, in_flight: int, *, has_others: bool) -> StopPhase:
        """Return the phase at a time, given the requests in flight.

        Announcing ends early when there is no other VM that callers could go to.
        """
        waited = now - self.began_at
        if waited < self.announce_seconds and has_others:
            return StopPhase.ANNOUNCING
        if in_flight > 0 and waited < self.announce_seconds + self.finish_seconds:
            return StopPhase.FINISHING
        return StopPhase.DONE


def announce_seconds(configured_seconds: float, policy: Policy) -> float:
    """Return how long to serve on after saying so.

    By then every look-up answer that names this VM has run out: the last may be given
    until the news has spread, and is kept for the longest time that a service allows.
    """
    kept = max((s.answer_ttl_seconds for s in policy.services), default=0.0)
    return max(configured_seconds, SPREAD_SECONDS + kept)


def longest_stop_seconds(announce: float, finish: float) -> float:
    """Return how long a planned stop may take at most, whatever the policy says."""
    return max(announce, SPREAD_SECONDS + MAX_ANSWER_TTL_SECONDS) + finish
