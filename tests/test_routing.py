"""Tests of the choice of a backend server."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from daisylift.decisions.health import LoadReport, ServerHealth
from daisylift.decisions.routing import RECHECK_SECONDS, RoutedServer, RoutingTable

REGIONS = ('arusha', 'arusha', 'dar', 'mwanza')
DISTANCES = (0, 1, 2, 2)


def routed(number: int, place: int = 0, free: int = 2, **fields) -> RoutedServer:
    return RoutedServer(
        name=f's{number}',
        region=REGIONS[place],
        distance=DISTANCES[place],
        connections=fields.pop('connections', 100),
        health=ServerHealth(cold_start_seconds=10.0, last_report_at=0.0),
        free=free,
        **fields,
    )


def table_of(*servers: RoutedServer) -> RoutingTable:
    table = RoutingTable()
    table.replace(servers)
    return table


def choices(table: RoutingTable, now: float = 0.0, count: int = 50) -> set[str]:
    generator = random.Random(5).random
    found = (table.choose(now, generator) for _ in range(count))
    return {server.name for server in found if server is not None}


def test_nearest_wins_at_equal_latency():
    table = table_of(routed(0, 2), routed(1, 1), routed(2, 0), routed(3, 3))
    assert choices(table) == {'s2'}


def test_next_nearest_if_the_nearest_has_no_free_permit():
    table = table_of(routed(0, 2), routed(1, 1), routed(2, 0, free=0))
    assert choices(table) == {'s1'}


def test_clearly_faster_server_wins_though_farther():
    near, far = routed(0, 0), routed(1, 2)
    near.health.record_success(2.0, 0.0)
    far.health.record_success(0.05, 0.0)
    assert choices(table_of(near, far)) == {'s1'}


def test_usual_duration_of_the_service_is_learned():
    servers = [routed(number) for number in range(3)]
    table = table_of(*servers)
    for _ in range(300):
        servers[0].health.record_success(2.0, 0.0)
        table.update_work_seconds(servers[0])
    assert 1.9 < table.work_seconds <= 2.0
    far = routed(9, 2)
    far.health.record_success(2.0, 0.0)
    table = table_of(*servers, far)
    table.work_seconds = 2.0
    assert 's9' not in choices(table)


def test_measured_latency_wins_over_a_misleading_load_report():
    slow, fast = routed(0), routed(1)
    slow.health.record_success(1.0, 0.0)
    slow.health.record_report(LoadReport(in_flight=0, slots=4, received_at=0.0))
    fast.health.record_success(0.02, 0.0)
    fast.health.record_report(LoadReport(in_flight=4, slots=4, received_at=0.0))
    assert choices(table_of(slow, fast)) == {'s1'}


def test_less_loaded_server_wins_while_its_report_is_fresh():
    busy, idle = routed(0), routed(1)
    busy.health.record_report(LoadReport(in_flight=4, slots=4, received_at=0.0))
    assert choices(table_of(busy, idle)) == {'s1'}
    assert busy.expected_seconds(10.0, 0.02) < 1.01 * idle.expected_seconds(10.0, 0.02)


def test_draining_and_ejected_servers_get_nothing():
    drained, ejected, well = routed(0), routed(1), routed(2)
    drained.health.record_drain(0.0)
    ejected.health.ejected_until = 5.0
    table = table_of(drained, ejected, well)
    assert choices(table, now=1.0) == {'s2'}
    assert choices(table, now=6.0) >= {'s1'}


def test_connection_limit_bounds_what_is_in_flight():
    table = table_of(routed(0, free=5, connections=2, in_flight=2))
    assert choices(table) == set()


def test_excluded_servers_and_closed_regions_are_skipped():
    table = table_of(*(routed(number, number % 4) for number in range(40)))
    generator = random.Random(1).random
    excluded = frozenset(f's{number}' for number in range(0, 40, 4))
    found = table.choose(0.0, generator, excluded, frozenset({'arusha', 'dar'}))
    assert found.region == 'mwanza'


class Choosing(RuleBasedStateMachine):
    """Takes and returns permits, drains and fails servers, and advances the clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.random = random.Random(7).random
        self.servers = [routed(number, number % 4, free=2) for number in range(9)]
        self.table = table_of(*self.servers)
        self.taken: list[RoutedServer] = []

    @rule(seconds=st.sampled_from([0.01, RECHECK_SECONDS, 1.0, 20.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(
        excluded=st.frozensets(st.sampled_from(['s0', 's1', 's4'])),
        closed=st.frozensets(st.sampled_from(['arusha', 'dar'])),
    )
    def choose(self, excluded, closed):
        roomy = [s for s in self.servers if self._usable(s, excluded, closed)]
        server = self.table.choose(self.now, self.random, excluded, closed)
        if server is None:
            assert not any(s.group_index >= 0 for s in roomy)
            assert all(s.recheck_at <= self.now + 60.0 for s in roomy)
            return
        assert server in roomy
        server.free -= 1
        server.in_flight += 1
        self.table.update(server)
        self.taken.append(server)

    @precondition(lambda self: self.taken)
    @rule(index=st.integers(0, 100), failed=st.booleans())
    def release(self, index, failed):
        server = self.taken.pop(index % len(self.taken))
        server.free += 1
        server.in_flight -= 1
        if failed:
            server.health.record_failure(self.now, may_eject=True)
        else:
            server.health.record_success(0.01, self.now)
        self.table.update(server)

    @rule(index=st.integers(0, 8), draining=st.booleans())
    def drain(self, index, draining):
        server = self.servers[index]
        if draining:
            server.health.record_drain(self.now)
        else:
            server.health.record_drain_end(self.now)
        self.table.update(server)

    @invariant()
    def parking_is_bounded(self):
        assert len(self.table._parked) <= 20 * len(self.servers)

    def _usable(self, server, excluded, closed):
        return (
            server.name not in excluded
            and server.region not in closed
            and server.health.unusable_until() <= self.now
            and server.has_capacity(self.now)
        )


Choosing.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestChoosing = Choosing.TestCase
