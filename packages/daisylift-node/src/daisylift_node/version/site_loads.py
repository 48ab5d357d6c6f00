"""Estimates the load of sites from the load of regions that the poller measures."""

import math

from daisylift.decisions.shifts import SiteLoad
from daisylift_node.process.load import LoadPoller
from daisylift_node.version.configuration import ConfigurationFollower


class SiteLoads:
    """Divides the load of a region among its sites in proportion to their slots."""

    def __init__(self, poller: LoadPoller, follower: ConfigurationFollower) -> None:
        self._poller = poller
        self._follower = follower

    def load_of(self, service: str, site: str) -> SiteLoad | None:
        """Return the load of a service at a site, or None if it is unknown."""
        index = self._follower.current.index
        region = index.region_by_site.get(site)
        headroom = self._poller.headroom(service).get(region)
        if headroom is None or not math.isfinite(headroom.age_seconds):
            return None
        slots_by_site = index.slots_by_site_by_service[service]
        total = sum(
            slots
            for other, slots in slots_by_site.items()
            if index.region_by_site[other] == region
        )
        share = slots_by_site.get(site, 0) / total
        return SiteLoad(
            used_slots=math.ceil(headroom.in_flight * share),
            # 1e-9: a product just below a whole number is not rounded down.
            slots=math.floor(headroom.slots * share + 1e-9),
            age_seconds=headroom.age_seconds,
        )
