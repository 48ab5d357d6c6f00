"""Tests of permit leases between a lender and a borrower."""

import pytest

from daisylift.decisions.leases import (
    LEASE_TERM_SECONDS,
    Borrower,
    Lender,
    loan_seconds,
)
from daisylift.decisions.lending import (
    Demand,
    IdleRegistry,
    peers_to_notify,
    slots_to_borrow,
    slots_to_return,
    slots_to_spare,
)
from daisylift.decisions.permit_ledger import PermitLedger
from tests.shares_harness_policy import make_configurations, make_policy


class Side:
    """The ledger, lender and borrower of one node."""

    def __init__(self, ordinal, policy=None):
        self.ledger = PermitLedger()
        for configuration in make_configurations(policy or make_policy(2)):
            self.ledger.set_configuration(configuration, 0.0)
        self.ledger.set_ordinal(ordinal, 0)
        self.lender = Lender(self.ledger, f'{ordinal:016x}')
        self.borrower = Borrower(self.ledger)

    def held(self, now):
        return self.ledger.usage('till', now)[1]


@pytest.fixture
def sides():
    return Side(0), Side(1)


def lend(borrower, lender, asked_at=0.0, granted_at=0.0, count=2):
    ask = borrower.borrower.request(lender.ledger.ordinal, 'till', count, asked_at)
    return lender.lender.grant(ask, granted_at, spare=count)


def test_lent_slots_move_and_come_back(sides):
    borrower, lender = sides
    before = borrower.held(0.0), lender.held(0.0)
    grant = lend(borrower, lender)
    assert borrower.borrower.accept(grant, 0.1) is None
    assert (borrower.held(0.1), lender.held(0.1)) == (before[0] + 2, before[1] - 2)
    returned = borrower.borrower.give_back(grant.lease)
    assert lender.lender.accept_return(returned)
    assert (borrower.held(0.1), lender.held(0.1)) == before


def test_the_term_starts_before_the_request(sides):
    borrower, lender = sides
    before = borrower.held(0.0)
    grant = lend(borrower, lender, asked_at=0.0, granted_at=3.0)
    borrower.borrower.accept(grant, 3.5)
    assert borrower.held(LEASE_TERM_SECONDS - 0.1) == before + 2
    assert borrower.held(LEASE_TERM_SECONDS) == before


def test_a_grant_after_its_term_is_given_back_unused(sides):
    borrower, lender = sides
    before = lender.held(0.0)
    grant = lend(borrower, lender)
    returned = borrower.borrower.accept(grant, LEASE_TERM_SECONDS + 1.0)
    assert lender.lender.accept_return(returned)
    assert lender.held(5.0) == before


def test_a_grant_to_a_predecessor_is_neither_used_nor_given_back(sides):
    """Guard against issue 4: a predecessor's request may still run on the slot."""
    before, lender = sides
    grant = lend(before, lender)
    successor = Side(0)
    successor.borrower = Borrower(successor.ledger, first_number=1000)
    successor.borrower.request(1, 'till', 2, 0.2)
    held = successor.held(0.2)
    assert successor.borrower.accept(grant, 0.3) is None
    assert successor.held(0.3) == held


def test_a_duplicate_grant_counts_once(sides):
    borrower, lender = sides
    grant = lend(borrower, lender)
    borrower.borrower.accept(grant, 0.1)
    held = borrower.held(0.1)
    assert borrower.borrower.accept(grant, 0.2) is None
    assert borrower.held(0.2) == held


def test_a_lost_grant_comes_back_after_term_request_and_margin(sides):
    borrower, lender = sides
    before = lender.held(0.0)
    lend(borrower, lender)
    seconds = loan_seconds(LEASE_TERM_SECONDS, lender.ledger.request_seconds('till'))
    lender.lender.expire(seconds - 0.01)
    assert lender.held(seconds - 0.01) == before - 2
    lender.lender.expire(seconds)
    assert lender.held(seconds) == before


def test_a_return_of_an_earlier_lease_frees_nothing_of_a_later_one(sides):
    borrower, lender = sides
    first = lend(borrower, lender, count=24)
    borrower.borrower.accept(first, 0.1)
    returned = borrower.borrower.give_back(first.lease)
    lender.lender.accept_return(returned)
    lend(borrower, lender, count=24)
    held = lender.held(0.2)
    assert not lender.lender.accept_return(returned)
    assert lender.held(0.2) == held


def test_a_renewal_keeps_what_is_held_and_frees_the_rest(sides):
    borrower, lender = sides
    before = borrower.held(0.0)
    grant = lend(borrower, lender)
    borrower.borrower.accept(grant, 0.1)
    borrower.borrower.give_back(grant.lease, 1)
    ask = borrower.borrower.request_renewal(grant.lease, 3.0)
    renewed = lender.lender.grant(ask, 3.1, spare=0)
    borrower.borrower.accept(renewed, 3.2)
    assert borrower.held(6.9) == before + 1
    assert lender.held(6.9) == 23


def test_a_slot_that_the_lender_lost_is_not_renewed(sides):
    borrower, lender = sides
    grant = lend(borrower, lender, count=24)
    borrower.borrower.accept(grant, 0.1)
    larger = make_configurations(make_policy(2), make_policy(3))[-1]
    lender.ledger.set_configuration(larger, 1.0)
    assert lender.ledger.confirmed_version(1.0) == 1
    ask = borrower.borrower.request_renewal(grant.lease, 3.0)
    assert lender.lender.grant(ask, 3.1, spare=0) is None
    lender.lender.expire(60.0)
    assert lender.ledger.confirmed_version(60.0) == 2


def test_a_permit_on_a_borrowed_slot_may_not_start_after_the_term(sides):
    borrower, lender = sides
    grant = lend(borrower, lender, count=1)
    borrower.borrower.accept(grant, 0.1)
    (server,) = grant.masks
    for _ in range(borrower.ledger.free_slots(server, 0.1)):
        permit = borrower.ledger.take(server, 0.1)
    assert permit.lease == grant.lease
    assert permit.may_start(LEASE_TERM_SECONDS - 0.1)
    assert not permit.may_start(LEASE_TERM_SECONDS)


def test_demand_decides_what_is_borrowed_spared_and_returned():
    demand = Demand()
    for step in range(200):
        demand.observe(16, step * 0.25)
    assert slots_to_borrow(demand, held=10, waiting=3) == 8
    assert slots_to_borrow(demand, held=10, waiting=0) == 0
    assert slots_to_borrow(demand, held=17, waiting=3) == 0
    assert slots_to_spare(demand, used=16, free=10) == 6
    assert slots_to_return(demand, held=30, borrowed_free=4) == 4
    assert slots_to_return(demand, held=20, borrowed_free=4) == 2


def test_only_peers_with_recent_reports_of_idle_slots_are_asked():
    registry = IdleRegistry()
    registry.record(1, 'till', 3, now=0.0)
    registry.record(2, 'till', 9, now=1.0)
    registry.record(3, 'till', 9, now=1.0)
    distances = {1: 2, 2: 2, 3: 0}
    assert registry.choose_lenders('till', 10, distances, 1.0) == [(3, 9), (2, 1)]
    assert registry.choose_lenders('till', 10, distances, 3.0) == [(3, 9), (2, 1)]
    assert registry.choose_lenders('till', 10, distances, 4.0) == []


def test_all_peers_are_notified_of_idle_slots_in_turn():
    notified = {o for turn in range(3) for o in peers_to_notify(range(7), 0, turn, 3)}
    assert notified == {1, 2, 3, 4, 5, 6}
