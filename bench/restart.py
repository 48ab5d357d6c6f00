"""Measures the effect on callers of restarting seven nodes one by one under load.

Run it with ``python -m bench.restart``. It starts real processes on loopback with
Kanga's policy, and sends payments that take 20 ms at the till. Each caller caches its
lookup answer for its whole TTL.
"""

import asyncio
import json
import os
import random
import signal
import statistics
import tempfile
import time
from pathlib import Path

import aiohttp

from tests.fakes.callers import Callers
from tests.fakes.fleet import Fleet, NodeProcess

POLICY_FILE = Path('examples/kanga/policy.json')
CALLERS = 12
WORK_SECONDS = 0.02
BASELINE_SECONDS = 5.0
POLL_SECONDS = 0.05
READY_POLLS = 600


async def wait_until_ready(node: NodeProcess) -> None:
    """Wait until a node reports readiness; raise TimeoutError if it does not."""
    async with aiohttp.ClientSession() as session:
        for _ in range(READY_POLLS):
            if await _is_ready(session, node):
                return
            await asyncio.sleep(POLL_SECONDS)
    raise TimeoutError(f'{node.vm} did not become ready in time')


async def _is_ready(session: aiohttp.ClientSession, node: NodeProcess) -> bool:
    try:
        async with session.get(f'{node.operations_url}/readyz') as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def set_work_seconds(fleet: Fleet) -> None:
    """Set the work time of all backend servers."""
    async with aiohttp.ClientSession() as session:
        for port in fleet.server_ports().values():
            url = f'http://127.0.0.1:{port}/control'
            await session.post(url, json={'work_seconds': WORK_SECONDS})


def report(name: str, callers: Callers) -> None:
    """Print the outcomes and latencies of the callers."""
    percentiles = statistics.quantiles(callers.seconds, n=100)
    print(
        f'{name}: {dict(callers.count_by_outcome)}, '
        f'p50 {percentiles[49] * 1e3:.1f} ms, p99 {percentiles[98] * 1e3:.1f} ms'
    )


async def measure(fleet: Fleet) -> None:
    """Load the fleet, first undisturbed, then with a rolling restart."""
    await set_work_seconds(fleet)
    urls = [node.caller_url for node in fleet.nodes]
    baseline = Callers(urls, 'till', 'pay', random.Random(1))
    baseline.start(CALLERS)
    await asyncio.sleep(BASELINE_SECONDS)
    await baseline.stop()
    report('no restart', baseline)
    callers = Callers(urls, 'till', 'pay', random.Random(2))
    callers.start(CALLERS)
    stops, starts = [], []
    for node in fleet.nodes:
        started = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(node.process.wait)
        stops.append(time.monotonic() - started)
        fleet.start_node(node)
        await wait_until_ready(node)
        starts.append(time.monotonic() - started - stops[-1])
    await callers.stop()
    report('rolling restart', callers)
    print(f'stop: median {statistics.median(stops):.1f} s, maximum {max(stops):.1f} s')
    print(
        f'start: median {statistics.median(starts):.1f} s, maximum {max(starts):.1f} s'
    )


def main() -> None:
    """Start the fleet and run the measurement once."""
    print(f'{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}')
    policy = json.loads(POLICY_FILE.read_text())
    domains = [entry['failure_domain'] for entry in policy['roster']]
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory), policy)
        try:
            fleet.start(domains)
            fleet.put_policy()
            asyncio.run(measure(fleet))
        finally:
            fleet.stop()


if __name__ == '__main__':
    main()
