"""Tests of what servers say about new requests."""

import math

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from daisylift.decisions.availability import (
    MAX_RETURN_SECONDS,
    Availability,
    AvailabilityRegister,
    Exclusion,
    retry_after_pause,
)
from daisylift.decisions.server_stats import ServerStats

NODES = 7


def test_a_new_start_takes_requests() -> None:
    assert Availability().exclusion(0.0) is None
    assert Availability().has_capacity(100)


def test_a_leaving_server_takes_nothing_until_it_starts_again() -> None:
    register = AvailabilityRegister()
    said = register.get(('i-1', 1))
    register.remember(('i-1', 1), said)
    assert said.record_leaving()
    assert not said.record_leaving()
    said.record_pause(1.0, NODES, 0.0, now=0.0)
    said.record_run(sent_at=5.0)
    assert register.get(('i-1', 1)).exclusion(1000.0) is Exclusion.LEAVING
    assert register.get(('i-1', 2)).exclusion(0.0) is None


def test_the_longest_pause_holds() -> None:
    said = Availability()
    assert said.record_pause(3.0, NODES, 0.0, now=10.0)
    assert not said.record_pause(1.0, NODES, 0.0, now=11.0)
    assert said.exclusion(12.9) is Exclusion.PAUSED
    assert said.exclusion(13.0) is None
    assert said.record_pause(3.0, NODES, 0.0, now=11.0)
    assert said.exclusion(13.9) is Exclusion.PAUSED


def test_a_pause_of_nothing_changes_nothing() -> None:
    said = Availability(paused_until=1.0, resumes_at=1.0)
    assert not said.record_pause(0.0, NODES, 1.0, now=1.0)
    assert said.exclusion(1.0) is None


def test_after_a_pause_one_request_at_a_time_is_sent_until_one_has_run() -> None:
    said = Availability()
    said.record_pause(1.0, NODES, 0.0, now=0.0)
    said.record_run(sent_at=0.5)  # sent before the pause was over
    assert said.has_capacity(0)
    assert not said.has_capacity(1)
    said.record_run(sent_at=1.0)
    assert said.has_capacity(1)


def test_nodes_return_spread_over_time() -> None:
    said = [Availability() for _ in range(80)]
    for number, each in enumerate(said):
        each.record_pause(1.0, len(said), number / len(said), now=0.0)
    returns = sorted(each.resumes_at for each in said)
    first = sum(at < returns[0] + 0.2 for at in returns)
    assert returns[0] >= 1.0
    assert first <= 11  # 50 a second
    late = Availability()
    late.record_pause(1.0, 930, 1.0, now=0.0)
    assert late.resumes_at <= 1.0 + MAX_RETURN_SECONDS


def test_the_starts_that_spoke_least_recently_are_forgotten() -> None:
    register = AvailabilityRegister(max_starts=2)
    said_by_start = {name: Availability(is_leaving=True) for name in 'abc'}
    for name in 'abac':
        register.remember(name, said_by_start[name])
    assert [register.get(name).is_leaving for name in 'abc'] == [True, False, True]


def test_one_place_says_why_a_server_is_excluded() -> None:
    stats = ServerStats(slots=4)
    assert stats.exclusion(0.0) is None
    stats.mark_unreachable(0.0)
    assert stats.exclusion(0.1) is Exclusion.UNREACHABLE
    stats.availability.record_pause(9.0, NODES, 0.0, now=0.0)
    assert stats.exclusion(0.1) is Exclusion.PAUSED
    stats.availability.record_leaving()
    assert stats.exclusion(0.1) is Exclusion.LEAVING
    stats.mark_displaced()
    assert stats.exclusion(0.1) is Exclusion.DISPLACED


@pytest.mark.parametrize('seconds', [0.0, 0.5, 30.0])
def test_refused_callers_come_back_spread_after_the_end(seconds: float) -> None:
    assert retry_after_pause(seconds, 0.0) == seconds
    assert retry_after_pause(seconds, 1.0) >= seconds + 0.2


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['leaving', 'pause', 'run', 'again']),
        st.floats(min_value=0.0, max_value=5.0),
        st.floats(min_value=0.0, max_value=2.0),
    ),
    max_size=30,
)


@given(STEPS, st.floats(min_value=0.0, max_value=1.0))
@example([('pause', 0.0, 0.0)], 1.0)
def test_no_sequence_of_answers_shortens_what_a_server_said(
    steps: list[tuple[str, float, float]], spread: float
) -> None:
    register = AvailabilityRegister()
    now, until, left = 0.0, -math.inf, False
    for step, seconds, passed in steps:
        said = register.get('start')  # as after a lapse and a new registration
        register.remember('start', said)
        if step == 'leaving':
            said.record_leaving()
            left = True
        elif step == 'pause':
            said.record_pause(seconds, NODES, spread, now)
            until = max(until, now + seconds if seconds else until)
        elif step == 'run':
            said.record_run(now)
        now += passed
        if left:
            assert said.exclusion(now) is Exclusion.LEAVING
        elif now < until:
            assert said.exclusion(now) is Exclusion.PAUSED
        elif now >= until + MAX_RETURN_SECONDS:
            assert said.exclusion(now) is None
