"""Tests that responses over links between regions stay within budgets (issue 3)."""

import asyncio

import aiohttp

from daisylift.decisions.configuration import Configuration
from daisylift.models import Policy
from tests.fakes.relay import relay_policy, running_relay
from tests.fakes.wire import respond_ok, wait_until

RATE = 4_000_000
SIZE = 1_000_000


def remote_policy(ports, remote, rate=RATE):
    document = relay_policy(ports).model_dump()
    for number in remote:
        server = document['services'][0]['servers'][number]
        server['failure_domain'] = 'dar-1'
    document['links'] = [
        {'source': a, 'destination': b, 'bytes_per_second': rate}
        for a, b in (('arusha', 'dar'), ('dar', 'arusha'))
    ]
    return Policy.model_validate(document)


def configure(node, servers, remote, rate=RATE):
    policy = remote_policy([server.port for server in servers], remote, rate)
    node.configure(Configuration(version=2, policy=policy))


async def download(request):
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n'
    await request.respond(head.encode() + b'd' * SIZE)


async def test_download_over_a_link_is_paced_and_whole(monkeypatch):
    waits = []

    async def sleep(seconds):
        waits.append(seconds)

    monkeypatch.setattr('daisylift_node.process.links.sleep', sleep)
    async with (
        running_relay(download) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        configure(node, servers, remote=[0])
        async with session.get(f'{node.url}/plates') as answer:
            body = await answer.read()
        assert len(body) == SIZE
        assert len(waits) > 3
        counted = node.counter_sum('daisylift_link_bytes_total', source='dar')
        assert SIZE <= counted <= SIZE + 2048


async def test_own_region_is_not_paced():
    async with (
        running_relay(download) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        configure(node, servers, remote=[], rate=1)
        async with session.get(f'{node.url}/plates') as answer:
            assert len(await answer.read()) == SIZE
        assert node.counter_sum('daisylift_link_bytes_total') == 0


async def test_exhausted_link_diverts_or_refuses_requests():
    async with (
        running_relay(respond_ok, respond_ok, queue_timeout_seconds=0.05) as (
            node,
            servers,
        ),
        aiohttp.ClientSession() as session,
    ):
        configure(node, servers, remote=[1], rate=1000)
        spending = asyncio.create_task(node.links.download('dar', 10_000_000))
        await wait_until(lambda: node.links.closed_regions() == frozenset({'dar'}))
        async with session.post(f'{node.url}/x') as answer:
            assert answer.status == 200
        configure(node, servers, remote=[0, 1], rate=1000)
        async with session.post(f'{node.url}/x') as answer:
            assert answer.status == 503
            document = await answer.json(content_type=None)
        assert document['type'] == 'urn:daisylift:link-spent'
        assert document['outcome'] == 'did-not-run'
        assert document['other_vms'] == ['127.0.0.1:9']
        assert servers[1].requests == []
        spending.cancel()


async def test_new_configuration_cuts_no_request_in_flight():
    release = asyncio.Event()

    async def held(request):
        await release.wait()
        await respond_ok(request)

    async with (
        running_relay(held, respond_ok) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        node.permits.slots = 1
        node.admission.permits_changed()
        running = [
            asyncio.create_task(session.post(f'{node.url}/{number}'))
            for number in range(2)
        ]
        await wait_until(lambda: servers[0].requests and servers[1].requests)
        policy = relay_policy([servers[1].port])
        node.configure(Configuration(version=2, policy=policy))
        release.set()
        for answer in await asyncio.gather(*running):
            assert answer.status == 200
            await answer.read()
        await wait_until(lambda: not any(node.permits.used.values()))


async def test_server_taken_out_and_put_back_while_it_works_keeps_its_count():
    release = asyncio.Event()

    async def held(request):
        await release.wait()
        await respond_ok(request)

    async with (
        running_relay(held, held) as (node, servers),
        aiohttp.ClientSession() as session,
    ):
        node.permits.slots = 1
        node.admission.permits_changed()
        running = [
            asyncio.create_task(session.post(f'{node.url}/{number}'))
            for number in range(2)
        ]
        await wait_until(lambda: servers[0].requests and servers[1].requests)
        ports = [server.port for server in servers]
        node.configure(Configuration(2, relay_policy(ports[1:])))
        node.configure(Configuration(3, relay_policy(ports)))
        release.set()
        for answer in await asyncio.gather(*running):
            assert answer.status == 200
        await wait_until(lambda: not any(node.permits.used.values()))
        assert node.admission.in_flight('till') == 0
        for number in range(6):
            async with session.post(f'{node.url}/again/{number}') as answer:
                assert answer.status == 200
