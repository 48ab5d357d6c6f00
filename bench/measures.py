"""Measures latency, headroom and drain time for both example workloads.

Run it with ``python -m bench.measures [kanga|teduh]``. Loopback adds no network
latency, so the figures show what daisylift itself adds. The baseline uses the same fake
backend servers. Their work time is set so that 70% of the service's slots are busy at
the given rate.
"""

import argparse
import asyncio
import itertools
import json
import tempfile
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.load import LoadPlan, LoadResult, run_load
from bench.tables import median_of, print_machine, print_table, quantile
from tests.fakes.fleet import Fleet

EXAMPLES = Path(__file__).resolve().parents[1] / 'examples'
RUNS = 3
SECONDS_PER_RUN = 4.0
DRAIN_SECONDS = 4.0
BUSY_SHARE = 0.7
MS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load on one service: its request and the rate."""

    service: str
    method: str
    path: str
    rate_per_second: float


LOADS_BY_WORKLOAD = {
    'kanga': (
        ServiceLoad('catalogue', 'GET', '/designs/12', 200.0),
        ServiceLoad('till', 'POST', '/pay', 60.0),
        ServiceLoad('plates', 'GET', '/download/1000000', 30.0),
    ),
    'teduh': (
        ServiceLoad('harga', 'GET', '/fabrics/7', 200.0),
        ServiceLoad('tempahan', 'POST', '/deposits', 60.0),
        ServiceLoad('pelan', 'GET', '/download/1000000', 30.0),
    ),
}


def main() -> None:
    """Measure the workloads named on the command line, or both."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('workloads', nargs='*', default=list(LOADS_BY_WORKLOAD))
    print_machine()
    for workload in parser.parse_args().workloads:
        _measure(workload)


def _measure(workload: str) -> None:
    policy = json.loads((EXAMPLES / workload / 'policy.json').read_text())
    domains = [entry['failure_domain'] for entry in policy['roster']]
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), policy=policy)
        try:
            fleet.start(domains)
            fleet.put_policy()
            for load in LOADS_BY_WORKLOAD[workload]:
                work_seconds = _work_seconds(fleet, load)
                document = {'work_seconds': work_seconds}
                _control_servers(fleet, load.service, document)
            _measure_latency(fleet, workload)
            _measure_drain(fleet, workload)
        finally:
            fleet.stop()


def _measure_latency(fleet: Fleet, workload: str) -> None:
    rows = []
    for load in LOADS_BY_WORKLOAD[workload]:
        work_seconds = _work_seconds(fleet, load)
        direct = _run_all_seeds(fleet, load, _server_urls(fleet, load.service))
        overrun_servers = _overruns(fleet, load.service)
        nodes = [f'{n.caller_url}/v1/services/{load.service}' for n in fleet.nodes]
        relayed = _run_all_seeds(fleet, load, nodes)
        rows.append(
            _latency_row(
                load, 'direct, round robin', work_seconds, direct, overrun_servers
            )
        )
        overrun_servers = _overruns(fleet, load.service)
        rows.append(
            _latency_row(load, 'daisylift', work_seconds, relayed, overrun_servers)
        )
    print_table(
        f'{workload}: latency over {RUNS} runs of {SECONDS_PER_RUN:.0f} s (medians)',
        (
            'service',
            'path',
            'work ms',
            'p50 minus work ms',
            'p99 minus work ms',
            'outcomes',
            'servers that exceeded their slots',
        ),
        rows,
    )


def _latency_row(
    load: ServiceLoad,
    path_name: str,
    work_seconds: float,
    results: list[LoadResult],
    overrun_servers: int,
) -> tuple[object, ...]:
    p50 = median_of([quantile(r.latencies, 0.5) for r in results]) - work_seconds
    p99 = median_of([quantile(r.latencies, 0.99) for r in results]) - work_seconds
    outcomes = sum((r.outcomes for r in results), start=results[0].outcomes.__class__())
    return (
        load.service,
        path_name,
        f'{work_seconds * MS_PER_SECOND:.0f}',
        f'{p50 * MS_PER_SECOND:.1f}',
        f'{p99 * MS_PER_SECOND:.1f}',
        dict(outcomes),
        overrun_servers,
    )


def _run_all_seeds(
    fleet: Fleet, load: ServiceLoad, urls: list[str]
) -> list[LoadResult]:
    _control_servers(fleet, load.service, {'reset': True})
    return [_run_load(load, urls, seed) for seed in range(1, RUNS + 1)]


def _run_load(load: ServiceLoad, urls: list[str], seed: int) -> LoadResult:
    url_cycle = itertools.cycle(urls)
    plan = LoadPlan(
        method=load.method,
        path=load.path,
        rate_per_second=load.rate_per_second,
        seconds=SECONDS_PER_RUN,
        seed=seed,
    )
    return asyncio.run(run_load(plan, lambda: next(url_cycle)))


def _measure_drain(fleet: Fleet, workload: str) -> None:
    load = LOADS_BY_WORKLOAD[workload][0]
    servers = _servers(fleet, load.service)
    server = max(servers, key=lambda s: _server_state(s)['most_in_flight'])
    nodes = [f'{n.caller_url}/v1/services/{load.service}' for n in fleet.nodes]
    rows = []
    for seed in range(1, RUNS + 1):
        requested_at = asyncio.run(_drain_under_load(fleet, load, server, nodes, seed))
        last_start = _server_state(server)['last_started_at']
        rows.append((seed, f'{max(0.0, last_start - requested_at):.3f}'))
        fleet.admin('server', 'undrain', load.service, server['name'])
    print_table(
        f'{workload}: drain of one server of {load.service} under load',
        ('run', 'seconds from the drain command to the last new request'),
        rows,
    )


async def _drain_under_load(
    fleet: Fleet, load: ServiceLoad, server: dict[str, Any], urls: list[str], seed: int
) -> float:
    url_cycle = itertools.cycle(urls)
    plan = LoadPlan(
        load.method, load.path, load.rate_per_second, DRAIN_SECONDS, seed=seed
    )
    running = asyncio.create_task(run_load(plan, lambda: next(url_cycle)))
    await asyncio.sleep(DRAIN_SECONDS / 4)
    requested_at = time.monotonic()
    await asyncio.to_thread(
        fleet.admin, 'server', 'drain', load.service, server['name']
    )
    await running
    return requested_at


def _servers(fleet: Fleet, service: str) -> list[dict[str, Any]]:
    return next(s for s in fleet.policy['services'] if s['name'] == service)['servers']


def _server_urls(fleet: Fleet, service: str) -> list[str]:
    return [f'http://127.0.0.1:{s["port"]}' for s in _servers(fleet, service)]


def _work_seconds(fleet: Fleet, load: ServiceLoad) -> float:
    slots = sum(server['slots'] for server in _servers(fleet, load.service))
    return BUSY_SHARE * slots / load.rate_per_second


def _control_servers(fleet: Fleet, service: str, document: dict[str, Any]) -> None:
    for url in _server_urls(fleet, service):
        request = urllib.request.Request(
            f'{url}/control', data=json.dumps(document).encode(), method='POST'
        )
        urllib.request.urlopen(request).close()


def _server_state(server: dict[str, Any]) -> dict[str, Any]:
    with urllib.request.urlopen(f'http://127.0.0.1:{server["port"]}/control') as answer:
        return json.load(answer)


def _overruns(fleet: Fleet, service: str) -> int:
    return sum(
        _server_state(server)['most_in_flight'] > server['slots']
        for server in _servers(fleet, service)
    )


if __name__ == '__main__':
    main()
