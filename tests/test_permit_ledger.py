"""Tests of the permits of one node and of several nodes together."""

import pytest

from daisylift.decisions.configuration import ServerKey
from daisylift.decisions.permit_ledger import PermitLedger
from daisylift.models import SetOrdinalEpoch
from tests.shares_harness_policy import make_configurations, make_policy

SERVERS = {f'till-{n}': 4 for n in range(12)}
FEWER = {name: slots for name, slots in SERVERS.items() if name != 'till-3'}


def make_ledgers(configurations, ordinals):
    ledgers = {}
    for ordinal in ordinals:
        ledger = PermitLedger()
        for configuration in configurations:
            ledger.set_configuration(configuration, 0.0)
        ledger.set_ordinal(ordinal, 0)
        ledgers[ordinal] = ledger
    return ledgers


def keys(configuration):
    (service,) = configuration.policy.services
    return [ServerKey(service.name, server.name) for server in service.servers]


def take_all(ledger, now=0.0):
    return [
        permit
        for key in keys(ledger.configuration)
        for _ in range(ledger.free_slots(key, now))
        if (permit := ledger.take(key, now))
    ]


def names(permits):
    return {(permit.server, permit.slot) for permit in permits}


def exchange_confirmations(ledgers, now):
    """Report every node's confirmed version to all nodes."""
    for ordinal, ledger in ledgers.items():
        version = ledger.confirmed_version(now)
        if version is None:
            continue
        for other in ledgers.values():
            if other is not ledger:
                other.record_confirmed(ordinal, version)


def test_all_nodes_together_hold_each_slot_once():
    configurations = make_configurations(make_policy(7))
    ledgers = make_ledgers(configurations, range(7))
    taken = [p for ledger in ledgers.values() for p in take_all(ledger)]
    assert len(taken) == len(names(taken)) == 48


def test_a_released_permit_is_free_again():
    (ledger,) = make_ledgers(make_configurations(make_policy(1)), [0]).values()
    permits = take_all(ledger)
    assert ledger.take(permits[0].server, 0.0) is None
    ledger.release(permits[0], 0.0)
    assert ledger.take(permits[0].server, 0.0) == permits[0]


def test_a_slot_of_unknown_outcome_is_unusable_until_its_time_is_over():
    (ledger,) = make_ledgers(make_configurations(make_policy(1)), [0]).values()
    permits = take_all(ledger)
    ledger.release(permits[0], 1.0, uncertain_until=4.0)
    assert ledger.free_slots(permits[0].server, 3.9) == 0
    assert ledger.free_slots(permits[0].server, 4.0) == 1


def test_a_gaining_node_waits_until_the_losing_one_confirms():
    configurations = make_configurations(make_policy(6), make_policy(7))
    ledgers = make_ledgers(configurations[:1], range(6))
    ledgers[6] = PermitLedger()
    ledgers[6].set_configuration(configurations[0], 0.0)
    running = {o: take_all(ledger) for o, ledger in ledgers.items()}
    for ledger in ledgers.values():
        ledger.set_configuration(configurations[1], 1.0)
    ledgers[6].set_ordinal(6, 0)
    assert take_all(ledgers[6], 1.0) == []
    losers = ledgers[6].awaited()
    exchange_confirmations(ledgers, 1.0)
    assert take_all(ledgers[6], 1.0) == []
    for ordinal in losers:
        assert ledgers[ordinal].confirmed_version(1.0) == 1
        for permit in running[ordinal]:
            ledgers[ordinal].release(permit, 2.0)
        assert ledgers[ordinal].confirmed_version(2.0) == 2
    exchange_confirmations(ledgers, 2.0)
    assert take_all(ledgers[6], 2.0)


def test_a_node_that_lost_a_slot_and_regains_it_waits_for_the_node_between():
    policies = (make_policy(6), make_policy(7), make_policy(6))
    configurations = make_configurations(*policies)
    ledgers = make_ledgers(configurations[:1], range(6))
    ledgers[6] = PermitLedger()
    ledgers[6].set_configuration(configurations[0], 0.0)
    for ledger in ledgers.values():
        ledger.set_configuration(configurations[1], 1.0)
    ledgers[6].set_ordinal(6, 0)
    exchange_confirmations(ledgers, 1.0)
    between = take_all(ledgers[6], 1.0)
    assert between
    for ordinal in range(6):
        ledgers[ordinal].set_configuration(configurations[2], 2.0)
    exchange_confirmations(ledgers, 2.0)
    taken = [p for o in range(6) for p in take_all(ledgers[o], 2.0)]
    assert not names(taken) & names(between)


def test_a_node_that_skipped_versions_waits_for_every_occupied_ordinal():
    configurations = make_configurations(make_policy(3), make_policy(2), make_policy(3))
    ledgers = make_ledgers(configurations, range(3))
    late = PermitLedger()
    late.set_configuration(configurations[0], 0.0)
    late.set_ordinal(0, 0)
    late.set_configuration(configurations[2], 1.0)
    assert take_all(late, 1.0) == []
    assert late.awaited() == {1, 2}
    for ordinal in (1, 2):
        late.record_confirmed(ordinal, 3)
    assert len(take_all(late, 1.0)) == len(take_all(ledgers[0], 1.0))


def test_a_node_that_skipped_versions_confirms_only_when_it_is_idle():
    configurations = make_configurations(make_policy(3), make_policy(2), make_policy(3))
    (late,) = make_ledgers(configurations[:1], [0]).values()
    running = take_all(late)
    late.set_configuration(configurations[2], 1.0)
    assert late.confirmed_version(1.0) == 1
    for permit in running:
        late.release(permit, 2.0)
    assert late.confirmed_version(2.0) == 3


def test_a_vacant_ordinal_needs_no_confirmation():
    vacancy = SetOrdinalEpoch(ordinal=2, epoch=1)
    configurations = make_configurations(make_policy(7), vacancy)
    ledgers = make_ledgers(configurations, [o for o in range(7) if o != 2])
    taken = [p for ledger in ledgers.values() for p in take_all(ledger)]
    assert len(names(taken)) == len(taken) == 48


def test_a_node_whose_claim_has_another_epoch_uses_nothing_of_its_own():
    taken_again = SetOrdinalEpoch(ordinal=2, epoch=2)
    configurations = make_configurations(
        make_policy(7), SetOrdinalEpoch(ordinal=2, epoch=1), taken_again
    )
    ledger = PermitLedger()
    ledger.set_configuration(configurations[0], 0.0)
    ledger.set_ordinal(2, 2)
    assert take_all(ledger) == []
    ledger.set_configuration(configurations[1], 0.0)
    assert take_all(ledger) == []
    ledger.set_configuration(configurations[2], 0.0)
    assert take_all(ledger) == []
    for ordinal in ledger.awaited():
        ledger.record_confirmed(ordinal, 3)
    assert take_all(ledger)


def test_a_late_vacancy_of_an_earlier_holder_changes_nothing():
    configurations = make_configurations(
        make_policy(7),
        SetOrdinalEpoch(ordinal=2, epoch=2),
        SetOrdinalEpoch(ordinal=2, epoch=1),
    )
    assert configurations[-1].vacant == frozenset()
    assert configurations[-1].epochs[2] == 2


def test_a_successor_waits_for_its_predecessors_requests():
    (ledger,) = make_ledgers(make_configurations(make_policy(1)), [0]).values()
    ledger.set_ordinal(0, 0, predecessor_until={'till': 6.0})
    assert take_all(ledger, 5.9) == []
    assert ledger.confirmed_version(5.9) is None
    assert len(take_all(ledger, 6.0)) == 48
    assert ledger.confirmed_version(6.0) == 1


def test_a_node_without_an_ordinal_uses_nothing_and_confirms_nothing():
    (ledger,) = make_ledgers(make_configurations(make_policy(1)), [0]).values()
    permit = take_all(ledger)[0]
    ledger.drop_ordinal()
    ledger.release(permit, 1.0)
    assert take_all(ledger, 1.0) == []
    assert ledger.confirmed_version(1.0) is None


@pytest.mark.parametrize(
    ('seconds', 'expected'), [(0.0, 1), (4.0, 2), (7.0, 3), (10.0, 4)]
)
def test_a_new_server_gets_its_slots_one_after_another(seconds, expected):
    configurations = make_configurations(make_policy(1, FEWER), make_policy(1, SERVERS))
    (ledger,) = make_ledgers(configurations, [0]).values()
    assert ledger.free_slots(ServerKey('till', 'till-3'), seconds) == expected
    assert ledger.free_slots(ServerKey('till', 'till-4'), seconds) == 4


def test_server_new_to_a_known_configuration_gets_its_slots_one_after_another():
    more = {**SERVERS, 'till-new': 7}
    configurations = make_configurations(make_policy(7), make_policy(7, more))
    ledgers = make_ledgers(configurations, range(7))
    exchange_confirmations(ledgers, 0.0)
    new = ServerKey('till', 'till-new')
    known = ServerKey('till', 'till-0')

    def free(key, now):
        return sum(ledger.free_slots(key, now) for ledger in ledgers.values())

    seconds = configurations[-1].policy.services[0].cold_start_seconds
    assert free(known, 0.0) == 4
    assert [free(new, seconds * share) for share in (0, 0.5, 1)] == [1, 4, 7]
