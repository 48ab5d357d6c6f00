"""The application of a node: creates, starts and stops all of its components."""

import random
from typing import Protocol

from aiohttp import web
from grpclib.server import Server
from loguru import logger

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.stopping import StopPhase
from daisylift.decisions.vm_list import watches_platform
from daisylift_node.config import Settings
from daisylift_node.connection.caller import caller_server
from daisylift_node.connection.peers import PeerLink, new_incarnation
from daisylift_node.process import clock
from daisylift_node.process.confirmation_exchange import (
    CONFIRMATION_PERIOD_SECONDS,
    ConfirmationExchange,
)
from daisylift_node.process.lending import LENDING_PERIOD_SECONDS, Lending
from daisylift_node.process.listeners import Listeners
from daisylift_node.process.members import Members
from daisylift_node.process.membership import Membership
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.operations import OperationsHandler
from daisylift_node.process.operator import OperatorService
from daisylift_node.process.ordinals import MAINTENANCE_PERIOD_SECONDS, Ordinals
from daisylift_node.process.permits import PermitPool
from daisylift_node.process.platform import PlatformClient
from daisylift_node.process.request_path import RequestPath
from daisylift_node.process.stopping import PlannedStop, StopGate
from daisylift_node.process.timer import TimerService
from daisylift_node.request.lookup import LookupHandler
from daisylift_node.version.block_loader import BlockLoader
from daisylift_node.version.block_store import BlockStore
from daisylift_node.version.change_writer import ChangeWriter
from daisylift_node.version.configuration import ConfigurationFollower
from daisylift_node.version.confirmation import (
    REPORT_PERIOD_SECONDS,
    FleetConfirmation,
)
from daisylift_node.version.peer_sync import PeerSync
from daisylift_node.version.shift_driver import DRIVE_PERIOD_SECONDS, ShiftDriver
from daisylift_node.version.site_loads import SiteLoads
from daisylift_node.version.steering import REFRESH_SECONDS, Steering

MEMBERS_PERIOD_SECONDS = 1.0
PERMITS_PERIOD_SECONDS = 0.1


class Component(Protocol):
    """A part of the application that is started and stopped with it."""

    async def start(self) -> None:
        """Start work."""

    async def stop(self) -> None:
        """Stop work and release all resources."""


class Application:
    """Owns all parts of one node."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = new_incarnation()
        self.metrics = Metrics()
        self.timer = TimerService(self.metrics.count_timer_failure)
        self.platform = PlatformClient(settings.platform, self.metrics)
        self.peers = PeerLink(
            settings.peer, settings.vm.id, self.incarnation, self.metrics
        )
        self.follower = ConfigurationFollower(self.platform, self.metrics)
        self.writer = ChangeWriter(self.follower, self.metrics)
        self.membership = Membership(
            settings,
            self.incarnation,
            self.peers,
            self.platform,
            self.timer,
            self.metrics,
            clock=clock.now,
            rng=random.Random(),
        )
        self.members = Members(self.platform, self.membership)
        self.permits = PermitPool(self.incarnation)
        self.ordinals = Ordinals(
            settings=settings,
            incarnation=self.incarnation,
            platform=self.platform,
            follower=self.follower,
            writer=self.writer,
            permits=self.permits,
            alive_ordinals=self.members.alive_ordinals,
        )
        self.requests = RequestPath(
            settings=settings,
            incarnation=self.incarnation,
            metrics=self.metrics,
            platform=self.platform,
            peers=self.peers,
            members=self.members,
            permits=self.permits,
        )
        self.lending = Lending(
            permits=self.permits,
            peers=self.peers,
            members=self.members,
            waiting=self.requests.admission.waiting,
            failure_domain=settings.vm.failure_domain,
            metrics=self.metrics,
        )
        self.confirmation_exchange = ConfirmationExchange(
            self.permits, self.peers, self.members, self.metrics
        )
        self.steering = Steering(self.members)
        self.blocks = BlockStore(self.platform, self.steering.set_blocks)
        self.sync = PeerSync(
            settings.peer,
            self.peers,
            self.follower,
            self.members.other_addresses_by_ordinal,
            self.metrics,
        )
        self.confirmation = FleetConfirmation(
            self.members, self.peers, lambda: self.steering.applied_version
        )
        self.shifts = ShiftDriver(
            follower=self.follower,
            writer=self.writer,
            members=self.members,
            confirmation=self.confirmation,
            loads=SiteLoads(self.requests.load, self.follower),
            metrics=self.metrics,
        )
        self.gate = StopGate(
            self.requests.relay.handle, self.metrics, self.members.alternative_vms
        )
        self.planned_stop = PlannedStop(
            settings.stop,
            self.gate,
            clock.now,
            lambda: bool(self.members.alternative_vms()),
        )
        self.listeners = Listeners()
        self._components: tuple[Component, ...] = (
            self.platform,
            self.peers,
            self.membership,
            self.confirmation,
            self.sync,
            self.blocks,
            *self.requests.components,
            self.follower,
            self.timer,
        )

    async def start(self) -> None:
        """Start all components, then open the listening ports."""
        self._connect_components()
        for component in self._components:
            await component.start()
        await self._refresh_members()
        self._subscribe_to_timer()
        await self._listen()
        logger.info('node {} started', self.settings.vm.id)

    async def stop(self) -> None:
        """Announce and run the planned stop, close the ports, stop all components.

        The ordinal is released if all requests in flight have ended. Components stop
        in the reverse order of their start.
        """
        self.membership.announce_leaving()
        if await self.planned_stop.run(self.follower.current.policy):
            await self.ordinals.release()
        await self.listeners.stop()
        for component in reversed(self._components):
            await component.stop()
        logger.info('node {} stopped', self.settings.vm.id)

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this node."""
        if self.planned_stop.phase is not StopPhase.SERVING or self.gate.is_leaving:
            return False
        return self.follower.current.version > 0 and self.members.own is not None

    def _connect_components(self) -> None:
        """Subscribe the components to each other's events."""
        self.follower.is_watcher = lambda: watches_platform(self.membership.table)
        self.follower.subscribe(self._on_configuration)
        self.permits.subscribe(self.requests.admission.permits_changed)
        self.membership.subscribe_to_vm_list(self.requests.health.apply_vm_list)

    def _subscribe_to_timer(self) -> None:
        """Start the periodic work."""
        self.timer.subscribe(MAINTENANCE_PERIOD_SECONDS, self.ordinals.run_maintenance)
        self.timer.subscribe(MEMBERS_PERIOD_SECONDS, self._refresh_members)
        self.timer.subscribe(PERMITS_PERIOD_SECONDS, self.permits.tick)
        self.timer.subscribe(LENDING_PERIOD_SECONDS, self.lending.tick)
        self.timer.subscribe(
            CONFIRMATION_PERIOD_SECONDS, self.confirmation_exchange.tick
        )
        self.timer.subscribe(REFRESH_SECONDS, self.steering.refresh)
        self.timer.subscribe(REPORT_PERIOD_SECONDS, self.confirmation.tick)
        self.timer.subscribe(DRIVE_PERIOD_SECONDS, self.shifts.tick)
        self.requests.subscribe(self.timer)

    async def _listen(self) -> None:
        lookup = LookupHandler(self.steering, self.requests.issuer, self.metrics)
        callers = caller_server(
            lookup.handle,
            self.requests.issuer.handle,
            self.gate.handle,
            lambda: self.gate.is_leaving,
        )
        operations = OperationsHandler(self.is_ready, self.metrics.registry)
        settings = self.settings
        await self.listeners.listen(web.ServerRunner(callers), settings.caller)
        await self.listeners.listen_for_operators(
            Server([self._operator_service()]), settings.operator
        )
        await self.listeners.listen(
            web.AppRunner(operations.application(), access_log=None),
            settings.operations,
        )

    def _operator_service(self) -> OperatorService:
        return OperatorService(
            vm=self.settings.vm.id,
            key=self.settings.operator.key.get_secret_value(),
            follower=self.follower,
            members=self.members,
            writer=self.writer,
            permits=self.permits,
            shifts=self.shifts,
            blocks=BlockLoader(self.blocks, self.writer),
        )

    def _on_configuration(self, configuration: Configuration) -> None:
        self.peers.configuration_version = configuration.version
        self.permits.set_configuration(configuration)
        self.lending.set_configuration(configuration)
        self.steering.set_configuration(configuration)
        self.blocks.set_configuration(configuration)
        self.requests.set_configuration(configuration)

    async def _refresh_members(self) -> None:
        await self.ordinals.refresh()
        if (own := self.ordinals.own) is not None:
            self.members.record_own_claim(own)
            self.peers.ordinal = own.ordinal
            self.requests.set_ordinal(own.ordinal)
        await self.members.refresh()
        self.steering.refresh_entries()
