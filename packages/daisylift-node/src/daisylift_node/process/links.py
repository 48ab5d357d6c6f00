"""Limits the bytes that this node sends and requests over links between regions."""

from asyncio import sleep
from collections.abc import Callable

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.links import LinkShares
from daisylift_node.process.metrics import Metrics

Clock = Callable[[], float]


class LinkPacer:
    """Delays transfers so that they stay within this node's shares of the links."""

    def __init__(self, failure_domain: str, clock: Clock, metrics: Metrics) -> None:
        self._failure_domain = failure_domain
        self._clock = clock
        self._metrics = metrics
        self._link_shares = LinkShares()

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the link budgets of a configuration."""
        regions = configuration.policy.regions_by_failure_domain()
        region = regions.get(self._failure_domain, '')
        self._link_shares.set_policy(configuration.policy, region)

    def closed_regions(self) -> frozenset[str]:
        """Return the regions to which no new transfers should start for now."""
        return self._link_shares.closed_regions(self._clock())

    async def upload(self, region: str, size: int) -> None:
        """Wait until ``size`` bytes may be sent to the region."""
        await self._throttle(self._link_shares.region, region, size)

    async def download(self, region: str, size: int) -> None:
        """Wait until ``size`` bytes may be received from the region."""
        await self._throttle(region, self._link_shares.region, size)

    async def _throttle(self, source: str, destination: str, size: int) -> None:
        if source == destination:
            return
        self._metrics.link_bytes.labels(source=source, destination=destination).inc(
            size
        )
        seconds = self._link_shares.reserve(source, destination, size, self._clock())
        if seconds > 0.0:
            await sleep(seconds)
