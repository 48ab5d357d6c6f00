"""Phases of a planned stop: announce it, finish requests in flight, stop."""

import enum
from dataclasses import dataclass

from daisylift.models import Policy
from daisylift.models.policy import MAX_ANSWER_TTL_SECONDS

ANNOUNCEMENT_SPREAD_SECONDS = 1.5


class StopPhase(enum.Enum):
    """Phase of a node's planned stop."""

    SERVING = 'serving'
    ANNOUNCING = 'announcing'
    FINISHING = 'finishing'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class StopPlan:
    """When a planned stop began, and the longest time of its phases, in seconds."""

    started_at: float
    announce_seconds: float
    finish_seconds: float

    def phase(self, now: float, in_flight: int, *, has_others: bool) -> StopPhase:
        """Return the phase at a time, given the number of requests in flight.

        The announcing phase ends early if there is no other VM for callers to use.
        """
        waited = now - self.started_at
        if waited < self.announce_seconds and has_others:
            return StopPhase.ANNOUNCING
        if in_flight > 0 and waited < self.announce_seconds + self.finish_seconds:
            return StopPhase.FINISHING
        return StopPhase.DONE


def announce_seconds(configured_seconds: float, policy: Policy) -> float:
    """Return how long to keep serving after the stop was announced, in seconds.

    After that time, all lookup answers that name this VM have expired. Other nodes may
    give such answers until the announcement has reached them, after
    ``ANNOUNCEMENT_SPREAD_SECONDS``, and callers may keep them for the longest answer
    TTL of all services.
    """
    longest_ttl = max((s.answer_ttl_seconds for s in policy.services), default=0.0)
    return max(configured_seconds, ANNOUNCEMENT_SPREAD_SECONDS + longest_ttl)


def longest_stop_seconds(announce: float, finish: float) -> float:
    """Return the longest time that a planned stop may take under any policy."""
    return max(announce, ANNOUNCEMENT_SPREAD_SECONDS + MAX_ANSWER_TTL_SECONDS) + finish
