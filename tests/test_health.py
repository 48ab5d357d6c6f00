"""Tests of server health with late, missing and wrong load reports."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions import health as decisions
from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.decisions.health import LoadReport, ServerHealth, load_report, parse_load
from daisylift_node.process.health import HealthRegistry
from tests.fakes.relay import relay_policy

KEY = ServerKey(service='till', server='till-0')


def health(**fields) -> ServerHealth:
    return ServerHealth(
        **({'cold_start_seconds': 10.0, 'last_report_at': 0.0} | fields)
    )


@given(
    st.integers(0, 50),
    st.lists(st.floats(0.0, 500.0), min_size=2, max_size=20),
    st.floats(0.0, 30.0),
)
@settings(derandomize=True, deadline=None)
def test_without_reports_usable_slots_only_fall_and_to_a_floor(
    held, moments, last_report_at
):
    one = health(last_report_at=last_report_at)
    usable = [one.usable_slots(held, now) for now in sorted(moments)]
    assert usable == sorted(usable, reverse=True)
    assert all(number <= held for number in usable)
    if held:
        floor = held * decisions.REPORT_FLOOR_SHARE
        assert min(usable) >= max(1, floor - 1)


@given(st.integers(1, 50), st.lists(st.floats(0.0, 20.0), min_size=2, max_size=20))
@settings(derandomize=True, deadline=None)
def test_cold_server_gets_its_slots_one_after_another(held, moments):
    one = health(ramp_start_at=0.0, last_report_at=1000.0)
    usable = [one.usable_slots(held, now) for now in sorted(moments)]
    assert usable == sorted(usable)
    assert one.usable_slots(held, 20.0) == held


def test_report_makes_all_slots_usable_again_but_never_more():
    one = health()
    assert one.usable_slots(8, 100.0) == 2
    one.record_report(LoadReport(in_flight=0, slots=1000, received_at=100.0))
    assert one.usable_slots(8, 100.0) == 8


def test_older_report_does_not_replace_a_newer_one():
    one = health()
    one.record_report(LoadReport(in_flight=3, slots=4, received_at=5.0))
    one.record_report(LoadReport(in_flight=0, slots=4, received_at=4.0))
    assert one.report.in_flight == 3
    assert one.last_report_at == 5.0


def test_repeated_ejections_last_longer_and_end():
    one = health()
    lengths = []
    now = 0.0
    for _ in range(12):
        while not one.record_failure(now, may_eject=True):
            pass
        lengths.append(one.unusable_until() - now)
        now = one.unusable_until()
    assert lengths == sorted(lengths)
    assert lengths[0] == decisions.EJECTION_BASE_SECONDS
    assert lengths[-1] == decisions.MAX_EJECTION_SECONDS
    one.record_success(0.01, now)
    assert not one.record_failure(now, may_eject=True)


def test_drain_ends_only_on_denial_or_expiry():
    one = health(last_report_at=1000.0)
    one.record_drain(5.0)
    assert one.unusable_until() == 5.0 + decisions.DRAIN_EXPIRY_SECONDS
    one.record_drain_end(10.0)
    assert one.unusable_until() <= 10.0
    assert one.usable_slots(10, 11.0) == 1


@pytest.mark.parametrize(
    'value',
    ['', '3', '3/', '/4', '-1/4', 'a/b', '1/0', '1/4/5', '9' * 9 + '/1', '1 /4'],
)
def test_invalid_load_is_ignored(value):
    assert parse_load(value, 0.0) is None


def test_old_latency_decays_to_the_usual_one():
    one = health()
    one.record_success(1.0, 0.0)
    assert one.expected_latency(0.02, 0.0) == 1.0
    assert one.expected_latency(0.02, 60.0) < 0.05


def test_not_all_servers_are_ejected():
    book = HealthRegistry(lambda *_: None, lambda: 0.0)
    policy = relay_policy([1, 2, 3, 4])
    book.set_configuration(Configuration(version=1, policy=policy), 0.0)
    for number in range(4):
        for _ in range(20):
            book.record_failure(ServerKey('till', f'till-{number}'), 1.0)
    out = [one for one in book.by_server.values() if one.unusable_until() > 1.0]
    assert len(out) == 2


def test_server_that_moved_starts_cold():
    book = HealthRegistry(lambda *_: None, lambda: 0.0)
    book.set_configuration(Configuration(1, relay_policy([1, 2])), 0.0)
    assert all(one.ramp_start_at is None for one in book.by_server.values())
    book.set_configuration(Configuration(2, relay_policy([1, 9, 3])), 50.0)
    ramps = [one.ramp_start_at for one in book.by_server.values()]
    assert ramps == [None, 50.0, None]


def test_answers_with_server_errors_count_as_failures():
    book = HealthRegistry(lambda *_: None, lambda: 0.0)
    book.set_configuration(Configuration(1, relay_policy([1, 2])), 0.0)
    for _ in range(decisions.FAILURES_TO_EJECT):
        book.record_response(KEY, 500, {}, 0.001, 1.0)
    assert book.by_server[KEY].unusable_until() > 1.0


def test_load_report_bounds_its_numbers():
    assert load_report(0, 1, 0.0) is not None
    assert load_report(10**9, 1, 0.0) is None
