"""Tests of shifts: stages, reasons to hold, and the cap over all shifts."""

from dataclasses import replace

import pytest

from daisylift.decisions.configuration import (
    ChangeProblem,
    ChangeRefusedError,
    Configuration,
    ServerKey,
    apply_body,
    apply_change,
)
from daisylift.decisions.shifts import (
    Advance,
    Hold,
    HoldReason,
    MoveLedger,
    Shift,
    ShiftKind,
    ShiftState,
    SiteLoad,
    decide_advance,
    points_at_stage,
    points_of,
    spacing_seconds,
    stage_points,
)
from daisylift.decisions.steering import POINTS, points_at, single_site_cut
from daisylift.models import (
    AdvanceShift,
    Change,
    ControlShift,
    EvacuateRegion,
    Policy,
    PutPolicy,
    SetServerDrain,
    SetSiteDrain,
    StartShift,
)
from tests.utils import policy_document

CAP = points_of(0.1)
SHIFT = Shift(
    name='move',
    service='till',
    sources=('dar-1',),
    destinations=('arusha-1',),
    target=points_of(0.5),
    cap=CAP,
)
START = StartShift(
    shift='move', service='till', sources=('dar-1',), destinations=('arusha-1',)
)


class Loads:
    def __init__(self, used: int = 0, age: float = 0.0, missing=()) -> None:
        self.used, self.age, self.missing = used, age, missing

    def load_of(self, service: str, site: str) -> SiteLoad | None:
        if site in self.missing:
            return None
        return SiteLoad(used_slots=self.used, slots=4, age_seconds=self.age)


def configured(*bodies, **fields) -> Configuration:
    policy = Policy.model_validate({**policy_document(), **fields})
    configuration = Configuration()
    for body in (PutPolicy(policy=policy), *bodies):
        version = configuration.version + 1
        change = Change(version=version, operation_id=f'op-{version}', body=body)
        configuration = apply_change(configuration, change)
    return configuration


def quiet_ledger() -> MoveLedger:
    ledger = MoveLedger()
    ledger.track(['till'], version=1, now=0.0)
    ledger.confirm(1, now=0.0)
    return ledger


def decide(shift=SHIFT, others=(), ledger=None, loads=None, now=100.0):
    configuration = configured()
    return decide_advance(
        shift,
        others,
        configuration.index.services_by_name['till'],
        ledger or quiet_ledger(),
        loads or Loads(),
        configuration.index.slots_by_site_by_service['till'],
        now,
    )


def test_stages_are_small_first_and_end_at_the_target():
    moved = [points_at_stage(SHIFT, stage) for stage in range(9)]
    assert moved[:4] == [0, CAP // 4, CAP // 4 + CAP // 2, CAP // 4 + CAP // 2 + CAP]
    assert moved[8] == moved[7] == SHIFT.target
    evacuation = replace(SHIFT, kind=ShiftKind.EVACUATION)
    assert points_at_stage(evacuation, 1) == CAP


def test_advance_when_nothing_prevents_it():
    assert decide() == Advance('move', 1)


@pytest.mark.parametrize(
    ('loads', 'reason'),
    [
        (Loads(age=60.0), HoldReason.STALE_LOAD),
        (Loads(missing=('arusha-1',)), HoldReason.STALE_LOAD),
        (Loads(used=4), HoldReason.NO_HEADROOM),
    ],
)
def test_hold_because_of_load_figures(loads, reason):
    assert decide(loads=loads) == Hold('move', reason)


def test_sources_without_load_figures_count_as_full():
    nearly = replace(SHIFT, stage=2, cap=points_of(0.5), target=POINTS)
    loads = Loads(used=0)
    assert decide(nearly, loads=loads) == Advance('move', 3)
    loads.missing = ('dar-1', 'arusha-2')
    assert decide(nearly, loads=loads) == Hold('move', HoldReason.NO_HEADROOM)


def test_started_node_waits_until_all_confirmed_what_it_started_from():
    ledger = MoveLedger()
    assert decide(ledger=ledger) == Hold('move', HoldReason.PERIOD)
    ledger.track(['till'], version=7, now=0.0)
    assert decide(ledger=ledger) == Hold('move', HoldReason.NOT_CONFIRMED)
    ledger.confirm(7, now=99.0)
    assert decide(ledger=ledger) == Hold('move', HoldReason.PERIOD)
    assert decide(ledger=ledger, now=200.0) == Advance('move', 1)


def test_hold_within_the_spacing_of_any_move_of_the_service():
    service = configured().index.services_by_name['till']
    spacing = spacing_seconds(service)
    ledger = quiet_ledger()
    ledger.record('till', CAP, version=5, now=50.0)
    assert decide(ledger=ledger) == Hold('move', HoldReason.NOT_CONFIRMED)
    ledger.confirm(5, now=99.0)
    assert decide(ledger=ledger) == Hold('move', HoldReason.PERIOD)
    assert decide(ledger=ledger, now=99.0 + spacing) == Advance('move', 1)


def test_evacuation_has_priority_and_needs_no_confirmation():
    evacuation = replace(SHIFT, name='away', kind=ShiftKind.EVACUATION)
    assert decide(others=[evacuation]) == Hold('move', HoldReason.EVACUATION_FIRST)
    ledger = quiet_ledger()
    ledger.record('till', CAP, version=5, now=50.0)
    assert decide(evacuation, ledger=ledger) == Advance('away', 1)
    ledger.record('till', CAP, version=6, now=95.0)
    assert decide(evacuation, ledger=ledger) == Hold('away', HoldReason.PERIOD)


def test_evacuation_may_fill_the_receivers_but_not_overrun_them():
    evacuation = replace(SHIFT, kind=ShiftKind.EVACUATION, cap=points_of(0.25))
    loads = Loads(used=1, missing=('dar-1',))
    assert decide(evacuation, loads=loads) == Advance('move', 1)
    loads.used = 3
    assert decide(evacuation, loads=loads) == Hold('move', HoldReason.NO_HEADROOM)


def test_stage_moves_exactly_its_points_and_reverse_takes_them_back():
    before = configured(START)
    shift = before.shifts['move']
    after = apply_body(before, AdvanceShift(shift='move', stage=1))
    cut = after.cuts['till']['dar-1']
    assert points_at(cut, ['arusha-1']) == stage_points(shift) == CAP // 4
    assert after.cuts['till']['arusha-2'] is before.cuts['till']['arusha-2']
    back = apply_body(after, ControlShift(shift='move', action='reverse'))
    back = apply_body(back, AdvanceShift(shift='move', stage=0))
    assert back.cuts['till']['dar-1'] == single_site_cut('dar-1')
    assert back.shifts['move'].state is ShiftState.REVERSED


@pytest.mark.parametrize(
    ('body', 'problem'),
    [
        (START, ChangeProblem.WRONG_STATE),
        (AdvanceShift(shift='move', stage=2), ChangeProblem.WRONG_STATE),
        (AdvanceShift(shift='other', stage=1), ChangeProblem.UNKNOWN_NAME),
        (ControlShift(shift='move', action='resume'), ChangeProblem.WRONG_STATE),
        (START.model_copy(update={'service': 'x'}), ChangeProblem.UNKNOWN_NAME),
        (EvacuateRegion(region='nowhere'), ChangeProblem.UNKNOWN_NAME),
        (
            SetSiteDrain(sites=('arusha-1', 'arusha-2', 'dar-1'), draining=True),
            ChangeProblem.UNSERVABLE,
        ),
    ],
)
def test_invalid_change_of_shifts_is_refused(body, problem):
    with pytest.raises(ChangeRefusedError) as caught:
        apply_body(configured(START), body)
    assert caught.value.problem is problem


def test_policy_that_lowers_the_cap_under_an_active_shift_is_refused():
    document = policy_document()
    document['services'][0]['shift_cap'] = 0.05
    policy = Policy.model_validate(document)
    with pytest.raises(ChangeRefusedError) as caught:
        apply_body(configured(START), PutPolicy(policy=policy))
    assert caught.value.problem is ChangeProblem.OVER_CAP


def test_site_drain_affects_servers_only_when_no_traffic_is_steered_there():
    configuration = configured(SetSiteDrain(sites=('dar-1',), draining=True))
    (shift,) = configuration.shifts.values()
    key = ServerKey('till', 'till-2')
    while shift.is_active:
        assert key not in configuration.draining
        body = AdvanceShift(shift=shift.name, stage=shift.next_stage)
        configuration = apply_body(configuration, body)
        shift = configuration.shifts[shift.name]
    assert key in configuration.draining
    undrained = apply_body(
        configuration, SetSiteDrain(sites=('dar-1',), draining=False)
    )
    assert key not in undrained.draining
    assert undrained.shifts[shift.name].state is ShiftState.REVERSE


def test_server_drain_changes_only_its_part():
    before = configured()
    body = SetServerDrain(service='till', server='till-0', draining=True)
    after = apply_body(before, body)
    assert after.draining == {ServerKey('till', 'till-0')}
    assert after.index is before.index
    assert after.cuts is before.cuts
