"""Polls the load of backend servers and totals it per region."""

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import aiohttp
from loguru import logger

from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.decisions.health import load_report
from daisylift.decisions.polling import pollers
from daisylift.models import BackendServer
from daisylift_node.connection.upstream import UpstreamConnections
from daisylift_node.process.health import HealthRegistry
from daisylift_node.process.metrics import Metrics

POLL_PERIOD_SECONDS = 2.0
POLL_TIMEOUT_SECONDS = 0.5
MAX_POLLS_AT_ONCE = 16
MAX_REPORT_BYTES = 4096
WATCH_SECONDS = 30.0  # a service is watched this long after a headroom() call
LOAD_PATH = '/load'

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Headroom:
    """The load of a service in one region, as far as servers have reported it.

    ``servers`` counts those that are not draining, and ``reporting`` those of them that
    have sent a report. ``slots`` and ``in_flight`` are totals of the ``reporting``
    servers. ``age_seconds`` is the age of the oldest report, or infinite while the
    report of any server is missing.
    """

    servers: int
    reporting: int
    slots: int
    in_flight: int
    age_seconds: float

    @property
    def free_share(self) -> float:
        """Return the free share of the reported slots, or 0 if there are none."""
        if self.slots == 0:
            return 0.0
        return max(0.0, 1.0 - self.in_flight / self.slots)


class LoadPoller:
    """Polls the servers assigned to this node, and those of watched services."""

    def __init__(
        self,
        connections: UpstreamConnections,
        health: HealthRegistry,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._connections = connections
        self._health = health
        self._metrics = metrics
        self._clock = clock
        self._ordinal: int | None = None
        self._configuration = Configuration()
        self._regions: dict[str, str] = {}
        self._assigned: dict[ServerKey, BackendServer] = {}
        self._watched_until: dict[str, float] = {}
        self._poll_slots = asyncio.Semaphore(MAX_POLLS_AT_ONCE)

    def set_ordinal(self, ordinal: int) -> None:
        """Apply the ordinal, which determines the servers to poll."""
        if ordinal != self._ordinal:
            self._ordinal = ordinal
            self.set_configuration(self._configuration)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the servers of a configuration."""
        self._configuration = configuration
        policy = configuration.policy
        self._regions = policy.regions_by_failure_domain()
        ordinals = sorted(entry.ordinal for entry in policy.roster)
        self._assigned = {
            key: server
            for key, server in self._servers(s.name for s in policy.services)
            if self._ordinal in pollers(key, ordinals)
        }

    async def poll(self) -> None:
        """Poll each assigned or watched server once; called once per period."""
        now = self._clock()
        names = [name for name, until in self._watched_until.items() if until > now]
        self._watched_until = {name: self._watched_until[name] for name in names}
        servers = self._assigned | dict(self._servers(names))
        await asyncio.gather(*(self._poll(*item) for item in servers.items()))

    def headroom(self, service: str) -> dict[str, Headroom]:
        """Return the headroom of a service by region, and watch the service.

        All its servers are polled only from the first call on, so the first results
        may be incomplete; ``age_seconds`` shows old or missing reports.
        """
        now = self._clock()
        self._watched_until[service] = now + WATCH_SECONDS
        by_region: dict[str, list[ServerKey]] = {}
        for key, server in self._servers([service]):
            if key not in self._configuration.draining:
                region = self._regions[server.failure_domain]
                by_region.setdefault(region, []).append(key)
        return {region: self._total(keys, now) for region, keys in by_region.items()}

    def _total(self, keys: list[ServerKey], now: float) -> Headroom:
        healths = [self._health.by_server[key] for key in keys]
        healths = [health for health in healths if health.drain_seen_at is None]
        reports = [health.report for health in healths if health.report is not None]
        ages = [now - report.received_at for report in reports]
        is_complete = len(reports) == len(healths) and reports
        return Headroom(
            servers=len(healths),
            reporting=len(reports),
            slots=sum(report.slots for report in reports),
            in_flight=sum(report.in_flight for report in reports),
            age_seconds=max(ages) if is_complete else float('inf'),
        )

    def _servers(
        self, services: Iterable[str]
    ) -> Iterable[tuple[ServerKey, BackendServer]]:
        by_name = self._configuration.policy.services_by_name()
        for name in services:
            for server in by_name[name].servers if name in by_name else ():
                yield ServerKey(service=name, server=server.name), server

    async def _poll(self, key: ServerKey, server: BackendServer) -> None:
        async with self._poll_slots:
            try:
                document = await self._fetch(key, server)
                result = self._apply_document(key, document)
            except (aiohttp.ClientError, OSError, RecursionError, ValueError) as error:
                logger.debug('load poll of {} failed: {!r}', key, error)
                result = 'failed'
        self._metrics.load_polls.labels(result=result).inc()

    async def _fetch(self, key: ServerKey, server: BackendServer) -> object:
        authority = f'[{server.host}]' if ':' in server.host else server.host
        url = f'http://{authority}:{server.port}{LOAD_PATH}'
        borrowed = self._connections.borrow_session(
            key, (server.host, server.port), server.connections
        )
        async with asyncio.timeout(POLL_TIMEOUT_SECONDS):
            with borrowed as session:
                async with session.get(url, allow_redirects=False) as response:
                    if response.status != 200:
                        raise ValueError(f'status {response.status}')
                    raw = await response.content.read(MAX_REPORT_BYTES)
                    return json.loads(raw)

    def _apply_document(self, key: ServerKey, document: object) -> str:
        if not isinstance(document, dict):
            return 'garbage'
        draining = document.get('draining')
        if isinstance(draining, bool):
            self._health.record_drain(key, draining)
        numbers = document.get('in_flight'), document.get('slots')
        if not all(type(number) is int for number in numbers):
            return 'garbage'
        report = load_report(*numbers, self._clock())
        if report is None:
            return 'garbage'
        self._health.record_report(key, report)
        return 'heard'
