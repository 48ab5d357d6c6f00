"""Aggregates load and cache statistics over one service's servers in one region.

Load pattern: the more nodes send to a server, the less often each of them receives a
response from it, so per-server data is mostly stale. The aggregate over all servers is
not, because every response updates it. If a region has too few servers for its
callers, their load and the share of cold runs show it, even to a node that has never
used most of the servers.
"""

import math
from dataclasses import dataclass, field

LOAD_DECAY_SECONDS = 3.0  # after this long without reports, load decays by two thirds
LOAD_AVERAGING_SECONDS = 1.0  # time constant of the average over reports
MIN_REPORT_WEIGHT = 0.1  # weight of the newest report at any report rate
WARM_SMOOTHING = 0.1  # ten runs outweigh the initial estimate
SAME_REGION_WARM_PRIOR = 0.7  # initial chance that a server here has an object warm
OTHER_REGION_WARM_PRIOR = 0.4  # in other regions, where this region's objects are rare
SEEN_WARM_PRIOR = 0.9  # same for an object that this node sent to the server before


@dataclass(slots=True)
class RegionStats:
    """Average load of the servers, and the share of runs with a warm object."""

    unseen_warm_share: float = SAME_REGION_WARM_PRIOR
    seen_warm_share: float = SEEN_WARM_PRIOR
    _load_per_slot: float = 0.0
    _load_updated_at: float = field(default=-math.inf)

    def record_report(self, per_slot: float, now: float) -> None:
        """Record a server's reported number of requests per slot."""
        weight = 1.0 - math.exp((self._load_updated_at - now) / LOAD_AVERAGING_SECONDS)
        self._load_per_slot += max(MIN_REPORT_WEIGHT, weight) * (
            per_slot - self._load_per_slot
        )
        self._load_updated_at = now

    def load_per_slot(self, now: float) -> float:
        """Return the average number of requests per slot at a server."""
        if not self._load_per_slot:
            return 0.0
        return self._load_per_slot * math.exp(
            (self._load_updated_at - now) / LOAD_DECAY_SECONDS
        )

    def warm_probability(self, was_seen: bool) -> float:
        """Return the probability that a server has an object warm.

        ``was_seen`` is set if this node has sent requests for the object there.
        """
        return self.seen_warm_share if was_seen else self.unseen_warm_share

    def record_run(self, was_warm: bool, was_seen: bool) -> None:
        """Record whether a server had the object of a request warm."""
        share = self.warm_probability(was_seen)
        share += WARM_SMOOTHING * (float(was_warm) - share)
        if was_seen:
            self.seen_warm_share = share
        else:
            self.unseen_warm_share = share
