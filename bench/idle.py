"""Measures processor time, memory and messages of idle nodes.

Run it with ``python -m bench.idle [NODES ...]``. It starts real node processes on
loopback and compares their memory with a process that only loads the libraries.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.tables import median_of, print_machine, print_table
from tests.fakes.fleet import Fleet, NodeProcess

EXAMPLE = Path(__file__).resolve().parents[1] / 'examples' / 'kanga' / 'policy.json'
DEFAULT_FLEET_SIZES = (3, 7, 14, 28)
SETTLE_SECONDS = 6.0
MEASURED_SECONDS = 20.0
BYTES_PER_MB = 1e6
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
LOAD_LIBRARIES_CODE = (
    'import uvloop, aiohttp.web, grpclib.server, google.protobuf.json_format, '
    'pydantic, aiomisc, loguru, returns.result, absl.flags, prometheus_client; '
    'input()'
)


@dataclass(frozen=True, slots=True)
class Usage:
    """The resource usage of one node at one time."""

    at: float
    cpu_seconds: float
    memory_bytes: int
    datagrams: float
    peer_bytes: float


def main() -> None:
    """Measure fleets of the sizes given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('nodes', nargs='*', type=int, default=list(DEFAULT_FLEET_SIZES))
    print_machine()
    library_bytes = _library_memory()
    print(
        f'process that only loads the libraries: {library_bytes / BYTES_PER_MB:.1f} MB'
    )
    rows = [_measure(count, library_bytes) for count in parser.parse_args().nodes]
    print_table(
        f'usage of one idle node over {MEASURED_SECONDS:.0f} s (medians over nodes)',
        (
            'nodes',
            'CPU ms/s',
            'memory MB',
            'MB above the libraries',
            'datagrams/s',
            'peer bytes/s',
            'platform calls/s, all nodes',
        ),
        rows,
    )


def _measure(count: int, library_bytes: int) -> tuple[object, ...]:
    policy = json.loads(EXAMPLE.read_text())
    domains = _set_roster(policy, count)
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), policy=policy)
        try:
            fleet.start(domains)
            fleet.put_policy()
            time.sleep(SETTLE_SECONDS)
            calls = _platform_calls(fleet)
            before = [_usage(node) for node in fleet.nodes]
            time.sleep(MEASURED_SECONDS)
            after = [_usage(node) for node in fleet.nodes]
            calls = _platform_calls(fleet) - calls
        finally:
            fleet.stop()
    memory = median_of([usage.memory_bytes for usage in after])
    return (
        count,
        f'{_rate(before, after, "cpu_seconds") * 1000:.2f}',
        f'{memory / BYTES_PER_MB:.1f}',
        f'{(memory - library_bytes) / BYTES_PER_MB:.1f}',
        f'{_rate(before, after, "datagrams"):.1f}',
        f'{_rate(before, after, "peer_bytes"):.0f}',
        f'{calls / MEASURED_SECONDS:.1f}',
    )


def _set_roster(policy: dict[str, Any], count: int) -> list[str]:
    names = [domain['name'] for domain in policy['failure_domains']]
    domains = [names[number % len(names)] for number in range(count)]
    policy['roster'] = [
        {'ordinal': number, 'failure_domain': domain}
        for number, domain in enumerate(domains)
    ]
    return domains


def _rate(before: list[Usage], after: list[Usage], field: str) -> float:
    return median_of(
        [
            (getattr(b, field) - getattr(a, field)) / (b.at - a.at)
            for a, b in zip(before, after, strict=True)
        ]
    )


def _usage(node: NodeProcess) -> Usage:
    metrics = _metrics(node)
    pid = node.process.pid
    ticks = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()[11:13]
    return Usage(
        at=time.monotonic(),
        cpu_seconds=sum(int(tick) for tick in ticks) / TICKS_PER_SECOND,
        memory_bytes=_resident_bytes(pid),
        datagrams=_total(metrics, 'daisylift_peer_datagrams_total'),
        peer_bytes=_total(metrics, 'daisylift_peer_bytes_total'),
    )


def _resident_bytes(pid: int) -> int:
    return int(Path(f'/proc/{pid}/statm').read_text().split()[1]) * PAGE_BYTES


def _library_memory() -> int:
    process = subprocess.Popen(
        [sys.executable, '-c', LOAD_LIBRARIES_CODE], stdin=subprocess.PIPE
    )
    try:
        time.sleep(2.0)
        return _resident_bytes(process.pid)
    finally:
        process.communicate(b'\n')


def _metrics(node: NodeProcess) -> list[str]:
    with urllib.request.urlopen(f'{node.operations_url}/metrics') as response:
        return response.read().decode().splitlines()


def _total(metrics: list[str], name: str) -> float:
    return sum(
        float(line.rpartition(' ')[2]) for line in metrics if line.startswith(name)
    )


def _platform_calls(fleet: Fleet) -> int:
    url = f'http://127.0.0.1:{fleet.platform_port}/control'
    with urllib.request.urlopen(url) as response:
        return sum(json.load(response)['calls'].values())


if __name__ == '__main__':
    main()
