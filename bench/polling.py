"""Measures the cost of polling the load of backend servers on a node.

``python -m bench.polling`` polls fake servers in another process. It prints the node's
processor time per poll, and what that adds up to for the target fleet size.
"""

import asyncio
import json
import subprocess
import sys
import time

from bench.tables import median_of, print_machine, print_table
from daisylift.decisions.configuration import Configuration
from daisylift.decisions.polling import POLLERS_PER_SERVER
from daisylift_node.connection.upstream import UpstreamConnections
from daisylift_node.process import clock
from daisylift_node.process.health import HealthRegistry
from daisylift_node.process.load import POLL_PERIOD_SECONDS, LoadPoller
from daisylift_node.process.metrics import Metrics
from tests.fakes.fleet import free_ports, wait_for
from tests.fakes.relay import relay_policy

SIZES = (4, 16, 64)
ROUNDS = 5
POLLS_PER_ROUND = 20
TARGET_NODES = 930
TARGET_SERVERS = 10_000
US_PER_SECOND = 1e6


async def microseconds_per_poll(ports: list[int]) -> float:
    """Return the median processor time of polling one of the servers on the ports."""
    connections = UpstreamConnections()
    configuration = Configuration(version=1, policy=relay_policy(ports))
    health = HealthRegistry(lambda *_: None, clock.now)
    health.set_configuration(configuration, clock.now())
    poller = LoadPoller(connections, health, Metrics(), clock.now)
    poller.set_configuration(configuration)
    poller.set_ordinal(0)
    await poller.poll()
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(POLLS_PER_ROUND):
            await poller.poll()
        processor_seconds = time.process_time() - started
        times.append(processor_seconds / POLLS_PER_ROUND / len(ports) * US_PER_SECOND)
    await connections.stop()
    return median_of(times)


def main() -> None:
    """Print the cost of a poll at three sizes, and the total for the target fleet."""
    ports = free_ports(max(SIZES))
    servers = [{'port': port, 'name': f's{port}', 'slots': 4} for port in ports]
    fake_servers = subprocess.Popen(
        [sys.executable, '-m', 'tests.fakes.upstream', json.dumps(servers)]
    )
    try:
        wait_for(f'http://127.0.0.1:{ports[-1]}/control')
        costs = [asyncio.run(microseconds_per_poll(ports[:size])) for size in SIZES]
    finally:
        fake_servers.terminate()
        fake_servers.wait()
    print_machine()
    rows = [(size, f'{cost:.0f}') for size, cost in zip(SIZES, costs, strict=True)]
    print_table('One poll, median of 5 rounds', ('servers polled', 'us per poll'), rows)
    polls = TARGET_SERVERS * POLLERS_PER_SERVER / TARGET_NODES / POLL_PERIOD_SECONDS
    print(
        f'\n{TARGET_SERVERS} servers, {TARGET_NODES} nodes: {polls:.1f} polls/s '
        f'per node, {polls * costs[-1] / 1000:.1f} ms of processor time per second'
    )


if __name__ == '__main__':
    main()
