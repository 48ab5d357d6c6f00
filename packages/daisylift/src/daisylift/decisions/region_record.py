"""Aggregates load and cache statistics over one service's servers in one region.

Load pattern: the more nodes send to a server, the less often each of them receives a
response from it, so per-server data is mostly stale. The aggregate over all servers is
not, because every response updates it. If a region has too few servers for its
callers, their load and the share of cold runs show it, even to a node that has never
used most of the servers.
"""

import math
from dataclasses import dataclass, field

BUSY_DECAY_SECONDS = 3.0  # after this long without reports, load decays by two thirds
BUSY_AVERAGING_SECONDS = 1.0  # time constant of the average over reports
MIN_REPORT_WEIGHT = 0.1  # weight of the newest report at any report rate
WARM_SMOOTHING = 0.1  # ten runs outweigh the initial estimate
HOME_PRIOR = 0.7  # initial chance that a server of this region has an object warm
FAR_PRIOR = 0.4  # same for other regions, which rarely get this region's objects
SEEN_PRIOR = 0.9  # same for an object that this node sent to the server before


@dataclass(slots=True)
class RegionRecord:
    """Average load of the servers, and the share of runs with a warm object."""

    unseen_warm: float = HOME_PRIOR
    seen_warm: float = SEEN_PRIOR
    _busy: float = 0.0
    _busy_at: float = field(default=-math.inf)

    def reported(self, per_slot: float, now: float) -> None:
        """Record a server's reported number of requests per slot."""
        weight = 1.0 - math.exp((self._busy_at - now) / BUSY_AVERAGING_SECONDS)
        self._busy += max(MIN_REPORT_WEIGHT, weight) * (per_slot - self._busy)
        self._busy_at = now

    def busy(self, now: float) -> float:
        """Return the average number of requests per slot at a server."""
        if not self._busy:
            return 0.0
        return self._busy * math.exp((self._busy_at - now) / BUSY_DECAY_SECONDS)

    def warm_share(self, was_seen: bool) -> float:
        """Return the probability that a server has an object warm.

        ``was_seen`` is set if this node has sent requests for the object there.
        """
        return self.seen_warm if was_seen else self.unseen_warm

    def ran(self, was_warm: bool, was_seen: bool) -> None:
        """Record whether a server had the object of a request warm."""
        share = self.warm_share(was_seen)
        share += WARM_SMOOTHING * (float(was_warm) - share)
        if was_seen:
            self.seen_warm = share
        else:
            self.unseen_warm = share
