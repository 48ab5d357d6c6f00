"""Tests of the pace of servers that start or recover, by replays of their load.

A server is a queue before a number of slots, and each VM has its own statistics.
"""

import heapq
import random
from dataclasses import dataclass, field

import pytest

from daisylift.decisions.server_pace import (
    CUT_FACTOR,
    MIN_SHARE,
    PaceEvidence,
    PaceStart,
    ServerPace,
    object_position,
)
from daisylift.decisions.server_stats import LoadReport, ServerStats

WORK_SECONDS = 0.3
STEP_SECONDS = 0.02
IN_TIME = PaceEvidence(time_ratio=1.0)
REFUSED = PaceEvidence(is_refusal=True)


def a_start(nodes: int, slots: int = 4, cold_until: float = 0.0) -> PaceStart:
    return PaceStart(0.0, nodes, nodes, slots, cold_until)


@dataclass
class Replay:
    """A server that starts at 0, and VMs that each have waiting requests for it.

    ``slow_seconds``: so long it takes twice its time. ``failing``: the share of
    requests that fail at once.
    """

    vms: int
    slots: int
    waiting: int
    per_second: float = 0.0
    slow_seconds: float = 0.0
    failing: float = 0.0
    is_paced: bool = True
    rng: random.Random = field(default_factory=lambda: random.Random(7))

    def run(self, seconds: float) -> tuple[list[int], int]:
        """Return the requests at the server after each step, and those served."""
        stats = [ServerStats(slots=self.slots) for _ in range(self.vms)]
        for each in stats if self.is_paced else ():
            each.pace.start(a_start(self.vms, self.slots), self.rng.random(), 0.0)
        queues = [
            [(self.rng.random(), True) for _ in range(self.waiting)]
            for _ in range(self.vms)
        ]
        free_at = [0.0] * self.slots
        ends: list[tuple[float, float, int]] = []
        loads, served = [], 0
        for step in range(int(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            while ends and ends[0][0] <= now:
                _, sent_at, vm = heapq.heappop(ends)
                served += self._learn(stats[vm], len(ends), sent_at, now)
            if self.rng.random() < self.per_second * STEP_SECONDS:
                self.rng.choice(queues).append((self.rng.random(), False))
            for vm in self.rng.sample(range(self.vms), self.vms):
                while queues[vm] and self._admits(stats[vm], queues[vm][-1], now):
                    queues[vm].pop()
                    stats[vm].record_start(None)
                    is_slow = now < self.slow_seconds
                    started = max(now, heapq.heappop(free_at))
                    end = started + WORK_SECONDS * (2.0 if is_slow else 1.0)
                    heapq.heappush(free_at, end)
                    heapq.heappush(ends, (end, now, vm))
            loads.append(len(ends))
        return loads, served

    def _admits(
        self, stats: ServerStats, request: tuple[float, bool], now: float
    ) -> bool:
        position, has_waited = request
        load = stats.occupancy(now)
        if stats.in_flight >= 1.25 * stats.slots or load + 0.5 >= 1.25 * stats.slots:
            return False
        return stats.pace.admits(
            position, load, stats.in_flight, stats.slots, now, has_waited
        )

    def _learn(
        self, stats: ServerStats, at_server: int, sent_at: float, now: float
    ) -> bool:
        stats.record_end()
        waiting = max(0, at_server - self.slots)
        stats.record_report(LoadReport(at_server - waiting, waiting, self.slots), now)
        if self.rng.random() < self.failing:
            stats.pace.record(PaceEvidence(is_failure=True), sent_at, now)
            return False
        ratio = None if waiting else (now - sent_at) / WORK_SECONDS
        excess = max(0.0, at_server / self.slots - 1.0)
        stats.pace.record(PaceEvidence(False, False, ratio, excess), sent_at, now)
        return True


# All VMs saw an idle server and sent it what they had waiting, some hundred at once.
@pytest.mark.parametrize('vms', [7, 25, 110])
@pytest.mark.parametrize('slots', [4, 6])
def test_a_recovered_server_is_not_flooded(vms: int, slots: int) -> None:
    paced, _ = Replay(vms, slots, waiting=5, slow_seconds=2.0).run(6.0)
    unpaced, _ = Replay(vms, slots, 5, slow_seconds=2.0, is_paced=False).run(6.0)
    assert max(unpaced) >= 5 * vms * 0.9
    assert max(paced[: int(1.0 / STEP_SECONDS)]) <= 3 * slots
    assert max(paced) <= 0.5 * max(unpaced)


# Held back for a fixed time, a server that does well stayed idle beside full ones.
@pytest.mark.parametrize('vms', [7, 25, 110])
def test_a_server_that_does_well_has_its_usual_load_soon(vms: int) -> None:
    slots, per_second = 4, 0.6 * 4 / WORK_SECONDS
    loads, served = Replay(vms, slots, waiting=0, per_second=per_second).run(10.0)
    busy = loads[int(4.0 / STEP_SECONDS) :]
    assert sum(busy) / len(busy) >= 0.5 * slots
    assert served >= 0.8 * per_second * 10.0
    assert sum(loads[: int(2.0 / STEP_SECONDS)]) > 0


# A server that failed part of its requests got its whole load right after its return.
def test_a_server_that_fails_after_its_return_stays_at_a_low_pace() -> None:
    usual = 0.6 * 4 / WORK_SECONDS
    late_load = {0.0: 0, 0.4: 0}
    for seed in range(4):
        for failing in late_load:
            replay = Replay(7, 4, 0, usual, failing=failing, rng=random.Random(seed))
            loads, served = replay.run(10.0)
            late_load[failing] += sum(loads[len(loads) // 2 :])
            assert served > 0
    assert late_load[0.4] <= 0.6 * late_load[0.0]


def a_cut_pace(begun: PaceStart) -> ServerPace:
    pace = ServerPace()
    pace.start(begun, 0.0, 0.0)
    assert pace.record(REFUSED, 0.0, 0.0)
    assert pace.share(0.0) == CUT_FACTOR
    return pace


def test_a_pace_is_cut_at_once_and_grows_with_each_response_in_time() -> None:
    pace = a_cut_pace(a_start(1))
    assert pace.record(REFUSED, 0.01, 0.02)
    assert pace.share(0.02) == CUT_FACTOR**2
    assert not pace.record(REFUSED, 0.01, 0.03)  # sent before the cut
    assert pace.share(0.1) == CUT_FACTOR**2
    pace.record(IN_TIME, 0.1, 0.1)
    assert pace.share(0.1) == CUT_FACTOR
    pace.record(IN_TIME, 0.2, 0.2)
    assert pace.share(0.2) == 1.0


# A server that failed again and again was back at its usual load within a second.
def test_after_failures_the_pace_grows_more_slowly() -> None:
    pace = ServerPace()
    pace.start(a_start(1), 0.0, 0.0)
    for now in (0.1, 0.2, 0.3):
        assert pace.record(PaceEvidence(is_failure=True), now, now)
    assert pace.share(0.3) == MIN_SHARE
    pace.record(IN_TIME, 0.4, 0.4)
    assert pace.share(0.4) < 2 * MIN_SHARE
    assert pace.share(8.0) < 1.0
    assert pace.share(60.0) == 1.0


# A server that was still slow got its whole load since none of its responses failed.
def test_slow_responses_hold_the_pace() -> None:
    pace = a_cut_pace(a_start(7))
    for number in range(20):
        now = 0.25 * number
        assert not pace.record(PaceEvidence(time_ratio=2.0), now, now)
    assert pace.share(5.0) == CUT_FACTOR
    assert pace.share(9.0) == 1.0


def test_few_vms_that_pass_the_cold_bound_return_more_objects_each() -> None:
    few = a_cut_pace(PaceStart(0.0, 11, 110, 4, cold_until=3.0))
    assert few.admits(0.99, 0.0, 0, 4, 0.0)
    assert not a_cut_pace(a_start(110)).admits(0.99, 0.0, 0, 4, 0.0)


# Fresh requests were held back, and their stand-ins were short of room as well.
def test_an_unproven_vm_holds_back_only_what_has_waited() -> None:
    pace = ServerPace()
    pace.start(a_start(110), 0.5, 0.0)

    def admits(load: float, in_flight: int, now: float, has_waited: bool) -> bool:
        return pace.admits(0.99, load, in_flight, 4, now, has_waited)

    assert admits(3.0, 2, 0.0, has_waited=False)
    assert not admits(0.0, 0, 0.0, has_waited=True)
    assert admits(0.0, 0, 5.1, has_waited=True)
    assert not admits(1.0, 1, 5.1, has_waited=True)
    pace.record(IN_TIME, 0.1, 5.2)
    assert admits(1.0, 1, 5.2, has_waited=True)


# A server that went down and up by turns got its whole load after each return.
def test_each_return_of_a_flapping_server_takes_longer_up_to_a_bound() -> None:
    pace = ServerPace()
    seconds_to_full = []
    for start in (0.0, 8.0, 22.0, 41.0, 60.0, 80.0):
        pace.start(a_start(1), 0.0, start)
        pace.record(REFUSED, start - 1.0, start)
        now = start
        while pace.share(now) < 1.0:
            now += 0.1
        pace.record(IN_TIME, now, now)
        seconds_to_full.append(now - start)
    assert seconds_to_full[:4] == sorted(seconds_to_full[:4])
    assert seconds_to_full[3] > 2 * seconds_to_full[0]
    assert max(seconds_to_full) < 40.0


# Timeouts under overload paced servers that were not at fault.
def test_at_its_usual_load_only_failures_in_a_row_cut_the_pace() -> None:
    pace = ServerPace()
    for number in range(20):
        assert not pace.record(REFUSED, number, number)
    failed = PaceEvidence(is_failure=True)
    assert [pace.record(failed, 20.0, 20.0) for _ in range(3)] == [False, False, True]
    assert MIN_SHARE <= pace.share(20.0) < 1.0


def test_objects_return_in_the_same_order_on_all_vms() -> None:
    positions = [object_position(f'a/{number}', 'i-1') for number in range(400)]
    assert positions == [object_position(f'a/{n}', 'i-1') for n in range(400)]
    assert 180 < sum(each < CUT_FACTOR for each in positions) < 220
