"""Tests of planned stops and crashes of real node processes under load."""

import asyncio
import json
import random
import signal
import urllib.request

import aiohttp
import pytest

from tests.fakes.callers import Callers
from tests.fakes.fleet import Fleet, NodeProcess
from tests.utils import policy_document

CALLERS = 3
POLL_SECONDS = 0.05
WAIT_POLLS = 600


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Start one fleet for all tests here; each test leaves all of it running."""
    policy = policy_document()
    service = policy['services'][0]
    service['answer_ttl_seconds'] = 0.3
    service['timeout_seconds'] = 3.0
    service['queue_timeout_seconds'] = 2.0
    domains = [entry['failure_domain'] for entry in policy['roster']]
    started = Fleet(tmp_path_factory.mktemp('fleet'), policy)
    try:
        started.start(domains)
        started.put_policy()
        yield started
    finally:
        for node in started.nodes:
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
        started.stop()


async def wait_until(condition) -> None:
    """Wait until an asynchronous condition becomes true."""
    for _ in range(WAIT_POLLS):
        if await condition():
            return
        await asyncio.sleep(POLL_SECONDS)
    raise AssertionError('the condition did not come true')


async def is_ready(node: NodeProcess) -> bool:
    return await status(f'{node.operations_url}/readyz') == 200


async def status(url: str) -> int:
    try:
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return answer.status
    except aiohttp.ClientError:
        return 0


async def looked_up_addresses(node: NodeProcess) -> set[str]:
    """Return the addresses in the reply to a lookup at the node."""
    url = f'{node.caller_url}/v1/lookup?service=till&client=127.0.0.1'
    try:
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            document = await answer.json(content_type=None)
    except aiohttp.ClientError:
        return set()
    return {vm['address'] for vm in document.get('entry_vms', ())}


async def all_lookups_list(
    nodes: list[NodeProcess], expected_nodes: list[NodeProcess]
) -> bool:
    expected = {f'127.0.0.1:{node.caller_port}' for node in expected_nodes}
    return all([await looked_up_addresses(node) == expected for node in nodes])


def member_states(fleet: Fleet) -> dict[str, str]:
    """Return the state of each member according to the first node."""
    reply = json.loads(fleet.admin('status'))
    return {member['vm']: member['state'] for member in reply['members']}


def executions(fleet: Fleet) -> int:
    total = 0
    for port in fleet.server_ports().values():
        with urllib.request.urlopen(f'http://127.0.0.1:{port}/control') as answer:
            total += sum(json.load(answer)['executions'].values())
    return total


async def test_rolling_restart_interrupts_and_refuses_no_request(fleet):
    await wait_until(lambda: all_lookups_list(fleet.nodes, fleet.nodes))
    urls = [node.caller_url for node in fleet.nodes]
    callers = Callers(urls, 'till', 'order', random.Random(1))
    callers.start(CALLERS)
    for node in fleet.nodes:
        others = [other for other in fleet.nodes if other is not node]
        node.process.send_signal(signal.SIGTERM)
        await wait_until(lambda others=others: all_lookups_list(others, others))
        assert node.process.poll() is None, (
            'node stopped before cached lookup replies expired'
        )
        assert not await is_ready(node)
        assert await status(f'{node.operations_url}/livez') == 200
        await asyncio.to_thread(node.process.wait)
        assert node.process.returncode == 0
        fleet.start_node(node)
        await wait_until(lambda node=node: is_ready(node))
        await wait_until(lambda: all_lookups_list(fleet.nodes, fleet.nodes))
    await callers.stop()
    assert set(callers.count_by_outcome) == {'answered'}
    assert executions(fleet) == callers.count_by_outcome['answered']


async def test_nodes_go_on_without_the_platform(fleet):
    await wait_until(lambda: all_lookups_list(fleet.nodes, fleet.nodes))
    await control(fleet, {'faults': {'down': True}})
    first, second, third = fleet.nodes
    third.process.send_signal(signal.SIGTERM)
    await wait_until(lambda: all_lookups_list([first, second], [first, second]))
    await asyncio.to_thread(third.process.wait)
    assert third.process.returncode == 0
    assert await is_serving(first)
    assert await is_serving(second)
    await control(fleet, {'faults': {'down': False}})
    fleet.start_node(third)
    await wait_until(lambda: all_lookups_list(fleet.nodes, fleet.nodes))


async def test_killed_and_frozen_nodes_are_removed_and_rejoin(fleet):
    await wait_until(lambda: all_lookups_list(fleet.nodes, fleet.nodes))
    first, frozen, killed = fleet.nodes
    frozen.process.send_signal(signal.SIGSTOP)
    await wait_until(lambda: all_lookups_list([first, killed], [first, killed]))
    assert member_states(fleet)[frozen.vm] == 'suspect'
    frozen.process.send_signal(signal.SIGCONT)
    await wait_until(lambda: all_lookups_list(fleet.nodes, fleet.nodes))
    assert set(member_states(fleet).values()) == {'alive'}
    killed.process.kill()
    await asyncio.to_thread(killed.process.wait)
    await wait_until(lambda: all_lookups_list([first, frozen], [first, frozen]))
    fleet.start_node(killed)
    await wait_until(lambda: is_ready(killed))
    await wait_until(lambda: all_lookups_list(fleet.nodes, fleet.nodes))


async def test_all_restarted_at_once_serve_again(fleet):
    await wait_until(lambda: all_lookups_list(fleet.nodes, fleet.nodes))
    for node in fleet.nodes:
        node.process.kill()
    for node in fleet.nodes:
        node.process.wait()
        fleet.start_node(node)
    for node in fleet.nodes:
        await wait_until(lambda node=node: is_ready(node))
    await wait_until(lambda: all_lookups_list(fleet.nodes, fleet.nodes))
    for node in fleet.nodes:
        await wait_until(lambda node=node: is_serving(node))


async def is_serving(node: NodeProcess) -> bool:
    url = f'{node.caller_url}/v1/services/till/order'
    async with aiohttp.ClientSession() as session, session.post(url) as answer:
        return answer.status == 200


async def control(fleet: Fleet, document: dict) -> None:
    url = f'http://127.0.0.1:{fleet.platform_port}/control'
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=document) as answer,
    ):
        assert answer.status == 200
