"""Measures the overhead of the relay over a direct call to a backend server.

``python -m bench.relay`` starts the fakes and one node as processes. It alternates
between sending requests directly to a backend server and sending them through the
node, and prints latency, throughput, and the node's processor time per request.
"""

import asyncio
import json
import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from bench.tables import median_of, print_machine, print_table, quantile
from tests.fakes.fleet import Fleet

EXAMPLES = Path(__file__).resolve().parents[1] / 'examples'
RUNS = 3
SECONDS_PER_RUN = 1.0
SEQUENTIAL_WORKERS = 1
CONCURRENT_WORKERS = 8
US_PER_SECOND = 1e6
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request; ``concurrency`` is the number in flight."""

    name: str
    service: str
    method: str
    path: str
    body: bytes = b''
    concurrency: int = SEQUENTIAL_WORKERS


REQUEST_KINDS = (
    RequestKind('GET, small response', 'catalogue', 'GET', '/designs/12'),
    RequestKind('POST, small body', 'till', 'POST', '/pay', b'{"amount": 90000}'),
    RequestKind('GET, 1 MB response', 'plates', 'GET', '/download/1000000'),
    RequestKind('POST, 256 KB body', 'till', 'POST', '/pay', b'x' * 262_144),
    RequestKind(
        'GET, 8 concurrent',
        'catalogue',
        'GET',
        '/designs/12',
        concurrency=CONCURRENT_WORKERS,
    ),
)


async def send_requests(kind: RequestKind, url: str, seconds: float) -> list[float]:
    """Send requests from concurrent workers; return latencies in seconds."""
    latencies: list[float] = []
    stop_at = time.perf_counter() + seconds

    async def worker(session: aiohttp.ClientSession) -> None:
        while time.perf_counter() < stop_at:
            started = time.perf_counter()
            async with session.request(kind.method, url, data=kind.body) as response:
                await response.read()
                if response.status != 200:
                    raise RuntimeError(f'{url}: unexpected status {response.status}')
            latencies.append(time.perf_counter() - started)

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(worker(session) for _ in range(kind.concurrency)))
    return latencies


def processor_seconds(pid: int) -> float:
    """Return the processor time used by a process, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def measure(kind: RequestKind, fleet: Fleet) -> list[object]:
    """Return a table row: direct and relayed latency, and the relay's overhead."""
    node = fleet.nodes[0]
    ports = fleet.server_ports()
    direct = f'http://127.0.0.1:{ports[f"{kind.service}-0"]}{kind.path}'
    relayed = f'{node.caller_url}/v1/services/{kind.service}{kind.path}'
    direct_p50, relayed_p50, relayed_p99, rates, costs = [], [], [], [], []
    for _ in range(RUNS):
        direct_latencies = asyncio.run(send_requests(kind, direct, SECONDS_PER_RUN))
        direct_p50.append(quantile(direct_latencies, 0.5))
        before = processor_seconds(node.process.pid)
        relayed_latencies = asyncio.run(send_requests(kind, relayed, SECONDS_PER_RUN))
        costs.append(
            (processor_seconds(node.process.pid) - before) / len(relayed_latencies)
        )
        relayed_p50.append(quantile(relayed_latencies, 0.5))
        relayed_p99.append(quantile(relayed_latencies, 0.99))
        rates.append(len(relayed_latencies) / SECONDS_PER_RUN)
    added = median_of(relayed_p50) - median_of(direct_p50)
    seconds = (median_of(direct_p50), median_of(relayed_p50), median_of(relayed_p99))
    return [
        kind.name,
        *(f'{value * US_PER_SECOND:.0f}' for value in seconds),
        f'{added * US_PER_SECOND:.0f}',
        f'{median_of(rates):.0f}',
        f'{median_of(costs) * US_PER_SECOND:.0f}',
    ]


def main() -> None:
    """Start one node and the fake servers, and print the table."""
    policy = json.loads((EXAMPLES / 'kanga' / 'policy.json').read_text())
    policy['roster'] = policy['roster'][:1]
    print_machine()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), policy=policy)
        try:
            fleet.start([policy['roster'][0]['failure_domain']])
            fleet.put_policy()
            rows = [measure(kind, fleet) for kind in REQUEST_KINDS]
        finally:
            fleet.stop()
    print_table(
        f'One node, loopback; median of {RUNS} runs of {SECONDS_PER_RUN:.0f} s',
        (
            'request',
            'direct p50 us',
            'relayed p50 us',
            'relayed p99 us',
            'added p50 us',
            'relayed per s',
            'node processor us',
        ),
        rows,
    )


if __name__ == '__main__':
    main()
