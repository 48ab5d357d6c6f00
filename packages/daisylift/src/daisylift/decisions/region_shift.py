"""Keeps the share of requests that leave their region from moving fast.

Load pattern: a region's servers fill up or become free within a second, by a wave of
callers, a cold start or an evacuation, and all of its entry VMs would move their
requests to other regions, or back, at once. The share that is sent away follows what
placement wants at a bounded slope, in both directions. Each VM bounds its own share,
so the share of the region, which is their mean, is bounded too.
"""

import enum
import math
from dataclasses import dataclass

AVERAGING_SECONDS = 1.0  # of the shares; a second of requests tells a share within 5%
USED_SHARE = 0.65  # of the allowed slope; the rest covers averaging and uneven traffic
TOLERANCE = 0.02  # distance from the target share within which placement is free
WINDOW_SECONDS = 2.0  # the span for which the allowed shift is stated
FREE_SECONDS = 2.0  # after the first request, while no share is known


class Side(enum.Enum):
    """Where a request may be placed."""

    ANY = 'any'
    HOME = 'home'
    FAR = 'far'


@dataclass(slots=True)
class _Share:
    value: float = 0.0
    at: float = 0.0
    weight: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Average exponentially over time, by the number of samples."""
        kept = self.weight * math.exp(-(now - self.at) / AVERAGING_SECONDS)
        self.weight = kept + 1.0
        self.value += (sample - self.value) / self.weight
        self.at = now


class RegionShift:
    """The share of one entry VM's requests that run in other regions."""

    def __init__(self, max_shift: float) -> None:
        self._slope = USED_SHARE * max_shift / WINDOW_SECONDS
        self._wanted = _Share()
        self._sent = _Share()
        self._target = 0.0
        self._moved_at = 0.0
        self._started_at: float | None = None

    def want(self, far: bool, now: float) -> Side:
        """Take note of where placement wants a request; return where it may go."""
        if self._started_at is None:
            self._started_at = self._moved_at = now
        self._wanted.add(float(far), now)
        self._move(now)
        if now - self._started_at < FREE_SECONDS:
            return Side.ANY
        if far and self._sent.value > self._target + TOLERANCE:
            return Side.HOME
        if not far and self._sent.value < self._target - TOLERANCE:
            return Side.FAR
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
