"""Decoding of the documents in the platform's store into the product's types."""

import ipaddress
import re
from collections.abc import Iterable, Mapping
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from daisylift.decisions.tenant_keys import digest_key
from daisylift.models.desired_state import (
    CallerLimits,
    DesiredState,
    Destination,
    RequestKind,
    Route,
    ServiceConfig,
    Tenant,
)
from daisylift.models.registered_server import (
    MAX_INCARNATION,
    EntryMember,
    RegisteredServer,
)
from daisylift_node.version.documents import DocumentError

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
SERVER_KIND = 'servers'
EVACUATION_KIND = 'evacuations'
MEMBER_KIND = 'daisylift-members'
VERSION_BASE = 16
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_LOGGED_CHARACTERS = 80
MAX_SLOTS = 65_535  # each takes a connection at least
MAX_COLD_MS = MAX_TIMEOUT_MS = 24 * 3_600_000.0
MAX_LIMIT_BYTES = 2**31 - 1
MS_PER_SECOND = 1000.0
REQUEST_KINDS_BY_NAME = {
    'safe': RequestKind.SAFE,
    'download': RequestKind.DOWNLOAD,
    'unsafe': RequestKind.UNSAFE,
}
DRAINING_STATE = 'draining'
READY_STATE = 'ready'
DEFAULT_LIMITS = CallerLimits()
MAX_TENANT_REQUESTS = 1e9  # a second, and of a burst
MAX_LINK_MBPS = 1e7
MAX_CORES = 1e5
TENANT_NAME_PATTERN = '^[!-~]([ -~]{0,251}[!-~])?$'  # what a header can carry
CALLER_ADDRESS_PATTERN = '^[A-Za-z0-9.-]{1,253}:[0-9]{1,5}$'
_ID = re.compile('[!-~]{1,253}')  # what a header can carry
DocumentT = TypeVar('DocumentT', bound=BaseModel)


class _Document(BaseModel):
    model_config = ConfigDict(extra='ignore', strict=True, hide_input_in_errors=True)


class _Match(_Document):
    path_prefix: str = Field(min_length=1)


class _SplitPart(_Document):
    service: str = Field(min_length=1)
    weight: int = Field(ge=0)


class _Action(_Document):
    service: str | None = None
    traffic_split: list[_SplitPart] | None = None
    timeout_ms: float = Field(gt=0, le=MAX_TIMEOUT_MS)
    attempts: int = Field(ge=1)  # servers that one request may be sent to
    home_regions: list[str] = []  # empty: any region may serve

    def destinations(self) -> tuple[Destination, ...]:
        if self.traffic_split:
            return tuple(
                Destination(part.service, part.weight)
                for part in self.traffic_split
                if part.weight > 0
            )
        return (Destination(self.service, 1),) if self.service else ()


class _Rule(_Document):
    name: str
    kind: str
    target_latency_ms: float | None = None
    priority: int = 0  # 0 is the most urgent
    sticky: bool = False  # a server is faster with recently handled objects
    public: bool = False  # needs no key
    match: _Match
    action: _Action


class _Listener(_Document):
    host: str
    rules: list[_Rule]


class _Cluster(_Document):
    name: str
    health_path: str = '/'
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0  # requests per second that a cold server can handle


class _Tenant(_Document):
    name: str = Field(pattern=TENANT_NAME_PATTERN)
    keys: list[Annotated[str, Field(min_length=1)]] = []
    priority: int | None = None  # goes before that of the route
    requests_per_s: float | None = Field(None, ge=0, le=MAX_TENANT_REQUESTS)
    burst: float | None = Field(None, ge=0, le=MAX_TENANT_REQUESTS)
    home_regions: list[str] = []


class _Limits(_Document):
    header_bytes: int = Field(DEFAULT_LIMITS.header_bytes, gt=0, le=MAX_LIMIT_BYTES)
    body_bytes: int = Field(DEFAULT_LIMITS.body_bytes, ge=0, le=MAX_LIMIT_BYTES)
    header_timeout_ms: float = Field(
        DEFAULT_LIMITS.header_timeout_seconds * MS_PER_SECOND, gt=0, le=MAX_TIMEOUT_MS
    )
    idle_timeout_ms: float = Field(
        DEFAULT_LIMITS.idle_timeout_seconds * MS_PER_SECOND, gt=0, le=MAX_TIMEOUT_MS
    )


class _Config(_Document):
    version: str = Field(pattern='^[0-9A-Fa-f]{1,16}$')
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None
    listeners: list[_Listener]
    clusters: list[_Cluster]


class _Server(_Document):
    service: str = Field(min_length=1)
    address: str
    zone: str = Field(min_length=1)
    version: str
    slots: int = Field(ge=1, le=MAX_SLOTS)
    state: str
    cold_remaining_ms: float = Field(ge=0, le=MAX_COLD_MS)  # at the time of writing
    born: int = Field(default=0, ge=0)  # start in Unix ms, by the server's clock
    sequence: int = Field(ge=0)  # number of the heartbeat since the start


class _Member(_Document):
    incarnation: int = Field(ge=0, le=MAX_INCARNATION)
    failure_domain: str
    region: str
    caller_address: str = Field(pattern=CALLER_ADDRESS_PATTERN)
    peer_host: str
    peer_port: int = Field(ge=1, le=MAX_PORT)
    link_mbps: float = Field(default=0.0, ge=0, le=MAX_LINK_MBPS)
    cores: float = Field(default=0.0, ge=0, le=MAX_CORES)


class PlatformDocuments:
    """Decodes documents of operators, backend servers and entry VMs; encodes members.

    Every method that decodes raises DocumentError for a document that it can't
    decode.
    """

    config_kind = CONFIG_KIND
    server_kind = SERVER_KIND
    evacuation_kind = EVACUATION_KIND
    member_kind = MEMBER_KIND

    def is_desired_state(self, name: str) -> bool:
        """Return whether the object of this name holds the desired state in force."""
        return name == CONFIG_NAME

    def desired_state(self, body: Any) -> DesiredState:
        """Return the desired state from the body of the configuration object."""
        config = _validated(_Config, body)
        return DesiredState(
            version=int(config.version, VERSION_BASE),
            routes=tuple(
                _route(listener.host, rule)
                for listener in config.listeners
                for rule in listener.rules
            ),
            services_by_name={each.name: _service(each) for each in config.clusters},
            limits=CallerLimits(
                header_bytes=config.limits.header_bytes,
                body_bytes=config.limits.body_bytes,
                header_timeout_seconds=config.limits.header_timeout_ms / MS_PER_SECOND,
                idle_timeout_seconds=config.limits.idle_timeout_ms / MS_PER_SECOND,
            ),
            tenants_by_name=_tenants_by_name(config.tenants or ()),
        )

    def server(self, name: str, body: Any) -> RegisteredServer:
        """Return the backend server whose registration has this body."""
        _check_id(name)
        server = _validated(_Server, body)
        host, port = _address(server.address)
        if server.state not in (DRAINING_STATE, READY_STATE):
            raise DocumentError(f'unknown state {_shortened(server.state)}')
        return RegisteredServer(
            id=name,
            service=server.service,
            host=host,
            port=port,
            failure_domain=server.zone,
            slots=server.slots,
            leaving=server.state == DRAINING_STATE,
            cold_seconds=server.cold_remaining_ms / MS_PER_SECOND,
            started_at_ms=server.born,
            sequence=server.sequence,
        )

    def member(self, name: str, body: Any) -> EntryMember:
        """Return the entry VM whose registration has this body."""
        _check_id(name)
        member = _validated(_Member, body)
        _ipv4_address(member.peer_host)
        return EntryMember(name=name, **member.model_dump())

    def member_body(self, member: EntryMember) -> Mapping[str, Any]:
        """Return the body of the entry VM's registration."""
        return {
            'incarnation': member.incarnation,
            'failure_domain': member.failure_domain,
            'region': member.region,
            'caller_address': member.caller_address,
            'peer_host': member.peer_host,
            'peer_port': member.peer_port,
            'link_mbps': member.link_mbps,
            'cores': member.cores,
        }


def _validated(model: type[DocumentT], body: Any) -> DocumentT:
    try:
        return model.model_validate(body)
    except ValidationError as error:
        violation = error.errors(include_input=False)[0]
        location = '.'.join(str(part) for part in violation['loc'])
        raise DocumentError(f'{location}: {violation["msg"]}') from error


def _address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port; host names are not resolved."""
    host, _, digits = text.rpartition(':')
    is_port = digits.isascii() and digits.isdigit() and len(digits) <= MAX_PORT_DIGITS
    if not is_port or not 0 < int(digits) <= MAX_PORT:
        raise DocumentError(f'address {_shortened(text)} does not end with a port')
    return _ipv4_address(host), int(digits)


def _ipv4_address(text: str) -> str:
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError as error:
        raise DocumentError(f'{_shortened(text)} is not an IPv4 address') from error


def _check_id(name: str) -> None:
    if not _ID.fullmatch(name):
        raise DocumentError(f'the name {_shortened(name)} is not usable as an id')


def _shortened(text: str) -> str:
    """Return the text in quotes, cut so that it fits a log line."""
    if len(text) <= MAX_LOGGED_CHARACTERS:
        return repr(text)
    return f'{text[:MAX_LOGGED_CHARACTERS]!r}...'


def _route(host: str, rule: _Rule) -> Route:
    timeout_seconds = rule.action.timeout_ms / MS_PER_SECOND
    target_ms = rule.target_latency_ms
    return Route(
        name=rule.name,
        host=host.lower(),
        path_prefix=rule.match.path_prefix,
        kind=REQUEST_KINDS_BY_NAME.get(rule.kind, RequestKind.UNSAFE),
        destinations=rule.action.destinations(),
        max_servers=rule.action.attempts,
        timeout_seconds=timeout_seconds,
        target_seconds=timeout_seconds
        if target_ms is None
        else target_ms / MS_PER_SECOND,
        priority=rule.priority,
        sticky=rule.sticky,
        home_regions=frozenset(rule.action.home_regions),
        is_public=rule.public,
    )


def _tenants_by_name(tenants: Iterable[_Tenant]) -> dict[str, Tenant]:
    """Return the tenants by name; only digests of their keys are kept."""
    tenants_by_name: dict[str, Tenant] = {}
    for each in tenants:
        if each.name in tenants_by_name:
            raise DocumentError(f'two tenants are named {_shortened(each.name)}')
        tenants_by_name[each.name] = Tenant(
            name=each.name,
            key_digests=frozenset(map(digest_key, each.keys)),
            priority=each.priority,
            requests_per_second=each.requests_per_s or None,
            burst=each.burst or 0.0,
            home_regions=frozenset(each.home_regions),
        )
    return tenants_by_name


def _service(cluster: _Cluster) -> ServiceConfig:
    return ServiceConfig(
        name=cluster.name,
        health_path=cluster.health_path,
        max_connections=cluster.max_connections,
        cold_start_seconds=cluster.cold_start_s,
        cold_requests_per_second=cluster.cold_per_s,
    )
