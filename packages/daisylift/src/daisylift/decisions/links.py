"""Divides the byte budgets of the links between regions among the nodes.

Only nodes of regions A and B send or request bytes on the link from A to B. Its budget
is therefore divided equally among the ordinals of both regions, and the sum over all
nodes never exceeds it, whichever nodes are alive.
"""

from dataclasses import dataclass, field

from daisylift.models import Policy

BURST_SECONDS = 0.1
MIN_BURST_BYTES = 128 * 1024
MAX_BACKLOG_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class LinkKey:
    """One direction between two regions."""

    source: str
    destination: str


@dataclass(slots=True)
class LinkShare:
    """The local node's share of a link, with a small burst.

    ``used_up_until`` is the time, in monotonic seconds, up to which the bytes granted
    so far use up the share.
    """

    bytes_per_second: float
    used_up_until: float = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Grant the bytes; return the seconds to wait before they may pass."""
        burst = max(BURST_SECONDS, MIN_BURST_BYTES / self.bytes_per_second)
        start = max(self.used_up_until, now - burst)
        self.used_up_until = start + size / self.bytes_per_second
        return max(0.0, self.used_up_until - now)

    def backlog_seconds(self, now: float) -> float:
        """Return the seconds until the bytes granted so far have passed."""
        return max(0.0, self.used_up_until - now)


@dataclass(slots=True)
class LinkShares:
    """The link shares of one node; links without a budget are unlimited."""

    region: str = ''
    by_link: dict[LinkKey, LinkShare] = field(default_factory=dict)

    def set_policy(self, policy: Policy, region: str) -> None:
        """Apply the budgets of a policy for a node in the region."""
        previous, self.by_link = self.by_link, {}
        self.region = region
        for link in policy.links:
            if region not in (link.source, link.destination):
                continue
            if link.source == link.destination:
                continue
            key = LinkKey(link.source, link.destination)
            rate = link.bytes_per_second / count_sharing_ordinals(policy, key)
            existing = previous.get(key)
            used_up_until = existing.used_up_until if existing is not None else 0.0
            self.by_link[key] = LinkShare(rate, used_up_until)

    def reserve(self, source: str, destination: str, size: int, now: float) -> float:
        """Grant bytes between regions; return the seconds to wait before sending."""
        share = self.by_link.get(LinkKey(source, destination))
        return share.reserve(size, now) if share is not None else 0.0

    def closed_regions(self, now: float) -> frozenset[str]:
        """Return the regions to or from which the local share has a long backlog."""
        return frozenset(
            key.source if key.destination == self.region else key.destination
            for key, share in self.by_link.items()
            if share.backlog_seconds(now) > MAX_BACKLOG_SECONDS
        )


def count_sharing_ordinals(policy: Policy, link: LinkKey) -> int:
    """Return how many ordinals share a link, at least 1."""
    regions = policy.regions_by_failure_domain()
    ends = {link.source, link.destination}
    return max(1, sum(regions[e.failure_domain] in ends for e in policy.roster))
