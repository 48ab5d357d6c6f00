"""Another writer's entry is among the upstreams; then an upstream drains and exits."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab.deployment import (
    BOUNDS,
    Deployment,
    Record,
    desired_state,
    has_trouble,
    rule,
    run_case,
)
from lab.draining import Clients, count_late, drain

SERVICE = 'till'
UPSTREAM_COUNT = 6
STABILITY_SECONDS = BOUNDS['stability_window_ms'] / 1000.0
DRAIN_SECONDS = BOUNDS['drain_ms'] / 1000.0
AFTER_SECONDS = 3.0
SEND_PERIOD_SECONDS = 0.05  # of each client; there is one for each entry VM
WORK_SECONDS = 0.3
# The last digit is the byte 0xB2, a "2" whose top bit is set, read as Latin-1.
UNREADABLE_ADDRESS = '127.0.0.1:808\u00b2'


def entry_of_another_writer() -> dict:
    """Return an entry whose address cannot be read; all else is as it should be."""
    return {
        'service': SERVICE,
        'address': UNREADABLE_ADDRESS,
        'zone': 'arusha-a',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 1,
        'born': 1,
    }


async def case(deployment: Deployment, record: Record) -> bool:
    """Return whether the rule was broken."""
    await deployment.add_upstreams(
        SERVICE, UPSTREAM_COUNT, slots=20, work_seconds=WORK_SECONDS
    )
    rules = [rule('/pay/', SERVICE, 'unsafe')]
    deployment.store.write('config', 'main', desired_state(1, rules, [SERVICE]))
    await deployment.start_entries()
    await asyncio.sleep(2 * STABILITY_SECONDS)
    clients = Clients()
    clients.start(deployment.entries, SEND_PERIOD_SECONDS)
    if has_trouble():
        deployment.store.write('servers', 'i-other', entry_of_another_writer())
        record.add(f'another writer stores i-other at {UNREADABLE_ADDRESS!r}')
    await asyncio.sleep(STABILITY_SECONDS)
    upstream = deployment.upstreams[0]
    accepted_at = await drain(deployment, record, upstream, DRAIN_SECONDS)
    await asyncio.sleep(AFTER_SECONDS)
    await clients.stop()
    late = count_late(deployment, record, clients, upstream, accepted_at, DRAIN_SECONDS)
    return late > 0


if __name__ == '__main__':
    sys.exit(run_case(case, __file__))
