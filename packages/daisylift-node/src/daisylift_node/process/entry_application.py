"""The application of an entry VM on the platform: owns, starts and stops its parts."""

import asyncio
import random
import time
from collections.abc import Iterable
from dataclasses import replace

from aiohttp import web
from loguru import logger

from daisylift.decisions.cold_rate import ColdRate, ColdTerms
from daisylift.decisions.entry_directory import entries_for
from daisylift.decisions.held_bytes import ANSWER_SHARE, BODY_SHARE, HeldBytes
from daisylift.decisions.ranking import Place
from daisylift.decisions.region_shift import RegionShift
from daisylift.decisions.retry_budget import RetryBudget, RetryTerms
from daisylift.models.desired_state import CallerLimits
from daisylift.models.registered_server import EntryMember
from daisylift_node.connection.server_pool import ServerPool
from daisylift_node.entry_config import DEFAULT_CALLER_TTL_SECONDS, EntrySettings
from daisylift_node.platform import (
    PlatformDialect,
    PlatformDocuments,
    StoreClient,
    answer_document,
    read_question,
)
from daisylift_node.process.bounded_lines import BoundedLines
from daisylift_node.process.entry_metrics import EntryMetrics
from daisylift_node.process.peer_exchange import GOSSIP_SECONDS, PeerExchange
from daisylift_node.process.timer import TimerService
from daisylift_node.request.entry_handler import EntryHandler
from daisylift_node.request.steering import Steering
from daisylift_node.version.documents import StoreError
from daisylift_node.version.fleet_view import FleetView

WAKE_SECONDS = 0.05  # slots that others free are noticed within this time
LAPSE_SECONDS = 0.2
LOG_SECONDS = 0.2
IDLE_SECONDS = 1.0
INCARNATIONS_PER_SECOND = 2  # a restart takes longer; 32 bits last until 2038
REGISTER_PAUSE_SECONDS = 0.5
LOADED_POLL_SECONDS = 0.02  # a VM that has just started is wanted at once
REMOVE_LOST_SECONDS = 15.0
LISTEN_BACKLOG = 1024
BYTES_PER_MB = 1024 * 1024
STOP_ACCEPT_SHARE = 0.5  # of the grace: callers have heard of other VMs by then
STOP_MARGIN_SECONDS = 0.4  # of the grace is left for the end of the process
STOP_POLL_SECONDS = 0.02
SIDE_STOP_SECONDS = 0.05  # their answers come from memory
MILLISECONDS = 1000.0
DEAF_MARGIN_SECONDS = 0.5  # for the list that follows a watch which heard nothing
MIN_WATCH_SECONDS = 0.5


def watch_seconds(stability_seconds: float) -> float:
    """Return how long the store may hold a watch.

    A watch can go deaf without an error while the store drops its history. A VM counts
    as in touch one stability window later, and must have heard of all changes by then.
    """
    return max(MIN_WATCH_SECONDS, stability_seconds - DEAF_MARGIN_SECONDS)


class EntryApplication:
    """All parts of one entry VM."""

    def __init__(self, settings: EntrySettings, lines: BoundedLines) -> None:
        self.settings = settings
        self._lines = lines
        self._clock = asyncio.get_running_loop().time
        bounds = settings.bounds
        vm = settings.vm
        self.metrics = EntryMetrics()
        self.timer = TimerService()
        self.store = StoreClient(f'http://{settings.store.address}')
        self._documents = PlatformDocuments()
        cold_rate = ColdRate(
            ColdTerms(bounds.cold_multiplier, bounds.cold_slack), vm.id
        )
        self.view = FleetView(
            Place(vm.failure_domain, vm.region),
            settings.domains,
            self._documents,
            self.store,
            cold_rate,
            self._clock,
            watch_seconds(bounds.stability_window_ms / MILLISECONDS),
        )
        self.member = EntryMember(
            name=vm.id,
            incarnation=int(time.time() * INCARNATIONS_PER_SECOND),
            failure_domain=vm.failure_domain,
            region=vm.region,
            caller_address=str(settings.listen.caller),
            peer_host=vm.host,
            peer_port=settings.peer.port,
            link_mbps=settings.limits.link_mbps,
            cores=settings.limits.cores * settings.limits.core_share,
        )
        self.peers = PeerExchange(self.member, self.view, self._clock)
        memory_bytes = settings.limits.memory_mb * BYTES_PER_MB
        self.pool = ServerPool(HeldBytes(int(ANSWER_SHARE * memory_bytes)))
        self.view.on_server_gone(self.pool.remove_server)
        terms = RetryTerms(
            bounds.budget_ratio, bounds.budget_extra_attempts, bounds.budget_window_s
        )
        self.steering = Steering(
            self.view,
            self.pool,
            PlatformDialect(),
            RetryBudget(terms),
            cold_rate,
            RegionShift(bounds.max_region_shift),
            self.peers.breaks,
            self.metrics,
            self._clock,
        )
        self.handler = EntryHandler(
            self.view,
            self.steering,
            PlatformDialect(),
            self.metrics,
            self._clock,
            HeldBytes(int(BODY_SHARE * memory_bytes)),
        )
        self._caller_server = web.Server(
            self.handler.handle,
            request_factory=self._make_request,
            handler_cancellation=True,
        )
        self._listeners: list[asyncio.Server] = []
        self._side_servers: list[web.Server] = []
        self._side_listeners: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, follow the store and register with it."""
        await self.store.start()
        await self.peers.start()
        listen = self.settings.listen
        loop = asyncio.get_running_loop()
        self._listeners = [
            await loop.create_server(
                self._make_caller_connection,
                listen.caller.host,
                listen.caller.port,
                backlog=LISTEN_BACKLOG,
            ),
        ]
        for handle, host, port in (
            (self._readiness, listen.readiness.host, listen.readiness.port),
            (self._directory, listen.directory.host, listen.directory.port),
            (self._metrics_page, self.settings.vm.host, listen.metrics_port),
        ):
            server = web.Server(handle)
            self._side_servers.append(server)
            listener = await loop.create_server(server, host, port)
            self._side_listeners.append(listener)
        for replica in self.view.replicas_by_kind.values():
            self._tasks.append(asyncio.create_task(replica.follow()))
        self._tasks.append(asyncio.create_task(self._register()))
        self.timer.subscribe(GOSSIP_SECONDS, self._gossip)
        self.timer.subscribe(WAKE_SECONDS, self._wake)
        self.timer.subscribe(LAPSE_SECONDS, self.view.expire_lapsed)
        self.timer.subscribe(IDLE_SECONDS, self.pool.close_idle)
        self.timer.subscribe(REMOVE_LOST_SECONDS, self._remove_lost)
        self.timer.subscribe(LOG_SECONDS, self._lines.drain)
        logger.bind(incarnation=self.member.incarnation).info('started')

    def reload(self, settings: EntrySettings) -> None:
        """Take over what can change while running: the regions of failure domains."""
        self.view.take_domains(settings.domains)
        logger.bind(domains=len(settings.domains)).info('settings reloaded')

    async def stop(self) -> None:
        """Stop without cutting a request: first unready, then deaf, then gone."""
        grace = self.settings.bounds.grace_s
        started = self._clock()
        logger.bind(grace_seconds=grace).info('stopping')
        self.handler.is_stopping = True
        self.peers.liveness.ready = False
        await self.peers.gossip()
        await asyncio.sleep(grace * STOP_ACCEPT_SHARE)
        for listener in self._listeners:
            listener.close()
        # Idle connections close now: shutdown() alone would keep them open, and take
        # requests on them, until the grace is over.
        self._caller_server.pre_shutdown()
        ends_at = started + grace - STOP_MARGIN_SECONDS
        transports = [
            connection.transport
            for connection in self._caller_server.connections
            if connection.transport is not None
        ]
        left = ends_at - self._clock()
        await self._caller_server.shutdown(max(left, STOP_POLL_SECONDS))
        await self._until_sent(transports, ends_at)
        await self._stop_side_servers()
        for task in self._tasks:
            task.cancel()
        await self.timer.stop()
        await self.peers.stop()
        await self.store.stop()
        self.pool.close()
        logger.bind(seconds=round(self._clock() - started, 2)).info('stopped')
        await self._lines.drain()

    async def _stop_side_servers(self) -> None:
        """Close what answers until the end: readiness, directory and metrics.

        A connection that they accepted while the event loop closes would leave a task
        behind.
        """
        for listener in self._side_listeners:
            listener.close()
        for server in self._side_servers:
            server.pre_shutdown()
            await server.shutdown(SIDE_STOP_SECONDS)

    async def _until_sent(
        self, transports: Iterable[asyncio.Transport], ends_at: float
    ) -> None:
        """Wait for the ends of answers, which the end of the process would cut off."""
        unsent = [each for each in transports if each.get_write_buffer_size()]
        while unsent and self._clock() < ends_at:
            await asyncio.sleep(STOP_POLL_SECONDS)
            unsent = [each for each in unsent if each.get_write_buffer_size()]
        if unsent:
            logger.bind(
                connections=len(unsent),
                bytes=sum(each.get_write_buffer_size() for each in unsent),
            ).warning('answers cut: the grace is over')

    @property
    def is_ready(self) -> bool:
        """Say whether callers should come here."""
        return self.view.is_ready and not self.handler.is_stopping

    async def _gossip(self) -> None:
        self.peers.liveness.ready = self.is_ready
        await self.peers.gossip()
        self.metrics.lines_dropped(self._lines.dropped)

    async def _wake(self) -> None:
        self.steering.wake_all()

    async def _register(self) -> None:
        """Keep this VM registered, also after somebody took it for lost."""
        while True:
            if not self.view.members.is_loaded:
                await asyncio.sleep(LOADED_POLL_SECONDS)
                continue
            registered = self.view.members_by_name.get(self.member.name)
            if registered == self.member:
                await asyncio.sleep(REGISTER_PAUSE_SECONDS)
                continue
            if registered is not None:
                self._outnumber(registered.incarnation)
            body = self._documents.member_body(self.member)
            kind = self._documents.member_kind
            try:
                await self.store.put(kind, self.member.name, body)
            except StoreError as error:
                logger.warning('not registered yet: {}', error)
            else:
                logger.bind(incarnation=self.member.incarnation).info('registered')
            await asyncio.sleep(REGISTER_PAUSE_SECONDS * random.uniform(0.7, 1.3))

    def _outnumber(self, incarnation: int) -> None:
        """Exceed an earlier incarnation, even if the clock has been set back."""
        if incarnation < self.member.incarnation:
            return
        self.member = replace(self.member, incarnation=incarnation + 1)
        self.peers.liveness.incarnation = self.member.incarnation

    async def _remove_lost(self) -> None:
        """Remove the registrations of VMs that were lost long ago."""
        for name in self.peers.long_lost():
            document = self.view.members.documents_by_name.get(name)
            if document is None:
                continue
            kind = self._documents.member_kind
            try:
                await self.store.delete(kind, name, document.revision)
            except StoreError as error:
                logger.bind(member=name).warning('not removed: {}', error)
            else:
                logger.bind(member=name).info('member removed: lost for long')

    def _limits(self) -> CallerLimits:
        routes = self.view.routes
        return routes.state.limits if routes else CallerLimits()

    def _make_caller_connection(self) -> web.RequestHandler:
        limits = self._limits()
        return web.RequestHandler(
            self._caller_server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_timeout_seconds,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            access_log=None,
        )

    def _make_request(self, message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]  # noqa: E501
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._limits().body_bytes,
        )

    async def _readiness(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    async def _directory(self, request: web.BaseRequest) -> web.Response:
        members = dict(self.view.members_by_name)
        members[self.member.name] = self.member
        self.peers.liveness.ready = self.is_ready
        question = read_question(request.query)
        addresses = entries_for(
            question.region,
            question.failure_domain,
            members.values(),
            self.peers.is_ready,
            random.random,
        )
        ttl = min(DEFAULT_CALLER_TTL_SECONDS, self.settings.bounds.ttl_max_s)
        return web.json_response(answer_document(addresses, ttl))

    async def _metrics_page(self, request: web.BaseRequest) -> web.Response:
        for kind, replica in self.view.replicas_by_kind.items():
            self.metrics.replica_at(kind, replica.at)
        for service, room in self.steering.queues_by_service.items():
            self.metrics.waiting(service, len(room.waiters))
        return web.Response(body=self.metrics.exposition(), content_type='text/plain')
