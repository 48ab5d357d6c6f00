"""Measures the cost of choosing a backend server, and the effect on latency.

``python -m bench.routing`` prints the cost of one choice with its bookkeeping, from 12
to 1,000 servers. Then it prints latency and slot overruns for 7 nodes with the sizes of
the example workloads, compared with random, round robin and lowest reported load. Runs
in virtual time and takes a few seconds.
"""

import random
import statistics
import time
from collections import deque
from collections.abc import Callable
from functools import lru_cache

from bench.baselines import LowestReportPolicy, RandomPolicy, RoundRobinPolicy
from bench.fleet_model import Model, ModelServer, Result
from daisylift.decisions.apportion import Layout, apportion
from daisylift.decisions.configuration import ServerKey
from daisylift.decisions.health import LoadReport, ServerHealth
from daisylift.decisions.routing import RoutedServer, RoutingTable
from daisylift.models import Policy

SIZES = (12, 48, 200, 1000)
ROUNDS = 5
CHOICES = 4000
NODE_LOCATIONS = [(0, 0), (0, 1), (0, 0), (1, 0), (1, 1), (2, 0), (2, 1)]
RUN_SECONDS = 5.0
WARM_SECONDS = 1.0
WORK_SECONDS = 0.02
SEEDS = (1, 2)
COLD_START_SECONDS = 10.0
SERVICE = 'catalogue'
CONNECTIONS = 330
CATALOGUE_SLOTS = (3, 4, 5, 6)
HARGA_SLOTS = (9,)


class DaisyliftPolicy:
    """The daisylift policy: a routing table over the node's share of the slots."""

    def __init__(self, servers: list[ModelServer], node: int, seed: int) -> None:
        self._by_name = {server.name: server for server in servers}
        self._random = random.Random(seed * 100 + node).random
        self._table = RoutingTable()
        region, domain = NODE_LOCATIONS[node]
        sizes = ((s.name, s.region, s.domain, s.slots) for s in servers)
        layout = _layout(tuple(sizes))
        routed = []
        for server in servers:
            distance = 2 if server.region != region else int(server.domain != domain)
            routed.append(
                RoutedServer(
                    name=server.name,
                    region=str(server.region),
                    distance=distance,
                    connections=CONNECTIONS,
                    health=ServerHealth(COLD_START_SECONDS, last_report_at=0.0),
                    free=layout.owners_by_server[_key(server)].count(node),
                )
            )
        self._table.replace(routed)

    def choose(self, now: float) -> ModelServer | None:
        """Return a server, with a permit taken, or None if none has a free slot."""
        chosen = self._table.choose(now, self._random)
        if chosen is None:
            return None
        chosen.free -= 1
        chosen.in_flight += 1
        self._table.update(chosen)
        return self._by_name[chosen.name]

    def record_end(self, server: ModelServer, seconds: float, now: float) -> None:
        """Release the permit and record the time that the request took."""
        chosen = self._table.by_name[server.name]
        chosen.free += 1
        chosen.in_flight -= 1
        chosen.health.record_success(seconds, now)
        self._table.update_work_seconds(chosen)
        self._table.update(chosen)

    def record_report(
        self, server: ModelServer, in_flight: int | None, now: float
    ) -> None:
        """Record a load report, if there is one."""
        if in_flight is not None:
            report = LoadReport(in_flight, server.slots, now)
            self._table.by_name[server.name].health.record_report(report)


def _key(server: ModelServer) -> ServerKey:
    return ServerKey(service=SERVICE, server=server.name)


@lru_cache(maxsize=1)
def _layout(sizes: tuple[tuple[str, int, int, int], ...]) -> Layout:
    policy = {
        'failure_domains': [
            {'name': f'r{region}-{domain}', 'region': f'r{region}'}
            for region in range(3)
            for domain in range(2)
        ],
        'roster': [
            {'ordinal': node, 'failure_domain': f'r{region}-{domain}'}
            for node, (region, domain) in enumerate(NODE_LOCATIONS)
        ],
        'services': [
            {
                'name': SERVICE,
                'servers': [
                    {
                        'name': name,
                        'host': '127.0.0.1',
                        'port': port,
                        'failure_domain': f'r{region}-{domain}',
                        'slots': slots,
                        'connections': CONNECTIONS,
                    }
                    for port, (name, region, domain, slots) in enumerate(sizes, 1)
                ],
            }
        ],
    }
    return apportion(Policy.model_validate(policy))


def choice_microseconds(size: int) -> float:
    """Return the median time in us to choose a server, and take and release a slot."""
    servers = [
        RoutedServer(
            name=f's{number}',
            region=str(number % 3),
            distance=2 if number % 3 else number // 3 % 2,
            connections=CONNECTIONS,
            health=ServerHealth(COLD_START_SECONDS, last_report_at=0.0),
            free=2,
        )
        for number in range(size)
    ]
    table = RoutingTable()
    table.replace(servers)
    generator = random.Random(1).random
    in_use: deque[RoutedServer] = deque()
    times = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for number in range(CHOICES):
            chosen = table.choose(number * 1e-4, generator)
            chosen.free -= 1
            chosen.in_flight += 1
            table.update(chosen)
            in_use.append(chosen)
            if len(in_use) > size // 2:
                ended = in_use.popleft()
                ended.free += 1
                ended.in_flight -= 1
                ended.health.record_success(0.02, number * 1e-4)
                table.update_work_seconds(ended)
                table.update(ended)
        times.append((time.perf_counter() - started) / CHOICES * 1e6)
    return statistics.median(times)


def servers_of(count: int, slots: tuple[int, ...]) -> list[ModelServer]:
    """Return servers spread over 3 regions with 2 failure domains each."""
    return [
        ModelServer(f's{n}', n % 3, (n // 3) % 2, slots[n % len(slots)])
        for n in range(count)
    ]


def slow_reporting_idle(servers: list[ModelServer]) -> None:
    """Make two servers ten times slower and let them report that they are idle."""
    for server in servers[:2]:
        server.slowness = 10.0
        server.reports = lambda in_flight: 0


def no_reports(servers: list[ModelServer]) -> None:
    """Let no server report its load."""
    for server in servers:
        server.reports = lambda in_flight: None


def all_healthy(servers: list[ModelServer]) -> None:
    """Leave the servers unchanged."""


def measure(
    kind: str, size: int, slots: tuple[int, ...], load: float, set_state: Callable
) -> Result:
    """Run one policy with the servers in one state, over all seeds."""
    total = Result()
    for seed in SEEDS:
        servers = servers_of(size, slots)
        set_state(servers)
        policies = [_policy(kind, servers, node, seed) for node in range(7)]
        model = Model(servers, policies, NODE_LOCATIONS, WORK_SECONDS, seed)
        capacity = sum(server.slots / server.slowness for server in servers)
        rate = load * capacity / WORK_SECONDS
        result = model.run(rate, RUN_SECONDS, WARM_SECONDS)
        total.latencies += result.latencies
        total.starts += result.starts
        total.overruns += result.overruns
        total.refused += result.refused
    return total


def _policy(kind: str, servers: list[ModelServer], node: int, seed: int):
    if kind == 'daisylift':
        return DaisyliftPolicy(servers, node, seed)
    baselines = {
        'random': RandomPolicy,
        'round robin': RoundRobinPolicy,
        'lowest report': LowestReportPolicy,
    }
    return baselines[kind](servers, seed * 100 + node)


def main() -> None:
    """Print both tables."""
    print('servers   us per choice, with taking and releasing the slot')
    for size in SIZES:
        print(f'{size:7}   {choice_microseconds(size):6.1f}')
    states = {
        'all healthy, 70%': (all_healthy, 0.7),
        'all healthy, 90%': (all_healthy, 0.9),
        '2 slow, report idle, 70%': (slow_reporting_idle, 0.7),
        'no reports, 70%': (no_reports, 0.7),
    }
    for name, size, slots in (
        ('Kanga catalogue', 16, CATALOGUE_SLOTS),
        ('Teduh harga', 24, HARGA_SLOTS),
    ):
        print(f'\n{name}: {size} servers, 7 nodes, {WORK_SECONDS * 1e3:.0f} ms of work')
        print(f'{"state":26}{"policy":18}{"p50 ms":>8}{"p99 ms":>8}', end='')
        print(f'{"overrun":>9}{"refused":>9}')
        for state, (set_state, load) in states.items():
            for kind in ('daisylift', 'random', 'round robin', 'lowest report'):
                _print(state, kind, measure(kind, size, slots, load, set_state))


def _print(state: str, kind: str, result: Result) -> None:
    arrivals = result.starts + result.refused
    print(
        f'{state:26}{kind:18}{result.quantile(0.5) * 1e3:8.1f}'
        f'{result.quantile(0.99) * 1e3:8.1f}'
        f'{result.overruns / max(1, result.starts):9.2%}'
        f'{result.refused / max(1, arrivals):9.2%}'
    )


if __name__ == '__main__':
    main()
