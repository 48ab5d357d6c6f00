"""Tests that poison requests, which crash each server, are stopped on all entry VMs."""

import asyncio
from contextlib import AsyncExitStack

from tests.entry_harness import (
    CallerResponse,
    EntryHarness,
    make_registration,
    make_rule,
)
from tests.fakes.platform import FakePlatform
from tests.fakes.scripted_server import Script, ScriptedServer, http_response

COMPLETE = http_response(b'whole', 'r-1')
CRASH = Script(b'', reset=True)
GOSSIP_SPREAD_SECONDS = 1.0
NOTICES_END_SECONDS = 3.0  # ten rounds of gossip, and a margin
MAX_CRASHES = 3


async def a_fleet(stack: AsyncExitStack, scripts: list[Script]) -> list[ScriptedServer]:
    return [
        await stack.enter_async_context(ScriptedServer(list(scripts))) for _ in range(6)
    ]


async def start(
    harness: EntryHarness, servers: list[ScriptedServer], born: int
) -> None:
    """Register the servers as newly started, without state of earlier runs."""
    await harness.register(
        **{
            f'i_{number}': make_registration(server, born=born)
            for number, server in enumerate(servers)
        }
    )


async def send_repeatedly(
    harness: EntryHarness, servers: list[ScriptedServer], times: int, *what: str
) -> list[CallerResponse]:
    """Send the request repeatedly; crashed servers are restarted before each send."""
    replies = []
    for born in range(1, times + 1):
        await start(harness, servers, born)
        replies.append(await harness.send(*what))
    return replies


def runs(servers: list[ScriptedServer]) -> int:
    return sum(len(server.requests) for server in servers)


async def test_a_request_that_crashes_three_servers_is_stopped() -> None:
    async with AsyncExitStack() as stack:
        servers = await a_fleet(stack, [CRASH] * 9)
        harness = await stack.enter_async_context(EntryHarness())
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        replies = await send_repeatedly(harness, servers, 6)
        assert runs(servers) == MAX_CRASHES
        assert replies[-1].status == 503
        assert b'breaks_servers' in replies[-1].body


async def test_the_peers_of_an_entry_vm_stop_a_poison_request_too() -> None:
    async with AsyncExitStack() as stack:
        servers = await a_fleet(stack, [CRASH] * 9)
        first = await stack.enter_async_context(EntryHarness(name='entry-1'))
        second = await stack.enter_async_context(
            EntryHarness(store=first.store, name='entry-2', owns_store=False)
        )
        await first.configure(1, make_rule('/x/', 'catalogue'))
        await send_repeatedly(first, servers, 3)
        await asyncio.sleep(GOSSIP_SPREAD_SECONDS)
        before = runs(servers)
        assert (await second.send()).status == 503
        assert runs(servers) == before


async def test_vms_that_start_later_stop_a_poison_request_too() -> None:
    """Notices end after seconds; each restarted or added VM let three servers crash.

    The VMs that saw the crashes are gone in the end.
    """
    async with AsyncExitStack() as stack:
        servers = await a_fleet(stack, [CRASH] * 9)
        store = FakePlatform()
        await store.start()
        stack.push_async_callback(store.stop)
        vms = [
            await stack.enter_async_context(a_vm(store, f'entry-{number}'))
            for number in (1, 2)
        ]
        await vms[0].configure(1, make_rule('/x/', 'catalogue'))
        await send_repeatedly(vms[0], servers, 3)
        await asyncio.sleep(GOSSIP_SPREAD_SECONDS)
        before = runs(servers)
        for number, vm in enumerate(vms, 3):
            await asyncio.sleep(NOTICES_END_SECONDS)
            assert vm.application is not None
            await vm.application.stop()
            later = await stack.enter_async_context(a_vm(store, f'entry-{number}'))
            await asyncio.sleep(GOSSIP_SPREAD_SECONDS)
            assert (await later.send()).status == 503
        assert runs(servers) == before == MAX_CRASHES


def a_vm(store: FakePlatform, name: str) -> EntryHarness:
    return EntryHarness(store=store, name=name, owns_store=False)


async def test_an_unsafe_poison_request_is_never_reported_as_not_run() -> None:
    async with AsyncExitStack() as stack:
        servers = await a_fleet(stack, [CRASH] * 9)
        harness = await stack.enter_async_context(EntryHarness())
        await harness.configure(1, make_rule('/x/', 'catalogue', 'unsafe'))
        replies = await send_repeatedly(harness, servers, 5, 'POST')
        assert [reply.status for reply in replies] == [502, 502, 502, 503, 503]
        assert runs(servers) == MAX_CRASHES


async def test_other_requests_continue_and_a_response_clears_a_request() -> None:
    async with AsyncExitStack() as stack:
        servers = await a_fleet(stack, [CRASH] + [Script(COMPLETE)] * 9)
        harness = await stack.enter_async_context(EntryHarness())
        await harness.configure(1, make_rule('/x/', 'catalogue', attempts=1))
        replies = await send_repeatedly(harness, servers, 6)
        assert 200 in [reply.status for reply in replies]
        assert 503 not in [reply.status for reply in replies]
        assert runs(servers) == len(replies)
