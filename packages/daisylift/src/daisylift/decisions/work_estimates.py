"""Estimates run times of a route's requests, separately for warm and cold objects.

The two differ by a factor of several, so each sample is classified by which of the two
current estimates it is closer to on a logarithmic scale.
"""

import math
from dataclasses import dataclass, field

from daisylift.decisions.placement import WorkEstimate

INITIAL_COLD_TARGET_RATIO = 1.25  # initial cold estimate / latency target
INITIAL_WARM_TARGET_RATIO = 0.4  # initial warm estimate / latency target
SMOOTHING = 0.05
INITIAL_RESPONSE_BYTES = 4096.0


@dataclass(slots=True)
class RouteWorkEstimator:
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

    def record_run(self, seconds: float, response_bytes: int) -> bool:
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

    _estimators: dict[tuple[str, str], RouteWorkEstimator] = field(default_factory=dict)

    def for_route(
        self, route: str, service: str, target_seconds: float
    ) -> RouteWorkEstimator:
        """Return the estimates; new ones are derived from the latency target."""
        estimator = self._estimators.get((route, service))
        if estimator is None:
            estimator = RouteWorkEstimator(
                warm_seconds=INITIAL_WARM_TARGET_RATIO * target_seconds,
                cold_seconds=INITIAL_COLD_TARGET_RATIO * target_seconds,
            )
            self._estimators[route, service] = estimator
        return estimator
