"""What is in force at one version, and why a change may be refused."""

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
    """Why a change is refused; nothing is changed then."""

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
    """Names one backend server: the service it does the work of, and its name."""

    service: str
    server: str


@dataclass(frozen=True, slots=True)
class PolicyIndex:
    """What follows from the policy alone, worked out once for each policy."""

    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    region_by_site: Mapping[str, str] = field(default_factory=dict)
    domain_by_server: Mapping[ServerKey, str] = field(default_factory=dict)
    slots_by_site_by_service: Mapping[str, Mapping[str, int]] = field(
        default_factory=dict
    )
    ordinals: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Operation:
    """The version that an operation made, and the digest of what it asked for."""

    version: int
    fingerprint: str


@dataclass(frozen=True, slots=True)
class Operations:
    """The latest operations by id, in two generations.

    Between one and two times ``OPERATIONS_IN_GENERATION`` of them are kept.
    """

    recent: Mapping[str, Operation] = field(default_factory=dict)
    older: Mapping[str, Operation] = field(default_factory=dict)

    def find(self, operation_id: str) -> Operation | None:
        """Return the operation with the id, or None when it is not known."""
        return self.recent.get(operation_id) or self.older.get(operation_id)

    def with_operation(self, operation_id: str, operation: Operation) -> 'Operations':
        """Return the operations with one more."""
        if len(self.recent) >= OPERATIONS_IN_GENERATION:
            return Operations(recent={operation_id: operation}, older=self.recent)
        return replace(self, recent={**self.recent, operation_id: operation})


@dataclass(frozen=True, slots=True)
class BlockPages:
    """Which content each page of the table of client blocks has.

    Pages are keyed by their first address in hexadecimal; blocks name their home by
    its number in ``sites``.
    """

    sites: tuple[str, ...] = ()
    digest_by_start: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Configuration:
    """What is in force at one version.

    ``draining`` holds every backend server that gets no new work, whatever the
    reason; ``server_drains`` and ``site_drains`` are what operators asked for.
    ``cuts`` says, by service and home site, which sites serve which points; callers
    whose home is not known are under ``UNKNOWN_HOME``. ``epochs`` has every ordinal
    that was ever on the roster; an odd epoch says that the ordinal is vacant.
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
        """Return the ordinals that own nothing, because no VM holds them."""
        return frozenset(o for o, epoch in self.epochs.items() if epoch % 2 == 1)

    @property
    def occupied(self) -> frozenset[int]:
        """Return the ordinals that a VM may hold, on the roster or removed from it."""
        return frozenset(o for o, epoch in self.epochs.items() if epoch % 2 == 0)

    def cut_of(self, service: str, home: str) -> Cut | None:
        """Return how the points of a home site are served, or None when unknown."""
        return self.cuts.get(service, {}).get(home)


def with_effective_drains(configuration: Configuration) -> Configuration:
    """Return the configuration with its drained servers worked out again."""
    drained_sites = frozenset(
        site for site in configuration.site_drains if not _carries(configuration, site)
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


def _carries(configuration: Configuration, site: str) -> bool:
    return any(
        owner.site == site
        for cut_by_home in configuration.cuts.values()
        for cut in cut_by_home.values()
        for owner in cut.owners
    )
