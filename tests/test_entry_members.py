"""Tests of several entry VMs: directory, gossip, registration, planned stops."""

import asyncio
import json

from loguru import logger

from tests.entry_harness import EntryHarness, make_registration, make_rule
from tests.fakes.scripted_server import Script, ScriptedServer, http_response

RESPONSE = http_response(b'whole', 'r-1', extra=('Server-Load: 1,0,4', 'X-Kept: yes'))


async def test_a_planned_stop_interrupts_no_request() -> None:
    slow = Script(RESPONSE, after_seconds=0.4)
    async with (
        ScriptedServer([slow, Script(RESPONSE)]) as server,
        EntryHarness(grace_seconds=1.5) as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        request = asyncio.create_task(harness.send())
        await asyncio.sleep(0.1)
        assert harness.application is not None
        stopping = asyncio.create_task(harness.application.stop())
        await asyncio.sleep(0.05)
        assert (await harness.get('readiness', '/-/readiness')).status == 503
        reply = await request
        assert reply.status == 200
        assert reply.headers.get('Connection') == 'close'
        assert (await harness.send()).status == 200
        await stopping


async def test_the_directory_lists_ready_vms_of_the_callers_domain() -> None:
    async with EntryHarness(name='entry-1') as first:
        await first.configure(1, make_rule('/x/', 'catalogue'))
        second = EntryHarness(store=first.store, name='entry-2', owns_store=False)
        async with second:
            await asyncio.sleep(0.8)
            path = '/-/resolve?name=a.example&region=arusha&zone=arusha-a'
            reply = json.loads((await first.get('directory', path)).body)
            assert len(reply['addresses']) == 2
            assert 0 < reply['ttl_s'] <= 5
            assert second.application is not None
            stopping = asyncio.create_task(second.application.stop())
            await asyncio.sleep(0.2)
            reply = json.loads((await first.get('directory', path)).body)
            assert len(reply['addresses']) == 1
            await stopping


async def test_a_vm_without_store_watches_gets_updates_from_its_peers() -> None:
    async with EntryHarness(name='entry-1') as first:
        await first.configure(1, make_rule('/x/', 'catalogue'))
        second = EntryHarness(store=first.store, name='entry-2', owns_store=False)
        async with second:
            await asyncio.sleep(0.6)
            assert second.application is not None
            await second.application._tasks.stop()
            await first.configure(
                2, make_rule('/x/', 'catalogue'), make_rule('/y/', 'till')
            )
            await asyncio.sleep(1.5)
            assert (await second.send(path='/y/1')).status == 503


async def test_a_clock_set_back_does_not_hide_a_restarted_vm() -> None:
    ahead = {
        'incarnation': 4_200_000_000,
        'failure_domain': 'arusha-a',
        'region': 'arusha',
        'caller_address': 'h:80',
        'peer_host': '127.0.0.9',
        'peer_port': 7540,
    }
    harness = EntryHarness(name='entry-1')
    harness.store.write('daisylift-members', 'entry-1', ahead)
    async with harness:
        await asyncio.sleep(0.3)
        written = harness.store.objects['daisylift-members', 'entry-1']['specification']
        assert written['incarnation'] > ahead['incarnation']
        assert harness.application is not None
        assert harness.application.peers.liveness.incarnation == written['incarnation']


async def test_a_vm_that_was_removed_registers_again() -> None:
    async with EntryHarness(name='entry-1') as harness:
        await asyncio.sleep(0.6)
        harness.store.remove('daisylift-members', 'entry-1')
        await asyncio.sleep(1.3)
        assert ('daisylift-members', 'entry-1') in harness.store.objects


async def test_a_stopping_vm_closes_idle_connections_before_the_grace_period_ends() -> (
    None
):
    """A request accepted on one at the end of the grace period would be cut off."""
    scripts = [Script(RESPONSE)] * 2
    async with (
        ScriptedServer(scripts) as server,
        EntryHarness(grace_seconds=3.0) as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(i_1=make_registration(server))
        assert harness.application is not None
        address = harness.application.settings.listen.caller
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b'GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\n\r\n')
        await reader.readuntil(b'whole')
        loop = asyncio.get_running_loop()
        started = loop.time()
        stopping = asyncio.create_task(harness.application.stop())
        assert await reader.read() == b''
        assert loop.time() - started < 0.6 * 3.0
        writer.close()
        await stopping


async def test_background_tasks_log_no_errors() -> None:
    messages: list[str] = []
    sink = logger.add(messages.append, level='ERROR')
    try:
        async with EntryHarness() as harness:
            await asyncio.sleep(1.2)
            assert harness.application is not None
            await harness.application._metrics_page(None)
    finally:
        logger.remove(sink)
    assert messages == []
