"""Tests of the detection of lost entry VMs, and of gossip and store watching."""

import random
from types import SimpleNamespace

import pytest

from daisylift.decisions.entry_directory import select_entry_addresses
from daisylift.decisions.fleet_roles import gossip_targets, watches_store
from daisylift.decisions.liveness import (
    LARGE_FLEET_LOST_SECONDS,
    LOST_SECONDS,
    Heartbeat,
    Liveness,
)
from daisylift.models.registered_server import EntryMember
from daisylift_node.process.peer_exchange import (
    GOSSIP_PERIOD_SECONDS,
    PeerExchange,
)

FETCH_SECONDS = 0.06  # to fetch a copy from another region


def a_member(name: str, domain: str, region: str) -> EntryMember:
    return EntryMember(name, 1, domain, region, f'{name}:80', name, 7540)


MEMBERS = [
    a_member('a1', 'arusha-a', 'arusha'),
    a_member('a2', 'arusha-a', 'arusha'),
    a_member('b1', 'arusha-b', 'arusha'),
    a_member('d1', 'dar-a', 'dar'),
]


def named(domain: str, region: str, lost: set[str]) -> list[str]:
    return select_entry_addresses(
        region, domain, MEMBERS, lambda name: name not in lost, lambda: 0.5
    )


def test_own_failure_domain_first() -> None:
    assert named('arusha-a', 'arusha', set()) == ['a1:80', 'a2:80']


def test_then_the_region_then_all() -> None:
    assert named('arusha-a', 'arusha', {'a1', 'a2'}) == ['b1:80']
    assert named('arusha-a', 'arusha', {'a1', 'a2', 'b1'}) == ['d1:80']


def test_a_caller_from_an_unknown_location_gets_all() -> None:
    assert len(named('', '', set())) == len(MEMBERS)


def test_a_silent_vm_is_lost_and_comes_back_with_a_new_incarnation() -> None:
    liveness = Liveness('a1', 1)
    liveness.receive([Heartbeat('b1', 5, 9, ready=True)], 0.0)
    assert liveness.is_ready('b1', 0.5)
    liveness.receive([Heartbeat('b1', 5, 9, ready=True)], LOST_SECONDS)
    assert not liveness.is_alive('b1', LOST_SECONDS)
    liveness.receive([Heartbeat('b1', 6, 1, ready=True)], LOST_SECONDS)
    assert liveness.is_alive('b1', LOST_SECONDS)


def test_a_stopping_vm_is_alive_but_not_ready() -> None:
    liveness = Liveness('a1', 1)
    liveness.receive([Heartbeat('b1', 5, 9, ready=True)], 0.0)
    liveness.receive([Heartbeat('b1', 5, 10, ready=False)], 0.1)
    assert liveness.is_alive('b1', 0.2)
    assert not liveness.is_ready('b1', 0.2)


def test_a_vm_that_starts_is_not_taken_for_one_that_stops() -> None:
    liveness = Liveness('a1', 1)
    liveness.expect('b1', 5, 0.0)
    liveness.receive([Heartbeat('b1', 5, 1, ready=False)], 0.1)
    assert not liveness.is_stopping('b1')
    liveness.receive([Heartbeat('b1', 5, 2, ready=True)], 0.2)
    liveness.receive([Heartbeat('b1', 5, 3, ready=False)], 0.3)
    assert liveness.is_stopping('b1')
    liveness.receive([Heartbeat('b1', 6, 1, ready=False)], 0.4)
    assert not liveness.is_stopping('b1')


def test_old_heartbeats_change_nothing() -> None:
    liveness = Liveness('a1', 1)
    liveness.receive([Heartbeat('b1', 5, 9, ready=False)], 0.0)
    liveness.receive([Heartbeat('b1', 5, 8, ready=True)], 0.1)
    liveness.receive([Heartbeat('b1', 4, 99, ready=True)], 0.1)
    assert not liveness.is_ready('b1', 0.2)


def test_a_registered_vm_without_heartbeats_is_lost_soon() -> None:
    liveness = Liveness('a1', 1)
    liveness.expect('b1', 5, 0.0)
    assert liveness.is_alive('b1', 0.1)
    liveness.expect('b1', 5, LOST_SECONDS)
    assert not liveness.is_alive('b1', LOST_SECONDS)


def test_heartbeats_reach_a_large_failure_domain_in_time() -> None:
    """Simulates gossip among the target's 133 VMs of one failure domain."""
    rng = random.Random(7)
    members = [a_member(f'n{number}', 'arusha-a', 'arusha') for number in range(133)]
    fleet = {member.name: Liveness(member.name, 1) for member in members}
    for liveness in fleet.values():
        liveness.lost_seconds = LARGE_FLEET_LOST_SECONDS
        for name in fleet:
            liveness.expect(name, 1, 0.0)
    now, worst = 0.0, 0
    for turn in range(60):
        now += 0.25
        for member in members:
            heartbeats = fleet[member.name].heartbeats_to_send(now, rng, list(fleet))
            for target in gossip_targets(member, members, rng):
                fleet[target.name].receive(heartbeats, now)
        if turn > 20:
            lost = sum(
                not liveness.is_alive(name, now)
                for liveness in fleet.values()
                for name in fleet
            )
            worst = max(worst, lost)
    assert worst <= 0.02 * len(fleet) ** 2


def test_all_watch_in_a_small_fleet_and_few_in_a_large_one() -> None:
    small = [a_member(f'n{number}', 'arusha-a', 'arusha') for number in range(7)]
    names = {member.name for member in small}
    assert all(watches_store(member, small, names) for member in small)
    large = [a_member(f'n{number}', f'd-{number % 7}', 'r') for number in range(930)]
    names = {member.name for member in large}
    watchers = [member for member in large if watches_store(member, large, names)]
    assert len(watchers) == 7
    middle = [a_member(f'n{n}', f'd-{n % 6}', 'r') for n in range(24)]
    names = {member.name for member in middle}
    assert sum(watches_store(member, middle, names) for member in middle) == 6


def test_a_watching_vm_that_stops_is_replaced_before_it_ends() -> None:
    """It says that it is no longer ready, and watches on beside the next one."""
    large = [a_member(f'n{number:03}', 'arusha-a', 'arusha') for number in range(100)]
    view = SimpleNamespace(members_by_name={each.name: each for each in large})
    ready = [Heartbeat(each.name, 1, 1, ready=True) for each in large]
    stopping = Heartbeat('n000', 1, 2, ready=False)
    watching = set()
    for member in large:
        exchange = PeerExchange(member, view, lambda: 0.0)
        exchange.liveness.ready = member.name != 'n000'
        exchange.liveness.receive([*ready, stopping], 0.0)
        if exchange.watches_store():
            watching.add(member.name)
    assert watching == {'n000', 'n001'}


def test_when_watchers_are_lost_others_take_over() -> None:
    large = [a_member(f'n{number:03}', 'arusha-a', 'arusha') for number in range(100)]
    live = {member.name for member in large[2:]}
    watchers = [member.name for member in large if watches_store(member, large, live)]
    assert set(watchers) == {'n000', 'n001', 'n002'}


@pytest.mark.parametrize(
    ('size', 'domains', 'bound_seconds'), [(24, 6, 2.5), (79, 9, 2.5), (930, 7, 14.0)]
)
def test_updates_of_one_watcher_per_domain_reach_all_in_time(
    size: int, domains: int, bound_seconds: float
) -> None:
    """Holds even if the watcher of one failure domain is lost and not yet replaced."""
    members = [a_member(f'n{n:03}', f'd-{n % domains}', 'r') for n in range(size)]
    live = {member.name for member in members}
    watchers = {m.name for m in members if watches_store(m, members, live)}
    for seed in range(10):
        rng = random.Random(seed)
        informed = watchers - {members[0].name}
        rounds = 0
        while len(informed) < size - 1:
            rounds += 1
            informed |= {
                target.name
                for member in members
                if member.name in informed
                for target in gossip_targets(member, members, rng)
            } - {members[0].name}
        assert rounds * (GOSSIP_PERIOD_SECONDS + FETCH_SECONDS) <= bound_seconds


def test_gossip_stays_mostly_in_the_failure_domain() -> None:
    large = [a_member(f'n{n}', f'd-{n % 7}', 'r') for n in range(930)]
    targets = gossip_targets(large[0], large, random.Random(1))
    assert [target.failure_domain for target in targets].count('d-0') == 2
    assert len(targets) == 3


def test_only_long_silence_makes_a_vm_long_lost() -> None:
    liveness = Liveness('a1', 1)
    liveness.receive([Heartbeat('b1', 5, 9, ready=True)], 0.0)
    assert not liveness.is_long_lost('b1', 10.0)
    assert liveness.is_long_lost('b1', 1000.0)
    assert not liveness.is_long_lost('never-heard-of', 1000.0)
