"""Tests of the reported slowdown of servers that share their machines with others."""

import random

import pytest

from daisylift.decisions.placement import ServicePlacer, WorkEstimate
from daisylift.decisions.ranking import Candidate, Location
from daisylift.decisions.server_stats import (
    MAX_SLOWDOWN,
    SLOWDOWN_DECAY_SECONDS,
    LoadReport,
    ServerStats,
)
from daisylift.decisions.work_estimates import RouteWorkEstimator
from daisylift.models.registered_server import RegisteredServer
from daisylift_node.connection.server_connection import ServerResponse
from daisylift_node.request.dialect import ResponseMetadata
from daisylift_node.request.learning import learn_from_response, pace_evidence

WORK = WorkEstimate(warm_seconds=0.2, cold_seconds=0.6, response_bytes=1500.0)


def a_placer() -> ServicePlacer:
    servers = [
        RegisteredServer(f'i-{n}', 's', 'h', 80, 'd-0', 4, False, 0.0, 1)
        for n in range(2)
    ]
    return ServicePlacer(
        Location('d-0', 'r-0'),
        [Candidate(each, ServerStats(slots=4), 'r-0') for each in servers],
        random.Random(5),
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


def test_a_request_goes_where_it_ends_first() -> None:
    placer = a_placer()
    stats = placer.candidates_by_id['i-0'].stats
    stats.record_report(LoadReport(0, 0, 4, 2.5), 0.0)
    chosen = {placer.choose(None, WORK, None, {}, 0.05).server.id for _ in range(9)}
    assert chosen == {'i-1'}
    placer.candidates_by_id['i-1'].stats.slowness = 1.1  # but it is slower as a rule
    assert placer.choose(None, WORK, None, {}, 0.05).server.id == 'i-1'
    assert placer.choose(None, WORK, None, {}, 2.0).server.id == 'i-0'


# Runs on a machine that was busy for a moment made a good server count as slow.
def test_a_stated_slowdown_does_not_count_as_the_servers_own() -> None:
    placement = a_placer().choose(None, WORK, None, {}, 0.0)
    assert placement is not None
    estimator = RouteWorkEstimator(0.2, 0.6)
    metadata = ResponseMetadata('r', True, False, False, LoadReport(1, 0, 4, 2.5))
    response = ServerResponse(200, 'OK', [], b'x')
    for _ in range(20):
        learn_from_response(
            placement, estimator, response, metadata, 0.35, has_object=False, now=1.0
        )
    assert estimator.warm_seconds == pytest.approx(0.2, abs=0.01)
    assert placement.stats.slowness == pytest.approx(1.0, abs=0.05)
    evidence = pace_evidence(placement, estimator, response, metadata, 0.35, 1.0)
    assert evidence.is_in_time
