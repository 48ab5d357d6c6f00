"""Compares ways to divide a usage cap, and measures what the chosen one costs.

The ways run in virtual time without a network: a cap of 489 requests a second, three
times as much asked, at one VM, at all, or at all while the fleet is cut in halves.
Other ways than the chosen one are modelled as flows, with news a second old. Run it
with ``python -m bench.usage_caps [SIZE...]``.
"""

import random
import sys
import time
import tracemalloc
from collections.abc import Callable

from bench.tables import print_machine, print_table
from daisylift.decisions.usage_grants import UsageGrants
from tests.test_usage_caps import drive, most_in_window
from tests.usage_model import BOUNDS, REGIONS, UsageFleet

SIZES = (7, 25, 110, 930)
CAP = 489.0
LOAD = 3.0
SECONDS = 10.0
STEP_SECONDS = 0.05
NEWS_SECONDS = 1.0
FLOOR_SHARE = 0.1  # of the cap, in equal parts, where shares follow the demand
TENANTS = 10_000
CALLS = 20_000

# Rate of a VM, by its demand, the demand and the debt that it knows of, and the size.
Way = Callable[[float, float, float, int], float]


def equal_parts(demand: float, known: float, debt: float, size: int) -> float:
    """Return the rate of a VM with an equal part."""
    return CAP / size


def by_demand(demand: float, known: float, debt: float, size: int) -> float:
    """Return the rate of a VM whose part follows the demand that it knows of."""
    part = demand / known if known else 1.0 / size
    return CAP * (FLOOR_SHARE / size + (1.0 - FLOOR_SHARE) * part)


def by_debt(demand: float, known: float, debt: float, size: int) -> float:
    """Return the rate of a VM that pays back what all it knows of ran too much."""
    return demand if debt <= 0.0 else 0.0


def replay_flow(way: Way, demand: list[float], groups: int) -> tuple[float, float]:
    """Return the used share of the cap, and the worst window's share of the bound."""
    delay = int(NEWS_SECONDS / STEP_SECONDS)
    ran = [[0.0] for _ in range(groups)]  # requests of each group until each step
    totals = []
    for step in range(int(SECONDS / STEP_SECONDS)):
        total = 0.0
        for group in range(groups):
            members = demand[group::groups]
            known = sum(members) if step >= delay else 0.0
            seen = ran[group][max(0, step - delay)]
            debt = seen - CAP * STEP_SECONDS * step
            run = sum(
                min(each, way(each, known, debt, len(demand))) for each in members
            )
            ran[group].append(ran[group][-1] + run * STEP_SECONDS)
            total += run * STEP_SECONDS
        totals.append(total)
    window = int(BOUNDS.window_seconds / STEP_SECONDS)
    worst = max(sum(totals[n : n + window]) for n in range(len(totals) - window + 1))
    return sum(totals) / (CAP * SECONDS), worst / BOUNDS.most(CAP, 0.0)


def replay_tokens(size: int, names: list[str], *, is_cut: bool) -> tuple[float, float]:
    """Return the same of the chosen way, and of its messages."""
    fleet = UsageFleet(size, random.Random(size), {'t': (CAP, 0.0)})
    fleet.run(4.0)
    if is_cut:
        fleet.cut = set(list(fleet.vms)[::2])
    drive(fleet, LOAD * CAP, SECONDS, names)
    times = fleet.admitted['t']
    most = most_in_window(times, BOUNDS.window_seconds)
    return len(times) / (CAP * SECONDS), most / BOUNDS.most(CAP, 0.0)


def compare(size: int) -> list[list[object]]:
    """Return the rows of a fleet size."""
    one = [LOAD * CAP] + [0.0] * (size - 1)
    spread = [LOAD * CAP / size] * size
    rows = []
    ways = (
        ('equal parts', equal_parts),
        ('by demand, gossip, floor', by_demand),
        ('debt carried over', by_debt),
    )
    for title, way in ways:
        figures = [replay_flow(way, demand, n) for demand, n in _cases(one, spread)]
        rows.append([size, title, *(f'{u:.2f} / {w:.2f}' for u, w in figures)])
    names = [f'entry-{number}' for number in range(size)]
    figures = [
        replay_tokens(size, names[:1], is_cut=False),
        replay_tokens(size, names, is_cut=False),
        replay_tokens(size, names, is_cut=True),
    ]
    rows.append([size, 'tokens', *(f'{u:.2f} / {w:.2f}' for u, w in figures)])
    return rows


def count_messages(size: int) -> list[object]:
    """Return the datagrams sent a second, by all VMs and a VM, in two cases."""
    row: list[object] = [size]
    for count in (1, size):
        fleet = UsageFleet(size, random.Random(size), {'t': (CAP, 0.0)})
        fleet.run(4.0)
        drive(fleet, LOAD * CAP, SECONDS, list(fleet.vms)[:count])
        per_second = fleet.messages / SECONDS
        row += [round(per_second), f'{per_second / size:.1f}']
    return row


def _cases(one: list[float], spread: list[float]) -> list[tuple[list[float], int]]:
    return [(one, 1), (spread, 1), (spread, 2)]


def measure_cost(size: int) -> list[object]:
    """Return microseconds a call, and memory, with 10,000 tenants."""
    names = [f'tenant-{number}' for number in range(TENANTS)]
    members = {f'entry-{n}': REGIONS[n % len(REGIONS)] for n in range(size)}
    rng = random.Random(1)
    tracemalloc.start()
    grants = UsageGrants('entry-0', BOUNDS, 0.0, rng)
    started = time.perf_counter()
    grants.set_members(members, 0.0)
    change = time.perf_counter() - started
    for name in names:
        grants.take(name, 50.0, 0.0, 9.0)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    grants = UsageGrants('entry-0', BOUNDS, 0.0, rng)
    grants.set_members(members, 0.0)
    timings = []
    for moment in (9.0, 9.5):
        started = time.perf_counter()
        for name in names:
            grants.take(name, 50.0, 0.0, moment)
        timings.append((time.perf_counter() - started) / TENANTS * 1e6)
    started = time.perf_counter()
    for number in range(CALLS):
        grants.answer(names[number % TENANTS], 50.0, 0.0, number, 1, 10.0)
    answer = (time.perf_counter() - started) / CALLS * 1e6
    return [
        size,
        f'{timings[0]:.1f}',
        f'{timings[1]:.1f}',
        f'{answer:.1f}',
        f'{change * 1e3:.2f}',
        f'{memory / 1024 / 1024:.1f}',
    ]


def main() -> None:
    """Print both tables."""
    sizes = [int(each) for each in sys.argv[1:]] or SIZES
    print_machine()
    print_table(
        'Used share of the cap / worst window as a share of the bound',
        ['VMs', 'way', 'all at one VM', 'at all VMs', 'at all, cut in halves'],
        [row for size in sizes for row in compare(size)],
    )
    print_table(
        'Datagrams a second, questions and replies, of one tenant beyond its cap',
        ['VMs', 'demand at one VM', 'a VM', 'demand at all', 'a VM'],
        [count_messages(size) for size in sizes],
    )
    print_table(
        f'{TENANTS} tenants with caps, microseconds a call',
        ['VMs', 'first', 'next', 'answer', 'change of members, ms', 'memory, MB'],
        [measure_cost(size) for size in sizes],
    )


if __name__ == '__main__':
    main()
