"""Assignment of every backend server's slots and connections to ordinals.

The layout is a pure function of the policy and the vacant ordinals, so every node
computes the same one. In it, each slot index of a server has exactly one owner.

A slot goes to an ordinal in the server's failure domain if one has capacity remaining,
otherwise to one in the same region, otherwise to any ordinal. Every ordinal gets an
equal number of slots of each service, give or take one.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from daisylift.decisions.configuration import ServerKey
from daisylift.decisions.ring import Ring, RingWalk, stable_hash
from daisylift.models import BackendServer, Policy, Service

Owners = tuple[int, ...]  # the ordinal that owns each slot index
WalkOfDomain = Callable[[str], RingWalk | None]


@dataclass(frozen=True, slots=True)
class Layout:
    """The owner ordinal of each slot index, by server."""

    owners_by_server: Mapping[ServerKey, Owners] = field(default_factory=dict)

    def mask(self, server: ServerKey, ordinal: int) -> int:
        """Return the slot indexes of the server that the ordinal owns, as bits."""
        owners = self.owners_by_server.get(server, ())
        return sum(1 << slot for slot, owner in enumerate(owners) if owner == ordinal)


EMPTY_LAYOUT = Layout()


@dataclass(slots=True)
class _Slot:
    """A slot of the service being assigned; ``hash`` is its position on the rings."""

    server: BackendServer
    index: int
    hash: int
    owner: int = -1


class Apportioner:
    """Computes layouts and reuses the parts that did not change since the last one."""

    def __init__(self) -> None:
        self._rings: _Rings | None = None
        self._base_by_service: dict[str, tuple[Service, list[_Slot]]] = {}
        self._last: tuple[Policy, frozenset[int], Layout] | None = None

    def apportion(self, policy: Policy, vacant: frozenset[int]) -> Layout:
        """Return the layout of the policy, in which vacant ordinals own no slots."""
        if self._last is not None:
            last_policy, last_vacant, layout = self._last
            if last_policy is policy and last_vacant == vacant:
                return layout
        self._update_rings(policy)
        layout = Layout(self._compute_owners(policy, vacant))
        self._last = (policy, vacant, layout)
        return layout

    def _update_rings(self, policy: Policy) -> None:
        regions = policy.regions_by_failure_domain()
        if self._rings is None or not self._rings.matches(policy, regions):
            self._rings = _Rings(policy, regions)
            self._base_by_service.clear()
        names = {service.name for service in policy.services}
        for name in self._base_by_service.keys() - names:
            del self._base_by_service[name]

    def _compute_owners(
        self, policy: Policy, vacant: frozenset[int]
    ) -> dict[ServerKey, Owners]:
        if not self._rings.ordinals:
            return {}
        owners_by_server: dict[ServerKey, Owners] = {}
        for service in policy.services:
            slots = self._base_slots(service)
            moved = _move_from_vacant(service.name, slots, self._rings, vacant)
            for server, owners in _by_server(slots, moved).items():
                owners_by_server[ServerKey(service.name, server)] = owners
        return owners_by_server

    def _base_slots(self, service: Service) -> list[_Slot]:
        cached = self._base_by_service.get(service.name)
        if cached is not None and cached[0].servers == service.servers:
            return cached[1]
        slots = _slots(service)
        capacity = _quotas(service.name, len(slots), self._rings.ordinals)
        for slot, owner in zip(slots, self._rings.place(slots, capacity), strict=True):
            slot.owner = owner
        self._base_by_service[service.name] = (service, slots)
        return slots


def apportion(policy: Policy, vacant: frozenset[int] = frozenset()) -> Layout:
    """Return the layout of the policy, computed without cached state."""
    return Apportioner().apportion(policy, vacant)


def spare_connections(server: BackendServer, ordinals: int) -> int:
    """Return how many connections each ordinal may open beyond its permits.

    A permit includes one connection if the server has at least as many connections
    as slots. The connections beyond that are split evenly over the whole roster.
    """
    if ordinals == 0:
        return 0
    return max(0, server.connections - server.slots) // ordinals


class _Rings:
    """The rings of one roster: by failure domain, by region, and over all ordinals."""

    def __init__(self, policy: Policy, regions: dict[str, str]) -> None:
        self._roster = policy.roster
        self._regions = regions
        by_domain: dict[str, list[int]] = {}
        by_region: dict[str, list[int]] = {}
        for entry in policy.roster:
            region = regions[entry.failure_domain]
            by_domain.setdefault(entry.failure_domain, []).append(entry.ordinal)
            by_region.setdefault(region, []).append(entry.ordinal)
        self.ordinals = [entry.ordinal for entry in policy.roster]
        self._by_domain = {name: Ring(members) for name, members in by_domain.items()}
        self._by_region = {name: Ring(members) for name, members in by_region.items()}
        self._all = Ring(self.ordinals)

    def matches(self, policy: Policy, regions: dict[str, str]) -> bool:
        """Return whether these rings were built for the policy's roster and regions."""
        return self._roster == policy.roster and self._regions == regions

    def place(self, slots: Sequence[_Slot], capacity: dict[int, int]) -> list[int]:
        """Return an owner with free capacity for each slot.

        Owners in the server's failure domain come first, then those in its region.
        """
        owners = [-1] * len(slots)
        pending: Iterable[int] = range(len(slots))
        domains = {name: RingWalk(r, capacity) for name, r in self._by_domain.items()}
        pending = _place(slots, pending, owners, domains.get)
        regions = {name: RingWalk(r, capacity) for name, r in self._by_region.items()}
        pending = _place(
            slots, pending, owners, lambda name: regions.get(self._regions[name])
        )
        anywhere = RingWalk(self._all, capacity)
        _place(slots, pending, owners, lambda _: anywhere)
        return owners


def _place(
    slots: Sequence[_Slot],
    pending: Iterable[int],
    owners: list[int],
    walk_of_domain: WalkOfDomain,
) -> list[int]:
    remaining = []
    for position in pending:
        slot = slots[position]
        walk = walk_of_domain(slot.server.failure_domain)
        owner = walk.take(slot.hash) if walk is not None else None
        if owner is None:
            remaining.append(position)
        else:
            owners[position] = owner
    return remaining


def _slots(service: Service) -> list[_Slot]:
    slots = [
        _Slot(server, index, stable_hash(f'{service.name}/{server.name}/{index}'))
        for server in service.servers
        for index in range(server.slots)
    ]
    slots.sort(key=lambda slot: slot.hash)
    return slots


def _quotas(service: str, total: int, ordinals: Sequence[int]) -> dict[int, int]:
    """Split the total evenly; a hash decides which ordinals get one more."""
    share, rest = divmod(total, len(ordinals))
    ranked = sorted(ordinals, key=lambda o: stable_hash(f'{service}#{o}'))
    return {o: share + (rank < rest) for rank, o in enumerate(ranked)}


def _move_from_vacant(
    service: str, slots: list[_Slot], rings: _Rings, vacant: frozenset[int]
) -> dict[int, int]:
    """Return new owners for the slots of vacant ordinals, keyed by slot position."""
    live = [ordinal for ordinal in rings.ordinals if ordinal not in vacant]
    if not live or not vacant:
        return {}
    capacity = _quotas(service, len(slots), live)
    moving = []
    for position, slot in enumerate(slots):
        if slot.owner in vacant:
            moving.append(position)
        else:
            capacity[slot.owner] -= 1
    owners = rings.place([slots[position] for position in moving], capacity)
    return dict(zip(moving, owners, strict=True))


def _by_server(slots: list[_Slot], moved: dict[int, int]) -> dict[str, Owners]:
    owners: dict[str, list[int]] = {}
    for position, slot in enumerate(slots):
        server_owners = owners.get(slot.server.name)
        if server_owners is None:
            server_owners = owners[slot.server.name] = [-1] * slot.server.slots
        server_owners[slot.index] = moved.get(position, slot.owner)
    return {name: tuple(server_owners) for name, server_owners in owners.items()}
