"""The configuration at one version, and the reasons for refusing a change."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from daisylift.decisions.shifts import Shift
from daisylift.decisions.steering import Cut
from daisylift.errors import PolicyError
from daisylift.models import Policy, Service

EMPTY_POLICY = Policy(failure_domains=(), roster=(), services=())
OPERATIONS_IN_GENERATION = 2048
UNKNOWN_HOME = ''


class ChangeProblem(enum.StrEnum):
    """Why a change was refused; a refused change has no effect."""

    MALFORMED = 'malformed'
    UNKNOWN_NAME = 'unknown-name'
    UNSERVABLE = 'unservable'
    OVER_CAP = 'over-cap'
    WRONG_STATE = 'wrong-state'
    TOO_MANY = 'too-many'
    OPERATION_REUSED = 'operation-reused'


class ChangeRefusedError(PolicyError):
    """The change does not fit the configuration it would be applied to."""

    def __init__(self, problem: ChangeProblem, detail: str) -> None:
        super().__init__(detail)
        self.problem = problem


@dataclass(frozen=True, slots=True)
class ServerKey:
    """Identifies a backend server by its service and its name."""

    service: str
    server: str


@dataclass(frozen=True, slots=True)
class PolicyIndex:
    """Values derived from the policy alone, computed once for each policy."""

    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    region_by_site: Mapping[str, str] = field(default_factory=dict)
    domain_by_server: Mapping[ServerKey, str] = field(default_factory=dict)
    slots_by_site_by_service: Mapping[str, Mapping[str, int]] = field(
        default_factory=dict
    )
    ordinals: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Operation:
    """The version that an operation created, and the digest of its change."""

    version: int
    fingerprint: str


@dataclass(frozen=True, slots=True)
class Operations:
    """The latest operations, keyed by id, in two generations.

    Once there are enough, between one and two times ``OPERATIONS_IN_GENERATION``
    operations are kept.
    """

    recent: Mapping[str, Operation] = field(default_factory=dict)
    older: Mapping[str, Operation] = field(default_factory=dict)

    def find(self, operation_id: str) -> Operation | None:
        """Return the operation with the id, or None if it is not known."""
        return self.recent.get(operation_id) or self.older.get(operation_id)

    def with_operation(self, operation_id: str, operation: Operation) -> 'Operations':
        """Return a copy with the operation added."""
        if len(self.recent) >= OPERATIONS_IN_GENERATION:
            return Operations(recent={operation_id: operation}, older=self.recent)
        return replace(self, recent={**self.recent, operation_id: operation})


@dataclass(frozen=True, slots=True)
class BlockPages:
    """The content digests of the pages of the client block table.

    Pages are keyed by their first address in hexadecimal. Blocks refer to their home
    by its index in ``sites``.
    """

    sites: tuple[str, ...] = ()
    digest_by_start: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration in force at one version.

    ``draining`` contains every backend server that gets no new work, for whatever
    reason; ``server_drains`` and ``site_drains`` are the drains that operators
    requested. ``cuts`` maps services and home sites to the sites that serve their
    points; callers with an unknown home are under ``UNKNOWN_HOME``. ``epochs`` has
    every ordinal that was ever on the roster; an odd epoch means that the ordinal is
    vacant.
    """

    version: int = 0
    policy: Policy = EMPTY_POLICY
    index: PolicyIndex = PolicyIndex()
    draining: frozenset[ServerKey] = frozenset()
    server_drains: frozenset[ServerKey] = frozenset()
    site_drains: frozenset[str] = frozenset()
    drained_sites: frozenset[str] = frozenset()
    entry_drains: frozenset[int] = frozenset()
    cuts: Mapping[str, Mapping[str, Cut]] = field(default_factory=dict)
    epochs: Mapping[int, int] = field(default_factory=dict)
    shifts: Mapping[str, Shift] = field(default_factory=dict)
    blocks: BlockPages = BlockPages()
    operations: Operations = Operations()

    @property
    def vacant(self) -> frozenset[int]:
        """Return the ordinals that no VM holds; they own no slots."""
        return frozenset(o for o, epoch in self.epochs.items() if epoch % 2 == 1)

    @property
    def occupied(self) -> frozenset[int]:
        """Return the ordinals that a VM may hold, including those off the roster."""
        return frozenset(o for o, epoch in self.epochs.items() if epoch % 2 == 0)

    def cut_of(self, service: str, home: str) -> Cut | None:
        """Return which sites serve the points of a home site, or None if unknown."""
        return self.cuts.get(service, {}).get(home)


def with_effective_drains(configuration: Configuration) -> Configuration:
    """Return the configuration with its drained sites and servers recomputed."""
    drained_sites = frozenset(
        site
        for site in configuration.site_drains
        if not _has_traffic(configuration, site)
    )
    at_sites: frozenset[ServerKey] = frozenset()
    if drained_sites:
        at_sites = frozenset(
            key
            for key, domain in configuration.index.domain_by_server.items()
            if domain in drained_sites
        )
    return replace(
        configuration,
        drained_sites=drained_sites,
        draining=configuration.server_drains | at_sites,
    )


def _has_traffic(configuration: Configuration, site: str) -> bool:
    """Return whether traffic of any home site is steered to the site."""
    return any(
        owner.site == site
        for cut_by_home in configuration.cuts.values()
        for cut in cut_by_home.values()
        for owner in cut.owners
    )
