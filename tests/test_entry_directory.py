"""Tests of entry VM lookups: nearest VMs first, and weak VMs in few answers."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from daisylift.decisions.entry_directory import MIN_LISTED_SHARE, select_entry_addresses
from daisylift.models.registered_server import EntryMember

LOOKUPS = 4000


def a_vm(name: str, link_mbps: float = 0.0, cores: float = 0.0) -> EntryMember:
    return EntryMember(
        name, 1, 'ak-c', 'north', f'{name}:80', name, 7540, link_mbps, cores
    )


def listed(members: list[EntryMember], lost: frozenset[str] = frozenset()) -> Counter:
    """Count the answers that list each VM."""
    rng = random.Random(3)
    counts: Counter = Counter()
    for _ in range(LOOKUPS):
        answer = select_entry_addresses(
            'north', 'ak-c', members, lambda name: name not in lost, rng.random
        )
        assert answer
        counts.update(answer)
    return counts


def test_a_vm_with_a_low_bandwidth_link_is_in_few_answers() -> None:
    """Fleets that have grown mix 200 and 10 Mbit/s links in one failure domain."""
    counts = listed(
        [a_vm('a', 200.0, 2.15), a_vm('b', 200.0, 2.15), a_vm('c', 10.0, 1)]
    )
    assert counts['a:80'] == counts['b:80'] == LOOKUPS
    assert counts['c:80'] == pytest.approx(MIN_LISTED_SHARE * LOOKUPS, rel=0.3)


def test_the_scarcer_resource_decides() -> None:
    counts = listed([a_vm('a', 1000.0, 2.0), a_vm('b', 2000.0, 0.5)])
    assert counts['a:80'] == LOOKUPS
    assert counts['b:80'] == pytest.approx(0.5 * LOOKUPS, rel=0.1)


def test_weak_vms_serve_alone_when_the_strong_are_lost() -> None:
    members = [a_vm('a', 200.0, 2.0), a_vm('b', 10.0, 1.0), a_vm('c', 10.0, 1.0)]
    counts = listed(members, frozenset('a'))
    assert counts['b:80'] == counts['c:80'] == LOOKUPS


def test_equal_vms_and_those_without_capacity_data_are_always_listed() -> None:
    assert set(listed([a_vm('a'), a_vm('b')]).values()) == {LOOKUPS}
    assert set(listed([a_vm('a', 10.0, 1.0), a_vm('b', 10.0, 1.0)]).values()) == {
        LOOKUPS
    }
    assert listed([a_vm('a', 10.0, 1.0), a_vm('b')])['b:80'] == LOOKUPS


def test_a_region_without_vms_is_sent_to_the_homes_of_the_hosts_routes() -> None:
    """Otherwise most of its requests enter where their routes may not be served."""
    members = [
        replace(a_vm(name), failure_domain=f'{region}-a', region=region)
        for name, region in (('a', 'east'), ('b', 'west'))
    ]

    def answer(homes: frozenset[str]) -> list[str]:
        return select_entry_addresses(
            'north', 'ak-c', members, lambda name: True, lambda: 0.5, homes
        )

    assert answer(frozenset({'west'})) == ['b:80']
    assert answer(frozenset({'south'})) == answer(frozenset()) == ['a:80', 'b:80']
