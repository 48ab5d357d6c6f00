"""Mutation test: the state machine of slot shares must detect each planted fault."""

from random import Random

import pytest

from daisylift.decisions import leases, permit_ledger
from daisylift.decisions.confirmations import Confirmations
from daisylift.decisions.ordinals import FenceTimes
from daisylift.decisions.permit import BorrowedSlots, Permit
from tests.shares_harness_node import Node, TwoRequestsOnOneSlotError
from tests.test_shares_machine import (
    CLAIM_STEPS,
    DELIVERIES,
    DISTURBANCES,
    EITHER,
    FOLLOWING,
    INDEXES,
    LEASE_STEPS,
    POLICIES,
    POSITIONS,
    RATES,
    REQUEST_STEPS,
    SECONDS,
    SURROUNDINGS,
    SharesMachine,
)

WALKS = 1500
STEPS_PER_WALK = 50
WALK_STEPS = (
    (SharesMachine.pass_time, {'seconds': SECONDS}),
    (SharesMachine.put_policy, {'policy': POLICIES, 'all_follow': EITHER}),
    (SharesMachine.follow, {'index': INDEXES, 'how': FOLLOWING}),
    (SharesMachine.change_surroundings, {'what': SURROUNDINGS, 'place': INDEXES}),
    (
        SharesMachine.disturb,
        {
            'index': INDEXES,
            'what': DISTURBANCES,
            'rate': RATES,
            'skip': EITHER,
            'claim': EITHER,
        },
    ),
    (SharesMachine.claim, {'index': INDEXES, 'step': CLAIM_STEPS}),
    (SharesMachine.requests, {'index': INDEXES, 'step': REQUEST_STEPS}),
    (
        SharesMachine.ask,
        {'index': INDEXES, 'lender': INDEXES, 'count': (1, 2), 'now': EITHER},
    ),
    (SharesMachine.change_leases, {'index': INDEXES, 'step': LEASE_STEPS}),
    (SharesMachine.tell_confirmed, {'deliver': EITHER}),
    (SharesMachine.deliver, {'position': POSITIONS, 'what': DELIVERIES}),
)


def _never_ends(slots: BorrowedSlots, now: float) -> int:
    return slots.mask & ~slots.used


def _always(permit, now, seconds_left=0.0):
    return True


def _term_from_arrival(borrower, grant, now, accept=leases.Borrower.accept):
    pending = borrower._pending.get(grant.ask)
    if pending is not None:
        borrower._pending[grant.ask] = leases._PendingRequest(pending.request, now)
    return accept(borrower, grant, now)


def _in_use_no_longer(ledger, permit, now, uncertain_until=None):
    ledger._free(permit)


def _without_hold(ledger, ordinal, epoch, predecessor_until=None):
    ledger.ordinal, ledger.epoch = ordinal, epoch
    ledger._recompute()


MUTATIONS = {
    'the borrower does not check the term': (BorrowedSlots, 'free', _never_ends),
    'no check just before the first byte': (Permit, 'may_start', _always),
    'the term counts from the answer': (leases.Borrower, 'accept', _term_from_arrival),
    'the lender takes back at the end of the term': (
        leases,
        'loan_seconds',
        lambda term, longest: term,
    ),
    'the gaining node does not wait': (Confirmations, 'blocked', lambda c, own: {}),
    'a node that skipped versions does not wait': (
        Confirmations,
        'below_floor',
        lambda c, own, occupied: set(),
    ),
    'the losing node confirms at once': (
        permit_ledger.PermitLedger,
        '_track_lost',
        lambda ledger, version, masks: None,
    ),
    'the successor does not wait': (
        permit_ledger.PermitLedger,
        'set_ordinal',
        _without_hold,
    ),
    'the successor ignores what was handed over': (
        leases.Lender,
        'inherit',
        lambda lender, predecessor, now: None,
    ),
    'the taker of an ordinal does not wait': (
        Node,
        'fence',
        lambda node: FenceTimes(fence_seconds=0.0, vacancy_delay_seconds=0.0),
    ),
    'a slot with unknown outcome is used at once': (
        permit_ledger.PermitLedger,
        'release',
        _in_use_no_longer,
    ),
}


def walk(seed):
    """Take random steps of the machine, without the cost of generated examples."""
    random = Random(seed)
    machine = SharesMachine()
    machine.start()
    for _ in range(STEPS_PER_WALK):
        step, values = random.choice(WALK_STEPS)
        if step is SharesMachine.deliver and not machine.world.messages:
            continue
        step(machine, **{name: random.choice(of) for name, of in values.items()})
        machine.no_two_may_use_one_slot()


@pytest.mark.parametrize('mutation', MUTATIONS)
def test_the_machine_finds_a_planted_fault(monkeypatch, mutation):
    monkeypatch.setattr(*MUTATIONS[mutation])
    with pytest.raises(TwoRequestsOnOneSlotError):
        for seed in range(WALKS):
            walk(seed)


def test_walks_without_a_fault_find_nothing():
    for seed in range(WALKS // 5):
        walk(seed)
