"""Desired state as set by operators: routes, services and limits for callers."""

import enum
from dataclasses import dataclass, field


class RequestKind(enum.Enum):
    """Kind of request, which decides what may be done if its outcome is unknown."""

    SAFE = 'safe'
    DOWNLOAD = 'download'
    UNSAFE = 'unsafe'

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request of this kind may run more than once."""
        return self is not RequestKind.UNSAFE


@dataclass(frozen=True, slots=True)
class Destination:
    """A service that a route sends requests to, and the weight of its share."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Where matching requests go, and how long they may take.

    ``priority`` 0 is the highest. ``max_servers`` limits the number of backend servers
    that one request may be sent to. If ``home_regions`` is empty, any region may serve
    the route. A public route needs no key of a tenant.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    destinations: tuple[Destination, ...]
    max_servers: int
    timeout_seconds: float
    target_seconds: float
    priority: int
    sticky: bool
    home_regions: frozenset[str] = frozenset()
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer of the operator, whose callers send one of its keys.

    Keys are held as SHA-256 digests. ``priority`` replaces that of the route; None
    leaves it. ``requests_per_second`` and ``burst`` limit the requests of all its
    callers at all entry VMs together; without a rate there is no limit. If
    ``home_regions`` is empty, any region may serve the tenant.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    requests_per_second: float | None = None
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Settings that apply to all backend servers of a service."""

    name: str
    health_path: str
    max_connections: int
    cold_start_seconds: float
    cold_requests_per_second: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for callers' requests and connections."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One complete version of the desired state.

    If there are tenants, a request needs a key of one, unless its route is public.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, ServiceConfig] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    tenants_by_name: dict[str, Tenant] = field(default_factory=dict)
