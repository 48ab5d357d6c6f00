"""The application: owns every component, starts them, and cleans up after them."""

import random
import time
from typing import Protocol

from aiohttp import web
from grpclib.server import Server
from loguru import logger
from prometheus_client import generate_latest

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.membership import MemberState
from daisylift.decisions.stopping import StopPhase
from daisylift.decisions.vm_list import is_watcher
from daisylift_node.config import ListenSettings, Settings
from daisylift_node.connection.caller import caller_server
from daisylift_node.connection.peers import Address, PeerLink, new_incarnation
from daisylift_node.connection.upstream import UpstreamConnections
from daisylift_node.errors import StartError
from daisylift_node.process import clock
from daisylift_node.process.breaking import BreakRegister
from daisylift_node.process.confirming import CONFIRMING_PERIOD_SECONDS, Confirming
from daisylift_node.process.health import HealthBook
from daisylift_node.process.idempotency import IdempotencyRecords
from daisylift_node.process.idle import IdlePeers
from daisylift_node.process.lending import LENDING_PERIOD_SECONDS, Lending
from daisylift_node.process.links import LinkPacer
from daisylift_node.process.load import POLL_PERIOD_SECONDS, LoadPoller
from daisylift_node.process.members import Member, Members, usable_members
from daisylift_node.process.membership import Membership
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.notices import REPEAT_PERIOD_SECONDS, Notices
from daisylift_node.process.operator import OperatorService
from daisylift_node.process.ordinals import UPKEEP_PERIOD_SECONDS, Ordinals
from daisylift_node.process.permits import PermitPool
from daisylift_node.process.platform import PlatformClient
from daisylift_node.process.record_sweep import TICK_SECONDS as SWEEP_TICK_SECONDS
from daisylift_node.process.record_sweep import RecordSweeper
from daisylift_node.process.stopping import PlannedStop, StopGate
from daisylift_node.process.timer import TimerService
from daisylift_node.request.admission import Admission
from daisylift_node.request.elsewhere import MAX_NAMED_VMS, Elsewhere
from daisylift_node.request.exchange import Exchange
from daisylift_node.request.forward import Forwarder
from daisylift_node.request.guard import KeyGuard
from daisylift_node.request.keyed_forward import KeyedForwarder
from daisylift_node.request.lookup import LookupHandler
from daisylift_node.request.relay import RelayHandler
from daisylift_node.request.request_ids import RequestIdIssuer
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
EXPIRY_PERIOD_SECONDS = 30.0


class Component(Protocol):
    """A part with a life of its own inside the application."""

    async def start(self) -> None:
        """Begin work."""

    async def stop(self) -> None:
        """End work and clean up."""


class Application:
    """All parts of one node."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = new_incarnation()
        self.metrics = Metrics()
        self.timer = TimerService()
        self.platform = PlatformClient(settings.platform, self.metrics)
        self.peers = PeerLink(
            settings.peer, settings.vm.id, self.incarnation, self.metrics
        )
        self.connections = UpstreamConnections()
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
            choice=random.Random(),
        )
        self.members = Members(self.platform, self.membership)
        self.steering = Steering(self.members)
        self.permits = PermitPool(self.incarnation)
        self.ordinals = Ordinals(
            settings=settings,
            incarnation=self.incarnation,
            platform=self.platform,
            follower=self.follower,
            writer=self.writer,
            permits=self.permits,
        )
        self.blocks = BlockStore(self.platform, self.steering.set_blocks)
        self.links = LinkPacer(settings.vm.failure_domain, clock.now, self.metrics)
        self.notices = Notices(self.peers, self._peer_addresses, self.metrics)
        self.health = HealthBook(self.notices.announce_drain, clock.now)
        self.breaks = BreakRegister(
            self.metrics, clock.now, self.notices.announce_break
        )
        self.load = LoadPoller(
            connections=self.connections,
            health=self.health,
            metrics=self.metrics,
            clock=clock.now,
        )
        self.follower.is_watcher = lambda: is_watcher(self.membership.table)
        self.sync = PeerSync(
            settings.peer,
            self.peers,
            self.follower,
            self._addresses_by_ordinal,
            self.metrics,
        )
        self.confirmation = FleetConfirmation(
            self.members, self.peers, lambda: self.steering.steered_version
        )
        self.shifts = ShiftDriver(
            follower=self.follower,
            writer=self.writer,
            members=self.members,
            confirmation=self.confirmation,
            loads=SiteLoads(self.load, self.follower),
            metrics=self.metrics,
        )
        self.notices.listen(self.breaks, self.health)
        self.membership.listen_to_vm_list(self.health.vm_list_read)
        self.admission = Admission(
            failure_domain=settings.vm.failure_domain,
            permits=self.permits,
            health=self.health,
            clock=clock.now,
            random=random.Random(self.incarnation).random,
            closed_regions=self.links.closed_regions,
        )
        self.records = IdempotencyRecords(self.platform, self.metrics)
        self.sweeper = RecordSweeper(self.platform, self.metrics, clock.now, time.time)
        self.issuer = RequestIdIssuer(
            self.members, settings.peer.key.get_secret_value().encode()
        )
        self.forwarder = KeyedForwarder(settings.vm.id)
        self.guard = KeyGuard(
            members=self.members,
            incarnation=self.incarnation,
            issuer=self.issuer,
            records=self.records,
            forwarder=self.forwarder,
            metrics=self.metrics,
            clock=clock.now,
        )
        self.peer_connections = UpstreamConnections()
        self.elsewhere = Elsewhere(
            idle=IdlePeers(
                peers=self.peers,
                others=self._others,
                free_slots=self.admission.idle_slots,
                clock=clock.now,
                random=random.Random(self.incarnation).random,
            ),
            forwarder=Forwarder(
                settings.vm.id, self.peer_connections, self.links, clock.now
            ),
            others=self._others,
            metrics=self.metrics,
        )
        self.relay = RelayHandler(
            guard=self.guard,
            admission=self.admission,
            exchange=Exchange(self.connections, self.health, self.links, clock.now),
            elsewhere=self.elsewhere,
            breaks=self.breaks,
            metrics=self.metrics,
            clock=clock.now,
        )
        self.lending = Lending(
            permits=self.permits,
            peers=self.peers,
            members=self.members,
            waiting=self.admission.waiting,
            failure_domain=settings.vm.failure_domain,
            metrics=self.metrics,
        )
        self.confirming = Confirming(
            self.permits, self.peers, self.members, self.metrics
        )
        self.gate = StopGate(self.relay.handle, self.metrics, self._other_vms)
        self.planned_stop = PlannedStop(
            settings.stop, self.gate, clock.now, lambda: bool(self._other_vms())
        )
        self._runners: list[web.BaseRunner] = []
        self._operator_server: Server | None = None
        self._components: tuple[Component, ...] = (
            self.platform,
            self.peers,
            self.membership,
            self.confirmation,
            self.sync,
            self.blocks,
            self.connections,
            self.peer_connections,
            self.follower,
            self.timer,
            self.records,
            self.forwarder,
            self.guard,
        )

    async def start(self) -> None:
        """Start all components, then listen."""
        self.follower.subscribe(self._on_configuration)
        self.permits.subscribe(self.admission.permits_changed)
        for component in self._components:
            await component.start()
        await self._refresh_members()
        self.timer.subscribe(UPKEEP_PERIOD_SECONDS, self.ordinals.keep_up)
        self.timer.subscribe(MEMBERS_PERIOD_SECONDS, self._refresh_members)
        self.timer.subscribe(PERMITS_PERIOD_SECONDS, self.permits.tick)
        self.timer.subscribe(LENDING_PERIOD_SECONDS, self.lending.take_turn)
        self.timer.subscribe(CONFIRMING_PERIOD_SECONDS, self.confirming.take_turn)
        self.timer.subscribe(REFRESH_SECONDS, self.steering.refresh)
        self.timer.subscribe(REPORT_PERIOD_SECONDS, self.confirmation.tick)
        self.timer.subscribe(DRIVE_PERIOD_SECONDS, self.shifts.tick)
        self.timer.subscribe(POLL_PERIOD_SECONDS, self.load.poll)
        self.timer.subscribe(REPEAT_PERIOD_SECONDS, self.notices.repeat)
        self.timer.subscribe(EXPIRY_PERIOD_SECONDS, self.guard.expire)
        self.timer.subscribe(SWEEP_TICK_SECONDS, self.sweeper.tick)
        lookup = LookupHandler(self.steering, self.issuer, self.metrics)
        caller = web.ServerRunner(
            caller_server(
                lookup.handle,
                self.issuer.handle,
                self.gate.handle,
                lambda: self.gate.is_leaving,
            )
        )
        await self._listen(caller, self.settings.caller)
        operations = web.AppRunner(self._operations_application(), access_log=None)
        await self._listen(operations, self.settings.operations)
        await self._listen_for_operators()
        logger.info('{} is up', self.settings.vm.id)

    async def stop(self) -> None:
        """Leave, stop listening, then stop all components in reverse order."""
        self.membership.say_leaving()
        if await self.planned_stop.run(self.follower.current.policy):
            await self.ordinals.release()
        if self._operator_server is not None:
            self._operator_server.close()
            await self._operator_server.wait_closed()
        for runner in self._runners:
            await runner.cleanup()
        for component in reversed(self._components):
            await component.stop()
        logger.info('{} is down', self.settings.vm.id)

    def is_ready(self) -> bool:
        """Say whether callers may be sent here."""
        if self.planned_stop.phase is not StopPhase.SERVING or self.gate.is_leaving:
            return False
        return self.follower.current.version > 0 and self.members.own is not None

    def _other_vms(self) -> tuple[str, ...]:
        own = self.settings.vm.id
        usable = usable_members(self.members.by_ordinal, but=own)
        return tuple(member.caller_address for member in usable[:MAX_NAMED_VMS])

    def _addresses_by_ordinal(self) -> dict[int, Address]:
        return {member.claim.ordinal: member.peer_address for member in self._others()}

    def _others(self) -> list[Member]:
        own = self.members.own.ordinal if self.members.own is not None else None
        members = self.members.by_ordinal.items()
        return [
            member
            for ordinal, member in members
            if ordinal != own and member.state is not MemberState.GONE
        ]

    def _peer_addresses(self) -> list[Address]:
        return [member.peer_address for member in self._others()]

    def _on_configuration(self, configuration: Configuration) -> None:
        self.peers.configuration_version = configuration.version
        self.permits.set_configuration(configuration)
        self.lending.set_configuration(configuration)
        self.steering.set_configuration(configuration)
        self.blocks.set_configuration(configuration)
        self.health.set_configuration(configuration, clock.now())
        self.admission.set_configuration(configuration)
        self.relay.set_configuration(configuration)
        self.links.set_configuration(configuration)
        self.elsewhere.set_configuration(configuration)
        self.load.set_configuration(configuration)
        self.sweeper.set_configuration(configuration)
        self.connections.keep_only(self.health.by_server)

    async def _refresh_members(self) -> None:
        await self.ordinals.refresh()
        if (own := self.ordinals.own) is not None:
            self.members.hold(own)
            self.peers.ordinal = own.ordinal
            self.load.set_ordinal(own.ordinal)
            self.sweeper.set_ordinal(own.ordinal)
        await self.members.refresh()
        self.steering.refresh_entries()

    def _operations_application(self) -> web.Application:
        application = web.Application()
        application.router.add_get('/livez', self._livez)
        application.router.add_get('/readyz', self._readyz)
        application.router.add_get('/metrics', self._metrics)
        return application

    async def _livez(self, _: web.Request) -> web.Response:
        return web.Response(text='alive\n')

    async def _readyz(self, _: web.Request) -> web.Response:
        if self.is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _metrics(self, _: web.Request) -> web.Response:
        return web.Response(body=generate_latest(self.metrics.registry))

    async def _listen(self, runner: web.BaseRunner, address: ListenSettings) -> None:
        await runner.setup()
        self._runners.append(runner)
        try:
            await web.TCPSite(runner, address.host, address.port).start()
        except OSError as error:
            raise StartError(
                f'can not listen on {address.host}:{address.port}: {error.strerror}'
            ) from error

    async def _listen_for_operators(self) -> None:
        address = self.settings.operator
        service = OperatorService(
            vm=self.settings.vm.id,
            key=address.key.get_secret_value(),
            follower=self.follower,
            members=self.members,
            writer=self.writer,
            permits=self.permits,
            shifts=self.shifts,
            blocks=BlockLoader(self.blocks, self.writer),
        )
        self._operator_server = Server([service])
        try:
            await self._operator_server.start(address.host, address.port)
        except OSError as error:
            raise StartError(
                f'can not listen on {address.host}:{address.port}: {error.strerror}'
            ) from error
