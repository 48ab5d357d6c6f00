"""Tests of the limit on how much traffic a node moves at once."""

from daisylift.decisions.configuration import Configuration, apply_body
from daisylift.decisions.limiter import CutLimiter
from daisylift.decisions.shifts import points_of, spacing_seconds
from daisylift.decisions.steering import points_at
from daisylift.models import (
    AdvanceShift,
    EvacuateRegion,
    Policy,
    PutPolicy,
    StartShift,
)
from tests.utils import policy_document

CAP = points_of(0.1)


def configured() -> Configuration:
    policy = Policy.model_validate(policy_document())
    return apply_body(Configuration(), PutPolicy(policy=policy))


def shifted(stages: int) -> Configuration:
    body = StartShift(
        shift='move', service='till', sources=('dar-1',), destinations=('arusha-1',)
    )
    return staged(apply_body(configured(), body), 'move', stages)


def staged(configuration: Configuration, name: str, stages: int) -> Configuration:
    for stage in range(1, stages + 1):
        body = AdvanceShift(shift=name, stage=stage)
        configuration = apply_body(configuration, body)
    return configuration


def moved(limiter: CutLimiter) -> int:
    return points_at(limiter.cut_of('till', 'dar-1'), ['arusha-1'])


def spacing() -> float:
    return spacing_seconds(configured().index.services_by_name['till'])


def test_spacing_is_period_kept_answers_and_lag():
    service = configured().index.services_by_name['till']
    period, ttl = service.shift_period_seconds, service.answer_ttl_seconds
    assert spacing() == period + ttl + 3.0


def test_reconnected_node_moves_one_cap_per_spacing():
    limiter = CutLimiter()
    limiter.step(configured(), now=0.0)
    target = shifted(stages=5)
    moved_points = []
    for number in range(1, 6):
        limiter.step(target, now=number * spacing())
        limiter.step(target, now=(number + 0.9) * spacing())
        moved_points.append(moved(limiter))
    total = CAP // 4 + CAP // 2 + 3 * CAP
    assert moved_points == [CAP, 2 * CAP, 3 * CAP, total, total]
    assert limiter.step(target, now=99 * spacing())


def test_node_that_started_waits_a_spacing_before_it_moves():
    limiter = CutLimiter()
    limiter.step(configured(), now=100.0)
    assert not limiter.step(shifted(stages=1), now=100.0 + spacing() - 0.1)
    assert moved(limiter) == 0
    assert limiter.step(shifted(stages=1), now=100.0 + spacing())
    assert moved(limiter) == CAP // 4


def test_evacuation_has_its_own_cap_also_for_the_stage_that_ends_it():
    limiter = CutLimiter()
    limiter.step(configured(), now=0.0)
    lost = apply_body(configured(), EvacuateRegion(region='dar'))
    (name,) = lost.shifts
    evacuated = staged(lost, name, 3)
    limiter.step(evacuated, now=spacing())
    home = limiter.cut_of('till', 'dar-1')
    assert points_at(home, ['arusha-1', 'arusha-2']) == points_of(0.25)
    for stage in (2, 3):
        limiter.step(evacuated, now=stage * spacing())
    ended = apply_body(evacuated, AdvanceShift(shift=name, stage=4))
    assert not ended.shifts[name].is_active
    assert limiter.step(ended, now=4 * spacing())
