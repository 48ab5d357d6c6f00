"""Demo of entry VMs on the platform, with a fake store and fake backend servers."""

import asyncio
import sys
import tempfile
from pathlib import Path

import aiohttp

from soak.fleet import Fleet, key_of
from tests.entry_harness import HOST
from tests.fakes.loopback import DIRECTORY_PORT

VMS = 3
SERVERS_EACH = 4
DOWNLOAD_BYTES = 2_000_000
CHANGE_SECONDS = 2.5  # a change takes effect on all VMs within this time


class DemoError(Exception):
    """A step of the demo failed."""


async def demonstrate() -> None:
    """Run and print all steps; raise DemoError if one fails."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), VMS, SERVERS_EACH)
        try:
            await fleet.start()
            async with aiohttp.ClientSession() as session:
                await _main_job(fleet, session)
        finally:
            await fleet.stop()


async def _main_job(fleet: Fleet, session: aiohttp.ClientSession) -> None:
    first = fleet.vms[0]
    url = f'http://{first.host}:{DIRECTORY_PORT}/-/resolve'
    query = {'name': HOST, 'region': 'arusha', 'zone': first.failure_domain}
    async with session.get(url, params=query) as response:
        addresses = (await response.json())['addresses']
    print(f'look-up at {first.name}: use {", ".join(addresses)}')
    await _ask(session, addresses[0], 'browse', 'GET', '/a/12')
    await _ask(session, addresses[0], 'order', 'POST', '/o/1001')
    for server in fleet.servers_by_id.values():
        server.body_bytes = DOWNLOAD_BYTES
    size = await _ask(session, addresses[0], 'download', 'GET', '/m/7')
    if size != DOWNLOAD_BYTES:
        raise DemoError(f'download truncated: got {size} of {DOWNLOAD_BYTES} bytes')
    fleet.write_desired_state()
    version = fleet.ledger.versions[-1].number
    await asyncio.sleep(CHANGE_SECONDS)
    print(f'desired state {version}: added the route /n{version}/')
    for vm in fleet.vms:
        await _ask(session, vm.address, vm.name, 'GET', f'/n{version}/1')
    stopping = asyncio.create_task(fleet.stop_vm(first))
    statuses = {
        await _status(session, vm.address)
        for vm in fleet.vms[1:]
        for _ in range(VMS * SERVERS_EACH)
    }
    await stopping
    await fleet.wait_until_ready(first)
    print(f'{first.name} was stopped and restarted; the others returned {statuses}')
    await _ask(session, first.address, first.name, 'GET', '/a/12')


async def _ask(
    session: aiohttp.ClientSession, address: str, what: str, method: str, path: str
) -> int:
    async with session.request(
        method, f'http://{address}{path}', headers=_headers(what + path)
    ) as response:
        size = len(await response.read())
        print(f'{what}: {response.status}, {size} bytes')
        if response.status != 200:
            raise DemoError(f'{what}: unexpected status {response.status}')
        return size


async def _status(session: aiohttp.ClientSession, address: str) -> int:
    url = f'http://{address}/a/12'
    async with session.get(url, headers=_headers('while-one-stops')) as response:
        await response.read()
        return response.status


def _headers(request_id: str) -> dict[str, str]:
    return {
        'Host': HOST,
        'Request-Id': request_id,
        'Affinity-Key': '12',
        'Authorization': f'Bearer {key_of(1)}',  # also held in the next version
        'Deadline-Milliseconds': '5000',
    }


def main() -> int:
    """Run the demo; return the exit status."""
    try:
        asyncio.run(demonstrate())
    except (DemoError, aiohttp.ClientError) as error:
        print(f'demo: error: {error}', file=sys.stderr)
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
