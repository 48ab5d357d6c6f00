"""Limits how fast the share of requests sent to other regions changes.

Load pattern: a wave of callers, a cold start or an evacuation fills or frees a region's
servers within a second, and all its entry VMs would move their requests to other
regions, or back, at once. The share sent to other regions therefore follows the share
that placement asks for, but with a limited slope in both directions. Each VM limits
its own share, so the share of the region, the mean over its VMs, is limited too.
"""

import enum
import math
from dataclasses import dataclass

AVERAGING_SECONDS = 1.0  # one second of requests gives the share to within 5%
SLOPE_SHARE = 0.65  # of the allowed slope; the rest covers averaging and uneven traffic
SHARE_TOLERANCE = 0.02  # deviation from the target share that is not corrected
WINDOW_SECONDS = 2.0  # the period to which the allowed shift refers
START_GRACE_SECONDS = 2.0  # after the first request, while no share is known


class PlacementScope(enum.Enum):
    """The regions in which a request may be placed."""

    ANY = 'any'
    SAME_REGION = 'home'
    OTHER_REGION = 'far'


@dataclass(slots=True)
class _MovingAverage:
    value: float = 0.0
    updated_at: float = 0.0
    weight: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Add a sample to the average, with weights that decay exponentially."""
        kept = self.weight * math.exp(-(now - self.updated_at) / AVERAGING_SECONDS)
        self.weight = kept + 1.0
        self.value += (sample - self.value) / self.weight
        self.updated_at = now


class RegionShiftLimiter:
    """Controls the share of one entry VM's requests that run in other regions."""

    def __init__(self, max_shift: float) -> None:
        self._max_slope = SLOPE_SHARE * max_shift / WINDOW_SECONDS
        self._requested_share = _MovingAverage()
        self._sent_share = _MovingAverage()
        self._target_share = 0.0
        self._target_updated_at = 0.0
        self._started_at: float | None = None

    def decide_scope(self, to_other_region: bool, now: float) -> PlacementScope:
        """Record where placement would send a request; return where it may go."""
        if self._started_at is None:
            self._started_at = self._target_updated_at = now
        self._requested_share.add(float(to_other_region), now)
        self._update_target(now)
        if now - self._started_at < START_GRACE_SECONDS:
            return PlacementScope.ANY
        if (
            to_other_region
            and self._sent_share.value > self._target_share + SHARE_TOLERANCE
        ):
            return PlacementScope.SAME_REGION
        if (
            not to_other_region
            and self._sent_share.value < self._target_share - SHARE_TOLERANCE
        ):
            return PlacementScope.OTHER_REGION
        return PlacementScope.ANY

    def record_sent(self, to_other_region: bool, now: float) -> None:
        """Count a request that was sent."""
        self._sent_share.add(float(to_other_region), now)

    def _update_target(self, now: float) -> None:
        if (
            self._started_at is not None
            and now - self._started_at < START_GRACE_SECONDS
        ):
            self._target_share = self._requested_share.value
        else:
            step = self._max_slope * (now - self._target_updated_at)
            gap = self._requested_share.value - self._target_share
            self._target_share += max(-step, min(step, gap))
        self._target_updated_at = now
