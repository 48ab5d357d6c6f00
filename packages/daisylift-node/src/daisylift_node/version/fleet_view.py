"""The entry VM's current view of routes, backend servers, evacuations and members."""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from daisylift.decisions.availability import (
    Availability,
    AvailabilityRegister,
    Exclusion,
)
from daisylift.decisions.cold_start import ColdStartLimiter
from daisylift.decisions.fleet_roles import ALL_WATCH_MAX_VMS, SMALL_FLEET_MAX_VMS
from daisylift.decisions.limit_notices import LimitNotice, LimitNotices
from daisylift.decisions.limit_shares import LimitShares
from daisylift.decisions.placement import ServicePlacer
from daisylift.decisions.ranking import Candidate, Location
from daisylift.decisions.region_stats import (
    OTHER_REGION_WARM_PRIOR,
    SAME_REGION_WARM_PRIOR,
    RegionStats,
)
from daisylift.decisions.route_table import RouteTable
from daisylift.decisions.server_limits import ServerLimit
from daisylift.decisions.server_stats import ServerStats
from daisylift.decisions.store_return import HeldNames, is_superseded
from daisylift.decisions.tenant_keys import TenantKeys
from daisylift.models.desired_state import DesiredState
from daisylift.models.registered_server import EntryMember, RegisteredServer
from daisylift_node.version.documents import (
    DocumentCodec,
    DocumentError,
    DocumentStore,
    StoredDocument,
)
from daisylift_node.version.replica import (
    DEFAULT_WATCH_SECONDS,
    Listener,
    Replica,
)
from daisylift_node.version.server_paces import PaceReason, ServerPaces

# Evacuations are in force 5 s after they were confirmed, also if this watch is lost.
EVACUATION_WATCH_SECONDS = 4.2
# Long, as a VM that joins tells the others by gossip; the store allows 30 s.
MEMBER_WATCH_SECONDS = 25.0
# Until peers have what this VM has, where some of them do not watch the store.
SMALL_FLEET_LEAD_SECONDS = 0.6
LARGE_FLEET_LEAD_SECONDS = 1.0
# A lapsed registration that is renewed at all is renewed within 2 s.
LAPSE_GRACE_SECONDS = 1.8
# After a return of the store from an older copy: servers without a heartbeat have left
# the store again by then, and the other writers have written again.
DEFAULT_REWRITE_SECONDS = 6.0
# The store comes back from a copy some seconds old; servers that left before that are
# not in it.
REMOVED_KEPT_SECONDS = 60.0
ASSUMED_FLEET_SIZE = 16  # used until the members have been read
ASSUMED_FLEET_NAMES = ('',) * ASSUMED_FLEET_SIZE
DEFAULT_COLD_PER_SECOND = 10.0
PEER_SOURCE = 'peer'
MAX_LOGGED_CHARACTERS = 80

Clock = Callable[[], float]


@dataclass(slots=True)
class _ServerEntry:
    server: RegisteredServer
    stats: ServerStats
    era: int
    lapses_at: float | None = None
    removed_at: float = 0.0


class FleetView:
    """Follows the store and keeps the inputs for routing decisions up to date."""

    def __init__(
        self,
        location: Location,
        region_by_domain: dict[str, str],
        codec: DocumentCodec,
        store: DocumentStore,
        cold_start_limiter: ColdStartLimiter,
        limit_shares: LimitShares,
        clock: Clock,
        watch_seconds: float = DEFAULT_WATCH_SECONDS,
        rewrite_seconds: float = DEFAULT_REWRITE_SECONDS,
    ) -> None:
        self.location = location
        self.region_by_domain = region_by_domain
        self.routes: RouteTable | None = None
        self.tenant_keys = TenantKeys()
        self.members_by_name: dict[str, EntryMember] = {}
        self.member_names: tuple[str, ...] = ASSUMED_FLEET_NAMES
        self.evacuated_domains: frozenset[str] = frozenset()
        self._codec = codec
        self._store = store
        self._cold_start_limiter = cold_start_limiter
        self.limit_shares = limit_shares
        self.limit_notices = LimitNotices()
        self.paces = ServerPaces(cold_start_limiter)
        self._clock = clock
        self.watches_store: Callable[[], bool] = lambda: True
        self._entries_by_id: dict[str, _ServerEntry] = {}
        self._entries_by_incarnation: dict[int, _ServerEntry] = {}
        self._removed_by_id: dict[str, _ServerEntry] = {}
        self._availability = AvailabilityRegister()
        self._unreadable_by_kind: dict[str, set[str]] = {}
        self._era_by_kind: dict[str, int] = {}
        self._held_servers = HeldNames(rewrite_seconds)
        self._held_members = HeldNames(rewrite_seconds)
        self._held_domains = HeldNames(rewrite_seconds)
        self._placers_by_service: dict[str, ServicePlacer] = {}
        self._region_stats: dict[tuple[str, str], RegionStats] = {}
        self._on_change: list[Callable[[], None]] = []
        self._on_server_gone: list[Callable[[RegisteredServer], None]] = []
        self.config = self._make_replica(
            codec.config_kind, self._config_changed, watch_seconds
        )
        self.servers = self._make_replica(
            codec.server_kind,
            self._servers_changed,
            watch_seconds,
            is_store_reachable=self._is_config_connected,
        )
        self.evacuations = self._make_replica(
            codec.evacuation_kind,
            self._evacuations_changed,
            EVACUATION_WATCH_SECONDS,
            is_store_reachable=self._is_config_connected,
        )
        self.members = self._make_replica(
            codec.member_kind,
            self._members_changed,
            MEMBER_WATCH_SECONDS,
            is_store_reachable=self._is_config_connected,
        )

        store.on_return(self._store_returned)

    @property
    def replicas_by_kind(self) -> dict[str, Replica]:
        """The replicas of the store's objects, by kind."""
        replicas = (self.config, self.servers, self.evacuations, self.members)
        return {replica.kind: replica for replica in replicas}

    @property
    def is_ready(self) -> bool:
        """Return whether routes and servers are loaded, as routing requires."""
        return self.routes is not None and self.servers.is_loaded

    @property
    def node_count(self) -> int:
        """The number of entry VMs among which fleet-wide limits are divided.

        16 until the members have been read: a number that is too low would give this
        VM too large a share.
        """
        if not self.members.is_loaded:
            return ASSUMED_FLEET_SIZE
        return max(1, len(self.member_names))

    def set_domain_regions(self, region_by_domain: dict[str, str]) -> None:
        """Replace the regions of the failure domains."""
        self.region_by_domain = region_by_domain
        self._placers_by_service.clear()
        self._notify_changed()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call the callback after each change of servers or routes."""
        self._on_change.append(callback)

    def on_server_gone(self, callback: Callable[[RegisteredServer], None]) -> None:
        """Call the callback with each server incarnation that is removed."""
        self._on_server_gone.append(callback)

    def placer(self, service: str) -> ServicePlacer:
        """Return the placer for the usable servers of the service."""
        placer = self._placers_by_service.get(service)
        if placer is None:
            placer = self._make_placer(service)
            self._placers_by_service[service] = placer
        return placer

    def cold_without_capacity(
        self, placer: ServicePlacer, now: float
    ) -> dict[str, bool]:
        """Return, by id, False for each cold server at its request rate limit."""
        return {
            each.server.id: False
            for each in placer.cold_candidates(now)
            if not self._cold_start_limiter.has_capacity(
                each.server.id,
                self._cold_per_second(each.server.service),
                self.member_names,
                now,
            )
        }

    def connection_share(self, service: str) -> float:
        """Return how many connections to each of its servers this VM may keep."""
        config = (
            self.routes.state.services_by_name.get(service) if self.routes else None
        )
        if config is None or config.max_connections <= 0:
            return math.inf
        return config.max_connections / self.node_count

    def start_pace(
        self,
        server: RegisteredServer,
        stats: ServerStats,
        reason: PaceReason,
        resumes_at: float = -math.inf,
    ) -> None:
        """Send the server less than its usual load until it responds in time."""
        self.paces.start(
            server,
            stats,
            reason,
            self._cold_per_second(server.service),
            self.member_names,
            self._clock(),
            resumes_at,
        )

    async def follow_paces(self) -> None:
        """Log the servers that have reached their usual load."""
        self.paces.follow(self._clock())

    def record_availability_change(
        self, server: RegisteredServer, availability: Availability
    ) -> None:
        """Apply what a server has said about new requests."""
        self._availability.remember(_start(server), availability)
        entry = self._entries_by_id.get(server.id)
        if entry is not None and _incarnation(entry.server) == _incarnation(server):
            self._update_placer(entry)
        self._notify_changed()

    def exclusions(self) -> Counter[tuple[str, str]]:
        """Return how many servers of a service take no requests, by reason."""
        now = self._clock()
        return Counter(
            (entry.server.service, exclusion.value)
            for entry in self._entries_by_id.values()
            if (exclusion := entry.stats.exclusion(now)) is not None
        )

    def unusable_by_id(self, service: str) -> dict[str, str]:
        """Return why registered servers of the service are left out of placement."""
        return {
            server_id: 'evacuated'
            if entry.server.failure_domain in self.evacuated_domains
            else Exclusion.LEAVING.value
            for server_id, entry in self._entries_by_id.items()
            if entry.server.service == service and not self._is_usable(entry)
        }

    def record_limit_change(
        self,
        server: RegisteredServer,
        limit: ServerLimit,
        previous: float | None,
        source: str,
    ) -> None:
        """Log a changed limit of a server and report it to peers.

        ``previous`` is the limit before, in requests per second. The limit of a server
        incarnation that has been removed meanwhile is ignored.
        """
        entry = self._entries_by_incarnation.get(server.incarnation_id)
        if entry is None or entry.stats.limit is not limit:
            return
        logger.bind(
            server=server.id,
            service=server.service,
            previous=previous,
            per_second=limit.per_second,
            own_per_second=self._own_share(server, limit.per_second),
            source=source,
        ).info('request rate limit of the server changed')
        self.limit_notices.put(server.incarnation_id, limit)
        self._notify_changed()

    def _own_share(
        self, server: RegisteredServer, per_second: float | None
    ) -> float | None:
        if per_second is None:
            return None
        region = self.region_by_domain.get(server.failure_domain, '')
        return round(
            self.limit_shares.share(server.id, region, per_second).per_second, 3
        )

    def apply_limit_notice(self, notice: LimitNotice, now: float) -> None:
        """Apply a limit that a peer heard of, if it is newer than the local one."""
        entry = self._entries_by_incarnation.get(notice.incarnation_id)
        if entry is None:
            return
        limit = entry.stats.limit
        previous = limit.per_second
        if limit.record_notice(notice.per_second, notice.age_seconds, now):
            self.record_limit_change(entry.server, limit, previous, PEER_SOURCE)

    async def expire_lapsed(self) -> None:
        """Remove servers whose registration lapsed and was not renewed in time."""
        now = self._clock()
        gone = [
            entry
            for entry in self._entries_by_id.values()
            if entry.lapses_at is not None and entry.lapses_at <= now
        ]
        for entry in gone:
            self._remove(entry)
        if gone:
            self._notify_changed()
        self._removed_by_id = {
            name: entry
            for name, entry in self._removed_by_id.items()
            if now - entry.removed_at < REMOVED_KEPT_SECONDS
        }

    async def expire_held(self) -> None:
        """Apply what the store holds where the time to write again is over."""
        now = self._clock()
        if names := self._held_servers.take_expired(now):
            for name in names:
                self._removed_by_id.pop(name, None)
                if name in self._entries_by_id:
                    self._entries_by_id[name].era = self.servers.position.era
            self._servers_changed(names)
        if names := self._held_members.take_expired(now):
            self._members_changed(names)
        if names := self._held_domains.take_expired(now):
            self._evacuations_changed(names)

    def unreadable_count(self, kind: str) -> int:
        """Return the number of objects of the kind that cannot be decoded."""
        return len(self._unreadable_by_kind.get(kind, ()))

    def registered_member(self, name: str) -> EntryMember | None:
        """Return the entry VM as it is registered in the store now, if it is."""
        document = self.members.documents_by_name.get(name)
        if document is None:
            return None
        try:
            return self._codec.member(name, document.body)
        except DocumentError:
            return None  # logged when the members changed

    def _make_replica(
        self,
        kind: str,
        listener: Listener,
        watch_seconds: float,
        is_store_reachable: Callable[[], bool] | None = None,
    ) -> Replica:
        return Replica(
            kind,
            self._store,
            listener,
            watch_seconds,
            self._refresh_others,
            lambda: self.watches_store(),
            is_store_reachable,
            self._retry_others,
            self._lead_seconds,
        )

    def _lead_seconds(self) -> float:
        size = len(self.members_by_name)
        if size <= ALL_WATCH_MAX_VMS:
            return 0.0
        if size <= SMALL_FLEET_MAX_VMS:
            return SMALL_FLEET_LEAD_SECONDS
        return LARGE_FLEET_LEAD_SECONDS

    def _is_config_connected(self) -> bool:
        return self.config.is_connected

    def _refresh_others(self, failed_kind: str) -> None:
        for kind, replica in self.replicas_by_kind.items():
            if kind != failed_kind:
                replica.refresh()

    def _retry_others(self, recovered_kind: str) -> None:
        for kind, replica in self.replicas_by_kind.items():
            if kind != recovered_kind:
                replica.retry()

    def _store_returned(self) -> None:
        for replica in self.replicas_by_kind.values():
            replica.store_returned()

    def _cold_per_second(self, service: str) -> float:
        service_config = (
            self.routes.state.services_by_name.get(service) if self.routes else None
        )
        if service_config is None or service_config.cold_requests_per_second <= 0.0:
            return DEFAULT_COLD_PER_SECOND
        return service_config.cold_requests_per_second

    def _make_placer(self, service: str) -> ServicePlacer:
        return ServicePlacer(
            self.location,
            (
                self._candidate(entry)
                for entry in self._entries_by_id.values()
                if entry.server.service == service and self._is_usable(entry)
            ),
            limit_shares=self.limit_shares,
            paces=self.paces,
        )

    def _is_usable(self, entry: _ServerEntry) -> bool:
        is_evacuated = entry.server.failure_domain in self.evacuated_domains
        is_leaving = entry.server.leaving or entry.stats.availability.is_leaving
        return not is_leaving and not is_evacuated

    def _update_placer(self, entry: _ServerEntry) -> None:
        """Update the server in the placer of its service."""
        placer = self._placers_by_service.get(entry.server.service)
        if placer is None:
            return
        if self._is_usable(entry):
            placer.put(self._candidate(entry))
        else:
            placer.remove(entry.server.id)

    def _candidate(self, entry: _ServerEntry) -> Candidate:
        region = self.region_by_domain.get(entry.server.failure_domain, '')
        key = (entry.server.service, region)
        stats = self._region_stats.get(key)
        if stats is None:
            prior = (
                SAME_REGION_WARM_PRIOR
                if region == self.location.region
                else OTHER_REGION_WARM_PRIOR
            )
            stats = self._region_stats[key] = RegionStats(unseen_warm_share=prior)
        return Candidate(entry.server, entry.stats, region, stats)

    def _notify_changed(self) -> None:
        for callback in self._on_change:
            callback()

    def _apply_each(
        self, kind: str, names: Iterable[str], apply: Callable[[str], None]
    ) -> None:
        """Apply the objects one by one; one that can't be applied is logged.

        ``apply`` raises DocumentError if the object cannot be decoded.
        """
        unreadable = self._unreadable_by_kind.setdefault(kind, set())
        for name in names:
            unreadable.discard(name)
            log = logger.bind(kind=kind, name=name[:MAX_LOGGED_CHARACTERS])
            try:
                apply(name)
            except DocumentError as error:
                unreadable.add(name)
                log.warning('cannot decode an object of the store: {}', error)
            except Exception:
                unreadable.add(name)
                log.exception('object of the store not applied: unexpected error')

    def _config_changed(self, names: Iterable[str]) -> None:
        self._apply_each(self.config.kind, names, self._read_desired_state)

    def _read_desired_state(self, name: str) -> None:
        document = self.config.documents_by_name.get(name)
        if document is None or not self._codec.is_desired_state(name):
            return
        state = self._codec.desired_state(document.body)
        self._apply_desired_state(state, document.revision)

    def _apply_desired_state(self, state: DesiredState, revision: int) -> None:
        current = self.routes.state.version if self.routes else None
        if current is not None and state.version <= current:
            logger.bind(version=state.version, current=current).warning(
                'desired state ignored: its version is not newer than the current one'
            )
            return
        self.routes = RouteTable(state)
        self.tenant_keys = TenantKeys(state.tenants_by_name.values())
        logger.bind(
            version=state.version,
            revision=revision,
            routes=len(state.routes),
            tenants=len(state.tenants_by_name),
        ).info('desired state in force')
        if self.tenant_keys.ambiguous_digests:
            logger.bind(
                version=state.version, keys=len(self.tenant_keys.ambiguous_digests)
            ).warning('keys that several tenants hold are accepted for none of them')
        self._notify_changed()

    def _is_return(self, replica: Replica) -> bool:
        """Return whether this is the replica's first change since the store is back."""
        era = replica.position.era
        previous = self._era_by_kind.get(replica.kind, era)
        self._era_by_kind[replica.kind] = era
        return era != previous

    def _servers_changed(self, names: Iterable[str]) -> None:
        names = set(names)
        is_return = self._is_return(self.servers)
        if is_return:
            names |= self._held_servers.take_all()

        def apply(name: str) -> None:
            document = self.servers.documents_by_name.get(name)
            if document is None:
                self._held_servers.release(name)
                entry = self._entries_by_id.get(name)
                self._mark_lapsed(entry, after_return=is_return)
                return
            try:
                self._register(document)
            except Exception:
                self._mark_lapsed(self._entries_by_id.get(name))
                raise

        self._apply_each(self.servers.kind, names, apply)
        if is_return:
            for name in self._entries_by_id.keys() - names:
                self._entries_by_id[name].era = self.servers.position.era
        self._notify_changed()

    def _register(self, document: StoredDocument) -> None:
        server = self._codec.server(document.name, document.body)
        entry = self._entries_by_id.get(server.id)
        if self._is_superseded(server, entry):
            return
        now = self._clock()
        is_same = entry is not None and (
            _incarnation(entry.server) == _incarnation(server)
        )
        is_start = False
        if entry is None or not is_same:
            if entry is not None:
                self._remove(entry)
            previous = entry or self._removed_by_id.get(server.id)
            stats = ServerStats(
                slots=server.slots, availability=self._availability_of(server)
            )
            if previous is not None:
                stats.pace = previous.stats.pace
            is_start = self.servers.is_loaded and (
                previous is None
                or _incarnation(previous.server) != _incarnation(server)
            )
            entry = _ServerEntry(server, stats, era=0)
            self._entries_by_id[server.id] = entry
            self._entries_by_incarnation[server.incarnation_id] = entry
        elif entry.server.leaving and not server.leaving:
            logger.bind(server=server.id).warning('server is no longer leaving')
        _log_registration(entry, server)
        entry.server = server
        entry.era = self.servers.position.era
        entry.lapses_at = None
        self._removed_by_id.pop(server.id, None)
        was_cold = entry.stats.is_cold(now)
        if server.cold_seconds > 0.0:
            cold_until = now + server.cold_seconds
            entry.stats.cold_until = max(entry.stats.cold_until, cold_until)
        if is_start or (not was_cold and entry.stats.is_cold(now)):
            reason = PaceReason.STARTED if is_start else PaceReason.COLD
            self.start_pace(entry.server, entry.stats, reason)
        self._update_placer(entry)

    def _availability_of(self, server: RegisteredServer) -> Availability:
        """Return what this start of the server has said about new requests."""
        if not server.started_at_ms:
            return Availability()  # its starts cannot be told apart
        return self._availability.get(_start(server))

    def _is_superseded(
        self, server: RegisteredServer, entry: _ServerEntry | None
    ) -> bool:
        """Return whether a return of the store has brought the registration back."""
        era = self.servers.position.era
        known = entry or self._removed_by_id.get(server.id)
        if known is None or known.era == era or not is_superseded(server, known.server):
            self._held_servers.release(server.id)
            return False
        if server.id not in self._held_servers:
            self._held_servers.hold(server.id, self._clock())
        logger.bind(
            server=server.id,
            era=era,
            sequence=server.sequence,
            known_sequence=known.server.sequence,
        ).info('server registration ignored: the server has replaced it already')
        return True

    def _mark_lapsed(
        self, entry: _ServerEntry | None, *, after_return: bool = False
    ) -> None:
        if entry is None or entry.lapses_at is not None:
            return
        entry.lapses_at = self._clock()
        if after_return or not entry.server.leaving:
            entry.lapses_at += LAPSE_GRACE_SECONDS
        logger.bind(server=entry.server.id).info('registration lapsed')

    def _remove(self, entry: _ServerEntry) -> None:
        self._entries_by_id.pop(entry.server.id, None)
        entry.removed_at = self._clock()
        self._removed_by_id[entry.server.id] = entry
        incarnation_id = entry.server.incarnation_id
        self._entries_by_incarnation.pop(incarnation_id, None)
        self.limit_notices.discard(incarnation_id)
        self.limit_shares.discard(entry.server.id)
        placer = self._placers_by_service.get(entry.server.service)
        if placer is not None:
            placer.remove(entry.server.id)
        self._cold_start_limiter.discard(entry.server.id)
        self.paces.discard(entry.server)
        for callback in self._on_server_gone:
            callback(entry.server)

    def _evacuations_changed(self, names: Iterable[str]) -> None:
        stored = frozenset(self.evacuations.documents_by_name)
        if self._is_return(self.evacuations):
            for domain in self.evacuated_domains - stored:
                self._held_domains.hold(domain, self._clock())
        for domain in stored:
            self._held_domains.release(domain)
        domains = stored.union(self._held_domains)
        logger.bind(
            domains=[each[:MAX_LOGGED_CHARACTERS] for each in sorted(domains)],
            held=[each[:MAX_LOGGED_CHARACTERS] for each in sorted(self._held_domains)],
            at=self.evacuations.revision,
        ).info('evacuated failure domains changed')
        self.evacuated_domains = domains
        self._placers_by_service.clear()
        self._notify_changed()

    def _members_changed(self, names: Iterable[str]) -> None:
        is_return = self._is_return(self.members)
        names = set(names)
        if is_return:
            names |= self._held_members.take_all()

        def apply(name: str) -> None:
            document = self.members.documents_by_name.get(name)
            if document is None:
                self._forget_member(name, after_return=is_return)
                return
            member = self._codec.member(name, document.body)
            self._held_members.release(name)
            known = self.members_by_name.get(name)
            if is_return and known and member.incarnation < known.incarnation:
                return
            self.members_by_name[name] = member

        self._apply_each(self.members.kind, names, apply)
        self.member_names = tuple(sorted(self.members_by_name))
        self.limit_shares.set_nodes(
            {each.name: each.region for each in self.members_by_name.values()}
        )

    def _forget_member(self, name: str, *, after_return: bool) -> None:
        if after_return and name in self.members_by_name:
            self._held_members.hold(name, self._clock())
            return
        self._held_members.release(name)
        self.members_by_name.pop(name, None)


def _start(server: RegisteredServer) -> tuple[str, int, str, int, str]:
    return (server.id, *_incarnation(server))


def _incarnation(server: RegisteredServer) -> tuple[int, str, int, str]:
    return (server.started_at_ms, server.host, server.port, server.service)


def _log_registration(entry: _ServerEntry, server: RegisteredServer) -> None:
    log = logger.bind(server=server.id, service=server.service)
    if server.leaving and not entry.server.leaving:
        log.info('server leaves')
    elif server.cold_seconds > 0.0:
        log.bind(cold_seconds=server.cold_seconds).info('server is cold')
