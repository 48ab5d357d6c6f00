"""What answers tell of the servers of one service in one region, taken together.

Load pattern: the more nodes place at a server, the more seldom each of them hears of
it, so what a node knows of a single server is mostly out of date. What it hears of all
of them together is not: every answer adds to it. A region with few servers for its
callers shows in how busy they are and in how many runs find an object forgotten, also
to a node that has never used most of them.
"""

import math
from dataclasses import dataclass, field

BUSY_DECAY_SECONDS = 3.0  # after this long without reports, two thirds are forgotten
BUSY_AVERAGING_SECONDS = 1.0  # reports of about this time are averaged
MIN_REPORT_WEIGHT = 0.1  # of the newest report, however many there are a second
WARM_SMOOTHING = 0.1  # ten runs outweigh what was first assumed
HOME_PRIOR = 0.7  # chance that a server of the own region knows an object
FAR_PRIOR = 0.4  # the same elsewhere, where this region's objects come seldom
SEEN_PRIOR = 0.9  # chance that a server still knows what this node sent there


@dataclass(slots=True)
class RegionRecord:
    """How busy the servers are, and how often they still know an object."""

    unseen_warm: float = HOME_PRIOR
    seen_warm: float = SEEN_PRIOR
    _busy: float = 0.0
    _busy_at: float = field(default=-math.inf)

    def reported(self, per_slot: float, now: float) -> None:
        """Take in how many requests a server had for each of its slots."""
        weight = 1.0 - math.exp((self._busy_at - now) / BUSY_AVERAGING_SECONDS)
        self._busy += max(MIN_REPORT_WEIGHT, weight) * (per_slot - self._busy)
        self._busy_at = now

    def busy(self, now: float) -> float:
        """Return the requests that a server has for each slot, on average."""
        if not self._busy:
            return 0.0
        return self._busy * math.exp((self._busy_at - now) / BUSY_DECAY_SECONDS)

    def warm_share(self, was_seen: bool) -> float:
        """Return the chance that a server knows an object.

        ``was_seen`` says that this node has sent requests on the object there.
        """
        return self.seen_warm if was_seen else self.unseen_warm

    def ran(self, was_warm: bool, was_seen: bool) -> None:
        """Learn whether a server knew the object of a request."""
        share = self.warm_share(was_seen)
        share += WARM_SMOOTHING * (float(was_warm) - share)
        if was_seen:
            self.seen_warm = share
        else:
            self.unseen_warm = share
