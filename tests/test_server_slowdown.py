"""Tests of the reported slowdown of servers that share their machines with others."""

import pytest

from daisylift.decisions.server_stats import (
    MAX_SLOWDOWN,
    SLOWDOWN_DECAY_SECONDS,
    LoadReport,
    ServerStats,
)


def slowed(slowdown: float) -> ServerStats:
    stats = ServerStats(slots=4)
    stats.record_report(LoadReport(0, 0, 4, slowdown), 10.0)
    return stats


def test_a_server_that_reports_nothing_runs_at_its_usual_speed() -> None:
    stats = ServerStats(slots=4)
    stats.record_report(LoadReport(1, 0, 4), 0.0)
    assert stats.slowdown(0.3, 0.0) == 1.0


# A figure that changes many times a second steered requests for seconds.
def test_a_stale_slowdown_fades_to_the_usual_speed() -> None:
    stats = slowed(2.5)
    factors = [stats.slowdown(0.1, 10.0 + age) for age in (0.0, 0.25, 0.5, 1.0, 3.0)]
    assert factors == sorted(factors, reverse=True)
    assert factors[0] > 2.0
    assert factors[-1] == pytest.approx(1.0, abs=0.001)


def test_a_long_run_outlasts_the_slowdown() -> None:
    stats = slowed(3.0)
    assert stats.slowdown(0.001, 10.0) == pytest.approx(3.0, abs=0.01)
    assert stats.slowdown(10 * SLOWDOWN_DECAY_SECONDS, 10.0) < 1.3


def test_an_absurd_slowdown_is_bounded() -> None:
    assert slowed(1e6).slowdown(0.0, 10.0) == MAX_SLOWDOWN


def test_a_faster_machine_is_expected_to_end_earlier() -> None:
    assert 0.8 < slowed(0.8).slowdown(0.1, 10.0) < 1.0
