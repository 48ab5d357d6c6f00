"""Tests that entry VMs together stay within the request rate that a server names."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import pytest

from tests.entry_harness import EntryHarness, make_rule
from tests.fakes.loopback import SERVER_HOST
from tests.fakes.platform import FakePlatform
from tests.fakes.platform_server import PlatformServer

HTTP_OK = 200
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


@dataclass
class LoadedFleet:
    """VMs under load in front of three servers; the first server names limits."""

    store: FakePlatform
    servers: list[PlatformServer]
    harnesses: list[EntryHarness]
    stack: AsyncExitStack
    statuses: list[int] = field(default_factory=list)
    failures: list[tuple[str, int, bytes, float]] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _rng: random.Random = field(default_factory=lambda: random.Random(26))

    @property
    def limited(self) -> PlatformServer:
        """The server that names limits."""
        return self.servers[0]

    async def add_vm(self, name: str) -> EntryHarness:
        """Start a VM that gets requests from now on."""
        harness = EntryHarness(store=self.store, name=name, owns_store=False)
        self.harnesses.append(await self.stack.enter_async_context(harness))
        return harness

    async def load(self, seconds: float) -> None:
        """Send requests for various objects to all VMs in turn."""
        for number in range(int(seconds * REQUESTS_PER_SECOND)):
            harness = self.harnesses[number % len(self.harnesses)]
            key = str(self._rng.randrange(200))
            self._tasks.append(asyncio.create_task(self._send(harness, key)))
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)

    async def finish(self) -> None:
        """Wait for all responses."""
        await asyncio.gather(*self._tasks)

    def arrivals_since(self, moment: float) -> list[float]:
        """Return when requests reached the limited server, from the moment on."""
        return [each.at for each in self.limited.arrivals if each.at >= moment]

    async def _send(self, harness: EntryHarness, key: str) -> None:
        request_id = f'r-{len(self._tasks)}'
        headers = {'Affinity-Key': key, 'Request-Id': request_id}
        started = now()
        response = await harness.send(headers=headers)
        self.statuses.append(response.status)
        if response.status != HTTP_OK:
            seconds = now() - started
            failure = (request_id, response.status, response.body, seconds)
            self.failures.append(failure)


@asynccontextmanager
async def loaded_fleet(vms: int = VMS) -> AsyncIterator[LoadedFleet]:
    """Start a store, three servers and the VMs."""
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
        fleet = LoadedFleet(store, servers, [], stack)
        for number in range(vms):
            await fleet.add_vm(f'entry-{number}')
        await fleet.harnesses[0].configure(1, make_rule('/x/', 'catalogue'))
        yield fleet


def now() -> float:
    return asyncio.get_running_loop().time()


async def mute_peers(harness: EntryHarness) -> None:
    """Cut the VM off from its peers and from the store."""
    assert harness.application is not None
    peers = harness.application.peers
    peers._send_to_peers = lambda data: None  # type: ignore[method-assign]
    peers.datagram_received = lambda data, address: None  # type: ignore[method-assign]
    await harness.application._tasks.stop()


@pytest.mark.parametrize('limit', [LIMIT_PER_SECOND, 3.0])
async def test_vms_together_do_not_overrun_the_limit_that_a_server_names(
    limit: float,
) -> None:
    async with loaded_fleet() as fleet:
        fleet.limited.limit_per_second = limit
        started = now()
        await fleet.load(LOAD_SECONDS)
        await fleet.finish()
    late = fleet.arrivals_since(started + STABILITY_SECONDS)
    assert most_in_window(late) <= bound(limit)
    assert len(late) >= 0.3 * limit * (LOAD_SECONDS - STABILITY_SECONDS)
    assert fleet.failures == []
    assert set(fleet.statuses) == {HTTP_OK}


async def test_a_cut_a_restarted_and_a_new_vm_do_not_overrun_a_limit() -> None:
    """No VM is excused here, not even for the requests before it hears the limit."""
    async with loaded_fleet() as fleet:
        fleet.limited.limit_per_second = LIMIT_PER_SECOND
        started = now()
        await fleet.load(2.0)
        await mute_peers(fleet.harnesses[0])
        await fleet.load(1.0)
        restarted = fleet.harnesses.pop(1)
        assert restarted.application is not None
        await restarted.application.stop()
        await fleet.add_vm(restarted.name)
        await fleet.load(2.0)
        await fleet.add_vm('entry-new')
        await fleet.load(4.0)
        await fleet.finish()
    late = fleet.arrivals_since(started + STABILITY_SECONDS)
    assert most_in_window(late) <= bound(LIMIT_PER_SECOND)
    assert late


async def test_a_lowered_limit_is_not_overrun_and_a_withdrawn_one_is_forgotten() -> (
    None
):
    async with loaded_fleet() as fleet:
        fleet.limited.limit_per_second = 4.0
        await fleet.load(3.0)
        fleet.limited.limit_per_second = 16.0
        await fleet.load(4.0)
        raised = fleet.arrivals_since(now() - WINDOW_SECONDS)
        fleet.limited.limit_per_second = 4.0
        lowered_at = now()
        await fleet.load(5.0)
        lowered = fleet.arrivals_since(lowered_at + 0.5)
        fleet.limited.limit_per_second = None
        await fleet.load(5.0)
        withdrawn = fleet.arrivals_since(now() - 2.0)
        await fleet.finish()
    assert 4.0 * WINDOW_SECONDS < len(raised) <= bound(16.0)
    assert 0 < most_in_window(lowered) <= bound(4.0)
    assert len(withdrawn) > 2.0 * 4.0
