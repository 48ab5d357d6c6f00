"""What operators want: routes, services and the limits on callers."""

import enum
from dataclasses import dataclass, field


class WorkKind(enum.Enum):
    """What may be done with a request whose outcome is not known."""

    SAFE = 'safe'
    DOWNLOAD = 'download'
    UNSAFE = 'unsafe'

    @property
    def is_idempotent(self) -> bool:
        """Say whether a request of this kind may run more than once."""
        return self is not WorkKind.UNSAFE


@dataclass(frozen=True, slots=True)
class Destination:
    """A service that a route sends requests to, and its share of them."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go where, and how long they may take.

    ``priority`` 0 is the highest. ``max_servers`` bounds the backend servers that one
    request may be sent to. Without ``home_regions``, any region may serve the route.
    """

    name: str
    host: str
    path_prefix: str
    kind: WorkKind
    destinations: tuple[Destination, ...]
    max_servers: int
    timeout_seconds: float
    target_seconds: float
    priority: int
    sticky: bool
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """What holds for all backend servers of a service."""

    name: str
    health_path: str
    max_connections: int
    cold_start_seconds: float
    cold_requests_per_second: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One complete version of what operators want."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, ServiceTerms] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
