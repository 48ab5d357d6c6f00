"""Tests of request deadlines from callers' timeouts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from daisylift.decisions.deadlines import Deadline, parse_deadline


@given(st.text(max_size=12), st.floats(0.001, 3600.0), st.floats(0.0, 1e6))
@settings(derandomize=True, deadline=None)
def test_any_header_gives_a_deadline_within_the_limit_or_a_failure(value, limit, now):
    match parse_deadline(value, limit, now):
        case Success(deadline):
            assert now <= deadline.at <= now + limit
        case Failure(bad):
            assert bad.value == value


@pytest.mark.parametrize('value', ['', 'soon', '-1', '1.5', '1e3', '9' * 10, '٣'])
def test_invalid_header_is_refused(value):
    assert isinstance(parse_deadline(value, 5.0, 0.0), Failure)


def test_remaining_time_decreases():
    deadline = parse_deadline('250', 5.0, 100.0).unwrap()
    assert deadline.to_header(100.0) == '250'
    assert deadline.to_header(100.2499) == '0'
    assert deadline.has_passed(100.25)
    assert deadline.remaining_seconds(101.0) == 0.0


def test_capped_keeps_the_earlier_deadline():
    assert Deadline(10.0).capped(3.0, 5.0) == Deadline(8.0)
    assert Deadline(6.0).capped(3.0, 5.0) == Deadline(6.0)
