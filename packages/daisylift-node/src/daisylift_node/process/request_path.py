"""Creates and connects all parts that handle a caller's request."""

import random
import time

from daisylift.decisions.configuration import Configuration
from daisylift_node.config import Settings
from daisylift_node.connection.peers import PeerLink
from daisylift_node.connection.upstream import UpstreamConnections
from daisylift_node.process import clock
from daisylift_node.process.health import HealthRegistry
from daisylift_node.process.idempotency import IdempotencyRecords
from daisylift_node.process.idle import IdlePeers
from daisylift_node.process.links import LinkPacer
from daisylift_node.process.load import POLL_PERIOD_SECONDS, LoadPoller
from daisylift_node.process.members import Members
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.notices import REPEAT_PERIOD_SECONDS, Notices
from daisylift_node.process.permits import PermitPool
from daisylift_node.process.platform import PlatformClient
from daisylift_node.process.poison_requests import PoisonRequestRegister
from daisylift_node.process.record_sweep import TICK_SECONDS as SWEEP_TICK_SECONDS
from daisylift_node.process.record_sweep import RecordSweeper
from daisylift_node.process.timer import TimerService
from daisylift_node.request.admission import Admission
from daisylift_node.request.exchange import Exchange
from daisylift_node.request.forward import Forwarder
from daisylift_node.request.guard import KeyGuard
from daisylift_node.request.keyed_forward import KeyedForwarder
from daisylift_node.request.peer_offload import PeerOffload
from daisylift_node.request.relay import RelayHandler
from daisylift_node.request.request_ids import RequestIdIssuer

EXPIRY_PERIOD_SECONDS = 30.0


class RequestPath:
    """Owns the parts that admit, deduplicate, send and evaluate requests."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        metrics: Metrics,
        platform: PlatformClient,
        peers: PeerLink,
        members: Members,
        permits: PermitPool,
    ) -> None:
        random_source = random.Random(incarnation).random
        self.connections = UpstreamConnections()
        self.peer_connections = UpstreamConnections()
        self.links = LinkPacer(settings.vm.failure_domain, clock.now, metrics)
        self.notices = Notices(peers, members.other_addresses, metrics)
        self.health = HealthRegistry(self.notices.announce_drain, clock.now)
        self.poison_requests = PoisonRequestRegister(
            clock.now, self.notices.announce_poison_request
        )
        self.notices.listen(self.poison_requests, self.health)
        self.load = LoadPoller(
            connections=self.connections,
            health=self.health,
            metrics=metrics,
            clock=clock.now,
        )
        self.admission = Admission(
            failure_domain=settings.vm.failure_domain,
            permits=permits,
            health=self.health,
            clock=clock.now,
            random=random_source,
            closed_regions=self.links.closed_regions,
        )
        self.records = IdempotencyRecords(platform, metrics)
        self.sweeper = RecordSweeper(platform, metrics, clock.now, time.time)
        self.issuer = RequestIdIssuer(
            members, settings.peer.key.get_secret_value().encode()
        )
        self.keyed_forwarder = KeyedForwarder(settings.vm.id)
        self.guard = KeyGuard(
            members=members,
            incarnation=incarnation,
            issuer=self.issuer,
            records=self.records,
            forwarder=self.keyed_forwarder,
            metrics=metrics,
            clock=clock.now,
        )
        self.offload = PeerOffload(
            idle=IdlePeers(
                peers=peers,
                others=members.others,
                free_slots=self.admission.idle_slots,
                clock=clock.now,
                random=random_source,
            ),
            forwarder=Forwarder(
                settings.vm.id, self.peer_connections, self.links, clock.now
            ),
            others=members.others,
            metrics=metrics,
        )
        self.relay = RelayHandler(
            guard=self.guard,
            admission=self.admission,
            exchange=Exchange(self.connections, self.health, self.links, clock.now),
            offload=self.offload,
            poison_requests=self.poison_requests,
            metrics=metrics,
            clock=clock.now,
        )
        self.components = (
            self.connections,
            self.peer_connections,
            self.records,
            self.keyed_forwarder,
            self.guard,
        )

    def subscribe(self, timer: TimerService) -> None:
        """Start the periodic work."""
        timer.subscribe(POLL_PERIOD_SECONDS, self.load.poll)
        timer.subscribe(REPEAT_PERIOD_SECONDS, self.notices.repeat)
        timer.subscribe(EXPIRY_PERIOD_SECONDS, self.guard.expire)
        timer.subscribe(SWEEP_TICK_SECONDS, self.sweeper.tick)

    def set_ordinal(self, ordinal: int) -> None:
        """Apply the ordinal, which determines load polling and record sweeps."""
        self.load.set_ordinal(ordinal)
        self.sweeper.set_ordinal(ordinal)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.health.set_configuration(configuration, clock.now())
        self.admission.set_configuration(configuration)
        self.relay.set_configuration(configuration)
        self.links.set_configuration(configuration)
        self.offload.set_configuration(configuration)
        self.load.set_configuration(configuration)
        self.sweeper.set_configuration(configuration)
        self.connections.keep_only(self.health.by_server)
