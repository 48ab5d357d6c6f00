"""Counts the requests that a server gets after it has first said that it leaves.

Run it with ``python -m bench.leaving VMS``. It starts as many entry VMs as processes,
lets callers load them, and then one server says in its answers that it leaves.
"""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import uvloop

from soak.callers import CallerGroup
from soak.fleet import DOMAINS, Fleet
from tests.fakes.platform_server import PlatformServer

CALLERS = 24
SERVERS_PER_SERVICE = 6
WARM_UP_SECONDS = 4.0
LEAVING_SECONDS = 6.0


async def measure(vms: int) -> None:
    """Print how many requests came after the first answer, and from how many VMs."""
    folder = Path(tempfile.mkdtemp(prefix='daisylift-leaving-'))
    fleet = Fleet(folder, vms, SERVERS_PER_SERVICE)
    try:
        await fleet.start()
        callers = CallerGroup(fleet, random.Random(1))
        domains = list(DOMAINS)
        for number in range(CALLERS):
            fleet.spawn(callers.call(domains[number % len(domains)]))
        await asyncio.sleep(WARM_UP_SECONDS)
        server = next(iter(fleet.servers_by_id.values()))
        arrived_before = len(server.arrivals)
        server.says_leaving = True
        await asyncio.sleep(LEAVING_SECONDS)
        callers.is_stopping = True
    finally:
        await fleet.stop()
    _print_result(fleet, server, arrived_before)


def _print_result(fleet: Fleet, server: PlatformServer, arrived_before: int) -> None:
    outcome_by_id = {each.request_id: each for each in fleet.ledger.outcomes}
    told_at = min(
        each.ended_at
        for each in outcome_by_id.values()
        if each.leaving_server == server.id
    )
    late = [each for each in server.arrivals[arrived_before:] if each.at > told_at]
    outcomes = [outcome_by_id.get(each.request_id) for each in late]
    served = sum(each is not None and each.status == 200 for each in outcomes)
    vms = {each.vm for each in outcomes if each is not None}
    last = max((each.at for each in late), default=told_at) - told_at
    print(f'{len(fleet.vms)} VMs, {len(outcome_by_id)} requests')
    print(f'at the server before it said so: {arrived_before}')
    print(f'after its first answer: {len(late)} from {len(vms)} VMs, {served} served')
    print(f'the last of them {last:.2f} s after it')


if __name__ == '__main__':
    uvloop.run(measure(int(sys.argv[1])))
