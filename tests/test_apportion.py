"""Tests of how slots and connections are assigned to ordinals."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions.apportion import Apportioner, apportion, spare_connections
from tests.shares_harness_policy import make_policy

COMMON = settings(derandomize=True, deadline=None, max_examples=60)
vacancies = st.frozensets(st.integers(0, 6), max_size=6)
servers = st.dictionaries(
    st.integers(0, 30).map(lambda n: f's-{n}'),
    st.integers(1, 9),
    min_size=1,
    max_size=20,
)


def counts(layout, ordinals):
    owners = [o for held in layout.owners_by_server.values() for o in held]
    return {ordinal: owners.count(ordinal) for ordinal in ordinals}


def moved(before, after):
    return sum(
        owner != after.owners_by_server[server][slot]
        for server, owners in before.owners_by_server.items()
        if server in after.owners_by_server
        for slot, owner in enumerate(owners)
        if slot < len(after.owners_by_server[server])
    )


@COMMON
@given(servers=servers, vacant=vacancies)
def test_every_slot_has_one_live_owner_and_the_split_is_even(servers, vacant):
    policy = make_policy(7, servers)
    layout = apportion(policy, vacant)
    for server in policy.services[0].servers:
        masks = [
            layout.mask(key, ordinal)
            for key in layout.owners_by_server
            if key.server == server.name
            for ordinal in range(7)
        ]
        assert sum(masks) == (1 << server.slots) - 1
    held = counts(layout, set(range(7)) - vacant)
    assert sum(held.values()) == sum(servers.values())
    if not vacant:
        assert max(held.values()) - min(held.values()) <= 1
    assert max(held.values()) <= -(-sum(servers.values()) // len(held)) + 1


@COMMON
@given(servers=servers, vacant=vacancies, other=vacancies)
def test_a_kept_computation_gives_the_same_layout(servers, vacant, other):
    policy = make_policy(7, servers)
    kept = Apportioner()
    kept.apportion(make_policy(6, servers), other)
    kept.apportion(policy, other)
    assert kept.apportion(policy, vacant) == apportion(policy, vacant)


def test_a_vacancy_moves_only_the_slots_of_the_vacant_ordinal():
    policy = make_policy(7)
    before = apportion(policy)
    after = apportion(policy, frozenset({3}))
    assert moved(before, after) == counts(before, [3])[3]
    assert counts(after, [3])[3] == 0


def test_slots_are_local_to_their_owner_as_far_as_the_split_allows():
    policy = make_policy(6)
    layout = apportion(policy)
    domains = {entry.ordinal: entry.failure_domain for entry in policy.roster}
    servers = {server.name: server for server in policy.services[0].servers}
    assert all(
        domains[owner] == servers[key.server].failure_domain
        for key, owners in layout.owners_by_server.items()
        for owner in owners
    )


@pytest.mark.parametrize('change', ['roster', 'server', 'slot'])
def test_a_change_moves_few_slots(change):
    slots = {f'till-{n}': 4 for n in range(300)}
    before = apportion(make_policy(60, slots))
    match change:
        case 'roster':
            after = apportion(make_policy(61, slots))
        case 'server':
            after = apportion(make_policy(60, slots | {'till-300': 4}))
        case 'slot':
            after = apportion(make_policy(60, slots | {'till-7': 5}))
    assert moved(before, after) < 1200 * 0.15


def test_the_layout_is_the_same_in_every_process():
    layout = apportion(make_policy(3, {'a': 4, 'b': 4}))
    assert {key.server: owners for key, owners in layout.owners_by_server.items()} == {
        'a': (2, 0, 0, 0),
        'b': (2, 1, 1, 1),
    }


@pytest.mark.parametrize(
    ('ordinals', 'connections', 'expected'),
    [(7, 330, 46), (7, 4, 0), (7, 3, 0), (930, 330, 0), (0, 330, 0)],
)
def test_connections_never_add_up_to_more_than_the_server_has(
    ordinals, connections, expected
):
    (server, *_) = make_policy().services[0].servers
    server = server.model_copy(update={'connections': connections})
    spare = spare_connections(server, ordinals)
    assert spare == expected
    assert spare * ordinals + min(server.slots, connections) <= connections
