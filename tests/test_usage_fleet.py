"""Tests that usage caps hold over several entry VM processes, also with one killed."""

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path

import aiohttp

from soak.fleet import Fleet
from tests.entry_harness import HOST, make_desired_state, make_rule
from tests.fakes.loopback import METRICS_PORT

VMS = 4
SERVERS_EACH = 8
CAP = 40.0
BURST = 10.0
WINDOW_SECONDS = 5.0
MOST = (CAP * WINDOW_SECONDS + BURST) * 1.1 + 20.0
LOAD_SECONDS = 6.0
HOLD_SECONDS = 4.5  # new VMs own parts of the caps by then
PER_SECOND = 100.0


async def send_load(
    session: aiohttp.ClientSession, addresses: Sequence[str], number: int
) -> list[float]:
    """Send PER_SECOND requests a second; return when those were sent that ran."""
    ran: list[float] = []

    async def send(address: str, request_id: str) -> None:
        sent_at = time.monotonic()
        headers = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Milliseconds': '3000',
            'Authorization': 'Bearer key-of-t',
        }
        try:
            async with session.get(f'http://{address}/c/1', headers=headers) as reply:
                await reply.read()
        except aiohttp.ClientError:
            return
        if reply.status == 200:
            ran.append(sent_at)
        elif reply.status == 429:
            assert 0.0 < float(reply.headers['Retry-After']) <= 5.0

    tasks = []
    ends_at = time.monotonic() + LOAD_SECONDS
    while time.monotonic() < ends_at:
        address = addresses[len(tasks) % len(addresses)]
        tasks.append(asyncio.create_task(send(address, f'{number}-{len(tasks)}')))
        await asyncio.sleep(1.0 / PER_SECOND)
    await asyncio.gather(*tasks)
    return ran


def most_in_window(times: Sequence[float]) -> int:
    times = sorted(times)
    return max(
        sum(start <= each < start + WINDOW_SECONDS for each in times) for start in times
    )


async def test_demand_at_one_vm_at_all_and_with_one_killed(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, VMS, SERVERS_EACH)
    try:
        await fleet.start()
        tenants = [
            {
                'name': 't',
                'keys': ['key-of-t'],
                'requests_per_s': CAP,
                'burst': BURST,
            }
        ]
        rule = make_rule('/c/', 'catalogue')
        fleet.store.write(
            'config', 'main', make_desired_state(900, rule, tenants=tenants)
        )
        await asyncio.sleep(HOLD_SECONDS)
        addresses = [vm.address for vm in fleet.vms]
        async with aiohttp.ClientSession() as session:
            at_one = await send_load(session, addresses[:1], 1)
            at_all = await send_load(session, addresses, 2)
            vm = fleet.vms[-1]
            vm.is_changing = True
            assert vm.process is not None
            vm.process.kill()
            await vm.process.wait()
            after = await send_load(session, addresses[:1], 3)
            url = f'http://{fleet.vms[0].host}:{METRICS_PORT}/metrics'
            async with session.get(url) as reply:
                page = await reply.text()
    finally:
        await fleet.stop()
    figures = [len(at_one), len(at_all), len(after)]
    print('ran in 6 s:', figures, 'most in 5 s:', most_in_window(at_one + at_all))
    assert most_in_window(at_one + at_all + after) <= MOST
    assert len(at_one) >= 0.9 * CAP * LOAD_SECONDS
    assert len(at_all) >= 0.9 * CAP * LOAD_SECONDS
    assert len(after) >= 0.9 * CAP * LOAD_SECONDS * (VMS - 1) / VMS
    assert 'daisylift_usage_tokens{direction="borrowed",tenant="t"}' in page
