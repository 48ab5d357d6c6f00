"""The application of an entry VM: creates, starts and stops all of its parts."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from aiohttp import web
from loguru import logger

from daisylift.decisions.buffered_bytes import (
    REQUEST_MEMORY_SHARE,
    RESPONSE_MEMORY_SHARE,
    UNSENT_MEMORY_SHARE,
    BufferedBytes,
)
from daisylift.decisions.cold_start import ColdStartLimiter, ColdStartLimits
from daisylift.decisions.entry_directory import select_entry_addresses
from daisylift.decisions.entry_stop import EntryStopPhase, EntryStopPlan
from daisylift.decisions.limit_shares import LimitShares
from daisylift.decisions.pipelining import EARLY_MEMORY_SHARE, EarlyRequests
from daisylift.decisions.port_retry import PortRetry
from daisylift.decisions.ranking import Location
from daisylift.decisions.region_shift import RegionShiftLimiter
from daisylift.decisions.response_memory import ResponseMemory
from daisylift.decisions.retry_budget import RetryBudget, RetryLimits
from daisylift.decisions.usage_caps import UsageBounds
from daisylift.models.desired_state import CallerLimits
from daisylift.models.registered_server import MAX_INCARNATION, EntryMember
from daisylift_node.connection.entry_connection import EntryConnection
from daisylift_node.connection.pipelined_connection import (
    EntryRequest,
    PipelinedConnection,
)
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
from daisylift_node.process.open_ports import PortOpener
from daisylift_node.process.peer_exchange import (
    GOSSIP_PERIOD_SECONDS,
    LIMITS_PERIOD_SECONDS,
    PeerExchange,
)
from daisylift_node.process.supervisor import TaskSupervisor
from daisylift_node.process.timer import TimerService
from daisylift_node.process.usage_exchange import (
    IDLE_PERIOD_SECONDS,
    MEMBERS_PERIOD_SECONDS,
    USAGE_PERIOD_SECONDS,
    UsageExchange,
)
from daisylift_node.request.entry_handler import EntryHandler
from daisylift_node.request.placement_report import (
    PlacementQuestion,
    PlacementReporter,
    QuestionError,
)
from daisylift_node.request.steering import Steering
from daisylift_node.version.documents import StoreError
from daisylift_node.version.fleet_view import FleetView

WAKE_PERIOD_SECONDS = 0.05  # waiters notice slots freed elsewhere within this time
EXPIRE_LAPSED_PERIOD_SECONDS = 0.2
EXPIRE_HELD_PERIOD_SECONDS = 0.5
FOLLOW_PACES_PERIOD_SECONDS = 0.5
LOG_FLUSH_PERIOD_SECONDS = 0.2
CLOSE_IDLE_PERIOD_SECONDS = 1.0
CLOSE_STALLED_PERIOD_SECONDS = 1.0
INCARNATIONS_PER_SECOND = 2  # a restart takes over 0.5 s; 32 bits last until 2038
REGISTER_PERIOD_SECONDS = 0.5
LOADED_POLL_SECONDS = 0.02  # short, so that a new VM registers at once
REMOVE_LOST_PERIOD_SECONDS = 15.0
TENANTS_PERIOD_SECONDS = 15.0  # of the figures of the tenants
MAX_LOGGED_TENANTS = 10
LISTEN_BACKLOG = 1024
PLACEMENT_PATH = '/placement'  # on the metrics address
BYTES_PER_MB = 1024 * 1024
STOP_POLL_SECONDS = 0.02
SIDE_STOP_SECONDS = 0.05  # short, as responses come from memory
MS_PER_SECOND = 1000.0
# Until a watch without an answer is given up, and the next one is answered.
LIST_MARGIN_SECONDS = 0.6
MIN_WATCH_SECONDS = 0.5
REWRITE_HEARTBEATS = 4


def watch_seconds(stability_seconds: float) -> float:
    """Return for how many seconds the store may hold a watch open.

    A watch can stop delivering events without an error while the store discards its
    history, or be lost while the store is silent. A VM counts as in contact with the
    store again after one stability window, and must have received all changes by then.
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
        self._unsent_bytes = BufferedBytes(int(UNSENT_MEMORY_SHARE * memory_bytes))
        self.handler = EntryHandler(
            self.view,
            self.steering,
            PlatformDialect(),
            self.metrics,
            self._clock,
            BufferedBytes(int(REQUEST_MEMORY_SHARE * memory_bytes)),
            self._unsent_bytes,
        )
        self._early_requests = EarlyRequests(int(EARLY_MEMORY_SHARE * memory_bytes))
        self.usage = UsageExchange(
            vm.id,
            UsageBounds(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack),
            self.view,
            self.peers.send_to,
            self.peers.is_alive,
            self.metrics,
        )
        self.peers.receive_usage = self.usage.receive
        self.steering.admit_repeat = self.usage.admit_repeat
        self.handler.usage = self.usage
        self._reporter = PlacementReporter(
            self.view, self.steering, self.usage.describe, self._clock
        )
        self._caller_server = web.Server(
            self._respond,
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
        await self._open_ports()
        for replica in self.view.replicas_by_kind.values():
            self._tasks.start(f'follow-{replica.kind}', replica.follow)
        self._tasks.start('register', self._register)
        self.timer.subscribe(GOSSIP_PERIOD_SECONDS, self._gossip)
        self.timer.subscribe(LIMITS_PERIOD_SECONDS, self.peers.send_limits)
        self.timer.subscribe(WAKE_PERIOD_SECONDS, self._wake)
        self.timer.subscribe(USAGE_PERIOD_SECONDS, self.usage.expire)
        self.timer.subscribe(MEMBERS_PERIOD_SECONDS, self.usage.update_members)
        self.timer.subscribe(IDLE_PERIOD_SECONDS, self.usage.discard_idle)
        self.timer.subscribe(EXPIRE_LAPSED_PERIOD_SECONDS, self.view.expire_lapsed)
        self.timer.subscribe(EXPIRE_HELD_PERIOD_SECONDS, self.view.expire_held)
        self.timer.subscribe(FOLLOW_PACES_PERIOD_SECONDS, self.view.follow_paces)
        self.timer.subscribe(CLOSE_IDLE_PERIOD_SECONDS, self.pool.close_idle)
        self.timer.subscribe(CLOSE_STALLED_PERIOD_SECONDS, self._close_stalled)
        self.timer.subscribe(REMOVE_LOST_PERIOD_SECONDS, self._remove_lost)
        self.timer.subscribe(TENANTS_PERIOD_SECONDS, self.report_tenants)
        self.timer.subscribe(LOG_FLUSH_PERIOD_SECONDS, self._lines.drain)
        logger.bind(incarnation=self.member.incarnation).info('started')

    async def _open_ports(self) -> None:
        """Open all ports, the callers' port last: what it accepts can be answered."""
        retry = PortRetry(self._clock(), self.settings.bounds.grace_s)
        ports = PortOpener(retry, self._clock, self._lines.drain)
        await self.peers.start(ports)
        listen = self.settings.listen
        for handle, host, port in (
            (self._readiness, listen.readiness.host, listen.readiness.port),
            (self._directory, listen.directory.host, listen.directory.port),
            (self._operations, self.settings.vm.host, listen.metrics_port),
        ):
            server = web.Server(handle)
            self._side_servers.append(server)
            self._side_listeners.append(await self._listen(ports, server, host, port))
        caller = listen.caller
        self._listeners.append(
            await self._listen(
                ports, self._make_caller_connection, caller.host, caller.port
            )
        )

    async def _listen(
        self,
        ports: PortOpener,
        make_connection: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
    ) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await ports.open(
            host,
            port,
            lambda: loop.create_server(
                make_connection, host, port, backlog=LISTEN_BACKLOG
            ),
        )

    def reload(self, settings: EntrySettings) -> None:
        """Apply the settings that can change at run time: the regions of domains."""
        self.view.set_domain_regions(settings.domains)
        logger.bind(domains=len(settings.domains)).info('settings reloaded')

    async def stop(self) -> None:
        """Stop; each request that was read is served or refused as not run.

        First report not ready, then stop accepting connections, then wait until all
        connections have ended, at most until the end of the grace period.
        """
        plan = EntryStopPlan(self._clock(), self.settings.bounds.grace_s)
        logger.bind(grace_seconds=plan.grace_seconds).info('stopping')
        self.handler.begin_stop(plan)
        self.steering.begin_stop(plan)
        self.peers.liveness.ready = False
        await self.peers.send_gossip()
        await asyncio.sleep(plan.accepts_until - self._clock())
        for listener in self._listeners:
            listener.close()
        await self._finish_connections(plan)
        await self.close()
        seconds = round(self._clock() - plan.started_at, 2)
        logger.bind(seconds=seconds).info('stopped')
        await self._lines.drain()

    async def close(self) -> None:
        """Close everything at once, also after a start that was not completed."""
        for listener in self._listeners:
            listener.close()
        await self._caller_server.shutdown(SIDE_STOP_SECONDS)
        await self._stop_side_servers()
        await self._tasks.stop()
        await self.timer.stop()
        await self.peers.stop()
        await self.store.stop()
        self.pool.close()
        await self._lines.drain()

    async def _finish_connections(self, plan: EntryStopPlan) -> None:
        """Close idle connections, and wait until the others have their answers."""
        transports: set[asyncio.Transport] = set()
        while True:
            phase = plan.phase(self._clock(), len(self._caller_server.connections))
            if phase is EntryStopPhase.DONE:
                break
            for connection in self._entry_connections():
                if connection.transport is not None:
                    transports.add(connection.transport)
                connection.close_if_idle()
                if phase is EntryStopPhase.REFUSING:
                    connection.refuse_partial_head()
            await asyncio.sleep(STOP_POLL_SECONDS)
        _log_cut_off(self._caller_server.connections, transports)

    def _entry_connections(self) -> list[EntryConnection]:
        connections = self._caller_server.connections
        return [each for each in connections if isinstance(each, EntryConnection)]

    async def _stop_side_servers(self) -> None:
        """Close the readiness, directory and metrics servers, which run until the end.

        A connection accepted while the event loop closes would leave a task behind.
        """
        for listener in self._side_listeners:
            listener.close()
        for server in self._side_servers:
            server.pre_shutdown()
        await asyncio.gather(
            *(each.shutdown(SIDE_STOP_SECONDS) for each in self._side_servers)
        )

    @property
    def is_ready(self) -> bool:
        """Return whether callers should be sent to this VM."""
        is_serving = self.view.is_ready and self.usage.is_ready
        return is_serving and not self.handler.is_stopping

    async def _gossip(self) -> None:
        self.peers.liveness.ready = self.is_ready
        await self.peers.send_gossip()
        self.metrics.set_lines_dropped(self._lines.dropped)

    async def _wake(self) -> None:
        self.steering.wake_all()

    async def report_tenants(self) -> None:
        """Publish how the tenants were served in the period that ends."""
        report = self.handler.tenant_stats.close_period()
        self.metrics.set_tenants(report)
        if report.worst_served_share is not None:
            logger.bind(
                tenants=report.tenants,
                worst=report.worst_names[:MAX_LOGGED_TENANTS],
                served_share=round(report.worst_served_share, 4),
                seconds=TENANTS_PERIOD_SECONDS,
            ).info('tenants served worst')

    async def _register(self) -> None:
        """Keep this VM registered, also after another VM removed it as lost."""
        while True:
            if not self.view.members.is_loaded:
                await asyncio.sleep(LOADED_POLL_SECONDS)
                continue
            await self.usage.update_members()  # as they are without this VM
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

    def _make_caller_connection(self) -> PipelinedConnection:
        limits = self._limits()
        return PipelinedConnection(
            self._caller_server,
            self.handler,
            self._early_requests,
            self._unsent_bytes,
            self._clock,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_timeout_seconds,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            auto_decompress=False,  # bodies are passed on and counted as sent
            access_log=None,
        )

    def _make_request(self, message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]  # noqa: E501
        request = EntryRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._limits().body_bytes,
        )
        protocol.begin(request)
        return request

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        return await request.protocol.respond(request)

    async def _close_stalled(self) -> None:
        for connection in self._caller_server.connections:
            connection.close_if_stalled()

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
            self._home_regions(query.host),
        )
        ttl = min(DEFAULT_CALLER_TTL_SECONDS, self.settings.bounds.ttl_max_s)
        return web.json_response(directory_reply(addresses, ttl))

    def _home_regions(self, host: str) -> frozenset[str]:
        routes = self.view.routes
        return routes.home_regions(host) if routes else frozenset()

    async def _operations(self, request: web.BaseRequest) -> web.Response:
        """Serve the metrics, or where a request would go."""
        if request.path != PLACEMENT_PATH:
            return await self._metrics_page(request)
        try:
            question = PlacementQuestion.from_query(request.query)
        except QuestionError as error:
            return web.json_response({'error': str(error)}, status=400)
        vm = self.settings.vm
        failure_domain = request.query.get('failure_domain', vm.failure_domain)
        asked = {'vm': vm.id, 'failure_domain': vm.failure_domain}
        entry_vms = self._entry_vms(question.host, failure_domain)
        report = asked | self._reporter.report(question) | {'entry_vms': entry_vms}
        return web.json_response(report)

    def _entry_vms(self, host: str, failure_domain: str) -> list[str]:
        """Return the VMs that callers of the failure domain are sent to."""
        members = dict(self.view.members_by_name)
        members[self.member.name] = self.member
        addresses = select_entry_addresses(
            self.view.region_by_domain.get(failure_domain, ''),
            failure_domain,
            members.values(),
            self.peers.is_ready,
            lambda: 0.0,
            self._home_regions(host),
        )
        names = {each.caller_address: each.name for each in members.values()}
        return sorted(names[each] for each in addresses)

    async def _metrics_page(self, request: web.BaseRequest) -> web.Response:
        for kind, replica in self.view.replicas_by_kind.items():
            self.metrics.set_replica_revision(kind, replica.revision)
            self.metrics.set_replica_age(kind, replica.age_seconds())
            self.metrics.set_unreadable(kind, self.view.unreadable_count(kind))
        self.metrics.set_store_era(self.store.era)
        self.metrics.set_held(
            self._early_requests.requests, self._unsent_bytes.buffered
        )
        self.metrics.set_usage_tokens(self.usage.most_moved())
        self.metrics.set_excluded_servers(self.view.exclusions())
        self.metrics.set_connections_opened(self.pool.opened_by_reason)
        paces = self.view.paces
        self.metrics.set_paces(paces.counts(), paces.withheld_by_service)
        for service, queue in self.steering.queues_by_service.items():
            self.metrics.set_waiting(service, len(queue.waiters))
        return web.Response(body=self.metrics.exposition(), content_type='text/plain')


def _log_cut_off(
    connections: Sequence[web.RequestHandler], transports: Iterable[asyncio.Transport]
) -> None:
    """Log what the end of the grace period cuts off, if anything."""
    unsent_bytes = sum(each.get_write_buffer_size() for each in transports)
    if connections:
        logger.bind(connections=len(connections), bytes=unsent_bytes).warning(
            'connections cut off: the grace period ended; bytes remained unsent'
        )
