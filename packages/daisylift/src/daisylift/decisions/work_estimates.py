"""Estimates run times of a route's requests, separately for warm and cold objects.

The two differ by a factor of several, so each sample is classified by which of the two
current estimates it is closer to on a logarithmic scale.
"""

import math
from dataclasses import dataclass, field

from daisylift.decisions.placement import WorkEstimate

INITIAL_COLD_TARGETS = 1.25  # initial cold estimate, in multiples of the latency target
INITIAL_WARM_TARGETS = 0.4  # same for the warm estimate
SMOOTHING = 0.05
INITIAL_RESPONSE_BYTES = 4096.0


@dataclass(slots=True)
class RouteWork:
    """The estimates of one route at one service."""

    warm_seconds: float
    cold_seconds: float
    response_bytes: float = INITIAL_RESPONSE_BYTES

    def estimate(self) -> WorkEstimate:
        """Return the current estimates."""
        return WorkEstimate(self.warm_seconds, self.cold_seconds, self.response_bytes)

    def is_warm(self, seconds: float) -> bool:
        """Return whether a run of this duration counts as warm."""
        return seconds < math.sqrt(self.warm_seconds * self.cold_seconds)

    def learn(self, seconds: float, response_bytes: int) -> bool:
        """Record a run that did not wait; return whether it counts as warm."""
        self.response_bytes += SMOOTHING * (response_bytes - self.response_bytes)
        warm = self.is_warm(seconds)
        if warm:
            self.warm_seconds += SMOOTHING * (seconds - self.warm_seconds)
        else:
            longest = 2.0 * self.cold_seconds
            sample = min(seconds, longest)
            self.cold_seconds += SMOOTHING * (sample - self.cold_seconds)
        return warm


@dataclass(slots=True)
class WorkEstimates:
    """The estimates by route and service."""

    _work: dict[tuple[str, str], RouteWork] = field(default_factory=dict)

    def of(self, route: str, service: str, target_seconds: float) -> RouteWork:
        """Return the estimates; new ones are derived from the latency target."""
        work = self._work.get((route, service))
        if work is None:
            work = RouteWork(
                warm_seconds=INITIAL_WARM_TARGETS * target_seconds,
                cold_seconds=INITIAL_COLD_TARGETS * target_seconds,
            )
            self._work[route, service] = work
        return work
