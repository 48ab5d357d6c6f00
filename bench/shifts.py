"""Measures the largest share of traffic moved in one period under faults.

Run it with ``python -m bench.shifts``. Seven nodes run the pure decisions against one
log of changes, every half second of virtual time. With ``--plot`` it prints time and
moved share of one scenario as data for a plot.
"""

import argparse
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from daisylift.decisions.configuration import (
    ChangeRefusedError,
    Configuration,
    apply_change,
)
from daisylift.decisions.limiter import CutLimiter
from daisylift.decisions.shifts import (
    Advance,
    MoveLedger,
    SiteLoad,
    decide_advance,
    spacing_seconds,
    stage_points,
)
from daisylift.decisions.steering import POINTS, differing_points, points_at
from daisylift.models import (
    AdvanceShift,
    Change,
    ChangeBody,
    ControlShift,
    EvacuateRegion,
    Policy,
    PutPolicy,
    StartShift,
)

NODES = 7
TICK_SECONDS = 0.5
RUN_SECONDS = 600.0
SERVICE = 'till'
SITES = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b', 'c-1': 'c', 'c-2': 'c'}
SHIFT_CAP = 0.1
EVACUATION_CAP = 0.25


class IdleLoads:
    """Reports all sites as idle, with up-to-date figures."""

    def load_of(self, service: str, site: str) -> SiteLoad:
        """Return the load of an idle site."""
        return SiteLoad(used_slots=0, slots=40, age_seconds=0.0)


@dataclass
class Node:
    """The state of one node; it applies changes ``lag_seconds`` late."""

    configuration: Configuration = field(default_factory=Configuration)
    limiter: CutLimiter = field(default_factory=CutLimiter)
    ledger: MoveLedger = field(default_factory=MoveLedger)
    lag_seconds: float = 0.0
    is_disconnected: bool = False
    steered_version: int = 0


class Fleet:
    """The nodes, the log of changes and the moves made by each node."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.log: list[tuple[float, Change]] = []
        self.latest = Configuration()
        self.nodes = [Node() for _ in range(NODES)]
        self.moves: list[tuple[float, dict[str, int]]] = []
        self.samples: list[tuple[float, float]] = []
        self.store_down = False
        self.write(PutPolicy(policy=_policy()))

    def write(self, body: ChangeBody) -> None:
        """Append a change to the log, unless it is refused."""
        version = len(self.log) + 1
        change = Change(version=version, operation_id=f'op-{version}', body=body)
        try:
            self.latest = apply_change(self.latest, change)
        except ChangeRefusedError:
            return
        self.log.append((self.now, change))

    def tick(self) -> None:
        """Advance the clock by half a second and run all nodes."""
        self.now += TICK_SECONDS
        for node in self.nodes:
            if not node.is_disconnected and not self.store_down:
                self._apply_changes(node)
            self._limit_moves(node)
        lowest = min(node.steered_version for node in self.nodes)
        connected_nodes = [node for node in self.nodes if not node.is_disconnected]
        for node in self.rng.sample(connected_nodes, min(3, len(connected_nodes))):
            node.ledger.confirm(lowest, self.now)
            self._decide(node)
        self.samples.append((self.now, self.moved_share()))

    def restart(self, number: int) -> None:
        """Restart a node from the log; a jump in its traffic split counts as a move."""
        before = self.nodes[number]
        node = Node(lag_seconds=before.lag_seconds)
        self.nodes[number] = node
        self._apply_changes(node)
        node.ledger.track([SERVICE], node.configuration.version, self.now)
        node.limiter.step(node.configuration, self.now)
        self._record_move(before.limiter, node)

    def moved_share(self) -> float:
        """Return the mean share of the callers of b-1 that other sites serve."""
        cuts = [node.limiter.cut_of(SERVICE, 'b-1') for node in self.nodes]
        return sum(1 - points_at(c, ['b-1']) / POINTS for c in cuts if c) / NODES

    def largest_move_in_a_period(self) -> float:
        """Return the largest share of a home site that moved in one stage spacing."""
        spacing = spacing_seconds(self.latest.index.services_by_name[SERVICE])
        largest = 0
        for first, _ in self.moves:
            window = [m for at, m in self.moves if first <= at < first + spacing]
            for home in SITES:
                largest = max(largest, sum(moved.get(home, 0) for moved in window))
        return largest / NODES / POINTS

    def _apply_changes(self, node: Node) -> None:
        for at, change in self.log[node.configuration.version :]:
            if self.now - at < node.lag_seconds:
                break
            before = node.configuration
            node.configuration = apply_change(before, change)
            if not node.ledger.tracks(SERVICE):
                node.ledger.track([SERVICE], change.version, self.now)
            if isinstance(change.body, AdvanceShift):
                points = stage_points(before.shifts[change.body.shift])
                node.ledger.record(SERVICE, points, change.version, self.now)

    def _limit_moves(self, node: Node) -> None:
        before = CutLimiter(cuts=dict(node.limiter.cuts))
        if node.limiter.step(node.configuration, self.now):
            node.steered_version = node.configuration.version
        self._record_move(before, node)

    def _record_move(self, before: CutLimiter, node: Node) -> None:
        if SERVICE not in before.cuts or SERVICE not in node.limiter.cuts:
            return
        moved = {
            home: differing_points(before.cuts[SERVICE][home], cut)
            for home, cut in node.limiter.cuts[SERVICE].items()
        }
        if any(moved.values()):
            self.moves.append((self.now, moved))

    def _decide(self, node: Node) -> None:
        current = node.configuration
        active = [s for s in current.shifts.values() if s.is_active]
        for shift in active:
            if self.store_down or node.configuration.version != len(self.log):
                return
            decision = decide_advance(
                shift,
                [other for other in active if other is not shift],
                current.index.services_by_name[SERVICE],
                node.ledger,
                IdleLoads(),
                current.index.slots_by_site_by_service[SERVICE],
                self.now,
            )
            if isinstance(decision, Advance):
                self.write(AdvanceShift(shift=shift.name, stage=decision.stage))


Scenario = Callable[[Fleet, int], None]


def single_shift(fleet: Fleet, tick: int) -> None:
    """Shift all traffic of b-1 to a-1."""
    if tick == 10:
        fleet.write(_shift('one', 'b-1', 'a-1'))


def lagging(fleet: Fleet, tick: int) -> None:
    """Run ``single_shift`` with nodes that lag, by up to 12 s."""
    single_shift(fleet, tick)
    for number, node in enumerate(fleet.nodes):
        node.lag_seconds = 2.0 * number


def temporary_disconnection(fleet: Fleet, tick: int) -> None:
    """Run ``single_shift`` with two nodes disconnected for four minutes."""
    single_shift(fleet, tick)
    for node in fleet.nodes[:2]:
        node.is_disconnected = 100 <= tick < 580


def restarts(fleet: Fleet, tick: int) -> None:
    """Run ``lagging`` with a node restarted every 10 s."""
    lagging(fleet, tick)
    if tick > 20 and tick % 20 == 0:
        fleet.restart(tick // 20 % NODES)


def store_outages(fleet: Fleet, tick: int) -> None:
    """Run ``single_shift`` with the store unavailable for 30 s of every minute."""
    single_shift(fleet, tick)
    fleet.store_down = tick // 60 % 2 == 1


def two_shifts(fleet: Fleet, tick: int) -> None:
    """Run two shifts from one site at once, and reverse one of them midway."""
    single_shift(fleet, tick)
    if tick == 12:
        fleet.write(_shift('two', 'b-1', 'c-1'))
    if tick == 500:
        fleet.write(ControlShift(shift='one', action='reverse'))


def evacuation(fleet: Fleet, tick: int) -> None:
    """Evacuate region b while a shift is in progress."""
    single_shift(fleet, tick)
    if tick == 300:
        fleet.write(EvacuateRegion(region='b'))


def evacuation_with_disconnection(fleet: Fleet, tick: int) -> None:
    """Run ``evacuation`` with two nodes disconnected from before it to long after."""
    evacuation(fleet, tick)
    for node in fleet.nodes[:2]:
        node.is_disconnected = 250 <= tick < 900


SCENARIOS: dict[str, tuple[Scenario, float]] = {
    'no faults': (single_shift, SHIFT_CAP),
    'nodes lag up to 12 s': (lagging, SHIFT_CAP),
    'two nodes cut off and back': (temporary_disconnection, SHIFT_CAP),
    'lag and a restart every 10 s': (restarts, SHIFT_CAP),
    'store away every other 30 s': (store_outages, SHIFT_CAP),
    'two shifts at once, one reversed': (two_shifts, SHIFT_CAP),
    'evacuation of a region': (evacuation, EVACUATION_CAP),
    'evacuation, two nodes cut off': (evacuation_with_disconnection, EVACUATION_CAP),
}


def run_scenario(scenario: Scenario, seed: int = 7) -> Fleet:
    """Run a scenario and return the fleet."""
    fleet = Fleet(seed)
    for tick in range(int(RUN_SECONDS / TICK_SECONDS)):
        scenario(fleet, tick)
        fleet.tick()
    return fleet


def main() -> None:
    """Print the table, or the data of one scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--plot', choices=list(SCENARIOS), help='print time, share')
    plot = parser.parse_args().plot
    if plot:
        for at, share in run_scenario(SCENARIOS[plot][0]).samples[::4]:
            print(f'{at:.1f} {share:.4f}')
        return
    print(f'{"scenario":<34} {"cap":>6} {"max moved":>11} {"stages":>7} {"at end":>7}')
    for name, (scenario, cap) in SCENARIOS.items():
        fleet = run_scenario(scenario)
        stages = sum(isinstance(c.body, AdvanceShift) for _, c in fleet.log)
        print(
            f'{name:<34} {cap:>6.1%} {fleet.largest_move_in_a_period():>11.2%} '
            f'{stages:>7} {fleet.moved_share():>7.1%}'
        )


def _shift(name: str, source: str, destination: str) -> StartShift:
    return StartShift(
        shift=name, service=SERVICE, sources=(source,), destinations=(destination,)
    )


def _policy() -> Policy:
    servers = [
        {
            'name': f'till-{site}',
            'host': f'10.0.0.{number}',
            'port': 8000,
            'failure_domain': site,
            'slots': 40,
            'connections': 100,
        }
        for number, site in enumerate(SITES)
    ]
    return Policy.model_validate(
        {
            'failure_domains': [{'name': s, 'region': r} for s, r in SITES.items()],
            'roster': [{'ordinal': n, 'failure_domain': 'a-1'} for n in range(NODES)],
            'services': [
                {
                    'name': SERVICE,
                    'servers': servers,
                    'shift_cap': SHIFT_CAP,
                }
            ],
            'evacuation_cap': EVACUATION_CAP,
        }
    )


if __name__ == '__main__':
    main()
