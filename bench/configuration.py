"""Measures the cost of applying changes and announcing them to all nodes.

Run it with ``python -m bench.configuration [--fleet]``. With ``--fleet`` it starts
seven processes and measures the time until a drain is in force on all of them.
"""

import argparse
import json
import tempfile
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path

from daisylift.decisions.announcements import announcement_targets
from daisylift.decisions.configuration import (
    Configuration,
    apply_body,
    apply_change,
)
from daisylift.models import (
    AdvanceShift,
    Change,
    ChangeBody,
    Policy,
    PutPolicy,
    SetServerDrain,
    StartShift,
)
from tests.fakes.fleet import Fleet

EXAMPLES = Path(__file__).resolve().parents[1] / 'examples'
FLEET_DRAINS = 7
SERVICES = 3
REPEATS = 200
NODES = (7, 128, 930)


def build_policy(sites: int, servers_per_site: int) -> Policy:
    """Return a policy with all services on all sites."""
    domains = [{'name': f'site-{n}', 'region': f'r{n % 3}'} for n in range(sites)]
    servers = [
        {
            'name': f'server-{site}-{number}',
            'host': f'10.0.0.{site}',
            'port': 8000 + number,
            'failure_domain': f'site-{site}',
            'slots': 8,
            'connections': 300,
        }
        for site in range(sites)
        for number in range(servers_per_site)
    ]
    return Policy.model_validate(
        {
            'failure_domains': domains,
            'roster': [{'ordinal': 0, 'failure_domain': 'site-0'}],
            'services': [
                {'name': f'service-{n}', 'servers': servers} for n in range(SERVICES)
            ],
        }
    )


def measure(sites: int, servers_per_site: int) -> None:
    """Print one line for each kind of change."""
    put = PutPolicy(policy=build_policy(sites, servers_per_site))
    before = apply_change(Configuration(), _change(1, put))
    drain = SetServerDrain(service='service-0', server='server-0-0', draining=True)
    start = StartShift(
        shift='one', service='service-0', sources=('site-0',), destinations=('site-1',)
    )
    shifting = apply_body(before, start)
    rows: list[tuple[str, Configuration, ChangeBody, int]] = [
        ('put policy', Configuration(), put, 3),
        ('server drain', before, drain, REPEATS),
        ('shift start', before, start, REPEATS),
        ('shift stage', shifting, AdvanceShift(shift='one', stage=1), REPEATS),
    ]
    for name, configuration, body, repeats in rows:
        change = _change(configuration.version + 1, body)
        size = len(change.model_dump_json())
        apply_us = _microseconds(
            lambda c=configuration, x=change: apply_change(c, x), repeats
        )
        print(
            f'{sites:>5} {sites * servers_per_site * SERVICES:>8} {name:<13} '
            f'{size:>10,} {apply_us:>10,.0f}'
        )


def measure_spread(nodes: int) -> None:
    """Print how an update spreads if each node sends it to four and none is lost."""
    reached = {0}
    newest = {0}
    rounds = messages = 0
    while newest:
        notified = set()
        for sender in newest:
            others = [other for other in range(nodes) if other != sender]
            receivers = announcement_targets(1, sender, others)
            messages += len(receivers)
            notified.update(receivers)
        newest = notified - reached
        reached |= newest
        rounds += bool(newest)
    print(
        f'{nodes:>5} {rounds:>7} {len(reached) / nodes:>8.2%} {messages / nodes:>9.2f}'
    )


def measure_fleet() -> None:
    """Print the time until a drain is in force on seven processes."""
    policy = json.loads((EXAMPLES / 'kanga' / 'policy.json').read_text())
    domains = [entry['failure_domain'] for entry in policy['roster']]
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), policy=policy)
        try:
            fleet.start(domains)
            fleet.put_policy()
            times = sorted(_drain_seconds(fleet, n) for n in range(FLEET_DRAINS))
            print(
                f'{len(domains)} processes, {FLEET_DRAINS} drains: in force on all '
                f'after {times[len(times) // 2]:.2f} s (median), '
                f'{times[-1]:.2f} s (maximum), including the command'
            )
        finally:
            fleet.stop()


def _drain_seconds(fleet: Fleet, number: int) -> float:
    server = next(iter(fleet.policy['services'][0]['servers']))['name']
    service = fleet.policy['services'][0]['name']
    verb = 'undrain' if number % 2 else 'drain'
    started = time.monotonic()
    reply = json.loads(fleet.admin('server', verb, service, server))
    version = int(reply['accepted']['version'])
    while any(_version_at(node.operations_url) < version for node in fleet.nodes):
        time.sleep(0.01)
    return time.monotonic() - started


def _version_at(url: str) -> int:
    with urllib.request.urlopen(f'{url}/metrics', timeout=5.0) as answer:
        for line in answer.read().decode().splitlines():
            if line.startswith('daisylift_configuration_version '):
                return int(float(line.split()[1]))
    return 0


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--fleet', action='store_true', help='start seven processes')
    if parser.parse_args().fleet:
        measure_fleet()
        return
    print('sites  servers change         bytes JSON   apply us')
    for sites, servers_per_site in ((6, 3), (50, 10), (200, 10)):
        measure(sites, servers_per_site)
    print('nodes  rounds  reached  sent/node')
    for nodes in NODES:
        measure_spread(nodes)


def _change(version: int, body: ChangeBody) -> Change:
    return Change(version=version, operation_id=f'op-{version}', body=body)


def _microseconds(work: Callable[[], object], repeats: int) -> float:
    started = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started) / repeats * 1e6


if __name__ == '__main__':
    main()
