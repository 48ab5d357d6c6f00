"""Starts and follows the paces of backend servers on this VM."""

import math
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from loguru import logger

from daisylift.decisions.cold_start import ColdStartLimiter
from daisylift.decisions.server_pace import PaceEvidence, PaceStart
from daisylift.decisions.server_stats import ServerStats
from daisylift.models.registered_server import RegisteredServer


class PaceMode(StrEnum):
    """Which servers are paced after they have started or recovered."""

    OFF = 'off'
    AUTO = 'auto'  # all, once a server has reported the speed of a shared machine
    ON = 'on'


class PaceReason(StrEnum):
    """Why a server begins with less than its usual load."""

    STARTED = 'started'
    COLD = 'cold'
    UNREACHABLE = 'unreachable'
    PAUSED = 'paused'


@dataclass(slots=True)
class ServerPaces:
    """The servers of this VM that are watched since they started or recovered.

    ``withheld_by_service`` counts placements that passed over such a server.
    """

    limiter: ColdStartLimiter
    mode: PaceMode = PaceMode.AUTO
    spread: random.Random = field(default_factory=random.Random)
    has_shared_machines: bool = False
    withheld_by_service: Counter[str] = field(default_factory=Counter)
    _paced_by_id: dict[str, tuple[RegisteredServer, ServerStats]] = field(
        default_factory=dict
    )

    @property
    def is_empty(self) -> bool:
        """Return whether no server is watched."""
        return not self._paced_by_id

    @property
    def is_enabled(self) -> bool:
        """Return whether servers that start or recover are paced."""
        if self.mode is PaceMode.AUTO:
            return self.has_shared_machines
        return self.mode is PaceMode.ON

    def record_slowdown(self, slowdown: float | None) -> None:
        """Record what a server reported of its machine, None if it said nothing."""
        if slowdown is not None and not self.has_shared_machines:
            self.has_shared_machines = True
            if self.mode is PaceMode.AUTO:
                logger.info('servers share machines: their paces are followed')

    def start(
        self,
        server: RegisteredServer,
        stats: ServerStats,
        reason: PaceReason,
        cold_per_second: float,
        node_names: Sequence[str],
        now: float,
        resumes_at: float = -math.inf,
    ) -> None:
        """Start the pace of a server, if paces are enabled."""
        if not self.is_enabled:
            return
        nodes, slots = max(1, len(node_names)), stats.slots
        begun = PaceStart(resumes_at, nodes, nodes, slots)
        if stats.is_cold(now):
            entering = self.limiter.entering_nodes(
                server.id, cold_per_second, node_names
            )
            begun = PaceStart(
                resumes_at if entering else max(resumes_at, stats.cold_until),
                entering or nodes,
                nodes,
                slots,
                stats.cold_until,
            )
        # The end of a pause is spread over the VMs already.
        spread = 0.0 if reason is PaceReason.PAUSED else self.spread.random()
        stats.pace.start(begun, spread, now)
        self._paced_by_id[server.id] = (server, stats)
        logger.bind(
            server=server.id,
            service=server.service,
            reason=reason.value,
            share=round(stats.pace.share(now), 4),
            setbacks=stats.pace.setbacks,
            enters_in=round(stats.pace.enters_at - now, 3),
        ).info('pace of the server started')

    def record(
        self,
        server: RegisteredServer,
        stats: ServerStats,
        evidence: PaceEvidence,
        sent_at: float,
        now: float,
    ) -> None:
        """Record what a response, or its loss, says of the server."""
        if not self.is_enabled or not stats.pace.record(evidence, sent_at, now):
            return
        self._paced_by_id[server.id] = (server, stats)
        logger.bind(
            server=server.id,
            service=server.service,
            share=round(stats.pace.share(now), 4),
            setbacks=stats.pace.setbacks,
            failed=evidence.is_failure,
            refused=evidence.is_refusal,
            time_ratio=evidence.time_ratio and round(evidence.time_ratio, 2),
            excess_load=round(evidence.excess_load, 2),
        ).info('pace of the server cut')

    def discard(self, server: RegisteredServer) -> None:
        """Discard a server that is gone."""
        self._paced_by_id.pop(server.id, None)

    def follow(self, now: float) -> None:
        """Log the servers that have reached their usual load, and let go of them."""
        for server_id, (server, stats) in list(self._paced_by_id.items()):
            if not stats.pace.is_settled(now):
                continue
            del self._paced_by_id[server_id]
            logger.bind(
                server=server_id, service=server.service, withheld=stats.pace.withheld
            ).info('server is back at its usual load')

    def count_withheld(self, service: str) -> None:
        """Count a placement that passed over a server because of its pace."""
        self.withheld_by_service[service] += 1

    def counts(self) -> Counter[str]:
        """Return the number of servers that are watched, by service."""
        return Counter(server.service for server, _ in self._paced_by_id.values())
