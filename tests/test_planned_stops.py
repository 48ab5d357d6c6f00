"""Planned stops of real VM processes under whole, slow, chunked and pipelined requests.

The failure: at half of the grace period, an entry VM dropped what it read of requests
under way, and their connections ended with the process, without an answer.
"""

import asyncio
import random
from pathlib import Path

from soak.fleet import Fleet
from soak.raw_callers import KINDS, RawCallerGroup

VMS = 2
CALLERS_PER_KIND = 2
WARM_SECONDS = 3.5  # the stability window of the ledger and a margin


async def stop_in_turn(folder: Path, vms: int, callers: int, stops: int) -> Fleet:
    """Stop VMs in turn under raw callers, ``callers`` of each kind at each VM."""
    fleet = Fleet(folder, vms, servers_per_service=4)
    try:
        await fleet.start()
        group = RawCallerGroup(fleet, random.Random(1))
        for vm in fleet.vms:
            for kind in KINDS * callers:
                fleet.spawn(group.call(vm, (kind,)))
        await asyncio.sleep(WARM_SECONDS)
        for vm in fleet.vms[:stops]:
            await fleet.stop_vm(vm)
            await fleet.wait_until_ready(vm)
        group.is_stopping = True
        fleet.read_logs()
    finally:
        await fleet.stop()
    return fleet


async def test_each_request_under_way_at_a_planned_stop_is_answered(
    tmp_path: Path,
) -> None:
    fleet = await stop_in_turn(tmp_path, VMS, CALLERS_PER_KIND, stops=1)
    answered = [each for each in fleet.ledger.outcomes if each.status is not None]
    assert len(answered) > 100
    found = fleet.ledger.findings()
    assert [each for each in found if each.guarantee != 'recovery'] == []  # no calm
