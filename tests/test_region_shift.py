"""Tests that the share of requests sent to other regions changes at a limited rate."""

import random
from collections import deque

import pytest

from daisylift.decisions.region_shift import PlacementScope, RegionShiftLimiter

MAX_SHIFT = 0.15


def replay(wanted_share: list[tuple[float, float]], per_second: float) -> list[float]:
    """Return the changes of the other-region share between consecutive 2 s windows.

    ``wanted_share`` lists times and the share that placement requests from then on.
    """
    rng = random.Random(3)
    shift = RegionShiftLimiter(MAX_SHIFT)
    recent: deque[tuple[float, bool]] = deque()
    shares = []
    now, end = 0.0, wanted_share[-1][0] + 8.0
    while now < end:
        now += rng.expovariate(per_second)
        share = [share for moment, share in wanted_share if moment <= now][-1]
        to_other_region = rng.random() < share
        scope = shift.decide_scope(to_other_region, now)
        if scope is not PlacementScope.ANY:
            to_other_region = scope is PlacementScope.OTHER_REGION
        shift.record_sent(to_other_region, now)
        recent.append((now, to_other_region))
        while recent[0][0] < now - 4.0:
            recent.popleft()
        old = [each for when, each in recent if when < now - 2.0]
        new = [each for when, each in recent if when >= now - 2.0]
        if now > 4.0:
            shares.append(abs(sum(new) / len(new) - sum(old) / len(old)))
    return shares


@pytest.mark.parametrize('per_second', [80.0, 250.0])
@pytest.mark.parametrize(
    'wanted',
    [
        [(0.0, 0.65), (2.0, 0.2)],
        [(0.0, 0.0), (6.0, 0.8)],
        [(0.0, 0.1), (5.0, 0.7), (7.0, 0.1), (9.0, 0.7)],
    ],
)
def test_no_window_moves_more_than_allowed(
    wanted: list[tuple[float, float]], per_second: float
) -> None:
    assert max(replay(wanted, per_second)) <= MAX_SHIFT


def test_the_share_reaches_the_share_that_placement_requests() -> None:
    shift = RegionShiftLimiter(MAX_SHIFT)
    now, sent = 0.0, []
    for step in range(4000):
        now = step * 0.01
        wanted = now > 3.0
        scope = shift.decide_scope(wanted, now)
        to_other_region = (
            wanted
            if scope is PlacementScope.ANY
            else scope is PlacementScope.OTHER_REGION
        )
        shift.record_sent(to_other_region, now)
        sent.append(to_other_region)
    assert not any(sent[:300])
    assert sum(sent[-300:]) >= 290
