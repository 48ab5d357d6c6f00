"""Replays a planned stop without a network: phases by time, and what may still wait."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions.entry_stop import EntryStopPhase, EntryStopPlan

PLAN = EntryStopPlan(started_at=100.0, grace_seconds=6.0)


@pytest.mark.parametrize(
    ('now', 'open_connections', 'phase'),
    [
        (100.0, 0, EntryStopPhase.ACCEPTING),
        (102.9, 9, EntryStopPhase.ACCEPTING),
        (103.0, 9, EntryStopPhase.FINISHING),
        (103.0, 0, EntryStopPhase.DONE),
        (105.3, 9, EntryStopPhase.FINISHING),
        (105.4, 9, EntryStopPhase.REFUSING),
        (105.6, 9, EntryStopPhase.DONE),
    ],
)
def test_phases(now: float, open_connections: int, phase: EntryStopPhase) -> None:
    assert PLAN.phase(now, open_connections) is phase


@pytest.mark.parametrize(
    ('now', 'deadline_at', 'is_passed_on', 'waits_until'),
    [
        (102.9, 115.0, True, 103.0),
        (103.0, 115.0, False, 103.0),
        (103.0, 105.3, True, math.inf),
        (105.0, 105.3, True, math.inf),
        (103.0, 105.5, False, 103.0),
    ],
)
def test_a_request_is_passed_on_only_if_the_end_cannot_cut_it_off(
    now: float, deadline_at: float, is_passed_on: bool, waits_until: float
) -> None:
    assert PLAN.can_pass_on(now, deadline_at) is is_passed_on
    assert PLAN.waits_until(deadline_at) == waits_until


@given(
    grace=st.floats(0.1, 60.0),
    arrivals=st.lists(st.tuples(st.floats(0.0, 60.0), st.floats(0.01, 120.0))),
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_every_wait_of_a_stop_ends_before_the_process(
    grace: float, arrivals: list[tuple[float, float]]
) -> None:
    """Requests come at any time of the stop with any time limit, and stall."""
    plan = EntryStopPlan(0.0, grace)
    assert 0.0 < plan.last_pass_at <= plan.accepts_until
    assert plan.accepts_until < plan.answers_until < plan.ends_at < grace
    for at, seconds in arrivals:
        ends_at = min(at + seconds, plan.waits_until(at + seconds))
        assert ends_at <= plan.answers_until
    order = list(EntryStopPhase)
    times = sorted(at for at, _ in arrivals)
    phases = [order.index(plan.phase(at, 1)) for at in times]
    assert phases == sorted(phases)
