"""Tests that entry VMs together stay within the request rate that a server names."""

import asyncio
import random
from collections.abc import Sequence
from contextlib import AsyncExitStack

import pytest

from tests.entry_harness import EntryHarness, make_rule
from tests.fakes.loopback import SERVER_HOST
from tests.fakes.platform import FakePlatform
from tests.fakes.platform_server import PlatformServer

VMS = 7
REQUESTS_PER_SECOND = 70.0
LOAD_SECONDS = 8.0
LIMIT_PER_SECOND = 8.0
STABILITY_SECONDS = 3.0  # from here on the bound of the platform holds
WINDOW_SECONDS = 4.0
BOUND_MULTIPLIER = 1.5
BOUND_SLACK = 5


def most_in_window(times: Sequence[float], seconds: float = WINDOW_SECONDS) -> int:
    """Return the largest number of times within any window of the given length."""
    return max(
        (sum(start <= each < start + seconds for each in times) for start in times),
        default=0,
    )


def bound(per_second: float) -> float:
    """Return how many requests the platform allows in a window."""
    return BOUND_MULTIPLIER * per_second * WINDOW_SECONDS + BOUND_SLACK


async def send_requests(harnesses: Sequence[EntryHarness]) -> list[int]:
    """Send requests for various objects to all VMs in turn; return their statuses."""
    rng = random.Random(26)
    tasks = []
    for number in range(int(LOAD_SECONDS * REQUESTS_PER_SECOND)):
        headers = {'Affinity-Key': str(rng.randrange(200)), 'Request-Id': f'r-{number}'}
        harness = harnesses[number % len(harnesses)]
        tasks.append(asyncio.create_task(harness.send(headers=headers)))
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    return [reply.status for reply in await asyncio.gather(*tasks)]


@pytest.mark.parametrize('limit', [LIMIT_PER_SECOND, 3.0])
async def test_vms_together_do_not_overrun_the_limit_that_a_server_names(
    limit: float,
) -> None:
    async with AsyncExitStack() as stack:
        store = FakePlatform()
        await store.start()
        stack.push_async_callback(store.stop)
        servers = [
            PlatformServer(f'i-{number}', 'catalogue', 'arusha-a', lambda run: None)
            for number in range(3)
        ]
        for server in servers:
            await server.start()
            stack.push_async_callback(server.crash)
            registration = server.registration(server.port)
            registration['address'] = f'{SERVER_HOST}:{server.port}'
            store.write('servers', server.id, registration)
        harnesses = [
            await stack.enter_async_context(
                EntryHarness(store=store, name=f'entry-{number}', owns_store=False)
            )
            for number in range(VMS)
        ]
        await harnesses[0].configure(1, make_rule('/x/', 'catalogue'))
        limited = servers[0]
        limited.limit_per_second = limit
        started = asyncio.get_running_loop().time()
        statuses = await send_requests(harnesses)
    times = [each.at for each in limited.arrivals]
    late = [at for at in times if at > started + STABILITY_SECONDS]
    assert most_in_window(late) <= bound(limit)
    assert len(late) >= 0.3 * limit * (LOAD_SECONDS - STABILITY_SECONDS)
    assert set(statuses) == {200}
