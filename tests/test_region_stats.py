"""Simulates a region with too few servers for its callers, and many nodes.

Load pattern: a third of the callers are in a region that has a tenth of the servers,
whose caches hold fewer objects than are requested. Each node receives reports of a
server so rarely that they are always out of date.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from daisylift.decisions.placement import Placement, ServicePlacer, WorkEstimate
from daisylift.decisions.ranking import Candidate, Location
from daisylift.decisions.region_stats import (
    OTHER_REGION_WARM_PRIOR,
    SAME_REGION_WARM_PRIOR,
    RegionStats,
)
from daisylift.decisions.server_stats import LoadReport, ServerStats
from daisylift.models.registered_server import RegisteredServer

SLOTS = 6
CACHED_OBJECTS = 10  # objects in the cache of a server
WORK = WorkEstimate(warm_seconds=0.67, cold_seconds=2.24, response_bytes=5000)
TARGET_SECONDS = 1.5
ROUND_TRIP_SECONDS = 0.041
FEW, MANY = 'dar', 'arusha'


@dataclass(slots=True)
class Server:
    """A backend server in virtual time."""

    region: str
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    running: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)

    def work_seconds(self, key: str) -> float:
        """Return the run time of the object, and put it into the cache."""
        is_warm = key in self.cache
        self.cache[key] = None
        self.cache.move_to_end(key)
        if len(self.cache) > CACHED_OBJECTS:
            self.cache.popitem(last=False)
        return WORK.warm_seconds if is_warm else WORK.cold_seconds


class Simulation:
    """The servers of two regions, and the nodes of the region with few servers."""

    def __init__(self, few: int, many: int, nodes: int, objects: int) -> None:
        self.rng = random.Random(7)
        self.objects = objects
        self.servers_by_id = {f'f-{n}': Server(FEW) for n in range(few)}
        self.servers_by_id |= {f'm-{n}': Server(MANY) for n in range(many)}
        self.placers = [self._placer() for _ in range(nodes)]
        self.now = 0.0
        self.durations: list[tuple[float, float]] = []
        self.refused = 0
        self.sent_to_other_region = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def _placer(self) -> ServicePlacer:
        records = {
            FEW: RegionStats(unseen_warm_share=SAME_REGION_WARM_PRIOR),
            MANY: RegionStats(unseen_warm_share=OTHER_REGION_WARM_PRIOR),
        }
        candidates = [
            Candidate(
                RegisteredServer(
                    name, 's', 'h', 80, server.region, SLOTS, False, 0.0, 1
                ),
                ServerStats(slots=SLOTS),
                server.region,
                records[server.region],
            )
            for name, server in self.servers_by_id.items()
        ]
        return ServicePlacer(Location(FEW, FEW), candidates)

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self, per_second: float, seconds: float) -> None:
        when = 0.0
        while when < seconds:
            when += self.rng.expovariate(per_second)
            self.at(when, self._request)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _request(self) -> None:
        key = f'o-{self.rng.randrange(self.objects)}'
        placer = self.rng.choice(self.placers)
        placed = placer.choose(key, WORK, None, {}, self.now)
        if placed is None:
            self.refused += 1
            return
        placed.stats.record_start(key)
        self.sent_to_other_region += placed.is_other_region
        started = self.now
        travel = ROUND_TRIP_SECONDS / 2 if placed.is_other_region else 0.0
        server = self.servers_by_id[placed.server.id]
        self.at(
            started + travel, lambda: self._arrive(server, key, placed, started, travel)
        )

    def _arrive(
        self,
        server: Server,
        key: str,
        placed: Placement,
        started: float,
        travel: float,
    ) -> None:
        def run() -> None:
            server.running += 1
            seconds = server.work_seconds(key)
            warm = seconds == WORK.warm_seconds
            self.at(
                self.now + seconds,
                lambda: self._end(server, placed, warm, started, travel),
            )

        if server.running < SLOTS:
            run()
        else:
            server.waiting.append(run)

    def _end(
        self,
        server: Server,
        placed: Placement,
        warm: bool,
        started: float,
        travel: float,
    ) -> None:
        server.running -= 1
        report = LoadReport(server.running, len(server.waiting), SLOTS)
        if server.waiting:
            server.waiting.popleft()()

        def learn() -> None:
            placed.stats.record_end()
            placed.stats.record_report(report, self.now)
            placed.region_stats.record_report(report.per_slot, self.now)
            placed.region_stats.record_run(warm, placed.was_seen)
            self.durations.append((started, self.now - started))

        self.at(self.now + travel, learn)


def test_a_region_with_too_few_servers_uses_those_of_another() -> None:
    simulation = Simulation(few=8, many=60, nodes=26, objects=120)
    simulation.run(per_second=60.0, seconds=30.0)
    settled = [duration for started, duration in simulation.durations if started > 10.0]
    in_time = sum(duration <= TARGET_SECONDS for duration in settled) / len(settled)
    assert in_time > 0.8
    assert simulation.refused < 0.02 * len(simulation.durations)


def test_a_region_with_enough_servers_keeps_its_requests() -> None:
    simulation = Simulation(few=40, many=60, nodes=26, objects=120)
    simulation.run(per_second=60.0, seconds=30.0)
    assert simulation.sent_to_other_region < 0.05 * len(simulation.durations)


def test_load_decays_without_reports() -> None:
    stats = RegionStats()
    stats.record_report(1.5, 0.0)
    assert stats.load_per_slot(0.0) == pytest.approx(1.5)
    assert stats.load_per_slot(15.0) < 0.02


def test_an_old_report_is_replaced_by_the_average_load() -> None:
    stats = ServerStats(slots=SLOTS)
    stats.record_report(LoadReport(running=6, waiting=6, slots=SLOTS), 0.0)
    assert stats.occupancy(0.0, average_load=0.5) == pytest.approx(12.0)
    assert stats.occupancy(9.0, average_load=0.5) == pytest.approx(3.0, abs=0.01)
    stats.record_start(None)
    assert stats.occupancy(9.0, average_load=0.5) == pytest.approx(3.0, abs=0.01)
