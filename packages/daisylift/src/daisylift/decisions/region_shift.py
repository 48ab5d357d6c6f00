"""Limits how fast the share of requests sent to other regions changes.

Load pattern: a wave of callers, a cold start or an evacuation fills or frees a region's
servers within a second, and all its entry VMs would move their requests to other
regions, or back, at once. The share sent to other regions therefore follows the share
that placement requests with a limited slope in both directions. Each VM limits its own
share, so the share of the region, the mean over its VMs, is limited too.
"""

import enum
import math
from dataclasses import dataclass

AVERAGING_SECONDS = 1.0  # one second of requests gives the share to within 5%
USED_SHARE = 0.65  # of the allowed slope; the rest covers averaging and uneven traffic
TOLERANCE = 0.02  # deviation from the target share that is not corrected
WINDOW_SECONDS = 2.0  # the period to which the allowed shift refers
FREE_SECONDS = 2.0  # no limit for this long after the first request: no share known


class Side(enum.Enum):
    """The regions in which a request may be placed."""

    ANY = 'any'
    SAME_REGION = 'home'
    OTHER_REGION = 'far'


@dataclass(slots=True)
class _Share:
    value: float = 0.0
    at: float = 0.0
    weight: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Add a sample to the average, with weights that decay exponentially."""
        kept = self.weight * math.exp(-(now - self.at) / AVERAGING_SECONDS)
        self.weight = kept + 1.0
        self.value += (sample - self.value) / self.weight
        self.at = now


class RegionShift:
    """Controls the share of one entry VM's requests that run in other regions."""

    def __init__(self, max_shift: float) -> None:
        self._slope = USED_SHARE * max_shift / WINDOW_SECONDS
        self._wanted = _Share()
        self._sent = _Share()
        self._target = 0.0
        self._moved_at = 0.0
        self._started_at: float | None = None

    def want(self, far: bool, now: float) -> Side:
        """Record where placement would send a request; return where it may go."""
        if self._started_at is None:
            self._started_at = self._moved_at = now
        self._wanted.add(float(far), now)
        self._move(now)
        if now - self._started_at < FREE_SECONDS:
            return Side.ANY
        if far and self._sent.value > self._target + TOLERANCE:
            return Side.SAME_REGION
        if not far and self._sent.value < self._target - TOLERANCE:
            return Side.OTHER_REGION
        return Side.ANY

    def sent(self, far: bool, now: float) -> None:
        """Count a request that was sent."""
        self._sent.add(float(far), now)

    def _move(self, now: float) -> None:
        if self._started_at is not None and now - self._started_at < FREE_SECONDS:
            self._target = self._wanted.value
        else:
            step = self._slope * (now - self._moved_at)
            gap = self._wanted.value - self._target
            self._target += max(-step, min(step, gap))
        self._moved_at = now
