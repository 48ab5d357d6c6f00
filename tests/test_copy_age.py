"""Replays gossip of the ages of copies, without a network.

All watching VMs were lost just before a change, and it came late to all others. On a
quiet day the others must hardly ever call the store.
"""

import random
from dataclasses import dataclass, field

import pytest

from daisylift.decisions.copy_age import CopyAge
from daisylift.decisions.fleet_roles import gossip_targets, watches_store
from daisylift.models.registered_server import EntryMember
from daisylift_node.process.peer_exchange import GOSSIP_PERIOD_SECONDS

BOUND_SECONDS = 2.5  # of the smallest sites
SETTLE_SECONDS = 4.0
STEP_SECONDS = 0.05
LOST_DATAGRAMS = 0.02
CALLS_SHARE = 0.1  # of a call by each VM in each FORMER_PERIOD_SECONDS
FORMER_PERIOD_SECONDS = 60.0
CALL_SECONDS = 0.1  # until the store has answered a call


@dataclass(slots=True)
class ModelVm:
    member: EntryMember
    age: CopyAge
    phase: float
    is_watching: bool
    is_lost: bool = False
    changed_at: float | None = None
    asks_until: float | None = None


@dataclass(slots=True)
class ModelFleet:
    """A fleet in virtual time; the store has a change from ``changed_at`` on."""

    size: int
    domains: int
    seed: int = 1
    now: float = 0.0
    calls: int = 0
    changed_at: float = float('inf')
    vms: dict[str, ModelVm] = field(default_factory=dict)
    members: list[EntryMember] = field(default_factory=list)
    rng: random.Random = field(default_factory=random.Random)

    def __post_init__(self) -> None:
        self.rng.seed(self.seed)
        self.members = members = [
            EntryMember(f'n{n:03}', 1, f'd-{n % self.domains}', 'r', '', '', 1)
            for n in range(self.size)
        ]
        names = {member.name for member in members}
        for member in members:
            self.vms[member.name] = ModelVm(
                member,
                CopyAge(random.Random(f'{self.seed}/{member.name}')),
                self.rng.uniform(0.0, GOSSIP_PERIOD_SECONDS),
                watches_store(member, members, names),
            )
            self.vms[member.name].age.confirm(0.0, 0.0)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += STEP_SECONDS
            for vm in self.vms.values():
                if not vm.is_lost:
                    self._follow(vm)
                    self._gossip(vm)

    def _follow(self, vm: ModelVm) -> None:
        if vm.is_watching or (vm.asks_until is not None and self.now >= vm.asks_until):
            vm.age.confirm(0.0, self.now)
            vm.asks_until = None
            if self.now >= self.changed_at and vm.changed_at is None:
                vm.changed_at = self.now
        elif vm.asks_until is None and vm.age.remaining_seconds(self.now) == 0.0:
            self.calls += 1
            vm.asks_until = self.now + CALL_SECONDS
            vm.age.draw_limit()

    def _gossip(self, vm: ModelVm) -> None:
        if (self.now - vm.phase) % GOSSIP_PERIOD_SECONDS >= STEP_SECONDS:
            return
        for target in gossip_targets(vm.member, self.members, self.rng):
            peer = self.vms[target.name]
            if peer.is_lost or self.rng.random() < LOST_DATAGRAMS:
                continue
            if vm.changed_at is not None and peer.changed_at is None:
                peer.changed_at = self.now
            if (vm.changed_at is None) == (peer.changed_at is None):
                peer.age.confirm(vm.age.seconds(self.now), self.now)

    def delays(self) -> list[float]:
        """Return, sorted, after how long each VM that is left had the change."""
        left = [vm for vm in self.vms.values() if not vm.is_lost]
        assert all(vm.changed_at is not None for vm in left)
        return sorted((vm.changed_at or 0.0) - self.changed_at for vm in left)


def lose(fleet: ModelFleet, count: int) -> None:
    """Lose all VMs that watch, and others until there are so many."""
    watching_first = sorted(fleet.vms.values(), key=lambda vm: not vm.is_watching)
    watching = sum(vm.is_watching for vm in watching_first)
    for vm in watching_first[: max(count, watching)]:
        vm.is_lost = True


SIZES = [(11, 3), (24, 6), (42, 3), (79, 9), (110, 9), (930, 7)]


@pytest.mark.parametrize('share_lost', [0.0, 0.5])
@pytest.mark.parametrize(('size', 'domains'), SIZES)
def test_a_change_reaches_all_in_time_when_all_watching_vms_are_lost(
    size: int, domains: int, share_lost: float
) -> None:
    for seed in range(5 if size < 300 else 1):
        fleet = ModelFleet(size, domains, seed)
        fleet.run(SETTLE_SECONDS)
        lose(fleet, int(share_lost * size))
        fleet.run(0.2 * (seed % 2))
        fleet.changed_at = fleet.now
        fleet.run(BOUND_SECONDS)
        assert fleet.delays()[-1] <= BOUND_SECONDS


@pytest.mark.parametrize(('size', 'domains'), SIZES)
def test_vms_that_rely_on_peers_hardly_ever_call_the_store(
    size: int, domains: int
) -> None:
    fleet = ModelFleet(size, domains)
    fleet.run(30.0 if size < 300 else 10.0)
    assert fleet.calls / fleet.now <= CALLS_SHARE * size / FORMER_PERIOD_SECONDS
