"""Byte budgets of the links between regions, shared out over the nodes.

The bytes of a link from region A to region B are sent or asked for by nodes of A and
of B only, so its budget is cut into equal shares over the ordinals of both: the sum
over nodes never exceeds the budget, whoever is alive.
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
    """The own part of a link: so many bytes a second, and a small burst.

    ``spent_until`` is the moment until which the bytes granted so far use up the
    share, in monotonic seconds.
    """

    bytes_per_second: float
    spent_until: float = 0.0

    def take(self, size: int, now: float) -> float:
        """Grant the bytes; return the seconds to wait before they may pass."""
        burst = max(BURST_SECONDS, MIN_BURST_BYTES / self.bytes_per_second)
        start = max(self.spent_until, now - burst)
        self.spent_until = start + size / self.bytes_per_second
        return max(0.0, self.spent_until - now)

    def backlog_seconds(self, now: float) -> float:
        """Return how long the bytes granted so far still need."""
        return max(0.0, self.spent_until - now)


@dataclass(slots=True)
class LinkShares:
    """The shares of one node, keyed by link; links without a budget are free."""

    region: str = ''
    by_link: dict[LinkKey, LinkShare] = field(default_factory=dict)

    def set_policy(self, policy: Policy, region: str) -> None:
        """Take on the budgets of a policy, as a node in this region."""
        before, self.by_link = self.by_link, {}
        self.region = region
        for link in policy.links:
            if region not in (link.source, link.destination):
                continue
            if link.source == link.destination:
                continue
            key = LinkKey(link.source, link.destination)
            rate = link.bytes_per_second / sharers(policy, key)
            known = before.get(key)
            spent_until = known.spent_until if known is not None else 0.0
            self.by_link[key] = LinkShare(rate, spent_until)

    def take(self, source: str, destination: str, size: int, now: float) -> float:
        """Grant bytes from region to region; return the seconds to wait."""
        share = self.by_link.get(LinkKey(source, destination))
        return share.take(size, now) if share is not None else 0.0

    def closed_regions(self, now: float) -> frozenset[str]:
        """Return the regions to or from which the own share is spent for a while."""
        return frozenset(
            key.source if key.destination == self.region else key.destination
            for key, share in self.by_link.items()
            if share.backlog_seconds(now) > MAX_BACKLOG_SECONDS
        )


def sharers(policy: Policy, link: LinkKey) -> int:
    """Return how many ordinals share a link, at least 1."""
    regions = policy.regions_by_failure_domain()
    ends = {link.source, link.destination}
    return max(1, sum(regions[e.failure_domain] in ends for e in policy.roster))
