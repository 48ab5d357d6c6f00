"""The application of an entry VM: creates, starts and stops all of its parts."""

import asyncio
import random
import time
from collections.abc import Iterable
from dataclasses import replace

from aiohttp import web
from loguru import logger

from daisylift.decisions.buffered_bytes import (
    REQUEST_MEMORY_SHARE,
    RESPONSE_MEMORY_SHARE,
    BufferedBytes,
)
from daisylift.decisions.cold_start import ColdStartLimiter, ColdStartLimits
from daisylift.decisions.entry_directory import select_entry_addresses
from daisylift.decisions.limit_shares import LimitShares
from daisylift.decisions.ranking import Location
from daisylift.decisions.region_shift import RegionShiftLimiter
from daisylift.decisions.response_memory import ResponseMemory
from daisylift.decisions.retry_budget import RetryBudget, RetryLimits
from daisylift.models.desired_state import CallerLimits
from daisylift.models.registered_server import MAX_INCARNATION, EntryMember
from daisylift_node.connection.server_pool import ServerPool
from daisylift_node.entry_config import DEFAULT_CALLER_TTL_SECONDS, EntrySettings
from daisylift_node.platform import (
    PlatformDialect,
    PlatformDocuments,
    StoreClient,
    directory_reply,
    parse_directory_query,
)
from daisylift_node.process.bounded_lines import BoundedLines
from daisylift_node.process.entry_metrics import EntryMetrics
from daisylift_node.process.peer_exchange import (
    GOSSIP_PERIOD_SECONDS,
    LIMITS_PERIOD_SECONDS,
    PeerExchange,
)
from daisylift_node.process.supervisor import TaskSupervisor
from daisylift_node.process.timer import TimerService
from daisylift_node.request.entry_handler import EntryHandler
from daisylift_node.request.steering import Steering
from daisylift_node.version.documents import StoreError
from daisylift_node.version.fleet_view import FleetView

WAKE_PERIOD_SECONDS = 0.05  # waiters notice slots freed elsewhere within this time
EXPIRE_LAPSED_PERIOD_SECONDS = 0.2
EXPIRE_HELD_PERIOD_SECONDS = 0.5
FOLLOW_PACES_PERIOD_SECONDS = 0.5
LOG_FLUSH_PERIOD_SECONDS = 0.2
CLOSE_IDLE_PERIOD_SECONDS = 1.0
INCARNATIONS_PER_SECOND = 2  # a restart takes over 0.5 s; 32 bits last until 2038
REGISTER_PERIOD_SECONDS = 0.5
LOADED_POLL_SECONDS = 0.02  # short, so that a new VM registers at once
REMOVE_LOST_PERIOD_SECONDS = 15.0
LISTEN_BACKLOG = 1024
BYTES_PER_MB = 1024 * 1024
STOP_ACCEPT_SHARE = 0.5  # of the grace period; callers know other VMs by then
LAST_PASS_SECONDS = 3.0  # after SIGTERM; later requests must end before the process
STOP_MARGIN_SECONDS = 0.4  # end of the grace period, reserved for the process exit
STOP_POLL_SECONDS = 0.02
SIDE_STOP_SECONDS = 0.05  # short, as responses come from memory
MS_PER_SECOND = 1000.0
LIST_MARGIN_SECONDS = 0.5  # time for the list after a watch without events
MIN_WATCH_SECONDS = 0.5
REWRITE_HEARTBEATS = 4


def watch_seconds(stability_seconds: float) -> float:
    """Return for how many seconds the store may hold a watch open.

    A watch can stop delivering events without an error while the store discards its
    history. A VM counts as in contact with the store again after one stability window,
    and must have received all changes by then.
    """
    return max(MIN_WATCH_SECONDS, stability_seconds - LIST_MARGIN_SECONDS)


def rewrite_seconds(heartbeat_seconds: float) -> float:
    """Return how long writers have to write again after a return of the store.

    A server without a heartbeat is removed after three intervals, so what is still in
    the store after four was written since, or is kept alive.
    """
    return REWRITE_HEARTBEATS * heartbeat_seconds


class EntryApplication:
    """Owns all parts of one entry VM."""

    def __init__(self, settings: EntrySettings, lines: BoundedLines) -> None:
        self.settings = settings
        self._lines = lines
        self._clock = asyncio.get_running_loop().time
        bounds = settings.bounds
        vm = settings.vm
        self.metrics = EntryMetrics()
        self.timer = TimerService(self.metrics.count_timer_failure)
        self.store = StoreClient(f'http://{settings.store.address}')
        self._documents = PlatformDocuments()
        cold_start_limiter = ColdStartLimiter(
            ColdStartLimits(bounds.cold_multiplier, bounds.cold_slack), vm.id
        )
        self.view = FleetView(
            Location(vm.failure_domain, vm.region),
            settings.domains,
            self._documents,
            self.store,
            cold_start_limiter,
            LimitShares(vm.id),
            self._clock,
            watch_seconds(bounds.stability_window_ms / MS_PER_SECOND),
            rewrite_seconds(settings.store.heartbeat_ms / MS_PER_SECOND),
        )
        self.view.paces.mode = settings.pace.servers
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
        self.pool = ServerPool(
            ResponseMemory(int(RESPONSE_MEMORY_SHARE * memory_bytes)),
            self.view.connection_share,
        )
        self.view.on_server_gone(self.pool.remove_server)
        retry_limits = RetryLimits(
            bounds.budget_ratio, bounds.budget_extra_attempts, bounds.budget_window_s
        )
        self.steering = Steering(
            self.view,
            self.pool,
            PlatformDialect(),
            RetryBudget(retry_limits),
            cold_start_limiter,
            RegionShiftLimiter(bounds.max_region_shift),
            self.peers.poison_requests,
            self.metrics,
            self._clock,
        )
        self.handler = EntryHandler(
            self.view,
            self.steering,
            PlatformDialect(),
            self.metrics,
            self._clock,
            BufferedBytes(int(REQUEST_MEMORY_SHARE * memory_bytes)),
        )
        self._caller_server = web.Server(
            self.handler.handle,
            request_factory=self._make_request,
            handler_cancellation=True,
        )
        self._listeners: list[asyncio.Server] = []
        self._side_servers: list[web.Server] = []
        self._side_listeners: list[asyncio.Server] = []
        self._tasks = TaskSupervisor(self.metrics.count_task_restart)

    async def start(self) -> None:
        """Open the ports, follow the store and register this VM in it."""
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
            self._tasks.start(f'follow-{replica.kind}', replica.follow)
        self._tasks.start('register', self._register)
        self.timer.subscribe(GOSSIP_PERIOD_SECONDS, self._gossip)
        self.timer.subscribe(LIMITS_PERIOD_SECONDS, self.peers.send_limits)
        self.timer.subscribe(WAKE_PERIOD_SECONDS, self._wake)
        self.timer.subscribe(EXPIRE_LAPSED_PERIOD_SECONDS, self.view.expire_lapsed)
        self.timer.subscribe(EXPIRE_HELD_PERIOD_SECONDS, self.view.expire_held)
        self.timer.subscribe(FOLLOW_PACES_PERIOD_SECONDS, self.view.follow_paces)
        self.timer.subscribe(CLOSE_IDLE_PERIOD_SECONDS, self.pool.close_idle)
        self.timer.subscribe(REMOVE_LOST_PERIOD_SECONDS, self._remove_lost)
        self.timer.subscribe(LOG_FLUSH_PERIOD_SECONDS, self._lines.drain)
        logger.bind(incarnation=self.member.incarnation).info('started')

    def reload(self, settings: EntrySettings) -> None:
        """Apply the settings that can change at run time: the regions of domains."""
        self.view.set_domain_regions(settings.domains)
        logger.bind(domains=len(settings.domains)).info('settings reloaded')

    async def stop(self) -> None:
        """Stop without cutting off a request.

        First report not ready, then stop accepting connections, then wait for requests
        in flight and for unsent response bytes, until the grace period ends.
        """
        grace = self.settings.bounds.grace_s
        started = self._clock()
        logger.bind(grace_seconds=grace).info('stopping')
        self.handler.is_stopping = True
        ends_at = started + grace - STOP_MARGIN_SECONDS
        accept_seconds = grace * STOP_ACCEPT_SHARE
        self.steering.stop(started + min(accept_seconds, LAST_PASS_SECONDS), ends_at)
        self.peers.liveness.ready = False
        await self.peers.send_gossip()
        await asyncio.sleep(accept_seconds)
        for listener in self._listeners:
            listener.close()
        # Close idle connections now: shutdown() alone would keep them open, and
        # accept requests on them, until the grace period ends.
        self._caller_server.pre_shutdown()
        transports = [
            connection.transport
            for connection in self._caller_server.connections
            if connection.transport is not None
        ]
        remaining_seconds = ends_at - self._clock()
        await self._caller_server.shutdown(max(remaining_seconds, STOP_POLL_SECONDS))
        await self._wait_until_sent(transports, ends_at)
        await self._stop_side_servers()
        await self._tasks.stop()
        await self.timer.stop()
        await self.peers.stop()
        await self.store.stop()
        self.pool.close()
        logger.bind(seconds=round(self._clock() - started, 2)).info('stopped')
        await self._lines.drain()

    async def _stop_side_servers(self) -> None:
        """Close the readiness, directory and metrics servers, which run until the end.

        A connection accepted while the event loop closes would leave a task behind.
        """
        for listener in self._side_listeners:
            listener.close()
        for server in self._side_servers:
            server.pre_shutdown()
            await server.shutdown(SIDE_STOP_SECONDS)

    async def _wait_until_sent(
        self, transports: Iterable[asyncio.Transport], ends_at: float
    ) -> None:
        """Wait for unsent response bytes, which the process exit would discard."""
        unsent = [each for each in transports if each.get_write_buffer_size()]
        while unsent and self._clock() < ends_at:
            await asyncio.sleep(STOP_POLL_SECONDS)
            unsent = [each for each in unsent if each.get_write_buffer_size()]
        if unsent:
            logger.bind(
                connections=len(unsent),
                bytes=sum(each.get_write_buffer_size() for each in unsent),
            ).warning(
                'responses cut off: unsent bytes remained when the grace period ended'
            )

    @property
    def is_ready(self) -> bool:
        """Return whether callers should be sent to this VM."""
        return self.view.is_ready and not self.handler.is_stopping

    async def _gossip(self) -> None:
        self.peers.liveness.ready = self.is_ready
        await self.peers.send_gossip()
        self.metrics.set_lines_dropped(self._lines.dropped)

    async def _wake(self) -> None:
        self.steering.wake_all()

    async def _register(self) -> None:
        """Keep this VM registered, also after another VM removed it as lost."""
        while True:
            if not self.view.members.is_loaded:
                await asyncio.sleep(LOADED_POLL_SECONDS)
                continue
            registered = self.view.registered_member(self.member.name)
            if registered == self.member:
                await asyncio.sleep(REGISTER_PERIOD_SECONDS)
                continue
            if registered is not None:
                self._raise_incarnation_above(registered.incarnation)
            body = self._documents.member_body(self.member)
            kind = self._documents.member_kind
            try:
                await self.store.put(kind, self.member.name, body)
            except StoreError as error:
                logger.warning('registration failed, will be retried: {}', error)
            else:
                logger.bind(incarnation=self.member.incarnation).info('registered')
            await asyncio.sleep(REGISTER_PERIOD_SECONDS * random.uniform(0.7, 1.3))

    def _raise_incarnation_above(self, incarnation: int) -> None:
        """Raise the incarnation above a registered one, even after a clock set back."""
        if incarnation < self.member.incarnation:
            return
        higher = min(incarnation + 1, MAX_INCARNATION)
        self.member = replace(self.member, incarnation=higher)
        self.peers.liveness.incarnation = self.member.incarnation

    async def _remove_lost(self) -> None:
        """Remove the registrations of VMs that have been lost for a long time."""
        for name in self.peers.lost_members_to_remove():
            document = self.view.members.documents_by_name.get(name)
            is_current = self.view.members.position.era == self.store.era
            if document is None or not is_current:
                continue  # the revision may be another object's in the store's era
            kind = self._documents.member_kind
            try:
                await self.store.delete(kind, name, document.revision)
            except StoreError as error:
                logger.bind(member=name).warning(
                    'registration of a lost member not removed: {}', error
                )
            else:
                logger.bind(member=name).info(
                    'registration removed: member has been lost for a long time'
                )

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
            auto_decompress=False,  # bodies are passed on and counted as sent
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
        query = parse_directory_query(request.query)
        addresses = select_entry_addresses(
            query.region,
            query.failure_domain,
            members.values(),
            self.peers.is_ready,
            random.random,
        )
        ttl = min(DEFAULT_CALLER_TTL_SECONDS, self.settings.bounds.ttl_max_s)
        return web.json_response(directory_reply(addresses, ttl))

    async def _metrics_page(self, request: web.BaseRequest) -> web.Response:
        for kind, replica in self.view.replicas_by_kind.items():
            self.metrics.set_replica_revision(kind, replica.revision)
            self.metrics.set_unreadable(kind, self.view.unreadable_count(kind))
        self.metrics.set_store_era(self.store.era)
        self.metrics.set_excluded_servers(self.view.exclusions())
        self.metrics.set_connections_opened(self.pool.opened_by_reason)
        paces = self.view.paces
        self.metrics.set_paces(paces.counts(), paces.withheld_by_service)
        for service, queue in self.steering.queues_by_service.items():
            self.metrics.set_waiting(service, len(queue.waiters))
        return web.Response(body=self.metrics.exposition(), content_type='text/plain')
